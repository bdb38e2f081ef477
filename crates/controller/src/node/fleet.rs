//! Instances and upstreams in the platform's list.

use passway_config::Catalog;
use passway_decide::cell::upstreams::ListingState;
use passway_platform::instance_list::ListedInstance;
use passway_types::prelude::*;
use std::collections::{HashMap, HashSet};

/// The instance list as last read, and the changes to it since the start.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    listed: HashSet<InstanceId>,
    /// Instances that were listed before and are not listed now.
    removed: HashSet<InstanceId>,
    /// The state in the list of each upstream, as last sent to the cells.
    listings: HashMap<UpstreamId, ListingState>,
    /// The revision for whose cells the ranks were last computed.
    ranked_revision: Revision,
    /// Whether the list has changed since then.
    list_changed: bool,
}

impl Fleet {
    /// Whether an instance was listed before and is not listed now.
    pub(super) fn was_removed(&self, id: &InstanceId) -> bool {
        self.removed.contains(id)
    }

    /// Records the list. Returns the upstreams whose state in it has changed.
    pub(super) fn update(
        &mut self,
        list: &[ListedInstance],
        catalog: &Catalog,
    ) -> Vec<(UpstreamId, ListingState)> {
        let ids: HashSet<InstanceId> = list.iter().map(|entry| entry.id.clone()).collect();
        self.removed.retain(|id| !ids.contains(id));
        for id in self.listed.difference(&ids) {
            log::warn!(id = &**id; "the platform no longer lists this instance");
            self.removed.insert(id.clone());
        }
        self.list_changed |= ids != self.listed;
        self.listed = ids;
        let leaving = list.iter().filter(|entry| entry.leaving);
        let leaving: HashSet<&str> = leaving.map(|entry| &*entry.id).collect();
        self.changed_listings(&leaving, catalog)
    }

    fn changed_listings(
        &mut self,
        leaving: &HashSet<&str>,
        catalog: &Catalog,
    ) -> Vec<(UpstreamId, ListingState)> {
        let mut changed = Vec::new();
        for upstream in catalog.upstreams.keys() {
            let listing = if self.removed.contains(upstream) {
                ListingState::Removed
            } else if leaving.contains(&**upstream) {
                ListingState::Leaving
            } else {
                ListingState::Listed
            };
            let previous = self.listings.insert(upstream.clone(), listing);
            if previous.unwrap_or(ListingState::Listed) != listing {
                changed.push((upstream.clone(), listing));
            }
        }
        changed
    }

    /// Whether the ranks must be recomputed because the list or the revision has changed since
    /// the last call. Ranks are not recomputed at each read of the list, because a rank costs
    /// one hash for each instance and cell.
    pub(super) fn start_ranking_if_due(&mut self, revision: Revision) -> bool {
        let is_due = self.list_changed || self.ranked_revision != revision;
        self.list_changed = false;
        self.ranked_revision = revision;
        is_due
    }

    /// Returns the number of listed controllers that precede this one for a cell.
    pub(super) fn rank(&self, own_id: &InstanceId, cell: &CellName, catalog: &Catalog) -> u32 {
        let weight = passway_config::catalog::rendezvous_hash;
        let own_weight = weight(own_id, cell);
        let upstreams = &catalog.upstreams;
        let controllers = self.listed.iter().filter(|id| !upstreams.contains_key(*id));
        let predecessors = controllers
            .filter(|id| weight(id, cell) > own_weight)
            .count();
        u32::try_from(predecessors).unwrap_or(u32::MAX)
    }
}
