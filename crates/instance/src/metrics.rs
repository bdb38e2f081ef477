//! Counters, gauges and histograms of one instance, for `GET /metrics` on the address
//! where the balancer asks. Names and what to alarm on: `docs/OPERATIONS.md`.

use crate::allotments::Decision;
use crate::coordinator::NoDecision;
use crate::limits::Turn;
use passway_types::prelude::*;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use std::collections::BTreeSet;
use std::fmt;
use std::sync::{Mutex, PoisonError};

/// Upper bound of the smallest bucket, in seconds.
const FIRST_BUCKET_S: f64 = 0.004;
/// Number of buckets, each twice as wide as the one before: up to 32 s.
const BUCKETS: u16 = 14;

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
    end: &'static str,
    status: u16,
}

/// An attempt at an upstream, or an order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

/// What an upstream says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WordLabels {
    word: &'static str,
}

/// Why nobody ruled on a question to the instance that counts for all.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabels {
    cause: &'static str,
}

/// Most workspaces that are counted by name, those that came first: each has four counters of some
/// 100 bytes. The others are counted together.
const MAX_WORKSPACES: usize = 200;
/// Under which all further workspaces are counted.
const OTHER_WORKSPACES: &str = "(others)";

/// A workspace's requests by what its allotment said.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WorkspaceLabels {
    workspace: String,
    allotment: &'static str,
}

/// What holds at the moment of a look.
#[derive(Debug, Clone, Copy, Default)]
pub struct Standing {
    /// Whether this instance has the right to order.
    pub holds_right: bool,
    /// The configuration's version in force; 0 if none is.
    pub config_version: u64,
    /// Requests whose answer is not complete.
    pub in_progress: usize,
    /// Whether the store answered last.
    pub store_answers: bool,
    /// Age of the proof that the configuration is the newest.
    pub configuration_age: Option<Duration>,
    /// Requests that are refused since they crash upstreams.
    pub poison_requests: usize,
    /// Bytes that wait to be sent to other instances, for each of them.
    pub waiting_bytes: usize,
    /// Upstreams that name how much they take.
    pub limited_upstreams: usize,
    /// Starts of upstreams that are known to leave, or to have left in the last minutes.
    pub leaving_upstreams: usize,
    /// Upstreams that have asked this instance for rest.
    pub resting_upstreams: usize,
}

