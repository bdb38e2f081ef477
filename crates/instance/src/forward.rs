//! One request: choosing an upstream, sending, passing the answer on, going on elsewhere.
//!
//! What an attempt tells decides what may follow. A request that was not run may go
//! to another upstream whatever its kind. One that may have run goes to another only
//! if its kind allows it, and is never refused as "not run".

use crate::events::EventCutter;
use crate::http1::{
    self, AnswerHead, BodyPart, BodyReader, Connection, HttpError, RequestHead, Wrote, encode_head,
};
use crate::pool;
use crate::reply::{self, Refusal, WRITE_TIME};
use crate::shared::{Need, Shared};
use passway_serving::headers::Headers;
use passway_serving::ports::{RequestFacts, Stamp};
use passway_serving::routes::{RequestKind, Route, RouteTable};
use passway_serving::upstreams::{Choice, Outcome};
use passway_types::prelude::*;
use std::net::SocketAddr;

/// Time to connect to an upstream; a round trip takes a few milliseconds.
const CONNECT_TIME: Duration = Duration::from_millis(300);
/// Longest time between two looks whether a waiting request's caller is still there.
const WAIT_STEP: Duration = Duration::from_millis(200);
/// Pause between two words to the holder of the right to order about one waiting request.
const TELL_PAUSE: Duration = Duration::from_millis(400);
/// A stream that may go on elsewhere does so after a pause of so many times its goal
/// for pauses, if nothing else is heard of its upstream either.
const SILENT_GAPS: u64 = 3;
/// Shortest such pause.
const MIN_SILENCE: Duration = Duration::from_millis(800);
/// Longest time between two looks whether a full upstream has room.
const FULL_STEP: Duration = Duration::from_millis(40);
/// Part of its time that a request may wait for an upstream before it is refused.
const WAIT_PART: f64 = 0.45;
/// A request that may run once goes over a connection that has rested at most this long.
const FRESH_REST: Duration = Duration::from_millis(900);
/// Any other request goes over a connection however long it has rested.
const ANY_REST: Duration = Duration::from_mins(10);
/// Largest answer that is held back until it is whole.
const MAX_WHOLE_BYTES: usize = 1 << 20;
/// When a refused caller may come back, where nothing better is known.
const RETRY_AFTER_MS: u64 = 500;
/// When a caller may come back to an instance that knows no configuration yet.
const START_RETRY_MS: u64 = 1_500;
/// Part of its time that a request may wait for the first configuration.
const START_PART: f64 = 0.3;
/// Longest such wait.
const START_WAIT: Duration = Duration::from_secs(1);
/// Pause between two looks whether the configuration has come.
const START_STEP: Duration = Duration::from_millis(30);
/// Answers of earlier requests that are left out before a connection is given up.
const MAX_SURPLUS_ANSWERS: usize = 2;
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

/// How one attempt ended.
#[derive(Debug)]
enum Attempt {
    /// The caller has the answer.
    Answered(After),
    /// The caller left, or its connection broke.
    CallerGone,
    /// The upstream has not run it and never will.
    NotRun(Outcome),
    /// Nothing of it was sent, or a kept connection had ended before.
    NotSent,
    /// It may have run; the answer broke off or was no answer.
    Broken,
    /// The upstream failed and says so.
    Failed(Box<FailedAnswer>),
    /// The time is over.
    TimedOut,
}

/// A failure that an upstream vouches for, kept in case nobody does better.
#[derive(Debug)]
struct FailedAnswer {
    head: AnswerHead,
    body: Vec<u8>,
}

/// What has gone to the caller.
#[derive(Debug, Default)]
struct Relay {
    head_sent: bool,
    chunked: bool,
    cutter: EventCutter,
}

/// An upstream chosen for an attempt.
#[derive(Debug, Clone)]
struct Target {
    id: UpstreamId,
    address: SocketAddr,
}

