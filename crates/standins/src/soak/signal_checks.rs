//! Checks that requests respect the engines' signals: leaving and backoff.

use super::SoakReport;
use super::callers::Record;
use super::cluster::{Engine, SoakCluster};
use crate::platform::model_server::Arrival;
use passway_types::prelude::*;
use serde::Serialize;
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
    }
    check_backoffs(cluster, &by_id, report);
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

/// A request that reached a server, as the check of backoffs sees it.
struct BackoffArrival {
    id: String,
    server: String,
    arrived_at: Instant,
    /// The backoff that the answer asked for, and when it was sent.
    asked: Option<(Duration, Instant)>,
}

fn arrivals_with_backoffs(cluster: &SoakCluster) -> Vec<BackoffArrival> {
    let plain = cluster.plain_arrivals().into_iter();
    let plain = plain.map(|arrival| BackoffArrival {
        id: arrival
            .received
            .header("request-id")
            .unwrap_or_default()
            .to_owned(),
        arrived_at: arrival.received.readable_at,
        asked: arrival
            .backoff
            .zip(arrival.ended.map(|ended| ended.ended_at)),
        server: arrival.server,
    });
    let engines = cluster.engines().into_iter().flat_map(|engine| {
        let ended_scripts = engine.server.listener().ended_scripts();
        let arrivals = engine.server.arrivals().into_iter();
        arrivals.map(move |arrival| {
            let ended = ended_scripts.get(&arrival.number);
            BackoffArrival {
                id: arrival.id,
                server: engine.server.id.clone(),
                arrived_at: arrival.readable_at,
                asked: arrival.backoff.zip(ended.map(|ended| ended.ended_at)),
            }
        })
    });
    plain.chain(engines).collect()
}

/// The backoffs that servers asked for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct BackoffCounts {
    /// Answers that asked for a backoff of more than [`IN_FLIGHT_WINDOW`].
    pub asked: usize,
    /// The most requests of one instance that reached a server within a backoff.
    pub most_within: usize,
    /// The same, with instances that were not in touch.
    pub most_within_from_all: usize,
}

/// At most [`MAX_WITHIN_BACKOFF`] requests from one instance reach a server between [`IN_FLIGHT_WINDOW`] after it has
/// answered that instance with a backoff and the end of the backoff (users' pages). An instance that was not in
/// touch then is excused, and so is one whose way to the engine was harmed.
fn check_backoffs(cluster: &SoakCluster, by_id: &HashMap<&str, &Record>, report: &mut SoakReport) {
    let mut by_link: HashMap<(usize, String), Vec<BackoffArrival>> = HashMap::new();
    for arrival in arrivals_with_backoffs(cluster) {
        if let Some(record) = by_id.get(&*arrival.id) {
            let link = (record.instance, arrival.server.clone());
            by_link.entry(link).or_default().push(arrival);
        }
    }
    let engines = cluster.engines();
    for ((instance, server), arrivals) in by_link {
        let engine = engines.iter().find(|engine| engine.server.id == server);
        for asked in &arrivals {
            let Some((backoff, answered_at)) = asked.asked else {
                continue;
            };
            if backoff <= IN_FLIGHT_WINDOW {
                continue;
            }
            report.backoffs.asked += 1;
            let (from, until) = (answered_at + IN_FLIGHT_WINDOW, answered_at + backoff);
            let within = arrivals.iter();
            let count = within
                .filter(|other| (from..until).contains(&other.arrived_at))
                .count();
            let counts = &mut report.backoffs;
            counts.most_within_from_all = counts.most_within_from_all.max(count);
            let is_harmed =
                engine.is_some_and(|engine| engine.proxy_disturbances.overlaps(answered_at, until));
            if is_harmed || !cluster.instances[instance].was_in_touch(answered_at, until) {
                continue;
            }
            counts.most_within = counts.most_within.max(count);
            if count > MAX_WITHIN_BACKOFF {
                report.broken.push(format!(
                    "{count} requests of instance {instance} reached {server} within the backoff after {}",
                    asked.id
                ));
            }
        }
    }
}
