//! Where requests may go: the regions that bind a route or a workspace, and the data halls that operators have
//! emptied.
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
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(mine), Some(others)) => Self::only(mine.intersection(others).cloned()),
        }
    }

    /// Whether they bind at all.
    pub fn bind(&self) -> bool {
        self.0.is_some()
    }

    /// The names of the regions, if they bind.
    pub fn names(&self) -> impl Iterator<Item = &Region> {
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
    emptied: BTreeSet<DataHall>,
}

impl Halls {
    /// Halls with their regions, none of them emptied.
    pub fn new(regions: HallRegions) -> Self {
        Self {
            regions,
            emptied: BTreeSet::new(),
        }
    }

    /// Whether a hall is one of the fleet's; any is while none is known.
    pub fn knows(&self, hall: &DataHall) -> bool {
        self.regions.is_empty() || self.regions.contains_key(hall)
    }

    /// The halls to which nothing may be sent.
    pub fn emptied(&self) -> &BTreeSet<DataHall> {
        &self.emptied
    }

    /// Operators have emptied these halls and no others. Returns those that were given back.
    pub fn set_emptied(&mut self, emptied: BTreeSet<DataHall>) -> BTreeSet<DataHall> {
        let before = std::mem::replace(&mut self.emptied, emptied);
        before.difference(&self.emptied).cloned().collect()
    }

    /// Whether a request with some allowed regions may be sent to a hall now.
    pub fn admit(&self, hall: &DataHall, allowed: &AllowedRegions) -> bool {
        !self.emptied.contains(hall) && allowed.allow(self.regions.get(hall))
    }

    /// Whether some hall is closed to a request with some allowed regions.
    pub fn are_bound(&self, allowed: &AllowedRegions) -> bool {
        allowed.bind() || !self.emptied.is_empty()
    }
}
