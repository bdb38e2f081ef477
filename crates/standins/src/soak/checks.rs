//! The promises, judged from what callers and servers saw.

use super::SoakReport;
use super::callers::{Record, RequestKind};
use super::cluster::{MODELS, POISON, SoakCluster, is_shed, key_of_version};
use super::signal_checks;
use super::workspace_checks;
use crate::platform::caller::{Answer, fetch, request};
use crate::platform::model_server::{EVENTS, event};
use crate::platform::raw::RawServer;
use passway_types::prelude::*;
use std::collections::BTreeMap;

/// An instance may have at most so much resident memory: the smallest one's limit (users' pages).
const MAX_RESIDENT_BYTES: usize = 160 << 20;
/// Crashes that one request may bring about, and one more for each instance: copies that run
/// at one moment each end an engine, and so do instances that are cut off from the others.
const MAX_CRASHES: usize = 3;
/// Longest wait until everything is served again once nothing fails any more.
const RECOVERY_LIMIT: Duration = Duration::from_mins(1);
/// Pause between two tries.
const TRY_PAUSE: Duration = Duration::from_millis(100);

/// Judges what all callers saw.
pub fn check_promises(world: &SoakCluster, records: &[Record], report: &mut SoakReport) {
    let runs = runs(world);
    report.requests = records.len();
    report.crashed_engines = crashes(world);
    for record in records {
        let ran = runs.get(&record.id).copied().unwrap_or(0);
        match &record.answer {
            Some(answer) if answer.status == 200 && answer.is_complete => report.served += 1,
            Some(answer) if is_refusal(answer) => report.refused += 1,
            None => report.closed += 1,
            Some(_) => {}
        }
        let broken = [
            own_answer(record),
            run_once(record, ran),
            not_run_is_true(record, ran),
            not_lost(record, ran),
        ];
        let broken = broken.into_iter().flatten();
        report.broken.extend(broken.map(|what| {
            format!(
                "{what}: {} {:?} at instance {}",
                record.id, record.kind, record.instance
            )
        }));
    }
    workspace_checks::judge(world, records, report);
    signal_checks::judge(world, records, report);
    never_back(records, report);
    orders(world, report);
    let most = MAX_CRASHES + world.instances.len();
    if report.crashed_engines > most {
        let crashed = report.crashed_engines;
        report
            .broken
            .push(format!("one request ended {crashed} engines"));
    }
    for (number, site) in world.instances.iter().enumerate() {
        let bytes = site.program().resident_bytes();
        report.peak_bytes = report.peak_bytes.max(bytes);
        if bytes > MAX_RESIDENT_BYTES {
            report
                .broken
                .push(format!("instance {number} has {bytes} bytes"));
        }
    }
}

/// How many engines the request that crashes them has ended, those that started again among them.
fn crashes(world: &SoakCluster) -> usize {
    let engines = world.engines().into_iter();
    let crashes = engines.map(|engine| {
        let restarts = engine.server.restart_bodies();
        let restarts = restarts.iter().filter(|body| body.starts_with(POISON));
        usize::from(engine.server.has_crashed()) + restarts.count()
    });
    crashes.sum()
}

/// How often each request ran, at all servers.
fn runs(world: &SoakCluster) -> BTreeMap<String, usize> {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    let plain = world.plains.iter().flat_map(RawServer::received);
    let plain = plain.filter(|received| !is_shed(received));
    let plain = plain.map(|received| received.header("request-id").unwrap_or_default().to_owned());
    let engines = world.engines().into_iter();
    let streams = engines.flat_map(|engine| engine.server.executed_ids());
    for id in plain.chain(streams) {
        *runs.entry(id).or_default() += 1;
    }
    runs
}

fn is_refusal(answer: &Answer) -> bool {
    matches!(answer.status, 408 | 421 | 429 | 503)
}

