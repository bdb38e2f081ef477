//! A model server that handles orders, reports and streams, and records them for checks by tests.

use super::failure_spans::{Failure, FailureSpans};
use super::raw::{Action, RawServer, Received, ScriptEnd, Step};
use super::store::MetadataStandIn;
use super::stream_events::{BegunRun, StreamShape};
use passway_types::prelude::*;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Reported start time of each server before its first restart, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_792_321_983_006;
/// Time for which a server that has left is down before it restarts.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Number of events in a complete stream.
pub const EVENTS: u64 = 5;
/// The end of an event in a stream.
pub const EVENT_END: &str = "\n\n";
/// The software version of a server that is started without another one.
pub const FIRST_SOFTWARE: &str = "v1";

/// Faults that the server injects.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Closes the connection of the next stream after this many events, in the middle of an event.
    pub cut_after_events: Option<u64>,
    /// Crashes in the next stream after this many events, at the end of an event.
    pub crash_after_events: Option<u64>,
    /// Sends all answers with neither a length nor chunks, and ends them by closing the connection.
    pub is_unframed: bool,
    /// Sends nothing more in the next stream after this many events.
    pub silent_after_events: Option<u64>,
    /// Pauses the next stream for 2.5 s after this many events.
    pub pause_after_events: Option<u64>,
    /// Carries out the next order without answering it.
    pub drops_order_answer: bool,
    /// Delay before each event of every stream.
    pub event_delay: Duration,
    /// Crashes when it starts to execute a request whose body begins with this prefix.
    pub crash_on_prefix: Option<String>,
    /// Crashes after the first event of a stream whose prompt has one of these parts, unless it is the
    /// last.
    pub crash_on_parts: Vec<String>,
    /// Limit that the server advertises in its answers, in requests per second.
    pub advertised_limit_per_s: Option<f64>,
    /// Announces in every answer that the server is leaving.
    pub is_leaving: bool,
    /// Rejects requests and asks the instances to back off for this many seconds.
    pub backoff_s: Option<f64>,
    /// With a value, a crash leaves the port open, as under a supervisor: the server closes all
    /// connections for this time, then serves again under the same id.
    pub restart_delay: Option<Duration>,
}

/// The models that a server starts with.
#[derive(Debug, Clone, Copy)]
pub struct InitialModels<'a> {
    /// Maximum number of loaded models.
    pub capacity: usize,
    /// The loaded models.
    pub loaded: &'a [&'a str],
    /// Further models on the server's disk.
    pub on_disk: &'a [&'a str],
}

/// An order that the server accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedOrder {
    /// `load_model` or `unload_model`.
    pub operation: String,
    /// The model; an adapter follows after a slash.
    pub model_ref: String,
    /// The holder that sent the order.
    pub holder: String,
    /// The fencing number of the order.
    pub fence: u64,
}

/// A request that reached the server, and the signals in its answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Number of the request at the server's listener.
    pub number: usize,
    /// Id of the request.
    pub id: String,
    /// When the server took the request.
    pub arrived_at: Instant,
    /// When the request had reached the server's socket.
    pub readable_at: Instant,
    /// Number of restarts of the server before the request arrived.
    pub restart_count: usize,
    /// Whether the answer announced that the server is leaving.
    pub is_leaving: bool,
    /// The backoff that the answer asked for.
    pub backoff: Option<Duration>,
    /// The time that the request gives the server, in milliseconds; `None` without a limit.
    pub deadline_ms: Option<u64>,
    /// The address that the request named for a copy of the run.
    pub backup: Option<String>,
    /// The address and the request's id that name the copy with which the run continues.
    pub continues: Option<String>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The server sent its whole answer.
    Whole,
    /// The server broke the run off by a fault, would have done so later, or closed all connections.
    BrokenByServer,
    /// The peer closed the connection while the server went on with the run and would have sent its
    /// whole answer.
    ClosedByPeer,
}

