//! Answers to requests that end inside their head or body, from upstreams and from other instances.
//!
//! Guards against a part of an answer that is taken for a whole one, or for one that says that the
//! request has not run.

use crate::cluster::{self, RawServer, fetch, request, until};
use crate::cut_off_cluster::{PlayedPeer, start_behind};
use crate::passed_on_requests::wait_until_passed_on;
use passway_standins::platform::cut_path::PathState;
use passway_standins::platform::model_server::{EVENTS, event};
use passway_standins::platform::raw::{Received, Step};
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes between two places where answers are cut.
const CUT_STEP: usize = 17;
/// Callers that send requests at once.
const CALLERS: usize = 8;
/// Start time that the servers report, in Unix milliseconds.
const BORN_MS: u64 = 1_792_321_983_006;
/// Number of bytes that a server sends of an answer to send all of it: more than any answer has.
const WHOLE: usize = 9_999;

/// A request whose id tells the servers what to answer: the framing, the end of the connection, and how
/// many bytes of the answer to send when the request arrives for the first and for the second time.
#[derive(Debug, Clone, Copy)]
struct Case {
    is_chunked: bool,
    resets: bool,
    cuts: [usize; 2],
}

impl Case {
    fn id(self) -> String {
        let [first, second] = self.cuts;
        let (is_chunked, resets) = (u8::from(self.is_chunked), u8::from(self.resets));
        format!("c-{is_chunked}-{resets}-{first:04}-{second:04}")
    }

    fn of_id(id: &str) -> Self {
        let numbers = id
            .split('-')
            .skip(1)
            .map(|part| part.parse().expect("a number"));
        let numbers: Vec<usize> = numbers.collect();
        let [is_chunked, resets, first, second] = numbers[..] else {
            return Self {
                is_chunked: false,
                resets: false,
                cuts: [WHOLE; 2],
            };
        };
        Self {
            is_chunked: is_chunked > 0,
            resets: resets > 0,
            cuts: [first, second],
        }
    }

    /// The whole answer, of a stream the part after event `last`.
    fn text(self, path: &str, id: &str, last: u64) -> String {
        let body = body(path, last);
        let interim = if self.resets {
            "HTTP/1.1 103 X\r\nLink: </x>\r\n\r\n"
        } else {
            ""
        };
        let head = format!(
            "{interim}HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\nConnection: close\r\n"
        );
        let length = body.len();
        if self.is_chunked {
            let (first, second) = body.split_at(length / 2);
            let [first, second] =
                [first, second].map(|part| format!("{:x}\r\n{part}\r\n", part.len()));
            format!("{head}Transfer-Encoding: chunked\r\n\r\n{first}{second}0\r\n\r\n")
        } else {
            format!("{head}Content-Length: {length}\r\n\r\n{body}")
        }
    }
}

/// The body of the answer at this path, of a stream the part after event `last`.
fn body(path: &str, last: u64) -> String {
    if path.starts_with("/chat/") || path.starts_with("/report/") {
        (last + 1..=EVENTS).map(event).collect()
    } else {
        "0123456789".repeat(12)
    }
}

/// Times that each request has arrived.
type Arrivals = Arc<Mutex<BTreeMap<String, usize>>>;

fn answer(received: &Received, arrivals: &Arrivals) -> Vec<Step> {
    let path = received
        .request_line()
        .split(' ')
        .nth(1)
        .unwrap_or_default();
    if path == "/report" {
        let report = json!({"models": [{"name": "m0", "version": 1}], "born": BORN_MS}).to_string();
        let length = report.len();
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{report}");
        return vec![Step::Send(text.into_bytes()), Step::Close];
    }
    let id = received.header("request-id").unwrap_or_default();
    let case = Case::of_id(id);
    let last = received
        .header("last-event-id")
        .and_then(|text| text.parse().ok());
    let text = case.text(path, id, last.unwrap_or(0));
    let mut arrivals = arrivals.lock().expect("a lock");
    let count = arrivals
        .entry(received.request_line().to_owned())
        .or_default();
    let cut = case
        .cuts
        .get(*count)
        .copied()
        .unwrap_or(WHOLE)
        .min(text.len());
    *count += 1;
    // Pieces of 1 to 7 bytes, so that lines and chunks are split anywhere.
    let pieces = text.as_bytes()[..cut].chunks(1 + cut % 7);
    let pause = Step::Pause(Duration::from_millis(1));
    let mut steps: Vec<Step> = pieces
        .flat_map(|piece| [Step::Send(piece.to_vec()), pause.clone()])
        .collect();
    let is_reset = case.resets && cut < text.len();
    steps.push(if is_reset { Step::Reset } else { Step::Close });
    steps
}

/// A store that lists three plain servers and three engines, which all answer as the requests tell.
fn store(arrivals: &Arrivals) -> MetadataStandIn {
    let store = MetadataStandIn::default();
    let mut configuration = cluster::configuration(1, &["m0"]);
    configuration["routes"][2]["attempts"] = 3.into();
    store.put("op/config", &configuration);
    for number in 0..6 {
        let arrivals = arrivals.clone();
        let server = RawServer::start(move |received| answer(received, &arrivals));
        let service = ["plain", "engines"][number % 2];
        let entry = json!({"service": service, "address": server.address.to_string(), "zone": "hall0",
            "version": "v1", "slots": 64, "state": "ready", "cold_left_ms": 0, "sequence": 1,
            "born": BORN_MS, "models": [{"name": "m0", "version": 1, "adapters": []}]});
        store.put(&format!("servers/i-{number}"), &entry);
    }
    store
}

