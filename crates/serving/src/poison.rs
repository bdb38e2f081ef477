//! Requests that crash the upstreams that run them.
//!
//! Such a request comes again, under another id and at another instance, and each run takes an engine
//! and all that runs there. So crashes are counted by what a request asks for
//! ([`RequestDigest`]), over all instances, and it is refused after [`MAX_CRASHES`].

mod digest;
mod exclusive_runs;
mod list;

pub use digest::RequestDigest;
pub use exclusive_runs::{ExclusiveRunId, ExclusiveRuns};
pub use list::{
    CrashStatus, MAX_CRASHES, PoisonList, RunPermission, RunSpan, Suspect, UNCONFIRMED_TIMEOUT,
    UpstreamStart,
};
