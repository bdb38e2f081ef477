//! The controller program: runs the decision logic of [`passway_decide::cell`] with threads,
//! connections and calls.
//!
//! One thread makes all decisions ([`node::Node`]) and never blocks. The threads of
//! `workers` make its calls and return the answers as [`node::Input`]s. Each connection of
//! a router, another controller or `passwayctl` has a reader thread ([`listener`]); messages
//! to it go through an outbox.
//!
//! * [`config_feed`] reads the configuration from the key-value service.
//! * [`gossip`] records holders, confirmed revisions and contacts with peers.
//! * [`audit`] retains the latest decisions.
//! * [`status`] defines the answer to a status query of `passwayctl`.

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

/// Maximum time to release leases at a stop.
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

    /// Starts a controller on a socket that is already bound.
    ///
    /// # Errors
    /// If the settings name an address that cannot be parsed.
    pub fn start_on(listener: TcpListener, settings: ControllerSettings) -> Result<Self> {
        let address = listener.local_addr().context("reading the bound address")?;
        let (inputs, input_receiver) = unbounded();
        listener::start(listener, inputs.clone());
        let node = Node::new(settings, address, inputs.clone())?;
        let thread = std::thread::Builder::new()
            .name("decide".into())
            .spawn(move || node.run(&input_receiver))
            .context("starting the decision thread")?;
        Ok(Self {
            address,
            inputs,
            thread,
        })
    }

    /// Returns the address on which the controller listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Releases the leases and stops.
    pub fn stop(self) {
        let (stopped_sender, stopped_receiver) = bounded(1);
        if self.inputs.send(Input::Stop(stopped_sender)).is_ok() {
            // After the timeout the controller stops anyway; its leases then expire.
            let _ = stopped_receiver.recv_timeout(STOP_TIMEOUT);
        }
        drop(self.thread);
    }
}
