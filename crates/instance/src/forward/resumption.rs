//! Streams that go on at another run after events were delivered: within one answer, through another
//! instance, or by a caller that returns.

use super::{Forwarding, Origin, Target};
use passway_process::logging::json::REQUEST_TARGET;

impl Forwarding<'_> {
    /// The event after which the next run of a stream goes on; `None` if it begins the stream.
    fn resumed_after(&self) -> Option<String> {
        let delivered = self.delivered.last_event_id();
        delivered.or_else(|| self.facts.last_event_id.clone())
    }

    /// How the stream comes to go on at `target`, for logs.
    fn resumption_way(&self, target: &Target) -> &'static str {
        if target.continues.is_some() {
            "copy"
        } else if self.attempt_upstream.as_ref() != Some(&target.id) {
            // The run in progress is at another upstream.
            "successor"
        } else if self.delivered.splitter.last_id().is_some() {
            "retry"
        } else if matches!(self.origin, Origin::Peer(_)) && self.delivered.resume_after.is_some() {
            "peer"
        } else {
            "caller"
        }
    }

    /// Logs that the request is sent to `target` to go on with a stream.
    pub(super) fn log_resumption(&self, target: &Target) {
        let Some(after) = self.resumed_after() else {
            return;
        };
        log::info!(target: REQUEST_TARGET, request = self.facts.id, way = self.resumption_way(target),
            after_event = after, resumes = self.facts.resumes.as_deref().unwrap_or(""),
            upstream:% = target.id, started_at_ms = target.started_at_ms,
            version = target.software.as_ref().map_or("", |software| software.name()),
            previous_version = self.delivered.software.as_ref().map_or("", |software| software.name());
            "a stream goes on");
    }
}
