//! Records which requests and parts of prompts ran when upstreams crashed, and decides which of them
//! are refused. `blame` decides which of several parts is the cause.

use super::SuspectKey;
use super::blame::{self, CrashExplanations};
use passway_types::prelude::*;
use std::collections::{BTreeMap, HashMap};

/// Crashes under one request after which it is refused. A limit of two would refuse many innocent
/// requests that ran beside a poison request: they move together to the next engine, and an engine
/// runs a dozen.
pub const MAX_CRASHES: u32 = 3;
/// From this number of crashes on, all instances must know a request: its next crash may be the last one
/// allowed, at whichever instance it happens.
const MIN_BROADCAST_CRASHES: usize = 2;
/// Weight of a crash that nothing else explains. An even number, so that half of it is an integer.
const CRASH_WEIGHT: u32 = 2;
/// How long a request is refused after its last crash. A caller that keeps repeating it can then
/// crash at most three engines an hour, and a request that was refused wrongly is served again.
const REFUSAL_DURATION: Duration = Duration::from_hours(1);
/// How long a request with fewer crashes is remembered: callers' deadlines are seconds to minutes.
const SUSPICION_DURATION: Duration = Duration::from_mins(10);
/// An upstream whose termination is not confirmed within this time counts as alive. Its entry
/// expires after three missed check-ins, some four seconds.
pub const UNCONFIRMED_TIMEOUT: Duration = Duration::from_secs(8);
/// Time for other instances' reports of a crash to arrive before the crash counts as explained.
const SETTLE_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of suspects, at some 300 bytes each. A rack of 20 engines leaves 240.
const MAX_SUSPECTS: usize = 4_096;
/// Number of suspects retained when the maximum is exceeded, so that the list is not sorted for
/// every new one.
const RETAINED_SUSPECTS: usize = MAX_SUSPECTS * 3 / 4;
/// Maximum number of crashes stored for one request.
const MAX_CRASHES_PER_SUSPECT: usize = 8;

/// One start of an upstream. An upstream may start again under the same id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamStart {
    /// The upstream's id.
    pub upstream: UpstreamId,
    /// When the upstream started, in Unix milliseconds by its own clock; 0 if not reported.
    pub started_at_ms: u64,
}

/// What a crash says about a request that was running at the time. A later variant replaces an
/// earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashStatus {
    /// The upstream disconnected, and its termination is not confirmed yet.
    Unconfirmed,
    /// The request may have caused the crash.
    Counted,
    /// Another, refused request was running as well and has crashed more upstreams.
    Explained,
    /// The request has been answered since, so it does not crash the upstreams that run it.
    Cleared,
}

impl CrashStatus {
    fn weight(self) -> u32 {
        match self {
            Self::Counted => CRASH_WEIGHT,
            Self::Explained => CRASH_WEIGHT / 2,
            Self::Unconfirmed | Self::Cleared => 0,
        }
    }
}

/// When a run was sent to an upstream and when the upstream disconnected. Another instance's run took
/// place at an unknown distance, so that its times may be later than in fact.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunSpan {
    /// When the run was sent, or later.
    pub sent_at: Instant,
    /// When the upstream disconnected, or later. Instances tell each other this time: one that they
    /// make earlier would become earlier with each exchange.
    pub disconnected_at: Instant,
    /// When the upstream disconnected, or earlier.
    pub disconnected_after: Instant,
}

impl RunSpan {
    /// A run that this instance has seen.
    fn observed(sent_at: Instant, disconnected_at: Instant) -> Self {
        Self {
            sent_at,
            disconnected_at,
            disconnected_after: disconnected_at,
        }
    }

    /// A run of another instance, whose report took up to `max_delay`.
    pub fn reported(sent_at: Instant, disconnected_at: Instant, max_delay: Duration) -> Self {
        let disconnected_after = disconnected_at.checked_sub(max_delay);
        Self {
            sent_at,
            disconnected_at,
            disconnected_after: disconnected_after.unwrap_or(disconnected_at),
        }
    }

