//! A version that the store has taken reaches an instance whichever way is open.
//!
//! Seen: an instance answered 404 for a route more than three seconds after the store had
//! taken the version that adds it, on days on which the store turned some instances away
//! and forgot its history while versions came in quick succession. Two ways were shut
//! without need. An instance whose history was gone asked the store for everything, again
//! and again while that turned it away, and did not take in what the holder of the right to
//! order told it meanwhile. And a holder was believed for as long as it spoke, however old
//! its own knowledge was. Proved by the first two tests, in which the other way is open; the
//! others are ways that were found shut when the mend was looked at.

use crate::scripted_store::{ScriptedStore, follow_store, heartbeat, shared, update_message};
use crate::site::until;
use bytes::Bytes;
use passway_instance::relay::{CONFIGURATION_FEED, FEED_COUNT, Relay, RelayReceiver};
use passway_serving::ports::{Listing, StoreChange, StoreError, StoredValue, WatchAnswer};
use passway_types::prelude::*;
use passway_wire::message::{News, NewsValue};

fn empty_list() -> Listing {
    Listing {
        values: Vec::new(),
        revision: 10,
    }
}

/// Tells of a change at 20.
fn change() -> WatchAnswer {
    let value = StoredValue {
        key: "op/config".into(),
        value: Bytes::new(),
        revision: 20,
    };
    WatchAnswer::Changes {
        changes: vec![StoreChange::Written(value)],
        revision: 20,
    }
}

#[test]
fn holder_update_applied_while_store_refuses() {
    let (relay, [receiver, _]) = Relay::new();
    let once = |number| {
        if number == 0 {
            Ok(empty_list())
        } else {
            Err(StoreError::NotDone)
        }
    };
    let store = ScriptedStore::new(once, |_| Ok(WatchAnswer::HistoryGone));
    let seen = follow_store(store, receiver, &shared());
    until("the list", || seen.contains(10));
    until("the holder's word", || {
        relay.receive(News {
            values: vec![NewsValue {
                key: "op/config".into(),
                value: Some(Bytes::new()),
                revision: 20,
                ..NewsValue::default()
            }],
            ..update_message(10, 20)
        });
        seen.contains(20)
    });
}

/// A feed asks the store although the holder speaks, which has heard nothing of the store.
fn queries_store_despite_heartbeats(relay: &Relay, receiver: RelayReceiver) {
    relay.receive(News::default());
    let store = ScriptedStore::new(|_| Ok(empty_list()), |_| Ok(change()));
    let seen = follow_store(store, receiver, &shared());
    until("the list", || seen.contains(10));
    until("the store's word", || {
        relay.receive(News::default());
        seen.contains(20)
    });
}

#[test]
fn holder_without_confirmation_not_trusted() {
    let (relay, [receiver, _]) = Relay::new();
    queries_store_despite_heartbeats(&relay, receiver);
}

/// A holder that knows the configuration up to now and the upstreams no more: an instance
/// relies on it for the one and asks the store for the other, also after a call that failed.
/// The failure was kept for as long as nobody else asked, and nobody did.
#[test]
fn upstreams_queried_after_failure() {
    let (relay, [configuration, upstreams]) = Relay::new();
    let begun_at = Instant::now();
    relay.receive(heartbeat(begun_at, 1));
    let shared = shared();
    let once_lost = |number| {
        if number == 0 {
            Err(StoreError::NotDone)
        } else {
            Ok(change())
        }
    };
    let store = || ScriptedStore::new(|_| Ok(empty_list()), once_lost);
    let configuration = follow_store(store(), configuration, &shared);
    until("the configuration", || {
        relay.receive(heartbeat(begun_at, 1));
        configuration.contains(10)
    });
    let upstreams = follow_store(store(), upstreams, &shared);
    until("the store's word on the upstreams", || {
        relay.receive(heartbeat(begun_at, 1));
        upstreams.contains(20)
    });
}

/// A holder that speaks and knows nothing any more: who holds the right is asked of the store.
/// Cut off from the store, such a holder kept its term for 3 s after its lease; nobody looked
/// whether the right was free, and those that reached nobody else heard nothing for 4.4 s.
#[test]
fn unrelayed_feed_queries_store() {
    let (relay, _) = Relay::new();
    queries_store_despite_heartbeats(&relay, relay.unrelayed_receiver());
}

/// After a gap the store's history is gone too: everything is listed, nothing is forgotten.
#[test]
fn gap_closed_after_history_gone() {
    let (relay, [receiver, _]) = Relay::new();
    let begun_at = Instant::now();
    relay.receive(heartbeat(begun_at, FEED_COUNT));
    let list = |number| {
        let revision = if number == 0 { 10 } else { 30 };
        Ok(Listing {
            values: Vec::new(),
            revision,
        })
    };
    let store = ScriptedStore::new(list, |_| Ok(WatchAnswer::HistoryGone));
    let seen = follow_store(store, receiver, &shared());
    until("the list", || seen.contains(10));
    relay.receive(update_message(25, 28));
    until("everything", || {
        relay.receive(heartbeat(begun_at, FEED_COUNT));
        seen.contains(30)
    });
}

/// A gap is closed by the holder too, which is asked for everything.
#[test]
fn gap_resent_by_holder() {
    let (relay, [receiver, _]) = Relay::new();
    relay.receive(heartbeat(Instant::now(), FEED_COUNT));
    let once = |number| {
        if number == 0 {
            Ok(empty_list())
        } else {
            Err(StoreError::NotDone)
        }
    };
    let store = ScriptedStore::new(once, |_| Err(StoreError::NotDone));
    let seen = follow_store(store, receiver, &shared());
    until("the list", || seen.contains(10));
    relay.receive(update_message(25, 28));
    until("the wish for everything", || relay.needs_resend());
    assert_eq!(relay.known_revisions()[CONFIGURATION_FEED], 0);
    relay.receive(update_message(0, 28));
    until("the holder's word", || seen.contains(28));
    assert!(!relay.needs_resend());
}
