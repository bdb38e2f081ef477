//! A stand-in of a model engine.

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

/// Checkpoints kept in the machine's memory; older ones are on disk only.
const MEMORY_CHECKPOINTS: usize = 4;
/// A load from the machine's memory is this many times as fast as from the weight store.
const MEMORY_SPEEDUP: u32 = 16;
/// Tokens of an answer whose request names no number.
const DEFAULT_TOKENS: u64 = 16;

/// What an engine is.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Accelerator memory for models.
    pub memory_bytes: u64,
    /// Requests at one time; more are turned away.
    pub slots: u32,
    /// Whether old fencing numbers are refused, also after a restart.
    pub checks_fencing: bool,
    /// Time from one token to the next.
    pub token_interval: Duration,
}

/// What an engine is told to do wrong.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Breaks every connection and answers nothing.
    pub dead: bool,
    /// Says that it is leaving.
    pub leaving: bool,
    /// Breaks each stream after this many tokens; 0 does not.
    pub break_streams_after: u32,
}

/// What an engine did, by which the promises are judged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Ledger {
    /// Loads begun, by model.
    pub loads: BTreeMap<ModelName, u32>,
    /// Most bytes held at one time.
    pub most_bytes: u64,
    /// Load orders for which there was no room.
    pub no_room: u32,
    /// Orders refused for an old fencing number.
    pub fenced: u32,
    /// Requests begun.
    pub requests: u32,
    /// Requests whose caller went away.
    pub cancelled: u32,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Loaded {
    size_bytes: u64,
    ready: bool,
    running: u32,
}

#[derive(Debug)]
struct State {
    traits: EngineConfig,
    boot: Incarnation,
    highest_fence: Fence,
    loaded: BTreeMap<ModelName, Loaded>,
    cached: VecDeque<ModelName>,
    running: u32,
    faults: Faults,
    ledger: Ledger,
}

/// The engine; clones are the same engine.
#[derive(Debug, Clone)]
pub struct Engine {
    state: Arc<Mutex<State>>,
    store: WeightStore,
}

/// The text of a token: it depends on the prompt and the place alone, so a
/// caller can tell whether an answer is its own, whole and in order.
pub fn token_text(prompt_hash: u64, place: u32) -> String {
    format!("{prompt_hash:x}.{place} ")
}

/// The hash of a request's prompt, over `messages` or `prompt`.
pub fn prompt_hash(body: &Value) -> u64 {
    let prompt = body.get("messages").or_else(|| body.get("prompt"));
    stable_hash(&[prompt.map(Value::to_string).unwrap_or_default().as_bytes()])
}

