//! Checks that requests, and parts of prompts, which crash servers soon reach none any more, in the words of the
//! users' rule: more than three requests must not reach servers later than [`CONTACT_DURATION`] after the third crash
//! under a request, or the fifth under a part, if machines in touch sent them.

use super::SoakReport;
use super::callers::{Record, RequestKind};
use super::cluster::SoakCluster;
use super::culprits::{Culprit, CulpritKind};
use super::schedule::CONTACT_DURATION;
use passway_types::prelude::*;
use serde::Serialize;
use std::collections::HashMap;

/// Number of requests that may reach servers afterwards.
const MAX_LATE: usize = 3;
/// Time at the end of a generation of culprits in which sound requests are counted.
const SETTLED_DURATION: Duration = Duration::from_secs(10);

/// What culprits of one kind did.
#[derive(Debug, Clone, Default, Serialize)]
pub struct CulpritCounts {
    /// Number of servers that each culprit ended, the most first.
    pub ended: Vec<usize>,
    /// Number of requests of each culprit that reached servers too late, from machines in touch.
    pub late: Vec<usize>,
    /// The same from all machines.
    pub late_from_all: Vec<usize>,
}

/// Sound requests, in calm times and in the last seconds in which culprits were repeated.
#[derive(Debug, Clone, Default, Serialize)]
pub struct SoundCounts {
    /// Requests for engines.
    pub engines: SoundShare,
    /// Requests for plain servers.
    pub plain: SoundShare,
}

/// Requests that were sent, and how many of them were served whole.
#[derive(Debug, Clone, Default, Serialize)]
pub struct SoundShare {
    /// Sent while no culprits were repeated.
    pub calm_sent: usize,
    /// Served of these.
    pub calm_served: usize,
    /// Sent while culprits had been repeated for some time.
    pub pressed_sent: usize,
    /// Served of these.
    pub pressed_served: usize,
}

/// The end of a server under a request with this body.
struct ServerEnd {
    body: String,
    ended_at: Instant,
}

/// A request that reached a server.
struct Arrival {
    id: String,
    arrived_at: Instant,
}

fn server_ends(cluster: &SoakCluster) -> Vec<ServerEnd> {
    let plain = cluster.plain_servers.iter();
    let plain = plain.flat_map(|server| {
        let crashes = server.crashes().into_iter();
        crashes.map(|crash| ServerEnd {
            body: crash.body,
            ended_at: crash.ended_at,
        })
    });
    let engines = cluster.engines().into_iter();
    let engines = engines.flat_map(|engine| {
        // The crash for good is the last end.
        let bodies = engine.server.restart_bodies().into_iter();
        let bodies = bodies.chain(engine.server.crash_body());
        let ends = bodies.zip(engine.server.down_at());
        ends.map(|(body, ended_at)| ServerEnd { body, ended_at })
    });
    plain.chain(engines).collect()
}

fn all_arrivals(cluster: &SoakCluster) -> Vec<Arrival> {
    let plain = cluster.plain_arrivals().into_iter();
    let plain = plain.map(|arrival| Arrival {
        id: arrival
            .received
            .header("request-id")
            .unwrap_or_default()
            .to_owned(),
        arrived_at: arrival.received.readable_at,
    });
    let engines = cluster.engines().into_iter();
    let engines = engines.flat_map(|engine| engine.server.arrivals());
    let engines = engines.map(|arrival| Arrival {
        id: arrival.id,
        arrived_at: arrival.readable_at,
    });
    plain.chain(engines).collect()
}

/// Returns whether the machine that took a request was in touch when the request reached a server, and the store
/// was free of disturbance.
fn is_in_touch(cluster: &SoakCluster, record: &Record, arrived_at: Instant) -> bool {
    let from = arrived_at.checked_sub(CONTACT_DURATION);
    from.is_some_and(|from| {
        cluster.instances[record.instance].was_in_touch(from, arrived_at)
            && !cluster.store_disturbances.overlaps(from, arrived_at)
    })
}

/// Checks the requests of each culprit.
pub(super) fn check_culprits(cluster: &SoakCluster, records: &[Record], report: &mut SoakReport) {
    let ends = server_ends(cluster);
    let arrivals = all_arrivals(cluster);
    let crashing = records.iter().filter(|record| !record.is_sound);
    let by_id: HashMap<&str, &Record> = crashing.map(|record| (&*record.id, record)).collect();
    for culprit in cluster.culprits.all() {
        let ended = ends.iter().filter(|end| culprit.has(&end.body));
        let mut ended_at: Vec<Instant> = ended.map(|end| end.ended_at).collect();
        ended_at.sort_unstable();
        let counts = report.culprits.entry(culprit.kind.name()).or_default();
        counts.ended.push(ended_at.len());
        let Some(known_at) = ended_at.get(culprit.kind.known_crashes() - 1) else {
            continue;
        };
        let limit_at = *known_at + CONTACT_DURATION;
        let late = arrivals.iter().filter_map(|arrival| {
            let record = by_id.get(&*arrival.id)?;
            (arrival.arrived_at > limit_at && culprit.has(&record.body))
                .then_some((arrival, record))
        });
        let late: Vec<_> = late.collect();
        let in_touch = late.iter();
        let in_touch = in_touch
            .filter(|(arrival, record)| is_in_touch(cluster, record, arrival.arrived_at))
            .count();
        counts.late.push(in_touch);
        counts.late_from_all.push(late.len());
        if in_touch > MAX_LATE {
            report
                .broken
                .push(violation(&culprit, in_touch, ended_at.len()));
        }
    }
    for counts in report.culprits.values_mut() {
        for numbers in [
            &mut counts.ended,
            &mut counts.late,
            &mut counts.late_from_all,
        ] {
            numbers.sort_unstable_by(|a, b| b.cmp(a));
        }
    }
    report.sound = sound_counts(cluster, records);
}

fn violation(culprit: &Culprit, late: usize, ended: usize) -> String {
    let what = match culprit.kind {
        CulpritKind::Request(_) => "crashing request",
        CulpritKind::Part => "request with a crashing part",
    };
    format!(
        "{late} copies of a {what} ({}, {}) reached servers later than {CONTACT_DURATION:?} after crash number {} of {ended}",
        culprit.kind.name(),
        culprit.body,
        culprit.kind.known_crashes()
    )
}

fn sound_counts(cluster: &SoakCluster, records: &[Record]) -> SoundCounts {
    let spans = cluster.culprits.spans();
    let mut counts = SoundCounts::default();
    let sound = records.iter().filter(|record| {
        record.is_sound
            && record.take_up.is_none()
            && !record.was_left
            && record.key_version.is_some()
    });
    for record in sound {
        let share = match record.kind {
            RequestKind::Resumable | RequestKind::Stream => &mut counts.engines,
            RequestKind::Once | RequestKind::Again | RequestKind::Version(_) => &mut counts.plain,
        };
        let answer = record.answer.as_ref();
        let is_served = answer.is_some_and(|answer| answer.status == 200 && answer.is_complete);
        let is_within = |(from, to): &(Instant, Instant)| (*from..*to).contains(&record.sent_at);
        let is_settled = |(_, to): &(Instant, Instant)| {
            let from = to.checked_sub(SETTLED_DURATION);
            from.is_some_and(|from| (from..*to).contains(&record.sent_at))
        };
        if spans.iter().any(is_settled) {
            share.pressed_sent += 1;
            share.pressed_served += usize::from(is_served);
        } else if !spans.iter().any(is_within) {
            share.calm_sent += 1;
            share.calm_served += usize::from(is_served);
        }
    }
    counts
}