    /// Merges what two instances know of runs of the same request: the earlier time of each kind.
    fn merge(self, other: Self) -> Self {
        Self {
            sent_at: self.sent_at.min(other.sent_at),
            disconnected_at: self.disconnected_at.min(other.disconnected_at),
            disconnected_after: self.disconnected_after.min(other.disconnected_after),
        }
    }
}

/// Upstreams that disconnect within this time may have terminated for one common cause.
const INCIDENT_WINDOW: Duration = Duration::from_secs(1);

/// Whether a request may run while upstreams that disconnected under it may have terminated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum RunPermission {
    /// The request may run.
    #[default]
    Free,
    /// One request with this content, or with this part, may run at a time, over all instances. If it crashes the next
    /// upstream too, the request is refused; an answer shows that something else crashed the
    /// others.
    Alone,
    /// The request waits until the terminations are confirmed or ruled out: if all are confirmed
    /// it is refused.
    Held,
}

/// A request, or a part of prompts, and the crashes under it, as instances exchange them. Merging what
/// several instances know gives the same result in any order and any number of times; of a part with
/// too many crashes, which of those that count for nothing are kept may differ.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// The request or part.
    pub key: SuspectKey,
    /// The crashes under the request.
    pub crashes: BTreeMap<UpstreamStart, CrashStatus>,
    /// The runs that ended with a disconnect, where their times are known.
    pub runs: BTreeMap<UpstreamStart, RunSpan>,
}

impl Suspect {
    /// Whether all counted crashes belong to one incident that began after the request had been
    /// sent to each of the upstreams. A common cause such as the loss of a rack explains them
    /// without the request: a poison request reaches its next upstream only after the previous one
    /// disconnected.
    fn is_single_incident(&self) -> bool {
        let counted = self.crashes.iter();
        let counted = counted.filter(|(_, status)| **status != CrashStatus::Cleared);
        let spans = counted.map(|(start, _)| self.runs.get(start));
        let Some(spans) = spans.collect::<Option<Vec<_>>>() else {
            return false;
        };
        let first = spans.iter().map(|span| span.disconnected_after).min();
        first.is_some_and(|first| {
            let is_in_incident = |span: &&RunSpan| {
                span.sent_at <= first && span.disconnected_after <= first + INCIDENT_WINDOW
            };
            spans.iter().all(is_in_incident)
        })
    }

    fn weight(&self) -> u32 {
        self.crashes.values().map(|status| status.weight()).sum()
    }

    /// The request's weight if all unconfirmed crashes are confirmed.
    fn weight_if_confirmed(&self) -> u32 {
        let unconfirmed = self
            .crashes
            .values()
            .filter(|status| **status == CrashStatus::Unconfirmed);
        self.weight() + unconfirmed.map(|_| CRASH_WEIGHT).sum::<u32>()
    }

    /// Whether the suspect may be refused after the next crash, so that it must be stored.
    fn should_persist(&self) -> bool {
        if self.key.is_part() {
            return blame::sequential_crash_count(self, false) >= MAX_CRASHES - 1;
        }
        self.weight() >= (MAX_CRASHES - 1) * CRASH_WEIGHT
    }

    /// Whether the crashes suffice for a refusal. Those of a part may still be due to another one.
    pub(super) fn is_refused(&self) -> bool {
        if self.key.is_part() {
            return blame::sequential_crash_count(self, false) >= MAX_CRASHES;
        }
        self.weight() >= MAX_CRASHES * CRASH_WEIGHT && !self.is_single_incident()
    }

    /// Clears the crashes recorded so far.
    fn clear(&mut self) {
        let crashes = self.crashes.values_mut();
        crashes.for_each(|status| *status = CrashStatus::Cleared);
    }

