//! Selects the faults and injects them.

use super::cluster::{Engine, SoakCluster};
use super::retry_cycle::{RetryCycles, random_standstill};
use super::silences::{Silence, SilenceableServer};
use super::{Disturbance, SoakPlan};
use crate::platform::model_server::{FIRST_SOFTWARE, Faults as EngineFaults};
use crate::platform::proxy::ProxyFaults;
use crate::platform::store::Faults as StoreFaults;
use passway_types::prelude::*;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::ops::{Range, RangeInclusive};

/// Maximum time for which a process is stopped, in milliseconds.
const MAX_STOPPED_MS: u64 = 2_500;
/// Maximum time from an engine's announcement that it leaves to its restart, in milliseconds.
const MAX_LEAVING_MS: u64 = 4_000;
/// Maximum age of the copy that the store returns from, in milliseconds.
const MAX_COPY_AGE_MS: u64 = 3_000;
/// Maximum delay of the data that a proxy forwards, in milliseconds.
const MAX_DELAY_MS: u64 = 200;
/// Number of silences in a series.
const SILENCES: RangeInclusive<usize> = 2..=4;
/// Duration of a silence, in milliseconds.
const SILENCE_MS: Range<u64> = 300..2_500;
/// Time between two silences of a series, in milliseconds.
const SILENCE_GAP_MS: Range<u64> = 50..600;
/// Maximum time between the start of an engine and the announcement that the engine which it replaces
/// leaves, in milliseconds.
const MAX_LEAD_MS: u64 = 1_500;
/// Time for which a replaced engine keeps serving, in milliseconds.
const DRAIN_MS: Range<u64> = 200..4_000;
/// Probability that a release returns to an earlier software version.
const ROLLBACK_PROBABILITY: f64 = 0.25;
/// Maximum time between the kills of several instances, in milliseconds.
const MAX_KILL_GAP_MS: u64 = 1_000;
/// Number of resets in a series.
const RESETS: RangeInclusive<usize> = 2..=4;
/// Time between two resets of a series, in milliseconds.
const RESET_GAP_MS: Range<u64> = 50..600;
/// Time in which streams begin at a software version before the next release.
const STREAMS_DURATION: Duration = Duration::from_secs(2);
/// Undisturbed time before a calm stretch is judged: `contact_ms` of the users' installations.
pub const CONTACT_DURATION: Duration = Duration::from_secs(3);
/// Judged time of a calm stretch.
const CALM_DURATION: Duration = Duration::from_secs(4);
/// Probability that all servers fall silent together.
const ALL_SILENT_PROBABILITY: f64 = 0.5;

/// Probability that servers ask for a backoff at a step while callers repeat crashing requests.
const BACKOFF_PROBABILITY: f64 = 0.1;
/// Backoffs that servers ask for then, in milliseconds.
const BACKOFF_MS: Range<u64> = 1_000..3_000;
/// Probability that servers stand still at a step of a phase in which all callers need retries.
const STANDSTILL_PROBABILITY: f64 = 0.15;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// Clears all faults and resumes stopped processes.
    ClearAll,
    /// The store gives wrong answers or none.
    Store,
    /// The store drops its history of changes.
    CompactHistory,
    /// The store returns from a copy some seconds old.
    StoreReturns,
    /// The proxy between one instance and the store refuses connections, is slow or drops data.
    StoreProxy,
    /// The connections between one instance and the store are closed.
    ResetStoreProxy,
    /// One process is killed.
    Kill,
    /// Several processes are killed one after the other.
    KillMany,
    /// One process is stopped with SIGTERM, as in a planned stop, and restarted.
    PlannedStop,
    /// One process is stopped for a while with SIGSTOP.
    StopProcess,
    /// The operator writes a new version of the configuration.
    Configure,
    /// The operator writes three new versions in succession.
    ConfigureOften,
    /// An engine breaks or pauses a stream, falls silent, or drops an answer.
    Engine,
    /// The proxy to an engine refuses connections, is slow or drops data.
    EngineProxy,
    /// The connections to an engine are closed.
    ResetEngineProxy,
    /// An engine advertises a limit or asks for a backoff.
    EngineSignal,
    /// An engine announces in its answers, but not in its store entry, that it leaves, and then
    /// restarts.
    EngineLeaves,
    /// Some servers, or all, fall silent several times in succession and go on afterwards.
    Silences,
    /// Every engine is replaced by an engine of another software version.
    ReleaseAll,
    /// Every second engine is replaced by an engine of another software version.
    ReleaseHalf,
    /// An engine restarts under its id with another software version.
    RestartAsOther,
    /// Every second engine restarts under its id with another software version.
    RestartHalfAsOther,
    /// All instances are killed at once.
    KillAll,
    /// Several instances are killed while others are down.
    KillOverlapping,
    /// The connections to all engines are closed several times in succession.
    ResetEngineProxies,
    /// Every second engine is replaced; then nothing is disturbed for a while.
    Calm,
}

