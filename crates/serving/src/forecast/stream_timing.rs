//! Measures a stream as its events arrive: the time to the first event, and the pauses after it.
//!
//! The caller's stream may span several attempts, and a pause between the events of two attempts
//! is a pause for the caller. An engine is measured only by the events of its own attempt.

use super::StreamProgress;
use crate::routes::Route;
use passway_types::prelude::*;

/// Whether a complete stream met its route's goals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamOutcome {
    /// It met all of them.
    InTime,
    /// The first event was late; no pause was too long.
    FirstEventLate,
    /// A pause between two events was longer than the goal.
    Paused,
}

impl StreamOutcome {
    /// All outcomes.
    pub const ALL: [Self; 3] = [Self::InTime, Self::FirstEventLate, Self::Paused];

    /// The outcome's name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::InTime => "in time",
            Self::FirstEventLate => "first event late",
            Self::Paused => "paused",
        }
    }
}

/// The stream of one request over all attempts.
#[derive(Debug, Default)]
pub struct StreamTiming {
    events: u32,
    longest_pause: Duration,
    first_event_at: Option<Instant>,
    last_event_at: Option<Instant>,
    /// Time spent writing to the caller since the last event arrived.
    writing: Duration,
    /// Whether this attempt has delivered an event.
    has_begun: bool,
}

impl StreamTiming {
    /// Begins the stream of another attempt.
    pub fn begin_attempt(&mut self) {
        self.has_begun = false;
    }

    /// Records that events arrived together. Returns what that says about the engine, whose
    /// request was sent at `sent_at`.
    pub fn record_events(&mut self, events: u32, sent_at: Instant, now: Instant) -> StreamProgress {
        let mut progress = StreamProgress::default();
        if events == 0 {
            return progress;
        }
        progress.events = events;
        let interval = self
            .last_event_at
            .map(|last| now.saturating_duration_since(last));
        let writing = std::mem::take(&mut self.writing);
        let pause = interval.map(|interval| interval.saturating_sub(writing));
        self.longest_pause = self.longest_pause.max(pause.unwrap_or_default());
        // If most of the interval was spent writing, the events may have arrived long before they
        // were read, and the times between them say nothing about the engine.
        let is_measured = pause.is_none_or(|pause| writing <= pause);
        if !self.has_begun {
            progress.first_event = Some(now.saturating_duration_since(sent_at));
        } else if let Some(pause) = pause.filter(|_| is_measured) {
            progress.gaps.record(pause);
            progress.longest_gap = pause;
        }
        if is_measured {
            for _ in 1..events {
                progress.gaps.record(Duration::ZERO);
            }
        }
        self.events = self.events.saturating_add(events);
        self.first_event_at.get_or_insert(now);
        self.last_event_at = Some(now);
        self.has_begun = true;
        progress
    }

    /// Events that were delivered.
    pub fn events(&self) -> u32 {
        self.events
    }

    /// The longest pause between two events, without the time that the caller did not read.
    pub fn longest_pause(&self) -> Duration {
        self.longest_pause
    }

    /// Records the time that a write to the caller took, while nothing was read from the engine.
    pub fn record_write(&mut self, duration: Duration) {
        self.writing += duration;
    }

    /// Whether a complete stream met its route's goals; `None` without events.
    pub fn outcome(&self, route: &Route, arrived_at: Instant) -> Option<StreamOutcome> {
        let first_event = self.first_event_at?.saturating_duration_since(arrived_at);
        let max_pause = Duration::from_millis(route.gap_target_ms);
        Some(if !max_pause.is_zero() && self.longest_pause > max_pause {
            StreamOutcome::Paused
        } else if first_event > Duration::from_millis(route.latency_target_ms) {
            StreamOutcome::FirstEventLate
        } else {
            StreamOutcome::InTime
        })
    }
}
