//! A model server, by PROTOCOL.md of the users' pages: streams, reports, orders.

use crate::http::{Message, Wire, answer_bytes, listen};
use crate::json;
use crate::record::Record;
use crate::store::Store;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time until the first event of a server with little to do: 628 tokens of prompt at 38.1 a ms, and
/// some steps.
const FIRST_EVENT: Duration = Duration::from_millis(30);
/// Time between two events: 6 tokens at 4.43 ms.
const PAUSE: Duration = Duration::from_millis(27);
const EVENTS: u32 = 40;
/// Time to load a model from the weight store.
const LOAD_TIME: Duration = Duration::from_secs(6);
const UNLOAD_TIME: Duration = Duration::from_millis(50);
/// `weights_mb` of a server and of a model, and so the number of models that fit.
pub const SERVER_MB: f64 = 220_000.0;
pub const MODEL_MB: f64 = 72_700.0;
const MODELS_THAT_FIT: usize = 3;

/// What is wrong with a server.
#[derive(Default)]
pub struct Troubles {
    /// `srv_grey` with `shed`: a share of the requests is refused as if the server were full.
    pub sheds: AtomicBool,
    /// `garble` with `extra late`: some answers are followed by a second copy, which arrives in the
    /// slot of the next answer on the connection.
    pub repeats: AtomicBool,
}

/// What a server is like.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time until the first event.
    pub first_event: Duration,
    pub load_time: Duration,
    /// Models that the server has in its memory besides those that are loaded.
    pub in_memory: Vec<String>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            first_event: FIRST_EVENT,
            load_time: LOAD_TIME,
            in_memory: Vec::new(),
        }
    }
}

/// An order that has reached a server.
#[derive(Clone, Debug)]
pub struct SeenOrder {
    pub at: Instant,
    pub server: String,
    pub holder: String,
    pub fence: u64,
}

/// What all servers together have seen.
#[derive(Default)]
pub struct Observed {
    pub orders: Vec<SeenOrder>,
    /// The ids of the requests that have arrived.
    pub arrived: BTreeSet<String>,
    /// The answers of the garbled servers.
    pub answers: u32,
    /// How many of these had a second copy.
    pub surplus: u32,
}

impl Observed {
    /// Counts an answer; whether a second copy of it stays within [`SURPLUS_SHARE`].
    fn may_repeat(&mut self) -> bool {
        self.answers += 1;
        f64::from(self.surplus + 1) <= SURPLUS_SHARE * f64::from(self.answers)
    }
}

/// Share of the requests that a grey server refuses (`x` of `srv_grey`).
const SHED_SHARE: f64 = 0.45;
/// Largest share of the answers that have a surplus copy (`x` of `garble`).
const SURPLUS_SHARE: f64 = 0.03;

/// The requests whose refusals are sent twice.
const REPEATED_PREFIX: &str = "/claim-summary/";

struct State {
    models: Vec<String>,
    /// Orders taken.
    sequence: u64,
    in_flight: bool,
    heartbeat: u64,
    random: u64,
}

pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    zone: String,
    service: String,
    store: Store,
    record: Record,
    pub troubles: Troubles,
    settings: Settings,
    state: Mutex<State>,
    /// How often each request began to run, over all servers.
    runs: Runs,
    observed: Arc<Mutex<Observed>>,
}

pub type Runs = Arc<Mutex<BTreeMap<String, u32>>>;

