//! The messages on connections between two processes.
//!
//! Routers and controllers exchange the messages about the configuration, routes, demand and usage;
//! operators send queries to controllers. Instances exchange all other messages with the *holder*,
//! the instance that holds the leadership, i.e. the right to send orders to engines. In the
//! messages of controllers, each cell has its own holder.

use prost::{Message, Oneof};

/// The content of one frame.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// The message; `None` if a newer program sent a kind that this one does not know. Such a
    /// message is ignored.
    #[prost(
        oneof = "Body",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, \
                20, 21, 22, 23, 24, 25"
    )]
    pub body: Option<Body>,
}

/// The kinds of messages.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// The first message on a connection, sent by the side that connects.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// A controller's heartbeat.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// A revision of the configuration.
    #[prost(message, tag = "3")]
    Config(Config),
    /// A change of the replicas that requests may be sent to.
    #[prost(message, tag = "4")]
    Routes(Routes),
    /// A router's demand for a model.
    #[prost(message, tag = "5")]
    Demand(Demand),
    /// A holder's answer to a demand.
    #[prost(message, tag = "6")]
    DemandAnswer(DemandAnswer),
    /// A router's report of requests in progress.
    #[prost(message, tag = "7")]
    Usage(Usage),
    /// Asks whether a previous holder can still send orders.
    #[prost(message, tag = "8")]
    Probe(Probe),
    /// The answer to a probe.
    #[prost(message, tag = "9")]
    ProbeAnswer(ProbeAnswer),
    /// An operator's query.
    #[prost(message, tag = "10")]
    Query(Query),
    /// The answer to an operator's query, as JSON.
    #[prost(message, tag = "11")]
    QueryAnswer(QueryAnswer),
    /// Requests a controller's revision of the configuration.
    #[prost(message, tag = "12")]
    ConfigRequest(ConfigRequest),
    /// The requests that an instance accepted, has waiting and is running.
    #[prost(message, tag = "13")]
    InstanceReport(InstanceReport),
    /// The models that are loaded on engines.
    #[prost(message, tag = "14")]
    Placements(Placements),
    /// Subscribes to the updates of the store that the holder relays.
    #[prost(message, tag = "15")]
    Subscribe(Subscribe),
    /// Updates of the store, relayed by the holder.
    #[prost(message, tag = "16")]
    Updates(Updates),
    /// The addresses of the instances that are subscribed to the holder.
    #[prost(message, tag = "17")]
    Members(Members),
    /// Announces a new holder.
    #[prost(message, tag = "18")]
    NewHolder(NewHolder),
    /// Requests a [`Promise`] from a candidate, while the store does not answer the holder.
    #[prost(message, tag = "19")]
    PromiseRequest(PromiseRequest),
    /// A candidate's promise not to take the leadership.
    #[prost(message, tag = "20")]
    Promise(Promise),
    /// The instances that act as dispatchers of engines.
    #[prost(message, tag = "21")]
    Dispatchers(Members),
    /// Requests during which upstreams have crashed.
    #[prost(message, tag = "22")]
    Suspects(Suspects),
    /// Signals that upstreams sent about themselves in their answers.
    #[prost(message, tag = "23")]
    KnownSignals(KnownSignals),
    /// Announces that a caller's request follows on the connection, as HTTP/1.1.
    #[prost(message, tag = "24")]
    PeerRequest(PeerRequest),
    /// Many updates of the store, relayed by the holder and compressed as a whole.
    #[prost(message, tag = "25")]
    CompressedUpdates(CompressedUpdates),
}

/// Announces a caller's request that an instance without a path to upstreams passes on.
///
/// The first and only message on its connection. The request follows as the caller sent it, and the
/// answer is HTTP/1.1 too.
#[derive(Clone, PartialEq, Message)]
pub struct PeerRequest {
    /// The instance that the caller is connected to.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// The version of the configuration by which that instance has admitted the request.
    #[prost(uint64, tag = "2")]
    pub config_version: u64,
    /// Time that is left for the request, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub remaining_ms: u64,
    /// Number of upstreams that may have run the request already.
    #[prost(uint32, tag = "4")]
    pub runs: u32,
    /// The last event of a stream that the caller has received; the stream resumes after it.
    #[prost(string, optional, tag = "5")]
    pub last_event_id: Option<String>,
}

