//! The messages.

use prost::{Message, Oneof};

/// One frame.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// What it carries; `None` comes from a newer program and is ignored.
    #[prost(
        oneof = "Body",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, \
                20, 21, 22, 23"
    )]
    pub body: Option<Body>,
}

/// The kinds of message.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// First message of whoever connects.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// A controller's heartbeat.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// A revision of the configuration.
    #[prost(message, tag = "3")]
    Config(Config),
    /// Where requests may be sent.
    #[prost(message, tag = "4")]
    Routes(Routes),
    /// A router's demand.
    #[prost(message, tag = "5")]
    Demand(Demand),
    /// A holder's answer to a demand.
    #[prost(message, tag = "6")]
    DemandAnswer(DemandAnswer),
    /// A router's report of use.
    #[prost(message, tag = "7")]
    Usage(Usage),
    /// Asks whether a former holder can still send orders.
    #[prost(message, tag = "8")]
    Probe(Probe),
    /// The answer to a probe.
    #[prost(message, tag = "9")]
    ProbeAnswer(ProbeAnswer),
    /// An operator's question.
    #[prost(message, tag = "10")]
    Query(Query),
    /// The answer to an operator's question, as JSON.
    #[prost(message, tag = "11")]
    QueryAnswer(QueryAnswer),
    /// Asks a controller for its revision of the configuration.
    #[prost(message, tag = "12")]
    ConfigRequest(ConfigRequest),
    /// What an instance needs and uses.
    #[prost(message, tag = "13")]
    InstanceReport(InstanceReport),
    /// What stands on engines.
    #[prost(message, tag = "14")]
    Placements(Placements),
    /// Asks the holder of the right to order for what the store tells it.
    #[prost(message, tag = "15")]
    Subscribe(Subscribe),
    /// What the store told the holder.
    #[prost(message, tag = "16")]
    Updates(Updates),
    /// Where the instances that listen to the holder can be reached.
    #[prost(message, tag = "17")]
    Members(Members),
    /// Who holds the right to order now.
    #[prost(message, tag = "18")]
    NewHolder(NewHolder),
    /// A holder that the store does not answer asks a candidate to promise.
    #[prost(message, tag = "19")]
    PromiseRequest(PromiseRequest),
    /// A candidate's promise not to take the right to order.
    #[prost(message, tag = "20")]
    Promise(Promise),
    /// The instances that dispatch for engines.
    #[prost(message, tag = "21")]
    Dispatchers(Members),
    /// Requests under which upstreams have crashed.
    #[prost(message, tag = "22")]
    Suspects(Suspects),
    /// What upstreams say of themselves in their answers.
    #[prost(message, tag = "23")]
    KnownSignals(KnownSignals),
}

/// What an upstream said of how much it takes.
#[derive(Clone, PartialEq, Message)]
pub struct UpstreamLimit {
    /// The upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// When it had started, in Unix milliseconds by its own clock; 0 if it does not tell.
    #[prost(uint64, tag = "2")]
    pub started_at_ms: u64,
    /// Requests a second, from all instances together; `None` if it is in no need any more.
    #[prost(double, optional, tag = "3")]
    pub requests_per_s: Option<f64>,
    /// Time since the request was sent whose answer says so, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub sent_ms_ago: u64,
    /// Time since that answer came, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub received_ms_ago: u64,
}

/// A start of an upstream that leaves.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct LeavingUpstream {
    /// The upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// When it had started, in Unix milliseconds by its own clock; 0 if it does not tell.
    #[prost(uint64, tag = "2")]
    pub started_at_ms: u64,
}

/// A start of an upstream that wants nothing from the instance that tells it.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct BackingOffUpstream {
    /// The upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// When it had started, in Unix milliseconds by its own clock; 0 if it does not tell.
    #[prost(uint64, tag = "2")]
    pub started_at_ms: u64,
    /// For how long yet, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub remaining_ms: u64,
}

