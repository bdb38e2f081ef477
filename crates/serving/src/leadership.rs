//! The right to give orders, as one instance decides about it.
//!
//! One key under a lease says who holds the right. Whoever has written it may order until
//! the lease ends by its own steady clock, counted from before the lease was asked for or
//! renewed, so a holder that was paused or cut off stops before a successor can begin.
//! The store's revision of the key is the fencing number: it only grows.
//!
//! A second key, without a lease, names who has held the right lately. An instance that
//! finds itself there lets some time pass before it orders again, so that two holders do
//! not take turns at one engine; those that are not there go first.
//!
//! While the store is away a holder goes on by the word of all who could succeed it: see
//! [`promises`].
//!
//! [`Leadership::step`] says what to ask of the store, and its answer goes to the method
//! named after the call. There is no I/O and no clock here.

mod candidates;
mod promises;
mod records;
mod store_latency;

use crate::ports::{LeaseId, StoreError, WriteAnswer};
use passway_types::prelude::*;
use promises::Promises;
pub use promises::{PROMISE_DURATION, PromiseRefusal};
pub use records::{Candidate, EndCause, Holder, LeadershipSettings, RecentHolders, Step, TermEnd};
use store_latency::StoreLatency;

/// A lease is renewed when this part of it has passed.
const RENEW_PART: f64 = 0.25;
/// A renewal whose answer takes longer than this part of the lease is made again.
const RENEWAL_PART: f64 = 0.375;
/// The holder stops this long before its lease ends.
const SAFETY: Duration = Duration::from_millis(120);
/// Pause after the store refused or did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time within which instances draw the moment at which they try to take the key.
const TURN: Duration = Duration::from_millis(250);
/// How much later an instance with little processor tries.
const WEAK_PAUSE: Duration = Duration::from_millis(350);
/// How much later an instance tries that could not order at once.
const HELD_PAUSE: Duration = Duration::from_millis(300);
/// Longest time without a look.
const IDLE_STEP: Duration = Duration::from_secs(5);
/// An instance that has not ordered for this long may order at once: far more than any
/// order takes to be carried out.
const FORGET_TIME: Duration = Duration::from_mins(1);
/// Names of former holders that are kept.
const KEPT_HOLDERS: usize = 12;
/// Pause between two writes of the list of candidates.
const LIST_PAUSE: Duration = Duration::from_secs(2);
/// A term begins so long after the key was taken, if there were candidates: a holder that
/// they carry without the store is told meanwhile. Instances say what they need in this time.
const ANNOUNCE_TIME: Duration = Duration::from_millis(300);
/// How much later an instance tries that is not a candidate.
const NOT_LISTED_PAUSE: Duration = Duration::from_millis(1_500);

/// A term of this instance.
#[derive(Debug, Clone, Copy)]
struct Term {
    lease: LeaseId,
    fence: Fence,
    /// First moment at which it may order.
    begin_at: Instant,
    /// When the lease ends, less the safety.
    until: Instant,
    renew_at: Instant,
    /// Renewals in a row that the store left without a good answer.
    unanswered: u32,
    /// When the list of candidates may be written again.
    list_at: Instant,
}

/// A lease under which the key is to be written.
#[derive(Debug, Clone, Copy)]
struct Granted {
    lease: LeaseId,
    /// When it was asked for.
    asked_at: Instant,
    /// Whether a term must begin with a pause. Decided before the key is written: the
    /// list of holders names this instance last from then on.
    pauses: bool,
    /// Time in which a holder that candidates carry hears of the term and stops.
    announcing: Duration,
}

