//! Handling of one request: the loop over attempts, and the answer if all fail.
//!
//! * `destination` finds the route and service, `access` checks whether the request is
//!   admitted.
//! * `waiting` waits for an upstream and chooses it.
//! * `refusal` writes the answer when nothing more can be tried.
//! * `attempt` and `exchange` are one attempt. `completeness` proves that an answer is complete.
//!   `silence` decides what becomes of a run whose upstream has fallen silent, and `successor` sends the
//!   request to another upstream meanwhile. `retries` takes retries from the budget.
//!   `suspect` tracks whether the request crashes
//!   its upstreams. `limits` requests grants at limited upstreams. `send_permit` is the last
//!   check before a request is sent.
//! * `resumption` handles streams that go on after events were delivered.
//! * `backup` names an engine that keeps a copy of a run, and continues the run there if it breaks off.
//! * `via_peer` passes a request on to another instance while this one is cut off from the
//!   upstreams.
//!
//! The outcome of an attempt decides what may follow. A request that was not run may go to another
//! upstream whatever its kind. One that may have run goes to another upstream only if its kind
//! allows that, and is never refused as "not run".

mod access;
mod attempt;
mod backup;
mod completeness;
mod destination;
mod exchange;
mod limits;
mod refusal;
mod resumption;
mod retries;
mod send_permit;
mod silence;
mod successor;
mod suspect;
mod via_peer;
mod waiting;

use crate::denials::Denial;
use crate::dispatch::TooLate;
use crate::http1::{BodyFraming, CompletenessProof, Connection, RequestHead};
use crate::poison::ExclusivePermit;
use crate::relay::{CONFIGURATION_FEED, age_ms, millis, millis_since};
use crate::reply::{self, Refusal, ResumeObstacle};
use crate::shared::{ReportEvent, Shared};
use access::Access;
use attempt::{Attempt, Delivery, FailedAnswer, Target};
pub(crate) use destination::check_version;
use destination::{find_destination, host_of, is_engine, request_hash};
use limits::DeferredUpstream;
use passway_process::logging::json::REQUEST_TARGET;
use passway_serving::dispatch::RunId;
use passway_serving::forecast::StreamTiming;
use passway_serving::paths::PeerOffer;
use passway_serving::poison::{PartId, RequestDigest, RunPermission, SuspectKey};
use passway_serving::ports::RequestMetadata;
use passway_serving::routes::Route;
use passway_serving::upstreams::{ModelRef, Outcome};
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::message::PeerRequest;
use resumption::StreamVersion;
use retries::RetryCharges;
use std::cell::OnceCell;
use successor::SentRequest;

/// Default `Retry-After` of a refusal, in milliseconds.
pub const RETRY_AFTER_MS: u64 = 500;
/// End of a request whose caller does not read the answer, for logs and metrics.
const NOT_TAKEN: &str = "not taken by its caller";
/// Largest number of attempts at upstreams for one request, not counting those that found no engine
/// reachable before the request waited for its model.
const MAX_OFFERS: u32 = 6;
/// Why no attempt followed, for logs: no upstream accepts the request.
const NO_UPSTREAM: &str = "no upstream";
/// Why no attempt followed, for logs: the retry allowance is used up.
const NO_ALLOWANCE: &str = "no retry allowance";
/// Why no attempt followed, for logs: the request has had [`MAX_OFFERS`].
const NO_ATTEMPT_LEFT: &str = "no attempt left";

/// Whether the caller's connection may carry another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// The connection stays open.
    Keep,
    /// The connection must be closed.
    Close,
}

/// Where a request comes from.
#[derive(Debug, Clone, PartialEq)]
pub enum Origin {
    /// From a caller.
    Caller,
    /// From another instance, which has admitted it and is cut off from the upstreams.
    Peer(PeerRequest),
}

/// What the next attempt is sent to.
#[derive(Debug)]
enum NextHop {
    Upstream(Target),
    /// Another instance.
    Peer(PeerOffer),
}

