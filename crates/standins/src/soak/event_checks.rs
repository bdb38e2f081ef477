//! Checks each event that a caller received against the run of an engine that sent it: within one
//! answer, and over all requests that take a stream up again.

use super::SoakReport;
use super::callers::{Record, RequestKind};
use super::cluster::SoakCluster;
use crate::platform::model_server::EVENT_END;
use crate::platform::stream_events::{BegunRun, run_of_event};
use std::collections::HashMap;

/// All runs of streams at the engines.
#[derive(Debug, Default)]
struct Runs {
    by_name: HashMap<String, BegunRun>,
    /// Names of the runs of each request.
    names: HashMap<String, Vec<String>>,
}

impl Runs {
    fn of(cluster: &SoakCluster) -> Self {
        let mut runs = Self::default();
        let engines = cluster.engines().into_iter();
        for run in engines.flat_map(|engine| engine.server.begun_runs()) {
            let names = runs.names.entry(run.request_id.clone()).or_default();
            names.push(run.name.clone());
            runs.by_name.insert(run.name.clone(), run);
        }
        runs
    }

    fn of_request(&self, id: &str) -> impl Iterator<Item = &BegunRun> {
        let names = self.names.get(id).into_iter().flatten();
        names.filter_map(|name| self.by_name.get(name))
    }

    /// Returns the number of events that were compared, and the violation of the first wrong one, if any.
    fn check(&self, record: &Record) -> (usize, Option<String>) {
        let mut next = record.last_event_before() + 1;
        let mut previous: Option<&BegunRun> = None;
        let mut compared = 0;
        let whole = record.whole_events();
        for event in whole.split_inclusive(EVENT_END) {
            let Some(run) = run_of_event(event).and_then(|name| self.by_name.get(name)) else {
                return (compared, Some(format!("an event of no run: {event:?}")));
            };
            if let Some(violation) = check_run(run, previous, record, next) {
                return (compared, Some(violation));
            }
            if event != run.event(next) {
                let violation = format!("expected event {next} of run {}, got {event:?}", run.name);
                return (compared, Some(violation));
            }
            previous = Some(run);
            next += 1;
            compared += 1;
        }
        (compared, self.check_end(record, next))
    }

    /// A complete answer ends after the last event of its stream; an incomplete one has the beginning of
    /// the next event, or nothing, after the last whole one.
    fn check_end(&self, record: &Record, next: u64) -> Option<String> {
        let answer = record.answer.as_ref()?;
        let rest = &answer.body[record.whole_events().len()..];
        let mut own_runs = self.of_request(&record.id);
        if !answer.is_complete {
            let is_beginning =
                rest.is_empty() || own_runs.any(|run| run.event(next).starts_with(rest));
            return (!is_beginning).then(|| format!("expected event {next}, got {rest:?}"));
        }
        let is_last = own_runs.any(|run| run.last_event() + 1 == next);
        (!is_last || !rest.is_empty())
            .then(|| format!("the answer is complete before event {next}, followed by {rest:?}"))
    }
}

/// Returns why a run may not send the event with this number in an answer after events of `previous`.
fn check_run(
    run: &BegunRun,
    previous: Option<&BegunRun>,
    record: &Record,
    next: u64,
) -> Option<String> {
    let name = &run.name;
    if run.request_id != record.id || run.stream != record.body {
        return Some(format!(
            "event {next} was sent by run {name}, which belongs to another request"
        ));
    }
    if previous.is_some_and(|previous| previous.name == run.name) {
        return None;
    }
    if run.resumed_after + 1 != next {
        let after = run.resumed_after;
        return Some(format!(
            "event {next} was sent by run {name}, which resumes after event {after}"
        ));
    }
    let previous = previous?;
    if run.software != previous.software {
        return Some(format!(
            "event {next} was sent by run {name} at software version {}, the event before by run {} at {}",
            run.software, previous.name, previous.software
        ));
    }
    (record.kind == RequestKind::Stream && !run.is_continuation).then(|| {
        format!(
            "a stream that may run only once has events of runs {} and {name}",
            previous.name
        )
    })
}

/// Checks all answers to requests for streams.
pub(super) fn check_events(cluster: &SoakCluster, records: &[Record], report: &mut SoakReport) {
    let runs = Runs::of(cluster);
    let is_stream = |kind| matches!(kind, RequestKind::Resumable | RequestKind::Stream);
    for record in records.iter().filter(|record| is_stream(record.kind)) {
        if record
            .answer
            .as_ref()
            .is_none_or(|answer| answer.status != 200)
        {
            continue;
        }
        let (compared, violation) = runs.check(record);
        report.events += compared;
        report.broken.extend(violation.map(|violation| {
            format!(
                "{violation}: {} {:?} at instance {}",
                record.id, record.kind, record.instance
            )
        }));
    }
}
