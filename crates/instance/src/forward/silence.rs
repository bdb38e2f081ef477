//! Runs whose upstream has fallen silent.
//!
//! The upstream lives as far as this instance knows, and no answer ends sooner because its upstream
//! is silent. So a silent run is given up only once its successor, the same request at another
//! upstream, has begun to answer. Until then both are in progress; whichever answers first is
//! delivered, and the connection of the other is closed. Whatever keeps the successor from answering
//! costs the caller nothing.
//!
//! Only a stream that another upstream can resume gets a successor; any other request ends by its own
//! deadline, however long its upstream is silent.

use super::exchange::AnswerSource;
use super::successor::{NoSuccessor, SentRequest, SuccessorAnswer, UnusableAnswer};
use super::{Attempt, Forwarding, Target};
use crate::http1::{self, Connection, HttpError, ReadOutcome};
use crate::relay::millis_since;
use passway_process::logging::json::REQUEST_TARGET;
use passway_serving::routes::RequestKind;
use passway_serving::upstreams::Outcome;
use passway_types::clock;
use passway_types::prelude::*;

/// A resumable stream gets a successor after a silence of this many times its route's goal for gaps,
/// if the upstream is silent towards all other requests as well.
const SILENCE_GAP_MULTIPLE: u64 = 3;
/// Shortest silence after which a stream gets a successor.
const MIN_SILENCE: Duration = Duration::from_millis(800);
/// Interval of the checks after the first that found the upstream silent.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Number of checks after which a successor may go to an upstream that is silent as well, if there is
/// no other: most pauses have ended by then, and such a successor would begin anew for nothing.
const CHECKS_BEFORE_SILENT_UPSTREAMS: u32 = 2;
/// Longest time for which a silent upstream and the successor's may both work on a request. The
/// users allow 400 ms.
pub(super) const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// How the time ended in which a silent run and its successor were both in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OverlapEnd {
    /// The successor has begun to answer, and the run was given up.
    Replaced,
    /// The silent upstream sent bytes first. The successor is given up once a whole event has arrived.
    FirstSpoke,
    /// The upstream closed the connection; the successor goes on alone unless the answer is complete.
    FirstEnded,
    /// The successor had not begun to answer within [`MAX_OVERLAP`] and was given up.
    Late,
    /// The caller left, the process stops or the deadline has passed; the successor was given up.
    Interrupted,
    /// The successor's answer is not delivered.
    Unusable(UnusableAnswer),
}

impl OverlapEnd {
    /// The name for logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Replaced => "replaced",
            Self::FirstSpoke => "first spoke",
            Self::FirstEnded => "first ended",
            Self::Late => "successor late",
            Self::Interrupted => "interrupted",
            Self::Unusable(UnusableAnswer::Refused(_)) => "successor refused",
            Self::Unusable(UnusableAnswer::Failed | UnusableAnswer::Broken) => "successor failed",
        }
    }
}

/// How long a run has brought nothing of its answer. Bytes of a head or an event count only once it is
/// whole: an upstream in trouble may send bytes without an end.
#[derive(Debug, Clone, Copy)]
pub(super) struct SilenceClock {
    /// When the run began to be read, brought a whole event, or was last checked.
    since: Instant,
    /// Checks since the last event that found the upstream silent.
    silent_checks: u32,
}

impl SilenceClock {
    /// Begins with a head or a whole event, or with the first read.
    pub(super) fn start() -> Self {
        Self {
            since: clock::now(),
            silent_checks: 0,
        }
    }
}

