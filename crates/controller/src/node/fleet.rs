//! What the platform's list says of instances and upstreams.

use passway_config::Catalog;
use passway_decide::cell::upstreams::Standing;
use passway_platform::instance_list::ListedInstance;
use passway_types::prelude::*;
use std::collections::{HashMap, HashSet};

/// The list as it was read last, and what followed from it.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    listed: HashSet<InstanceId>,
    /// Listed once and no more.
    removed: HashSet<InstanceId>,
    /// What the cells know of their upstreams.
    listings: HashMap<UpstreamId, Standing>,
    /// The revision for whose cells the ranks were worked out.
    ranked_revision: Revision,
    /// Whether the list has changed since then.
    list_changed: bool,
}

impl Fleet {
    /// Whether an instance was listed and is no more.
    pub(super) fn was_removed(&self, id: &InstanceId) -> bool {
        self.removed.contains(id)
    }

    /// Takes in the list; returns the upstreams of which it says something new.
    pub(super) fn update(
        &mut self,
        list: &[ListedInstance],
        catalog: &Catalog,
    ) -> Vec<(UpstreamId, Standing)> {
        let ids: HashSet<InstanceId> = list.iter().map(|entry| entry.id.clone()).collect();
        self.removed.retain(|id| !ids.contains(id));
        for id in self.listed.difference(&ids) {
            log::warn!(id = &**id; "the platform no longer lists it");
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
    ) -> Vec<(UpstreamId, Standing)> {
        let mut changed = Vec::new();
        for upstream in catalog.upstreams.keys() {
            let standing = if self.removed.contains(upstream) {
                Standing::Gone
            } else if leaving.contains(&**upstream) {
                Standing::Leaving
            } else {
                Standing::Listed
            };
            let previous = self.listings.insert(upstream.clone(), standing);
            if previous.unwrap_or(Standing::Listed) != standing {
                changed.push((upstream.clone(), standing));
            }
        }
        changed
    }

    /// Whether ranks are to be worked out again: the list or the revision is another one.
    /// A rank takes a hash for each instance and cell.
    pub(super) fn start_ranking_if_due(&mut self, revision: Revision) -> bool {
        let is_due = self.list_changed || self.ranked_revision != revision;
        self.list_changed = false;
        self.ranked_revision = revision;
        is_due
    }

    /// How many listed controllers come before this one for a cell.
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
