//! What the deciding thread is told.

use crossbeam::channel::Sender;
use passway_config::revision::EncodedRevision;
use passway_decide::cell::Event;
use passway_platform::instance_list::ListedInstance;
use passway_process::outbox::Outbox;
use passway_types::prelude::*;
use passway_wire::Body;
use std::net::SocketAddr;

/// The number of an accepted connection.
pub type LinkId = u64;

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
    Linked {
        /// Its number.
        id: LinkId,
        /// Sends to it.
        outbox: Outbox,
    },
    /// A message came on an accepted connection.
    Heard {
        /// The connection.
        id: LinkId,
        /// The message.
        body: Body,
    },
    /// An accepted connection ended.
    Unlinked {
        /// The connection.
        id: LinkId,
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
        asked_at: Instant,
        /// The revision that stands.
        kept: Arc<EncodedRevision>,
    },
    /// The configuration that was read last still stands.
    ConfigConfirmed {
        /// When the question was sent.
        asked_at: Instant,
    },
    /// The configuration could not be read.
    ConfigUnavailable,
    /// The instance list was read.
    Listed(Vec<ListedInstance>),
    /// The process stops; the sender is told when leases are given back.
    Stop(Sender<()>),
}
