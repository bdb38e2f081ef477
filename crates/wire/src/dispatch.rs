//! Datagrams between instances, and the messages to and from the dispatcher of an engine.
//!
//! Each datagram carries one message and may be lost or delivered twice. The messages about permits
//! are in [`crate::permits`], those about reads of the store in [`crate::store_reads`].

use crate::message::Suspects;
use crate::permits::{PermitRelease, PermitReply, PermitRequest, VersionAnswer, VersionQuery};
use crate::store_reads::{StoreReadAnswer, StoreReadQuery};
use prost::{Message, Oneof};

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Datagram {
    /// The message; `None` if a newer program sent a kind that this one does not know. Such a
    /// datagram is ignored.
    #[prost(
        oneof = "Dispatch",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15"
    )]
    pub body: Option<Dispatch>,
}

impl Datagram {
    /// Encodes a datagram with a message, or without one.
    pub fn encode_body(body: Option<Dispatch>) -> Vec<u8> {
        Self { body }.encode_to_vec()
    }

    /// Decodes a datagram and returns its message; `None` if the datagram is malformed or its
    /// message is of an unknown kind.
    pub fn decode_body(bytes: &[u8]) -> Option<Dispatch> {
        Self::decode(bytes).ok()?.body
    }
}

/// The kinds of datagrams.
#[derive(Clone, PartialEq, Oneof)]
pub enum Dispatch {
    /// Asks a dispatcher for an engine for one attempt.
    #[prost(message, tag = "1")]
    DispatchRequest(DispatchRequest),
    /// The answer to [`Dispatch::DispatchRequest`].
    #[prost(message, tag = "2")]
    DispatchReply(DispatchReply),
    /// Reports that a run has ended.
    #[prost(message, tag = "3")]
    RunEnded(RunEnded),
    /// All runs of an instance on the dispatcher's engines.
    #[prost(message, tag = "4")]
    RunSnapshot(RunSnapshot),
    /// Asks for the newest configuration version that the receiver can prove.
    #[prost(message, tag = "5")]
    VersionQuery(VersionQuery),
    /// The answer to [`Dispatch::VersionQuery`].
    #[prost(message, tag = "6")]
    VersionAnswer(VersionAnswer),
    /// Asks the coordinator for a permit for one request.
    #[prost(message, tag = "7")]
    PermitRequest(PermitRequest),
    /// The answer to [`Dispatch::PermitRequest`].
    #[prost(message, tag = "8")]
    PermitReply(PermitReply),
    /// Releases a permit.
    #[prost(message, tag = "9")]
    PermitRelease(PermitRelease),
    /// The requests that crash upstreams, as far as the sender knows.
    #[prost(message, tag = "10")]
    Suspects(Suspects),
    /// Asks an instance whether it reaches upstreams and takes requests of other instances.
    #[prost(message, tag = "11")]
    PathQuery(PathQuery),
    /// The answer to [`Dispatch::PathQuery`].
    #[prost(message, tag = "12")]
    PathAnswer(PathAnswer),
    /// What a dispatcher tells the other dispatchers and the holder.
    #[prost(message, tag = "13")]
    DispatcherState(DispatcherState),
    /// Asks an instance to read the store.
    #[prost(message, tag = "14")]
    StoreReadQuery(StoreReadQuery),
    /// The answer to [`Dispatch::StoreReadQuery`].
    #[prost(message, tag = "15")]
    StoreReadAnswer(StoreReadAnswer),
}

/// Asks an instance whether it reaches upstreams and takes requests of other instances.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PathQuery {
    /// The number of the query, unique within the requesting instance.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
}

/// The answer to a [`PathQuery`].
#[derive(Clone, PartialEq, Message)]
pub struct PathAnswer {
    /// The number of the query.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The instance that answers.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// The data hall of the instance.
    #[prost(string, tag = "3")]
    pub hall: String,
    /// Whether the instance takes requests of other instances now.
    #[prost(bool, tag = "4")]
    pub accepts_requests: bool,
    /// Time since the instance last established a connection to an upstream, in milliseconds;
    /// `None` if it never did.
    #[prost(uint64, optional, tag = "5")]
    pub connected_ms_ago: Option<u64>,
    /// Number of requests in progress at the instance.
    #[prost(uint32, tag = "6")]
    pub in_progress: u32,
}

