//! Limits that upstreams advertise: how they are parsed, and which of two signals applies.

use crate::cluster::{self, fetch, list_plain, request, until};
use crate::scrape::metrics;
use passway_serving::headers::Headers;
use passway_serving::limits::{LimitSignal, ObservedLimit};
use passway_serving::ports::HeaderProtocol;
use passway_standins::platform::raw::{RawServer, Step};
use passway_types::prelude::*;
use passway_users_platform::PlatformHeaders;

fn read(values: &[&str]) -> LimitSignal {
    let mut headers = Headers::default();
    for value in values {
        headers.push("server-limit", *value);
    }
    PlatformHeaders
        .parse_answer(200, &headers, "i-0")
        .signals
        .limit
}

#[test]
fn read_values() {
    assert_eq!(read(&[]), LimitSignal::Absent);
    assert_eq!(read(&["1.1"]), LimitSignal::PerSecond(1.1));
    assert_eq!(read(&[" 0 "]), LimitSignal::PerSecond(0.0));
    assert_eq!(read(&["1000000000"]), LimitSignal::PerSecond(1e9));
    // Of several values the lowest applies.
    assert_eq!(read(&["4", "2.5", "3"]), LimitSignal::PerSecond(2.5));
    for unusable in [
        "",
        "-1",
        "NaN",
        "inf",
        "-inf",
        "1,5",
        "1.1 a second",
        "\u{661}",
    ] {
        assert_eq!(read(&[unusable]), LimitSignal::Unusable, "{unusable:?}");
        assert_eq!(read(&["2", unusable, "3"]), LimitSignal::Unusable);
    }
}

/// A signal whose request was sent at `sent_ms` and whose answer was received at `heard_ms`
/// milliseconds after `begun_at`.
fn signal(
    started_at: Instant,
    per_s: Option<f64>,
    sent_ms: u64,
    received_ms: u64,
) -> ObservedLimit {
    ObservedLimit {
        per_s,
        sent_at: started_at + Duration::from_millis(sent_ms),
        received_at: started_at + Duration::from_millis(received_ms),
    }
}

#[test]
fn newer_signal_wins() {
    let started_at = passway_types::clock::now();
    let at = |per_s, sent_ms, received_ms| signal(started_at, per_s, sent_ms, received_ms);
    let known = at(Some(2.0), 100, 200);
    // The request was sent after the other signal was received, so this signal is newer whatever
    // its value.
    assert!(at(None, 200, 210).replaces(&known));
    assert!(at(Some(9.0), 300, 310).replaces(&known));
    // The answer came before the other signal's request was sent, so this signal is older although
    // it is received later.
    assert!(!at(None, 50, 100).replaces(&known));
    assert!(!at(Some(1.0), 10, 90).replaces(&known));
    // One of the two answers may have overtaken the other: the stricter signal applies.
    assert!(at(Some(1.0), 150, 400).replaces(&known));
    assert!(!at(Some(3.0), 150, 400).replaces(&known));
    assert!(!at(None, 199, 400).replaces(&known));
    assert!(at(Some(1.0), 50, 150).replaces(&at(None, 100, 200)));
}

/// A server that sends one of `lines` as a header line in each answer.
fn signalling_server(lines: &'static [&'static str]) -> RawServer {
    RawServer::start(move |received| {
        let id = received.header("request-id").unwrap_or_default();
        let line = lines.get(received.number).copied().unwrap_or_default();
        let text = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n{line}Content-Length: 0\r\n\r\n"
        );
        vec![Step::Send(text.into_bytes())]
    })
}

/// A limit applies until an answer comes without it, and a signal that cannot be read does not end
/// it.
#[test]
fn received_in_answers() {
    let lines = &["", "Server-Limit: 400\r\n", "Server-Limit: x\r\n", ""];
    let server = signalling_server(lines);
    let store = cluster::store(&[]);
    list_plain(&store, "i-0", server.address, "ready");
    let instance = cluster::start_ready("one", &store);
    let scrape = || metrics(&instance);
    for (number, limited_count) in [0, 1, 1, 0].into_iter().enumerate() {
        let bytes = request("GET", "/read/", &format!("id{number}"), "", "");
        let answer = fetch(instance.callers_address(), &bytes).expect("an answer");
        assert_eq!(answer.status, 200);
        // The answer reaches the caller unchanged.
        let advertised = lines[number].trim().strip_prefix("Server-Limit: ");
        assert_eq!(answer.header("server-limit"), advertised);
        let line = format!("\npassway_instance_limited_upstreams {limited_count}\n");
        until(&line, || scrape().contains(&line));
    }
    let unusable = "passway_instance_unusable_words_total{word=\"limit\"} 1\n";
    assert!(scrape().contains(unusable));
}
