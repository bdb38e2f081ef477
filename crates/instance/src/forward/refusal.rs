//! The answer to a request when nothing more can be tried.

use super::attempt::FailedAnswer;
use super::resumption::resume_denial;
use super::{ConnectionReuse, Forwarding, RETRY_AFTER_MS, connection_reuse, not_run};
use crate::denials::Denial;
use crate::poison::ExclusivePermit;
use crate::relay::{millis, millis_since};
use crate::reply::{self, Refusal};
use passway_serving::poison::RunPermission;
use passway_types::clock;

/// `Retry-After` of a request that may crash upstreams, in milliseconds. By then an upstream that
/// broke off has restarted or has proved to be alive.
const SUSPECT_RETRY_MS: u64 = 2_000;

impl Forwarding<'_> {
    /// Writes the final answer when nothing more can be tried.
    pub(super) fn answer_failure(&mut self, failed: Option<Box<FailedAnswer>>) -> ConnectionReuse {
        if self.delivered.head_sent {
            // A stream that breaks off must not look complete.
            self.request_log.end = if self.request_log.cut_by_stop {
                "stream cut by the stop"
            } else {
                "stream broken off"
            };
            return ConnectionReuse::Close;
        }
        if let Some(failed) = failed {
            return self.deliver_whole(&failed.head, &failed.body, failed.proof);
        }
        if let Some(obstacle) = self.resume_obstacle
            && self.runs == 0
        {
            return self.refuse(resume_denial(obstacle));
        }
        if self.has_only_other_weights() && self.runs == 0 {
            return self.refuse(Denial {
                refusal: Refusal::OtherWeights,
                end: "refused, other weights",
            });
        }
        let refused_for = self.refused_for();
        let has_permit = self
            .exclusive_permit
            .as_ref()
            .is_some_and(ExclusivePermit::is_granted);
        let is_on_hold = self.run_permission != RunPermission::Free && !has_permit;
        let refusal = if self.runs == 0 {
            // A request that crashes engines is not run until its entry expires.
            let available_ms = self
                .model_ready_ms
                .or(self.too_late.map(|refused| millis(refused.retry_after)))
                .or(self.upstream_available_ms)
                .or(self.peer_retry_ms)
                .or_else(|| self.missing_model_ms())
                .unwrap_or(RETRY_AFTER_MS);
            let retry_ms = if is_on_hold {
                SUSPECT_RETRY_MS
            } else {
                available_ms
            };
            not_run(refused_for.map_or(retry_ms, millis))
        } else if clock::now() >= self.deadline_at {
            Refusal::TimedOut
        } else {
            Refusal::AnswerLost
        };
        let end = if self.request_log.cut_by_stop {
            "refused at the stop"
        } else if refused_for.is_some() {
            "refused as crashing upstreams"
        } else if is_on_hold {
            "refused, it may crash upstreams"
        } else if self.model_ready_ms.is_some() {
            "refused, its model comes too late"
        } else if self.too_late.is_some() {
            "refused, it cannot begin in time"
        } else if self.upstream_available_ms.is_some() {
            "refused, its upstreams take no more"
        } else {
            "refused"
        };
        self.refuse(Denial { refusal, end })
    }

    /// Milliseconds until the model is loaded that the request has missed.
    fn missing_model_ms(&self) -> Option<u64> {
        let now = clock::now();
        let ends_at = self.record_missing_model(now)?;
        Some(millis_since(now, ends_at)).filter(|remaining_ms| *remaining_ms > 0)
    }

    /// Refuses the request.
    pub(super) fn refuse(&mut self, denial: Denial) -> ConnectionReuse {
        let Denial { refusal, end } = denial;
        self.request_log.status = refusal.code();
        self.request_log.end = end;
        let vocabulary = &*self.shared.vocabulary;
        let close = self.should_close;
        let written = reply::refuse(self.caller, vocabulary, &self.facts.id, refusal, close);
        connection_reuse(written.is_ok() && !close)
    }
}
