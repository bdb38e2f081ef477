//! What the holder's news leave out is read from the store, however long that takes.

use crate::site::{self, until};
use bytes::Bytes;
use crossbeam::channel;
use passway_instance::feed_log::FeedLog;
use passway_instance::feeds::{Feed, follow};
use passway_instance::news::Told;
use passway_instance::relay::{CONFIGURATION, FEEDS, Relay};
use passway_instance::shared::Shared;
use passway_serving::ports::{
    ConditionalWrite, LeaseId, Listing, SharedStore, StoreChange, StoreError, StoreRevision,
    StoredValue, WatchAnswer, WriteAnswer,
};
use passway_types::prelude::*;
use passway_users_platform::PlatformHeaders;
use passway_wire::message::News;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};

fn value(revision: StoreRevision) -> StoredValue {
    StoredValue {
        key: "op/config".into(),
        value: Bytes::new(),
        revision,
    }
}

/// A store whose first watches get no answer; later ones tell of a change.
struct SlowToAnswer {
    watches: AtomicU32,
    /// Watches that get no answer.
    unanswered: u32,
}

impl SlowToAnswer {
    fn new(unanswered: u32) -> Arc<Self> {
        Arc::new(Self {
            watches: AtomicU32::new(0),
            unanswered,
        })
    }
}

impl SharedStore for SlowToAnswer {
    fn list(&self, _: &str) -> Result<Listing, StoreError> {
        Ok(Listing {
            values: vec![value(10)],
            revision: 10,
        })
    }

    fn watch(&self, _: &str, _: StoreRevision, _: Duration) -> Result<WatchAnswer, StoreError> {
        if self.watches.fetch_add(1, Ordering::Relaxed) < self.unanswered {
            return Err(StoreError::Unknown);
        }
        Ok(WatchAnswer::Changes {
            changes: vec![StoreChange::Written(value(20))],
            revision: 30,
        })
    }

    fn write(&self, _: &[ConditionalWrite]) -> Result<WriteAnswer, StoreError> {
        Err(StoreError::NotDone)
    }

    fn grant_lease(&self, _: Duration) -> Result<LeaseId, StoreError> {
        Err(StoreError::NotDone)
    }

    fn renew_lease(&self, _: LeaseId) -> Result<bool, StoreError> {
        Err(StoreError::NotDone)
    }

    fn end_lease(&self, _: LeaseId) -> Result<(), StoreError> {
        Err(StoreError::NotDone)
    }
}

/// Revisions that a feed has taken in.
struct Recorded {
    shared: Arc<Shared>,
    revisions: Arc<Mutex<Vec<StoreRevision>>>,
}

impl Feed for Recorded {
    fn prefix(&self) -> String {
        "op/".into()
    }

    fn listed(&mut self, listing: &Listing) {
        self.revisions.lock().expect("sound").push(listing.revision);
    }

    fn changed(&mut self, change: &StoreChange) -> bool {
        self.revisions
            .lock()
            .expect("sound")
            .push(change.revision());
        true
    }

    fn settled(&mut self) -> Duration {
        Duration::ZERO
    }

    fn shared(&self) -> &Shared {
        &self.shared
    }
}

/// A heartbeat of a holder that the store has just answered.
fn beat(begun_at: Instant) -> News {
    let passed = begun_at.elapsed().as_millis();
    let now_ms = u64::try_from(passed).expect("small") + 1;
    News {
        sent_ms: now_ms,
        confirmed_ms: vec![now_ms; FEEDS],
        ..News::default()
    }
}

#[test]
fn gap_outlasts_heartbeats() {
    let (relay, [tap, _]) = Relay::new();
    let begun_at = Instant::now();
    relay.heard(beat(begun_at));
    let revisions = Arc::new(Mutex::new(Vec::new()));
    let (needs, _needed) = channel::unbounded();
    let (news, _heard) = channel::unbounded();
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let feed = Recorded {
        shared: Arc::new(Shared::new(
            site::settings("one", nowhere),
            Box::new(PlatformHeaders),
            needs,
        )),
        revisions: revisions.clone(),
    };
    follow(SlowToAnswer::new(3), tap, news, feed);
    let seen = |revision| revisions.lock().expect("sound").contains(&revision);
    until("the list", || seen(10));
    // The holder tells of what came after 25; what lies between 10 and 25 is missing.
    relay.heard(News {
        feed: u32::try_from(CONFIGURATION).expect("small"),
        from: 25,
        to: 30,
        ..News::default()
    });
    until("what was missing", || {
        // The holder lives on and says so.
        relay.heard(beat(begun_at));
        seen(20)
    });
}

#[test]
fn quiet_revisions_told() {
    let mut log = FeedLog::default();
    let listing = Listing {
        values: vec![value(10)],
        revision: 10,
    };
    assert!(log.add(&Told::Whole(listing)));
    assert_eq!(log.after(CONFIGURATION, 10), None);
    let quiet = Told::Changes {
        from: 10,
        to: 40,
        changes: Vec::new(),
    };
    assert!(!log.add(&quiet));
    assert!(!log.has_news(10));
    let news = log.after(CONFIGURATION, 10).expect("news");
    assert_eq!((news.from, news.to, news.values.len()), (10, 40, 0));
    assert_eq!(log.after(CONFIGURATION, 40), None);
}

/// An instance that is cut off from the store and follows the holder: an entry that the
/// holder tells as gone is gone, and not only missing for as long as the cut lasts.
#[test]
fn told_entries_go() {
    let (relay, [tap, _]) = Relay::new();
    let (needs, _needed) = channel::unbounded();
    let (news, _heard) = channel::unbounded();
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let settings = site::settings("one", nowhere);
    let shared = Arc::new(Shared::new(settings, Box::new(PlatformHeaders), needs));
    let feed = Recorded {
        shared: shared.clone(),
        revisions: Arc::default(),
    };
    follow(SlowToAnswer::new(u32::MAX), tap, news, feed);
    let is_gone_at_once = || {
        let now = Instant::now();
        shared.store_health.gone_at(now) == now
    };
    until("an outage", || !is_gone_at_once());
    let mut to = 10;
    until("the holder's word for the store's", || {
        to += 1;
        relay.heard(News {
            feed: u32::try_from(CONFIGURATION).expect("small"),
            from: 10,
            to,
            ..News::default()
        });
        is_gone_at_once()
    });
}
