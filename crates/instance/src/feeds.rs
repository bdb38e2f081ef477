//! Feeds of the store's data: the configuration and the upstreams, each with its own watch.

mod configuration;
mod list_wait;
mod partial_listing;
mod upstreams;

pub use configuration::ConfigurationFeed;
pub use upstreams::UpstreamFeed;

use crate::holder::NumberedUpdate;
use crate::relay::{CONFIGURATION_FEED, RelayReceiver, age_ms, millis_since};
use crate::shared::Shared;
use crate::updates::{self, FeedUpdate};
use crossbeam::channel::Sender;
use list_wait::ListWait;
use partial_listing::PartialListing;
use passway_process::logging::json::DECISION_TARGET;
use passway_serving::ports::{
    Listing, SharedStore, StoreChange, StoreEra, StoreError, StoreRevision, WatchAnswer,
};
use passway_types::clock;
use passway_types::prelude::*;
use rand::RngExt;

/// Longest watch of a relayed feed. The instance notices a silently cut connection 0.5 s later. A
/// new version must be in effect everywhere within 2 s in a small fleet and 3 s in a large one
/// (users' pages), so this leaves time for another query.
const RELAYED_WATCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest watch of a feed that each instance follows by itself.
const OWN_WATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Watch for a proof of the configuration that requests wait for: the store answers at once.
const PROOF_WATCH_TIMEOUT: Duration = Duration::from_millis(1);

/// Number of queries that must fit into the time within which revoked keys stop working.
const PROOFS_PER_REVOCATION_BOUND: u32 = 6;

/// Longest wait for the holder's updates before the instance checks whether the holder may still be
/// relied on. Upstreams that expired are forgotten at the same interval.
const RELAY_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Number of failures assumed at least if the holder gets no answer from the store either. The
/// backoff is then 0.6 s instead of 0.15 s, which up to a hundred instances would otherwise use at
/// once.
const MIN_OUTAGE_FAILURES: u32 = 2;

/// The first page of a list is read again if it is older than this when the instance reads on. The
/// store keeps its history for a limited time, 20 s in a large fleet, and a list whose revision is
/// older has to be read a second time. An instance that knows of no holder waits for up to 10 s.
const MAX_FIRST_PAGE_AGE: Duration = Duration::from_secs(12);

/// Interval of checks, after a failed call, whether the store answers another feed of this
/// instance. It is short compared with the first backoff, after which the store is queried in any
/// case.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Where an update comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateSource {
    /// The store itself.
    Store,
    /// The holder of leadership.
    Holder,
}

/// Why a feed is behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Interruption {
    /// The holder can no longer be relied on; changes of about a second are missing.
    HolderLost,
    /// The store did not answer; changes of this time are missing.
    StoreSilent(Duration),
}

/// Applies the data under a prefix of the store.
pub trait Feed: Send {
    /// The prefix.
    fn prefix(&self) -> String;
    /// Applies a listing of all values.
    fn apply_listing(&mut self, listing: &Listing);
    /// Applies a change. Returns whether other instances must receive it.
    fn apply_change(&mut self, change: &StoreChange) -> bool;
    /// Notes that everything the store knew when the query was sent is applied now.
    fn confirmed(&mut self, _asked_at: Instant) {}
    /// Does what is due by time alone.
    fn tick(&mut self) {}
    /// Notes that the store has returned from an older copy, after what the copy holds was applied.
    fn store_returned(&mut self) {}
    /// Finishes a batch of changes. Returns the delay before the next query.
    fn finish_batch(&mut self) -> Duration;
    /// Whether to list all values instead of watching for the missed changes: a watch returns every
    /// change that was made meanwhile, a list only the last value of each key.
    fn prefers_listing(&self, _after: Interruption) -> bool {
        false
    }
    /// Whether to query the store even if the holder may be relied on.
    fn must_query_store(&self) -> bool {
        false
    }
    /// Minimum interval of this instance's own queries while another instance may be the holder, so
    /// that the store's link carries the answers to all instances.
    fn min_query_interval(&self) -> Duration {
        Duration::ZERO
    }
    /// The same for lists of all values, which are longer than changes.
    fn min_list_interval(&self) -> Duration {
        Duration::ZERO
    }
    /// Time for which this instance leaves the changes after its first list to the holder.
    fn first_query_delay(&self) -> Duration {
        Duration::ZERO
    }
    /// Whether this instance may leave what the store would answer to the holder, which it is not
    /// itself.
    fn may_leave_to_holder(&self) -> bool {
        false
    }
    /// The shared state of the instance.
    fn shared(&self) -> &Shared;
}

