//! Runs that survive the failure of their engine.
//!
//! A stream that must not be repeated is sent with the address of an engine that keeps a copy of the
//! run. If the run breaks off, the request continues there, once: the engine goes on after the last
//! delivered event, and runs nothing without a copy. So it is the same run, whatever the route's
//! number of attempts.
//!
//! The attempt that broke off has closed its connection by then, so that the first engine does not
//! work on the run any more even if it still lives.

use super::retries::TakenRetry;
use super::{Attempt, ConnectionReuse, Forwarding, NO_ALLOWANCE, Target, request_hash};
use crate::dispatch::ChosenRun;
use crate::relay::millis_since;
use passway_process::logging::json::REQUEST_TARGET;
use passway_serving::ports::ContinuedRun;
use passway_serving::routes::{EnginePool, RequestKind};
use passway_serving::upstreams::{ListedStart, RequestNeeds, UpstreamTable};
use passway_types::clock;
use passway_types::prelude::*;
use std::net::SocketAddr;

/// Fewest expected events of a run of which a copy is kept. A copy grows a few times a second, and a
/// stream has an event every 30 to 90 ms: a shorter run has ended before much of it is copied.
const MIN_EVENTS: u32 = 8;

/// The engine that keeps a copy of a run.
#[derive(Debug, Clone)]
pub(super) struct BackupEngine {
    pub(super) id: UpstreamId,
    pub(super) address: SocketAddr,
    /// The start of the engine that was listed at the time of the choice. A later start has no copy.
    pub(super) start: ListedStart,
}

impl BackupEngine {
    fn find(upstreams: &UpstreamTable, id: &UpstreamId) -> Option<Self> {
        Some(Self {
            address: upstreams.address_of(id)?,
            start: upstreams.listed_start(id),
            id: id.clone(),
        })
    }
}

/// Whether a run has enough events for a copy, as far as its caller and the operators tell.
fn has_enough_events(pool: &EnginePool, output_tokens: Option<u32>) -> bool {
    match (output_tokens, pool.tokens_per_event) {
        (Some(tokens), Some(per_event)) => tokens.div_ceil(per_event) >= MIN_EVENTS,
        _ => true,
    }
}

