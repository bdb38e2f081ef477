//! The processes, the stand-ins and the ways between them.

use super::{SoakPlan, SoakReport};
use crate::platform::caller::HOST;
use crate::platform::documents::{configuration, list_plain, with_workspaces, workspace};
use crate::platform::model_server::{Faults as EngineFaults, InitialModels, ModelServer};
use crate::platform::process::{InstanceProcess, Output, ProcessConfig};
use crate::platform::proxy::{Proxy, ProxyFaults};
use crate::platform::raw::{RawServer, Received, Step};
use crate::platform::store::{Faults as StoreFaults, MetadataStandIn};
use anyhow::{Result, ensure};
use passway_types::prelude::*;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The models; each engine begins with two of them.
pub const MODELS: [&str; 5] = ["m0", "m1", "m2", "m3", "m4"];
/// The key of a workspace that may use little.
pub const SMALL_KEY: &str = "soak-key-small";
/// Units a second that it may use, and as many at once: ten calls.
pub const SMALL_RATE_PER_S: u32 = 2_000;
/// What a call counts.
pub const UNITS_PER_CALL: u32 = 200;

/// The key that a version brings; the next one keeps it, and the one after takes it away.
pub fn key_of_version(version: u64) -> String {
    format!("soak-key-{version}")
}

/// A version's workspaces.
fn with_keys(version: u64, table: Value) -> Value {
    let (new, old) = (
        key_of_version(version),
        key_of_version(version.saturating_sub(1)),
    );
    let workspaces = [
        workspace("large", &[&new, &old], 0.0),
        workspace("small", &[SMALL_KEY], f64::from(SMALL_RATE_PER_S)),
    ];
    with_workspaces(table, &workspaces)
}

/// The body that crashes engines, if they are told so.
pub const POISON: &str = "poison";
/// Time from SIGTERM to the end, in seconds: the shortest that leaves time between the
/// balancer's notice and the end.
const GRACE_S: f64 = 4.5;
/// Longest wait for instances to serve: a busy machine starts dozens of processes in seconds.
const START_TIMEOUT: Duration = Duration::from_mins(2);
/// Time that a plain server works on a call, so that stops and kills find some under way.
const CALL_DURATION: Duration = Duration::from_millis(15);
/// Time between two events of a stream, for the same reason.
const EVENT_DELAY: Duration = Duration::from_millis(20);
/// Pause between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// A supervised engine serves again this long after a crash.
const SUPERVISED_RESTART_DELAY: Duration = Duration::from_millis(800);
/// An engine's entry stays for so long after its crash; another engine comes then.
const STALE_ENTRY_DURATION: Duration = Duration::from_millis(1_500);

/// One instance and its way to the store.
#[derive(Debug)]
pub struct SoakInstance {
    program: Mutex<InstanceProcess>,
    /// Held by whoever ends the process and starts it again.
    restarting: Mutex<()>,
    /// Its way to the store.
    pub store_proxy: Proxy,
    /// Where callers connect; the same after each start.
    pub callers_address: SocketAddr,
    /// How many times it was killed, paused or cut: what callers lose then is not a stop's.
    pub disturbance_count: AtomicU64,
    /// Lives of the process so far.
    pub incarnation: AtomicU64,
}

impl SoakInstance {
    /// The process, for a moment: others signal it while it ends.
    pub fn program(&self) -> MutexGuard<'_, InstanceProcess> {
        self.program.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Something other than a planned stop happens to it.
    pub fn record_disturbance(&self) {
        self.disturbance_count.fetch_add(1, Ordering::AcqRel);
    }

    /// Ends it by a signal and starts it again.
    pub fn restart(&self, signal: Signal) {
        let _alone = self
            .restarting
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        self.program().signal(signal);
        while matches!(self.program().child.try_wait(), Ok(None)) {
            std::thread::sleep(POLL_INTERVAL);
        }
        self.incarnation.fetch_add(1, Ordering::AcqRel);
        let again = self.program().restart();
        again.expect("an instance that starts again");
    }

    /// Kills it and starts it again.
    pub fn kill(&self) {
        self.record_disturbance();
        self.restart(Signal::KILL);
        self.record_disturbance();
    }
}

/// An engine behind its way.
#[derive(Debug, Clone)]
pub struct Engine {
    /// How many were started before it.
    pub number: usize,
    /// The engine.
    pub server: ModelServer,
    /// The way to it.
    pub proxy: Proxy,
    /// Whether anything has happened to that: what it answers may not have been heard.
    pub proxy_was_disturbed: Arc<AtomicBool>,
}

