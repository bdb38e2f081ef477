//! What the holder's news leave out is read from the store, however long that takes.

use crate::scripted_store::{ScriptedStore, follow_store, heartbeat, shared, update_message};
use crate::site::until;
use bytes::Bytes;
use passway_instance::feed_log::FeedLog;
use passway_instance::relay::{CONFIGURATION_FEED, FEED_COUNT, Relay};
use passway_instance::updates::FeedUpdate;
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
    let (relay, [receiver, _]) = Relay::new();
    let begun_at = Instant::now();
    relay.receive(heartbeat(begun_at, FEED_COUNT));
    // Its first watches get no answer.
    let slow = |number| {
        if number < 3 {
            Err(StoreError::Unknown)
        } else {
            Ok(change())
        }
    };
    let store = ScriptedStore::new(|_| Ok(listing()), slow);
    let seen = follow_store(store, receiver, &shared());
    until("the list", || seen.contains(10));
    // The holder tells of what came after 25; what lies between 10 and 25 is missing.
    relay.receive(update_message(25, 30));
    until("what was missing", || {
        // The holder lives on and says so.
        relay.receive(heartbeat(begun_at, FEED_COUNT));
        seen.contains(20)
    });
}

#[test]
fn unchanged_revisions_sent() {
    let mut log = FeedLog::default();
    assert!(log.apply(&FeedUpdate::Snapshot(listing())));
    assert_eq!(log.update_after(CONFIGURATION_FEED, 10), None);
    let quiet = FeedUpdate::Changes {
        from: 10,
        to: 40,
        changes: Vec::new(),
    };
    assert!(!log.apply(&quiet));
    assert!(!log.has_changes_after(10));
    let news = log.update_after(CONFIGURATION_FEED, 10).expect("news");
    assert_eq!((news.from, news.to, news.values.len()), (10, 40, 0));
    assert_eq!(log.update_after(CONFIGURATION_FEED, 40), None);
}

/// An instance that is cut off from the store and follows the holder: an entry that the
/// holder tells as gone is gone, and not only missing for as long as the cut lasts.
#[test]
fn relayed_removals_count_at_once() {
    let (relay, [receiver, _]) = Relay::new();
    let shared = shared();
    let silent = ScriptedStore::new(|_| Ok(listing()), |_| Err(StoreError::Unknown));
    follow_store(silent, receiver, &shared);
    let is_gone_at_once = || {
        let now = Instant::now();
        shared.store_health.missing_entry_expires_at(now) == now
    };
    until("an outage", || !is_gone_at_once());
    let mut to = 10;
    until("the holder's word for the store's", || {
        to += 1;
        relay.receive(News {
            feed: u32::try_from(CONFIGURATION_FEED).expect("small"),
            from: 10,
            to,
            ..News::default()
        });
        is_gone_at_once()
    });
}
