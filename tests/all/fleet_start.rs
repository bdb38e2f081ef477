//! What a fleet's start and a hand-over send follows what changes, not how many there are.
//!
//! The load: 300 instances that come to one holder within a second, before 256 engines with three
//! models each. The holder's link carries 20 Mbit/s, 2.5 MB a second, and its lease of 1.2 s is
//! renewed four times: what it sends in a quarter of a second must leave the link free for
//! that. Before, each that came was told to all as the whole list, 430 MB in all, each was told
//! all placements when it connected and when the term began, 19 kB each time, and the right to
//! order changed hands five times in 14 s.

use crate::test_planner::{TestPlanner, entry, resident};
use passway_instance::members::{Addresses, Roster, encode};
use passway_serving::placement::policy::PolicyName;
use passway_serving::placement::{DEFAULT_LOAD_WINDOW, Placement, Planner};
use passway_serving::ports::{Directory, StoredValue};
use passway_serving::upstreams::{UpstreamEntry, UpstreamTable};
use passway_types::prelude::*;
use passway_users_platform::PlatformDirectory;
use prost::Message;
use std::collections::BTreeSet;
use std::net::SocketAddr;

const INSTANCES: u64 = 300;
const ENGINES: u8 = 255;
/// Those that may succeed the holder.
const SUCCESSORS: u64 = 9;
/// Heartbeats within the second in which they come.
const HEARTBEATS: u64 = 4;
/// What the holder's link carries between two renewals.
const MOST_BYTES: usize = 600_000;

fn address(number: u64) -> SocketAddr {
    let [.., high, low] = number.to_be_bytes();
    ([10, 1, high, low], 7_380).into()
}

#[test]
fn members_by_heartbeat() {
    let mut roster = Roster::default();
    let mut members = Addresses::new();
    let (mut bytes, mut most_at_once) = (0, 0);
    for heartbeat in 0..HEARTBEATS {
        let come = INSTANCES / HEARTBEATS;
        for number in heartbeat * come..(heartbeat + 1) * come {
            members.insert(format!("frontend-hall-{number}").into(), address(number));
        }
        let due = roster.due(&members, 0..SUCCESSORS.min((heartbeat + 1) * come));
        let sent = due.len() * encode(&members).encoded_len();
        bytes += sent;
        most_at_once = most_at_once.max(sent);
    }
    assert!(
        most_at_once < MOST_BYTES / 4,
        "{most_at_once} bytes at once"
    );
    assert!(bytes < MOST_BYTES, "{bytes} bytes in all");
    // Nothing has changed, and nobody is told.
    assert_eq!(roster.due(&members, 0..SUCCESSORS), BTreeSet::new());
    // One that may succeed since is told, and so are all once the list has changed.
    assert_eq!(
        roster.due(&members, 0..=SUCCESSORS),
        BTreeSet::from([SUCCESSORS])
    );
    members.remove("frontend-hall-0");
    assert_eq!(roster.due(&members, 0..2), BTreeSet::from([0, 1]));
}

fn engine(number: u8, models: &[&str]) -> UpstreamEntry {
    entry(&format!("i-{number}"), 1, models)
}

fn planner() -> Planner {
    let mut planner = Planner::new(DEFAULT_LOAD_WINDOW, PolicyName::Balanced.build());
    let value = StoredValue {
        key: "op/config".into(),
        value: crate::cluster::configuration(1, &["m0", "m1", "m2"])
            .to_string()
            .into(),
        revision: 1,
    };
    let table = PlatformDirectory.configuration(&value).expect("decoded");
    planner.set_table(&table.expect("a configuration"));
    planner
}

#[test]
fn known_placements_not_sent() {
    let now = Instant::now();
    let entries = || (0..ENGINES).map(|number| engine(number, &["m0", "m1", "m2"]));
    let mut planner = planner();
    planner.begin_term(entries(), &BTreeSet::new(), now);
    assert_eq!(
        planner.take_changed_placements(),
        [],
        "the term's begin tells nothing"
    );
    let mut table = UpstreamTable::new("hall0".into());
    for entry in entries() {
        table.update(entry, now);
    }
    let known = |table: &UpstreamTable| table.placement_digests().collect();
    assert_eq!(planner.placements_differing_from(&known(&table)), []);
    // One engine has changed meanwhile, and one is not known there at all.
    let changed = UpstreamEntry {
        beat: 2,
        ..engine(7, &["m2", "m0"])
    };
    planner.update_engine(changed.clone(), now);
    planner.update_engine(engine(ENGINES, &["m1"]), now);
    let unlike = planner.placements_differing_from(&known(&table));
    let engines: Vec<&str> = unlike.iter().map(|p| &*p.engine).collect();
    assert_eq!(engines, [&*format!("i-{ENGINES}"), "i-7"]);
    // All are told what has changed, once, in whatever order an engine names its models.
    assert_eq!(planner.take_changed_placements().len(), 2);
    let unlike = planner.placements_differing_from(&known(&table));
    assert_eq!(
        unlike.len(),
        2,
        "one that connects later lacks them as before"
    );
    let again = UpstreamEntry {
        beat: 3,
        ..engine(7, &["m0", "m2"])
    };
    planner.update_engine(again, now);
    assert_eq!(planner.take_changed_placements(), [] as [Placement; 0]);
}

/// What a holder before was about to evict is part of what an instance knows.
#[test]
fn stale_eviction_differs() {
    let now = Instant::now();
    let mut planner = planner();
    planner.begin_term([engine(0, &["m0"])].into_iter(), &BTreeSet::new(), now);
    let mut table = UpstreamTable::new("hall0".into());
    table.update(engine(0, &["m0"]), now);
    table.set_placement("i-0", vec![resident("m0")], vec!["m0".into()]);
    let known = table.placement_digests().collect();
    assert_eq!(planner.placements_differing_from(&known).len(), 1);
    table.forget_closing();
    let known = table.placement_digests().collect();
    assert_eq!(planner.placements_differing_from(&known), []);
}

/// Whoever waits for a model is told at once that it has come, and nobody else.
#[test]
fn awaited_told_at_once() {
    let mut planned = TestPlanner::new();
    planned.orders_within_second(passway_serving::ports::OrderAnswer::Taken);
    planned.send_report(false, 0, &["m0"]);
    planned.planner.take_awaited_placements();
    planned.add_waiter("m2");
    planned.orders_within_second(passway_serving::ports::OrderAnswer::Taken);
    assert_eq!(planned.planner.take_awaited_placements(), []);
    planned.send_report(false, 1, &["m0", "m2"]);
    let awaited = planned.planner.take_awaited_placements();
    let told: Vec<_> = awaited
        .iter()
        .map(|(placement, instances)| (&*placement.engine, instances.len()))
        .collect();
    assert_eq!(told, [("i-0", 1)]);
    assert_eq!(planned.planner.take_awaited_placements(), []);
}
