//! The instances' processes, the stand-ins and the proxies between them.

use super::culprits::CulpritCycle;
use super::disturbances::DisturbanceLog;
use super::retry_cycle::{CurrentPhase, Phase};
use super::silences::{SilenceableServer, Silences};
use super::{SoakPlan, SoakReport};
use crate::platform::caller::HOST;
use crate::platform::documents::{configuration, with_workspaces, workspace};
use crate::platform::failure_spans::{Failure, FailureSpans};
use crate::platform::model_server::{
    FIRST_SOFTWARE, Faults as EngineFaults, InitialModels, ModelServer, Run, RunEnd,
};
use crate::platform::plain_server::{PlainAnswer, echo_steps};
use crate::platform::process::{InstanceProcess, Output, ProcessConfig, readiness_status};
use crate::platform::proxy::{Proxy, ProxyFaults};
use crate::platform::raw::{EndedScript, Received, Step};
use crate::platform::restarting_plain::{PlainArrival, PortEnd, RestartingPlain, Restarts};
use crate::platform::store::{Faults as StoreFaults, MetadataStandIn, StoreCopy};
use crate::platform::stream_events::StreamShape;
use anyhow::{Result, ensure};
use passway_types::prelude::*;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Names of the models; each engine starts with two of them loaded.
pub const MODELS: [&str; 5] = ["m0", "m1", "m2", "m3", "m4"];
/// The API key of the workspace `small`, which has a low rate limit.
pub const SMALL_KEY: &str = "soak-key-small";
/// Rate limit of the workspace `small`, in units per second, and also its burst: ten calls.
pub const SMALL_RATE_PER_S: u32 = 2_000;
/// Memory of an engine for running requests and copies, in tokens.
const KV_CAPACITY_TOKENS: u32 = 50_000;
/// Units that a call is charged.
pub const UNITS_PER_CALL: u32 = 200;

/// Returns the API key that a configuration version introduces. The next version retains the key,
/// the one after that revokes it.
pub fn key_of_version(version: u64) -> String {
    format!("soak-key-{version}")
}

/// Adds to a version's configuration its workspaces, and that engines keep copies of the runs of others.
fn with_keys(version: u64, mut document: Value) -> Value {
    // The second service is that of the engines.
    let engine = &mut document["services"][1]["engine"];
    engine["backups"] = true.into();
    engine["kv_capacity"] = KV_CAPACITY_TOKENS.into();
    engine["stride"] = 1.into();

    let (new, old) = (
        key_of_version(version),
        key_of_version(version.saturating_sub(1)),
    );
    let workspaces = [
        workspace("large", &[&new, &old], 0.0),
        workspace("small", &[SMALL_KEY], f64::from(SMALL_RATE_PER_S)),
    ];
    with_workspaces(document, &workspaces)
}

/// The body of the poison request, which crashes the engines.
pub const POISON: &str = "poison";
/// The part of prompts that crashes the engines.
pub const CRASHING_PART: &str = "bad0bad0";
/// Number of parts that crash the engines, [`CRASHING_PART`] included.
pub const CRASHING_PARTS: usize = 16;

/// Returns the id of the crashing part with this number; number 0 is [`CRASHING_PART`].
pub fn crashing_part(number: usize) -> String {
    format!("bad{number:x}bad{number:x}")
}

