//! Asking dispatchers for engines, and being one: datagrams on the port for other instances.
//!
//! An answer that does not come within 60 ms is not waited for: the request goes by
//! what this instance has sent itself, and the next ones ask another dispatcher for a while. So
//! a dispatcher that dies, freezes or is cut off costs a request that moment and nothing else.

use crate::keeper;
use crate::questions::Questions;
use crate::shared::Shared;
use passway_serving::dispatch::{
    Dispatchers, REFRESH_INTERVAL, RunId, RunKey, RunTable, WaitQueue, Waiter, effective_load,
};
use passway_serving::halls::AllowedRegions;
use passway_serving::leadership::Candidate;
use passway_serving::upstreams::{Choice, ModelRef, Outcome, RequestNeeds};
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::dispatch::{
    Ask, Datagram, Dispatch as Body, Ended, Grant, RunHere, RunOutcome, Running, Verdict,
};
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Dispatchers that are asked for one attempt before it waits.
const MOST_ASKED: usize = 2;
/// Largest datagram that is read: what UDP carries.
const MAX_BYTES: usize = 65_507;
/// Runs that are told in one: with names of usual length, of some 15 bytes, what goes over any
/// link in one piece (1,400 bytes); with longer ones it goes in several.
const RUNS_PER_DATAGRAM: usize = 40;

/// Longest time to or since a due moment that is told: far over any request's patience.
const LONGEST_DUE_MS: u64 = 600_000;

/// A run of this instance that its dispatcher knows, or will hear of.
#[derive(Debug, Clone)]
struct OwnRun {
    engine: UpstreamId,
    /// Who granted it; `None` if it was sent without asking.
    granted_by: Option<SocketAddr>,
}

/// What a request is told.
#[derive(Debug, Clone, PartialEq)]
pub struct Told {
    /// Where it goes.
    pub choice: Choice,
    /// The number of the run, if it goes.
    pub run: Option<RunId>,
}

/// A request's question.
#[derive(Debug, Clone, Copy)]
pub struct Question<'a> {
    /// The attempt's number, from [`Dispatch::next_run`]; the same when it asks again.
    pub id: RunId,
    /// The service.
    pub service: &'a ServiceName,
    /// What it needs.
    pub model_ref: &'a ModelRef,
    /// Engines where it has been.
    pub tried: &'a [UpstreamId],
    /// A number of the request's own.
    pub drawn: u64,
    /// When it must begin to be in time.
    pub due_at: Instant,
    /// Whether engines let it in before all others that wait.
    pub is_urgent: bool,
    /// The regions in which it may be served.
    pub allowed: &'a AllowedRegions,
}

/// Time until a moment in milliseconds; below 0 if it is past.
fn due_in_ms(due_at: Instant, now: Instant) -> i64 {
    let ms = |time: Duration| i64::try_from(time.as_millis()).unwrap_or(i64::MAX);
    ms(due_at.saturating_duration_since(now)) - ms(now.saturating_duration_since(due_at))
}

/// The moment that is so many milliseconds away.
fn due_at(due_in_ms: i64, now: Instant) -> Instant {
    let away = Duration::from_millis(due_in_ms.unsigned_abs().min(LONGEST_DUE_MS));
    let moment = if due_in_ms < 0 {
        now.checked_sub(away)
    } else {
        now.checked_add(away)
    };
    moment.unwrap_or(now)
}

