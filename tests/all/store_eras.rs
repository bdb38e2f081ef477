//! Revisions, leases and terms from before the store returned from an older copy.

use crate::cluster;
use passway_serving::leadership::{
    EndCause, Holder, Leadership, LeadershipSettings, ListedLeadership, RecentHolders, Step,
};
use passway_serving::ports::{
    ConditionalWrite, LeaseId, RenewalAnswer, SharedStore, StoreError, StoreRevision, WatchAnswer,
    WriteAnswer,
};
use passway_types::prelude::*;
use passway_users_platform::MetadataStore;
use serde_json::json;

const LEASE_TTL: Duration = Duration::from_millis(1_200);
const HOLDER_GAP: Duration = Duration::from_secs(3);
const NO_WAIT: Duration = Duration::from_millis(20);

fn write(key: &str, expected: StoreRevision, lease: Option<LeaseId>) -> ConditionalWrite {
    ConditionalWrite {
        key: key.into(),
        expected,
        value: Some(b"mine".to_vec()),
        lease,
    }
}

#[test]
fn later_eras_are_newer() {
    let mut revisions = [(1, 5), (0, 900), (2, 1), (0, 0), (1, 4)]
        .map(|(era, number)| StoreRevision::new(era, number));
    revisions.sort();
    let texts = revisions.map(|revision| revision.to_string());
    assert_eq!(texts, ["0", "900", "1:4", "1:5", "2:1"]);
    for revision in revisions {
        assert_eq!(StoreRevision::from_packed(revision.packed()), revision);
        // JSON carries integers of up to 53 bits exactly.
        assert!(revision.fence() < 1 << 53);
    }
    assert!(StoreRevision::new(0, 0).is_none());
    assert!(!StoreRevision::new(1, 0).is_none());
}

/// Guards against a watch that goes on from a number which was given out again.
#[test]
fn watch_ends_with_its_era() {
    let store = cluster::store(&[]);
    let client = MetadataStore::new(store.serve());
    let copy = store.copy();
    store.put("op/lost", &json!(1));
    let known = client.list_page("op/", None).expect("a listing").revision;
    store.return_from(&copy);
    for number in 0..10 {
        store.put("op/other", &json!(number));
    }
    let answer = client.watch("op/", known, NO_WAIT).expect("an answer");
    assert_eq!(answer, WatchAnswer::HistoryCompacted);
    let listing = client.list_page("op/", None).expect("a listing");
    assert!(listing.revision > known);
    assert_eq!(listing.revision.era(), 1);
    assert!(listing.values.iter().all(|value| value.revision.era() == 1));
    let answer = client.watch("op/", listing.revision, NO_WAIT);
    assert!(
        matches!(answer, Ok(WatchAnswer::Changes { .. })),
        "{answer:?}"
    );
}

/// Guards against renewing or ending a lease of another process, whose id was given out again.
#[test]
fn lease_given_out_again() {
    let store = cluster::store(&[]);
    let (client, other) = (
        MetadataStore::new(store.serve()),
        MetadataStore::new(store.serve()),
    );
    let copy = store.copy();
    let lease = client.grant_lease(LEASE_TTL).expect("a lease");
    assert_eq!(client.renew_lease(lease), Ok(RenewalAnswer::Renewed));
    store.return_from(&copy);
    let others = other.grant_lease(LEASE_TTL).expect("a lease");
    assert_eq!((others.number, others.era), (lease.number, lease.era + 1));
    let written = other.write(&[write("passway/x", StoreRevision::NONE, Some(others))]);
    assert!(
        matches!(written, Ok(WriteAnswer::Written(_))),
        "{written:?}"
    );
    assert_eq!(client.renew_lease(lease), Ok(RenewalAnswer::OtherEra));
    assert_eq!(client.end_lease(lease), Ok(()));
    assert!(store.get("passway/x").is_some());
    // A write under the lease is refused without a call.
    let answer = client.write(&[write("passway/y", StoreRevision::NONE, Some(lease))]);
    assert_eq!(answer, Ok(WriteAnswer::Conflict));
}

/// Guards against a conditional write whose condition names a number that was given out again.
#[test]
fn condition_of_an_earlier_era() {
    let store = cluster::store(&[]);
    let client = MetadataStore::new(store.serve());
    let copy = store.copy();
    store.put_bytes("passway/x", b"first");
    let listing = client.list_page("passway/", None).expect("a listing");
    let known = listing.values[0].revision;
    store.return_from(&copy);
    store.put_bytes("passway/x", b"second");
    assert_eq!(store.revision_of("passway/x"), known.number());
    client.list_page("passway/", None).expect("a listing");
    let answer = client.write(&[write("passway/x", known, None)]);
    assert_eq!(answer, Ok(WriteAnswer::Conflict));
    assert_eq!(store.get("passway/x").as_deref(), Some(&b"second"[..]));
}

