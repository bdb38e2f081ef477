//! Datagram queries to dispatchers for engines, and the dispatcher's side of these queries.
//!
//! A request waits at most 60 ms for a dispatcher's answer. Without one the instance chooses by the
//! load that it has sent itself, and the next requests ask another dispatcher for a while. A
//! dispatcher that crashes, freezes or is disconnected therefore costs a request no more than this
//! wait.

use crate::coordinator;
use crate::queries::PendingQueries;
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
    Datagram, Dispatch as Body, DispatchReply, DispatchRequest, EngineRun, RunEnded, RunOutcome,
    RunSnapshot, Verdict,
};
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Dispatchers that are queried for one attempt before the request waits.
const MAX_DISPATCHERS_QUERIED: usize = 2;
/// Largest datagram that is read: the maximum payload of UDP.
const MAX_DATAGRAM_BYTES: usize = 65_507;
/// Runs reported in one datagram. With names of the usual 15 bytes a datagram of this size fits
/// into one packet on any link (1,400 bytes); with longer names IP fragments it.
const RUNS_PER_DATAGRAM: usize = 40;

/// Largest distance between a due time and now that is accepted from another instance: far longer
/// than any request's time limit.
const MAX_DUE_MS: u64 = 600_000;

/// A run of this instance that its dispatcher knows about or will be informed of.
#[derive(Debug, Clone)]
struct LocalRun {
    engine: UpstreamId,
    /// The dispatcher that granted the run; `None` if the request was sent without a grant.
    granted_by: Option<SocketAddr>,
}

/// The dispatchers' answer for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchAnswer {
    /// The engine that was granted, or why there is none.
    pub choice: Choice,
    /// The id of the run, if an engine was granted.
    pub run_id: Option<RunId>,
}

/// A request's query for an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineQuery<'a> {
    /// The attempt's id, from [`Dispatch::next_run_id`]; a repeated query keeps the id.
    pub run_id: RunId,
    /// The service.
    pub service: &'a ServiceName,
    /// The model, and the adapter if any, that the request needs.
    pub model_ref: &'a ModelRef,
    /// Engines that the request does not go to.
    pub tried: &'a [UpstreamId],
    /// A number derived from the request's id and its number of runs, for random choices.
    pub random: u64,
    /// When the request must begin to run to meet its latency goal.
    pub due_at: Instant,
    /// Whether engines admit the request before all other waiting requests.
    pub is_urgent: bool,
    /// The regions in which the request may be served.
    pub allowed_regions: &'a AllowedRegions,
}

/// Time until `due_at` in milliseconds; negative if it has passed.
fn due_in_ms(due_at: Instant, now: Instant) -> i64 {
    let whole_ms = |duration: Duration| i64::try_from(duration.as_millis()).unwrap_or(i64::MAX);
    whole_ms(due_at.saturating_duration_since(now))
        - whole_ms(now.saturating_duration_since(due_at))
}

/// The instant that is `due_in_ms` milliseconds away.
fn instant_from_due_ms(due_in_ms: i64, now: Instant) -> Instant {
    let distance = Duration::from_millis(due_in_ms.unsigned_abs().min(MAX_DUE_MS));
    let instant = if due_in_ms < 0 {
        now.checked_sub(distance)
    } else {
        now.checked_add(distance)
    };
    instant.unwrap_or(now)
}

