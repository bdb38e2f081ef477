//! Streams beside an instance process that stands still while a second software version joins: those that only it
//! knows, and those that it is asked for once it goes on.

use crate::cluster::{self, Answer, Caller, fetch, request, until};
use passway_standins::platform::model_server::{
    EVENTS, Faults, InitialModels, ModelServer, writers,
};
use passway_standins::platform::process::{InstanceProcess, Output, ProcessConfig};
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;
use rustix::process::Signal;
use std::io::Read;
use std::net::SocketAddr;

const INSTANCES: usize = 3;
const STREAMS: usize = 12;
/// Events that arrive of a stream before it breaks off.
const EVENTS_BEFORE_BREAK: usize = 2;
/// Time in which the other instances would list a version and begin streams there: the holder lists one at once, any other
/// instance after a second.
const JOIN_DURATION: Duration = Duration::from_millis(1_500);
/// Longest time for which a version waits for an instance that stands still.
const MAX_WAIT: Duration = Duration::from_secs(6);
const ONE_MODEL: InitialModels<'static> = InitialModels {
    capacity: 1,
    loaded: &["m0"],
    on_disk: &[],
};

/// Instance processes beside one engine of version v1.
struct Fleet {
    store: MetadataStandIn,
    processes: Vec<InstanceProcess>,
    engines: Vec<ModelServer>,
}

impl Fleet {
    fn start(name: &str) -> Self {
        let store = cluster::store(&["m0"]);
        let address = store.serve();
        let start = |number| {
            InstanceProcess::start(ProcessConfig {
                executable: env!("CARGO_BIN_EXE_passway-instance").into(),
                name: format!("{name}-{number}"),
                store: address,
                grace_s: 8.0,
                arguments: Vec::new(),
                output: Output::Null,
            })
            .expect("an instance")
        };
        let mut fleet = Self {
            processes: (0..INSTANCES).map(start).collect(),
            engines: Vec::new(),
            store,
        };
        fleet.add_engine("v1");
        for process in &fleet.processes {
            until("readiness", || process.readiness_status() == Some(200));
        }
        for number in 0..INSTANCES {
            fleet.await_streams_at(number, "v1");
        }
        fleet
    }

    fn add_engine(&mut self, software: &str) {
        let id = format!("i-{}", self.engines.len());
        let engine = ModelServer::start_with_software(&self.store, &id, software, ONE_MODEL);
        engine.set_faults(Faults {
            event_delay: Duration::from_millis(30),
            ..Faults::default()
        });
        self.engines.push(engine);
    }

    fn address(&self, number: usize) -> SocketAddr {
        self.processes[number].callers_address
    }

    /// Waits until a stream has begun at this version through an instance.
    fn await_streams_at(&self, number: usize, software: &str) {
        let mut probes = 0;
        until("streams begin at a version", || {
            probes += 1;
            let id = format!("probe-{software}-{number}-{probes}");
            let answer = send(self.address(number), &id, "");
            writers(&answer.body)
                .first()
                .is_some_and(|first| first == software)
        });
    }
}

fn stream_request(id: &str, more: &str) -> Vec<u8> {
    request("POST", "/chat/", id, &format!("Model: m0\r\n{more}"), id)
}

fn send(address: SocketAddr, id: &str, more: &str) -> Answer {
    fetch(address, &stream_request(id, more)).expect("an answer")
}

/// A stream of which some events have arrived, over an open connection.
struct BegunStream {
    id: String,
    software: String,
    _caller: Caller,
}

fn begin(address: SocketAddr, id: String) -> BegunStream {
    let mut caller = Caller::connect(address);
    caller.send(&stream_request(&id, ""));
    let (mut received, mut chunk) = (String::new(), [0; 1_024]);
    while writers(&received).len() < EVENTS_BEFORE_BREAK {
        let count = caller
            .stream
            .read(&mut chunk)
            .expect("a part of the answer");
        assert!(count > 0, "{received}");
        received.push_str(&String::from_utf8_lossy(&chunk[..count]));
    }
    BegunStream {
        id,
        software: writers(&received).swap_remove(0),
        _caller: caller,
    }
}

/// What became of a stream that its caller takes up.
#[derive(Debug, PartialEq, Eq)]
enum TakenUp {
    WentOn,
    Refused,
    Joined,
}

