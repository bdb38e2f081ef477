//! What the holder has told.

use crate::lock_tests;
use passway_instance::relay::{CONFIGURATION_FEED, Relay};
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::message::News;

/// What was told before is as old as the time that went by, and is not relied on.
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
