//! The queue to a peer that does not read is limited in bytes, so that the peer cannot exhaust the
//! memory of the sender.

use passway_process::outbox::{MAX_WAITING_BYTES, Outbox};
use passway_types::prelude::*;
use passway_wire::link::WRITE_TIMEOUT;
use passway_wire::message::{StoreValue, Updates};
use passway_wire::{Body, Link, LinkReader};
use std::net::TcpListener;

/// Size of one message.
const MESSAGE_BYTES: usize = 1 << 20;
/// Number of messages to a peer that reads none of them.
const MESSAGES: usize = 64;
/// Upper bound of the socket buffers of a connection in both directions.
const MAX_SOCKET_BYTES: usize = 16 << 20;

#[test]
fn unresponsive_peer_disconnected() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let (link, _reader) = Link::connect(address, Duration::from_secs(5)).expect("a link");
    let (stream, _) = listener.accept().expect("a peer");
    let (_peer_link, mut peer_reader) = Link::from_stream(stream).expect("a link");
    let outbox = Outbox::new(link);
    for _ in 0..MESSAGES {
        let value = StoreValue {
            key: "k".into(),
            value: Some(vec![7; MESSAGE_BYTES].into()),
            revision: 1,
            ..StoreValue::default()
        };
        outbox.send(Body::Updates(Updates {
            values: vec![value],
            ..Updates::default()
        }));
        assert!(outbox.waiting_bytes() <= MAX_WAITING_BYTES + 2 * MESSAGE_BYTES);
    }
    let mut received_bytes = 0;
    while let Ok(Some(_)) = peer_reader.receive() {
        received_bytes += MESSAGE_BYTES;
    }
    let max_bytes = MAX_WAITING_BYTES + MAX_SOCKET_BYTES;
    assert!(
        received_bytes <= max_bytes,
        "{received_bytes} bytes reached the peer"
    );
}

/// A connected outbox and the reader of its peer.
fn connected_outbox() -> (Outbox, LinkReader) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let (link, _reader) = Link::connect(address, Duration::from_secs(5)).expect("a link");
    let (stream, _) = listener.accept().expect("a peer");
    let (_peer_link, peer_reader) = Link::from_stream(stream).expect("a link");
    (Outbox::new(link), peer_reader)
}

fn message(number: u64, bytes: usize) -> Body {
    let value = StoreValue {
        key: "k".into(),
        value: Some(vec![7; bytes].into()),
        revision: number,
        ..StoreValue::default()
    };
    Body::Updates(Updates {
        values: vec![value],
        ..Updates::default()
    })
}

/// Guards against a holder that needs a sending thread for each subscriber and reaches the limit of
/// its threads with a thousand of them.
#[test]
fn idle_peer_needs_no_thread() {
    for number in 0..200 {
        let (outbox, mut peer_reader) = connected_outbox();
        outbox.send(message(number, 100));
        // The message left with the caller, so no thread has to send it.
        assert_eq!(outbox.waiting_bytes(), 0);
        assert!(peer_reader.receive().expect("a message").is_some());
    }
}

/// Guards against messages that overtake or cut the rest of one that the socket took in part.
#[test]
fn order_kept_beyond_socket_buffer() {
    let (outbox, mut peer_reader) = connected_outbox();
    let sizes = [3 << 20, 10, 2 << 20, 100_000, 1, 3 << 20, 10];
    let receiver = std::thread::spawn(move || {
        let mut received = Vec::new();
        while let Ok(Some(Body::Updates(mut updates))) = peer_reader.receive() {
            let value = updates.values.pop().expect("a value");
            received.push((value.revision, value.value.map_or(0, |bytes| bytes.len())));
        }
        received
    });
    let mut sent = Vec::new();
    for (number, size) in (1..).zip(sizes) {
        outbox.send(message(number, size));
        sent.push((number, size));
        while outbox.waiting_bytes() > MAX_WAITING_BYTES / 2 {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
    drop(outbox);
    assert_eq!(receiver.join().expect("a receiver"), sent);
}

/// Guards against a thread that sends for all peers and waits for one that takes nothing.
#[test]
fn blocked_peer_delays_no_other() {
    let (blocked, mut blocked_reader) = connected_outbox();
    let (slow, mut slow_reader) = connected_outbox();
    // Neither socket takes so much at once, so both queues go to the sending thread.
    blocked.send(message(1, 3 << 20));
    slow.send(message(1, 3 << 20));
    assert!(slow_reader.receive().expect("a message").is_some());
    assert!(blocked.waiting_bytes() > 0);
    // The peer takes nothing for as long as a write may take, so its connection is closed.
    let limit_at = Instant::now() + 2 * WRITE_TIMEOUT;
    while blocked.waiting_bytes() > 0 {
        assert!(Instant::now() < limit_at, "the peer is not given up");
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(blocked_reader.receive().is_err());
}
