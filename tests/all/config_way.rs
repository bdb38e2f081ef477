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

use crate::cluster::until;
use crate::followed::{ToldStore, beat, followed, shared, word};
use bytes::Bytes;
use passway_instance::relay::{CONFIGURATION, FEEDS, Relay, Tap};
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
fn told_while_turned_away() {
    let (relay, [tap, _]) = Relay::new();
    let once = |number| {
        if number == 0 {
            Ok(empty_list())
        } else {
            Err(StoreError::NotDone)
        }
    };
    let store = ToldStore::new(once, |_| Ok(WatchAnswer::HistoryGone));
    let seen = followed(store, tap, &shared());
    until("the list", || seen.have(10));
    until("the holder's word", || {
        relay.heard(News {
            values: vec![NewsValue {
                key: "op/config".into(),
                value: Some(Bytes::new()),
                revision: 20,
                ..NewsValue::default()
            }],
            ..word(10, 20)
        });
        seen.have(20)
    });
}

/// A feed asks the store although the holder speaks, which has heard nothing of the store.
fn asks_beside_words(relay: &Relay, tap: Tap) {
    relay.heard(News::default());
    let store = ToldStore::new(|_| Ok(empty_list()), |_| Ok(change()));
    let seen = followed(store, tap, &shared());
    until("the list", || seen.have(10));
    until("the store's word", || {
        relay.heard(News::default());
        seen.have(20)
    });
}

#[test]
fn silent_knowledge() {
    let (relay, [tap, _]) = Relay::new();
    asks_beside_words(&relay, tap);
}

/// A holder that knows the configuration up to now and the upstreams no more: an instance
/// relies on it for the one and asks the store for the other, also after a call that failed.
/// The failure was kept for as long as nobody else asked, and nobody did.
#[test]
fn upstreams_asked_after_failure() {
    let (relay, [configuration, upstreams]) = Relay::new();
    let begun_at = Instant::now();
    relay.heard(beat(begun_at, 1));
    let shared = shared();
    let once_lost = |number| {
        if number == 0 {
            Err(StoreError::NotDone)
        } else {
            Ok(change())
        }
    };
    let store = || ToldStore::new(|_| Ok(empty_list()), once_lost);
    let configuration = followed(store(), configuration, &shared);
    until("the configuration", || {
        relay.heard(beat(begun_at, 1));
        configuration.have(10)
    });
    let upstreams = followed(store(), upstreams, &shared);
    until("the store's word on the upstreams", || {
        relay.heard(beat(begun_at, 1));
        upstreams.have(20)
    });
}

/// A holder that speaks and knows nothing any more: who holds the right is asked of the store.
/// Cut off from the store, such a holder kept its term for 3 s after its lease; nobody looked
/// whether the right was free, and those that reached nobody else heard nothing for 4.4 s.
#[test]
fn resting_feed_wakes() {
    let (relay, _) = Relay::new();
    asks_beside_words(&relay, relay.resting());
}

/// After a gap the store's history is gone too: everything is listed, nothing is forgotten.
#[test]
fn gap_outlasts_gone_history() {
    let (relay, [tap, _]) = Relay::new();
    let begun_at = Instant::now();
    relay.heard(beat(begun_at, FEEDS));
    let list = |number| {
        let revision = if number == 0 { 10 } else { 30 };
        Ok(Listing {
            values: Vec::new(),
            revision,
        })
    };
    let store = ToldStore::new(list, |_| Ok(WatchAnswer::HistoryGone));
    let seen = followed(store, tap, &shared());
    until("the list", || seen.have(10));
    relay.heard(word(25, 28));
    until("everything", || {
        relay.heard(beat(begun_at, FEEDS));
        seen.have(30)
    });
}

/// A gap is closed by the holder too, which is asked for everything.
#[test]
fn gap_is_asked_for() {
    let (relay, [tap, _]) = Relay::new();
    relay.heard(beat(Instant::now(), FEEDS));
    let once = |number| {
        if number == 0 {
            Ok(empty_list())
        } else {
            Err(StoreError::NotDone)
        }
    };
    let store = ToldStore::new(once, |_| Err(StoreError::NotDone));
    let seen = followed(store, tap, &shared());
    until("the list", || seen.have(10));
    relay.heard(word(25, 28));
    until("the wish for everything", || relay.wants_again());
    assert_eq!(relay.known()[CONFIGURATION], 0);
    relay.heard(word(0, 28));
    until("the holder's word", || seen.have(28));
    assert!(!relay.wants_again());
}
