//! One request: the loop over attempts, giving up.
//!
//! * [`destination`]: its route and service. [`access`]: whether it may go.
//! * [`waiting`]: waiting for an upstream and choosing it.
//! * [`refusing`]: the answer when nothing more can be tried.
//! * [`attempt`], [`exchange`]: what happens within one attempt. [`suspect`]: whether the
//!   request crashes what runs it. [`limits`]: a turn at upstreams in need. [`door`]: the last look
//!   before a request leaves.
//!
//! What an attempt tells decides what may follow. A request that was not run may go
//! to another upstream whatever its kind. One that may have run goes to another only
//! if its kind allows it, and is never refused as "not run".

mod access;
mod attempt;
mod destination;
mod door;
mod exchange;
mod limits;
mod refusing;
mod suspect;
mod waiting;

use crate::http1::{Connection, RequestHead};
use crate::poison::Trial;
use crate::relay::millis_since;
use crate::reply::{self, Refusal};
use crate::shared::{Need, Shared};
use access::{Access, Denied};
use attempt::{Attempt, Delivered, FailedAnswer, Target};
use destination::{draw, find_destination, host_of};
use limits::HeldBack;
use passway_process::logging::json::REQUEST_TARGET;
use passway_serving::dispatch::RunId;
use passway_serving::poison::{RequestDigest, RunPermission};
use passway_serving::ports::RequestMetadata;
use passway_serving::routes::Route;
use passway_serving::upstreams::{ModelRef, Outcome};
use passway_types::clock;
use passway_types::prelude::*;
use std::cell::OnceCell;

/// When a refused caller may come back, where nothing better is known.
pub const RETRY_AFTER_MS: u64 = 500;
/// How a request ends whose answer its caller does not take.
const UNREAD: &str = "not taken by its caller";
/// Most times that one request is offered to upstreams.
const MAX_OFFERS: u32 = 6;

/// Whether the caller's connection may carry another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum After {
    /// It may.
    Keep,
    /// It must be closed.
    Close,
}

/// One request on its way.
pub struct Forwarding<'a> {
    shared: &'a Arc<Shared>,
    caller: &'a mut Connection,
    head: &'a RequestHead,
    body: &'a [u8],
    facts: RequestMetadata,
    route: Arc<Route>,
    service: ServiceName,
    is_engine: bool,
    access: Access,
    /// What it counts towards its workspace's allotment, once that was taken.
    used: Option<f64>,
    /// Whether an upstream may have run it.
    may_have_run: bool,
    arrived_at: Instant,
    deadline_at: Instant,
    close_after: bool,
    delivered: Delivered,
    tried: Vec<UpstreamId>,
    /// Upstreams in need that do not take the request yet.
    held_back: Vec<HeldBack>,
    /// When the first of those does, in milliseconds, if only they have what it needs.
    turn_ms: Option<u64>,
    runs: u32,
    /// The number under which the next attempt asks for an engine.
    question: RunId,
    /// When the attempt in progress began.
    attempt_at: Instant,
    /// Where the request goes on, chosen before an upstream that is silent was left.
    next: Option<Target>,
    /// Whether it may run while upstreams that broke off under it may have ended.
    standing: RunPermission,
    /// Its turn to run alone among those like it, once it has asked for one.
    trial: Option<Trial>,
    /// When its model can be there at the earliest, in milliseconds, if that is too late for it.
    comes_ms: Option<u64>,
    /// What it asks for, once that was computed.
    digest: OnceCell<RequestDigest>,
    record: RequestRecord,
}

/// What the line about the request's end tells beside its facts.
#[derive(Debug, Default)]
struct RequestRecord {
    /// Times that it was offered to an upstream.
    offers: u32,
    /// The last of them.
    upstream: Option<UpstreamId>,
    /// Time until the first offer, in milliseconds.
    waited_ms: Option<u64>,
    /// Time until the first bytes of the answer went out, in milliseconds.
    first_ms: Option<u64>,
    /// The status that the caller got; 0 if none.
    status: u16,
    /// How it ended.
    end: &'static str,
    /// Whether its caller has taken nothing of the answer for long.
    is_unread: bool,
    /// Whether a stop of this instance left it less time than it had.
    cut_by_stop: bool,
}

impl std::fmt::Debug for Forwarding<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Forwarding")
            .field("id", &self.facts.id)
            .field("route", &self.route.name)
            .finish_non_exhaustive()
    }
}