/// The request rate that an upstream advertised as its limit.
#[derive(Clone, PartialEq, Message)]
pub struct UpstreamLimit {
    /// The upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Start time of the upstream's process, in Unix milliseconds by the upstream's clock; 0 if
    /// not known.
    #[prost(uint64, tag = "2")]
    pub started_at_ms: u64,
    /// Requests per second, from all instances together; `None` if the upstream has withdrawn its
    /// limit.
    #[prost(double, optional, tag = "3")]
    pub requests_per_s: Option<f64>,
    /// Time since the request was sent whose answer advertised the limit, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub sent_ms_ago: u64,
    /// Time since that answer was received, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub received_ms_ago: u64,
}

/// An upstream process that announced that it is leaving.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct LeavingUpstream {
    /// The upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Start time of the upstream's process, in Unix milliseconds by the upstream's clock; 0 if
    /// not known.
    #[prost(uint64, tag = "2")]
    pub started_at_ms: u64,
}

/// An upstream process that asked the sender of this message not to send requests for a while.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct BackingOffUpstream {
    /// The upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Start time of the upstream's process, in Unix milliseconds by the upstream's clock; 0 if
    /// not known.
    #[prost(uint64, tag = "2")]
    pub started_at_ms: u64,
    /// Remaining backoff, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub remaining_ms: u64,
}

/// The signals of upstreams that the sender knows. Upstreams send them in their answers.
#[derive(Clone, PartialEq, Message)]
pub struct KnownSignals {
    /// Advertised limits.
    #[prost(message, repeated, tag = "1")]
    pub limits: Vec<UpstreamLimit>,
    /// Upstreams that are leaving.
    #[prost(message, repeated, tag = "2")]
    pub leaving: Vec<LeavingUpstream>,
    /// Upstreams that asked the sender to back off; sent to the holder only.
    #[prost(message, repeated, tag = "3")]
    pub backing_off: Vec<BackingOffUpstream>,
}

/// Requests a candidate's promise not to take the leadership for a while.
///
/// The holder sends this when the store does not answer, to extend its leadership without the
/// store.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct PromiseRequest {
    /// The holder's fencing number.
    #[prost(uint64, tag = "1")]
    pub fence: u64,
    /// Time of the request, in milliseconds since a reference time that only the holder knows.
    #[prost(uint64, tag = "2")]
    pub asked_at_ms: u64,
}

/// A candidate's promise not to take the leadership.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Promise {
    /// The candidate.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// The fencing number from the [`PromiseRequest`].
    #[prost(uint64, tag = "2")]
    pub fence: u64,
    /// The time from the [`PromiseRequest`].
    #[prost(uint64, tag = "3")]
    pub asked_at_ms: u64,
    /// Whether the candidate's process is terminating and will never take the leadership.
    #[prost(bool, tag = "4")]
    pub is_leaving: bool,
}

/// A crash of an upstream while it ran a suspect request.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Crash {
    /// The upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Start time of the upstream's process, in Unix milliseconds by the upstream's clock; 0 if
    /// not known.
    #[prost(uint64, tag = "2")]
    pub started_at_ms: u64,
    /// What the crash implies for the request:
    ///
    /// * 0: the request may have caused the crash,
    /// * 1: another request explains the crash,
    /// * 2: the request was answered since then,
    /// * 3: the upstream disconnected, and it is not known whether its process has terminated.
    #[prost(uint32, tag = "3")]
    pub status: u32,
    /// Time since the request was sent to the upstream, in milliseconds, if known.
    #[prost(uint64, optional, tag = "4")]
    pub sent_ms_ago: Option<u64>,
    /// Time since the upstream disconnected, in milliseconds, if known.
    #[prost(uint64, optional, tag = "5")]
    pub disconnected_ms_ago: Option<u64>,
}

/// A request during which upstreams have crashed.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Suspect {
    /// The digest of the request, or the tagged id of the part; encoded by `SuspectKey`.
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
    /// The crashes that happened while an upstream ran the request, or a request with the part.
    #[prost(message, repeated, tag = "2")]
    pub crashes: Vec<Crash>,
}

