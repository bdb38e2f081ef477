//! Queries of the configuration's feed while the store does not answer watches.

use crate::cluster::{configuration, until};
use crate::scripted_store::{ScriptedStore, at, shared};
use crossbeam::channel;
use passway_instance::feeds::{ConfigurationFeed, follow};
use passway_instance::relay::Relay;
use passway_serving::ports::{Listing, StoreError, StoredValue};
use passway_types::prelude::*;
use passway_users_platform::PlatformDirectory;

/// Size of a configuration of which a few versions do not fit into an answer of the store.
const LARGE_BYTES: usize = 1 << 20;

/// A listing with a configuration of at least this size.
fn listing(bytes: usize) -> Listing {
    let mut document = configuration(1, &[]);
    document["comment"] = "x".repeat(bytes).into();
    Listing {
        values: vec![StoredValue {
            key: "op/config".into(),
            value: document.to_string().into_bytes().into(),
            revision: at(1),
            lease: None,
        }],
        revision: at(1),
    }
}

/// Follows a store that answers lists, but no watch.
fn follow_silent(list: fn(u32) -> Result<Listing, StoreError>) -> Arc<ScriptedStore> {
    let (_, [receiver, _]) = Relay::new();
    let store = ScriptedStore::new(list, |_| Err(StoreError::Unknown));
    let (updates, _receiver) = channel::unbounded();
    let feed = ConfigurationFeed::new(shared(), Arc::new(PlatformDirectory));
    follow(store.clone(), receiver, updates, feed);
    store
}

/// Guards against unanswered watches that become lists: the lists of a large fleet filled the
/// store's link, so that the next watches were not answered either.
#[test]
fn unanswered_watch_is_repeated() {
    let store = follow_silent(|_| Ok(listing(0)));
    until("four watches", || store.watch_count() >= 4);
    assert_eq!(store.list_count(), 1);
}

/// Guards against a watch for large versions that were missed, whose answer exceeds what the store
/// sends.
#[test]
fn large_versions_are_listed() {
    let store = follow_silent(|_| Ok(listing(LARGE_BYTES)));
    until("a second list", || store.list_count() >= 2);
}
