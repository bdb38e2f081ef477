//! One attempt: sending the request to one upstream, reading its answer, delivering it.
//!
//! An answer that is not a stream is buffered until it is complete, so that another upstream may
//! still answer instead. A stream is delivered as its events arrive. Only complete events are
//! delivered, so that another upstream can resume after the last of them.

use super::send_permit::SendPermit;
use super::silence::SilenceClock;
use super::{
    Attempt, ConnectionReuse, FailedAnswer, Forwarding, NOT_TAKEN, Target, connection_reuse,
};
use crate::http1::{
    self, AnswerHead, BodyMemory, BodyPart, BodyReader, CompletenessProof, Connection, HttpError,
    ReadBody, WriteOutcome, encode_head,
};
use crate::pool;
use crate::relay;
use crate::reply::{self, WRITE_TIMEOUT};
use crate::signals::{self, ReceivedSignals};
use crate::upstream_exchange::{Exchange, ForeignAnswer, OwnAnswer};
use passway_process::logging::json::REQUEST_TARGET;
use passway_serving::forecast::StreamProgress;
use passway_serving::headers::Headers;
use passway_serving::memory::MemoryReservation;
use passway_serving::ports::ForwardingMetadata;
use passway_serving::upstreams::Outcome;
use passway_serving::versions::IdentifiedStart;
use passway_types::clock;
use passway_types::prelude::*;
use std::io::ErrorKind;
use std::net::SocketAddr;

/// Time to connect to an upstream; a round trip takes a few milliseconds.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest idle time of a pooled connection for a request that may run only once.
const MAX_IDLE_RUN_ONCE: Duration = Duration::from_millis(900);
/// Longest idle time of a pooled connection for any other request.
const MAX_IDLE_REPEATABLE: Duration = Duration::from_mins(10);
/// Largest answer that is buffered whole.
pub(super) const MAX_BUFFERED_ANSWER_BYTES: usize = 1 << 20;
/// Largest body of a refusal that is read.
const MAX_REFUSAL_BYTES: usize = 64 << 10;
/// A caller that reads nothing of its answer for this long is given up. Slightly shorter than the
/// user timeout of the connection itself.
const CALLER_STALL_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Copies of a long event that are held at once: as received, among the events to deliver, and framed for the caller.
const EVENT_COPIES: usize = 3;
/// Bytes from which on the body of an answer is not copied behind its head to be written with it.
const SEPARATE_BODY_BYTES: usize = 64 << 10;
/// Answers to earlier requests that are skipped before a connection is given up.
const MAX_STALE_ANSWERS: usize = 2;
/// Longest time for which the body of a refusal, or of an answer to another request, is read so that
/// the connection can be used further. The bodies are short and arrive with their heads.
const SKIPPED_BODY_TIMEOUT: Duration = Duration::from_millis(250);
/// Status of an upstream that does not have the model of the request (RFC 9110: Misdirected
/// Request).
const MISDIRECTED: u16 = 421;

/// Where an answer comes from.
#[derive(Debug, Clone, Copy)]
pub(super) enum AnswerSource<'a> {
    /// An upstream.
    Upstream(&'a Target),
    /// Another instance.
    Peer,
}

