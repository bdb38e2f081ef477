//! Datagrams about what instances may do: how new their configuration is, and what workspaces
//! may use.

use prost::Message;

/// Asks an instance for the newest version of the configuration that it can prove.
#[derive(Clone, PartialEq, Message)]
pub struct VersionAsk {
    /// The question's number at the instance that asks.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
}

/// The answer to a [`VersionAsk`].
#[derive(Clone, PartialEq, Message)]
pub struct VersionTold {
    /// The question's number.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The version in force; 0 if none is, or nothing proves it.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Time since the question that proves it the newest, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// Asks the keeper whether a request may go: for its workspace's allotment, or to an upstream that
/// names how much it takes.
#[derive(Clone, PartialEq, Message)]
pub struct UseAsk {
    /// The question's number at the instance that asks.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The workspace; empty if it is asked for an upstream.
    #[prost(string, tag = "2")]
    pub workspace: String,
    /// What the request counts, in the unit of its workspace; for an upstream 1.
    #[prost(double, tag = "3")]
    pub cost: f64,
    /// The workspace's rate or the upstream's limit as the asking instance knows it, in units a second,
    /// for a keeper that does not know it yet.
    #[prost(double, tag = "4")]
    pub rate_per_s: f64,
    /// The workspace's burst, in units, for the same.
    #[prost(double, tag = "5")]
    pub burst: f64,
    /// The upstream; empty if it is asked for a workspace.
    #[prost(string, tag = "6")]
    pub upstream: String,
    /// The digest of a request that may run one at a time over all instances; empty if it is asked for a
    /// workspace or an upstream.
    #[prost(bytes = "vec", tag = "7")]
    pub digest: Vec<u8>,
    /// How long such a run may last, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub run_ms: u64,
}

/// Whether a request may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum UseVerdict {
    /// The instance that was asked is not the keeper.
    NotKeeper = 0,
    /// It may.
    Granted = 1,
    /// The workspace has used what it may, or the upstream has what it takes.
    Refused = 2,
}

/// The answer to a [`UseAsk`].
#[derive(Clone, PartialEq, Message)]
pub struct UseTold {
    /// The question's number.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The verdict.
    #[prost(enumeration = "UseVerdict", tag = "2")]
    pub verdict: i32,
    /// When a refused request may come back, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
    /// The asking instance's part of the workspace's rate, in units a second.
    #[prost(double, tag = "4")]
    pub instance_rate_per_s: f64,
}

/// A request that was granted did not run and never will.
#[derive(Clone, PartialEq, Message)]
pub struct UseBack {
    /// The workspace.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// What it counted.
    #[prost(double, tag = "2")]
    pub cost: f64,
    /// The digest of a request whose run was alone and is over; empty if it is of a workspace.
    #[prost(bytes = "vec", tag = "3")]
    pub digest: Vec<u8>,
    /// The number of the question that was granted.
    #[prost(fixed64, tag = "4")]
    pub id: u64,
}
