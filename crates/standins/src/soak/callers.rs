//! Callers that send random requests and record the answers.

use super::SoakPlan;
use super::cluster::{
    CRASHING_PART, CRASHING_PART_BODY, MODELS, POISON, SMALL_KEY, SoakCluster, SoakInstance,
    key_of_version,
};
use super::culprits::{CULPRITS, Culprit, CulpritKind};
use super::retry_cycle::{CurrentPhase, Phase};
use crate::platform::caller::{Answer, Caller, request};
use crate::platform::model_server::EVENT_END;
use crate::platform::stream_events::StreamShape;
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::fmt::Write;
use std::net::TcpStream;
use std::ops::Range;
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
/// Probability that a caller's connection is closed between two events of a resumable stream.
const BREAK_PROBABILITY: f64 = 0.25;
/// Maximum number of requests with which a caller takes one stream up again.
const MAX_TAKE_UPS: u32 = 6;
/// Time after which a caller takes a stream up again, in milliseconds: soon, later, or after a pause.
const TAKE_UP_DELAYS_MS: [Range<u64>; 3] = [0..300, 300..2_000, 4_000..9_000];

/// Probability that a body is sent some time after its head, if bodies are sent slowly at all.
const SLOW_BODY_PROBABILITY: f64 = 0.8;
/// In a burst, the maximum pause of a caller between two requests, in milliseconds.
const MAX_BURST_PAUSE_MS: u64 = 20;
/// Maximum number of events in a stream of a burst.
const MAX_BURST_EVENTS: u64 = 2;
/// While few callers send, one in this many.
const ONE_SENDING_IN: usize = 8;
/// Time after which a caller that sends nothing looks again whether it may.
const RESTING_INTERVAL: Duration = Duration::from_millis(50);
/// Pause between two requests of one culprit, in milliseconds.
const CULPRIT_PAUSE_MS: Range<u64> = 200..800;
/// Pause between the head and the body of a request that is sent slowly, in milliseconds.
const SLOW_BODY_PAUSE_MS: Range<u64> = 50..2_500;

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

/// A request that takes a stream up again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TakeUp {
    /// Id of the request whose answer brought the first event.
    pub first_id: String,
    /// Number of the last event that the caller has received.
    pub last_event: u64,
}

/// A request and its answer.
#[derive(Debug, Clone)]
pub struct Record {
    /// Id of the request.
    pub id: String,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Whether the request crashes no engine.
    pub is_sound: bool,
    /// The body of the request, which names its stream.
    pub body: String,
    /// The stream that the request takes up again; `None` if the request begins anew.
    pub take_up: Option<TakeUp>,
    /// Whether the caller closed the connection before the end of the answer.
    pub was_left: bool,
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

impl Record {
    /// Returns the id of the request that began the stream.
    pub fn first_id(&self) -> &str {
        let take_up = self.take_up.as_ref();
        take_up.map_or(&self.id, |take_up| &take_up.first_id)
    }

    /// Returns the number of the last event before the answer.
    pub fn last_event_before(&self) -> u64 {
        self.take_up
            .as_ref()
            .map_or(0, |take_up| take_up.last_event)
    }

    /// Returns the body of a success up to the end of its last whole event.
    pub fn whole_events(&self) -> &str {
        let answer = self.answer.as_ref().filter(|answer| answer.status == 200);
        let body = answer.map_or("", |answer| &*answer.body);
        &body[..body.rfind(EVENT_END).map_or(0, |end| end + EVENT_END.len())]
    }
}

/// A request without its id and its API key.
#[derive(Debug, Clone)]
struct Draft {
    kind: RequestKind,
    is_sound: bool,
    method: &'static str,
    path: String,
    /// Header lines, each ending with CRLF.
    headers: String,
    /// The body; `None` for the request's id.
    body: Option<String>,
}

impl Draft {
    fn call(kind: RequestKind, method: &'static str, path: impl Into<String>) -> Self {
        Self {
            kind,
            is_sound: true,
            method,
            path: path.into(),
            headers: String::new(),
            body: None,
        }
    }

