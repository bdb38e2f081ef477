//! The answer to a request when nothing more can be tried.

use super::access::Denied;
use super::attempt::FailedAnswer;
use super::{After, Forwarding, RETRY_AFTER_MS, after, not_run};
use crate::poison::Trial;
use crate::relay::millis;
use crate::reply::{self, Refusal};
use passway_serving::poison::RunPermission;
use passway_types::clock;

/// When a caller may come back whose request may crash upstreams: what broke off under it has started
/// again by then, or has proved to live.
const HELD_RETRY_MS: u64 = 2_000;

impl Forwarding<'_> {
    /// The last answer, when nothing more can be tried.
    pub(super) fn give_up(&mut self, failed: Option<Box<FailedAnswer>>) -> After {
        if self.delivered.head_sent {
            // A stream that breaks off must not look whole.
            self.record.end = if self.record.cut_by_stop {
                "stream cut by the stop"
            } else {
                "stream broken off"
            };
            if !self.delivered.chunked {
                self.caller.reset_when_closed();
            }
            return After::Close;
        }
        if let Some(failed) = failed {
            return self.pass_whole(&failed.head, &failed.body);
        }
        let refused_for = self.refused_for();
        let has_turn = self.trial.as_ref().is_some_and(Trial::is_granted);
        let is_held = self.standing != RunPermission::Free && !has_turn;
        let refusal = if self.runs == 0 {
            // What crashes engines is not run before it is forgotten.
            let model_ms = self.comes_ms.or(self.turn_ms).unwrap_or(RETRY_AFTER_MS);
            let held_ms = if is_held { HELD_RETRY_MS } else { model_ms };
            not_run(refused_for.map_or(held_ms, millis))
        } else if clock::now() >= self.deadline_at {
            Refusal::TimedOut
        } else {
            Refusal::AnswerLost
        };
        let end = if self.record.cut_by_stop {
            "refused at the stop"
        } else if refused_for.is_some() {
            "refused as crashing upstreams"
        } else if is_held {
            "refused, it may crash upstreams"
        } else if self.comes_ms.is_some() {
            "refused, its model comes too late"
        } else if self.turn_ms.is_some() {
            "refused, its upstreams take no more"
        } else {
            "refused"
        };
        self.refuse(Denied { refusal, end })
    }

    /// Refuses the request.
    pub(super) fn refuse(&mut self, denied: Denied) -> After {
        let Denied { refusal, end } = denied;
        self.record.status = refusal.code();
        self.record.end = end;
        let vocabulary = &*self.shared.vocabulary;
        let close = self.close_after;
        let done = reply::refuse(self.caller, vocabulary, &self.facts.id, refusal, close);
        after(done.is_ok() && !close)
    }
}