/// The metrics of an instance.
pub struct Metrics {
    registry: Registry,
    ended: Family<EndLabels, Counter>,
    attempts: Family<OutcomeLabels, Counter>,
    orders: Family<OutcomeLabels, Counter>,
    choices: Counter,
    unusable_entries: Counter,
    unusable_configurations: Counter,
    workspaces: Family<WorkspaceLabels, Counter>,
    named_workspaces: Mutex<BTreeSet<WorkspaceName>>,
    configuration_age: Gauge,
    model_wait: Histogram,
    first_byte: Histogram,
    planning: Histogram,
    holds_right: Gauge,
    config_version: Gauge,
    in_progress: Gauge,
    store_answers: Gauge,
    waiting_bytes: Gauge,
    poison_requests: Gauge,
    limited_upstreams: Gauge,
    leaving_upstreams: Gauge,
    resting_upstreams: Gauge,
    rests: Counter,
    unusable_words: Family<WordLabels, Counter>,
    turns: Family<OutcomeLabels, Counter>,
    unruled: Family<CauseLabels, Counter>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

fn times() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS))
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("passway_instance"),
            ended: Family::default(),
            attempts: Family::default(),
            orders: Family::default(),
            choices: Counter::default(),
            unusable_entries: Counter::default(),
            unusable_configurations: Counter::default(),
            workspaces: Family::default(),
            named_workspaces: Mutex::default(),
            configuration_age: Gauge::default(),
            model_wait: times(),
            first_byte: times(),
            planning: times(),
            holds_right: Gauge::default(),
            config_version: Gauge::default(),
            in_progress: Gauge::default(),
            store_answers: Gauge::default(),
            waiting_bytes: Gauge::default(),
            poison_requests: Gauge::default(),
            limited_upstreams: Gauge::default(),
            leaving_upstreams: Gauge::default(),
            resting_upstreams: Gauge::default(),
            rests: Counter::default(),
            unusable_words: Family::default(),
            turns: Family::default(),
            unruled: Family::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        let ended = self.ended.clone();
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
        // What an alarm looks at stands there from the start.
        for outcome in ["taken", "refused"] {
            let _zero = self.orders.get_or_create(&OutcomeLabels { outcome });
        }
        for outcome in ["now", "later", "unknown"] {
            let _zero = self.turns.get_or_create(&OutcomeLabels { outcome });
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
        let gauge = self.holds_right.clone();
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
        let gauge = self.limited_upstreams.clone();
        let help = "Upstreams that name how many requests a second they take";
        registry.register("limited_upstreams", help, gauge);
        let turns = self.turns.clone();
        let help = "Requests for a turn at an upstream that names a limit, by answer";
        registry.register("limited_turns", help, turns);
        for unruled in [
            NoDecision::NoHolder,
            NoDecision::Silent,
            NoDecision::NotCoordinator,
        ] {
            let cause = unruled.name();
            let _zero = self.unruled.get_or_create(&CauseLabels { cause });
        }
        let unruled = self.unruled.clone();
        let help = "Questions to the instance that counts for all that were left without a ruling";
        registry.register("unruled_questions", help, unruled);
        let gauge = self.leaving_upstreams.clone();
        let help =
            "Starts of upstreams that are known to leave, or to have left in the last minutes";
        registry.register("leaving_upstreams", help, gauge);
        let gauge = self.resting_upstreams.clone();
        let help = "Upstreams that have asked this instance for rest";
        registry.register("resting_upstreams", help, gauge);
        let rests = self.rests.clone();
        let help = "Answers that ask this instance for rest";
        registry.register("rests", help, rests);
        for word in ["limit", "leaving", "rest", "hall"] {
            let _zero = self.unusable_words.get_or_create(&WordLabels { word });
        }
        let unusable = self.unusable_words.clone();
        let help =
            "Words of upstreams of themselves, and of operators on halls, that cannot be used";
        registry.register("unusable_words", help, unusable);
    }

    /// Counts a request that has ended.
    pub fn ended(&self, end: &'static str, status: u16) {
        self.ended.get_or_create(&EndLabels { end, status }).inc();
    }

    /// Counts an attempt at an upstream.
    pub fn attempt(&self, outcome: &'static str) {
        self.attempts
            .get_or_create(&OutcomeLabels { outcome })
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

    /// Counts what a request was told that asked for a turn at an upstream in need.
    pub fn turn(&self, turn: Turn) {
        let outcome = match turn {
            Turn::Now => "now",
            Turn::After(_) => "later",
            Turn::Unknown => "unknown",
        };
        self.turns.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Counts a question to the instance that counts for all on which nobody ruled.
    pub fn unruled(&self, unruled: NoDecision) {
        let cause = unruled.name();
        self.unruled.get_or_create(&CauseLabels { cause }).inc();
    }

    /// Counts a word of an upstream of itself that cannot be read.
    pub fn unusable_word(&self, word: &'static str) {
        self.unusable_words
            .get_or_create(&WordLabels { word })
            .inc();
    }

    /// Counts an answer that asks this instance for rest.
    pub fn rest(&self) {
        self.rests.inc();
    }

    /// Counts a version of the configuration that cannot be used.
    pub fn unusable_configuration(&self) {
        self.unusable_configurations.inc();
    }

    /// Counts what a workspace's allotment said to a request.
    pub fn workspace(&self, workspace: &WorkspaceName, decision: Decision) {
        let named = self.named_workspaces.lock();
        let mut named = named.unwrap_or_else(PoisonError::into_inner);
        if named.len() < MAX_WORKSPACES {
            named.insert(workspace.clone());
        }
        let is_named = named.contains(workspace);
        drop(named);
        let labels = WorkspaceLabels {
            workspace: if is_named {
                workspace
            } else {
                OTHER_WORKSPACES
            }
            .to_owned(),
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

    /// Records when the first bytes of an answer went out.
    pub fn first_byte(&self, after: Duration) {
        self.first_byte.observe(after.as_secs_f64());
    }

    /// Records how long a pass of the planner took.
    pub fn planned(&self, took: Duration) {
        self.planning.observe(took.as_secs_f64());
    }

    /// The text that `/metrics` answers.
    pub fn text(&self, standing: &Standing) -> String {
        let number = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        self.holds_right.set(standing.holds_right.into());
        self.config_version.set(number(standing.config_version));
        let age_ms = standing
            .configuration_age
            .map(|age| number(crate::relay::millis(age)));
        self.configuration_age.set(age_ms.unwrap_or(-1));
        self.in_progress
            .set(i64::try_from(standing.in_progress).unwrap_or(i64::MAX));
        self.store_answers.set(standing.store_answers.into());
        self.waiting_bytes
            .set(i64::try_from(standing.waiting_bytes).unwrap_or(i64::MAX));
        self.poison_requests
            .set(i64::try_from(standing.poison_requests).unwrap_or(i64::MAX));
        self.limited_upstreams
            .set(i64::try_from(standing.limited_upstreams).unwrap_or(i64::MAX));
        self.leaving_upstreams
            .set(i64::try_from(standing.leaving_upstreams).unwrap_or(i64::MAX));
        self.resting_upstreams
            .set(i64::try_from(standing.resting_upstreams).unwrap_or(i64::MAX));
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::error!(error:% = error; "metrics cannot be encoded");
            return String::new();
        }
        text
    }
}
