//! What upstreams say about how much they take: how it is read, and which of two words counts.

use crate::scrape::metrics;
use crate::site::{self, ask, list_plain, request, until};
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
    // Of several the least.
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

/// A word whose request was sent after so many milliseconds, and whose answer came after so many.
fn word(begun_at: Instant, per_s: Option<f64>, sent_ms: u64, heard_ms: u64) -> ObservedLimit {
    ObservedLimit {
        per_s,
        sent_at: begun_at + Duration::from_millis(sent_ms),
        received_at: begun_at + Duration::from_millis(heard_ms),
    }
}

#[test]
fn newer_word_counts() {
    let begun_at = passway_types::clock::now();
    let at = |per_s, sent_ms, heard_ms| word(begun_at, per_s, sent_ms, heard_ms);
    let known = at(Some(2.0), 100, 200);
    // Said after the other was heard, whatever it says.
    assert!(at(None, 200, 210).replaces(&known));
    assert!(at(Some(9.0), 300, 310).replaces(&known));
    // Said before the other's request was sent, and told late.
    assert!(!at(None, 50, 100).replaces(&known));
    assert!(!at(Some(1.0), 10, 90).replaces(&known));
    // One of the two may have overtaken the other: the stricter one counts.
    assert!(at(Some(1.0), 150, 400).replaces(&known));
    assert!(!at(Some(3.0), 150, 400).replaces(&known));
    assert!(!at(None, 199, 400).replaces(&known));
    assert!(at(Some(1.0), 50, 150).replaces(&at(None, 100, 200)));
}

/// What a server says next: the header's line, or none.
fn saying_server(lines: &'static [&'static str]) -> RawServer {
    RawServer::start(move |received| {
        let id = received.header("request-id").unwrap_or_default();
        let line = lines.get(received.number).copied().unwrap_or_default();
        let text = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n{line}Content-Length: 0\r\n\r\n"
        );
        vec![Step::Send(text.into_bytes())]
    })
}

/// A limit holds for as long as the upstream says so, and a word that cannot be read ends nothing.
#[test]
fn heard_in_answers() {
    let lines = &["", "Server-Limit: 400\r\n", "Server-Limit: x\r\n", ""];
    let server = saying_server(lines);
    let store = site::store(&[]);
    list_plain(&store, "i-0", server.address, "ready");
    let instance = site::ready("one", &store);
    let scrape = || metrics(&instance);
    for (number, limited) in [0, 1, 1, 0].into_iter().enumerate() {
        let bytes = request("GET", "/read/", &format!("id{number}"), "", "");
        let answer = ask(instance.callers_address(), &bytes).expect("an answer");
        assert_eq!(answer.status, 200);
        // The answer goes to the caller as it is.
        let named = lines[number].trim().strip_prefix("Server-Limit: ");
        assert_eq!(answer.header("server-limit"), named);
        let line = format!("\npassway_instance_limited_upstreams {limited}\n");
        until(&line, || scrape().contains(&line));
    }
    let unusable = "passway_instance_unusable_words_total{word=\"limit\"} 1\n";
    assert!(scrape().contains(unusable));
}
