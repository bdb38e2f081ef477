//! The dispatcher of engines.

use crate::cluster::{self, RECEIVE_TIMEOUT, until};
use crate::lock_tests;
use passway_standins::platform::model_server::ModelServer;
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::dispatch::{Datagram, Dispatch, DispatchRequest, Verdict};
use passway_wire::message::{Member, Members};
use passway_wire::{Body, Link};
use std::net::{SocketAddr, TcpListener, UdpSocket};

/// The dispatcher's verdict on a request to dispatch.
fn ask(socket: &UdpSocket, dispatcher: SocketAddr, id: u64) -> Verdict {
    let question = DispatchRequest {
        id,
        service: "engines".into(),
        model: "m0".into(),
        hall: "hall0".into(),
        ..DispatchRequest::default()
    };
    let bytes = Datagram::encode_body(Some(Dispatch::DispatchRequest(question)));
    socket.send_to(&bytes, dispatcher).expect("sent");
    let mut bytes = [0; 1_500];
    loop {
        let (length, _) = socket.recv_from(&mut bytes).expect("an answer");
        if let Some(Dispatch::DispatchReply(grant)) = Datagram::decode_body(&bytes[..length])
            && grant.id == id
        {
            return grant.verdict();
        }
    }
}

/// Runs that were not reported since before the suspension count as ended, and their slots are
/// free.
#[test]
fn old_runs_expire() {
    let _lock = lock_tests();
    let store = cluster::store(&["m0"]);
    let _engine = ModelServer::start(&store, "i-0", "engines", 1, &["m0"], &[]);
    let holder = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = holder.local_addr().expect("address");
    store.put_bytes("passway/holder", format!("played {address}").as_bytes());
    let instance = cluster::start_ready("one", &store);
    let (link, mut reader) = Link::from_stream(holder.accept().expect("a link").0).expect("a link");
    let dispatcher = loop {
        if let Some(Body::Subscribe(subscribe)) = reader.receive().expect("a message") {
            break subscribe.address;
        }
    };
    let member = Member {
        instance: "one".into(),
        address: dispatcher.clone(),
    };
    let members = Members {
        members: vec![member],
    };
    link.send(Body::Dispatchers(members)).expect("sent");
    until("a dispatcher", || instance.dispatcher_count() == 1);
    let dispatcher: SocketAddr = dispatcher.parse().expect("an address");
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bind");
    socket
        .set_read_timeout(Some(RECEIVE_TIMEOUT))
        .expect("a timeout");
    let full = (0..100).find(|id| ask(&socket, dispatcher, *id) != Verdict::Go);
    assert!(full.is_some(), "the engine has fewer slots");
    clock::simulate_suspension(Duration::from_secs(10));
    // The first request after the suspension may still be answered from the old state.
    ask(&socket, dispatcher, 200);
    assert_eq!(ask(&socket, dispatcher, 201), Verdict::Go);
}
