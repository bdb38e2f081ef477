//! Who asks for what, and what each of them got.

use super::SoakPlan;
use super::cluster::{MODELS, POISON, SMALL_KEY, SoakCluster, SoakInstance, key_of_version};
use crate::platform::caller::{Answer, Caller, request};
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;

/// Longest pause of a caller between two requests.
const MAX_PAUSE_MS: u64 = 60;
/// One request in so many crashes the engines that run it.
const ONE_POISON_IN: u32 = 15;
/// Chance that a caller goes on over the connection that it has.
const REUSE_PROBABILITY: f64 = 0.9;

/// A kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A call that may run once.
    Once,
    /// A call that may run again.
    Again,
    /// A stream that may go on elsewhere.
    Resumable,
    /// A stream that may run once.
    Stream,
    /// A call by the route that a version of the configuration added.
    Version(u64),
}

/// One request and what came of it.
#[derive(Debug, Clone)]
pub struct Record {
    /// Its id.
    pub id: String,
    /// What it was.
    pub kind: RequestKind,
    /// The instance, by its place in the world.
    pub instance: usize,
    /// The life of the process that it was sent to, if that was the same when it ended.
    pub incarnation: Option<u64>,
    /// Whether anything but a planned stop happened to the instance meanwhile.
    pub was_disturbed: bool,
    /// The version whose key it came with; `None` for the workspace that may use little.
    pub key_version: Option<u64>,
    /// Just before it was sent.
    pub sent_at: Instant,
    /// When it had ended.
    pub ended_at: Instant,
    /// The answer; `None` if the connection ended without one.
    pub answer: Option<Answer>,
}

/// The callers.
#[derive(Debug)]
pub struct Callers {
    ended: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Record>>>,
}

struct CallerLoop {
    number: usize,
    rng: ChaCha8Rng,
    sites: Vec<Arc<SoakInstance>>,
    version: Arc<dyn Fn() -> u64 + Send + Sync>,
    ended: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
}

impl Callers {
    /// Lets them begin.
    pub fn start(world: &Arc<SoakCluster>, plan: &SoakPlan) -> Self {
        let ended: Arc<AtomicBool> = Arc::default();
        let sent: Arc<AtomicU64> = Arc::default();
        let threads = (0..plan.callers).map(|number| {
            let world = world.clone();
            let one = CallerLoop {
                number,
                // Beside the schedule's own stream of numbers.
                rng: ChaCha8Rng::seed_from_u64(plan.seed ^ (u64::MAX - number as u64)),
                sites: world.instances.clone(),
                version: Arc::new(move || world.version()),
                ended: ended.clone(),
                sent: sent.clone(),
            };
            std::thread::spawn(move || one.run())
        });
        Self {
            threads: threads.collect(),
            ended,
        }
    }

    /// Waits for all of them; what they got.
    pub fn stop_and_collect(self) -> Vec<Record> {
        self.ended.store(true, Ordering::Release);
        let records = self.threads.into_iter().map(|thread| {
            // A caller that panicked has printed why; what it saw is lost.
            thread.join().unwrap_or_default()
        });
        records.flatten().collect()
    }
}

impl CallerLoop {
    fn run(mut self) -> Vec<Record> {
        let mut records = Vec::new();
        let mut kept: Option<(usize, Caller)> = None;
        while !self.ended.load(Ordering::Acquire) {
            let keeps = self.rng.random_bool(REUSE_PROBABILITY);
            let connection = kept.take().filter(|_| keeps);
            let Some((instance, caller)) = connection.or_else(|| self.connect()) else {
                self.rest();
                continue;
            };
            let (record, caller) = self.ask(instance, caller);
            kept = caller.map(|caller| (instance, caller));
            records.extend(record);
            self.rest();
        }
        records
    }

    fn rest(&mut self) {
        let pause_ms = self.rng.random_range(0..MAX_PAUSE_MS);
        std::thread::sleep(Duration::from_millis(pause_ms));
    }

    /// Connects to an instance; `None` while it is not process.
    fn connect(&mut self) -> Option<(usize, Caller)> {
        let instance = self.rng.random_range(0..self.sites.len());
        let stream = TcpStream::connect(self.sites[instance].callers_address).ok()?;
        Some((instance, Caller::from_stream(stream)))
    }

    /// Asks once; the connection, if it may carry another request. A request that could not
    /// be sent is no request.
    fn ask(&mut self, instance: usize, mut caller: Caller) -> (Option<Record>, Option<Caller>) {
        let number = self.sent.fetch_add(1, Ordering::AcqRel);
        let id = format!("r{}-{number}", self.number);
        let key_version = self.draw_key();
        let key = key_version.map_or_else(|| SMALL_KEY.to_owned(), key_of_version);
        let (kind, bytes) = self.draw(&id, &key);
        let process = self.sites[instance].clone();
        let life = process.incarnation.load(Ordering::Acquire);
        let harmed = process.disturbance_count.load(Ordering::Acquire);
        let sent_at = Instant::now();
        if !caller.try_send(&bytes) {
            return (None, None);
        }
        let answer = caller.receive();
        let keeps = answer.as_ref().is_some_and(|answer| {
            answer.is_complete && answer.header("connection") != Some("close")
        });
        let record = Record {
            id,
            kind,
            instance,
            incarnation: (process.incarnation.load(Ordering::Acquire) == life).then_some(life),
            was_disturbed: process.disturbance_count.load(Ordering::Acquire) != harmed,
            key_version,
            sent_at,
            ended_at: Instant::now(),
            answer,
        };
        (Some(record), Some(caller).filter(|_| keeps))
    }

    /// A key that most instances know: mostly one that the newest version has kept, at times one that
    /// it brought, or that was taken away.
    fn draw_key(&mut self) -> Option<u64> {
        let version = (self.version)();
        let age = match self.rng.random_range(0..20) {
            0..2 => return None,
            2..5 => 0,
            5..8 => self.rng.random_range(2..5),
            _ => 1,
        };
        Some(version.saturating_sub(age))
    }

    fn draw(&mut self, id: &str, key: &str) -> (RequestKind, Vec<u8>) {
        let key = format!("Authorization: Token {key}\r\n");
        let model = MODELS[self.rng.random_range(0..MODELS.len())];
        let model = format!("{key}Model: {model}\r\n");
        let version = (self.version)();
        match self.rng.random_range(0..6) {
            0 => (RequestKind::Once, request("POST", "/pay/", id, &key, id)),
            1 => (RequestKind::Again, request("GET", "/read/", id, &key, "")),
            2 if version > 1 => {
                let version = self.rng.random_range(2..=version);
                let path = format!("/v{version}/");
                (
                    RequestKind::Version(version),
                    request("GET", &path, id, &key, ""),
                )
            }
            3 => (
                RequestKind::Stream,
                request("POST", "/report/", id, &model, id),
            ),
            _ if self.rng.random_ratio(1, ONE_POISON_IN) => {
                let model = format!("{key}Model: {}\r\n", MODELS[0]);
                let bytes = request("POST", "/chat/", id, &model, POISON);
                (RequestKind::Resumable, bytes)
            }
            _ => (
                RequestKind::Resumable,
                request("POST", "/chat/", id, &model, id),
            ),
        }
    }
}
