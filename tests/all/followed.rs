//! A feed that follows a store of which a test says what it answers.

use crate::cluster;
use crossbeam::channel;
use passway_instance::feeds::{Feed, follow};
use passway_instance::relay::{CONFIGURATION, FEEDS, Tap};
use passway_instance::shared::Shared;
use passway_serving::ports::{
    ConditionalWrite, LeaseId, Listing, SharedStore, StoreChange, StoreError, StoreRevision,
    WatchAnswer, WriteAnswer,
};
use passway_types::prelude::*;
use passway_users_platform::PlatformHeaders;
use passway_wire::message::News;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};

/// Lists that are answered at once. A feed lives as long as the process: one whose history is gone
/// each time would keep a processor busy with lists.
const LISTS_AT_ONCE: u32 = 4;
/// Time for an answer after these.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// What a store answers to a list or a watch with that number.
pub type Answer<T> = fn(u32) -> Result<T, StoreError>;

/// A store that answers lists and watches as told, and nothing else. Like a real one it holds a watch that has
/// nothing new to tell.
pub struct ToldStore {
    lists: AtomicU32,
    watches: AtomicU32,
    list: Answer<Listing>,
    watch: Answer<WatchAnswer>,
}

impl ToldStore {
    /// A store that answers so.
    pub fn new(list: Answer<Listing>, watch: Answer<WatchAnswer>) -> Arc<Self> {
        Arc::new(Self {
            lists: AtomicU32::new(0),
            watches: AtomicU32::new(0),
            list,
            watch,
        })
    }
}

impl SharedStore for ToldStore {
    fn list(&self, _: &str) -> Result<Listing, StoreError> {
        let number = self.lists.fetch_add(1, Ordering::Relaxed);
        if number >= LISTS_AT_ONCE {
            std::thread::sleep(ANSWER_TIME);
        }
        (self.list)(number)
    }

    fn watch(
        &self,
        _: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<WatchAnswer, StoreError> {
        let answer = (self.watch)(self.watches.fetch_add(1, Ordering::Relaxed));
        let is_old = |answer: &WatchAnswer| match answer {
            WatchAnswer::Changes { revision, .. } => *revision <= after,
            WatchAnswer::HistoryGone => false,
        };
        if answer.as_ref().is_ok_and(is_old) {
            std::thread::sleep(wait);
        }
        answer
    }

    fn write(&self, _: &[ConditionalWrite]) -> Result<WriteAnswer, StoreError> {
        Err(StoreError::NotDone)
    }

    fn grant_lease(&self, _: Duration) -> Result<LeaseId, StoreError> {
        Err(StoreError::NotDone)
    }

    fn renew_lease_within(&self, _: LeaseId, _: Duration) -> Result<bool, StoreError> {
        Err(StoreError::NotDone)
    }

    fn end_lease(&self, _: LeaseId) -> Result<(), StoreError> {
        Err(StoreError::NotDone)
    }
}

/// What an instance that nobody reaches shares.
pub fn shared() -> Arc<Shared> {
    // The reporting thread is not there; what is told to it goes nowhere.
    let (needs, _needed) = channel::unbounded();
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let settings = cluster::settings("one", nowhere);
    Arc::new(Shared::new(settings, Box::new(PlatformHeaders), needs))
}

/// Revisions that a feed has taken in.
#[derive(Clone, Default)]
pub struct Revisions(Arc<Mutex<Vec<StoreRevision>>>);

impl Revisions {
    fn note(&self, revision: StoreRevision) {
        self.0.lock().expect("sound").push(revision);
    }

    /// Whether one was taken in.
    pub fn have(&self, revision: StoreRevision) -> bool {
        self.0.lock().expect("sound").contains(&revision)
    }
}

struct Recorded {
    shared: Arc<Shared>,
    revisions: Revisions,
}

impl Feed for Recorded {
    fn prefix(&self) -> String {
        "op/".into()
    }

    fn listed(&mut self, listing: &Listing) {
        self.revisions.note(listing.revision);
    }

    fn changed(&mut self, change: &StoreChange) -> bool {
        self.revisions.note(change.revision());
        true
    }

    fn settled(&mut self) -> Duration {
        Duration::ZERO
    }

    fn shared(&self) -> &Shared {
        &self.shared
    }
}

/// Follows a store; the revisions that are taken in.
pub fn followed(store: Arc<ToldStore>, tap: Tap, shared: &Arc<Shared>) -> Revisions {
    let revisions = Revisions::default();
    let (news, _heard) = channel::unbounded();
    let feed = Recorded {
        shared: shared.clone(),
        revisions: revisions.clone(),
    };
    follow(store, tap, news, feed);
    revisions
}

/// A word of the holder on the configuration, between two revisions and without a value.
pub fn word(from: StoreRevision, to: StoreRevision) -> News {
    News {
        feed: u32::try_from(CONFIGURATION).expect("small"),
        from,
        to,
        ..News::default()
    }
}

/// A heartbeat of a holder that has begun at a moment and that the store has just answered for
/// so many feeds.
pub fn beat(begun_at: Instant, feeds: usize) -> News {
    let passed = begun_at.elapsed().as_millis();
    let now_ms = u64::try_from(passed).expect("small") + 1;
    let known = |feed| if feed < feeds { now_ms } else { 0 };
    News {
        sent_ms: now_ms,
        confirmed_ms: (0..FEEDS).map(known).collect(),
        ..News::default()
    }
}
