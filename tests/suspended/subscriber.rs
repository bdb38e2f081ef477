//! Updates that the holder sent.

use crate::lock_tests;
use passway_instance::relay::{CONFIGURATION_FEED, Relay};
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::message::News;

/// Updates from before the suspension are as old as the suspension is long, and are not trusted.
#[test]
fn old_updates_not_trusted() {
    let _lock = lock_tests();
    let (relay, _taps) = Relay::new();
    relay.receive(News {
        sent_ms: 1_000,
        confirmed_ms: vec![1_000, 1_000],
        ..News::default()
    });
    assert!(relay.is_holder_alive());
    assert!(relay.trusted_until(CONFIGURATION_FEED).is_some());
    clock::play_suspension(Duration::from_secs(10));
    assert!(!relay.is_holder_alive());
    assert!(relay.trusted_until(CONFIGURATION_FEED).is_none());
}