/// The suspect requests and the recent disconnects that the sender knows.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Suspects {
    /// Requests during which upstreams have crashed.
    #[prost(message, repeated, tag = "1")]
    pub suspects: Vec<Suspect>,
    /// Upstreams that disconnected recently and whose processes may have terminated.
    #[prost(message, repeated, tag = "2")]
    pub disconnects: Vec<UpstreamDisconnect>,
}

/// An upstream process that disconnected during a request.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct UpstreamDisconnect {
    /// The upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Start time of the upstream's process, in Unix milliseconds by the upstream's clock; 0 if
    /// not known.
    #[prost(uint64, tag = "2")]
    pub started_at_ms: u64,
    /// Time since the upstream disconnected, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub ms_ago: u64,
}

/// Subscribes an instance to the updates of the store that the holder relays.
#[derive(Clone, PartialEq, Message)]
pub struct Subscribe {
    /// The store's revision up to which the instance knows each feed, in the order of the feeds; 0
    /// if it knows nothing of a feed.
    #[prost(uint64, repeated, tag = "1")]
    pub known_revisions: Vec<u64>,
    /// The name of the instance.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// The address where the instance listens for other instances.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Whether the instance has few CPU resources, so that another instance should preferably hold
    /// the leadership.
    #[prost(bool, tag = "4")]
    pub has_low_cpu: bool,
    /// A digest for each engine of the models that, as far as the instance knows, are loaded there.
    #[prost(fixed64, repeated, tag = "5")]
    pub placement_digests: Vec<u64>,
}