    fn stream(kind: RequestKind, path: &str, headers: String) -> Self {
        Self {
            headers,
            ..Self::call(kind, "POST", path)
        }
    }

    /// A request of a culprit. Those with a crashing part differ in their own part and body.
    fn culprit(culprit: &Culprit, model: &str, own: u32) -> Self {
        let mut body = culprit.body.clone();
        let mut headers = format!("Model: {model}\r\n");
        if let Some(part) = &culprit.part {
            write!(headers, "Prompt-Prefix: aa:100,{part}:50,{own:x}:30\r\n")
                .expect("writing to a string");
            write!(body, "{own:x}").expect("writing to a string");
        }
        let draft = match culprit.kind {
            CulpritKind::Part | CulpritKind::Request(RequestKind::Resumable) => {
                Self::stream(RequestKind::Resumable, "/chat/", headers)
            }
            CulpritKind::Request(RequestKind::Stream) => {
                Self::stream(RequestKind::Stream, "/report/", headers)
            }
            CulpritKind::Request(RequestKind::Once) => {
                Self::call(RequestKind::Once, "POST", "/pay/")
            }
            CulpritKind::Request(RequestKind::Again | RequestKind::Version(_)) => {
                Self::call(RequestKind::Again, "POST", "/read/")
            }
        };
        Self {
            is_sound: false,
            body: Some(body),
            ..draft
        }
    }

