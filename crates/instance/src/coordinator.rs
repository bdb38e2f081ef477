//! Asking the instance that counts for all, and what it counts.
//!
//! The holder of the right to order counts what workspaces use, what goes to upstreams in need and what runs alone, for
//! as long as its term lasts by its own clock: there are never two that count.

use crate::questions::Questions;
use crate::relay::millis;
use crate::shared::Shared;
use passway_serving::allotment::{Keeper, QuotaBounds, Ruling};
use passway_serving::tenure::Holder;
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::dispatch::Dispatch as Body;
use passway_wire::permits::{UseAsk, UseTold, UseVerdict};
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A keeper that did not answer is not asked for this long.
const SILENT_BACKOFF: Duration = Duration::from_millis(300);
/// One that was asked and is not the keeper is not asked again for this long: a term begins, or has
/// ended, and everybody hears of that within some hundred milliseconds.
const NOT_COORDINATOR_BACKOFF: Duration = Duration::from_millis(100);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A keeper that is not asked, and until when.
#[derive(Debug, Clone, PartialEq)]
struct BackoffState {
    holder: Holder,
    cause: NoDecision,
    until: Instant,
}

/// Why nobody ruled on a question. None of these permits anything by itself: what an instance does without a ruling is
/// said where it asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoDecision {
    /// No holder of the right to order is known.
    NoHolder,
    /// The holder does not answer, or did not a moment ago.
    Silent,
    /// The holder that is known does not hold the right now.
    NotCoordinator,
}

impl NoDecision {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoHolder => "no holder",
            Self::Silent => "silent",
            Self::NotCoordinator => "not the keeper",
        }
    }
}

impl fmt::Display for NoDecision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// This instance's questions to the keeper.
#[derive(Debug, Default)]
pub struct CoordinatorClient {
    pending: Questions<UseTold>,
    backoff: Mutex<Option<BackoffState>>,
}

impl CoordinatorClient {
    /// The keeper's ruling.
    ///
    /// # Errors
    /// Why there is none.
    pub fn request(&self, shared: &Shared, ask: &UseAsk) -> Result<UseTold, NoDecision> {
        let ruling = self.try_request(shared, ask);
        if let Err(unruled) = ruling {
            shared.metrics.unruled(unruled);
        }
        ruling
    }

    fn try_request(&self, shared: &Shared, ask: &UseAsk) -> Result<UseTold, NoDecision> {
        let holder = shared.right().and_then(|leadership| leadership.holder());
        let holder = holder.ok_or(NoDecision::NoHolder)?;
        let settings = &shared.settings;
        if holder.instance == settings.instance {
            return checked_answer(decide(shared, settings.peer_address, ask));
        }
        let now = clock::now();
        let is_silent = |silent: &&BackoffState| silent.holder == holder && now < silent.until;
        if let Some(silent) = lock(&self.backoff).as_ref().filter(is_silent) {
            return Err(silent.cause);
        }
        let body = Body::UseAsk(ask.clone());
        let address = holder.address;
        let told = self
            .pending
            .ask(ask.id, || shared.dispatch.send(address, body.clone()));
        let ruling = told.ok_or(NoDecision::Silent).and_then(checked_answer);
        if let Err(cause) = ruling {
            let pause = match cause {
                NoDecision::Silent | NoDecision::NoHolder => SILENT_BACKOFF,
                NoDecision::NotCoordinator => NOT_COORDINATOR_BACKOFF,
            };
            *lock(&self.backoff) = Some(BackoffState {
                holder,
                cause,
                until: clock::now() + pause,
            });
        }
        ruling
    }

    /// Takes in the answer to a question of this instance.
    pub fn receive_answer(&self, told: UseTold) {
        self.pending.answered(told.id, told);
    }
}

/// An answer, if whoever gave it keeps the counts.
fn checked_answer(told: UseTold) -> Result<UseTold, NoDecision> {
    if told.verdict() == UseVerdict::NotKeeper {
        return Err(NoDecision::NotCoordinator);
    }
    Ok(told)
}

/// Answers an instance's question; only the keeper rules.
pub fn decide(shared: &Shared, from: SocketAddr, ask: &UseAsk) -> UseTold {
    let Some(fence) = shared.right().and_then(|leadership| leadership.term()) else {
        return UseTold {
            id: ask.id,
            ..UseTold::default()
        };
    };
    if !ask.digest.is_empty() {
        shared.poison.decide_exclusive_run(fence, from, ask)
    } else if ask.upstream.is_empty() {
        shared.allotments.decide(shared, fence, from, ask)
    } else {
        shared.limits.rule(shared, fence, from, ask)
    }
}

/// The answer that a ruling makes to a question.
pub fn encode_decision(ask: &UseAsk, ruling: Ruling) -> UseTold {
    let mut told = UseTold {
        id: ask.id,
        ..UseTold::default()
    };
    match ruling {
        Ruling::Granted { part_per_s } => {
            told.set_verdict(UseVerdict::Granted);
            told.part_per_s = part_per_s;
        }
        Ruling::Refused { retry_after } => {
            told.set_verdict(UseVerdict::Refused);
            told.retry_after_ms = millis(retry_after);
        }
    }
    told
}

#[derive(Debug)]
struct TermCounts {
    fence: Fence,
    keeper: Keeper,
}

/// What is counted in the newest term of this instance.
#[derive(Debug, Default)]
pub struct TermCoordinator(Mutex<Option<TermCounts>>);

impl TermCoordinator {
    /// Acts on the keeper of a term, which counts from nothing in each.
    pub fn in_term<T>(
        &self,
        fence: Fence,
        bounds: QuotaBounds,
        act: impl FnOnce(&mut Keeper) -> T,
    ) -> T {
        let mut counts = lock(&self.0);
        counts.take_if(|one| one.fence != fence);
        let new = || TermCounts {
            fence,
            keeper: Keeper::new(bounds, clock::now()),
        };
        act(&mut counts.get_or_insert_with(new).keeper)
    }

    /// Acts on the keeper of the newest term, if there was one.
    pub fn in_latest_term(&self, act: impl FnOnce(&mut Keeper)) {
        if let Some(counts) = lock(&self.0).as_mut() {
            act(&mut counts.keeper);
        }
    }
}