/// Beginning of the bodies of requests with [`CRASHING_PART`].
pub const CRASHING_PART_BODY: &str = "part-";
/// Grace period from SIGTERM to the exit, in seconds: the shortest that leaves time between the
/// load balancer's reaction and the exit.
const GRACE_S: f64 = 4.5;
/// End of the grace period in which an instance answers requests that still wait, breaks off streams
/// that still run, and exits.
const GRACE_END_S: f64 = 1.2;
/// Maximum wait for the instances to become ready. A busy machine takes seconds to start dozens of
/// processes.
const START_TIMEOUT: Duration = Duration::from_mins(2);
/// Time that a plain server takes for a call, so stops and kills find some calls in flight.
const CALL_DURATION: Duration = Duration::from_millis(15);
/// Time for which a throttled instance runs, then pauses [`THROTTLE_PHASES`] - 1 times as long. Together
/// a tenth of a second, the period after which Linux gives a process its share of a processor again.
const THROTTLE_PHASE: Duration = Duration::from_millis(33);
const THROTTLE_PHASES: usize = 3;
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after its end at which a plain server starts again.
const PLAIN_RESTART_DELAY: Duration = Duration::from_secs(2);
/// Time after a crash at which a supervised engine serves again.
const SUPERVISED_RESTART_DELAY: Duration = Duration::from_millis(800);
/// Maximum wait for the faults that go on in the background.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which the store entry of a crashed engine remains; then another engine replaces it.
const STALE_ENTRY_DURATION: Duration = Duration::from_millis(1_500);

/// An instance and its proxy to the store.
#[derive(Debug)]
pub struct SoakInstance {
    process: Mutex<InstanceProcess>,
    /// Held by the thread that restarts the process.
    restarting: Mutex<()>,
    /// The proxy between the instance and the store.
    pub store_proxy: Proxy,
    /// The address that callers connect to; unchanged by restarts.
    pub callers_address: SocketAddr,
    /// Number of kills, pauses and faults of the store proxy. Requests lost during a disturbance
    /// aren't counted as lost by a planned stop.
    pub disturbance_count: AtomicU64,
    /// When the process could not be expected to finish what it had begun: from a kill to the
    /// restart, while the process was paused, and at the end of the grace period of a planned stop.
    pub interruptions: DisturbanceLog,
    /// Further times at which the machine was not in touch: after a signal to stop, and while its way to the store was
    /// disturbed.
    pub out_of_touch: DisturbanceLog,
    /// Times at which the process was killed.
    killed_at: Mutex<Vec<Instant>>,
    /// Number of restarts of the process.
    pub incarnation: AtomicU64,
}

impl SoakInstance {
    /// Locks the process. Callers hold the lock briefly, since other threads signal the process while
    /// it terminates.
    pub fn process(&self) -> MutexGuard<'_, InstanceProcess> {
        self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_killed_at(&self) -> MutexGuard<'_, Vec<Instant>> {
        self.killed_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the process was killed at some time from `from` to `until`.
    pub fn was_killed(&self, from: Instant, until: Instant) -> bool {
        let mut killed_at = self.lock_killed_at().clone().into_iter();
        killed_at.any(|at| (from..=until).contains(&at))
    }

    /// Returns whether the machine was in touch throughout the time from `from` to `until`.
    pub fn was_in_touch(&self, from: Instant, until: Instant) -> bool {
        !self.interruptions.overlaps(from, until) && !self.out_of_touch.overlaps(from, until)
    }

    /// Records a disturbance other than a planned stop.
    pub fn record_disturbance(&self) {
        self.disturbance_count.fetch_add(1, Ordering::AcqRel);
    }

    /// Terminates the process with a signal and starts it again. The process may break off requests
    /// once `protected` has passed.
    fn restart(&self, signal: Signal, protected: Duration) {
        let _restart_guard = self
            .restarting
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let interruption = self.interruptions.begin(Instant::now() + protected);
        if signal == Signal::KILL {
            self.lock_killed_at().push(Instant::now());
        }
        let stopping = self.out_of_touch.begin(Instant::now());
        self.process().signal(signal);
        while matches!(self.process().child.try_wait(), Ok(None)) {
            std::thread::sleep(POLL_INTERVAL);
        }
        self.incarnation.fetch_add(1, Ordering::AcqRel);
        let restarted = self.process().restart();
        restarted.expect("restarting the instance");
        self.interruptions.end(interruption);
        self.out_of_touch.end(stopping);
    }

    /// Stops the process with SIGTERM and starts it again.
    pub fn stop_as_planned(&self) {
        self.restart(Signal::TERM, Duration::from_secs_f64(GRACE_S - GRACE_END_S));
    }