/// An instance and its address for other instances.
#[derive(Clone, PartialEq, Message)]
pub struct Member {
    /// The name of the instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// The address where the instance listens for other instances.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// A list of instances, for example the holder and all its subscribers.
#[derive(Clone, PartialEq, Message)]
pub struct Members {
    /// The instances.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<Member>,
}

/// Announces the sender as the new holder to an instance that may not know it yet.
#[derive(Clone, PartialEq, Message)]
pub struct NewHolder {
    /// The name of the instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// The address where the instance listens for other instances.
    #[prost(string, tag = "2")]
    pub address: String,
    /// The new holder's fencing number.
    #[prost(uint64, tag = "3")]
    pub fence: u64,
}

/// A changed value of the store.
#[derive(Clone, PartialEq, Message)]
pub struct StoreValue {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The value, compressed if `uncompressed_bytes` is not 0; absent if the key was removed.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub value: Option<bytes::Bytes>,
    /// The store's revision of the change.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Length of the uncompressed value in bytes; 0 if the value is not compressed.
    #[prost(uint64, tag = "4")]
    pub uncompressed_bytes: u64,
    /// The revision of the key's earlier value that was used as the compression dictionary; 0 if
    /// none was used.
    #[prost(uint64, tag = "5")]
    pub base_revision: u64,
}

/// Updates of one feed of the store. Without values, this is only a heartbeat of the sender.
#[derive(Clone, PartialEq, Message)]
pub struct Updates {
    /// The index of the feed.
    #[prost(uint32, tag = "1")]
    pub feed: u32,
    /// The revision after which the changes begin; 0 if `values` contains the whole feed.
    #[prost(uint64, tag = "2")]
    pub from_revision: u64,
    /// The revision up to which `values` is complete; 0 if this message contains no updates.
    #[prost(uint64, tag = "3")]
    pub to_revision: u64,
    /// The changed values, or all values of the feed.
    #[prost(message, repeated, tag = "4")]
    pub values: Vec<StoreValue>,
    /// Number of instances that the holder knows; 0 if not given.
    #[prost(uint32, tag = "5")]
    pub instances: u32,
    /// Time when the message was queued, in milliseconds since a reference time that only the
    /// holder knows; 0 if not given.
    #[prost(uint64, tag = "6")]
    pub queued_at_ms: u64,
    /// For each feed, the last time at which the store confirmed that the holder knows the whole
    /// feed, in milliseconds since the same reference time; 0 for never.
    #[prost(uint64, repeated, tag = "7")]
    pub confirmed_at_ms: Vec<u64>,
    /// Engines with an unconfirmed order: the engine did not answer and may still execute it.
    #[prost(string, repeated, tag = "8")]
    pub unconfirmed: Vec<String>,
}

/// An [`Updates`] message that is compressed as a whole. It is a kind of its own, because a receiver
/// that ignored a compressed field of [`Updates`] would take the message for an empty list.
#[derive(Clone, PartialEq, Message)]
pub struct CompressedUpdates {
    /// The index of the feed.
    #[prost(uint32, tag = "1")]
    pub feed: u32,
    /// The revision up to which the updates are complete.
    #[prost(uint64, tag = "2")]
    pub to_revision: u64,
    /// Length of the uncompressed message in bytes.
    #[prost(uint64, tag = "3")]
    pub uncompressed_bytes: u64,
    /// The compressed message.
    #[prost(bytes = "bytes", tag = "4")]
    pub compressed: bytes::Bytes,
}

/// The number of requests for a model or adapter of a service.
#[derive(Clone, PartialEq, Message)]
pub struct ModelRequests {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The model.
    #[prost(string, tag = "2")]
    pub model: String,
    /// The adapter; empty for none.
    #[prost(string, tag = "3")]
    pub adapter: String,
    /// Time until the last of the waiting requests stops waiting, in milliseconds; 0 for accepted
    /// requests.
    #[prost(uint32, tag = "4")]
    pub remaining_wait_ms: u32,
    /// Number of waiting requests, 0 if none is waiting any more; or number of accepted requests.
    #[prost(uint32, tag = "5")]
    pub count: u32,
    /// The only software version at which the requests may run; absent if any may run them.
    #[prost(string, optional, tag = "6")]
    pub required_software: Option<String>,
}

/// The number of requests of a model that run on an engine.
#[derive(Clone, PartialEq, Message)]
pub struct RunCount {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// The model.
    #[prost(string, tag = "2")]
    pub model: String,
    /// The number of requests.
    #[prost(uint32, tag = "3")]
    pub count: u32,
}

/// The report of an instance to the holder.
#[derive(Clone, PartialEq, Message)]
pub struct InstanceReport {
    /// The instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Waiting requests, for the models whose waiting requests have changed since the last report.
    #[prost(message, repeated, tag = "2")]
    pub waiting: Vec<ModelRequests>,
    /// Requests that were accepted since the last report.
    #[prost(message, repeated, tag = "3")]
    pub accepted: Vec<ModelRequests>,
    /// Requests that are running now.
    #[prost(message, repeated, tag = "4")]
    pub running: Vec<RunCount>,
    /// Like `waiting`, for requests that may run only at one software version. A separate field,
    /// because a receiver that ignored the version would overwrite the count in `waiting`.
    #[prost(message, repeated, tag = "5")]
    pub waiting_for_software: Vec<ModelRequests>,
    /// Revision of the list of software versions for which the instance has recorded its streams, packed; 0 for
    /// none.
    #[prost(uint64, tag = "6")]
    pub recorded_list: u64,
}

/// A model that is loaded on an engine.
#[derive(Clone, PartialEq, Message)]
pub struct PlacedModel {
    /// The model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The adapters of the model that are loaded on the engine.
    #[prost(string, repeated, tag = "2")]
    pub adapters: Vec<String>,
}

/// The models that are loaded on one engine.
#[derive(Clone, PartialEq, Message)]
pub struct EnginePlacement {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// The loaded models.
    #[prost(message, repeated, tag = "2")]
    pub models: Vec<PlacedModel>,
    /// Models that are about to be unloaded.
    #[prost(string, repeated, tag = "3")]
    pub evicting: Vec<String>,
}

/// Placements that the holder publishes to the instances.
#[derive(Clone, PartialEq, Message)]
pub struct Placements {
    /// The engines whose placement has changed.
    #[prost(message, repeated, tag = "1")]
    pub engines: Vec<EnginePlacement>,
}

/// The role of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Role {
    /// Unknown.
    Unspecified = 0,
    /// A router.
    Router = 1,
    /// A controller.
    Controller = 2,
    /// `passwayctl`.
    Operator = 3,
}

/// The first message on a connection, sent by the side that connects. Routers repeat it as their
/// heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// The role of the sender.
    #[prost(enumeration = "Role", tag = "1")]
    pub role: i32,
    /// The instance that the sender runs on.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// The incarnation of the sender.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// The revision of the configuration that the sender applies.
    #[prost(uint64, tag = "4")]
    pub config_revision: u64,
    /// Number of requests in progress at the sender.
    #[prost(uint32, tag = "5")]
    pub in_progress: u32,
    /// Whether the sender is leaving.
    #[prost(bool, tag = "6")]
    pub is_leaving: bool,
}