impl Engine {
    pub fn start(
        (id, zone, service): (&str, &str, &str),
        models: &[&str],
        store: &Store,
        record: &Record,
        runs: &Runs,
        observed: &Arc<Mutex<Observed>>,
        settings: Settings,
    ) -> Arc<Self> {
        let address = crate::http::free_address([127, 0, 0, 1]);
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address,
            zone: zone.to_owned(),
            service: service.to_owned(),
            store: store.clone(),
            record: record.clone(),
            troubles: Troubles::default(),
            settings,
            state: Mutex::new(State {
                models: models.iter().map(|name| (*name).to_owned()).collect(),
                sequence: 0,
                in_flight: false,
                heartbeat: 0,
                random: 0x9e37_79b9_7f4a_7c15 ^ u64::from(address.port()),
            }),
            runs: runs.clone(),
            observed: observed.clone(),
        });
        let served = engine.clone();
        listen(address, move |wire| served.serve(wire));
        let beating = engine.clone();
        std::thread::spawn(move || {
            loop {
                beating.beat();
                std::thread::sleep(HEARTBEAT);
            }
        });
        engine
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("locking an engine")
    }

    fn models_json(models: &[String]) -> String {
        let models = models.iter();
        let models = models.map(|name| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}"));
        models.collect::<Vec<String>>().join(",")
    }

    /// The field with the models in the server's memory.
    fn at_hand(&self) -> String {
        let names = self.settings.in_memory.iter().map(|name| format!("\"{name}\""));
        let names = names.collect::<Vec<String>>().join(",");
        format!("\"at_hand\":{{\"in_memory\":[{names}],\"on_disk\":[{names}]}}")
    }

    /// Writes the server's entry.
    fn beat(&self) {
        let mut state = self.state();
        state.heartbeat += 1;
        let text = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"colocated\",\"models\":[{}],\"sequence\":{},{}}}",
            self.service,
            self.address,
            self.zone,
            Self::models_json(&state.models),
            state.heartbeat,
            self.at_hand()
        );
        drop(state);
        self.store.put(&format!("servers/{}", self.id), &text);
    }

    fn random_share(&self) -> f64 {
        let mut state = self.state();
        state.random ^= state.random << 13;
        state.random ^= state.random >> 7;
        state.random ^= state.random << 17;
        (state.random >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn serve(self: &Arc<Self>, mut wire: Wire) {
        let mut surplus: Option<(String, Vec<u8>)> = None;
        while let Ok(Some(request)) = wire.request() {
            let is_sent = match request.path() {
                "/report" => wire.send(&self.report()).is_ok(),
                "/order" => wire.send(&self.order(&request)).is_ok(),
                "/health" => {
                    let id = [("Instance-Id", self.id.as_str())];
                    wire.send(&answer_bytes(200, &id, b"")).is_ok()
                }
                path if path.starts_with("/kv-") => wire.send(&answer_bytes(404, &[], b"")).is_ok(),
                _ => self.generate(&mut wire, &request, &mut surplus),
            };
            if !is_sent {
                return;
            }
        }
    }

    /// Serves a caller's request; false if the connection has ended.
    fn generate(&self, wire: &mut Wire, request: &Message, surplus: &mut Option<(String, Vec<u8>)>) -> bool {
        let id = request.header("request-id").unwrap_or("").to_owned();
        if let Some((of, bytes)) = surplus.take() {
            self.record.line(&format!(
                "server {}: the second answer to {of} arrives in the slot of the answer to {id}",
                self.id
            ));
            if wire.send(&bytes).is_err() {
                return false;
            }
        }
        self.observed().arrived.insert(id.clone());
        let ids = [("Request-Id", id.as_str()), ("Instance-Id", self.id.as_str())];
        if request
            .header("expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            return wire.send(&answer_bytes(421, &ids, b"")).is_ok();
        }
        let model = request.header("model").unwrap_or("").to_owned();
        if !self.state().models.contains(&model) {
            self.record
                .line(&format!("server {}: 421 to {id}, no {model}", self.id));
            return wire.send(&answer_bytes(421, &ids, b"")).is_ok();
        }
        let is_garbled = self.troubles.repeats.load(Ordering::Relaxed);
        let repeats = is_garbled && self.observed().may_repeat();
        if self.troubles.sheds.load(Ordering::Relaxed) && self.random_share() < SHED_SHARE {
            let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
            let refusal = answer_bytes(503, &headers, b"");
            self.record
                .line(&format!("server {}: 503 Not-Executed to {id}", self.id));
            if repeats && request.path().starts_with(REPEATED_PREFIX) {
                self.observed().surplus += 1;
                *surplus = Some((id, refusal.clone()));
            }
            return wire.send(&refusal).is_ok();
        }
        self.stream(wire, &id)
    }

    fn stream(&self, wire: &mut Wire, id: &str) -> bool {
        if !wire.work(self.settings.first_event) {
            self.record.line(&format!(
                "server {}: {id} dropped before its first token",
                self.id
            ));
            return false;
        }
        let count = {
            let mut runs = self.runs.lock().expect("locking the runs");
            let count = runs.entry(id.to_owned()).or_default();
            *count += 1;
            *count
        };
        self.record
            .line(&format!("server {}: runs {id} (run {count} of it)", self.id));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Request-Id: {id}\r\nResponse-Seal: seal-{id}\r\n\r\n"
        );
        let mut bytes = head.into_bytes();
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: piece {number} of {id} at {}\n\n", self.id);
            bytes.extend(format!("{:x}\r\n{event}\r\n", event.len()).into_bytes());
            if wire.send(&bytes).is_err() || !wire.work(PAUSE) {
                self.record
                    .line(&format!("server {}: {id} dropped after event {number}", self.id));
                return false;
            }
            bytes.clear();
        }
        wire.send(b"0\r\n\r\n").is_ok()
    }

    fn report(&self) -> Vec<u8> {
        let state = self.state();
        let text = format!(
            "{{\"stage\":\"colocated\",\"models\":[{}],\"in_flight\":{},\"sequence\":{},\"queued\":0,\
             \"running\":1,\"kv_used\":0,\"kv_total\":156843,\"handles\":0,{}}}",
            Self::models_json(&state.models),
            state.in_flight,
            state.sequence,
            self.at_hand()
        );
        answer_bytes(200, &[("Instance-Id", &self.id)], text.as_bytes())
    }

    fn order(self: &Arc<Self>, request: &Message) -> Vec<u8> {
        if request
            .header("expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            return answer_bytes(421, &[("Instance-Id", &self.id)], b"");
        }
        let Some(order) = json::parse(&request.body) else {
            return answer_bytes(400, &[], b"");
        };
        let (holder, fence) = (order.get("holder").text(), order.get("fence").number());
        self.observed().orders.push(SeenOrder {
            at: Instant::now(),
            server: self.id.clone(),
            holder: holder.to_owned(),
            fence,
        });
        let (operation, model) = (order.get("operation").text(), order.get("model").text());
        let mut state = self.state();
        let is_there = state.models.iter().any(|name| name == model);
        let status = if state.in_flight || order.get("expected").number() != state.sequence {
            409
        } else if is_there == (operation == "load_model") {
            200
        } else {
            state.sequence += 1;
            state.in_flight = true;
            202
        };
        let is_too_much = state.models.len() >= MODELS_THAT_FIT && operation == "load_model";
        drop(state);
        self.record.line(&format!(
            "server {}: order {operation} {model}: {status}",
            self.id
        ));
        if status == 202 && is_too_much {
            self.record
                .line(&format!("server {}: ordered over its memory", self.id));
        }
        if status == 202 {
            let (engine, model) = (self.clone(), model.to_owned());
            let loads = operation == "load_model";
            std::thread::spawn(move || {
                let load_time = engine.settings.load_time;
                std::thread::sleep(if loads { load_time } else { UNLOAD_TIME });
                let mut state = engine.state();
                state.models.retain(|name| *name != model);
                if loads {
                    state.models.push(model);
                }
                state.in_flight = false;
                drop(state);
                engine.beat();
            });
        }
        answer_bytes(status, &[("Instance-Id", &self.id)], b"")
    }

    fn observed(&self) -> MutexGuard<'_, Observed> {
        self.observed.lock().expect("locking the count of answers")
    }

    /// Waits until `until`.
    pub fn sleep_until(until: Instant) {
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
    }
}
