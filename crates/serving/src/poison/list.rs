//! Which requests were being run when upstreams crashed, and which of them are refused.

use super::RequestDigest;
use passway_types::prelude::*;
use std::collections::{BTreeMap, HashMap};

/// Crashes under one request after which it is refused. Two would refuse many of those that ran
/// beside it: they go on together at the next engine, and an engine runs a dozen.
pub const MAX_CRASHES: u32 = 3;
/// What a crash counts that nothing else explains; so that half of it can be told.
const FULL_WEIGHT: u32 = 2;
/// A request is refused for so long after its last crash. A caller that keeps repeating it may
/// then end three engines an hour; a request that was refused wrongly is served again.
const REFUSED_TIME: Duration = Duration::from_hours(1);
/// Fewer crashes are remembered for so long: callers' time budgets are seconds to minutes.
const SUSPECTED_TIME: Duration = Duration::from_mins(10);
/// An upstream of which nothing tells for so long whether it has ended counts as living. Its entry goes
/// after three check-ins of silence, some four seconds.
pub const UNCONFIRMED_TIMEOUT: Duration = Duration::from_secs(8);
/// Time for what other instances saw of a crash to arrive, before it is held to be explained.
const SETTLING_TIME: Duration = Duration::from_secs(1);
/// Suspects that are kept, some 300 bytes each. A rack of 20 engines leaves 240.
const MAX_SUSPECTS: usize = 4_096;
/// As many are kept once there are more, so that the list is not sorted for each.
const KEPT_SUSPECTS: usize = MAX_SUSPECTS * 3 / 4;
/// Crashes that are kept of one request.
const MAX_KEPT_CRASHES: usize = 8;

/// One start of an upstream: an upstream may start again under its id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamStart {
    /// The upstream.
    pub upstream: UpstreamId,
    /// When it started, in Unix milliseconds by its own clock; 0 if it does not tell.
    pub started_at_ms: u64,
}

/// What a crash tells about a request that was being run. The later ones replace the earlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashStatus {
    /// The upstream broke off, and it is not known yet whether it has ended.
    Unconfirmed,
    /// The request may have been the cause.
    Counted,
    /// Another request that is refused was being run as well, and crashed more upstreams.
    Explained,
    /// The request has been answered since, so it does not crash what runs it.
    Cleared,
}

impl CrashStatus {
    fn weight(self) -> u32 {
        match self {
            Self::Counted => FULL_WEIGHT,
            Self::Explained => FULL_WEIGHT / 2,
            Self::Unconfirmed | Self::Cleared => 0,
        }
    }
}

/// When a run was sent to an upstream, and when the upstream broke off. Of another instance's run the first may be
/// too late and the second too early, never the other way round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunSpan {
    /// When it was sent.
    pub sent_at: Instant,
    /// When the upstream broke off.
    pub disconnected_at: Instant,
}

impl RunSpan {
    /// What two instances know of runs that were alike: the first of each moment.
    fn merge(self, other: Self) -> Self {
        Self {
            sent_at: self.sent_at.min(other.sent_at),
            disconnected_at: self.disconnected_at.min(other.disconnected_at),
        }
    }
}

/// Upstreams that break off within this time may have ended of one cause.
const MOMENT: Duration = Duration::from_secs(1);

/// Whether a request may run while upstreams that broke off under it may have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RunPermission {
    /// It may.
    #[default]
    Free,
    /// One of those like it at a time, over all instances: if it ends the next upstream too it is to be refused,
    /// and an answer shows that something else ended the others.
    Alone,
    /// Not before it is known: if all have ended it is to be refused.
    Held,
}

/// A request and the crashes under it, as instances tell one another. Knowledge of several
/// instances is joined, in any order and any number of times, with the same result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// The request.
    pub digest: RequestDigest,
    /// The crashes.
    pub crashes: BTreeMap<UpstreamStart, CrashStatus>,
    /// The runs that broke off, where that is known.
    pub runs: BTreeMap<UpstreamStart, RunSpan>,
}