impl Forwarding<'_> {
    /// Until when to wait before the next check whether the upstream is silent. Only a stream that may
    /// get a successor is checked; any other request ends by its own deadline.
    pub(super) fn next_silence_check_at(&self, silence: &SilenceClock) -> Instant {
        if let Some(sent) = &self.successor {
            return self.overlap_until(sent);
        }
        let is_resumable = self.route.kind == RequestKind::Stream { resumable: true };
        if !is_resumable || !self.may_have_successor() {
            return self.deadline_at;
        }
        let usual = Duration::from_millis(self.route.gap_target_ms * SILENCE_GAP_MULTIPLE);
        let wait = if silence.silent_checks == 0 {
            usual.max(MIN_SILENCE)
        } else {
            CHECK_INTERVAL
        };
        self.deadline_at.min(silence.since + wait)
    }

    /// Handles a silence of the run in progress, whose answer comes from `source` over `first`.
    /// The next check is due an interval later.
    ///
    /// # Errors
    /// The outcome of the run, if it has broken off or was given up for its successor.
    pub(super) fn handle_silence(
        &mut self,
        source: AnswerSource<'_>,
        first: &mut Connection,
        silence: &mut SilenceClock,
    ) -> Result<(), Attempt> {
        let handled = self.check_run(source, first, silence);
        silence.since = clock::now();
        handled
    }

    /// Checks whether the upstream is silent, and if so, sends a successor and waits for either.
    fn check_run(
        &mut self,
        source: AnswerSource<'_>,
        first: &mut Connection,
        silence: &mut SilenceClock,
    ) -> Result<(), Attempt> {
        let AnswerSource::Upstream(target) = source else {
            // The other instance handles the silence of its upstream.
            return Ok(());
        };
        if self.successor.is_some() {
            // The upstream has gone on, but has sent no whole event.
            if self.has_successor_begun() {
                return Err(Attempt::Replaced);
            }
            self.drop_overtaken_successor();
            return Ok(());
        }
        let may_choose_silent = silence.silent_checks >= CHECKS_BEFORE_SILENT_UPSTREAMS;
        let sent = self.check_silence(target).and_then(|()| {
            silence.silent_checks += 1;
            self.send_successor(may_choose_silent)
        });
        let (outcome, next, end) = match sent {
            Ok(sent) => {
                let next = sent.name();
                let (overlap_end, end) = self.await_either(first, sent);
                (overlap_end.name(), next, end)
            }
            Err(obstacle) => (obstacle.name(), String::new(), Ok(())),
        };
        self.shared.metrics.silent_run(outcome);
        log::info!(target: REQUEST_TARGET, request = self.facts.id, upstream:% = target.id, next = next,
            events = self.stream_timing.events(), ran_ms = millis_since(self.attempt_at, clock::now()),
            runs = self.runs, outcome = outcome;
            "a run's upstream is silent");
        end
    }

    /// Whether the upstream is silent for longer than usual.
    ///
    /// # Errors
    /// Why it is not.
    fn check_silence(&self, target: &Target) -> Result<(), NoSuccessor> {
        let now = clock::now();
        if !self.shared.upstreams().is_silent(&target.id, now) {
            return Err(NoSuccessor::AnswersOthers);
        }
        if now < self.usual_first_byte_at() {
            return Err(NoSuccessor::NotLate);
        }
        Ok(())
    }

    /// By when the first byte usually arrives; in the past once the answer's head was delivered.
    fn usual_first_byte_at(&self) -> Instant {
        if self.delivered.head_sent {
            return self.attempt_at;
        }
        let goal = Duration::from_millis(self.route.latency_target_ms);
        let usual_time = self
            .shared
            .first_byte_times()
            .usual_max(&self.route.name, goal);
        self.attempt_at + usual_time
    }

    /// Waits until the silent upstream goes on or its successor begins to answer. A successor that
    /// may have to go on is stored, and any other one is closed.
    ///
    /// The second value is an error if the silent run has ended. A caller that leaves, a stop of the
    /// process and the deadline are left to the next read from `first`.
    fn await_either(
        &mut self,
        first: &mut Connection,
        mut sent: SentRequest,
    ) -> (OverlapEnd, Result<(), Attempt>) {
        let until = self.overlap_until(&sent);
        loop {
            let connections = [&*first, sent.exchange.connection()];
            let ready = http1::wait_for_either(connections, self.caller, until);
            let [is_first_ready, is_successor_ready] = match ready {
                Ok(ready) => ready,
                Err(error) => {
                    self.drop_successor(sent, true, Outcome::Unknown);
                    let has_time = clock::now() < self.deadline_at;
                    let is_late = matches!(error, HttpError::TimedOut) && has_time;
                    let end = if is_late {
                        OverlapEnd::Late
                    } else {
                        OverlapEnd::Interrupted
                    };
                    return (end, Ok(()));
                }
            };
            if is_first_ready && let Some(ended) = self.read_first(first) {
                self.successor = Some(sent);
                return ended;
            }
            if !is_successor_ready {
                continue;
            }
            match self.poll_successor(&mut sent) {
                SuccessorAnswer::Pending => {}
                SuccessorAnswer::Begun => {
                    self.successor = Some(sent);
                    return (OverlapEnd::Replaced, Err(Attempt::Replaced));
                }
                SuccessorAnswer::Unusable(reason) => {
                    self.drop_unusable_successor(sent, reason);
                    return (OverlapEnd::Unusable(reason), Ok(()));
                }
            }
        }
    }

    /// Reads what the silent upstream has sent; `None` if that is nothing.
    fn read_first(&mut self, first: &mut Connection) -> Option<(OverlapEnd, Result<(), Attempt>)> {
        match first.read_available() {
            Ok(ReadOutcome::Bytes) => Some((OverlapEnd::FirstSpoke, Ok(()))),
            Ok(ReadOutcome::Nothing) => None,
            Ok(ReadOutcome::End) => Some((OverlapEnd::FirstEnded, Ok(()))),
            // The next read would show an orderly end.
            Err(error) => {
                let end = self.broken(&HttpError::Io(error));
                Some((OverlapEnd::FirstEnded, Err(end)))
            }
        }
    }

    /// Until when the silent run and its successor may both be in progress.
    fn overlap_until(&self, sent: &SentRequest) -> Instant {
        if sent.is_at_peer() {
            // This instance is cut off from the upstreams.
            return self.deadline_at;
        }
        self.deadline_at.min(sent.sent_at + MAX_OVERLAP)
    }
}
