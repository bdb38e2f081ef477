//! How new the configuration of this instance is for sure, and the questions that prove it.
//!
//! The configuration's feed proves it whenever the store answers. An instance that hears the holder
//! of the right to order does not ask the store; it asks the holder how old the holder's proof is,
//! once a second, and others if the holder does not answer or knows no better. The holder's answer
//! also shows that it can be asked what workspaces may use.

use crate::queries::PendingQueries;
use crate::relay::{millis, millis_since};
use crate::shared::Shared;
use passway_process::logging::json::DECISION_TARGET;
use passway_serving::freshness::{Confirmation, Freshness};
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::dispatch::Dispatch as Body;
use passway_wire::permits::{VersionAsk, VersionTold};
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

/// Part of the bound after which a proof is asked for: four more questions fit into the rest.
const ASK_PART: u32 = 5;
/// Part of the bound after which a proof is old enough to ask others than the holder, and the store.
pub const OLD_PART: u32 = 2;
/// Other instances that are asked at a time.
const OTHERS_ASKED: usize = 2;
/// Pause between two looks where no proof is needed.
const REST: Duration = Duration::from_secs(1);
/// The holder is asked so often, whether a proof is needed or not: it keeps allotments.
const HOLDER_PAUSE: Duration = Duration::from_secs(1);
/// Pause after questions that proved nothing.
const AGAIN_PAUSE: Duration = Duration::from_millis(200);

/// What an instance can prove of its configuration.
#[derive(Debug, Default)]
pub struct ConfigurationAge {
    state: Mutex<Freshness>,
    /// Something was proved.
    proved: Condvar,
    /// A request needs a proof.
    wanted: Condvar,
    asked: PendingQueries<VersionTold>,
    /// When the holder of the right to order answered last.
    holder_answered_at: Mutex<Option<Instant>>,
}