impl Suspect {
    /// Whether all crashes that count fell into one moment, before which the request was already being run on
    /// each of the upstreams. Whatever took them together, a rack's loss, explains that without the request,
    /// which goes to its next upstream after the last one broke off.
    fn is_single_incident(&self) -> bool {
        let counted = self.crashes.iter();
        let counted = counted.filter(|(_, blame)| **blame != CrashStatus::Cleared);
        let spans = counted.map(|(start, _)| self.runs.get(start));
        let Some(spans) = spans.collect::<Option<Vec<_>>>() else {
            return false;
        };
        let first = spans.iter().map(|span| span.disconnected_at).min();
        first.is_some_and(|first| {
            let is_of_it =
                |span: &&RunSpan| span.sent_at <= first && span.disconnected_at <= first + MOMENT;
            spans.iter().all(is_of_it)
        })
    }

    fn weight(&self) -> u32 {
        self.crashes.values().map(|blame| blame.weight()).sum()
    }

    /// The weight that it has if all upstreams that broke off have ended.
    fn weight_if_confirmed(&self) -> u32 {
        let open = self
            .crashes
            .values()
            .filter(|blame| **blame == CrashStatus::Unconfirmed);
        self.weight() + open.map(|_| FULL_WEIGHT).sum::<u32>()
    }

    /// Whether the next crash is the last that is allowed.
    fn should_persist(&self) -> bool {
        self.weight() >= (MAX_CRASHES - 1) * FULL_WEIGHT
    }

    fn is_refused(&self) -> bool {
        self.weight() >= MAX_CRASHES * FULL_WEIGHT && !self.is_single_incident()
    }

    /// What has crashed so far is not held against it any more.
    fn clear(&mut self) {
        let crashes = self.crashes.values_mut();
        crashes.for_each(|blame| *blame = CrashStatus::Cleared);
    }

    /// Joins in when runs were sent and broke off, of crashes that are known.
    fn join_runs(&mut self, told: BTreeMap<UpstreamStart, RunSpan>) {
        for (start, run) in told {
            if self.crashes.contains_key(&start) {
                let known = self.runs.entry(start).or_insert(run);
                *known = known.merge(run);
            }
        }
    }

    /// Joins in what is known of a crash; whether that is news.
    fn merge(&mut self, crash: UpstreamStart, blame: CrashStatus) -> bool {
        if let Some(known) = self.crashes.get_mut(&crash) {
            let is_news = blame > *known;
            *known = blame.max(*known);
            return is_news;
        }
        let has_room = self.crashes.len() < MAX_KEPT_CRASHES;
        if has_room {
            self.crashes.insert(crash, blame);
        }
        has_room
    }
}

/// What is known of one request here.
#[derive(Debug)]
struct Known {
    suspect: Suspect,
    /// When the last crash became known.
    at: Instant,
    /// When others' crashes that it explains are to be weighed anew, if it is refused.
    settles_at: Option<Instant>,
    /// Until when upstreams that broke off may prove to have ended.
    open_until: Instant,
}

impl Known {
    /// Drops breaks of which nothing told in time whether the upstream has ended.
    fn drop_unconfirmed(&mut self, now: Instant) {
        if now >= self.open_until {
            let crashes = &mut self.suspect.crashes;
            crashes.retain(|_, blame| *blame != CrashStatus::Unconfirmed);
            let runs = &mut self.suspect.runs;
            runs.retain(|start, _| crashes.contains_key(start));
        }
    }

    fn is_expired(&self, now: Instant) -> bool {
        self.until() <= now
    }

    fn until(&self) -> Instant {
        let is_refused = self.suspect.is_refused();
        self.at
            + if is_refused {
                REFUSED_TIME
            } else {
                SUSPECTED_TIME
            }
    }
}

/// The requests under which upstreams have crashed lately.
#[derive(Debug, Default)]
pub struct PoisonList {
    known: HashMap<RequestDigest, Known>,
    /// Starts of upstreams that broke off lately, and when that was first.
    breaks: HashMap<UpstreamStart, Instant>,
}

impl PoisonList {
    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// How many requests are refused.
    pub fn refused_count(&self) -> usize {
        let all = self.known.values();
        all.filter(|known| known.suspect.is_refused()).count()
    }

    /// What is known of a request.
    pub fn get(&self, digest: RequestDigest) -> Option<&Suspect> {
        self.known.get(&digest).map(|known| &known.suspect)
    }

    /// For how long a request is refused yet; `None` if it may be run.
    pub fn remaining_refusal(&self, digest: RequestDigest, now: Instant) -> Option<Duration> {
        let known = self.known.get(&digest)?;
        let is_refused = known.suspect.is_refused() && !known.is_expired(now);
        is_refused.then(|| known.until().saturating_duration_since(now))
    }

