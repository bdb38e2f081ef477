//! Seeded request traces of the two deployments, each compressing one day into a run.

use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The deployment that a trace models.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Market: stalls and scales by day with a rush at opening, growers' reports at night.
    Market,
    /// Laundry: pickups and rush replies in waves, drivers' checks, summaries at night.
    Laundry,
}

impl std::str::FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "market" => Ok(Self::Market),
            "laundry" => Ok(Self::Laundry),
            other => Err(format!("{other} is neither market nor laundry")),
        }
    }
}

/// The purpose of a request, which determines its workspace, length and deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A customer waits for the answer: a price suggestion, a rush reply.
    Rush,
    /// A machine waits for the answer: a tag lookup, a manifest check.
    Lookup,
    /// Batch work at night: a harvest report, a claims summary.
    Night,
}

/// One request of a trace.
#[derive(Debug, Clone)]
pub struct TraceRequest {
    /// Arrival time, from the start of the run.
    pub arrives_after: Duration,
    /// Name of the requested model or adapter.
    pub model: String,
    /// Purpose of the request.
    pub purpose: Purpose,
}

/// The load profile of a day. Times are fractions of the run: the start and end of each rush, the
/// start of the night.
struct DayProfile {
    rushes: &'static [(f64, f64)],
    rush_factor: f64,
    night_start: f64,
    rush_ratio: f64,
}

const MARKET: DayProfile = DayProfile {
    rushes: &[(0.15, 0.25)],
    rush_factor: 6.0,
    night_start: 0.75,
    rush_ratio: 0.5,
};
const LAUNDRY: DayProfile = DayProfile {
    rushes: &[(0.10, 0.16), (0.40, 0.46), (0.60, 0.66)],
    rush_factor: 3.0,
    night_start: 0.8,
    rush_ratio: 0.3,
};

/// Generates the requests of one run, ordered by arrival time.
///
/// The popularity of models follows a power law: a few are requested often, most rarely, so most
/// models are unloaded most of the time. `rate_per_s` is the mean rate outside rushes.
pub fn generate_requests(
    deployment: Deployment,
    seed: u64,
    length: Duration,
    rate_per_s: f64,
    models: usize,
    adapters: usize,
) -> Vec<TraceRequest> {
    let profile = if deployment == Deployment::Market {
        MARKET
    } else {
        LAUNDRY
    };
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut requests = Vec::new();
    let mut at_s = 0.0;
    loop {
        let elapsed_ratio = at_s / length.as_secs_f64();
        let is_rush = profile
            .rushes
            .iter()
            .any(|(start, end)| (*start..*end).contains(&elapsed_ratio));
        let rate = if is_rush {
            rate_per_s * profile.rush_factor
        } else {
            rate_per_s
        };
        at_s += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at_s >= length.as_secs_f64() {
            return requests;
        }
        let purpose = if elapsed_ratio >= profile.night_start {
            Purpose::Night
        } else if is_rush || rng.random_bool(profile.rush_ratio) {
            Purpose::Rush
        } else {
            Purpose::Lookup
        };
        let model = random_model(&mut rng, models, adapters);
        requests.push(TraceRequest {
            arrives_after: Duration::from_secs_f64(at_s),
            model,
            purpose,
        });
    }
}

fn random_model(rng: &mut ChaCha8Rng, models: usize, adapters: usize) -> String {
    let is_adapter = adapters > 0 && rng.random_bool(0.4);
    let count = if is_adapter { adapters } else { models };
    // Squaring a uniform number between 0 and 1 favors values near 0.
    let random = rng.random::<f64>().powi(2);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "an index of a short list"
    )]
    let index = ((random * count as f64) as usize).min(count - 1);
    if is_adapter {
        format!("adapter{index}@1")
    } else {
        format!("model{index}@1")
    }
}
