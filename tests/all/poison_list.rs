//! Which requests count as the cause of upstreams' crashes, checked without a network.

use passway_serving::poison::{
    CrashStatus, ExclusiveRuns, MAX_CRASHES, PoisonList, RequestDigest, RunPermission, Suspect,
    SuspectKey, UNCONFIRMED_TIMEOUT, UpstreamStart,
};
use passway_types::prelude::*;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

const SECOND: Duration = Duration::from_secs(1);

fn digest(number: u8) -> SuspectKey {
    RequestDigest([number; 16]).into()
}

fn crash(number: u64) -> UpstreamStart {
    UpstreamStart {
        upstream: format!("i-{number}").into(),
        started_at_ms: 0,
    }
}

/// An engine crashes while it runs some requests.
fn crashed(list: &mut PoisonList, number: u64, running: &[u8], now: Instant) {
    for request in running {
        list.record_crash(digest(*request), crash(number), now);
    }
}

fn refused(list: &PoisonList, number: u8, now: Instant) -> bool {
    list.remaining_refusal(digest(number), now).is_some()
}

#[test]
fn counted_once_per_start() {
    let (mut list, now) = (PoisonList::default(), Instant::now());
    for _ in 0..5 {
        crashed(&mut list, 1, &[1], now);
    }
    assert!(!refused(&list, 1, now));
    // The same engine after a restart.
    for started_at_ms in 1..u64::from(MAX_CRASHES) {
        let start = UpstreamStart {
            started_at_ms,
            ..crash(1)
        };
        list.record_crash(digest(1), start, now);
    }
    assert!(refused(&list, 1, now));
}

/// Of a dozen requests that run beside a poison request and move with it to the next engine, only
/// those that are present at each crash are refused.
#[test]
fn innocent_requests_explained() {
    let (mut list, now) = (PoisonList::default(), Instant::now());
    crashed(&mut list, 1, &[0, 1, 2, 3, 4, 5, 6, 7], now);
    crashed(&mut list, 2, &[0, 1, 2, 3, 4], now);
    crashed(&mut list, 3, &[0, 8, 9], now);
    assert_eq!(list.refused_count(), 1);
    // One of the requests with two crashes is present at two other crashes.
    let later = now + 2 * SECOND;
    crashed(&mut list, 4, &[1], later);
    assert!(!refused(&list, 1, later));
    crashed(&mut list, 5, &[1], later);
    assert!(refused(&list, 1, later));
}

/// Other instances' reports of the third crash arrive shortly after one instance has seen enough
/// crashes.
#[test]
fn late_reports_count() {
    let (mut list, now) = (PoisonList::default(), Instant::now());
    for number in 1..=3 {
        crashed(&mut list, number, &[0], now);
    }
    crashed(&mut list, 1, &[1], now);
    crashed(&mut list, 2, &[1], now);
    crashed(&mut list, 3, &[1], now + SECOND / 2);
    assert!(refused(&list, 1, now + SECOND / 2));
}

#[test]
fn answered_clears() {
    let (mut list, now) = (PoisonList::default(), Instant::now());
    crashed(&mut list, 1, &[1], now);
    crashed(&mut list, 2, &[1], now);
    assert!(list.record_answer(digest(1)).is_some());
    assert!(list.record_answer(digest(1)).is_none(), "reported once");
    // An instance that does not know of the answer reports the two crashes again.
    crashed(&mut list, 1, &[1], now);
    crashed(&mut list, 2, &[1], now);
    crashed(&mut list, 3, &[1], now);
    assert!(!refused(&list, 1, now));
}

#[test]
fn suspects_expire() {
    let (mut list, now) = (PoisonList::default(), Instant::now());
    for number in 1..=3 {
        crashed(&mut list, number, &[1], now);
    }
    crashed(&mut list, 3, &[2], now);
    let hour = Duration::from_hours(1);
    assert_eq!(list.remaining_refusal(digest(1), now), Some(hour));
    assert!(!refused(&list, 1, now + hour));
    // A suspect is forgotten sooner than a refused request, and a later crash of a rack does not
    // add to it.
    crashed(&mut list, 9, &[3], now + hour / 4);
    assert!(list.get(digest(2)).is_none());
    assert!(list.get(digest(1)).is_some());
}

