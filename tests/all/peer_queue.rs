//! The queue to a peer that does not read is limited in bytes, so that the peer cannot exhaust the
//! memory of the sender.

use passway_process::outbox::{MAX_WAITING_BYTES, Outbox};
use passway_types::prelude::*;
use passway_wire::message::{StoreValue, Updates};
use passway_wire::{Body, Link};
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
    let outbox = Outbox::start(link);
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
