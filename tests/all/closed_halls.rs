//! Halls that a request may not be sent to: those that operators emptied, and those outside the
//! regions allowed by its route or its workspace.

use crate::cluster::{self, fetch, request, settings, start_with, until};
use crate::signalling::SignallingServer;
use passway_serving::halls::AllowedRegions;
use passway_serving::ports::{Directory, StoreRevision, StoredValue};
use passway_serving::upstreams::{Choice, RequestNeeds, UpstreamEntry, UpstreamTable};
use passway_standins::platform::caller::HOST;
use passway_standins::platform::documents::{
    configuration, plain_entry, with_workspaces, workspace,
};
use passway_standins::platform::store::{Faults, MetadataStandIn};
use passway_types::prelude::*;
use passway_users_platform::PlatformDirectory;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Lists a plain server in a hall.
fn list_in(store: &MetadataStandIn, id: &str, address: SocketAddr, hall: &str) {
    let mut entry = plain_entry(address);
    entry["zone"] = hall.into();
    store.put(&format!("servers/{id}"), &entry);
}

/// Sends requests. Returns how many were served.
fn served(address: SocketAddr, path: &str, requests: usize) -> usize {
    let answers = (0..requests).map(|number| {
        let bytes = request("GET", path, &format!("id{number}"), "", "");
        fetch(address, &bytes).expect("an answer").status
    });
    answers.filter(|status| *status == 200).count()
}

const MANY: usize = 20;

/// Guards against instances that do not read the operators' key for emptied halls: on a day on
/// which a hall was emptied, its upstreams got 209 requests too many.
#[test]
fn emptied_hall_gets_nothing() {
    let store = cluster::store(&[]);
    let (first, second) = (SignallingServer::start(), SignallingServer::start());
    list_in(&store, "i-0", first.address(), "hall0");
    list_in(&store, "i-1", second.address(), "hall1");
    let instance = cluster::start_ready("one", &store);
    let address = instance.callers_address();
    // A key without a value, and the key of an unknown hall, which closes no other hall.
    store.put_bytes("op/evacuate/hall0", b"");
    store.put("op/evacuate/nowhere", &json!({}));
    until("the hall to be closed", || {
        let count_before = first.count();
        served(address, "/read/", MANY);
        first.count() == count_before
    });
    let count_before = first.count();
    assert_eq!(served(address, "/read/", MANY), MANY);
    // The second hall is emptied as well: no server is left, and requests are refused.
    store.put("op/evacuate/hall1", &json!({}));
    until("the second hall to be closed", || {
        served(address, "/pay/", 1) == 0
    });
    assert_eq!(first.count(), count_before);
    store.remove("op/evacuate/hall0");
    until("the hall to be opened again", || {
        served(address, "/pay/", 1) == 1
    });
    let second_before = second.count();
    assert_eq!(served(address, "/read/", MANY), MANY);
    assert_eq!(second.count(), second_before);
}

/// The store refuses the instance's calls after the hall was emptied; the hall stays closed.
#[test]
fn hall_stays_closed_without_store() {
    let store = cluster::store(&[]);
    let (first, second) = (SignallingServer::start(), SignallingServer::start());
    list_in(&store, "i-0", first.address(), "hall0");
    list_in(&store, "i-1", second.address(), "hall1");
    store.put("op/evacuate/hall0", &json!({}));
    let proxy = store.serve_endpoint();
    let instance = start_with(settings("one", proxy.address()));
    until("readiness", || instance.is_ready());
    proxy.set_faults(Faults {
        error_status: Some(503),
        ..Faults::default()
    });
    assert_eq!(served(instance.callers_address(), "/read/", MANY), MANY);
    assert_eq!(first.count(), 0);
}

fn entry(id: &str, hall: &str) -> UpstreamEntry {
    UpstreamEntry {
        service: "plain".into(),
        address: ([127, 0, 0, 1], 9).into(),
        hall: hall.into(),
        slots: 16,
        ..crate::test_planner::entry(id, 1, &[])
    }
}

/// Upstreams in the halls `a0` and `a1` of region `a`, `b0` of region `b`, and `c0` without a known
/// region.
fn table() -> UpstreamTable {
    let regions = [("a0", "a"), ("a1", "a"), ("b0", "b")];
    let regions = regions.map(|(hall, region)| (hall.into(), region.into()));
    let mut table = UpstreamTable::new("a0".into()).with_regions(regions.into());
    for hall in ["a0", "a1", "b0", "c0"] {
        table.update(entry(&format!("i-{hall}"), hall), Instant::now());
    }
    table
}

