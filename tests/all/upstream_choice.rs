//! Which upstream a request goes to.

use passway_serving::upstreams::{
    Choice, ModelWish, Outcome, ResidentModel, UpstreamEntry, UpstreamTable,
};
use passway_types::prelude::*;
use std::collections::BTreeMap;

const COUNT: usize = 6;

fn entry(number: usize, beat: u64) -> UpstreamEntry {
    UpstreamEntry {
        id: format!("i-{number}").into(),
        service: "engines".into(),
        address: ([127, 0, 0, 1], 9).into(),
        hall: "hall0".into(),
        slots: 16,
        draining: false,
        gone_at: None,
        models: vec![ResidentModel {
            name: "m0".into(),
            adapters: Vec::new(),
        }],
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        beat,
    }
}

fn table(now: Instant) -> UpstreamTable {
    let mut table = UpstreamTable::new("hall0".into());
    for number in 0..COUNT {
        table.update(entry(number, 5), now);
    }
    table
}

fn wish() -> ModelWish {
    ModelWish {
        model: "m0".into(),
        adapter: None,
    }
}

/// How often each upstream is chosen over many draws.
fn spread(table: &UpstreamTable, now: Instant) -> BTreeMap<UpstreamId, usize> {
    let mut counts = BTreeMap::new();
    for draw in 0..600_u64 {
        let drawn = draw.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let choice = table.choose(&"engines".into(), Some(&wish()), &[], drawn, now);
        if let Choice::Send { id, .. } = choice {
            *counts.entry(id).or_default() += 1;
        }
    }
    counts
}

#[test]
fn equals_share() {
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
        table.started("i-0", Some(&wish()), now);
        table.ended("i-0", Some(&wish()), Outcome::Failed, now);
    }
    assert!(!spread(&table, now).contains_key("i-0"));
    // It is tried again with time.
    let later = now + Duration::from_secs(20);
    assert!(spread(&table, later).contains_key("i-0"));
}

#[test]
fn silent_is_avoided() {
    let now = Instant::now();
    let mut table = table(now);
    table.started("i-0", Some(&wish()), now);
    let later = now + Duration::from_secs(1);
    assert!(table.is_silent("i-0", later));
    assert!(!spread(&table, later).contains_key("i-0"));
    table.heard("i-0", later);
    assert!(!table.is_silent("i-0", later));
}

#[test]
fn shedding_rests() {
    let now = Instant::now();
    let mut table = UpstreamTable::new("hall0".into());
    table.update(entry(0, 1), now);
    table.started("i-0", Some(&wish()), now);
    table.ended("i-0", Some(&wish()), Outcome::Shed, now);
    let choose = |table: &UpstreamTable, at| table.choose(&"engines".into(), None, &[], 1, at);
    assert_eq!(choose(&table, now), Choice::Full);
    let later = now + Duration::from_millis(100);
    assert!(matches!(choose(&table, later), Choice::Send { .. }));
}

#[test]
fn closing_model_absent() {
    let now = Instant::now();
    let mut table = UpstreamTable::new("hall0".into());
    table.update(entry(0, 1), now);
    table.set_placement("i-0", entry(0, 1).models, vec!["m0".into()]);
    let choice = table.choose(&"engines".into(), Some(&wish()), &[], 1, now);
    assert_eq!(choice, Choice::Absent);
}

#[test]
fn older_word_only_leaves() {
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
