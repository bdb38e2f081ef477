//! A model server with orders, reports and streams, whose ledger judges the orders.

use super::raw::{RawServer, Received, Step};
use super::store::MetadataStandIn;
use passway_types::prelude::*;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// When each server has started first, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_792_321_983_006;
/// Time that a server which has left takes to start again.
const RESTART_TIME: Duration = Duration::from_millis(300);
/// Events of a stream.
pub const EVENTS: u64 = 5;

/// What the server is told to do wrong.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Cuts the next stream off after so many events.
    pub cut_after_events: Option<u64>,
    /// Sends nothing more after so many events of the next stream.
    pub silent_after_events: Option<u64>,
    /// Pauses for 2.5 s after so many events of the next stream.
    pub pause_after_events: Option<u64>,
    /// Takes the next order and does not answer it.
    pub drops_order_answer: bool,
    /// Pauses for so long before each event of all streams.
    pub event_delay: Duration,
    /// Crashes when it begins to run a request whose body begins so.
    pub crash_on_prefix: Option<String>,
    /// Names so many requests a second as what it takes.
    pub advertised_limit_per_s: Option<f64>,
    /// Says in all of its answers that it leaves.
    pub is_leaving: bool,
    /// Turns requests away, and asks for so many seconds of rest.
    pub backoff_s: Option<f64>,
    /// A crash leaves its port open, whose connections are closed for so long; then it starts again
    /// under its id.
    pub restart_delay: Option<Duration>,
}

/// The models of a server.
#[derive(Debug, Clone, Copy)]
pub struct InitialModels<'a> {
    /// How many may stand on it.
    pub capacity: usize,
    /// Those that do.
    pub loaded: &'a [&'a str],
    /// Those on its disk besides.
    pub on_disk: &'a [&'a str],
}

/// An order that was taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedOrder {
    /// `load_model` or `unload_model`.
    pub operation: String,
    /// The model, with an adapter behind a slash.
    pub model_ref: String,
    /// Who gave it.
    pub holder: String,
    /// The fencing number.
    pub fence: u64,
}

/// A request that came, and what its answer said of the server.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Its id.
    pub id: String,
    /// When it came.
    pub arrived_at: Instant,
    /// The start of the server that it came to, counted.
    pub restart_count: usize,
    /// Whether the answer said that the server leaves.
    pub is_leaving: bool,
    /// The rest that the answer asked for.
    pub backoff: Option<Duration>,
}

#[derive(Debug, Default)]
struct State {
    models: Vec<(String, Vec<String>)>,
    on_disk: Vec<String>,
    taken: Vec<AcceptedOrder>,
    over_limit: u32,
    runs: Vec<String>,
    run_at: Vec<Instant>,
    arrivals: Vec<Arrival>,
    /// Whether it leaves, until it starts again.
    leaves: bool,
    /// When orders and questions for its state came.
    asked_at: Vec<Instant>,
    /// Bodies of the requests under which it crashed and started again.
    restarts: Vec<String>,
    down_until: Option<Instant>,
    crashed: bool,
    faults: Faults,
}

impl State {
    fn says_leaving(&self) -> bool {
        self.leaves || self.faults.is_leaving
    }
}

/// The server.
#[derive(Debug, Clone)]
pub struct ModelServer {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    service: String,
    capacity: usize,
    state: Arc<Mutex<State>>,
    store: MetadataStandIn,
}

fn answer(status: u16, id: &str, body: &str, more: &str) -> Vec<Step> {
    let length = body.len();
    let text = format!(
        "HTTP/1.1 {status} X\r\nContent-Length: {length}\r\nRequest-Id: {id}\r\n{more}\r\n{body}"
    );
    vec![Step::Send(text.into_bytes())]
}

impl ModelServer {
    /// A server with room for so many models, which lists itself in the store.
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

