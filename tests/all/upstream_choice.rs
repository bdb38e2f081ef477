//! Which upstream a request goes to.

use passway_serving::store_outages::StoreOutages;
use passway_serving::upstreams::{
    Choice, ModelRef, Outcome, ResidentModel, StartFinding, StartReport, UpstreamEntry,
    UpstreamTable,
};
use passway_types::prelude::*;
use std::collections::BTreeMap;

const COUNT: usize = 6;

fn entry(number: usize, heartbeat: u64) -> UpstreamEntry {
    UpstreamEntry {
        id: format!("i-{number}").into(),
        service: "engines".into(),
        address: ([127, 0, 0, 1], 9).into(),
        hall: "hall0".into(),
        slots: 16,
        draining: false,
        cold_until: None,
        models: vec![ResidentModel {
            name: "m0".into(),
            adapters: Vec::new(),
        }],
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        heartbeat,
        started_at_ms: 0,
        software: "v1".into(),
    }
}

fn table(now: Instant) -> UpstreamTable {
    let mut table = UpstreamTable::new("hall0".into());
    for number in 0..COUNT {
        table.update(entry(number, 5), now);
    }
    table
}

fn model_ref() -> ModelRef {
    ModelRef {
        model: "m0".into(),
        adapter: None,
    }
}

/// How often each upstream is chosen over many random numbers.
fn spread(table: &UpstreamTable, now: Instant) -> BTreeMap<UpstreamId, usize> {
    let mut counts = BTreeMap::new();
    for number in 0..600_u64 {
        let random = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let choice = table.choose(&"engines".into(), Some(&model_ref()), &[], random, now);
        if let Choice::Send { id, .. } = choice {
            *counts.entry(id).or_default() += 1;
        }
    }
    counts
}