    /// Merges times of runs whose crashes are known.
    fn merge_runs(&mut self, received: BTreeMap<UpstreamStart, RunSpan>) {
        for (start, run) in received {
            if self.crashes.contains_key(&start) {
                let known = self.runs.entry(start).or_insert(run);
                *known = known.merge(run);
            }
        }
    }

    /// Makes room for a crash of a part, if another one counts for nothing. A part that many prompts share
    /// is cleared again and again, and one that crashes upstreams may crash many at the same moment.
    fn forget_crash(&mut self) {
        let mut cleared = self.crashes.iter();
        let cleared = cleared.find(|(_, status)| **status >= CrashStatus::Explained);
        let start = cleared.map(|(start, _)| start.clone());
        let start = start.or_else(|| blame::simultaneous_crash(self));
        if let Some(start) = start {
            self.crashes.remove(&start);
            self.runs.remove(&start);
        }
    }

    /// Merges the status of a crash. Returns whether it is new.
    fn merge(&mut self, crash: UpstreamStart, status: CrashStatus) -> bool {
        if let Some(known) = self.crashes.get_mut(&crash) {
            let is_new = status > *known;
            *known = status.max(*known);
            return is_new;
        }
        if self.key.is_part() && self.crashes.len() >= MAX_CRASHES_PER_SUSPECT {
            self.forget_crash();
        }
        let has_capacity = self.crashes.len() < MAX_CRASHES_PER_SUSPECT;
        if has_capacity {
            self.crashes.insert(crash, status);
        }
        has_capacity
    }
}

/// What this instance knows about one request or part.
#[derive(Debug)]
pub(super) struct SuspectRecord {
    pub(super) suspect: Suspect,
    /// When the last crash became known.
    pub(super) last_crash_at: Instant,
    /// If the request is refused: when the crashes of other requests that it explains are
    /// reassessed.
    settles_at: Option<Instant>,
    /// Until when the termination of disconnected upstreams may be confirmed.
    pub(super) unconfirmed_until: Instant,
}

impl SuspectRecord {
    /// Drops crashes that were not confirmed in time.
    fn drop_unconfirmed(&mut self, now: Instant) {
        if now >= self.unconfirmed_until {
            let crashes = &mut self.suspect.crashes;
            crashes.retain(|_, status| *status != CrashStatus::Unconfirmed);
            let runs = &mut self.suspect.runs;
            runs.retain(|start, _| crashes.contains_key(start));
        }
    }

    pub(super) fn is_expired(&self, now: Instant) -> bool {
        self.expires_at() <= now
    }

    pub(super) fn expires_at(&self) -> Instant {
        let is_refused = self.suspect.is_refused();
        self.last_crash_at
            + if is_refused {
                REFUSAL_DURATION
            } else {
                SUSPICION_DURATION
            }
    }
}

/// The requests and parts under which upstreams have crashed recently.
#[derive(Debug, Default)]
pub struct PoisonList {
    pub(super) known: HashMap<SuspectKey, SuspectRecord>,
    /// Which suspects may explain which crashes; `None` until it is computed again after a change.
    pub(super) blame: Option<CrashExplanations>,
    /// Starts of upstreams that disconnected recently, with the time of the first disconnect.
    disconnects: HashMap<UpstreamStart, Instant>,
}

impl PoisonList {
    /// Whether no request is suspect.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// The number of refused requests.
    pub fn refused_count(&self) -> usize {
        let all = self.known.values().map(|known| &known.suspect);
        all.filter(|suspect| !suspect.key.is_part() && suspect.is_refused())
            .count()
    }

    /// Whether all instances must know a suspect at once, because its next crash may be the last one
    /// allowed. A part that many requests share is in many crashes of one moment, which mean little.
    pub fn needs_broadcast(&self, key: SuspectKey) -> bool {
        self.known.get(&key).is_some_and(|known| {
            let suspect = &known.suspect;
            if key.is_part() {
                blame::sequential_crash_count(suspect, true) >= MAX_CRASHES - 1
            } else {
                suspect.crashes.len() >= MIN_BROADCAST_CRASHES
            }
        })
    }

