//! A sound model server: it takes orders one at a time, reports its state as it was some hundred ms ago, and runs
//! requests for the models that it holds. It may leave an order unanswered and carry it out later.

use crate::http::{self, Message};
use crate::json;
use crate::plain::unix_ms;
use crate::record::Record;
use crate::store::Store;
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Memory for weights, and the size of each model.
pub const WEIGHTS_MB: u64 = 230_000;
pub const MODEL_MB: u64 = 72_700;
/// Reports show the state of this long ago.
const REPORT_LAG: Duration = Duration::from_millis(300);
const UNLOAD_TIME: Duration = Duration::from_millis(30);
/// Time to load a model from the server's own disk.
const LOAD_TIME: Duration = Duration::from_millis(840);
const HEARTBEAT: Duration = Duration::from_millis(1_200);

#[derive(Clone, Default)]
struct Shown {
    models: Vec<String>,
    orders_taken: u64,
    in_flight: bool,
}

struct State {
    now: Shown,
    /// The model that is being loaded.
    loading: Option<String>,
    past: VecDeque<(Instant, Shown)>,
    heartbeat: u64,
    /// The next load order gets no answer and is carried out after this time.
    leave_next_load: Option<Duration>,
    /// Load orders that were left without an answer.
    left: usize,
    /// Load orders for more than the memory holds.
    too_large: Vec<String>,
}

/// A model server; clones share its state.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    on_disk: Vec<String>,
    born: u64,
    state: Arc<Mutex<State>>,
    store: Store,
    record: Record,
}