/// Follows a prefix until the instance ends: through the holder of leadership while it may be
/// relied on, otherwise through the store and whatever the holder still sends.
pub fn follow(
    store: Arc<dyn SharedStore>,
    receiver: RelayReceiver,
    updates: Sender<NumberedUpdate>,
    feed: impl Feed + 'static,
) {
    let follower = Follower {
        prefix: feed.prefix(),
        store,
        receiver,
        updates,
        feed,
        known: None,
        must_list: false,
        partial: None,
        list_reader: ListReader::Undecided,
        trusted_holder: false,
        has_gap: false,
        complete_at: None,
        failures: 0,
        backoff: Backoff::none(clock::now()),
        own_query_at: clock::now(),
        logged_trust: None,
    };
    std::thread::spawn(move || follower.run());
}

/// Who reads a list of which this instance knows only the first page. Many instances that read a
/// long list at once fill the store's link, and the holder's lease renewals wait behind the lists.
#[derive(Debug, Clone, Copy)]
enum ListReader {
    /// Not decided, since no first page has shown that there are more.
    Undecided,
    /// The holder, which sends the list to all.
    Holder(ListWait),
    /// This instance, because it is the holder or waited for the holder in vain.
    ThisInstance,
}

/// When the store may be queried again after a failed call.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    /// From this instant on, the store is queried if it answered another feed of this instance.
    earliest_at: Instant,
    /// From this instant on, the store is queried in any case.
    retry_at: Instant,
}

impl Backoff {
    fn none(now: Instant) -> Self {
        Self {
            earliest_at: now,
            retry_at: now,
        }
    }
}

struct Follower<F> {
    prefix: String,
    store: Arc<dyn SharedStore>,
    receiver: RelayReceiver,
    updates: Sender<NumberedUpdate>,
    feed: F,
    /// The revision up to which the feed is known; `None` before the first listing.
    known: Option<StoreRevision>,
    /// Whether the next query must list all values instead of watching for changes.
    must_list: bool,
    /// The pages of a list that is not complete yet. A page that the store does not deliver is
    /// requested again after the backoff, and the pages before it are not.
    partial: Option<PartialListing>,
    /// Who reads the rest of the first list.
    list_reader: ListReader,
    /// Whether the last pass relied on the holder.
    trusted_holder: bool,
    /// Whether there is a gap in the holder's updates. The holder is not relied on until the store
    /// or the holder has closed the gap.
    has_gap: bool,
    /// No change is missing that was made before; `None` before the first list.
    complete_at: Option<Instant>,
    /// Number of consecutive calls that the store did not answer.
    failures: u32,
    backoff: Backoff,
    /// Until when changes of a known feed are left to the holder, although the holder may not be
    /// relied on.
    own_query_at: Instant,
    /// Whether the feed relied on the holder when this was last logged.
    logged_trust: Option<bool>,
}

impl<F: Feed> Follower<F> {
    /// Receives the holder's updates at all times, and queries the store while the holder may not
    /// be relied on, until the instance ends.
    fn run(mut self) {
        while !self.feed.shared().termination().has_begun() {
            self.feed.tick();
            // Applies updates that the holder sent during the query.
            self.receive(Duration::ZERO);
            let trusted_until = self.trusted_until();
            self.log_trust(trusted_until.is_some());
            if let Some(until) = trusted_until {
                self.trusted_holder = true;
                self.complete_at = Some(clock::now());
                let timeout = until.saturating_duration_since(clock::now());
                self.receive(timeout.min(RELAY_POLL_INTERVAL));
            } else if self.awaits_list() {
                self.receive(HEALTH_CHECK_INTERVAL);
            } else if let Some(until) = self.awaits_holder_until() {
                let timeout = until.saturating_duration_since(clock::now());
                self.receive(timeout.min(HEALTH_CHECK_INTERVAL));
            } else if self.may_query_store() {
                self.poll_store();
            } else {
                self.receive(HEALTH_CHECK_INTERVAL);
            }
        }
    }

    /// Until when the holder's updates are sufficient; `None` if they are not now.
    fn trusted_until(&self) -> Option<Instant> {
        let must_query_store = self.known.is_none() || self.has_gap || self.feed.must_query_store();
        self.receiver.trusted_until().filter(|_| !must_query_store)
    }

