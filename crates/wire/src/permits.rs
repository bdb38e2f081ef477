//! Datagrams by which instances ask for permits, and prove how recent their configuration is.

use prost::Message;

/// Asks an instance for the newest version of the configuration that the instance can prove to be
/// current.
#[derive(Clone, PartialEq, Message)]
pub struct VersionQuery {
    /// The number of the query, unique within the requesting instance.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
}

/// The answer to a [`VersionQuery`].
#[derive(Clone, PartialEq, Message)]
pub struct VersionAnswer {
    /// The number of the query.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The version that the instance applies; 0 if there is none or it is not proven to be current.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Time since the query that proved this version to be the newest was sent, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// Asks the coordinator whether a request may be sent.
///
/// The permit is for one of: the quota of a workspace, the advertised limit of an upstream, or the
/// exclusive run of a suspect request.
#[derive(Clone, PartialEq, Message)]
pub struct PermitRequest {
    /// The number of the query, unique within the requesting instance.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The workspace; empty if the permit is not for a quota.
    #[prost(string, tag = "2")]
    pub workspace: String,
    /// The cost of the request, in the unit of its workspace; 1 for an upstream.
    #[prost(double, tag = "3")]
    pub cost: f64,
    /// The workspace's rate or the upstream's limit as known by the requesting instance, in units
    /// per second; used if the coordinator does not know it yet.
    #[prost(double, tag = "4")]
    pub rate_per_s: f64,
    /// The workspace's burst, in units; used if the coordinator does not know it yet.
    #[prost(double, tag = "5")]
    pub burst: f64,
    /// The upstream; empty if the permit is not for the limit of an upstream.
    #[prost(string, tag = "6")]
    pub upstream: String,
    /// The key of a suspect, a request or a part of prompts, of which only one may run at a time across
    /// all instances; empty if the permit is not for an exclusive run.
    #[prost(bytes = "vec", tag = "7")]
    pub digest: Vec<u8>,
    /// Maximum duration of the exclusive run, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub run_ms: u64,
}

/// The result of a [`PermitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum UseVerdict {
    /// The receiver of the request is not the coordinator.
    NotCoordinator = 0,
    /// The request may be sent.
    Granted = 1,
    /// The quota of the workspace is used up, the limit of the upstream is reached, or another run
    /// of the request is in progress.
    Refused = 2,
}

/// The answer to a [`PermitRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct PermitReply {
    /// The number of the query.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The result.
    #[prost(enumeration = "UseVerdict", tag = "2")]
    pub verdict: i32,
    /// Time after which a refused request may be tried again, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
    /// The requesting instance's part of the workspace's rate, in units per second.
    #[prost(double, tag = "4")]
    pub instance_rate_per_s: f64,
}

/// Releases a permit: the request was not sent and never will be, or the exclusive run has ended.
#[derive(Clone, PartialEq, Message)]
pub struct PermitRelease {
    /// The workspace.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// The cost that was granted.
    #[prost(double, tag = "2")]
    pub cost: f64,
    /// The digest of a request whose exclusive run has ended; empty if the permit was for a quota.
    #[prost(bytes = "vec", tag = "3")]
    pub digest: Vec<u8>,
    /// The number of the [`PermitRequest`] that was granted.
    #[prost(fixed64, tag = "4")]
    pub id: u64,
}
