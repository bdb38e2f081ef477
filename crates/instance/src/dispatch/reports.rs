//! Reports of dispatchers to each other and to the holder: the state of their engines, and what
//! workspaces use.

use super::{Dispatch, lock};
use crate::relay::millis;
use crate::shared::Shared;
use passway_serving::dispatch::{DispatcherEngines, DispatcherReport, EngineReport};
use passway_serving::forecast::GapHistogram;
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::dispatch::{Dispatch as Body, DispatcherState, EngineState, WorkspaceUse};
use std::net::SocketAddr;

/// Engines or workspaces in one report: more than the engines of one dispatcher.
const MAX_REPORTED: usize = 256;
/// Engines in one datagram. With names of the usual 15 bytes a datagram fits into one packet on any
/// link (1,400 bytes); with longer names IP fragments it.
const ENGINES_PER_DATAGRAM: usize = 24;

impl Dispatch {
    /// Reports to the other dispatchers and the holder, if this instance is a dispatcher.
    pub(super) fn send_report(&self, shared: &Shared) {
        let peers = self.dispatcher_list();
        if !peers.iter().any(|peer| peer.address == self.own_address) {
            return;
        }
        let report = self.own_report(shared);
        self.record_speeds(&report);
        let holder = shared
            .leadership()
            .and_then(|leadership| leadership.holder())
            .map(|holder| holder.address);
        let peers = peers.into_iter().map(|peer| peer.address);
        let mut receivers: Vec<SocketAddr> = peers.chain(holder).collect();
        receivers.sort_unstable();
        receivers.dedup();
        for state in encode_report(&report) {
            for receiver in &receivers {
                if *receiver != self.own_address {
                    self.send(*receiver, Body::DispatcherState(state.clone()));
                }
            }
        }
    }

    fn own_report(&self, shared: &Shared) -> DispatcherReport {
        let now = clock::now();
        // Lock order: the upstreams, the dispatchers, then the dispatcher's own state.
        let upstreams = shared.upstreams();
        let dispatchers = lock(&self.dispatchers);
        let is_own = |id: &UpstreamId| dispatchers.of_engine(id, now) == Some(self.own_address);
        let engines = DispatcherEngines {
            upstreams: &upstreams,
            is_own: &is_own,
        };
        lock(&self.dispatcher).report(engines, now)
    }

    /// Merges a datagram of another dispatcher's report. A report may come in several datagrams, and
    /// one without workspaces says nothing about their use.
    pub(super) fn receive_report(&self, from: SocketAddr, state: &DispatcherState) {
        let peers = self.dispatcher_list();
        if !peers.iter().any(|peer| peer.address == from) {
            return;
        }
        let (engines, workspaces) = (state.engines.len(), state.workspace_use.len());
        if engines.max(workspaces) > MAX_REPORTED {
            log::warn!(from:% = from, engines = engines, workspaces = workspaces; "a dispatcher reports more than is accepted; the rest is ignored");
        }
        let report = decode_report(state);
        self.record_speeds(&report);
        lock(&self.dispatcher).merge_report(from, &report, clock::now());
    }
}

/// Encodes a report as datagrams; the first one has the use of workspaces.
fn encode_report(report: &DispatcherReport) -> Vec<DispatcherState> {
    let engines = report.engines.iter().map(|engine| EngineState {
        engine: engine.engine.to_string(),
        load: engine.load,
        first_event_ms: engine.first_event.map_or(0, |time| {
            u32::try_from(millis(time)).unwrap_or(u32::MAX).max(1)
        }),
        gap_counts: engine.gaps.counts().to_vec(),
        observed_ms_ago: u32::try_from(millis(engine.observed_ago)).unwrap_or(u32::MAX),
    });
    let engines: Vec<EngineState> = engines.take(MAX_REPORTED).collect();
    let workspace_use = report.workspace_use.iter().take(MAX_REPORTED);
    let workspace_use = workspace_use.map(|(workspace, tokens)| WorkspaceUse {
        workspace: workspace.to_string(),
        tokens: *tokens,
    });
    let workspace_use: Vec<WorkspaceUse> = workspace_use.collect();
    let mut states = Vec::new();
    if !workspace_use.is_empty() {
        states.push(DispatcherState {
            engines: Vec::new(),
            workspace_use,
        });
    }
    for chunk in engines.chunks(ENGINES_PER_DATAGRAM) {
        states.push(DispatcherState {
            engines: chunk.to_vec(),
            workspace_use: Vec::new(),
        });
    }
    states
}

/// Decodes a report. Values that make no sense are dropped.
fn decode_report(state: &DispatcherState) -> DispatcherReport {
    let engines = state.engines.iter().take(MAX_REPORTED);
    let engines = engines.map(|engine| EngineReport {
        engine: engine.engine.as_str().into(),
        load: engine.load,
        first_event: Some(Duration::from_millis(engine.first_event_ms.into()))
            .filter(|time| !time.is_zero()),
        gaps: GapHistogram::from_counts(&engine.gap_counts),
        observed_ago: Duration::from_millis(engine.observed_ms_ago.into()),
    });
    let workspace_use = state.workspace_use.iter().take(MAX_REPORTED);
    let workspace_use = workspace_use
        .filter(|used| used.tokens.is_finite() && used.tokens >= 0.0)
        .map(|used| (used.workspace.as_str().into(), used.tokens));
    DispatcherReport {
        engines: engines.collect(),
        workspace_use: workspace_use.collect(),
    }
}
