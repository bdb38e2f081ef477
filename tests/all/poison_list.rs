//! Which requests are blamed for crashes of upstreams, decided without a network.

use passway_serving::poison::{
    CrashStatus, ExclusiveRuns, MAX_CRASHES, PoisonList, RequestDigest, RunPermission, Suspect,
    UNCONFIRMED_TIMEOUT, UpstreamStart,
};
use passway_types::prelude::*;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

const SECOND: Duration = Duration::from_secs(1);

fn digest(number: u8) -> RequestDigest {
    RequestDigest([number; 16])
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
fn counted_once_a_start() {
    let (mut list, now) = (PoisonList::default(), Instant::now());
    for _ in 0..5 {
        crashed(&mut list, 1, &[1], now);
    }
    assert!(!refused(&list, 1, now));
    // The same engine, started again.
    for started_at_ms in 1..u64::from(MAX_CRASHES) {
        let start = UpstreamStart {
            started_at_ms,
            ..crash(1)
        };
        list.record_crash(digest(1), start, now);
    }
    assert!(refused(&list, 1, now));
}

/// Of a dozen that run beside it, and go on with it at the next engine, none is refused but
/// those that were there each time.
#[test]
fn others_explained() {
    let (mut list, now) = (PoisonList::default(), Instant::now());
    crashed(&mut list, 1, &[0, 1, 2, 3, 4, 5, 6, 7], now);
    crashed(&mut list, 2, &[0, 1, 2, 3, 4], now);
    crashed(&mut list, 3, &[0, 8, 9], now);
    assert_eq!(list.refused_count(), 1);
    // One of those with two is unlucky again, by two other crashes.
    let later = now + 2 * SECOND;
    crashed(&mut list, 4, &[1], later);
    assert!(!refused(&list, 1, later));
    crashed(&mut list, 5, &[1], later);
    assert!(refused(&list, 1, later));
}

/// What other instances saw of the third crash comes a moment after it was enough for one.
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
    assert!(list.record_answer(digest(1)).is_none(), "it is told once");
    // The two are told again by one who does not know of the answer.
    crashed(&mut list, 1, &[1], now);
    crashed(&mut list, 2, &[1], now);
    crashed(&mut list, 3, &[1], now);
    assert!(!refused(&list, 1, now));
}

#[test]
fn forgotten_in_time() {
    let (mut list, now) = (PoisonList::default(), Instant::now());
    for number in 1..=3 {
        crashed(&mut list, number, &[1], now);
    }
    crashed(&mut list, 3, &[2], now);
    let hour = Duration::from_hours(1);
    assert_eq!(list.remaining_refusal(digest(1), now), Some(hour));
    assert!(!refused(&list, 1, now + hour));
    // A suspect is forgotten sooner, and a rack that crashed does not add to it then.
    crashed(&mut list, 9, &[3], now + hour / 4);
    assert!(list.get(digest(2)).is_none());
    assert!(list.get(digest(1)).is_some());
}

#[test]
fn bounded_in_number() {
    let (mut list, now) = (PoisonList::default(), Instant::now());
    let named = |number: u32| {
        let mut bytes = [0; 16];
        bytes[..4].copy_from_slice(&number.to_le_bytes());
        RequestDigest(bytes)
    };
    for number in 1..=3 {
        list.record_crash(named(0), crash(number), now);
    }
    for number in 1..10_000 {
        list.record_crash(named(number), crash(1), now + SECOND);
    }
    let kept = list.suspects(1).len();
    assert!((3_072..=4_096).contains(&kept), "{kept}");
    assert!(
        list.remaining_refusal(named(0), now).is_some(),
        "the worst stay"
    );
}

/// A request breaks off at an upstream to which it was sent just before, after it had broken off at those with lower
/// numbers.
fn broke_off(list: &mut PoisonList, number: u64, request: u8, now: Instant) {
    let before = Duration::from_millis(10 - number);
    let at = now.checked_sub(before).expect("after the boot");
    list.record_run_disconnect(digest(request), crash(number), at, at);
    list.record_disconnect(&crash(number), at, at);
}