    /// Whether the rest of a list is left to the holder now.
    fn awaits_list(&mut self) -> bool {
        let ListReader::Holder(wait) = self.list_reader else {
            return false;
        };
        let ends_at = wait.ends_at(self.feed.shared().instance_count());
        if self.feed.may_leave_to_holder() && clock::now() < ends_at {
            return true;
        }
        log::info!(prefix = self.prefix, is_holder = !self.feed.may_leave_to_holder(); "reading the rest of a long list from the store");
        self.list_reader = ListReader::ThisInstance;
        let is_current =
            |page: &mut PartialListing| clock::since(page.requested_at) <= MAX_FIRST_PAGE_AGE;
        self.partial.take_if(|page| !is_current(page));
        false
    }

    /// Until when changes are left to the holder; `None` if the store may be queried now.
    fn awaits_holder_until(&self) -> Option<Instant> {
        let is_left = self.known.is_some()
            && self.feed.may_leave_to_holder()
            && !self.feed.must_query_store();
        Some(self.own_query_at).filter(|until| is_left && clock::now() < *until)
    }

    /// Leaves changes to the holder for a time about which the instances differ.
    fn delay_own_query(&mut self, delay: Duration) {
        let jitter = rand::rng().random_range(0.5..1.5);
        self.own_query_at = clock::now() + delay.mul_f64(jitter);
    }

    /// Leaves the rest of a long list to the holder, if this instance may.
    fn leave_list(&mut self) {
        let is_undecided = matches!(self.list_reader, ListReader::Undecided);
        if self.known.is_some() || !is_undecided || !self.feed.may_leave_to_holder() {
            return;
        }
        log::info!(prefix = self.prefix; "the rest of a long list is left to the holder");
        self.list_reader = ListReader::Holder(ListWait::begin());
        self.receiver.await_whole_feed();
    }

    /// Logs when the feed begins or ceases to rely on the holder, and why.
    fn log_trust(&mut self, relies_on_holder: bool) {
        let previous = self.logged_trust.replace(relies_on_holder);
        if previous == Some(relies_on_holder) {
            return;
        }
        // A query that was put off before is not put off again each time that a holder is lost.
        if previous == Some(true) && clock::now() >= self.own_query_at {
            self.delay_own_query(self.feed.min_query_interval());
        }
        let relay = &self.receiver.relay;
        let holder_confirmed_ms = self.receiver.feed.and_then(|feed| relay.confirmed_at(feed));
        log::info!(prefix = self.prefix, relies_on_holder = relies_on_holder,
            known:% = self.known.unwrap_or_default(), has_gap = self.has_gap,
            holder_heard_ms = age_ms(relay.last_received_at()),
            holder_confirmed_ms = age_ms(holder_confirmed_ms),
            must_query_store = self.feed.must_query_store();
            "the source of a feed changed");
    }

    /// Whether the store may be queried now. If the holder is alive but neither it nor this
    /// instance gets answers from the store, only the configuration's feed checks whether the store
    /// is back.
    fn may_query_store(&self) -> bool {
        let now = clock::now();
        let is_failing = self.feed.shared().store_health.is_failing();
        let relay = &self.receiver.relay;
        let other_feed_probes = self.receiver.feed != Some(CONFIGURATION_FEED)
            && relay.is_holder_alive()
            && relay.trusted_until(CONFIGURATION_FEED).is_none();
        if is_failing && other_feed_probes && !self.feed.must_query_store() {
            return false;
        }
        now >= self.backoff.retry_at || (now >= self.backoff.earliest_at && !is_failing)
    }

    /// Waits up to `timeout` for an update from the holder.
    fn receive(&mut self, timeout: Duration) {
        let termination = self.feed.shared().termination();
        if let Some(update) = self.receiver.wait_for_update(timeout, termination) {
            self.apply_relayed(update);
        }
    }