fn take_up(address: SocketAddr, stream: &BegunStream) -> TakenUp {
    let BegunStream { id, software, .. } = stream;
    let more = format!("Last-Event-Id: {EVENTS_BEFORE_BREAK}\r\nResumes: {id}\r\n");
    let rest = send(address, &format!("{id}-again"), &more);
    let rest_writers = writers(&rest.body);
    let expected = usize::try_from(EVENTS).expect("a small number") - EVENTS_BEFORE_BREAK;
    if rest.status != 200 {
        TakenUp::Refused
    } else if rest_writers.iter().any(|writer| writer != software) {
        TakenUp::Joined
    } else {
        assert_eq!(rest_writers.len(), expected, "{rest:?}");
        TakenUp::WentOn
    }
}

/// Takes up streams at one instance, all at once.
fn take_up_all(address: SocketAddr, streams: &[BegunStream]) -> Vec<TakenUp> {
    std::thread::scope(|scope| {
        let taken_up = streams
            .iter()
            .map(|stream| scope.spawn(move || take_up(address, stream)));
        let taken_up: Vec<_> = taken_up.collect();
        let ends = taken_up.into_iter();
        ends.map(|end| end.join().expect("a stream taken up"))
            .collect()
    })
}

/// Streams go on elsewhere while the instance at which they began, and which alone knows them, stands still and
/// a second version joins.
fn check_streams_of_stopped(name: &str, stopped: usize) {
    let mut fleet = Fleet::start(name);
    let began = (0..STREAMS).map(|number| begin(fleet.address(stopped), format!("begun-{number}")));
    let streams: Vec<BegunStream> = began.collect();
    fleet.processes[stopped].signal(Signal::STOP);
    fleet.add_engine("v2");
    std::thread::sleep(JOIN_DURATION);
    let other = (stopped + 1) % INSTANCES;
    let taken_up = take_up_all(fleet.address(other), &streams);
    fleet.processes[stopped].signal(Signal::CONT);
    let went_on = taken_up.iter().filter(|end| **end == TakenUp::WentOn);
    assert_eq!(went_on.count(), STREAMS, "{taken_up:?}");
    fleet.await_streams_at(other, "v2");
}

// Guards against streams that are refused because only an instance that stands still knows their version: they had
// no record when a second version joined.
#[test]
fn streams_of_a_stopped_first_instance() {
    check_streams_of_stopped("stopped-first", 0);
}

#[test]
fn streams_of_a_stopped_last_instance() {
    check_streams_of_stopped("stopped-last", INSTANCES - 1);
}

// Guards against streams that are joined from two versions by an instance that stood still when the second version joined,
// and is asked for streams of that version as soon as it goes on.
#[test]
fn woken_instance_joins_no_streams() {
    let mut fleet = Fleet::start("woken");
    fleet.processes[0].signal(Signal::STOP);
    fleet.add_engine("v2");
    fleet.await_streams_at(1, "v2");
    let began = (0..4 * STREAMS).map(|number| begin(fleet.address(1), format!("begun-{number}")));
    let mut streams: Vec<BegunStream> = began.collect();
    streams.retain(|stream| stream.software == "v2");
    assert!(streams.len() >= STREAMS, "{} streams at v2", streams.len());
    fleet.processes[0].signal(Signal::CONT);
    let at_once = take_up_all(fleet.address(0), &streams);
    assert!(!at_once.contains(&TakenUp::Joined), "{at_once:?}");
    let joined = |streams: &[BegunStream]| {
        let ends = take_up_all(fleet.address(0), streams);
        ends.contains(&TakenUp::Joined)
    };
    assert!(
        !joined(&streams),
        "joined by an instance that knows both versions"
    );
}

// Guards against requests that have nowhere to begin while a version waits for an instance that stands still: all servers of
// the version before are leaving.
#[test]
fn no_wait_while_first_version_leaves() {
    let mut fleet = Fleet::start("leaving");
    fleet.processes[INSTANCES - 1].signal(Signal::STOP);
    fleet.engines[0].publish_entry("draining");
    fleet.add_engine("v2");
    let joined_at = Instant::now();
    fleet.await_streams_at(0, "v2");
    assert!(joined_at.elapsed() < MAX_WAIT, "{:?}", joined_at.elapsed());
}