#[test]
fn alone_then_held() {
    let (mut list, now) = (PoisonList::default(), Instant::now());
    broke_off(&mut list, 1, 1, now);
    assert_eq!(list.run_permission(digest(1), now), RunPermission::Free);
    broke_off(&mut list, 2, 1, now);
    assert_eq!(list.run_permission(digest(1), now), RunPermission::Alone);
    broke_off(&mut list, 3, 1, now);
    assert_eq!(list.run_permission(digest(1), now), RunPermission::Held);
    assert!(!refused(&list, 1, now), "nothing has proved to have ended");
    // Evidence comes in any order, and twice.
    for number in [2, 1, 2, 3] {
        list.record_terminated(&crash(number).upstream, u64::MAX, now);
    }
    assert!(refused(&list, 1, now));
    assert_eq!(list.run_permission(digest(1), now), RunPermission::Free);
}

/// Three upstreams of a rack that all ran one body when the rack was lost refused it for an hour. What then ends the
/// next one by itself is refused all the same, and an answer clears it.
#[test]
fn one_moment_refuses_nobody() {
    let now = Instant::now();
    let (sent_at, lost_at) = (now, now + SECOND);
    let mut list = PoisonList::default();
    for number in 1..=3 {
        list.record_run_crash(digest(1), crash(number), sent_at, lost_at);
    }
    assert!(!refused(&list, 1, lost_at));
    assert_eq!(
        list.run_permission(digest(1), lost_at),
        RunPermission::Alone
    );
    let mut cleared = PoisonList::default();
    cleared.merge(list.suspects(1), lost_at);
    cleared.record_answer(digest(1));
    assert_eq!(
        cleared.run_permission(digest(1), lost_at),
        RunPermission::Free
    );
    let sent_at = lost_at + Duration::from_millis(1);
    list.record_run_crash(digest(1), crash(4), sent_at, lost_at + SECOND);
    assert!(refused(&list, 1, lost_at + SECOND));
}

/// After two crashes, one at a time over all instances, whoever asks first; a run that ended nothing gives its turn
/// back, and one that nobody speaks of any more lapses.
#[test]
fn turns_of_runs() {
    let (one, other) = ((address(1), 7), (address(2), 7));
    let now = Instant::now();
    let mut turns = ExclusiveRuns::default();
    assert_eq!(turns.try_acquire(1, digest(1), one, SECOND, now), Ok(()));
    assert_eq!(
        turns.try_acquire(1, digest(1), one, SECOND, now),
        Ok(()),
        "asked twice"
    );
    assert!(turns.try_acquire(1, digest(1), other, SECOND, now).is_err());
    assert_eq!(turns.try_acquire(1, digest(2), other, SECOND, now), Ok(()));
    turns.release(digest(1), other);
    assert!(turns.try_acquire(1, digest(1), other, SECOND, now).is_err());
    turns.release(digest(1), one);
    assert_eq!(turns.try_acquire(1, digest(1), other, SECOND, now), Ok(()));
    let later = now + SECOND;
    assert_eq!(
        turns.try_acquire(1, digest(1), one, SECOND, later),
        Ok(()),
        "lapsed"
    );
    // The counter of another term knows nothing of them.
    assert_eq!(
        turns.try_acquire(2, digest(1), other, SECOND, later),
        Ok(())
    );
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 1))
}

