//! A process that is stopped and continued: it must not lose messages that it waits for.

use crate::cluster::RECEIVE_TIMEOUT;
use crate::lock_tests;
use passway_wire::message::PromiseRequest;
use passway_wire::{Body, Link};
use std::net::TcpListener;
use std::process::Command;

/// Stops and continues this process the given number of times.
fn stop(times: usize) {
    let script = "kill -STOP $0; sleep 0.05; kill -CONT $0";
    for _ in 0..times {
        let mut command = Command::new("sh");
        command.args(["-c", script, &std::process::id().to_string()]);
        assert!(command.status().expect("a shell").success());
    }
}

/// Guards against links that end when the process is stopped: system calls that wait on a socket
/// with a timeout return an error when the process continues. A candidate that was stopped now and
/// then was never asked for its promise, so an outage of the store ended the holder's term.
#[test]
fn links_survive_stops() {
    let _lock = lock_tests();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (dialed, _reader) = Link::connect(address, RECEIVE_TIMEOUT).expect("a link");
    let (_accepted, mut reader) =
        Link::from_stream(listener.accept().expect("a connection").0).expect("a link");
    reader.set_timeout(RECEIVE_TIMEOUT).expect("a timeout");
    let receiving = std::thread::spawn(move || reader.receive());
    stop(5);
    let body = Body::PromiseRequest(PromiseRequest::default());
    dialed.send(body.clone()).expect("sent");
    let received = receiving.join().expect("a reader");
    assert_eq!(received.expect("an open link"), Some(body));
}