/// The holder of a cell, as known by a controller.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct CellHolder {
    /// The cell.
    #[prost(string, tag = "1")]
    pub cell: String,
    /// The epoch of the holder.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// The address where the holder listens.
    #[prost(string, tag = "3")]
    pub address: String,
}

/// A controller's heartbeat, sent to all connected peers.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// The instance that the controller runs on.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// The incarnation of the sender.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The highest revision of the configuration that the controller knows.
    #[prost(uint64, tag = "3")]
    pub config_revision: u64,
    /// Time since any controller last confirmed at the key-value service that this revision is the
    /// current one, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub config_age_ms: u64,
    /// Whether the controller reaches neither the key-value service nor any other controller.
    #[prost(bool, tag = "5")]
    pub is_isolated: bool,
    /// Number of live routers.
    #[prost(uint32, tag = "6")]
    pub routers: u32,
    /// The holders that the controller knows; omitted if unchanged since the last heartbeat on this
    /// connection.
    #[prost(message, repeated, tag = "7")]
    pub cells: Vec<CellHolder>,
}

/// Requests a controller's revision of the configuration.
///
/// Many controllers may announce the same revision. A node that lacks the revision requests it from
/// only one of them, so that each node receives it once.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ConfigRequest {
    /// The revision that the sender applies.
    #[prost(uint64, tag = "1")]
    pub known_revision: u64,
}

/// A revision of the configuration.
#[derive(Clone, PartialEq, Message)]
pub struct Config {
    /// The revision, encoded as in the key-value service.
    #[prost(bytes = "bytes", tag = "1")]
    pub encoded: bytes::Bytes,
}

/// A replica of a model on an upstream.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Route {
    /// The model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The upstream.
    #[prost(string, tag = "2")]
    pub upstream: String,
}

/// A change of the replicas that requests may be sent to.
#[derive(Clone, PartialEq, Message)]
pub struct Routes {
    /// The cell whose replicas have changed.
    #[prost(string, tag = "1")]
    pub cell: String,
    /// The epoch of the holder that sent the change; routers ignore changes of older epochs.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Whether `added` is the complete routing table of the cell.
    #[prost(bool, tag = "3")]
    pub is_complete: bool,
    /// Replicas that accept requests.
    #[prost(message, repeated, tag = "4")]
    pub added: Vec<Route>,
    /// Replicas that no new requests may be sent to.
    #[prost(message, repeated, tag = "5")]
    pub removed: Vec<Route>,
}

/// A router's demand for a model.
#[derive(Clone, PartialEq, Message)]
pub struct Demand {
    /// The model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The workspace of the first waiting request.
    #[prost(string, tag = "2")]
    pub workspace: String,
    /// Number of waiting requests.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// Time until the earliest deadline, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub deadline_in_ms: u64,
    /// The best priority among the waiting requests.
    #[prost(uint32, tag = "5")]
    pub priority: u32,
}

/// A holder's answer to a demand.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct DemandAnswer {
    /// The model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Expected time until the model is ready, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub ready_in_ms: u64,
    /// The result code if the demand is refused, otherwise 0.
    #[prost(uint32, tag = "3")]
    pub refused_code: u32,
    /// Time after which a refused demand may be sent again, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub retry_in_ms: u64,
}

/// A router's report of the requests that use a model.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Usage {
    /// The model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Number of requests in progress.
    #[prost(uint32, tag = "2")]
    pub running: u32,
}

/// Asks whether a previous holder can still send orders.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Probe {
    /// The cell.
    #[prost(string, tag = "1")]
    pub cell: String,
    /// The epoch of the previous holder.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
}

/// The answer to a probe.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ProbeAnswer {
    /// The incarnation of the process that answers.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Whether the process may still send an order of that epoch.
    #[prost(bool, tag = "2")]
    pub has_order_in_flight: bool,
}

/// An operator's query.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Query {
    /// The kind of query: `status`, `audit` or `drain`.
    #[prost(string, tag = "1")]
    pub kind: String,
}

/// The answer to an operator's query.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct QueryAnswer {
    /// The answer as JSON text.
    #[prost(string, tag = "1")]
    pub json: String,
}
