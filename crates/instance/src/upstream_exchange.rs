//! One request sent over a connection to an upstream or another instance, and its answer.
//!
//! An upstream repeats the id of the request in its answer, and a second copy of an answer may arrive
//! in the place of the next one. All attempts of a request share its id. So the id identifies an answer
//! only on a connection that carries each id once, and an answer without an id only on a connection
//! that carries a single request. [`Exchange`] enforces both: a connection can begin an exchange only
//! for an id that it has not carried, and [`OwnAnswer`] can only be made by the exchange that asked.
//! Whatever decides by an answer takes an [`OwnAnswer`].

use crate::http1::{AnswerHead, Connection};
use passway_serving::hash::fnv1a;
use passway_serving::memory::MemoryReservation;
use passway_serving::ports::{AnswerMetadata, HeaderProtocol};
use passway_serving::versions::IdentifiedStart;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of requests after which a connection is closed, which bounds the ids that are remembered.
pub const MAX_REQUESTS_PER_CONNECTION: usize = 1_000;

/// A connection to an upstream on which no answer is awaited, with the requests that it has carried.
#[derive(Debug)]
pub struct UpstreamConnection {
    connection: Connection,
    /// Hashes of the ids that were sent. Two ids with the same hash only cost another connection.
    carried: Vec<u64>,
    /// The start of the upstream that is at the other end, once that is known.
    identified_start: Option<IdentifiedStart>,
}

/// A request that is sent over a connection, until its answer has been read.
#[derive(Debug)]
pub struct Exchange {
    connection: Connection,
    /// The id of the request.
    id: String,
    /// Hashes of the ids that the connection has carried, this request's last.
    carried: Vec<u64>,
    /// The start of the upstream that is at the other end, once that is known.
    identified_start: Option<IdentifiedStart>,
}

/// The head of an answer to the request of an exchange, and what it means.
#[derive(Debug)]
pub struct OwnAnswer {
    head: AnswerHead,
    facts: AnswerMetadata,
}

/// An answer that is not known to belong to the request.
#[derive(Debug)]
pub enum ForeignAnswer {
    /// It names another request; the own answer may follow its body.
    OtherRequest(AnswerHead),
    /// It names no request, and the connection has carried others.
    Unidentified,
}

fn id_hash(id: &str) -> u64 {
    fnv1a(0, id)
}

impl UpstreamConnection {
    /// Wraps a new connection, which has carried nothing.
    pub fn new(connection: Connection) -> Self {
        Self {
            connection,
            carried: Vec::new(),
            identified_start: None,
        }
    }

    /// Whether a request with this id can be sent over the connection. Requests without an id need a
    /// new connection.
    pub fn can_carry(&self, id: &str) -> bool {
        if id.is_empty() {
            return self.carried.is_empty();
        }
        !self.is_used_up() && !self.carried.contains(&id_hash(id))
    }

    /// Whether the connection has carried as many requests as it may.
    pub fn is_used_up(&self) -> bool {
        self.carried.len() >= MAX_REQUESTS_PER_CONNECTION
    }

    /// Whether the connection is open and has no unread bytes.
    pub fn is_clean(&mut self) -> bool {
        self.connection.is_clean()
    }

    /// Begins the exchange of a request with this id. `None` if the connection cannot carry it.
    pub fn begin(mut self, id: &str) -> Option<Exchange> {
        if !self.can_carry(id) {
            return None;
        }
        self.carried.push(id_hash(id));
        Some(Exchange {
            connection: self.connection,
            id: id.to_owned(),
            carried: self.carried,
            identified_start: self.identified_start,
        })
    }
}

impl Exchange {
    /// Connects to an upstream, for a request with this id. Long heads of answers are held in `memory`.
    ///
    /// # Errors
    /// The socket's error.
    pub fn connect(
        address: SocketAddr,
        timeout: Duration,
        id: &str,
        memory: MemoryReservation,
    ) -> io::Result<Self> {
        let mut connection = Connection::connect(address, timeout)?;
        connection.set_buffer_memory(memory);
        Ok(Self {
            connection,
            id: id.to_owned(),
            carried: vec![id_hash(id)],
            identified_start: None,
        })
    }

    /// The start of the upstream that is at the other end; `None` if it is not known.
    pub fn identified_start(&self) -> Option<&IdentifiedStart> {
        self.identified_start.as_ref()
    }

    /// Records the start of the upstream that is at the other end; `None` if it is not known.
    pub fn set_identified_start(&mut self, start: Option<IdentifiedStart>) {
        self.identified_start = start;
    }

    /// The connection, to send the request and to read the answer's bytes.
    pub fn connection_mut(&mut self) -> &mut Connection {
        &mut self.connection
    }

    /// The connection, to wait for bytes.
    pub fn connection(&self) -> &Connection {
        &self.connection
    }

    /// Number of requests that the connection carried before this one.
    pub fn earlier_requests(&self) -> usize {
        self.carried.len() - 1
    }

    /// Returns the answer with this head if it belongs to the request. `expected` is the id of the
    /// upstream that was asked.
    ///
    /// # Errors
    /// Why it does not.
    pub fn own_answer(
        &self,
        head: AnswerHead,
        vocabulary: &dyn HeaderProtocol,
        expected: &str,
    ) -> Result<OwnAnswer, ForeignAnswer> {
        let facts = vocabulary.parse_answer(head.status, &head.headers, expected);
        match &facts.id {
            Some(id) if *id != self.id => Err(ForeignAnswer::OtherRequest(head)),
            None if self.earlier_requests() > 0 => Err(ForeignAnswer::Unidentified),
            _ => Ok(OwnAnswer { head, facts }),
        }
    }

    /// Ends the exchange once its answer has been read.
    pub fn finish(self) -> UpstreamConnection {
        UpstreamConnection {
            connection: self.connection,
            carried: self.carried,
            identified_start: self.identified_start,
        }
    }
}

impl OwnAnswer {
    /// The answer's head.
    pub fn head(&self) -> &AnswerHead {
        &self.head
    }

    /// What the head says about the request and the upstream.
    pub fn facts(&self) -> &AnswerMetadata {
        &self.facts
    }

    /// Whether the answer is a success of an upstream, made for this request and passed on unchanged.
    pub fn is_valid_success(&self) -> bool {
        (200..300).contains(&self.head.status)
            && self.facts.is_sealed
            && self.facts.id.is_some()
            && !self.head.headers.has("content-encoding")
    }
}
