//! Checks that requests respect the engines' signals: leaving and backoff.

use super::SoakReport;
use super::callers::Record;
use super::cluster::{Engine, SoakCluster};
use super::silences::BegunSilence;
use crate::platform::model_server::Arrival;
use passway_types::prelude::*;
use std::collections::HashMap;

/// Time after an instance has forwarded an engine's leaving signal for which its requests may still
/// reach the engine.
const DRAIN_WINDOW: Duration = Duration::from_secs(2);
/// Time after the start of a backoff for which requests are considered in flight and not counted.
const IN_FLIGHT_WINDOW: Duration = Duration::from_millis(500);
/// Maximum number of requests from one instance that may reach an engine within a backoff.
const MAX_WITHIN_BACKOFF: usize = 2;

/// The index and incarnation of an instance, and the restart count of an engine.
type Link = (usize, u64, usize);

/// A request that reached an engine, with its sender and receiver.
struct SentRequest<'a> {
    arrival: &'a Arrival,
    record: &'a Record,
    link: Link,
}

/// Checks the requests that reached engines after their signals.
pub(super) fn check_signals(cluster: &SoakCluster, records: &[Record], report: &mut SoakReport) {
    let by_id: HashMap<&str, &Record> =
        records.iter().map(|record| (&*record.id, record)).collect();
    let silences = cluster.silences.begun();
    for engine in cluster.engines() {
        let arrivals = engine.server.arrivals();
        let requests = arrivals.iter().filter_map(|arrival| {
            let record = by_id.get(&*arrival.id)?;
            // Requests of an instance that was paused, killed or disconnected are skipped.
            let incarnation = record.incarnation.filter(|_| !record.was_disturbed)?;
            let link = (record.instance, incarnation, arrival.restart_count);
            Some(SentRequest {
                arrival,
                record,
                link,
            })
        });
        let requests: Vec<SentRequest<'_>> = requests.collect();
        check_leaving(&engine, &requests, report);
        check_backoff(&engine, &requests, &silences, report);
    }
}

/// No request reaches an engine more than [`DRAIN_WINDOW`] after the sending instance has forwarded
/// the engine's leaving signal.
fn check_leaving(engine: &Engine, requests: &[SentRequest<'_>], report: &mut SoakReport) {
    let mut forwarded_at: HashMap<Link, Instant> = HashMap::new();
    for request in requests.iter().filter(|request| request.arrival.is_leaving) {
        let answer = request.record.answer.as_ref();
        if answer.is_some_and(|answer| answer.header("server-leaving") == Some("1")) {
            let at = forwarded_at
                .entry(request.link)
                .or_insert(request.record.ended_at);
            *at = request.record.ended_at.min(*at);
        }
    }
    for request in requests {
        let is_late = |at: &Instant| request.arrival.arrived_at > *at + DRAIN_WINDOW;
        if forwarded_at.get(&request.link).is_some_and(is_late) {
            let (id, engine) = (&request.arrival.id, &engine.server.id);
            let violation =
                format!("{id} reached {engine}, whose leaving signal had been forwarded");
            report.broken.push(violation);
        }
    }
}

/// At most [`MAX_WITHIN_BACKOFF`] requests from one instance reach an engine within a backoff that
/// the engine asked for. An answer that a silence held back was late, or was lost in a reset meanwhile;
/// so may be one during a fault of the engine's proxy, which may also deliver a request late.
fn check_backoff(
    engine: &Engine,
    requests: &[SentRequest<'_>],
    silences: &[BegunSilence],
    report: &mut SoakReport,
) {
    for request in requests {
        let Some(backoff) = request.arrival.backoff else {
            continue;
        };
        let arrived_at = request.arrival.arrived_at;
        let is_held_back = silences.iter().any(|silence| {
            silence.server == engine.server.id
                && (silence.began_at..silence.ends_at).contains(&arrived_at)
        });
        if is_held_back {
            continue;
        }
        let ends_at = arrived_at + backoff;
        if engine.proxy_disturbances.overlaps(arrived_at, ends_at) {
            continue;
        }
        let within = arrived_at + IN_FLIGHT_WINDOW..ends_at;
        let others = requests.iter().filter(|other| other.link == request.link);
        let count = others
            .filter(|other| within.contains(&other.arrival.arrived_at))
            .count();
        if count > MAX_WITHIN_BACKOFF {
            let (id, engine) = (&request.arrival.id, &engine.server.id);
            let violation =
                format!("{count} requests reached {engine} within the backoff after {id}");
            report.broken.push(violation);
        }
    }
}
