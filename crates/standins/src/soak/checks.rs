//! Checks the invariants against the records of callers and servers.

use super::SoakReport;
use super::attempt_checks;
use super::budget_checks;
use super::callers::{Record, RequestKind};
use super::cluster::{CRASHING_PART_BODY, MODELS, POISON, SoakCluster, key_of_version};
use super::crash_checks;
use super::event_checks;
use super::schedule::CalmStretch;
use super::signal_checks;
use super::silence_checks;
use super::version_checks;
use super::workspace_checks;
use crate::platform::caller::{Answer, fetch, request};
use passway_types::prelude::*;
use std::collections::BTreeMap;

/// Maximum resident memory of an instance, in bytes: the limit of the smallest instance according
/// to the users.
const MAX_RESIDENT_BYTES: usize = 160 << 20;
/// Maximum wait until all requests are served after the faults have ended.
const RECOVERY_TIMEOUT: Duration = Duration::from_mins(1);
/// Pause between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Checks all records and fills in the report.
pub fn check_promises(
    cluster: &SoakCluster,
    records: &[Record],
    calm_stretches: &[CalmStretch],
    report: &mut SoakReport,
) {
    let execution_counts = execution_counts(cluster);
    report.requests = records.len();
    report.crashed_engines = count_crashes(cluster, POISON);
    report.crashed_by_part = count_crashes(cluster, CRASHING_PART_BODY);
    for record in records {
        let executions = execution_counts.get(&record.id).copied().unwrap_or(0);
        match &record.answer {
            Some(answer) if answer.status == 200 && answer.is_complete => report.served += 1,
            Some(answer) if is_refusal(answer) => report.refused += 1,
            None => report.closed += 1,
            Some(_) => {}
        }
        let violations = [
            check_answer(record),
            check_executed_once(record, executions),
            check_refusal(record, executions),
            check_not_lost(record, executions),
        ];
        let violations = violations.into_iter().flatten();
        report.broken.extend(violations.map(|violation| {
            format!(
                "{violation}: {} {:?} at instance {}",
                record.id, record.kind, record.instance
            )
        }));
    }
    crash_checks::check_culprits(cluster, records, report);
    attempt_checks::check_attempts(cluster, records, report);
    budget_checks::check_repeats(cluster, records, report);
    workspace_checks::check_keys_and_quota(cluster, records, report);
    signal_checks::check_signals(cluster, records, report);
    silence_checks::check_kept(cluster, records, report);
    event_checks::check_events(cluster, records, report);
    version_checks::check_software(cluster, records, calm_stretches, report);
    check_versions(records, report);
    check_orders(cluster, report);
    for (number, instance) in cluster.instances.iter().enumerate() {
        let bytes = instance.process().resident_bytes();
        report.peak_bytes = report.peak_bytes.max(bytes);
        if bytes > MAX_RESIDENT_BYTES {
            report.broken.push(format!(
                "instance {number} uses {bytes} bytes of resident memory"
            ));
        }
    }
}

/// Returns the number of engine crashes under requests whose bodies begin with `body`, restarted engines
/// included.
fn count_crashes(cluster: &SoakCluster, body: &str) -> usize {
    let engines = cluster.engines().into_iter();
    let crashes = engines.map(|engine| {
        let bodies = engine.server.restart_bodies().into_iter();
        let bodies = bodies.chain(engine.server.crash_body());
        bodies.filter(|crashed| crashed.starts_with(body)).count()
    });
    crashes.sum()
}

/// Returns the number of executions of each request, over all servers. A run that continues another one
/// with a copy of its memory is the same execution.
fn execution_counts(cluster: &SoakCluster) -> BTreeMap<String, usize> {
    let mut execution_counts: BTreeMap<String, usize> = BTreeMap::new();
    let plain = cluster.plain_arrivals().into_iter();
    let plain = plain.filter(|arrival| !cluster.is_shed(arrival));
    let plain = plain.map(|arrival| {
        let id = arrival.received.header("request-id");
        id.unwrap_or_default().to_owned()
    });
    let engines = cluster.engines().into_iter();
    let streams = engines.flat_map(|engine| engine.server.executed_ids());
    for id in plain.chain(streams) {
        *execution_counts.entry(id).or_default() += 1;
    }
    let runs = cluster.engines().into_iter();
    let runs = runs.flat_map(|engine| engine.server.begun_runs());
    for run in runs.filter(|run| run.is_continuation) {
        if let Some(count) = execution_counts.get_mut(&run.request_id) {
            *count -= 1;
        }
    }
    execution_counts
}

fn is_refusal(answer: &Answer) -> bool {
    matches!(answer.status, 408 | 421 | 429 | 503)
}

/// An answer with status 200 belongs to the request. A complete one has the server's whole body, an
/// incomplete one a prefix of it.
fn check_answer(record: &Record) -> Option<String> {
    let answer = record
        .answer
        .as_ref()
        .filter(|answer| answer.status == 200)?;
    if answer.header("request-id") != Some(&record.id) {
        return Some("the answer belongs to another request".to_owned());
    }
    if matches!(record.kind, RequestKind::Resumable | RequestKind::Stream) {
        // Their events are checked one by one.
        return None;
    }
    let is_right = if answer.is_complete {
        answer.body == record.id
    } else {
        record.id.starts_with(&answer.body)
    };
    (!is_right).then(|| format!("unexpected body: {:?}", answer.body))
}

