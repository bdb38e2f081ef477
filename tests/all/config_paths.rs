//! A version that the store has accepted reaches an instance through any path that is open.
//!
//! Guards against an instance that answers 404 for a route more than three seconds after the store
//! accepted the version with it, while the store refuses some instances and drops its history. Two
//! paths were closed without need: an instance whose history was dropped retried listing and
//! ignored the holder's updates meanwhile, and a holder was trusted while it was alive, however old
//! its own knowledge was. The first two tests cover these, the others similar cases.

use crate::cluster::until;
use crate::scripted_store::{ScriptedStore, at, follow_store, heartbeat, shared, update_message};
use bytes::Bytes;
use passway_instance::relay::{CONFIGURATION_FEED, FEED_COUNT, Relay, RelayReceiver};
use passway_serving::ports::{Listing, StoreChange, StoreError, StoredValue, WatchAnswer};
use passway_types::prelude::*;
use passway_wire::message::{StoreValue, Updates};

fn empty_list() -> Listing {
    Listing {
        values: Vec::new(),
        revision: at(10),
    }
}

/// A change at revision 20.
fn change() -> WatchAnswer {
    let value = StoredValue {
        key: "op/config".into(),
        value: Bytes::new(),
        revision: at(20),
        lease: None,
    };
    WatchAnswer::Changes {
        changes: vec![StoreChange::Written(value)],
        revision: at(20),
    }
}

#[test]
fn holder_update_applied_while_store_refuses() {
    let (relay, [receiver, _]) = Relay::new();
    let list_once = |number| {
        if number == 0 {
            Ok(empty_list())
        } else {
            Err(StoreError::NotDone)
        }
    };
    let store = ScriptedStore::new(list_once, |_| Ok(WatchAnswer::HistoryCompacted));
    let revisions = follow_store(store, receiver, &shared());
    until("the listing", || revisions.contains(10));
    until("the holder's update", || {
        relay.receive(Updates {
            values: vec![StoreValue {
                key: "op/config".into(),
                value: Some(Bytes::new()),
                revision: 20,
                ..StoreValue::default()
            }],
            ..update_message(10, 20)
        });
        revisions.contains(20)
    });
}

/// A feed queries the store although the holder is alive, because the holder has no confirmation
/// from the store.
fn queries_store_despite_heartbeats(relay: &Relay, receiver: RelayReceiver) {
    relay.receive(Updates::default());
    let store = ScriptedStore::new(|_| Ok(empty_list()), |_| Ok(change()));
    let revisions = follow_store(store, receiver, &shared());
    until("the listing", || revisions.contains(10));
    until("the store's change", || {
        relay.receive(Updates::default());
        revisions.contains(20)
    });
}

#[test]
fn holder_without_confirmation_not_trusted() {
    let (relay, [receiver, _]) = Relay::new();
    queries_store_despite_heartbeats(&relay, receiver);
}

/// The holder knows the current configuration, but no longer the upstreams. The instance must rely
/// on the holder for the former and query the store for the latter, even after a failed call. The
/// failure used to count until another feed queried the store, and none did.
#[test]
fn upstreams_queried_after_failure() {
    let (relay, [configuration, upstreams]) = Relay::new();
    let clock_origin = Instant::now();
    relay.receive(heartbeat(clock_origin, 1));
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
        relay.receive(heartbeat(clock_origin, 1));
        configuration.contains(10)
    });
    let upstreams = follow_store(store(), upstreams, &shared);
    until("the store's change of the upstreams", || {
        relay.receive(heartbeat(clock_origin, 1));
        upstreams.contains(20)
    });
}

/// The holder is alive but has no confirmation from the store, so the instance must query the store
/// for the current holder. A holder that was cut off from the store kept its term for 3 s after its
/// lease ended. No instance checked whether leadership was free, and those that reached nobody else
/// received nothing for 4.4 s.
#[test]
fn unrelayed_feed_queries_store() {
    let (relay, _) = Relay::new();
    queries_store_despite_heartbeats(&relay, relay.unrelayed_receiver());
}

/// After a gap, the store has dropped its history too: the feed lists everything and forgets
/// nothing.
#[test]
fn gap_closed_after_history_gone() {
    let (relay, [receiver, _]) = Relay::new();
    let clock_origin = Instant::now();
    relay.receive(heartbeat(clock_origin, FEED_COUNT));
    let list = |number| {
        let revision = if number == 0 { 10 } else { 30 };
        Ok(Listing {
            values: Vec::new(),
            revision: at(revision),
        })
    };
    let store = ScriptedStore::new(list, |_| Ok(WatchAnswer::HistoryCompacted));
    let revisions = follow_store(store, receiver, &shared());
    until("the listing", || revisions.contains(10));
    relay.receive(update_message(25, 28));
    until("the complete listing", || {
        relay.receive(heartbeat(clock_origin, FEED_COUNT));
        revisions.contains(30)
    });
}

/// The holder can close a gap as well, when asked to resend everything.
#[test]
fn gap_resent_by_holder() {
    let (relay, [receiver, _]) = Relay::new();
    relay.receive(heartbeat(Instant::now(), FEED_COUNT));
    let list_once = |number| {
        if number == 0 {
            Ok(empty_list())
        } else {
            Err(StoreError::NotDone)
        }
    };
    let store = ScriptedStore::new(list_once, |_| Err(StoreError::NotDone));
    let revisions = follow_store(store, receiver, &shared());
    until("the listing", || revisions.contains(10));
    relay.receive(update_message(25, 28));
    until("the request to resend", || relay.needs_resend());
    assert!(relay.known_revisions()[CONFIGURATION_FEED].is_none());
    relay.receive(update_message(0, 28));
    until("the holder's update", || revisions.contains(28));
    assert!(!relay.needs_resend());
}
