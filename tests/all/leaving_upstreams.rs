//! Upstreams that say in their answers that they leave get nothing more from whoever has heard it.

use crate::scrape::metrics;
use crate::signalling::{SignallingAnswer, SignallingServer};
use crate::site::{self, ask, list_plain, request, stream, until};
use passway_instance::Instance;
use passway_standins::platform::documents::plain_entry;
use passway_standins::platform::model_server::{Faults, ModelServer};
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;

/// After this an upstream whose entry is missing is forgotten.
const GONE_TIME: Duration = Duration::from_secs(4);
/// Within this an instance has heard of an entry.
const HEARD_TIME: Duration = Duration::from_secs(1);

fn leaves(status: u16) -> SignallingAnswer {
    SignallingAnswer::with_line(status, "Server-Leaving: 1")
}

/// Instances before servers that are all listed as ready.
fn before(servers: &[&SignallingServer], names: &[&str]) -> (MetadataStandIn, Vec<Instance>) {
    let store = site::store(&[]);
    for (number, server) in servers.iter().enumerate() {
        list_plain(&store, &format!("i-{number}"), server.address(), "ready");
    }
    let instances = names.iter().map(|name| site::ready(name, &store));
    let instances = instances.collect();
    (store, instances)
}

/// Sends so many requests, one after the other; their statuses.
fn send(instance: &Instance, path: &str, ids: &str, count: usize) -> Vec<u16> {
    let statuses = (0..count).map(|number| {
        let bytes = request("GET", path, &format!("{ids}{number}"), "", "");
        let answer = ask(instance.callers_address(), &bytes);
        answer.expect("an answer").status
    });
    statuses.collect()
}

/// Requests reached an engine seconds after it had said in an answer that it leaves: its entry, which said
/// nothing yet since the store was away, was all that counted.
#[test]
fn word_in_answer() {
    let (leaving, staying) = (SignallingServer::start(), SignallingServer::start());
    let (_store, instances) = before(&[&leaving, &staying], &["one"]);
    for (path, ids) in [("/read/", "read"), ("/pay/", "pay")] {
        leaving.set_answer(SignallingAnswer::plain());
        let before = leaving.count();
        leaving.set_answer(leaves(200));
        let statuses = send(&instances[0], path, ids, 60);
        assert!(statuses.iter().all(|status| *status == 200));
        assert!(
            leaving.count() <= before + 1,
            "{} more",
            leaving.count() - before
        );
    }
}

/// Whatever an answer is, its word counts: a refusal, a failure, one of a request that may run once.
#[test]
fn word_in_any_answer() {
    for status in [200, 404, 429, 500, 503] {
        let (leaving, staying) = (SignallingServer::start(), SignallingServer::start());
        let (_store, instances) = before(&[&leaving, &staying], &["one"]);
        leaving.set_answer(leaves(status));
        send(&instances[0], "/read/", "id", 40);
        assert_eq!(leaving.count(), 1, "{status}");
    }
}

/// The word stands on a stream's head, and the stream goes on to its end.
#[test]
fn word_on_stream() {
    let store = site::store(&["m0"]);
    let engine = |id| ModelServer::start(&store, id, "engines", 2, &["m0"], &[]);
    let (leaving, staying) = (engine("i-0"), engine("i-1"));
    let instance = site::ready("one", &store);
    leaving.set_faults(Faults {
        leaves: true,
        ..Faults::default()
    });
    for number in 0..30 {
        let answer = stream(
            instance.callers_address(),
            "chat",
            &format!("id{number}"),
            "m0",
        );
        assert_eq!((answer.status, answer.whole), (200, true));
    }
    assert!(leaving.runs().len() <= 1, "{:?}", leaving.runs());
    assert!(staying.runs().len() >= 29);
}

/// One instance hears it, and none sends anything more.
#[test]
fn told_to_all() {
    let (leaving, staying) = (SignallingServer::start(), SignallingServer::start());
    let (store, instances) = before(&[&leaving, &staying], &["one", "two", "three"]);
    leaving.set_answer(leaves(200));
    send(&instances[0], "/read/", "first", 40);
    assert_eq!(leaving.count(), 1);
    until("all know", || instances.iter().all(knows));
    // One that comes later is told when it connects.
    let later = site::ready("four", &store);
    until("it knows", || knows(&later));
    for instance in instances.iter().chain([&later]) {
        send(instance, "/read/", "then", 20);
    }
    assert_eq!(leaving.count(), 1);
}

fn knows(instance: &Instance) -> bool {
    metrics(instance).contains("\npassway_instance_leaving_upstreams 1\n")
}

/// While the store is away entries lapse and come back as they were, without the word; a new start of the
/// upstream under its id is another one.
#[test]
fn final_for_a_start() {
    let (leaving, staying) = (SignallingServer::start(), SignallingServer::start());
    let (store, instances) = before(&[&leaving, &staying], &["one"]);
    leaving.set_answer(leaves(200));
    send(&instances[0], "/read/", "first", 40);
    assert_eq!(leaving.count(), 1);
    store.remove("servers/i-0");
    std::thread::sleep(GONE_TIME);
    list_plain(&store, "i-0", leaving.address(), "ready");
    std::thread::sleep(HEARD_TIME);
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

/// Only the one that leaves has the model: it comes elsewhere although no entry says so.
#[test]
fn model_comes_elsewhere() {
    let store = site::store(&["m0"]);
    let engine =
        |id, models: &[&str]| ModelServer::start(&store, id, "engines", 2, models, &["m0"]);
    let (leaving, staying) = (engine("i-0", &["m0"]), engine("i-1", &[]));
    let instance = site::ready("one", &store);
    until("the right to order", || instance.fence().is_some());
    leaving.set_faults(Faults {
        leaves: true,
        ..Faults::default()
    });
    for number in 0..20 {
        let id = format!("id{number}");
        let answer = stream(instance.callers_address(), "chat", &id, "m0");
        assert_eq!(answer.status, 200, "{number}");
    }
    // Its reports say so too, so that it may get none at all.
    assert!(leaving.runs().len() <= 1);
    assert!(staying.runs().len() >= 19);
}