impl RunEnd {
    /// The end of a run whose script ended so; `is_faulty` tells whether a fault breaks the run off.
    pub fn of_script(end: ScriptEnd, is_faulty: bool) -> Self {
        match end {
            ScriptEnd::Done if !is_faulty => Self::Whole,
            ScriptEnd::ClosedByPeer if !is_faulty => Self::ClosedByPeer,
            _ => Self::BrokenByServer,
        }
    }
}

/// A request for a stream that reached the server, and how its run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Id of the request.
    pub id: String,
    /// Time at which the request arrived.
    pub began_at: Instant,
    /// How and when the run ended; `None` while it goes on.
    pub end: Option<(RunEnd, Instant)>,
}

/// A time for which one start of a server took new requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpan {
    /// The version of the server's software.
    pub software: String,
    /// When the server first published that it is ready.
    pub began_at: Instant,
    /// When the server announced that it leaves, restarted or crashed; `None` while it serves.
    pub ended_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct State {
    /// The version of the server's software; a restart may change it.
    software: String,
    service_spans: Vec<ServiceSpan>,
    retirement: Retirement,
    models: Vec<(String, Vec<String>)>,
    on_disk: Vec<String>,
    orders: Vec<AcceptedOrder>,
    loads_over_capacity: u32,
    executed_ids: Vec<String>,
    executed_at: Vec<Instant>,
    /// The shape of streams whose events name their runs; `None` for [`EVENTS`] events that don't.
    stream_shape: Option<StreamShape>,
    begun_runs: Vec<BegunRun>,
    /// Numbers, at the listener, of the requests whose runs faults break off.
    faulty_runs: BTreeSet<usize>,
    /// Times of restarts and of the crash for good.
    down_at: Vec<Instant>,
    arrivals: Vec<Arrival>,
    /// Whether the server is leaving; reset by a restart.
    is_leaving: bool,
    /// Arrival times of orders and report queries.
    control_calls_at: Vec<Instant>,
    /// The body of the request behind each restart; empty if the server left.
    restart_bodies: Vec<String>,
    down_until: Option<Instant>,
    /// The body of the request behind the crash, once the server has crashed for good.
    crash_body: Option<String>,
    faults: Faults,
    failures: Arc<FailureSpans>,
}

/// Whether a server leaves for good.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Retirement {
    /// The server stays.
    #[default]
    Stays,
    /// The server serves on for a while; its entry says so.
    Draining,
    /// The server is gone.
    Gone,
}

impl State {
    fn announces_leaving(&self) -> bool {
        self.is_leaving || self.faults.is_leaving || self.retirement != Retirement::Stays
    }

    fn begin_service(&mut self) {
        let is_serving = self
            .service_spans
            .last()
            .is_some_and(|span| span.ended_at.is_none());
        let is_down = self.down_until.is_some() || self.crash_body.is_some();
        if is_serving || is_down || self.announces_leaving() {
            return;
        }
        self.service_spans.push(ServiceSpan {
            software: self.software.clone(),
            began_at: Instant::now(),
            ended_at: None,
        });
    }

    fn end_service(&mut self) {
        if let Some(span) = self.service_spans.last_mut() {
            span.ended_at.get_or_insert_with(Instant::now);
        }
    }
}

/// A model server; clones share the same state.
#[derive(Debug, Clone)]
pub struct ModelServer {
    /// Id of the server.
    pub id: String,
    /// The address that the server publishes in its store entry.
    pub address: SocketAddr,
    service: String,
    capacity: usize,
    state: Arc<Mutex<State>>,
    store: MetadataStandIn,
    listener: RawServer,
}

fn answer(status: u16, id: &str, body: &str, headers: &str) -> Vec<Step> {
    let length = body.len();
    let text = format!(
        "HTTP/1.1 {status} X\r\nContent-Length: {length}\r\nRequest-Id: {id}\r\n{headers}\r\n{body}"
    );
    vec![Step::Send(text.into_bytes())]
}

