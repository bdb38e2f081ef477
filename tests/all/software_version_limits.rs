//! Software versions of streams at the limits: fleets in which an instance seldom writes, more streams than an
//! instance remembers, long names, clocks that go back, and other versions that callers and engines name.

use crate::cluster::{self, until};
use crate::dispatcher_queries::test_bed_of;
use crate::holder_link::{PlayedHolder, subscription};
use crate::scripted_store::heartbeat;
use crate::software_versions::{BrokenStream, STREAMS, engine, new_id, send, slow_down, versions};
use crate::split_history::table;
use passway_instance::relay::FEED_COUNT;
use passway_instance::versions::Versions;
use passway_serving::splits::StreamOrigin;
use passway_serving::upstreams::ListedStart;
use passway_serving::versions::{IdentifiedStart, StreamKey};
use passway_standins::platform::model_server::Faults;
use passway_types::prelude::*;
use passway_wire::Body;
use passway_wire::message::Updates;
use serde_json::json;
use std::collections::BTreeSet;

/// Instances of the largest fleet that is asked about.
const LARGE_FLEET: u32 = 320;
/// Streams that one instance of it delivers whole before those that break off.
const WHOLE_STREAMS: usize = 150;
const SMALL_FLEET: u32 = 7;
/// Twice the time in which a stream of the large fleet should be recorded.
const RECORDING_TIME: Duration = Duration::from_secs(2);
/// An instance with free engines that have the model serves within this time.
const SERVING_TIME: Duration = Duration::from_millis(200);
/// Most streams that an instance remembers.
const MAX_STREAMS: usize = 20_000;

/// Counts the broken streams of an instance that go on at another one, in a fleet of `instances` whose
/// holder is played. Before them, the instance delivers `whole_streams`.
fn count_going_on_elsewhere(instances: u32, whole_streams: usize) -> usize {
    let store = cluster::store(&["m0"]);
    let holder = PlayedHolder::begin(&store);
    let engines = [engine(&store, "i-0", "v1"), engine(&store, "i-1", "v2")];
    let first = cluster::start_ready("one", &store);
    let (link, mut reader) = holder.accept();
    assert!(subscription(&mut reader).is_some());
    let message = Updates {
        instances,
        ..heartbeat(Instant::now(), FEED_COUNT)
    };
    link.send(Body::Updates(message)).expect("sent");
    std::thread::sleep(Duration::from_millis(300));
    for _ in 0..whole_streams {
        assert_eq!(send(&first, &new_id(), "").status, 200);
    }
    slow_down(&[&engines[0], &engines[1]]);
    let streams = BrokenStream::begin_many(&first);
    std::thread::sleep(RECORDING_TIME);
    let second = cluster::start_ready("two", &store);
    let went_on = streams.iter().filter(|stream| {
        let rest = stream.take_up(&second);
        println!("{}", rest.status);
        stream.goes_on_with(&rest)
    });
    went_on.count()
}

/// In a large fleet an instance records 16 streams a second, also those that were delivered whole. Streams
/// of an instance that gets more of them were not recorded in time, and refused elsewhere.
#[test]
fn recorded_beside_whole_streams() {
    let count = count_going_on_elsewhere(LARGE_FLEET, WHOLE_STREAMS);
    assert!(count >= STREAMS / 2, "{count} of {STREAMS} go on");
}

/// The same in a small fleet, and in a large one with nothing to record before.
#[test]
fn recorded_in_time() {
    for (instances, whole_streams) in [(SMALL_FLEET, WHOLE_STREAMS), (LARGE_FLEET, 0)] {
        let count = count_going_on_elsewhere(instances, whole_streams);
        assert!(count >= STREAMS / 2, "{count} of {STREAMS}, {instances}");
    }
}

/// A stream under way was forgotten for streams that were delivered whole.
#[test]
fn stream_under_way_remembered() {
    let known = Versions::default();
    known.apply_routes(&table(&[("/chat/", "engines")]));
    let service: ServiceName = "engines".into();
    let start = IdentifiedStart::by_entry(&ListedStart {
        started_at_ms: 1,
        software: Some("v1".into()),
    });
    let begin = |id: &str| {
        let origin = StreamOrigin {
            host: "h".into(),
            path: "/chat/".into(),
            attempt: Some(id.into()),
        };
        known.stream_began(origin.clone(), &service, &"i-0".into(), &start, None, false);
        origin
    };
    let under_way = begin("under way");
    for number in 0..MAX_STREAMS {
        let id = number.to_string();
        begin(&id);
        known.stream_delivered(StreamKey::new(&service, &id).expect("a key"));
    }
    let proven = known.prove(&under_way, Instant::now());
    assert!(proven.is_ok(), "{proven:?}");
}

fn streams_of_named_versions_go_on(names: [&str; 2]) {
    let test_bed = test_bed_of(cluster::store(&["m0"]), names, &[None]);
    slow_down(&[&test_bed.servers[0], &test_bed.servers[1]]);
    let streams = BrokenStream::begin_many(&test_bed.instance);
    let went_on = streams.iter().filter(|stream| {
        let rest = stream.take_up(&test_bed.instance);
        stream.goes_on_with(&rest)
    });
    assert_eq!(went_on.count(), STREAMS);
}

