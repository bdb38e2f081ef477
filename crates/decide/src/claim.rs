//! The life cycle of a call that may not be repeated.
//!
//! Each caller's key is one value in the key-value service. A router writes
//! [`ClaimState::Claimed`] by compare-and-swap against "absent" before the call
//! leaves, so at most one attempt under a key ever leaves. The states only move
//! forward: claimed, then done, unknown or released. A released claim is one
//! whose owner knows that nothing left; it may be claimed again.

use passway_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A stored answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status of the service's answer.
    pub http_status: u16,
    /// Its content type.
    pub content_type: String,
    /// Its body.
    pub body: Vec<u8>,
}

/// How far a call has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The owner may be sending the call.
    Claimed,
    /// The service answered.
    Done(StoredAnswer),
    /// The call left and its outcome was not learned.
    Unknown,
    /// The owner knows that nothing left.
    Released,
}

/// The value kept under a caller's key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The attempt that owns the claim, unique over all routers; by it a lost
    /// answer of the key-value service is read back.
    pub attempt: u128,
    /// Digest of the request; the same key with another request is refused.
    pub request_digest: u64,
    /// How far the call has come.
    pub state: ClaimState,
}

/// What a router does after it read the value under a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// Write a claim against this version, and send only if the write took effect.
    Write(Version),
    /// The claim is ours: the earlier write took effect.
    Owned(Version),
    /// Answer with what the service answered before.
    Replay(StoredAnswer),
    /// Refuse: another attempt is in progress or its outcome is unknown.
    RepeatUnknown,
    /// Refuse: the key belongs to another request.
    KeyReused,
}

/// Decides the next step from the value that stands under the key.
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
