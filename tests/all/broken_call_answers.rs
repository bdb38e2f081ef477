//! Answers to the instances' own calls: the store's, and the engines' reports.
//!
//! Guards against an answer that breaks off and is taken for a whole one. Whatever its framing, no proper
//! part of a body is accepted; a whole one is, also if it is close-delimited.

use passway_platform::http::{CallError, Client};
use passway_platform::key_value::{HttpKeyValue, KeyValue};
use passway_serving::ports::{Engines, SharedStore, StoreError, StoreRevision};
use passway_standins::platform::raw::{RawServer, Step};
use passway_types::prelude::*;
use passway_users_platform::{MetadataStore, ServerControl};
use std::net::SocketAddr;

/// Longest time of a call.
const TIMEOUT: Duration = Duration::from_secs(5);

const LIST: &str = r#"{"items":[{"tls_key":"op/config","value":"bm9kZS0x","revision":4,"created":4,"lease":0}],"has_more":false,"store_revision":7}"#;
const WATCH: &str =
    r#"{"events":[{"tls_key":"op/config","revision":9,"tombstone":true}],"store_revision":9}"#;
const REPORT: &str =
    r#"{"models":[{"name":"m0","adapters":["a1"]}],"in_flight":false,"sequence":2,"born":12}"#;
const LEASE: &str = r#"{"lease":771,"ttl_ms":3000}"#;

/// The framing of a server's answers.
#[derive(Debug, Clone, Copy)]
enum Framing {
    Length,
    Chunks,
    Connection,
}

/// A server that sends the first `sent` bytes of an answer with this body, and closes the connection.
fn server(body: &'static str, framing: Framing, sent: usize) -> RawServer {
    RawServer::start(move |_| {
        let is_whole = sent == body.len();
        let text = match framing {
            Framing::Length => format!("Content-Length: {}\r\n\r\n{}", body.len(), &body[..sent]),
            Framing::Chunks => {
                let end = if is_whole { "\r\n0\r\n\r\n" } else { "" };
                let length = body.len();
                format!(
                    "Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n{}{end}",
                    &body[..sent]
                )
            }
            Framing::Connection => format!("\r\n{}", &body[..sent]),
        };
        let text = format!("HTTP/1.1 200 OK\r\nConnection: close\r\n{text}");
        vec![Step::Send(text.into_bytes()), Step::Close]
    })
}

/// Calls a server that sends the whole body, and servers that break it off at each of several places.
fn check(body: &'static str, is_accepted: impl Fn(&RawServer) -> bool) {
    for framing in [Framing::Length, Framing::Chunks, Framing::Connection] {
        assert!(
            is_accepted(&server(body, framing, body.len())),
            "{framing:?}"
        );
        for sent in (0..body.len()).step_by(3).chain([body.len() - 1]) {
            assert!(
                !is_accepted(&server(body, framing, sent)),
                "{framing:?}, {sent} bytes"
            );
        }
    }
}

#[test]
fn broken_lists() {
    check(LIST, |server| {
        MetadataStore::new(server.address)
            .list_page("op/", None)
            .is_ok()
    });
}

#[test]
fn broken_watches() {
    let wait = Duration::from_millis(10);
    check(WATCH, |server| {
        let store = MetadataStore::new(server.address);
        store.watch("op/", StoreRevision::NONE, wait).is_ok()
    });
}

#[test]
fn broken_leases() {
    check(LEASE, |server| {
        let store = MetadataStore::new(server.address);
        let granted = store.grant_lease(Duration::from_secs(3));
        assert!(granted.is_ok() || granted == Err(StoreError::Unknown));
        granted.is_ok()
    });
}

#[test]
fn broken_reports() {
    check(REPORT, |server| {
        let report = ServerControl::default().report(&"i-0".into(), server.address);
        report.answer.is_some()
    });
}

/// The bodies that the product's own platform returns need not be JSON, so they must not be
/// close-delimited.
#[test]
fn close_delimited_lost() {
    let body = "0123456789";
    for (framing, is_accepted) in [
        (Framing::Length, true),
        (Framing::Chunks, true),
        (Framing::Connection, false),
    ] {
        let server = server(body, framing, body.len());
        let client = Client::new(TIMEOUT);
        let answer = client.call("GET", &format!("http://{}/x", server.address), b"");
        let body_bytes = answer.map(|answer| answer.body);
        let expected = if is_accepted {
            Ok(body.as_bytes().to_vec())
        } else {
            Err(CallError::Lost)
        };
        assert_eq!(body_bytes, expected, "{framing:?}");
    }
}

/// Whether a call to a server succeeds.
type IsAccepted = fn(SocketAddr) -> bool;

/// Guards against a status that counts although its head broke off.
#[test]
fn broken_heads() {
    let calls: [(&str, IsAccepted); 5] = [
        ("410 Gone", |at| {
            let store = MetadataStore::new(at);
            store.watch("op/", StoreRevision::NONE, TIMEOUT).is_ok()
        }),
        ("412 Precondition Failed", |at| {
            MetadataStore::new(at).write(&[]).is_ok()
        }),
        ("200 OK\r\nInstance-Id: i-0", |at| {
            ServerControl::default().identify(at, None, None).is_some()
        }),
        ("404 Not Found", |at| {
            HttpKeyValue::new(at, TIMEOUT).get("a").is_ok()
        }),
        ("307 Temporary Redirect\r\nLocation: /x", |at| {
            HttpKeyValue::new(at, TIMEOUT).renew_lease(7).is_ok()
        }),
    ];
    for (head, is_accepted) in calls {
        let text = format!("HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n");
        for sent in 0..=text.len() {
            let part = text.as_bytes()[..sent].to_vec();
            let server = RawServer::start(move |_| vec![Step::Send(part.clone()), Step::Close]);
            let is_whole = sent == text.len();
            assert_eq!(
                is_accepted(server.address),
                is_whole,
                "{head}, {sent} bytes"
            );
        }
    }
}

/// Guards against a part of a body that is taken for a whole one, because its framing is unknown to the
/// client or ambiguous.
#[test]
fn unknown_framing() {
    let framings = [
        ("1.1", "Transfer-Encoding: identity"),
        ("1.1", "Transfer-Encoding: gzip"),
        ("1.0", "Transfer-Encoding: chunked"),
        ("1.1", "Content-Length: 4\r\nTransfer-Encoding: identity"),
        ("1.1", "Content-Length: 4\r\nContent-Length: 40"),
        ("1.1", "Content-Length: 40\r\nContent-Length: 4"),
    ];
    let is_accepted = |(version, framing): &(&str, &str)| {
        let text = format!("HTTP/{version} 200 OK\r\n{framing}\r\n\r\nhalf");
        let steps = vec![Step::Send(text.into_bytes()), Step::Close];
        let server = RawServer::start(move |_| steps.clone());
        let client = Client::new(TIMEOUT);
        let answer = client.call("GET", &format!("http://{}/x", server.address), b"");
        answer.is_ok()
    };
    let accepted: Vec<_> = framings.into_iter().filter(is_accepted).collect();
    assert_eq!(accepted, []);
}
