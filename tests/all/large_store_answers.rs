//! A large answer of the store is read completely on a slow link, too.
//!
//! Guards against a total timeout for reading a list: with 0.9 s from the first byte sent to the
//! last byte read, an instance on a link of 10 Mbit/s, where a value of 1 MB takes 1.1 s, requested
//! the value again for ever.

use passway_serving::ports::SharedStore;
use passway_types::prelude::*;
use passway_users_platform::MetadataStore;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Number of pieces in which an answer is sent.
const PIECES: usize = 12;
/// Delay before each piece.
const PIECE_DELAY: Duration = Duration::from_millis(100);
/// Longer than a connection to the store may be idle.
const IDLE_DURATION: Duration = Duration::from_millis(1_100);

/// Answers every call with an empty list, in pieces.
fn answer(mut stream: TcpStream, delay: Duration) {
    let body = b"{\"items\":[],\"has_more\":false,\"store_revision\":7}";
    let mut chunk = [0; 1_024];
    while stream.read(&mut chunk).is_ok_and(|count| count > 0) {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).expect("the head");
        for piece in body.chunks(body.len().div_ceil(PIECES)) {
            std::thread::sleep(delay);
            stream.write_all(piece).expect("a piece");
        }
    }
}

/// A store that answers in pieces, and the number of connections that it has accepted.
fn store(delay: Duration) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let connections = Arc::new(AtomicUsize::new(0));
    let counter = connections.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            counter.fetch_add(1, Ordering::Relaxed);
            let stream = stream.expect("a connection");
            std::thread::spawn(move || answer(stream, delay));
        }
    });
    (address, connections)
}

#[test]
fn slow_list_is_read() {
    let (address, _) = store(PIECE_DELAY);
    let listing = MetadataStore::new(address)
        .list_page("op/", None)
        .expect("a list");
    assert_eq!(listing.revision.number(), 7);
}

#[test]
fn idle_connection_not_reused() {
    let (address, connections) = store(Duration::ZERO);
    let store = MetadataStore::new(address);
    store.list_page("op/", None).expect("a list");
    std::thread::sleep(IDLE_DURATION);
    store.list_page("op/", None).expect("a list");
    assert_eq!(connections.load(Ordering::Relaxed), 2);
}