/// One request on its way.
pub struct Forwarding<'a> {
    shared: &'a Arc<Shared>,
    caller: &'a mut Connection,
    head: &'a RequestHead,
    body: &'a [u8],
    facts: RequestFacts,
    route: Arc<Route>,
    service: ServiceName,
    is_engine: bool,
    arrived_at: Instant,
    deadline_at: Instant,
    close_after: bool,
    relay: Relay,
    tried: Vec<UpstreamId>,
    runs: u32,
}

impl std::fmt::Debug for Forwarding<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Forwarding")
            .field("id", &self.facts.id)
            .field("route", &self.route.name)
            .finish_non_exhaustive()
    }
}

/// A stable number for a request, by which it takes its part of a split route.
fn draw(id: &str) -> u64 {
    // FNV-1a: the same request always takes the same backend.
    id.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

fn host_of(head: &RequestHead) -> Option<String> {
    let mut hosts = head.headers.all("host");
    let host = std::str::from_utf8(hosts.next()?).ok()?;
    if hosts.next().is_some() {
        return None;
    }
    let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
    Some(name.to_ascii_lowercase())
}

/// Answers one request whose head and body have been read.
pub fn serve(
    shared: &Arc<Shared>,
    caller: &mut Connection,
    head: &RequestHead,
    body: &[u8],
    arrived_at: Instant,
) -> After {
    let facts = shared.vocabulary.request(&head.headers);
    let close_after = shared.is_stopping() || !head.is_1_1 || head.headers.connection_says("close");
    let refuse = |caller: &mut Connection, refusal| {
        let done = reply::refuse(caller, &*shared.vocabulary, &facts.id, refusal, close_after);
        after(done.is_ok() && !close_after)
    };
    let Some(table) = known_routes(shared, caller, &facts, arrived_at) else {
        return refuse(caller, not_run(START_RETRY_MS));
    };
    let Some(host) = host_of(head) else {
        return refuse(caller, Refusal::Malformed);
    };
    let path = head.target.split('?').next().unwrap_or_default();
    let Some(route) = table.find(&host, path).cloned() else {
        return refuse(caller, Refusal::NoRoute);
    };
    let Some(service) = route.backend(draw(&facts.id)).cloned() else {
        return refuse(caller, not_run(RETRY_AFTER_MS));
    };
    let is_engine = is_engine(&table, &service);
    let timeout_ms = facts.deadline_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
    shared.retries().requested(&service, arrived_at);
    Forwarding {
        shared,
        caller,
        head,
        body,
        facts,
        route,
        service,
        is_engine,
        arrived_at,
        deadline_at: arrived_at + Duration::from_millis(timeout_ms),
        close_after,
        relay: Relay::default(),
        tried: Vec::new(),
        runs: 0,
    }
    .run()
}

/// The routes, as soon as both they and the upstreams are known. An instance that has
/// just started waits a moment for them: the store may be about to answer.
fn known_routes(
    shared: &Shared,
    caller: &mut Connection,
    facts: &RequestFacts,
    arrived_at: Instant,
) -> Option<Arc<RouteTable>> {
    let time = facts
        .deadline_ms
        .map(Duration::from_millis)
        .unwrap_or_default();
    let until = arrived_at + time.mul_f64(START_PART).min(START_WAIT);
    loop {
        // Upstreams that are not known yet cannot be told from none.
        let knows = shared.is_ready() || (shared.is_stopping() && !shared.is_closed());
        if knows {
            return shared.routes.load_full();
        }
        if shared.is_stopping() || Instant::now() >= until || caller.is_closed() {
            return None;
        }
        std::thread::sleep(START_STEP);
    }
}

fn is_engine(table: &RouteTable, service: &ServiceName) -> bool {
    let service = table.services.get(service);
    service.is_some_and(|service| service.pool.is_some())
}

fn not_run(retry_after_ms: u64) -> Refusal {
    Refusal::NotRun { retry_after_ms }
}

fn after(keep: bool) -> After {
    if keep { After::Keep } else { After::Close }
}

impl Forwarding<'_> {
    fn wish(&self) -> Option<&passway_serving::upstreams::ModelWish> {
        self.facts.wish.as_ref().filter(|_| self.is_engine)
    }

    fn run(mut self) -> After {
        if let Some(wish) = self.wish() {
            self.tell(Need::Taken {
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
            let attempt = self.attempt(&target);
            log::debug!(request = self.facts.id, upstream:% = target.id, offer = offer; "{}", attempt.name());
            match attempt {
                Attempt::Answered(after) => return after,
                Attempt::CallerGone => return After::Close,
                Attempt::TimedOut => {
                    self.runs += 1;
                    return self.give_up(failed);
                }
                // What is full now may have room in a moment.
                Attempt::NotRun(Outcome::Shed) => self.tried.clear(),
                Attempt::NotRun(_) | Attempt::NotSent => {}
                Attempt::Broken => {
                    self.runs += 1;
                    if !self.may_run_again() {
                        return self.give_up(failed);
                    }
                }
                Attempt::Failed(answer) => {
                    self.runs += 1;
                    failed = Some(answer);
                    if !self.may_run_again() {
                        return self.give_up(failed);
                    }
                }
            }
        }
        self.give_up(failed)
    }

    fn may_run_again(&self) -> bool {
        self.route.kind.may_run_again() && self.runs < self.route.attempts
    }

    fn may_repeat(&self) -> bool {
        let mut retries = self.shared.retries();
        retries.try_spend(&self.service, Instant::now())
    }

    fn tell(&self, need: Need) {
        // The thread that hears it ends only with the process.
        let _ = self.shared.needs.send(need);
    }

    /// The last answer, when nothing more can be tried.
    fn give_up(mut self, failed: Option<Box<FailedAnswer>>) -> After {
        if self.relay.head_sent {
            // A stream that breaks off must not look whole.
            log::info!(request = self.facts.id, code = 0; "stream broken off");
            return After::Close;
        }
        if let Some(failed) = failed {
            return self.pass_whole(&failed.head, &failed.body);
        }
        let refusal = if self.runs == 0 {
            not_run(RETRY_AFTER_MS)
        } else if Instant::now() >= self.deadline_at {
            Refusal::TimedOut
        } else {
            Refusal::AnswerLost
        };
        log::info!(request = self.facts.id, route:% = self.route.name, code = refusal.code(),
            runs = self.runs, after_ms = self.arrived_at.elapsed().as_millis();
            "refused");
        let vocabulary = &*self.shared.vocabulary;
        let close = self.close_after;
        let done = reply::refuse(self.caller, vocabulary, &self.facts.id, refusal, close);
        after(done.is_ok() && !close)
    }

    /// Waits for an upstream that can take the request.
    fn find_upstream(&mut self, may_wait: bool) -> Option<Target> {
        let whole = self.deadline_at.saturating_duration_since(self.arrived_at);
        let patience = Duration::from_millis(self.route.patience_ms());
        let wait_until = self.arrived_at + whole.min(patience).mul_f64(WAIT_PART);
        let mut told_at: Option<Instant> = None;
        loop {
            let now = Instant::now();
            let upstreams = self.shared.upstreams();
            let drawn = draw(&self.facts.id).wrapping_add(self.runs.into());
            let choice = upstreams.choose(&self.service, self.wish(), &self.tried, drawn, now);
            if let Choice::Send { id, address } = choice {
                return Some(Target { id, address });
            }
            if now >= wait_until || !may_wait {
                return None;
            }
            let is_absent = choice == Choice::Absent;
            if !is_absent || told_at.is_some() {
                let longest = if is_absent { WAIT_STEP } else { FULL_STEP };
                let step = longest.min(wait_until - now);
                self.shared.wait_for_upstreams(upstreams, step);
            } else {
                drop(upstreams);
            }
            if is_absent {
                // Those that were tried may have what is needed again.
                self.tried.clear();
            }
            let may_tell = told_at.is_none_or(|at| now >= at + TELL_PAUSE);
            if is_absent
                && may_tell
                && let Some(wish) = self.wish()
            {
                told_at = Some(now);
                self.tell(Need::Waits {
                    service: self.service.clone(),
                    wish: wish.clone(),
                    until: wait_until,
                });
            }
            if self.caller.is_closed() {
                // The next step sees the closed connection and ends.
                return None;
            }
        }
    }

    fn attempt(&mut self, target: &Target) -> Attempt {
        if self.caller.is_closed() {
            return Attempt::CallerGone;
        }
        let wish = self.wish().cloned();
        let now = Instant::now();
        self.shared
            .upstreams()
            .started(&target.id, wish.as_ref(), now);
        let attempt = self.exchange(target);
        let outcome = match &attempt {
            Attempt::Answered(_) => Outcome::Answered,
            Attempt::CallerGone => Outcome::Unknown,
            Attempt::NotRun(outcome) => *outcome,
            Attempt::NotSent => Outcome::Unreachable,
            Attempt::Broken | Attempt::Failed(_) | Attempt::TimedOut => Outcome::Failed,
        };
        let now = Instant::now();
        let mut upstreams = self.shared.upstreams();
        upstreams.ended(&target.id, wish.as_ref(), outcome, now);
        drop(upstreams);
        self.shared.upstreams_changed();
        attempt
    }

    /// Sends the request over a rested or a new connection.
    fn exchange(&mut self, target: &Target) -> Attempt {
        let longest = if self.route.kind.may_run_again() {
            ANY_REST
        } else {
            FRESH_REST
        };
        let now = Instant::now();
        if let Some(kept) = self.shared.pool.take(&target.id, longest, now) {
            let attempt = self.exchange_over(target, kept);
            if !matches!(attempt, Attempt::NotSent) {
                return attempt;
            }
        }
        match Connection::connect(target.address, CONNECT_TIME) {
            Ok(connection) => self.exchange_over(target, connection),
            Err(_) => Attempt::NotSent,
        }
    }

    /// Until when to wait before it is looked whether the upstream is silent. Only a
    /// stream that may go on elsewhere is looked at; any other ends by its own times.
    fn step_until(&self) -> Instant {
        let may_move = self.route.kind == RequestKind::Stream { resumable: true }
            && self.runs + 1 < self.route.attempts;
        if !may_move {
            return self.deadline_at;
        }
        let step = Duration::from_millis(self.route.gap_goal_ms * SILENT_GAPS);
        self.deadline_at.min(Instant::now() + step.max(MIN_SILENCE))
    }

    /// Whether the upstream is silent and another one can go on.
    fn is_silent(&self, target: &Target) -> bool {
        let now = Instant::now();
        let upstreams = self.shared.upstreams();
        upstreams.is_silent(&target.id, now)
            && matches!(
                upstreams.choose(&self.service, self.wish(), &self.tried, 0, now),
                Choice::Send { .. }
            )
    }

    fn heard(&self, target: &Target) {
        let now = Instant::now();
        self.shared.upstreams().heard(&target.id, now);
    }

    fn request_bytes(&self, target: &Target) -> Vec<u8> {
        let left = self.deadline_at.saturating_duration_since(Instant::now());
        let stamp = Stamp {
            upstream: target.id.clone(),
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            urgency: self.is_engine.then_some(self.route.priority.min(9)),
            last_event: self.relay.cutter.last_id().map(str::to_owned),
        };
        let mut headers = self.shared.vocabulary.forwarded(&self.head.headers, &stamp);
        let has_body =
            self.head.headers.has("content-length") || self.head.headers.has("transfer-encoding");
        if has_body {
            headers.push("Content-Length", self.body.len().to_string());
        }
        let line = format!("{} {} HTTP/1.1", self.head.method, self.head.target);
        let mut bytes = encode_head(&line, &headers);
        bytes.extend_from_slice(self.body);
        bytes
    }

    fn exchange_over(&mut self, target: &Target, mut upstream: Connection) -> Attempt {
        let bytes = self.request_bytes(target);
        let until = self.deadline_at;
        let wrote = http1::write_all(&mut upstream, &bytes, true, Some(self.caller), until);
        let whole = match wrote {
            Ok(wrote) => wrote == Wrote::Whole,
            Err(HttpError::WatchedClosed) => return Attempt::CallerGone,
            Err(HttpError::TimedOut) => return Attempt::TimedOut,
            // A part may have arrived; an upstream runs only whole requests, but
            // what was written last may have been the end of one.
            Err(_) => return Attempt::Broken,
        };
        for _ in 0..=MAX_SURPLUS_ANSWERS {
            let head = loop {
                let step = self.step_until();
                match http1::read_answer_head(&mut upstream, Some(self.caller), step) {
                    Ok(head) => break head,
                    Err(HttpError::WatchedClosed) => return Attempt::CallerGone,
                    Err(HttpError::TimedOut) if Instant::now() >= until => {
                        return Attempt::TimedOut;
                    }
                    Err(HttpError::TimedOut) if !self.is_silent(target) => {}
                    Err(_) => return Attempt::Broken,
                }
            };
            self.heard(target);
            let facts = self
                .shared
                .vocabulary
                .answer(head.status, &head.headers, &target.id);
            let is_mine = facts.id.as_deref().is_none_or(|id| id == self.facts.id);
            if !is_mine {
                // An answer to an earlier request: what follows may be ours.
                let Ok(mut body) = BodyReader::of_answer(&head, &self.head.method) else {
                    return Attempt::Broken;
                };
                let rest = body.read_whole(&mut upstream, MAX_WHOLE_BYTES, None, until);
                if rest.is_err() || !body.reusable {
                    return Attempt::Broken;
                }
                continue;
            }
            return self.answered(target, upstream, &head, &facts, whole);
        }
        Attempt::Broken
    }

    fn answered(
        &mut self,
        target: &Target,
        mut upstream: Connection,
        head: &AnswerHead,
        facts: &passway_serving::ports::AnswerFacts,
        request_whole: bool,
    ) -> Attempt {
        let Ok(mut body) = BodyReader::of_answer(head, &self.head.method) else {
            return Attempt::Broken;
        };
        body.reusable &= request_whole;
        let is_success = (200..300).contains(&head.status);
        let encoded = head.headers.has("content-encoding");
        if is_success && (!facts.vouched || encoded || facts.id.is_none()) {
            return Attempt::Broken;
        }
        if is_success && self.route.kind.is_stream() {
            return self.pass_stream(target, upstream, head, body);
        }
        let until = self.deadline_at;
        let read = body.read_whole(&mut upstream, MAX_WHOLE_BYTES, Some(self.caller), until);
        let bytes = match read {
            Ok(bytes) => bytes,
            Err(HttpError::WatchedClosed) => return Attempt::CallerGone,
            Err(HttpError::TimedOut) if !facts.not_run => return Attempt::TimedOut,
            Err(_) if !facts.not_run => return Attempt::Broken,
            Err(_) => Vec::new(),
        };
        self.rest(target, upstream, head, &body);
        if facts.not_run {
            if facts.other_incarnation {
                self.shared.pool.forget(&target.id);
                return Attempt::NotRun(Outcome::Unreachable);
            }
            if head.status == 421
                && let Some(wish) = self.wish()
            {
                let now = Instant::now();
                self.shared.upstreams().absent(&target.id, wish, now);
                return Attempt::NotRun(Outcome::Unknown);
            }
            return Attempt::NotRun(Outcome::Shed);
        }
        if is_success {
            return Attempt::Answered(self.pass_whole(head, &bytes));
        }
        if !facts.vouched {
            return Attempt::Broken;
        }
        Attempt::Failed(Box::new(FailedAnswer {
            head: head.clone(),
            body: bytes,
        }))
    }

    /// Keeps the upstream's connection if it may carry another request.
    fn rest(
        &self,
        target: &Target,
        mut upstream: Connection,
        head: &AnswerHead,
        body: &BodyReader,
    ) {
        if !body.reusable || !body.is_done() || !upstream.is_clean() {
            return;
        }
        let named = head.headers.text("keep-alive").and_then(|text| {
            let parts = text.split(',');
            let mut timeout = parts.filter_map(|part| part.trim().strip_prefix("timeout="));
            timeout.find_map(|seconds| seconds.parse().ok())
        });
        let rest = pool::rest_time(named);
        let now = Instant::now();
        self.shared.pool.put(&target.id, upstream, rest, now);
    }

    fn answer_headers(&self, head: &AnswerHead) -> Headers {
        let mut headers = Headers(head.headers.end_to_end().cloned().collect());
        if self.close_after {
            headers.push("Connection", "close");
        }
        headers
    }

    fn write(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        // A ready answer is delivered, late too.
        let until = self.deadline_at.max(Instant::now() + WRITE_TIME);
        http1::write_all(self.caller, bytes, false, None, until)?;
        Ok(())
    }

    /// Passes on an answer that is whole.
    fn pass_whole(&mut self, head: &AnswerHead, body: &[u8]) -> After {
        let mut headers = self.answer_headers(head);
        let bodyless = self.head.method == "HEAD" || matches!(head.status, 204 | 304);
        if !bodyless {
            headers.push("Content-Length", body.len().to_string());
        }
        let line = format!("HTTP/1.1 {} {}", head.status, head.reason);
        let mut bytes = encode_head(&line, &headers);
        if !bodyless {
            bytes.extend_from_slice(body);
        }
        let written = self.write(&bytes);
        after(written.is_ok() && !self.close_after)
    }

    /// Passes on a stream, event by event.
    fn pass_stream(
        &mut self,
        target: &Target,
        mut upstream: Connection,
        head: &AnswerHead,
        mut body: BodyReader,
    ) -> Attempt {
        let mut opening = Vec::new();
        if !self.relay.head_sent {
            let mut headers = self.answer_headers(head);
            self.relay.chunked = self.head.is_1_1;
            if self.relay.chunked {
                headers.push("Transfer-Encoding", "chunked");
            }
            let line = format!("HTTP/1.1 {} {}", head.status, head.reason);
            opening = encode_head(&line, &headers);
        }
        let mut received = Vec::new();
        let mut events = Vec::new();
        loop {
            received.clear();
            let until = self.step_until();
            let part = body.next(&mut upstream, &mut received, Some(self.caller), until);
            let ended = match part {
                Ok(part) => part == BodyPart::End,
                Err(HttpError::WatchedClosed) => return Attempt::CallerGone,
                Err(HttpError::TimedOut) if Instant::now() >= self.deadline_at => {
                    return Attempt::TimedOut;
                }
                Err(HttpError::TimedOut) if !self.is_silent(target) => continue,
                Err(_) => {
                    self.relay.cutter.drop_partial();
                    return Attempt::Broken;
                }
            };
            self.heard(target);
            events.clear();
            self.relay.cutter.add(&received, &mut events);
            if ended {
                events.extend(self.relay.cutter.take_rest());
            }
            let mut out = std::mem::take(&mut opening);
            if self.relay.chunked && !events.is_empty() {
                out.extend(reply::chunk(&events));
            } else {
                out.extend_from_slice(&events);
            }
            if ended && self.relay.chunked {
                out.extend_from_slice(reply::LAST_CHUNK);
            }
            if !out.is_empty() {
                self.relay.head_sent = true;
                if self.write(&out).is_err() {
                    return Attempt::CallerGone;
                }
            }
            if ended {
                self.rest(target, upstream, head, &body);
                let keep = self.relay.chunked && !self.close_after;
                return Attempt::Answered(after(keep));
            }
        }
    }
}

impl Attempt {
    fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::CallerGone => "caller gone",
            Self::NotRun(_) => "not run",
            Self::NotSent => "not sent",
            Self::Broken => "broken",
            Self::Failed(_) => "failed",
            Self::TimedOut => "timed out",
        }
    }
}