/// Removes the lengths from answers, which then end with their connection.
fn without_length(steps: Vec<Step>) -> Vec<Step> {
    let unframed = steps.into_iter().map(|step| match step {
        Step::Send(bytes) => {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            let lines = text.split_inclusive("\r\n");
            let kept = lines.filter(|line| !line.starts_with("Content-Length:"));
            Step::Send(kept.collect::<String>().into_bytes())
        }
        other => other,
    });
    unframed.chain([Step::Close]).collect()
}

impl ModelServer {
    /// Starts a server that can hold `capacity` models and publishes its entry in the store.
    pub fn start(
        store: &MetadataStandIn,
        id: &str,
        service: &str,
        capacity: usize,
        models: &[&str],
        on_disk: &[&str],
    ) -> Self {
        let models = InitialModels {
            capacity,
            loaded: models,
            on_disk,
        };
        Self::start_behind(store, id, service, models, |address| address)
    }

    /// Starts a server that publishes the address of a proxy. `proxy_to` receives the address that
    /// the server listens on and returns the address to publish.
    pub fn start_behind(
        store: &MetadataStandIn,
        id: &str,
        service: &str,
        models: InitialModels<'_>,
        proxy_to: impl FnOnce(SocketAddr) -> SocketAddr,
    ) -> Self {
        let server = Self::start_unpublished(store, id, service, models, proxy_to);
        server.publish_entry("ready");
        server
    }