    /// Whether a request may run while it is not known which upstreams have ended that broke off under it.
    pub fn run_permission(&self, digest: RequestDigest, now: Instant) -> RunPermission {
        let Some(known) = self.known.get(&digest) else {
            return RunPermission::Free;
        };
        let suspect = &known.suspect;
        let certain = suspect.weight();
        let weight = if now < known.open_until {
            suspect.weight_if_confirmed()
        } else {
            certain
        };
        if suspect.is_refused() || weight < (MAX_CRASHES - 1) * FULL_WEIGHT {
            RunPermission::Free
        } else if weight >= MAX_CRASHES * FULL_WEIGHT
            && weight > certain
            && !suspect.is_single_incident()
        {
            RunPermission::Held
        } else {
            RunPermission::Alone
        }
    }

    /// An upstream has crashed while it ran a request, or while that waited there. Returns what
    /// others are to be told.
    pub fn record_crash(
        &mut self,
        digest: RequestDigest,
        crash: UpstreamStart,
        now: Instant,
    ) -> Option<Suspect> {
        self.note(digest, crash, CrashStatus::Counted, None, now)
    }

    /// The same, of a run that was sent at a moment.
    pub fn record_run_crash(
        &mut self,
        digest: RequestDigest,
        crash: UpstreamStart,
        sent_at: Instant,
        now: Instant,
    ) -> Option<Suspect> {
        let run = RunSpan {
            sent_at,
            disconnected_at: now,
        };
        self.note(digest, crash, CrashStatus::Counted, Some(run), now)
    }

    /// A start of an upstream broke off at a moment and may have ended. Returns whether that is news.
    pub fn record_disconnect(&mut self, start: &UpstreamStart, at: Instant, now: Instant) -> bool {
        self.breaks
            .retain(|_, first| now < *first + UNCONFIRMED_TIMEOUT);
        let is_news = !self.breaks.contains_key(start);
        let first = self.breaks.entry(start.clone()).or_insert(at);
        *first = at.min(*first);
        is_news
    }

    /// An upstream broke off under a request, which was sent at a moment, and may have ended. Whatever is
    /// sent to one that has ended breaks off too and tells nothing of the request. Returns what others are to
    /// be told.
    pub fn record_run_disconnect(
        &mut self,
        digest: RequestDigest,
        start: UpstreamStart,
        sent_at: Instant,
        now: Instant,
    ) -> Option<Suspect> {
        let broke_at = self.breaks.get(&start);
        let may_be_cause = broke_at.is_none_or(|broke_at| sent_at <= *broke_at);
        let run = RunSpan {
            sent_at,
            disconnected_at: now,
        };
        may_be_cause.then(|| self.note(digest, start, CrashStatus::Unconfirmed, Some(run), now))?
    }

    /// An upstream that broke off under a request runs on as the start that it was. Returns what others
    /// are to be told.
    pub fn record_alive(
        &mut self,
        digest: RequestDigest,
        start: UpstreamStart,
        now: Instant,
    ) -> Option<Suspect> {
        let known = self.known.get(&digest)?;
        self.breaks.remove(&start);
        let is_open = known.suspect.crashes.get(&start) == Some(&CrashStatus::Unconfirmed);
        is_open.then(|| self.note(digest, start, CrashStatus::Cleared, None, now))?
    }

    /// Starts of an upstream before a moment in Unix milliseconds, by its own clock, have ended: what they
    /// broke off under then is known. Returns what others are to be told.
    pub fn record_terminated(
        &mut self,
        upstream: &str,
        before_ms: u64,
        now: Instant,
    ) -> Vec<Suspect> {
        let mut crashes = Vec::new();
        for (digest, known) in &self.known {
            let ended = known.suspect.crashes.iter().filter(|(start, blame)| {
                **blame == CrashStatus::Unconfirmed
                    && *start.upstream == *upstream
                    && start.started_at_ms < before_ms
            });
            crashes.extend(ended.map(|(start, _)| (*digest, start.clone())));
        }
        let news = crashes
            .into_iter()
            .filter_map(|(digest, start)| self.record_crash(digest, start, now));
        news.collect()
    }

    fn note(
        &mut self,
        digest: RequestDigest,
        start: UpstreamStart,
        blame: CrashStatus,
        run: Option<RunSpan>,
        now: Instant,
    ) -> Option<Suspect> {
        let runs = run.map(|run| (start.clone(), run));
        let told = Suspect {
            digest,
            crashes: BTreeMap::from([(start, blame)]),
            runs: runs.into_iter().collect(),
        };
        let news = self.merge([told], now);
        news.into_iter().next()
    }