/// An instance that holds the leadership, with the lease and the revision of its key.
fn holder(now: Instant) -> (Leadership, ListedLeadership) {
    let settings = LeadershipSettings {
        min_lease_ttl: LEASE_TTL,
        holder_gap: HOLDER_GAP,
        has_low_cpu: false,
    };
    let mut leadership = Leadership::new("one".into(), settings, now);
    leadership.observe_listing(&ListedLeadership::default(), now);
    let lease = LeaseId { era: 0, number: 7 };
    let key_revision = StoreRevision::new(0, 40);
    assert!(matches!(leadership.step(0.0, true, now), Step::Wait(_)));
    assert_eq!(leadership.step(0.0, true, now), Step::GrantLease);
    leadership.handle_grant(Ok(lease), now);
    assert_eq!(leadership.step(0.0, true, now), Step::TakeKey(lease));
    let answer: Result<WriteAnswer, StoreError> = Ok(WriteAnswer::Written(key_revision));
    assert_eq!(
        leadership.handle_take(&answer, now),
        Some(key_revision.fence())
    );
    assert!(leadership.fence(now).is_some());
    let listed = ListedLeadership {
        era: 0,
        holder: Some(Holder {
            instance: "one".into(),
            address: ([127, 0, 0, 1], 9).into(),
            fence: key_revision.fence(),
        }),
        key: Some((key_revision, lease)),
        recent: RecentHolders {
            names: vec!["one".into()],
            revision: StoreRevision::new(0, 39),
            ..RecentHolders::default()
        },
    };
    leadership.observe_listing(&listed, now);
    (leadership, listed)
}

/// What a listing in the next era shows if the copy has the key.
fn listed_again(listed: &ListedLeadership) -> ListedLeadership {
    let in_next_era = |revision: StoreRevision| StoreRevision::new(1, revision.number());
    let mut again = ListedLeadership {
        era: 1,
        ..listed.clone()
    };
    again.recent.revision = in_next_era(again.recent.revision);
    again.key = again.key.map(|(revision, lease)| {
        let lease = LeaseId { era: 1, ..lease };
        (in_next_era(revision), lease)
    });
    if let (Some(holder), Some((revision, _))) = (&mut again.holder, again.key) {
        holder.fence = revision.fence();
    }
    again
}

/// Guards against the loss of a term whose key is in the copy, and against a renewal of another
/// era that extends it.
#[test]
fn term_goes_on_with_its_key() {
    let now = Instant::now();
    let (mut leadership, listed) = holder(now);
    let renewed_at = now + LEASE_TTL / 2;
    leadership.handle_renewal(Ok(RenewalAnswer::OtherEra), renewed_at, renewed_at);
    assert_eq!(leadership.fence(now + LEASE_TTL), None, "not extended");
    let fence = leadership.fence(renewed_at);
    assert!(fence.is_some());
    leadership.observe_listing(&listed_again(&listed), renewed_at);
    assert_eq!(leadership.fence(renewed_at), fence);
    let step = leadership.step(0.0, true, renewed_at + LEASE_TTL / 4);
    let lease = LeaseId { era: 1, number: 7 };
    assert_eq!(step, Step::RenewLease(lease));
    leadership.handle_renewal(Ok(RenewalAnswer::Renewed), renewed_at, renewed_at);
    assert_eq!(leadership.fence(now + LEASE_TTL), fence);
}

/// Guards against a holder that goes on although the copy lacks its key, or has it under another
/// lease.
#[test]
fn term_ends_without_its_key() {
    let now = Instant::now();
    let change = |change: fn(&mut ListedLeadership)| {
        let (mut leadership, listed) = holder(now);
        let mut again = listed_again(&listed);
        change(&mut again);
        leadership.observe_listing(&again, now);
        assert_eq!(leadership.fence(now), None);
        let end = leadership.last_term_end().expect("the end of a term");
        assert_eq!(end.cause, EndCause::StoreReturned);
    };
    change(|listed| (listed.holder, listed.key) = (None, None));
    change(|listed| {
        let (revision, lease) = listed.key.expect("a key");
        listed.key = Some((revision, LeaseId { number: 8, ..lease }));
    });
    change(|listed| {
        let (_, lease) = listed.key.expect("a key");
        listed.key = Some((StoreRevision::new(1, 41), lease));
    });
    change(|listed| {
        let holder = listed.holder.as_mut().expect("a holder");
        holder.instance = "two".into();
    });
}

/// Guards against a successor that gives orders while the previous holder relies on a lease which
/// the store has lost.
#[test]
fn successor_waits_out_the_gap() {
    let now = Instant::now();
    let settings = LeadershipSettings {
        min_lease_ttl: LEASE_TTL,
        holder_gap: HOLDER_GAP,
        has_low_cpu: false,
    };
    let (_, listed) = holder(now);
    let mut successor = Leadership::new("two".into(), settings, now);
    successor.observe_listing(&listed, now);
    let empty = ListedLeadership {
        era: 1,
        ..ListedLeadership::default()
    };
    successor.observe_listing(&empty, now);
    let lease = LeaseId { era: 1, number: 1 };
    let mut at = now;
    while successor.step(0.0, true, at) != Step::GrantLease {
        at += Duration::from_millis(50);
        assert!(at < now + HOLDER_GAP, "no attempt to take the key");
    }
    successor.handle_grant(Ok(lease), at);
    assert_eq!(successor.step(0.0, true, at), Step::TakeKey(lease));
    let revision = StoreRevision::new(1, 2);
    let fence = successor.handle_take(&Ok(WriteAnswer::Written(revision)), at);
    let previous = listed.holder.expect("a holder").fence;
    assert!(fence.is_some_and(|fence| fence > previous));
    // The lease of the previous holder may last until then.
    assert_eq!(successor.fence(at), None);
    assert_eq!(successor.fence(now + LEASE_TTL), None);
}