/// What upstreams said of themselves in their answers, as far as the sender knows.
#[derive(Clone, PartialEq, Message)]
pub struct KnownSignals {
    /// How much they take.
    #[prost(message, repeated, tag = "1")]
    pub limits: Vec<UpstreamLimit>,
    /// Those that leave.
    #[prost(message, repeated, tag = "2")]
    pub leaving: Vec<LeavingUpstream>,
    /// Those that want nothing from the sender; told to the holder of the right to order only.
    #[prost(message, repeated, tag = "3")]
    pub backing_off: Vec<BackingOffUpstream>,
}

/// A holder of the right to order that the store does not answer asks a candidate to
/// promise that it does not take the right for a while.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct PromiseRequest {
    /// The holder's fencing number.
    #[prost(uint64, tag = "1")]
    pub fence: u64,
    /// When it was asked, in milliseconds since some moment of the holder's own.
    #[prost(uint64, tag = "2")]
    pub asked_at_ms: u64,
}

/// A candidate's promise not to take the right to order.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Promise {
    /// The candidate.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// The fencing number that the holder named.
    #[prost(uint64, tag = "2")]
    pub fence: u64,
    /// The moment that it named.
    #[prost(uint64, tag = "3")]
    pub asked_at_ms: u64,
    /// Whether the candidate's process ends, so that it never takes the right.
    #[prost(bool, tag = "4")]
    pub is_leaving: bool,
}

/// A crash of an upstream.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Crash {
    /// The upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// When it had started, in Unix milliseconds by its own clock; 0 if it does not tell.
    #[prost(uint64, tag = "2")]
    pub started_at_ms: u64,
    /// What the crash tells about the request: 0 that it may be the cause, 1 that another
    /// one explains it, 2 that the request was answered since, 3 that the upstream broke off and it
    /// is not known whether it has ended.
    #[prost(uint32, tag = "3")]
    pub status: u32,
    /// Time since the run was sent, in milliseconds, where that is known.
    #[prost(uint64, optional, tag = "4")]
    pub sent_ms_ago: Option<u64>,
    /// Time since it broke off, in milliseconds, where that is known.
    #[prost(uint64, optional, tag = "5")]
    pub disconnected_ms_ago: Option<u64>,
}

/// A request under which upstreams have crashed.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Suspect {
    /// The digest of what it asks for.
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
    /// The crashes.
    #[prost(message, repeated, tag = "2")]
    pub crashes: Vec<Crash>,
}

/// Requests under which upstreams have crashed, as far as the sender knows.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Suspects {
    /// The requests.
    #[prost(message, repeated, tag = "1")]
    pub suspects: Vec<Suspect>,
    /// Upstreams that broke off lately and may have ended.
    #[prost(message, repeated, tag = "2")]
    pub disconnects: Vec<UpstreamDisconnect>,
}

/// A start of an upstream that broke off.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct UpstreamDisconnect {
    /// The upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// When it had started, in Unix milliseconds by its own clock; 0 if it does not tell.
    #[prost(uint64, tag = "2")]
    pub started_at_ms: u64,
    /// Time since it broke off, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub ms_ago: u64,
}

/// An instance asks for the store's news.
#[derive(Clone, PartialEq, Message)]
pub struct Subscribe {
    /// What it knows of each feed: the store's revision, 0 for nothing; in the order of feeds.
    #[prost(uint64, repeated, tag = "1")]
    pub known_revisions: Vec<u64>,
    /// Its name.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// Where it listens for other instances.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Whether others had better hold the right to order, since it has little processor.
    #[prost(bool, tag = "4")]
    pub is_weak: bool,
    /// Digests of what it believes to stand on each engine.
    #[prost(fixed64, repeated, tag = "5")]
    pub placement_digests: Vec<u64>,
}

