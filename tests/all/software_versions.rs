//! What two software versions of an engine write does not fit together: a stream goes on only at the
//! version that began it, and does go on while that version serves.

use crate::cluster::{self, Answer, Caller, fetch, request, until};
use passway_instance::Instance;
use passway_standins::platform::model_server::{
    EVENTS, Faults, InitialModels, ModelServer, writers,
};
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;
use std::collections::BTreeSet;
use std::io::Read;
use std::sync::atomic::{AtomicU64, Ordering};

/// Streams that each test breaks off and takes up again.
pub const STREAMS: usize = 12;
/// Within this time a stream that cannot go on is refused.
pub const REFUSAL_LIMIT: Duration = Duration::from_millis(700);

/// An engine with the model `m0` and this software version.
pub fn engine(store: &MetadataStandIn, id: &str, software: &str) -> ModelServer {
    let models = InitialModels {
        capacity: 1,
        loaded: &["m0"],
        on_disk: &[],
    };
    ModelServer::start_with_software(store, id, software, models)
}

/// Makes engines send their streams slowly, so that callers can leave in the middle.
pub fn slow_down(engines: &[&ModelServer]) {
    for engine in engines {
        engine.set_faults(Faults {
            event_delay: Duration::from_millis(40),
            ..Faults::default()
        });
    }
}

/// Requests a stream with further headers.
pub fn send(instance: &Instance, id: &str, more: &str) -> Answer {
    let headers = format!("Model: m0\r\n{more}");
    let bytes = request("POST", "/chat/", id, &headers, id);
    fetch(instance.callers_address(), &bytes).expect("an answer")
}

/// Requests a stream with further headers and breaks the connection off after some events. Returns
/// their writers; `None` if the request is refused.
pub fn break_off(instance: &Instance, id: &str, more: &str, events: usize) -> Option<Vec<String>> {
    let mut caller = Caller::connect(instance.callers_address());
    let headers = format!("Model: m0\r\n{more}");
    caller.send(&request("POST", "/chat/", id, &headers, id));
    let mut received = String::new();
    let mut chunk = [0; 1_024];
    while writers(&received).len() < events {
        let count = caller.stream.read(&mut chunk).expect("an answer");
        received.push_str(&String::from_utf8_lossy(&chunk[..count]));
        if received.starts_with("HTTP/1.1 503 ") {
            return None;
        }
        assert!(count > 0, "a stream that goes on: {received}");
    }
    Some(writers(&received))
}

/// The id of a further attempt; each attempt of a caller has its own.
pub fn new_id() -> String {
    static ATTEMPTS: AtomicU64 = AtomicU64::new(0);
    format!("again-{}", ATTEMPTS.fetch_add(1, Ordering::Relaxed))
}

/// A stream that broke off at its caller after two events.
pub struct BrokenStream {
    /// The id of the attempt that began it.
    pub id: String,
    /// The version that wrote its events.
    pub software: String,
}

impl BrokenStream {
    /// Requests a stream and breaks the connection off after two events.
    fn begin(instance: &Instance, id: &str) -> Self {
        Self::try_begin(instance, id).expect("a stream that begins")
    }

    /// As [`Self::begin`]; `None` if the request is refused.
    pub fn try_begin(instance: &Instance, id: &str) -> Option<Self> {
        let software = break_off(instance, id, "", 2)?.swap_remove(0);
        Some(Self {
            id: id.to_owned(),
            software,
        })
    }

    pub fn begin_many(instance: &Instance) -> Vec<Self> {
        let streams = (0..STREAMS).map(|number| Self::begin(instance, &format!("begun-{number}")));
        streams.collect()
    }

    /// Takes the stream up as its caller would.
    pub fn take_up(&self, instance: &Instance) -> Answer {
        let headers = format!("Last-Event-Id: 2\r\nResumes: {}\r\n", self.id);
        send(instance, &new_id(), &headers)
    }

