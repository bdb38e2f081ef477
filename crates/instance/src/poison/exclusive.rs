//! Requests that run one at a time over all instances, since the next upstream that ends is the last that is
//! allowed.
//!
//! The instance that counts for all gives the turns. Without its word nobody has one: whoever cannot prove its turn
//! waits and asks again, under the same number, so that an answer that was lost is not held against it.

use super::{PoisonTracker, lock};
use crate::coordinator::NoDecision;
use crate::relay::millis;
use crate::shared::Shared;
use passway_process::logging::json::REQUEST_TARGET;
use passway_serving::poison::{RequestDigest, RunTurns};
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::dispatch::Dispatch as Body;
use passway_wire::permits::{UseAsk, UseBack, UseTold, UseVerdict};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Mutex;

/// Which requests run alone among those like them.
#[derive(Debug, Default)]
pub(super) struct ExclusiveRuns {
    /// Those of this instance.
    local: Mutex<HashSet<RequestDigest>>,
    /// Those of all instances, while this one counts for all.
    granted: Mutex<RunTurns>,
}

/// What a request hears that asks to run alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitAnswer {
    /// It may.
    Granted,
    /// Another one like it runs, here or at another instance.
    Taken,
    /// Nothing proves that no other one does.
    Unproved(NoDecision),
}

/// One request's turn to run alone among those like it at all instances; given back when this is dropped.
#[derive(Debug)]
pub struct ExclusivePermit {
    shared: Arc<Shared>,
    digest: RequestDigest,
    /// The number of its questions.
    id: u64,
    is_granted: bool,
    /// Whether a question was left without a ruling: the turn may have been granted nevertheless.
    may_be_granted: bool,
    /// Why nobody ruled on the last question, so that each cause is told once.
    no_decision: Option<NoDecision>,
    /// Whether an upstream broke off under it.
    has_broken: bool,
}

impl ExclusivePermit {
    /// A request that has not asked yet.
    pub fn new(shared: &Arc<Shared>, digest: RequestDigest) -> Self {
        Self {
            shared: shared.clone(),
            digest,
            id: rand::random(),
            is_granted: false,
            may_be_granted: false,
            no_decision: None,
            has_broken: false,
        }
    }

    /// Whether the request may run now.
    pub fn is_granted(&self) -> bool {
        self.is_granted
    }

    /// Asks for the turn, for a run of so long at most.
    pub fn request(&mut self, max_run: Duration) -> PermitAnswer {
        if self.is_granted {
            return PermitAnswer::Granted;
        }
        let shared = self.shared.clone();
        let local = &shared.poison.exclusive_runs.local;
        if !lock(local).insert(self.digest) {
            return PermitAnswer::Taken;
        }
        let asked = self.request_from_coordinator(max_run);
        self.is_granted = asked == PermitAnswer::Granted;
        if !self.is_granted {
            lock(local).remove(&self.digest);
        }
        asked
    }

    fn request_from_coordinator(&mut self, max_run: Duration) -> PermitAnswer {
        let ask = UseAsk {
            id: self.id,
            digest: self.digest.0.to_vec(),
            run_ms: millis(max_run),
            ..UseAsk::default()
        };
        match self.shared.keeper.request(&self.shared, &ask) {
            Ok(told) if told.verdict() == UseVerdict::Granted => PermitAnswer::Granted,
            Ok(_) => {
                self.may_be_granted = false;
                PermitAnswer::Taken
            }
            Err(no_decision) => {
                self.may_be_granted |= no_decision == NoDecision::Silent;
                if self.no_decision.replace(no_decision) != Some(no_decision) {
                    log::info!(target: REQUEST_TARGET, digest:% = self.digest, cause:% = no_decision;
                        "no turn to run alone is proved");
                }
                PermitAnswer::Unproved(no_decision)
            }
        }
    }

    /// An upstream broke off under it. Its turn lapses by itself: by then all know what that was.
    pub fn record_break(&mut self) {
        self.has_broken = true;
    }

    fn release(&self) {
        let shared = &self.shared;
        let Some(holder) = shared.right().and_then(|leadership| leadership.holder()) else {
            return;
        };
        let back = UseBack {
            digest: self.digest.0.to_vec(),
            id: self.id,
            ..UseBack::default()
        };
        if holder.instance == shared.settings.instance {
            shared
                .poison
                .release_exclusive_run(shared.settings.peer_address, &back);
        } else {
            shared.dispatch.send(holder.address, Body::UseBack(back));
        }
    }
}

impl Drop for ExclusivePermit {
    fn drop(&mut self) {
        if self.is_granted {
            lock(&self.shared.poison.exclusive_runs.local).remove(&self.digest);
        }
        if (self.is_granted || self.may_be_granted) && !self.has_broken {
            self.release();
        }
    }
}

/// The digest that some bytes hold; `None` if they come from a build with others.
pub(super) fn decode_digest(bytes: &[u8]) -> Option<RequestDigest> {
    Some(RequestDigest(bytes.try_into().ok()?))
}

impl PoisonTracker {
    /// Answers an instance that asks to run a request alone, in a term of this instance.
    pub fn decide_exclusive_run(&self, fence: Fence, from: SocketAddr, ask: &UseAsk) -> UseTold {
        let mut told = UseTold {
            id: ask.id,
            ..UseTold::default()
        };
        let Some(digest) = decode_digest(&ask.digest) else {
            return told;
        };
        let (run, time) = ((from, ask.id), Duration::from_millis(ask.run_ms));
        match lock(&self.exclusive_runs.granted).ask(fence, digest, run, time, clock::now()) {
            Ok(()) => told.set_verdict(UseVerdict::Granted),
            Err(pause) => {
                told.set_verdict(UseVerdict::Refused);
                told.retry_after_ms = millis(pause);
            }
        }
        told
    }

    /// A run that was alone is over and has ended nothing.
    pub fn release_exclusive_run(&self, from: SocketAddr, back: &UseBack) {
        if let Some(digest) = decode_digest(&back.digest) {
            lock(&self.exclusive_runs.granted).give_back(digest, (from, back.id));
        }
    }
}
