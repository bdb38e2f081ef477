//! What the store tells: the configuration and the upstreams, each by its own watch.

mod configuration;
mod upstreams;

pub use configuration::ConfigurationFeed;
pub use upstreams::UpstreamFeed;

use crate::holder::FeedNews;
use crate::news::{self, Told};
use crate::relay::{CONFIGURATION, Tap};
use crate::shared::Shared;
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
const RELAYED_WATCH: Duration = Duration::from_millis(800);
/// The same of a feed that each instance follows for itself.
const OWN_WATCH: Duration = Duration::from_secs(2);

/// Questions that prove the configuration within the bound on keys that were taken away.
const PROOFS_IN_BOUND: u32 = 6;

/// Longest wait for the holder's news before its standing is looked at again: upstreams whose
/// time is over are forgotten as often.
const RELAY_STEP: Duration = Duration::from_millis(250);

/// Calls in a row that count as failed at least once the holder is not answered either: the
/// pause is 0.6 s then rather than 0.15 s, at up to a hundred instances at one time.
const OUTAGE_FAILURES: u32 = 2;

/// Pause between two looks, after a call that failed, whether the store answers others here:
/// short against the first pause before it is asked again in any case.
const LOOK_STEP: Duration = Duration::from_millis(100);

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
pub enum Outage {
    /// The holder is not relied on any more, after a second or so.
    OfHolder,
    /// The store did not answer, for nobody knows how long.
    OfStore,
}

/// Takes in what lies under a prefix.
pub trait Feed: Send {
    /// The prefix.
    fn prefix(&self) -> String;
    /// Everything was read.
    fn listed(&mut self, listing: &Listing);
    /// Something has changed; whether other instances must hear of it.
    fn changed(&mut self, change: &StoreChange) -> bool;
    /// The store, asked at a moment, has told everything that was not known, and that was taken in.
    fn confirmed(&mut self, _asked_at: Instant) {}
    /// Looks after what is due by time alone.
    fn tick(&mut self) {}
    /// All changes that are known were taken in; the pause before asking for more.
    fn settled(&mut self) -> Duration;
    /// Whether all values are cheaper than the changes that lie behind: a watch tells each
    /// change that was made meanwhile, a list the last of them only.
    fn lists_rather(&self, _after: Outage) -> bool {
        false
    }
    /// Whether the store is to be asked although the holder is relied on.
    fn must_ask(&self) -> bool {
        false
    }
    /// What the instance shares.
    fn shared(&self) -> &Shared;
}

/// Follows a prefix for as long as the process lives: by the holder of the right to
/// order while it is relied on, else by the store and by what the holder tells meanwhile.
pub fn follow(
    store: Arc<dyn SharedStore>,
    tap: Tap,
    news: Sender<FeedNews>,
    feed: impl Feed + 'static,
) {
    let follower = Follower {
        prefix: feed.prefix(),
        store,
        tap,
        news,
        feed,
        known: None,
        lists_next: false,
        relied: false,
        has_gap: false,
        failures: 0,
        pause: Pause::over(clock::now()),
    };
    std::thread::spawn(move || follower.run());
}

/// The time for which the store is not asked after a call that failed.
#[derive(Debug, Clone, Copy)]
struct Pause {
    /// From then on it is asked if it has answered somebody else here.
    soonest: Instant,
    /// From then on it is asked in any case.
    until: Instant,
}

impl Pause {
    fn over(now: Instant) -> Self {
        Self {
            soonest: now,
            until: now,
        }
    }
}

struct Follower<F> {
    prefix: String,
    store: Arc<dyn SharedStore>,
    tap: Tap,
    news: Sender<FeedNews>,
    feed: F,
    /// The point from which to go on; `None` before the first list.
    known: Option<StoreRevision>,
    /// Whether the store is to be asked for all values rather than for what has changed.
    lists_next: bool,
    /// Whether the holder was relied on last.
    relied: bool,
    /// Whether something is missing in the holder's news: it is not relied on until the store
    /// has told it, or the holder itself.
    has_gap: bool,
    /// Calls in a row that the store did not answer.
    failures: u32,
    pause: Pause,
}

impl<F: Feed> Follower<F> {
    /// Hears the holder at all times, and asks the store while the holder is not relied on.
    fn run(mut self) {
        loop {
            self.feed.tick();
            // What the holder told while the store was asked.
            self.hear(Duration::ZERO);
            if let Some(until) = self.relied_until() {
                self.relied = true;
                let left = until.saturating_duration_since(clock::now());
                self.hear(left.min(RELAY_STEP));
            } else if self.may_ask() {
                self.follow_store();
            } else {
                self.hear(LOOK_STEP);
            }
        }
    }

    /// Until when the holder's news are enough; `None` if they are not now.
    fn relied_until(&self) -> Option<Instant> {
        let must_ask = self.known.is_none() || self.has_gap || self.feed.must_ask();
        self.tap.relied_until().filter(|_| !must_ask)
    }