    /// The suspects that all instances must know.
    pub fn suspects_to_broadcast(&self) -> Vec<Suspect> {
        let mut suspects = self.suspects(MIN_BROADCAST_CRASHES);
        suspects.retain(|suspect| self.needs_broadcast(suspect.key));
        suspects
    }

    /// The suspect with this key, if any.
    pub fn get(&self, key: SuspectKey) -> Option<&Suspect> {
        self.known.get(&key).map(|known| &known.suspect)
    }

    /// How long a request is still refused; `None` if it may run.
    pub fn remaining_refusal(&self, key: SuspectKey, now: Instant) -> Option<Duration> {
        let known = self.known.get(&key)?;
        let is_refused = known.suspect.is_refused() && !known.is_expired(now);
        is_refused.then(|| known.expires_at().saturating_duration_since(now))
    }

    /// Whether a request may run while the termination of upstreams that disconnected under it is
    /// not confirmed.
    pub fn run_permission(&self, key: SuspectKey, now: Instant) -> RunPermission {
        let Some(known) = self.known.get(&key) else {
            return RunPermission::Free;
        };
        let suspect = &known.suspect;
        let confirmed_weight = suspect.weight();
        let weight = if now < known.unconfirmed_until {
            suspect.weight_if_confirmed()
        } else {
            confirmed_weight
        };
        if suspect.is_refused() || weight < (MAX_CRASHES - 1) * CRASH_WEIGHT {
            RunPermission::Free
        } else if weight >= MAX_CRASHES * CRASH_WEIGHT
            && weight > confirmed_weight
            && !suspect.is_single_incident()
        {
            RunPermission::Held
        } else {
            RunPermission::Alone
        }
    }

    /// Records that an upstream crashed while it ran a request or held it in its queue. Returns
    /// the suspect to send to other instances.
    pub fn record_crash(
        &mut self,
        key: SuspectKey,
        crash: UpstreamStart,
        now: Instant,
    ) -> Option<Suspect> {
        self.record(key, crash, CrashStatus::Counted, now)
    }

    /// Like [`PoisonList::record_crash`], for all that a run counts under. The run was sent at `sent_at`.
    pub fn record_run_crash(
        &mut self,
        keys: &[SuspectKey],
        crash: &UpstreamStart,
        sent_at: Instant,
        now: Instant,
    ) -> Vec<Suspect> {
        self.record_run(keys, crash, CrashStatus::Counted, sent_at, now)
    }

    /// Records that a start of an upstream disconnected at a time and may have terminated. Returns
    /// whether this disconnect is new.
    pub fn record_disconnect(&mut self, start: &UpstreamStart, at: Instant, now: Instant) -> bool {
        self.disconnects
            .retain(|_, first| now < *first + UNCONFIRMED_TIMEOUT);
        let is_new = !self.disconnects.contains_key(start);
        let first = self.disconnects.entry(start.clone()).or_insert(at);
        *first = at.min(*first);
        is_new
    }

    /// Records that an upstream disconnected under a run that was sent at `sent_at`, and may have
    /// terminated. Requests sent to a terminated upstream fail too, so only those sent before its first
    /// disconnect count. Returns the suspects to send to other instances.
    pub fn record_run_disconnect(
        &mut self,
        keys: &[SuspectKey],
        start: &UpstreamStart,
        sent_at: Instant,
        now: Instant,
    ) -> Vec<Suspect> {
        let first_disconnect_at = self.disconnects.get(start);
        if first_disconnect_at.is_some_and(|first_disconnect_at| sent_at > *first_disconnect_at) {
            return Vec::new();
        }
        self.record_run(keys, start, CrashStatus::Unconfirmed, sent_at, now)
    }