    /// Starts a server that has no entry in the store yet.
    pub fn start_unpublished(
        store: &MetadataStandIn,
        id: &str,
        service: &str,
        models: InitialModels<'_>,
        proxy_to: impl FnOnce(SocketAddr) -> SocketAddr,
    ) -> Self {
        let InitialModels {
            capacity,
            loaded: models,
            on_disk,
        } = models;
        let state = State {
            software: FIRST_SOFTWARE.to_owned(),
            models: models
                .iter()
                .map(|model| ((*model).to_owned(), Vec::new()))
                .collect(),
            on_disk: on_disk
                .iter()
                .chain(models)
                .map(|model| (*model).to_owned())
                .collect(),
            ..State::default()
        };
        let state = Arc::new(Mutex::new(state));
        let shared_server: Arc<Mutex<Option<Self>>> = Arc::default();
        let server_slot = shared_server.clone();
        let listener = RawServer::start(move |received| {
            let server = server_slot
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone();
            server.map_or_else(Vec::new, |server| server.answer(received))
        });
        let server = Self {
            id: id.to_owned(),
            address: proxy_to(listener.address),
            service: service.to_owned(),
            capacity,
            state,
            store: store.clone(),
            listener,
        };
        *shared_server.lock().unwrap_or_else(PoisonError::into_inner) = Some(server.clone());
        server
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Starts a server with another software version, which marks its events.
    pub fn start_with_software(
        store: &MetadataStandIn,
        id: &str,
        software: &str,
        models: InitialModels<'_>,
    ) -> Self {
        let server = Self::start_unpublished(store, id, "engines", models, |address| address);
        server.set_software(software);
        server.publish_entry("ready");
        server
    }

    /// Sets the software version. The process of an engine never changes its version, so this is called
    /// before the server gets requests or just before it restarts.
    pub fn set_software(&self, software: &str) {
        software.clone_into(&mut self.state().software);
    }

    /// Sets the times in which the server refuses most requests.
    pub fn set_failures(&self, failures: Arc<FailureSpans>) {
        self.state().failures = failures;
    }

    /// Sends streams of this shape from now on, whose events name their runs.
    pub fn set_stream_shape(&self, shape: StreamShape) {
        self.state().stream_shape = Some(shape);
    }

    /// Returns the runs whose events name them.
    pub fn begun_runs(&self) -> Vec<BegunRun> {
        self.state().begun_runs.clone()
    }

    /// Writes the server's entry with this state to the store. A server that leaves for good is
    /// `draining` in any case, and has no entry once it is gone.
    pub fn publish_entry(&self, server_state: &str) {
        let mut state = self.state();
        let server_state = match state.retirement {
            Retirement::Stays => server_state,
            Retirement::Draining => "draining",
            Retirement::Gone => return,
        };
        if server_state == "ready" {
            state.begin_service();
        }
        let entry = json!({"service": self.service, "address": self.address.to_string(),
            "zone": "hall0", "version": state.software, "slots": 8, "state": server_state, "cold_left_ms": 0,
            "models": models(&state), "sequence": 1, "born": started_at_ms(&state),
            "at_hand": {"in_memory": [], "on_disk": state.on_disk}});
        // Under the lock, so that no entry is written after its removal.
        self.store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Returns the version of the server's software.
    pub fn software(&self) -> String {
        self.state().software.clone()
    }

    /// Returns the times for which the server took new requests.
    pub fn service_spans(&self) -> Vec<ServiceSpan> {
        self.state().service_spans.clone()
    }

    /// Returns the orders that the server accepted.
    pub fn accepted_orders(&self) -> Vec<AcceptedOrder> {
        self.state().orders.clone()
    }

    /// Returns the number of load orders beyond the server's capacity.
    pub fn loads_over_capacity(&self) -> u32 {
        self.state().loads_over_capacity
    }

    /// Returns the ids of the executed requests.
    pub fn executed_ids(&self) -> Vec<String> {
        self.state().executed_ids.clone()
    }

    /// Returns the start times of the executed requests.
    pub fn executed_at(&self) -> Vec<Instant> {
        self.state().executed_at.clone()
    }

    /// Returns the requests for streams, executed or not, each with the end of its run or of its wait.
    pub fn runs(&self) -> Vec<Run> {
        let ended_scripts = self.listener.ended_scripts();
        let faulty = self.state().faulty_runs.clone();
        let received = self.listener.received().into_iter();
        let streams = received.filter(|request| request.header("model").is_some());
        let runs = streams.map(|request| Run {
            id: request.header("request-id").unwrap_or_default().to_owned(),
            began_at: request.arrived_at,
            end: ended_scripts.get(&request.number).map(|ended| {
                let end = RunEnd::of_script(ended.end, faulty.contains(&request.number));
                (end, ended.ended_at)
            }),
        });
        runs.collect()
    }

    /// Returns the times of the server's restarts and of its crash for good.
    pub fn down_at(&self) -> Vec<Instant> {
        self.state().down_at.clone()
    }

    /// Returns the listener of the server. While the listener is silent, the server sends neither
    /// events nor answers to reports, orders and new requests.
    pub fn listener(&self) -> &RawServer {
        &self.listener
    }

    /// Returns all requests that reached the server, executed or not.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state().arrivals.clone()
    }

    /// Announces in every answer that the server is leaving, and restarts it under the same id
    /// after `delay`.
    pub fn leave(&self, delay: Duration) {
        let mut state = self.state();
        state.is_leaving = true;
        state.end_service();
        drop(state);
        let server = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(delay);
            server.restart(b"", RESTART_DELAY);
        });
    }

    /// Announces that the server leaves for good, in its entry and in every answer, serves on for
    /// `drain`, and removes its entry, its port and all of its connections then.
    pub fn retire(&self, drain: Duration) {
        let mut state = self.state();
        if state.retirement != Retirement::Stays {
            return;
        }
        state.retirement = Retirement::Draining;
        state.end_service();
        drop(state);
        self.publish_entry("draining");
        std::thread::sleep(drain);
        let mut state = self.state();
        state.retirement = Retirement::Gone;
        state.down_at.push(Instant::now());
        self.store.remove(&format!("servers/{}", self.id));
        drop(state);
        self.listener.crash();
    }

    /// Returns whether the server has left for good.
    pub fn has_left(&self) -> bool {
        self.state().retirement == Retirement::Gone
    }

    /// Returns whether the server announces that it leaves, for good or for a restart.
    pub fn is_leaving(&self) -> bool {
        self.state().announces_leaving()
    }

    /// Restarts the server under its id with this software version. All connections are closed; the
    /// new start serves after 0.3 s.
    pub fn restart_with_software(&self, software: &str) {
        let mut state = self.state();
        if state.crash_body.is_some() || state.down_until.is_some() {
            return;
        }
        software.clone_into(&mut state.software);
        self.restart_locked(state, b"", RESTART_DELAY);
        self.listener.close_connections();
    }

    /// Returns the arrival times of orders and report queries.
    pub fn control_calls_at(&self) -> Vec<Instant> {
        self.state().control_calls_at.clone()
    }

    /// Returns the body of the request behind each restart; empty if the server left.
    pub fn restart_bodies(&self) -> Vec<String> {
        self.state().restart_bodies.clone()
    }

    /// Returns the body of the request behind the crash for good, if the server has crashed.
    pub fn crash_body(&self) -> Option<String> {
        self.state().crash_body.clone()
    }

    /// Returns whether the server has crashed for good.
    pub fn has_crashed(&self) -> bool {
        self.state().crash_body.is_some()
    }

    /// Crashes for good, with all runs.
    pub fn crash_now(&self) {
        self.crash_start(None, b"", None);
    }

    /// Takes the server down and brings it up again under the same id after `delay`. `body` is the body of
    /// the request that caused the crash, empty if the server left.
    fn restart(&self, body: &[u8], delay: Duration) {
        self.restart_locked(self.state(), body, delay);
    }

    /// As [`ModelServer::restart`], with the state locked.
    fn restart_locked(&self, mut state: MutexGuard<'_, State>, body: &[u8], delay: Duration) {
        state.end_service();
        let body = String::from_utf8_lossy(body).into_owned();
        state.restart_bodies.push(body);
        state.down_at.push(Instant::now());
        state.is_leaving = false;
        state.down_until = Some(Instant::now() + delay);
        drop(state);
        let server = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(delay);
            server.state().down_until = None;
            server.publish_entry("ready");
        });
    }

    /// Returns the steps in which the server crashes, because it runs the request with this body: for good, or
    /// under a supervisor, which restarts it after a delay.
    fn crash(&self, body: &[u8], restart_delay: Option<Duration>) -> Vec<Step> {
        let (server, body) = (self.clone(), body.to_vec());
        let start = self.state().restart_bodies.len();
        let crash = move || server.crash_start(Some(start), &body, restart_delay);
        // A request of an earlier start has no answer any more.
        vec![Step::Do(Action::new(crash)), Step::Close]
    }

    /// Crashes the start with this number, the current one if none is given. A request of an earlier start
    /// crashes nothing.
    fn crash_start(&self, start: Option<usize>, body: &[u8], restart_delay: Option<Duration>) {
        let mut state = self.state();
        let is_running = state.down_until.is_none() && state.crash_body.is_none();
        if !is_running || start.is_some_and(|start| start != state.restart_bodies.len()) {
            return;
        }
        if let Some(delay) = restart_delay {
            self.restart_locked(state, body, delay);
            self.listener.close_connections();
            return;
        }
        state.end_service();
        state.crash_body = Some(String::from_utf8_lossy(body).into_owned());
        state.down_at.push(Instant::now());
        drop(state);
        self.listener.crash();
    }

    fn answer(&self, received: &Received) -> Vec<Step> {
        if self.state().down_until.is_some() {
            return vec![Step::Close];
        }
        let is_unframed = self.state().faults.is_unframed;
        match self.control_answer(received) {
            Some(steps) if is_unframed => without_length(steps),
            Some(steps) => steps,
            None => self.stream(received),
        }
    }

    /// Returns the answer to a request that is meant for another server or concerns orders; `None`
    /// for a request for a stream.
    fn control_answer(&self, received: &Received) -> Option<Vec<Step>> {
        let id = received.header("request-id").unwrap_or_default().to_owned();
        if received
            .header("expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            let named = format!("Instance-Id: {}\r\n", self.id);
            return Some(answer(421, &id, "", &named));
        }
        if received.request_line().starts_with("GET /report ") {
            let mut state = self.state();
            let report = json!({"models": models(&state), "in_flight": false,
                "born": started_at_ms(&state), "sequence": state.orders.len(), "at_hand": {"in_memory": [], "on_disk": state.on_disk}});
            state.control_calls_at.push(Instant::now());
            let signals = signal_headers(&state);
            return Some(answer(200, &id, &report.to_string(), &signals));
        }
        let is_order = received.request_line().starts_with("POST /order ");
        is_order.then(|| self.order(received, &id))
    }

    fn order(&self, received: &Received, id: &str) -> Vec<Step> {
        let Ok(order) = serde_json::from_slice::<Value>(&received.body) else {
            return answer(400, id, "", "");
        };
        let mut state = self.state();
        let expected = order["expected"].as_u64();
        if expected.is_some_and(|count| usize::try_from(count).ok() != Some(state.orders.len())) {
            return answer(409, id, "", "");
        }
        let field = |name: &str| order[name].as_str().unwrap_or_default().to_owned();
        let (operation, model) = (field("operation"), field("model"));
        let adapter = order["adapter"].as_str().map(str::to_owned);
        let model_ref = adapter
            .as_ref()
            .map_or(model.clone(), |adapter| format!("{model}/{adapter}"));
        state.orders.push(AcceptedOrder {
            operation: operation.clone(),
            model_ref,
            holder: field("holder"),
            fence: order["fence"].as_u64().unwrap_or(0),
        });
        let is_load = operation == "load_model";
        match (is_load, adapter) {
            (true, None) if state.models.len() >= self.capacity => state.loads_over_capacity += 1,
            (true, None) => {
                state.on_disk.push(model.clone());
                state.models.push((model, Vec::new()));
            }
            (false, None) => state.models.retain(|(name, _)| *name != model),
            (is_load, Some(adapter)) => {
                for (name, adapters) in &mut state.models {
                    if *name == model {
                        adapters.retain(|other| *other != adapter);
                        if is_load {
                            adapters.push(adapter.clone());
                        }
                    }
                }
            }
        }
        state.control_calls_at.push(Instant::now());
        let signals = signal_headers(&state);
        let is_answer_dropped = std::mem::take(&mut state.faults.drops_order_answer);
        drop(state);
        self.publish_entry("ready");
        if is_answer_dropped {
            return vec![Step::Close];
        }
        answer(202, id, "", &signals)
    }

    /// Records the copy that a request asks for, at the server that it names. Uses up the copy that the request
    /// continues with; returns false if this server does not have it.
    fn record_copies(&self, arrival: &Arrival) -> bool {
        if let Some(address) = &arrival.backup {
            let copy = format!("copies/{address}/{}", arrival.id);
            self.store.put(&copy, &json!(true));
        }
        let own_copy = format!("{}/{}", self.address, arrival.id);
        let Some(continued) = &arrival.continues else {
            return true;
        };
        let key = format!("copies/{own_copy}");
        let has_copy = *continued == own_copy && self.store.get(&key).is_some();
        if has_copy {
            self.store.remove(&key);
        }
        has_copy
    }

    /// Records that no fault breaks off the run of the request with this number at the listener.
    fn expect_whole(&self, number: usize) {
        self.state().faulty_runs.remove(&number);
    }

    /// Begins the run of a request and returns its events.
    fn begin_run(&self, state: &mut State, received: &Received) -> RunEvents {
        let Some(shape) = state.stream_shape else {
            return RunEvents::Plain(state.software.clone());
        };
        let run = BegunRun {
            name: format!("{}.{}", self.id, state.begun_runs.len()),
            request_id: received.header("request-id").unwrap_or_default().to_owned(),
            stream: String::from_utf8_lossy(&received.body).into_owned(),
            resumed_after: last_event_id(received),
            is_continuation: received.header("kv-from").is_some(),
            software: state.software.clone(),
            shape,
        };
        state.begun_runs.push(run.clone());
        RunEvents::Named(run)
    }

    fn stream(&self, received: &Received) -> Vec<Step> {
        let id = received.header("request-id").unwrap_or_default();
        let mut state = self.state();
        if state.down_until.is_some() {
            // The server has restarted since the request arrived.
            return vec![Step::Close];
        }
        let signals = signal_headers(&state);
        let failure = state.failures.failure(received);
        let arrival = arrival_of(received, &state);
        let has_copy = self.record_copies(&arrival);
        state.arrivals.push(arrival);
        let refusal = refusal_of(received, &state, has_copy);
        if let Some((status, headers)) = refusal {
            let headers = format!("Not-Executed: 1\r\n{headers}{signals}");
            return answer(status, id, "", &headers);
        }
        state.executed_ids.push(id.to_owned());
        state.executed_at.push(Instant::now());
        // Until the server is known to answer wholly.
        state.faulty_runs.insert(received.number);
        let prefix = state.faults.crash_on_prefix.as_deref();
        let crashes = prefix.is_some_and(|prefix| received.body.starts_with(prefix.as_bytes()));
        if crashes {
            let restart_delay = state.faults.restart_delay;
            drop(state);
            return self.crash(&received.body, restart_delay);
        }
        let cut_after = state.faults.cut_after_events.take();
        let has_crashing_part = has_shared_part(received, &state.faults.crash_on_parts);
        let crash_after = if has_crashing_part {
            Some(1)
        } else {
            state.faults.crash_after_events.take()
        };
        let is_unframed = state.faults.is_unframed;
        let restart_delay = state.faults.restart_delay;
        let silent_after = state.faults.silent_after_events.take();
        let pause_after = state.faults.pause_after_events.take();
        let event_delay = state.faults.event_delay;
        let resumed_from = last_event_id(received);
        let events = self.begin_run(&mut state, received);
        if failure == Some(Failure::Closed) {
            return vec![Step::Close];
        }
        drop(state);
        let framing = if is_unframed {
            ""
        } else {
            "Transfer-Encoding: chunked\r\n"
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{framing}Request-Id: {id}\r\n{signals}Response-Seal: seal-{}\r\n\r\n",
            self.id
        );
        let mut steps = vec![Step::Send(head.into_bytes())];
        for number in resumed_from + 1..=events.last_event() {
            if cut_after.is_some_and(|count| number > count) {
                let begun: &[u8] = if is_unframed { b"id: " } else { b"ff\r\nid: " };
                steps.push(Step::Send(begun.to_vec()));
                steps.push(Step::Close);
                return steps;
            }
            if crash_after.is_some_and(|count| number > count) {
                steps.extend(self.crash(&received.body, restart_delay));
                return steps;
            }
            if silent_after.is_some_and(|count| number > count) {
                steps.push(Step::Pause(Duration::from_secs(30)));
                return steps;
            }
            if pause_after == Some(number - 1) {
                steps.push(Step::Pause(Duration::from_millis(2_500)));
            }
            if !event_delay.is_zero() {
                steps.push(Step::Pause(event_delay));
            }
            let event = events.event(number);
            let bytes = if is_unframed {
                event
            } else {
                format!("{:x}\r\n{event}\r\n", event.len())
            };
            steps.push(Step::Send(bytes.into_bytes()));
        }
        if has_crashing_part {
            // A stream of one event doesn't end whole either.
            steps.extend(self.crash(&received.body, restart_delay));
            return steps;
        }
        self.expect_whole(received.number);
        steps.push(stream_end(is_unframed));
        steps
    }
}

