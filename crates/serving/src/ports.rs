//! The interfaces between an instance and the platform that it runs on, as traits with typed
//! messages.
//!
//! An adapter implements them with the headers, keys and formats of one platform. It makes no
//! decisions.

use crate::allotment::QuotaBounds;
use crate::forecast::RequestSize;
use crate::halls::HallRegions;
use crate::headers::Headers;
use crate::placement::policy::PolicyName;
use crate::poison::{InvalidParts, PartId};
use crate::routes::RouteTable;
use crate::signals::UpstreamSignals;
use crate::upstreams::{ModelRef, ResidentModel, UpstreamEntry};
use crate::workspaces::KeyDigest;
use bytes::Bytes;
use passway_types::prelude::*;
use std::net::SocketAddr;

pub use crate::revisions::{LeaseId, StoreEra, StoreRevision};

/// A value in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredValue {
    /// The value's key.
    pub key: String,
    /// The value's bytes; clones share them.
    pub value: Bytes,
    /// The revision of the last write.
    pub revision: StoreRevision,
    /// The lease with which the key expires.
    pub lease: Option<LeaseId>,
}

/// All values under a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The values.
    pub values: Vec<StoredValue>,
    /// The revision after which to start a watch.
    pub revision: StoreRevision,
}

/// A page of the values under a prefix, in the order of their keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListPage {
    /// The values.
    pub values: Vec<StoredValue>,
    /// The store's revision when it answered.
    pub revision: StoreRevision,
    /// The key after which the next page begins; `None` for the last page.
    pub next_after: Option<String>,
}

/// A change under a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreChange {
    /// A value was written.
    Written(StoredValue),
    /// A key was removed.
    Removed {
        /// The removed key.
        key: String,
        /// The revision of the removal.
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

    /// The revision of the change.
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
    /// The changes; empty if the wait timed out.
    Changes {
        /// The changes in their order.
        changes: Vec<StoreChange>,
        /// The revision after which to continue the watch.
        revision: StoreRevision,
    },
    /// The store no longer has the history after that revision, or has returned from an older copy
    /// since: list again.
    HistoryCompacted,
}

/// Why the store gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// The call had no effect.
    NotDone,
    /// The call may have taken effect, or may do so later.
    Unknown,
}

/// One conditional write of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConditionalWrite {
    /// The key.
    pub key: String,
    /// The revision that the key must have; none if the key must be absent.
    pub expected: StoreRevision,
    /// The new value; `None` removes the key.
    pub value: Option<Vec<u8>>,
    /// The lease with which the key expires.
    pub lease: Option<LeaseId>,
}

/// The answer to conditional writes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteAnswer {
    /// All keys were written, at this revision.
    Written(StoreRevision),
    /// A key has another revision than expected.
    Conflict,
    /// The lease has ended.
    LeaseEnded,
}

/// The answer to a renewal of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RenewalAnswer {
    /// The lease was renewed.
    Renewed,
    /// The lease has ended.
    Ended,
    /// The store has returned from an older copy since the lease was granted, so that its id may
    /// be another lease's.
    OtherEra,
}

/// Timeout for the renewal of a lease of 1.2 s: a renewal that is lost can be retried in time.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(450);

/// The platform's store.
pub trait SharedStore: Send + Sync {
    /// Reads the page of the values under a prefix that begins after a key, or the first page.
    ///
    /// # Errors
    /// If the store does not answer or refuses.
    fn list_page(&self, prefix: &str, after_key: Option<&str>) -> Result<ListPage, StoreError>;

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

    /// Writes all keys if every condition holds, otherwise none.
    ///
    /// # Errors
    /// If the store does not answer or refuses.
    fn write(&self, writes: &[ConditionalWrite]) -> Result<WriteAnswer, StoreError>;

    /// Grants a lease.
    ///
    /// # Errors
    /// If the store does not answer or refuses.
    fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease.
    ///
    /// # Errors
    /// If the store does not answer or refuses.
    fn renew_lease(&self, lease: LeaseId) -> Result<RenewalAnswer, StoreError> {
        self.renew_lease_with_timeout(lease, RENEWAL_TIMEOUT)
    }

    /// Renews a lease with a timeout for the answer.
    ///
    /// # Errors
    /// As [`SharedStore::renew_lease`].
    fn renew_lease_with_timeout(
        &self,
        lease: LeaseId,
        timeout: Duration,
    ) -> Result<RenewalAnswer, StoreError>;

    /// Ends a lease and removes its keys. Does nothing for a lease of an earlier era.
    ///
    /// # Errors
    /// If the store does not answer or refuses.
    fn end_lease(&self, lease: LeaseId) -> Result<(), StoreError>;
}

