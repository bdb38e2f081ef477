//! A feed that follows a store whose answers the test defines.

use crate::cluster;
use crossbeam::channel;
use passway_instance::feeds::{Feed, follow};
use passway_instance::relay::{CONFIGURATION_FEED, FEED_COUNT, RelayReceiver};
use passway_instance::shared::Shared;
use passway_instance::stop_signal::StopSignals;
use passway_serving::ports::{
    ConditionalWrite, LeaseId, ListPage, Listing, RenewalAnswer, SharedStore, StoreChange,
    StoreError, StoreRevision, WatchAnswer, WriteAnswer,
};
use passway_types::prelude::*;
use passway_users_platform::PlatformHeaders;
use passway_wire::message::Updates;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};

/// Number of lists that are answered at once. A feed runs until the process exits, and one whose
/// history is always dropped would keep a processor busy with lists.
const IMMEDIATE_LISTS: u32 = 4;
/// Delay of later answers to lists.
const LATER_LIST_DELAY: Duration = Duration::from_millis(100);

/// The store's answer to the list or watch with a given number.
pub type Answer<T> = fn(u32) -> Result<T, StoreError>;

/// A store that answers lists and watches as defined, and refuses everything else. Like a real
/// store, it delays the answer to a watch without changes.
pub struct ScriptedStore {
    lists: AtomicU32,
    watches: AtomicU32,
    page: Box<dyn Fn(u32) -> Result<ListPage, StoreError> + Send + Sync>,
    watch: Answer<WatchAnswer>,
    /// The key after which each requested page begins.
    requested_pages: Mutex<Vec<Option<String>>>,
}

impl ScriptedStore {
    /// Creates a store with these answers, whose lists have one page.
    pub fn new(list: Answer<Listing>, watch: Answer<WatchAnswer>) -> Arc<Self> {
        let page = move |number| {
            list(number).map(|listing| ListPage {
                values: listing.values,
                revision: listing.revision,
                next_after: None,
            })
        };
        Self::with_pages(page, watch)
    }

    /// Creates a store with these answers, whose lists have several pages.
    pub fn with_pages(
        page: impl Fn(u32) -> Result<ListPage, StoreError> + Send + Sync + 'static,
        watch: Answer<WatchAnswer>,
    ) -> Arc<Self> {
        Arc::new(Self {
            lists: AtomicU32::new(0),
            watches: AtomicU32::new(0),
            page: Box::new(page),
            watch,
            requested_pages: Mutex::default(),
        })
    }

    /// The key after which each page begins that was requested so far; `None` for a first page.
    pub fn requested_pages(&self) -> Vec<Option<String>> {
        let requested = self.requested_pages.lock();
        requested.expect("an unpoisoned lock").clone()
    }

    /// Number of lists so far.
    pub fn list_count(&self) -> u32 {
        self.lists.load(Ordering::Relaxed)
    }

    /// Number of watches so far.
    pub fn watch_count(&self) -> u32 {
        self.watches.load(Ordering::Relaxed)
    }
}

impl SharedStore for ScriptedStore {
    fn list_page(&self, _: &str, after_key: Option<&str>) -> Result<ListPage, StoreError> {
        let mut requested = self.requested_pages.lock().expect("an unpoisoned lock");
        requested.push(after_key.map(str::to_owned));
        drop(requested);
        let number = self.lists.fetch_add(1, Ordering::Relaxed);
        if number >= IMMEDIATE_LISTS {
            std::thread::sleep(LATER_LIST_DELAY);
        }
        (self.page)(number)
    }

    fn watch(
        &self,
        _: &str,
        after: StoreRevision,
        timeout: Duration,
    ) -> Result<WatchAnswer, StoreError> {
        let answer = (self.watch)(self.watches.fetch_add(1, Ordering::Relaxed));
        let is_unchanged = |answer: &WatchAnswer| match answer {
            WatchAnswer::Changes { revision, .. } => *revision <= after,
            WatchAnswer::HistoryCompacted => false,
        };
        if answer.as_ref().is_ok_and(is_unchanged) {
            std::thread::sleep(timeout);
        }
        answer
    }

    fn write(&self, _: &[ConditionalWrite]) -> Result<WriteAnswer, StoreError> {
        Err(StoreError::NotDone)
    }

    fn grant_lease(&self, _: Duration) -> Result<LeaseId, StoreError> {
        Err(StoreError::NotDone)
    }

