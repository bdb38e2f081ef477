//! Invalid input is refused with a specific code, releases its resources and does not affect
//! other requests.

use crate::support::{burst, long_timeout_plan};
use passway_standins::cluster::{Fleet, TestCluster};
use passway_standins::load::Outcome;
use passway_types::prelude::*;
use std::io::{Read, Write};
use std::net::TcpStream;

/// Sends raw bytes and returns the HTTP status and the result code of the answer.
fn send(fleet: &Fleet, parts: &[&str]) -> (u16, u16) {
    let mut stream = TcpStream::connect(fleet.routers[0].address()).expect("connect");
    for part in parts {
        stream.write_all(part.as_bytes()).expect("write");
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("read");
    let status = answer
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let code = answer
        .lines()
        .find_map(|line| line.strip_prefix("x-passway-code: "));
    (
        status,
        code.and_then(|text| text.trim().parse().ok()).unwrap_or(0),
    )
}

fn post(headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         content-length: {length}\r\n{headers}\r\n{body}"
    )
}

#[test]
fn specific_codes() {
    let world = TestCluster::start(long_timeout_plan()).expect("world");
    let fleet = world.start_fleet().expect("fleet");
    let status_and_code = |code: ResultCode| (code.http_status(), code as u16);
    let model = r#"{"model":"model1@1"}"#;
    let cases = [
        (post("", "{"), ResultCode::BadRequest),
        (post("", "{}"), ResultCode::BadRequest),
        (
            post("", r#"{"model":"nobody@1"}"#),
            ResultCode::UnknownModel,
        ),
        (
            post("x-passway-workspace: nobody\r\n", model),
            ResultCode::UnknownWorkspace,
        ),
        (
            post("x-passway-deadline-ms: 0\r\n", model),
            ResultCode::BadDeadline,
        ),
        (
            post("x-passway-deadline-ms: -1\r\n", model),
            ResultCode::BadDeadline,
        ),
        (
            post("x-passway-deadline-ms: 99999999999\r\n", model),
            ResultCode::BadDeadline,
        ),
        (
            post("x-passway-priority: high\r\n", model),
            ResultCode::BadRequest,
        ),
        (post("", &" ".repeat(2 << 20)), ResultCode::BodyTooLarge),
        (
            "GET /nowhere HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".into(),
            ResultCode::UnknownPath,
        ),
        (
            "GET /services/nobody/x HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".into(),
            ResultCode::UnknownPath,
        ),
    ];
    for (request, expected) in cases {
        assert_eq!(
            send(&fleet, &[&request]),
            status_and_code(expected),
            "{expected}"
        );
    }
}

#[test]
fn body_in_parts() {
    let world = TestCluster::start(long_timeout_plan()).expect("world");
    let fleet = world.start_fleet().expect("fleet");
    let body = r#"{"model":"model1@1"}"#;
    let whole = post("", body);
    let (head, _) = whole.split_at(whole.len() - body.len());
    assert_eq!(send(&fleet, &[head, &body[..5], &body[5..]]).0, 200);
}

#[test]
fn incomplete_requests() {
    let world = TestCluster::start(long_timeout_plan()).expect("world");
    let fleet = world.start_fleet().expect("fleet");
    let mut half_sent = Vec::new();
    for _ in 0..50 {
        let mut stream = TcpStream::connect(fleet.routers[0].address()).expect("connect");
        stream
            .write_all(b"POST /v1/chat/completions HTTP/1.1\r\ncontent-le")
            .expect("write");
        half_sent.push(stream);
    }
    for sample in burst(&fleet, "model1@1", 10, Duration::from_secs(20)) {
        assert_eq!(sample.outcome, Outcome::Whole);
    }
}

/// Waits until a condition holds; panics with `failure` after 20 seconds.
fn wait_until(failure: &str, condition: impl Fn() -> bool) {
    let deadline_at = Instant::now() + Duration::from_secs(20);
    while !condition() {
        assert!(Instant::now() < deadline_at, "{failure}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn disconnect_while_streaming() {
    let world = TestCluster::start(long_timeout_plan()).expect("world");
    let fleet = world.start_fleet().expect("fleet");
    let body = r#"{"model":"model1@1","stream":true,"max_tokens":100000}"#;
    let mut stream = TcpStream::connect(fleet.routers[0].address()).expect("connect");
    stream.write_all(post("", body).as_bytes()).expect("write");
    let mut first_bytes = [0; 400];
    stream
        .read_exact(&mut first_bytes)
        .expect("the stream begins");
    drop(stream);
    let cancelled = || {
        world
            .engines
            .iter()
            .map(|engine| engine.ledger().cancelled)
            .sum::<u32>()
    };
    wait_until("the engine runs a request without a caller", || {
        cancelled() == 1
    });
    wait_until("the router retains a request without a caller", || {
        fleet.routers[0].in_progress() == 0
    });
}

#[test]
fn disconnect_while_waiting() {
    let world = TestCluster::start(long_timeout_plan()).expect("world");
    let fleet = world.start_fleet().expect("fleet");
    world.weight_store.set_slowdown(50);
    let body = r#"{"model":"model1@1"}"#;
    let mut stream = TcpStream::connect(fleet.routers[0].address()).expect("connect");
    stream.write_all(post("", body).as_bytes()).expect("write");
    wait_until("the router has not accepted the request", || {
        fleet.routers[0].in_progress() == 1
    });
    drop(stream);
    wait_until("the router retains a request without a caller", || {
        fleet.routers[0].in_progress() == 0
    });
    let requests: u32 = world
        .engines
        .iter()
        .map(|engine| engine.ledger().requests)
        .sum();
    assert_eq!(requests, 0);
}