impl Engine {
    /// Starts a server that holds `models` and has further ones on its disk.
    pub fn start(
        store: &Store,
        record: &Record,
        id: &str,
        service: &str,
        models: &[String],
        on_disk: &[String],
    ) -> Self {
        let (listener, address) = http::listen("127.0.0.1");
        let now = Shown {
            models: models.to_vec(),
            ..Shown::default()
        };
        let engine = Self {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            on_disk: on_disk.to_vec(),
            born: unix_ms(),
            state: Arc::new(Mutex::new(State {
                now,
                loading: None,
                past: VecDeque::new(),
                heartbeat: 0,
                leave_next_load: None,
                left: 0,
                too_large: Vec::new(),
            })),
            store: store.clone(),
            record: record.clone(),
        };
        let serving = engine.clone();
        http::serve(listener, move |request, stream| {
            serving.serve(request, stream)
        });
        engine.publish();
        let beating = engine.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                beating.publish();
            }
        });
        engine
    }

    /// Leaves the next load order without an answer, and carries it out after this time.
    pub fn leave_next_load(&self, delay: Duration) {
        self.state.lock().unwrap().leave_next_load = Some(delay);
    }

    /// The number of load orders that were left without an answer.
    pub fn left(&self) -> usize {
        self.state.lock().unwrap().left
    }

    /// The load orders that arrived for more than the memory holds.
    pub fn too_large(&self) -> Vec<String> {
        self.state.lock().unwrap().too_large.clone()
    }

    fn names(names: &[String]) -> String {
        let quoted: Vec<String> = names.iter().map(|name| format!("\"{name}\"")).collect();
        format!("[{}]", quoted.join(","))
    }

    fn resident(models: &[String]) -> String {
        let models = models.iter();
        let rows: Vec<String> = models
            .map(|name| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}"))
            .collect();
        format!("[{}]", rows.join(","))
    }

    /// Writes the entry.
    fn publish(&self) {
        let mut state = self.state.lock().unwrap();
        state.heartbeat += 1;
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"hall-a\",\"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":{},\"born\":{},\"stage\":\"colocated\",\"models\":{},\"at_hand\":{{\"in_memory\":[],\"on_disk\":{}}}}}",
            self.service,
            self.address,
            state.heartbeat,
            self.born,
            Self::resident(&state.now.models),
            Self::names(&self.on_disk),
        );
        self.store.put(&format!("servers/{}", self.id), &entry);
    }

    fn change(&self, state: &mut State, change: impl FnOnce(&mut Shown)) {
        let before = state.now.clone();
        state.past.push_back((Instant::now(), before));
        change(&mut state.now);
    }

    /// Begins an order that fits the state. The model arrives, or leaves, a little later.
    fn take(&self, state: &mut State, is_load: bool, model: &str) {
        self.change(state, |shown| {
            shown.orders_taken += 1;
            shown.in_flight = true;
        });
        if is_load {
            state.loading = Some(model.to_owned());
        }
        let (engine, model) = (self.clone(), model.to_owned());
        std::thread::spawn(move || {
            std::thread::sleep(if is_load { LOAD_TIME } else { UNLOAD_TIME });
            let mut state = engine.state.lock().unwrap();
            state.loading = None;
            engine.change(&mut state, |shown| {
                shown.in_flight = false;
                shown.models.retain(|name| *name != model);
                if is_load {
                    shown.models.push(model.clone());
                }
            });
            drop(state);
            engine.publish();
        });
    }

    fn serve(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let own = format!("Instance-Id: {}\r\n", self.id);
        let expected = request.header("expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return http::write(stream, &http::answer(421, &own, b""));
        }
        match request.path() {
            "/report" => http::write(stream, &self.report()),
            "/health" => http::write(stream, &http::answer(200, &own, b"{}")),
            "/order" => self.order(request, stream),
            _ => self.run(request, stream),
        }
    }

    fn report(&self) -> Vec<u8> {
        let mut state = self.state.lock().unwrap();
        let shown_at = Instant::now() - REPORT_LAG;
        while state
            .past
            .front()
            .is_some_and(|(changed_at, _)| *changed_at < shown_at)
        {
            state.past.pop_front();
        }
        let shown = state.past.front().map_or(&state.now, |(_, before)| before);
        let body = format!(
            "{{\"stage\":\"colocated\",\"models\":{},\"in_flight\":{},\"sequence\":{},\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":90000,\"handles\":0,\"born\":{},\"at_hand\":{{\"in_memory\":[],\"on_disk\":{}}},\"coming\":[]}}",
            Self::resident(&shown.models),
            shown.in_flight,
            shown.orders_taken,
            self.born,
            Self::names(&self.on_disk),
        );
        self.record.line(&format!(
            "{}: report: {:?}, {} orders taken",
            self.id, shown.models, shown.orders_taken
        ));
        http::answer(200, "Content-Type: application/json\r\n", body.as_bytes())
    }

    fn order(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let order = json::parse(&request.body);
        let is_load = order.get("operation").text() == "load_model";
        let model = order.get("model").text().to_owned();
        let expected = order.get("expected").number();
        let mut state = self.state.lock().unwrap();
        let holder = order.get("holder").text().to_owned();
        let mut resident: Vec<String> = state.now.models.clone();
        resident.extend(state.loading.clone());
        let mut after = resident.clone();
        after.push(model.clone());
        after.sort();
        after.dedup();
        let text = format!(
            "{}: order {} {model} of {holder}, expects {expected:?}, {} taken; holds or loads {resident:?}",
            self.id,
            order.get("operation").text(),
            state.now.orders_taken,
        );
        self.record.line(&text);
        if is_load && after.len() as u64 * MODEL_MB > WEIGHTS_MB {
            self.record.line(&format!(
                "{}: that order is for more than the memory holds",
                self.id
            ));
            state.too_large.push(text);
        }
        if expected.is_some_and(|expected| expected != state.now.orders_taken)
            || state.now.in_flight
        {
            return http::write(stream, &http::answer(409, "", b""));
        }
        if is_load && let Some(delay) = state.leave_next_load.take() {
            state.left += 1;
            drop(state);
            self.record.line(&format!(
                "{}: leaves that order without an answer, for {delay:?}",
                self.id
            ));
            let engine = self.clone();
            std::thread::spawn(move || {
                std::thread::sleep(delay);
                let mut state = engine.state.lock().unwrap();
                let is_expected =
                    expected.is_none_or(|expected| expected == state.now.orders_taken);
                let fits = (state.now.models.len() as u64 + 1) * MODEL_MB <= WEIGHTS_MB;
                if is_expected && fits && !state.now.in_flight {
                    engine.record.line(&format!(
                        "{}: carries out the order to load {model}",
                        engine.id
                    ));
                    engine.take(&mut state, true, &model);
                } else {
                    engine.record.line(&format!(
                        "{}: drops the order to load {model}, expected {expected:?}",
                        engine.id
                    ));
                }
            });
            std::thread::sleep(Duration::from_secs(3));
            return false;
        }
        self.take(&mut state, is_load, &model);
        http::write(stream, &http::answer(202, "", b""))
    }

    fn run(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let model = request.header("model").unwrap_or_default().to_owned();
        let state = self.state.lock().unwrap();
        let is_loaded = state.now.models.contains(&model);
        drop(state);
        if !is_loaded {
            let headers = format!("Request-Id: {id}\r\nNot-Executed: 1\r\n");
            return http::write(stream, &http::answer(421, &headers, b""));
        }
        self.record
            .line(&format!("{}: runs {id} for {model}", self.id));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nRequest-Id: {id}\r\nResponse-Seal: seal-{}\r\n\r\n",
            self.id
        );
        let mut is_written = http::write(stream, head.as_bytes());
        for number in 1..=3 {
            let event = format!("id: {number}\ndata: token\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            is_written &= http::write(stream, chunk.as_bytes());
        }
        is_written && http::write(stream, b"0\r\n\r\n")
    }
}