/// The faults to choose from. Engine faults appear several times, since each affects only one
/// stream. Those of releases come last.
const FAULTS: [Fault; 36] = [
    Fault::ClearAll,
    Fault::Store,
    Fault::CompactHistory,
    Fault::StoreReturns,
    Fault::StoreReturns,
    Fault::StoreProxy,
    Fault::ResetStoreProxy,
    Fault::Kill,
    Fault::KillMany,
    Fault::PlannedStop,
    Fault::StopProcess,
    Fault::Configure,
    Fault::ConfigureOften,
    Fault::Engine,
    Fault::Engine,
    Fault::Engine,
    Fault::Engine,
    Fault::Engine,
    Fault::EngineProxy,
    Fault::ResetEngineProxy,
    Fault::EngineSignal,
    Fault::EngineSignal,
    Fault::EngineLeaves,
    Fault::EngineLeaves,
    Fault::Silences,
    Fault::Silences,
    Fault::ReleaseAll,
    Fault::ReleaseHalf,
    Fault::ReleaseHalf,
    Fault::RestartAsOther,
    Fault::RestartAsOther,
    Fault::RestartHalfAsOther,
    Fault::KillAll,
    Fault::KillOverlapping,
    Fault::ResetEngineProxies,
    Fault::Calm,
];
/// Number of faults that belong to releases.
const RELEASE_FAULTS: usize = 10;

fn every_second(engines: Vec<Engine>) -> Vec<Engine> {
    engines.into_iter().step_by(2).collect()
}

/// Kills all instances at the same moment, in the background.
fn kill_all(cluster: &Arc<SoakCluster>) {
    let kills = (0..cluster.instances.len()).map(|number| (number, Duration::ZERO));
    let kills: Vec<(usize, Duration)> = kills.collect();
    cluster.in_background(move |cluster| cluster.kill_overlapping(&kills));
}

impl Fault {
    /// Returns the key of the fault in the report, an outer name.
    fn name(self) -> &'static str {
        match self {
            Self::ClearAll => "lift",
            Self::Store => "store",
            Self::CompactHistory => "forget history",
            Self::StoreReturns => "return",
            Self::StoreProxy => "way",
            Self::ResetStoreProxy => "reset way",
            Self::Kill => "kill",
            Self::KillMany => "kill many",
            Self::PlannedStop => "stop",
            Self::StopProcess => "pause",
            Self::Configure => "configure",
            Self::ConfigureOften => "configure often",
            Self::Engine => "engine",
            Self::EngineProxy => "engine way",
            Self::ResetEngineProxy => "reset engine way",
            Self::EngineSignal => "engine word",
            Self::EngineLeaves => "engine leaves",
            Self::Silences => "silences",
            Self::ReleaseAll => "release all",
            Self::ReleaseHalf => "release half",
            Self::RestartAsOther => "restart with another version",
            Self::RestartHalfAsOther => "restart half with another version",
            Self::KillAll => "kill all",
            Self::KillOverlapping => "overlapping kills",
            Self::ResetEngineProxies => "reset engine ways",
            Self::Calm => "calm",
        }
    }
}

/// A time in which nothing is disturbed, after [`CONTACT_DURATION`] of the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CalmStretch {
    /// Begin of the stretch.
    pub began_at: Instant,
    /// End of the stretch.
    pub ended_at: Instant,
    /// The configuration's version throughout the stretch.
    pub version: u64,
}

/// A seeded sequence of faults.
#[derive(Debug)]
pub struct Schedule {
    rng: ChaCha8Rng,
    has_releases: bool,
    has_one_version: bool,
    /// Maximum number of events in a stream.
    max_events: u64,
    injected: BTreeMap<&'static str, u32>,
    calm_stretches: Vec<CalmStretch>,
    disturbance: Disturbance,
    /// The phases in which callers need retries; `None` if servers never fail most requests.
    retry_cycles: Option<RetryCycles>,
}