    /// A server that lists itself at the address of a way to it.
    pub fn start_behind(
        store: &MetadataStandIn,
        id: &str,
        service: &str,
        models: InitialModels<'_>,
        way_to: impl FnOnce(SocketAddr) -> SocketAddr,
    ) -> Self {
        let InitialModels {
            capacity,
            loaded: models,
            on_disk,
        } = models;
        let state = State {
            models: models
                .iter()
                .map(|m| ((*m).to_owned(), Vec::new()))
                .collect(),
            on_disk: on_disk
                .iter()
                .chain(models)
                .map(|m| (*m).to_owned())
                .collect(),
            ..State::default()
        };
        let state = Arc::new(Mutex::new(state));
        let this: Arc<Mutex<Option<Self>>> = Arc::default();
        let answering = this.clone();
        let raw = RawServer::start(move |received| {
            let server = answering
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone();
            server.map_or_else(Vec::new, |server| server.answer(received))
        });
        let server = Self {
            id: id.to_owned(),
            address: way_to(raw.address),
            service: service.to_owned(),
            capacity,
            state,
            store: store.clone(),
        };
        *this.lock().unwrap_or_else(PoisonError::into_inner) = Some(server.clone());
        server.publish_entry("ready");
        server
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the server what to do wrong from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Says something of itself in the store.
    pub fn publish_entry(&self, said: &str) {
        let state = self.state();
        let entry = json!({"service": self.service, "address": self.address.to_string(),
            "zone": "hall0", "version": "v1", "slots": 8, "state": said, "cold_left_ms": 0,
            "models": models(&state), "sequence": 1, "born": born(&state),
            "at_hand": {"in_memory": [], "on_disk": state.on_disk}});
        drop(state);
        self.store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Orders that were taken.
    pub fn accepted_orders(&self) -> Vec<AcceptedOrder> {
        self.state().taken.clone()
    }

    /// Orders to load more than there is room for.
    pub fn loads_over_capacity(&self) -> u32 {
        self.state().over_limit
    }

    /// Requests that ran.
    pub fn executed_ids(&self) -> Vec<String> {
        self.state().runs.clone()
    }

    /// When they began.
    pub fn executed_at(&self) -> Vec<Instant> {
        self.state().run_at.clone()
    }

    /// Requests that came, whether or not they ran.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state().arrivals.clone()
    }

    /// Says from now on that it leaves, ends after so long and starts again under its id.
    pub fn leave(&self, after: Duration) {
        self.state().leaves = true;
        let server = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(after);
            server.restart(b"", RESTART_TIME);
        });
    }

    /// When orders and questions for its state came.
    pub fn control_calls_at(&self) -> Vec<Instant> {
        self.state().asked_at.clone()
    }

    /// Bodies of the requests under which it crashed and started again.
    pub fn restart_bodies(&self) -> Vec<String> {
        self.state().restarts.clone()
    }

    /// Whether it has crashed.
    pub fn has_crashed(&self) -> bool {
        self.state().crashed
    }

    /// A request ends it, and it starts again under its id.
    fn restart(&self, body: &[u8], after: Duration) -> Vec<Step> {
        let mut state = self.state();
        let body = String::from_utf8_lossy(body).into_owned();
        state.restarts.push(body);
        state.leaves = false;
        state.down_until = Some(Instant::now() + after);
        drop(state);
        let server = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(after);
            server.state().down_until = None;
            server.publish_entry("ready");
        });
        vec![Step::CloseAll]
    }

    fn answer(&self, received: &Received) -> Vec<Step> {
        if self.state().down_until.is_some() {
            return vec![Step::Close];
        }
        let id = received.header("request-id").unwrap_or_default().to_owned();
        if received
            .header("expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            return answer(421, &id, "", &format!("Instance-Id: {}\r\n", self.id));
        }
        if received.request_line().starts_with("GET /report ") {
            let mut state = self.state();
            let report = json!({"models": models(&state), "in_flight": false,
                "born": born(&state), "sequence": state.taken.len(), "at_hand": {"in_memory": [], "on_disk": state.on_disk}});
            state.asked_at.push(Instant::now());
            let said = words(&state);
            return answer(200, &id, &report.to_string(), &said);
        }
        if received.request_line().starts_with("POST /order ") {
            return self.order(received, &id);
        }
        self.stream(received, &id)
    }

    fn order(&self, received: &Received, id: &str) -> Vec<Step> {
        let Ok(order) = serde_json::from_slice::<Value>(&received.body) else {
            return answer(400, id, "", "");
        };
        let mut state = self.state();
        let expected = order["expected"].as_u64();
        if expected.is_some_and(|count| usize::try_from(count).ok() != Some(state.taken.len())) {
            return answer(409, id, "", "");
        }
        let text = |name: &str| order[name].as_str().unwrap_or_default().to_owned();
        let (operation, model) = (text("operation"), text("model"));
        let adapter = order["adapter"].as_str().map(str::to_owned);
        let model_ref = adapter
            .as_ref()
            .map_or(model.clone(), |a| format!("{model}/{a}"));
        state.taken.push(AcceptedOrder {
            operation: operation.clone(),
            model_ref,
            holder: text("holder"),
            fence: order["fence"].as_u64().unwrap_or(0),
        });
        let is_load = operation == "load_model";
        match (is_load, adapter) {
            (true, None) if state.models.len() >= self.capacity => state.over_limit += 1,
            (true, None) => {
                state.on_disk.push(model.clone());
                state.models.push((model, Vec::new()));
            }
            (false, None) => state.models.retain(|(name, _)| *name != model),
            (is_load, Some(adapter)) => {
                for (name, adapters) in &mut state.models {
                    if *name == model {
                        adapters.retain(|known| *known != adapter);
                        if is_load {
                            adapters.push(adapter.clone());
                        }
                    }
                }
            }
        }
        state.asked_at.push(Instant::now());
        let said = words(&state);
        let lost = std::mem::take(&mut state.faults.drops_order_answer);
        drop(state);
        self.publish_entry("ready");
        if lost {
            return vec![Step::Close];
        }
        answer(202, id, "", &said)
    }

    fn stream(&self, received: &Received, id: &str) -> Vec<Step> {
        let wish = received.header("model").unwrap_or_default();
        let (model, adapter) = wish.split_once('/').unwrap_or((wish, ""));
        let mut state = self.state();
        let stands = state.models.iter().any(|(name, adapters)| {
            name == model && (adapter.is_empty() || adapters.iter().any(|known| known == adapter))
        });
        let said = words(&state);
        let rest_s = state.faults.backoff_s;
        let arrival = Arrival {
            id: id.to_owned(),
            arrived_at: Instant::now(),
            restart_count: state.restarts.len(),
            is_leaving: state.says_leaving(),
            backoff: rest_s.map(Duration::from_secs_f64),
        };
        state.arrivals.push(arrival);
        if let Some(rest_s) = rest_s {
            let more = format!("Not-Executed: 1\r\nRetry-After: {rest_s}\r\n{said}");
            return answer(503, id, "", &more);
        }
        if !stands {
            let more = format!("Not-Executed: 1\r\n{said}");
            return answer(421, id, "", &more);
        }
        state.runs.push(id.to_owned());
        state.run_at.push(Instant::now());
        let crashes_on = state.faults.crash_on_prefix.as_deref();
        let crashes = crashes_on.is_some_and(|prefix| received.body.starts_with(prefix.as_bytes()));
        if crashes && let Some(after) = state.faults.restart_delay {
            drop(state);
            return self.restart(&received.body, after);
        }
        if crashes {
            state.crashed = true;
            return vec![Step::Crash];
        }
        let cuts_after = state.faults.cut_after_events.take();
        let silent_after = state.faults.silent_after_events.take();
        let pause_after = state.faults.pause_after_events.take();
        let event_pause = state.faults.event_delay;
        drop(state);
        let from = received
            .header("last-event-id")
            .and_then(|text| text.parse().ok());
        let from: u64 = from.unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nRequest-Id: {id}\r\n{said}Response-Seal: seal-{}\r\n\r\n",
            self.id
        );
        let mut steps = vec![Step::Send(head.into_bytes())];
        for number in from + 1..=EVENTS {
            if cuts_after.is_some_and(|after| number > after) {
                // In the middle of an event.
                steps.push(Step::Send(b"ff\r\nid: ".to_vec()));
                steps.push(Step::Close);
                return steps;
            }
            if silent_after.is_some_and(|after| number > after) {
                steps.push(Step::Pause(Duration::from_secs(30)));
                return steps;
            }
            if pause_after == Some(number - 1) {
                steps.push(Step::Pause(Duration::from_millis(2_500)));
            }
            if !event_pause.is_zero() {
                steps.push(Step::Pause(event_pause));
            }
            let event = event(number);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            steps.push(Step::Send(chunk.into_bytes()));
        }
        steps.push(Step::Send(b"0\r\n\r\n".to_vec()));
        steps
    }
}

/// One event of a stream.
pub fn event(number: u64) -> String {
    format!("id: {number}\ndata: token{number}\n\n")
}

/// What all of its answers say of it.
fn words(state: &State) -> String {
    let limit = state.faults.advertised_limit_per_s;
    let limit = limit.map(|per_s| format!("Server-Limit: {per_s}\r\n"));
    let leaving = state
        .says_leaving()
        .then(|| "Server-Leaving: 1\r\n".to_owned());
    limit.into_iter().chain(leaving).collect()
}

/// Unix milliseconds of its start, as far as is told: it counts its starts.
fn born(state: &State) -> u64 {
    FIRST_START_MS + u64::try_from(state.restarts.len()).unwrap_or(0)
}

fn models(state: &State) -> Vec<Value> {
    let models = state.models.iter();
    models
        .map(|(name, adapters)| json!({"name": name, "version": 1, "adapters": adapters}))
        .collect()
}
