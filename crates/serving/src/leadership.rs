//! The leadership, i.e. the right to send orders to engines, as one instance decides about it.
//!
//! A key under a lease in the store names the holder. The instance that has written the key may
//! give orders until the lease expires by its own monotonic clock. The expiry counts from the time
//! before the lease was requested or renewed, so a holder that was paused or cut off stops before
//! a successor can begin. The store's revision of the key, with its era, is the fencing number, which
//! only grows.
//!
//! The store may return from a copy that lacks the key or the lease. A term then goes on only if the
//! key is still there under its lease; otherwise a successor waits until the previous holder must
//! have stopped by its own clock.
//!
//! A second key, without a lease, lists the recent holders. An instance that finds itself on this
//! list waits before it gives orders again, so that two holders do not alternate at one engine.
//! Instances that are not on the list take the key first.
//!
//! While the store is unavailable, a holder extends its leadership with the promises of all
//! instances that could succeed it: see `promises`.
//!
//! [`Leadership::step`] returns the next call to the store; the answer goes to the `handle_*`
//! method for that call. This module uses no I/O and no clock.

mod candidates;
mod promises;
mod records;
mod store_latency;

use crate::ports::{LeaseId, RenewalAnswer, StoreEra, StoreError, StoreRevision, WriteAnswer};
use passway_types::prelude::*;
use promises::Promises;
pub use promises::{PROMISE_DURATION, PromiseRefusal};
pub use records::{
    Candidate, EndCause, EngineAccess, Holder, LeadershipSettings, ListedLeadership, RecentHolders,
    Step, TermEnd,
};
use store_latency::StoreLatency;

/// A lease is renewed when this fraction of its time-to-live has passed.
const RENEW_AT_RATIO: f64 = 0.25;
/// A renewal is retried if its answer takes longer than this fraction of the lease.
const RENEWAL_TIMEOUT_RATIO: f64 = 0.375;
/// The holder stops this long before its lease expires.
const EXPIRY_MARGIN: Duration = Duration::from_millis(120);
/// Delay after the store refused a call or did not answer it.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Instances spread their attempts to take the key randomly over this time.
const TAKE_SPREAD: Duration = Duration::from_millis(250);
/// Extra delay before an instance with little CPU tries to take the key.
const LOW_CPU_DELAY: Duration = Duration::from_millis(350);
/// Extra delay before an instance tries to take the key if it would have to wait before giving
/// orders.
const RECENT_HOLDER_DELAY: Duration = Duration::from_millis(300);
/// Longest wait between two steps while there is nothing to do.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// An instance that has given no orders for this long may give orders at once: far longer than any
/// order takes to be carried out.
const RECENT_HOLDER_WINDOW: Duration = Duration::from_mins(1);
/// Maximum number of recent holders that are listed in the store.
const MAX_RECENT_HOLDERS: usize = 12;
/// Minimum interval between two writes of the candidate list.
const LIST_WRITE_INTERVAL: Duration = Duration::from_secs(2);
/// Delay between taking the key and the begin of a term if there were candidates. In this time a
/// holder whose leadership they extend without the store learns of the successor, and instances
/// report their demand.
const ANNOUNCE_DURATION: Duration = Duration::from_millis(300);
/// Extra delay before an instance tries to take the key if it is not a candidate.
const NON_CANDIDATE_DELAY: Duration = Duration::from_millis(1_500);

/// A term of this instance.
#[derive(Debug, Clone, Copy)]
struct Term {
    lease: LeaseId,
    /// The revision of the key as this instance wrote it.
    key_revision: StoreRevision,
    fence: Fence,
    /// The earliest time at which this instance may give orders.
    begin_at: Instant,
    /// When the lease expires, less [`EXPIRY_MARGIN`].
    expires_at: Instant,
    renew_at: Instant,
    /// When the last renewal that the store answered was sent.
    renewed_at: Instant,
    /// Consecutive renewals that the store did not answer or refused.
    unanswered_renewals: u32,
    /// The earliest time for the next write of the candidate list.
    next_list_write_at: Instant,
}

/// A lease under which the key is about to be written.
#[derive(Debug, Clone, Copy)]
struct GrantedLease {
    lease: LeaseId,
    /// When the lease was requested.
    sent_at: Instant,
    /// Whether the term must begin after the gap between two holders. Decided before the key is
    /// written, because the write puts this instance last on the list of recent holders.
    begins_after_gap: bool,
    /// Time in which a previous holder that candidates extend learns of the new term and stops.
    announce_for: Duration,
}

