//! What crashes are counted under: a whole request, or a part that prompts share.

use super::{PartId, RequestDigest};
use passway_types::hash::DIGEST_BYTES;
use std::fmt;

/// First byte of an encoded part, which tells it from a digest of the same length.
const PART_TAG: u8 = b'p';

/// What may crash upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SuspectKey {
    /// A request that is sent again.
    Request(RequestDigest),
    /// A part of prompts, in whichever request.
    Part(PartId),
}

impl SuspectKey {
    /// Encodes the key for messages. An earlier build ignores a part, because its length is not that
    /// of a digest.
    pub fn to_bytes(self) -> Vec<u8> {
        match self {
            Self::Request(digest) => digest.0.to_vec(),
            Self::Part(id) => [&[PART_TAG], &id.0.to_be_bytes()[..]].concat(),
        }
    }

    /// Decodes a key; `None` if another build has encoded something else.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        if bytes.len() == DIGEST_BYTES {
            return Some(Self::Request(RequestDigest(bytes.try_into().ok()?)));
        }
        let (tag, id) = bytes.split_first()?;
        let id = u128::from_be_bytes(id.try_into().ok()?);
        (*tag == PART_TAG).then_some(Self::Part(PartId(id)))
    }

    /// Whether the key is a part of prompts.
    pub fn is_part(self) -> bool {
        matches!(self, Self::Part(_))
    }
}

impl fmt::Display for SuspectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(digest) => digest.fmt(f),
            Self::Part(id) => write!(f, "part {id}"),
        }
    }
}

impl From<RequestDigest> for SuspectKey {
    fn from(digest: RequestDigest) -> Self {
        Self::Request(digest)
    }
}

impl From<PartId> for SuspectKey {
    fn from(id: PartId) -> Self {
        Self::Part(id)
    }
}