/// All of it.
#[derive(Debug)]
pub struct SoakCluster {
    /// The store.
    pub store: MetadataStandIn,
    /// The instances.
    pub instances: Vec<Arc<SoakInstance>>,
    /// Plain servers.
    pub plains: Vec<RawServer>,
    engines: Arc<Mutex<Vec<Engine>>>,
    version: AtomicU64,
    /// Versions whose keys were taken away, and when the store had taken that.
    taken_away: Mutex<BTreeMap<u64, Instant>>,
    ended: Arc<AtomicBool>,
}

/// Whether a plain server refuses the request, which does not run then.
pub fn is_shed(received: &Received) -> bool {
    received.number % 11 == 5
}

/// A plain server that says whose request it answers. It sheds some, and breaks off others
/// that have run.
fn plain_server() -> RawServer {
    RawServer::start(|received| {
        let id = received.header("request-id").unwrap_or_default();
        if is_shed(received) {
            let text = format!(
                "HTTP/1.1 503 X\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return vec![Step::Send(text.into_bytes())];
        }
        if received.number % 9 == 4 {
            return vec![Step::Pause(CALL_DURATION), Step::Close];
        }
        let length = id.len();
        let text = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\nContent-Length: {length}\r\n\r\n{id}"
        );
        vec![Step::Pause(CALL_DURATION), Step::Send(text.into_bytes())]
    })
}

/// What engines do while nothing fails: their streams last, and one request crashes them. Every second one
/// is kept by a supervisor, so that its port stays open and it starts again under its id.
pub fn default_engine_faults(number: usize) -> EngineFaults {
    EngineFaults {
        crash_on_prefix: Some(POISON.to_owned()),
        restart_delay: (number % 2 == 1).then_some(SUPERVISED_RESTART_DELAY),
        event_delay: EVENT_DELAY,
        ..EngineFaults::default()
    }
}

fn start_engine(store: &MetadataStandIn, number: usize) -> Engine {
    let id = format!("i-{number}");
    let standing = [MODELS[number % 2], MODELS[2 + number % 3]];
    let models = InitialModels {
        capacity: standing.len(),
        loaded: &standing,
        on_disk: &MODELS,
    };
    let mut way = None;
    let server = ModelServer::start_behind(store, &id, "engines", models, |address| {
        way.insert(Proxy::start(address)).address
    });
    server.set_faults(default_engine_faults(number));
    Engine {
        number,
        proxy_was_disturbed: Arc::default(),
        proxy: way.unwrap_or_else(|| Proxy::start(server.address)),
        server,
    }
}

impl SoakCluster {
    /// Starts everything and waits until all instances are ready.
    pub fn start(plan: &SoakPlan) -> Result<Self> {
        let store = MetadataStandIn::default();
        store.put("op/config", &with_keys(1, configuration(1, &MODELS)));
        let plains = vec![plain_server(), plain_server()];
        for (number, server) in plains.iter().enumerate() {
            list_plain(&store, &format!("p-{number}"), server.address, "ready");
        }
        let engines = (0..plan.engines).map(|number| start_engine(&store, number));
        let engines: Arc<Mutex<Vec<Engine>>> = Arc::new(Mutex::new(engines.collect()));
        let sites: Result<Vec<Arc<SoakInstance>>> = (0..plan.instances)
            .map(|number| start_site(plan, &store, number))
            .collect();
        let world = Self {
            store,
            instances: sites?,
            plains,
            engines,
            version: AtomicU64::new(1),
            taken_away: Mutex::default(),
            ended: Arc::default(),
        };
        world.replace_crashed();
        ensure!(
            world.wait_until_ready(),
            "the instances do not become ready"
        );
        Ok(world)
    }

    /// Engines that were there, those that crashed among them.
    pub fn engines(&self) -> Vec<Engine> {
        let engines = self.engines.lock().unwrap_or_else(PoisonError::into_inner);
        engines.clone()
    }