/// A request in progress.
pub struct Forwarding<'a> {
    shared: &'a Arc<Shared>,
    caller: &'a mut Connection,
    head: &'a RequestHead,
    body: &'a [u8],
    origin: &'a Origin,
    facts: RequestMetadata,
    route: Arc<Route>,
    service: ServiceName,
    is_engine: bool,
    access: Access,
    /// The cost charged to the workspace's allotment, until it is released.
    charged_cost: Option<f64>,
    /// Whether an upstream may have run the request.
    may_have_run: bool,
    /// The upstream of the attempt in progress.
    attempt_upstream: Option<UpstreamId>,
    arrived_at: Instant,
    deadline_at: Instant,
    should_close: bool,
    delivered: Delivery,
    /// The software version at which the request's stream may run.
    stream_version: StreamVersion,
    /// Why the stream cannot go on, once that is known.
    resume_obstacle: Option<ResumeObstacle>,
    /// The times at which the delivered stream's events arrived.
    stream_timing: StreamTiming,
    tried: Vec<UpstreamId>,
    /// Upstreams whose weights are not those that the caller asks for.
    other_weights: Vec<UpstreamId>,
    /// Instances that the request was passed on to.
    tried_peers: Vec<InstanceId>,
    /// `Retry-After` of the last instance that refused the request, in milliseconds.
    peer_retry_ms: Option<u64>,
    /// Upstreams that do not accept the request yet.
    deferred: Vec<DeferredUpstream>,
    /// Milliseconds until the first of `deferred` accepts the request, if no other upstream has the
    /// model.
    upstream_available_ms: Option<u64>,
    runs: u32,
    /// Number of runs that this instance ended before their upstreams had begun to answer, because the
    /// answer of another run is delivered. Included in `runs`.
    abandoned_runs: u32,
    /// Number of runs whose upstreams have crashed. Included in `runs`.
    crashed_runs: u32,
    /// Attempts since the request last waited for its model; all of them once one may have arrived
    /// at an upstream.
    attempts_since_wait: u32,
    /// The id for the next query to a dispatcher.
    run_id: RunId,
    /// The engine of a run that broke off because this machine could not reach it any more. It may
    /// still be working, since it cannot notice that the connection is closed.
    unreachable_engine: Option<UpstreamId>,
    /// The id under which this instance counts the copy of the request's run.
    copy_id: RunId,
    /// The retries of attempts that are not known to have arrived.
    retry_charges: RetryCharges,
    /// When the attempt in progress began.
    attempt_at: Instant,
    /// The successor of the run in progress, or of the last one if no run is in progress.
    successor: Option<SentRequest>,
    /// Whether the request may run although upstreams that broke off while they ran it may have
    /// crashed.
    run_permission: RunPermission,
    /// What crashes under this request are counted under, once needed.
    suspect_keys: OnceCell<Vec<SuspectKey>>,
    /// The permit to run alone among requests with the same content or part, once requested.
    exclusive_permit: Option<ExclusivePermit>,
    /// Milliseconds until the model can be loaded, if that is too late for the request.
    model_ready_ms: Option<u64>,
    /// The dispatcher's answer that the request cannot begin in its time, if it is refused for that.
    too_late: Option<TooLate>,
    /// Fingerprint of the request's content, once computed.
    fingerprint: OnceCell<u64>,
    /// Digest of the request's content, once computed.
    digest: OnceCell<RequestDigest>,
    /// The parts of the prompt that other prompts may share, once read.
    parts: OnceCell<Vec<PartId>>,
    request_log: RequestLog,
}

/// Values for the log line and the metrics at the end of the request.
#[derive(Debug, Default)]
struct RequestLog {
    /// Number of attempts at upstreams.
    offers: u32,
    /// The upstream of the last attempt.
    upstream: Option<UpstreamId>,
    /// The instance that the request was last passed on to.
    peer: Option<InstanceId>,
    /// Time until the first attempt, in milliseconds.
    waited_ms: Option<u64>,
    /// Time until the first bytes of the answer were sent, in milliseconds.
    first_ms: Option<u64>,
    /// The framing of the last answer of an upstream or another instance; `None` without an answer.
    body_framing: Option<BodyFraming>,
    /// What proves that the delivered answer is complete.
    proof: Option<CompletenessProof>,
    /// The status sent to the caller; 0 if none.
    status: u16,
    /// How the request ended.
    end: &'static str,
    /// Whether the caller has stopped reading its answer.
    is_stalled: bool,
    /// Whether a stop of this instance shortened the request's time.
    cut_by_stop: bool,
    /// Why no attempt follows the last one; empty if none was needed.
    stopped_by: &'static str,
    /// Attempts that certainly did not arrive at an upstream.
    not_sent: u32,
}

