//! Whether engines got what they had said that they do not want.

use super::SoakReport;
use super::callers::Record;
use super::cluster::{Engine, SoakCluster};
use crate::platform::model_server::Arrival;
use passway_types::prelude::*;
use std::collections::HashMap;

/// A request may reach an engine so long after its instance has passed on that the engine leaves.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// What is on its way when an engine asks for rest does not count.
const ON_ITS_WAY: Duration = Duration::from_millis(500);
/// Requests that may reach an engine from one instance within a rest.
const MOST_WITHIN_REST: usize = 2;

/// One life of an instance before one start of an engine.
type Pair = (usize, u64, usize);

/// A request that reached an engine, with the instance that sent it.
struct Sent<'a> {
    arrival: &'a Arrival,
    record: &'a Record,
    pair: Pair,
}

/// Judges what reached engines after their words.
pub(super) fn judge(world: &SoakCluster, records: &[Record], report: &mut SoakReport) {
    let by_id: HashMap<&str, &Record> = records.iter().map(|r| (&*r.id, r)).collect();
    for engine in world.engines() {
        let arrivals = engine.server.arrivals();
        let sent = arrivals.iter().filter_map(|arrival| {
            let record = by_id.get(&*arrival.id)?;
            // One that was paused, killed or cut has an excuse.
            let life = record.incarnation.filter(|_| !record.was_disturbed)?;
            let pair = (record.instance, life, arrival.restart_count);
            Some(Sent {
                arrival,
                record,
                pair,
            })
        });
        let sent: Vec<Sent<'_>> = sent.collect();
        leaving(&engine, &sent, report);
        if !engine
            .proxy_was_disturbed
            .load(std::sync::atomic::Ordering::Acquire)
        {
            resting(&engine, &sent, report);
        }
    }
}

/// Nothing reaches an engine late from an instance that has passed on that it leaves.
fn leaving(engine: &Engine, sent: &[Sent<'_>], report: &mut SoakReport) {
    let mut passed_on: HashMap<Pair, Instant> = HashMap::new();
    for one in sent.iter().filter(|one| one.arrival.is_leaving) {
        let answer = one.record.answer.as_ref();
        if answer.is_some_and(|answer| answer.header("server-leaving") == Some("1")) {
            let at = passed_on.entry(one.pair).or_insert(one.record.ended_at);
            *at = one.record.ended_at.min(*at);
        }
    }
    for one in sent {
        let is_late = |at: &Instant| one.arrival.arrived_at > *at + DRAIN_TIME;
        if passed_on.get(&one.pair).is_some_and(is_late) {
            let (id, engine) = (&one.arrival.id, &engine.server.id);
            let what = format!("{id} reached {engine}, which had said that it leaves");
            report.broken.push(what);
        }
    }
}

/// No more than a few requests reach an engine from an instance within the rest that it asked for.
fn resting(engine: &Engine, sent: &[Sent<'_>], report: &mut SoakReport) {
    for one in sent {
        let Some(rest) = one.arrival.backoff else {
            continue;
        };
        let within = one.arrival.arrived_at + ON_ITS_WAY..one.arrival.arrived_at + rest;
        let others = sent.iter().filter(|other| other.pair == one.pair);
        let count = others
            .filter(|other| within.contains(&other.arrival.arrived_at))
            .count();
        if count > MOST_WITHIN_REST {
            let (id, engine) = (&one.arrival.id, &engine.server.id);
            let what = format!("{count} requests reached {engine} within the rest after {id}");
            report.broken.push(what);
        }
    }
}