/// Decodes what operators and upstreams write into the store.
pub trait Directory: Send + Sync {
    /// The prefix of the configuration's keys.
    fn configuration_prefix(&self) -> &str;

    /// The data hall that a key under the configuration's prefix marks as evacuated while the key
    /// is present; `None` if the key has another meaning.
    fn evacuated_hall<'a>(&self, key: &'a str) -> Option<&'a str>;

    /// Decodes a configuration. Returns `None` if the key has another meaning.
    ///
    /// # Errors
    /// If the configuration is invalid, with the reason.
    fn decode_configuration(&self, value: &StoredValue) -> anyhow::Result<Option<RouteTable>>;

    /// The prefix of the upstreams' entries.
    fn upstream_prefix(&self) -> &str;

    /// The id of the upstream whose entry has this key.
    fn upstream_id<'a>(&self, key: &'a str) -> Option<&'a str>;

    /// Decodes an upstream's entry.
    ///
    /// # Errors
    /// If the entry is invalid, with the reason.
    fn decode_upstream(&self, value: &StoredValue, now: Instant) -> anyhow::Result<UpstreamEntry>;
}

/// What an instance reads from a request's headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The id of the attempt.
    pub id: String,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The requested model and adapter, if any.
    pub model_ref: Option<ModelRef>,
    /// The last event of a stream that the caller has received; `None` for a blank header.
    pub last_event_id: Option<String>,
    /// The id of the attempt that brought the first event of the stream that this request resumes; `None`
    /// for a blank header.
    pub resumes: Option<String>,
    /// Whether the caller names the version of the weights that must answer. An upstream with other weights
    /// refuses the request as if it lacked the model.
    pub expects_weights: bool,
    /// The digest of the request's key; `None` without a key or with more than one.
    pub key: Option<KeyDigest>,
    /// The maximum number of tokens, input and output, if the request names them.
    pub tokens: Option<u64>,
    /// The request's size as far as the caller names it.
    pub size: RequestSize,
    /// A hash of the parts of the prompt that the request names; 0 without any.
    pub prompt_hash: u64,
}

/// How the workspace's header of a request is forwarded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkspaceHeader {
    /// The configuration has no workspaces: headers are forwarded unchanged.
    Untouched,
    /// Sets the workspace's name, if the request has one. A key or a name sent by the caller is
    /// removed.
    Set(Option<WorkspaceName>),
}

/// A run that broke off and continues on the engine that has its copy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ContinuedRun {
    /// The address that was named for the copy when the run was sent.
    pub copy_address: SocketAddr,
    /// The id of the request that was running.
    pub request_id: String,
}

/// What an instance adds to a request for an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardingMetadata {
    /// The incarnation that may run the request.
    pub upstream: UpstreamId,
    /// The time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// The request's workspace.
    pub workspace: WorkspaceHeader,
    /// The rank among waiting requests; 0 goes first.
    pub urgency: Option<u8>,
    /// The event after which a stream resumes.
    pub last_event_id: Option<String>,
    /// The address of the engine that keeps a copy of the run.
    pub backup: Option<SocketAddr>,
    /// The run that the request continues.
    pub continues: Option<ContinuedRun>,
}

/// What an instance reads from the head of an upstream's answer.
#[derive(Debug, Clone, PartialEq)]
pub struct AnswerMetadata {
    /// The id of the attempt that is answered.
    pub id: Option<String>,
    /// Whether the answer carries an upstream's seal.
    pub is_sealed: bool,
    /// Whether the request has not run and never will.
    pub not_run: bool,
    /// Whether another incarnation than the expected one answered.
    pub is_other_incarnation: bool,
    /// What the upstream reports about itself.
    pub signals: UpstreamSignals,
}

/// The headers that callers and upstreams use.
pub trait HeaderProtocol: Send + Sync {
    /// Parses a request's headers.
    fn parse_request(&self, headers: &Headers) -> RequestMetadata;

    /// The parts of a request's prompt that other prompts may share, i.e. all but the last one; none
    /// if the request names none.
    ///
    /// # Errors
    /// If what the request names is not a list of parts.
    fn shared_parts(&self, headers: &Headers) -> Result<Vec<PartId>, InvalidParts>;

    /// The headers to send to an upstream, without framing.
    fn forwarded_headers(&self, headers: &Headers, stamp: &ForwardingMetadata) -> Headers;

    /// Parses the head of an answer.
    fn parse_answer(&self, status: u16, headers: &Headers, expected: &str) -> AnswerMetadata;

    /// The challenge that names the kind of key which a caller must send.
    fn auth_challenge(&self) -> &'static str;

