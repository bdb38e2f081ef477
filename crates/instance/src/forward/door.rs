//! The last thing before a request goes to an upstream: whether that still wants it and it may go there.
//!
//! Operators may have emptied its hall, or bound the request to other regions. Whatever a request was before, a first try, a repeat, a stream that goes on elsewhere, one that was granted
//! by another instance or that has waited for its connection, it is sent by a [`Permit`], and only the door
//! gives one. What the upstream said of itself since it was chosen counts.

use super::{Forwarding, Target};
use passway_types::clock;

/// Leave to send a request to an upstream once, now.
#[derive(Debug)]
pub(super) struct Permit(());

impl Forwarding<'_> {
    /// Lets a request through to an upstream; `None` if the upstream does not want it.
    pub(super) fn permit(&self, target: &Target) -> Option<Permit> {
        let now = clock::now();
        let mut upstreams = self.shared.upstreams();
        let has_turn = target.has_turn || upstreams.limit_per_s(&target.id, now).is_none();
        let may_go = has_turn && upstreams.admits(&target.id, &self.access.allowed);
        let wants = may_go && upstreams.try_admit(&target.id, target.started_at_ms, now);
        wants.then_some(Permit(()))
    }
}