impl Forwarding<'_> {
    /// Sends the request over a pooled or a new connection.
    pub(super) fn exchange(&mut self, target: &Target) -> Attempt {
        let max_idle = if self.route.kind.can_run_again() {
            MAX_IDLE_REPEATABLE
        } else {
            MAX_IDLE_RUN_ONCE
        };
        let now = clock::now();
        let id = &self.facts.id;
        let pooled = self
            .shared
            .pool
            .begin_exchange(&target.id, id, max_idle, now);
        if let Some(pooled) = pooled {
            let attempt = self.exchange_over(target, pooled);
            if matches!(
                attempt,
                Attempt::Broken | Attempt::Replaced | Attempt::TimedOut
            ) {
                // The other idle connections may be as dead as this one.
                self.shared.pool.close_idle(&target.id);
            }
            if !matches!(attempt, Attempt::NotSent) {
                return attempt;
            }
        }
        let Ok(exchange) = self.connect(target) else {
            return Attempt::NotSent;
        };
        self.shared.paths.record_connected(self.shared);
        self.exchange_over(target, exchange)
    }

    /// Connects to an upstream for an exchange of the request.
    pub(super) fn connect(&self, target: &Target) -> std::io::Result<Exchange> {
        let connected = self.connect_to(target.address, CONNECT_TIMEOUT);
        if connected.is_err() {
            self.shared.paths.record_unreachable(&target.id);
        }
        connected
    }

    /// Connects to an upstream or another instance for an exchange of the request.
    pub(super) fn connect_to(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> std::io::Result<Exchange> {
        let memory = self.shared.open_ended_memory.reservation();
        Exchange::connect(address, timeout, &self.facts.id, memory)
    }

    fn record_activity(&self, target: &Target) {
        let now = clock::now();
        self.shared.upstreams().record_activity(&target.id, now);
    }

    fn request_bytes(&self, target: &Target) -> Vec<u8> {
        let remaining = self.deadline_at.saturating_duration_since(clock::now());
        let stamp = ForwardingMetadata {
            upstream: target.id.clone(),
            deadline_ms: relay::millis(remaining),
            workspace: self.access.mark.clone(),
            urgency: self.is_engine.then_some(self.priority().min(9)),
            last_event_id: self.delivered.last_event_id(),
            backup: target.backup.as_ref().map(|backup| backup.address),
            continues: target.continues.clone(),
        };
        let mut headers = self
            .shared
            .vocabulary
            .forwarded_headers(&self.head.headers, &stamp);
        let has_body =
            self.head.headers.has("content-length") || self.head.headers.has("transfer-encoding");
        if has_body {
            headers.push("Content-Length", self.body.len().to_string());
        }
        let first_line = format!("{} {} HTTP/1.1", self.head.method, self.head.target);
        let mut bytes = encode_head(&first_line, &headers);
        bytes.extend_from_slice(self.body);
        bytes
    }

    /// Sends the request and handles the answer.
    fn exchange_over(&mut self, target: &Target, mut exchange: Exchange) -> Attempt {
        if let Err(denial) = self.check_access() {
            return Attempt::Denied(denial);
        }
        let Some(permit) = self.acquire_send_permit(target, &mut exchange) else {
            return Attempt::NotPermitted;
        };
        let until = self.deadline_at;
        let write_outcome = match self.send(target, permit, &mut exchange, until) {
            Ok(outcome) => outcome,
            Err(attempt) => return attempt,
        };
        match self.read_own_answer(target, &mut exchange) {
            Ok(answer) => {
                let request_whole = write_outcome == WriteOutcome::Whole;
                self.handle_answer(target, exchange, &answer, request_whole)
            }
            Err(attempt) => attempt,
        }
    }

    /// Writes the request until `until`.
    ///
    /// # Errors
    /// The outcome of the attempt, if it cannot be written.
    pub(super) fn send(
        &mut self,
        target: &Target,
        _permit: SendPermit,
        exchange: &mut Exchange,
        until: Instant,
    ) -> Result<WriteOutcome, Attempt> {
        let bytes = self.request_bytes(target);
        self.log_resumption(target);
        let upstream = exchange.connection_mut();
        let write_outcome = http1::write_all(upstream, &bytes, true, Some(self.caller), until);
        write_outcome.map_err(|error| match error {
            HttpError::WatchedClosed => Attempt::CallerGone,
            HttpError::TimedOut => Attempt::TimedOut,
            HttpError::Stopping => Attempt::Stopping,
            HttpError::NothingWritten => Attempt::NotSent,
            // A part may have arrived. An upstream runs only complete requests, but the last bytes
            // written may have been the end of this one.
            _ => Attempt::Broken,
        })
    }

    /// Reads the heads of answers until one belongs to this attempt.
    pub(super) fn read_own_answer(
        &mut self,
        target: &Target,
        exchange: &mut Exchange,
    ) -> Result<OwnAnswer, Attempt> {
        for _ in 0..=MAX_STALE_ANSWERS {
            let head = self.read_head(target, exchange.connection_mut())?;
            match self.accept_head(target, exchange, head, self.attempt_at) {
                Ok(answer) => {
                    self.retry_charges.record_answer();
                    return Ok(answer);
                }
                // The own answer may follow the one to an earlier request.
                Err(ForeignAnswer::OtherRequest(head)) => {
                    self.skip_body(exchange.connection_mut(), &head)?;
                }
                Err(ForeignAnswer::Unidentified) => return Err(Attempt::Broken),
            }
        }
        Err(Attempt::Broken)
    }

    /// Identifies the head of an answer to the request that was sent at `sent_at`, and applies what
    /// it shows of the upstream.
    ///
    /// # Errors
    /// If the answer does not belong to the exchange.
    pub(super) fn accept_head(
        &self,
        target: &Target,
        exchange: &Exchange,
        head: AnswerHead,
        sent_at: Instant,
    ) -> Result<OwnAnswer, ForeignAnswer> {
        self.record_activity(target);
        let vocabulary = &*self.shared.vocabulary;
        let answer = exchange.own_answer(head, vocabulary, &target.id);
        let answer = answer.inspect_err(|foreign| self.log_foreign(target, exchange, foreign))?;
        self.apply_signals(target, &answer, sent_at);
        if self.route.kind.is_stream() && !answer.facts().not_run && target.continues.is_none() {
            let mut first_byte_times = self.shared.first_byte_times();
            first_byte_times.observe(&self.route.name, clock::since(sent_at));
        }
        Ok(answer)
    }

    fn log_foreign(&self, target: &Target, exchange: &Exchange, foreign: &ForeignAnswer) {
        log::info!(target: REQUEST_TARGET, request = self.facts.id, upstream:% = target.id,
            offer = self.request_log.offers, connection = exchange.connection().local_port(),
            earlier_requests = exchange.earlier_requests(),
            names_other = matches!(foreign, ForeignAnswer::OtherRequest(_));
            "an answer does not belong to the request");
    }

    /// Applies the upstream's signals in an answer to this request. One without a request id may be
    /// of anything at the address, and one of another incarnation says nothing about the target.
    fn apply_signals(&self, target: &Target, answer: &OwnAnswer, sent_at: Instant) {
        let facts = answer.facts();
        if facts.is_other_incarnation || facts.id.is_none() {
            return;
        }
        let received = ReceivedSignals {
            start: &target.upstream_start(),
            signals: &facts.signals,
            is_authenticated: facts.is_sealed,
            sent_at,
        };
        signals::apply(self.shared, received);
    }

    /// Reads the next answer's head. If the upstream falls silent, the request's successor may begin
    /// to answer first.
    fn read_head(
        &mut self,
        target: &Target,
        upstream: &mut Connection,
    ) -> Result<AnswerHead, Attempt> {
        let mut silence = SilenceClock::start();
        loop {
            let until = self.next_silence_check_at(&silence);
            match http1::read_answer_head(upstream, Some(self.caller), until) {
                Ok(head) => return Ok(head),
                Err(HttpError::WatchedClosed) => return Err(Attempt::CallerGone),
                Err(HttpError::Stopping) => return Err(Attempt::Stopping),
                Err(HttpError::TimedOut) if clock::now() >= self.deadline_at => {
                    return Err(Attempt::TimedOut);
                }
                Err(HttpError::TimedOut) => {
                    let source = AnswerSource::Upstream(target);
                    self.handle_silence(source, upstream, &mut silence)?;
                }
                Err(error) => return Err(self.broken(&error)),
            }
        }
    }

    /// The outcome of a run whose connection broke with this error. If the connection was not closed
    /// by the upstream but given up by this machine, the upstream may not notice that it is closed.
    pub(super) fn broken(&mut self, error: &HttpError) -> Attempt {
        let is_unreachable = matches!(
            error,
            HttpError::Io(error) if matches!(
                error.kind(),
                ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable
            )
        );
        let upstream = self.request_log.upstream.clone();
        self.unreachable_engine = upstream.filter(|_| is_unreachable);
        Attempt::Broken
    }

    /// Reads and drops the body of an answer to another request. A request that may run again does not
    /// wait long for its end.
    fn skip_body(&mut self, upstream: &mut Connection, head: &AnswerHead) -> Result<(), Attempt> {
        let Ok(mut body) = BodyReader::of_answer(head, &self.head.method) else {
            return Err(Attempt::Broken);
        };
        let until = if self.route.kind.can_run_again() {
            self.deadline_at.min(clock::now() + SKIPPED_BODY_TIMEOUT)
        } else {
            self.deadline_at
        };
        match body.skip(
            upstream,
            MAX_BUFFERED_ANSWER_BYTES,
            Some(self.caller),
            until,
        ) {
            Ok(()) if body.is_reusable => Ok(()),
            Err(HttpError::WatchedClosed) => Err(Attempt::CallerGone),
            Err(HttpError::Stopping) => Err(Attempt::Stopping),
            Ok(()) | Err(_) => Err(Attempt::Broken),
        }
    }

    /// Decides what an answer to this request means, and delivers it if it is final.
    pub(super) fn handle_answer(
        &mut self,
        target: &Target,
        mut exchange: Exchange,
        answer: &OwnAnswer,
        request_whole: bool,
    ) -> Attempt {
        let (head, facts) = (answer.head(), answer.facts());
        let Ok(mut body) = BodyReader::of_answer(head, &self.head.method) else {
            return Attempt::Broken;
        };
        body.is_reusable &= request_whole;
        self.request_log.body_framing = Some(body.body_framing);
        let is_success = (200..300).contains(&head.status);
        if is_success && !answer.is_valid_success() {
            return Attempt::Broken;
        }
        if is_success && self.route.kind.is_stream() {
            if !self.fits_version(&target.start) {
                // Another run has brought events meanwhile.
                return Attempt::Broken;
            }
            return self.deliver_stream(AnswerSource::Upstream(target), exchange, head, body);
        }
        if facts.not_run {
            self.log_refusal(target, exchange.connection(), head);
            return self.finish_refusal(target, exchange, answer, body);
        }
        let read = self.read_answer(exchange.connection_mut(), &mut body, self.deadline_at);
        let ReadBody { bytes, end, memory } = match read {
            Ok(read) => read,
            Err(HttpError::WatchedClosed) => return Attempt::CallerGone,
            Err(HttpError::Stopping) => return Attempt::Stopping,
            Err(HttpError::TimedOut) => return Attempt::TimedOut,
            Err(_) => return Attempt::Broken,
        };
        self.return_to_pool(target, exchange, head, &body);
        if !facts.is_sealed {
            return Attempt::Broken;
        }
        let Some(proof) = self.prove_complete(AnswerSource::Upstream(target), end) else {
            return Attempt::Broken;
        };
        if is_success {
            return Attempt::Answered(self.deliver_whole(head, &bytes, proof));
        }
        Attempt::Failed(Box::new(FailedAnswer {
            head: head.clone(),
            body: bytes,
            proof,
            memory,
        }))
    }

    /// Reads the body of a refusal if it comes soon, so that the connection can be used further. The head
    /// alone says that the request has not run.
    fn finish_refusal(
        &mut self,
        target: &Target,
        mut exchange: Exchange,
        answer: &OwnAnswer,
        mut body: BodyReader,
    ) -> Attempt {
        let until = self.deadline_at.min(clock::now() + SKIPPED_BODY_TIMEOUT);
        let caller = Some(&mut *self.caller);
        let read = body.skip(exchange.connection_mut(), MAX_REFUSAL_BYTES, caller, until);
        if matches!(read, Err(HttpError::WatchedClosed)) {
            return Attempt::CallerGone;
        }
        self.return_to_pool(target, exchange, answer.head(), &body);
        self.handle_refusal(target, answer)
    }

    /// Logs an answer by which the upstream has not run the request. Two refusals of one request on the
    /// same connection, of which the second comes faster than a round trip, are copies of each other.
    fn log_refusal(&self, target: &Target, upstream: &Connection, head: &AnswerHead) {
        let after_us = clock::since(self.attempt_at).as_micros();
        log::info!(target: REQUEST_TARGET, request = self.facts.id, upstream:% = target.id,
            status = head.status, offer = self.request_log.offers,
            connection = upstream.local_port(), after_us = u64::try_from(after_us).unwrap_or(u64::MAX);
            "an upstream refused a request");
    }

    /// Reads the body of an answer that is delivered whole. The upstream's connection waits while there
    /// is no memory: for all of an answer that names its length, otherwise for each part.
    pub(super) fn read_answer(
        &mut self,
        connection: &mut Connection,
        body: &mut BodyReader,
        until: Instant,
    ) -> Result<ReadBody, HttpError> {
        let announced_bytes = body.announced_bytes();
        if announced_bytes > MAX_BUFFERED_ANSWER_BYTES {
            return Err(HttpError::TooLarge);
        }
        let memory = if announced_bytes > 0 {
            let shared = self.shared;
            let reserve = || shared.reserve_answer(announced_bytes);
            let reservation = http1::wait_for_room(reserve, self.caller, until)?;
            BodyMemory::of_known_length(reservation)
        } else {
            BodyMemory::of_open_ended_answer(self.shared.open_ended_memory.reservation())
        };
        let caller = Some(&mut *self.caller);
        body.read_whole(connection, MAX_BUFFERED_ANSWER_BYTES, memory, caller, until)
    }

    /// Handles an answer by which the upstream has not run the request.
    pub(super) fn handle_refusal(&mut self, target: &Target, answer: &OwnAnswer) -> Attempt {
        if answer.facts().is_other_incarnation {
            self.shared.pool.close_idle(&target.id);
            return Attempt::NotRun(Outcome::Unreachable);
        }
        if answer.head().status == MISDIRECTED && self.facts.expects_weights {
            // The upstream may have the model for all others.
            self.other_weights.push(target.id.clone());
            return Attempt::NotRun(Outcome::Unknown);
        }
        if answer.head().status == MISDIRECTED
            && let Some(model_ref) = self.model_ref()
        {
            let now = clock::now();
            self.shared
                .upstreams()
                .mark_model_absent(&target.id, model_ref, now);
            return Attempt::NotRun(Outcome::Unknown);
        }
        if self
            .shared
            .upstreams()
            .backoff_until(&target.id, clock::now())
            .is_some()
        {
            // The upstream has asked this instance to back off. That is no failure, and the
            // instance sends nothing there before the backoff ends.
            return Attempt::NotRun(Outcome::Unknown);
        }
        if target.continues.is_some() {
            // The engine has no copy of the run; that says nothing about its load.
            return Attempt::NotRun(Outcome::Unknown);
        }
        Attempt::NotRun(Outcome::Shed)
    }

    /// Returns the upstream's connection to the pool if it may carry another request.
    fn return_to_pool(
        &self,
        target: &Target,
        exchange: Exchange,
        head: &AnswerHead,
        body: &BodyReader,
    ) {
        let mut upstream = exchange.finish();
        if !body.is_reusable || !body.is_done() || !upstream.is_clean() {
            return;
        }
        let keep_alive_s = head.headers.text("keep-alive").and_then(|text| {
            let parts = text.split(',');
            let mut timeout = parts.filter_map(|part| part.trim().strip_prefix("timeout="));
            timeout.find_map(|seconds| seconds.parse().ok())
        });
        let idle_ttl = pool::idle_ttl(keep_alive_s);
        let now = clock::now();
        self.shared.pool.put(&target.id, upstream, idle_ttl, now);
    }

    fn answer_headers(&self, head: &AnswerHead) -> Headers {
        let mut headers = Headers(head.headers.end_to_end().cloned().collect());
        if self.should_close {
            headers.push("Connection", "close");
        }
        headers
    }

    fn write(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        let first_ms = self.elapsed_ms();
        self.request_log.first_ms.get_or_insert(first_ms);
        // A complete answer is delivered even after the deadline.
        let until = self.deadline_at.max(clock::now() + WRITE_TIMEOUT);
        let written = http1::write_until_stalled(self.caller, bytes, CALLER_STALL_TIMEOUT, until);
        self.request_log.is_stalled |= match &written {
            Err(HttpError::TimedOut) => true,
            // The connection's own user timeout has expired.
            Err(HttpError::Io(error)) => error.kind() == ErrorKind::TimedOut,
            _ => false,
        };
        written
    }

    /// Delivers a complete answer.
    pub(super) fn deliver_whole(
        &mut self,
        head: &AnswerHead,
        body: &[u8],
        proof: CompletenessProof,
    ) -> ConnectionReuse {
        self.request_log.proof = Some(proof);
        let mut headers = self.answer_headers(head);
        let is_bodyless = head.is_bodyless(&self.head.method);
        if !is_bodyless {
            headers.push("Content-Length", body.len().to_string());
        }
        let mut bytes = encode_head(&head.status_line(), &headers);
        let body = if is_bodyless { &[] } else { body };
        self.request_log.status = head.status;
        self.request_log.end = "answered";
        let written = if body.len() < SEPARATE_BODY_BYTES {
            bytes.extend_from_slice(body);
            self.write(&bytes)
        } else {
            self.write(&bytes).and_then(|()| self.write(body))
        };
        if self.request_log.is_stalled {
            self.request_log.end = NOT_TAKEN;
        }
        connection_reuse(written.is_ok() && !self.should_close)
    }

    /// Delivers a stream, event by event.
    pub(super) fn deliver_stream(
        &mut self,
        source: AnswerSource<'_>,
        mut exchange: Exchange,
        head: &AnswerHead,
        mut body: BodyReader,
    ) -> Attempt {
        let mut opening = self.stream_opening(head);
        self.stream_timing.begin_attempt();
        self.delivered.splitter.begin_attempt();
        let mut received = Vec::new();
        let mut event_memory = self.shared.open_ended_memory.reservation();
        let mut silence = SilenceClock::start();
        loop {
            let upstream = exchange.connection_mut();
            let part =
                self.read_stream_part(source, upstream, &mut body, &mut received, &mut silence);
            let end = match part {
                Ok(BodyPart::Bytes) => None,
                Ok(BodyPart::End(end)) => Some(end),
                Err(attempt) => return attempt,
            };
            if let Err(attempt) = self.reserve_event(&mut event_memory, received.len()) {
                return attempt;
            }
            let mut events = Vec::new();
            let Ok(event_count) = self.delivered.splitter.push(&received, &mut events) else {
                self.delivered.splitter.drop_partial();
                return Attempt::Broken;
            };
            if event_count > 0 {
                silence = SilenceClock::start();
                if let AnswerSource::Upstream(target) = source {
                    self.record_activity(target);
                }
                self.drop_overtaken_successor();
            }
            self.record_events(source, exchange.identified_start(), event_count);
            let proof = match end {
                Some(end) => match self.prove_stream_complete(source, end) {
                    Some(proof) => Some(proof),
                    None => return Attempt::Broken,
                },
                None => None,
            };
            let framed = self.frame_for_caller(std::mem::take(&mut opening), &events, proof);
            if !framed.is_empty() {
                self.delivered.head_sent = true;
                self.set_reset_on_close(true);
                // Once the head is out, no other answer can be sent.
                self.caller.mark_streaming();
                self.request_log.status = head.status;
                let write_began_at = clock::now();
                let written = self.write(&framed);
                self.stream_timing
                    .record_write(clock::since(write_began_at));
                if written.is_err() {
                    return Attempt::CallerGone;
                }
            }
            if event_count > 0 {
                event_memory.resize(0);
            }
            if proof.is_some() {
                self.set_reset_on_close(false);
                self.request_log.proof = proof;
                self.request_log.end = "answered";
                self.record_stream_end();
                if let AnswerSource::Upstream(target) = source {
                    self.return_to_pool(target, exchange, head, &body);
                }
                let can_reuse = self.delivered.chunked && !self.should_close;
                return Attempt::Answered(connection_reuse(can_reuse));
            }
        }
    }

    /// Reserves memory for an event that has not ended and the bytes that were received of it. Short
    /// events need none.
    ///
    /// # Errors
    /// The outcome of the attempt, if there is no memory.
    fn reserve_event(
        &mut self,
        memory: &mut MemoryReservation,
        received_bytes: usize,
    ) -> Result<(), Attempt> {
        let bytes = self.delivered.splitter.partial_bytes() + received_bytes;
        if bytes <= http1::FREE_BYTES {
            return Ok(());
        }
        let until = self.deadline_at;
        let reserved = http1::wait_for_memory(memory, EVENT_COPIES * bytes, self.caller, until);
        reserved.map_err(|error| {
            self.delivered.splitter.drop_partial();
            match error {
                HttpError::WatchedClosed => Attempt::CallerGone,
                HttpError::Stopping => Attempt::Stopping,
                HttpError::TimedOut => Attempt::TimedOut,
                _ => Attempt::Broken,
            }
        })
    }

    /// Sets whether the end of the caller's connection breaks its stream off. A chunked stream is broken
    /// off by any end before its last chunk.
    fn set_reset_on_close(&self, resets: bool) {
        if !self.delivered.chunked {
            self.caller.set_reset_on_close(resets);
        }
    }

    /// Records that events of the stream arrived, for the log and for the engine's dispatcher.
    fn record_events(
        &mut self,
        source: AnswerSource<'_>,
        start: Option<&IdentifiedStart>,
        event_count: u32,
    ) {
        let progress = self
            .stream_timing
            .record_events(event_count, self.attempt_at, clock::now());
        if event_count > 0 {
            match source {
                AnswerSource::Upstream(target) => {
                    self.record_first_event(&target.id, start);
                }
                AnswerSource::Peer => self.record_events_of_peer(),
            }
        }
        if event_count > 0
            && let AnswerSource::Upstream(target) = source
            && let Some(run_id) = target.run_id
        {
            // A continued run does not process its prompt again, so that the time to its first event
            // says nothing about other requests.
            let first_event = progress.first_event.filter(|_| target.continues.is_none());
            let progress = StreamProgress {
                first_event,
                ..progress
            };
            self.shared.dispatch.record_progress(run_id, &progress);
        }
    }

    /// The head of a stream's answer; empty if an earlier attempt has sent it.
    fn stream_opening(&mut self, head: &AnswerHead) -> Vec<u8> {
        if self.delivered.head_sent {
            return Vec::new();
        }
        let mut headers = self.answer_headers(head);
        self.delivered.chunked = self.head.is_1_1;
        if self.delivered.chunked {
            headers.push("Transfer-Encoding", "chunked");
        }
        encode_head(&head.status_line(), &headers)
    }

    /// Reads the next part of a stream. If the upstream falls silent, the stream's successor may begin
    /// to answer first.
    fn read_stream_part(
        &mut self,
        source: AnswerSource<'_>,
        upstream: &mut Connection,
        body: &mut BodyReader,
        received: &mut Vec<u8>,
        silence: &mut SilenceClock,
    ) -> Result<BodyPart, Attempt> {
        loop {
            received.clear();
            let until = match source {
                AnswerSource::Upstream(_) => self.next_silence_check_at(silence),
                // The other instance moves the stream if its upstream falls silent.
                AnswerSource::Peer => self.deadline_at,
            };
            match body.read_part(upstream, received, Some(self.caller), until) {
                Ok(part) => return Ok(part),
                Err(HttpError::WatchedClosed) => return Err(Attempt::CallerGone),
                Err(HttpError::Stopping) => return Err(Attempt::Stopping),
                Err(HttpError::TimedOut) if clock::now() >= self.deadline_at => {
                    return Err(Attempt::TimedOut);
                }
                Err(HttpError::TimedOut) => {
                    let handled = self.handle_silence(source, upstream, silence);
                    if let Err(attempt) = handled {
                        self.delivered.splitter.drop_partial();
                        return Err(attempt);
                    }
                }
                Err(error) => {
                    self.delivered.splitter.drop_partial();
                    return Err(self.broken(&error));
                }
            }
        }
    }

    /// `opening` followed by `events`, framed for the caller; with a proof, as the end of the stream.
    fn frame_for_caller(
        &self,
        opening: Vec<u8>,
        events: &[u8],
        proof: Option<CompletenessProof>,
    ) -> Vec<u8> {
        let mut framed = opening;
        if self.delivered.chunked && !events.is_empty() {
            framed.extend(reply::chunk(events));
        } else {
            framed.extend_from_slice(events);
        }
        if proof.is_some() && self.delivered.chunked {
            framed.extend_from_slice(reply::LAST_CHUNK);
        }
        framed
    }
}
