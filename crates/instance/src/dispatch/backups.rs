//! The choice of the engine that keeps a copy of a run, where no dispatcher makes it.

use super::{Dispatch, lock};
use crate::shared::Shared;
use passway_serving::dispatch::{CopiedRun, RunId, RunKey, copy_limit_tokens};
use passway_serving::forecast::RequestSize;
use passway_serving::upstreams::{RequestNeeds, UpstreamTable};
use passway_types::prelude::*;

/// A run that this instance has chosen an engine for.
#[derive(Debug, Clone, Copy)]
pub struct ChosenRun<'a> {
    /// The id under which the copy is counted, one for each request.
    pub copy_id: RunId,
    /// The engine that was chosen for the run.
    pub engine: &'a UpstreamId,
    /// What the request needs of an engine.
    pub needs: RequestNeeds<'a>,
    /// The request's size, as its caller claims.
    pub size: RequestSize,
    /// Engines that the request does not go to.
    pub excluded: &'a [UpstreamId],
}

impl Dispatch {
    fn copy_key(&self, copy_id: RunId) -> RunKey {
        RunKey {
            instance: self.own_address,
            id: copy_id,
        }
    }

    /// How many tokens of one engine's memory each dispatcher may use for copies of runs.
    pub(super) fn copy_limit_tokens(&self, shared: &Shared, service: &ServiceName) -> u64 {
        let dispatchers = lock(&self.dispatchers).list().len();
        shared.with_pool(service, |pool| copy_limit_tokens(pool, dispatchers))
    }

    /// Chooses the engine that keeps a copy of a run by this instance's own state. An earlier choice
    /// for the same request is discarded.
    pub fn choose_backup(
        &self,
        shared: &Shared,
        run: &ChosenRun<'_>,
        upstreams: &UpstreamTable,
        now: Instant,
    ) -> Option<UpstreamId> {
        let instances = shared.instance_count();
        let copied = CopiedRun {
            key: self.copy_key(run.copy_id),
            engine: run.engine,
            needs: run.needs,
            size: run.size,
            is_excluded: &|id| run.excluded.contains(id),
            limit_tokens: shared
                .with_pool(run.needs.service, |pool| copy_limit_tokens(pool, instances)),
        };
        let mut own_backups = lock(&self.own_backups);
        own_backups.remove(copied.key);
        let backup = own_backups.choose(&copied, upstreams, &|_| None, now);
        if let Some(missing) = own_backups.take_missing() {
            shared.metrics.missing_backup(missing);
        }
        backup
    }

    /// Removes the count of a request's copy.
    pub fn release_backup(&self, copy_id: RunId) {
        lock(&self.own_backups).remove(self.copy_key(copy_id));
    }
}
