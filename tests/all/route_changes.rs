//! Routes that change their services while streams are under way, and instances that know nothing of it.

use crate::cluster::{self, until};
use crate::software_version_review::{assert_not_joined, routed_configuration, two_services};
use crate::software_versions::{BrokenStream, STREAMS, new_id, send, versions};
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;

/// Time in which the list names new splits and streams are recorded.
const RECORDING_TIME: Duration = Duration::from_secs(1);

/// Begins streams at the first service, gives the route these services, and loses the instance. Returns the
/// streams.
fn begin_and_lose(store: &MetadataStandIn, services: &[&str]) -> Vec<BrokenStream> {
    let instance = cluster::start_ready("one", store);
    let streams = BrokenStream::begin_many(&instance);
    store.put("op/config", &routed_configuration(2, services));
    until("the new service", || {
        versions(&send(&instance, &new_id(), "")).contains("v7")
    });
    std::thread::sleep(RECORDING_TIME);
    streams
}

/// A route was split, and all instances were lost: an instance that had just started took the streams for
/// those of the services that the route chooses now.
#[test]
fn split_before_loss() {
    let (store, _engines) = two_services(&["engines"]);
    let streams = begin_and_lose(&store, &["engines", "engines2"]);
    let instance = cluster::start_ready("two", &store);
    let went_on = streams
        .iter()
        .filter(|stream| stream.goes_on_with(&stream.take_up(&instance)));
    assert_eq!(went_on.count(), STREAMS);
}

/// A route was moved, and all instances were lost: an instance that had just started resumed the streams at
/// the new service.
#[test]
fn moved_before_loss() {
    let (store, _engines) = two_services(&["engines"]);
    let streams = begin_and_lose(&store, &["engines2"]);
    let instance = cluster::start_ready("two", &store);
    for stream in &streams {
        let rest = stream.take_up(&instance);
        assert_not_joined(&stream.software, &rest);
        assert_eq!(rest.status, 503);
    }
}

/// A route was moved while no instance ran: the next one resumed its streams at the new service.
#[test]
fn moved_after_loss() {
    let (store, _engines) = two_services(&["engines"]);
    let instance = cluster::start_ready("one", &store);
    let streams = BrokenStream::begin_many(&instance);
    std::thread::sleep(RECORDING_TIME);
    drop(instance);
    store.put("op/config", &routed_configuration(2, &["engines2"]));
    let instance = cluster::start_ready("two", &store);
    for stream in &streams {
        assert_not_joined(&stream.software, &stream.take_up(&instance));
    }
    std::thread::sleep(RECORDING_TIME);
    for stream in &streams {
        assert_not_joined(&stream.software, &stream.take_up(&instance));
    }
}

/// A longer prefix got a route of its own, to another service: streams that began before were resumed there.
#[test]
fn longer_prefix_added() {
    let (store, _engines) = two_services(&["engines"]);
    let mut config = routed_configuration(2, &["engines2"]);
    let mut shorter = config["routes"]
        .as_array()
        .and_then(|routes| routes.iter().find(|route| route["name"] == "chat"))
        .expect("the route")
        .clone();
    shorter["name"] = "shorter".into();
    shorter["prefix"] = "/ch".into();
    shorter["backends"] = serde_json::json!([{"service": "engines", "weight": 1.0}]);
    let mut before = config.clone();
    for (config, kept) in [(&mut before, "none"), (&mut config, "chat")] {
        let routes = config["routes"].as_array_mut().expect("routes");
        routes.retain(|route| route["name"] != "chat" || kept == "chat");
        routes.push(shorter.clone());
    }
    store.put("op/config", &before);
    config["version"] = 3.into();
    let instance = cluster::start_ready("one", &store);
    let streams = BrokenStream::begin_many(&instance);
    store.put("op/config", &config);
    until("the new service", || {
        versions(&send(&instance, &new_id(), "")).contains("v7")
    });
    for stream in &streams {
        assert_not_joined(&stream.software, &stream.take_up(&instance));
    }
}
