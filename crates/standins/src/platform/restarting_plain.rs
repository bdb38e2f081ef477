//! A plain server that ends when it runs a crashing request, and starts again under its id.

use super::documents::plain_entry;
use super::plain_server::{FIRST_START_MS, identity_steps_with};
use super::raw::{Action, EndedScript, RawServer, Received, Step};
use super::store::MetadataStandIn;
use passway_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::Ipv4Addr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The address of these servers. Instances ask the ports of earlier starts for some seconds, so that no other stand-in may get
/// them meanwhile.
const IP: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// What the port of a server that ends does, compared with its connections, which close at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PortEnd {
    /// The port closes before the connections.
    Before,
    /// The port closes this long after the connections.
    After(Duration),
    /// A supervisor keeps the port open; connections are accepted and closed until the next start.
    StaysOpen,
}

/// How a server ends and starts again.
#[derive(Debug, Clone)]
pub struct Restarts {
    /// The server ends when it runs a request whose body begins with this prefix.
    pub crash_prefix: String,
    /// What becomes of the port.
    pub port: PortEnd,
    /// Time from the end to the next start.
    pub delay: Duration,
}

/// The end of one start under a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainCrash {
    /// The body of the request.
    pub body: String,
    /// When the server ended.
    pub ended_at: Instant,
}

/// A request that reached the server.
#[derive(Debug, Clone)]
pub struct PlainArrival {
    /// Id of the server.
    pub server: String,
    /// The request.
    pub received: Received,
    /// Whether the server asked for a backoff instead of running the request, and for how long.
    pub backoff: Option<Duration>,
    /// How the script of the request ended; `None` while it runs.
    pub ended: Option<EndedScript>,
    /// Whether the start that received the request ended afterwards.
    pub has_server_ended: bool,
}

type Script = dyn Fn(&Received) -> Vec<Step> + Send + Sync;

struct Inner {
    id: String,
    store: MetadataStandIn,
    restarts: Restarts,
    script: Box<Script>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// The listeners so far; a server whose port stays open has one.
    listeners: Vec<RawServer>,
    start_count: u64,
    is_down: bool,
    crashes: Vec<PlainCrash>,
    backoff: Option<Duration>,
    /// The backoffs in answers, by the index of the listener and the number of the request there.
    backoffs: BTreeMap<(usize, usize), Duration>,
    /// Queries for the server's identity, likewise.
    queries: BTreeSet<(usize, usize)>,
}

/// A plain server that restarts; clones share the same state.
#[derive(Clone)]
pub struct RestartingPlain(Arc<Inner>);

impl fmt::Debug for RestartingPlain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RestartingPlain")
            .field("id", &self.0.id)
            .finish_non_exhaustive()
    }
}

impl RestartingPlain {
    /// Starts a server that runs the steps of `script` for each request other than queries for its identity,
    /// and lists it in the store.
    pub fn start(
        store: &MetadataStandIn,
        id: &str,
        restarts: Restarts,
        script: impl Fn(&Received) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let server = Self(Arc::new(Inner {
            id: id.to_owned(),
            store: store.clone(),
            restarts,
            script: Box::new(script),
            state: Mutex::default(),
        }));
        server.listen();
        server.publish_entry();
        server
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let state = self.0.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    /// The id of the server.
    pub fn id(&self) -> &str {
        &self.0.id
    }

    /// The listener of the current start, or of the last one while the server is down.
    ///
    /// # Panics
    /// Never: a server begins with a listener.
    pub fn listener(&self) -> RawServer {
        let listener = self.state().listeners.last().cloned();
        listener.expect("a listener")
    }

    fn listen(&self) {
        let (server, index) = (self.clone(), self.state().listeners.len());
        let listener = RawServer::start_on(IP, move |received| server.answer(index, received));
        self.state().listeners.push(listener);
    }

    fn started_at_ms(&self) -> u64 {
        FIRST_START_MS + self.state().start_count
    }

    /// Writes the server's entry, which names its start.
    pub fn publish_entry(&self) {
        let mut entry = plain_entry(self.listener().address);
        entry["born"] = self.started_at_ms().into();
        self.0.store.put(&format!("servers/{}", self.0.id), &entry);
    }

    /// Asks for this backoff in the answers to all requests from now on; `None` runs them again.
    pub fn set_backoff(&self, backoff: Option<Duration>) {
        self.state().backoff = backoff;
    }

    /// The ends of the server under crashing requests.
    pub fn crashes(&self) -> Vec<PlainCrash> {
        self.state().crashes.clone()
    }

    /// The requests that reached the server, without queries for its identity.
    pub fn arrivals(&self) -> Vec<PlainArrival> {
        let state = self.state();
        let listeners = state.listeners.iter().enumerate();
        let arrivals = listeners.flat_map(|(index, listener)| {
            let ended = listener.ended_scripts();
            let state = &state;
            let received = listener.received().into_iter();
            let requests =
                received.filter(move |one| !state.queries.contains(&(index, one.number)));
            requests.map(move |received| PlainArrival {
                server: self.0.id.clone(),
                backoff: state.backoffs.get(&(index, received.number)).copied(),
                ended: ended.get(&received.number).copied(),
                has_server_ended: state
                    .crashes
                    .iter()
                    .any(|crash| crash.ended_at >= received.arrived_at),
                received,
            })
        });
        arrivals.collect()
    }

    fn answer(&self, index: usize, received: &Received) -> Vec<Step> {
        let body = format!("{{\"born\":{}}}", self.started_at_ms());
        let mut state = self.state();
        if let Some(steps) = identity_steps_with(received, &self.0.id, &body) {
            state.queries.insert((index, received.number));
            return if state.is_down {
                vec![Step::Close]
            } else {
                steps
            };
        }
        if state.is_down {
            return vec![Step::Close];
        }
        if let Some(backoff) = state.backoff {
            state.backoffs.insert((index, received.number), backoff);
            let id = received.header("request-id").unwrap_or_default();
            let text = format!(
                "HTTP/1.1 503 X\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nRetry-After: {}\r\nContent-Length: 0\r\n\r\n",
                backoff.as_secs_f64()
            );
            return vec![Step::Send(text.into_bytes())];
        }
        let start = state.start_count;
        drop(state);
        if received
            .body
            .starts_with(self.0.restarts.crash_prefix.as_bytes())
        {
            let (server, body) = (self.clone(), received.body.clone());
            let crash = Action::new(move || server.crash(start, &body));
            return vec![Step::Do(crash), Step::Close];
        }
        (self.0.script)(received)
    }

    /// Ends this start, if it is the current one, and starts the server again after a delay.
    fn crash(&self, start: u64, body: &[u8]) {
        let mut state = self.state();
        if state.is_down || state.start_count != start {
            return;
        }
        state.is_down = true;
        state.crashes.push(PlainCrash {
            body: String::from_utf8_lossy(body).into_owned(),
            ended_at: Instant::now(),
        });
        drop(state);
        let listener = self.listener();
        match self.0.restarts.port {
            PortEnd::Before => listener.crash(),
            PortEnd::After(delay) => {
                listener.close_connections();
                std::thread::spawn(move || {
                    std::thread::sleep(delay);
                    listener.crash();
                });
            }
            PortEnd::StaysOpen => listener.close_connections(),
        }
        let server = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(server.0.restarts.delay);
            server.begin_next_start();
        });
    }

    fn begin_next_start(&self) {
        if self.0.restarts.port != PortEnd::StaysOpen {
            self.listen();
        }
        let mut state = self.state();
        state.start_count += 1;
        state.is_down = false;
        drop(state);
        self.publish_entry();
    }
}
