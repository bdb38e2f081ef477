//! Which of several parts of prompts is the cause of upstreams' crashes.
//!
//! A crash breaks off all runs of its upstream and is counted under all their parts. A part that causes
//! crashes is in every such crash and in no run that ended whole since. Any other part is cleared by the
//! next whole run with it, so it has fewer crashes. Crashes at the same time may have a common cause,
//! such as the loss of a rack. So only sequential crashes count: each under a run that was sent some
//! time after the previous crash.
//!
//! A crash does not count against a part in a request if it is explained by another suspect that the
//! request does not contain: one with more sequential crashes, or with equally many while these are few.
//! So of two parts that always occur together, neither alone is refused, but requests with both are.
//!
//! A part may be refused wrongly, and then no whole run can clear it. So after the first refusals one run
//! at a time is tried over all instances, as by a half-open circuit breaker.

use super::list::{PoisonList, RunPermission, RunSpan, Suspect, SuspectRecord};
use super::{CrashStatus, MAX_CRASHES, SuspectKey, UpstreamStart};
use passway_types::prelude::*;
use std::collections::{BTreeSet, HashMap};

/// A crash under a run that was sent within this time after another crash may have the same cause and does
/// not count. The times that other instances report may be off by 0.1 s each.
const PART_INCIDENT_WINDOW: Duration = Duration::from_millis(500);
/// From this number of sequential crashes on, a crash is explained only by a suspect with more of them.
/// Otherwise a caller could send two crashing parts so that each explains the crashes of the other.
const MIN_UNTIED_CRASHES: u32 = MAX_CRASHES + 1;
/// From this number of crashes on, each under a run that was sent after the previous one, at two moments or more, a part is
/// refused as one with [`MIN_UNTIED_CRASHES`] sequential crashes (users' pages).
const MAX_TOTAL_CRASHES: u32 = 5;
/// How long a part is refused after its last crash, by the number of its crashes beyond
/// [`MAX_CRASHES`]; then one run is tried. With more crashes it is refused until it is forgotten.
const TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(2), Duration::from_secs(20)];
/// From this number of sequential crashes on, requests with a part run one at a time, and a suspect may
/// explain crashes of other suspects.
const MIN_LIMITED_CRASHES: u32 = MAX_CRASHES - 1;

/// Whether a request may run, given what is known of it and its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RunDecision {
    /// How long the request is refused; `None` if it may run.
    pub refused_for: Option<Duration>,
    /// Whether the request may run now, unless it is refused.
    pub permission: RunPermission,
    /// The suspect for which the request needs a permit, if it must run alone.
    pub exclusive_key: Option<SuspectKey>,
}

/// The suspects that may explain a crash, by crash, with the number of their crashes.
#[derive(Debug, Default)]
pub(super) struct CrashExplanations(HashMap<UpstreamStart, Vec<(SuspectKey, u32)>>);

impl CrashExplanations {
    fn new(known: &HashMap<SuspectKey, SuspectRecord>) -> Self {
        let mut by_crash: HashMap<UpstreamStart, Vec<(SuspectKey, u32)>> = HashMap::new();
        for (key, known) in known {
            let count = sequential_crash_count(&known.suspect, true);
            if count < MIN_LIMITED_CRASHES {
                continue;
            }
            for (start, _) in counted(&known.suspect, true) {
                by_crash
                    .entry(start.clone())
                    .or_default()
                    .push((*key, count));
            }
        }
        Self(by_crash)
    }

    /// Whether a suspect that is not among `keys` explains a crash under a part with `count` crashes.
    fn is_explained(&self, crash: &UpstreamStart, count: u32, keys: &[SuspectKey]) -> bool {
        let suspects = self.0.get(crash).map_or(&[][..], Vec::as_slice);
        suspects.iter().any(|(key, other)| {
            let explains = *other > count || *other == count && count < MIN_UNTIED_CRASHES;
            explains && !keys.contains(key)
        })
    }
}