impl Granted {
    fn new(lease: LeaseId, asked_at: Instant) -> Self {
        Self {
            lease,
            asked_at,
            pauses: true,
            announcing: Duration::ZERO,
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Stage {
    /// Another one holds the right, or nothing is known.
    Watching,
    /// Nothing is tried before this moment.
    Pausing(Instant),
    /// Tries to take the key at this moment.
    Turn(Instant),
    /// Has a lease and not yet the key.
    Granted(Granted),
    Holding(Term),
    /// The lease is to be ended.
    Ending(LeaseId),
    Stopped,
}

/// What one instance knows and does about the right to order.
#[derive(Debug)]
pub struct Leadership {
    me: InstanceId,
    limits: LeadershipSettings,
    /// How long the store takes to answer this instance.
    answer_time: StoreLatency,
    /// Time-to-live of the lease that was asked for last.
    lease_time: Duration,
    stage: Stage,
    /// Whether the key was read at all.
    is_known: bool,
    holder: Option<Holder>,
    /// The highest fencing number that was seen: an older holder is gone for good.
    highest: Fence,
    recent: RecentHolders,
    /// Whether this process knows that nobody else ordered after its last term.
    held_last: bool,
    /// When this process began, or its last term ended.
    quiet_since: Instant,
    is_released: bool,
    /// Until when this instance has promised not to take the key.
    promised_until: Instant,
    /// Until when a promise of the process before this one may hold. A term that is taken
    /// meanwhile begins then, so that a fleet that starts anew waits once for both.
    unknown_until: Instant,
    /// What the candidates of my term have promised.
    promises: Promises,
    /// How the last term ended that was not given back.
    last_end: Option<TermEnd>,
    /// Who had the right before it was taken here.
    former_holder: Option<InstanceId>,
    /// Candidates that the store named when the key was taken.
    former_candidates: Vec<Candidate>,
    /// The candidates that the term should have.
    wanted: Vec<Candidate>,
}

impl Leadership {
    /// An instance that knows nothing yet.
    pub fn new(me: InstanceId, limits: LeadershipSettings, now: Instant) -> Self {
        Self {
            me,
            limits,
            answer_time: StoreLatency::default(),
            lease_time: limits.min_lease_ttl,
            stage: Stage::Watching,
            is_known: false,
            holder: None,
            highest: 0,
            recent: RecentHolders::default(),
            held_last: false,
            quiet_since: now,
            is_released: false,
            promised_until: now,
            unknown_until: now + PROMISE_DURATION,
            promises: Promises::default(),
            last_end: None,
            former_holder: None,
            former_candidates: Vec::new(),
            wanted: Vec::new(),
        }
    }

    /// Uses another pause between two holders.
    pub fn set_holder_gap(&mut self, gap: Duration) {
        self.limits.holder_gap = gap;
    }

    /// Time-to-live of the lease to ask for: longer than the shortest one where the store takes long to answer.
    pub fn lease_ttl(&self) -> Duration {
        self.lease_time
    }

    /// Longest time for the answer to a renewal.
    pub fn renewal_timeout(&self) -> Duration {
        self.lease_time.mul_f64(RENEWAL_PART)
    }

    /// The store has answered a call about the right within some time.
    pub fn record_store_latency(&mut self, took: Duration) {
        self.answer_time.observe(took);
    }

    /// Who holds the right.
    pub fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }

    /// My fencing number, if I may give an order now.
    pub fn fence(&self, now: Instant) -> Option<Fence> {
        let Stage::Holding(term) = self.stage else {
            return None;
        };
        let runs = now >= term.begin_at && now < self.ordering_until(&term);
        (runs && !self.is_released && !self.is_succeeded(term.fence)).then_some(term.fence)
    }

    /// My fencing number for as long as my term lasts, also while I may not order: before
    /// its begin, and while candidates are asked to carry it.
    pub fn term_fence(&self, now: Instant) -> Option<Fence> {
        let Stage::Holding(term) = self.stage else {
            return None;
        };
        let lasts = now < self.ends_at(&term);
        (lasts && !self.is_released && !self.is_succeeded(term.fence)).then_some(term.fence)
    }

    /// Whether nobody else had the right between this instance's last two terms.
    pub fn was_previous_holder(&self) -> bool {
        self.former_holder.as_ref() == Some(&self.me)
    }

    /// Whether somebody else took the right after a term of mine began.
    fn is_succeeded(&self, fence: Fence) -> bool {
        let holder = self.holder.as_ref();
        holder.is_some_and(|holder| holder.instance != self.me && holder.fence > fence)
    }

    /// The key was read, or has changed.
    pub fn observe_holder(&mut self, holder: Option<Holder>) {
        self.is_known = true;
        let fence = holder.as_ref().map_or(0, |holder| holder.fence);
        self.highest = self.highest.max(fence);
        self.holder = holder;
    }

    /// Another instance says that it holds the right, while the store does not answer;
    /// whether that is news. It only tells whom to follow: this instance takes the right by
    /// the store's word alone.
    pub fn learn_holder(&mut self, holder: Holder) -> bool {
        if holder.fence <= self.highest || holder.instance == self.me {
            return false;
        }
        self.highest = holder.fence;
        self.holder = Some(holder);
        true
    }

    /// The list of who has held the right lately was read, or has changed.
    pub fn observe_recent(&mut self, recent: RecentHolders) {
        // A list that was read may be older than a change that was heard.
        if recent.revision >= self.recent.revision {
            self.held_last &= recent.names.last() == Some(&self.me);
            if recent.revision > self.recent.revision {
                self.set_listed_candidates(&recent);
            }
            self.recent = recent;
        }
    }

    /// The list to write beside the key when this instance takes it, and the revision
    /// that it replaces.
    pub fn recent_holders_with_me(&self) -> RecentHolders {
        let others = self.recent.names.iter().filter(|name| **name != self.me);
        let mut names: Vec<InstanceId> = others.cloned().collect();
        names.push(self.me.clone());
        let surplus = names.len().saturating_sub(KEPT_HOLDERS);
        RecentHolders {
            names: names.split_off(surplus),
            // They stay those that may take the key at once, whoever holds it.
            candidates: self.recent.candidates.clone(),
            revision: self.recent.revision,
        }
    }

    /// Gives the right back, so that another instance can take it at once.
    pub fn release(&mut self) {
        self.is_released = true;
    }

    /// Whether another one may have ordered since this instance did, not long ago. That
    /// its name is the last one does not tell: it may have taken the key without hearing
    /// so, and given no order.
    fn must_pause(&self, now: Instant) -> bool {
        let names = &self.recent.names;
        let has_held = names.contains(&self.me) && names.len() > 1;
        has_held && !self.held_last && now < self.quiet_since + FORGET_TIME
    }

    /// What to do now. `drawn` between 0 and 1 spreads those who see at one moment that
    /// nobody holds the key; `store_answers` says whether it is worth asking.
    pub fn step(&mut self, drawn: f64, store_answers: bool, now: Instant) -> Step {
        if self.is_released {
            return self.give_back();
        }
        match self.stage {
            Stage::Watching => self.watch(drawn, now),
            Stage::Pausing(until) if now < until => Step::Wait(until),
            Stage::Pausing(_) => {
                self.stage = Stage::Watching;
                self.watch(drawn, now)
            }
            Stage::Turn(at) if now < at => Step::Wait(at),
            Stage::Turn(_) if self.holder.is_some() => {
                self.stage = Stage::Watching;
                Step::Wait(now + IDLE_STEP)
            }
            Stage::Turn(_) if now < self.promised_until => Step::Wait(self.promised_until),
            Stage::Turn(_) if !store_answers => self.pause(now),
            Stage::Turn(_) => {
                self.lease_time = self.answer_time.lease(self.limits.min_lease_ttl);
                Step::GrantLease
            }
            // It may have promised while the lease was asked for.
            Stage::Granted(granted) if now < self.promised_until => {
                self.stage = Stage::Ending(granted.lease);
                Step::EndLease(granted.lease)
            }
            Stage::Granted(granted) => self.take(granted, now),
            Stage::Holding(term) => self.hold(term, now),
            Stage::Ending(lease) => Step::EndLease(lease),
            Stage::Stopped => Step::Stop,
        }
    }

    fn watch(&mut self, drawn: f64, now: Instant) -> Step {
        if !self.is_known || self.holder.is_some() {
            return Step::Wait(now + IDLE_STEP);
        }
        let mut pause = TURN.mul_f64(drawn);
        if self.limits.has_low_cpu {
            pause += WEAK_PAUSE;
        }
        if self.must_pause(now) {
            pause += HELD_PAUSE;
        }
        if !self.is_candidate() {
            pause += NOT_LISTED_PAUSE;
        }
        self.stage = Stage::Turn(now + pause);
        Step::Wait(now + pause)
    }

    /// How the term would begin is told by the list that its taking replaces.
    fn take(&mut self, granted: Granted, now: Instant) -> Step {
        self.former_candidates.clone_from(&self.recent.candidates);
        // The taking is conditional on this list, and whoever takes the key puts its own name last.
        self.former_holder = self.recent.names.last().cloned();
        let announcing = if self.recent.candidates.is_empty() {
            Duration::ZERO
        } else if self.is_candidate() {
            // Others carry nobody without this one's promise, unless its process before
            // this one left for good.
            ANNOUNCE_TIME
        } else {
            self.limits.holder_gap
        };
        self.stage = Stage::Granted(Granted {
            pauses: self.must_pause(now),
            announcing,
            ..granted
        });
        Step::TakeKey(granted.lease)
    }

    fn pause(&mut self, now: Instant) -> Step {
        let until = now + RETRY_PAUSE;
        self.stage = Stage::Pausing(until);
        Step::Wait(until)
    }

    fn hold(&mut self, term: Term, now: Instant) -> Step {
        if self.is_succeeded(term.fence) {
            return self.lose(&term, EndCause::Succeeded, now);
        }
        if now >= self.ends_at(&term) {
            return self.lose(&term, EndCause::Lapsed, now);
        }
        self.held_last |= now >= term.begin_at;
        if now >= term.renew_at {
            return Step::RenewLease(term.lease);
        }
        if term.unanswered > 0 || !self.should_write_candidates() {
            return Step::Wait(term.renew_at);
        }
        if now < term.list_at {
            return Step::Wait(term.renew_at.min(term.list_at));
        }
        let names = self.wanted.iter().map(|one| one.instance.clone());
        self.promises.writing(names);
        Step::WriteCandidates
    }

    fn lose(&mut self, term: &Term, cause: EndCause, now: Instant) -> Step {
        self.quiet_since = now;
        self.last_end = Some(TermEnd {
            cause,
            unanswered_renewals: term.unanswered,
            renewal_overdue: now.saturating_duration_since(term.renew_at),
        });
        self.stage = Stage::Ending(term.lease);
        Step::EndLease(term.lease)
    }

    /// How the last term ended that was not given back.
    pub fn last_term_end(&self) -> Option<TermEnd> {
        self.last_end
    }

    fn give_back(&mut self) -> Step {
        let lease = match self.stage {
            Stage::Holding(term) => term.lease,
            Stage::Granted(granted) => granted.lease,
            Stage::Ending(lease) => lease,
            _ => {
                self.stage = Stage::Stopped;
                return Step::Stop;
            }
        };
        self.stage = Stage::Ending(lease);
        Step::EndLease(lease)
    }

    /// The answer to [`Step::Grant`], asked for at `asked_at`.
    pub fn handle_grant(&mut self, answer: Result<LeaseId, StoreError>, asked_at: Instant) {
        // A lease whose grant had no answer holds no key, and runs out.
        self.stage = match answer {
            Ok(lease) => Stage::Granted(Granted::new(lease, asked_at)),
            Err(_) => Stage::Pausing(asked_at + RETRY_PAUSE),
        };
    }

    /// The answer to [`Step::Take`]; the fencing number if a term begins.
    pub fn handle_take(
        &mut self,
        answer: &Result<WriteAnswer, StoreError>,
        now: Instant,
    ) -> Option<Fence> {
        let Stage::Granted(granted) = self.stage else {
            return None;
        };
        let lease = granted.lease;
        let Ok(WriteAnswer::Written(fence)) = *answer else {
            // Without an answer it may take effect yet: ending the lease takes the key
            // away with it.
            self.held_last = false;
            self.stage = Stage::Ending(lease);
            return None;
        };
        // Nothing was ordered yet, and a term may be over before its answer comes.
        self.held_last = false;
        // A pause is counted from the last order of a holder that candidates carry.
        let mut begin_at = now + granted.announcing;
        if granted.pauses {
            begin_at += self.limits.holder_gap;
        }
        if !self.former_candidates.is_empty() {
            begin_at = begin_at.max(self.unknown_until);
        }
        self.highest = self.highest.max(fence);
        self.promises = Promises::default();
        self.stage = Stage::Holding(Term {
            lease,
            fence,
            begin_at,
            unanswered: 0,
            list_at: now + LIST_PAUSE / 2,
            until: granted.asked_at + self.lease_time.saturating_sub(SAFETY),
            renew_at: now + self.lease_time.mul_f64(RENEW_PART),
        });
        Some(fence)
    }

    /// The answer to [`Step::Renew`], asked for at `asked_at`.
    pub fn handle_renewal(
        &mut self,
        answer: Result<bool, StoreError>,
        asked_at: Instant,
        now: Instant,
    ) {
        let Stage::Holding(mut term) = self.stage else {
            return;
        };
        match answer {
            Ok(true) => {
                term.until = asked_at + self.lease_time.saturating_sub(SAFETY);
                term.renew_at = asked_at + self.lease_time.mul_f64(RENEW_PART);
                term.unanswered = 0;
                self.promises.store_answered();
            }
            Ok(false) => {
                self.lose(&term, EndCause::LeaseGone, now);
                return;
            }
            Err(_) => {
                term.renew_at = now + RETRY_PAUSE;
                term.unanswered += 1;
            }
        }
        self.stage = Stage::Holding(term);
    }

    /// The lease was ended, or runs out by itself.
    pub fn handle_lease_end(&mut self, now: Instant) {
        self.stage = if self.is_released {
            Stage::Stopped
        } else {
            Stage::Pausing(now + RETRY_PAUSE)
        };
    }
}
