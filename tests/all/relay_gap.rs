//! Updates that the holder leaves out are read from the store, however long that takes.

use crate::cluster::until;
use crate::scripted_store::{ScriptedStore, at, follow_store, heartbeat, shared, update_message};
use bytes::Bytes;
use passway_instance::feed_log::FeedLog;
use passway_instance::relay::{CONFIGURATION_FEED, FEED_COUNT, Relay};
use passway_instance::updates::FeedUpdate;
use passway_serving::ports::{Listing, StoreChange, StoreError, StoredValue, WatchAnswer};
use passway_types::prelude::*;
use passway_wire::message::Updates;

fn value(revision: u64) -> StoredValue {
    StoredValue {
        key: "op/config".into(),
        value: Bytes::new(),
        revision: at(revision),
        lease: None,
    }
}

fn listing() -> Listing {
    Listing {
        values: vec![value(10)],
        revision: at(10),
    }
}

/// A change at revision 20.
fn change() -> WatchAnswer {
    WatchAnswer::Changes {
        changes: vec![StoreChange::Written(value(20))],
        revision: at(30),
    }
}

#[test]
fn gap_outlasts_heartbeats() {
    let (relay, [receiver, _]) = Relay::new();
    let clock_origin = Instant::now();
    relay.receive(heartbeat(clock_origin, FEED_COUNT));
    // The store does not answer the first watches.
    let slow = |number| {
        if number < 3 {
            Err(StoreError::Unknown)
        } else {
            Ok(change())
        }
    };
    let store = ScriptedStore::new(|_| Ok(listing()), slow);
    let revisions = follow_store(store, receiver, &shared());
    until("the listing", || revisions.contains(10));
    // The holder sends what followed revision 25; the changes from 10 to 25 are missing.
    relay.receive(update_message(25, 30));
    until("the missing change", || {
        // The holder keeps sending heartbeats.
        relay.receive(heartbeat(clock_origin, FEED_COUNT));
        revisions.contains(20)
    });
}

#[test]
fn unchanged_revisions_sent() {
    let mut log = FeedLog::default();
    assert!(log.apply(&FeedUpdate::Snapshot(listing())));
    assert_eq!(log.update_after(CONFIGURATION_FEED, at(10)), None);
    let unchanged = FeedUpdate::Changes {
        from: at(10),
        to: at(40),
        changes: Vec::new(),
    };
    assert!(!log.apply(&unchanged));
    assert!(!log.has_changes_after(at(10)));
    let update = log
        .update_after(CONFIGURATION_FEED, at(10))
        .expect("an update");
    assert_eq!(
        (
            update.from_revision,
            update.to_revision,
            update.values.len()
        ),
        (10, 40, 0)
    );
    assert_eq!(log.update_after(CONFIGURATION_FEED, at(40)), None);
}

/// An instance that is cut off from the store follows the holder. An entry whose removal the holder
/// relays counts as removed at once, not only as missing while the cut lasts.
#[test]
fn relayed_removals_count_at_once() {
    let (relay, [receiver, _]) = Relay::new();
    let shared = shared();
    let silent = ScriptedStore::new(|_| Ok(listing()), |_| Err(StoreError::Unknown));
    follow_store(silent, receiver, &shared);
    let expires_at_once = || {
        let now = Instant::now();
        shared.store_health.missing_entry_expires_at(now) == now
    };
    until("an outage", || !expires_at_once());
    let mut to_revision = 10;
    until("the holder's update to count", || {
        to_revision += 1;
        relay.receive(Updates {
            feed: u32::try_from(CONFIGURATION_FEED).expect("small"),
            from_revision: 10,
            to_revision,
            ..Updates::default()
        });
        expires_at_once()
    });
}
