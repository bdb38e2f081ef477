//! What the holder has told.

use crate::alone;
use passway_instance::relay::{CONFIGURATION, Relay};
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::message::Updates;

/// What was told before is as old as the time that went by, and is not relied on.
#[test]
fn relies_on_nobody() {
    let _alone = alone();
    let (relay, _taps) = Relay::new();
    relay.heard(Updates {
        queued_at_ms: 1_000,
        confirmed_at_ms: vec![1_000, 1_000],
        ..Updates::default()
    });
    assert!(relay.is_heard());
    assert!(relay.relied_until(CONFIGURATION).is_some());
    clock::simulate_suspension(Duration::from_secs(10));
    assert!(!relay.is_heard());
    assert!(relay.relied_until(CONFIGURATION).is_none());
}
