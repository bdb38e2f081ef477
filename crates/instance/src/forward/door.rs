//! The last thing before a request goes to an upstream: whether that still wants it.
//!
//! Whatever a request was before, a first try, a repeat, a stream that goes on elsewhere, one that was granted
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
        let mut upstreams = self.shared.upstreams();
        let has_turn = target.has_turn || upstreams.limit_per_s(&target.id).is_none();
        let wants =
            has_turn && upstreams.let_through(&target.id, target.started_at_ms, clock::now());
        wants.then_some(Permit(()))
    }
}
