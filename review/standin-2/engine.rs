//! A sound model server: it takes orders one at a time, reports its state as it was some hundred ms ago, and runs
//! requests for the models that it holds. It may leave an order unanswered and carry it out later, and it may crash and
//! start again under its id.

use crate::http::{self, Message};
use crate::json;
use crate::plain::unix_ms;
use crate::record::Record;
use crate::store::Store;
use std::collections::{BTreeMap, VecDeque};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Memory for weights, and the size of each model.
pub const WEIGHTS_MB: u64 = 230_000;
pub const MODEL_MB: u64 = 72_700;
/// Reports show the state of this long ago.
const REPORT_LAG: Duration = Duration::from_millis(300);
const UNLOAD_TIME: Duration = Duration::from_millis(30);
/// Time to load a model from the server's own disk.
const DISK_LOAD: Duration = Duration::from_millis(840);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// The entry of a server goes after so many heartbeats of silence.
const SILENT_HEARTBEATS: u32 = 3;

/// What is the same for the servers of a software version.
#[derive(Clone)]
pub struct Build {
    pub service: &'static str,
    pub version: &'static str,
    /// Time to load a model that is not on the disk.
    pub store_load: Duration,
    /// Events of a stream, and the time between them.
    pub events: u64,
    pub event_interval: Duration,
}

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
    /// When the process was started.
    born: u64,
    is_running: bool,
    listener: Option<TcpListener>,
    /// The open connections, by the port of the other side.
    connections: BTreeMap<u16, TcpStream>,
    on_disk: Vec<String>,
    /// The models of the requests that run.
    runs: Vec<String>,
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
    build: Build,
    state: Arc<Mutex<State>>,
    store: Store,
    record: Record,
}