impl ConfigurationAge {
    fn state(&self) -> MutexGuard<'_, Freshness> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update(&self, change: impl FnOnce(&mut Freshness)) {
        change(&mut self.state());
        self.proved.notify_all();
    }

    /// A version is in force: it was put into effect before this is called.
    pub fn set_in_force(&self, version: Revision) {
        self.update(|freshness| freshness.set_in_force(version));
    }

    /// The store, asked at a moment, has told all that it has; that is in force.
    pub fn store_answered(&self, version: Revision, asked_at: Instant) {
        self.update(|freshness| freshness.confirm(Confirmation { version, asked_at }));
    }

    /// Age of the proof; `None` before the first.
    pub fn age(&self) -> Option<Duration> {
        let proof = self.state().proof()?;
        Some(clock::since(proof.asked_at))
    }

    /// Whether keys may be acted on now.
    pub fn permits(&self, bound: Duration) -> bool {
        let until = self.state().permits_until(bound);
        until.is_some_and(|until| clock::now() < until)
    }

    /// Has the configuration proved anew, and waits for that up to a moment; whether keys may be
    /// acted on then.
    pub fn wait_until_permitted(&self, bound: Duration, until: Instant) -> bool {
        loop {
            if self.permits(bound) {
                return true;
            }
            let left = until.saturating_duration_since(clock::now());
            if left.is_zero() {
                return false;
            }
            self.wanted.notify_all();
            let state = self.state();
            // It is looked again in any case.
            drop(self.proved.wait_timeout(state, left.min(AGAIN_PAUSE)));
        }
    }

    /// Time since the holder of the right to order has answered; `None` if none has yet.
    pub fn holder_silence(&self) -> Option<Duration> {
        self.holder_answered_at().map(clock::since)
    }

    fn holder_answered_at(&self) -> MutexGuard<'_, Option<Instant>> {
        let answered_at = self.holder_answered_at.lock();
        answered_at.unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers another instance's question.
    pub fn told(&self, ask: &VersionAsk) -> VersionTold {
        let proof = self.state().proof();
        VersionTold {
            id: ask.id,
            version: proof.map_or(0, |proof| proof.version),
            age_ms: proof.map_or(0, |proof| millis_since(proof.asked_at, clock::now()) + 1),
        }
    }

    /// Takes in the answer to a question of this instance.
    pub fn answered(&self, told: VersionTold) {
        self.asked.deliver_answer(told.id, told);
    }

    /// Asks an instance; whether it could prove anything.
    fn ask(&self, shared: &Shared, address: SocketAddr) -> bool {
        let id = rand::random();
        let asked_at = clock::now();
        let ask = Body::VersionAsk(VersionAsk { id });
        let told = self
            .asked
            .send_and_wait(id, || shared.dispatch.send(address, ask.clone()));
        let Some(told) = told.filter(|told| told.version > 0) else {
            return false;
        };
        let age = Duration::from_millis(told.age_ms);
        let Some(asked_at) = asked_at.checked_sub(age) else {
            return false;
        };
        self.update(|freshness| {
            freshness.confirm(Confirmation {
                version: told.version,
                asked_at,
            });
        });
        true
    }

    /// Asks the holder, and others if that does not help.
    fn ask_around(&self, shared: &Shared, bound: Duration) {
        let me = &shared.settings.instance;
        let holder = shared.leadership().and_then(|right| right.holder());
        let answers = holder
            .as_ref()
            .is_some_and(|holder| holder.instance == *me || self.ask(shared, holder.address));
        if answers {
            *self.holder_answered_at() = Some(clock::now());
        }
        if self.is_younger(bound / OLD_PART) {
            return;
        }
        let others = shared.other_instances();
        let others: Vec<SocketAddr> = others
            .into_iter()
            .filter(|address| holder.as_ref().is_none_or(|one| one.address != *address))
            .collect();
        for address in others.sample(&mut rand::rng(), OTHERS_ASKED) {
            self.ask(shared, *address);
        }
    }

    /// Whether there is a proof that is younger than this.
    pub fn is_younger(&self, age: Duration) -> bool {
        self.age().is_some_and(|proof| proof < age)
    }

    /// Proves the configuration for as long as the process lives.
    pub fn start(shared: &Arc<Shared>) {
        let shared = shared.clone();
        std::thread::spawn(move || shared.configuration_age.run(&shared));
    }

    fn run(&self, shared: &Shared) {
        let mut permitted = true;
        loop {
            let bound = shared.revocation_bound();
            if let Some(bound) = bound {
                let permits = self.permits(bound);
                if permits != permitted {
                    permitted = permits;
                    let age_ms = self.age().map_or(0, millis);
                    log::info!(target: DECISION_TARGET, age_ms = age_ms, permits = permits; "proof of the configuration");
                }
            }
            let has_allotments = shared.has_allotments();
            let pause = if bound.is_some() || has_allotments {
                // Without a bound any proof is young enough.
                self.keep_proved(shared, bound.unwrap_or(Duration::MAX), has_allotments)
            } else {
                REST
            };
            let state = self.state();
            // It is looked again in any case.
            drop(self.wanted.wait_timeout(state, pause));
        }
    }

    /// Asks if that is due; the pause until it may be again.
    fn keep_proved(&self, shared: &Shared, bound: Duration, asks_holder: bool) -> Duration {
        let due_in = || {
            let proof = self.age().map(|age| (bound / ASK_PART).saturating_sub(age));
            let proof = proof.unwrap_or_default();
            let silence = self.holder_silence();
            let holder = silence.map(|silence| HOLDER_PAUSE.saturating_sub(silence));
            let holder = holder.unwrap_or_default();
            if asks_holder {
                proof.min(holder)
            } else {
                proof
            }
        };
        if due_in().is_zero() {
            self.ask_around(shared, bound);
        }
        due_in().clamp(AGAIN_PAUSE, REST)
    }
}