impl Forwarding<'_> {
    /// Whether the route's requests are streams that must not be repeated.
    fn may_have_copy(&self) -> bool {
        self.route.kind == RequestKind::Stream { resumable: false }
    }

    /// Whether an engine should keep a copy of the request's run.
    pub(super) fn wants_backup(&self) -> bool {
        let is_resumed =
            self.facts.last_event_id.is_some() || self.delivered.last_event_id().is_some();
        if !self.may_have_copy() || is_resumed || self.facts.id.is_empty() {
            return false;
        }
        let output_tokens = self.facts.size.expected_output_tokens();
        self.shared.with_pool(&self.service, |pool| {
            pool.is_some_and(|pool| {
                pool.accepts_run_copies && has_enough_events(pool, output_tokens)
            })
        })
    }

    /// The engine that a dispatcher has named for the copy.
    pub(super) fn granted_backup(&self, id: &UpstreamId) -> Option<BackupEngine> {
        BackupEngine::find(&self.shared.upstreams(), id)
    }

    /// Chooses the engine that keeps a copy of a run on `engine` by this instance's own state.
    pub(super) fn choose_backup(
        &self,
        upstreams: &UpstreamTable,
        engine: &UpstreamId,
        excluded: &[UpstreamId],
        now: Instant,
    ) -> Option<BackupEngine> {
        if !self.wants_backup() {
            return None;
        }
        let run = ChosenRun {
            copy_id: self.copy_id,
            engine,
            needs: RequestNeeds {
                random: request_hash(&self.facts.id),
                ..self.wanted()
            },
            size: self.facts.size,
            excluded,
        };
        let dispatch = &self.shared.dispatch;
        let backup = dispatch.choose_backup(self.shared, &run, upstreams, now)?;
        BackupEngine::find(upstreams, &backup)
    }

    /// Removes the count of the copy at the request's end.
    pub(super) fn release_backup(&self) {
        if self.may_have_copy() {
            self.shared.dispatch.release_backup(self.copy_id);
        }
    }

    /// Continues a run that broke off at `broken` on the engine with its copy. `None` if nothing ran
    /// there; the request then ends as without a copy.
    pub(super) fn continue_on_backup(&mut self, broken: &Target) -> Option<ConnectionReuse> {
        let backup = broken.backup.clone()?;
        let inputs = ContinuationInputs {
            from: broken.id.clone(),
            to: backup.id.clone(),
            events: self.delivered.splitter.delivered(),
            ran_ms: millis_since(self.attempt_at, clock::now()),
        };
        let (target, retry) = match self.prepare_continuation(backup) {
            Ok(prepared) => prepared,
            Err(obstacle) => {
                self.record_continuation(&inputs, obstacle);
                return None;
            }
        };
        self.delivered.splitter.begin_continuation();
        self.request_log.offers += 1;
        self.retry_charges.begin(Some(retry));
        let attempt = self.attempt_at_upstream(&target);
        self.record_continuation(&inputs, attempt.name());
        self.end_continuation(attempt, &target)
    }

    /// The target of the continuation, and the retry that it needs.
    ///
    /// # Errors
    /// Why the request may not continue.
    fn prepare_continuation(
        &mut self,
        backup: BackupEngine,
    ) -> Result<(Target, TakenRetry), &'static str> {
        let now = clock::now();
        if now >= self.deadline_at {
            return Err("no time left");
        }
        if self.caller.is_closed() {
            return Err("caller gone");
        }
        if self.unreachable_engine.is_some() {
            return Err("first engine unreachable");
        }
        if self.shared.upstreams().is_unreachable(&backup.id, now) {
            return Err("backup engine unreachable");
        }
        // Without a last event, the engine would not continue the run but run the request again.
        if self.delivered.last_event_id().is_none() {
            return Err("no event delivered");
        }
        if !self.delivered.splitter.can_continue() {
            return Err("events without consecutive numbers");
        }
        if self.refused_for().is_some() || !self.may_run_now() {
            return Err("may crash upstreams");
        }
        if self.shared.upstreams().listed_start(&backup.id) != backup.start {
            return Err("engine restarted");
        }
        if !self.fits_version(&backup.start) {
            return Err("engine of another version");
        }
        let target = Target {
            id: backup.id,
            address: backup.address,
            start: backup.start,
            has_limit_grant: false,
            run_id: None,
            backup: None,
            continues: Some(ContinuedRun {
                copy_address: backup.address,
                request_id: self.facts.id.clone(),
            }),
        };
        let Some(retry) = self.take_retry() else {
            self.request_log.stopped_by = NO_ALLOWANCE;
            return Err(NO_ALLOWANCE);
        };
        let target = self.with_limit_grant(target).ok_or("engine limited")?;
        let target = Target {
            run_id: self.shared.dispatch.record_direct_run(&target.id),
            ..target
        };
        Ok((target, retry))
    }

    /// Ends the request after its continuation; `None` if nothing ran.
    fn end_continuation(&mut self, attempt: Attempt, target: &Target) -> Option<ConnectionReuse> {
        let failed = match attempt {
            // The engine with the copy has not processed the whole prompt, so its answer does not show
            // that the request crashes no engine.
            Attempt::Answered(reuse) => return Some(reuse),
            Attempt::CallerGone => return Some(self.end_without_caller()),
            Attempt::NotSent | Attempt::NotPermitted => {
                self.request_log.not_sent += 1;
                return None;
            }
            Attempt::NotRun(_) => return None,
            Attempt::Denied(denial) => {
                log::info!(target: REQUEST_TARGET, request = self.facts.id; "{}", denial.end);
                return None;
            }
            // Only a stream that another upstream can resume is replaced, and such a run has no copy.
            Attempt::Broken | Attempt::Replaced => {
                self.handle_broken_run(target, self.attempt_at);
                None
            }
            Attempt::Failed(answer) => Some(answer),
            Attempt::TimedOut => {
                self.handle_silent_run(target);
                None
            }
            Attempt::Stopping => {
                self.request_log.cut_by_stop = true;
                None
            }
        };
        self.runs += 1;
        Some(self.answer_failure(failed))
    }

    fn record_continuation(&self, inputs: &ContinuationInputs, outcome: &'static str) {
        self.shared.metrics.continuation(outcome);
        log::info!(target: REQUEST_TARGET, request = self.facts.id, from:% = inputs.from,
            to:% = inputs.to, events = inputs.events, ran_ms = inputs.ran_ms,
            took_ms = self.elapsed_ms(), outcome = outcome;
            "a run with a copy broke off");
    }
}

/// What a continuation started from, for its log line.
#[derive(Debug)]
struct ContinuationInputs {
    /// The engine where the run broke off.
    from: UpstreamId,
    /// The engine that has the copy.
    to: UpstreamId,
    /// Events that had been delivered.
    events: u64,
    /// Age of the run when it broke off, in milliseconds.
    ran_ms: u64,
}
