//! Bodies of all requests together are bounded, and one that does not fit is refused.

use crate::followed::shared;
use passway_instance::shared::MAX_RESERVED_BYTES;

/// A body as large as callers may send on most sites.
const BODY_BYTES: usize = 64 << 10;

#[test]
fn sum_is_bounded() {
    let shared = shared();
    let most = MAX_RESERVED_BYTES / BODY_BYTES;
    let mut held: Vec<_> = (0..most).map(|_| shared.reserve_body(BODY_BYTES)).collect();
    assert!(held.iter().all(Option::is_some));
    assert!(shared.reserve_body(BODY_BYTES).is_none());
    // What ends makes room.
    held.pop();
    let last = shared.reserve_body(BODY_BYTES);
    assert!(last.is_some());
}

/// A body of unknown length is counted as it turns out to be.
#[test]
fn unknown_length_counted_when_read() {
    let shared = shared();
    let mut long = shared.reserve_body(0).expect("room");
    assert!(long.resize(MAX_RESERVED_BYTES));
    let mut other = shared.reserve_body(0).expect("no room is asked for yet");
    assert!(!other.resize(BODY_BYTES));
    drop(long);
    assert!(other.resize(BODY_BYTES));
}

/// One that is larger than all may be is served alone.
#[test]
fn oversized_body_accepted_alone() {
    let shared = shared();
    let alone = shared.reserve_body(2 * MAX_RESERVED_BYTES);
    assert!(alone.is_some());
    assert!(shared.reserve_body(1).is_none());
}