    /// The newest version of the configuration.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::Acquire)
    }

    /// The operator adds a route, by which callers see that the version is in force.
    pub fn publish_next_version(&self) {
        let version = self.version() + 1;
        let mut table = configuration(version, &MODELS);
        let pattern = table["routes"][0].clone();
        if let Some(routes) = table["routes"].as_array_mut() {
            for added in 2..=version {
                let mut route = pattern.clone();
                route["name"] = json!(format!("v{added}"));
                route["host"] = json!(HOST);
                route["prefix"] = json!(format!("/v{added}/"));
                routes.push(route);
            }
        }
        self.store.put("op/config", &with_keys(version, table));
        let mut taken_away = self.revoked_keys();
        taken_away.insert(version.saturating_sub(2), Instant::now());
        drop(taken_away);
        // Callers ask for it from now on; an instance may not know it yet.
        self.version.store(version, Ordering::Release);
    }

    /// Versions whose keys were taken away, and when the store had taken that.
    pub fn revoked_keys(&self) -> MutexGuard<'_, BTreeMap<u64, Instant>> {
        let taken_away = self.taken_away.lock();
        taken_away.unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until all instances are ready; whether they are.
    pub fn wait_until_ready(&self) -> bool {
        let limit_at = Instant::now() + START_TIMEOUT;
        self.instances.iter().all(|site| {
            while Instant::now() < limit_at {
                if site.program().readiness_status() == Some(200) {
                    return true;
                }
                std::thread::sleep(POLL_INTERVAL);
            }
            false
        })
    }

    /// Another engine comes for each that crashes, and the entry of that one goes.
    fn replace_crashed(&self) {
        let (store, engines, ended) =
            (self.store.clone(), self.engines.clone(), self.ended.clone());
        std::thread::spawn(move || {
            let mut replaced = 0;
            while !ended.load(Ordering::Acquire) {
                std::thread::sleep(POLL_INTERVAL);
                let all = engines
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .clone();
                let crashed = all.iter().filter(|engine| engine.server.has_crashed());
                for engine in crashed.skip(replaced) {
                    engine.proxy.set_faults(ProxyFaults {
                        refuses_connections: true,
                        ..ProxyFaults::default()
                    });
                    std::thread::sleep(STALE_ENTRY_DURATION);
                    store.remove(&format!("servers/{}", engine.server.id));
                    let mut all = engines.lock().unwrap_or_else(PoisonError::into_inner);
                    let another = start_engine(&store, all.len());
                    all.push(another);
                    replaced += 1;
                }
            }
        });
    }

    /// Nothing fails any more.
    pub fn clear_faults(&self) {
        self.store.set_faults(StoreFaults::default());
        for site in &self.instances {
            site.store_proxy.set_faults(ProxyFaults::default());
            // Connections that had gone silent stay so; new ones work.
            site.store_proxy.reset_connections();
            site.program().signal(Signal::CONT);
        }
        for engine in self.engines() {
            engine
                .server
                .set_faults(default_engine_faults(engine.number));
            if !engine.server.has_crashed() {
                engine.proxy.set_faults(ProxyFaults::default());
                engine.proxy.reset_connections();
            }
        }
    }

    /// Stops all instances as the platform does.
    pub fn stop(&self, report: &mut SoakReport) {
        self.ended.store(true, Ordering::Release);
        for site in &self.instances {
            let _alone = site
                .restarting
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let bytes = site.program().resident_bytes();
            report.peak_bytes = report.peak_bytes.max(bytes);
            site.program().signal(Signal::TERM);
        }
        for (number, site) in self.instances.iter().enumerate() {
            let code = site.program().child.wait().ok().and_then(|s| s.code());
            if code != Some(0) {
                let broken = format!("instance {number} ended with {code:?} at its stop");
                report.broken.push(broken);
            }
        }
    }
}

fn start_site(
    plan: &SoakPlan,
    store: &MetadataStandIn,
    number: usize,
) -> Result<Arc<SoakInstance>> {
    let store_proxy = Proxy::start(store.serve());
    let name = format!("soak{}-{number}", plan.seed);
    let program = InstanceProcess::start(ProcessConfig {
        executable: plan.executable.clone(),
        output: Output::File(plan.log_dir.join(format!("{name}.log"))),
        name,
        store: store_proxy.address,
        grace_s: GRACE_S,
        arguments: Vec::new(),
    })?;
    Ok(Arc::new(SoakInstance {
        callers_address: program.callers_address,
        program: Mutex::new(program),
        restarting: Mutex::default(),
        store_proxy,
        disturbance_count: AtomicU64::new(0),
        incarnation: AtomicU64::new(0),
    }))
}
