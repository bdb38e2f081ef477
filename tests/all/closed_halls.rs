//! Halls to which a request may not go: those that operators have emptied, and those of other regions than bind its
//! route or its workspace.

use crate::cluster::{self, ask, request, settings, start_with, until};
use crate::saying::SayingServer;
use passway_serving::halls::AllowedRegions;
use passway_serving::ports::{Directory, StoredValue};
use passway_serving::upstreams::{Choice, UpstreamEntry, UpstreamTable, Wanted};
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

/// Asks so many times; how many were served.
fn served(address: SocketAddr, path: &str, requests: usize) -> usize {
    let answers = (0..requests).map(|number| {
        let bytes = request("GET", path, &format!("id{number}"), "", "");
        ask(address, &bytes).expect("an answer").status
    });
    answers.filter(|status| *status == 200).count()
}

const MANY: usize = 20;

/// Nothing read the operators' word on a hall: on a day on which one was emptied its upstreams got 209 requests too
/// many.
#[test]
fn emptied_hall_gets_nothing() {
    let store = cluster::store(&[]);
    let (here, there) = (SayingServer::start(), SayingServer::start());
    list_in(&store, "i-0", here.address(), "hall0");
    list_in(&store, "i-1", there.address(), "hall1");
    let instance = cluster::start_ready("one", &store);
    let address = instance.callers_address();
    // A word without a value, and one on a hall that nobody knows, which closes nothing else.
    store.put_bytes("op/evacuate/hall0", b"");
    store.put("op/evacuate/nowhere", &json!({}));
    until("the word", || {
        let before = here.count();
        served(address, "/read/", MANY);
        here.count() == before
    });
    let before = here.count();
    assert_eq!(served(address, "/read/", MANY), MANY);
    // The second hall while the first is: nothing is left, and callers are refused.
    store.put("op/evacuate/hall1", &json!({}));
    until("the second word", || served(address, "/pay/", 1) == 0);
    assert_eq!(here.count(), before);
    store.remove("op/evacuate/hall0");
    until("it is given back", || served(address, "/pay/", 1) == 1);
    let there_before = there.count();
    assert_eq!(served(address, "/read/", MANY), MANY);
    assert_eq!(there.count(), there_before);
}

/// The store turns the instance away after the word was heard: the hall stays closed.
#[test]
fn closed_while_store_is_away() {
    let store = cluster::store(&[]);
    let (here, there) = (SayingServer::start(), SayingServer::start());
    list_in(&store, "i-0", here.address(), "hall0");
    list_in(&store, "i-1", there.address(), "hall1");
    store.put("op/evacuate/hall0", &json!({}));
    let way = store.serve_way();
    let instance = start_with(settings("one", way.address()));
    until("readiness", || instance.is_ready());
    way.set_faults(Faults {
        refuses: Some(503),
        ..Faults::default()
    });
    assert_eq!(served(instance.callers_address(), "/read/", MANY), MANY);
    assert_eq!(here.count(), 0);
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

/// Upstreams in the halls `a0` and `a1` of region `a`, and `b0` of region `b`, and in `c0` of no known region.
fn table() -> UpstreamTable {
    let regions = [("a0", "a"), ("a1", "a"), ("b0", "b")];
    let regions = regions.map(|(hall, region)| (hall.into(), region.into()));
    let mut table = UpstreamTable::new("a0".into()).with_regions(regions.into());
    for hall in ["a0", "a1", "b0", "c0"] {
        table.update(entry(&format!("i-{hall}"), hall), Instant::now());
    }
    table
}

/// Where requests with some allowed regions go.
fn chosen(table: &UpstreamTable, allowed: &AllowedRegions) -> BTreeSet<String> {
    let (service, hall) = ("plain".into(), "a0".into());
    let chosen = (0..200).filter_map(|drawn| {
        let wanted = Wanted {
            service: &service,
            model_ref: None,
            hall: &hall,
            allowed,
            drawn,
        };
        match table.choose_by(wanted, |_| true, None, Instant::now()) {
            Choice::Send { id, .. } => Some(id.to_string()),
            _ => None,
        }
    });
    let chosen: BTreeSet<String> = chosen.collect();
    for id in ["i-a0", "i-a1", "i-b0", "i-c0", "i-gone"] {
        let admits = table.admits(id, allowed);
        assert!(admits || !chosen.contains(id), "the door lets {id} through");
    }
    chosen
}

fn set(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(ToString::to_string).collect()
}

/// A bound request reached an upstream of any region.
#[test]
fn regions_bind() {
    let mut table = table();
    let only = |names: &[&str]| AllowedRegions::only(names.iter().map(|name| (*name).into()));
    let any = AllowedRegions::ANY;
    assert_eq!(chosen(&table, &any), set(&["i-a0", "i-a1", "i-b0", "i-c0"]));
    assert_eq!(chosen(&table, &only(&["a"])), set(&["i-a0", "i-a1"]));
    assert_eq!(chosen(&table, &only(&["b", "z"])), set(&["i-b0"]));
    // Both the route's and the workspace's bind; a region that no upstream has serves nobody.
    let both = only(&["a", "b"]).and(&only(&["b"]));
    assert_eq!(chosen(&table, &both), set(&["i-b0"]));
    assert_eq!(chosen(&table, &only(&["a"]).and(&only(&["b"]))), set(&[]));
    assert_eq!(chosen(&table, &only(&["z"])), set(&[]));
    assert!(!table.admits("i-gone", &only(&["a"])));
    assert!(table.admits("i-gone", &any));
    // Beside an emptied hall.
    let now = Instant::now();
    assert!(table.set_emptied(["a1".into()].into(), now));
    assert!(!table.set_emptied(["a1".into()].into(), now));
    assert_eq!(chosen(&table, &only(&["a"])), set(&["i-a0"]));
    assert!(!table.admits("i-gone", &any), "it may have stood there");
}

fn value(document: &Value) -> StoredValue {
    StoredValue {
        key: "op/config".into(),
        value: document.to_string().into_bytes().into(),
        revision: 1,
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
    let table = PlatformDirectory.configuration(&value(&document));
    let table = table.expect("usable").expect("a configuration");
    let allowed = |path| &table.find(HOST, path).expect("a route").allowed;
    let only = |names: &[&str]| AllowedRegions::only(names.iter().map(|name| (*name).into()));
    assert_eq!(*allowed("/read/"), only(&["a", "b"]));
    assert_eq!(*allowed("/pay/"), AllowedRegions::ANY);
    assert_eq!(*allowed("/chat/"), AllowedRegions::ANY);
    let workspaces = table.workspaces.as_ref().expect("workspaces");
    assert_eq!(workspaces.named("w").expect("w").allowed, only(&["b"]));
    assert_eq!(
        workspaces.named("x").expect("x").allowed,
        AllowedRegions::ANY
    );
}
