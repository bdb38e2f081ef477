//! Asking the instance that counts for all, and what it counts.
//!
//! The holder of the right to order counts what workspaces use, what goes to upstreams in need and what runs alone, for
//! as long as its term lasts by its own clock: there are never two that count.

use crate::queries::PendingQueries;
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
const SILENT_TIME: Duration = Duration::from_millis(300);
/// One that was asked and is not the keeper is not asked again for this long: a term begins, or has
/// ended, and everybody hears of that within some hundred milliseconds.
const NOT_KEEPER_TIME: Duration = Duration::from_millis(100);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A keeper that is not asked, and until when.
#[derive(Debug, Clone, PartialEq)]
struct Silent {
    holder: Holder,
    cause: Unruled,
    until: Instant,
}

/// Why nobody ruled on a question. None of these permits anything by itself: what an instance does without a ruling is
/// said where it asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unruled {
    /// No holder of the right to order is known.
    NoHolder,
    /// The holder does not answer, or did not a moment ago.
    Silent,
    /// The holder that is known does not hold the right now.
    NotKeeper,
}

impl Unruled {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoHolder => "no holder",
            Self::Silent => "silent",
            Self::NotKeeper => "not the keeper",
        }
    }
}

impl fmt::Display for Unruled {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// This instance's questions to the keeper.
#[derive(Debug, Default)]
pub struct KeeperLink {
    asked: PendingQueries<UseTold>,
    silent: Mutex<Option<Silent>>,
}

impl KeeperLink {
    /// The keeper's ruling.
    ///
    /// # Errors
    /// Why there is none.
    pub fn ask(&self, shared: &Shared, ask: &UseAsk) -> Result<UseTold, Unruled> {
        let ruling = self.ruling(shared, ask);
        if let Err(unruled) = ruling {
            shared.metrics.unanswered_query(unruled);
        }
        ruling
    }

    fn ruling(&self, shared: &Shared, ask: &UseAsk) -> Result<UseTold, Unruled> {
        let holder = shared.leadership().and_then(|right| right.holder());
        let holder = holder.ok_or(Unruled::NoHolder)?;
        let settings = &shared.settings;
        if holder.instance == settings.instance {
            return of_keeper(rule(shared, settings.peer_address, ask));
        }
        let now = clock::now();
        let is_silent = |silent: &&Silent| silent.holder == holder && now < silent.until;
        if let Some(silent) = lock(&self.silent).as_ref().filter(is_silent) {
            return Err(silent.cause);
        }
        let body = Body::UseAsk(ask.clone());
        let address = holder.address;
        let told = self
            .asked
            .send_and_wait(ask.id, || shared.dispatch.send(address, body.clone()));
        let ruling = told.ok_or(Unruled::Silent).and_then(of_keeper);
        if let Err(cause) = ruling {
            let pause = match cause {
                Unruled::Silent | Unruled::NoHolder => SILENT_TIME,
                Unruled::NotKeeper => NOT_KEEPER_TIME,
            };
            *lock(&self.silent) = Some(Silent {
                holder,
                cause,
                until: clock::now() + pause,
            });
        }
        ruling
    }

    /// Takes in the answer to a question of this instance.
    pub fn answered(&self, told: UseTold) {
        self.asked.deliver_answer(told.id, told);
    }
}

/// An answer, if whoever gave it keeps the counts.
fn of_keeper(told: UseTold) -> Result<UseTold, Unruled> {
    if told.verdict() == UseVerdict::NotKeeper {
        return Err(Unruled::NotKeeper);
    }
    Ok(told)
}

/// Answers an instance's question; only the keeper rules.
pub fn rule(shared: &Shared, from: SocketAddr, ask: &UseAsk) -> UseTold {
    let Some(fence) = shared.leadership().and_then(|right| right.term()) else {
        return UseTold {
            id: ask.id,
            ..UseTold::default()
        };
    };
    if !ask.digest.is_empty() {
        shared.poison.rule(fence, from, ask)
    } else if ask.upstream.is_empty() {
        shared.allotments.rule(shared, fence, from, ask)
    } else {
        shared.limits.decide(shared, fence, from, ask)
    }
}

/// The answer that a ruling makes to a question.
pub fn told(ask: &UseAsk, ruling: Ruling) -> UseTold {
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
struct Keeping {
    fence: Fence,
    keeper: Keeper,
}

/// What is counted in the newest term of this instance.
#[derive(Debug, Default)]
pub struct TermKeeper(Mutex<Option<Keeping>>);

impl TermKeeper {
    /// Acts on the keeper of a term, which counts from nothing in each.
    pub fn of_term<T>(
        &self,
        fence: Fence,
        bounds: QuotaBounds,
        act: impl FnOnce(&mut Keeper) -> T,
    ) -> T {
        let mut keeping = lock(&self.0);
        keeping.take_if(|one| one.fence != fence);
        let new = || Keeping {
            fence,
            keeper: Keeper::new(bounds, clock::now()),
        };
        act(&mut keeping.get_or_insert_with(new).keeper)
    }

    /// Acts on the keeper of the newest term, if there was one.
    pub fn of_any_term(&self, act: impl FnOnce(&mut Keeper)) {
        if let Some(keeping) = lock(&self.0).as_mut() {
            act(&mut keeping.keeper);
        }
    }
}
