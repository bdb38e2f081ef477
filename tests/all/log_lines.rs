//! Logs of instances on the users' platform: the rate limit, an output that nobody reads, and the
//! trace of a request that `passwayctl` builds from the logs.

use crate::cluster::{self, Answer, Caller, fetch, list_plain, plain_server, request, until};
use expect_test::expect;
use passway_ctl::commands::trace;
use passway_process::logging::rate_limit::{LineClass, LogRateLimit};
use passway_standins::platform::process::{InstanceProcess, Output, ProcessConfig};
use passway_types::prelude::*;
use std::net::TcpStream;

/// Number of requests to an instance whose output nobody reads.
const REQUESTS: u32 = 3_000;
/// Length of a request id that still fits into the maximum size of a request head.
const LONG_ID_BYTES: usize = 12 << 10;
/// Maximum memory growth due to such lines: a queue and a batch of 1 MiB each, and the overhead of
/// the allocator and a connection.
const MAX_GROWTH_BYTES: usize = 8 << 20;

#[test]
fn request_ends_take_precedence() {
    let started_at = Instant::now();
    let mut rate_limit = LogRateLimit::new(100, started_at);
    let mut admitted = [0; 2];
    // 20,000 lines in ten seconds; a tenth of them are about the end of a request.
    for number in 0..20_000_u64 {
        let now = started_at + Duration::from_micros(number * 500);
        let is_request_end = number % 10 == 0;
        let class = if is_request_end {
            LineClass::RequestEnd
        } else {
            LineClass::Other
        };
        admitted[usize::from(is_request_end)] += u32::from(rate_limit.admit(class, now));
    }
    let [others, request_ends] = admitted;
    // 100 lines per second and a burst of two seconds.
    assert!(
        others + request_ends <= 1_200,
        "{others} and {request_ends}"
    );
    assert!(
        request_ends > 8 * others,
        "{others} other lines, {request_ends} request ends"
    );
}

/// Many lines about requests while the holder logs 250 orders per second, its normal rate with 256
/// engines: all orders are logged, and the total rate stays limited.
#[test]
fn decisions_not_displaced() {
    let started_at = Instant::now();
    let mut rate_limit = LogRateLimit::new(100, started_at);
    let (mut decisions, mut request_ends) = (0, 0);
    for number in 0..20_000_u64 {
        let now = started_at + Duration::from_micros(number * 500);
        if number % 8 == 0 {
            decisions += u32::from(rate_limit.admit(LineClass::Decision, now));
        } else {
            request_ends += u32::from(rate_limit.admit(LineClass::RequestEnd, now));
        }
    }
    assert_eq!(decisions, 2_500);
    assert!((1_100..=1_200).contains(&request_ends), "{request_ends}");
    // Decisions are limited to 400 lines per second and a burst of two seconds.
    let ended_at = started_at + Duration::from_secs(10);
    let admitted = (0..20_000).filter(|_| rate_limit.admit(LineClass::Decision, ended_at));
    assert!(admitted.count() <= 800);
}

/// Starts an instance whose output nobody reads, and a plain server behind it. Returns after the
/// instance has answered a request.
fn start_unread(name: &str) -> InstanceProcess {
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

/// Sends requests on one connection and returns how many were answered successfully. Each request
/// is accepted only after the line about the previous one was logged.
fn count_served(program: &InstanceProcess, requests: u32, id: &str) -> u32 {
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
fn full_pipe_does_not_block() {
    let instance = start_unread("pipe");
    // The lines take some megabytes, which is more than fits into the pipe that nobody reads.
    assert_eq!(count_served(&instance, REQUESTS, "p"), REQUESTS);
}

#[test]
fn long_lines_bounded() {
    let instance = start_unread("long");
    let initial_bytes = instance.resident_bytes();
    // The lines contain the request ids, which callers choose.
    let id = "l".repeat(LONG_ID_BYTES);
    assert_eq!(count_served(&instance, REQUESTS, &id), REQUESTS);
    let grown_bytes = instance.resident_bytes().saturating_sub(initial_bytes);
    assert!(grown_bytes < MAX_GROWTH_BYTES, "{grown_bytes}");
}

#[test]
fn trace_of_request() {
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
    let request_trace = trace::trace_request(log, "r1").expect("a trace");
    expect![[r#"
        -2.300s front-2                  lost the right to order fence=2
        -0.800s front-3                  holds the right to order fence=70
        -0.400s front-3                  order action=Load answer=Taken engine=e4 model=m1
        +0.000s front-1                  request ended end=refused model=m1 runs=0 status=503
    "#]]
    .assert_eq(&request_trace);
    assert_eq!(trace::trace_request(log, "r3"), None);
}
