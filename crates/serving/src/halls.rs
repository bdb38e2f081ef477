//! Where requests may go: the regions that bind a route or a workspace, and the data halls that operators have
//! evacuated.
//!
//! There is no I/O and no clock here.

use passway_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// The region of each data hall.
pub type HallRegions = BTreeMap<DataHall, Region>;

/// The regions in which a request may be served.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AllowedRegions(Option<Arc<BTreeSet<Region>>>);

impl AllowedRegions {
    /// Any region.
    pub const ANY: Self = Self(None);

    /// These regions alone.
    pub fn only(regions: impl IntoIterator<Item = Region>) -> Self {
        Self(Some(Arc::new(regions.into_iter().collect())))
    }

    /// The regions that both allow.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(mine), Some(others)) => Self::only(mine.intersection(others).cloned()),
        }
    }

    /// Whether they bind at all.
    pub fn is_restricted(&self) -> bool {
        self.0.is_some()
    }

    /// The names of the regions, if they bind.
    pub fn regions(&self) -> impl Iterator<Item = &Region> {
        self.0.iter().flat_map(|regions| regions.iter())
    }

    /// Whether a request may be served in a region; one that is not known is no allowed one.
    fn allow(&self, region: Option<&Region>) -> bool {
        let Some(regions) = &self.0 else {
            return true;
        };
        region.is_some_and(|region| regions.contains(region))
    }
}

/// The data halls of a fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Halls {
    regions: HallRegions,
    evacuated: BTreeSet<DataHall>,
}

impl Halls {
    /// Halls with their regions, none of them evacuated.
    pub fn new(regions: HallRegions) -> Self {
        Self {
            regions,
            evacuated: BTreeSet::new(),
        }
    }

    /// Whether a hall is one of the fleet's; any is while none is known.
    pub fn is_known(&self, hall: &DataHall) -> bool {
        self.regions.is_empty() || self.regions.contains_key(hall)
    }

    /// The halls to which nothing may be sent.
    pub fn evacuated(&self) -> &BTreeSet<DataHall> {
        &self.evacuated
    }

    /// Operators have evacuated these halls and no others. Returns those that were given back.
    pub fn set_evacuated(&mut self, evacuated: BTreeSet<DataHall>) -> BTreeSet<DataHall> {
        let before = std::mem::replace(&mut self.evacuated, evacuated);
        before.difference(&self.evacuated).cloned().collect()
    }

    /// Whether a request with some allowed regions may be sent to a hall now.
    pub fn admits(&self, hall: &DataHall, allowed: &AllowedRegions) -> bool {
        !self.evacuated.contains(hall) && allowed.allow(self.regions.get(hall))
    }

    /// Whether some hall is closed to a request with some allowed regions.
    pub fn has_restrictions(&self, allowed: &AllowedRegions) -> bool {
        allowed.is_restricted() || !self.evacuated.is_empty()
    }
}
