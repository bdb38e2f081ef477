//! The last check before a request is sent: whether the upstream still admits it and it may go
//! there.
//!
//! Since the choice, operators may have evacuated the hall or restricted the request to other
//! regions, the upstream may have sent new signals or started again, a stream begins only at a process
//! whose software version is known, and is resumed only at that version. Every request is sent with a
//! [`SendPermit`], which only this check creates: first attempts, retries, resumed streams, runs
//! granted by another instance, and requests that have waited for a connection.

use super::{Forwarding, Target};
use crate::upstream_exchange::Exchange;
use passway_types::clock;

/// Permission to send one request to one upstream now.
#[derive(Debug)]
pub(super) struct SendPermit(());

impl Forwarding<'_> {
    /// Checks whether the request may be sent to the upstream over the connection of `exchange`; `None`
    /// if the upstream does not admit it.
    pub(super) fn acquire_send_permit(
        &self,
        target: &Target,
        exchange: &mut Exchange,
    ) -> Option<SendPermit> {
        if self.route.kind.is_stream() && !self.is_chosen_start(target, exchange) {
            return None;
        }
        let now = clock::now();
        let mut upstreams = self.shared.upstreams();
        let has_limit_grant =
            target.has_limit_grant || upstreams.limit_per_s(&target.id, now).is_none();
        let is_allowed =
            has_limit_grant && upstreams.admits(&target.id, &self.access.allowed_regions);
        // The version belongs to the start that was chosen.
        let listed = upstreams.listed_start(&target.id);
        let is_listed = upstreams.service_of(&target.id).is_some();
        let is_replaced = is_listed && listed != target.start;
        let fits = !is_replaced && self.fits_version(&target.start);
        let is_admitted =
            is_allowed && fits && upstreams.try_admit(&target.id, target.start.started_at_ms, now);
        is_admitted.then_some(SendPermit(()))
    }
}
