//! What the store tells: the configuration and the upstreams, each by its own watch.

use crate::holder::{FeedNews, Input};
use crate::news::{self, Told};
use crate::relay::{CONFIGURATION, Tap};
use crate::right::Right;
use crate::shared::Shared;
use anyhow::ensure;
use crossbeam::channel::Sender;
use passway_process::logging::json::DECISION_TARGET;
use passway_serving::ports::{
    Directory, Listing, SharedStore, StoreChange, StoreError, StoreRevision, StoredValue,
    WatchAnswer,
};
use passway_serving::upstreams::UpstreamEntry;
use passway_types::clock;
use passway_types::prelude::*;
use std::collections::BTreeSet;

/// Longest wait of one watch of a feed that others hear by way of the holder; a connection
/// that was cut silently is noticed 0.5 s after it. A version has 2 s to be in force
/// everywhere in a small fleet and 3 s in a large one (users' pages); this leaves the rest of
/// them for asking anew.
const RELAYED_WATCH: Duration = Duration::from_millis(800);
/// The same of a feed that each instance follows for itself.
const OWN_WATCH: Duration = Duration::from_secs(2);

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
            return Ok(());
        };
        let wait = self.tap.feed.map_or(OWN_WATCH, |_| RELAYED_WATCH);
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
            }
        }
        Ok(())
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

/// Versions that came within this time are a series: more of them may lie behind.
const SERIES_TIME: Duration = Duration::from_secs(5);

/// Takes in the configuration.
pub struct ConfigurationFeed {
    /// What the instance shares.
    pub shared: Arc<Shared>,
    /// Decodes it.
    pub directory: Arc<dyn Directory>,
    /// When the last version and the one before it came.
    versions_at: [Option<Instant>; 2],
}

impl ConfigurationFeed {
    /// A feed that has heard nothing yet.
    pub fn new(shared: Arc<Shared>, directory: Arc<dyn Directory>) -> Self {
        Self {
            shared,
            directory,
            versions_at: [None; 2],
        }
    }

    fn take(&self, value: &StoredValue) {
        match self.directory.configuration(value) {
            Ok(Some(table)) => {
                let known = self.shared.routes.load();
                // A version never gives way to an older one.
                if known
                    .as_ref()
                    .is_some_and(|known| known.version >= table.version)
                {
                    return;
                }
                log::info!(target: DECISION_TARGET, version = table.version; "configuration in force");
                self.shared.routes.store(Some(Arc::new(table)));
            }
            Ok(None) => {}
            Err(error) => {
                log::error!(error:% = format!("{error:#}"); "a configuration cannot be used; the last good one stays in force");
            }
        }
    }
}

impl Feed for ConfigurationFeed {
    fn prefix(&self) -> String {
        self.directory.configuration_prefix().to_owned()
    }

    fn listed(&mut self, listing: &Listing) {
        for value in &listing.values {
            self.take(value);
        }
    }

    fn changed(&mut self, change: &StoreChange) -> bool {
        if let StoreChange::Written(value) = change {
            self.take(value);
            self.versions_at = [Some(clock::now()), self.versions_at[0]];
        }
        true
    }

    fn settled(&mut self) -> Duration {
        Duration::ZERO
    }

    /// A list has the whole configuration, 180 kB for 1,375 models, and all instances ask at
    /// the same moment when the holder is lost: 53 MB for 295 of them, 0.4 s of the store's
    /// link. A watch has nothing if no version came meanwhile, and each that did if some have.
    fn lists_rather(&self, after: Outage) -> bool {
        let is_recent = |at: Option<Instant>| at.is_some_and(|at| clock::since(at) < SERIES_TIME);
        after == Outage::OfStore || self.versions_at.into_iter().all(is_recent)
    }

    fn shared(&self) -> &Shared {
        &self.shared
    }
}

/// Takes in the upstreams.
pub struct UpstreamFeed {
    /// What the instance shares.
    pub shared: Arc<Shared>,
    /// Decodes it.
    pub directory: Arc<dyn Directory>,
    /// The thread that orders, if this instance may.
    pub holder: Sender<Input>,
    /// Whether it may.
    pub right: Arc<Right>,
    /// Keys whose entries cannot be used, so that each is told once.
    unusable: BTreeSet<String>,
}

/// Changes of upstreams within this time are taken in by one call.
const UPSTREAM_PAUSE: Duration = Duration::from_millis(400);
/// The same at the holder of the right to order, which waits for engines' words.
const HOLDER_PAUSE: Duration = Duration::from_millis(30);
/// What each upstream adds to it, so that more of them do not make more calls.
const HOLDER_PAUSE_PER_UPSTREAM: Duration = Duration::from_micros(1_200);
/// Longest such pause. Each of the two orders of a swap shows its effect in an engine's entry,
/// half a pause late in the mean: with 317 ms, as 264 upstreams would make it, a third of a
/// swap of 1 s was waiting for that.
const LONGEST_HOLDER_PAUSE: Duration = Duration::from_millis(110);