/// Client and server of the dispatch protocol.
#[derive(Debug)]
pub struct Dispatch {
    own_address: SocketAddr,
    /// `None` if the port is taken: the instance then chooses engines by its own state.
    socket: Option<UdpSocket>,
    dispatchers: Mutex<Dispatchers>,
    run_table: Mutex<RunTable>,
    wait_queue: Mutex<WaitQueue>,
    /// Queries that wait for an answer.
    pending_queries: PendingQueries<DispatchReply>,
    runs: Mutex<HashMap<RunId, LocalRun>>,
    next_run_id: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Dispatch {
    /// Binds the address for other instances.
    pub fn bind(own_address: SocketAddr) -> Self {
        let socket = UdpSocket::bind(own_address);
        if let Err(error) = &socket {
            log::warn!(address:% = own_address, error:% = error; "cannot bind the port for dispatching; this instance chooses engines by its own state");
        }
        Self {
            own_address,
            socket: socket.ok(),
            dispatchers: Mutex::default(),
            run_table: Mutex::default(),
            wait_queue: Mutex::default(),
            pending_queries: PendingQueries::default(),
            runs: Mutex::default(),
            // A random start avoids reusing ids of an earlier process.
            next_run_id: AtomicU64::new(rand::random()),
        }
    }

    /// Replaces the list of dispatchers.
    pub fn set_dispatchers(&self, list: Vec<Candidate>) {
        log::info!(dispatchers = list.len(); "received the list of dispatchers");
        lock(&self.dispatchers).set(list);
        // Wakes the receiving thread, so that it applies the new list.
        self.send(self.own_address, None);
    }

    /// The instances that dispatch for engines.
    pub fn dispatcher_list(&self) -> Vec<Candidate> {
        lock(&self.dispatchers).list().to_vec()
    }

    /// Whether there are dispatchers and this instance can reach them.
    pub fn is_enabled(&self) -> bool {
        self.socket.is_some() && !lock(&self.dispatchers).is_empty()
    }

    fn dispatcher_of(&self, engine: &str) -> Option<SocketAddr> {
        lock(&self.dispatchers).of_engine(engine, clock::now())
    }

    /// Sends a datagram. One that cannot be sent counts as lost.
    pub fn send(&self, to: SocketAddr, body: impl Into<Option<Body>>) {
        if let Some(socket) = &self.socket
            && let Err(error) = socket.send_to(&Datagram::encode_body(body.into()), to)
        {
            log::debug!(to:% = to, error:% = error; "cannot send a datagram");
        }
    }

    /// Queries dispatchers for an engine. `None` without a usable answer: the request then chooses
    /// by this instance's own state.
    pub fn query_engine(&self, shared: &Shared, query: &EngineQuery<'_>) -> Option<DispatchAnswer> {
        if !self.is_enabled() {
            return None;
        }
        let now = clock::now();
        let &EngineQuery {
            service,
            model_ref,
            tried,
            random,
            ..
        } = query;
        let wanted = RequestNeeds {
            service,
            model_ref: Some(model_ref),
            hall: &shared.settings.hall,
            allowed: query.allowed_regions,
            random,
        };
        let mut engines = shared.upstreams().shuffled_engines(wanted, now);
        engines.retain(|id| !tried.contains(id));
        let request = DispatchRequest {
            id: 0,
            service: service.to_string(),
            model: model_ref.model.to_string(),
            adapter: model_ref.adapter.as_deref().unwrap_or_default().to_owned(),
            hall: shared.settings.hall.to_string(),
            random,
            due_in_ms: due_in_ms(query.due_at, now),
            is_urgent: query.is_urgent,
            tried_engines: tried.iter().map(ToString::to_string).collect(),
            regions: query
                .allowed_regions
                .regions()
                .map(ToString::to_string)
                .collect(),
            is_restricted: query.allowed_regions.is_restricted(),
        };
        let mut queried = Vec::new();
        let mut choice = Choice::Absent;
        for engine in &engines {
            let dispatcher = self.dispatcher_of(engine)?;
            if queried.contains(&dispatcher) {
                continue;
            }
            if queried.len() >= MAX_DISPATCHERS_QUERIED {
                break;
            }
            queried.push(dispatcher);
            let request = DispatchRequest {
                id: query.run_id,
                ..request.clone()
            };
            let Some(grant) = self.query_dispatcher(shared, dispatcher, request) else {
                lock(&self.dispatchers).mark_unresponsive(dispatcher, clock::now());
                return None;
            };
            match grant.verdict() {
                Verdict::Go => return self.accept_grant(shared, dispatcher, &grant),
                Verdict::Full => choice = Choice::Full,
                Verdict::Absent => {}
            }
        }
        // If all dispatchers answer `Absent` although this instance knows engines with the model,
        // the dispatchers have not received the placement yet, and the request chooses by this
        // instance's state.
        let is_conclusive = choice == Choice::Full || engines.is_empty();
        is_conclusive.then_some(DispatchAnswer {
            choice,
            run_id: None,
        })
    }

    /// Records a granted run; `None` if this instance does not know the engine.
    fn accept_grant(
        &self,
        shared: &Shared,
        dispatcher: SocketAddr,
        grant: &DispatchReply,
    ) -> Option<DispatchAnswer> {
        let engine = UpstreamId::from(grant.engine.as_str());
        let address = shared.upstreams().address_of(&engine)?;
        let run = LocalRun {
            engine: engine.clone(),
            granted_by: Some(dispatcher),
        };
        lock(&self.runs).insert(grant.id, run);
        Some(DispatchAnswer {
            choice: Choice::Send {
                id: engine,
                address,
            },
            run_id: Some(grant.id),
        })
    }

    /// Sends one query to a dispatcher; `None` without an answer.
    fn query_dispatcher(
        &self,
        shared: &Shared,
        dispatcher: SocketAddr,
        request: DispatchRequest,
    ) -> Option<DispatchReply> {
        if dispatcher == self.own_address {
            return Some(self.answer_query(shared, self.own_address, &request));
        }
        let id = request.id;
        let body = Body::DispatchRequest(request);
        self.pending_queries
            .send_and_wait(id, || self.send(dispatcher, body.clone()))
    }

    /// The id for a new attempt.
    pub fn next_run_id(&self) -> RunId {
        self.next_run_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Records a run that is sent to an engine without a grant, and returns its id.
    pub fn record_direct_run(&self, engine: &UpstreamId) -> Option<RunId> {
        if !self.is_enabled() {
            return None;
        }
        let id = self.next_run_id();
        let run = LocalRun {
            engine: engine.clone(),
            granted_by: None,
        };
        lock(&self.runs).insert(id, run);
        Some(id)
    }

    /// Reports the end of a run of this instance to its dispatcher.
    pub fn run_ended(&self, shared: &Shared, id: RunId, outcome: Outcome) {
        let run = lock(&self.runs).remove(&id);
        let Some(LocalRun { engine, granted_by }) = run else {
            return;
        };
        let Some(dispatcher) = granted_by.or_else(|| self.dispatcher_of(&engine)) else {
            return;
        };
        let ended = RunEnded {
            id,
            outcome: encode(outcome).into(),
        };
        if dispatcher == self.own_address {
            self.record_run_end(shared, self.own_address, &ended);
        } else {
            self.send(dispatcher, Body::RunEnded(ended));
        }
    }

    /// Answers a query as the dispatcher.
    fn answer_query(
        &self,
        shared: &Shared,
        from: SocketAddr,
        request: &DispatchRequest,
    ) -> DispatchReply {
        let key = RunKey {
            instance: from,
            id: request.id,
        };
        let grant = |verdict: Verdict, engine: &str| DispatchReply {
            id: request.id,
            verdict: verdict.into(),
            engine: engine.to_owned(),
        };
        let now = clock::now();
        // Lock order: the upstreams before the run table.
        let upstreams = shared.upstreams();
        let mut run_table = lock(&self.run_table);
        if let Some(engine) = run_table.engine_of(key) {
            return grant(Verdict::Go, engine);
        }
        let adapter = Some(request.adapter.as_str()).filter(|name| !name.is_empty());
        let model_ref = ModelRef {
            model: request.model.as_str().into(),
            adapter: adapter.map(Into::into),
        };
        let allowed = if request.is_restricted {
            AllowedRegions::only(request.regions.iter().map(|region| region.as_str().into()))
        } else {
            AllowedRegions::ANY
        };
        let (service, hall) = (
            request.service.as_str().into(),
            request.hall.as_str().into(),
        );
        let wanted = RequestNeeds {
            service: &service,
            model_ref: Some(&model_ref),
            hall: &hall,
            allowed: &allowed,
            random: request.random,
        };
        let dispatchers = lock(&self.dispatchers);
        let is_eligible = |id: &UpstreamId| {
            !request.tried_engines.iter().any(|tried| **tried == **id)
                && dispatchers.of_engine(id, now) == Some(self.own_address)
        };
        let load_of = |id: &UpstreamId| {
            let slots = upstreams.slots_of(id);
            effective_load(run_table.load(id), slots, request.is_urgent)
        };
        let choice = upstreams.choose_by(wanted, is_eligible, Some(&load_of), now);
        let mut wait_queue = lock(&self.wait_queue);
        let waiter = Waiter {
            model_ref: model_ref.clone(),
            due_at: instant_from_due_ms(request.due_in_ms, now),
        };
        match choice {
            Choice::Send { id, .. } => {
                let free_slots = upstreams.slots_of(&id).saturating_sub(load_of(&id));
                let could_use = |other: &ModelRef| upstreams.has(&id, other, now);
                let waiters_ahead = wait_queue.count_ahead(key, &waiter, could_use, now);
                if waiters_ahead >= usize::try_from(free_slots).unwrap_or(usize::MAX) {
                    wait_queue.record(key, waiter, now);
                    return grant(Verdict::Full, "");
                }
                wait_queue.remove(key);
                run_table.record(key, &id, now);
                grant(Verdict::Go, &id)
            }
            Choice::Full => {
                wait_queue.record(key, waiter, now);
                grant(Verdict::Full, "")
            }
            Choice::Absent => grant(Verdict::Absent, ""),
        }
    }

    /// Records, as the dispatcher, that a run has ended.
    fn record_run_end(&self, shared: &Shared, from: SocketAddr, ended: &RunEnded) {
        let key = RunKey {
            instance: from,
            id: ended.id,
        };
        let engine = lock(&self.run_table).remove(key);
        if let (Some(engine), Some(outcome)) = (engine, decode(ended.outcome())) {
            shared
                .upstreams()
                .record_peer_outcome(&engine, outcome, clock::now());
        }
    }

    /// Handles a received datagram.
    fn handle_datagram(&self, shared: &Shared, from: SocketAddr, body: Body) {
        match body {
            Body::DispatchRequest(request) => {
                let grant = self.answer_query(shared, from, &request);
                self.send(from, Body::DispatchReply(grant));
            }
            // A late or duplicate grant is dropped. The dispatcher's entry for its run expires,
            // because this instance does not report the run.
            Body::DispatchReply(grant) => self.pending_queries.deliver_answer(grant.id, grant),
            Body::RunEnded(ended) => self.record_run_end(shared, from, &ended),
            Body::RunSnapshot(running) => {
                let now = clock::now();
                let mut run_table = lock(&self.run_table);
                for run in running.runs {
                    let key = RunKey {
                        instance: from,
                        id: run.id,
                    };
                    run_table.record(key, &run.engine.as_str().into(), now);
                }
            }
            Body::VersionQuery(query) => {
                let answer = shared.configuration_age.answer_query(&query);
                self.send(from, Body::VersionAnswer(answer));
            }
            Body::VersionAnswer(answer) => shared.configuration_age.receive_answer(answer),
            Body::PermitRequest(request) => {
                let answer = coordinator::decide(shared, from, &request);
                self.send(from, Body::PermitReply(answer));
            }
            Body::PermitReply(answer) => shared.coordinator.receive_answer(answer),
            Body::PermitRelease(release) if release.digest.is_empty() => {
                shared.allotments.record_release(shared, from, &release);
            }
            Body::PermitRelease(release) => shared.poison.release_exclusive_run(from, &release),
            Body::Suspects(suspects) => shared.poison.merge_from_peer(suspects),
            Body::PathQuery(query) => {
                let answer = shared.paths.answer_query(shared, query);
                self.send(from, Body::PathAnswer(answer));
            }
            Body::PathAnswer(answer) => shared.paths.receive_answer(from, answer),
        }
    }

    /// Reports to dispatchers which runs are on their engines, so that they know them although they
    /// have just started or an end was lost.
    fn announce_runs(&self, shared: &Shared) {
        let runs = lock(&self.runs).clone();
        let mut by_dispatcher: HashMap<SocketAddr, Vec<EngineRun>> = HashMap::new();
        for (id, run) in runs {
            if let Some(dispatcher) = self.dispatcher_of(&run.engine) {
                let run_here = EngineRun {
                    id,
                    engine: run.engine.to_string(),
                };
                by_dispatcher.entry(dispatcher).or_default().push(run_here);
            }
        }
        for (dispatcher, runs) in by_dispatcher {
            for chunk in runs.chunks(RUNS_PER_DATAGRAM) {
                let body = Body::RunSnapshot(RunSnapshot {
                    runs: chunk.to_vec(),
                });
                if dispatcher == self.own_address {
                    self.handle_datagram(shared, self.own_address, body);
                } else {
                    self.send(dispatcher, body);
                }
            }
        }
    }

    /// Starts the thread that receives datagrams for as long as the process runs.
    pub fn start(shared: &Arc<Shared>) {
        let shared = shared.clone();
        std::thread::spawn(move || shared.dispatch.run(&shared));
    }

    fn run(&self, shared: &Shared) {
        let Some(socket) = &self.socket else {
            return;
        };
        let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
        let mut refresh_at = clock::now();
        loop {
            let now = clock::now();
            // Without dispatchers nothing is due periodically: a datagram wakes the thread when the
            // list changes.
            let read_timeout = self.is_enabled().then(|| {
                if now >= refresh_at {
                    refresh_at = now + REFRESH_INTERVAL;
                    self.announce_runs(shared);
                    lock(&self.run_table).remove_expired(now);
                    lock(&self.wait_queue).remove_expired(now);
                }
                let remaining = refresh_at.saturating_duration_since(now);
                remaining.max(Duration::from_millis(1))
            });
            if let Err(error) = socket.set_read_timeout(read_timeout) {
                log::warn!(error:% = error; "cannot set the read timeout");
            }
            let Ok((length, from)) = socket.recv_from(&mut bytes) else {
                // The read timed out, or an earlier datagram was refused by a closed port.
                continue;
            };
            if let Some(body) = Datagram::decode_body(&bytes[..length]) {
                self.handle_datagram(shared, from, body);
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
