//! Accepts connections of routers, controllers and operators.

use crate::node::{ConnectionId, Input};
use crossbeam::channel::Sender;
use passway_process::outbox::Outbox;
use passway_types::prelude::*;
use passway_wire::Link;
use std::net::{TcpListener, TcpStream};

/// Pause after an accept failed, for instance for want of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// A peer that is silent for this long is given up.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts the accepting thread.
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
    let outbox = Outbox::start(link.clone());
    if inputs.send(Input::Connected { id, outbox }).is_err() {
        return;
    }
    while let Ok(Some(body)) = reader.receive() {
        if inputs.send(Input::Received { id, body }).is_err() {
            break;
        }
    }
    link.close();
    // The receiver ends only with the process.
    let _ = inputs.send(Input::Disconnected { id });
}
