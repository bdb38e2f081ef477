//! What the store tells: the configuration and the upstreams, each by its own watch.

mod configuration;
mod upstreams;

pub use configuration::ConfigurationFeed;
pub use upstreams::UpstreamFeed;

use crate::holder::NumberedUpdate;
use crate::relay::{CONFIGURATION_FEED, RelayReceiver};
use crate::shared::Shared;
use crate::updates::{self, FeedUpdate};
use crossbeam::channel::Sender;
use passway_serving::ports::{
    Listing, SharedStore, StoreChange, StoreError, StoreRevision, WatchAnswer,
};
use passway_types::clock;
use passway_types::prelude::*;

/// Longest wait of one watch of a feed that others hear by way of the holder; a connection
/// that was cut silently is noticed 0.5 s after it. A version has 2 s to be in force
/// everywhere in a small fleet and 3 s in a large one (users' pages); this leaves the rest of
/// them for asking anew.
const RELAYED_WATCH_TIMEOUT: Duration = Duration::from_millis(800);
/// The same of a feed that each instance follows for itself.
const OWN_WATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Questions that prove the configuration within the bound on keys that were taken away.
const PROOFS_PER_REVOCATION_BOUND: u32 = 6;

/// Longest wait for the holder's news before its standing is looked at again: upstreams whose
/// time is over are forgotten as often.
const RELAY_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Calls in a row that count as failed at least once the holder is not answered either: the
/// pause is 0.6 s then rather than 0.15 s, at up to a hundred instances at one time.
const MIN_OUTAGE_FAILURES: u32 = 2;

/// Backoff between two looks, after a call that failed, whether the store answers others here:
/// short against the first pause before it is asked again in any case.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Where news come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// The store itself.
    Store,
    /// The holder of the right to order.
    Holder,
}

/// Why a feed is behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Interruption {
    /// The holder is not relied on any more, after a second or so.
    HolderLost,
    /// The store did not answer, for nobody knows how long.
    StoreSilent,
}

/// Takes in what lies under a prefix.
pub trait Feed: Send {
    /// The prefix.
    fn prefix(&self) -> String;
    /// Everything was read.
    fn apply_listing(&mut self, listing: &Listing);
    /// Something has changed; whether other instances must hear of it.
    fn apply_change(&mut self, change: &StoreChange) -> bool;
    /// The store, asked at a moment, has told everything that was not known, and that was taken in.
    fn confirmed(&mut self, _asked_at: Instant) {}
    /// Looks after what is due by time alone.
    fn tick(&mut self) {}
    /// All changes that are known were taken in; the pause before asking for more.
    fn finish_batch(&mut self) -> Duration;
    /// Whether all values are cheaper than the changes that lie behind: a watch tells each
    /// change that was made meanwhile, a list the last of them only.
    fn prefers_listing(&self, _after: Interruption) -> bool {
        false
    }
    /// Whether the store is to be asked although the holder is relied on.
    fn must_query_store(&self) -> bool {
        false
    }
    /// What the instance shares.
    fn shared(&self) -> &Shared;
}

/// Follows a prefix for as long as the process lives: by the holder of the right to
/// order while it is relied on, else by the store and by what the holder tells meanwhile.
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
        trusted_holder: false,
        has_gap: false,
        failures: 0,
        backoff: Backoff::none(clock::now()),
    };
    std::thread::spawn(move || follower.run());
}

/// The time for which the store is not asked after a call that failed.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    /// From then on it is asked if it has answered somebody else here.
    earliest_at: Instant,
    /// From then on it is asked in any case.
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
    /// The point from which to go on; `None` before the first list.
    known: Option<StoreRevision>,
    /// Whether the store is to be asked for all values rather than for what has changed.
    must_list: bool,
    /// Whether the holder was relied on last.
    trusted_holder: bool,
    /// Whether something is missing in the holder's news: it is not relied on until the store
    /// has told it, or the holder itself.
    has_gap: bool,
    /// Calls in a row that the store did not answer.
    failures: u32,
    backoff: Backoff,
}

impl<F: Feed> Follower<F> {
    /// Hears the holder at all times, and asks the store while the holder is not relied on.
    fn run(mut self) {
        loop {
            self.feed.tick();
            // What the holder told while the store was asked.
            self.receive(Duration::ZERO);
            if let Some(until) = self.trusted_until() {
                self.trusted_holder = true;
                let left = until.saturating_duration_since(clock::now());
                self.receive(left.min(RELAY_POLL_INTERVAL));
            } else if self.may_query_store() {
                self.poll_store();
            } else {
                self.receive(HEALTH_CHECK_INTERVAL);
            }
        }
    }

    /// Until when the holder's news are enough; `None` if they are not now.
    fn trusted_until(&self) -> Option<Instant> {
        let must_ask = self.known.is_none() || self.has_gap || self.feed.must_query_store();
        self.receiver.trusted_until().filter(|_| !must_ask)
    }

    /// Whether the store may be asked now. While the holder speaks, and neither it nor this
    /// instance is answered, the configuration's feed alone finds out whether the store is back.
    fn may_query_store(&self) -> bool {
        let now = clock::now();
        let is_failing = self.feed.shared().store_health.is_failing();
        let relay = &self.receiver.relay;
        let another_asks = self.receiver.feed != Some(CONFIGURATION_FEED)
            && relay.is_holder_alive()
            && relay.trusted_until(CONFIGURATION_FEED).is_none();
        if is_failing && another_asks && !self.feed.must_query_store() {
            return false;
        }
        now >= self.backoff.retry_at || (now >= self.backoff.earliest_at && !is_failing)
    }

