//! Datagrams between instances: one message each, and each may be lost or come twice. Here are
//! those to and from the dispatcher of an engine.

use crate::message::Suspects;
use crate::permits::{PermitAnswer, PermitRelease, PermitRequest, VersionAnswer, VersionQuery};
use prost::{Message, Oneof};

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Datagram {
    /// What it says; `None` comes from a newer program and is ignored.
    #[prost(oneof = "Dispatch", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub body: Option<Dispatch>,
}

impl Datagram {
    /// The bytes of a datagram with a message, or without one.
    pub fn encode_body(body: Option<Dispatch>) -> Vec<u8> {
        Self { body }.encode_to_vec()
    }

    /// The message that bytes hold; `None` if there is none, or it cannot be read.
    pub fn decode_body(bytes: &[u8]) -> Option<Dispatch> {
        Self::decode(bytes).ok()?.body
    }
}

/// The kinds of datagram.
#[derive(Clone, PartialEq, Oneof)]
pub enum Dispatch {
    /// Asks for an engine.
    #[prost(message, tag = "1")]
    DispatchRequest(DispatchRequest),
    /// The answer.
    #[prost(message, tag = "2")]
    DispatchReply(DispatchReply),
    /// A run is over.
    #[prost(message, tag = "3")]
    RunEnded(RunEnded),
    /// All that an instance runs on the dispatcher's engines.
    #[prost(message, tag = "4")]
    RunSnapshot(RunSnapshot),
    /// Asks how new the configuration is.
    #[prost(message, tag = "5")]
    VersionQuery(VersionQuery),
    /// The answer.
    #[prost(message, tag = "6")]
    VersionAnswer(VersionAnswer),
    /// Asks whether a workspace may use so much.
    #[prost(message, tag = "7")]
    PermitRequest(PermitRequest),
    /// The answer.
    #[prost(message, tag = "8")]
    PermitAnswer(PermitAnswer),
    /// What a workspace has not used.
    #[prost(message, tag = "9")]
    PermitRelease(PermitRelease),
    /// What the sender knows of requests that crash upstreams.
    #[prost(message, tag = "10")]
    Suspects(Suspects),
}

/// Asks for an engine for one attempt.
#[derive(Clone, PartialEq, Message)]
pub struct DispatchRequest {
    /// The attempt's number at the instance that asks.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The model.
    #[prost(string, tag = "3")]
    pub model: String,
    /// The adapter; empty for none.
    #[prost(string, tag = "4")]
    pub adapter: String,
    /// The hall that is preferred at equal load.
    #[prost(string, tag = "5")]
    pub hall: String,
    /// A number of the request's own.
    #[prost(fixed64, tag = "6")]
    pub random: u64,
    /// Time until it must begin to be in time, in milliseconds; below 0 if it is late.
    #[prost(sint64, tag = "8")]
    pub due_in_ms: i64,
    /// Engines where the request has been.
    #[prost(string, repeated, tag = "7")]
    pub tried_engines: Vec<String>,
    /// Whether engines let it in before all others that wait.
    #[prost(bool, tag = "9")]
    pub is_urgent: bool,
    /// The regions in which it may be served, if they bind.
    #[prost(string, repeated, tag = "10")]
    pub regions: Vec<String>,
    /// Whether they bind.
    #[prost(bool, tag = "11")]
    pub is_restricted: bool,
}

/// What an attempt may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Verdict {
    /// None of the dispatcher's engines has what is needed.
    Absent = 0,
    /// All that have it are full.
    Full = 1,
    /// It goes to the engine that is named.
    Go = 2,
}

/// The answer to an [`DispatchRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct DispatchReply {
    /// The attempt's number.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// What it may do.
    #[prost(enumeration = "Verdict", tag = "2")]
    pub verdict: i32,
    /// The engine.
    #[prost(string, tag = "3")]
    pub engine: String,
}

/// How a run that is over tells about its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum RunOutcome {
    /// Nothing.
    Unknown = 0,
    /// It answered well.
    Answered = 1,
    /// It failed.
    Failed = 2,
    /// It was too full.
    Shed = 3,
    /// It could not be reached.
    Unreachable = 4,
}

/// A run is over.
#[derive(Clone, PartialEq, Message)]
pub struct RunEnded {
    /// The attempt's number.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// What it tells.
    #[prost(enumeration = "RunOutcome", tag = "2")]
    pub outcome: i32,
}

/// A run on an engine.
#[derive(Clone, PartialEq, Message)]
pub struct EngineRun {
    /// The attempt's number.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The engine.
    #[prost(string, tag = "2")]
    pub engine: String,
}

/// What an instance runs on a dispatcher's engines.
#[derive(Clone, PartialEq, Message)]
pub struct RunSnapshot {
    /// The runs.
    #[prost(message, repeated, tag = "1")]
    pub runs: Vec<EngineRun>,
}