/// Sends the requests of these cases, and checks each answer.
fn check(address: SocketAddr, cases: &[(&str, Case)]) {
    let next = AtomicUsize::new(0);
    let run = || {
        while let Some((route, case)) = cases.get(next.fetch_add(1, Ordering::Relaxed)) {
            check_case(address, route, *case);
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(run);
        }
    });
}

fn check_case(address: SocketAddr, route: &str, case: Case) {
    let (path, id) = (format!("/{route}/{}", case.id()), case.id());
    let bytes = request("POST", &path, &id, "Model: m0\r\n", &path);
    let answer = fetch(address, &bytes).expect("an answer");
    let is_whole = answer.status == 200 && answer.is_complete && answer.body == body(&path, 0);
    let may_be_whole = case.cuts[0] == WHOLE || route == "read" || route == "chat";
    let must_be_whole = case.cuts[0] == WHOLE;
    let events = (0..=EVENTS).map(|last| (1..=last).map(event).collect::<String>());
    let is_stream = route == "chat" || route == "report";
    let is_broken_stream = is_stream
        && (answer.status, answer.is_complete) == (200, false)
        && events.into_iter().any(|events| events == answer.body);
    let is_visibly_broken = is_broken_stream || answer.status == 502;
    let is_right = if is_whole {
        may_be_whole
    } else {
        is_visibly_broken && !must_be_whole
    };
    assert!(is_right, "{route} {case:?}: {answer:?}");
}

/// Cuts at each [`CUT_STEP`] bytes and inside each empty line, and whole answers.
fn cases() -> Vec<(&'static str, Case)> {
    let mut cases = Vec::new();
    for route in ["read", "pay", "chat", "report"] {
        for (is_chunked, resets) in [(false, false), (false, true), (true, false), (true, true)] {
            let case = |first| Case {
                is_chunked,
                resets,
                cuts: [first, WHOLE],
            };
            let text = case(WHOLE).text(&format!("/{route}/"), &case(WHOLE).id(), 0);
            let empty_lines = text.match_indices("\r\n\r\n");
            let empty_lines = empty_lines.flat_map(|(at, _)| at..at + 4);
            let steps = (0..text.len()).step_by(CUT_STEP);
            let places = steps.chain(empty_lines);
            let places: BTreeSet<usize> = places.chain([text.len() - 1, WHOLE]).collect();
            cases.extend(places.into_iter().map(|place| (route, case(place))));
        }
    }
    cases
}

#[test]
fn cut_by_upstreams() {
    let arrivals = Arrivals::default();
    let store = store(&arrivals);
    let instance = cluster::start_ready("one", &store);
    check(instance.callers_address(), &cases());
}

/// Guards against a stream that looks whole after the second of its runs was cut as well.
#[test]
fn second_run_cut() {
    let arrivals = Arrivals::default();
    let store = store(&arrivals);
    let instance = cluster::start_ready("one", &store);
    until("a retry to spend", || instance.has_spare_retry("engines"));
    let case = |first, second| {
        let cuts = [first, second];
        let resets = second % 2 > 0;
        (
            "chat",
            Case {
                is_chunked: first % 4 > 0,
                resets,
                cuts,
            },
        )
    };
    let firsts = [0, 60, 160, 182, 230];
    let cases = firsts.map(|first| (0..240).step_by(13).map(move |second| case(first, second)));
    let cases: Vec<_> = cases.into_iter().flatten().collect();
    check(instance.callers_address(), &cases);
    let counts = arrivals.lock().expect("a lock");
    assert!(counts.values().any(|count| *count > 1), "no second run");
}

#[test]
fn cut_behind_peer() {
    let arrivals = Arrivals::default();
    let store = store(&arrivals);
    let other = cluster::start_ready("other", &store);
    until("the holder", || other.fence().is_some());
    let (cut, paths) = start_behind("cut", &store, |_| {});
    until("the other instance", || cut.other_instance_count() == 1);
    paths.set(PathState::Reset);
    wait_until_passed_on(&cut);
    check(cut.callers_address(), &cases());
}

#[test]
fn cut_by_peer() {
    let arrivals = Arrivals::default();
    let peers = ["a", "b"].map(|name| {
        let arrivals = arrivals.clone();
        PlayedPeer::start(name, "hall0", move |stream, received| {
            answer_as_peer(stream, received, &arrivals);
        })
    });
    let store = store(&arrivals);
    PlayedPeer::list(&store, &[("a", &peers[0]), ("b", &peers[1])]);
    let (cut, paths) = start_behind("cut", &store, |_| {});
    paths.set(PathState::Reset);
    wait_until_passed_on(&cut);
    check(cut.callers_address(), &cases());
}

fn answer_as_peer(mut stream: TcpStream, received: &[u8], arrivals: &Arrivals) {
    let mut bytes = received.to_vec();
    while !bytes.windows(4).any(|window| window == b"\r\n\r\n") {
        let mut chunk = [0; 4_096];
        let count = stream.read(&mut chunk).expect("a request");
        bytes.extend_from_slice(&chunk[..count]);
    }
    let received = Received {
        number: 0,
        connection: 0,
        arrived_at: Instant::now(),
        readable_at: Instant::now(),
        head: String::from_utf8_lossy(&bytes).into_owned(),
        body: Vec::new(),
    };
    for step in answer(&received, arrivals) {
        match step {
            // The instance may have given the request up.
            Step::Send(bytes) if stream.write_all(&bytes).is_err() => return,
            Step::Pause(duration) => std::thread::sleep(duration),
            Step::Reset => {
                let linger = Some(Duration::ZERO);
                rustix::net::sockopt::set_socket_linger(&stream, linger).expect("set");
            }
            _ => {}
        }
    }
}
