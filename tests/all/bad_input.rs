//! Bad input gets a clear code, frees what it held, and leaves others untouched.

use crate::support::{burst, patient_plan};
use passway_standins::cluster::{Fleet, TestCluster};
use passway_standins::load::Outcome;
use passway_types::prelude::*;
use std::io::{Read, Write};
use std::net::TcpStream;

/// Sends raw bytes and returns the status and code of the answer.
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
fn clear_codes() {
    let world = TestCluster::start(patient_plan()).expect("world");
    let fleet = world.start_fleet().expect("fleet");
    let code = |code: ResultCode| (code.http_status(), code as u16);
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
        assert_eq!(send(&fleet, &[&request]), code(expected), "{expected}");
    }
}

#[test]
fn body_in_parts() {
    let world = TestCluster::start(patient_plan()).expect("world");
    let fleet = world.start_fleet().expect("fleet");
    let body = r#"{"model":"model1@1"}"#;
    let whole = post("", body);
    let (head, _) = whole.split_at(whole.len() - body.len());
    assert_eq!(send(&fleet, &[head, &body[..5], &body[5..]]).0, 200);
}

#[test]
fn half_sent_request() {
    let world = TestCluster::start(patient_plan()).expect("world");
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

/// Waits until a condition holds.
fn eventually(what: &str, holds: impl Fn() -> bool) {
    let limit_at = Instant::now() + Duration::from_secs(20);
    while !holds() {
        assert!(Instant::now() < limit_at, "{what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn hang_up_midstream() {
    let world = TestCluster::start(patient_plan()).expect("world");
    let fleet = world.start_fleet().expect("fleet");
    let body = r#"{"model":"model1@1","stream":true,"max_tokens":100000}"#;
    let mut stream = TcpStream::connect(fleet.routers[0].address()).expect("connect");
    stream.write_all(post("", body).as_bytes()).expect("write");
    let mut some = [0; 400];
    stream.read_exact(&mut some).expect("the stream begins");
    drop(stream);
    let cancelled = || {
        world
            .engines
            .iter()
            .map(|engine| engine.ledger().cancelled)
            .sum::<u32>()
    };
    eventually("the engine goes on for nobody", || cancelled() == 1);
    eventually("the router holds what nobody waits for", || {
        fleet.routers[0].in_progress() == 0
    });
}

#[test]
fn hang_up_waiting() {
    let world = TestCluster::start(patient_plan()).expect("world");
    let fleet = world.start_fleet().expect("fleet");
    world.weight_store.set_slowdown(50);
    let body = r#"{"model":"model1@1"}"#;
    let mut stream = TcpStream::connect(fleet.routers[0].address()).expect("connect");
    stream.write_all(post("", body).as_bytes()).expect("write");
    eventually("the request is taken", || {
        fleet.routers[0].in_progress() == 1
    });
    drop(stream);
    eventually("the router holds what nobody waits for", || {
        fleet.routers[0].in_progress() == 0
    });
    let requests: u32 = world
        .engines
        .iter()
        .map(|engine| engine.ledger().requests)
        .sum();
    assert_eq!(requests, 0);
}
