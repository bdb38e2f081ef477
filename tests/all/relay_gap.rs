//! What the holder's news leave out is read from the store, however long that takes.

use crate::cluster::until;
use crate::followed::{ToldStore, beat, followed, shared, word};
use bytes::Bytes;
use passway_instance::feed_log::FeedLog;
use passway_instance::news::Told;
use passway_instance::relay::{CONFIGURATION, FEEDS, Relay};
use passway_serving::ports::{
    Listing, StoreChange, StoreError, StoreRevision, StoredValue, WatchAnswer,
};
use passway_types::prelude::*;
use passway_wire::message::News;

fn value(revision: StoreRevision) -> StoredValue {
    StoredValue {
        key: "op/config".into(),
        value: Bytes::new(),
        revision,
    }
}

fn listing() -> Listing {
    Listing {
        values: vec![value(10)],
        revision: 10,
    }
}

/// Tells of a change at 20.
fn change() -> WatchAnswer {
    WatchAnswer::Changes {
        changes: vec![StoreChange::Written(value(20))],
        revision: 30,
    }
}

#[test]
fn gap_outlasts_heartbeats() {
    let (relay, [tap, _]) = Relay::new();
    let begun_at = Instant::now();
    relay.heard(beat(begun_at, FEEDS));
    // Its first watches get no answer.
    let slow = |number| {
        if number < 3 {
            Err(StoreError::Unknown)
        } else {
            Ok(change())
        }
    };
    let store = ToldStore::new(|_| Ok(listing()), slow);
    let seen = followed(store, tap, &shared());
    until("the list", || seen.have(10));
    // The holder tells of what came after 25; what lies between 10 and 25 is missing.
    relay.heard(word(25, 30));
    until("what was missing", || {
        // The holder lives on and says so.
        relay.heard(beat(begun_at, FEEDS));
        seen.have(20)
    });
}

#[test]
fn quiet_revisions_told() {
    let mut log = FeedLog::default();
    assert!(log.add(&Told::Whole(listing())));
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
    let shared = shared();
    let silent = ToldStore::new(|_| Ok(listing()), |_| Err(StoreError::Unknown));
    followed(silent, tap, &shared);
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
