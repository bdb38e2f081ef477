//! What the platform's list says of instances and upstreams.

use passway_config::Catalog;
use passway_decide::cell::upstreams::ListingState;
use passway_platform::instance_list::ListedInstance;
use passway_types::prelude::*;
use std::collections::{HashMap, HashSet};

/// The list as it was read last, and what followed from it.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    listed: HashSet<InstanceId>,
    /// Listed once and no more.
    gone: HashSet<InstanceId>,
    /// What the cells know of their upstreams.
    standings: HashMap<UpstreamId, ListingState>,
    /// The revision for whose cells the ranks were worked out.
    ranked: Revision,
    /// Whether the list has changed since then.
    changed: bool,
}

impl Fleet {
    /// Whether an instance was listed and is no more.
    pub(super) fn is_gone(&self, id: &InstanceId) -> bool {
        self.gone.contains(id)
    }

    /// Takes in the list; returns the upstreams of which it says something new.
    pub(super) fn update(
        &mut self,
        list: &[ListedInstance],
        catalog: &Catalog,
    ) -> Vec<(UpstreamId, ListingState)> {
        let ids: HashSet<InstanceId> = list.iter().map(|entry| entry.id.clone()).collect();
        self.gone.retain(|id| !ids.contains(id));
        for id in self.listed.difference(&ids) {
            log::warn!(id = &**id; "the platform no longer lists it");
            self.gone.insert(id.clone());
        }
        self.changed |= ids != self.listed;
        self.listed = ids;
        let leaving = list.iter().filter(|entry| entry.leaving);
        let leaving: HashSet<&str> = leaving.map(|entry| &*entry.id).collect();
        self.changed_standings(&leaving, catalog)
    }

    fn changed_standings(
        &mut self,
        leaving: &HashSet<&str>,
        catalog: &Catalog,
    ) -> Vec<(UpstreamId, ListingState)> {
        let mut changed = Vec::new();
        for upstream in catalog.upstreams.keys() {
            let standing = if self.gone.contains(upstream) {
                ListingState::Removed
            } else if leaving.contains(&**upstream) {
                ListingState::Leaving
            } else {
                ListingState::Listed
            };
            let before = self.standings.insert(upstream.clone(), standing);
            if before.unwrap_or(ListingState::Listed) != standing {
                changed.push((upstream.clone(), standing));
            }
        }
        changed
    }

    /// Whether ranks are to be worked out again: the list or the revision is another one.
    /// A rank takes a hash for each instance and cell.
    pub(super) fn begin_ranking(&mut self, revision: Revision) -> bool {
        let due = self.changed || self.ranked != revision;
        self.changed = false;
        self.ranked = revision;
        due
    }

    /// How many listed controllers come before this one for a cell.
    pub(super) fn rank(&self, me: &InstanceId, cell: &CellName, catalog: &Catalog) -> u32 {
        let weight = passway_config::catalog::rendezvous_hash;
        let mine = weight(me, cell);
        let upstreams = &catalog.upstreams;
        let controllers = self.listed.iter().filter(|id| !upstreams.contains_key(*id));
        let before = controllers.filter(|id| weight(id, cell) > mine).count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }
}
