//! Metrics of dispatchers, and of the streams and copies of runs that their decisions concern.

use super::{
    ForecastOutcome, MAX_WORKSPACES, Metrics, OTHER_WORKSPACES, OutcomeLabels, ShareLabels,
    SpeedLabels, WaitingLabels,
};
use passway_serving::dispatch::{MissingBackup, ShareDecision};
use passway_serving::forecast::StreamOutcome;
use passway_serving::forecast::relative_speed::SpeedClass;
use passway_types::prelude::*;
use prometheus_client::registry::Unit;
use std::collections::BTreeMap;
use std::sync::PoisonError;

/// Whether the dispatcher that a request was redirected to granted an engine.
const REDIRECT_OUTCOMES: [&str; 2] = ["granted", "not granted"];

/// The label of runs that were sent with the address for their copy.
const COPY_SENT: &str = "sent";

impl Metrics {
    /// Registers the metrics of streams and of the engines chosen for them. Their series exist from
    /// the start.
    pub(super) fn register_streams(&mut self) {
        let registry = &mut self.registry;
        let longest_pause = self.longest_pause.clone();
        let help = "Longest time between two events of a complete stream";
        registry.register_with_unit("longest_pause", help, Unit::Seconds, longest_pause);
        for outcome in StreamOutcome::ALL {
            let outcome = outcome.name();
            let _zero = self.streams.get_or_create(&OutcomeLabels { outcome });
        }
        let streams = self.streams.clone();
        let help = "Complete streams by whether they met the goals of their routes";
        registry.register("streams", help, streams);
        for outcome in REDIRECT_OUTCOMES {
            let _zero = self.redirects.get_or_create(&OutcomeLabels { outcome });
        }
        let redirects = self.redirects.clone();
        let help = "Requests that a dispatcher sent to another one, by what that one granted";
        registry.register("redirects", help, redirects);
    }

    /// Registers the numbers of engines by their speed, for all classes from the start.
    pub(super) fn register_engine_speeds(&mut self) {
        for class in SpeedClass::ALL {
            self.engine_speed(class, 0);
        }
        let gauges = self.engine_speeds.clone();
        let help =
            "Engines by their speed compared with the others of their service, at the holder";
        self.registry.register("engine_speed", help, gauges);
    }

    /// Registers the metrics of a dispatcher's queue. Their series for all further workspaces exist
    /// from the start.
    pub(super) fn register_shares(&mut self) {
        for decision in ShareDecision::ALL {
            let labels = ShareLabels {
                workspace: OTHER_WORKSPACES.to_owned(),
                share: decision.name(),
            };
            let _zero = self.share_decisions.get_or_create(&labels);
        }
        self.set_waiting(&BTreeMap::new());
        let decisions = self.share_decisions.clone();
        let help =
            "Decisions of this dispatcher on requests of workspaces by what their shares meant";
        let registry = &mut self.registry;
        registry.register("workspace_shares", help, decisions);
        let waiting = self.waiting_by_workspace.clone();
        let help = "Requests of workspaces that wait at this dispatcher for a slot";
        registry.register("workspace_waiting", help, waiting);
    }

    /// The label of a workspace: its name, or that of all further workspaces.
    pub(super) fn workspace_label(&self, workspace: &WorkspaceName) -> String {
        let named_workspaces = self.named_workspaces.lock();
        let mut named_workspaces = named_workspaces.unwrap_or_else(PoisonError::into_inner);
        if named_workspaces.len() < MAX_WORKSPACES {
            named_workspaces.insert(workspace.clone());
        }
        if named_workspaces.contains(workspace) {
            workspace.to_string()
        } else {
            OTHER_WORKSPACES.to_owned()
        }
    }

    /// Counts a dispatcher's decision on a request of a workspace.
    pub fn share_decision(&self, workspace: &WorkspaceName, decision: ShareDecision) {
        let labels = ShareLabels {
            workspace: self.workspace_label(workspace),
            share: decision.name(),
        };
        self.share_decisions.get_or_create(&labels).inc();
    }