/// Asks a dispatcher for an engine for one attempt.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent properties of a request"
)]
#[derive(Clone, PartialEq, Message)]
pub struct DispatchRequest {
    /// The number of the attempt, unique within the requesting instance.
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
    /// The data hall that is preferred at equal load.
    #[prost(string, tag = "5")]
    pub hall: String,
    /// A random number of the request; it spreads requests over equally loaded engines.
    #[prost(fixed64, tag = "6")]
    pub random: u64,
    /// Time until the attempt must start to meet its deadline, in milliseconds; negative if it is
    /// late.
    #[prost(sint64, tag = "8")]
    pub due_in_ms: i64,
    /// Engines that the request was already sent to.
    #[prost(string, repeated, tag = "7")]
    pub tried_engines: Vec<String>,
    /// Whether engines admit the attempt before all others that wait.
    #[prost(bool, tag = "9")]
    pub is_urgent: bool,
    /// The regions in which the request may be served, if `is_restricted` is set.
    #[prost(string, repeated, tag = "10")]
    pub regions: Vec<String>,
    /// Whether the request may be served only in `regions`.
    #[prost(bool, tag = "11")]
    pub is_restricted: bool,
    /// The workspace; empty for none.
    #[prost(string, tag = "12")]
    pub workspace: String,
    /// The rate of the workspace's allotment, in units a second; 0 without one.
    #[prost(double, tag = "13")]
    pub workspace_rate_per_s: f64,
    /// The rank of the route or workspace; 0 is the most urgent.
    #[prost(uint32, tag = "14")]
    pub urgency: u32,
    /// Tokens of the prompt, as claimed by the caller.
    #[prost(uint32, optional, tag = "15")]
    pub prompt_tokens: Option<u32>,
    /// Maximum number of output tokens, as claimed by the caller.
    #[prost(uint32, optional, tag = "16")]
    pub max_output_tokens: Option<u32>,
    /// The caller's guess of the output tokens.
    #[prost(uint32, optional, tag = "17")]
    pub output_hint: Option<u32>,
    /// Time until the first event must have arrived, in milliseconds; negative if it is late.
    #[prost(sint64, tag = "18")]
    pub first_event_in_ms: i64,
    /// The longest pause between two events that the route promises, in milliseconds; 0 for none.
    #[prost(uint64, tag = "19")]
    pub max_gap_ms: u64,
    /// Time for which the attempt may still wait for a slot, in milliseconds.
    #[prost(uint64, tag = "20")]
    pub wait_limit_ms: u64,
    /// Identifies the request's content.
    #[prost(fixed64, tag = "21")]
    pub fingerprint: u64,
    /// Whether a copy of the run should be kept on another engine.
    #[prost(bool, tag = "22")]
    pub wants_backup: bool,
    /// Whether another dispatcher has sent the request here.
    #[prost(bool, tag = "23")]
    pub is_redirected: bool,
    /// The only engine that may be granted, if another dispatcher has named it; empty for any.
    #[prost(string, tag = "24")]
    pub only_engine: String,
    /// The only software version at which the attempt may run; absent for any. A version may have an
    /// empty name.
    #[prost(string, optional, tag = "25")]
    pub software: Option<String>,
}

/// The result of a [`DispatchRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Verdict {
    /// None of the dispatcher's engines has the model and adapter.
    Absent = 0,
    /// All engines that have them are full.
    Full = 1,
    /// The attempt may be sent to the engine named in the [`DispatchReply`].
    Go = 2,
    /// The engine named in the [`DispatchReply`] is better; its dispatcher decides.
    Elsewhere = 3,
    /// The request cannot begin within its time.
    TooLate = 4,
}

