//! The life cycle of a call that may not be repeated.
//!
//! Each idempotency key of a caller has one value in the key-value service. Before a router sends
//! the call, it writes [`ClaimState::Claimed`] by compare-and-swap against an absent value, so at
//! most one attempt per key is ever sent. The state only moves forward: from claimed to done,
//! unknown or released. The owner of a released claim knows that nothing was sent, so another
//! attempt may claim the key again.

use passway_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The stored answer of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status of the answer.
    pub http_status: u16,
    /// The content type of the answer.
    pub content_type: String,
    /// The body of the answer.
    pub body: Vec<u8>,
}

/// The progress of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The owner may be sending the call.
    Claimed,
    /// The service answered.
    Done(StoredAnswer),
    /// The call was sent and its outcome is unknown.
    Unknown,
    /// The owner knows that nothing was sent.
    Released,
}

/// The value stored under a caller's idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The attempt that owns the claim, unique over all routers. A router whose write got no answer
    /// reads the claim back and recognizes its own by this number.
    pub attempt: u128,
    /// Digest of the request. The same key with a different request is refused.
    pub request_digest: u64,
    /// The progress of the call.
    pub state: ClaimState,
}

/// What a router does after reading the value under a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// Write a claim against this version and send the call only if the write took effect.
    Write(Version),
    /// This attempt already owns the claim: its earlier write took effect.
    Owned(Version),
    /// Answer with the stored answer of the service.
    Replay(StoredAnswer),
    /// Refuse: another attempt is in progress or its outcome is unknown.
    RepeatUnknown,
    /// Refuse: the key belongs to a different request.
    KeyReused,
}

/// Decides the next step of an attempt from the value stored under the key.
pub fn next_step(stored: Option<(Version, &Claim)>, attempt: u128, digest: u64) -> ClaimStep {
    let Some((version, claim)) = stored else {
        return ClaimStep::Write(0);
    };
    if claim.request_digest != digest {
        return ClaimStep::KeyReused;
    }
    match &claim.state {
        ClaimState::Claimed if claim.attempt == attempt => ClaimStep::Owned(version),
        ClaimState::Claimed | ClaimState::Unknown => ClaimStep::RepeatUnknown,
        ClaimState::Done(answer) => ClaimStep::Replay(answer.clone()),
        ClaimState::Released => ClaimStep::Write(version),
    }
}