    /// Whether the answer is the whole rest of the stream.
    ///
    /// # Panics
    /// If another version wrote it.
    pub fn goes_on_with(&self, rest: &Answer) -> bool {
        let written = writers(&rest.body);
        let is_joined = written.iter().any(|software| *software != self.software);
        assert!(
            !is_joined,
            "began at {}, goes on at {written:?}",
            self.software
        );
        rest.status == 200 && rest.is_complete && written.len() as u64 == EVENTS - 2
    }
}

/// The versions that wrote the events of an answer.
pub fn versions(answer: &Answer) -> BTreeSet<String> {
    writers(&answer.body).into_iter().collect()
}

/// An instance continued a broken stream itself, at an engine of another software version.
#[test]
fn one_answer_one_version() {
    let store = cluster::store(&["m0"]);
    let old = engine(&store, "i-0", "v1");
    let _new = engine(&store, "i-1", "v2");
    let instance = cluster::start_ready("one", &store);
    until("a repeat to spend", || instance.has_spare_retry("engines"));
    for number in 0..STREAMS {
        old.set_faults(Faults {
            cut_after_events: Some(2),
            ..Faults::default()
        });
        let answer = send(&instance, &format!("c{number}"), "");
        assert_eq!(answer.status, 200);
        assert_eq!(versions(&answer).len(), 1, "{}", answer.body);
    }
}

/// A caller whose stream had broken off got the rest from the version that had replaced the first one.
#[test]
fn version_gone_refused() {
    let store = cluster::store(&["m0"]);
    let old = engine(&store, "i-0", "v1");
    let instance = cluster::start_ready("one", &store);
    slow_down(&[&old]);
    let streams = BrokenStream::begin_many(&instance);
    let _new = engine(&store, "i-1", "v2");
    old.publish_entry("draining");
    until("the new version serves alone", || {
        assert!(versions(&streams[0].take_up(&instance)).len() <= 1);
        let is_refused = streams[0].take_up(&instance).status == 503;
        is_refused && versions(&send(&instance, "probe", "")) == BTreeSet::from(["v2".to_owned()])
    });
    for stream in &streams {
        let began_at = Instant::now();
        let rest = stream.take_up(&instance);
        assert!(!stream.goes_on_with(&rest));
        assert_eq!(rest.status, 503);
        assert!(began_at.elapsed() < REFUSAL_LIMIT);
    }
}

/// All instances lost their memory while two versions served; callers that came back got the rest of
/// their streams from either.
#[test]
fn goes_on_at_its_version_after_restarts() {
    let store = cluster::store(&["m0"]);
    let old = engine(&store, "i-0", "v1");
    let new = engine(&store, "i-1", "v2");
    let first = cluster::start_ready("one", &store);
    slow_down(&[&old, &new]);
    let streams = BrokenStream::begin_many(&first);
    let begun_at: BTreeSet<&str> = streams.iter().map(|stream| &*stream.software).collect();
    assert_eq!(begun_at.len(), 2, "both versions begin streams");
    // An instance that has just started knows as little as one that was killed.
    let second = cluster::start_ready("two", &store);
    let went_on = streams.iter().filter(|stream| {
        let rest = stream.take_up(&second);
        stream.goes_on_with(&rest)
    });
    assert_eq!(went_on.count(), STREAMS);
}

/// Many streams were under way when a second version appeared. Their records were more than the store
/// takes in one call, so that no stream of the instance was recorded from then on.
#[test]
fn many_running_streams_recorded() {
    /// More than the 16 records of one call, and fewer than the slots of four engines.
    const RUNNING: usize = 24;
    let store = cluster::store(&["m0"]);
    let old = ["i-0", "i-1", "i-2", "i-3"].map(|id| engine(&store, id, "v1"));
    for engine in &old {
        engine.set_faults(Faults {
            event_delay: Duration::from_millis(600),
            ..Faults::default()
        });
    }
    let first = cluster::start_ready("one", &store);
    let streams: Vec<BrokenStream> = std::thread::scope(|scope| {
        let first = &first;
        let running = (0..RUNNING).map(|number| {
            scope.spawn(move || BrokenStream::begin(first, &format!("running-{number}")))
        });
        let running: Vec<_> = running.collect();
        // All streams have had their first event, and none its second one.
        std::thread::sleep(Duration::from_millis(900));
        let _new = engine(&store, "i-9", "v2");
        let streams = running
            .into_iter()
            .map(|stream| stream.join().expect("a stream"));
        streams.collect()
    });
    slow_down(&old.each_ref());
    let second = cluster::start_ready("two", &store);
    let went_on = streams.iter().filter(|stream| {
        let rest = stream.take_up(&second);
        stream.goes_on_with(&rest)
    });
    assert_eq!(went_on.count(), RUNNING);
}

