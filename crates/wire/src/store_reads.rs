//! Datagrams by which an instance that the store does not answer has another instance read the store.

use prost::Message;

/// Asks an instance to read the store now: the list of software versions, or the recorded versions of
/// one stream.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoreReadQuery {
    /// The number of the query, unique within the requesting instance.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The key of the stream; empty for the list.
    #[prost(bytes = "vec", tag = "2")]
    pub stream: Vec<u8>,
}

/// The answer to a [`StoreReadQuery`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoreReadAnswer {
    /// The number of the query.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The instance that answers.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// What the store has returned to a read that began after the query arrived; `None` if the store does
    /// not answer this instance.
    #[prost(message, optional, tag = "3")]
    pub result: Option<StoreReadResult>,
}

/// What the store has returned.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoreReadResult {
    /// Of the list: the revision of its key with the era, and the era's first one if the key is missing.
    /// Of a stream: the revision of the store with the era.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The list as stored; empty if it is missing, and for a stream.
    #[prost(bytes = "vec", tag = "2")]
    pub list: Vec<u8>,
    /// The recorded versions of the stream.
    #[prost(string, repeated, tag = "3")]
    pub recorded: Vec<String>,
}