/// The upstreams that requests with some allowed regions are sent to.
fn chosen(table: &UpstreamTable, allowed: &AllowedRegions) -> BTreeSet<String> {
    let (service, hall) = ("plain".into(), "a0".into());
    let chosen = (0..200).filter_map(|random| {
        let wanted = RequestNeeds {
            service: &service,
            model_ref: None,
            hall: &hall,
            allowed,
            random,
        };
        match table.choose_by(wanted, |_| true, None, Instant::now()) {
            Choice::Send { id, .. } => Some(id.to_string()),
            _ => None,
        }
    });
    let chosen: BTreeSet<String> = chosen.collect();
    for id in ["i-a0", "i-a1", "i-b0", "i-c0", "i-gone"] {
        let is_admitted = table.admits(id, allowed);
        assert!(
            is_admitted || !chosen.contains(id),
            "the admission check accepts {id}"
        );
    }
    chosen
}

fn set(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(ToString::to_string).collect()
}

/// Guards against requests that reach an upstream outside their allowed regions.
#[test]
fn regions_restrict_choice() {
    let mut table = table();
    let only = |names: &[&str]| AllowedRegions::only(names.iter().map(|name| (*name).into()));
    let any = AllowedRegions::ANY;
    assert_eq!(chosen(&table, &any), set(&["i-a0", "i-a1", "i-b0", "i-c0"]));
    assert_eq!(chosen(&table, &only(&["a"])), set(&["i-a0", "i-a1"]));
    assert_eq!(chosen(&table, &only(&["b", "z"])), set(&["i-b0"]));
    // The regions of the route and of the workspace both apply; a region without upstreams serves
    // no request.
    let both = only(&["a", "b"]).intersection(&only(&["b"]));
    assert_eq!(chosen(&table, &both), set(&["i-b0"]));
    assert_eq!(
        chosen(&table, &only(&["a"]).intersection(&only(&["b"]))),
        set(&[])
    );
    assert_eq!(chosen(&table, &only(&["z"])), set(&[]));
    assert!(!table.admits("i-gone", &only(&["a"])));
    assert!(table.admits("i-gone", &any));
    // The same with an emptied hall.
    let now = Instant::now();
    assert!(table.set_evacuated(["a1".into()].into(), now));
    assert!(!table.set_evacuated(["a1".into()].into(), now));
    assert_eq!(chosen(&table, &only(&["a"])), set(&["i-a0"]));
    assert!(
        !table.admits("i-gone", &any),
        "its hall may have been emptied"
    );
}

fn value(document: &Value) -> StoredValue {
    StoredValue {
        key: "op/config".into(),
        value: document.to_string().into_bytes().into(),
        revision: StoreRevision::new(0, 1),
        lease: None,
    }
}

#[test]
fn regions_of_configuration() {
    let mut document = with_workspaces(
        configuration(1, &["m0"]),
        &[workspace("w", &["k"], 0.0), workspace("x", &["l"], 0.0)],
    );
    document["routes"][0]["allowed_regions"] = json!(["a", "b"]);
    document["routes"][1]["allowed_regions"] = json!([]);
    document["tenants"][0]["allowed_regions"] = json!(["b"]);
    let table = PlatformDirectory.decode_configuration(&value(&document));
    let table = table.expect("usable").expect("a configuration");
    let allowed = |path| &table.find(HOST, path).expect("a route").allowed;
    let only = |names: &[&str]| AllowedRegions::only(names.iter().map(|name| (*name).into()));
    assert_eq!(*allowed("/read/"), only(&["a", "b"]));
    assert_eq!(*allowed("/pay/"), AllowedRegions::ANY);
    assert_eq!(*allowed("/chat/"), AllowedRegions::ANY);
    let workspaces = table.workspaces.as_ref().expect("workspaces");
    assert_eq!(
        workspaces.find_by_name("w").expect("w").allowed,
        only(&["b"])
    );
    assert_eq!(
        workspaces.find_by_name("x").expect("x").allowed,
        AllowedRegions::ANY
    );
}
