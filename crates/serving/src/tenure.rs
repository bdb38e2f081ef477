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
//! [`Tenure::step`] says what to ask of the store, and its answer goes to the method
//! named after the call. There is no I/O and no clock here.

use crate::ports::{LeaseId, StoreError, StoreRevision, WriteAnswer};
use passway_types::prelude::*;
use std::net::SocketAddr;

/// A lease is renewed when this part of it has passed.
const RENEW_PART: f64 = 0.25;
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

/// Who holds the right, as the store says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The instance.
    pub instance: InstanceId,
    /// Where it listens for other instances.
    pub address: SocketAddr,
    /// The store's revision of the key.
    pub fence: Fence,
}

/// Who has held the right lately, as the store says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecentHolders {
    /// The instances, the last one last.
    pub names: Vec<InstanceId>,
    /// The store's revision of the key; 0 if it was never written.
    pub revision: StoreRevision,
}

/// What is fixed about an instance's tenure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TenureLimits {
    /// Time-to-live of the lease.
    pub lease: Duration,
    /// Time in which two holders must not both order at one engine.
    pub gap: Duration,
    /// Whether others had better hold the right, since this instance has little processor.
    pub is_weak: bool,
}

/// What to do next about the right.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing before this moment, unless something is heard.
    Wait(Instant),
    /// Ask for a lease.
    Grant,
    /// Write the holder's key under the lease, if it is not there.
    Take(LeaseId),
    /// Renew the lease.
    Renew(LeaseId),
    /// End the lease.
    End(LeaseId),
    /// Nothing any more.
    Stop,
}

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
pub struct Tenure {
    me: InstanceId,
    limits: TenureLimits,
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
}

impl Tenure {
    /// An instance that knows nothing yet.
    pub fn new(me: InstanceId, limits: TenureLimits, now: Instant) -> Self {
        Self {
            me,
            limits,
            stage: Stage::Watching,
            is_known: false,
            holder: None,
            highest: 0,
            recent: RecentHolders::default(),
            held_last: false,
            quiet_since: now,
            is_released: false,
        }
    }

    /// Uses another pause between two holders.
    pub fn set_gap(&mut self, gap: Duration) {
        self.limits.gap = gap;
    }

    /// Time-to-live of the lease to ask for.
    pub fn lease_time(&self) -> Duration {
        self.limits.lease
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
        let runs = now >= term.begin_at && now < term.until;
        (runs && !self.is_released && !self.is_succeeded(term.fence)).then_some(term.fence)
    }

    /// Whether somebody else took the right after a term of mine began.
    fn is_succeeded(&self, fence: Fence) -> bool {
        let holder = self.holder.as_ref();
        holder.is_some_and(|holder| holder.instance != self.me && holder.fence > fence)
    }

    /// The key was read, or has changed.
    pub fn seen(&mut self, holder: Option<Holder>) {
        self.is_known = true;
        let fence = holder.as_ref().map_or(0, |holder| holder.fence);
        self.highest = self.highest.max(fence);
        self.holder = holder;
    }

    /// Another instance says that it holds the right, while the store does not answer;
    /// whether that is news. It only tells whom to follow: this instance takes the right by
    /// the store's word alone.
    pub fn told(&mut self, holder: Holder) -> bool {
        if holder.fence <= self.highest || holder.instance == self.me {
            return false;
        }
        self.highest = holder.fence;
        self.holder = Some(holder);
        true
    }

    /// The list of who has held the right lately was read, or has changed.
    pub fn seen_recent(&mut self, recent: RecentHolders) {
        // A list that was read may be older than a change that was heard.
        if recent.revision >= self.recent.revision {
            self.held_last &= recent.names.last() == Some(&self.me);
            self.recent = recent;
        }
    }

    /// The list to write beside the key when this instance takes it, and the revision
    /// that it replaces.
    pub fn recent_with_me(&self) -> RecentHolders {
        let others = self.recent.names.iter().filter(|name| **name != self.me);
        let mut names: Vec<InstanceId> = others.cloned().collect();
        names.push(self.me.clone());
        let surplus = names.len().saturating_sub(KEPT_HOLDERS);
        RecentHolders {
            names: names.split_off(surplus),
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
            Stage::Turn(_) if !store_answers => self.pause(now),
            Stage::Turn(_) => Step::Grant,
            Stage::Granted(granted) => Step::Take(granted.lease),
            Stage::Holding(term) => self.hold(term, now),
            Stage::Ending(lease) => Step::End(lease),
            Stage::Stopped => Step::Stop,
        }
    }

    fn watch(&mut self, drawn: f64, now: Instant) -> Step {
        if !self.is_known || self.holder.is_some() {
            return Step::Wait(now + IDLE_STEP);
        }
        let mut pause = TURN.mul_f64(drawn);
        if self.limits.is_weak {
            pause += WEAK_PAUSE;
        }
        if self.must_pause(now) {
            pause += HELD_PAUSE;
        }
        self.stage = Stage::Turn(now + pause);
        Step::Wait(now + pause)
    }

    fn pause(&mut self, now: Instant) -> Step {
        let until = now + RETRY_PAUSE;
        self.stage = Stage::Pausing(until);
        Step::Wait(until)
    }

    fn hold(&mut self, term: Term, now: Instant) -> Step {
        if now >= term.until || self.is_succeeded(term.fence) {
            return self.lose(term.lease, now);
        }
        self.held_last |= now >= term.begin_at;
        if now < term.renew_at {
            return Step::Wait(term.renew_at);
        }
        Step::Renew(term.lease)
    }

    fn lose(&mut self, lease: LeaseId, now: Instant) -> Step {
        self.quiet_since = now;
        self.stage = Stage::Ending(lease);
        Step::End(lease)
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
        Step::End(lease)
    }

    /// The answer to [`Step::Grant`], asked for at `asked_at`.
    pub fn granted(&mut self, answer: Result<LeaseId, StoreError>, asked_at: Instant) {
        // A lease whose grant had no answer holds no key, and runs out.
        self.stage = match answer {
            Ok(lease) => Stage::Granted(Granted {
                lease,
                asked_at,
                pauses: self.must_pause(asked_at),
            }),
            Err(_) => Stage::Pausing(asked_at + RETRY_PAUSE),
        };
    }

    /// The answer to [`Step::Take`]; the fencing number if a term begins.
    pub fn taken(
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
        let begin_at = if granted.pauses {
            now + self.limits.gap
        } else {
            now
        };
        self.stage = Stage::Holding(Term {
            lease,
            fence,
            begin_at,
            until: granted.asked_at + self.limits.lease.saturating_sub(SAFETY),
            renew_at: now + self.limits.lease.mul_f64(RENEW_PART),
        });
        Some(fence)
    }

    /// The answer to [`Step::Renew`], asked for at `asked_at`.
    pub fn renewed(&mut self, answer: Result<bool, StoreError>, asked_at: Instant, now: Instant) {
        let Stage::Holding(mut term) = self.stage else {
            return;
        };
        match answer {
            Ok(true) => {
                term.until = asked_at + self.limits.lease.saturating_sub(SAFETY);
                term.renew_at = asked_at + self.limits.lease.mul_f64(RENEW_PART);
            }
            Ok(false) => {
                self.lose(term.lease, now);
                return;
            }
            Err(_) => term.renew_at = now + RETRY_PAUSE,
        }
        self.stage = Stage::Holding(term);
    }

    /// The lease was ended, or runs out by itself.
    pub fn ended(&mut self, now: Instant) {
        self.stage = if self.is_released {
            Stage::Stopped
        } else {
            Stage::Pausing(now + RETRY_PAUSE)
        };
    }
}
