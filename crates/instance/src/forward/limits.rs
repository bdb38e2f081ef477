//! What upstreams say that they take.

use super::{Forwarding, Target};
use passway_process::logging::json::DECISION_TARGET;
use passway_serving::limits::{LimitWord, NamedLimit};
use passway_serving::ports::AnswerFacts;
use passway_types::clock;

impl Forwarding<'_> {
    /// Takes in what an answer says about how much its upstream takes.
    pub(super) fn note_limit(&self, target: &Target, facts: &AnswerFacts) {
        let per_s = match facts.limit {
            NamedLimit::PerSecond(per_s) => Some(per_s),
            // Only an answer that the upstream vouches for is its word that it is in no need.
            NamedLimit::Absent if facts.vouched => None,
            NamedLimit::Absent => return,
            NamedLimit::Unusable => {
                self.shared.metrics.unusable_limit();
                return;
            }
        };
        let word = LimitWord {
            per_s,
            sent_at: self.attempt_at,
            heard_at: clock::now(),
        };
        if self.shared.upstreams().note_limit(&target.id, word) {
            log::info!(target: DECISION_TARGET, upstream:% = target.id, per_s:? = per_s; "an upstream says what it takes");
        }
    }
}
