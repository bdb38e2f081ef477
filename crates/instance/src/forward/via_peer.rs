//! Passing a request on to another instance while this one is cut off from the upstreams.
//!
//! The other instance serves the request like one of its own callers', except that it neither
//! charges the allotment nor passes the request on again. Its answer is delivered as it arrives.
//!
//! An answer of an upstream is sealed. An answer without a seal is the other instance's own: by its
//! status, a refusal promises that the request has not run and never will.

use super::exchange::AnswerSource;
use super::{Attempt, FailedAnswer, Forwarding, Origin, request_hash};
use crate::http1::{self, AnswerHead, BodyReader, HttpError, ReadBody, encode_head};
use crate::metrics::PeerRequestOutcome;
use crate::paths::{PathMonitor, PeerRequestGuard};
use crate::relay::millis;
use crate::upstream_exchange::{Exchange, ForeignAnswer, OwnAnswer};
use passway_serving::headers::Headers;
use passway_serving::paths::PeerOffer;
use passway_serving::upstreams::Outcome;
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::message::PeerRequest;
use passway_wire::{Body, Frame};

/// Instances that a request is passed on to one after the other, if they do not run it.
const MAX_PEERS: usize = 2;
/// Time to connect to another instance; a round trip between halls takes about 3 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// How long after the deadline the other instance's answer is awaited, since it may answer at the
/// deadline.
const LAST_ANSWER_DELAY: Duration = Duration::from_millis(150);
/// Headers of a request that apply only to the caller's connection to this instance.
const CALLER_CONNECTION_HEADERS: [&str; 1] = ["expect"];
/// Statuses that promise that the request has not run and never will: Request Timeout, Misdirected
/// Request, Too Many Requests and Service Unavailable.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Gateway Timeout.
const TIMED_OUT_STATUS: u16 = 504;