    /// Waits a while for the holder's news.
    fn receive(&mut self, longest: Duration) {
        if let Some(told) = self.receiver.wait_for_update(longest) {
            self.apply_relayed(told);
        }
    }

    /// Asks the store once and pauses as its answer or silence calls for.
    fn poll_store(&mut self) {
        // A feed that is not relayed heard nothing while the holder was relied on.
        let lists =
            self.receiver.feed.is_none() || self.feed.prefers_listing(Interruption::HolderLost);
        self.must_list |= std::mem::take(&mut self.trusted_holder) && lists;
        match self.query_store() {
            Ok(()) => {
                self.failures = 0;
                self.feed.shared().store_health.record_answer();
                std::thread::sleep(self.feed.finish_batch());
            }
            Err(error) => {
                log::debug!(prefix = self.prefix, error:? = error; "the store gave no answer");
                // An answer that did not come in time may have held many versions.
                self.must_list |= self.feed.prefers_listing(Interruption::StoreSilent);
                let health = &self.feed.shared().store_health;
                health.record_failure();
                let now = clock::now();
                let probes = self.receiver.feed == Some(CONFIGURATION_FEED);
                // The holder is not answered either: an outage, more likely than not.
                let outage = if self.receiver.relay.is_holder_alive() {
                    MIN_OUTAGE_FAILURES
                } else {
                    0
                };
                let failures = self.failures.max(outage);
                self.backoff = Backoff {
                    earliest_at: now + HEALTH_CHECK_INTERVAL,
                    retry_at: now + health.backoff_after(failures, probes),
                };
                self.failures += 1;
            }
        }
    }

    /// One list or watch.
    fn query_store(&mut self) -> Result<(), StoreError> {
        let Some(after) = self.known.filter(|_| !self.must_list) else {
            let asked_at = clock::now();
            let listing = self.store.list(&self.prefix)?;
            self.receiver.record_store_answer(asked_at);
            self.must_list = false;
            self.apply(FeedUpdate::Snapshot(listing), Source::Store);
            self.feed.confirmed(asked_at);
            return Ok(());
        };
        let wait = self.watch_timeout();
        let asked_at = clock::now();
        match self.store.watch(&self.prefix, after, wait)? {
            WatchAnswer::HistoryGone => self.must_list = true,
            WatchAnswer::Changes { changes, revision } => {
                // A large answer may have begun long ago; one without changes has just come.
                let is_quiet = changes.is_empty();
                let known_at = if is_quiet { clock::now() } else { asked_at };
                self.receiver.record_store_answer(known_at);
                let told = FeedUpdate::Changes {
                    from: after,
                    to: revision.max(after),
                    changes: updates::latest_changes(changes.into_iter()),
                };
                self.apply(told, Source::Store);
                self.feed.confirmed(asked_at);
            }
        }
        Ok(())
    }

    /// How long the store may wait with its answer. The configuration is proved by answers, and
    /// counts as old as the question: a question, the next one, and what others need to hear of
    /// the answer must lie in the time within which keys that were taken away stop.
    fn watch_timeout(&self) -> Duration {
        let Some(feed) = self.receiver.feed else {
            return OWN_WATCH_TIMEOUT;
        };
        let bound = self.feed.shared().revocation();
        let bound = bound.filter(|_| feed == CONFIGURATION_FEED);
        bound.map_or(RELAYED_WATCH_TIMEOUT, |bound| {
            (bound / PROOFS_PER_REVOCATION_BOUND).min(RELAYED_WATCH_TIMEOUT)
        })
    }

    /// Takes in what the holder told, unless something is missing in between.
    fn apply_relayed(&mut self, told: FeedUpdate) {
        let known = self.known.unwrap_or(0);
        match &told {
            FeedUpdate::Snapshot(listing) if listing.revision < known => return,
            FeedUpdate::Changes { to, .. } if *to <= known => return,
            FeedUpdate::Changes { from, .. } if *from > known => {
                log::info!(prefix = self.prefix, from = *from, known = known; "a gap in the holder's news");
                self.has_gap = true;
                self.receiver.report_gap(told.to());
                return;
            }
            _ => {}
        }
        // A store that turned this instance away for long is asked soon once the holder is lost.
        self.failures = 0;
        self.feed.shared().store_health.record_relayed();
        self.apply(told, Source::Holder);
        self.feed.finish_batch();
    }

    fn apply(&mut self, told: FeedUpdate, source: Source) {
        if self.receiver.feed == Some(CONFIGURATION_FEED) && told.value_count() > 0 {
            log::info!(source:? = source, known = self.known, to = told.to(), bytes = told.size_bytes(); "configuration heard");
        }
        self.has_gap = false;
        self.receiver.record_applied(&told, told.to());
        let told = match told {
            FeedUpdate::Snapshot(listing) => {
                self.feed.apply_listing(&listing);
                self.known = Some(listing.revision);
                FeedUpdate::Snapshot(listing)
            }
            FeedUpdate::Changes { from, to, changes } => {
                self.known = Some(to);
                let relevant = changes.into_iter().filter(|c| self.feed.apply_change(c));
                FeedUpdate::Changes {
                    from,
                    to,
                    changes: relevant.collect(),
                }
            }
        };
        if let Some(feed) = self.receiver.feed {
            // The deciding thread ends only with the process.
            let _ = self.updates.send((feed, told));
        }
    }
}
