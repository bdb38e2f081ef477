//! A large answer of the store takes its time on a narrow link and is read all the same.
//!
//! Seen while it was looked for what else could keep a version from an instance: a list had
//! 0.9 s from its first byte sent to its last byte read, and a value of 1 MB takes 1.1 s on a
//! link of 10 Mbit/s. An instance there would have asked for it again for ever.

use passway_serving::ports::SharedStore;
use passway_types::prelude::*;
use passway_users_platform::MetadataStore;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Pieces in which an answer comes.
const PIECES: usize = 12;
/// Pause before each.
const PIECE_DELAY: Duration = Duration::from_millis(100);
/// Longer than a connection to the store may rest.
const IDLE_DURATION: Duration = Duration::from_millis(1_100);

/// Answers every call with an empty list, in pieces.
fn answer(mut stream: TcpStream, pause: Duration) {
    let body = b"{\"items\":[],\"has_more\":false,\"store_revision\":7}";
    let mut chunk = [0; 1_024];
    while stream.read(&mut chunk).is_ok_and(|count| count > 0) {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).expect("the head");
        for piece in body.chunks(body.len().div_ceil(PIECES)) {
            std::thread::sleep(pause);
            stream.write_all(piece).expect("a piece");
        }
    }
}

/// A store that answers in pieces, and the connections that were made to it.
fn store(pause: Duration) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let connections = Arc::new(AtomicUsize::new(0));
    let count = connections.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            count.fetch_add(1, Ordering::Relaxed);
            let stream = stream.expect("a connection");
            std::thread::spawn(move || answer(stream, pause));
        }
    });
    (address, connections)
}

#[test]
fn slow_list_is_read() {
    let (address, _) = store(PIECE_DELAY);
    let listing = MetadataStore::new(address).list("op/").expect("a list");
    assert_eq!(listing.revision, 7);
}

#[test]
fn idle_connection_not_reused() {
    let (address, connections) = store(Duration::ZERO);
    let store = MetadataStore::new(address);
    store.list("op/").expect("a list");
    std::thread::sleep(IDLE_DURATION);
    store.list("op/").expect("a list");
    assert_eq!(connections.load(Ordering::Relaxed), 2);
}
