//! Requests and answers are forwarded completely and unchanged, or not at all.

use crate::cluster::{self, Caller, fetch, list_plain, request, until};
use passway_instance::Instance;
use passway_standins::platform::caller::HOST;
use passway_standins::platform::model_server::{Faults, ModelServer};
use passway_standins::platform::raw::{RawServer, Received, Step};
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;

fn send(text: impl Into<String>) -> Step {
    Step::Send(text.into().into_bytes())
}

fn id_of(received: &Received) -> String {
    received.header("request-id").unwrap_or_default().to_owned()
}

fn whole(received: &Received, body: &str) -> String {
    let (id, length) = (id_of(received), body.len());
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s.{id}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

fn not_run(received: &Received) -> String {
    let id = id_of(received);
    format!("HTTP/1.1 503 X\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}

/// An instance before servers that answer with scripted bytes.
fn start(servers: &[&RawServer]) -> (MetadataStandIn, Instance) {
    let store = cluster::store(&[]);
    for (number, server) in servers.iter().enumerate() {
        list_plain(&store, &format!("i-{number}"), server.address, "ready");
    }
    let instance = cluster::start_ready("one", &store);
    (store, instance)
}

fn answering() -> RawServer {
    RawServer::start(|received| vec![send(whole(received, "fine"))])
}

#[test]
fn byte_for_byte() {
    let server = answering();
    let (_store, instance) = start(&[&server]);
    let more_headers = "X-One: a  b\r\nX-Two: 1\r\nX-Two: 2\r\nCookie: k=v\r\n";
    let bytes = request(
        "PUT",
        "/read/a%20b/../c?q=%41&&r",
        "id1",
        more_headers,
        "b\0dy",
    );
    let answer = fetch(instance.callers_address(), &bytes).expect("an answer");
    assert_eq!(
        (answer.status, &*answer.body, answer.is_complete),
        (200, "fine", true)
    );
    assert_eq!(answer.header("response-seal"), Some("s.id1"));
    let received = server.received().remove(0);
    assert_eq!(
        received.request_line(),
        "PUT /read/a%20b/../c?q=%41&&r HTTP/1.1"
    );
    assert_eq!(received.body, b"b\0dy");
    assert_eq!(
        received
            .head
            .matches("X-One: a  b\r\nX-Two: 1\r\nX-Two: 2\r\nCookie: k=v")
            .count(),
        1
    );
    assert_eq!(received.head.matches("Host:").count(), 1);
    assert_eq!(received.header("expect-instance"), Some("i-0"));
    let remaining_ms: u64 = received
        .header("deadline-ms")
        .and_then(|text| text.parse().ok())
        .expect("a deadline");
    assert!(remaining_ms <= 8_000);
}

#[test]
fn internal_headers_dropped() {
    let server = answering();
    let (_store, instance) = start(&[&server]);
    let forged_headers = "Hold: 1\r\nPin-Ms: 9\r\nKv-Backup: 1\r\nkv-from: 2\r\nExpect-Instance: x\r\nConnection: X-Gone\r\nX-Gone: 1\r\n";
    fetch(
        instance.callers_address(),
        &request("GET", "/read/", "id1", forged_headers, ""),
    );
    let received = server.received().remove(0);
    for name in [
        "hold",
        "pin-ms",
        "kv-backup",
        "kv-from",
        "x-gone",
        "connection",
    ] {
        assert_eq!(received.header(name), None, "{name}");
    }
    assert_eq!(received.head.matches("Expect-Instance").count(), 1);
}

#[test]
fn chunked_body() {
    let server = answering();
    let (_store, instance) = start(&[&server]);
    let bytes = format!(
        "POST /read/ HTTP/1.1\r\nHost: {HOST}:80\r\nRequest-Id: c\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"
    );
    let answer = fetch(instance.callers_address(), bytes.as_bytes()).expect("an answer");
    assert_eq!(answer.status, 200);
    let received = server.received().remove(0);
    assert_eq!(received.body, b"abcde");
    assert_eq!(received.header("transfer-encoding"), None);
}

#[test]
fn smuggling_refused() {
    let server = answering();
    let (_store, instance) = start(&[&server]);
    let framings = [
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: +3\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Content-Length : 3\r\n",
    ];
    for framing in framings {
        let bytes = format!(
            "POST /read/ HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: s\r\n{framing}\r\n0\r\n\r\nGET /read/in HTTP/1.1\r\nHost: {HOST}\r\n\r\n"
        );
        let mut caller = Caller::connect(instance.callers_address());
        caller.send(bytes.as_bytes());
        let answer = caller.receive().expect("an answer");
        assert_eq!(answer.status, 400, "{framing}");
        assert_eq!(caller.receive(), None, "{framing}");
    }
    assert_eq!(server.received(), []);
}

#[test]
fn half_sent_not_forwarded() {
    let server = answering();
    let (_store, instance) = start(&[&server]);
    let mut caller = Caller::connect(instance.callers_address());
    let bytes = request("POST", "/pay/", "h", "", "whole body");
    caller.send(&bytes[..bytes.len() - 4]);
    drop(caller);
    let answer = fetch(
        instance.callers_address(),
        &request("GET", "/read/", "n", "", ""),
    );
    assert_eq!(answer.map(|answer| answer.status), Some(200));
    assert_eq!(server.received().len(), 1);
}

#[test]
fn no_route() {
    let server = answering();
    let (_store, instance) = start(&[&server]);
    let answer = fetch(
        instance.callers_address(),
        &request("GET", "/none/", "n", "", ""),
    );
    assert_eq!(answer.map(|answer| answer.status), Some(404));
    assert_eq!(server.received(), []);
}

#[test]
fn short_body_not_delivered() {
    let server = RawServer::start(|received| {
        let answer = whole(received, "0123456789");
        vec![send(&answer[..answer.len() - 3]), Step::Close]
    });
    let (_store, instance) = start(&[&server]);
    let answer = fetch(
        instance.callers_address(),
        &request("POST", "/pay/", "p", "", ""),
    );
    // The request may have run, so the answer is neither a success nor "not run".
    assert_eq!(answer.map(|answer| answer.status), Some(502));
    assert_eq!(server.received().len(), 1);
}

#[test]
fn invalid_answer_not_delivered() {
    let server = RawServer::start(|_| vec![send("SSH-2.0-x\r\n\r\n"), Step::Close]);
    let (_store, instance) = start(&[&server]);
    let answer = fetch(
        instance.callers_address(),
        &request("POST", "/pay/", "p", "", ""),
    );
    assert_eq!(answer.map(|answer| answer.status), Some(502));
    assert_eq!(server.received().len(), 1);
}

#[test]
fn unsealed_success_not_delivered() {
    let server = RawServer::start(|received| {
        let id = id_of(received);
        vec![send(format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 2\r\n\r\nno"
        ))]
    });
    let (_store, instance) = start(&[&server]);
    let answer = fetch(
        instance.callers_address(),
        &request("POST", "/pay/", "p", "", ""),
    );
    assert_eq!(answer.map(|answer| answer.status), Some(502));
}

#[test]
fn surplus_answer_not_delivered() {
    let server = RawServer::start(|received| {
        let surplus_answer = "HTTP/1.1 200 OK\r\nRequest-Id: x\r\nResponse-Seal: x\r\nContent-Length: 5\r\n\r\nwrong";
        vec![send(whole(received, "mine") + surplus_answer)]
    });
    let (_store, instance) = start(&[&server]);
    for number in 0..6 {
        let bytes = request("GET", "/read/", &format!("id{number}"), "", "");
        let answer = fetch(instance.callers_address(), &bytes).expect("an answer");
        assert_eq!((answer.status, &*answer.body), (200, "mine"));
    }
    let connections: Vec<usize> = server.received().iter().map(|r| r.connection).collect();
    assert_eq!(connections, [0, 1, 2, 3, 4, 5]);
}

#[test]
fn late_answer_skipped() {
    let server = RawServer::start(|received| {
        let late_answer = "HTTP/1.1 200 OK\r\nRequest-Id: old\r\nResponse-Seal: s\r\nContent-Length: 3\r\n\r\nold";
        vec![send(late_answer.to_owned() + &whole(received, "mine"))]
    });
    let (_store, instance) = start(&[&server]);
    let answer = fetch(
        instance.callers_address(),
        &request("POST", "/pay/", "p", "", ""),
    );
    let answer = answer.expect("an answer");
    assert_eq!((answer.status, &*answer.body), (200, "mine"));
    assert_eq!(server.received().len(), 1);
}

#[test]
fn answered_early() {
    // The server answers a long request before reading it. The unread rest must not be taken for
    // another request.
    let server = RawServer::start(|received| {
        let id = id_of(received);
        vec![send(format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\nContent-Length: 1\r\n\r\ny"
        ))]
    });
    let (_store, instance) = start(&[&server]);
    let body = "x".repeat(60_000);
    let answer = fetch(
        instance.callers_address(),
        &request("POST", "/pay/", "p", "", &body),
    );
    assert_eq!(answer.map(|answer| answer.status), Some(200));
    assert_eq!(server.received().remove(0).body.len(), body.len());
}

#[test]
fn not_run_tried_elsewhere() {
    let full_server = RawServer::start(|received| vec![send(not_run(received))]);
    let working_server = answering();
    let (_store, instance) = start(&[&full_server, &working_server]);
    for number in 0..4 {
        until("a retry in the budget", || {
            instance.has_spare_retry("plain")
        });
        let bytes = request("POST", "/pay/", &format!("id{number}"), "", "");
        let answer = fetch(instance.callers_address(), &bytes);
        assert_eq!(answer.map(|answer| answer.status), Some(200));
    }
    assert_eq!(working_server.received().len(), 4);
}

#[test]
fn refusal_has_retry_after() {
    let full_server = RawServer::start(|received| vec![send(not_run(received))]);
    let (_store, instance) = start(&[&full_server]);
    let answer = fetch(
        instance.callers_address(),
        &request("POST", "/pay/", "p", "", ""),
    );
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(answer.header("request-id"), Some("p"));
}

#[test]
fn run_once_not_repeated() {
    let closing_server = || RawServer::start(|_| vec![Step::Close]);
    let (one, two) = (closing_server(), closing_server());
    let (_store, instance) = start(&[&one, &two]);
    let answer = fetch(
        instance.callers_address(),
        &request("POST", "/pay/", "p", "", "x"),
    );
    assert_eq!(answer.map(|answer| answer.status), Some(502));
    assert_eq!(one.received().len() + two.received().len(), 1);
}

#[test]
fn repeatable_is_repeated() {
    let closing_server = RawServer::start(|_| vec![Step::Close]);
    let working_server = answering();
    let (_store, instance) = start(&[&closing_server, &working_server]);
    for number in 0..4 {
        until("a retry in the budget", || {
            instance.has_spare_retry("plain")
        });
        let bytes = request("GET", "/read/", &format!("id{number}"), "", "");
        let answer = fetch(instance.callers_address(), &bytes);
        assert_eq!(answer.map(|answer| answer.status), Some(200));
    }
}

#[test]
fn failure_delivered_unchanged() {
    let server = RawServer::start(|received| {
        let id = id_of(received);
        vec![send(format!(
            "HTTP/1.1 500 Oh\r\nRequest-Id: {id}\r\nResponse-Seal: f\r\nContent-Length: 3\r\n\r\nbad"
        ))]
    });
    let (_store, instance) = start(&[&server]);
    let answer = fetch(
        instance.callers_address(),
        &request("POST", "/pay/", "p", "", ""),
    );
    let answer = answer.expect("an answer");
    assert_eq!((answer.status, &*answer.body), (500, "bad"));
    assert_eq!(answer.header("response-seal"), Some("f"));
}

#[test]
fn caller_leaves() {
    let server = RawServer::start(|_| vec![Step::Pause(Duration::from_mins(1))]);
    let (_store, instance) = start(&[&server]);
    let mut caller = Caller::connect(instance.callers_address());
    caller.send(&request("GET", "/read/", "g", "", ""));
    until("the request", || server.received().len() == 1);
    assert_eq!(instance.in_progress(), 1);
    drop(caller);
    until("the end of the request", || instance.in_progress() == 0);
}

#[test]
fn connections_reused() {
    let server = answering();
    let (_store, instance) = start(&[&server]);
    let mut caller = Caller::connect(instance.callers_address());
    for number in 0..5 {
        caller.send(&request("POST", "/pay/", &format!("id{number}"), "", "x"));
        assert_eq!(caller.receive().map(|answer| answer.status), Some(200));
    }
    let received = server.received();
    assert_eq!(received.len(), 5);
    assert!(received.iter().all(|received| received.connection == 0));
}

#[test]
fn stop_finishes_requests() {
    let (release, released) = crossbeam::channel::bounded::<()>(0);
    let server = RawServer::start(move |received| {
        if id_of(received) == "p" {
            // Returns when the test drops its end of the channel.
            let _ = released.recv();
        }
        vec![send(whole(received, "done"))]
    });
    let (_store, instance) = start(&[&server]);
    let address = instance.callers_address();
    let mut reused = Caller::connect(address);
    let mut idle = Caller::connect(address);
    let slow = std::thread::spawn(move || fetch(address, &request("POST", "/pay/", "p", "", "x")));
    until("the request", || server.received().len() == 1);
    std::thread::scope(|scope| {
        let stopping = scope.spawn(|| instance.stop());
        until("the stop", || !instance.is_ready());
        // New requests are served until the balancer has had time to notice the stop.
        let mut forwarded = 1;
        until("the refusal of new requests", || {
            let answer = fetch(address, &request("POST", "/pay/", "new", "", "x"));
            let status = answer.expect("an answer").status;
            forwarded += usize::from(status == 200);
            status == 503
        });
        // On an old connection comes a request that could not end in time.
        reused.send(&request("POST", "/pay/", "late", "", "x"));
        let late = reused.receive().expect("an answer");
        assert_eq!(late.status, 503);
        assert_eq!(late.header("connection"), Some("close"));
        assert_eq!(server.received().len(), forwarded);
        drop(release);
        let answer = slow.join().expect("a caller").expect("an answer");
        assert_eq!((answer.status, &*answer.body), (200, "done"));
        stopping.join().expect("the stop");
    });
    assert_eq!(instance.in_progress(), 0);
    assert!(matches!(
        std::io::Read::read(&mut idle.stream, &mut [0; 1]),
        Ok(0)
    ));
}

#[test]
fn unframed_break_resets() {
    let store = cluster::store(&["m0"]);
    let engine = ModelServer::start(&store, "e0", "engines", 1, &["m0"], &[]);
    engine.set_faults(Faults {
        cut_after_events: Some(2),
        ..Faults::default()
    });
    let instance = cluster::start_ready("one", &store);
    let mut caller = Caller::connect(instance.callers_address());
    let head = "Host: shop.example\r\nRequest-Id: u\r\nModel: m0\r\nContent-Length: 0\r\n";
    caller.send(format!("POST /report/ HTTP/1.0\r\n{head}\r\n").as_bytes());
    // Without chunks, a body that ends with its connection counts as complete unless it is reset.
    let read_result = std::io::Read::read_to_end(&mut caller.stream, &mut Vec::new());
    assert!(
        read_result.is_err(),
        "the answer looks complete: {read_result:?}"
    );
}

#[test]
fn abandoned_request_reset() {
    // A reset discards unacknowledged data; a plain close would still send it.
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("binding");
    let store = cluster::store(&[]);
    let address = listener.local_addr().expect("an address");
    list_plain(&store, "i-0", address, "ready");
    let instance = cluster::start_ready("one", &store);
    let mut caller = Caller::connect(instance.callers_address());
    caller.send(&request("POST", "/pay/", "p", "", "x"));
    let (mut abandoned, _) = listener.accept().expect("a connection");
    drop(caller);
    until("the end of the request", || instance.in_progress() == 0);
    let read_result = std::io::Read::read_to_end(&mut abandoned, &mut Vec::new());
    assert!(
        read_result.is_err(),
        "closed without a reset: {read_result:?}"
    );
}

#[test]
fn missing_headers() {
    let server = answering();
    let (_store, instance) = start(&[&server]);
    // Without a host there is no route, and nothing stays reserved afterwards.
    let bytes = b"GET /read/ HTTP/1.1\r\nRequest-Id: n\r\n\r\n";
    let answer = fetch(instance.callers_address(), bytes);
    assert_eq!(answer.map(|answer| answer.status), Some(400));
    assert_eq!(server.received(), []);
    // Without an id and a deadline, the route's timeout applies, and the server decides about the
    // rest.
    let bytes = format!("GET /read/ HTTP/1.1\r\nHost: {HOST}\r\n\r\n");
    fetch(instance.callers_address(), bytes.as_bytes());
    let received = server.received().remove(0);
    assert_eq!(received.header("request-id"), None);
    let remaining_ms: u64 = received
        .header("deadline-ms")
        .and_then(|text| text.parse().ok())
        .expect("a deadline");
    assert!(remaining_ms <= 10_000);
    until("the end of the request", || instance.in_progress() == 0);
}