/// The step that ends a whole stream.
fn stream_end(is_unframed: bool) -> Step {
    if is_unframed {
        Step::Close
    } else {
        Step::Send(b"0\r\n\r\n".to_vec())
    }
}

/// The events that a run sends.
enum RunEvents {
    /// [`EVENTS`] events that name only the software version.
    Plain(String),
    /// Events that name the run.
    Named(BegunRun),
}

impl RunEvents {
    fn last_event(&self) -> u64 {
        match self {
            Self::Plain(_) => EVENTS,
            Self::Named(run) => run.last_event(),
        }
    }

    fn event(&self, number: u64) -> String {
        match self {
            Self::Plain(software) => event_of(number, software),
            Self::Named(run) => run.event(number),
        }
    }
}

/// The time that a request gives the server, in milliseconds; `None` without a limit.
pub fn deadline_ms(received: &Received) -> Option<u64> {
    received.header("deadline-ms")?.parse().ok()
}

/// A request that reaches the server in this state.
fn arrival_of(received: &Received, state: &State) -> Arrival {
    let header = |name| received.header(name).map(str::to_owned);
    Arrival {
        number: received.number,
        id: header("request-id").unwrap_or_default(),
        arrived_at: Instant::now(),
        readable_at: received.readable_at,
        restart_count: state.restart_bodies.len(),
        is_leaving: state.announces_leaving(),
        backoff: state.faults.backoff_s.map(Duration::from_secs_f64),
        deadline_ms: deadline_ms(received),
        backup: header("kv-backup"),
        continues: header("kv-from"),
    }
}

