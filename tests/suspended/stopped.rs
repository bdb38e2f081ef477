//! A process that is stopped and goes on: what it waited for is still to come.

use crate::alone;
use crate::cluster::PATIENCE;
use passway_wire::message::PromiseWanted;
use passway_wire::{Body, Link};
use std::net::TcpListener;
use std::process::Command;

/// Stops this process for a moment, as often as is said.
fn stop(times: usize) {
    let script = "kill -STOP $0; sleep 0.05; kill -CONT $0";
    for _ in 0..times {
        let mut command = Command::new("sh");
        command.args(["-c", script, &std::process::id().to_string()]);
        assert!(command.status().expect("a shell").success());
    }
}

/// Each stop ended all links to other instances: the system calls that wait on a socket with a time-out end with an
/// error when the process goes on. A candidate that was stopped now and then was never asked for its promise, and an
/// outage of the store ended the holder's term.
#[test]
fn links_stand() {
    let _alone = alone();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (dialed, _reader) = Link::connect(address, PATIENCE).expect("a link");
    let (_accepted, mut reader) =
        Link::from_stream(listener.accept().expect("a connection").0).expect("a link");
    reader.set_timeout(PATIENCE).expect("a time-out");
    let receiving = std::thread::spawn(move || reader.receive());
    stop(5);
    let body = Body::PromiseWanted(PromiseWanted::default());
    dialed.send(body.clone()).expect("sent");
    let received = receiving.join().expect("a reader");
    assert_eq!(received.expect("a link that stands"), Some(body));
}