/// An instance and where it listens for others.
#[derive(Clone, PartialEq, Message)]
pub struct Member {
    /// Its name.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// The address.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// The instances that listen to the holder of the right to order, and itself.
#[derive(Clone, PartialEq, Message)]
pub struct Members {
    /// All of them.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<Member>,
}

/// A new holder of the right to order says so to an instance that may not know it.
#[derive(Clone, PartialEq, Message)]
pub struct NewHolder {
    /// Its name.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Where it listens for other instances.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Its fencing number.
    #[prost(uint64, tag = "3")]
    pub fence: u64,
}

/// A value of the store.
#[derive(Clone, PartialEq, Message)]
pub struct StoreValue {
    /// Its key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Its bytes, packed if `plain_bytes` is not 0; absent if the key went away.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub value: Option<bytes::Bytes>,
    /// The store's revision of the change.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Its length before it was packed, in bytes; 0 if it is not packed.
    #[prost(uint64, tag = "4")]
    pub uncompressed_bytes: u64,
    /// The revision of the key's value that it is packed against; 0 if against none.
    #[prost(uint64, tag = "5")]
    pub base_revision: u64,
}

/// What the store told of one feed; without changes it only says that the sender lives.
#[derive(Clone, PartialEq, Message)]
pub struct Updates {
    /// The feed's number.
    #[prost(uint32, tag = "1")]
    pub feed: u32,
    /// The revision that the changes follow on; 0 if this is all there is.
    #[prost(uint64, tag = "2")]
    pub from_revision: u64,
    /// The revision up to which this tells; 0 if it tells nothing.
    #[prost(uint64, tag = "3")]
    pub to_revision: u64,
    /// The changes, or all values.
    #[prost(message, repeated, tag = "4")]
    pub values: Vec<StoreValue>,
    /// Instances that the holder knows of; 0 if it does not say.
    #[prost(uint32, tag = "5")]
    pub instance_count: u32,
    /// When this was queued, in milliseconds since a moment of the holder's own; 0 if it does
    /// not say.
    #[prost(uint64, tag = "6")]
    pub queued_at_ms: u64,
    /// When the store confirmed last to the holder that it knows all of a feed, by feeds, in
    /// milliseconds since the same moment; 0 for never.
    #[prost(uint64, repeated, tag = "7")]
    pub confirmed_at_ms: Vec<u64>,
    /// Engines to which an order of the holder has no answer and may be carried out yet.
    #[prost(string, repeated, tag = "8")]
    pub unconfirmed: Vec<String>,
}

/// A model or adapter of a service.
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
    /// Milliseconds for which the last of the requests still waits; 0 for requests taken.
    #[prost(uint32, tag = "4")]
    pub remaining_wait_ms: u32,
    /// Requests that wait, 0 if none does any more; or requests taken.
    #[prost(uint32, tag = "5")]
    pub count: u32,
}

/// Requests that run on an engine.
#[derive(Clone, PartialEq, Message)]
pub struct RunCount {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// The model.
    #[prost(string, tag = "2")]
    pub model: String,
    /// How many.
    #[prost(uint32, tag = "3")]
    pub count: u32,
}

/// What an instance tells the holder of the right to order.
#[derive(Clone, PartialEq, Message)]
pub struct InstanceReport {
    /// The instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// What requests wait for, where that has changed since the last message.
    #[prost(message, repeated, tag = "2")]
    pub waiting: Vec<ModelRequests>,
    /// What requests were taken for since the last message.
    #[prost(message, repeated, tag = "3")]
    pub accepted: Vec<ModelRequests>,
    /// What runs now.
    #[prost(message, repeated, tag = "4")]
    pub running: Vec<RunCount>,
}

/// A model on an engine.
#[derive(Clone, PartialEq, Message)]
pub struct PlacedModel {
    /// The model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Its adapters there.
    #[prost(string, repeated, tag = "2")]
    pub adapters: Vec<String>,
}

/// What stands on one engine.
#[derive(Clone, PartialEq, Message)]
pub struct EnginePlacement {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Its models.
    #[prost(message, repeated, tag = "2")]
    pub models: Vec<PlacedModel>,
    /// Models that are about to go.
    #[prost(string, repeated, tag = "3")]
    pub evicting: Vec<String>,
}

/// What the holder of the right to order tells the instances.
#[derive(Clone, PartialEq, Message)]
pub struct Placements {
    /// The engines whose placement has changed.
    #[prost(message, repeated, tag = "1")]
    pub engines: Vec<EnginePlacement>,
}

/// What a program is.
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