impl std::fmt::Debug for Forwarding<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Forwarding")
            .field("id", &self.facts.id)
            .field("route", &self.route.name)
            .finish_non_exhaustive()
    }
}

/// Forwards one request whose head and body have been read, and answers the caller.
pub fn serve(
    shared: &Arc<Shared>,
    caller: &mut Connection,
    head: &RequestHead,
    body: &[u8],
    arrived_at: Instant,
    origin: &Origin,
) -> ConnectionReuse {
    let mut facts = shared.vocabulary.parse_request(&head.headers);
    if let Origin::Peer(announcement) = origin {
        facts.deadline_ms = Some(announcement.remaining_ms);
    }
    let should_close =
        shared.is_stopping() || !head.is_1_1 || head.headers.connection_contains("close");
    let destination = find_destination(shared, caller, head, &facts, arrived_at, origin);
    let destination = match destination {
        Ok(destination) => destination,
        Err(Denial { refusal, end }) => {
            log_unrouted(shared, origin, head, &facts, refusal, end);
            let vocabulary = &*shared.vocabulary;
            let written = reply::refuse(caller, vocabulary, &facts.id, refusal, should_close);
            return connection_reuse(written.is_ok() && !should_close);
        }
    };
    let caller_deadline_ms = facts.deadline_ms.unwrap_or(u64::MAX);
    let timeout_ms = caller_deadline_ms.min(destination.route.timeout_ms);
    let mut delivered = Delivery::default();
    let mut runs = 0;
    match origin {
        Origin::Caller => {
            let now = clock::now();
            let mut budget = shared.retry_budget();
            budget.record_request(&destination.service, arrived_at, now);
        }
        // The other instance has counted the request.
        Origin::Peer(announcement) => {
            runs = announcement.runs;
            delivered
                .resume_after
                .clone_from(&announcement.last_event_id);
        }
    }
    let stream_version = StreamVersion::on_arrival(&facts, delivered.resume_after.is_some());
    Forwarding {
        shared,
        caller,
        head,
        body,
        origin,
        facts,
        route: destination.route,
        service: destination.service,
        is_engine: destination.is_engine,
        access: destination.access,
        charged_cost: None,
        may_have_run: false,
        attempt_upstream: None,
        arrived_at,
        deadline_at: arrived_at + Duration::from_millis(timeout_ms),
        should_close,
        delivered,
        stream_version,
        resume_obstacle: None,
        stream_timing: StreamTiming::default(),
        tried: Vec::new(),
        other_weights: Vec::new(),
        tried_peers: Vec::new(),
        peer_retry_ms: None,
        deferred: Vec::new(),
        upstream_available_ms: None,
        run_permission: RunPermission::default(),
        suspect_keys: OnceCell::new(),
        exclusive_permit: None,
        runs,
        abandoned_runs: 0,
        crashed_runs: 0,
        attempts_since_wait: 0,
        run_id: shared.dispatch.next_run_id(),
        unreachable_engine: None,
        copy_id: shared.dispatch.next_run_id(),
        attempt_at: arrived_at,
        retry_charges: RetryCharges::new(shared),
        successor: None,
        model_ready_ms: None,
        too_late: None,
        fingerprint: OnceCell::new(),
        digest: OnceCell::new(),
        parts: OnceCell::new(),
        request_log: RequestLog::default(),
    }
    .run()
}

/// Logs and counts a request that was refused before it had a route.
fn log_unrouted(
    shared: &Shared,
    origin: &Origin,
    head: &RequestHead,
    facts: &RequestMetadata,
    refusal: Refusal,
    end: &'static str,
) {
    let status = refusal.code();
    match origin {
        Origin::Caller => {
            shared.metrics.request_ended(end, status);
            let table = shared.routes.load();
            let version = table.as_ref().map_or(0, |table| table.version);
            let origin = shared.configuration_age.origin();
            let relay = shared.relay();
            log::info!(target: REQUEST_TARGET, request = facts.id, host = host_of(head).unwrap_or_default(),
                path = head.path(), status = status,
                offers = 0, runs = 0, end = end, config_version = version,
                config_source:? = origin.map(|origin| origin.source),
                config_received_ms = age_ms(origin.map(|origin| origin.received_at)),
                proof_ms = shared.configuration_age.age().map_or(-1, |age| millis(age).cast_signed()),
                holder_heard_ms = age_ms(relay.and_then(|relay| relay.last_received_at())),
                holder_confirmed_ms = age_ms(relay.and_then(|relay| relay.confirmed_at(CONFIGURATION_FEED)));
                "request ended");
        }
        Origin::Peer(announcement) => {
            shared.metrics.peer_request(status);
            log::info!(target: REQUEST_TARGET, request = facts.id, from = announcement.instance,
                status = status, end = end;
                "request of another instance ended");
        }
    }
}