#[test]
fn bounded_in_number() {
    let (mut list, now) = (PoisonList::default(), Instant::now());
    let numbered = |number: u32| {
        let mut bytes = [0; 16];
        bytes[..4].copy_from_slice(&number.to_le_bytes());
        SuspectKey::Request(RequestDigest(bytes))
    };
    for number in 1..=3 {
        list.record_crash(numbered(0), crash(number), now);
    }
    for number in 1..10_000 {
        list.record_crash(numbered(number), crash(1), now + SECOND);
    }
    let retained = list.suspects(1).len();
    assert!((3_072..=4_096).contains(&retained), "{retained}");
    assert!(
        list.remaining_refusal(numbered(0), now).is_some(),
        "suspects with the most crashes stay"
    );
}

/// A request is sent to an upstream that disconnects at once, after it has been sent to those with
/// lower numbers.
fn disconnected(list: &mut PoisonList, number: u64, request: u8, now: Instant) {
    let age = Duration::from_millis(10 - number);
    let at = now.checked_sub(age).expect("after the boot");
    list.record_run_disconnect(&[digest(request)], &crash(number), at, at);
    list.record_disconnect(&crash(number), at, at);
}

#[test]
fn alone_then_held() {
    let (mut list, now) = (PoisonList::default(), Instant::now());
    disconnected(&mut list, 1, 1, now);
    assert_eq!(list.run_permission(digest(1), now), RunPermission::Free);
    disconnected(&mut list, 2, 1, now);
    assert_eq!(list.run_permission(digest(1), now), RunPermission::Alone);
    disconnected(&mut list, 3, 1, now);
    assert_eq!(list.run_permission(digest(1), now), RunPermission::Held);
    assert!(!refused(&list, 1, now), "no termination is confirmed");
    // Confirmations arrive in any order, and twice.
    for number in [2, 1, 2, 3] {
        list.record_terminated(&crash(number).upstream, u64::MAX, now);
    }
    assert!(refused(&list, 1, now));
    assert_eq!(list.run_permission(digest(1), now), RunPermission::Free);
}

/// The loss of a rack once caused a refusal for an hour, because three of its upstreams ran
/// requests with the same body. If such a request then crashes the next upstream alone, it is
/// refused all the same; an answer clears it.
#[test]
fn single_incident_refuses_no_request() {
    let now = Instant::now();
    let (sent_at, disconnected_at) = (now, now + SECOND);
    let mut list = PoisonList::default();
    for number in 1..=3 {
        list.record_run_crash(&[digest(1)], &crash(number), sent_at, disconnected_at);
    }
    assert!(!refused(&list, 1, disconnected_at));
    assert_eq!(
        list.run_permission(digest(1), disconnected_at),
        RunPermission::Alone
    );
    let mut cleared = PoisonList::default();
    cleared.merge(list.suspects(1), disconnected_at);
    cleared.record_answer(digest(1));
    assert_eq!(
        cleared.run_permission(digest(1), disconnected_at),
        RunPermission::Free
    );
    let sent_at = disconnected_at + Duration::from_millis(1);
    list.record_run_crash(&[digest(1)], &crash(4), sent_at, disconnected_at + SECOND);
    assert!(refused(&list, 1, disconnected_at + SECOND));
}

/// After two crashes a request runs one at a time over all instances, in the order of requests for
/// the permit. A run that ended without a crash releases its permit, and an abandoned permit
/// expires.
#[test]
fn permits_are_exclusive() {
    let (one, other) = ((address(1), 7), (address(2), 7));
    let now = Instant::now();
    let mut permits = ExclusiveRuns::default();
    assert_eq!(permits.try_acquire(1, digest(1), one, SECOND, now), Ok(()));
    assert_eq!(
        permits.try_acquire(1, digest(1), one, SECOND, now),
        Ok(()),
        "requested twice"
    );
    assert!(
        permits
            .try_acquire(1, digest(1), other, SECOND, now)
            .is_err()
    );
    assert_eq!(
        permits.try_acquire(1, digest(2), other, SECOND, now),
        Ok(())
    );
    permits.release(digest(1), other);
    assert!(
        permits
            .try_acquire(1, digest(1), other, SECOND, now)
            .is_err()
    );
    permits.release(digest(1), one);
    assert_eq!(
        permits.try_acquire(1, digest(1), other, SECOND, now),
        Ok(())
    );
    let later = now + SECOND;
    assert_eq!(
        permits.try_acquire(1, digest(1), one, SECOND, later),
        Ok(()),
        "expired"
    );
    // The coordinator of another term does not know earlier permits.
    assert_eq!(
        permits.try_acquire(2, digest(1), other, SECOND, later),
        Ok(())
    );
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 1))
}

