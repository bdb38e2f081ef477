//! What the deciding thread is told.

use crossbeam::channel::Sender;
use passway_config::revision::KeptRevision;
use passway_decide::cell::Event;
use passway_platform::instance_list::ListedInstance;
use passway_process::outbox::Outbox;
use passway_types::prelude::*;
use passway_wire::Body;
use std::net::SocketAddr;

/// The number of an accepted connection.
pub type ConnectionId = u64;

/// Something that happened outside.
#[derive(Debug)]
pub enum Input {
    /// An event for one cell's decisions.
    Cell {
        /// The cell.
        cell: CellName,
        /// The event.
        event: Event,
    },
    /// A connection was accepted.
    Connected {
        /// Its number.
        id: ConnectionId,
        /// Sends to it.
        outbox: Outbox,
    },
    /// A message came on an accepted connection.
    Received {
        /// The connection.
        id: ConnectionId,
        /// The message.
        body: Body,
    },
    /// An accepted connection ended.
    Disconnected {
        /// The connection.
        id: ConnectionId,
    },
    /// A message came from a controller that this one connected to.
    FromPeer {
        /// The controller's address.
        peer: SocketAddr,
        /// The message.
        body: Body,
    },
    /// The key-value service answered something.
    ServiceReached,
    /// The configuration was read and is another one than before.
    ConfigRead {
        /// When the question was sent.
        requested_at: Instant,
        /// The revision that stands.
        revision: Arc<KeptRevision>,
    },
    /// The configuration that was read last still stands.
    ConfigConfirmed {
        /// When the question was sent.
        requested_at: Instant,
    },
    /// The configuration could not be read.
    ConfigUnavailable,
    /// The instance list was read.
    Listed(Vec<ListedInstance>),
    /// The process stops; the sender is told when leases are given back.
    Stop(Sender<()>),
}
