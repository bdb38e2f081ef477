//! Receives messages and passed-on requests from instances that connect, and defines the inputs of
//! the holder thread.

use crate::callers::PeerEntry;
use crate::members;
use crate::shared::Shared;
use anyhow::{Context, Result};
use crossbeam::channel::Sender;
use passway_process::outbox::Outbox;
use passway_serving::leadership::Holder;
use passway_serving::placement::PlannedOrder;
use passway_serving::ports::{EngineReport, OrderAnswer};
use passway_serving::upstreams::UpstreamEntry;
use passway_types::prelude::*;
use passway_wire::message::{InstanceReport, KnownSignals, Promise, Subscribe, Suspects};
use passway_wire::{Body, Link, LinkReader};
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};

/// Inputs of the holder thread.
#[derive(Debug)]
pub enum Input {
    /// An instance has connected; with the number of its connection.
    Connected(u64, Outbox),
    /// The connection of an instance has ended; with the instance's name, if known.
    Disconnected(u64, Option<InstanceId>),
    /// An instance reports its waiting, accepted and running requests.
    Report(InstanceReport),
    /// An instance subscribes to the store's updates.
    Subscribe(u64, Subscribe),
    /// A term of this instance has begun.
    TermBegun,
    /// Another instance announced that it is the holder.
    HolderAnnounced(Holder),
    /// An instance reports requests under which upstreams crashed.
    Suspects(Suspects),
    /// An instance reports signals of upstreams.
    Signals(KnownSignals),
    /// A candidate promises not to acquire leadership.
    Promised(Promise),
    /// The store has a new or changed entry of an upstream.
    UpstreamSeen(UpstreamEntry),
    /// The store lists only these upstreams.
    UpstreamsListed(BTreeSet<UpstreamId>),
    /// An order was answered.
    OrderAnswered(PlannedOrder, OrderAnswer),
    /// An engine reported its state; `None` if it did not answer.
    EngineReported(UpstreamId, Option<EngineReport>),
}

/// Binds the address for other instances.
///
/// # Errors
/// If the address cannot be bound.
pub fn bind(address: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).with_context(|| format!("binding {address}"))?;
    listener
        .set_nonblocking(true)
        .context("setting the listener for other instances to non-blocking")?;
    Ok(listener)
}

/// Accepts connections of other instances until the instance ends.
pub(super) fn accept(
    shared: &Arc<Shared>,
    listener: &TcpListener,
    inputs: &Sender<Input>,
    entry: &PeerEntry,
) {
    let mut next_number = 0;
    shared.termination().accept_until(listener, |stream| {
        let number = next_number;
        next_number += 1;
        let Ok((link, reader)) = Link::from_stream(stream) else {
            // The peer finds its connection closed and opens another one.
            return;
        };
        let shared = shared.clone();
        let (inputs, entry) = (inputs.clone(), entry.clone());
        let receive = move || {
            let _closed_at_end = shared.termination().close_at_end(&link);
            receive_from_peer(number, link, reader, &inputs, &entry);
        };
        if let Err(error) = std::thread::Builder::new().spawn(receive) {
            // The peer finds its connection closed and opens another one.
            log::warn!(error:% = error; "cannot start a thread for a connecting instance");
        }
    });
}

/// Forwards the messages of a peer until its connection ends, or serves the request that the peer
/// passes on. The first message shows which of the two the connection is for.
fn receive_from_peer(
    number: u64,
    link: Link,
    mut reader: LinkReader,
    inputs: &Sender<Input>,
    entry: &PeerEntry,
) {
    let mut next = reader.receive();
    if let Ok(Some(Body::PeerRequest(announcement))) = next {
        let (stream, received) = reader.into_parts();
        entry.serve(stream, &received, announcement);
        return;
    }
    let mut instance = None;
    // The channel closes only when the instance ends.
    let _ = inputs.send(Input::Connected(number, Outbox::new(link)));
    while let Ok(Some(body)) = next {
        if let Some(input) = input_of(number, body, &mut instance) {
            let _ = inputs.send(input);
        }
        next = reader.receive();
    }
    let _ = inputs.send(Input::Disconnected(number, instance));
}

/// The input for a message; `None` if the message is not for the holder thread. Stores the name of
/// an instance that reports.
fn input_of(number: u64, body: Body, instance: &mut Option<InstanceId>) -> Option<Input> {
    let input = match body {
        Body::InstanceReport(report) => {
            *instance = Some(InstanceId::from(report.instance.as_str()));
            Input::Report(report)
        }
        Body::Subscribe(subscribe) => Input::Subscribe(number, subscribe),
        Body::NewHolder(announced) => Input::HolderAnnounced(members::decode_holder(&announced)?),
        Body::Promise(promise) => Input::Promised(promise),
        Body::Suspects(suspects) => Input::Suspects(suspects),
        Body::KnownSignals(signals) => Input::Signals(signals),
        _ => return None,
    };
    Some(input)
}