    /// Labels an answer of this instance with the id of its attempt.
    fn label_answer(&self, headers: &mut Headers, id: &str);
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// Whether to load or to unload.
    pub action: OrderAction,
    /// The model or adapter.
    pub model_ref: ModelRef,
    /// The number of orders that the engine must have accepted for this one to apply.
    pub expected_orders: u64,
    /// The incarnation that the order is for.
    pub upstream: UpstreamId,
    /// The instance that gives the order.
    pub holder: InstanceId,
    /// The fencing number of the holder's term.
    pub fence: Fence,
}

/// The action of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAction {
    /// Loads a model or adapter.
    Load,
    /// Unloads a model or adapter.
    Unload,
}

/// The answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order is being carried out.
    Taken,
    /// The engine was already in the requested state.
    Done,
    /// Another order is in progress, or the engine has accepted other orders than expected.
    Conflict,
    /// The engine refused the order for good.
    Refused,
    /// Another incarnation has the address.
    OtherIncarnation,
    /// The order was not sent.
    NotSent,
    /// No answer arrived; the order may still be carried out.
    Lost,
}

/// The present state of an engine, as it reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Loaded models.
    pub models: Vec<ResidentModel>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// The number of orders that the engine has accepted.
    pub orders_taken: u64,
    /// Checkpoints in the engine's memory.
    pub in_memory: Vec<ModelName>,
    /// Checkpoints on the engine's disk.
    pub on_disk: Vec<ModelName>,
    /// Adapters that are being loaded: they use memory but do not serve requests yet.
    pub adapters_loading: Vec<ModelRef>,
    /// When the engine started, in Unix milliseconds by its own clock; 0 if not reported.
    pub started_at_ms: u64,
}

/// An engine's answer with its signals.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineResponse<T> {
    /// The answer.
    pub answer: T,
    /// The signals in the head of the answer; none if this engine did not answer.
    pub signals: UpstreamSignals,
}

/// What the process at an address says about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamIdentity {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Start time of the process, in Unix milliseconds by its own clock; `None` if it does not say.
    pub started_at_ms: Option<u64>,
}

/// The control interface of engines.
pub trait Engines: Send + Sync {
    /// Sends an order.
    fn order(&self, address: SocketAddr, order: &EngineOrder) -> EngineResponse<OrderAnswer>;

    /// Asks the process at an address which start of an upstream it is, for any kind of upstream. With
    /// `expected`, a health check of that upstream, which may wait for a slot or be refused; otherwise a
    /// query that each upstream answers at once. `None` without an answer that names an upstream.
    fn identify(
        &self,
        address: SocketAddr,
        health_path: Option<&str>,
        expected: Option<&UpstreamId>,
    ) -> Option<UpstreamIdentity>;

    /// Asks an engine for its state. The answer is `None` if there was none.
    fn report(
        &self,
        engine: &UpstreamId,
        address: SocketAddr,
    ) -> EngineResponse<Option<EngineReport>>;
}

/// The settings of one instance.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceSettings {
    /// The instance's name.
    pub instance: InstanceId,
    /// The instance's data hall.
    pub hall: DataHall,
    /// The region of each data hall; empty if not configured.
    pub regions: HallRegions,
    /// The address for callers.
    pub callers_address: SocketAddr,
    /// The address at which the load balancer checks readiness.
    pub ready_address: SocketAddr,
    /// The address for other instances.
    pub peer_address: SocketAddr,
    /// The address of the store.
    pub store_address: SocketAddr,
    /// The instance's processor capacity, as a fraction of a standard core.
    pub cpu_core_fraction: f64,
    /// The policy by which models are loaded while this instance holds the leadership.
    pub placement: PolicyName,
    /// Limits that may change while the process runs.
    pub bounds: InstanceBounds,
}

/// Limits that may change while the process runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InstanceBounds {
    /// Maximum duration of a graceful stop.
    pub grace: Duration,
    /// Minimum time-to-live of a lease.
    pub shortest_lease: Duration,
    /// Time in which two holders must not both give orders to one engine.
    pub holder_gap: Duration,
    /// Window over which loads from the weight store count against its rate limit.
    pub load_window: Duration,
    /// Retries that all instances together may send.
    pub retry: crate::retry::RetryAllowance,
    /// Time after which no instance may accept a revoked key, whatever it has received; `None` if
    /// a revoked key is refused only once the revocation is received.
    pub revocation: Option<Duration>,
    /// Time after which operators may rely on a version of the configuration being in effect. No
    /// request may be denied by a version that was replaced longer ago.
    pub configuration: Duration,
    /// Time after which no instance may send to an upstream that has announced in the store that it
    /// is leaving.
    pub leaving: Duration,
    /// Time after its start for which none of these bounds holds for an instance.
    pub joining: Duration,
    /// What workspaces may use beyond their allotments, over all instances.
    pub quota: QuotaBounds,
}
