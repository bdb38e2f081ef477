//! Counters, gauges and histograms of one instance, for `GET /metrics` on the address of the
//! balancer's probes. `docs/OPERATIONS.md` lists their names and the alarms.

mod dispatching;

use crate::allotments::Decision;
use crate::coordinator::NoDecision;
use crate::limits::LimitDecision;
use passway_types::prelude::*;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Mutex;

/// Upper bound of the smallest bucket, in seconds.
const FIRST_BUCKET_S: f64 = 0.004;
/// Number of buckets, each twice as wide as the previous one: up to 32 s.
const BUCKET_COUNT: u16 = 14;

/// Upper bound of the smallest bucket of the ratio of the actual to the expected wait.
const FIRST_RATIO_BUCKET: f64 = 0.125;
/// Number of its buckets, each twice as wide as the previous one: up to 8.
const RATIO_BUCKET_COUNT: u16 = 7;

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
    end: &'static str,
    status: u16,
}

/// Outcome of an attempt at an upstream, or of an order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

/// The signal of an upstream, or the setting of an operator, that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SignalLabels {
    word: &'static str,
}

/// What an attempt after the first costs the retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Nothing, because no earlier attempt arrived at an upstream.
    Free,
    /// One retry.
    Spent,
    /// The retry that was spent before, returned because nothing was sent.
    Returned,
    /// The attempt is not made, because no retry is left.
    UsedUp,
}

impl RetryDecision {
    fn name(self) -> &'static str {
        match self {
            Self::Free => "free",
            Self::Spent => "spent",
            Self::Returned => "returned",
            Self::UsedUp => "used up",
        }
    }
}

/// What a dispatcher's forecast of waits led to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForecastOutcome {
    /// A request was refused because it cannot begin in its time.
    Refused,
    /// A caller that returned before its time was refused again.
    RefusedEarly,
    /// A caller that returned as told was granted an engine.
    ReturnGranted,
    /// A caller that returned as told was refused again.
    ReturnRefused,
}

impl ForecastOutcome {
    const ALL: [Self; 4] = [
        Self::Refused,
        Self::RefusedEarly,
        Self::ReturnGranted,
        Self::ReturnRefused,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::RefusedEarly => "refused early",
            Self::ReturnGranted => "return granted",
            Self::ReturnRefused => "return refused",
        }
    }
}

/// How a request ended that was passed on to another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerRequestOutcome {
    /// The other instance delivered an upstream's answer.
    Answered,
    /// The other instance did not run the request.
    NotRun,
    /// The request may have run, and there is no answer of an upstream.
    Lost,
}

impl PeerRequestOutcome {
    const ALL: [Self; 3] = [Self::Answered, Self::NotRun, Self::Lost];

    fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not run",
            Self::Lost => "lost",
        }
    }
}

/// The status of the answer to a request of another instance; 0 without an answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StatusLabels {
    status: u16,
}

/// The label of a [`RetryDecision`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RetryLabels {
    budget: &'static str,
}

/// The class of engines' speeds.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SpeedLabels {
    class: &'static str,
}

/// Why a query to the coordinator got no decision.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabels {
    cause: &'static str,
}

/// States of the upstream of a close-delimited answer after the close.
const CLOSE_DELIMITED_OUTCOMES: [&str; 3] = ["live", "ended", "unknown"];

/// Largest number of workspaces that are counted by name, in order of arrival. Each has seven
/// counters of about 100 bytes. All others are counted together.
const MAX_WORKSPACES: usize = 200;
/// The label of all further workspaces.
const OTHER_WORKSPACES: &str = "(others)";

/// A workspace and the decision on its allotment.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WorkspaceLabels {
    workspace: String,
    allotment: &'static str,
}

/// A workspace and what its share meant for a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ShareLabels {
    workspace: String,
    share: &'static str,
}

/// A workspace whose requests wait.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WaitingLabels {
    workspace: String,
}

