//! The list of software versions as it is stored.

use prost::Message;

/// The versions at which streams may have begun.
#[derive(Clone, PartialEq, Message)]
pub struct StoredVersions {
    /// The era of the store in which the list is known to lack no version; absent if it may lack some.
    #[prost(uint64, optional, tag = "1")]
    pub confirmed_in: Option<u64>,
    /// The versions.
    #[prost(message, repeated, tag = "2")]
    pub versions: Vec<StoredVersion>,
    /// The splits of routes under which streams may have begun.
    #[prost(message, repeated, tag = "3")]
    pub splits: Vec<StoredSplit>,
    /// Versions at which no stream has begun yet. Their servers wait until all instances have recorded the
    /// streams that began before.
    #[prost(message, repeated, tag = "4")]
    pub announced: Vec<StoredVersion>,
}

/// A split of a route among services.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredSplit {
    /// The route's host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// The route's path prefix.
    #[prost(string, tag = "2")]
    pub prefix: String,
    /// The services; none while there was no such route.
    #[prost(message, repeated, tag = "3")]
    pub backends: Vec<StoredBackend>,
}

/// A service of a split.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredBackend {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Its weight.
    #[prost(uint32, tag = "2")]
    pub weight: u32,
}

/// A software version of a service.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredVersion {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The version.
    #[prost(string, tag = "2")]
    pub software: String,
}
