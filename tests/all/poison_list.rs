//! Which requests are blamed for crashes of upstreams, decided without a network.

use passway_serving::poison::{
    Blame, MAX_CRASHES, PoisonList, RequestDigest, Suspect, UpstreamStart,
};
use passway_types::prelude::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

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
        list.crashed(digest(*request), crash(number), now);
    }
}

fn refused(list: &PoisonList, number: u8, now: Instant) -> bool {
    list.refused_for(digest(number), now).is_some()
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
        list.crashed(digest(1), start, now);
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
    assert_eq!(list.refused(), 1);
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
    assert!(list.answered(digest(1)).is_some());
    assert!(list.answered(digest(1)).is_none(), "it is told once");
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
    assert_eq!(list.refused_for(digest(1), now), Some(hour));
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
        list.crashed(named(0), crash(number), now);
    }
    for number in 1..10_000 {
        list.crashed(named(number), crash(1), now + SECOND);
    }
    let kept = list.suspects(1).len();
    assert!((3_072..=4_096).contains(&kept), "{kept}");
    assert!(list.refused_for(named(0), now).is_some(), "the worst stay");
}

fn suspects() -> impl Strategy<Value = Vec<Suspect>> {
    let blame = prop_oneof![
        Just(Blame::Full),
        Just(Blame::Explained),
        Just(Blame::Cleared)
    ];
    let crashes = proptest::collection::btree_map(0_u64..6, blame, 1..4);
    let one = (0_u8..4, crashes).prop_map(|(number, crashes)| Suspect {
        digest: digest(number),
        crashes: crashes
            .into_iter()
            .map(|(n, blame)| (crash(n), blame))
            .collect(),
    });
    proptest::collection::vec(one, 0..12)
}

proptest! {
    /// Whoever hears the same, in whatever order and however often, knows the same.
    #[test]
    fn joined_in_any_order(told in suspects(), seed in 0_usize..100) {
        let now = Instant::now();
        let (mut one, mut other) = (PoisonList::default(), PoisonList::default());
        one.join(told.clone(), now);
        let mut turned = told.clone();
        turned.rotate_left(seed % told.len().max(1));
        turned.reverse();
        for suspect in turned.iter().chain(&told) {
            other.join([suspect.clone()], now);
        }
        let known = |list: &PoisonList| -> BTreeMap<RequestDigest, Suspect> {
            let all = list.suspects(1).into_iter();
            all.map(|suspect| (suspect.digest, suspect)).collect()
        };
        prop_assert_eq!(known(&one), known(&other));
    }
}