    fn record_run(
        &mut self,
        keys: &[SuspectKey],
        start: &UpstreamStart,
        status: CrashStatus,
        sent_at: Instant,
        now: Instant,
    ) -> Vec<Suspect> {
        let run = RunSpan::observed(sent_at, now);
        let received = keys.iter().map(|key| Suspect {
            key: *key,
            crashes: BTreeMap::from([(start.clone(), status)]),
            runs: BTreeMap::from([(start.clone(), run)]),
        });
        self.merge(received.collect::<Vec<_>>(), now)
    }

    /// Records that an upstream that disconnected under a request still runs as the same start.
    /// Returns the suspect to send to other instances.
    pub fn record_alive(
        &mut self,
        key: SuspectKey,
        start: UpstreamStart,
        now: Instant,
    ) -> Option<Suspect> {
        let known = self.known.get(&key)?;
        self.disconnects.remove(&start);
        let is_unconfirmed = known.suspect.crashes.get(&start) == Some(&CrashStatus::Unconfirmed);
        is_unconfirmed.then(|| self.record(key, start, CrashStatus::Cleared, now))?
    }

    /// Confirms that all starts of an upstream before `before_ms`, in Unix milliseconds by its own
    /// clock, have terminated, and with them the unconfirmed crashes. Returns the suspects to send
    /// to other instances.
    pub fn record_terminated(
        &mut self,
        upstream: &str,
        before_ms: u64,
        now: Instant,
    ) -> Vec<Suspect> {
        let mut crashes = Vec::new();
        for (key, known) in &self.known {
            let confirmed = known.suspect.crashes.iter().filter(|(start, status)| {
                **status == CrashStatus::Unconfirmed
                    && *start.upstream == *upstream
                    && start.started_at_ms < before_ms
            });
            crashes.extend(confirmed.map(|(start, _)| (*key, start.clone())));
        }
        let updates = crashes
            .into_iter()
            .filter_map(|(key, start)| self.record_crash(key, start, now));
        updates.collect()
    }

    fn record(
        &mut self,
        key: SuspectKey,
        start: UpstreamStart,
        status: CrashStatus,
        now: Instant,
    ) -> Option<Suspect> {
        let received = Suspect {
            key,
            crashes: BTreeMap::from([(start, status)]),
            runs: BTreeMap::new(),
        };
        let updates = self.merge([received], now);
        updates.into_iter().next()
    }

    /// Records that a run of a suspect was answered. Returns the suspect to send to other instances.
    pub fn record_answer(&mut self, key: SuspectKey) -> Option<Suspect> {
        self.blame = None;
        let suspect = &mut self.known.get_mut(&key)?.suspect;
        if suspect.weight_if_confirmed() == 0 {
            return None;
        }
        suspect.clear();
        Some(suspect.clone())
    }

    /// Clears the stored suspects on an operator's request, so that they may run. Returns the
    /// suspects to send to other instances.
    pub fn clear_persisted(&mut self) -> Vec<Suspect> {
        self.blame = None;
        let all = self.known.values_mut().map(|known| &mut known.suspect);
        let persisted = all.filter(|suspect| suspect.should_persist());
        let cleared = persisted.map(|suspect| {
            suspect.clear();
            suspect.clone()
        });
        cleared.collect()
    }

