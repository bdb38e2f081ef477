//! What proves that an answer is complete, so that it may be framed as complete.
//!
//! | the answer | proof |
//! | --- | --- |
//! | has a length or chunks, or is empty by its head | its framing |
//! | is close-delimited, and an upstream closed the connection in order | the same start of the upstream answers a query sent afterwards; after a second only if it reports its start |
//! | is close-delimited, and the connection was reset or timed out | none |
//! | is close-delimited, and another instance sent it | none: instances always send a length or chunks |
//!
//! A stream must not end inside an event besides. Without proof the attempt counts as broken: the
//! request is resumed, repeated, or ends visibly as broken, as its kind allows.
//!
//! An upstream that is silent for a while may live. So the query to one that reports its start is
//! repeated for as long as a caller waits, and meanwhile the request goes on elsewhere only once another
//! upstream has begun to answer.

use super::exchange::AnswerSource;
use super::{Forwarding, Target};
use crate::http1::{BodyEnd, CompletenessProof};
use crate::liveness::{self, CheckedUpstream, NotConfirmed};
use crate::relay::millis_since;
use passway_process::logging::json::REQUEST_TARGET;
use passway_types::clock;
use passway_types::prelude::*;

/// How long a close-delimited answer waits for its proof before its request is sent elsewhere as well.
/// A query takes a few milliseconds; an upstream that does not answer for this long may be silent for
/// seconds.
const SUCCESSOR_DELAY: Duration = Duration::from_secs(1);
/// How long the query to an upstream that does not report its start is repeated: a later answer may come
/// from another start.
const MAX_UNREPORTED_PROOF_DELAY: Duration = Duration::from_secs(1);

/// For this long queries are repeated before the state of the request is looked at again.
const QUERY_PERIOD: Duration = Duration::from_millis(50);
/// Longest time that one query takes.
const LONGEST_QUERY: Duration = Duration::from_millis(700);

impl Forwarding<'_> {
    /// The proof that an answer which has ended is complete.
    pub(super) fn prove_complete(
        &mut self,
        source: AnswerSource<'_>,
        end: BodyEnd,
    ) -> Option<CompletenessProof> {
        match (end, source) {
            (BodyEnd::Proved(proof), _) => Some(proof),
            (BodyEnd::ConnectionClosed, AnswerSource::Upstream(target)) => {
                self.ask_upstream(target)
            }
            (BodyEnd::ConnectionClosed, AnswerSource::Peer) => None,
        }
    }

    /// The proof that a stream which has ended is complete. An event that has begun is dropped without
    /// one.
    pub(super) fn prove_stream_complete(
        &mut self,
        source: AnswerSource<'_>,
        end: BodyEnd,
    ) -> Option<CompletenessProof> {
        if self.delivered.splitter.partial_bytes() > 0 {
            self.delivered.splitter.drop_partial();
            return None;
        }
        self.prove_complete(source, end)
    }

    /// The upstream of an attempt, as queries for its start need it.
    pub(super) fn checked_upstream(&self, target: &Target) -> CheckedUpstream {
        let table = self.shared.routes.load();
        let services = table.as_ref().map(|table| &table.services);
        let service = services.and_then(|services| services.get(&self.service));
        CheckedUpstream {
            start: target.upstream_start(),
            address: target.address,
            is_engine: self.is_engine,
            health_path: service.and_then(|service| service.health_path.clone()),
        }
    }

    /// Asks an upstream that has closed the connection of an answer whether it is still running.
    fn ask_upstream(&mut self, target: &Target) -> Option<CompletenessProof> {
        let shared = self.shared;
        let upstream = self.checked_upstream(target);
        let closed_at = clock::now();
        let patience = if target.start.started_at_ms > 0 {
            Duration::from_millis(self.route.max_silence_ms())
        } else {
            MAX_UNREPORTED_PROOF_DELAY
        };
        let until = self.deadline_at.min(closed_at + patience);
        let mut has_asked_elsewhere = false;
        let confirmed = loop {
            let step_until = until.min(clock::now() + QUERY_PERIOD);
            let confirmed = liveness::confirm(shared, &upstream, closed_at, step_until);
            let is_unknown = matches!(confirmed, Err(NotConfirmed::Unknown));
            let is_needed = !self.caller.is_closed() && !shared.should_end_waits();
            // The next query must have ended by the deadline.
            let now = clock::now();
            let has_time = now < until && now + LONGEST_QUERY < self.deadline_at;
            if !is_unknown || !is_needed || !has_time || self.has_successor_begun() {
                break confirmed;
            }
            if now >= closed_at + SUCCESSOR_DELAY && !has_asked_elsewhere {
                has_asked_elsewhere = true;
                if self.may_have_successor() {
                    self.successor = self.send_successor(true).ok();
                }
            }
        };
        let held = clock::since(closed_at);
        let verdict = confirmed
            .as_ref()
            .map_or_else(|error| error.name(), |_| "live");
        self.shared.metrics.close_delimited_answer(verdict, held);
        log::info!(target: REQUEST_TARGET, request = self.facts.id, upstream:% = target.id,
            verdict = verdict, held_ms = millis_since(closed_at, clock::now());
            "checked the upstream of a close-delimited answer");
        let live = confirmed.ok()?;
        Some(CompletenessProof::of_live_upstream(&live))
    }
}
