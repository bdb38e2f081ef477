//! Decides whether a request that finds no slot waits, or is refused because it cannot begin in its
//! time.
//!
//! [`BeginForecast`] has the rate at which slots become free, [`WaitProgress`] what became of the
//! requests that wait, [`Overtakes`] how many slots late requests get, and [`ReturnTable`] when
//! refused callers return.

use super::begin_forecast::{BeginForecast, ExpectedBegin};
use super::overtakes::Overtakes;
use super::returns::ReturnTable;
use super::wait_progress::WaitProgress;
use super::{EngineRequest, RetryTime};
use passway_types::prelude::*;

/// What serves a request that finds no slot: the dispatcher's engines that have its model.
#[derive(Debug, Default)]
pub(super) struct Capacity<'a> {
    /// The engines, each with the number of its runs.
    pub(super) loads: Vec<(&'a UpstreamId, u32)>,
    /// Their free slots.
    pub(super) free_slots: u32,
    /// Requests that precede it and could use the same engines.
    pub(super) waiters_ahead: usize,
}

/// Why and until when a request was refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RefusedWait {
    /// When the request would have begun.
    pub begin: ExpectedBegin,
    /// The time left until its wait would have ended.
    pub left: Duration,
    /// When its caller may return.
    pub retry: RetryTime,
}

/// What a decision says about the forecast of waits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitOutcome {
    /// Whether the caller was refused before and has returned as told.
    pub is_return: bool,
    /// How long the request has waited.
    pub waited: Duration,
    /// How long it was expected to wait at first; `None` if too little was known.
    pub expected: Option<Duration>,
    /// The refusal; `None` if the request was granted an engine.
    pub refused: Option<RefusedWait>,
}

/// The forecast of waits and the returns of refused callers.
#[derive(Debug, Default)]
pub(super) struct WaitForecast {
    begins: BeginForecast,
    progress: WaitProgress,
    overtakes: Overtakes,
    returns: ReturnTable,
    outcome: Option<WaitOutcome>,
}

impl WaitForecast {
    /// Whether a request's caller was refused before and has returned as told. A request that
    /// waits keeps what it was at first.
    pub(super) fn is_return(&self, request: &EngineRequest<'_>, now: Instant) -> bool {
        match self.progress.get(request.key, now) {
            Some(wait) => wait.is_return,
            None => names_content(request) && self.returns.is_due(request.fingerprint, now),
        }
    }

    /// Records that a request was granted an engine.
    pub(super) fn record_grant(
        &mut self,
        request: &EngineRequest<'_>,
        engine: &str,
        is_return: bool,
        now: Instant,
    ) {
        let wait = self.progress.remove(request.key, now);
        if wait.is_none() && !is_return {
            return;
        }
        self.overtakes
            .record_grant(engine, request.due_at < now, now);
        if wait.is_none() {
            self.returns.claim(request.fingerprint);
        }
        let expected = wait.and_then(|wait| wait.expected);
        let waited = wait.map_or(Duration::ZERO, |wait| now - wait.began_at);
        if let Some(expected) = expected {
            self.begins.record_wait(expected, waited);
        }
        self.outcome = Some(WaitOutcome {
            is_return,
            waited,
            expected,
            refused: None,
        });
    }

    /// Decides on a request that finds no slot. Returns when its caller may return if it is refused,
    /// and `None` if it waits.
    pub(super) fn decide(
        &mut self,
        request: &EngineRequest<'_>,
        is_return: bool,
        capacity: &Capacity<'_>,
        now: Instant,
    ) -> Option<Duration> {
        let wait = self.progress.get(request.key, now).copied();
        if wait.is_none() && is_return {
            self.returns.claim(request.fingerprint);
        }
        let engines: Vec<&UpstreamId> = capacity.loads.iter().map(|(id, _)| *id).collect();
        let begin = self.expected_begin(request, is_return, capacity, &engines, now);
        let too_late = begin.filter(|begin| self.is_too_late(request, begin, now));
        let is_late = request.due_at < now;
        let Some(begin) = too_late else {
            if is_late {
                self.overtakes.record_late_waiter(&engines, now);
            }
            self.progress
                .record(request.key, is_return, is_late, begin.as_ref(), now);
            return None;
        };
        self.progress.remove(request.key, now);
        if let Some((wait, expected)) = wait.and_then(|wait| Some((wait, wait.expected?))) {
            // Without the waits of refused requests, forecasts would seem too long.
            let actual = now.saturating_duration_since(wait.began_at) + begin.wait;
            self.begins.record_wait(expected, actual);
        }
        let queue_end = now + queue_time(capacity, &begin);
        let retry = self
            .returns
            .give(request.fingerprint, &engines, &begin.rate, queue_end, now);
        self.outcome = Some(WaitOutcome {
            is_return,
            waited: wait.map_or(Duration::ZERO, |wait| now - wait.began_at),
            expected: wait.and_then(|wait| wait.expected),
            refused: Some(RefusedWait {
                begin,
                left: request.wait_until.saturating_duration_since(now),
                retry,
            }),
        });
        Some(retry.after)
    }