/// First message of whoever connects; routers repeat it as their heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// What the sender is.
    #[prost(enumeration = "Role", tag = "1")]
    pub role: i32,
    /// The instance that it runs on.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// Its incarnation.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// The revision that is in force at the sender.
    #[prost(uint64, tag = "4")]
    pub config_revision: u64,
    /// Requests in progress at the sender.
    #[prost(uint32, tag = "5")]
    pub in_progress: u32,
    /// Whether the sender is leaving.
    #[prost(bool, tag = "6")]
    pub is_leaving: bool,
}

/// What a controller knows of the holder of a cell.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct CellHolder {
    /// The cell.
    #[prost(string, tag = "1")]
    pub cell: String,
    /// The epoch.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Where the holder listens.
    #[prost(string, tag = "3")]
    pub address: String,
}

/// A controller's heartbeat, sent to all that are connected.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// The controller's instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Its incarnation.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The highest revision that it knows.
    #[prost(uint64, tag = "3")]
    pub config_revision: u64,
    /// Time since that revision was last confirmed at the key-value service by
    /// anybody, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub config_age_ms: u64,
    /// Whether it reaches neither the service nor any other controller.
    #[prost(bool, tag = "5")]
    pub is_isolated: bool,
    /// Live routers.
    #[prost(uint32, tag = "6")]
    pub routers: u32,
    /// The holders that it knows; left out while they are as in the last
    /// heartbeat on this connection.
    #[prost(message, repeated, tag = "7")]
    pub cells: Vec<CellHolder>,
}

/// Asks a controller for its revision of the configuration.
///
/// Whoever lacks a revision asks one controller for it, so that it travels to
/// each node once, however many controllers tell of it.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ConfigRequest {
    /// The revision in force at the sender.
    #[prost(uint64, tag = "1")]
    pub known_revision: u64,
}

/// A revision of the configuration.
#[derive(Clone, PartialEq, Message)]
pub struct Config {
    /// The stored revision, encoded as it is kept.
    #[prost(bytes = "bytes", tag = "1")]
    pub encoded: bytes::Bytes,
}

/// A replica.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Route {
    /// The model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The upstream.
    #[prost(string, tag = "2")]
    pub upstream: String,
}

/// A change of where requests may be sent.
#[derive(Clone, PartialEq, Message)]
pub struct Routes {
    /// The cell that it speaks for.
    #[prost(string, tag = "1")]
    pub cell: String,
    /// The epoch of the holder that sent it; an older one is ignored.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Whether `added` is the whole table.
    #[prost(bool, tag = "3")]
    pub is_complete: bool,
    /// Replicas that serve.
    #[prost(message, repeated, tag = "4")]
    pub added: Vec<Route>,
    /// Replicas that get nothing new.
    #[prost(message, repeated, tag = "5")]
    pub removed: Vec<Route>,
}

/// A router's demand for a model.
#[derive(Clone, PartialEq, Message)]
pub struct Demand {
    /// The model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The workspace that waits first.
    #[prost(string, tag = "2")]
    pub workspace: String,
    /// Requests that wait.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// Time to the earliest deadline, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub deadline_in_ms: u64,
    /// The best priority among them.
    #[prost(uint32, tag = "5")]
    pub priority: u32,
}

/// A holder's answer to a demand.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct DemandAnswer {
    /// The model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Time until the model is expected to serve, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub ready_in_ms: u64,
    /// The result code if the demand is refused, else 0.
    #[prost(uint32, tag = "3")]
    pub refused_code: u32,
    /// When to come back, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub retry_in_ms: u64,
}

/// A router's report of use.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Usage {
    /// The model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Requests in progress.
    #[prost(uint32, tag = "2")]
    pub running: u32,
}

/// Asks whether a former holder can still send orders.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Probe {
    /// The cell.
    #[prost(string, tag = "1")]
    pub cell: String,
    /// The epoch that the former holder had.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
}

/// The answer to a probe.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ProbeAnswer {
    /// The incarnation of the process that answers.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Whether an order of that epoch is still in its hands.
    #[prost(bool, tag = "2")]
    pub has_order_in_flight: bool,
}

/// An operator's question.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Query {
    /// `status`, `audit` or `drain`.
    #[prost(string, tag = "1")]
    pub kind: String,
}

/// The answer to an operator's question.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct QueryAnswer {
    /// JSON text.
    #[prost(string, tag = "1")]
    pub json: String,
}