#[test]
fn alive_upstream_clears_crash() {
    let (mut list, now) = (PoisonList::default(), Instant::now());
    for number in 1..=3 {
        disconnected(&mut list, number, 1, now);
    }
    assert!(list.record_alive(digest(1), crash(2), now).is_some());
    assert!(
        list.record_alive(digest(1), crash(2), now).is_none(),
        "reported once"
    );
    assert_eq!(list.run_permission(digest(1), now), RunPermission::Alone);
    // A later termination of that upstream has another cause.
    list.record_terminated(&crash(2).upstream, u64::MAX, now);
    list.record_terminated(&crash(1).upstream, u64::MAX, now);
    list.record_terminated(&crash(3).upstream, u64::MAX, now);
    assert!(!refused(&list, 1, now));
    assert!(list.record_answer(digest(1)).is_some());
    assert_eq!(list.run_permission(digest(1), now), RunPermission::Free);
}

/// A terminated upstream closes all new connections, which is not the fault of requests sent
/// afterwards.
#[test]
fn later_disconnects_do_not_count() {
    let (mut list, now) = (PoisonList::default(), Instant::now());
    disconnected(&mut list, 1, 1, now);
    let later = now + SECOND / 4;
    assert!(
        list.record_run_disconnect(&[digest(2)], &crash(1), later, later)
            .is_empty()
    );
    // A request that was already running when the upstream disconnected may be the cause as well.
    let sent_at = now.checked_sub(SECOND).expect("after the boot");
    let running = list.record_run_disconnect(&[digest(3)], &crash(1), sent_at, later);
    assert!(!running.is_empty());
    list.record_terminated(&crash(1).upstream, u64::MAX, later);
    assert!(list.get(digest(2)).is_none());
}

/// Only starts from before the one that is known now are confirmed as terminated.
#[test]
fn later_starts_stay_unconfirmed() {
    let (mut list, now) = (PoisonList::default(), Instant::now());
    for started_at_ms in [5, 9] {
        let start = UpstreamStart {
            started_at_ms,
            ..crash(1)
        };
        list.record_run_disconnect(&[digest(1)], &start, now, now);
    }
    let updates = list.record_terminated(&crash(1).upstream, 9, now);
    let statuses: Vec<_> = updates[0].crashes.values().copied().collect();
    assert_eq!(statuses, [CrashStatus::Counted, CrashStatus::Unconfirmed]);
}

#[test]
fn unconfirmed_crashes_expire() {
    let (mut list, now) = (PoisonList::default(), Instant::now());
    for number in 1..=3 {
        disconnected(&mut list, number, 1, now);
    }
    let later = now + UNCONFIRMED_TIMEOUT;
    assert_eq!(list.run_permission(digest(1), later), RunPermission::Free);
    list.record_crash(digest(2), crash(9), later);
    assert!(list.get(digest(1)).is_none());
}

fn suspects() -> impl Strategy<Value = Vec<Suspect>> {
    let status = prop_oneof![
        Just(CrashStatus::Unconfirmed),
        Just(CrashStatus::Counted),
        Just(CrashStatus::Explained),
        Just(CrashStatus::Cleared)
    ];
    let crashes = proptest::collection::btree_map(0_u64..6, status, 1..4);
    let suspect = (0_u8..4, crashes).prop_map(|(number, crashes)| Suspect {
        key: digest(number),
        crashes: crashes
            .into_iter()
            .map(|(n, status)| (crash(n), status))
            .collect(),
        runs: BTreeMap::new(),
    });
    proptest::collection::vec(suspect, 0..12)
}

proptest! {
    /// Instances that receive the same reports know the same, in any order and with any
    /// repetition.
    #[test]
    fn merged_in_any_order(received in suspects(), seed in 0_usize..100) {
        let now = Instant::now();
        let (mut one, mut other) = (PoisonList::default(), PoisonList::default());
        one.merge(received.clone(), now);
        let mut reordered = received.clone();
        reordered.rotate_left(seed % received.len().max(1));
        reordered.reverse();
        for suspect in reordered.iter().chain(&received) {
            other.merge([suspect.clone()], now);
        }
        let known = |list: &PoisonList| -> BTreeMap<SuspectKey, Suspect> {
            let all = list.suspects(1).into_iter();
            all.map(|suspect| (suspect.key, suspect)).collect()
        };
        prop_assert_eq!(known(&one), known(&other));
    }
}
