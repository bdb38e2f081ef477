//! Callers that send random requests and record the answers.

use super::SoakPlan;
use super::cluster::{
    CRASHING_PART, CRASHING_PART_BODY, MODELS, POISON, SMALL_KEY, SoakCluster, SoakInstance,
    key_of_version,
};
use crate::platform::caller::{Answer, Caller, request};
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;

/// Maximum pause of a caller between two requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 60;
/// One in this many streaming requests is a poison request, which crashes the engine that executes
/// it.
const ONE_POISON_IN: u32 = 15;
/// One in this many other streaming requests has the part that crashes engines; no two are alike.
const ONE_CRASHING_PART_IN: u32 = 10;
/// Number of parts of which each sound prompt has one in the second place.
const SECOND_PARTS: u32 = 9;
/// Probability that a caller reuses its open connection.
const REUSE_PROBABILITY: f64 = 0.9;

/// The kind of a request. The variants' names appear in the descriptions of violations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A call that may be executed at most once.
    Once,
    /// An idempotent call, which may be executed again.
    Again,
    /// A stream that another engine may resume.
    Resumable,
    /// A stream that may be executed at most once.
    Stream,
    /// A call to the route that this version of the configuration added.
    Version(u64),
}

/// A request and its answer.
#[derive(Debug, Clone)]
pub struct Record {
    /// Id of the request.
    pub id: String,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Index of the instance in the cluster.
    pub instance: usize,
    /// Incarnation of the process that the request was sent to; `None` if the process was restarted
    /// before the request ended.
    pub incarnation: Option<u64>,
    /// Whether the instance was disturbed during the request by anything but a planned stop.
    pub was_disturbed: bool,
    /// The configuration version that introduced the request's API key; `None` for the key of the
    /// small workspace.
    pub key_version: Option<u64>,
    /// Time just before the request was sent.
    pub sent_at: Instant,
    /// Time after the answer or the end of the connection.
    pub ended_at: Instant,
    /// The answer; `None` if the connection ended without one.
    pub answer: Option<Answer>,
}

/// The running callers.
#[derive(Debug)]
pub struct Callers {
    is_stopped: Arc<AtomicBool>,
    handles: Vec<JoinHandle<Vec<Record>>>,
}

/// The state of one caller.
struct CallerLoop {
    caller_number: usize,
    rng: ChaCha8Rng,
    instances: Vec<Arc<SoakInstance>>,
    version: Arc<dyn Fn() -> u64 + Send + Sync>,
    is_stopped: Arc<AtomicBool>,
    request_count: Arc<AtomicU64>,
}

impl Callers {
    /// Starts the callers, each in a thread of its own.
    pub fn start(cluster: &Arc<SoakCluster>, plan: &SoakPlan) -> Self {
        let is_stopped: Arc<AtomicBool> = Arc::default();
        let request_count: Arc<AtomicU64> = Arc::default();
        let handles = (0..plan.callers).map(|caller_number| {
            let cluster = cluster.clone();
            let caller_loop = CallerLoop {
                caller_number,
                // Independent of the random numbers of the fault schedule.
                rng: ChaCha8Rng::seed_from_u64(plan.seed ^ (u64::MAX - caller_number as u64)),
                instances: cluster.instances.clone(),
                version: Arc::new(move || cluster.version()),
                is_stopped: is_stopped.clone(),
                request_count: request_count.clone(),
            };
            std::thread::spawn(move || caller_loop.run())
        });
        Self {
            handles: handles.collect(),
            is_stopped,
        }
    }

    /// Stops all callers and returns their records.
    pub fn stop_and_collect(self) -> Vec<Record> {
        self.is_stopped.store(true, Ordering::Release);
        let records = self.handles.into_iter().map(|handle| {
            // A caller that panicked has printed the reason; its records are lost.
            handle.join().unwrap_or_default()
        });
        records.flatten().collect()
    }
}

impl CallerLoop {
    fn run(mut self) -> Vec<Record> {
        let mut records = Vec::new();
        let mut open_connection: Option<(usize, Caller)> = None;
        while !self.is_stopped.load(Ordering::Acquire) {
            let can_reuse = self.rng.random_bool(REUSE_PROBABILITY);
            let connection = open_connection.take().filter(|_| can_reuse);
            let Some((instance, caller)) = connection.or_else(|| self.connect()) else {
                self.pause();
                continue;
            };
            let (record, caller) = self.send(instance, caller);
            open_connection = caller.map(|caller| (instance, caller));
            records.extend(record);
            self.pause();
        }
        records
    }

