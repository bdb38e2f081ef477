//! A stand-in for a model engine.

use crate::server;
use crate::weight_store::WeightStore;
use passway_http::{Body, Request, Response};
use passway_platform::engine::{CachedBody, LoadedBody, OrderBody, OrderResult, StatusBody};
use passway_types::hash::stable_hash;
use passway_types::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Maximum number of checkpoints cached in the machine's memory; older ones are evicted.
const MAX_MEMORY_CHECKPOINTS: usize = 4;
/// Factor by which a load from the machine's memory is faster than one from the weight store.
const MEMORY_SPEEDUP: u32 = 16;
/// Number of tokens in an answer if the request has no `max_tokens`.
const DEFAULT_TOKENS: u64 = 16;

/// Fixed properties of an engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Accelerator memory for models, in bytes.
    pub memory_bytes: u64,
    /// Maximum number of concurrent requests; more are rejected with status 429.
    pub slots: u32,
    /// Whether the engine refuses orders with old fencing numbers, also after a restart.
    pub checks_fencing: bool,
    /// Time between two tokens.
    pub token_interval: Duration,
}

/// Faults that the engine injects.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Breaks every connection without an answer.
    pub dead: bool,
    /// Reports in its status that it is leaving.
    pub leaving: bool,
    /// Number of tokens after which each stream breaks; 0 disables the fault.
    pub break_streams_after: u32,
}

/// Counters of what the engine did; tests check invariants against them.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Ledger {
    /// Number of loads started, by model.
    pub loads: BTreeMap<ModelName, u32>,
    /// Peak accelerator memory in use, in bytes.
    pub most_bytes: u64,
    /// Number of load orders refused for lack of free memory.
    pub no_room: u32,
    /// Number of orders refused because of an old fencing number.
    pub fenced: u32,
    /// Number of requests started.
    pub requests: u32,
    /// Number of requests whose caller disconnected.
    pub cancelled: u32,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct LoadedModel {
    size_bytes: u64,
    is_ready: bool,
    running: u32,
}

#[derive(Debug)]
struct State {
    config: EngineConfig,
    boot: Incarnation,
    highest_fence: Fence,
    loaded: BTreeMap<ModelName, LoadedModel>,
    cached: VecDeque<ModelName>,
    running: u32,
    faults: Faults,
    ledger: Ledger,
}

/// An engine; clones share the same state.
#[derive(Debug, Clone)]
pub struct Engine {
    state: Arc<Mutex<State>>,
    store: WeightStore,
}

/// Returns the text of the token at `position`. The text depends only on the prompt and the
/// position, so a caller can check that an answer is its own, complete and in order.
pub fn token_text(prompt_hash: u64, position: u32) -> String {
    format!("{prompt_hash:x}.{position} ")
}

/// Returns the hash of a request's prompt, taken from `messages` or `prompt`.
pub fn prompt_hash(body: &Value) -> u64 {
    let prompt = body.get("messages").or_else(|| body.get("prompt"));
    stable_hash(&[prompt.map(Value::to_string).unwrap_or_default().as_bytes()])
}

