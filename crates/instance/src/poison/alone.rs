//! Requests that run one at a time over all instances, since the next upstream that ends is the last that is
//! allowed.
//!
//! The instance that counts for all gives the turns. Without its word nobody has one: whoever cannot prove its turn
//! waits and asks again, under the same number, so that an answer that was lost is not held against it.

use super::{Poison, lock};
use crate::keeper::Unruled;
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
pub(super) struct Alone {
    /// Those of this instance.
    here: Mutex<HashSet<RequestDigest>>,
    /// Those of all instances, while this one counts for all.
    turns: Mutex<RunTurns>,
}

/// What a request hears that asks to run alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asked {
    /// It may.
    Granted,
    /// Another one like it runs, here or at another instance.
    Taken,
    /// Nothing proves that no other one does.
    Unproved(Unruled),
}

/// One request's turn to run alone among those like it at all instances; given back when this is dropped.
#[derive(Debug)]
pub struct Trial {
    shared: Arc<Shared>,
    digest: RequestDigest,
    /// The number of its questions.
    id: u64,
    is_granted: bool,
    /// Whether a question was left without a ruling: the turn may have been granted nevertheless.
    is_perhaps_granted: bool,
    /// Why nobody ruled on the last question, so that each cause is told once.
    unruled: Option<Unruled>,
    /// Whether an upstream broke off under it.
    has_broken: bool,
}

impl Trial {
    /// A request that has not asked yet.
    pub fn new(shared: &Arc<Shared>, digest: RequestDigest) -> Self {
        Self {
            shared: shared.clone(),
            digest,
            id: rand::random(),
            is_granted: false,
            is_perhaps_granted: false,
            unruled: None,
            has_broken: false,
        }
    }

    /// Whether the request may run now.
    pub fn is_granted(&self) -> bool {
        self.is_granted
    }

    /// Asks for the turn, for a run of so long at most.
    pub fn ask(&mut self, longest: Duration) -> Asked {
        if self.is_granted {
            return Asked::Granted;
        }
        let shared = self.shared.clone();
        let here = &shared.poison.alone.here;
        if !lock(here).insert(self.digest) {
            return Asked::Taken;
        }
        let asked = self.ask_counter(longest);
        self.is_granted = asked == Asked::Granted;
        if !self.is_granted {
            lock(here).remove(&self.digest);
        }
        asked
    }

    fn ask_counter(&mut self, longest: Duration) -> Asked {
        let ask = UseAsk {
            id: self.id,
            digest: self.digest.0.to_vec(),
            run_ms: millis(longest),
            ..UseAsk::default()
        };
        match self.shared.coordinator.ask(&self.shared, &ask) {
            Ok(told) if told.verdict() == UseVerdict::Granted => Asked::Granted,
            Ok(_) => {
                self.is_perhaps_granted = false;
                Asked::Taken
            }
            Err(unruled) => {
                self.is_perhaps_granted |= unruled == Unruled::Silent;
                if self.unruled.replace(unruled) != Some(unruled) {
                    log::info!(target: REQUEST_TARGET, digest:% = self.digest, cause:% = unruled;
                        "no turn to run alone is proved");
                }
                Asked::Unproved(unruled)
            }
        }
    }

    /// An upstream broke off under it. Its turn lapses by itself: by then all know what that was.
    pub fn broke(&mut self) {
        self.has_broken = true;
    }

    fn give_back(&self) {
        let shared = &self.shared;
        let Some(holder) = shared.leadership().and_then(|right| right.holder()) else {
            return;
        };
        let back = UseBack {
            digest: self.digest.0.to_vec(),
            id: self.id,
            ..UseBack::default()
        };
        if holder.instance == shared.settings.instance {
            shared.poison.take_back(shared.settings.peer_address, &back);
        } else {
            shared.dispatch.send(holder.address, Body::UseBack(back));
        }
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if self.is_granted {
            lock(&self.shared.poison.alone.here).remove(&self.digest);
        }
        if (self.is_granted || self.is_perhaps_granted) && !self.has_broken {
            self.give_back();
        }
    }
}

/// The digest that some bytes hold; `None` if they come from a build with others.
pub(super) fn digest_of(bytes: &[u8]) -> Option<RequestDigest> {
    Some(RequestDigest(bytes.try_into().ok()?))
}

impl Poison {
    /// Answers an instance that asks to run a request alone, in a term of this instance.
    pub fn rule(&self, fence: Fence, from: SocketAddr, ask: &UseAsk) -> UseTold {
        let mut told = UseTold {
            id: ask.id,
            ..UseTold::default()
        };
        let Some(digest) = digest_of(&ask.digest) else {
            return told;
        };
        let (run, time) = ((from, ask.id), Duration::from_millis(ask.run_ms));
        match lock(&self.alone.turns).ask(fence, digest, run, time, clock::now()) {
            Ok(()) => told.set_verdict(UseVerdict::Granted),
            Err(pause) => {
                told.set_verdict(UseVerdict::Refused);
                told.retry_after_ms = millis(pause);
            }
        }
        told
    }

    /// A run that was alone is over and has ended nothing.
    pub fn take_back(&self, from: SocketAddr, back: &UseBack) {
        if let Some(digest) = digest_of(&back.digest) {
            lock(&self.alone.turns).give_back(digest, (from, back.id));
        }
    }
}