    /// Merges suspects received from other instances. Returns the complete suspects that have
    /// changed.
    pub fn merge(
        &mut self,
        received: impl IntoIterator<Item = Suspect>,
        now: Instant,
    ) -> Vec<Suspect> {
        self.settle(now);
        self.blame = None;
        let mut updates = Vec::new();
        for received in received {
            let key = received.key;
            let known = self.known.entry(key).or_insert_with(|| SuspectRecord {
                suspect: Suspect {
                    key,
                    crashes: BTreeMap::new(),
                    runs: BTreeMap::new(),
                },
                last_crash_at: now,
                settles_at: None,
                unconfirmed_until: now + UNCONFIRMED_TIMEOUT,
            });
            known.drop_unconfirmed(now);
            let was_refused = known.suspect.is_refused();
            let mut is_new = false;
            for (crash, status) in received.crashes {
                let has_changed = known.suspect.merge(crash, status);
                if has_changed && status == CrashStatus::Unconfirmed {
                    known.unconfirmed_until = now + UNCONFIRMED_TIMEOUT;
                }
                is_new |= has_changed;
            }
            known.suspect.merge_runs(received.runs);
            if !is_new {
                continue;
            }
            known.last_crash_at = now;
            if known.suspect.is_refused() && !was_refused {
                known.settles_at = Some(now + SETTLE_DELAY);
            }
            updates.push(known.suspect.clone());
        }
        self.evict(now);
        updates
    }

    /// Suspects with at least `min_crashes` crashes: refused ones first, then the most recent.
    pub fn suspects(&self, min_crashes: usize) -> Vec<Suspect> {
        let mut all: Vec<&SuspectRecord> = self.known.values().collect();
        all.retain(|known| known.suspect.crashes.len() >= min_crashes);
        // Refused ones first: a caller that invents parts must not displace them.
        all.sort_by_key(|known| {
            let suspect = &known.suspect;
            std::cmp::Reverse((suspect.is_refused(), known.last_crash_at, suspect.key))
        });
        all.into_iter().map(|k| k.suspect.clone()).collect()
    }

    /// The suspects to store, so that they survive when all instances have stopped.
    pub fn persisted_suspects(&self) -> Vec<Suspect> {
        let mut all = self.suspects(1);
        all.retain(Suspect::should_persist);
        let parts = all.iter_mut().filter(|suspect| suspect.key.is_part());
        parts.for_each(blame::retain_sequential);
        all
    }

    /// Reassesses crashes that are explained by suspects that have been refused for a while: they
    /// count less for all other suspects. Suspects that crashed as many upstreams are refused by
    /// then and stay refused.
    fn settle(&mut self, now: Instant) {
        let mut due = Vec::new();
        for (key, known) in &mut self.known {
            if known.settles_at.is_some_and(|at| at <= now) {
                known.settles_at = None;
                due.push(*key);
            }
        }
        if due.is_empty() {
            return;
        }
        let blamed_parts = self.blamed_parts(now);
        // A part may have been refused only together with others.
        due.retain(|key| !key.is_part() || blamed_parts.contains(key));
        let explaining = due.iter().filter_map(|key| self.known.get(key));
        let explained = explaining.flat_map(|known| known.suspect.crashes.keys().cloned());
        let explained: Vec<UpstreamStart> = explained.collect();
        self.blame = None;
        for (key, known) in &mut self.known {
            let is_refused = if key.is_part() {
                blamed_parts.contains(key)
            } else {
                known.suspect.is_refused()
            };
            if is_refused {
                continue;
            }
            for crash in &explained {
                if let Some(status) = known.suspect.crashes.get_mut(crash) {
                    *status = CrashStatus::Explained.max(*status);
                }
            }
        }
    }

    /// Removes expired suspects. If there are still too many, removes those with the lowest weight
    /// first, and of these the oldest.
    fn evict(&mut self, now: Instant) {
        self.blame = None;
        self.known.retain(|_, known| {
            known.drop_unconfirmed(now);
            !known.is_expired(now) && !known.suspect.crashes.is_empty()
        });
        if self.known.len() <= MAX_SUSPECTS {
            return;
        }
        let all = self.known.values();
        let mut ranked: Vec<_> = all
            .map(|known| {
                (
                    known.suspect.weight(),
                    known.last_crash_at,
                    known.suspect.key,
                )
            })
            .collect();
        ranked.sort_unstable();
        for (_, _, key) in &ranked[..ranked.len() - RETAINED_SUSPECTS] {
            self.known.remove(key);
        }
    }
}
