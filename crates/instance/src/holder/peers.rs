//! Hearing instances that connect, and what the deciding thread takes in.

use crate::members;
use anyhow::{Context, Result};
use crossbeam::channel::Sender;
use passway_process::outbox::Outbox;
use passway_serving::leadership::Holder;
use passway_serving::placement::PlannedOrder;
use passway_serving::ports::{EngineReport, OrderAnswer};
use passway_serving::upstreams::UpstreamEntry;
use passway_types::prelude::*;
use passway_wire::message::{Needs, Promise, Subscribe, Suspects, Words};
use passway_wire::{Body, Link, LinkReader};
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};

/// What the deciding thread hears.
#[derive(Debug)]
pub enum Input {
    /// An instance has connected.
    Connected(u64, Outbox),
    /// Its connection ended.
    Disconnected(u64, Option<InstanceId>),
    /// What an instance needs.
    Needs(Needs),
    /// An instance wants the store's news.
    Subscribe(u64, Subscribe),
    /// A term of this instance has begun.
    TermBegun,
    /// Another instance holds the right to order.
    Succeeded(Holder),
    /// An instance knows of requests under which upstreams crashed.
    Suspects(Suspects),
    /// An instance knows how much upstreams take.
    Words(Words),
    /// A candidate promises not to take the right to order.
    Promised(Promise),
    /// An upstream has said something of itself.
    Heard(UpstreamEntry),
    /// Only these upstreams are there.
    Listed(BTreeSet<UpstreamId>),
    /// An order was answered.
    Answered(PlannedOrder, OrderAnswer),
    /// An engine told its state.
    Reported(UpstreamId, Option<EngineReport>),
}

/// Binds the address for other instances.
///
/// # Errors
/// If it cannot be bound.
pub fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).with_context(|| format!("binding {address}"))
}

/// Hears whoever connects for as long as the process lives.
pub(super) fn accept(listener: &TcpListener, inputs: &Sender<Input>) {
    for (number, stream) in (0..).zip(listener.incoming()) {
        let Ok((link, reader)) = stream.and_then(Link::from_stream) else {
            continue;
        };
        let inputs = inputs.clone();
        let hearing = move || hear_peer(number, link, reader, &inputs);
        if let Err(error) = std::thread::Builder::new().spawn(hearing) {
            // The peer finds its connection closed and makes another one.
            log::warn!(error:% = error; "no thread for an instance that connects");
        }
    }
}

/// Passes on what a peer says for as long as it is connected.
fn hear_peer(number: u64, link: Link, mut reader: LinkReader, inputs: &Sender<Input>) {
    let mut instance = None;
    // The deciding thread ends only with the process.
    let _ = inputs.send(Input::Connected(number, Outbox::start(link)));
    while let Ok(Some(body)) = reader.receive() {
        let input = match body {
            Body::Needs(needs) => {
                instance = Some(InstanceId::from(needs.instance.as_str()));
                Input::Needs(needs)
            }
            Body::Subscribe(subscribe) => Input::Subscribe(number, subscribe),
            Body::Successor(told) => match members::successor(&told) {
                Some(holder) => Input::Succeeded(holder),
                None => continue,
            },
            Body::Promise(promise) => Input::Promised(promise),
            Body::Suspects(suspects) => Input::Suspects(suspects),
            Body::Words(told) => Input::Words(told),
            _ => continue,
        };
        let _ = inputs.send(input);
    }
    let _ = inputs.send(Input::Disconnected(number, instance));
}
