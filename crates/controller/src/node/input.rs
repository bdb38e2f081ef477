//! The inputs of the decision thread.

use crossbeam::channel::Sender;
use passway_config::revision::EncodedRevision;
use passway_decide::cell::Event;
use passway_platform::instance_list::ListedInstance;
use passway_process::outbox::Outbox;
use passway_types::prelude::*;
use passway_wire::Body;
use std::net::SocketAddr;

/// The number of an accepted connection.
pub type ConnectionId = u64;

/// An event or answer from another thread.
#[derive(Debug)]
pub enum Input {
    /// An event for the decision logic of one cell.
    Cell {
        /// The cell that handles the event.
        cell: CellName,
        /// The event.
        event: Event,
    },
    /// A connection was accepted.
    Connected {
        /// The number of the new connection.
        id: ConnectionId,
        /// Queue of messages to the connection.
        outbox: Outbox,
    },
    /// A message arrived on an accepted connection.
    Received {
        /// The connection.
        id: ConnectionId,
        /// The message.
        body: Body,
    },
    /// An accepted connection was closed.
    Disconnected {
        /// The connection.
        id: ConnectionId,
    },
    /// A message arrived from a peer to which this controller has connected.
    FromPeer {
        /// The peer's address.
        peer: SocketAddr,
        /// The message.
        body: Body,
    },
    /// The key-value service answered a call.
    ServiceReached,
    /// The reader thread has read a configuration that differs from the previous one.
    ConfigRead {
        /// Time at which the read was sent.
        requested_at: Instant,
        /// The current revision.
        revision: Arc<EncodedRevision>,
    },
    /// The configuration that was last read is still the current one.
    ConfigConfirmed {
        /// Time at which the read was sent.
        requested_at: Instant,
    },
    /// The configuration could not be read.
    ConfigUnavailable,
    /// The instance list as just read.
    Listed(Vec<ListedInstance>),
    /// The process stops. The sender receives a message once the leases are released.
    Stop(Sender<()>),
}