    /// When a request will begin; `None` if too little is known.
    fn expected_begin(
        &self,
        request: &EngineRequest<'_>,
        is_return: bool,
        capacity: &Capacity<'_>,
        engines: &[&UpstreamId],
        now: Instant,
    ) -> Option<ExpectedBegin> {
        let rate = self.begins.rate(capacity.loads.iter().copied(), now)?;
        let mut begin = ExpectedBegin {
            wait: Duration::ZERO,
            waiters_ahead: capacity.waiters_ahead,
            free_slots: capacity.free_slots,
            rate,
        };
        begin.wait = queue_time(capacity, &begin);
        if !is_return {
            // Some of the callers that were told to return will, and precede this request.
            let promised = self.returns.promised_until(engines, now);
            let promised = promised.saturating_duration_since(now + begin.wait);
            begin.wait += promised.mul_f64(self.returns.return_ratio());
        }
        let on_time = request.due_at.saturating_duration_since(now);
        // Once the request is late, those ahead get only the slots that are left for late ones.
        let late = begin.wait.saturating_sub(on_time);
        if !late.is_zero() {
            let left = 1.0 - self.overtakes.fraction(engines, now);
            begin.wait = on_time + late.div_f64(left);
        }
        Some(begin)
    }

    fn is_too_late(
        &self,
        request: &EngineRequest<'_>,
        begin: &ExpectedBegin,
        now: Instant,
    ) -> bool {
        let free_slots = usize::try_from(begin.free_slots).unwrap_or(usize::MAX);
        // The next in line is not refused: nobody else would use the next slot.
        if free_slots >= begin.waiters_ahead || !names_content(request) {
            return false;
        }
        let left = request.wait_until.saturating_duration_since(now);
        let shortest = self.begins.shortest_wait(begin.wait, &begin.rate);
        // Requests that can be in time let others go first on purpose, and so do workspaces above their
        // shares, each only for a while.
        let is_judged_by_progress = request.due_at < now && request.workspace.is_none();
        shortest > left
            || is_judged_by_progress
                && self
                    .progress
                    .is_too_slow(request.key, begin, request.wait_until, now)
    }

    /// Forgets what the previous decision says about the forecast.
    pub(super) fn clear_outcome(&mut self) {
        self.outcome = None;
    }

    /// What the latest decision says about the forecast, if anything.
    pub(super) fn take_outcome(&mut self) -> Option<WaitOutcome> {
        self.outcome.take()
    }

    /// Records the end of a run on an engine that had this many runs, including that one.
    pub(super) fn record_end(&mut self, engine: &UpstreamId, load: u32, now: Instant) {
        self.begins.record_end(engine, load, now);
    }

    /// Records that an engine has this many runs from now on.
    pub(super) fn record_load(&mut self, engine: &str, load: u32, now: Instant) {
        self.begins.record_load(engine, load, now);
    }

    /// Removes what is out of date.
    pub(super) fn remove_expired(&mut self, now: Instant) {
        self.begins.remove_expired(now);
        self.progress.remove_expired(now);
        self.overtakes.remove_expired(now);
        self.returns.remove_expired(now);
    }
}

/// Whether a query names the request's content. One that does not is never refused: an upstream may
/// have run the request, or its instance has the previous version and does not know that verdict.
fn names_content(request: &EngineRequest<'_>) -> bool {
    request.fingerprint != 0
}

/// The time until the requests that wait ahead have begun and one more slot is free.
fn queue_time(capacity: &Capacity<'_>, begin: &ExpectedBegin) -> Duration {
    let free_slots = usize::try_from(capacity.free_slots).unwrap_or(usize::MAX);
    let needed = (capacity.waiters_ahead + 1).saturating_sub(free_slots);
    let needed = u32::try_from(needed).unwrap_or(u32::MAX);
    begin.rate.time_for(f64::from(needed))
}
