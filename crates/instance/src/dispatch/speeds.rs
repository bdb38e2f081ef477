//! Speeds of engines from dispatchers' reports, for the holder.

use super::{Dispatch, lock};
use crate::shared::Shared;
use passway_serving::dispatch::DispatcherReport;
use passway_serving::forecast::relative_speed::EngineSpeed;
use passway_types::clock;
use passway_types::prelude::*;
use std::collections::HashMap;

impl Dispatch {
    /// Records what a dispatcher, possibly this instance, reports of its engines.
    pub(super) fn record_speeds(&self, report: &DispatcherReport) {
        let now = clock::now();
        let mut speeds = lock(&self.engine_speeds);
        for engine in report.engines.iter().filter(|engine| engine.shows_speed()) {
            speeds.record(&engine.engine, &engine.gaps, now);
        }
    }

    /// The speeds of engines, as far as dispatchers' reports show them.
    pub fn engine_speeds(&self, shared: &Shared) -> HashMap<UpstreamId, EngineSpeed> {
        // Lock order: the upstreams, then the speeds.
        let upstreams = shared.upstreams();
        lock(&self.engine_speeds).speeds(upstreams.entries(), clock::now())
    }
}