/// The instance's part in dispatching.
#[derive(Debug)]
pub struct Dispatch {
    me: SocketAddr,
    /// `None` if the port is taken: the instance then goes by what it sees itself.
    socket: Option<UdpSocket>,
    dispatchers: Mutex<Dispatchers>,
    book: Mutex<RunTable>,
    line: Mutex<WaitQueue>,
    /// Attempts that wait for an answer.
    asking: Questions<Grant>,
    runs: Mutex<HashMap<RunId, OwnRun>>,
    next_run: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Dispatch {
    /// Binds the address for other instances.
    pub fn bind(me: SocketAddr) -> Self {
        let socket = UdpSocket::bind(me);
        if let Err(error) = &socket {
            log::warn!(address:% = me, error:% = error; "no port for dispatching; engines are chosen by what is seen here");
        }
        Self {
            me,
            socket: socket.ok(),
            dispatchers: Mutex::default(),
            book: Mutex::default(),
            line: Mutex::default(),
            asking: Questions::default(),
            runs: Mutex::default(),
            // Numbers of a process before this one are not used again.
            next_run: AtomicU64::new(rand::random()),
        }
    }

    /// Uses another list of dispatchers.
    pub fn set(&self, list: Vec<Candidate>) {
        log::info!(dispatchers = list.len(); "dispatchers");
        lock(&self.dispatchers).set(list);
        // The thread that answers looks again.
        self.send(self.me, None);
    }

    /// Who dispatches for engines.
    pub fn list(&self) -> Vec<Candidate> {
        lock(&self.dispatchers).list().to_vec()
    }

    /// Whether engines have dispatchers.
    pub fn is_used(&self) -> bool {
        self.socket.is_some() && !lock(&self.dispatchers).is_empty()
    }

    fn dispatcher_of(&self, engine: &str) -> Option<SocketAddr> {
        lock(&self.dispatchers).of_engine(engine, clock::now())
    }

    /// Sends a datagram. One that cannot be sent is lost like any other.
    pub fn send(&self, to: SocketAddr, body: impl Into<Option<Body>>) {
        if let Some(socket) = &self.socket
            && let Err(error) = socket.send_to(&Datagram::bytes(body.into()), to)
        {
            log::debug!(to:% = to, error:% = error; "a datagram was not sent");
        }
    }

    /// An engine for a request; `None` if nobody tells, so that it goes by what is seen here.
    pub fn ask(&self, shared: &Shared, question: &Question<'_>) -> Option<Told> {
        if !self.is_used() {
            return None;
        }
        let now = clock::now();
        let &Question {
            service,
            model_ref,
            tried,
            drawn,
            ..
        } = question;
        let wanted = RequestNeeds {
            service,
            model_ref: Some(model_ref),
            hall: &shared.settings.hall,
            allowed: question.allowed,
            random: drawn,
        };
        let mut engines = shared.upstreams().shuffled_engines(wanted, now);
        engines.retain(|id| !tried.contains(id));
        let ask = Ask {
            id: 0,
            service: service.to_string(),
            model: model_ref.model.to_string(),
            adapter: model_ref.adapter.as_deref().unwrap_or_default().to_owned(),
            hall: shared.settings.hall.to_string(),
            drawn,
            due_in_ms: due_in_ms(question.due_at, now),
            is_urgent: question.is_urgent,
            tried: tried.iter().map(ToString::to_string).collect(),
            regions: question
                .allowed
                .regions()
                .map(ToString::to_string)
                .collect(),
            is_bound: question.allowed.is_restricted(),
        };
        let mut asked = Vec::new();
        let mut choice = Choice::Absent;
        for engine in &engines {
            let dispatcher = self.dispatcher_of(engine)?;
            if asked.contains(&dispatcher) {
                continue;
            }
            if asked.len() >= MOST_ASKED {
                break;
            }
            asked.push(dispatcher);
            let ask = Ask {
                id: question.id,
                ..ask.clone()
            };
            let Some(grant) = self.question(shared, dispatcher, ask) else {
                lock(&self.dispatchers).mark_unresponsive(dispatcher, clock::now());
                return None;
            };
            match grant.verdict() {
                Verdict::Go => return self.granted(shared, dispatcher, &grant),
                Verdict::Full => choice = Choice::Full,
                Verdict::Absent => {}
            }
        }
        // That none of them knows what stands there by what is heard here is told soon.
        let is_told = choice == Choice::Full || engines.is_empty();
        is_told.then_some(Told { choice, run: None })
    }

    /// The engine that was granted, if it is known here.
    fn granted(&self, shared: &Shared, by: SocketAddr, grant: &Grant) -> Option<Told> {
        let engine = UpstreamId::from(grant.engine.as_str());
        let address = shared.upstreams().address_of(&engine)?;
        let run = OwnRun {
            engine: engine.clone(),
            granted_by: Some(by),
        };
        lock(&self.runs).insert(grant.id, run);
        Some(Told {
            choice: Choice::Send {
                id: engine,
                address,
            },
            run: Some(grant.id),
        })
    }

    /// One question and its answer; `None` without one.
    fn question(&self, shared: &Shared, dispatcher: SocketAddr, ask: Ask) -> Option<Grant> {
        if dispatcher == self.me {
            return Some(self.answer(shared, self.me, &ask));
        }
        let id = ask.id;
        let body = Body::Ask(ask);
        self.asking.ask(id, || self.send(dispatcher, body.clone()))
    }

    /// A number for an attempt.
    pub fn next_run(&self) -> RunId {
        self.next_run.fetch_add(1, Ordering::Relaxed)
    }

    /// A request goes to an engine without having asked; the run's number.
    pub fn unasked(&self, engine: &UpstreamId) -> Option<RunId> {
        if !self.is_used() {
            return None;
        }
        let id = self.next_run();
        let run = OwnRun {
            engine: engine.clone(),
            granted_by: None,
        };
        lock(&self.runs).insert(id, run);
        Some(id)
    }

    /// A run of this instance is over.
    pub fn ended(&self, shared: &Shared, id: RunId, outcome: Outcome) {
        let run = lock(&self.runs).remove(&id);
        let Some(OwnRun { engine, granted_by }) = run else {
            return;
        };
        let Some(dispatcher) = granted_by.or_else(|| self.dispatcher_of(&engine)) else {
            return;
        };
        let ended = Ended {
            id,
            outcome: encode(outcome).into(),
        };
        if dispatcher == self.me {
            self.over(shared, self.me, &ended);
        } else {
            self.send(dispatcher, Body::Ended(ended));
        }
    }

    /// Answers a question, as the dispatcher.
    fn answer(&self, shared: &Shared, from: SocketAddr, ask: &Ask) -> Grant {
        let key = RunKey {
            instance: from,
            id: ask.id,
        };
        let grant = |verdict: Verdict, engine: &str| Grant {
            id: ask.id,
            verdict: verdict.into(),
            engine: engine.to_owned(),
        };
        let now = clock::now();
        // The order of locks: the upstreams before the book.
        let upstreams = shared.upstreams();
        let mut book = lock(&self.book);
        if let Some(engine) = book.engine_of(key) {
            return grant(Verdict::Go, engine);
        }
        let adapter = Some(ask.adapter.as_str()).filter(|name| !name.is_empty());
        let model_ref = ModelRef {
            model: ask.model.as_str().into(),
            adapter: adapter.map(Into::into),
        };
        let allowed = if ask.is_bound {
            AllowedRegions::only(ask.regions.iter().map(|region| region.as_str().into()))
        } else {
            AllowedRegions::ANY
        };
        let (service, hall) = (ask.service.as_str().into(), ask.hall.as_str().into());
        let wanted = RequestNeeds {
            service: &service,
            model_ref: Some(&model_ref),
            hall: &hall,
            allowed: &allowed,
            random: ask.drawn,
        };
        let dispatchers = lock(&self.dispatchers);
        let is_open = |id: &UpstreamId| {
            !ask.tried.iter().any(|tried| **tried == **id)
                && dispatchers.of_engine(id, now) == Some(self.me)
        };
        let runs = |id: &UpstreamId| {
            let slots = upstreams.slots_of(id);
            effective_load(book.load(id), slots, ask.is_urgent)
        };
        let choice = upstreams.choose_by(wanted, is_open, Some(&runs), now);
        let mut line = lock(&self.line);
        let waiter = Waiter {
            model_ref: model_ref.clone(),
            due_at: due_at(ask.due_in_ms, now),
        };
        match choice {
            Choice::Send { id, .. } => {
                let free = upstreams.slots_of(&id).saturating_sub(runs(&id));
                let could_use = |other: &ModelRef| upstreams.has(&id, other, now);
                let before = line.count_ahead(key, &waiter, could_use, now);
                if before >= usize::try_from(free).unwrap_or(usize::MAX) {
                    line.record(key, waiter, now);
                    return grant(Verdict::Full, "");
                }
                line.remove(key);
                book.record(key, &id, now);
                grant(Verdict::Go, &id)
            }
            Choice::Full => {
                line.record(key, waiter, now);
                grant(Verdict::Full, "")
            }
            Choice::Absent => grant(Verdict::Absent, ""),
        }
    }

    /// A run is over, as its dispatcher hears.
    fn over(&self, shared: &Shared, from: SocketAddr, ended: &Ended) {
        let key = RunKey {
            instance: from,
            id: ended.id,
        };
        let engine = lock(&self.book).remove(key);
        if let (Some(engine), Some(outcome)) = (engine, decode(ended.outcome())) {
            shared
                .upstreams()
                .record_peer_outcome(&engine, outcome, clock::now());
        }
    }

    /// Takes in a datagram.
    fn take(&self, shared: &Shared, from: SocketAddr, body: Body) {
        match body {
            Body::Ask(ask) => {
                let grant = self.answer(shared, from, &ask);
                self.send(from, Body::Grant(grant));
            }
            // One that comes late, or twice, is of no use: the run ends by not being told.
            Body::Grant(grant) => self.asking.answered(grant.id, grant),
            Body::Ended(ended) => self.over(shared, from, &ended),
            Body::Running(running) => {
                let now = clock::now();
                let mut book = lock(&self.book);
                for run in running.runs {
                    let key = RunKey {
                        instance: from,
                        id: run.id,
                    };
                    book.record(key, &run.engine.as_str().into(), now);
                }
            }
            Body::VersionAsk(ask) => {
                let told = shared.configuration_age.told(&ask);
                self.send(from, Body::VersionTold(told));
            }
            Body::VersionTold(told) => shared.configuration_age.answered(told),
            Body::UseAsk(ask) => {
                let told = keeper::rule(shared, from, &ask);
                self.send(from, Body::UseTold(told));
            }
            Body::UseTold(told) => shared.keeper.answered(told),
            Body::UseBack(back) if back.digest.is_empty() => {
                shared.allotments.take_back(shared, from, &back);
            }
            Body::UseBack(back) => shared.poison.take_back(from, &back),
            Body::Suspects(told) => shared.poison.join_from_peer(told),
        }
    }

    /// Tells dispatchers what runs on their engines, so that they know it although they have
    /// just begun, or an end was lost.
    fn refresh(&self, shared: &Shared) {
        let runs = lock(&self.runs).clone();
        let mut by_dispatcher: HashMap<SocketAddr, Vec<RunHere>> = HashMap::new();
        for (id, run) in runs {
            if let Some(dispatcher) = self.dispatcher_of(&run.engine) {
                let here = RunHere {
                    id,
                    engine: run.engine.to_string(),
                };
                by_dispatcher.entry(dispatcher).or_default().push(here);
            }
        }
        for (dispatcher, runs) in by_dispatcher {
            for part in runs.chunks(RUNS_PER_DATAGRAM) {
                let body = Body::Running(Running {
                    runs: part.to_vec(),
                });
                if dispatcher == self.me {
                    self.take(shared, self.me, body);
                } else {
                    self.send(dispatcher, body);
                }
            }
        }
    }

    /// Hears others for as long as the process lives.
    pub fn start(shared: &Arc<Shared>) {
        let shared = shared.clone();
        std::thread::spawn(move || shared.dispatch.run(&shared));
    }

    fn run(&self, shared: &Shared) {
        let Some(socket) = &self.socket else {
            return;
        };
        let mut bytes = vec![0; MAX_BYTES];
        let mut refresh_at = clock::now();
        loop {
            let now = clock::now();
            // Without dispatchers nothing is due by time: a datagram tells when there are some.
            let pause = self.is_used().then(|| {
                if now >= refresh_at {
                    refresh_at = now + REFRESH_INTERVAL;
                    self.refresh(shared);
                    lock(&self.book).remove_expired(now);
                    lock(&self.line).remove_expired(now);
                }
                let left = refresh_at.saturating_duration_since(now);
                left.max(Duration::from_millis(1))
            });
            if let Err(error) = socket.set_read_timeout(pause) {
                log::warn!(error:% = error; "a time-out cannot be set");
            }
            let Ok((length, from)) = socket.recv_from(&mut bytes) else {
                // The time is over, or a datagram of before was refused by a dead port.
                continue;
            };
            if let Some(body) = Datagram::read(&bytes[..length]) {
                self.take(shared, from, body);
            }
        }
    }
}

fn encode(outcome: Outcome) -> RunOutcome {
    match outcome {
        Outcome::Answered => RunOutcome::Answered,
        Outcome::Failed => RunOutcome::Failed,
        Outcome::Shed => RunOutcome::Shed,
        Outcome::Unreachable => RunOutcome::Unreachable,
        Outcome::Unknown => RunOutcome::Unknown,
    }
}

fn decode(outcome: RunOutcome) -> Option<Outcome> {
    match outcome {
        RunOutcome::Answered => Some(Outcome::Answered),
        RunOutcome::Failed => Some(Outcome::Failed),
        RunOutcome::Shed => Some(Outcome::Shed),
        RunOutcome::Unreachable => Some(Outcome::Unreachable),
        RunOutcome::Unknown => None,
    }
}
