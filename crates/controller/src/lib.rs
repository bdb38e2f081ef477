//! The controller program: a thin shell round [`passway_decide::cell`].
//!
//! One thread decides ([`node::Node`]); it never blocks. All calls leave through
//! [`workers`], whose answers come back as [`node::Input`]s. Connections of
//! routers, other controllers and `passwayctl` are read by a thread each
//! ([`listener`]) and written through outboxes.
//!
//! * [`config_feed`] reads the configuration from the key-value service.
//! * [`gossip`] knows holders, ages and peers.
//! * [`audit`] keeps the latest decisions; [`status`] is what `passwayctl` sees.

pub mod audit;
pub mod config_feed;
pub mod gossip;
mod listener;
pub mod node;
pub mod status;
mod translate;
mod workers;

use anyhow::{Context, Result};
use crossbeam::channel::{Sender, bounded, unbounded};
use node::{Input, Node};
use passway_config::settings::ControllerSettings;
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;
use std::time::Duration;

/// Longest time for leases to be given back at a stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// A running controller.
#[derive(Debug)]
pub struct Controller {
    address: SocketAddr,
    inputs: Sender<Input>,
    thread: JoinHandle<()>,
}

impl Controller {
    /// Starts a controller with checked settings.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn start(settings: ControllerSettings) -> Result<Self> {
        let listener = TcpListener::bind(&settings.listen)
            .with_context(|| format!("binding {}", settings.listen))?;
        Self::start_on(listener, settings)
    }

    /// Starts a controller on a socket that is bound already.
    ///
    /// # Errors
    /// If the settings name an address that cannot be parsed.
    pub fn start_on(listener: TcpListener, settings: ControllerSettings) -> Result<Self> {
        let address = listener.local_addr().context("local address")?;
        let (inputs, input_receiver) = unbounded();
        listener::start(listener, inputs.clone());
        let node = Node::new(settings, address, inputs.clone())?;
        let thread = std::thread::Builder::new()
            .name("decide".into())
            .spawn(move || node.run(&input_receiver))
            .context("starting the deciding thread")?;
        Ok(Self {
            address,
            inputs,
            thread,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gives leases back and stops.
    pub fn stop(self) {
        let (stopped_sender, stopped_receiver) = bounded(1);
        if self.inputs.send(Input::Stop(stopped_sender)).is_ok() {
            // A stop that takes too long is cut; leases then lapse by themselves.
            let _ = stopped_receiver.recv_timeout(STOP_TIMEOUT);
        }
        drop(self.thread);
    }
}
