//! Cycles in which all callers need retries at once: after steady traffic, or after a burst and a quiet time, for which
//! instances may have saved retries.

use passway_types::prelude::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicU8, Ordering};

/// Time of a steady cycle in which servers serve, and in which they fail most requests: more than a window of the
/// retry budget.
const SERVED_DURATION: Duration = Duration::from_secs(5);
const PRESSURE_DURATION: Duration = Duration::from_secs(15);
/// Time of a burst: one window of the retry budget.
const BURST_DURATION: Duration = Duration::from_secs(10);
/// Time between a burst and the failures, in milliseconds: around the window for which the users' rule remembers the
/// burst.
const QUIET_MS: RangeInclusive<u64> = 6_000..=16_000;
/// Time for which servers that stand still read nothing, in milliseconds.
const STANDSTILL_MS: RangeInclusive<u64> = 500..=2_500;

/// When servers fail most requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryCycle {
    /// After steady traffic.
    Steady,
    /// After a burst and a quiet time.
    AfterBurst,
}

/// A part of a cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Callers send as usual, and servers serve.
    Usual,
    /// Callers send short requests without pauses, and servers serve.
    Burst,
    /// Few callers send, and servers serve.
    Quiet,
    /// Few callers send, and servers fail most requests.
    FewNeedRetries,
    /// All callers send, and servers fail most requests.
    AllNeedRetries,
}

const PHASES: [Phase; 5] = [
    Phase::Usual,
    Phase::Burst,
    Phase::Quiet,
    Phase::FewNeedRetries,
    Phase::AllNeedRetries,
];

impl Phase {
    /// Whether servers fail most requests.
    pub fn has_failures(self) -> bool {
        matches!(self, Self::FewNeedRetries | Self::AllNeedRetries)
    }

    /// Whether only a few callers send.
    pub fn has_few_callers(self) -> bool {
        matches!(self, Self::Quiet | Self::FewNeedRetries)
    }
}

/// The current phase, as callers read it.
#[derive(Debug, Default)]
pub struct CurrentPhase(AtomicU8);

impl CurrentPhase {
    /// Returns the phase.
    pub fn get(&self) -> Phase {
        PHASES[usize::from(self.0.load(Ordering::Acquire))]
    }

    /// Sets the phase.
    pub fn set(&self, phase: Phase) {
        let index = PHASES.iter().position(|one| *one == phase);
        let index = index.and_then(|index| u8::try_from(index).ok());
        self.0.store(index.unwrap_or(0), Ordering::Release);
    }
}

/// The sequence of phases of a run.
#[derive(Debug)]
pub struct RetryCycles {
    cycle: RetryCycle,
    phase: Phase,
    ends_at: Instant,
}

impl RetryCycles {
    /// Begins with the phase in which servers serve.
    pub fn start(cycle: RetryCycle) -> Self {
        let (phase, duration) = match cycle {
            RetryCycle::Steady => (Phase::Usual, SERVED_DURATION),
            RetryCycle::AfterBurst => (Phase::Burst, BURST_DURATION),
        };
        Self {
            cycle,
            phase,
            ends_at: Instant::now() + duration,
        }
    }

    /// Returns the phase of this moment.
    pub fn advance(&mut self, rng: &mut ChaCha8Rng) -> Phase {
        if Instant::now() >= self.ends_at {
            let (phase, duration) = self.next(rng);
            self.phase = phase;
            self.ends_at = Instant::now() + duration;
        }
        self.phase
    }

    fn next(&self, rng: &mut ChaCha8Rng) -> (Phase, Duration) {
        match (self.cycle, self.phase) {
            (RetryCycle::Steady, Phase::Usual) => (Phase::AllNeedRetries, PRESSURE_DURATION),
            (RetryCycle::Steady, _) => (Phase::Usual, SERVED_DURATION),
            (RetryCycle::AfterBurst, Phase::Burst) => {
                let quiet_ms = rng.random_range(QUIET_MS);
                (Phase::Quiet, Duration::from_millis(quiet_ms))
            }
            (RetryCycle::AfterBurst, Phase::Quiet) => {
                let few = rng.random_bool(0.7);
                let phase = if few {
                    Phase::FewNeedRetries
                } else {
                    Phase::AllNeedRetries
                };
                (phase, PRESSURE_DURATION)
            }
            (RetryCycle::AfterBurst, _) => (Phase::Burst, BURST_DURATION),
        }
    }
}

/// Selects how long servers stand still.
pub fn random_standstill(rng: &mut ChaCha8Rng) -> Duration {
    Duration::from_millis(rng.random_range(STANDSTILL_MS))
}