#[test]
fn living_acquits() {
    let (mut list, now) = (PoisonList::default(), Instant::now());
    for number in 1..=3 {
        broke_off(&mut list, number, 1, now);
    }
    assert!(list.record_alive(digest(1), crash(2), now).is_some());
    assert!(
        list.record_alive(digest(1), crash(2), now).is_none(),
        "told once"
    );
    assert_eq!(list.run_permission(digest(1), now), RunPermission::Alone);
    // A later end of that upstream has another cause.
    list.record_terminated(&crash(2).upstream, u64::MAX, now);
    list.record_terminated(&crash(1).upstream, u64::MAX, now);
    list.record_terminated(&crash(3).upstream, u64::MAX, now);
    assert!(!refused(&list, 1, now));
    assert!(list.record_answer(digest(1)).is_some());
    assert_eq!(list.run_permission(digest(1), now), RunPermission::Free);
}

/// An upstream that has ended closes whatever is sent to it, which is not the fault of that.
#[test]
fn later_breaks_blame_nobody() {
    let (mut list, now) = (PoisonList::default(), Instant::now());
    broke_off(&mut list, 1, 1, now);
    let later = now + SECOND / 4;
    assert!(
        list.record_run_disconnect(digest(2), crash(1), later, later)
            .is_none()
    );
    // What ran there already when it broke off may be the cause as well.
    let sent_at = now.checked_sub(SECOND).expect("after the boot");
    let running = list.record_run_disconnect(digest(3), crash(1), sent_at, later);
    assert!(running.is_some());
    list.record_terminated(&crash(1).upstream, u64::MAX, later);
    assert!(list.get(digest(2)).is_none());
}

/// Only starts that were there before the one that is known now have ended.
#[test]
fn other_starts_stay_open() {
    let (mut list, now) = (PoisonList::default(), Instant::now());
    for started_at_ms in [5, 9] {
        let start = UpstreamStart {
            started_at_ms,
            ..crash(1)
        };
        list.record_run_disconnect(digest(1), start, now, now);
    }
    let news = list.record_terminated(&crash(1).upstream, 9, now);
    let blames: Vec<_> = news[0].crashes.values().copied().collect();
    assert_eq!(blames, [CrashStatus::Counted, CrashStatus::Unconfirmed]);
}

#[test]
fn doubt_lapses() {
    let (mut list, now) = (PoisonList::default(), Instant::now());
    for number in 1..=3 {
        broke_off(&mut list, number, 1, now);
    }
    let later = now + UNCONFIRMED_TIMEOUT;
    assert_eq!(list.run_permission(digest(1), later), RunPermission::Free);
    list.record_crash(digest(2), crash(9), later);
    assert!(list.get(digest(1)).is_none());
}

fn suspects() -> impl Strategy<Value = Vec<Suspect>> {
    let blame = prop_oneof![
        Just(CrashStatus::Unconfirmed),
        Just(CrashStatus::Counted),
        Just(CrashStatus::Explained),
        Just(CrashStatus::Cleared)
    ];
    let crashes = proptest::collection::btree_map(0_u64..6, blame, 1..4);
    let one = (0_u8..4, crashes).prop_map(|(number, crashes)| Suspect {
        digest: digest(number),
        crashes: crashes
            .into_iter()
            .map(|(n, blame)| (crash(n), blame))
            .collect(),
        runs: BTreeMap::new(),
    });
    proptest::collection::vec(one, 0..12)
}

proptest! {
    /// Whoever hears the same, in whatever order and however often, knows the same.
    #[test]
    fn joined_in_any_order(told in suspects(), seed in 0_usize..100) {
        let now = Instant::now();
        let (mut one, mut other) = (PoisonList::default(), PoisonList::default());
        one.merge(told.clone(), now);
        let mut turned = told.clone();
        turned.rotate_left(seed % told.len().max(1));
        turned.reverse();
        for suspect in turned.iter().chain(&told) {
            other.merge([suspect.clone()], now);
        }
        let known = |list: &PoisonList| -> BTreeMap<RequestDigest, Suspect> {
            let all = list.suspects(1).into_iter();
            all.map(|suspect| (suspect.digest, suspect)).collect()
        };
        prop_assert_eq!(known(&one), known(&other));
    }
}
