//! Upstreams that signal in their answers that they leave get no new requests from instances that
//! have received the signal.

use crate::cluster::{self, fetch, list_plain, request, stream, until};
use crate::scrape::metrics;
use crate::signalling::{SignallingAnswer, SignallingServer};
use passway_instance::Instance;
use passway_standins::platform::documents::plain_entry;
use passway_standins::platform::model_server::{Faults, ModelServer};
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;

/// After this time an upstream without an entry is removed.
const REMOVAL_DELAY: Duration = Duration::from_secs(4);
/// Within this time an instance receives an entry.
const PROPAGATION_DELAY: Duration = Duration::from_secs(1);

fn leaving_signal(status: u16) -> SignallingAnswer {
    SignallingAnswer::with_line(status, "Server-Leaving: 1")
}

/// Instances before servers that are all listed as ready.
fn start(servers: &[&SignallingServer], names: &[&str]) -> (MetadataStandIn, Vec<Instance>) {
    let store = cluster::store(&[]);
    for (number, server) in servers.iter().enumerate() {
        list_plain(&store, &format!("i-{number}"), server.address(), "ready");
    }
    let instances = names.iter().map(|name| cluster::start_ready(name, &store));
    let instances = instances.collect();
    (store, instances)
}

/// Sends `count` requests, one after another; returns their statuses.
fn send(instance: &Instance, path: &str, id_prefix: &str, count: usize) -> Vec<u16> {
    let statuses = (0..count).map(|number| {
        let bytes = request("GET", path, &format!("{id_prefix}{number}"), "", "");
        let answer = fetch(instance.callers_address(), &bytes);
        answer.expect("an answer").status
    });
    statuses.collect()
}

/// Guards against requests to an engine seconds after it signalled in an answer that it leaves.
/// Only its entry was read, which did not show that yet because the store was not reachable.
#[test]
fn leaving_signal_in_answer() {
    let (leaving, staying) = (SignallingServer::start(), SignallingServer::start());
    let (_store, instances) = start(&[&leaving, &staying], &["one"]);
    for (path, ids) in [("/read/", "read"), ("/pay/", "pay")] {
        leaving.set_answer(SignallingAnswer::plain());
        let count_before = leaving.count();
        leaving.set_answer(leaving_signal(200));
        let statuses = send(&instances[0], path, ids, 60);
        assert!(statuses.iter().all(|status| *status == 200));
        assert!(
            leaving.count() <= count_before + 1,
            "{} more",
            leaving.count() - count_before
        );
    }
}

/// The signal applies in any answer: a refusal, a failure, and for requests that may run only once.
#[test]
fn leaving_signal_in_any_answer() {
    for status in [200, 404, 429, 500, 503] {
        let (leaving, staying) = (SignallingServer::start(), SignallingServer::start());
        let (_store, instances) = start(&[&leaving, &staying], &["one"]);
        leaving.set_answer(leaving_signal(status));
        send(&instances[0], "/read/", "id", 40);
        assert_eq!(leaving.count(), 1, "{status}");
    }
}

/// The signal is in the head of a stream, and the stream continues to its end.
#[test]
fn leaving_signal_on_stream() {
    let store = cluster::store(&["m0"]);
    let engine = |id| ModelServer::start(&store, id, "engines", 2, &["m0"], &[]);
    let (leaving, staying) = (engine("i-0"), engine("i-1"));
    let instance = cluster::start_ready("one", &store);
    leaving.set_faults(Faults {
        is_leaving: true,
        ..Faults::default()
    });
    for number in 0..30 {
        let answer = stream(
            instance.callers_address(),
            "chat",
            &format!("id{number}"),
            "m0",
        );
        assert_eq!((answer.status, answer.is_complete), (200, true));
    }
    assert!(
        leaving.executed_ids().len() <= 1,
        "{:?}",
        leaving.executed_ids()
    );
    assert!(staying.executed_ids().len() >= 29);
}

/// One instance receives the signal, and no instance sends anything more.
#[test]
fn leaving_reaches_all_instances() {
    let (leaving, staying) = (SignallingServer::start(), SignallingServer::start());
    let (store, instances) = start(&[&leaving, &staying], &["one", "two", "three"]);
    leaving.set_answer(leaving_signal(200));
    send(&instances[0], "/read/", "first", 40);
    assert_eq!(leaving.count(), 1);
    until("the signal at all instances", || {
        instances.iter().all(knows_leaving)
    });
    // A later instance is informed when it connects.
    let later = cluster::start_ready("four", &store);
    until("the signal at the later instance", || knows_leaving(&later));
    for instance in instances.iter().chain([&later]) {
        send(instance, "/read/", "then", 20);
    }
    assert_eq!(leaving.count(), 1);
}

fn knows_leaving(instance: &Instance) -> bool {
    metrics(instance).contains("\npassway_instance_leaving_upstreams 1\n")
}

/// While the store is not reachable, entries expire and come back without the signal. Only a new
/// start of the upstream under the same id gets requests again.
#[test]
fn leaving_is_final_for_a_start() {
    let (leaving, staying) = (SignallingServer::start(), SignallingServer::start());
    let (store, instances) = start(&[&leaving, &staying], &["one"]);
    leaving.set_answer(leaving_signal(200));
    send(&instances[0], "/read/", "first", 40);
    assert_eq!(leaving.count(), 1);
    store.remove("servers/i-0");
    std::thread::sleep(REMOVAL_DELAY);
    list_plain(&store, "i-0", leaving.address(), "ready");
    std::thread::sleep(PROPAGATION_DELAY);
    send(&instances[0], "/read/", "back", 40);
    assert_eq!(leaving.count(), 1);
    leaving.set_answer(SignallingAnswer::plain());
    let mut entry = plain_entry(leaving.address());
    entry["born"] = 5.into();
    store.put("servers/i-0", &entry);
    until("requests to the new start", || {
        send(&instances[0], "/read/", "new", 5);
        leaving.count() > 1
    });
}

/// If only the leaving upstream has the model, the model is loaded on another one although no entry
/// shows the leaving.
#[test]
fn model_loads_elsewhere() {
    let store = cluster::store(&["m0"]);
    let engine =
        |id, models: &[&str]| ModelServer::start(&store, id, "engines", 2, models, &["m0"]);
    let (leaving, staying) = (engine("i-0", &["m0"]), engine("i-1", &[]));
    let instance = cluster::start_ready("one", &store);
    until("the leadership", || instance.fence().is_some());
    leaving.set_faults(Faults {
        is_leaving: true,
        ..Faults::default()
    });
    for number in 0..20 {
        let id = format!("id{number}");
        let answer = stream(instance.callers_address(), "chat", &id, "m0");
        assert_eq!(answer.status, 200, "{number}");
    }
    // The upstream's reports carry the signal as well, so it may get no request at all.
    assert!(leaving.executed_ids().len() <= 1);
    assert!(staying.executed_ids().len() >= 19);
}