    /// Kills the process and starts it again.
    pub fn kill(&self) {
        self.record_disturbance();
        self.restart(Signal::KILL, Duration::ZERO);
        self.record_disturbance();
    }

    /// Waits until the process has exited, and returns its exit code. Others may signal the process meanwhile: one
    /// that is paused exits only after it was resumed.
    fn wait_for_exit(&self) -> Option<i32> {
        loop {
            let exited = self.process().child.try_wait();
            match exited {
                Ok(None) => std::thread::sleep(POLL_INTERVAL),
                Ok(Some(status)) => return status.code(),
                Err(_) => return None,
            }
        }
    }

    /// Signals the process if it has not exited; the id of a process that has may be another one's.
    fn signal_running(&self, signal: Signal) {
        let mut process = self.process();
        if matches!(process.child.try_wait(), Ok(None)) {
            process.signal(signal);
        }
    }

    /// Pauses the process with SIGSTOP for this time.
    pub fn pause(&self, duration: Duration) {
        let interruption = self.interruptions.begin(Instant::now());
        self.process().signal(Signal::STOP);
        std::thread::sleep(duration);
        self.process().signal(Signal::CONT);
        self.interruptions.end(interruption);
    }
}

/// An engine behind a proxy.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Number of engines started before this one.
    pub number: usize,
    /// The model server.
    pub server: ModelServer,
    /// The proxy between the instances and the engine.
    pub proxy: Proxy,
    /// Whether another engine replaces the engine, which has crashed or leaves for good.
    is_replaced: Arc<AtomicBool>,
    /// When the proxy had a fault, and when its connections were reset.
    pub proxy_disturbances: Arc<DisturbanceLog>,
}

impl Engine {
    /// Injects faults into the proxy.
    pub fn disturb_proxy(&self, faults: ProxyFaults) {
        self.proxy_disturbances.begin(Instant::now());
        self.proxy.set_faults(faults);
    }

    /// Resets the proxy's connections.
    pub fn reset_proxy(&self) {
        let reset = self.proxy_disturbances.begin(Instant::now());
        self.proxy.reset_connections();
        self.proxy_disturbances.end(reset);
    }

    /// Ends the proxy's faults.
    fn clear_proxy(&self) {
        self.proxy.set_faults(ProxyFaults::default());
        // Silenced connections stay silent until they are reset.
        self.reset_proxy();
        self.proxy_disturbances.end_all();
    }
}

/// The streams of all engines.
#[derive(Debug, Clone)]
struct EngineStreams {
    shape: StreamShape,
    event_delay: Duration,
    failures: Arc<FailureSpans>,
}

/// The whole system under test.
#[derive(Debug)]
pub struct SoakCluster {
    /// The metadata store.
    pub store: MetadataStandIn,
    /// The instances.
    pub instances: Vec<Arc<SoakInstance>>,
    /// The plain servers.
    pub plain_servers: Vec<RestartingPlain>,
    /// When the store was wrong, silent, slow to answer or returned from an older copy.
    pub store_disturbances: DisturbanceLog,
    /// The silences of servers.
    pub silences: Arc<Silences>,
    /// The times in which all servers fail most requests.
    pub failures: Arc<FailureSpans>,
    /// The crashing requests that callers repeat.
    pub culprits: CulpritCycle,
    /// How much the callers send.
    pub phase: Arc<CurrentPhase>,
    streams: EngineStreams,
    engines: Arc<Mutex<Vec<Engine>>>,
    version: AtomicU64,
    /// Number of software versions of engines so far.
    software_count: AtomicU64,
    /// Number of faults that go on in the background.
    background_count: Arc<AtomicUsize>,
    /// When all instances were killed at once.
    instances_lost_at: Mutex<Vec<Instant>>,
    /// Versions whose keys were revoked, with the time at which the store had accepted the revocation.
    revoked_keys: Mutex<BTreeMap<u64, Instant>>,
    publishing: Mutex<()>,
    is_stopped: Arc<AtomicBool>,
}

