//! Checks on the software versions of engines, from what callers received: no stream holds events of
//! two versions, in one answer or over the requests that take it up again, and streams whose version
//! serves go on.

use super::SoakReport;
use super::callers::{Record, RequestKind};
use super::cluster::SoakCluster;
use super::schedule::{CONTACT_DURATION, CalmStretch};
use crate::platform::model_server::{EVENT_END, ServiceSpan, writers};
use passway_types::prelude::*;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Number of streams taken up again from which the share of those that go on is judged.
const MIN_TAKEN_UP: usize = 12;
/// Number of new streams from which the share of those that begin is judged.
const MIN_NEW: usize = 12;
/// Number of engines that must serve with the version of a stream for the stream to be counted.
const MIN_ENGINES: usize = 2;

/// The streams of calm stretches.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct CalmCounts {
    /// Requests for new streams.
    pub new: usize,
    /// Those that brought an event.
    pub begun: usize,
    /// Streams that were taken up again while enough engines of their version served.
    pub taken_up: usize,
    /// Those that went on.
    pub went_on: usize,
    /// Those of `taken_up` that began before all instances were last killed at once.
    pub taken_up_after_loss: usize,
    /// Those of `taken_up_after_loss` that went on.
    pub went_on_after_loss: usize,
    /// Streams that were taken up again while fewer engines of their version served, or none.
    pub taken_up_without_engines: usize,
}

impl CalmCounts {
    fn add(&mut self, other: Self) {
        self.new += other.new;
        self.begun += other.begun;
        self.taken_up += other.taken_up;
        self.went_on += other.went_on;
        self.taken_up_after_loss += other.taken_up_after_loss;
        self.went_on_after_loss += other.went_on_after_loss;
        self.taken_up_without_engines += other.taken_up_without_engines;
    }

    /// Returns whether under a quarter of the new streams begin, the share from which the users count a
    /// deployment as recovered.
    fn begins_too_few(&self) -> bool {
        self.new >= MIN_NEW && 4 * self.begun < self.new
    }

    /// Returns whether the share of the streams that go on is under half of the share of new streams
    /// that begin.
    fn has_lost_streams(&self) -> bool {
        self.taken_up >= MIN_TAKEN_UP && 2 * self.went_on * self.new < self.taken_up * self.begun
    }
}

/// Checks all streams, and those of the calm stretches for whether they go on.
pub(super) fn check_software(
    cluster: &SoakCluster,
    records: &[Record],
    calm_stretches: &[CalmStretch],
    report: &mut SoakReport,
) {
    let streams = streams(records);
    for (first_id, tries) in &streams {
        report.taken_up += usize::from(tries.len() > 1);
        report.broken.extend(check_stream(first_id, tries));
    }
    let software: BTreeSet<String> = cluster.all_software().into_iter().collect();
    report.software_versions = software.len();
    let lost_at = cluster.instances_lost_at().clone();
    let spans = cluster.engines().into_iter();
    let spans: Vec<ServiceSpan> = spans
        .flat_map(|engine| engine.server.service_spans())
        .collect();
    let mut total = CalmCounts::default();
    for stretch in calm_stretches {
        let counts = count_calm(stretch, &streams, &spans, &lost_at);
        report
            .broken
            .extend(check_went_on("a calm stretch", counts));
        report.broken.extend(check_begun(counts));
        report.calm.push(counts);
        total.add(counts);
    }
    report
        .broken
        .extend(check_went_on("all calm stretches", total));
}

/// Returns the requests for each resumable stream by the id of the first one, in the order in which
/// they were sent.
fn streams(records: &[Record]) -> BTreeMap<&str, Vec<&Record>> {
    let mut streams: BTreeMap<&str, Vec<&Record>> = BTreeMap::new();
    let resumable = records
        .iter()
        .filter(|record| record.kind == RequestKind::Resumable);
    for record in resumable {
        streams.entry(record.first_id()).or_default().push(record);
    }
    for tries in streams.values_mut() {
        tries.sort_by_key(|record| record.sent_at);
    }
    streams
}