impl Forwarding<'_> {
    /// The instance that the request should be passed on to now; `None` if this instance sends it
    /// to an upstream itself.
    pub(super) fn next_peer(&self) -> Option<PeerOffer> {
        if matches!(self.origin, Origin::Peer(_)) || self.tried_peers.len() >= MAX_PEERS {
            return None;
        }
        // The first instance may have refused the request only after it had waited for an upstream.
        let has_waited = clock::now() >= self.wait_until(self.deadline_at);
        if !self.tried_peers.is_empty() && !self.may_have_run && has_waited {
            return None;
        }
        let random = request_hash(&self.facts.id);
        let (paths, allowed) = (&self.shared.paths, &self.access.allowed_regions);
        paths.choose_peer(self.shared, allowed, &self.tried_peers, random)
    }

    /// Passes the request on to another instance and delivers its answer.
    pub(super) fn attempt_via_peer(&mut self, peer: &PeerOffer) -> Attempt {
        self.tried_peers.push(peer.instance.clone());
        // The other instance asks for its own permit.
        self.exclusive_permit = None;
        if self.caller.is_closed() {
            return Attempt::CallerGone;
        }
        let guard = PathMonitor::count_passed_on(self.shared, &peer.instance);
        self.complete_at_peer(peer, guard, clock::now(), |this| {
            match this.send_to_peer(peer, this.runs) {
                Ok(exchange) => this.receive_from_peer(exchange, None),
                Err(attempt) => attempt,
            }
        })
    }

    /// Completes the attempt at another instance that began at `began_at`, by `exchange`.
    pub(super) fn complete_at_peer(
        &mut self,
        peer: &PeerOffer,
        guard: PeerRequestGuard,
        began_at: Instant,
        exchange: impl FnOnce(&mut Self) -> Attempt,
    ) -> Attempt {
        self.request_log.peer = Some(peer.instance.clone());
        self.attempt_at = began_at;
        let attempt = exchange(self);
        self.record_attempt_end(&attempt);
        drop(guard);
        let outcome = match attempt {
            Attempt::NotSent | Attempt::NotRun(_) => {
                self.shared.paths.drop_offer(&peer.instance);
                PeerRequestOutcome::NotRun
            }
            Attempt::Answered(_) | Attempt::Failed(_) => PeerRequestOutcome::Answered,
            _ => PeerRequestOutcome::Lost,
        };
        self.shared.metrics.passed_on(outcome);
        attempt
    }

    /// Sends the request to another instance, which counts `runs` before its own.
    ///
    /// # Errors
    /// The outcome of the attempt, if it cannot be sent.
    pub(super) fn send_to_peer(
        &mut self,
        peer: &PeerOffer,
        runs: u32,
    ) -> Result<Exchange, Attempt> {
        if let Err(denial) = self.check_access() {
            return Err(Attempt::Denied(denial));
        }
        let connected = self.connect_to(peer.address, CONNECT_TIMEOUT);
        let Ok(mut exchange) = connected else {
            return Err(Attempt::NotSent);
        };
        let bytes = self.bytes_for_peer(runs).ok_or(Attempt::NotSent)?;
        let until = self.deadline_at;
        let caller = Some(&mut *self.caller);
        match http1::write_all(exchange.connection_mut(), &bytes, true, caller, until) {
            Ok(_) => Ok(exchange),
            Err(HttpError::WatchedClosed) => Err(Attempt::CallerGone),
            Err(HttpError::TimedOut) => Err(Attempt::TimedOut),
            Err(HttpError::Stopping) => Err(Attempt::Stopping),
            Err(HttpError::NothingWritten) => Err(Attempt::NotSent),
            Err(_) => Err(Attempt::Broken),
        }
    }

    /// Receives the answer of another instance and delivers it. `answer` is given if its head was read
    /// before.
    pub(super) fn receive_from_peer(
        &mut self,
        mut exchange: Exchange,
        answer: Option<OwnAnswer>,
    ) -> Attempt {
        let until = self.deadline_at + LAST_ANSWER_DELAY;
        if let Some(answer) = answer {
            return self.handle_peer_answer(exchange, &answer);
        }
        let connection = exchange.connection_mut();
        let head = http1::read_answer_head(connection, Some(self.caller), until);
        match head.map(|head| self.accept_peer_head(&exchange, head)) {
            Ok(Ok(answer)) => self.handle_peer_answer(exchange, &answer),
            Ok(Err(_)) => Attempt::Broken,
            Err(error) => failed_read(&error),
        }
    }

    /// Identifies the head of another instance's answer.
    ///
    /// # Errors
    /// If the answer does not belong to the exchange.
    pub(super) fn accept_peer_head(
        &self,
        exchange: &Exchange,
        head: AnswerHead,
    ) -> Result<OwnAnswer, ForeignAnswer> {
        exchange.own_answer(head, &*self.shared.vocabulary, "")
    }

    /// The announcement and the request as the caller sent it; `None` if they cannot be encoded.
    fn bytes_for_peer(&self, runs: u32) -> Option<Vec<u8>> {
        let table = self.shared.routes.load();
        let remaining = self.deadline_at.saturating_duration_since(clock::now());
        let announcement = PeerRequest {
            instance: self.shared.settings.instance.to_string(),
            config_version: table.as_ref().map_or(0, |table| table.version),
            remaining_ms: millis(remaining),
            runs,
            last_event_id: self.delivered.splitter.last_id().map(str::to_owned),
        };
        let frame = Frame::new(Body::PeerRequest(announcement));
        let frame = frame.inspect_err(|error| {
            log::error!(error:% = error; "cannot encode the announcement of a request");
        });
        let mut bytes = frame.ok()?.as_bytes().to_vec();
        let headers = self.head.headers.end_to_end().filter(|header| {
            let mut names = CALLER_CONNECTION_HEADERS.iter();
            !names.any(|name| header.name.eq_ignore_ascii_case(name))
        });
        let mut headers = Headers(headers.cloned().collect());
        let has_body =
            self.head.headers.has("content-length") || self.head.headers.has("transfer-encoding");
        if has_body {
            headers.push("Content-Length", self.body.len().to_string());
        }
        let first_line = format!("{} {} HTTP/1.1", self.head.method, self.head.target);
        bytes.extend(encode_head(&first_line, &headers));
        bytes.extend_from_slice(self.body);
        Some(bytes)
    }

    fn handle_peer_answer(&mut self, mut exchange: Exchange, answer: &OwnAnswer) -> Attempt {
        self.retry_charges.record_answer();
        let (head, facts) = (answer.head(), answer.facts());
        let Ok(mut body) = BodyReader::of_answer(head, &self.head.method) else {
            return Attempt::Broken;
        };
        self.request_log.body_framing = Some(body.body_framing);
        let is_success = (200..300).contains(&head.status);
        if facts.is_sealed && is_success && self.route.kind.is_stream() {
            return self.deliver_stream(AnswerSource::Peer, exchange, head, body);
        }
        let until = self.deadline_at + LAST_ANSWER_DELAY;
        let read = self.read_answer(exchange.connection_mut(), &mut body, until);
        let ReadBody { bytes, end, memory } = match read {
            Ok(read) => read,
            Err(error) => return failed_read(&error),
        };
        if facts.is_sealed {
            let Some(proof) = self.prove_complete(AnswerSource::Peer, end) else {
                return Attempt::Broken;
            };
            return if is_success {
                Attempt::Answered(self.deliver_whole(head, &bytes, proof))
            } else {
                Attempt::Failed(Box::new(FailedAnswer {
                    head: head.clone(),
                    body: bytes,
                    proof,
                    memory,
                }))
            };
        }
        if NOT_RUN_STATUSES.contains(&head.status) {
            let retry_after_s = head.headers.text("retry-after");
            let retry_after_s: Option<f64> = retry_after_s.and_then(|text| text.parse().ok());
            let retry_after = retry_after_s.and_then(|s| Duration::try_from_secs_f64(s).ok());
            self.peer_retry_ms = retry_after.map(millis).or(self.peer_retry_ms);
            return Attempt::NotRun(Outcome::Unknown);
        }
        match head.status {
            TIMED_OUT_STATUS => Attempt::TimedOut,
            // The other instance has another configuration or other limits than this one, which
            // has admitted the request.
            400..500 => Attempt::NotRun(Outcome::Unknown),
            _ => Attempt::Broken,
        }
    }
}

/// Whether an answer of another instance says that the request has not run and never will.
pub(super) fn is_refusal(answer: &OwnAnswer) -> bool {
    let status = answer.head().status;
    let is_refusal = (400..500).contains(&status) || NOT_RUN_STATUSES.contains(&status);
    is_refusal && !answer.facts().is_sealed
}

/// The outcome of an attempt whose answer could not be read. The request may have run.
fn failed_read(error: &HttpError) -> Attempt {
    match error {
        HttpError::WatchedClosed => Attempt::CallerGone,
        HttpError::TimedOut => Attempt::TimedOut,
        HttpError::Stopping => Attempt::Stopping,
        _ => Attempt::Broken,
    }
}
