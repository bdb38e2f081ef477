//! Bodies of all requests together are bounded, and one that does not fit is refused.

use crate::scripted_store::shared;
use passway_instance::shared::MAX_HELD_BODIES_BYTES;

/// A body as large as callers may send on most sites.
const BODY_BYTES: usize = 64 << 10;

#[test]
fn sum_is_bounded() {
    let shared = shared();
    let most = MAX_HELD_BODIES_BYTES / BODY_BYTES;
    let mut held: Vec<_> = (0..most).map(|_| shared.hold_body(BODY_BYTES)).collect();
    assert!(held.iter().all(Option::is_some));
    assert!(shared.hold_body(BODY_BYTES).is_none());
    // What ends makes room.
    held.pop();
    let last = shared.hold_body(BODY_BYTES);
    assert!(last.is_some());
}

/// A body of unknown length is counted as it turns out to be.
#[test]
fn counted_as_it_is() {
    let shared = shared();
    let mut long = shared.hold_body(0).expect("room");
    assert!(long.set_bytes(MAX_HELD_BODIES_BYTES));
    let mut other = shared.hold_body(0).expect("no room is asked for yet");
    assert!(!other.set_bytes(BODY_BYTES));
    drop(long);
    assert!(other.set_bytes(BODY_BYTES));
}

/// One that is larger than all may be is served alone.
#[test]
fn alone_it_passes() {
    let shared = shared();
    let alone = shared.hold_body(2 * MAX_HELD_BODIES_BYTES);
    assert!(alone.is_some());
    assert!(shared.hold_body(1).is_none());
}