impl UpstreamFeed {
    /// A feed that has heard nothing yet.
    pub fn new(
        shared: Arc<Shared>,
        directory: Arc<dyn Directory>,
        holder: Sender<Input>,
        right: Arc<Right>,
    ) -> Self {
        Self {
            shared,
            directory,
            holder,
            right,
            unusable: BTreeSet::new(),
        }
    }

    fn tell(&self, input: Input) {
        // The deciding thread ends only with the process.
        let _ = self.holder.send(input);
    }

    /// Forgets upstreams that are gone, here and at the holder.
    fn expire(&self) {
        let mut upstreams = self.shared.upstreams();
        let gone = upstreams.expire(clock::now());
        let left = upstreams.entries().map(|entry| entry.id.clone()).collect();
        drop(upstreams);
        if gone.is_empty() {
            return;
        }
        for id in &gone {
            log::info!(target: DECISION_TARGET, upstream:% = id; "an upstream is gone");
            self.shared.pool.forget(id);
        }
        self.tell(Input::Listed(left));
    }

    /// What an upstream says of itself; `None` if the entry names none that can be used. It
    /// may have been written by something else.
    fn decode(&mut self, value: &StoredValue) -> Option<UpstreamEntry> {
        let entry = self.directory.upstream(value, clock::now());
        match entry.and_then(|entry| self.of_its_service(entry)) {
            Ok(entry) => {
                self.unusable.remove(&value.key);
                Some(entry)
            }
            Err(error) => {
                if self.unusable.insert(value.key.clone()) {
                    self.shared.metrics.unusable_entry();
                    log::warn!(key = value.key, error:% = format!("{error:#}"); "an upstream's entry cannot be used");
                }
                None
            }
        }
    }

    /// An upstream stays with its service: what moves it to one that the configuration does
    /// not know is not its own word, and must not pass for the newest one.
    fn of_its_service(&self, entry: UpstreamEntry) -> anyhow::Result<UpstreamEntry> {
        let table = self.shared.routes.load();
        let is_known = |service| {
            let services = table.as_ref().map(|table| &table.services);
            services.is_some_and(|services| services.contains_key(service))
        };
        let upstreams = self.shared.upstreams();
        let before = upstreams.service_of(&entry.id);
        let moves = before.is_some_and(|before| *before != entry.service && is_known(before));
        ensure!(
            !moves || is_known(&entry.service),
            "an unknown service, {}",
            entry.service
        );
        drop(upstreams);
        Ok(entry)
    }

    /// Connections to what upstreams were before they started again lead nowhere.
    fn forget_restarted(&self) {
        let restarted = self.shared.upstreams().take_restarted();
        for id in restarted {
            log::info!(target: DECISION_TARGET, upstream:% = id; "an upstream has started again under its id");
            self.shared.pool.forget(&id);
        }
    }

    /// An upstream is not listed any more.
    fn miss(&self, id: &str) {
        let gone_at = self.shared.store_health.gone_at(clock::now());
        self.shared.upstreams().miss(id, gone_at);
        self.expire();
    }
}

impl Feed for UpstreamFeed {
    fn prefix(&self) -> String {
        self.directory.upstream_prefix().to_owned()
    }

    fn listed(&mut self, listing: &Listing) {
        self.unusable
            .retain(|key| listing.values.iter().any(|value| value.key == *key));
        let entries = listing.values.iter().filter_map(|value| self.decode(value));
        let entries: Vec<_> = entries.collect();
        for entry in &entries {
            self.tell(Input::Heard(entry.clone()));
        }
        let now = clock::now();
        let gone_at = self.shared.store_health.gone_at(now);
        self.shared.upstreams().replace(entries, gone_at, now);
        self.forget_restarted();
        self.expire();
        self.shared.set_upstreams_listed();
        self.shared.upstreams_changed();
    }

    fn changed(&mut self, change: &StoreChange) -> bool {
        match change {
            StoreChange::Written(value) => {
                let Some(entry) = self.decode(value) else {
                    if let Some(id) = self.directory.upstream_id(&value.key) {
                        self.miss(id);
                    }
                    return true;
                };
                self.tell(Input::Heard(entry.clone()));
                // What stands on an engine travels by placements, which are shorter.
                let is_told = self.shared.upstreams().update(entry, clock::now());
                self.forget_restarted();
                is_told
            }
            StoreChange::Removed { key, .. } => {
                self.unusable.remove(key);
                if let Some(id) = self.directory.upstream_id(key) {
                    self.miss(id);
                }
                true
            }
        }
    }

    fn tick(&mut self) {
        self.expire();
    }

    fn settled(&mut self) -> Duration {
        self.shared.upstreams_changed();
        if self.right.term().is_some() {
            let upstreams = self.shared.upstreams().entries().count();
            let upstreams = u32::try_from(upstreams).unwrap_or(u32::MAX);
            let pause = HOLDER_PAUSE_PER_UPSTREAM.saturating_mul(upstreams);
            pause.clamp(HOLDER_PAUSE, LONGEST_HOLDER_PAUSE)
        } else {
            UPSTREAM_PAUSE
        }
    }

    fn shared(&self) -> &Shared {
        &self.shared
    }
}