    fn pause(&mut self) {
        let pause_ms = self.rng.random_range(0..MAX_PAUSE_MS);
        std::thread::sleep(Duration::from_millis(pause_ms));
    }

    /// Connects to a random instance; `None` if the connection fails.
    fn connect(&mut self) -> Option<(usize, Caller)> {
        let instance = self.rng.random_range(0..self.instances.len());
        let stream = TcpStream::connect(self.instances[instance].callers_address).ok()?;
        Some((instance, Caller::from_stream(stream)))
    }

    /// Sends one request. Returns its record, or `None` if the request could not be sent, and the
    /// connection if it can carry another request.
    fn send(&mut self, instance: usize, mut caller: Caller) -> (Option<Record>, Option<Caller>) {
        let number = self.request_count.fetch_add(1, Ordering::AcqRel);
        let id = format!("r{}-{number}", self.caller_number);
        let key_version = self.random_key_version();
        let key = key_version.map_or_else(|| SMALL_KEY.to_owned(), key_of_version);
        let (kind, request_bytes) = self.random_request(&id, &key);
        let target = self.instances[instance].clone();
        let initial = target.incarnation.load(Ordering::Acquire);
        let count_before = target.disturbance_count.load(Ordering::Acquire);
        let sent_at = Instant::now();
        if !caller.try_send(&request_bytes) {
            return (None, None);
        }
        let answer = caller.receive();
        let can_reuse = answer.as_ref().is_some_and(|answer| {
            answer.is_complete && answer.header("connection") != Some("close")
        });
        let record = Record {
            id,
            kind,
            instance,
            incarnation: (target.incarnation.load(Ordering::Acquire) == initial).then_some(initial),
            was_disturbed: target.disturbance_count.load(Ordering::Acquire) != count_before,
            key_version,
            sent_at,
            ended_at: Instant::now(),
            answer,
        };
        (Some(record), Some(caller).filter(|_| can_reuse))
    }

    /// Selects the version of a random API key: mostly a key that the newest version has retained, so
    /// most instances know it; sometimes the newest key or a revoked one. `None` selects the key of
    /// the small workspace.
    fn random_key_version(&mut self) -> Option<u64> {
        let version = (self.version)();
        let age = match self.rng.random_range(0..20) {
            0..2 => return None,
            2..5 => 0,
            5..8 => self.rng.random_range(2..5),
            _ => 1,
        };
        Some(version.saturating_sub(age))
    }

    /// Builds a random request that carries `id` and the API key.
    fn random_request(&mut self, id: &str, key: &str) -> (RequestKind, Vec<u8>) {
        let key_header = format!("Authorization: Token {key}\r\n");
        let model = MODELS[self.rng.random_range(0..MODELS.len())];
        let own_part = self.rng.random_range(0..u32::MAX);
        let second_part = self.rng.random_range(0..SECOND_PARTS);
        let prompt = format!("Prompt-Prefix: aa:100,5ec{second_part}:50,{own_part:x}:30\r\n");
        let model_header = format!("{key_header}Model: {model}\r\n{prompt}");
        let version = (self.version)();
        match self.rng.random_range(0..6) {
            0 => (
                RequestKind::Once,
                request("POST", "/pay/", id, &key_header, id),
            ),
            1 => (
                RequestKind::Again,
                request("GET", "/read/", id, &key_header, ""),
            ),
            2 if version > 1 => {
                let version = self.rng.random_range(2..=version);
                let path = format!("/v{version}/");
                (
                    RequestKind::Version(version),
                    request("GET", &path, id, &key_header, ""),
                )
            }
            3 => (
                RequestKind::Stream,
                request("POST", "/report/", id, &model_header, id),
            ),
            _ if self.rng.random_ratio(1, ONE_POISON_IN) => {
                let model_header = format!("{key_header}Model: {}\r\n", MODELS[0]);
                let request_bytes = request("POST", "/chat/", id, &model_header, POISON);
                (RequestKind::Resumable, request_bytes)
            }
            _ if self.rng.random_ratio(1, ONE_CRASHING_PART_IN) => {
                let prompt =
                    format!("Prompt-Prefix: aa:100,{CRASHING_PART}:50,{own_part:x}:30\r\n");
                let model_header = format!("{key_header}Model: {}\r\n{prompt}", MODELS[0]);
                let body = format!("{CRASHING_PART_BODY}{id}");
                let request_bytes = request("POST", "/chat/", id, &model_header, &body);
                (RequestKind::Resumable, request_bytes)
            }
            _ => (
                RequestKind::Resumable,
                request("POST", "/chat/", id, &model_header, id),
            ),
        }
    }
}