    /// Whether the store may be asked now. While the holder speaks, and neither it nor this
    /// instance is answered, the configuration's feed alone finds out whether the store is back.
    fn may_ask(&self) -> bool {
        let now = clock::now();
        let is_failing = self.feed.shared().store_health.is_failing();
        let relay = &self.tap.relay;
        let another_asks = self.tap.feed != Some(CONFIGURATION)
            && relay.is_heard()
            && relay.relied_until(CONFIGURATION).is_none();
        if is_failing && another_asks && !self.feed.must_ask() {
            return false;
        }
        now >= self.pause.until || (now >= self.pause.soonest && !is_failing)
    }

    /// Waits a while for the holder's news.
    fn hear(&mut self, longest: Duration) {
        if let Some(told) = self.tap.next(longest) {
            self.relayed(told);
        }
    }

    /// Asks the store once and pauses as its answer or silence calls for.
    fn follow_store(&mut self) {
        // A feed that is not relayed heard nothing while the holder was relied on.
        let lists = self.tap.feed.is_none() || self.feed.lists_rather(Outage::OfHolder);
        self.lists_next |= std::mem::take(&mut self.relied) && lists;
        match self.ask() {
            Ok(()) => {
                self.failures = 0;
                self.feed.shared().store_health.answered();
                std::thread::sleep(self.feed.settled());
            }
            Err(error) => {
                log::debug!(prefix = self.prefix, error:? = error; "the store gave no answer");
                // An answer that did not come in time may have held many versions.
                self.lists_next |= self.feed.lists_rather(Outage::OfStore);
                let health = &self.feed.shared().store_health;
                health.failed();
                let now = clock::now();
                let probes = self.tap.feed == Some(CONFIGURATION);
                // The holder is not answered either: an outage, more likely than not.
                let outage = if self.tap.relay.is_heard() {
                    OUTAGE_FAILURES
                } else {
                    0
                };
                let failures = self.failures.max(outage);
                self.pause = Pause {
                    soonest: now + LOOK_STEP,
                    until: now + health.pause_after(failures, probes),
                };
                self.failures += 1;
            }
        }
    }

    /// One list or watch.
    fn ask(&mut self) -> Result<(), StoreError> {
        let Some(after) = self.known.filter(|_| !self.lists_next) else {
            let asked_at = clock::now();
            let listing = self.store.list(&self.prefix)?;
            self.tap.answered(asked_at);
            self.lists_next = false;
            self.take(Told::Whole(listing), Source::Store);
            self.feed.confirmed(asked_at);
            return Ok(());
        };
        let wait = self.longest_watch();
        let asked_at = clock::now();
        match self.store.watch(&self.prefix, after, wait)? {
            WatchAnswer::HistoryGone => self.lists_next = true,
            WatchAnswer::Changes { changes, revision } => {
                // A large answer may have begun long ago; one without changes has just come.
                let is_quiet = changes.is_empty();
                let known_at = if is_quiet { clock::now() } else { asked_at };
                self.tap.answered(known_at);
                let told = Told::Changes {
                    from: after,
                    to: revision.max(after),
                    changes: news::newest(changes.into_iter()),
                };
                self.take(told, Source::Store);
                self.feed.confirmed(asked_at);
            }
        }
        Ok(())
    }

    /// How long the store may wait with its answer. The configuration is proved by answers, and
    /// counts as old as the question: a question, the next one, and what others need to hear of
    /// the answer must lie in the time within which keys that were taken away stop.
    fn longest_watch(&self) -> Duration {
        let Some(feed) = self.tap.feed else {
            return OWN_WATCH;
        };
        let bound = self.feed.shared().revocation_bound();
        let bound = bound.filter(|_| feed == CONFIGURATION);
        bound.map_or(RELAYED_WATCH, |bound| {
            (bound / PROOFS_IN_BOUND).min(RELAYED_WATCH)
        })
    }

    /// Takes in what the holder told, unless something is missing in between.
    fn relayed(&mut self, told: Told) {
        let known = self.known.unwrap_or(0);
        match &told {
            Told::Whole(listing) if listing.revision < known => return,
            Told::Changes { to, .. } if *to <= known => return,
            Told::Changes { from, .. } if *from > known => {
                log::info!(prefix = self.prefix, from = *from, known = known; "a gap in the holder's news");
                self.has_gap = true;
                self.tap.missed(told.to());
                return;
            }
            _ => {}
        }
        // A store that turned this instance away for long is asked soon once the holder is lost.
        self.failures = 0;
        self.feed.shared().store_health.relayed();
        self.take(told, Source::Holder);
        self.feed.settled();
    }

    fn take(&mut self, told: Told, source: Source) {
        if self.tap.feed == Some(CONFIGURATION) && told.values() > 0 {
            log::info!(source:? = source, known = self.known, to = told.to(), bytes = told.bytes(); "configuration heard");
        }
        self.has_gap = false;
        self.tap.taken(&told, told.to());
        let told = match told {
            Told::Whole(listing) => {
                self.feed.listed(&listing);
                self.known = Some(listing.revision);
                Told::Whole(listing)
            }
            Told::Changes { from, to, changes } => {
                self.known = Some(to);
                let material = changes.into_iter().filter(|c| self.feed.changed(c));
                Told::Changes {
                    from,
                    to,
                    changes: material.collect(),
                }
            }
        };
        if let Some(feed) = self.tap.feed {
            // The deciding thread ends only with the process.
            let _ = self.news.send((feed, told));
        }
    }
}
