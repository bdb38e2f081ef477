//! Logs of instances on the users' platform: their volume, a reader that does not read,
//! and a request's story out of them.

use crate::cluster::{self, Answer, Caller, fetch, list_plain, plain_server, request, until};
use expect_test::expect;
use passway_ctl::commands::trace;
use passway_process::logging::volume::{LineClass, VolumeBound};
use passway_standins::platform::process::{InstanceProcess, Output, ProcessConfig};
use passway_types::prelude::*;
use std::net::TcpStream;

/// Requests whose lines nobody reads.
const REQUESTS: u32 = 3_000;
/// An id that a head still has room for.
const LONG_ID_BYTES: usize = 12 << 10;
/// What such lines may take: a queue and a batch of 1 MiB each, and what the allocator and a
/// connection need beside them.
const MOST_GROWN_BYTES: usize = 8 << 20;

#[test]
fn ends_come_first() {
    let began_at = Instant::now();
    let mut bound = VolumeBound::new(100, began_at);
    let mut admitted = [0; 2];
    // A storm of 20,000 lines in ten seconds, a tenth of them ends of requests.
    for number in 0..20_000_u64 {
        let now = began_at + Duration::from_micros(number * 500);
        let ends_request = number % 10 == 0;
        let class = if ends_request {
            LineClass::RequestEnd
        } else {
            LineClass::Other
        };
        admitted[usize::from(ends_request)] += u32::from(bound.admit(class, now));
    }
    let [others, ends] = admitted;
    // 100 a second and what two quiet seconds had gathered.
    assert!(others + ends <= 1_200, "{others} and {ends}");
    assert!(ends > 8 * others, "{others} lines beside {ends} ends");
}

/// A storm of requests' lines beside 250 orders a second, as the holder before 256 engines has
/// on a calm day: each order is written, and the lines a second stay bounded.
#[test]
fn decisions_kept() {
    let began_at = Instant::now();
    let mut bound = VolumeBound::new(100, began_at);
    let (mut decisions, mut ends) = (0, 0);
    for number in 0..20_000_u64 {
        let now = began_at + Duration::from_micros(number * 500);
        if number % 8 == 0 {
            decisions += u32::from(bound.admit(LineClass::Decision, now));
        } else {
            ends += u32::from(bound.admit(LineClass::RequestEnd, now));
        }
    }
    assert_eq!(decisions, 2_500);
    assert!((1_100..=1_200).contains(&ends), "{ends}");
    // However many there are, 400 a second and what two quiet seconds had gathered.
    let last = began_at + Duration::from_secs(10);
    let more = (0..20_000).filter(|_| bound.admit(LineClass::Decision, last));
    assert!(more.count() <= 800);
}

/// An instance whose lines nobody reads, beside a plain server; it has answered once.
fn unread(name: &str) -> InstanceProcess {
    let store = cluster::store(&[]);
    let server = plain_server();
    list_plain(&store, "i-0", server.address, "ready");
    let arguments = ["--log-level", "debug", "--log-lines-per-s", "1000000"];
    let program = InstanceProcess::start(ProcessConfig {
        executable: env!("CARGO_BIN_EXE_passway-instance").into(),
        name: name.to_owned(),
        store: store.serve(),
        grace_s: 8.0,
        arguments: arguments.map(str::to_owned).into(),
        output: Output::Unread,
    });
    let program = program.expect("an instance");
    until("a listening instance", || {
        TcpStream::connect(program.callers_address).is_ok()
    });
    let first = request("GET", "/read/", "first", "", "");
    until("a first answer", || {
        is_served(fetch(program.callers_address, &first))
    });
    program
}

/// Sends requests on one connection, whose next request waits for the line about the one
/// before; how many are answered well.
fn serve(program: &InstanceProcess, requests: u32, id: &str) -> u32 {
    let mut caller = Caller::connect(program.callers_address);
    let mut count = 0;
    for number in 0..requests {
        let id = format!("{id}{number}");
        caller.send(&request("GET", "/read/", &id, "", ""));
        count += u32::from(is_served(caller.receive()));
    }
    count
}

fn is_served(answer: Option<Answer>) -> bool {
    answer.is_some_and(|answer| answer.status == 200)
}

#[test]
fn full_pipe_serves() {
    let instance = unread("pipe");
    // Some megabytes of lines, more than a pipe holds, and nobody reads them.
    assert_eq!(serve(&instance, REQUESTS, "p"), REQUESTS);
}

#[test]
fn long_lines_bounded() {
    let instance = unread("long");
    let before_bytes = instance.resident_bytes();
    // Lines carry ids that callers choose.
    let id = "l".repeat(LONG_ID_BYTES);
    assert_eq!(serve(&instance, REQUESTS, &id), REQUESTS);
    let grown_bytes = instance.resident_bytes().saturating_sub(before_bytes);
    assert!(grown_bytes < MOST_GROWN_BYTES, "{grown_bytes}");
}

#[test]
fn story_of_request() {
    let log = r#"
  7.68 front-2 {"at_ms":7600,"message":"lost the right to order","fence":2}
  8.01 front-3 {"at_ms":9100,"message":"holds the right to order","fence":70}
  8.40 front-3 {"at_ms":9500,"message":"order","model":"m1","engine":"e4","action":"Load","answer":"Taken"}
  8.41 front-3 {"at_ms":9510,"message":"order","model":"m2","engine":"e5","action":"Load","answer":"Taken"}
  1.00 front-1 {"at_ms":1000,"message":"configuration in force","version":4}
not a line of ours
  9.90 front-1 {"at_ms":9900,"level":"INFO","target":"t","message":"request ended","request":"r1","model":"m1","adapter":"","status":503,"end":"refused","runs":0}
  9.91 front-1 {"at_ms":9910,"message":"request ended","request":"r2","status":200}
"#;
    let story = trace::story(log, "r1").expect("a story");
    expect![[r#"
        -2.300s front-2                  lost the right to order fence=2
        -0.800s front-3                  holds the right to order fence=70
        -0.400s front-3                  order action=Load answer=Taken engine=e4 model=m1
        +0.000s front-1                  request ended end=refused model=m1 runs=0 status=503
    "#]]
    .assert_eq(&story);
    assert_eq!(trace::story(log, "r3"), None);
}
