//! Where requests may go: the allowed regions of a route or a workspace, and the data halls that
//! operators have evacuated.
//!
//! This module uses no I/O and no clock.

use passway_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// The region of each data hall.
pub type HallRegions = BTreeMap<DataHall, Region>;

/// The regions in which a request may be served.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AllowedRegions(Option<Arc<BTreeSet<Region>>>);

impl AllowedRegions {
    /// Allows any region.
    pub const ANY: Self = Self(None);

    /// Allows only these regions.
    pub fn only(regions: impl IntoIterator<Item = Region>) -> Self {
        Self(Some(Arc::new(regions.into_iter().collect())))
    }

    /// The regions that both allow.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(own), Some(others)) => Self::only(own.intersection(others).cloned()),
        }
    }

    /// Whether only some regions are allowed.
    pub fn is_restricted(&self) -> bool {
        self.0.is_some()
    }

    /// The allowed regions; empty if there is no restriction.
    pub fn regions(&self) -> impl Iterator<Item = &Region> {
        self.0.iter().flat_map(|regions| regions.iter())
    }

    /// Whether a request may be served in a region. An unknown region is allowed only without
    /// restriction.
    fn allows(&self, region: Option<&Region>) -> bool {
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
    /// Creates halls with their regions, none of them evacuated.
    pub fn new(regions: HallRegions) -> Self {
        Self {
            regions,
            evacuated: BTreeSet::new(),
        }
    }

    /// Whether a hall belongs to the fleet; true for any hall while none is known.
    pub fn is_known(&self, hall: &DataHall) -> bool {
        self.regions.is_empty() || self.regions.contains_key(hall)
    }

    /// The evacuated halls, to which no request may be sent.
    pub fn evacuated(&self) -> &BTreeSet<DataHall> {
        &self.evacuated
    }

    /// Sets the evacuated halls. Returns those that are no longer evacuated.
    pub fn set_evacuated(&mut self, evacuated: BTreeSet<DataHall>) -> BTreeSet<DataHall> {
        let previous = std::mem::replace(&mut self.evacuated, evacuated);
        previous.difference(&self.evacuated).cloned().collect()
    }

    /// Whether a request with these allowed regions may be sent to a hall now.
    pub fn admits(&self, hall: &DataHall, allowed: &AllowedRegions) -> bool {
        !self.evacuated.contains(hall) && allowed.allows(self.regions.get(hall))
    }

    /// Whether some hall may be closed to a request with these allowed regions.
    pub fn has_restrictions(&self, allowed: &AllowedRegions) -> bool {
        allowed.is_restricted() || !self.evacuated.is_empty()
    }
}
