//! The messages at a fleet's start and at a change of the holder depend on what changed, not on the
//! number of instances.
//!
//! Guards against a holder that loses leadership because its link is full. 300 instances connect to
//! one holder within a second, with 256 engines and three models on each. The link carries 20
//! Mbit/s, 2.5 MB a second, and the lease of 1.2 s is renewed four times, so the messages of a
//! quarter of a second must leave the link free. Sending the whole member list to all for each new
//! instance took 430 MB, and all placements were sent at each connection and each term's start, 19
//! kB each time; leadership changed five times in 14 s.

use crate::test_planner::{TestPlanner, entry, resident};
use passway_instance::members::{Addresses, MemberListTracker, encode};
use passway_serving::placement::policy::PolicyName;
use passway_serving::placement::{DEFAULT_LOAD_WINDOW, Placement, Planner};
use passway_serving::ports::{Directory, StoreRevision, StoredValue};
use passway_serving::upstreams::{UpstreamEntry, UpstreamTable};
use passway_types::prelude::*;
use passway_users_platform::PlatformDirectory;
use prost::Message;
use std::collections::BTreeSet;
use std::net::SocketAddr;

const INSTANCES: u64 = 300;
const ENGINES: u8 = 255;
/// Number of candidates.
const CANDIDATES: u64 = 9;
/// Heartbeats within the second in which the instances connect.
const HEARTBEATS: u64 = 4;
/// Bytes that the holder's link carries between two renewals.
const MAX_BYTES: usize = 600_000;

fn address(number: u64) -> SocketAddr {
    let [.., high, low] = number.to_be_bytes();
    ([10, 1, high, low], 7_380).into()
}

#[test]
fn members_by_heartbeat() {
    let mut member_list = MemberListTracker::default();
    let mut members = Addresses::new();
    let (mut bytes, mut max_at_once) = (0, 0);
    for heartbeat in 0..HEARTBEATS {
        let connecting = INSTANCES / HEARTBEATS;
        for number in heartbeat * connecting..(heartbeat + 1) * connecting {
            members.insert(format!("frontend-hall-{number}").into(), address(number));
        }
        let due =
            member_list.due_connections(&members, 0..CANDIDATES.min((heartbeat + 1) * connecting));
        let sent = due.len() * encode(&members).encoded_len();
        bytes += sent;
        max_at_once = max_at_once.max(sent);
    }
    assert!(max_at_once < MAX_BYTES / 4, "{max_at_once} bytes at once");
    assert!(bytes < MAX_BYTES, "{bytes} bytes in all");
    // Nothing has changed, so nothing is sent.
    assert_eq!(
        member_list.due_connections(&members, 0..CANDIDATES),
        BTreeSet::new()
    );
    // A new candidate is sent the list; a changed list is sent to all candidates.
    assert_eq!(
        member_list.due_connections(&members, 0..=CANDIDATES),
        BTreeSet::from([CANDIDATES])
    );
    members.remove("frontend-hall-0");
    assert_eq!(
        member_list.due_connections(&members, 0..2),
        BTreeSet::from([0, 1])
    );
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
        revision: StoreRevision::new(0, 1),
        lease: None,
    };
    let table = PlatformDirectory
        .decode_configuration(&value)
        .expect("decoded");
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
        "nothing is sent at the start of the term"
    );
    let mut table = UpstreamTable::new("hall0".into());
    for entry in entries() {
        table.update(entry, now);
    }
    let known = |table: &UpstreamTable| table.placement_digests().collect();
    assert_eq!(planner.placements_differing_from(&known(&table)), []);
    // One engine has changed meanwhile, and another is not known to the instance at all.
    let changed = UpstreamEntry {
        heartbeat: 2,
        ..engine(7, &["m2", "m0"])
    };
    planner.update_engine(changed.clone(), now);
    planner.update_engine(engine(ENGINES, &["m1"]), now);
    let unlike = planner.placements_differing_from(&known(&table));
    let engines: Vec<&str> = unlike.iter().map(|p| &*p.engine).collect();
    assert_eq!(engines, [&*format!("i-{ENGINES}"), "i-7"]);
    // Changes are sent to all once; the order in which an engine names its models does not matter.
    assert_eq!(planner.take_changed_placements().len(), 2);
    let unlike = planner.placements_differing_from(&known(&table));
    assert_eq!(
        unlike.len(),
        2,
        "an instance that connects later still lacks them"
    );
    let reordered = UpstreamEntry {
        heartbeat: 3,
        ..engine(7, &["m0", "m2"])
    };
    planner.update_engine(reordered, now);
    assert_eq!(planner.take_changed_placements(), [] as [Placement; 0]);
}

/// An eviction that the previous holder planned is part of what an instance knows.
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
    table.clear_evicting();
    let known = table.placement_digests().collect();
    assert_eq!(planner.placements_differing_from(&known), []);
}

/// Only instances with requests that wait for a model learn at once that it is loaded.
#[test]
fn awaited_model_sent_at_once() {
    let mut test_planner = TestPlanner::new();
    test_planner.orders_within_second(passway_serving::ports::OrderAnswer::Taken);
    test_planner.send_report(false, 0, &["m0"]);
    test_planner.planner.take_awaited_placements();
    test_planner.add_waiter("m2");
    test_planner.orders_within_second(passway_serving::ports::OrderAnswer::Taken);
    assert_eq!(test_planner.planner.take_awaited_placements(), []);
    test_planner.send_report(false, 1, &["m0", "m2"]);
    let awaited = test_planner.planner.take_awaited_placements();
    let placements: Vec<_> = awaited
        .iter()
        .map(|(placement, instances)| (&*placement.engine, instances.len()))
        .collect();
    assert_eq!(placements, [("i-0", 1)]);
    assert_eq!(test_planner.planner.take_awaited_placements(), []);
}