/// Over all requests for a stream, one software version writes all events, and their numbers rise
/// without gap or repeat.
fn check_stream(first_id: &str, tries: &[&Record]) -> Option<String> {
    let events: String = tries.iter().map(|record| record.whole_events()).collect();
    let software: BTreeSet<String> = writers(&events).into_iter().collect();
    let numbers = events.split(EVENT_END).filter(|event| !event.is_empty());
    let numbers: Vec<Option<u64>> = numbers.map(event_number).collect();
    let are_in_order = numbers
        .iter()
        .zip(1..)
        .all(|(number, expected)| *number == Some(expected));
    if software.len() <= 1 && are_in_order {
        return None;
    }
    let what = if software.len() > 1 {
        "a stream has events of several software versions"
    } else {
        "a stream's events have gaps or repeats"
    };
    let tries: Vec<String> = tries.iter().map(|record| describe(record)).collect();
    Some(format!("{what}: {first_id}: {}", tries.join("; ")))
}

fn event_number(event: &str) -> Option<u64> {
    event.lines().next()?.strip_prefix("id: ")?.parse().ok()
}

fn describe(record: &Record) -> String {
    let written = writers(record.whole_events());
    let status = record.answer.as_ref().map(|answer| answer.status);
    let (id, instance, last_event) = (&record.id, record.instance, record.last_event_before());
    format!("{id} at instance {instance} after event {last_event}: {status:?} {written:?}")
}

/// Counts the streams of a calm stretch: sound ones of the large workspace, with a valid API key, whose
/// request was sent and had ended within the stretch. A stream counts once, by the first request that
/// takes it up again within the stretch.
fn count_calm(
    stretch: &CalmStretch,
    streams: &BTreeMap<&str, Vec<&Record>>,
    spans: &[ServiceSpan],
    lost_at: &[Instant],
) -> CalmCounts {
    let mut counts = CalmCounts::default();
    for tries in streams.values() {
        let mut within = tries.iter().filter(|record| is_within(record, stretch));
        let Some(first) = within.clone().find(|record| record.take_up.is_none()) else {
            if let Some(again) = within.next() {
                count_taken_up(again, tries, spans, lost_at, &mut counts);
            }
            continue;
        };
        counts.new += 1;
        counts.begun += usize::from(!first.whole_events().is_empty());
        if let Some(again) = within.find(|record| record.take_up.is_some()) {
            count_taken_up(again, tries, spans, lost_at, &mut counts);
        }
    }
    counts
}

/// Counts a stream that `again` takes up.
fn count_taken_up(
    again: &Record,
    tries: &[&Record],
    spans: &[ServiceSpan],
    lost_at: &[Instant],
    counts: &mut CalmCounts,
) {
    let Some(first) = tries
        .iter()
        .find(|record| !record.whole_events().is_empty())
    else {
        return;
    };
    let Some(software) = writers(first.whole_events()).into_iter().next() else {
        return;
    };
    let serving = spans.iter().filter(|span| {
        let is_known = span.began_at + CONTACT_DURATION <= again.sent_at;
        let has_stayed = span
            .ended_at
            .is_none_or(|ended_at| ended_at >= again.ended_at);
        span.software == software && is_known && has_stayed
    });
    if serving.count() < MIN_ENGINES {
        counts.taken_up_without_engines += 1;
        return;
    }
    let answer = again.answer.as_ref().filter(|answer| answer.status == 200);
    let is_whole = answer.is_some_and(|answer| answer.is_complete);
    let went_on = usize::from(is_whole || !again.whole_events().is_empty());
    counts.taken_up += 1;
    counts.went_on += went_on;
    let before_loss = |lost_at: &Instant| (first.ended_at..=again.sent_at).contains(lost_at);
    if lost_at.iter().any(before_loss) {
        counts.taken_up_after_loss += 1;
        counts.went_on_after_loss += went_on;
    }
}

fn is_within(record: &Record, stretch: &CalmStretch) -> bool {
    let has_valid_key = record
        .key_version
        .is_some_and(|version| version + 1 >= stretch.version);
    record.is_sound
        && has_valid_key
        && record.sent_at >= stretch.began_at
        && record.ended_at <= stretch.ended_at
}

/// Where few streams begin, the other checks on streams say little.
fn check_begun(counts: CalmCounts) -> Option<String> {
    let CalmCounts { new, begun, .. } = counts;
    counts
        .begins_too_few()
        .then(|| format!("in a calm stretch, {begun} of {new} new streams began"))
}

fn check_went_on(what: &str, counts: CalmCounts) -> Option<String> {
    counts.has_lost_streams().then(|| {
        let CalmCounts { new, begun, taken_up, went_on, .. } = counts;
        format!(
            "in {what}, {went_on} of {taken_up} streams went on whose version served, while {begun} of \
            {new} new ones began"
        )
    })
}
