//! Datagram queries to dispatchers for engines, and the dispatcher's side of these queries.
//!
//! A request waits at most 60 ms for the answer of each dispatcher that it asks. Without one the instance chooses by the
//! load that it has sent itself, and the next requests ask another dispatcher for a while. A
//! dispatcher that crashes, freezes or is disconnected therefore costs a request no more than this
//! wait.

mod backups;
mod messages;
mod reports;
mod server;
mod share_log;
mod speeds;
mod wait_outcomes;

pub use backups::ChosenRun;

use crate::coordinator;
use crate::queries::PendingQueries;
use crate::shared::Shared;
use arc_swap::ArcSwapOption;
use passway_serving::dispatch::{
    Backups, Dispatcher, Dispatchers, Promise, REFRESH_INTERVAL, RunId, RunKey,
};
use passway_serving::forecast::relative_speed::RelativeSpeeds;
use passway_serving::forecast::{RequestSize, StreamProgress};
use passway_serving::halls::AllowedRegions;
use passway_serving::leadership::Candidate;
use passway_serving::upstreams::{Choice, ModelRef, Outcome, RequestNeeds};
use passway_serving::versions::SoftwareVersion;
use passway_serving::workspaces::Workspace;
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::dispatch::{
    Datagram, Dispatch as Body, DispatchReply, DispatchRequest, EngineRun, RunEnded, RunSnapshot,
    Verdict,
};
use share_log::ShareLog;
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Dispatchers that are queried for one attempt before the request waits.
const MAX_DISPATCHERS_QUERIED: usize = 2;
/// Largest datagram that is read: the maximum payload of UDP.
const MAX_DATAGRAM_BYTES: usize = 65_507;
/// Longest read of a socket that has something to read. A datagram with a wrong checksum is dropped
/// by the read, which then waits for the next one.
const MAX_READ_TIME: Duration = Duration::from_millis(20);
/// Runs reported in one datagram. A run with a name of the usual 15 bytes and its progress takes some
/// 55 bytes, so that a datagram fits into one packet on any link (1,400 bytes); with longer names IP
/// fragments it.
const RUNS_PER_DATAGRAM: usize = 24;

/// A run of this instance that its dispatcher knows about or will be informed of.
#[derive(Debug, Clone)]
struct LocalRun {
    engine: UpstreamId,
    /// The dispatcher that granted the run; `None` if the request was sent without a grant.
    granted_by: Option<SocketAddr>,
    /// What was observed of the run since the last report.
    progress: StreamProgress,
}

/// The dispatchers' answer for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchAnswer {
    /// The engine that was granted, or why there is none.
    pub choice: Choice,
    /// The id of the run, if an engine was granted.
    pub run_id: Option<RunId>,
    /// The engine that keeps a copy of the run.
    pub backup: Option<UpstreamId>,
    /// The refusal, if all dispatchers that were asked and have the model say that the request cannot
    /// begin in its time; `choice` is then [`Choice::Full`].
    pub too_late: Option<TooLate>,
}

/// A dispatcher's answer that a request cannot begin in its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLate {
    /// When the caller may return.
    pub retry_after: Duration,
    /// The dispatcher.
    pub dispatcher: SocketAddr,
    /// The attempt's id in the dispatcher's log.
    pub run_id: RunId,
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
    /// A number derived from the request's id and its number of runs, for random choices among
    /// engines.
    pub random: u64,
    /// When the request must begin to run to meet its latency goal.
    pub due_at: Instant,
    /// Until when the request may wait for a slot.
    pub wait_until: Instant,
    /// Whether engines admit the request before all other waiting requests.
    pub is_urgent: bool,
    /// The rank of its route or workspace; 0 is the most urgent.
    pub urgency: u8,
    /// The workspace, if the configuration has any.
    pub workspace: Option<&'a Workspace>,
    /// The request's size, as its caller claims.
    pub size: RequestSize,
    /// What the request promises its caller.
    pub promise: Promise,
    /// Identifies the content of a request that dispatchers may refuse, and determines which ones
    /// are asked. `None` once an upstream may have run the request.
    pub fingerprint: Option<u64>,
    /// Whether a copy of the run should be kept on another engine.
    pub wants_backup: bool,
    /// The regions in which the request may be served.
    pub allowed_regions: &'a AllowedRegions,
    /// The only software version at which the request may run, if it goes on with a stream.
    pub software: Option<&'a SoftwareVersion>,
}

