//! A stream is resumed although no engine of its version has the model at the moment: its caller is
//! told when the load ends, and its request waits for as long as callers accept a gap.

use crate::cluster::{self, Answer, until};
use crate::software_versions::{new_id, send};
use passway_instance::Instance;
use passway_standins::platform::model_server::{InitialModels, ModelServer};
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;

/// An engine that has no model and can load none.
const EMPTY: InitialModels<'static> = InitialModels {
    capacity: 0,
    loaded: &[],
    on_disk: &[],
};
/// Time from the first of two refusals to the second one.
const REFUSAL_INTERVAL: Duration = Duration::from_millis(1_500);

/// A store whose configuration has the model m0; the weight store takes `load_time_s` for it.
fn store_with_load_time(load_time_s: f64) -> MetadataStandIn {
    let store = MetadataStandIn::default();
    let mut document = cluster::configuration(1, &["m0"]);
    document["services"][1]["engine"]["models"][0]["load_time_s"] = load_time_s.into();
    store.put("op/config", &document);
    store
}

fn engine(store: &MetadataStandIn, id: &str, models: InitialModels<'_>) -> ModelServer {
    ModelServer::start_unpublished(store, id, "engines", models, |address| address)
}

fn with_m0() -> InitialModels<'static> {
    InitialModels {
        capacity: 1,
        loaded: &["m0"],
        on_disk: &[],
    }
}

/// Takes a stream of m0 up that began at the only version.
fn take_up(instance: &Instance) -> Answer {
    send(
        instance,
        &new_id(),
        "Last-Event-Id: 2\r\nResumes: begun\r\n",
    )
}

/// Waits until the software version of the engines is listed, so that streams of it are resumed.
fn wait_for_version(instance: &Instance) {
    until("the version", || {
        let answer = take_up(instance);
        answer.header("resume-refused").is_none()
    });
}

fn retry_after_s(answer: &Answer) -> f64 {
    assert_eq!(answer.status, 503);
    let value = answer.header("retry-after").expect("a time");
    value.parse().expect("seconds")
}

// Guards against callers that come back long after the load that their first request caused, since
// each refusal names the whole time of a load.
#[test]
fn second_refusal_gives_rest() {
    let store = store_with_load_time(60.0);
    let empty = engine(&store, "i-0", EMPTY);
    empty.publish_entry("ready");
    empty.listener().crash();
    let instance = cluster::start_ready("one", &store);
    wait_for_version(&instance);
    let first_s = retry_after_s(&take_up(&instance));
    std::thread::sleep(REFUSAL_INTERVAL);
    let second_s = retry_after_s(&take_up(&instance));
    assert!(first_s <= 60.0, "{first_s}");
    let passed_s = first_s - second_s;
    assert!(passed_s >= REFUSAL_INTERVAL.as_secs_f64(), "{passed_s}");
}

// Guards against callers that use up their attempts within seconds, since a refusal beside a crashed
// engine names half a second although the model must be loaded from the weight store.
#[test]
fn crashed_engine_gives_load_time() {
    let store = store_with_load_time(60.0);
    let engines = [("i-0", with_m0()), ("i-1", EMPTY)];
    let engines = engines.map(|(id, models)| engine(&store, id, models));
    for engine in &engines {
        engine.publish_entry("ready");
        engine.listener().crash();
    }
    let instance = cluster::start_ready("one", &store);
    wait_for_version(&instance);
    let refused_s = retry_after_s(&take_up(&instance));
    assert!((30.0..=60.0).contains(&refused_s), "{refused_s}");
}

// Guards against resumed streams that are refused although their model comes within the gap that
// callers accept, four seconds here.
#[test]
fn resumed_stream_waits_for_model() {
    let store = store_with_load_time(3.0);
    let empty = engine(&store, "i-0", EMPTY);
    empty.publish_entry("ready");
    empty.listener().crash();
    let instance = cluster::start_ready("one", &store);
    wait_for_version(&instance);
    let later = engine(&store, "i-1", with_m0());
    let publisher = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(2_500));
        later.publish_entry("ready");
        later
    });
    let began_at = Instant::now();
    let answer = take_up(&instance);
    let took = began_at.elapsed();
    let _engine = publisher.join().expect("an engine");
    assert_eq!(answer.status, 200, "after {took:?}: {answer:?}");
}
