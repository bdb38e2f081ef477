//! A request that cannot be served in time is refused at once.
//!
//! Guards against useless waits: of 705 rare models 83 were on no engine's disk, and the weight
//! store loaded two in ten seconds. Requests for the others waited 3.6 s for nothing, 311 of 3,705
//! in a day.

use crate::cluster::{self, stream, until};
use passway_instance::Instance;
use passway_serving::halls::AllowedRegions;
use passway_serving::upstreams::{ResidentModel, UpstreamEntry, UpstreamTable};
use passway_standins::platform::model_server::ModelServer;
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;
use std::net::SocketAddr;

/// An instance before an engine that has m0 loaded, m1 on its disk, and not m2; loading from the
/// weight store takes a minute.
fn start() -> (MetadataStandIn, ModelServer, Instance) {
    let store = MetadataStandIn::default();
    let mut document = cluster::configuration(1, &["m0", "m1", "m2"]);
    let models = &mut document["services"][1]["engine"]["models"];
    for model in models.as_array_mut().expect("models") {
        model["load_time_s"] = 60.0.into();
    }
    store.put("op/config", &document);
    let engine = ModelServer::start(&store, "i-0", "engines", 2, &["m0"], &["m1"]);
    let instance = cluster::start_ready("one", &store);
    (store, engine, instance)
}

#[test]
fn refusal_gives_load_time() {
    let (_store, _engine, instance) = start();
    let address = instance.callers_address();
    let answer = stream(address, "chat", "id1", "m2");
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("retry-after"), Some("60.000"));
}

#[test]
fn waits_for_cached_model() {
    let (_store, _engine, instance) = start();
    let address = instance.callers_address();
    assert_eq!(stream(address, "chat", "id1", "m0").status, 200);
    until("the leadership", || instance.fence().is_some());
    until("m1 to be served", || {
        stream(address, "chat", "id2", "m1").status == 200
    });
}

/// A model that was loaded on an engine has left a copy there, whichever source reported it.
#[test]
fn unloaded_model_stays_cached() {
    let (service, m0) = ("engines".into(), "m0".into());
    let mut table = UpstreamTable::new("hall0".into());
    assert!(
        !table.is_cached_nowhere(&service, &m0, &AllowedRegions::ANY, None),
        "before the first entry nothing is known"
    );
    let entry = UpstreamEntry {
        id: "i-0".into(),
        service: service.clone(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        hall: "hall0".into(),
        slots: 8,
        draining: false,
        cold_until: None,
        models: Vec::new(),
        in_memory: Vec::new(),
        on_disk: vec!["m1".into()],
        heartbeat: 1,
        started_at_ms: 1,
        software: "v1".into(),
    };
    table.update(entry, Instant::now());
    assert!(table.is_cached_nowhere(&service, &m0, &AllowedRegions::ANY, None));
    assert!(!table.is_cached_nowhere(&service, &"m1".into(), &AllowedRegions::ANY, None));
    let resident_model = ResidentModel {
        name: m0.clone(),
        adapters: Vec::new(),
    };
    table.set_placement("i-0", vec![resident_model], Vec::new());
    table.set_placement("i-0", Vec::new(), Vec::new());
    assert!(!table.is_cached_nowhere(&service, &m0, &AllowedRegions::ANY, None));
}
