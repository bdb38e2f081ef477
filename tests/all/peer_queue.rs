//! What waits for a peer that does not read is bounded in bytes.

use passway_process::outbox::{MAX_WAITING_BYTES, Outbox};
use passway_types::prelude::*;
use passway_wire::message::{StoreValue, Updates};
use passway_wire::{Body, Link};
use std::net::TcpListener;

/// Bytes of one message.
const MESSAGE_BYTES: usize = 1 << 20;
/// Messages for a peer that reads none of them.
const MESSAGES: usize = 64;
/// What the system keeps of a connection in both directions, at most.
const SOCKET_BYTES: usize = 16 << 20;

#[test]
fn silent_peer_cut_off() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let (link, _reader) = Link::connect(address, Duration::from_secs(5)).expect("a link");
    let (peer, _) = listener.accept().expect("a peer");
    let (_peer, mut peer) = Link::from_stream(peer).expect("a link");
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
    let mut received = 0;
    while let Ok(Some(_)) = peer.receive() {
        received += MESSAGE_BYTES;
    }
    let most = MAX_WAITING_BYTES + SOCKET_BYTES;
    assert!(received <= most, "{received} bytes reached the peer");
}