/// The answer to a [`DispatchRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct DispatchReply {
    /// The number of the attempt.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The result.
    #[prost(enumeration = "Verdict", tag = "2")]
    pub verdict: i32,
    /// The engine; empty unless the verdict is [`Verdict::Go`] or [`Verdict::Elsewhere`].
    #[prost(string, tag = "3")]
    pub engine: String,
    /// The engine that keeps a copy of the run; empty for none.
    #[prost(string, tag = "4")]
    pub backup_engine: String,
    /// With [`Verdict::TooLate`], the time after which the caller may return, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub retry_after_ms: u64,
}

/// The outcome of a run, as far as it concerns the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum RunOutcome {
    /// The outcome gives no information about the engine.
    Unknown = 0,
    /// The engine answered successfully.
    Answered = 1,
    /// The engine failed.
    Failed = 2,
    /// The engine was overloaded and rejected the request.
    Shed = 3,
    /// The engine could not be reached.
    Unreachable = 4,
}

/// Reports that a run has ended.
#[derive(Clone, PartialEq, Message)]
pub struct RunEnded {
    /// The number of the attempt.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The outcome of the run.
    #[prost(enumeration = "RunOutcome", tag = "2")]
    pub outcome: i32,
    /// What the instance has observed since its last report on the run.
    #[prost(message, optional, tag = "3")]
    pub progress: Option<RunProgress>,
}

/// What an instance has observed of a stream since its last report on it.
#[derive(Clone, PartialEq, Message)]
pub struct RunProgress {
    /// Time from sending the request to the first event, in milliseconds, if that has arrived since.
    #[prost(uint32, optional, tag = "1")]
    pub first_event_ms: Option<u32>,
    /// Events that have arrived.
    #[prost(uint32, tag = "2")]
    pub events: u32,
    /// The times between events, counted in the buckets of `passway_serving::forecast`.
    #[prost(uint32, repeated, tag = "3")]
    pub gap_counts: Vec<u32>,
    /// The longest time between two events, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub longest_gap_ms: u32,
}

/// A run on an engine.
#[derive(Clone, PartialEq, Message)]
pub struct EngineRun {
    /// The number of the attempt.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The engine.
    #[prost(string, tag = "2")]
    pub engine: String,
    /// What the instance has observed since its last report on the run.
    #[prost(message, optional, tag = "3")]
    pub progress: Option<RunProgress>,
}

/// All runs of an instance on a dispatcher's engines.
#[derive(Clone, PartialEq, Message)]
pub struct RunSnapshot {
    /// The runs.
    #[prost(message, repeated, tag = "1")]
    pub runs: Vec<EngineRun>,
}

/// What a dispatcher tells the other dispatchers and the holder.
#[derive(Clone, PartialEq, Message)]
pub struct DispatcherState {
    /// The dispatcher's engines.
    #[prost(message, repeated, tag = "1")]
    pub engines: Vec<EngineState>,
    /// What workspaces have used lately on its engines.
    #[prost(message, repeated, tag = "2")]
    pub workspace_use: Vec<WorkspaceUse>,
}

/// The state of an engine, as its dispatcher knows it.
#[derive(Clone, PartialEq, Message)]
pub struct EngineState {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// The number of its runs.
    #[prost(uint32, tag = "2")]
    pub load: u32,
    /// The usual time to the first event, in milliseconds; 0 if unknown.
    #[prost(uint32, tag = "3")]
    pub first_event_ms: u32,
    /// The times between events, weighted by age and scaled to whole numbers, counted in the buckets
    /// of `passway_serving::forecast`.
    #[prost(uint32, repeated, tag = "4")]
    pub gap_counts: Vec<u32>,
    /// Time since a stream was last observed on the engine, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub observed_ms_ago: u32,
}

/// What a workspace has used lately.
#[derive(Clone, PartialEq, Message)]
pub struct WorkspaceUse {
    /// The workspace.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// Tokens of prompts and expected outputs.
    #[prost(double, tag = "2")]
    pub tokens: f64,
}