impl Schedule {
    /// Creates the schedule of a plan's seed, with or without releases of engine software.
    pub fn new(plan: &SoakPlan) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            has_releases: plan.has_releases,
            has_one_version: plan.has_one_version,
            max_events: plan.shape.max_events,
            injected: BTreeMap::new(),
            calm_stretches: Vec::new(),
            disturbance: plan.disturbance,
            retry_cycles: plan.disturbance.retry_cycle().map(RetryCycles::start),
        }
    }

    /// Returns the calm stretches so far.
    pub fn calm_stretches(&self) -> &[CalmStretch] {
        &self.calm_stretches
    }

    /// Returns the number of injected faults by name.
    pub fn injected(&self) -> &BTreeMap<&'static str, u32> {
        &self.injected
    }

    /// Injects the next fault, then waits for a random time of at most `max_pause`. Stops and pauses
    /// of processes run in the background, concurrently with later faults.
    pub fn inject_next(&mut self, cluster: &Arc<SoakCluster>, max_pause: Duration) {
        self.update_retry_pressure(cluster);
        self.update_culprits(cluster);
        if self.disturbance.has_faults() {
            self.inject_random(cluster);
        }
        std::thread::sleep(max_pause.mul_f64(self.rng.random_range(0.1..1.0)));
    }

    fn inject_random(&mut self, cluster: &Arc<SoakCluster>) {
        let without_releases = FAULTS.len() - RELEASE_FAULTS;
        let faults = if self.has_releases {
            &FAULTS[..]
        } else {
            &FAULTS[..without_releases]
        };
        let fault = *faults.choose(&mut self.rng).unwrap_or(&Fault::ClearAll);
        *self.injected.entry(fault.name()).or_default() += 1;
        let instance = self.rng.random_range(0..cluster.instances.len());
        let instance = &cluster.instances[instance];
        let engines = cluster.staying_engines();
        let engine = &engines[self.rng.random_range(0..engines.len())];
        match fault {
            Fault::ClearAll => cluster.clear_faults(),
            Fault::Store => {
                cluster.store_disturbances.begin(Instant::now());
                cluster.store.set_faults(self.random_store_faults());
            }
            Fault::CompactHistory => cluster.store.compact_history(),
            Fault::StoreReturns => {
                let age_ms = self.rng.random_range(100..MAX_COPY_AGE_MS);
                let copy = cluster.store.copy();
                cluster.in_background(move |cluster| {
                    std::thread::sleep(Duration::from_millis(age_ms));
                    cluster.return_store(&copy);
                });
            }
            Fault::StoreProxy => {
                instance.record_disturbance();
                instance.out_of_touch.begin(Instant::now());
                instance.store_proxy.set_faults(self.random_proxy_faults());
            }
            Fault::ResetStoreProxy => {
                let reset = instance.out_of_touch.begin(Instant::now());
                instance.store_proxy.reset_connections();
                instance.out_of_touch.end(reset);
            }
            Fault::Kill => instance.kill(),
            Fault::KillMany => {
                let first = self.rng.random_range(0..cluster.instances.len());
                cluster.instances[first..]
                    .iter()
                    .for_each(|instance| instance.kill());
            }
            Fault::PlannedStop => {
                let instance = instance.clone();
                cluster.in_background(move |_| instance.stop_as_planned());
            }
            Fault::StopProcess => {
                instance.record_disturbance();
                let duration = Duration::from_millis(self.rng.random_range(50..MAX_STOPPED_MS));
                let instance = instance.clone();
                cluster.in_background(move |_| instance.pause(duration));
            }
            Fault::Configure => cluster.publish_next_version(),
            Fault::ConfigureOften => (0..3).for_each(|_| cluster.publish_next_version()),
            Fault::Engine => engine
                .server
                .set_faults(self.random_engine_faults(cluster, engine.number)),
            Fault::EngineProxy => engine.disturb_proxy(self.random_proxy_faults()),
            Fault::ResetEngineProxy => engine.reset_proxy(),
            Fault::EngineSignal => engine
                .server
                .set_faults(self.random_signal(cluster, engine.number)),
            Fault::EngineLeaves => {
                let delay_ms = self.rng.random_range(0..MAX_LEAVING_MS);
                engine.server.leave(Duration::from_millis(delay_ms));
            }
            Fault::Silences => {
                let servers = self.random_servers(cluster.silenceable_servers());
                cluster
                    .silences
                    .start_series(servers, self.random_silences());
            }
            Fault::ReleaseAll => self.release(cluster, cluster.living_engines()),
            Fault::ReleaseHalf => self.release(cluster, every_second(cluster.living_engines())),
            Fault::RestartAsOther => {
                let software = self.random_software(cluster);
                engine.server.restart_with_software(&software);
            }
            Fault::RestartHalfAsOther => {
                let software = self.random_software(cluster);
                for engine in every_second(cluster.living_engines()) {
                    engine.server.restart_with_software(&software);
                }
            }
            Fault::KillAll => kill_all(cluster),
            Fault::KillOverlapping => {
                let kills = self.random_kills(cluster.instances.len());
                cluster.in_background(move |cluster| cluster.kill_overlapping(&kills));
            }
            Fault::ResetEngineProxies => self.reset_engines(cluster),
            Fault::Calm => {
                self.release(cluster, every_second(cluster.living_engines()));
                self.stay_calm(cluster);
            }
        }
    }

    /// Begins or ends a time in which callers repeat crashing requests, and lets some servers ask for a backoff.
    fn update_culprits(&mut self, cluster: &Arc<SoakCluster>) {
        if !self.disturbance.has_culprits() {
            return;
        }
        cluster.culprits.advance();
        if !self.rng.random_bool(BACKOFF_PROBABILITY) {
            return;
        }
        let backoff = Duration::from_millis(self.rng.random_range(BACKOFF_MS));
        let engines = cluster.living_engines();
        let engine = engines.choose(&mut self.rng).cloned();
        let plain = cluster.plain_servers.choose(&mut self.rng).cloned();
        cluster.in_background(move |cluster| {
            if let Some(plain) = &plain {
                plain.set_backoff(Some(backoff));
            }
            if let Some(engine) = &engine {
                engine.server.set_faults(EngineFaults {
                    backoff_s: Some(backoff.as_secs_f64()),
                    ..cluster.engine_faults(engine.number)
                });
            }
            std::thread::sleep(backoff);
            if let Some(plain) = &plain {
                plain.set_backoff(None);
            }
            if let Some(engine) = &engine {
                let faults = cluster.engine_faults(engine.number);
                engine.server.set_faults(faults);
            }
        });
    }

    /// Begins the next phase of a cycle in which callers need retries, once the one before has ended.
    fn update_retry_pressure(&mut self, cluster: &SoakCluster) {
        let Some(cycles) = &mut self.retry_cycles else {
            return;
        };
        let phase = cycles.advance(&mut self.rng);
        cluster.phase.set(phase);
        if !phase.has_failures() {
            cluster.failures.end();
            return;
        }
        cluster.failures.begin();
        if self.disturbance.has_standstills() && self.rng.random_bool(STANDSTILL_PROBABILITY) {
            let duration = random_standstill(&mut self.rng);
            for server in self.random_servers(cluster.silenceable_servers()) {
                server.listener.stand_still(duration);
            }
        }
    }

    /// Replaces all engines and then every second one, so that two versions serve side by side, kills
    /// all instances at once, and then stays calm.
    pub fn end_with_release(&mut self, cluster: &Arc<SoakCluster>) {
        cluster.settle();
        self.release(cluster, cluster.living_engines());
        cluster.settle();
        std::thread::sleep(STREAMS_DURATION);
        self.release(cluster, every_second(cluster.living_engines()));
        std::thread::sleep(STREAMS_DURATION);
        kill_all(cluster);
        self.stay_calm(cluster);
    }

    /// Waits until all faults have ended and nothing was disturbed for [`CONTACT_DURATION`], and
    /// records the stretch that follows.
    fn stay_calm(&mut self, cluster: &SoakCluster) {
        if !cluster.settle() {
            return;
        }
        std::thread::sleep(CONTACT_DURATION);
        let began_at = Instant::now();
        std::thread::sleep(CALM_DURATION);
        self.calm_stretches.push(CalmStretch {
            began_at,
            ended_at: Instant::now(),
            version: cluster.version(),
        });
    }

    /// Replaces these engines. They leave in the background.
    fn release(&mut self, cluster: &Arc<SoakCluster>, old: Vec<Engine>) {
        let software = self.random_software(cluster);
        let lead_time = Duration::from_millis(self.rng.random_range(0..MAX_LEAD_MS));
        let drain = Duration::from_millis(self.rng.random_range(DRAIN_MS));
        cluster.start_replacements(&old, &software);
        cluster.in_background(move |_| {
            std::thread::sleep(lead_time);
            std::thread::scope(|scope| {
                for engine in &old {
                    scope.spawn(|| engine.server.retire(drain));
                }
            });
        });
    }

    /// Returns the software version of the next release: a new one, or sometimes one that was replaced.
    fn random_software(&mut self, cluster: &SoakCluster) -> String {
        let random: u64 = self.rng.random();
        let is_rollback = self.rng.random_bool(ROLLBACK_PROBABILITY);
        if self.has_one_version {
            FIRST_SOFTWARE.to_owned()
        } else if is_rollback {
            cluster.known_software(random)
        } else {
            cluster.next_software()
        }
    }

    /// Selects two or more instances to kill, each with the time after which it is killed.
    fn random_kills(&mut self, instances: usize) -> Vec<(usize, Duration)> {
        let count = self.rng.random_range(2.min(instances)..=instances);
        let first = self.rng.random_range(0..instances);
        let kill = |offset| {
            let after_ms = self.rng.random_range(0..MAX_KILL_GAP_MS);
            let number = (first + offset) % instances;
            (number, Duration::from_millis(after_ms))
        };
        (0..count).map(kill).collect()
    }

    /// Closes the connections to all engines several times in the background.
    fn reset_engines(&mut self, cluster: &Arc<SoakCluster>) {
        let count = self.rng.random_range(RESETS);
        let gaps = (0..count).map(|_| self.rng.random_range(RESET_GAP_MS));
        let gaps: Vec<Duration> = gaps.map(Duration::from_millis).collect();
        cluster.in_background(move |cluster| {
            for gap in gaps {
                let engines = cluster.staying_engines();
                engines.iter().for_each(Engine::reset_proxy);
                std::thread::sleep(gap);
            }
        });
    }

    fn random_store_faults(&mut self) -> StoreFaults {
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

    fn random_proxy_faults(&mut self) -> ProxyFaults {
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

    /// Selects all servers or a random part of them. Uses the same random numbers however many there
    /// are, since their number depends on the machine.
    fn random_servers(&mut self, mut servers: Vec<SilenceableServer>) -> Vec<SilenceableServer> {
        let are_all = self.rng.random_bool(ALL_SILENT_PROBABILITY);
        let mut bits: u64 = self.rng.random();
        servers.retain(|_| {
            bits = bits.rotate_left(1);
            are_all || bits & 1 == 1
        });
        servers
    }

    fn random_silences(&mut self) -> Vec<Silence> {
        let count = self.rng.random_range(SILENCES);
        let silence = |_| Silence {
            duration: Duration::from_millis(self.rng.random_range(SILENCE_MS)),
            gap: Duration::from_millis(self.rng.random_range(SILENCE_GAP_MS)),
        };
        (0..count).map(silence).collect()
    }

    fn random_signal(&mut self, cluster: &SoakCluster, number: usize) -> EngineFaults {
        let mut faults = cluster.engine_faults(number);
        if self.rng.random_bool(0.5) {
            faults.advertised_limit_per_s = Some(self.rng.random_range(0.5..20.0));
        } else {
            faults.backoff_s = Some(self.rng.random_range(0.1..3.0));
        }
        faults
    }

    fn random_engine_faults(&mut self, cluster: &SoakCluster, number: usize) -> EngineFaults {
        let event_count = Some(self.rng.random_range(0..self.max_events));
        let mut faults = cluster.engine_faults(number);
        faults.is_unframed |= self.rng.random_bool(0.5);
        match self.rng.random_range(0..5) {
            0 => faults.cut_after_events = event_count,
            1 => faults.silent_after_events = event_count,
            2 => faults.pause_after_events = event_count,
            3 => faults.crash_after_events = event_count,
            _ => faults.drops_order_answer = true,
        }
        faults
    }
}