/// Returns whether a plain server sheds the request, i.e. refuses it without executing it.
fn is_shed(received: &Received, failures: &FailureSpans) -> bool {
    received.number % 11 == 5 || failures.failure(received) == Some(Failure::Refused)
}

/// Returns how a plain server answers a request; `None` if it closes the connection instead.
fn plain_answer(received: &Received, failures: &FailureSpans) -> Option<PlainAnswer> {
    if failures.failure(received) == Some(Failure::Closed) {
        return None;
    }
    match received.number {
        number if number % 9 == 4 => None,
        number if number % 8 == 2 => Some(PlainAnswer::Unframed),
        number if number % 8 == 6 => Some(PlainAnswer::UnframedReset),
        _ => Some(PlainAnswer::Framed),
    }
}

/// What becomes of the ports of plain servers that end: a server of several threads, its supervisor and its machine
/// close them in any order.
const PLAIN_PORTS: [PortEnd; 4] = [
    PortEnd::Before,
    PortEnd::After(Duration::from_millis(2)),
    PortEnd::StaysOpen,
    PortEnd::After(Duration::from_millis(30)),
];

/// Starts a plain server that answers with the request's id. It sheds some requests, closes the
/// connection of others after executing them, and sends some answers without a length, of which it
/// breaks off every second one.
fn plain_server(
    store: &MetadataStandIn,
    number: usize,
    failures: Arc<FailureSpans>,
) -> RestartingPlain {
    let restarts = Restarts {
        crash_prefix: POISON.to_owned(),
        port: PLAIN_PORTS[number % PLAIN_PORTS.len()],
        delay: PLAIN_RESTART_DELAY,
    };
    RestartingPlain::start(store, &format!("p-{number}"), restarts, move |received| {
        let id = received.header("request-id").unwrap_or_default();
        if is_shed(received, &failures) {
            let text = format!(
                "HTTP/1.1 503 X\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return vec![Step::Send(text.into_bytes())];
        }
        let Some(how) = plain_answer(received, &failures) else {
            return vec![Step::Pause(CALL_DURATION), Step::Close];
        };
        let mut steps = vec![Step::Pause(CALL_DURATION)];
        steps.extend(echo_steps(received, how));
        steps
    })
}

/// Returns the run of a request at a plain server.
fn plain_run(received: &Received, failures: &FailureSpans, ended: Option<EndedScript>) -> Run {
    let is_whole = matches!(
        plain_answer(received, failures),
        Some(PlainAnswer::Framed | PlainAnswer::Unframed)
    );
    let end = |ended: EndedScript| (RunEnd::of_script(ended.end, !is_whole), ended.ended_at);
    Run {
        id: received.header("request-id").unwrap_or_default().to_owned(),
        began_at: received.arrived_at,
        end: ended.map(end),
    }
}

/// Returns the faults that engines always have: streams take some time, and the poison request
/// crashes the engine. Every second engine runs under a supervisor: its port stays open, and it
/// restarts under the same id. Every third one sends all answers with neither a length nor chunks.
fn default_engine_faults(number: usize, event_delay: Duration) -> EngineFaults {
    EngineFaults {
        crash_on_prefix: Some(POISON.to_owned()),
        crash_on_parts: (0..CRASHING_PARTS).map(crashing_part).collect(),
        restart_delay: (number % 2 == 1).then_some(SUPERVISED_RESTART_DELAY),
        event_delay,
        is_unframed: number % 3 == 2,
        ..EngineFaults::default()
    }
}

/// Returns the name of the software version with this number, from 1 on.
fn software_name(number: u64) -> String {
    format!("v{number}")
}

fn start_engine(
    store: &MetadataStandIn,
    number: usize,
    software: &str,
    streams: &EngineStreams,
) -> Engine {
    let id = format!("i-{number}");
    let loaded = [MODELS[number % 2], MODELS[2 + number % 3]];
    let models = InitialModels {
        capacity: loaded.len(),
        loaded: &loaded,
        on_disk: &MODELS,
    };
    let mut way = None;
    let server = ModelServer::start_unpublished(store, &id, "engines", models, |address| {
        way.insert(Proxy::start(address)).address
    });
    server.set_faults(default_engine_faults(number, streams.event_delay));
    server.set_stream_shape(streams.shape);
    server.set_software(software);
    server.set_failures(streams.failures.clone());
    server.publish_entry("ready");
    Engine {
        number,
        is_replaced: Arc::default(),
        proxy_disturbances: Arc::default(),
        proxy: way.unwrap_or_else(|| Proxy::start(server.address)),
        server,
    }
}

impl SoakCluster {
    /// Starts all stand-ins and instances, and waits until all instances are ready.
    pub fn start(plan: &SoakPlan) -> Result<Self> {
        let store = MetadataStandIn::default();
        store.put("op/config", &with_keys(1, configuration(1, &MODELS)));
        let failures: Arc<FailureSpans> = Arc::default();
        let plain_servers = 0..plan.plain_servers;
        let plain_servers =
            plain_servers.map(|number| plain_server(&store, number, failures.clone()));
        let plain_servers = plain_servers.collect();
        let streams = EngineStreams {
            shape: plan.shape,
            event_delay: plan.event_delay,
            failures: failures.clone(),
        };
        let start = |number| start_engine(&store, number, FIRST_SOFTWARE, &streams);
        let engines = (0..plan.engines).map(start);
        let engines: Arc<Mutex<Vec<Engine>>> = Arc::new(Mutex::new(engines.collect()));
        let instances: Result<Vec<Arc<SoakInstance>>> = (0..plan.instances)
            .map(|number| start_instance(plan, &store, number))
            .collect();
        let cluster = Self {
            store,
            instances: instances?,
            plain_servers,
            store_disturbances: DisturbanceLog::default(),
            silences: Arc::default(),
            failures,
            culprits: CulpritCycle::default(),
            phase: Arc::default(),
            streams,
            engines,
            version: AtomicU64::new(1),
            software_count: AtomicU64::new(1),
            background_count: Arc::default(),
            instances_lost_at: Mutex::default(),
            revoked_keys: Mutex::default(),
            publishing: Mutex::default(),
            is_stopped: Arc::default(),
        };
        cluster.replace_crashed();
        ensure!(
            cluster.wait_until_ready(),
            "the instances did not become ready in time"
        );
        cluster.throttle(plan.throttled);
        Ok(cluster)
    }

    /// Returns the requests that reached plain servers, without queries for their identity.
    pub fn plain_arrivals(&self) -> Vec<PlainArrival> {
        let servers = self.plain_servers.iter();
        servers.flat_map(RestartingPlain::arrivals).collect()
    }

    /// Returns whether a plain server refused the request without executing it.
    pub fn is_shed(&self, arrival: &PlainArrival) -> bool {
        arrival.backoff.is_some() || is_shed(&arrival.received, &self.failures)
    }

    /// Returns the requests that plain servers executed, each with the id of its server.
    pub fn plain_runs(&self) -> Vec<(String, Run)> {
        let arrivals = self.plain_arrivals().into_iter();
        let executed = arrivals.filter(|arrival| !self.is_shed(arrival));
        let runs = executed.map(|arrival| {
            let run = plain_run(&arrival.received, &self.failures, arrival.ended);
            (arrival.server, run)
        });
        runs.collect()
    }

    /// Returns all servers so far, plain ones first.
    pub fn silenceable_servers(&self) -> Vec<SilenceableServer> {
        let plain = self.plain_servers.iter();
        let plain = plain.map(|server| SilenceableServer {
            id: server.id().to_owned(),
            listener: server.listener(),
        });
        let engines = self.engines().into_iter().map(|engine| SilenceableServer {
            id: engine.server.id.clone(),
            listener: engine.server.listener().clone(),
        });
        plain.chain(engines).collect()
    }

    /// Returns all engines so far, crashed ones included.
    pub fn engines(&self) -> Vec<Engine> {
        let engines = self.engines.lock().unwrap_or_else(PoisonError::into_inner);
        engines.clone()
    }

    /// Returns the faults that the engine with this number always has.
    pub fn engine_faults(&self, number: usize) -> EngineFaults {
        default_engine_faults(number, self.streams.event_delay)
    }

    /// Returns the engines that no other one replaces, crashed ones included.
    pub fn staying_engines(&self) -> Vec<Engine> {
        // Under the lock, an engine is marked and its replacement added.
        let engines = self.engines.lock().unwrap_or_else(PoisonError::into_inner);
        let staying = engines
            .iter()
            .filter(|engine| !engine.is_replaced.load(Ordering::Acquire));
        staying.cloned().collect()
    }

    /// Returns the engines that no other one replaces and that have not crashed for good.
    pub fn living_engines(&self) -> Vec<Engine> {
        let mut engines = self.staying_engines();
        engines.retain(|engine| !engine.server.has_crashed());
        engines
    }

    /// Returns the name of a software version that no engine has had.
    pub fn next_software(&self) -> String {
        let number = self.software_count.fetch_add(1, Ordering::AcqRel) + 1;
        software_name(number)
    }

    /// Returns the name of one of the software versions so far, selected by a random number.
    pub fn known_software(&self, random: u64) -> String {
        software_name(1 + random % self.software_count.load(Ordering::Acquire))
    }

    /// Returns the names of all software versions so far.
    pub fn all_software(&self) -> Vec<String> {
        let count = self.software_count.load(Ordering::Acquire);
        (1..=count).map(software_name).collect()
    }

    /// Starts an engine of this software version for each of `old`, which are to leave.
    pub fn start_replacements(&self, old: &[Engine], software: &str) {
        let mut engines = self.engines.lock().unwrap_or_else(PoisonError::into_inner);
        for engine in old {
            engine.is_replaced.store(true, Ordering::Release);
            let number = engines.len();
            engines.push(start_engine(&self.store, number, software, &self.streams));
        }
    }

    /// Kills instances, each this time after the first, while the others may be down too.
    pub fn kill_overlapping(&self, kills: &[(usize, Duration)]) {
        if kills.len() == self.instances.len() && kills.iter().all(|(_, after)| after.is_zero()) {
            self.instances_lost_at().push(Instant::now());
        }
        std::thread::scope(|scope| {
            for (number, after) in kills {
                scope.spawn(|| {
                    std::thread::sleep(*after);
                    self.instances[*number].kill();
                });
            }
        });
    }

    /// Returns the times at which all instances were killed at once.
    pub fn instances_lost_at(&self) -> MutexGuard<'_, Vec<Instant>> {
        let lost_at = self.instances_lost_at.lock();
        lost_at.unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs a fault in a thread of its own.
    pub fn in_background(self: &Arc<Self>, fault: impl FnOnce(&Self) + Send + 'static) {
        let cluster = self.clone();
        self.background_count.fetch_add(1, Ordering::AcqRel);
        std::thread::spawn(move || {
            fault(&cluster);
            cluster.background_count.fetch_sub(1, Ordering::AcqRel);
        });
    }

    /// Waits until no fault goes on in the background, each crashed engine is replaced and no other one
    /// announces that it leaves, then
    /// ends all faults and waits until all instances are ready. Returns whether this came about
    /// within the timeouts.
    pub fn settle(&self) -> bool {
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        let is_busy = || {
            let engines = self.staying_engines();
            self.background_count.load(Ordering::Acquire) > 0
                || engines
                    .iter()
                    .any(|Engine { server, .. }| server.is_leaving() || server.has_crashed())
        };
        while is_busy() {
            if Instant::now() >= deadline {
                return false;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        self.clear_faults();
        self.wait_until_ready()
    }

    /// Returns the newest version of the configuration.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::Acquire)
    }

    /// Writes the next version of the configuration to the store. It adds a route, by which callers
    /// detect that the version is in effect, introduces an API key and revokes an old one.
    pub fn publish_next_version(&self) {
        let _publishing = self.lock_publishing();
        let version = self.version() + 1;
        self.publish_version(version);
        let mut revoked_keys = self.revoked_keys();
        revoked_keys.insert(version.saturating_sub(2), Instant::now());
        drop(revoked_keys);
        // Callers use the new version from now on, even if an instance doesn't know it yet.
        self.version.store(version, Ordering::Release);
    }

    /// While this is held, the operator writes nothing else.
    fn lock_publishing(&self) -> MutexGuard<'_, ()> {
        self.publishing
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn publish_version(&self, version: u64) {
        let mut document = configuration(version, &MODELS);
        let template = document["routes"][0].clone();
        if let Some(routes) = document["routes"].as_array_mut() {
            for number in 2..=version {
                let mut route = template.clone();
                route["name"] = json!(format!("v{number}"));
                route["host"] = json!(HOST);
                route["prefix"] = json!(format!("/v{number}/"));
                routes.push(route);
            }
        }
        self.store.put("op/config", &with_keys(version, document));
    }

    /// Returns the versions whose keys were revoked, each with the time at which the store had
    /// accepted the revocation.
    pub fn revoked_keys(&self) -> MutexGuard<'_, BTreeMap<u64, Instant>> {
        let revoked_keys = self.revoked_keys.lock();
        revoked_keys.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the store from a copy. The operator and the engines write again what the copy lacks,
    /// and entries of engines that have been replaced since are gone.
    pub fn return_store(&self, copy: &StoreCopy) {
        let _publishing = self.lock_publishing();
        let engines = self.engines();
        self.store.return_from(copy);
        self.plain_servers
            .iter()
            .for_each(RestartingPlain::publish_entry);
        let moment = self.store_disturbances.begin(Instant::now());
        self.store_disturbances.end(moment);
        for engine in &engines {
            if engine.server.has_crashed() || engine.server.has_left() {
                self.store.remove(&format!("servers/{}", engine.server.id));
            } else {
                engine.server.publish_entry("ready");
            }
        }
        self.publish_version(self.version());
    }

    /// Waits until all instances are ready; returns false after a timeout of 2 min.
    pub fn wait_until_ready(&self) -> bool {
        let deadline = Instant::now() + START_TIMEOUT;
        self.instances.iter().all(|instance| {
            while Instant::now() < deadline {
                // Not under the lock: a paused process answers only after another thread has resumed it.
                let address = instance.process().readiness_address;
                if readiness_status(address) == Some(200) {
                    return true;
                }
                std::thread::sleep(POLL_INTERVAL);
            }
            false
        })
    }

    /// Starts a thread that lets the first `count` instances run for a part of the time only.
    fn throttle(&self, count: usize) {
        let (throttled, is_stopped) = (self.instances[..count].to_vec(), self.is_stopped.clone());
        if throttled.is_empty() {
            return;
        }
        for instance in &throttled {
            instance.interruptions.begin(Instant::now());
        }
        std::thread::spawn(move || {
            for phase in (0..THROTTLE_PHASES).cycle() {
                let is_stopped = is_stopped.load(Ordering::Acquire);
                for (number, instance) in throttled.iter().enumerate() {
                    let runs = is_stopped || number % THROTTLE_PHASES == phase;
                    instance.signal_running(if runs { Signal::CONT } else { Signal::STOP });
                }
                if is_stopped {
                    break;
                }
                std::thread::sleep(THROTTLE_PHASE);
            }
        });
    }

    /// Starts a thread that replaces each crashed engine: it removes the engine's store entry and
    /// starts another engine.
    fn replace_crashed(&self) {
        let streams = self.streams.clone();
        let (store, engines, is_stopped) = (
            self.store.clone(),
            self.engines.clone(),
            self.is_stopped.clone(),
        );
        std::thread::spawn(move || {
            let mut replaced = BTreeSet::new();
            while !is_stopped.load(Ordering::Acquire) {
                std::thread::sleep(POLL_INTERVAL);
                let current = engines
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .clone();
                let crashed_engines = current.iter().filter(|engine| engine.server.has_crashed());
                for engine in crashed_engines {
                    if !replaced.insert(engine.number) {
                        continue;
                    }
                    engine.proxy.set_faults(ProxyFaults {
                        refuses_connections: true,
                        ..ProxyFaults::default()
                    });
                    std::thread::sleep(STALE_ENTRY_DURATION);
                    store.remove(&format!("servers/{}", engine.server.id));
                    let mut current = engines.lock().unwrap_or_else(PoisonError::into_inner);
                    if engine.is_replaced.swap(true, Ordering::AcqRel) {
                        continue;
                    }
                    let software = engine.server.software();
                    let replacement = start_engine(&store, current.len(), &software, &streams);
                    current.push(replacement);
                }
            }
        });
    }

    /// Ends all injected faults and resumes stopped processes.
    pub fn clear_faults(&self) {
        self.store.set_faults(StoreFaults::default());
        self.store_disturbances.end_all();
        for instance in &self.instances {
            instance.store_proxy.set_faults(ProxyFaults::default());
            instance.out_of_touch.end_all();
            // Silenced connections stay silent, so they are closed; new connections work.
            instance.store_proxy.reset_connections();
            instance.process().signal(Signal::CONT);
        }
        for engine in self.engines() {
            engine.server.set_faults(self.engine_faults(engine.number));
            if !engine.server.has_crashed() && !engine.server.has_left() {
                engine.clear_proxy();
            }
        }
        self.failures.end();
        for server in &self.plain_servers {
            server.set_backoff(None);
        }
        self.phase.set(Phase::Usual);
        self.silences.end_all(&self.silenceable_servers());
    }

    /// Stops all instances with SIGTERM, as the platform does, and checks their exit codes.
    pub fn stop(&self, report: &mut SoakReport) {
        self.is_stopped.store(true, Ordering::Release);
        for instance in &self.instances {
            let _restart_guard = instance
                .restarting
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let bytes = instance.process().resident_bytes();
            report.peak_bytes = report.peak_bytes.max(bytes);
            instance.process().signal(Signal::TERM);
        }
        for (number, instance) in self.instances.iter().enumerate() {
            let exit_code = instance.wait_for_exit();
            if exit_code != Some(0) {
                let broken = format!("instance {number} exited with {exit_code:?} after SIGTERM");
                report.broken.push(broken);
            }
        }
    }
}

/// The arguments with which an instance logs each retry that it spends, where retries are short.
fn log_arguments(plan: &SoakPlan) -> Vec<String> {
    let options = plan
        .disturbance
        .retry_cycle()
        .map(|_| ["--log-level=debug", "--log-lines-per-s=5000"]);
    options.into_iter().flatten().map(str::to_owned).collect()
}

fn start_instance(
    plan: &SoakPlan,
    store: &MetadataStandIn,
    number: usize,
) -> Result<Arc<SoakInstance>> {
    let store_proxy = Proxy::start(store.serve());
    let name = format!("soak{}-{number}", plan.seed);
    let process = InstanceProcess::start(ProcessConfig {
        executable: plan.executable.clone(),
        output: Output::File(plan.log_dir.join(format!("{name}.log"))),
        name,
        store: store_proxy.address,
        grace_s: GRACE_S,
        arguments: log_arguments(plan),
    })?;
    Ok(Arc::new(SoakInstance {
        callers_address: process.callers_address,
        process: Mutex::new(process),
        restarting: Mutex::default(),
        store_proxy,
        disturbance_count: AtomicU64::new(0),
        interruptions: DisturbanceLog::default(),
        out_of_touch: DisturbanceLog::default(),
        killed_at: Mutex::default(),
        incarnation: AtomicU64::new(0),
    }))
}
