//! Until when an instance may act on the configuration that it has.
//!
//! Most of what an instance believes only says what is better, and may be old. A key permits: an
//! instance that has not heard that one was taken away would go on letting its holder in. That
//! nothing was heard proves nothing. What does is a question whose answer names the newest version:
//! whatever was taken away in a later one was taken away after the question was *asked*. So the age of
//! what is known counts from the question, by the asker's clock, never from the answer, which may
//! have been long on its way, or read late by an instance that stood still.
//!
//! The question goes to the store or to another instance, which answers with its version and how
//! old its own proof is; the asker adds that age to its own question's. There is no I/O here.

use passway_types::prelude::*;

/// Clocks of two instances, and of the store, may run apart by so much of any span: a hundredth,
/// where crystals differ by a ten-thousandth.
const CLOCK_DRIFT: f64 = 0.01;

/// That a version was the newest when somebody asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmation {
    /// The version.
    pub version: Revision,
    /// When the question left, by the clock of whoever keeps this.
    pub sent_at: Instant,
}

/// What an instance can prove of the configuration that it has in force.
#[derive(Debug, Default)]
pub struct Freshness {
    in_force: Revision,
    /// The youngest question by which what is in force was the newest.
    proved_at: Option<Instant>,
    /// The youngest confirmation of a version that is not in force here yet.
    awaited: Option<Confirmation>,
}

impl Freshness {
    /// A version is in force from now on.
    pub fn set_active_version(&mut self, version: Revision) {
        self.in_force = self.in_force.max(version);
        if let Some(awaited) = self.awaited.take_if(|awaited| awaited.version <= version) {
            self.prove(awaited.sent_at);
        }
    }

    /// An answer names the newest version.
    pub fn confirm(&mut self, confirmation: Confirmation) {
        if confirmation.version <= self.in_force {
            self.prove(confirmation.sent_at);
            return;
        }
        let younger = |awaited: &Confirmation| awaited.sent_at >= confirmation.sent_at;
        if !self.awaited.as_ref().is_some_and(younger) {
            self.awaited = Some(confirmation);
        }
    }

    fn prove(&mut self, sent_at: Instant) {
        self.proved_at = self.proved_at.max(Some(sent_at));
    }

    /// The version in force and the moment at which it was the newest for sure.
    pub fn proof(&self) -> Option<Confirmation> {
        let sent_at = self.proved_at?;
        Some(Confirmation {
            version: self.in_force,
            sent_at,
        })
    }

    /// Until when keys may be acted on if none may be so much later than it was taken away;
    /// `None` before the first proof.
    pub fn keys_valid_until(&self, bound: Duration) -> Option<Instant> {
        Some(self.proved_at? + bound.mul_f64(1.0 - CLOCK_DRIFT))
    }
}
