//! Which faults come when.

use super::cluster::{SoakCluster, default_engine_faults};
use crate::platform::model_server::{EVENTS, Faults as EngineFaults};
use crate::platform::proxy::ProxyFaults;
use crate::platform::store::Faults as StoreFaults;
use passway_types::prelude::*;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

/// Longest time for which a process stands still.
const MAX_STOPPED_MS: u64 = 2_500;
/// Longest time from an engine's word that it leaves to its end.
const MAX_LEAVING_MS: u64 = 4_000;
/// Longest delay of what goes over a way.
const MAX_DELAY_MS: u64 = 200;

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// Everything is well from now on; processes go on.
    Lift,
    /// The store answers wrongly, or not at all.
    Store,
    /// The store forgets its history.
    ForgetHistory,
    /// One instance's way to the store is cut, slow or silent.
    Way,
    /// One instance's connections to the store are reset.
    ResetWay,
    /// A process is killed.
    Kill,
    /// Several processes are killed, one after the other.
    KillMany,
    /// A process is stopped as planned.
    Stop,
    /// A process stands still.
    Pause,
    /// The operator changes the configuration.
    Configure,
    /// The same, three times at once.
    ConfigureOften,
    /// An engine cuts a stream, falls silent or loses an answer.
    Engine,
    /// The way to an engine is slow or silent.
    EngineWay,
    /// Connections to an engine are reset.
    ResetEngineWay,
    /// An engine names how much it takes, or asks for rest.
    EngineWord,
    /// An engine leaves, which its answers say and its entry does not, and starts again.
    EngineLeaves,
}

/// What is drawn from; engines fail more often than the rest, as each such fault is one stream's.
const FAULTS: [Fault; 22] = [
    Fault::Lift,
    Fault::Store,
    Fault::ForgetHistory,
    Fault::Way,
    Fault::ResetWay,
    Fault::Kill,
    Fault::KillMany,
    Fault::Stop,
    Fault::Pause,
    Fault::Configure,
    Fault::ConfigureOften,
    Fault::Engine,
    Fault::Engine,
    Fault::Engine,
    Fault::Engine,
    Fault::Engine,
    Fault::EngineWay,
    Fault::ResetEngineWay,
    Fault::EngineWord,
    Fault::EngineWord,
    Fault::EngineLeaves,
    Fault::EngineLeaves,
];

impl Fault {
    fn name(self) -> &'static str {
        match self {
            Self::Lift => "lift",
            Self::Store => "store",
            Self::ForgetHistory => "forget history",
            Self::Way => "way",
            Self::ResetWay => "reset way",
            Self::Kill => "kill",
            Self::KillMany => "kill many",
            Self::Stop => "stop",
            Self::Pause => "pause",
            Self::Configure => "configure",
            Self::ConfigureOften => "configure often",
            Self::Engine => "engine",
            Self::EngineWay => "engine way",
            Self::ResetEngineWay => "reset engine way",
            Self::EngineWord => "engine word",
            Self::EngineLeaves => "engine leaves",
        }
    }
}

/// Draws faults.
#[derive(Debug)]
pub struct Schedule {
    rng: ChaCha8Rng,
    played: BTreeMap<&'static str, u32>,
}

impl Schedule {
    /// The schedule of a seed.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            played: BTreeMap::new(),
        }
    }

    /// What was played, by name.
    pub fn injected(&self) -> &BTreeMap<&'static str, u32> {
        &self.played
    }

    /// The next fault, and a pause of at most `longest`. Stops and pauses of processes go on
    /// beside what follows.
    pub fn inject_next(&mut self, world: &SoakCluster, longest: Duration) {
        let fault = *FAULTS.choose(&mut self.rng).unwrap_or(&Fault::Lift);
        *self.played.entry(fault.name()).or_default() += 1;
        let site = self.rng.random_range(0..world.instances.len());
        let site = &world.instances[site];
        let engines = world.engines();
        let engine = &engines[self.rng.random_range(0..engines.len())];
        match fault {
            Fault::Lift => world.clear_faults(),
            Fault::Store => world.store.set_faults(self.store_faults()),
            Fault::ForgetHistory => world.store.compact_history(),
            Fault::Way => {
                site.record_disturbance();
                site.store_proxy.set_faults(self.way_faults());
            }
            Fault::ResetWay => site.store_proxy.reset_connections(),
            Fault::Kill => site.kill(),
            Fault::KillMany => {
                let first = self.rng.random_range(0..world.instances.len());
                world.instances[first..].iter().for_each(|site| site.kill());
            }
            Fault::Stop => {
                let site = site.clone();
                std::thread::spawn(move || site.restart(Signal::TERM));
            }
            Fault::Pause => {
                site.record_disturbance();
                let time = Duration::from_millis(self.rng.random_range(50..MAX_STOPPED_MS));
                let site = site.clone();
                std::thread::spawn(move || {
                    site.program().signal(Signal::STOP);
                    std::thread::sleep(time);
                    site.program().signal(Signal::CONT);
                });
            }
            Fault::Configure => world.publish_next_version(),
            Fault::ConfigureOften => (0..3).for_each(|_| world.publish_next_version()),
            Fault::Engine => engine.server.set_faults(self.engine_faults(engine.number)),
            Fault::EngineWay => {
                engine.proxy_was_disturbed.store(true, Ordering::Release);
                engine.proxy.set_faults(self.way_faults());
            }
            Fault::ResetEngineWay => {
                engine.proxy_was_disturbed.store(true, Ordering::Release);
                engine.proxy.reset_connections();
            }
            Fault::EngineWord => engine.server.set_faults(self.engine_word(engine.number)),
            Fault::EngineLeaves => {
                let after_ms = self.rng.random_range(0..MAX_LEAVING_MS);
                engine.server.leave(Duration::from_millis(after_ms));
            }
        }
        std::thread::sleep(longest.mul_f64(self.rng.random_range(0.1..1.0)));
    }

    fn store_faults(&mut self) -> StoreFaults {
        let mut faults = StoreFaults::default();
        match self.rng.random_range(0..5) {
            0 => faults.error_status = Some(503),
            1 => faults.error_status = Some(429),
            2 => faults.sends_invalid_json = true,
            3 => faults.is_silent = true,
            _ => faults.answers_to_drop = 3,
        }
        faults
    }

    fn way_faults(&mut self) -> ProxyFaults {
        let mut faults = ProxyFaults::default();
        match self.rng.random_range(0..4) {
            0 => {
                let delay_ms = self.rng.random_range(1..MAX_DELAY_MS);
                faults.delay = Duration::from_millis(delay_ms);
            }
            1 => faults.drops_requests = true,
            2 => faults.drops_answers = true,
            _ => faults.refuses_connections = true,
        }
        faults
    }

    fn engine_word(&mut self, number: usize) -> EngineFaults {
        let mut faults = default_engine_faults(number);
        if self.rng.random_bool(0.5) {
            faults.advertised_limit_per_s = Some(self.rng.random_range(0.5..20.0));
        } else {
            faults.backoff_s = Some(self.rng.random_range(0.1..3.0));
        }
        faults
    }

    fn engine_faults(&mut self, number: usize) -> EngineFaults {
        let after = Some(self.rng.random_range(0..EVENTS));
        let mut faults = default_engine_faults(number);
        match self.rng.random_range(0..4) {
            0 => faults.cut_after_events = after,
            1 => faults.silent_after_events = after,
            2 => faults.pause_after_events = after,
            _ => faults.drops_order_answer = true,
        }
        faults
    }
}
