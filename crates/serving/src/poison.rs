//! Poison requests: requests that crash the upstreams that run them, by their content or by a part of
//! their prompts.
//!
//! Such a request is retried under another id and at another instance, and each run takes down an
//! engine with everything that runs on it. So crashes are counted over all instances by the
//! request's content ([`RequestDigest`]), and the request is refused after [`MAX_CRASHES`].

mod blame;
mod digest;
mod exclusive_runs;
mod key;
mod list;
mod part;

pub use blame::RunDecision;
pub use digest::RequestDigest;
pub use exclusive_runs::{ExclusiveRunId, ExclusiveRuns};
pub use key::SuspectKey;
pub use list::{
    CrashStatus, MAX_CRASHES, PoisonList, RunPermission, RunSpan, Suspect, UNCONFIRMED_TIMEOUT,
    UpstreamStart,
};
pub use part::{InvalidParts, MAX_PARTS, PartId};