impl Engine {
    /// An engine with nothing loaded.
    pub fn new(traits: EngineConfig, store: WeightStore) -> Self {
        let state = State {
            traits,
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

    /// What it did so far.
    pub fn ledger(&self) -> Ledger {
        self.state().ledger.clone()
    }

    /// Models that serve or load now.
    pub fn loaded(&self) -> Vec<ModelName> {
        self.state().loaded.keys().cloned().collect()
    }

    /// Whether a model serves.
    pub fn is_ready(&self, model: &str) -> bool {
        self.state()
            .loaded
            .get(model)
            .is_some_and(|loaded| loaded.ready)
    }

    /// The share of the memory that models hold which serve and run nothing.
    pub fn idle_memory_ratio(&self) -> f64 {
        let state = self.state();
        let idle = state
            .loaded
            .values()
            .filter(|loaded| loaded.ready && loaded.running == 0);
        let idle_mb: u64 = idle.map(|loaded| loaded.size_bytes >> 20).sum();
        #[expect(clippy::cast_precision_loss, reason = "a share")]
        let share = idle_mb as f64 / (state.traits.memory_bytes >> 20) as f64;
        share
    }

    /// Tells the engine what to do wrong from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Loses everything, as a restart does.
    pub fn restart(&self) {
        let mut state = self.state();
        state.boot = rand::random();
        state.loaded.clear();
    }

    /// Serves orders and requests over HTTP.
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
            return server::response(200, Body::wrap_reader(BrokenBody));
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
            state: if loaded.ready { "ready" } else { "loading" }.into(),
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
        if state.traits.checks_fencing {
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
            return if loaded.ready {
                OrderResult::Loaded
            } else {
                OrderResult::Loading
            };
        }
        let base_ready = |base: &ModelName| state.loaded.get(base).is_some_and(|b| b.ready);
        if order.base.as_ref().is_some_and(|base| !base_ready(base)) {
            return OrderResult::NoRoom;
        }
        let held_bytes: u64 = state.loaded.values().map(|loaded| loaded.size_bytes).sum();
        if held_bytes + order.size_bytes > state.traits.memory_bytes {
            state.ledger.no_room += 1;
            return OrderResult::NoRoom;
        }
        let loaded = Loaded {
            size_bytes: order.size_bytes,
            ready: false,
            running: 0,
        };
        state.loaded.insert(order.model.clone(), loaded);
        *state.ledger.loads.entry(order.model.clone()).or_default() += 1;
        state.ledger.most_bytes = state.ledger.most_bytes.max(held_bytes + order.size_bytes);
        let is_cached = state.cached.contains(&order.model);
        let (engine, boot) = (self.clone(), state.boot);
        let (model, size_bytes) = (order.model.clone(), order.size_bytes);
        std::thread::spawn(move || engine.fetch(&model, size_bytes, is_cached, boot));
        OrderResult::Loading
    }

    fn fetch(&self, model: &ModelName, size_bytes: u64, is_cached: bool, boot: Incarnation) {
        if is_cached {
            // From the machine's own memory, past the weight store.
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
            loaded.ready = true;
        }
        state.cached.retain(|cached| cached != model);
        state.cached.push_back(model.clone());
        if state.cached.len() > MEMORY_CHECKPOINTS {
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
        let run = match self.begin(&model) {
            Ok(run) => run,
            Err(status) => return server::response(status, "not begun"),
        };
        let tokens = body["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS);
        let (token_time, break_after) = {
            let state = self.state();
            (
                state.traits.token_interval,
                state.faults.break_streams_after,
            )
        };
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        let stream = TokenStream {
            run,
            prompt_hash: prompt_hash(&body),
            place: resume_at,
            tokens,
            token_time,
            break_after: (break_after > 0).then(|| resume_at + break_after),
            pending: io::Cursor::default(),
            ended: false,
        };
        if body["stream"].as_bool().unwrap_or(false) {
            let builder = http::Response::builder().header("content-type", "text/event-stream");
            return builder.body(Body::wrap_reader(stream)).unwrap_or_default();
        }
        whole(stream)
    }

    /// Begins a request, or says by which status it was turned away.
    fn begin(&self, model: &ModelName) -> Result<Run, u16> {
        let mut state = self.state();
        let ready = state.loaded.get(model).is_some_and(|loaded| loaded.ready);
        if !ready {
            return Err(404);
        }
        if state.running >= state.traits.slots {
            return Err(429);
        }
        state.running += 1;
        state.ledger.requests += 1;
        if let Some(loaded) = state.loaded.get_mut(model) {
            loaded.running += 1;
        }
        Ok(Run {
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

/// A request that runs, until it is dropped.
#[derive(Debug)]
struct Run {
    engine: Engine,
    model: ModelName,
    finished: bool,
}

impl Drop for Run {
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

/// Generates tokens at the engine's rate.
#[derive(Debug)]
struct TokenStream {
    run: Run,
    prompt_hash: u64,
    place: u32,
    tokens: u32,
    token_time: Duration,
    break_after: Option<u32>,
    pending: io::Cursor<Vec<u8>>,
    ended: bool,
}

impl TokenStream {
    fn next_token(&mut self) -> io::Result<Option<String>> {
        if self.place >= self.tokens {
            self.run.finished = true;
            return Ok(None);
        }
        std::thread::sleep(self.token_time);
        let is_broken = self.break_after.is_some_and(|after| self.place >= after);
        if is_broken || self.run.engine.state().faults.dead {
            return Err(io::Error::other("told to break"));
        }
        self.place += 1;
        Ok(Some(token_text(self.prompt_hash, self.place - 1)))
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

fn whole(mut stream: TokenStream) -> Response {
    let mut text = String::new();
    let mut count = 0;
    loop {
        match stream.next_token() {
            Ok(Some(token)) => {
                text.push_str(&token);
                count += 1;
            }
            Ok(None) => break,
            Err(_) => return server::response(200, Body::wrap_reader(BrokenBody)),
        }
    }
    server::json_response(&serde_json::json!({
        "choices": [{ "message": { "content": text } }],
        "usage": { "completion_tokens": count },
    }))
}

/// Breaks the connection when it is read.
struct BrokenBody;

impl Read for BrokenBody {
    fn read(&mut self, _buffer: &mut [u8]) -> io::Result<usize> {
        Err(io::Error::other("told to break"))
    }
}
