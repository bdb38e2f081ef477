//! Connections to other controllers.
//!
//! A controller connects to the peers that are 1, 2, 4, 8 ... positions after it in the ring
//! of all addresses. The number of connections of a controller and the number of hops until
//! an update reaches all controllers both grow with the logarithm of the fleet.

use super::Input;
use anyhow::{Context, Result};
use crossbeam::channel::Sender;
use passway_decide::plan::Holder;
use passway_process::dial::{DialEvent, Dialer};
use passway_process::outbox::Outbox;
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::Body;
use passway_wire::message::{Hello, Role};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

/// Minimum interval between two hellos to a peer. The hellos keep the peer from closing the
/// connection as silent.
const HELLO_INTERVAL: Duration = Duration::from_secs(1);

type Outboxes = Arc<Mutex<HashMap<SocketAddr, Outbox>>>;

/// The peers that this controller is connected to.
#[derive(Debug)]
pub(super) struct Peers {
    outboxes: Outboxes,
    _dialers: Vec<Dialer>,
}

impl Peers {
    /// Connects to each chosen peer and reconnects after a disconnect.
    ///
    /// # Errors
    /// If an address cannot be parsed.
    pub(super) fn connect(
        peers: &[String],
        identity: &Holder,
        inputs: &Sender<Input>,
    ) -> Result<Self> {
        let mut ring = Vec::new();
        for text in peers {
            ring.push(
                text.parse()
                    .with_context(|| format!("parsing the address of the peer {text}"))?,
            );
        }
        let outboxes = Outboxes::default();
        let chosen = chosen_peers(ring, identity.address);
        let dialers = chosen
            .into_iter()
            .map(|peer| start_dialer(peer, identity, &outboxes, inputs.clone()));
        let dialers = dialers.collect();
        Ok(Self {
            outboxes,
            _dialers: dialers,
        })
    }

    /// Sends to a peer, if a connection to it is open.
    pub(super) fn send(&self, peer: SocketAddr, body: Body) {
        let outboxes = self.outboxes.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(outbox) = outboxes.get(&peer) {
            outbox.send(body);
        }
    }
}

/// Returns the peers 1, 2, 4, 8 ... positions after `own_address` in the sorted ring.
pub(super) fn chosen_peers(mut ring: Vec<SocketAddr>, own_address: SocketAddr) -> Vec<SocketAddr> {
    ring.push(own_address);
    ring.sort_unstable();
    ring.dedup();
    let own_index = ring.binary_search(&own_address).unwrap_or(0);
    let offsets = std::iter::successors(Some(1_usize), |offset| Some(offset * 2));
    let offsets = offsets.take_while(|offset| *offset < ring.len());
    offsets
        .map(|offset| ring[(own_index + offset) % ring.len()])
        .collect()
}

fn start_dialer(
    peer: SocketAddr,
    identity: &Holder,
    outboxes: &Outboxes,
    inputs: Sender<Input>,
) -> Dialer {
    let hello = Hello {
        role: Role::Controller.into(),
        instance: identity.instance.to_string(),
        incarnation: identity.incarnation,
        ..Default::default()
    };
    let outboxes = outboxes.clone();
    let mut hello_sent_at = clock::now();
    Dialer::start(peer, move |event| {
        let mut outboxes = outboxes.lock().unwrap_or_else(PoisonError::into_inner);
        match event {
            DialEvent::Connected(outbox) => {
                outbox.send(Body::Hello(hello.clone()));
                outboxes.insert(peer, outbox);
                hello_sent_at = clock::now();
            }
            DialEvent::Received(body) => {
                // Answers the peer's messages with a hello, so the peer does not reach its
                // read timeout.
                if let Some(outbox) = outboxes.get(&peer)
                    && clock::since(hello_sent_at) >= HELLO_INTERVAL
                {
                    outbox.send(Body::Hello(hello.clone()));
                    hello_sent_at = clock::now();
                }
                // The receiver exists until the process terminates, so the send does not fail.
                let _ = inputs.send(Input::FromPeer { peer, body });
            }
            DialEvent::Disconnected => {
                outboxes.remove(&peer);
            }
        }
    })
}
