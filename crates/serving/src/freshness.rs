//! Until when an instance may apply the configuration that it has.
//!
//! Most of an instance's knowledge only improves decisions, so it may be outdated. Two decisions
//! need proof. A key grants access: an instance that has not learned of a revocation would keep
//! admitting the key's owner. A denial, such as "no route matches", is final for the caller: an
//! instance that has not learned of a newer version would deny what operators allow. Receiving
//! nothing proves nothing. Proof is a request whose answer names the newest
//! version: any later revocation happened after the request was *sent*. So the age of the
//! configuration counts from sending the request, by the requester's clock, never from the answer,
//! which may have been delayed or read late by a paused instance.
//!
//! The request goes to the store or to another instance, which answers with its version and the
//! age of its own proof. The requester adds that age to the age of its request. This module uses
//! no I/O.

use passway_types::prelude::*;

/// Relative drift between the clocks of two instances, or of an instance and the store: a
/// hundredth, where crystals differ by a ten-thousandth.
const CLOCK_DRIFT: f64 = 0.01;

/// Default time after which operators may rely on a version being in effect at all instances. The
/// documentation of the users' platform uses 2 s for all sites but the largest.
pub const DEFAULT_CONFIGURATION_BOUND: Duration = Duration::from_secs(2);

/// Confirms that a version was the newest when a request was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmation {
    /// The version.
    pub version: Revision,
    /// When the request was sent, by the clock of the instance that stores this.
    pub sent_at: Instant,
}

/// What an instance can prove about its active configuration.
#[derive(Debug, Default)]
pub struct Freshness {
    active_version: Revision,
    /// When the latest request was sent whose answer proves that the active version was the
    /// newest.
    proved_at: Option<Instant>,
    /// The latest confirmation of a version that is not active yet.
    pending: Option<Confirmation>,
    /// Whether operators have replaced the active version by one that cannot be used.
    is_superseded: bool,
}

impl Freshness {
    /// Records whether operators have replaced the active version by one that cannot be used. It may
    /// allow what the active version denies.
    pub fn set_superseded(&mut self, is_superseded: bool) {
        self.is_superseded = is_superseded;
    }

    /// Whether the newest version of operators cannot be used, so that nothing may be denied.
    pub fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Records that a version is active from now on.
    pub fn set_active_version(&mut self, version: Revision) {
        self.active_version = self.active_version.max(version);
        if let Some(pending) = self.pending.take_if(|pending| pending.version <= version) {
            self.record_proof(pending.sent_at);
        }
    }

    /// Records an answer that names the newest version.
    pub fn confirm(&mut self, confirmation: Confirmation) {
        if confirmation.version <= self.active_version {
            self.record_proof(confirmation.sent_at);
            return;
        }
        let is_pending_newer = |pending: &Confirmation| pending.sent_at >= confirmation.sent_at;
        if !self.pending.as_ref().is_some_and(is_pending_newer) {
            self.pending = Some(confirmation);
        }
    }

    fn record_proof(&mut self, sent_at: Instant) {
        self.proved_at = self.proved_at.max(Some(sent_at));
    }

    /// The active version and the latest time at which it was certainly the newest.
    pub fn proof(&self) -> Option<Confirmation> {
        let sent_at = self.proved_at?;
        Some(Confirmation {
            version: self.active_version,
            sent_at,
        })
    }

    /// Until when keys may be accepted if none may be accepted for longer than `max_age` after its
    /// revocation; `None` before the first proof.
    pub fn keys_valid_until(&self, max_age: Duration) -> Option<Instant> {
        Some(self.proved_at? + max_age.mul_f64(1.0 - CLOCK_DRIFT))
    }

    /// Until when requests may be denied if no denial may rely on a version that was replaced
    /// longer than `max_age` ago; `None` before the first proof and while a newer version is known
    /// that is not active.
    pub fn denials_valid_until(&self, max_age: Duration) -> Option<Instant> {
        let until = self.keys_valid_until(max_age);
        until.filter(|_| !self.is_behind() && !self.is_superseded)
    }

    /// Whether the latest confirmation names a version that is not active yet. An older one does
    /// not count: the store has since proved that the instance has all that it can decode.
    pub fn is_behind(&self) -> bool {
        let pending_at = self.pending.map(|pending| pending.sent_at);
        pending_at.is_some_and(|at| self.proved_at.is_none_or(|proved_at| proved_at <= at))
    }
}
