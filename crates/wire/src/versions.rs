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
