//! Checks that no answer is broken off while the server that makes it lives, however long the
//! server is silent.

use super::SoakReport;
use super::callers::Record;
use super::cluster::{Engine, SoakCluster};
use super::silences::BegunSilence;
use crate::platform::caller::DEADLINE;
use crate::platform::model_server::{Run, RunEnd};
use passway_types::prelude::*;
use std::collections::HashMap;

/// Statuses by which an instance says that it has no whole answer, although the request may have run.
const FAILURES: [u16; 3] = [500, 502, 504];
/// Time after an interruption of an instance in which runs end that the instance had sent on behalf
/// of another one.
const PASSED_ON_DELAY: Duration = Duration::from_millis(100);

/// Longest time from the sending of a request to the begin of its run at a server that is not silent: a
/// reset within it broke the connection of the run.
const ARRIVAL_DELAY: Duration = Duration::from_millis(50);

/// Longest time from the end of a request's last run to the end of its answer, on a busy machine.
const MAX_ANSWER_END_DELAY: Duration = Duration::from_millis(300);

/// A run at a server.
#[derive(Debug, Clone)]
struct ServedRun {
    server: String,
    /// The engine; `None` for a plain server.
    engine: Option<Engine>,
    run: Run,
}

/// Checks each request whose answer was broken off: the run that ended last must not have been closed by
/// an instance while the server went on with it. Runs that ended before may have been given up because
/// another one went on.
pub(super) fn check_kept(cluster: &SoakCluster, records: &[Record], report: &mut SoakReport) {
    let last_runs = last_runs(cluster);
    let silences = cluster.silences.begun();
    for record in records.iter().filter(|record| is_broken_off(record)) {
        let Some(served) = last_runs.get(&record.id) else {
            continue;
        };
        // A server that has ended the run, or would have broken it off, has no whole answer.
        let Some((RunEnd::ClosedByPeer, closed_at)) = served.run.end else {
            continue;
        };
        if is_excused(cluster, record, served, closed_at) {
            continue;
        }
        report
            .broken
            .push(violation(record, served, closed_at, &silences));
    }
}

/// Returns whether the caller waited for the end but got no whole answer, and none that says that the
/// request was not executed.
fn is_broken_off(record: &Record) -> bool {
    let answer = record.answer.as_ref();
    let is_broken = answer.is_none_or(|answer| {
        !answer.is_complete && answer.status == 200 || FAILURES.contains(&answer.status)
    });
    is_broken && !record.was_left
}

/// Returns the run of each request that ended last, over all servers; one that has not ended, if any.
fn last_runs(cluster: &SoakCluster) -> HashMap<String, ServedRun> {
    let plain = cluster.plain_runs().into_iter();
    let plain = plain.map(|(server, run)| ServedRun {
        server,
        engine: None,
        run,
    });
    let engines = cluster.engines().into_iter().flat_map(|engine| {
        let runs = engine.server.runs().into_iter();
        runs.map(move |run| ServedRun {
            server: engine.server.id.clone(),
            engine: Some(engine.clone()),
            run,
        })
    });
    let mut runs: Vec<ServedRun> = plain.chain(engines).collect();
    runs.sort_by_key(|served| {
        let ended_at = served.run.end.map(|(_, ended_at)| ended_at);
        (ended_at.is_none(), ended_at)
    });
    let runs = runs.into_iter();
    runs.map(|served| (served.run.id.clone(), served)).collect()
}

/// Returns whether the run could not be expected to go on.
fn is_excused(
    cluster: &SoakCluster,
    record: &Record,
    served: &ServedRun,
    closed_at: Instant,
) -> bool {
    let began_at = served.run.began_at;
    // The answer waited until the deadline, at a server that the request may not have reached; the
    // route's timeout is longer.
    let is_late = closed_at.max(record.ended_at) >= record.sent_at + DEADLINE;
    let mut instances = cluster.instances.iter().enumerate();
    let is_interrupted = instances.any(|(number, instance)| {
        // The instance was killed or paused during the run, or was at the end of its grace period.
        // Another instance may have sent the request on its behalf; if that one is interrupted, the
        // run ends at once.
        let from = if number == record.instance {
            began_at
        } else {
            closed_at.checked_sub(PASSED_ON_DELAY).unwrap_or(began_at)
        };
        instance.interruptions.overlaps(from, closed_at)
    });
    // The process that held the caller's connection was killed. On a busy machine, the server may read
    // the request only after that, so that the run begins after the interruption.
    let is_killed = cluster.instances[record.instance].was_killed(record.sent_at, record.ended_at);
    // The connection was broken, delayed or silenced on its way, or the engine crashed or restarted
    // during the run. Plain servers have no proxy and never end.
    let is_cut = served.engine.as_ref().is_some_and(|engine| {
        let mut ends = engine.server.down_at().into_iter();
        let sent_from = began_at.checked_sub(ARRIVAL_DELAY).unwrap_or(began_at);
        engine.proxy_disturbances.overlaps(sent_from, closed_at)
            || ends.any(|ended_at| (began_at..=closed_at).contains(&ended_at))
    });
    // The request went on at an engine whose proxy kept it from arriving, so that no server has a run of
    // it that ended later.
    let ended_later = record.ended_at > closed_at + MAX_ANSWER_END_DELAY;
    let is_out_of_sight = ended_later
        && cluster.engines().iter().any(|engine| {
            let disturbances = &engine.proxy_disturbances;
            disturbances.overlaps(record.sent_at, record.ended_at)
        });
    is_late || is_interrupted || is_killed || is_cut || is_out_of_sight
}

/// Describes a run that was closed although its server lived.
fn violation(
    record: &Record,
    served: &ServedRun,
    closed_at: Instant,
    silences: &[BegunSilence],
) -> String {
    let silences = silences.iter().filter(|silence| {
        silence.server == served.server && (silence.began_at..=silence.ends_at).contains(&closed_at)
    });
    let silent_since = silences.map(|silence| silence.began_at).min();
    let silence = silent_since.map_or_else(
        || "not silent".to_owned(),
        |since| format!("silent for {} ms", (closed_at - since).as_millis()),
    );
    let ran_ms = (closed_at - served.run.began_at).as_millis();
    let status = record.answer.as_ref().map(|answer| answer.status);
    format!(
        "answer broken off while its server lives: {} {:?} at instance {}, status {status:?}; run at \
        {} closed after {ran_ms} ms, server {silence}",
        record.id, record.kind, record.instance, served.server
    )
}