impl Engine {
    /// Starts a server at this loopback address, of its own if it shall start again, that holds `models` and has further ones on its disk.
    pub fn start(
        store: &Store,
        record: &Record,
        (id, ip): (&str, &str),
        build: &Build,
        models: &[String],
        on_disk: &[String],
    ) -> Self {
        let (listener, address) = http::listen(ip);
        let now = Shown {
            models: models.to_vec(),
            ..Shown::default()
        };
        let engine = Self {
            id: id.to_owned(),
            address,
            build: build.clone(),
            state: Arc::new(Mutex::new(State {
                now,
                loading: None,
                past: VecDeque::new(),
                heartbeat: 0,
                born: unix_ms(),
                is_running: true,
                listener: None,
                connections: BTreeMap::new(),
                on_disk: on_disk.to_vec(),
                runs: Vec::new(),
                leave_next_load: None,
                left: 0,
                too_large: Vec::new(),
            })),
            store: store.clone(),
            record: record.clone(),
        };
        engine.listen(listener);
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

    fn listen(&self, listener: TcpListener) {
        let mut state = self.state.lock().unwrap();
        state.listener = listener.try_clone().ok();
        let (serving, born) = (self.clone(), state.born);
        http::serve(listener, move |request, stream| {
            serving.is_of_start(born, stream) && serving.serve(request, stream, born)
        });
    }

    /// Whether the process with this start runs; the connection is closed when that process ends.
    fn is_of_start(&self, born: u64, stream: &TcpStream) -> bool {
        let mut state = self.state.lock().unwrap();
        let is_running = state.is_running && state.born == born;
        if let (true, Ok(other), Ok(stream)) = (is_running, stream.peer_addr(), stream.try_clone())
        {
            state.connections.entry(other.port()).or_insert(stream);
        }
        is_running
    }

    /// Ends the process: its port refuses connections, its connections are closed, its entry goes later.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_running = false;
        if let Some(listener) = state.listener.take() {
            http::stop_listening(&listener);
        }
        for (_, connection) in std::mem::take(&mut state.connections) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let born = state.born;
        drop(state);
        let engine = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(HEARTBEAT * SILENT_HEARTBEATS);
            let state = engine.state.lock().unwrap();
            if state.born == born {
                engine.store.remove(&format!("servers/{}", engine.id));
            }
        });
    }

    /// Starts a new process under the id and at the address. It holds nothing but what is on the disk.
    pub fn restart(&self) -> bool {
        let Ok(listener) = TcpListener::bind(self.address) else {
            return false;
        };
        let mut state = self.state.lock().unwrap();
        state.born = unix_ms();
        state.is_running = true;
        state.now = Shown::default();
        state.past.clear();
        state.loading = None;
        state.heartbeat = 0;
        state.runs.clear();
        drop(state);
        self.listen(listener);
        self.publish();
        true
    }

    pub fn is_running(&self) -> bool {
        self.state.lock().unwrap().is_running
    }

    pub fn version(&self) -> &'static str {
        self.build.version
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
        if !state.is_running {
            return;
        }
        state.heartbeat += 1;
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"hall-a\",\"version\":\"{}\",\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":{},\"born\":{},\"stage\":\"colocated\",\"models\":{},\"at_hand\":{{\"in_memory\":[],\"on_disk\":{}}}}}",
            self.build.service,
            self.address,
            self.build.version,
            state.heartbeat,
            state.born,
            Self::resident(&state.now.models),
            Self::names(&state.on_disk),
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
        let is_on_disk = state.on_disk.iter().any(|known| known == model);
        let duration = match is_load {
            true if is_on_disk => DISK_LOAD,
            true => self.build.store_load,
            false => UNLOAD_TIME,
        };
        if is_load {
            state.loading = Some(model.to_owned());
        }
        let (engine, model, born) = (self.clone(), model.to_owned(), state.born);
        std::thread::spawn(move || {
            std::thread::sleep(duration);
            let runs = || engine.state.lock().unwrap().runs.clone();
            while !is_load && runs().contains(&model) {
                std::thread::sleep(UNLOAD_TIME);
            }
            let mut state = engine.state.lock().unwrap();
            if state.born != born || !state.is_running {
                return;
            }
            if is_load && !is_on_disk {
                state.on_disk.push(model.clone());
            }
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

    fn serve(&self, request: &Message, stream: &mut TcpStream, born: u64) -> bool {
        let own = format!("Instance-Id: {}\r\n", self.id);
        let expected = request.header("expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return http::write(stream, &http::answer(421, &own, b""));
        }
        match request.path() {
            "/report" => http::write(stream, &self.report()),
            "/health" => http::write(stream, &http::answer(200, &own, b"{}")),
            "/order" => self.order(request, stream),
            _ => self.run(request, stream, born),
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
            "{{\"stage\":\"colocated\",\"models\":{},\"in_flight\":{},\"sequence\":{},\"queued\":0,\"running\":{},\"kv_used\":0,\"kv_total\":90000,\"handles\":0,\"born\":{},\"at_hand\":{{\"in_memory\":[],\"on_disk\":{}}},\"coming\":[]}}",
            Self::resident(&shown.models),
            shown.in_flight,
            shown.orders_taken,
            state.runs.len(),
            state.born,
            Self::names(&state.on_disk),
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

    fn run(&self, request: &Message, stream: &mut TcpStream, born: u64) -> bool {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let model = request.header("model").unwrap_or_default().to_owned();
        let after = request.header("last-event-id");
        let after: u64 = after.and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if !state.now.models.contains(&model) {
            drop(state);
            let headers = format!("Request-Id: {id}\r\nNot-Executed: 1\r\n");
            return http::write(stream, &http::answer(421, &headers, b""));
        }
        state.runs.push(model.clone());
        drop(state);
        self.record.line(&format!(
            "{}: runs {id} for {model} after event {after}",
            self.id
        ));
        let is_whole = self.stream(&id, after, stream);
        let mut state = self.state.lock().unwrap();
        if state.born == born
            && let Some(at) = state.runs.iter().position(|running| *running == model)
        {
            state.runs.swap_remove(at);
        }
        is_whole
    }

    /// Writes the events of a stream after one of them.
    fn stream(&self, id: &str, after: u64, stream: &mut TcpStream) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nRequest-Id: {id}\r\nResponse-Seal: seal-{}\r\n\r\n",
            self.id
        );
        let mut is_written = http::write(stream, head.as_bytes());
        for number in after + 1..=self.build.events {
            let event = format!("id: {number}\ndata: {} {}\n\n", self.id, self.build.version);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            is_written = is_written && http::write(stream, chunk.as_bytes());
            std::thread::sleep(self.build.event_interval);
        }
        is_written && http::write(stream, b"0\r\n\r\n")
    }
}