/// Answers one request whose head and body have been read.
pub fn serve(
    shared: &Arc<Shared>,
    caller: &mut Connection,
    head: &RequestHead,
    body: &[u8],
    arrived_at: Instant,
) -> After {
    let facts = shared.vocabulary.parse_request(&head.headers);
    let close_after =
        shared.is_stopping() || !head.is_1_1 || head.headers.connection_contains("close");
    let destination = match find_destination(shared, caller, head, &facts, arrived_at) {
        Ok(destination) => destination,
        Err(Denied { refusal, end }) => {
            shared.metrics.ended(end, refusal.code());
            log::info!(target: REQUEST_TARGET, request = facts.id, status = refusal.code(),
                offers = 0, runs = 0, end = end;
                "request ended");
            let vocabulary = &*shared.vocabulary;
            let done = reply::refuse(caller, vocabulary, &facts.id, refusal, close_after);
            return after(done.is_ok() && !close_after);
        }
    };
    let caller_ms = facts.deadline_ms.unwrap_or(u64::MAX);
    let timeout_ms = caller_ms.min(destination.route.timeout_ms);
    shared
        .retries()
        .record_request(&destination.service, arrived_at);
    Forwarding {
        shared,
        caller,
        head,
        body,
        facts,
        route: destination.route,
        service: destination.service,
        is_engine: destination.is_engine,
        access: destination.access,
        used: None,
        may_have_run: false,
        arrived_at,
        deadline_at: arrived_at + Duration::from_millis(timeout_ms),
        close_after,
        delivered: Delivered::default(),
        tried: Vec::new(),
        held_back: Vec::new(),
        turn_ms: None,
        standing: RunPermission::default(),
        trial: None,
        runs: 0,
        question: shared.dispatch.next_run(),
        attempt_at: arrived_at,
        next: None,
        comes_ms: None,
        digest: OnceCell::new(),
        record: RequestRecord::default(),
    }
    .serve()
}

fn not_run(retry_after_ms: u64) -> Refusal {
    Refusal::NotRun { retry_after_ms }
}

fn after(keep: bool) -> After {
    if keep { After::Keep } else { After::Close }
}