/// A stream of which no instance knows who began it went on at any version.
#[test]
fn unknown_refused_at_once() {
    let store = cluster::store(&["m0"]);
    let _old = engine(&store, "i-0", "v1");
    let _new = engine(&store, "i-1", "v2");
    let instance = cluster::start_ready("one", &store);
    for resumes in ["Resumes: never-seen\r\n", ""] {
        let began_at = Instant::now();
        let headers = format!("Last-Event-Id: 2\r\n{resumes}");
        let answer = send(&instance, "c1", &headers);
        assert_eq!(answer.status, 503, "{}", answer.body);
        assert!(began_at.elapsed() < REFUSAL_LIMIT);
    }
}

/// One version alone serves: a caller that comes back is served by any instance.
#[test]
fn one_version_goes_on() {
    let store = cluster::store(&["m0"]);
    let only = engine(&store, "i-0", "v1");
    let first = cluster::start_ready("one", &store);
    slow_down(&[&only]);
    let streams = BrokenStream::begin_many(&first);
    let second = cluster::start_ready("two", &store);
    let went_on = streams.iter().filter(|stream| {
        let rest = stream.take_up(&second);
        stream.goes_on_with(&rest)
    });
    assert_eq!(went_on.count(), STREAMS);
}

/// Time in which an instance follows a change in the store and writes its records.
const RECORDING_TIME: Duration = Duration::from_secs(1);

/// Returns the store from a copy that is older than the records of all streams.
fn lose_records(store: &MetadataStandIn, first: &Instance) -> Vec<BrokenStream> {
    let copy = store.copy();
    let streams = BrokenStream::begin_many(first);
    std::thread::sleep(RECORDING_TIME);
    store.return_from(&copy);
    std::thread::sleep(RECORDING_TIME);
    streams
}

/// The store returned from an older copy and lacked the records of streams; an engine started again as
/// another version, which alone was recorded for them then, and all instances lost their memory. The
/// streams went on at the new version.
#[test]
fn restarted_version_after_lost_records() {
    let store = cluster::store(&["m0"]);
    let old = engine(&store, "i-0", "v1");
    let new = engine(&store, "i-1", "v2");
    let first = cluster::start_ready("one", &store);
    slow_down(&[&old, &new]);
    let streams = lose_records(&store, &first);
    old.restart_with_software("v3");
    // The instance chooses the other engine as long as that one is free.
    new.set_faults(Faults {
        backoff_s: Some(0.1),
        ..Faults::default()
    });
    until("the new version serves", || {
        versions(&send(&first, "probe", "")) == BTreeSet::from(["v3".to_owned()])
    });
    std::thread::sleep(RECORDING_TIME);
    let second = cluster::start_ready("two", &store);
    for stream in streams.iter().filter(|stream| stream.software == "v1") {
        let rest = stream.take_up(&second);
        assert!(!stream.goes_on_with(&rest));
    }
}

/// The store returned from an older copy and lacked the records of streams, which their instance knew;
/// once that was gone too, no caller could take them up.
#[test]
fn lost_records_written_again() {
    let store = cluster::store(&["m0"]);
    let old = engine(&store, "i-0", "v1");
    let new = engine(&store, "i-1", "v2");
    let first = cluster::start_ready("one", &store);
    slow_down(&[&old, &new]);
    let streams = lose_records(&store, &first);
    let second = cluster::start_ready("two", &store);
    let went_on = streams.iter().filter(|stream| {
        let rest = stream.take_up(&second);
        stream.goes_on_with(&rest)
    });
    assert_eq!(went_on.count(), STREAMS);
}