/// A success is the server's whole answer to this request, and what is cut does not look whole.
fn own_answer(record: &Record) -> Option<String> {
    let answer = record
        .answer
        .as_ref()
        .filter(|answer| answer.status == 200)?;
    if answer.header("request-id") != Some(&record.id) {
        return Some("another request's answer".to_owned());
    }
    let whole = match record.kind {
        RequestKind::Resumable | RequestKind::Stream => {
            (1..=EVENTS).map(event).collect::<Vec<_>>().concat()
        }
        RequestKind::Once | RequestKind::Again | RequestKind::Version(_) => record.id.clone(),
    };
    let is_right = if answer.is_complete {
        answer.body == whole
    } else {
        whole.starts_with(&answer.body)
    };
    (!is_right).then(|| format!("a wrong body, {:?}", answer.body))
}

/// What may run once does not run again.
fn run_once(record: &Record, ran: usize) -> Option<String> {
    let once = matches!(record.kind, RequestKind::Once | RequestKind::Stream);
    (once && ran > 1).then(|| format!("ran {ran} times"))
}

/// What has run is not refused as "not run".
fn not_run_is_true(record: &Record, ran: usize) -> Option<String> {
    let once = matches!(record.kind, RequestKind::Once | RequestKind::Stream);
    let refused = record.answer.as_ref().is_some_and(is_refusal);
    (once && refused && ran > 0).then(|| "refused as not run, and has run".to_owned())
}

/// A planned stop cuts nothing: a call that a plain server has run gets an answer, unless
/// something else happened to the instance.
fn not_lost(record: &Record, ran: usize) -> Option<String> {
    let is_plain = !matches!(record.kind, RequestKind::Resumable | RequestKind::Stream);
    let lost = is_plain && ran > 0 && record.answer.is_none() && !record.was_disturbed;
    lost.then(|| "ran, and its connection ended without an answer".to_owned())
}

/// Once a caller was served by a version's route, the same life of a process refuses it none of
/// that or an older version.
fn never_back(records: &[Record], report: &mut SoakReport) {
    // Records of different callers are not in one order, those of one are.
    let mut last: BTreeMap<(&str, usize, u64), u64> = BTreeMap::new();
    for record in records {
        let (RequestKind::Version(version), Some(life), Some(answer)) =
            (record.kind, record.incarnation, &record.answer)
        else {
            continue;
        };
        let caller = record.id.split('-').next().unwrap_or_default();
        let newest = last.entry((caller, record.instance, life)).or_default();
        match answer.status {
            200 => *newest = version.max(*newest),
            404 if version <= *newest => {
                let what = format!("version {version} is gone after {newest}: {}", record.id);
                report.broken.push(what);
            }
            _ => {}
        }
    }
}

/// No engine is ordered beyond its room, or by an older holder after a newer one.
fn orders(world: &SoakCluster, report: &mut SoakReport) {
    for engine in world.engines() {
        let id = &engine.server.id;
        if engine.server.loads_over_capacity() > 0 {
            report
                .broken
                .push(format!("{id} was ordered to load without room"));
        }
        let fences: Vec<u64> = engine
            .server
            .accepted_orders()
            .iter()
            .map(|o| o.fence)
            .collect();
        if !fences.is_sorted() {
            report
                .broken
                .push(format!("{id} took an older holder's order: {fences:?}"));
        }
    }
}

/// Once nothing fails any more, each instance serves each kind.
pub fn check_recovery(world: &SoakCluster, report: &mut SoakReport) {
    if !world.wait_until_ready() {
        report
            .broken
            .push("an instance does not become ready again".to_owned());
        return;
    }
    for (number, site) in world.instances.iter().enumerate() {
        let key = format!(
            "Authorization: Token {}\r\n",
            key_of_version(world.version())
        );
        let model = format!("{key}Model: {}\r\n", MODELS[number % MODELS.len()]);
        let kinds = [
            ("GET", "/read/", &*key),
            ("POST", "/pay/", &*key),
            ("POST", "/chat/", &*model),
        ];
        for (method, path, more) in kinds {
            let limit_at = Instant::now() + RECOVERY_LIMIT;
            let is_served = || {
                let bytes = request(method, path, "after", more, "after");
                fetch(site.callers_address, &bytes)
                    .is_some_and(|a| a.status == 200 && a.is_complete)
            };
            while !is_served() {
                if Instant::now() >= limit_at {
                    let broken = format!("{path} is not served again at instance {number}");
                    report.broken.push(broken);
                    break;
                }
                std::thread::sleep(TRY_PAUSE);
            }
        }
    }
}