impl Forwarding<'_> {
    fn wish(&self) -> Option<&ModelRef> {
        self.facts.model_ref.as_ref().filter(|_| self.is_engine)
    }

    /// Serves the request and says how it ended.
    fn serve(mut self) -> After {
        let after = self.run();
        self.give_use_back();
        if let Some(run) = self.next.take().and_then(|unused| unused.run) {
            self.shared
                .dispatch
                .ended(self.shared, run, Outcome::Unknown);
        }
        let record = &self.record;
        let metrics = &self.shared.metrics;
        metrics.ended(record.end, record.status);
        if let Some(first_ms) = record.first_ms {
            metrics.first_byte(Duration::from_millis(first_ms));
        }
        if let Some(waited_ms) = record.waited_ms.filter(|_| self.is_engine) {
            metrics.model_wait(Duration::from_millis(waited_ms));
        }
        let table = self.shared.routes.load();
        let version = table.as_ref().map_or(0, |table| table.version);
        let wish = self.facts.model_ref.as_ref();
        log::info!(target: REQUEST_TARGET, request = self.facts.id, route:% = self.route.name,
            service:% = self.service, model:% = wish.map_or("", |wish| &wish.model),
            workspace:% = self.access.workspace.as_ref().map_or("", |workspace| &workspace.name),
            adapter:% = wish.and_then(|wish| wish.adapter.as_deref()).unwrap_or(""),
            upstream:% = record.upstream.as_deref().unwrap_or(""), offers = record.offers,
            runs = self.runs, status = record.status, end = record.end,
            waited_ms = record.waited_ms.unwrap_or(0), first_ms = record.first_ms.unwrap_or(0),
            took_ms = self.held_ms(), config_version = version;
            "request ended");
        after
    }

    fn run(&mut self) -> After {
        if let Err(denied) = self.admit() {
            return self.refuse(denied);
        }
        if let Some(wish) = self.wish()
            && self.refused_for().is_none()
        {
            self.shared.tell(Need::Taken {
                service: self.service.clone(),
                wish: wish.clone(),
            });
        }
        let mut failed: Option<Box<FailedAnswer>> = None;
        for offer in 0..MAX_OFFERS {
            let first = offer == 0;
            let Some(target) = self.find_upstream(failed.is_none()) else {
                return self.give_up(failed);
            };
            if !first && !self.may_repeat() {
                return self.give_up(failed);
            }
            self.tried.push(target.id.clone());
            self.record.offers += 1;
            self.record.upstream = Some(target.id.clone());
            let waited_ms = self.held_ms();
            self.record.waited_ms.get_or_insert(waited_ms);
            let start = target.start();
            let attempt = self.attempt(&target);
            self.shared.metrics.attempt(attempt.name());
            log::debug!(request = self.facts.id, upstream:% = target.id, offer = offer; "{}", attempt.name());
            self.may_have_run |= attempt.may_have_run();
            match attempt {
                Attempt::Answered(after) => {
                    self.run_answered();
                    return after;
                }
                Attempt::CallerGone => {
                    self.record.end = if self.record.is_unread || self.caller.has_timed_out() {
                        UNREAD
                    } else {
                        "caller gone"
                    };
                    return After::Close;
                }
                Attempt::Denied(denied) if self.may_have_run => {
                    log::info!(target: REQUEST_TARGET, request = self.facts.id; "{}", denied.end);
                    return self.give_up(failed);
                }
                Attempt::Denied(denied) => return self.refuse(denied),
                Attempt::TimedOut => {
                    self.runs += 1;
                    let now = clock::now();
                    if self.shared.upstreams().is_silent(&target.id, now) {
                        self.doubt(&target, &start, true);
                    }
                    return self.give_up(failed);
                }
                Attempt::Ending => {
                    self.runs += 1;
                    self.record.cut_by_stop = true;
                    return self.give_up(failed);
                }
                // What is full now may have room in a moment.
                Attempt::NotRun(Outcome::Shed) => self.tried.clear(),
                Attempt::NotRun(_) | Attempt::NotSent | Attempt::Unwanted => {}
                Attempt::Broken => {
                    self.runs += 1;
                    self.run_broke(&target, start);
                    if !self.may_run_again() {
                        return self.give_up(failed);
                    }
                }
                Attempt::Failed(answer) => {
                    self.runs += 1;
                    self.run_answered();
                    failed = Some(answer);
                    if !self.may_run_again() {
                        return self.give_up(failed);
                    }
                }
            }
        }
        self.give_up(failed)
    }

    /// Time since the request arrived, in milliseconds.
    fn held_ms(&self) -> u64 {
        millis_since(self.arrived_at, clock::now())
    }

    fn may_run_again(&self) -> bool {
        self.route.kind.can_run_again() && self.runs < self.route.attempts
    }

    fn may_repeat(&self) -> bool {
        let mut retries = self.shared.retries();
        retries.try_spend(&self.service, clock::now())
    }

    fn attempt(&mut self, target: &Target) -> Attempt {
        let (attempt, outcome) = self.attempted(target);
        self.question = self.shared.dispatch.next_run();
        if let Some(run) = target.run {
            self.shared.dispatch.ended(self.shared, run, outcome);
        }
        attempt
    }

    /// One attempt, and what it tells of the upstream.
    fn attempted(&mut self, target: &Target) -> (Attempt, Outcome) {
        if self.caller.is_closed() {
            return (Attempt::CallerGone, Outcome::Unknown);
        }
        let wish = self.wish().cloned();
        let now = clock::now();
        self.attempt_at = now;
        self.shared
            .upstreams()
            .record_start(&target.id, wish.as_ref(), now);
        let attempt = self.exchange(target);
        let outcome = match &attempt {
            Attempt::Answered(_) => Outcome::Answered,
            Attempt::CallerGone | Attempt::Ending | Attempt::Denied(_) | Attempt::Unwanted => {
                Outcome::Unknown
            }
            Attempt::NotRun(outcome) => *outcome,
            Attempt::NotSent => Outcome::Unreachable,
            Attempt::Broken | Attempt::Failed(_) | Attempt::TimedOut => Outcome::Failed,
        };
        let now = clock::now();
        let mut upstreams = self.shared.upstreams();
        upstreams.record_end(&target.id, wish.as_ref(), outcome, now);
        drop(upstreams);
        self.shared.upstreams_changed();
        (attempt, outcome)
    }
}
