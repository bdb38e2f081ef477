//! Connections to other controllers.

use super::Input;
use anyhow::{Context, Result};
use crossbeam::channel::Sender;
use passway_decide::plan::Holder;
use passway_process::dial::{Dialed, Dialer};
use passway_types::prelude::*;
use passway_wire::Body;
use passway_wire::message::{Hello, Role};
use std::net::SocketAddr;

/// Pause between two words to a peer, so that it does not take this one for dead.
const WORD_PAUSE: Duration = Duration::from_secs(1);

/// Keeps a connection to every peer but this controller itself.
pub(super) fn dial_all(
    peers: &[String],
    me: &Holder,
    inputs: &Sender<Input>,
) -> Result<Vec<Dialer>> {
    let mut dialers = Vec::new();
    for text in peers {
        let address: SocketAddr = text.parse().with_context(|| format!("peer {text}"))?;
        if address != me.address {
            dialers.push(dial(address, me, inputs.clone()));
        }
    }
    Ok(dialers)
}

fn dial(address: SocketAddr, me: &Holder, inputs: Sender<Input>) -> Dialer {
    let hello = Hello {
        role: Role::Controller.into(),
        instance: me.instance.to_string(),
        incarnation: me.incarnation,
        ..Default::default()
    };
    let mut outbox = None;
    let mut said_at = Instant::now();
    Dialer::start(address, move |dialed| match dialed {
        Dialed::Connected(connected) => {
            connected.send(Body::Hello(hello.clone()));
            outbox = Some(connected);
            said_at = Instant::now();
        }
        Dialed::Received(body) => {
            // A heartbeat is answered, so that neither side falls silent.
            if let Some(outbox) = &outbox
                && said_at.elapsed() >= WORD_PAUSE
            {
                outbox.send(Body::Hello(hello.clone()));
                said_at = Instant::now();
            }
            // The deciding thread ends only with the process.
            let _ = inputs.send(Input::FromPeer(body));
        }
        Dialed::Disconnected => outbox = None,
    })
}
