//! Callers that do not read their answers or do not finish their bodies use little memory, end with
//! a logged cause, and do not affect other callers.

use crate::cluster::{self, fetch, request, until};
use crate::scrape::metrics;
use crate::scripted_store::shared;
use passway_instance::shared::MAX_RESERVED_BYTES;
use passway_standins::platform::caller::HOST;
use passway_standins::platform::documents::plain_entry;
use passway_standins::platform::raw::{RawServer, Step};
use rustix::net::sockopt::set_socket_recv_buffer_size;
use rustix::net::{AddressFamily, SocketType, connect, socket};
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};

/// Number of half-read answers, and of half-sent bodies.
const SLOW_CALLERS: usize = 400;
/// Far more than the socket buffers hold when the caller's receive buffer is small.
const EVENTS: usize = 300;
const EVENT_BYTES: usize = 4 << 10;
/// Receive buffer of a caller.
const RECEIVE_BUFFER_BYTES: usize = 4 << 10;

/// An engine whose streams have more than a megabyte.
fn engine() -> RawServer {
    RawServer::start(|received| {
        let id = received.header("request-id").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
        );
        let data = "x".repeat(EVENT_BYTES);
        let events = (0..EVENTS).map(|number| format!("id: {number}\ndata: {data}\n\n"));
        let text: String = events.collect();
        vec![Step::Send(head.into_bytes()), Step::Send(text.into_bytes())]
    })
}

/// Sends on a connection with a small receive buffer.
fn send(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let socket = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
    set_socket_recv_buffer_size(&socket, RECEIVE_BUFFER_BYTES).expect("a size");
    connect(&socket, &address).expect("a connection");
    let mut stream = TcpStream::from(socket);
    stream.write_all(bytes).expect("sent");
    stream
}

/// Guards against streams that hold their engine until the deadline because the caller does not
/// read.
#[test]
fn other_callers_served() {
    let (engine, server) = (engine(), cluster::plain_server());
    let store = cluster::store(&["m0"]);
    let mut entry = plain_entry(engine.address);
    entry["service"] = json!("engines");
    entry["slots"] = json!(1_000);
    entry["models"] = json!([{"name": "m0", "version": 1, "adapters": []}]);
    store.put("servers/i-e", &entry);
    cluster::list_plain(&store, "i-0", server.address, "ready");
    let instance = cluster::start_ready("one", &store);
    let address = instance.callers_address();
    let unread_streams: Vec<_> = (0..SLOW_CALLERS)
        .map(|number| {
            let bytes = request(
                "POST",
                "/chat/",
                &format!("u{number}"),
                "Model: m0\r\n",
                "{}",
            );
            send(address, &bytes)
        })
        .collect();
    let half = format!(
        "POST /pay/ HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: half\r\nContent-Length: 60000\r\n\r\nhalf"
    );
    let half_sent_bodies: Vec<_> = (0..SLOW_CALLERS)
        .map(|_| send(address, half.as_bytes()))
        .collect();
    for number in 0..60 {
        let bytes = request("GET", "/read/", &format!("p{number}"), "", "");
        assert_eq!(fetch(address, &bytes).expect("an answer").status, 200);
    }
    until("the end of the engine's streams", || {
        engine.closed_connections().len() >= SLOW_CALLERS
            && metrics(&instance).contains("not taken by its caller")
    });
    drop((unread_streams, half_sent_bodies));
}

/// Answers have their own bound, because the requests that hold bodies wait for answers.
#[test]
fn answers_are_bounded() {
    let shared = shared();
    let bodies = shared
        .reserve_body(MAX_RESERVED_BYTES)
        .expect("a reservation");
    let max_count = MAX_RESERVED_BYTES >> 20;
    let answers: Vec<_> = (0..max_count)
        .map(|_| shared.reserve_answer(1 << 20))
        .collect();
    assert!(answers.iter().all(Option::is_some));
    assert!(shared.reserve_answer(1 << 20).is_none());
    drop((bodies, answers));
    assert!(shared.reserve_answer(1 << 20).is_some());
}