    /// Queries the store once, and then waits or sets the backoff, depending on the answer.
    fn poll_store(&mut self) {
        let is_for_proof = self.take_proof_query();
        // A feed that is not relayed received nothing while the holder was relied on.
        let prefers_listing =
            self.receiver.feed.is_none() || self.feed.prefers_listing(Interruption::HolderLost);
        if !is_for_proof {
            self.must_list |= std::mem::take(&mut self.trusted_holder) && prefers_listing;
        }
        let is_list = self.must_list(is_for_proof);
        let was_known = self.known.is_some();
        let asked_at = clock::now();
        let answer = self.query_store(is_for_proof);
        let delay = match (was_known, self.must_list) {
            (true, true) => self.feed.min_list_interval(),
            (true, false) => self.feed.min_query_interval(),
            (false, _) => self.feed.first_query_delay(),
        };
        self.delay_own_query(delay);
        match answer {
            Ok(()) => {
                self.failures = 0;
                self.complete_at = Some(asked_at);
                self.feed.shared().store_health.record_answer();
                if self.partial.is_none() {
                    let pause = self.feed.finish_batch();
                    // The loop that queries the store ends with the instance.
                    let _ = self.feed.shared().termination().pause(pause);
                }
            }
            Err(error) => {
                log::info!(prefix = self.prefix, is_list = is_list, took_ms = millis_since(asked_at, clock::now()), failures = self.failures, error:? = error; "the store gave no answer");
                // The store may have written many versions before an answer that did not arrive in
                // time.
                let prefers_listing = {
                    let silence = self.complete_at.map_or(Duration::MAX, clock::since);
                    let silent = Interruption::StoreSilent(silence);
                    self.feed.prefers_listing(silent)
                };
                self.must_list |= prefers_listing && !is_for_proof;
                let health = &self.feed.shared().store_health;
                health.record_failure();
                let now = clock::now();
                let is_prober = self.receiver.feed == Some(CONFIGURATION_FEED);
                // If the holder gets no answer either, an outage of the store is the likely cause.
                let min_failures = if self.receiver.relay.is_holder_alive() {
                    MIN_OUTAGE_FAILURES
                } else {
                    0
                };
                let failures = self.failures.max(min_failures);
                self.backoff = Backoff {
                    earliest_at: now + HEALTH_CHECK_INTERVAL,
                    retry_at: now + health.backoff_after(failures, is_prober),
                };
                self.failures += 1;
            }
        }
    }

    /// Whether the next query only proves the configuration, for requests that wait for the proof. The
    /// holder is relied on and relays all changes, so such a query misses none even if it fails.
    fn take_proof_query(&self) -> bool {
        self.receiver.feed == Some(CONFIGURATION_FEED)
            && self.feed.shared().configuration_age.take_store_query()
            && !self.has_gap
            && self.receiver.trusted_until().is_some()
    }

    /// Whether the next query lists all values.
    fn must_list(&self, is_for_proof: bool) -> bool {
        self.known.is_none() || (self.must_list && !is_for_proof)
    }

    /// Reads pages of a list, or watches once. A watch that proves the configuration does not wait
    /// for changes.
    fn query_store(&mut self, is_for_proof: bool) -> Result<(), StoreError> {
        let must_list = self.must_list(is_for_proof);
        let Some(after) = self.known.filter(|_| !must_list) else {
            return self.read_pages();
        };
        let timeout = if is_for_proof {
            PROOF_WATCH_TIMEOUT
        } else {
            self.watch_timeout()
        };
        let asked_at = clock::now();
        match self.store.watch(&self.prefix, after, timeout)? {
            WatchAnswer::HistoryCompacted => {
                self.must_list = true;
                if is_for_proof {
                    return self.query_store(false);
                }
            }
            WatchAnswer::Changes { changes, revision } => {
                // A large answer may have taken long to arrive; an answer without changes was sent
                // just now.
                let is_unchanged = changes.is_empty();
                let known_at = if is_unchanged { clock::now() } else { asked_at };
                self.receiver.record_store_answer(known_at);
                let update = FeedUpdate::Changes {
                    from: after,
                    to: revision.max(after),
                    changes: updates::latest_changes(changes.into_iter()),
                };
                self.apply(update, UpdateSource::Store);
                self.feed.confirmed(asked_at);
            }
        }
        Ok(())
    }

    /// Reads the next page of the first list, or all remaining pages of a later one. The holder's
    /// list may arrive between the pages of the first list. A later list would be discarded with
    /// each change that the holder sends, and would never end.
    fn read_pages(&mut self) -> Result<(), StoreError> {
        loop {
            self.read_page()?;
            if self.partial.is_none() || self.known.is_none() {
                return Ok(());
            }
        }
    }