/// The crashes that count, with or without unconfirmed ones.
fn counted(
    suspect: &Suspect,
    with_unconfirmed: bool,
) -> impl Iterator<Item = (&UpstreamStart, Option<&RunSpan>)> {
    let crashes = suspect.crashes.iter().filter(move |(_, status)| {
        **status == CrashStatus::Counted || with_unconfirmed && **status == CrashStatus::Unconfirmed
    });
    crashes.map(|(start, _)| (start, suspect.runs.get(start)))
}

/// The longest sequence of crashes each of which happened under a run that was sent more than
/// [`PART_INCIDENT_WINDOW`] after the previous crash. Crashes whose times are not known belong to it.
fn sequential_crashes<'a>(
    crashes: impl Iterator<Item = (&'a UpstreamStart, Option<&'a RunSpan>)>,
) -> Vec<&'a UpstreamStart> {
    crashes_in_sequence(crashes, PART_INCIDENT_WINDOW)
}

/// The longest sequence of crashes each of which happened under a run that was sent at least this long after the previous
/// crash. Crashes whose times are not known belong to it.
fn crashes_in_sequence<'a>(
    crashes: impl Iterator<Item = (&'a UpstreamStart, Option<&'a RunSpan>)>,
    min_gap: Duration,
) -> Vec<&'a UpstreamStart> {
    let mut sequential = Vec::new();
    let mut timed = Vec::new();
    for (start, span) in crashes {
        match span {
            Some(span) => timed.push((span, start)),
            None => sequential.push(start),
        }
    }
    timed.sort_by_key(|(span, _)| span.disconnected_after);
    let mut last_at = None;
    for (span, start) in timed {
        if last_at.is_none_or(|last_at| span.sent_at >= last_at + min_gap) {
            sequential.push(start);
            last_at = Some(span.disconnected_after);
        }
    }
    sequential
}

fn length(sequential: &[&UpstreamStart]) -> u32 {
    count_of(sequential.len())
}

