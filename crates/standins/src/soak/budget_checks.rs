//! Check that the arrivals at servers beyond the first of each request stay within the retry budget of
//! the whole fleet.

use super::SoakReport;
use super::callers::{Record, RequestKind};
use super::cluster::SoakCluster;
use crate::platform::process::{RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S};
use passway_types::prelude::*;
use serde::Serialize;
use std::collections::{BTreeMap, HashSet};

/// Distance between the windows that are counted.
const WINDOW_STEP: Duration = Duration::from_millis(20);

/// Repeats of requests that reached the servers of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Repeats {
    /// Repeats in the whole run.
    pub total: u32,
    /// Repeats in the window that comes nearest to what is allowed, or exceeds it by most.
    pub in_window: u32,
    /// Repeats that are allowed in that window.
    pub allowed: f64,
    /// Largest number of arrivals of one request.
    pub most_arrivals: u32,
}

/// What reached the servers of one service, and what callers sent for it.
#[derive(Debug, Default)]
struct ServiceLoad {
    /// Times at which requests were sent.
    sent_at: Vec<Instant>,
    /// Times and ids of arrivals.
    arrivals: Vec<(Instant, String)>,
}

impl ServiceLoad {
    fn repeats(mut self) -> Repeats {
        self.sent_at.sort();
        self.arrivals.sort();
        let mut first_ids = HashSet::new();
        let mut arrivals_by_id: BTreeMap<&str, u32> = BTreeMap::new();
        let mut repeated_at = Vec::new();
        for (arrived_at, id) in &self.arrivals {
            *arrivals_by_id.entry(id).or_default() += 1;
            if !first_ids.insert(id) {
                repeated_at.push(*arrived_at);
            }
        }
        Repeats {
            total: count_of(repeated_at.len()),
            most_arrivals: arrivals_by_id.into_values().max().unwrap_or(0),
            ..worst_window(&self.sent_at, &repeated_at)
        }
    }
}

fn count_of(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// Finds the window whose repeats exceed what is allowed by most. Allowed is a share of the requests of that
/// window, of the one before it or of the one that begins half a window earlier, whichever holds
/// most, and a fixed number. Both lists are sorted.
fn worst_window(sent_at: &[Instant], repeated_at: &[Instant]) -> Repeats {
    let window = Duration::from_secs_f64(RETRY_WINDOW_S);
    let (Some(first), Some(last)) = (sent_at.first(), repeated_at.last()) else {
        return Repeats::default();
    };
    // From the begin of the run on, so that subtracting a window stays within the clock's range.
    let offset = |at: &Instant| at.saturating_duration_since(*first) + window;
    let sent: Vec<Duration> = sent_at.iter().map(offset).collect();
    let repeated: Vec<Duration> = repeated_at.iter().map(offset).collect();
    let count = |times: &[Duration], from: Duration| {
        let before = |end: Duration| times.partition_point(|at| *at < end);
        count_of(before(from + window) - before(from))
    };
    let mut worst: Option<Repeats> = None;
    let excess = |repeats: &Repeats| f64::from(repeats.in_window) - repeats.allowed;
    let mut from = window;
    while from <= offset(last) {
        let begins =
            [Duration::ZERO, window / 2, window].map(|earlier| from.saturating_sub(earlier));
        let requests = begins.map(|begin| count(&sent, begin)).into_iter().max();
        let found = Repeats {
            in_window: count(&repeated, from),
            allowed: RETRY_RATIO * f64::from(requests.unwrap_or(0)) + RETRY_SLACK,
            ..Repeats::default()
        };
        if worst.is_none_or(|worst| excess(&found) > excess(&worst)) {
            worst = Some(found);
        }
        from += WINDOW_STEP;
    }
    worst.unwrap_or_default()
}

/// Checks the repeats at each service.
pub fn check_repeats(cluster: &SoakCluster, records: &[Record], report: &mut SoakReport) {
    let mut loads = BTreeMap::from(["engines", "plain"].map(|name| (name, ServiceLoad::default())));
    for record in records {
        let service = match record.kind {
            RequestKind::Resumable | RequestKind::Stream => "engines",
            RequestKind::Once | RequestKind::Again | RequestKind::Version(_) => "plain",
        };
        loads
            .entry(service)
            .or_default()
            .sent_at
            .push(record.sent_at);
    }
    let plain = cluster.plain_arrivals().into_iter().map(|arrival| {
        let received = arrival.received;
        let id = received.header("request-id").unwrap_or_default().to_owned();
        (received.arrived_at, id)
    });
    loads.entry("plain").or_default().arrivals.extend(plain);
    let engines = cluster.engines().into_iter();
    let engines = engines.flat_map(|engine| engine.server.arrivals());
    let engines = engines.map(|arrival| (arrival.arrived_at, arrival.id));
    loads.entry("engines").or_default().arrivals.extend(engines);
    for (service, load) in loads {
        let repeats = load.repeats();
        if f64::from(repeats.in_window) > repeats.allowed {
            report.broken.push(format!(
                "{} repeats reached {service} in {RETRY_WINDOW_S} s, {:.1} are allowed",
                repeats.in_window, repeats.allowed
            ));
        }
        report.repeats.insert(service, repeats);
    }
}