    /// Reads one page of a list, and applies the list if it is complete.
    fn read_page(&mut self) -> Result<(), StoreError> {
        let requested_at = clock::now();
        let after_key = self.partial.as_ref().and_then(PartialListing::next_after);
        let page = self.store.list_page(&self.prefix, after_key)?;
        self.failures = 0;
        let partial = match self.partial.take() {
            Some(partial) => partial.with_page(page).ok_or(StoreError::NotDone)?,
            None => PartialListing::begin(page, requested_at),
        };
        if partial.next_after().is_some() {
            self.partial = Some(partial);
            self.leave_list();
        } else {
            self.apply_list(partial);
        }
        Ok(())
    }

    /// Applies a list that was read from the store.
    fn apply_list(&mut self, list: PartialListing) {
        let requested_at = list.requested_at;
        self.receiver.record_store_answer(requested_at);
        self.must_list = false;
        self.apply(
            FeedUpdate::Snapshot(list.into_listing()),
            UpdateSource::Store,
        );
        self.feed.confirmed(requested_at);
        log::info!(prefix = self.prefix, took_ms = millis_since(requested_at, clock::now()), known:% = self.known.unwrap_or_default(); "listed a feed from the store");
    }

    /// How long the store may delay its answer to a watch. Answers prove the configuration, and the
    /// proof is as old as the query: one query, the next one, and the time until other instances
    /// know of the answer must fit into the time within which revoked keys stop working.
    fn watch_timeout(&self) -> Duration {
        let Some(feed) = self.receiver.feed else {
            return OWN_WATCH_TIMEOUT;
        };
        let bound = self.feed.shared().revocation_bound();
        let bound = bound.filter(|_| feed == CONFIGURATION_FEED);
        bound.map_or(RELAYED_WATCH_TIMEOUT, |bound| {
            (bound / PROOFS_PER_REVOCATION_BOUND).min(RELAYED_WATCH_TIMEOUT)
        })
    }

    /// Applies an update from the holder, unless there is a gap before it.
    fn apply_relayed(&mut self, update: FeedUpdate) {
        let known = self.known.unwrap_or_default();
        match &update {
            FeedUpdate::Snapshot(listing) if listing.revision < known => return,
            FeedUpdate::Changes { to, .. } if *to <= known => return,
            FeedUpdate::Changes { from, .. } if *from > known => {
                log::info!(prefix = self.prefix, from:% = from, known:% = known; "a gap in the updates from the holder");
                self.has_gap = true;
                self.receiver.report_gap(update.to());
                return;
            }
            _ => {}
        }
        // Resets the backoff: even if the store refused this instance for long, it is queried soon
        // after the holder is lost.
        self.failures = 0;
        self.feed.shared().store_health.record_relayed();
        self.apply(update, UpdateSource::Holder);
        self.feed.finish_batch();
    }

    /// Records that the store has returned from an older copy, if the era is later than the known
    /// one. Returns whether it has.
    fn record_era(&mut self, era: StoreEra) -> bool {
        if self.known.is_none_or(|known| known.era() >= era) {
            return false;
        }
        log::info!(target: DECISION_TARGET, prefix = self.prefix, era = era; "the store has returned from an older copy");
        self.feed.shared().store_health.record_return();
        true
    }

    fn apply(&mut self, update: FeedUpdate, source: UpdateSource) {
        if self.receiver.feed == Some(CONFIGURATION_FEED) && update.value_count() > 0 {
            self.feed.shared().configuration_age.record_update(source);
            log::info!(source:? = source, known:% = self.known.unwrap_or_default(), to:% = update.to(), bytes = update.size_bytes(); "received a configuration");
        }
        self.has_gap = false;
        // Its pages may be older than the update.
        self.partial = None;
        self.list_reader = ListReader::Undecided;
        let has_returned = self.record_era(update.to().era());
        self.receiver.record_applied(&update, update.to());
        let update = match update {
            FeedUpdate::Snapshot(listing) => {
                self.feed.apply_listing(&listing);
                self.known = Some(listing.revision);
                FeedUpdate::Snapshot(listing)
            }
            FeedUpdate::Changes { from, to, changes } => {
                self.known = Some(to);
                let relevant = changes
                    .into_iter()
                    .filter(|change| self.feed.apply_change(change));
                FeedUpdate::Changes {
                    from,
                    to,
                    changes: relevant.collect(),
                }
            }
        };
        if has_returned {
            self.feed.store_returned();
        }
        if let Some(feed) = self.receiver.feed {
            // The channel closes only when the instance ends.
            let _ = self.updates.send((feed, update));
        }
    }
}