#[test]
fn equal_upstreams_share_requests() {
    let now = Instant::now();
    let counts = spread(&table(now), now);
    assert_eq!(counts.len(), COUNT);
    assert!(
        counts.values().all(|count| (50..200).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn failing_is_avoided() {
    let now = Instant::now();
    let mut table = table(now);
    for _ in 0..4 {
        table.record_start("i-0", Some(&model_ref()), now);
        table.record_end("i-0", Some(&model_ref()), Outcome::Failed, now);
    }
    assert!(!spread(&table, now).contains_key("i-0"));
    // The upstream is tried again after some time.
    let later = now + Duration::from_secs(20);
    assert!(spread(&table, later).contains_key("i-0"));
}

#[test]
fn silent_is_avoided() {
    let now = Instant::now();
    let mut table = table(now);
    table.record_start("i-0", Some(&model_ref()), now);
    let later = now + Duration::from_secs(1);
    assert!(table.is_silent("i-0", later));
    assert!(!spread(&table, later).contains_key("i-0"));
    table.record_activity("i-0", later);
    assert!(!table.is_silent("i-0", later));
}

/// An upstream that is slow after its start gets the requests for which the others have no free
/// slots, until it is as fast as they are.
#[test]
fn cold_gets_overflow() {
    let now = Instant::now();
    let mut table = table(now);
    let cold = UpstreamEntry {
        cold_until: Some(now + Duration::from_secs(5)),
        ..entry(0, 6)
    };
    table.update(cold, now);
    assert!(!spread(&table, now).contains_key("i-0"));
    for number in 1..COUNT {
        for _ in 0..10 {
            table.record_start(&format!("i-{number}"), Some(&model_ref()), now);
            table.record_activity(&format!("i-{number}"), now);
        }
    }
    assert!(spread(&table, now).contains_key("i-0"));
    let later = now + Duration::from_secs(5);
    for number in 1..COUNT {
        for _ in 0..10 {
            let id = format!("i-{number}");
            table.record_end(&id, Some(&model_ref()), Outcome::Answered, later);
        }
    }
    let counts = spread(&table, later);
    assert!((50..200).contains(&counts["i-0"]), "{counts:?}");
}

#[test]
fn full_after_shedding() {
    let now = Instant::now();
    let mut table = UpstreamTable::new("hall0".into());
    table.update(entry(0, 1), now);
    table.record_start("i-0", Some(&model_ref()), now);
    table.record_end("i-0", Some(&model_ref()), Outcome::Shed, now);
    let choose = |table: &UpstreamTable, at| table.choose(&"engines".into(), None, &[], 1, at);
    assert_eq!(choose(&table, now), Choice::Full);
    let later = now + Duration::from_millis(100);
    assert!(matches!(choose(&table, later), Choice::Send { .. }));
}

#[test]
fn evicting_model_absent() {
    let now = Instant::now();
    let mut table = UpstreamTable::new("hall0".into());
    table.update(entry(0, 1), now);
    table.set_placement("i-0", entry(0, 1).models, vec!["m0".into()]);
    let choice = table.choose(&"engines".into(), Some(&model_ref()), &[], 1, now);
    assert_eq!(choice, Choice::Absent);
}

#[test]
fn older_report_only_marks_leaving() {
    let now = Instant::now();
    let mut table = UpstreamTable::new("hall0".into());
    table.update(entry(0, 5), now);
    let mut older = entry(0, 4);
    older.models.clear();
    assert!(!table.update(older.clone(), now));
    assert_eq!(spread(&table, now).len(), 1);
    older.draining = true;
    assert!(table.update(older, now));
    assert_eq!(spread(&table, now).len(), 0);
}

/// Whether an upstream may be chosen.
fn is_chosen(table: &UpstreamTable, id: &str, now: Instant) -> bool {
    spread(table, now).contains_key(id)
}

#[test]
fn expired_entry_returns() {
    let started_at = Instant::now();
    let second = |count| started_at + Duration::from_secs(count);
    let mut table = table(started_at);
    let mut outages = StoreOutages::default();
    outages.record_failure(second(1));
    outages.record_answer(second(9));
    // Two entries have expired meanwhile; one returns.
    let listed = (2..COUNT).map(|number| entry(number, 6)).collect();
    table.replace_all(listed, outages.removal_at(second(9)), second(9));
    assert!(is_chosen(&table, "i-0", second(10)));
    assert!(is_chosen(&table, "i-1", second(10)));
    // Other instances that learned of the removal must learn of the return.
    assert!(table.update(entry(1, 6), second(10)));
    assert!(table.remove_expired(second(10)).is_empty());
    // The other one is removed when its time is over, whether or not the table was read.
    assert!(!is_chosen(&table, "i-0", second(11)));
    assert!(is_chosen(&table, "i-1", second(30)));
    assert_eq!(table.remove_expired(second(11)), [entry(0, 5)]);
}

#[test]
fn missing_entry_means_removed() {
    let started_at = Instant::now();
    let later = started_at + Duration::from_millis(600);
    let mut table = table(started_at);
    let mut outages = StoreOutages::default();
    // A single failed call is no outage: no entry expires in so short a time.
    outages.record_failure(started_at);
    outages.record_answer(later);
    table.mark_missing("i-0", outages.removal_at(later));
    assert!(!is_chosen(&table, "i-0", later));
    // While the store is unavailable, a missing entry means that the lease expired, not that the
    // upstream was removed.
    outages.record_failure(later);
    let during_outage = later + Duration::from_secs(5);
    table.mark_missing("i-1", outages.removal_at(during_outage));
    assert!(is_chosen(&table, "i-1", during_outage));
    // A leaving upstream gets no new requests in any case.
    let mut leaving = entry(2, 6);
    leaving.draining = true;
    table.update(leaving, later);
    table.mark_missing("i-2", outages.removal_at(during_outage));
    assert!(!is_chosen(&table, "i-2", during_outage));
}

/// An entry with an earlier start counts only once the process has reported that start, at the listed
/// address and after the listed entry had arrived.
#[test]
fn earlier_start_needs_report() {
    let began_at = Instant::now();
    let of_start = |started_at_ms, software: &str| UpstreamEntry {
        started_at_ms,
        software: software.into(),
        ..entry(0, 5)
    };
    let address = entry(0, 5).address;
    let elsewhere = ([127, 0, 0, 1], 10).into();
    let later = began_at + Duration::from_millis(10);
    let reports = [
        (5, address, began_at, StartFinding::Unchanged),
        (5, elsewhere, later, StartFinding::Unchanged),
        (9, address, later, StartFinding::Unchanged),
        (4, address, later, StartFinding::Unchanged),
        (5, address, later, StartFinding::ReplacedByEarlier),
    ];
    for (started_at_ms, address, asked_at, expected) in reports {
        let report = StartReport {
            started_at_ms,
            address,
            asked_at,
        };
        let mut table = UpstreamTable::new("hall0".into());
        table.update(of_start(9, "v2"), began_at);
        assert_eq!(
            table.record_reported_start("i-0", report),
            StartFinding::Unchanged
        );
        // Only the first entry of the start is sent on to other instances.
        assert!(table.update(of_start(5, "v1"), began_at));
        assert!(!table.update(of_start(5, "v1"), began_at));
        assert_eq!(table.listed_start("i-0").started_at_ms, 9);
        assert_eq!(table.record_reported_start("i-0", report), expected);
        let is_replaced = expected == StartFinding::ReplacedByEarlier;
        let software = if is_replaced { "v1" } else { "v2" };
        assert_eq!(table.listed_start("i-0").software, Some(software.into()));
        // Entries of one start that contradict each other prove nothing, in either place.
        table.update(of_start(5, "v3"), later);
        table.update(of_start(9, "v2"), later);
        let newer = StartReport {
            asked_at: later + Duration::from_millis(10),
            ..report
        };
        if table.record_reported_start("i-0", newer) == StartFinding::ReplacedByEarlier {
            assert_eq!(table.listed_start("i-0").software, None);
        }
    }
}

/// An upstream that starts again under its id keeps none of the earlier observations, and reports
/// from before its start are ignored.
#[test]
fn restart_resets_observations() {
    let now = Instant::now();
    let mut table = UpstreamTable::new("hall0".into());
    let previous = entry(0, 40);
    let id = previous.id.clone();
    table.update(previous.clone(), now);
    for _ in 0..4 {
        table.record_start(&id, None, now);
        table.record_end(&id, None, Outcome::Shed, now);
    }
    let chosen = |table: &UpstreamTable| table.choose(&previous.service, None, &[], 0, now);
    assert_eq!(chosen(&table), Choice::Full);
    let restarted = UpstreamEntry {
        draining: false,
        models: Vec::new(),
        heartbeat: 1,
        started_at_ms: 500,
        ..previous.clone()
    };
    assert!(
        table.update(restarted, now),
        "other instances must learn of it"
    );
    let restarted = table.take_restarted();
    let restarted: Vec<_> = restarted.iter().map(|upstream| &upstream.id).collect();
    assert_eq!(restarted, [&id]);
    assert!(matches!(chosen(&table), Choice::Send { .. }));
    let late = UpstreamEntry {
        draining: true,
        heartbeat: 41,
        ..previous.clone()
    };
    assert!(!table.update(late, now), "reported before its start");
    assert!(matches!(chosen(&table), Choice::Send { .. }));
}