impl GrantedLease {
    fn new(lease: LeaseId, sent_at: Instant) -> Self {
        Self {
            lease,
            sent_at,
            begins_after_gap: true,
            announce_for: Duration::ZERO,
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Stage {
    /// Another instance holds the leadership, or nothing is known yet.
    Watching,
    /// Waits until this time before it tries anything.
    Pausing(Instant),
    /// Tries to take the key at this time.
    ScheduledTake(Instant),
    /// Has a lease but not yet the key.
    Granted(GrantedLease),
    Holding(Term),
    /// The lease must be ended.
    EndingLease(LeaseId),
    Stopped,
}

/// The state of the leadership as one instance knows it, and this instance's part in it.
#[derive(Debug)]
pub struct Leadership {
    own_id: InstanceId,
    settings: LeadershipSettings,
    /// How long the store takes to answer this instance.
    store_latency: StoreLatency,
    /// Time-to-live of the lease that was requested last.
    lease_ttl: Duration,
    stage: Stage,
    /// Whether the key has been read.
    is_key_known: bool,
    /// The era in which the key was last listed.
    era: StoreEra,
    /// When this instance learned that the store has returned from an older copy.
    store_returned_at: Option<Instant>,
    holder: Option<Holder>,
    /// The highest fencing number seen so far. Holders with a lower one are superseded.
    highest_fence: Fence,
    recent: RecentHolders,
    /// Whether this process knows that no other instance gave orders after its last term.
    ordered_last: bool,
    /// When this process started or its last term ended.
    idle_since: Instant,
    is_released: bool,
    engine_access: EngineAccess,
    /// Until when this instance has promised not to take the key.
    promised_until: Instant,
    /// Until when a promise of this instance's previous process may still hold. A term that is
    /// taken before then begins at this time, so that a fleet that restarts waits only once for
    /// both delays.
    prior_promise_until: Instant,
    /// What the candidates of this instance's term have promised.
    promises: Promises,
    /// How the last term ended that was not released.
    last_term_end: Option<TermEnd>,
    /// The holder before this instance last took the key.
    previous_holder: Option<InstanceId>,
    /// The candidates in the store when this instance last took the key.
    previous_candidates: Vec<Candidate>,
    /// The candidates that this instance's term should have.
    desired_candidates: Vec<Candidate>,
}

impl Leadership {
    /// Creates the state of an instance that knows nothing yet.
    pub fn new(own_id: InstanceId, settings: LeadershipSettings, now: Instant) -> Self {
        Self {
            own_id,
            settings,
            store_latency: StoreLatency::default(),
            lease_ttl: settings.min_lease_ttl,
            stage: Stage::Watching,
            is_key_known: false,
            era: 0,
            store_returned_at: None,
            holder: None,
            highest_fence: 0,
            recent: RecentHolders::default(),
            ordered_last: false,
            idle_since: now,
            is_released: false,
            engine_access: EngineAccess::Reachable,
            promised_until: now,
            prior_promise_until: now + PROMISE_DURATION,
            promises: Promises::default(),
            last_term_end: None,
            previous_holder: None,
            previous_candidates: Vec::new(),
            desired_candidates: Vec::new(),
        }
    }

    /// Sets the gap between the orders of two holders.
    pub fn set_holder_gap(&mut self, gap: Duration) {
        self.settings.holder_gap = gap;
    }

    /// Time-to-live for the next lease request. It grows above the minimum if the store answers
    /// slowly.
    pub fn lease_ttl(&self) -> Duration {
        self.lease_ttl
    }

    /// Maximum time to wait for the answer to a renewal.
    pub fn renewal_timeout(&self) -> Duration {
        self.lease_ttl.mul_f64(RENEWAL_TIMEOUT_RATIO)
    }

    /// Records how long the store took to answer a call about the leadership.
    pub fn record_store_latency(&mut self, latency: Duration) {
        self.store_latency.observe(latency);
    }

    /// The current holder, if known.
    pub fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }

    /// This instance's fencing number if it may give orders now.
    pub fn fence(&self, now: Instant) -> Option<Fence> {
        let Stage::Holding(term) = self.stage else {
            return None;
        };
        let can_order = now >= term.begin_at && now < self.orders_allowed_until(&term);
        (can_order && !self.is_released && !self.is_succeeded(term.fence)).then_some(term.fence)
    }

    /// This instance's fencing number while its term lasts, including the times when it may not
    /// give orders: before the term begins, and while it waits for the candidates' promises.
    pub fn term_fence(&self, now: Instant) -> Option<Fence> {
        let Stage::Holding(term) = self.stage else {
            return None;
        };
        let is_current = now < self.ends_at(&term);
        (is_current && !self.is_released && !self.is_succeeded(term.fence)).then_some(term.fence)
    }

    /// Whether no other instance held the leadership between this instance's last two terms.
    pub fn was_previous_holder(&self) -> bool {
        self.previous_holder.as_ref() == Some(&self.own_id)
    }

    /// Whether another instance took the leadership after this instance's term with this fencing
    /// number began.
    fn is_succeeded(&self, fence: Fence) -> bool {
        let holder = self.holder.as_ref();
        holder.is_some_and(|holder| holder.instance != self.own_id && holder.fence > fence)
    }

    /// Records that the holder's key was read or has changed.
    pub fn observe_holder(&mut self, holder: Option<Holder>) {
        self.is_key_known = true;
        let fence = holder.as_ref().map_or(0, |holder| holder.fence);
        self.highest_fence = self.highest_fence.max(fence);
        self.holder = holder;
    }

    /// Records what a listing of the store in an era shows: the holder, the lease of its key, and the
    /// recent holders.
    ///
    /// In a later era than before the key may be an older one, and leases may be gone. A term of this
    /// instance goes on only if the key is still the one that this instance wrote, under the same
    /// lease.
    pub fn observe_listing(&mut self, listed: &ListedLeadership, now: Instant) {
        let has_returned = self.is_key_known && listed.era > self.era;
        self.era = self.era.max(listed.era);
        let ordered_last = self.ordered_last;
        self.observe_recent(listed.recent.clone());
        self.observe_holder(listed.holder.clone());
        if !has_returned {
            return;
        }
        self.store_returned_at = Some(now);
        match &mut self.stage {
            Stage::Holding(term) if listed.shows(&self.own_id, term) => term.lease.era = listed.era,
            Stage::Holding(term) => {
                let term = *term;
                // No instance has given orders since if the return is too recent for that.
                self.ordered_last =
                    ordered_last && now < term.renewed_at + self.settings.holder_gap;
                self.end_term(&term, EndCause::StoreReturned, now);
            }
            Stage::Granted(granted) => self.stage = Stage::EndingLease(granted.lease),
            _ => {}
        }
    }

    /// Whether another instance may still give orders by a lease from before the store returned.
    fn has_returned_recently(&self, now: Instant) -> bool {
        let until = self
            .store_returned_at
            .map(|at| at + self.settings.holder_gap);
        until.is_some_and(|until| now < until) && !self.ordered_last
    }

    /// Records that another instance claims the leadership while the store does not answer.
    /// Returns whether the holder is new. The claim only determines which holder this instance
    /// follows; it takes the leadership itself only on the store's answer.
    pub fn learn_holder(&mut self, holder: Holder) -> bool {
        if holder.fence <= self.highest_fence || holder.instance == self.own_id {
            return false;
        }
        self.highest_fence = holder.fence;
        self.holder = Some(holder);
        true
    }

    /// Records that the list of recent holders was read or has changed.
    pub fn observe_recent(&mut self, recent: RecentHolders) {
        // A list that was read may be older than a change that the watch already delivered.
        if recent.revision >= self.recent.revision {
            self.ordered_last &= recent.names.last() == Some(&self.own_id);
            if recent.revision > self.recent.revision {
                self.set_listed_candidates(&recent);
            }
            self.recent = recent;
        }
    }

    /// The list to write together with the key when this instance takes it, with the revision that
    /// it replaces.
    pub fn recent_holders_with_me(&self) -> RecentHolders {
        let others = self
            .recent
            .names
            .iter()
            .filter(|name| **name != self.own_id);
        let mut names: Vec<InstanceId> = others.cloned().collect();
        names.push(self.own_id.clone());
        let surplus = names.len().saturating_sub(MAX_RECENT_HOLDERS);
        RecentHolders {
            names: names.split_off(surplus),
            // The same instances may take the key at once, whichever instance holds it.
            candidates: self.recent.candidates.clone(),
            revision: self.recent.revision,
        }
    }

    /// Releases the leadership, so that another instance can take it at once.
    pub fn release(&mut self) {
        self.is_released = true;
    }

    /// Sets whether this instance reaches engines. An instance that is cut off ends its term once the
    /// store answers, and takes the key only once it reaches engines again.
    pub fn set_engine_access(&mut self, access: EngineAccess) {
        self.engine_access = access;
    }

    fn is_cut_off(&self) -> bool {
        self.engine_access == EngineAccess::CutOff
    }

    /// Whether another instance may have given orders since this one last did, recently enough to
    /// matter. That this instance is last on the list proves nothing: it may have taken the key
    /// without receiving the answer and given no order.
    fn must_wait_for_gap(&self, now: Instant) -> bool {
        let names = &self.recent.names;
        let held_recently = names.contains(&self.own_id) && names.len() > 1;
        held_recently && !self.ordered_last && now < self.idle_since + RECENT_HOLDER_WINDOW
    }

    /// Returns what to do now. `random`, between 0 and 1, spreads the attempts of instances that
    /// notice at the same time that the key is free. `store_answers` says whether the store
    /// currently answers calls.
    pub fn step(&mut self, random: f64, store_answers: bool, now: Instant) -> Step {
        if self.is_released {
            return self.release_lease();
        }
        match self.stage {
            Stage::Watching => self.watch_key(random, now),
            Stage::Pausing(until) if now < until => Step::Wait(until),
            Stage::Pausing(_) => {
                self.stage = Stage::Watching;
                self.watch_key(random, now)
            }
            Stage::ScheduledTake(at) if now < at => Step::Wait(at),
            Stage::ScheduledTake(_) if self.holder.is_some() || self.is_cut_off() => {
                self.stage = Stage::Watching;
                Step::Wait(now + MAX_WAIT)
            }
            Stage::ScheduledTake(_) if now < self.promised_until => Step::Wait(self.promised_until),
            Stage::ScheduledTake(_) if !store_answers => self.delay_retry(now),
            Stage::ScheduledTake(_) => {
                self.lease_ttl = self.store_latency.lease_ttl(self.settings.min_lease_ttl);
                Step::GrantLease
            }
            // This instance may have promised while it requested the lease.
            Stage::Granted(granted) if now < self.promised_until => {
                self.stage = Stage::EndingLease(granted.lease);
                Step::EndLease(granted.lease)
            }
            Stage::Granted(granted) => self.take_key(granted, now),
            Stage::Holding(term) => self.hold_term(term, now),
            Stage::EndingLease(lease) => Step::EndLease(lease),
            Stage::Stopped => Step::Stop,
        }
    }

    fn watch_key(&mut self, random: f64, now: Instant) -> Step {
        if !self.is_key_known || self.holder.is_some() || self.is_cut_off() {
            return Step::Wait(now + MAX_WAIT);
        }
        let mut delay = TAKE_SPREAD.mul_f64(random);
        if self.settings.has_low_cpu {
            delay += LOW_CPU_DELAY;
        }
        if self.must_wait_for_gap(now) || self.has_returned_recently(now) {
            delay += RECENT_HOLDER_DELAY;
        }
        if !self.is_candidate() {
            delay += NON_CANDIDATE_DELAY;
        }
        self.stage = Stage::ScheduledTake(now + delay);
        Step::Wait(now + delay)
    }

    /// Records the list that the write replaces, because it determines how the term begins.
    fn take_key(&mut self, granted: GrantedLease, now: Instant) -> Step {
        self.previous_candidates.clone_from(&self.recent.candidates);
        // The write is conditional on this list, and each new holder appends its own name.
        self.previous_holder = self.recent.names.last().cloned();
        let announce_for = if self.recent.candidates.is_empty() {
            Duration::ZERO
        } else if self.is_candidate() {
            // The candidates cannot extend another leadership without the promise of this
            // instance, unless its previous process terminated for good.
            ANNOUNCE_DURATION
        } else {
            self.settings.holder_gap
        };
        self.stage = Stage::Granted(GrantedLease {
            begins_after_gap: self.must_wait_for_gap(now) || self.has_returned_recently(now),
            announce_for,
            ..granted
        });
        Step::TakeKey(granted.lease)
    }

    fn delay_retry(&mut self, now: Instant) -> Step {
        let until = now + RETRY_DELAY;
        self.stage = Stage::Pausing(until);
        Step::Wait(until)
    }

    fn hold_term(&mut self, term: Term, now: Instant) -> Step {
        if self.is_succeeded(term.fence) {
            return self.end_term(&term, EndCause::Succeeded, now);
        }
        if now >= self.ends_at(&term) {
            return self.end_term(&term, EndCause::Lapsed, now);
        }
        // Without the store no other instance can take the key, and there would be no coordinator.
        if self.is_cut_off() && term.unanswered_renewals == 0 {
            return self.end_term(&term, EndCause::CutOff, now);
        }
        self.ordered_last |= now >= term.begin_at;
        if now >= term.renew_at {
            return Step::RenewLease(term.lease);
        }
        if term.unanswered_renewals > 0 || !self.should_write_candidates() {
            return Step::Wait(term.renew_at);
        }
        if now < term.next_list_write_at {
            return Step::Wait(term.renew_at.min(term.next_list_write_at));
        }
        let names = self
            .desired_candidates
            .iter()
            .map(|candidate| candidate.instance.clone());
        self.promises.record_pending_list(names);
        Step::WriteCandidates
    }

    fn end_term(&mut self, term: &Term, cause: EndCause, now: Instant) -> Step {
        self.idle_since = now;
        self.last_term_end = Some(TermEnd {
            cause,
            unanswered_renewals: term.unanswered_renewals,
            renewal_overdue: now.saturating_duration_since(term.renew_at),
        });
        self.stage = Stage::EndingLease(term.lease);
        Step::EndLease(term.lease)
    }

    /// How the last term ended that was not released.
    pub fn last_term_end(&self) -> Option<TermEnd> {
        self.last_term_end
    }

    fn release_lease(&mut self) -> Step {
        let lease = match self.stage {
            Stage::Holding(term) => term.lease,
            Stage::Granted(granted) => granted.lease,
            Stage::EndingLease(lease) => lease,
            _ => {
                self.stage = Stage::Stopped;
                return Step::Stop;
            }
        };
        self.stage = Stage::EndingLease(lease);
        Step::EndLease(lease)
    }

    /// Handles the answer to [`Step::GrantLease`], which was sent at `sent_at`.
    pub fn handle_grant(&mut self, answer: Result<LeaseId, StoreError>, sent_at: Instant) {
        // If the grant had no answer, its lease holds no key and expires by itself.
        self.stage = match answer {
            Ok(lease) => Stage::Granted(GrantedLease::new(lease, sent_at)),
            Err(_) => Stage::Pausing(sent_at + RETRY_DELAY),
        };
    }

    /// Handles the answer to [`Step::TakeKey`]. Returns the fencing number if a term begins.
    pub fn handle_take(
        &mut self,
        answer: &Result<WriteAnswer, StoreError>,
        now: Instant,
    ) -> Option<Fence> {
        let Stage::Granted(granted) = self.stage else {
            return None;
        };
        let lease = granted.lease;
        let Ok(WriteAnswer::Written(key_revision)) = *answer else {
            // An unanswered write may still take effect; ending the lease then removes the key.
            self.ordered_last = false;
            self.stage = Stage::EndingLease(lease);
            return None;
        };
        // This term has given no orders yet and may be over before the answer arrives.
        self.ordered_last = false;
        // The gap counts from the last possible order of a holder that candidates extend.
        let mut begin_at = now + granted.announce_for;
        if granted.begins_after_gap {
            begin_at += self.settings.holder_gap;
        }
        if !self.previous_candidates.is_empty() {
            begin_at = begin_at.max(self.prior_promise_until);
        }
        let fence = key_revision.fence();
        self.highest_fence = self.highest_fence.max(fence);
        self.promises = Promises::default();
        self.stage = Stage::Holding(Term {
            lease,
            key_revision,
            fence,
            begin_at,
            unanswered_renewals: 0,
            next_list_write_at: now + LIST_WRITE_INTERVAL / 2,
            expires_at: granted.sent_at + self.lease_ttl.saturating_sub(EXPIRY_MARGIN),
            renew_at: now + self.lease_ttl.mul_f64(RENEW_AT_RATIO),
            renewed_at: granted.sent_at,
        });
        Some(fence)
    }

    /// Handles the answer to [`Step::RenewLease`], which was sent at `sent_at`.
    pub fn handle_renewal(
        &mut self,
        answer: Result<RenewalAnswer, StoreError>,
        sent_at: Instant,
        now: Instant,
    ) {
        let Stage::Holding(mut term) = self.stage else {
            return;
        };
        match answer {
            Ok(RenewalAnswer::Renewed) => {
                term.renewed_at = sent_at;
                term.expires_at = sent_at + self.lease_ttl.saturating_sub(EXPIRY_MARGIN);
                term.renew_at = sent_at + self.lease_ttl.mul_f64(RENEW_AT_RATIO);
                term.unanswered_renewals = 0;
                self.promises.clear_departures();
            }
            Ok(RenewalAnswer::Ended) => {
                self.end_term(&term, EndCause::LeaseGone, now);
                return;
            }
            // The next listing shows whether the key is still this instance's.
            Ok(RenewalAnswer::OtherEra) => term.renew_at = now + RETRY_DELAY,
            Err(_) => {
                term.renew_at = now + RETRY_DELAY;
                term.unanswered_renewals += 1;
            }
        }
        self.stage = Stage::Holding(term);
    }

    /// Records that the lease was ended or expires by itself.
    pub fn handle_lease_end(&mut self, now: Instant) {
        self.stage = if self.is_released {
            Stage::Stopped
        } else {
            Stage::Pausing(now + RETRY_DELAY)
        };
    }
}