    fn renew_lease_with_timeout(
        &self,
        _: LeaseId,
        _: Duration,
    ) -> Result<RenewalAnswer, StoreError> {
        Err(StoreError::NotDone)
    }

    fn end_lease(&self, _: LeaseId) -> Result<(), StoreError> {
        Err(StoreError::NotDone)
    }
}

/// The shared state of an instance that nobody reaches.
pub fn shared() -> Arc<Shared> {
    // There is no reporting thread, so its messages are dropped.
    let (report_events, _receiver) = channel::unbounded();
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 1));
    let settings = cluster::settings("one", unused_address);
    Arc::new(Shared::new(
        settings,
        Box::new(PlatformHeaders),
        Arc::new(StopSignals::new().expect("stop signals")),
        report_events,
    ))
}

/// Revisions that a feed has applied.
#[derive(Clone, Default)]
pub struct Revisions(Arc<Mutex<Vec<StoreRevision>>>);

impl Revisions {
    fn record(&self, revision: StoreRevision) {
        self.0.lock().expect("an unpoisoned lock").push(revision);
    }

    /// Whether the feed has applied a revision of the first era.
    pub fn contains(&self, number: u64) -> bool {
        self.contains_of(at(number))
    }

    /// Whether the feed has applied a revision of any era.
    pub fn contains_of(&self, revision: StoreRevision) -> bool {
        let revisions = self.0.lock().expect("an unpoisoned lock");
        revisions.contains(&revision)
    }
}

struct RecordingFeed {
    shared: Arc<Shared>,
    revisions: Revisions,
    may_leave_list: bool,
}

impl Feed for RecordingFeed {
    fn prefix(&self) -> String {
        "op/".into()
    }

    fn apply_listing(&mut self, listing: &Listing) {
        self.revisions.record(listing.revision);
    }

    fn apply_change(&mut self, change: &StoreChange) -> bool {
        self.revisions.record(change.revision());
        true
    }

    fn finish_batch(&mut self) -> Duration {
        Duration::ZERO
    }

    fn may_leave_to_holder(&self) -> bool {
        self.may_leave_list
    }

    fn shared(&self) -> &Shared {
        &self.shared
    }
}

/// Follows a store. Returns the revisions that are applied.
pub fn follow_store(
    store: Arc<ScriptedStore>,
    receiver: RelayReceiver,
    shared: &Arc<Shared>,
) -> Revisions {
    follow_as(false, store, receiver, shared)
}

/// Follows a store as an instance that may leave the rest of a long list to the holder.
pub fn follow_leaving_lists(
    store: Arc<ScriptedStore>,
    receiver: RelayReceiver,
    shared: &Arc<Shared>,
) -> Revisions {
    follow_as(true, store, receiver, shared)
}

fn follow_as(
    may_leave_list: bool,
    store: Arc<ScriptedStore>,
    receiver: RelayReceiver,
    shared: &Arc<Shared>,
) -> Revisions {
    let revisions = Revisions::default();
    let (updates, _received) = channel::unbounded();
    let feed = RecordingFeed {
        shared: shared.clone(),
        revisions: revisions.clone(),
        may_leave_list,
    };
    follow(store, receiver, updates, feed);
    revisions
}

/// A revision of the first era.
pub fn at(number: u64) -> StoreRevision {
    StoreRevision::new(0, number)
}

/// A holder's update of the configuration between two revisions of the first era, without a value.
pub fn update_message(from_revision: u64, to_revision: u64) -> Updates {
    Updates {
        feed: u32::try_from(CONFIGURATION_FEED).expect("small"),
        from_revision,
        to_revision,
        ..Updates::default()
    }
}

/// A heartbeat of a holder whose clock started at `begun_at` and to which the store has just
/// confirmed the first `feeds` feeds.
pub fn heartbeat(begun_at: Instant, feeds: usize) -> Updates {
    let elapsed_ms = begun_at.elapsed().as_millis();
    let now_ms = u64::try_from(elapsed_ms).expect("small") + 1;
    let confirmed_ms = |feed| if feed < feeds { now_ms } else { 0 };
    Updates {
        queued_at_ms: now_ms,
        confirmed_at_ms: (0..FEED_COUNT).map(confirmed_ms).collect(),
        ..Updates::default()
    }
}
