//! What an instance needs of the place it runs in, as traits with typed messages.
//!
//! An adapter implements them in the words of one platform. It decides nothing.

use crate::allotment::QuotaBounds;
use crate::halls::HallRegions;
use crate::headers::Headers;
use crate::placement::policy::PolicyName;
use crate::routes::RouteTable;
use crate::signals::UpstreamSignals;
use crate::upstreams::{ModelRef, ResidentModel, UpstreamEntry};
use crate::workspaces::KeyDigest;
use bytes::Bytes;
use passway_types::prelude::*;
use std::net::SocketAddr;

/// A lease at the store.
pub type LeaseId = u64;
/// A point in the store's history.
pub type StoreRevision = u64;

/// A value in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredValue {
    /// Its key.
    pub key: String,
    /// Its bytes; clones share them.
    pub value: Bytes,
    /// When it was written last.
    pub revision: StoreRevision,
}

/// All values under a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The values.
    pub values: Vec<StoredValue>,
    /// The moment from which to watch on.
    pub revision: StoreRevision,
}

/// A change under a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreChange {
    /// A value was written.
    Written(StoredValue),
    /// A key went away.
    Removed {
        /// The key.
        key: String,
        /// When it went.
        revision: StoreRevision,
    },
}

impl StoreChange {
    /// The key that has changed.
    pub fn key(&self) -> &str {
        match self {
            Self::Written(value) => &value.key,
            Self::Removed { key, .. } => key,
        }
    }

    /// When it changed.
    pub fn revision(&self) -> StoreRevision {
        match self {
            Self::Written(value) => value.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// The answer to a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchAnswer {
    /// What changed; nothing, if the time ran out.
    Changes {
        /// The changes in their order.
        changes: Vec<StoreChange>,
        /// The moment from which to watch on.
        revision: StoreRevision,
    },
    /// The history since then is gone: list anew.
    HistoryCompacted,
}

/// Why the store gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// Nothing was done.
    NotDone,
    /// It may have been done, or may be done later.
    Unknown,
}

/// One conditional write of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConditionalWrite {
    /// The key.
    pub key: String,
    /// The revision that must stand; 0 if the key must be absent.
    pub expected: StoreRevision,
    /// The new value; `None` removes the key.
    pub value: Option<Vec<u8>>,
    /// The lease that the key ends with.
    pub lease: Option<LeaseId>,
}

/// The answer to conditional writes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteAnswer {
    /// Done, at this revision.
    Written(StoreRevision),
    /// Another value stands.
    Conflict,
    /// The lease has ended.
    LeaseEnded,
}

/// Longest time for the answer to a renewal of a lease of 1.2 s: one that is lost can be made again in time.
const RENEWAL_TIME: Duration = Duration::from_millis(450);

/// The platform's store.
pub trait SharedStore: Send + Sync {
    /// Reads all values under a prefix.
    ///
    /// # Errors
    /// If the store does not answer or refuses.
    fn list(&self, prefix: &str) -> Result<Listing, StoreError>;

    /// Waits up to `wait` for changes under a prefix after a revision.
    ///
    /// # Errors
    /// If the store does not answer or refuses.
    fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<WatchAnswer, StoreError>;

    /// Writes keys, all of them if every condition holds, else none.
    ///
    /// # Errors
    /// If the store does not answer or refuses.
    fn write(&self, writes: &[ConditionalWrite]) -> Result<WriteAnswer, StoreError>;

    /// Grants a lease.
    ///
    /// # Errors
    /// If the store does not answer or refuses.
    fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease; false if it has ended.
    ///
    /// # Errors
    /// If the store does not answer or refuses.
    fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError> {
        self.renew_lease_with_timeout(lease, RENEWAL_TIME)
    }

    /// The same, with the longest time for the answer.
    ///
    /// # Errors
    /// As [`SharedStore::renew_lease`].
    fn renew_lease_with_timeout(
        &self,
        lease: LeaseId,
        longest: Duration,
    ) -> Result<bool, StoreError>;

    /// Ends a lease and the keys under it.
    ///
    /// # Errors
    /// If the store does not answer or refuses.
    fn end_lease(&self, lease: LeaseId) -> Result<(), StoreError>;
}

/// What operators and upstreams write into the store.
pub trait Directory: Send + Sync {
    /// The prefix under which the configuration lies.
    fn configuration_prefix(&self) -> &str;

    /// The data hall that a key of the configuration's prefix names as emptied, for as long as the key is there;
    /// `None` if it holds something else.
    fn evacuated_hall<'a>(&self, key: &'a str) -> Option<&'a str>;

    /// Decodes a configuration; `None` if the key holds something else.
    ///
    /// # Errors
    /// What is wrong with it.
    fn decode_configuration(&self, value: &StoredValue) -> anyhow::Result<Option<RouteTable>>;

    /// The prefix under which upstreams keep themselves.
    fn upstream_prefix(&self) -> &str;

    /// The upstream's id that a key names.
    fn upstream_id<'a>(&self, key: &'a str) -> Option<&'a str>;

    /// Decodes what an upstream says of itself.
    ///
    /// # Errors
    /// What is wrong with it.
    fn decode_upstream(&self, value: &StoredValue, now: Instant) -> anyhow::Result<UpstreamEntry>;
}

/// What a request's headers say.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The attempt's id.
    pub id: String,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The model and adapter, where one is asked for.
    pub model_ref: Option<ModelRef>,
    /// The last event that the caller has of a stream.
    pub last_event_id: Option<String>,
    /// What is kept of its key; `None` without a key, or with more than one.
    pub key: Option<KeyDigest>,
    /// Its tokens, in and out at most, where it names them.
    pub tokens: Option<u64>,
}