/// Versions with long names in queries to dispatchers.
#[test]
fn long_names_go_on() {
    let long = "v".repeat(2_000);
    streams_of_named_versions_go_on([&format!("{long}1"), &format!("{long}2")]);
}

/// Versions whose names have spaces, slashes and other letters.
#[test]
fn unusual_names_go_on() {
    streams_of_named_versions_go_on(["v1 / \u{fc}\u{1f600}%00", "v1 /"]);
}

/// The clock of an engine's machine was set back, so that the engine's new start seemed to be an older one.
/// Its entry was left out, and nothing was sent to it any more.
#[test]
fn start_after_a_clock_that_went_back() {
    let store = cluster::store(&["m0"]);
    let server = engine(&store, "i-0", "v1");
    let entry = store.get("servers/i-0").expect("an entry");
    let mut entry: serde_json::Value = serde_json::from_slice(&entry).expect("an entry");
    let born = entry["born"].as_u64().expect("a start");
    entry["born"] = json!(born + 60_000);
    store.put("servers/i-0", &entry);
    let instance = cluster::start("one", &store);
    until("an upstream", || instance.known_upstream_count() == 1);
    server.publish_entry("ready");
    until("a stream", || send(&instance, &new_id(), "").status == 200);
}

/// The entry of an earlier process whose clock went ahead comes from an older copy of the store: what the
/// present process writes does not go on at, or as, the version in that entry.
#[test]
fn old_entry_after_a_clock_that_went_back() {
    let store = cluster::store(&["m0"]);
    let server = engine(&store, "i-0", "v2");
    let slow = engine(&store, "i-1", "v1");
    slow_down(&[&server, &slow]);
    let instance = cluster::start_ready("one", &store);
    let begin = |instance: &_| {
        let mut begun = Vec::new();
        until("streams of both versions", || {
            begun.extend(BrokenStream::try_begin(instance, &new_id()));
            let begun = begun.iter();
            let versions: BTreeSet<_> = begun
                .map(|one: &BrokenStream| one.software.clone())
                .collect();
            versions.len() == 2
        });
        begun
    };
    let mut streams = begin(&instance);
    let entry = store.get("servers/i-0").expect("an entry");
    let mut old: serde_json::Value = serde_json::from_slice(&entry).expect("an entry");
    old["born"] = json!(old["born"].as_u64().expect("a start") + 60_000);
    old["version"] = json!("v1");
    for _ in 0..3 {
        store.put("servers/i-0", &old);
        std::thread::sleep(Duration::from_millis(200));
        streams.extend((0..4).filter_map(|_| BrokenStream::try_begin(&instance, &new_id())));
        server.publish_entry("ready");
        streams.extend(begin(&instance));
    }
    let went_on = streams.iter().filter(|stream| {
        let rest = stream.take_up(&instance);
        stream.goes_on_with(&rest)
    });
    assert!(went_on.count() > 0);
}

/// A caller that asked for another version of the weights made engines count as if they lacked the model, and
/// other callers of the model waited or were refused.
#[test]
fn other_weights_asked_for() {
    let store = cluster::store(&["m0"]);
    let _engine = engine(&store, "i-0", "v1");
    let instance = cluster::start_ready("one", &store);
    let serve = || {
        let began_at = Instant::now();
        let status = send(&instance, &new_id(), "").status;
        (status, began_at.elapsed())
    };
    let usual: Vec<_> = (0..STREAMS).map(|_| serve()).collect();
    let beside: Vec<_> = (0..STREAMS)
        .map(|_| {
            let refused = send(&instance, &new_id(), "Expect-Version: 9\r\n");
            assert_eq!(refused.status, 421);
            serve()
        })
        .collect();
    println!("usual {usual:?}, beside {beside:?}");
    let in_time = |served: &[(u16, Duration)]| {
        let in_time = served
            .iter()
            .filter(|(status, took)| *status == 200 && *took < SERVING_TIME);
        in_time.count()
    };
    assert!(in_time(&usual) >= STREAMS * 3 / 4, "{usual:?}");
    assert!(in_time(&beside) >= STREAMS * 3 / 4, "{beside:?}");
}

/// Streams of two versions with the same name in other letters are streams of two versions.
#[test]
fn names_that_differ_by_case() {
    let store = cluster::store(&["m0"]);
    let engines = [engine(&store, "i-0", "v1"), engine(&store, "i-1", "V1")];
    for server in &engines {
        server.set_faults(Faults {
            event_delay: Duration::from_millis(40),
            ..Faults::default()
        });
    }
    let instance = cluster::start_ready("one", &store);
    until("both versions", || {
        (0..6)
            .flat_map(|_| versions(&send(&instance, &new_id(), "")))
            .collect::<BTreeSet<_>>()
            .len()
            == 2
    });
    let streams = BrokenStream::begin_many(&instance);
    std::thread::sleep(Duration::from_secs(1));
    let second = cluster::start_ready("two", &store);
    let went_on = streams.iter().filter(|stream| {
        let rest = stream.take_up(&second);
        stream.goes_on_with(&rest)
    });
    assert_eq!(went_on.count(), STREAMS);
}
