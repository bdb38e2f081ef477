//! Callers that do not read their answers and do not send their bodies hold little, end with a cause, and cost nobody else
//! anything.

use crate::scrape::metrics;
use crate::scripted_store::shared;
use crate::site::{self, ask, request, until};
use passway_instance::shared::MAX_HELD_BODIES_BYTES;
use passway_standins::platform::caller::HOST;
use passway_standins::platform::documents::plain_entry;
use passway_standins::platform::raw::{RawServer, Step};
use rustix::net::sockopt::set_socket_recv_buffer_size;
use rustix::net::{AddressFamily, SocketType, connect, socket};
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};

/// Half-read answers, and half-sent bodies.
const SLOW: usize = 400;
/// Far more than the buffers of a connection take whose caller has little room.
const EVENTS: usize = 300;
const EVENT_BYTES: usize = 4 << 10;
/// Room for what a caller has not read.
const ROOM_BYTES: usize = 4 << 10;

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

/// Sends on a connection that has little room for what comes back.
fn send(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let socket = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
    set_socket_recv_buffer_size(&socket, ROOM_BYTES).expect("a size");
    connect(&socket, &address).expect("a connection");
    let mut stream = TcpStream::from(socket);
    stream.write_all(bytes).expect("sent");
    stream
}

/// A stream whose caller did not read held its engine until the request's time was over.
#[test]
fn others_are_served() {
    let (engine, server) = (engine(), site::plain_server());
    let store = site::store(&["m0"]);
    let mut listed = plain_entry(engine.address);
    listed["service"] = json!("engines");
    listed["slots"] = json!(1_000);
    listed["models"] = json!([{"name": "m0", "version": 1, "adapters": []}]);
    store.put("servers/i-e", &listed);
    site::list_plain(&store, "i-0", server.address, "ready");
    let instance = site::ready("one", &store);
    let address = instance.callers_address();
    let unread: Vec<_> = (0..SLOW)
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
    let half_sent: Vec<_> = (0..SLOW).map(|_| send(address, half.as_bytes())).collect();
    for number in 0..60 {
        let bytes = request("GET", "/read/", &format!("p{number}"), "", "");
        assert_eq!(ask(address, &bytes).expect("an answer").status, 200);
    }
    until("the engine's streams are let go", || {
        engine.ended().len() >= SLOW && metrics(&instance).contains("not taken by its caller")
    });
    drop((unread, half_sent));
}

/// Answers have room of their own, beside bodies that wait for them.
#[test]
fn answers_are_bounded() {
    let shared = shared();
    let bodies = shared.hold_body(MAX_HELD_BODIES_BYTES).expect("room");
    let most = MAX_HELD_BODIES_BYTES >> 20;
    let answers: Vec<_> = (0..most).map(|_| shared.hold_answer(1 << 20)).collect();
    assert!(answers.iter().all(Option::is_some));
    assert!(shared.hold_answer(1 << 20).is_none());
    drop((bodies, answers));
    assert!(shared.hold_answer(1 << 20).is_some());
}