/// Values of the gauges at the time of a scrape.
#[derive(Debug, Clone, Default)]
pub struct GaugeValues {
    /// Whether this instance has the leadership.
    pub holds_leadership: bool,
    /// The version of the configuration in effect; 0 without one.
    pub config_version: u64,
    /// Number of requests whose answer is not complete.
    pub in_progress: usize,
    /// Whether the store answered the last call.
    pub store_answers: bool,
    /// Age of the proof that the configuration is current.
    pub configuration_age: Option<Duration>,
    /// Number of requests that are refused because they crash upstreams.
    pub poison_requests: usize,
    /// Number of parts of prompts that are considered the cause of crashes of upstreams.
    pub poison_parts: usize,
    /// Bytes that wait to be sent to other instances, summed over the instances.
    pub waiting_bytes: usize,
    /// Number of upstreams that advertise a limit.
    pub limited_upstreams: usize,
    /// Number of starts of upstreams that are known to leave, or that left in the last minutes.
    pub leaving_upstreams: usize,
    /// Number of upstreams that have asked this instance to back off.
    pub upstreams_in_backoff: usize,
    /// Requests of each workspace that wait at this dispatcher.
    pub waiting_by_workspace: BTreeMap<WorkspaceName, usize>,
}

/// The metrics of an instance.
pub struct Metrics {
    registry: Registry,
    requests_ended: Family<EndLabels, Counter>,
    attempts: Family<OutcomeLabels, Counter>,
    retries: Family<RetryLabels, Counter>,
    passed_on: Family<OutcomeLabels, Counter>,
    close_delimited_answers: Family<OutcomeLabels, Counter>,
    completeness_proof: Histogram,
    peer_requests: Family<StatusLabels, Counter>,
    run_copies: Family<OutcomeLabels, Counter>,
    continuations: Family<OutcomeLabels, Counter>,
    version_proofs: Family<OutcomeLabels, Counter>,
    silent_runs: Family<OutcomeLabels, Counter>,
    orders: Family<OutcomeLabels, Counter>,
    choices: Counter,
    unusable_entries: Counter,
    unusable_configurations: Counter,
    workspaces: Family<WorkspaceLabels, Counter>,
    named_workspaces: Mutex<BTreeSet<WorkspaceName>>,
    share_decisions: Family<ShareLabels, Counter>,
    waiting_by_workspace: Family<WaitingLabels, Gauge>,
    configuration_age: Gauge,
    model_wait: Histogram,
    first_byte: Histogram,
    longest_pause: Histogram,
    streams: Family<OutcomeLabels, Counter>,
    redirects: Family<OutcomeLabels, Counter>,
    planning: Histogram,
    holds_leadership: Gauge,
    config_version: Gauge,
    in_progress: Gauge,
    store_answers: Gauge,
    waiting_bytes: Gauge,
    poison_requests: Gauge,
    poison_parts: Gauge,
    limited_upstreams: Gauge,
    leaving_upstreams: Gauge,
    upstreams_in_backoff: Gauge,
    backoffs_requested: Counter,
    unusable_signals: Family<SignalLabels, Counter>,
    limit_decisions: Family<OutcomeLabels, Counter>,
    unanswered_queries: Family<CauseLabels, Counter>,
    engine_speeds: Family<SpeedLabels, Gauge>,
    wait_forecasts: Family<OutcomeLabels, Counter>,
    wait_ratio: Histogram,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT))
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("passway_instance"),
            requests_ended: Family::default(),
            attempts: Family::default(),
            retries: Family::default(),
            passed_on: Family::default(),
            close_delimited_answers: Family::default(),
            completeness_proof: duration_histogram(),
            peer_requests: Family::default(),
            run_copies: Family::default(),
            continuations: Family::default(),
            version_proofs: Family::default(),
            silent_runs: Family::default(),
            orders: Family::default(),
            choices: Counter::default(),
            unusable_entries: Counter::default(),
            unusable_configurations: Counter::default(),
            workspaces: Family::default(),
            named_workspaces: Mutex::default(),
            share_decisions: Family::default(),
            waiting_by_workspace: Family::default(),
            configuration_age: Gauge::default(),
            model_wait: duration_histogram(),
            first_byte: duration_histogram(),
            longest_pause: duration_histogram(),
            streams: Family::default(),
            redirects: Family::default(),
            planning: duration_histogram(),
            holds_leadership: Gauge::default(),
            config_version: Gauge::default(),
            in_progress: Gauge::default(),
            store_answers: Gauge::default(),
            waiting_bytes: Gauge::default(),
            poison_requests: Gauge::default(),
            poison_parts: Gauge::default(),
            limited_upstreams: Gauge::default(),
            leaving_upstreams: Gauge::default(),
            upstreams_in_backoff: Gauge::default(),
            backoffs_requested: Counter::default(),
            unusable_signals: Family::default(),
            limit_decisions: Family::default(),
            unanswered_queries: Family::default(),
            engine_speeds: Family::default(),
            wait_forecasts: Family::default(),
            wait_ratio: Histogram::new(exponential_buckets(
                FIRST_RATIO_BUCKET,
                2.0,
                RATIO_BUCKET_COUNT,
            )),
        };
        metrics.register();
        metrics.register_wait_forecasts();
        metrics.register_next_hops();
        metrics.register_engine_speeds();
        metrics.register_shares();
        metrics.register_backups();
        metrics.register_streams();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        let ended = self.requests_ended.clone();
        registry.register("requests", "Requests by how they ended", ended);
        let attempts = self.attempts.clone();
        registry.register("attempts", "Attempts at upstreams by outcome", attempts);
        let orders = self.orders.clone();
        registry.register("orders", "Orders to engines by answer", orders);
        let choices = self.choices.clone();
        registry.register("choices", "Choices of an upstream for a request", choices);
        let unusable = self.unusable_entries.clone();
        let help = "Entries of upstreams that turned out to name none that can be used";
        registry.register("unusable_entries", help, unusable);
        let unusable = self.unusable_configurations.clone();
        let help = "Versions of the configuration that could not be used";
        registry.register("unusable_configurations", help, unusable);
        let workspaces = self.workspaces.clone();
        let help = "Requests of workspaces by what their allotments said";
        registry.register("workspace_requests", help, workspaces);
        let gauge = self.configuration_age.clone();
        let help = "Since the question that proves the configuration the newest, in milliseconds; -1 without one";
        registry.register("configuration_age_ms", help, gauge);
        // Series that alarms use exist from the start.
        for outcome in ["taken", "refused"] {
            let _zero = self.orders.get_or_create(&OutcomeLabels { outcome });
        }
        for outcome in ["now", "later", "unknown"] {
            let _zero = self
                .limit_decisions
                .get_or_create(&OutcomeLabels { outcome });
        }
        let seconds = Unit::Seconds;
        let wait = self.model_wait.clone();
        let help = "Time until a request for a model was offered to an engine";
        registry.register_with_unit("model_wait", help, seconds.clone(), wait);
        let first_byte = self.first_byte.clone();
        let help = "Time until the first bytes of an answer went out";
        registry.register_with_unit("first_byte", help, seconds.clone(), first_byte);
        let planning = self.planning.clone();
        let help = "Time of a pass in which the holder decides what engines load";
        registry.register_with_unit("planning", help, seconds, planning);
        let gauge = self.holds_leadership.clone();
        registry.register("holds_right", "1 while this instance may order", gauge);
        let gauge = self.config_version.clone();
        registry.register("config_version", "Configuration in force", gauge);
        let gauge = self.in_progress.clone();
        registry.register("in_progress", "Requests without a complete answer", gauge);
        let gauge = self.store_answers.clone();
        registry.register("store_answers", "1 if the store answered last", gauge);
        let gauge = self.waiting_bytes.clone();
        let help = "Waits to be sent to other instances, summed over them";
        registry.register_with_unit("waiting", help, Unit::Bytes, gauge);
        let gauge = self.poison_requests.clone();
        let help = "Requests that are refused since they crash upstreams";
        registry.register("poison_requests", help, gauge);
        let gauge = self.poison_parts.clone();
        let help = "Parts of prompts that are considered the cause of crashes of upstreams";
        registry.register("poison_parts", help, gauge);
        let gauge = self.limited_upstreams.clone();
        let help = "Upstreams that name how many requests a second they take";
        registry.register("limited_upstreams", help, gauge);
        let turns = self.limit_decisions.clone();
        let help = "Requests for a turn at an upstream that names a limit, by answer";
        registry.register("limited_turns", help, turns);
        for unruled in [
            NoDecision::NoHolder,
            NoDecision::Silent,
            NoDecision::NotCoordinator,
        ] {
            let cause = unruled.name();
            let _zero = self
                .unanswered_queries
                .get_or_create(&CauseLabels { cause });
        }
        let unruled = self.unanswered_queries.clone();
        let help = "Questions to the instance that counts for all that were left without a ruling";
        registry.register("unruled_questions", help, unruled);
        let gauge = self.leaving_upstreams.clone();
        let help =
            "Starts of upstreams that are known to leave, or to have left in the last minutes";
        registry.register("leaving_upstreams", help, gauge);
        let gauge = self.upstreams_in_backoff.clone();
        let help = "Upstreams that have asked this instance for rest";
        registry.register("resting_upstreams", help, gauge);
        let rests = self.backoffs_requested.clone();
        let help = "Answers that ask this instance for rest";
        registry.register("rests", help, rests);
        for word in ["limit", "leaving", "rest", "hall"] {
            let _zero = self.unusable_signals.get_or_create(&SignalLabels { word });
        }
        let unusable = self.unusable_signals.clone();
        let help =
            "Words of upstreams of themselves, and of operators on halls, that cannot be used";
        registry.register("unusable_words", help, unusable);
    }

    /// Registers the metrics of retries and of requests that pass between instances. Their series
    /// exist from the start.
    fn register_next_hops(&mut self) {
        let registry = &mut self.registry;
        for decision in [
            RetryDecision::Free,
            RetryDecision::Spent,
            RetryDecision::UsedUp,
        ] {
            let budget = decision.name();
            let _zero = self.retries.get_or_create(&RetryLabels { budget });
        }
        let retries = self.retries.clone();
        let help = "Attempts after the first, by what they cost the retry budget";
        registry.register("retries", help, retries);
        for outcome in PeerRequestOutcome::ALL {
            let outcome = outcome.name();
            let _zero = self.passed_on.get_or_create(&OutcomeLabels { outcome });
        }
        for outcome in CLOSE_DELIMITED_OUTCOMES {
            let _zero = self
                .close_delimited_answers
                .get_or_create(&OutcomeLabels { outcome });
        }
        let unannounced = self.close_delimited_answers.clone();
        let help = "Close-delimited answers, by the state of their upstream after the close";
        registry.register("close_delimited_answers", help, unannounced);
        let proof = self.completeness_proof.clone();
        let help =
            "Time for which a close-delimited answer was held until its upstream was checked";
        registry.register_with_unit("completeness_proof", help, Unit::Seconds, proof);
        let passed_on = self.passed_on.clone();
        let help =
            "Requests passed on to another instance while cut off from the upstreams, by outcome";
        registry.register("passed_on", help, passed_on);
        let _zero = self
            .peer_requests
            .get_or_create(&StatusLabels { status: 200 });
        let peer_requests = self.peer_requests.clone();
        let help = "Requests served for other instances, by the status of the answer";
        registry.register("peer_requests", help, peer_requests);
    }

    /// Counts a request that has ended.
    pub fn request_ended(&self, end: &'static str, status: u16) {
        self.requests_ended
            .get_or_create(&EndLabels { end, status })
            .inc();
    }

    /// Counts an attempt at an upstream.
    pub fn attempt(&self, outcome: &'static str) {
        self.attempts
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Counts an attempt after the first, made or not.
    pub fn retry(&self, decision: RetryDecision) {
        let budget = decision.name();
        self.retries.get_or_create(&RetryLabels { budget }).inc();
    }

    /// Counts a close-delimited answer. `outcome` is the state of its upstream after the close, `held` the
    /// time for which the answer waited until that was known.
    pub fn close_delimited_answer(&self, outcome: &'static str, held: Duration) {
        self.close_delimited_answers
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
        self.completeness_proof.observe(held.as_secs_f64());
    }

    /// Counts a request that was passed on to another instance.
    pub fn passed_on(&self, outcome: PeerRequestOutcome) {
        let outcome = outcome.name();
        self.passed_on
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Counts a request that was served for another instance.
    pub fn peer_request(&self, status: u16) {
        self.peer_requests
            .get_or_create(&StatusLabels { status })
            .inc();
    }

    /// Counts a choice of an upstream, whether or not it found one.
    pub fn choice(&self) {
        self.choices.inc();
    }

    /// Counts an upstream's entry that cannot be used.
    pub fn unusable_entry(&self) {
        self.unusable_entries.inc();
    }

    /// Counts the decision on a request for a grant at a limited upstream.
    pub fn limit_decision(&self, decision: LimitDecision) {
        let outcome = match decision {
            LimitDecision::Granted => "now",
            LimitDecision::RetryAfter(_) => "later",
            LimitDecision::Undecided => "unknown",
        };
        self.limit_decisions
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Counts a query to the coordinator that got no decision.
    pub fn unanswered_query(&self, cause: NoDecision) {
        let cause = cause.name();
        self.unanswered_queries
            .get_or_create(&CauseLabels { cause })
            .inc();
    }

    /// Counts a signal of an upstream, or a setting of an operator, that cannot be used.
    pub fn unusable_signal(&self, word: &'static str) {
        self.unusable_signals
            .get_or_create(&SignalLabels { word })
            .inc();
    }

    /// Counts an answer that asks this instance to back off.
    pub fn backoff_requested(&self) {
        self.backoffs_requested.inc();
    }

    /// Counts a version of the configuration that cannot be used.
    pub fn unusable_configuration(&self) {
        self.unusable_configurations.inc();
    }

    /// Counts a request of a workspace by the decision on its allotment.
    pub fn workspace_request(&self, workspace: &WorkspaceName, decision: Decision) {
        let labels = WorkspaceLabels {
            workspace: self.workspace_label(workspace),
            allotment: match decision {
                Decision::Granted => "granted",
                Decision::Refused(_) => "refused",
                Decision::Unknown => "unknown",
            },
        };
        self.workspaces.get_or_create(&labels).inc();
    }

    /// Counts an answer to an order.
    pub fn order(&self, outcome: &'static str) {
        self.orders.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Records how long a request waited for an engine with its model.
    pub fn model_wait(&self, wait: Duration) {
        self.model_wait.observe(wait.as_secs_f64());
    }

    /// Records the time until the first bytes of an answer were sent.
    pub fn first_byte(&self, elapsed: Duration) {
        self.first_byte.observe(elapsed.as_secs_f64());
    }

    /// Records the duration of a pass of the planner.
    pub fn planning_pass(&self, duration: Duration) {
        self.planning.observe(duration.as_secs_f64());
    }

    /// Encodes all metrics as the answer to `/metrics`.
    pub fn encode_text(&self, values: &GaugeValues) -> String {
        let gauge_value = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        self.holds_leadership.set(values.holds_leadership.into());
        self.config_version.set(gauge_value(values.config_version));
        let age_ms = values
            .configuration_age
            .map(|age| gauge_value(crate::relay::millis(age)));
        self.configuration_age.set(age_ms.unwrap_or(-1));
        self.in_progress
            .set(i64::try_from(values.in_progress).unwrap_or(i64::MAX));
        self.store_answers.set(values.store_answers.into());
        self.waiting_bytes
            .set(i64::try_from(values.waiting_bytes).unwrap_or(i64::MAX));
        self.poison_parts
            .set(i64::try_from(values.poison_parts).unwrap_or(i64::MAX));
        self.poison_requests
            .set(i64::try_from(values.poison_requests).unwrap_or(i64::MAX));
        self.limited_upstreams
            .set(i64::try_from(values.limited_upstreams).unwrap_or(i64::MAX));
        self.leaving_upstreams
            .set(i64::try_from(values.leaving_upstreams).unwrap_or(i64::MAX));
        self.upstreams_in_backoff
            .set(i64::try_from(values.upstreams_in_backoff).unwrap_or(i64::MAX));
        self.set_waiting(&values.waiting_by_workspace);
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::error!(error:% = error; "metrics cannot be encoded");
            return String::new();
        }
        text
    }
}