/// A request that may be executed at most once isn't executed again.
fn check_executed_once(record: &Record, executions: usize) -> Option<String> {
    let at_most_once = matches!(record.kind, RequestKind::Once | RequestKind::Stream);
    (at_most_once && executions > 1).then(|| format!("executed {executions} times"))
}

/// An executed request that may run only once isn't refused as not executed.
fn check_refusal(record: &Record, executions: usize) -> Option<String> {
    let at_most_once = matches!(record.kind, RequestKind::Once | RequestKind::Stream);
    let is_refused = record.answer.as_ref().is_some_and(is_refusal);
    (at_most_once && is_refused && executions > 0)
        .then(|| "refused as not executed, but executed".to_owned())
}

/// A planned stop loses no answers: a call that a plain server has executed is answered, unless the
/// instance was disturbed.
fn check_not_lost(record: &Record, executions: usize) -> Option<String> {
    let is_plain = !matches!(record.kind, RequestKind::Resumable | RequestKind::Stream);
    let is_lost = is_plain && executions > 0 && record.answer.is_none() && !record.was_disturbed;
    is_lost.then(|| "executed, but its connection ended without an answer".to_owned())
}

/// Once a process has served a caller by the route of a version, the same incarnation still has the
/// routes of this and older versions.
fn check_versions(records: &[Record], report: &mut SoakReport) {
    // Only the records of the same caller are in chronological order.
    let mut newest_by_process: BTreeMap<(&str, usize, u64), u64> = BTreeMap::new();
    for record in records {
        let (RequestKind::Version(version), Some(incarnation), Some(answer)) =
            (record.kind, record.incarnation, &record.answer)
        else {
            continue;
        };
        let caller = record.id.split('-').next().unwrap_or_default();
        let newest_served = newest_by_process
            .entry((caller, record.instance, incarnation))
            .or_default();
        match answer.status {
            200 => *newest_served = version.max(*newest_served),
            404 if version <= *newest_served => {
                let violation = format!(
                    "version {version} is refused after version {newest_served} was served: {}",
                    record.id
                );
                report.broken.push(violation);
            }
            _ => {}
        }
    }
}

/// No engine gets load orders beyond its capacity, or orders of an older holder after a newer one's. No
/// two holders use the same fencing number.
fn check_orders(cluster: &SoakCluster, report: &mut SoakReport) {
    let mut holders: BTreeMap<u64, String> = BTreeMap::new();
    for engine in cluster.engines() {
        let id = &engine.server.id;
        if engine.server.loads_over_capacity() > 0 {
            report
                .broken
                .push(format!("{id} received a load order beyond its capacity"));
        }
        let orders = engine.server.accepted_orders();
        for order in &orders {
            let holder = holders
                .entry(order.fence)
                .or_insert_with(|| order.holder.clone());
            if *holder != order.holder {
                let violation = format!(
                    "{holder} and {} used the fencing number {}",
                    order.holder, order.fence
                );
                report.broken.push(violation);
            }
        }
        let fences: Vec<u64> = orders.iter().map(|order| order.fence).collect();
        if !fences.is_sorted() {
            report.broken.push(format!(
                "{id} accepted an older holder's order after a newer one's: {fences:?}"
            ));
        }
    }
}

/// Checks that each instance becomes ready and serves each kind of request after the faults have
/// ended.
pub fn check_recovery(cluster: &SoakCluster, report: &mut SoakReport) {
    if !cluster.wait_until_ready() {
        report
            .broken
            .push("an instance did not become ready again".to_owned());
        return;
    }
    // All at once: a check takes seconds, and there may be dozens of instances.
    std::thread::scope(|scope| {
        let instances = 0..cluster.instances.len();
        let checks: Vec<_> = instances
            .map(|number| scope.spawn(move || unserved_paths(cluster, number)))
            .collect();
        for (number, check) in checks.into_iter().enumerate() {
            // A check panics if the instance refuses its connection.
            let paths = check.join().unwrap_or_else(|_| vec!["any path"]);
            for path in paths {
                let violation = format!("{path} was not served again at instance {number}");
                report.broken.push(violation);
            }
        }
    });
}

/// Returns the paths that an instance does not serve within [`RECOVERY_TIMEOUT`] each.
fn unserved_paths(cluster: &SoakCluster, number: usize) -> Vec<&'static str> {
    let instance = &cluster.instances[number];
    let key = format!(
        "Authorization: Token {}\r\n",
        key_of_version(cluster.version())
    );
    let model = format!("{key}Model: {}\r\n", MODELS[number % MODELS.len()]);
    let kinds = [
        ("GET", "/read/", &*key),
        ("POST", "/pay/", &*key),
        ("POST", "/chat/", &*model),
    ];
    let mut unserved = Vec::new();
    for (method, path, more) in kinds {
        let deadline = Instant::now() + RECOVERY_TIMEOUT;
        let is_served = || {
            let bytes = request(method, path, "after", more, "after");
            fetch(instance.callers_address, &bytes)
                .is_some_and(|answer| answer.status == 200 && answer.is_complete)
        };
        while !is_served() {
            if Instant::now() >= deadline {
                unserved.push(path);
                break;
            }
            std::thread::sleep(RETRY_INTERVAL);
        }
    }
    unserved
}
