//! A version that the store has taken reaches an instance whichever way is open.
//!
//! Seen: an instance answered 404 for a route more than three seconds after the store had
//! taken the version that adds it, on days on which the store turned some instances away
//! and forgot its history while versions came in quick succession. Two ways were shut
//! without need. An instance whose history was gone asked the store for everything, again
//! and again while that turned it away, and did not take in what the holder of the right to
//! order told it meanwhile. And a holder was believed for as long as it spoke, however old
//! its own knowledge was. Proved by these two tests, in which the other way is open.

use crate::site::{self, until};
use bytes::Bytes;
use crossbeam::channel;
use passway_instance::feeds::{Feed, follow};
use passway_instance::relay::{CONFIGURATION, Relay};
use passway_instance::shared::Shared;
use passway_serving::ports::{
    ConditionalWrite, LeaseId, Listing, SharedStore, StoreChange, StoreError, StoreRevision,
    StoredValue, WatchAnswer, WriteAnswer,
};
use passway_types::prelude::*;
use passway_users_platform::PlatformHeaders;
use passway_wire::message::{News, NewsValue};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

/// A store as one instance sees it.
#[derive(Default)]
struct OneWay {
    /// Whether it has been listed once.
    listed: AtomicBool,
    /// After the first list it answers watches with "history gone" and lists not at all.
    turns_away: bool,
}

impl SharedStore for OneWay {
    fn list(&self, _: &str) -> Result<Listing, StoreError> {
        if self.listed.swap(true, Ordering::Relaxed) && self.turns_away {
            return Err(StoreError::NotDone);
        }
        Ok(Listing {
            values: Vec::new(),
            revision: 10,
        })
    }

    fn watch(&self, _: &str, _: StoreRevision, _: Duration) -> Result<WatchAnswer, StoreError> {
        if self.turns_away {
            return Ok(WatchAnswer::HistoryGone);
        }
        let change = StoredValue {
            key: "op/config".into(),
            value: Bytes::new(),
            revision: 20,
        };
        Ok(WatchAnswer::Changes {
            changes: vec![StoreChange::Written(change)],
            revision: 20,
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
        let mut revisions = self.revisions.lock().expect("sound");
        revisions.push(change.revision());
        true
    }

    fn settled(&mut self) -> Duration {
        Duration::ZERO
    }

    fn shared(&self) -> &Shared {
        &self.shared
    }
}

/// Follows a store, from the first moment beside a holder that speaks or not; the relay, and
/// whether a revision was taken in.
fn followed(store: OneWay, holder_speaks: bool) -> (Arc<Relay>, impl Fn(StoreRevision) -> bool) {
    let (relay, [tap, _]) = Relay::new();
    if holder_speaks {
        relay.heard(News::default());
    }
    let revisions = Arc::new(Mutex::new(Vec::new()));
    // The reporting thread is not there; what is told to it goes nowhere.
    let (needs, _needed) = channel::unbounded();
    let (news, _heard) = channel::unbounded();
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let settings = site::settings("one", nowhere);
    let feed = Recorded {
        shared: Arc::new(Shared::new(settings, Box::new(PlatformHeaders), needs)),
        revisions: revisions.clone(),
    };
    follow(Arc::new(store), tap, news, feed);
    let seen = move |revision| revisions.lock().expect("sound").contains(&revision);
    (relay, seen)
}

#[test]
fn told_while_turned_away() {
    let turning_away = OneWay {
        turns_away: true,
        ..OneWay::default()
    };
    let (relay, seen) = followed(turning_away, false);
    until("the list", || seen(10));
    until("the holder's word", || {
        relay.heard(News {
            feed: u32::try_from(CONFIGURATION).expect("small"),
            from: 10,
            to: 20,
            values: vec![NewsValue {
                key: "op/config".into(),
                value: Some(Bytes::new()),
                revision: 20,
                ..NewsValue::default()
            }],
            ..News::default()
        });
        seen(20)
    });
}

#[test]
fn silent_knowledge() {
    let (relay, seen) = followed(OneWay::default(), true);
    until("the list", || seen(10));
    until("the store's word", || {
        // The holder lives and says so, and has heard nothing of the store.
        relay.heard(News::default());
        seen(20)
    });
}