    /// Sets the number of requests of each workspace that wait at this dispatcher.
    pub(super) fn set_waiting(&self, waiting: &BTreeMap<WorkspaceName, usize>) {
        let mut counts = BTreeMap::from([(OTHER_WORKSPACES.to_owned(), 0)]);
        for (workspace, count) in waiting {
            *counts.entry(self.workspace_label(workspace)).or_default() += count;
        }
        self.waiting_by_workspace.clear();
        for (workspace, count) in counts {
            let gauge = self
                .waiting_by_workspace
                .get_or_create(&WaitingLabels { workspace });
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }

    /// Registers the metrics of copies of runs. Their series exist from the start.
    pub(super) fn register_backups(&mut self) {
        let registry = &mut self.registry;
        let reasons = MissingBackup::ALL.map(MissingBackup::name);
        for outcome in reasons.into_iter().chain([COPY_SENT]) {
            let _zero = self.run_copies.get_or_create(&OutcomeLabels { outcome });
        }
        let copies = self.run_copies.clone();
        let help =
            "Runs of which a copy is wanted: sent with the address for it, or why there is none";
        registry.register("run_copies", help, copies);
        for outcome in ["answered", "not run"] {
            let _zero = self.continuations.get_or_create(&OutcomeLabels { outcome });
        }
        let continuations = self.continuations.clone();
        let help =
            "Runs with a copy that broke off, by the outcome on the engine that has the copy";
        registry.register("continuations", help, continuations);
        for outcome in ["record", "no record"] {
            let _zero = self
                .version_proofs
                .get_or_create(&OutcomeLabels { outcome });
        }
        let version_proofs = self.version_proofs.clone();
        let help = "Streams resumed by reconnecting callers, by what proves the software version that began them, or why there is no proof";
        registry.register("version_proofs", help, version_proofs);
        for outcome in ["replaced", "no retry allowance"] {
            let _zero = self.silent_runs.get_or_create(&OutcomeLabels { outcome });
        }
        let silent_runs = self.silent_runs.clone();
        let help = "Checks of runs whose upstream has fallen silent, by outcome";
        registry.register("silent_runs", help, silent_runs);
    }

    /// Counts a run that was sent with the address of the engine that keeps its copy.
    pub fn copy_sent(&self) {
        let outcome = COPY_SENT;
        self.run_copies
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Registers the metrics of dispatchers' forecasts of waits. Their series exist from the start.
    pub(super) fn register_wait_forecasts(&mut self) {
        for outcome in ForecastOutcome::ALL {
            let outcome = outcome.name();
            let _zero = self
                .wait_forecasts
                .get_or_create(&OutcomeLabels { outcome });
        }
        let forecasts = self.wait_forecasts.clone();
        let help = "Requests refused by dispatchers since they cannot begin in time, and returns of refused callers";
        self.registry.register("wait_forecasts", help, forecasts);
        let ratio = self.wait_ratio.clone();
        let help = "Wait of a granted request, divided by the wait that was forecast first";
        self.registry.register("wait_ratio", help, ratio);
    }

    /// Counts what a dispatcher's forecast of waits led to.
    pub fn forecast_outcome(&self, outcome: ForecastOutcome) {
        let outcome = outcome.name();
        self.wait_forecasts
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Counts a run of which a copy was wanted and no engine was found to keep it.
    pub fn missing_backup(&self, missing: MissingBackup) {
        let outcome = missing.name();
        self.run_copies
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Counts a run with a copy that broke off. `outcome` is that of the attempt on the engine that
    /// has the copy, or why there was no such attempt.
    pub fn continuation(&self, outcome: &'static str) {
        self.continuations
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Counts a stream that a caller resumes, by what proves its software version or why there is no proof.
    pub fn version_proof(&self, outcome: &'static str) {
        self.version_proofs
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Counts a check of a run whose upstream has fallen silent.
    pub fn silent_run(&self, outcome: &'static str) {
        self.silent_runs
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Records how long a granted request had waited, and how long it was expected to wait.
    pub fn forecast_error(&self, expected: Duration, actual: Duration) {
        if !expected.is_zero() {
            self.wait_ratio
                .observe(actual.as_secs_f64() / expected.as_secs_f64());
        }
    }

    /// Counts a complete stream, with the longest time between two of its events.
    pub fn stream(&self, outcome: StreamOutcome, longest_pause: Duration) {
        let outcome = outcome.name();
        self.streams.get_or_create(&OutcomeLabels { outcome }).inc();
        self.longest_pause.observe(longest_pause.as_secs_f64());
    }

    /// Counts a request that a dispatcher sent to another one.
    pub fn redirect(&self, is_granted: bool) {
        let outcome = REDIRECT_OUTCOMES[usize::from(!is_granted)];
        let labels = OutcomeLabels { outcome };
        self.redirects.get_or_create(&labels).inc();
    }

    /// Sets how many engines have a speed of this class.
    pub fn engine_speed(&self, class: SpeedClass, engines: usize) {
        let class = class.name();
        let engines = i64::try_from(engines).unwrap_or(i64::MAX);
        let gauge = self.engine_speeds.get_or_create(&SpeedLabels { class });
        gauge.set(engines);
    }
}
