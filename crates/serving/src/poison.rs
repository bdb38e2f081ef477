//! Requests that crash the upstreams that run them.
//!
//! Such a request comes again, under another id and at another instance, and each run takes an engine
//! and all that runs there. So crashes are counted by what a request asks for
//! ([`RequestDigest`]), over all instances, and it is refused after [`MAX_CRASHES`].

mod digest;
mod list;
mod turns;

pub use digest::RequestDigest;
pub use list::{
    Blame, MAX_CRASHES, OPEN_TIME, PoisonList, RunSpan, Standing, Suspect, UpstreamStart,
};
pub use turns::{RunTurns, TurnId};