fn not_run(retry_after_ms: u64) -> Refusal {
    Refusal::NotRun { retry_after_ms }
}

fn connection_reuse(can_reuse: bool) -> ConnectionReuse {
    if can_reuse {
        ConnectionReuse::Keep
    } else {
        ConnectionReuse::Close
    }
}

impl Forwarding<'_> {
    fn model_ref(&self) -> Option<&ModelRef> {
        self.facts.model_ref.as_ref().filter(|_| self.is_engine)
    }

    /// Runs the request to its end and records how it ended.
    fn run(mut self) -> ConnectionReuse {
        let reuse = self.run_attempts();
        self.release_allotment();
        self.release_backup();
        self.drop_overtaken_successor();
        self.log_end();
        reuse
    }

    /// Logs and counts how the request ended.
    fn log_end(&self) {
        let request_log = &self.request_log;
        let metrics = &self.shared.metrics;
        let upstream = request_log.upstream.as_deref().unwrap_or("");
        if let Origin::Peer(announcement) = self.origin {
            metrics.peer_request(request_log.status);
            log::info!(target: REQUEST_TARGET, request = self.facts.id, from = announcement.instance,
                upstream = upstream, offers = request_log.offers, runs = self.runs,
                status = request_log.status, end = request_log.end, took_ms = self.elapsed_ms(),
                stopped_by = request_log.stopped_by;
                "request of another instance ended");
            return;
        }
        metrics.request_ended(request_log.end, request_log.status);
        if let Some(first_ms) = request_log.first_ms {
            if let Some(missing) = self.missing_model() {
                self.shared.missing_models.remove(&missing);
            }
            metrics.first_byte(Duration::from_millis(first_ms));
        }
        if let Some(waited_ms) = request_log.waited_ms.filter(|_| self.is_engine) {
            metrics.model_wait(Duration::from_millis(waited_ms));
        }
        self.count_stream();
        let table = self.shared.routes.load();
        let version = table.as_ref().map_or(0, |table| table.version);
        let model_ref = self.facts.model_ref.as_ref();
        log::info!(target: REQUEST_TARGET, request = self.facts.id, route:% = self.route.name,
            service:% = self.service, model:% = model_ref.map_or("", |model_ref| &model_ref.model),
            workspace:% = self.access.workspace.as_ref().map_or("", |workspace| &workspace.name),
            adapter:% = model_ref.and_then(|model_ref| model_ref.adapter.as_deref()).unwrap_or(""),
            upstream = upstream, peer = request_log.peer.as_deref().unwrap_or(""),
            offers = request_log.offers,
            runs = self.runs, status = request_log.status, end = request_log.end,
            waited_ms = request_log.waited_ms.unwrap_or(0), first_ms = request_log.first_ms.unwrap_or(0),
            took_ms = self.elapsed_ms(), events = self.stream_timing.events(),
            resumes = self.facts.resumes.as_deref().unwrap_or(""),
            after_event = self.facts.last_event_id.as_deref().unwrap_or(""),
            longest_pause_ms = millis(self.stream_timing.longest_pause()), config_version = version,
            not_sent = request_log.not_sent, stopped_by = request_log.stopped_by,
            refused_by:% = self.too_late.map_or(String::new(), |refused| refused.dispatcher.to_string()),
            run_id = self.too_late.map_or(0, |refused| refused.run_id),
            retry_ms = self.too_late.map_or(0, |refused| millis(refused.retry_after)),
            framing = request_log.body_framing.map_or("", BodyFraming::name),
            proof = request_log.proof.map_or("", CompletenessProof::name);
            "request ended");
    }

    /// Counts a stream that was delivered completely by whether it met its route's goals.
    fn count_stream(&self) {
        if self.request_log.proof.is_none() {
            return;
        }
        if let Some(outcome) = self.stream_timing.outcome(&self.route, self.arrived_at) {
            let longest_pause = self.stream_timing.longest_pause();
            self.shared.metrics.stream(outcome, longest_pause);
        }
    }

    fn run_attempts(&mut self) -> ConnectionReuse {
        if let Err(denial) = self.admit() {
            return self.refuse(denial);
        }
        if let Err(denial) = self.prove_version() {
            return self.refuse(denial);
        }
        // The instance that passes a request on has reported it.
        if let Some(model_ref) = self.model_ref()
            && *self.origin == Origin::Caller
            && self.refused_for().is_none()
        {
            self.shared.report(ReportEvent::RequestAccepted {
                service: self.service.clone(),
                model_ref: model_ref.clone(),
            });
        }
        let mut failed: Option<Box<FailedAnswer>> = None;
        while self.successor.is_some() || self.attempts_since_wait < MAX_OFFERS {
            let made = match self.successor.take() {
                Some(sent) => Ok(self.complete_successor(sent)),
                None => self.make_attempt(failed.is_none()),
            };
            let (next_hop, attempt) = match made {
                Ok(made) => made,
                Err(obstacle) => {
                    self.request_log.stopped_by = obstacle;
                    return self.answer_failure(failed);
                }
            };
            log::debug!(request = self.facts.id, next_hop:? = next_hop, offer = self.request_log.offers; "{}", attempt.name());
            self.may_have_run |= attempt.may_have_run();
            match attempt {
                Attempt::Answered(reuse) => {
                    self.handle_answered_run(true);
                    return reuse;
                }
                Attempt::CallerGone => return self.end_without_caller(),
                Attempt::Denied(denial) if self.may_have_run => {
                    log::info!(target: REQUEST_TARGET, request = self.facts.id; "{}", denial.end);
                    return self.answer_failure(failed);
                }
                Attempt::Denied(denial) => return self.refuse(denial),
                Attempt::TimedOut => {
                    self.runs += 1;
                    if let NextHop::Upstream(target) = &next_hop {
                        self.handle_silent_run(target);
                    }
                    return self.answer_failure(failed);
                }
                Attempt::Stopping => {
                    self.runs += 1;
                    self.request_log.cut_by_stop = true;
                    return self.answer_failure(failed);
                }
                // An upstream that was full may have free capacity by now.
                Attempt::NotRun(Outcome::Shed) => self.tried.clear(),
                Attempt::NotSent | Attempt::NotPermitted => self.request_log.not_sent += 1,
                Attempt::NotRun(_) => {}
                Attempt::Replaced => {
                    self.runs += 1;
                    if let NextHop::Upstream(target) = &next_hop {
                        self.handle_replaced_run(target);
                    }
                }
                Attempt::Broken => {
                    self.runs += 1;
                    if let NextHop::Upstream(target) = &next_hop {
                        self.handle_broken_run(target, self.attempt_at);
                        if let Some(reuse) = self.continue_on_backup(target) {
                            return reuse;
                        }
                    }
                    if !self.may_run_again() {
                        return self.answer_failure(failed);
                    }
                }
                Attempt::Failed(answer) => {
                    self.runs += 1;
                    self.handle_answered_run(false);
                    failed = Some(answer);
                    // Another instance has made the attempts that the request may have.
                    if matches!(next_hop, NextHop::Peer(_)) || !self.may_run_again() {
                        return self.answer_failure(failed);
                    }
                }
            }
        }
        self.request_log.stopped_by = NO_ATTEMPT_LEFT;
        self.answer_failure(failed)
    }

    /// Ends a request whose caller has left or does not read.
    fn end_without_caller(&mut self) -> ConnectionReuse {
        self.request_log.end = if self.request_log.is_stalled || self.caller.has_timed_out() {
            NOT_TAKEN
        } else {
            "caller gone"
        };
        ConnectionReuse::Close
    }

    /// Time since the request arrived, in milliseconds.
    fn elapsed_ms(&self) -> u64 {
        millis_since(self.arrived_at, clock::now())
    }

    /// Whether the request may run again after a run has ended. If an abandoned run has used up the
    /// attempts, the request may still follow one whose upstream has crashed.
    fn may_run_again(&self) -> bool {
        let uncounted = self.abandoned_runs.min(self.crashed_runs);
        self.route.kind.can_run_again() && self.runs - uncounted < self.route.attempts
    }

    /// Waits for an upstream, or another instance, and makes an attempt there.
    ///
    /// # Errors
    /// Why no attempt can be made, for logs.
    fn make_attempt(&mut self, may_wait: bool) -> Result<(NextHop, Attempt), &'static str> {
        let is_first = self.request_log.offers == 0;
        self.prove_version().map_err(|denial| denial.end)?;
        let next_hop = self.wait_for_next_hop(may_wait).ok_or(NO_UPSTREAM)?;
        if !is_first {
            let Some(retry) = self.take_retry() else {
                self.release_place(&next_hop);
                return Err(NO_ALLOWANCE);
            };
            self.retry_charges.begin(Some(retry));
        }
        self.request_log.offers += 1;
        self.attempts_since_wait += 1;
        let waited_ms = self.elapsed_ms();
        self.request_log.waited_ms.get_or_insert(waited_ms);
        let attempt = self.attempt_at_hop(&next_hop);
        Ok((next_hop, attempt))
    }

    /// Returns the place that a dispatcher has granted for an attempt that is not made.
    fn release_place(&self, next_hop: &NextHop) {
        if let NextHop::Upstream(target) = next_hop
            && let Some(run_id) = target.run_id
        {
            let dispatch = &self.shared.dispatch;
            dispatch.run_ended(self.shared, run_id, Outcome::Unknown);
        }
    }

    /// Sends the request to an upstream or to another instance.
    fn attempt_at_hop(&mut self, next_hop: &NextHop) -> Attempt {
        match next_hop {
            NextHop::Upstream(target) => self.attempt_at_upstream(target),
            NextHop::Peer(peer) => self.attempt_via_peer(peer),
        }
    }

    /// Sends the request to an upstream.
    fn attempt_at_upstream(&mut self, target: &Target) -> Attempt {
        self.tried.push(target.id.clone());
        self.record_start(target);
        self.complete_run(target, clock::now(), |this| {
            if this.caller.is_closed() {
                return Attempt::CallerGone;
            }
            this.exchange(target)
        })
    }

    /// Completes the run at an upstream that began at `began_at`, by `exchange`, and records how it
    /// ended.
    fn complete_run(
        &mut self,
        target: &Target,
        began_at: Instant,
        exchange: impl FnOnce(&mut Self) -> Attempt,
    ) -> Attempt {
        self.request_log.upstream = Some(target.id.clone());
        self.attempt_upstream = Some(target.id.clone());
        self.attempt_at = began_at;
        let attempt = exchange(self);
        self.record_attempt_end(&attempt);
        self.attempt_upstream = None;
        self.run_id = self.shared.dispatch.next_run_id();
        self.record_end(target, attempt.outcome());
        self.shared.metrics.attempt(attempt.name());
        if target.backup.is_some() && attempt.may_have_run() {
            self.shared.metrics.copy_sent();
        }
        attempt
    }

    /// Records what the end of an attempt tells of its arrival.
    fn record_attempt_end(&mut self, attempt: &Attempt) {
        if attempt.is_unsent() {
            self.retry_charges.refund();
            return;
        }
        let is_given_up = match attempt {
            Attempt::TimedOut | Attempt::Replaced | Attempt::CallerGone | Attempt::Stopping => true,
            Attempt::Broken => self.unreachable_engine.is_some(),
            _ => false,
        };
        let has_successor = self.successor.is_some();
        self.retry_charges
            .record_end(is_given_up, self.attempt_at, has_successor);
    }

    /// Records that the request is sent to an upstream.
    fn record_start(&self, target: &Target) {
        let now = clock::now();
        let mut upstreams = self.shared.upstreams();
        upstreams.record_start(&target.id, self.model_ref(), now);
    }

    /// Records the end of a run at an upstream, and reports it to the dispatcher.
    fn record_end(&self, target: &Target, outcome: Outcome) {
        let now = clock::now();
        let mut upstreams = self.shared.upstreams();
        upstreams.record_end(&target.id, self.model_ref(), outcome, now);
        drop(upstreams);
        self.shared.notify_upstreams_changed();
        if let Some(run_id) = target.run_id {
            self.shared.dispatch.run_ended(self.shared, run_id, outcome);
        }
    }
}
