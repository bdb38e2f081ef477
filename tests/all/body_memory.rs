//! The sum of all requests' bodies is bounded, and a body that does not fit is refused.

use crate::scripted_store::shared;
use passway_instance::shared::MAX_RESERVED_BYTES;

/// Largest body that callers may send at most sites.
const BODY_BYTES: usize = 64 << 10;

#[test]
fn sum_is_bounded() {
    let shared = shared();
    let max_count = MAX_RESERVED_BYTES / BODY_BYTES;
    let mut reservations: Vec<_> = (0..max_count)
        .map(|_| shared.reserve_body(BODY_BYTES))
        .collect();
    assert!(reservations.iter().all(Option::is_some));
    assert!(shared.reserve_body(BODY_BYTES).is_none());
    // A dropped reservation frees its memory.
    reservations.pop();
    let last = shared.reserve_body(BODY_BYTES);
    assert!(last.is_some());
}

/// A body of unknown length is counted at its actual length.
#[test]
fn unknown_length_counted_when_read() {
    let shared = shared();
    let mut long = shared.reserve_body(0).expect("a reservation");
    assert!(long.resize(MAX_RESERVED_BYTES));
    let mut other = shared.reserve_body(0).expect("an empty reservation");
    assert!(!other.resize(BODY_BYTES));
    drop(long);
    assert!(other.resize(BODY_BYTES));
}

/// A body larger than the whole bound is accepted while there is no other.
#[test]
fn oversized_body_accepted_alone() {
    let shared = shared();
    let oversized = shared.reserve_body(2 * MAX_RESERVED_BYTES);
    assert!(oversized.is_some());
    assert!(shared.reserve_body(1).is_none());
}