/// What an upstream is told of a request's workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkspaceHeader {
    /// The configuration has no workspaces: headers pass as they are.
    Untouched,
    /// The workspace's name, if the request has one; a key and a name that the caller sent are
    /// withheld.
    Set(Option<WorkspaceName>),
}

/// What an instance adds to a request for an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardingMetadata {
    /// The incarnation that may run it.
    pub upstream: UpstreamId,
    /// What is left until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Its workspace.
    pub workspace: WorkspaceHeader,
    /// Its rank among waiting requests; 0 goes first.
    pub urgency: Option<u8>,
    /// The event after which a stream goes on.
    pub last_event_id: Option<String>,
}

/// What an upstream's answer says of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct AnswerMetadata {
    /// The attempt that it answers.
    pub id: Option<String>,
    /// Whether an upstream vouches for it.
    pub is_sealed: bool,
    /// Whether the request has not run and never will.
    pub not_run: bool,
    /// Whether another incarnation than the expected one answered.
    pub is_other_incarnation: bool,
    /// What it says of its upstream.
    pub signals: UpstreamSignals,
}

/// The words in which callers and upstreams speak.
pub trait HeaderProtocol: Send + Sync {
    /// Reads a request's headers.
    fn parse_request(&self, headers: &Headers) -> RequestMetadata;

    /// The headers that go to an upstream, without framing.
    fn forwarded_headers(&self, headers: &Headers, stamp: &ForwardingMetadata) -> Headers;

    /// Reads an answer's head.
    fn parse_answer(&self, status: u16, headers: &Headers, expected: &str) -> AnswerMetadata;

    /// How a caller is told which kind of key is missing.
    fn auth_challenge(&self) -> &'static str;

    /// Labels an answer of this instance with the attempt that it belongs to.
    fn label_answer(&self, headers: &mut Headers, id: &str);
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// Load or unload.
    pub action: OrderAction,
    /// What.
    pub model_ref: ModelRef,
    /// The orders that the engine must have taken for this one to count.
    pub expected_orders: u64,
    /// The incarnation that it is for.
    pub upstream: UpstreamId,
    /// The instance that gives it.
    pub holder: InstanceId,
    /// The term of the right to order.
    pub fence: Fence,
}

/// What an order does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAction {
    /// Brings a model or adapter.
    Load,
    /// Takes it away.
    Unload,
}

/// The answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is being carried out.
    Taken,
    /// It held already.
    Done,
    /// Another order is under way, or the engine has taken others.
    Conflict,
    /// The engine refused it for good.
    Refused,
    /// Another incarnation has the address.
    OtherIncarnation,
    /// It was not sent.
    NotSent,
    /// No answer: it may be carried out later.
    Lost,
}

/// What an engine says of its present state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// What stands on it.
    pub models: Vec<ResidentModel>,
    /// Whether an order is under way.
    pub busy: bool,
    /// Orders that it has taken.
    pub orders_taken: u64,
    /// Checkpoints in its memory.
    pub in_memory: Vec<ModelName>,
    /// Checkpoints on its disk.
    pub on_disk: Vec<ModelName>,
    /// Adapters on their way to it: they take room and do not serve yet.
    pub adapters_loading: Vec<ModelRef>,
    /// When it started, in Unix milliseconds by its own clock; 0 if it does not tell.
    pub started_at_ms: u64,
}

/// An engine's answer, and what it says of the engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineResponse<T> {
    /// What it answers.
    pub answer: T,
    /// What the answer's head says of the engine; nothing without an answer of this engine's.
    pub signals: UpstreamSignals,
}

/// The control side of engines.
pub trait Engines: Send + Sync {
    /// Gives an order.
    fn order(&self, address: SocketAddr, order: &EngineOrder) -> EngineResponse<OrderAnswer>;

    /// Asks an engine for its state; `None` without an answer.
    fn report(
        &self,
        engine: &UpstreamId,
        address: SocketAddr,
    ) -> EngineResponse<Option<EngineReport>>;
}

/// The settings of one instance.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceSettings {
    /// Its name.
    pub instance: InstanceId,
    /// Its data hall.
    pub hall: DataHall,
    /// The region of each data hall; empty if that is not told.
    pub regions: HallRegions,
    /// Where callers connect.
    pub callers_address: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub ready_address: SocketAddr,
    /// Where other instances connect.
    pub peer_address: SocketAddr,
    /// The store.
    pub store_address: SocketAddr,
    /// Processor that it has, as a part of a usual core.
    pub cpu_core_fraction: f64,
    /// What is worth bringing to engines, while this instance has the right to order.
    pub placement: PolicyName,
    /// Bounds that may change while the process runs.
    pub bounds: InstanceBounds,
}

/// Bounds that may change while a process runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InstanceBounds {
    /// Time from a stop's beginning to its end.
    pub grace: Duration,
    /// Shortest time-to-live of a lease.
    pub shortest_lease: Duration,
    /// Time in which two holders must not both give orders to one engine.
    pub holder_gap: Duration,
    /// Span over which loads from the weight store count against its ceiling.
    pub load_window: Duration,
    /// Repeats that all instances together may send.
    pub retry: crate::retry::RetryAllowance,
    /// Time after which nobody may act on a key that was taken away, whatever the instance has
    /// heard; `None` if keys that were taken away only stop once that is heard.
    pub revocation: Option<Duration>,
    /// What workspaces may use beyond their allotments, over all instances.
    pub quota: QuotaBounds,
}