    fn crashing(headers: String, body: String) -> Self {
        Self {
            is_sound: false,
            body: Some(body),
            ..Self::stream(RequestKind::Resumable, "/chat/", headers)
        }
    }
}

/// A stream that a caller will take up again.
#[derive(Debug, Clone)]
struct BrokenStream {
    draft: Draft,
    take_up: TakeUp,
    /// Whether the request is charged to the small workspace.
    is_small: bool,
    take_ups_left: u32,
    due_at: Instant,
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
    /// Selects where streams break and when they are taken up again. That depends on the answers, the
    /// requests don't.
    break_rng: ChaCha8Rng,
    breaks_streams: bool,
    sends_slowly: bool,
    phase: Arc<CurrentPhase>,
    shape: StreamShape,
    broken_streams: VecDeque<BrokenStream>,
    instances: Vec<Arc<SoakInstance>>,
    cluster: Arc<SoakCluster>,
    version: Arc<dyn Fn() -> u64 + Send + Sync>,
    is_stopped: Arc<AtomicBool>,
    request_count: Arc<AtomicU64>,
}

impl Callers {
    /// Starts the callers, each in a thread of its own.
    pub fn start(cluster: &Arc<SoakCluster>, plan: &SoakPlan) -> Self {
        let is_stopped: Arc<AtomicBool> = Arc::default();
        let request_count: Arc<AtomicU64> = Arc::default();
        let culprit_callers = if plan.disturbance.has_culprits() {
            CULPRITS
        } else {
            0
        };
        let handles = (0..plan.callers + culprit_callers).map(|caller_number| {
            let cluster = cluster.clone();
            let caller_loop = CallerLoop {
                caller_number,
                // Independent of the random numbers of the fault schedule.
                rng: ChaCha8Rng::seed_from_u64(plan.seed ^ (u64::MAX - caller_number as u64)),
                break_rng: ChaCha8Rng::seed_from_u64(
                    plan.seed ^ (u64::MAX / 2 - caller_number as u64),
                ),
                breaks_streams: plan.has_releases,
                sends_slowly: plan.disturbance.has_slow_bodies() && caller_number < plan.callers,
                phase: cluster.phase.clone(),
                shape: plan.shape,
                broken_streams: VecDeque::new(),
                instances: cluster.instances.clone(),
                cluster: cluster.clone(),
                version: Arc::new(move || cluster.version()),
                is_stopped: is_stopped.clone(),
                request_count: request_count.clone(),
            };
            let culprit = caller_number.checked_sub(plan.callers);
            std::thread::spawn(move || match culprit {
                Some(number) => caller_loop.repeat_culprits(number),
                None => caller_loop.run(),
            })
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
            if self.phase.get().has_few_callers()
                && !self.caller_number.is_multiple_of(ONE_SENDING_IN)
            {
                std::thread::sleep(RESTING_INTERVAL);
                continue;
            }
            let can_reuse = self.rng.random_bool(REUSE_PROBABILITY);
            let connection = open_connection.take().filter(|_| can_reuse);
            let Some((instance, caller)) = connection.or_else(|| self.connect()) else {
                self.pause();
                continue;
            };
            let (record, caller) = self.send_random(instance, caller);
            open_connection = caller.map(|caller| (instance, caller));
            records.extend(record);
            while let Some(stream) = self.due_stream() {
                records.extend(self.take_up(stream));
            }
            self.pause();
        }
        records
    }

    /// Sends the requests of the culprit with this number of each generation, one after the other, over new
    /// connections to random instances.
    fn repeat_culprits(mut self, number: usize) -> Vec<Record> {
        let mut records = Vec::new();
        while !self.is_stopped.load(Ordering::Acquire) {
            let pause_ms = self.rng.random_range(CULPRIT_PAUSE_MS);
            std::thread::sleep(Duration::from_millis(pause_ms));
            let Some(culprit) = self.cluster.culprits.current(number) else {
                continue;
            };
            let Some((instance, caller)) = self.connect() else {
                continue;
            };
            let model = MODELS[number % MODELS.len()];
            let draft = Draft::culprit(&culprit, model, self.rng.random());
            // The newest version has retained this key.
            let retained = (self.version)().saturating_sub(1);
            let (record, _) = self.send(instance, caller, &draft, Some(retained), None);
            records.extend(record);
        }
        records
    }

    /// Removes and returns a broken stream that is due.
    fn due_stream(&mut self) -> Option<BrokenStream> {
        let now = Instant::now();
        let is_due = |stream: &BrokenStream| stream.due_at <= now;
        let index = self.broken_streams.iter().position(is_due)?;
        self.broken_streams.remove(index)
    }

    /// Takes a stream up again at a random instance, over a new connection.
    fn take_up(&mut self, mut stream: BrokenStream) -> Option<Record> {
        stream.take_ups_left -= 1;
        let index = self.break_rng.random_range(0..self.instances.len());
        let address = self.instances[index].callers_address;
        let Ok(connection) = TcpStream::connect(address) else {
            self.schedule_take_up(stream);
            return None;
        };
        // The newest version has retained this key.
        let retained = (self.version)().saturating_sub(1);
        let key_version = (!stream.is_small).then_some(retained);
        let caller = Caller::from_stream(connection);
        let take_up = Some(stream.take_up.clone());
        let (record, _) = self.send(index, caller, &stream.draft, key_version, take_up);
        let is_whole = record.as_ref().is_some_and(is_whole);
        if let Some(record) = &record {
            stream.take_up.last_event += event_count(record);
        }
        if !is_whole {
            self.schedule_take_up(stream);
        }
        record
    }

    fn schedule_take_up(&mut self, mut stream: BrokenStream) {
        if stream.take_ups_left == 0 {
            return;
        }
        let delays = &TAKE_UP_DELAYS_MS[self.break_rng.random_range(0..TAKE_UP_DELAYS_MS.len())];
        let delay_ms = self.break_rng.random_range(delays.clone());
        stream.due_at = Instant::now() + Duration::from_millis(delay_ms);
        self.broken_streams.push_back(stream);
    }

    /// Schedules the stream of a request to be taken up again if its answer broke off after an event.
    fn remember_broken(&mut self, draft: &Draft, record: &Record) {
        let last_event = event_count(record);
        let can_resume = draft.kind == RequestKind::Resumable && self.breaks_streams;
        if !can_resume || last_event == 0 || is_whole(record) {
            return;
        }
        self.schedule_take_up(BrokenStream {
            draft: Draft {
                body: Some(draft.body.clone().unwrap_or_else(|| record.id.clone())),
                ..draft.clone()
            },
            take_up: TakeUp {
                first_id: record.id.clone(),
                last_event,
            },
            is_small: record.key_version.is_none(),
            take_ups_left: MAX_TAKE_UPS,
            due_at: Instant::now(),
        });
    }

    fn pause(&mut self) {
        let max_pause_ms = match self.phase.get() {
            Phase::Burst => MAX_BURST_PAUSE_MS,
            _ => MAX_PAUSE_MS,
        };
        let pause_ms = self.rng.random_range(0..max_pause_ms);
        std::thread::sleep(Duration::from_millis(pause_ms));
    }

    /// Connects to a random instance; `None` if the connection fails.
    fn connect(&mut self) -> Option<(usize, Caller)> {
        let instance = self.rng.random_range(0..self.instances.len());
        let stream = TcpStream::connect(self.instances[instance].callers_address).ok()?;
        Some((instance, Caller::from_stream(stream)))
    }

    /// Sends a random request. Returns what [`CallerLoop::send`] does.
    fn send_random(&mut self, instance: usize, caller: Caller) -> (Option<Record>, Option<Caller>) {
        let key_version = self.random_key_version();
        let draft = match self.phase.get() {
            Phase::Burst => self.short_draft(),
            _ => self.random_draft(),
        };
        let sent = self.send(instance, caller, &draft, key_version, None);
        if let Some(record) = &sent.0 {
            self.remember_broken(&draft, record);
        }
        sent
    }

    /// Sends one request. Returns its record, or `None` if the request could not be sent, and the
    /// connection if it can carry another request.
    fn send(
        &mut self,
        instance: usize,
        mut caller: Caller,
        draft: &Draft,
        key_version: Option<u64>,
        take_up: Option<TakeUp>,
    ) -> (Option<Record>, Option<Caller>) {
        let number = self.request_count.fetch_add(1, Ordering::AcqRel);
        let id = format!("r{}-{number}", self.caller_number);
        let request_bytes = request_bytes(&id, draft, key_version, take_up.as_ref());
        let last_event = take_up.as_ref().map_or(0, |take_up| take_up.last_event);
        let body = draft.body.clone().unwrap_or_else(|| id.clone());
        let left_after = self.random_break(draft, &body, last_event);
        let target = self.instances[instance].clone();
        let initial = target.incarnation.load(Ordering::Acquire);
        let count_before = target.disturbance_count.load(Ordering::Acquire);
        let sent_at = Instant::now();
        let head_length = request_bytes.len() - if draft.method == "GET" { 0 } else { body.len() };
        let (head, body_bytes) = request_bytes.split_at(head_length);
        let pause = self.random_body_pause();
        if !caller.try_send(head) {
            return (None, None);
        }
        if !body_bytes.is_empty() {
            std::thread::sleep(pause);
        }
        if !caller.try_send(body_bytes) {
            return (None, None);
        }
        let was_left = |body: &str| left_after.is_some_and(|count| count_events(body) >= count);
        let answer = caller.receive_while(|body| !was_left(body));
        let can_reuse = answer.as_ref().is_some_and(|answer| {
            answer.is_complete && answer.header("connection") != Some("close")
        });
        let record = Record {
            id,
            kind: draft.kind,
            is_sound: draft.is_sound,
            body,
            take_up,
            was_left: answer.as_ref().is_some_and(|answer| was_left(&answer.body)),
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

    /// Selects the pause between the head and the body of a request.
    fn random_body_pause(&mut self) -> Duration {
        if self.sends_slowly && self.break_rng.random_bool(SLOW_BODY_PROBABILITY) {
            Duration::from_millis(self.break_rng.random_range(SLOW_BODY_PAUSE_MS))
        } else {
            Duration::ZERO
        }
    }

    /// Selects the number of events after which the caller's connection is closed; `None` if it stays
    /// open.
    fn random_break(&mut self, draft: &Draft, body: &str, last_event: u64) -> Option<u64> {
        let events_left = self.shape.event_count(body).saturating_sub(last_event);
        let can_break = self.breaks_streams && draft.kind == RequestKind::Resumable;
        let breaks = self.break_rng.random_bool(BREAK_PROBABILITY);
        let count = self.break_rng.random_range(1..self.shape.max_events);
        // Any event of the shorter streams but the last.
        let count = count % events_left.max(1);
        (can_break && breaks && count > 0).then_some(count)
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

    /// Selects a request that takes little time: a call, or a stream of a few events.
    fn short_draft(&mut self) -> Draft {
        if self.rng.random_bool(0.3) {
            return Draft::call(RequestKind::Again, "GET", "/read/");
        }
        let model = MODELS[self.rng.random_range(0..MODELS.len())];
        let mut draft = Draft::stream(
            RequestKind::Resumable,
            "/chat/",
            format!("Model: {model}\r\n"),
        );
        let bodies = std::iter::repeat_with(|| format!("short-{:x}", self.rng.random::<u64>()));
        let max_events = MAX_BURST_EVENTS.max(self.shape.min_events);
        draft.body = bodies
            .take(1_000)
            .find(|body| self.shape.event_count(body) <= max_events);
        draft
    }

    /// Selects a random request.
    fn random_draft(&mut self) -> Draft {
        let model = MODELS[self.rng.random_range(0..MODELS.len())];
        let own_part = self.rng.random_range(0..u32::MAX);
        let second_part = self.rng.random_range(0..SECOND_PARTS);
        let prompt = format!("Prompt-Prefix: aa:100,5ec{second_part}:50,{own_part:x}:30\r\n");
        let headers = format!("Model: {model}\r\n{prompt}");
        let version = (self.version)();
        match self.rng.random_range(0..6) {
            0 => Draft::call(RequestKind::Once, "POST", "/pay/"),
            1 => Draft::call(RequestKind::Again, "GET", "/read/"),
            2 if version > 1 => {
                let version = self.rng.random_range(2..=version);
                Draft::call(
                    RequestKind::Version(version),
                    "GET",
                    format!("/v{version}/"),
                )
            }
            3 => Draft::stream(RequestKind::Stream, "/report/", headers),
            _ if self.rng.random_ratio(1, ONE_POISON_IN) => {
                let headers = format!("Model: {}\r\n", MODELS[0]);
                Draft::crashing(headers, POISON.to_owned())
            }
            _ if self.rng.random_ratio(1, ONE_CRASHING_PART_IN) => {
                let prompt =
                    format!("Prompt-Prefix: aa:100,{CRASHING_PART}:50,{own_part:x}:30\r\n");
                let headers = format!("Model: {}\r\n{prompt}", MODELS[0]);
                Draft::crashing(headers, format!("{CRASHING_PART_BODY}0-{own_part:x}"))
            }
            _ => Draft::stream(RequestKind::Resumable, "/chat/", headers),
        }
    }
}

/// Builds the bytes of a request.
fn request_bytes(
    id: &str,
    draft: &Draft,
    key_version: Option<u64>,
    take_up: Option<&TakeUp>,
) -> Vec<u8> {
    let key = key_version.map_or_else(|| SMALL_KEY.to_owned(), key_of_version);
    let take_up = take_up.map(
        |TakeUp {
             first_id,
             last_event,
         }| { format!("Last-Event-Id: {last_event}\r\nResumes: {first_id}\r\n") },
    );
    let headers = format!(
        "Authorization: Token {key}\r\n{}{}",
        draft.headers,
        take_up.unwrap_or_default()
    );
    let own_body = if draft.method == "GET" { "" } else { id };
    let body = draft.body.as_deref().unwrap_or(own_body);
    request(draft.method, &draft.path, id, &headers, body)
}

/// Returns the number of whole events in a body.
fn count_events(body: &str) -> u64 {
    body.matches(EVENT_END).count() as u64
}

/// Returns the number of whole events that an answer brought.
fn event_count(record: &Record) -> u64 {
    count_events(record.whole_events())
}

/// Returns whether the answer is a whole success.
fn is_whole(record: &Record) -> bool {
    let answer = record.answer.as_ref();
    answer.is_some_and(|answer| answer.status == 200 && answer.is_complete)
}