    /// A request has had an answer. Returns what others are to be told.
    pub fn record_answer(&mut self, digest: RequestDigest) -> Option<Suspect> {
        let suspect = &mut self.known.get_mut(&digest)?.suspect;
        if suspect.weight_if_confirmed() == 0 {
            return None;
        }
        suspect.clear();
        Some(suspect.clone())
    }

    /// An operator has it that the requests that were kept may run. Returns what others are
    /// to be told.
    pub fn clear_persisted(&mut self) -> Vec<Suspect> {
        let all = self.known.values_mut().map(|known| &mut known.suspect);
        let kept = all.filter(|suspect| suspect.should_persist());
        let cleared = kept.map(|suspect| {
            suspect.clear();
            suspect.clone()
        });
        cleared.collect()
    }

    /// Joins in what others know. Returns what is news, whole.
    pub fn merge(&mut self, told: impl IntoIterator<Item = Suspect>, now: Instant) -> Vec<Suspect> {
        self.settle(now);
        let mut news = Vec::new();
        for told in told {
            let digest = told.digest;
            let known = self.known.entry(digest).or_insert_with(|| Known {
                suspect: Suspect {
                    digest,
                    crashes: BTreeMap::new(),
                    runs: BTreeMap::new(),
                },
                at: now,
                settles_at: None,
                open_until: now + UNCONFIRMED_TIMEOUT,
            });
            known.drop_unconfirmed(now);
            let was_refused = known.suspect.is_refused();
            let mut is_news = false;
            for (crash, blame) in told.crashes {
                let joined = known.suspect.merge(crash, blame);
                if joined && blame == CrashStatus::Unconfirmed {
                    known.open_until = now + UNCONFIRMED_TIMEOUT;
                }
                is_news |= joined;
            }
            known.suspect.join_runs(told.runs);
            if !is_news {
                continue;
            }
            known.at = now;
            if known.suspect.is_refused() && !was_refused {
                known.settles_at = Some(now + SETTLING_TIME);
            }
            news.push(known.suspect.clone());
        }
        self.bound(now);
        news
    }

    /// What is known of requests that at least so many crashes tell of, the newest first.
    pub fn suspects(&self, min_crashes: usize) -> Vec<Suspect> {
        let mut all: Vec<&Known> = self.known.values().collect();
        all.retain(|known| known.suspect.crashes.len() >= min_crashes);
        all.sort_by_key(|known| std::cmp::Reverse((known.at, known.suspect.digest)));
        all.into_iter().map(|k| k.suspect.clone()).collect()
    }

    /// The requests that are to be known when all instances have gone.
    pub fn persisted_suspects(&self) -> Vec<Suspect> {
        let mut all = self.suspects(1);
        all.retain(Suspect::should_persist);
        all
    }

    /// Crashes that requests refused for a while explain count less for all others. Those that
    /// crashed as many upstreams beside them are refused by then, and stay so.
    fn settle(&mut self, now: Instant) {
        let mut explained = Vec::new();
        for known in self.known.values_mut() {
            if known.settles_at.is_some_and(|at| at <= now) {
                known.settles_at = None;
                explained.extend(known.suspect.crashes.keys().cloned());
            }
        }
        if explained.is_empty() {
            return;
        }
        for known in self.known.values_mut() {
            if known.suspect.is_refused() {
                continue;
            }
            for crash in &explained {
                if let Some(blame) = known.suspect.crashes.get_mut(crash) {
                    *blame = CrashStatus::Explained.max(*blame);
                }
            }
        }
    }

    /// Forgets what is old, and of too many those that crashed the fewest upstreams, the oldest first.
    fn bound(&mut self, now: Instant) {
        self.known.retain(|_, known| {
            known.drop_unconfirmed(now);
            !known.is_expired(now) && !known.suspect.crashes.is_empty()
        });
        if self.known.len() <= MAX_SUSPECTS {
            return;
        }
        let all = self.known.values();
        let mut ranked: Vec<_> = all
            .map(|known| (known.suspect.weight(), known.at, known.suspect.digest))
            .collect();
        ranked.sort_unstable();
        for (_, _, digest) in &ranked[..ranked.len() - KEPT_SUSPECTS] {
            self.known.remove(digest);
        }
    }
}