/// Client and server of the dispatch protocol.
#[derive(Debug)]
pub struct Dispatch {
    own_address: SocketAddr,
    /// `None` if the port is taken: the instance then chooses engines by its own state. Also `None`
    /// once the instance has ended.
    socket: ArcSwapOption<UdpSocket>,
    dispatchers: Mutex<Dispatchers>,
    /// This instance's state as a dispatcher.
    dispatcher: Mutex<Dispatcher>,
    /// Speeds of all engines, from the reports of all dispatchers.
    engine_speeds: Mutex<RelativeSpeeds>,
    share_log: ShareLog,
    /// Copies of runs that this instance has named without a dispatcher.
    own_backups: Mutex<Backups>,
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
            socket: ArcSwapOption::from(socket.ok().map(Arc::new)),
            dispatchers: Mutex::default(),
            dispatcher: Mutex::default(),
            engine_speeds: Mutex::default(),
            share_log: ShareLog::default(),
            own_backups: Mutex::default(),
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
        self.socket.load().is_some() && !lock(&self.dispatchers).is_empty()
    }

    fn dispatcher_of(&self, engine: &str) -> Option<SocketAddr> {
        lock(&self.dispatchers).of_engine(engine, clock::now())
    }

    /// Sends a datagram. One that cannot be sent counts as lost.
    pub fn send(&self, to: SocketAddr, body: impl Into<Option<Body>>) {
        if let Some(socket) = &*self.socket.load()
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
            ..
        } = query;
        let wanted = RequestNeeds {
            service,
            model_ref: Some(model_ref),
            hall: &shared.settings.hall,
            allowed: query.allowed_regions,
            // A caller that returns must reach the dispatcher that refused it.
            random: query.fingerprint.unwrap_or(query.random),
        };
        let upstreams = shared.upstreams();
        let mut engines = upstreams.shuffled_engines(wanted, now);
        let fits = |id: &UpstreamId| {
            let software = query.software;
            software.is_none() || upstreams.listed_start(id).software.as_ref() == software
        };
        engines.retain(|id| !tried.contains(id) && fits(id));
        drop(upstreams);
        let mut request = messages::encode_query(query, &shared.settings.hall, now);
        let mut queried = Vec::new();
        let mut choice = Choice::Absent;
        let mut may_wait = false;
        let mut too_late: Option<TooLate> = None;
        for engine in &engines {
            let dispatcher = self.dispatcher_of(engine)?;
            if queried.contains(&dispatcher) {
                continue;
            }
            if queried.len() >= MAX_DISPATCHERS_QUERIED {
                break;
            }
            queried.push(dispatcher);
            let mut grant = self.query_dispatcher(shared, dispatcher, request.clone())?;
            let mut granted_by = dispatcher;
            if grant.verdict() == Verdict::Elsewhere && !request.is_redirected {
                // From now on each dispatcher decides by its own engines, so that none of them
                // sends the request back. With another id, a late answer to the first query is
                // not taken for the next one.
                request.is_redirected = true;
                request.id = self.next_run_id();
                let other = self.dispatcher_of(&grant.engine);
                let other = other.filter(|other| !queried.contains(other));
                let redirect = other.map(|other| (other, grant.engine.as_str()));
                queried.extend(other);
                (granted_by, grant) =
                    self.follow_redirect(shared, dispatcher, redirect, &request)?;
            }
            match grant.verdict() {
                Verdict::Go => return self.accept_grant(shared, granted_by, &grant),
                Verdict::Full => (choice, may_wait) = (Choice::Full, true),
                Verdict::TooLate => {
                    choice = Choice::Full;
                    let other = TooLate {
                        retry_after: Duration::from_millis(grant.retry_after_ms),
                        dispatcher: granted_by,
                        run_id: request.id,
                    };
                    let is_earlier =
                        too_late.is_none_or(|known| other.retry_after < known.retry_after);
                    too_late = if is_earlier { Some(other) } else { too_late };
                }
                Verdict::Absent | Verdict::Elsewhere => {}
            }
        }
        // If all dispatchers answer `Absent` although this instance knows engines with the model,
        // the dispatchers have not received the placement yet, and the request chooses by this
        // instance's state.
        let is_conclusive = choice == Choice::Full || engines.is_empty();
        is_conclusive.then_some(DispatchAnswer {
            choice,
            run_id: None,
            backup: None,
            too_late: too_late.filter(|_| !may_wait),
        })
    }

    /// Asks the dispatcher of an engine that the first dispatcher has named as better for that engine
    /// alone, and the first one again if it is not granted. Returns the answer and who gave it.
    fn follow_redirect(
        &self,
        shared: &Shared,
        first: SocketAddr,
        redirect: Option<(SocketAddr, &str)>,
        request: &DispatchRequest,
    ) -> Option<(SocketAddr, DispatchReply)> {
        let answer = redirect.and_then(|(other, engine)| {
            let request = DispatchRequest {
                only_engine: engine.to_owned(),
                ..request.clone()
            };
            Some((other, self.query_dispatcher(shared, other, request)?))
        });
        let granted = answer.filter(|(_, answer)| answer.verdict() == Verdict::Go);
        if let Some((other, engine)) = redirect {
            shared.metrics.redirect(granted.is_some());
            log::debug!(run_id = request.id, first:% = first, other:% = other, engine = engine, is_granted = granted.is_some();
                "followed a redirect to another dispatcher");
        }
        granted.or_else(|| {
            Some((
                first,
                self.query_dispatcher(shared, first, request.clone())?,
            ))
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
            progress: StreamProgress::default(),
        };
        lock(&self.runs).insert(grant.id, run);
        Some(DispatchAnswer {
            choice: Choice::Send {
                id: engine,
                address,
            },
            run_id: Some(grant.id),
            backup: Some(grant.backup_engine.as_str())
                .filter(|name| !name.is_empty())
                .map(Into::into),
            too_late: None,
        })
    }

    /// Sends one query to a dispatcher. Without an answer, `None`, and the dispatcher is skipped for
    /// a while.
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
        let answer = self
            .pending_queries
            .send_and_wait(id, || self.send(dispatcher, body.clone()));
        if answer.is_none() {
            lock(&self.dispatchers).mark_unresponsive(dispatcher, clock::now());
        }
        answer
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
            progress: StreamProgress::default(),
        };
        lock(&self.runs).insert(id, run);
        Some(id)
    }

    /// Adds to what was observed of a run of this instance.
    pub fn record_progress(&self, id: RunId, progress: &StreamProgress) {
        if let Some(run) = lock(&self.runs).get_mut(&id) {
            run.progress.add(progress);
        }
    }

    /// Reports the end of a run of this instance to its dispatcher.
    pub fn run_ended(&self, shared: &Shared, id: RunId, outcome: Outcome) {
        let run = lock(&self.runs).remove(&id);
        let Some(run) = run else {
            return;
        };
        let granted_by = run.granted_by;
        let Some(dispatcher) = granted_by.or_else(|| self.dispatcher_of(&run.engine)) else {
            return;
        };
        let ended = RunEnded {
            id,
            outcome: messages::encode_outcome(outcome).into(),
            progress: messages::encode_progress(&run.progress),
        };
        if dispatcher == self.own_address {
            self.record_run_end(shared, self.own_address, &ended);
        } else {
            self.send(dispatcher, Body::RunEnded(ended));
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
                let mut dispatcher = lock(&self.dispatcher);
                for run in running.runs {
                    let key = RunKey {
                        instance: from,
                        id: run.id,
                    };
                    let progress = messages::decode_progress(run.progress.as_ref());
                    dispatcher.record_run(key, &run.engine.as_str().into(), &progress, now);
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
            Body::DispatcherState(state) => self.receive_report(from, &state),
            Body::StoreReadQuery(query) => shared.versions.answer_query(shared, from, &query),
            Body::StoreReadAnswer(answer) => shared.versions.receive_answer(answer),
        }
    }

    /// The runs of this instance, each with what was observed since the last call.
    fn take_progress(&self) -> HashMap<RunId, LocalRun> {
        let mut runs = lock(&self.runs);
        let taken = runs.clone();
        for run in runs.values_mut() {
            run.progress = StreamProgress::default();
        }
        taken
    }

    /// Reports to dispatchers which runs are on their engines, so that they know them although they
    /// have just started or an end was lost.
    fn announce_runs(&self, shared: &Shared) {
        let runs = self.take_progress();
        let mut by_dispatcher: HashMap<SocketAddr, Vec<EngineRun>> = HashMap::new();
        for (id, run) in runs {
            if let Some(dispatcher) = self.dispatcher_of(&run.engine) {
                let run_here = EngineRun {
                    id,
                    engine: run.engine.to_string(),
                    progress: messages::encode_progress(&run.progress),
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

    /// Starts the thread that receives datagrams for as long as the instance runs.
    pub fn start(shared: &Arc<Shared>) {
        let shared = shared.clone();
        std::thread::spawn(move || shared.dispatch.run(&shared));
    }

    fn run(&self, shared: &Shared) {
        let Some(socket) = self.socket.load_full() else {
            return;
        };
        if let Err(error) = socket.set_read_timeout(Some(MAX_READ_TIME)) {
            log::warn!(error:% = error; "cannot set the read timeout");
        }
        let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
        let mut refresh_at = clock::now();
        while !shared.termination().has_begun() {
            let now = clock::now();
            // Without dispatchers nothing is due periodically: a datagram wakes the thread when the
            // list changes.
            let read_until = self.is_enabled().then(|| {
                if now >= refresh_at {
                    refresh_at = now + REFRESH_INTERVAL;
                    self.announce_runs(shared);
                    self.send_report(shared);
                    lock(&self.dispatcher).remove_expired(now);
                }
                refresh_at
            });
            if !shared.termination().wait_for_input(&*socket, read_until) {
                continue;
            }
            let Ok((length, from)) = socket.recv_from(&mut bytes) else {
                // The read timed out, or an earlier datagram was refused by a closed port.
                continue;
            };
            if let Some(body) = Datagram::decode_body(&bytes[..length]) {
                self.handle_datagram(shared, from, body);
            }
        }
        self.socket.store(None);
    }
}