impl Engine {
    /// Creates an engine with no model loaded.
    pub fn new(config: EngineConfig, store: WeightStore) -> Self {
        let state = State {
            config,
            boot: rand::random(),
            highest_fence: 0,
            loaded: BTreeMap::new(),
            cached: VecDeque::new(),
            running: 0,
            faults: Faults::default(),
            ledger: Ledger::default(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            store,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the counters so far.
    pub fn ledger(&self) -> Ledger {
        self.state().ledger.clone()
    }

    /// Returns the models that are loaded or loading.
    pub fn loaded(&self) -> Vec<ModelName> {
        self.state().loaded.keys().cloned().collect()
    }

    /// Returns whether a model is loaded and ready to serve.
    pub fn is_ready(&self, model: &str) -> bool {
        self.state()
            .loaded
            .get(model)
            .is_some_and(|loaded| loaded.is_ready)
    }

    /// Returns the fraction of the memory held by ready models without running requests.
    pub fn idle_memory_ratio(&self) -> f64 {
        let state = self.state();
        let idle = state
            .loaded
            .values()
            .filter(|loaded| loaded.is_ready && loaded.running == 0);
        let idle_mb: u64 = idle.map(|loaded| loaded.size_bytes >> 20).sum();
        #[expect(clippy::cast_precision_loss, reason = "a ratio")]
        let ratio = idle_mb as f64 / (state.config.memory_bytes >> 20) as f64;
        ratio
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Simulates a restart: the loaded models are lost and the incarnation changes.
    pub fn restart(&self) {
        let mut state = self.state();
        state.boot = rand::random();
        state.loaded.clear();
    }

    /// Serves orders and requests over HTTP and returns the bound address.
    pub fn serve(&self, address: SocketAddr) -> SocketAddr {
        let engine = self.clone();
        server::serve(address, move |request| engine.handle(&request))
    }

    fn handle(&self, request: &Request) -> Response {
        let path = request.path().to_owned();
        if path == "/standin/faults" {
            self.set_faults(server::json_body(request).unwrap_or_default());
            return server::response(200, "");
        }
        if path == "/standin/ledger" {
            return server::json_response(&self.ledger());
        }
        if self.state().faults.dead {
            return server::response(200, Body::from_reader(BrokenBody));
        }
        match path.as_str() {
            "/control/status" => server::json_response(&self.status()),
            "/control/order" => match server::json_body::<OrderBody>(request) {
                Some(order) => server::json_response(&self.order(&order)),
                None => server::response(400, ""),
            },
            "/v1/chat/completions" | "/v1/completions" => self.complete(request),
            _ => server::response(404, ""),
        }
    }

    fn status(&self) -> StatusBody {
        let state = self.state();
        let loaded = state.loaded.iter().map(|(model, loaded)| LoadedBody {
            model: model.clone(),
            state: if loaded.is_ready { "ready" } else { "loading" }.into(),
            running: loaded.running,
        });
        let cached = state.cached.iter().map(|model| CachedBody {
            model: model.clone(),
            tier: "memory".into(),
        });
        StatusBody {
            boot: state.boot,
            loaded: loaded.collect(),
            cached: cached.collect(),
            leaving: state.faults.leaving,
        }
    }

    fn order(&self, order: &OrderBody) -> OrderResult {
        let mut state = self.state();
        if state.config.checks_fencing {
            if order.fence < state.highest_fence {
                state.ledger.fenced += 1;
                return OrderResult::Fenced;
            }
            state.highest_fence = order.fence;
        }
        if order.kind == "load" {
            self.load(&mut state, order)
        } else {
            unload(&mut state, order)
        }
    }

    fn load(&self, state: &mut State, order: &OrderBody) -> OrderResult {
        if let Some(loaded) = state.loaded.get(&order.model) {
            return if loaded.is_ready {
                OrderResult::Loaded
            } else {
                OrderResult::Loading
            };
        }
        let base_ready = |base: &ModelName| state.loaded.get(base).is_some_and(|b| b.is_ready);
        if order.base.as_ref().is_some_and(|base| !base_ready(base)) {
            return OrderResult::NoRoom;
        }
        let used_bytes: u64 = state.loaded.values().map(|loaded| loaded.size_bytes).sum();
        if used_bytes + order.size_bytes > state.config.memory_bytes {
            state.ledger.no_room += 1;
            return OrderResult::NoRoom;
        }
        let loaded = LoadedModel {
            size_bytes: order.size_bytes,
            is_ready: false,
            running: 0,
        };
        state.loaded.insert(order.model.clone(), loaded);
        *state.ledger.loads.entry(order.model.clone()).or_default() += 1;
        state.ledger.most_bytes = state.ledger.most_bytes.max(used_bytes + order.size_bytes);
        let is_cached = state.cached.contains(&order.model);
        let (engine, boot) = (self.clone(), state.boot);
        let (model, size_bytes) = (order.model.clone(), order.size_bytes);
        std::thread::spawn(move || engine.fetch(&model, size_bytes, is_cached, boot));
        OrderResult::Loading
    }

    fn fetch(&self, model: &ModelName, size_bytes: u64, is_cached: bool, boot: Incarnation) {
        if is_cached {
            // The checkpoint is cached in the machine's memory; the weight store isn't used.
            let mb = u32::try_from(size_bytes >> 20).unwrap_or(u32::MAX);
            std::thread::sleep(Duration::from_micros(u64::from(mb) * 50) / MEMORY_SPEEDUP);
        } else {
            self.store.fetch(size_bytes);
        }
        let mut state = self.state();
        if state.boot != boot {
            return;
        }
        if let Some(loaded) = state.loaded.get_mut(model) {
            loaded.is_ready = true;
        }
        state.cached.retain(|cached| cached != model);
        state.cached.push_back(model.clone());
        if state.cached.len() > MAX_MEMORY_CHECKPOINTS {
            state.cached.pop_front();
        }
    }

    fn complete(&self, request: &Request) -> Response {
        let resume_at = request.header("x-resume-at");
        let resume_at = resume_at.and_then(|text| text.parse().ok()).unwrap_or(0);
        let Some(body) = server::json_body::<Value>(request) else {
            return server::response(400, "");
        };
        let model: ModelName = body["model"].as_str().unwrap_or_default().into();
        let run = match self.begin_request(&model) {
            Ok(run) => run,
            Err(status) => return server::response(status, "not begun"),
        };
        let tokens = body["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS);
        let (token_time, break_after) = {
            let state = self.state();
            (
                state.config.token_interval,
                state.faults.break_streams_after,
            )
        };
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        let stream = TokenStream {
            run,
            prompt_hash: prompt_hash(&body),
            position: resume_at,
            tokens,
            token_time,
            break_after: (break_after > 0).then(|| resume_at + break_after),
            pending: io::Cursor::default(),
            ended: false,
        };
        if body["stream"].as_bool().unwrap_or(false) {
            let builder = http::Response::builder().header("content-type", "text/event-stream");
            return builder.body(Body::from_reader(stream)).unwrap_or_default();
        }
        complete_response(stream)
    }

    /// Starts a request.
    ///
    /// # Errors
    /// The HTTP status of the rejection: 404 if the model isn't ready, 429 if all slots are in use.
    fn begin_request(&self, model: &ModelName) -> Result<RunningRequest, u16> {
        let mut state = self.state();
        let is_ready = state
            .loaded
            .get(model)
            .is_some_and(|loaded| loaded.is_ready);
        if !is_ready {
            return Err(404);
        }
        if state.running >= state.config.slots {
            return Err(429);
        }
        state.running += 1;
        state.ledger.requests += 1;
        if let Some(loaded) = state.loaded.get_mut(model) {
            loaded.running += 1;
        }
        Ok(RunningRequest {
            engine: self.clone(),
            model: model.clone(),
            finished: false,
        })
    }
}

fn unload(state: &mut State, order: &OrderBody) -> OrderResult {
    match state.loaded.get(&order.model) {
        None => OrderResult::Absent,
        Some(loaded) if loaded.running > 0 => OrderResult::Busy,
        Some(_) => {
            state.loaded.remove(&order.model);
            OrderResult::Absent
        }
    }
}

/// A running request. Dropping it frees its slot, and counts it as cancelled unless it finished.
#[derive(Debug)]
struct RunningRequest {
    engine: Engine,
    model: ModelName,
    finished: bool,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut state = self.engine.state();
        state.running -= 1;
        if !self.finished {
            state.ledger.cancelled += 1;
        }
        if let Some(loaded) = state.loaded.get_mut(&self.model) {
            loaded.running -= 1;
        }
    }
}

/// Generates the events of a stream at the engine's token rate.
#[derive(Debug)]
struct TokenStream {
    run: RunningRequest,
    prompt_hash: u64,
    position: u32,
    tokens: u32,
    token_time: Duration,
    break_after: Option<u32>,
    pending: io::Cursor<Vec<u8>>,
    ended: bool,
}

impl TokenStream {
    fn next_token(&mut self) -> io::Result<Option<String>> {
        if self.position >= self.tokens {
            self.run.finished = true;
            return Ok(None);
        }
        std::thread::sleep(self.token_time);
        let is_broken = self.break_after.is_some_and(|after| self.position >= after);
        if is_broken || self.run.engine.state().faults.dead {
            return Err(io::Error::other("injected connection break"));
        }
        self.position += 1;
        Ok(Some(token_text(self.prompt_hash, self.position - 1)))
    }
}

impl Read for TokenStream {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.pending.read(buffer)?;
        if count > 0 || self.ended {
            return Ok(count);
        }
        let event = if let Some(text) = self.next_token()? {
            let event = serde_json::json!({ "choices": [{ "delta": { "content": text } }] });
            format!("data: {event}\n\n")
        } else {
            self.ended = true;
            "data: [DONE]\n\n".to_owned()
        };
        self.pending = io::Cursor::new(event.into_bytes());
        self.pending.read(buffer)
    }
}

fn complete_response(mut stream: TokenStream) -> Response {
    let mut text = String::new();
    let mut count = 0;
    loop {
        match stream.next_token() {
            Ok(Some(token)) => {
                text.push_str(&token);
                count += 1;
            }
            Ok(None) => break,
            Err(_) => return server::response(200, Body::from_reader(BrokenBody)),
        }
    }
    server::json_response(&serde_json::json!({
        "choices": [{ "message": { "content": text } }],
        "usage": { "completion_tokens": count },
    }))
}

/// A response body whose read fails, which breaks the connection.
struct BrokenBody;

impl Read for BrokenBody {
    fn read(&mut self, _buffer: &mut [u8]) -> io::Result<usize> {
        Err(io::Error::other("injected connection break"))
    }
}