fn count_of(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// The number of sequential crashes of a suspect, with or without unconfirmed ones.
pub(super) fn sequential_crash_count(suspect: &Suspect, with_unconfirmed: bool) -> u32 {
    length(&sequential_crashes(counted(suspect, with_unconfirmed)))
}

/// A crash of a suspect that is not among its sequential crashes.
pub(super) fn simultaneous_crash(suspect: &Suspect) -> Option<UpstreamStart> {
    let sequential = sequential_crashes(counted(suspect, true));
    let mut outside = suspect.crashes.keys();
    outside.find(|start| !sequential.contains(start)).cloned()
}

/// Reduces a part to its sequential crashes, so that their number is the same without their times.
pub(super) fn retain_sequential(suspect: &mut Suspect) {
    let sequential = sequential_crashes(counted(suspect, false))
        .into_iter()
        .cloned();
    let sequential: BTreeSet<UpstreamStart> = sequential.collect();
    suspect
        .crashes
        .retain(|start, _| sequential.contains(start));
}

impl PoisonList {
    /// Whether a request may run. `keys` are the key of its content and those of its parts.
    pub fn run_decision(&mut self, keys: &[SuspectKey], now: Instant) -> RunDecision {
        let mut decision = RunDecision::default();
        for key in keys {
            if !self.known.contains_key(key) {
                continue;
            }
            let (refused_for, permission) = if key.is_part() {
                let judgement = self.judge_part(*key, keys, now);
                (judgement.refused_for, judgement.permission)
            } else {
                (
                    self.remaining_refusal(*key, now),
                    self.run_permission(*key, now),
                )
            };
            decision.refused_for = decision.refused_for.max(refused_for);
            let is_stricter = permission > decision.permission;
            // All requests with the part take the same permit; those that are alike have the same
            // parts.
            let is_wider = permission == RunPermission::Alone
                && decision.permission == RunPermission::Alone
                && key.is_part()
                && decision
                    .exclusive_key
                    .is_none_or(|chosen| !chosen.is_part());
            if is_stricter || is_wider {
                decision.permission = permission;
                decision.exclusive_key = (permission == RunPermission::Alone).then_some(*key);
            }
        }
        decision
    }

    /// The parts that are considered the cause of their crashes, whatever else a request contains.
    pub fn blamed_parts(&mut self, now: Instant) -> Vec<SuspectKey> {
        let suspects = self.known.values().map(|known| &known.suspect);
        let candidates = suspects.filter(|suspect| {
            let may_be_blamed =
                suspect.is_refused() || count_of(suspect.crashes.len()) >= MAX_TOTAL_CRASHES;
            suspect.key.is_part() && may_be_blamed
        });
        let mut parts: Vec<SuspectKey> = candidates.map(|suspect| suspect.key).collect();
        parts.retain(|key| self.judge_part(*key, &[*key], now).is_blamed);
        parts.sort_unstable();
        parts
    }

    /// Whether a request with these keys may run, as far as its part `key` is concerned.
    fn judge_part(&mut self, key: SuspectKey, keys: &[SuspectKey], now: Instant) -> Judgement {
        let blame = self
            .blame
            .take()
            .unwrap_or_else(|| CrashExplanations::new(&self.known));
        let judgement = self.known.get(&key).map(|known| {
            let total = sequential_crash_count(&known.suspect, true);
            let unexplained = |with_unconfirmed: bool| {
                let crashes = counted(&known.suspect, with_unconfirmed);
                let crashes = crashes.filter(|(start, _)| !blame.is_explained(start, total, keys));
                length(&sequential_crashes(crashes))
            };
            let confirmed = unexplained(false);
            let crashes = counted(&known.suspect, false);
            let crashes = crashes.filter(|(start, _)| !blame.is_explained(start, total, keys));
            // Requests that go on to the next upstream at once may have ended many within a few moments. One moment alone may
            // be the loss of a rack.
            let is_known = confirmed >= MIN_LIMITED_CRASHES
                && length(&crashes_in_sequence(crashes, Duration::ZERO)) >= MAX_TOTAL_CRASHES;
            let confirmed = if is_known {
                confirmed.max(MIN_UNTIED_CRASHES)
            } else {
                confirmed
            };
            if confirmed >= MAX_CRASHES {
                return Judgement::of_blamed(known, confirmed, now);
            }
            let permission = match unexplained(now < known.unconfirmed_until) {
                MAX_CRASHES.. => RunPermission::Held,
                MIN_LIMITED_CRASHES => RunPermission::Alone,
                _ => RunPermission::Free,
            };
            Judgement {
                permission,
                ..Judgement::default()
            }
        });
        self.blame = Some(blame);
        judgement.unwrap_or_default()
    }
}

/// Whether a request may run, as far as one of its parts is concerned.
#[derive(Debug, Default)]
struct Judgement {
    /// Whether the part is considered the cause of its crashes.
    is_blamed: bool,
    refused_for: Option<Duration>,
    permission: RunPermission,
}

impl Judgement {
    /// The judgement on a part that is blamed for `crashes`.
    fn of_blamed(known: &SuspectRecord, crashes: u32, now: Instant) -> Self {
        let beyond = usize::try_from(crashes - MAX_CRASHES).unwrap_or(usize::MAX);
        let trial_delay = TRIAL_DELAYS.get(beyond);
        let refused_until =
            trial_delay.map_or_else(|| known.expires_at(), |delay| known.last_crash_at + *delay);
        let remaining = refused_until.saturating_duration_since(now);
        let is_refused = !remaining.is_zero();
        Self {
            is_blamed: !known.is_expired(now),
            refused_for: is_refused.then_some(remaining),
            permission: if is_refused || known.is_expired(now) {
                RunPermission::Free
            } else {
                RunPermission::Alone
            },
        }
    }
}
