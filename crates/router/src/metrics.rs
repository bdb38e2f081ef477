//! Counters and histograms for `/metrics`.

use passway_types::outcome::ResultCode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use std::time::Duration;

/// Upper bound of the smallest bucket, in seconds.
const FIRST_BUCKET_S: f64 = 0.001;
/// Number of buckets; the upper bound of each is twice that of the previous one.
const BUCKET_COUNT: u16 = 18;

/// Labels of a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    code: u16,
    ran: &'static str,
}

/// The metrics of a router.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    served: Counter,
    refused: Family<RefusalLabels, Counter>,
    attempts: Counter,
    resumed: Counter,
    wait_seconds: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("passway_router");
        let served = Counter::default();
        let refused = Family::<RefusalLabels, Counter>::default();
        let attempts = Counter::default();
        let resumed = Counter::default();
        let wait_seconds = Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT));
        registry.register("served", "Requests answered whole", served.clone());
        registry.register(
            "refused",
            "Requests refused, by result code",
            refused.clone(),
        );
        registry.register("attempts", "Attempts at upstreams", attempts.clone());
        registry.register("resumed", "Streams resumed elsewhere", resumed.clone());
        registry.register_with_unit(
            "wait",
            "Time from arrival to the first attempt",
            Unit::Seconds,
            wait_seconds.clone(),
        );
        Self {
            registry,
            served,
            refused,
            attempts,
            resumed,
            wait_seconds,
        }
    }
}

impl Metrics {
    /// Counts an answer that the caller received completely.
    pub fn count_served(&self) {
        self.served.inc();
    }

    /// Counts a refusal.
    pub fn count_refused(&self, code: ResultCode) {
        let labels = RefusalLabels {
            code: code as u16,
            ran: code.ran().as_str(),
        };
        self.refused.get_or_create(&labels).inc();
    }

    /// Counts an attempt at an upstream.
    pub fn count_attempt(&self) {
        self.attempts.inc();
    }

    /// Counts a stream that was resumed at another upstream.
    pub fn count_resumed(&self) {
        self.resumed.inc();
    }

    /// Records the time from a request's arrival to its first attempt.
    pub fn observe_wait(&self, wait: Duration) {
        self.wait_seconds.observe(wait.as_secs_f64());
    }

    /// Returns the metrics in the text format of `/metrics`; empty if they cannot be encoded.
    pub fn encode_text(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => {
                log::error!(error:% = error; "metrics cannot be encoded");
                String::new()
            }
        }
    }
}
