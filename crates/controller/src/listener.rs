//! Accepts connections of routers, controllers and operators.

use crate::node::{ConnectionId, Input};
use crossbeam::channel::Sender;
use passway_process::outbox::Outbox;
use passway_types::prelude::*;
use passway_wire::Link;
use std::net::{TcpListener, TcpStream};

/// Delay after a failed accept, for instance because no file descriptor was free.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// A connection without a message for this long is closed.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts the thread that accepts connections.
pub(crate) fn start(listener: TcpListener, inputs: Sender<Input>) {
    std::thread::spawn(move || {
        let mut last_id: ConnectionId = 0;
        loop {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(ACCEPT_BACKOFF);
                continue;
            };
            last_id += 1;
            let (id, inputs) = (last_id, inputs.clone());
            std::thread::spawn(move || serve(stream, id, &inputs));
        }
    });
}

fn serve(stream: TcpStream, id: ConnectionId, inputs: &Sender<Input>) {
    let Ok((link, mut reader)) = Link::from_stream(stream) else {
        return;
    };
    if reader.set_timeout(READ_TIMEOUT).is_err() {
        return;
    }
    let outbox = Outbox::new(link.clone());
    if inputs.send(Input::Connected { id, outbox }).is_err() {
        return;
    }
    while let Ok(Some(body)) = reader.receive() {
        if inputs.send(Input::Received { id, body }).is_err() {
            break;
        }
    }
    link.close();
    // The receiver exists until the process terminates, so the send does not fail.
    let _ = inputs.send(Input::Disconnected { id });
}
