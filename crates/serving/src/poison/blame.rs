//! Which of the parts that ran together when upstreams crashed are to blame.
//!
//! A crash breaks off all runs of its upstream and is counted under all their parts. A part that
//! crashes upstreams is in every such crash and in no run that ended whole since, so it has more
//! crashes than any part that only ran beside it: a whole run clears its parts. Crashes at the same
//! moment may have a common cause, such as the loss of a rack. So the measure of a part is the number
//! of its crashes one after the other, each under a run that was sent some time after the previous
//! crash.
//!
//! A crash does not count for a part in a request if another suspect explains it that the request does
//! not have: one with more such crashes, or with as many while these are few. So of two parts that were
//! always together, neither alone is refused, but requests that have both are.
//!
//! A part may be blamed wrongly, and no whole run clears a part that is refused. So after the first
//! refusals it is tried again, by one run at a time over all instances.

use super::list::{PoisonList, RunPermission, RunSpan, Suspect, SuspectRecord};
use super::{CrashStatus, MAX_CRASHES, SuspectKey, UpstreamStart};
use passway_types::prelude::*;
use std::collections::{BTreeSet, HashMap};

/// Crashes under runs that were sent within this time after a crash belong to the same moment: their
/// upstreams may have had a common cause. The times that other instances report may be off by 0.1 s each.
const MOMENT_DURATION: Duration = Duration::from_millis(500);
/// From this number of crashes on, a suspect with as many explains none: a caller could keep two
/// crashing parts in the same crashes, so that each explains the other.
const MIN_UNTIED_CRASHES: u32 = MAX_CRASHES + 1;
/// How long a part is refused after its last crash, by the number of its crashes beyond
/// [`MAX_CRASHES`]; then one run is tried. With more crashes it is refused until it is forgotten.
const TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(2), Duration::from_secs(20)];
/// From this number of crashes on, requests with a part run one at a time, and a suspect may explain the
/// crashes of others.
const MIN_LIMITED_CRASHES: u32 = MAX_CRASHES - 1;

/// Whether a request may run, given what is known of it and its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Standing {
    /// How long the request is refused; `None` if it may run.
    pub refused_for: Option<Duration>,
    /// Whether the request may run now, unless it is refused.
    pub permission: RunPermission,
    /// The suspect for which the request needs a permit, if it must run alone.
    pub exclusive_key: Option<SuspectKey>,
}

/// The suspects that may explain a crash, by crash, with the number of their crashes.
#[derive(Debug, Default)]
pub(super) struct Blame(HashMap<UpstreamStart, Vec<(SuspectKey, u32)>>);

impl Blame {
    fn new(known: &HashMap<SuspectKey, SuspectRecord>) -> Self {
        let mut by_crash: HashMap<UpstreamStart, Vec<(SuspectKey, u32)>> = HashMap::new();
        for (key, known) in known {
            let count = chain_length(&known.suspect, true);
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

/// The longest sequence of crashes one after the other, each under a run that was sent after the moment of
/// the previous one. Crashes whose times are not known belong to it.
fn longest_chain<'a>(
    crashes: impl Iterator<Item = (&'a UpstreamStart, Option<&'a RunSpan>)>,
) -> Vec<&'a UpstreamStart> {
    let mut chain = Vec::new();
    let mut timed = Vec::new();
    for (start, span) in crashes {
        match span {
            Some(span) => timed.push((span, start)),
            None => chain.push(start),
        }
    }
    timed.sort_by_key(|(span, _)| span.disconnected_at);
    let mut last_at = None;
    for (span, start) in timed {
        if last_at.is_none_or(|last_at| span.sent_at >= last_at + MOMENT_DURATION) {
            chain.push(start);
            last_at = Some(span.disconnected_at);
        }
    }
    chain
}

fn length(chain: &[&UpstreamStart]) -> u32 {
    u32::try_from(chain.len()).unwrap_or(u32::MAX)
}

/// The number of crashes of a suspect one after the other, with or without unconfirmed ones.
pub(super) fn chain_length(suspect: &Suspect, with_unconfirmed: bool) -> u32 {
    length(&longest_chain(counted(suspect, with_unconfirmed)))
}

/// A crash of a suspect that is not among its crashes one after the other.
pub(super) fn crash_outside_chain(suspect: &Suspect) -> Option<UpstreamStart> {
    let chain = longest_chain(counted(suspect, true));
    let mut outside = suspect.crashes.keys();
    outside.find(|start| !chain.contains(start)).cloned()
}

/// Reduces a part to its crashes one after the other, so that without their times they count as much.
pub(super) fn retain_chain(suspect: &mut Suspect) {
    let chain = longest_chain(counted(suspect, false)).into_iter().cloned();
    let chain: BTreeSet<UpstreamStart> = chain.collect();
    suspect.crashes.retain(|start, _| chain.contains(start));
}

impl PoisonList {
    /// Whether a request with these keys, its own and those of its parts, may run.
    pub fn standing(&mut self, keys: &[SuspectKey], now: Instant) -> Standing {
        let mut standing = Standing::default();
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
            standing.refused_for = standing.refused_for.max(refused_for);
            let is_stricter = permission > standing.permission;
            // All requests with the part take the same permit; those that are alike have the same
            // parts.
            let is_wider = permission == RunPermission::Alone
                && standing.permission == RunPermission::Alone
                && key.is_part()
                && standing
                    .exclusive_key
                    .is_none_or(|chosen| !chosen.is_part());
            if is_stricter || is_wider {
                standing.permission = permission;
                standing.exclusive_key = (permission == RunPermission::Alone).then_some(*key);
            }
        }
        standing
    }

    /// The parts that are blamed in every request.
    pub fn blamed_parts(&mut self, now: Instant) -> Vec<SuspectKey> {
        let suspects = self.known.values().map(|known| &known.suspect);
        let candidates = suspects.filter(|suspect| suspect.key.is_part() && suspect.is_refused());
        let mut parts: Vec<SuspectKey> = candidates.map(|suspect| suspect.key).collect();
        parts.retain(|key| self.judge_part(*key, &[*key], now).is_blamed);
        parts.sort_unstable();
        parts
    }

    /// The judgement on a request with these keys because of the part `key`.
    fn judge_part(&mut self, key: SuspectKey, keys: &[SuspectKey], now: Instant) -> Judgement {
        let blame = self.blame.take().unwrap_or_else(|| Blame::new(&self.known));
        let judgement = self.known.get(&key).map(|known| {
            let total = chain_length(&known.suspect, true);
            let unexplained = |with_unconfirmed: bool| {
                let crashes = counted(&known.suspect, with_unconfirmed);
                let crashes = crashes.filter(|(start, _)| !blame.is_explained(start, total, keys));
                length(&longest_chain(crashes))
            };
            let confirmed = unexplained(false);
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

/// What the crashes under one part mean for a request.
#[derive(Debug, Default)]
struct Judgement {
    /// Whether the part is the cause of its crashes, as far as known.
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
