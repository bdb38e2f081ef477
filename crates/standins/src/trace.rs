//! Seeded traces of the two deployments, a day compressed into a run.

use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Which deployment a trace is like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Stalls and scales by day with a rush at opening, growers' reports at night.
    Market,
    /// Pickups and rush replies in waves, drivers' checks, summaries at night.
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

/// What a request is for; it decides workspace, length and deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A customer waits: a price suggestion, a rush reply.
    Rush,
    /// A machine waits: a tag lookup, a manifest check.
    Lookup,
    /// Overnight: a harvest report, a claims summary.
    Night,
}

/// One request of a trace.
#[derive(Debug, Clone)]
pub struct TraceRequest {
    /// When it comes, from the start of the run.
    pub arrives_after: Duration,
    /// The model or adapter.
    pub model: String,
    /// What it is for.
    pub purpose: Purpose,
}

/// Parts of the day, as shares of the run: where the rush begins and ends, where the night begins.
struct Day {
    rushes: &'static [(f64, f64)],
    rush_factor: f64,
    night_from: f64,
    rush_share: f64,
}

const MARKET: Day = Day {
    rushes: &[(0.15, 0.25)],
    rush_factor: 6.0,
    night_from: 0.75,
    rush_share: 0.5,
};
const LAUNDRY: Day = Day {
    rushes: &[(0.10, 0.16), (0.40, 0.46), (0.60, 0.66)],
    rush_factor: 3.0,
    night_from: 0.8,
    rush_share: 0.3,
};

/// Draws the requests of one run, in order of time.
///
/// Models are asked for by a power law: a few often, most rarely, so that most
/// sleep most of the time. `rate_per_s` is the mean rate outside rushes.
pub fn generate_requests(
    site: Deployment,
    seed: u64,
    length: Duration,
    rate_per_s: f64,
    models: usize,
    adapters: usize,
) -> Vec<TraceRequest> {
    let day = if site == Deployment::Market {
        MARKET
    } else {
        LAUNDRY
    };
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut requests = Vec::new();
    let mut at_s = 0.0;
    loop {
        let part = at_s / length.as_secs_f64();
        let is_rush = day
            .rushes
            .iter()
            .any(|(from, to)| (*from..*to).contains(&part));
        let rate = if is_rush {
            rate_per_s * day.rush_factor
        } else {
            rate_per_s
        };
        at_s += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at_s >= length.as_secs_f64() {
            return requests;
        }
        let purpose = if part >= day.night_from {
            Purpose::Night
        } else if is_rush || rng.random_bool(day.rush_share) {
            Purpose::Rush
        } else {
            Purpose::Lookup
        };
        let model = model(&mut rng, models, adapters);
        requests.push(TraceRequest {
            arrives_after: Duration::from_secs_f64(at_s),
            model,
            purpose,
        });
    }
}

fn model(rng: &mut ChaCha8Rng, models: usize, adapters: usize) -> String {
    let is_adapter = adapters > 0 && rng.random_bool(0.4);
    let count = if is_adapter { adapters } else { models };
    // The square of a number between 0 and 1 falls near 0 most often.
    let drawn = rng.random::<f64>().powi(2);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a place in a short list"
    )]
    let place = ((drawn * count as f64) as usize).min(count - 1);
    if is_adapter {
        format!("adapter{place}@1")
    } else {
        format!("model{place}@1")
    }
}