/// The status and the headers with which a server refuses a request; `None` if it runs it.
fn refusal_of(received: &Received, state: &State, has_copy: bool) -> Option<(u16, String)> {
    let model_ref = received.header("model").unwrap_or_default();
    let (model, adapter) = model_ref.split_once('/').unwrap_or((model_ref, ""));
    let is_loaded = state.models.iter().any(|(name, adapters)| {
        name == model && (adapter.is_empty() || adapters.iter().any(|other| other == adapter))
    });
    let failure = state.failures.failure(received);
    if let Some(backoff_s) = state.faults.backoff_s {
        Some((503, format!("Retry-After: {backoff_s}\r\n")))
    } else if !is_loaded || expects_other_weights(received) {
        Some((421, String::new()))
    } else if !has_copy || failure == Some(Failure::Refused) {
        Some((503, String::new()))
    } else {
        None
    }
}

/// Whether a request asks for other weights than those of version 1, as in the entries.
fn expects_other_weights(received: &Received) -> bool {
    let expected = received.header("expect-version");
    expected.is_some_and(|expected| expected != "1")
}

/// Returns the number of the event after which the request resumes its stream; 0 for a new one.
fn last_event_id(received: &Received) -> u64 {
    let last_event = received.header("last-event-id");
    last_event.and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Whether the prompt of a request has a part with one of these ids before its last one.
fn has_shared_part(received: &Received, crashing: &[String]) -> bool {
    let prompt = received.header("prompt-prefix").unwrap_or_default();
    let shared = prompt.rsplit_once(',').map_or("", |(shared, _)| shared);
    let mut ids = shared.split(',').filter_map(|part| part.split_once(':'));
    ids.any(|(id, _)| crashing.iter().any(|crashing| crashing == id))
}

/// Returns the bytes of one event of a server's stream.
pub fn event(number: u64) -> String {
    event_of(number, FIRST_SOFTWARE)
}

/// Returns the bytes of one event of a server with this software version.
pub fn event_of(number: u64, software: &str) -> String {
    format!("id: {number}\ndata: token{number} {software}\n\n")
}

/// Returns the software versions that wrote the events of a stream, in the order of the events.
pub fn writers(events: &str) -> Vec<String> {
    let data = events.lines().filter(|line| line.starts_with("data: "));
    let writers = data.filter_map(|line| line.rsplit(' ').next());
    writers.map(str::to_owned).collect()
}

/// Returns the header lines that announce the server's limit and that it is leaving.
fn signal_headers(state: &State) -> String {
    let limit = state.faults.advertised_limit_per_s;
    let limit = limit.map(|per_s| format!("Server-Limit: {per_s}\r\n"));
    let leaving = state
        .announces_leaving()
        .then(|| "Server-Leaving: 1\r\n".to_owned());
    limit.into_iter().chain(leaving).collect()
}

/// Returns the reported start time, in Unix milliseconds. Each restart adds 1 ms, so the value
/// identifies the incarnation.
fn started_at_ms(state: &State) -> u64 {
    FIRST_START_MS + u64::try_from(state.restart_bodies.len()).unwrap_or(0)
}

fn models(state: &State) -> Vec<Value> {
    let models = state.models.iter();
    models
        .map(|(name, adapters)| json!({"name": name, "version": 1, "adapters": adapters}))
        .collect()
}
