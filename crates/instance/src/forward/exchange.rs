//! One attempt: sending the request to one upstream, reading its answer, passing it on.
//!
//! An answer that is no stream is held back until it is whole, so that another
//! upstream may still answer. A stream is passed on as its events come; only whole
//! events go out, so that another upstream can go on behind the last of them.

use super::door::Permit;
use super::{After, Attempt, FailedAnswer, Forwarding, Target, UNREAD, after};
use crate::http1::{
    self, AnswerHead, BodyPart, BodyReader, Connection, HttpError, Wrote, encode_head,
};
use crate::pool;
use crate::relay;
use crate::reply::{self, WRITE_TIME};
use crate::shared::Held;
use crate::words::{self, Heard};
use passway_serving::headers::Headers;
use passway_serving::ports::{AnswerMetadata, ForwardingMetadata};
use passway_serving::routes::RequestKind;
use passway_serving::upstreams::Outcome;
use passway_types::clock;
use passway_types::prelude::*;
use std::io::ErrorKind;

/// Time to connect to an upstream; a round trip takes a few milliseconds.
const CONNECT_TIME: Duration = Duration::from_millis(300);
/// A stream that may go on elsewhere does so after a pause of so many times its goal
/// for pauses, if nothing else is heard of its upstream either.
const SILENT_GAPS: u64 = 3;
/// Shortest such pause.
const MIN_SILENCE: Duration = Duration::from_millis(800);
/// A request that may run once goes over a connection that has rested at most this long.
const FRESH_REST: Duration = Duration::from_millis(900);
/// Any other request goes over a connection however long it has rested.
const ANY_REST: Duration = Duration::from_mins(10);
/// Largest answer that is held back until it is whole.
const MAX_WHOLE_BYTES: usize = 1 << 20;
/// A caller that takes nothing of its answer for so long does not read it: a little less than the connection itself
/// bears that.
const UNREAD_TIME: Duration = Duration::from_millis(3_500);
/// Pause between two looks whether there is room for an answer.
const ROOM_STEP: Duration = Duration::from_millis(20);
/// Answers of earlier requests that are left out before a connection is given up.
const MAX_SURPLUS_ANSWERS: usize = 2;
/// Status of an upstream that does not have what the request is for (RFC 9110:
/// Misdirected Request).
const MISDIRECTED: u16 = 421;

impl Forwarding<'_> {
    /// Sends the request over a rested or a new connection.
    pub(super) fn exchange(&mut self, target: &Target) -> Attempt {
        let longest = if self.route.kind.can_run_again() {
            ANY_REST
        } else {
            FRESH_REST
        };
        let now = clock::now();
        if let Some(kept) = self.shared.pool.take(&target.id, longest, now) {
            let attempt = self.exchange_over(target, kept);
            if matches!(attempt, Attempt::Broken | Attempt::TimedOut) {
                // The others that rest may be as dead as this one was.
                self.shared.pool.forget(&target.id);
            }
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
        let step = Duration::from_millis(self.route.gap_target_ms * SILENT_GAPS);
        self.deadline_at.min(clock::now() + step.max(MIN_SILENCE))
    }

    /// Whether the upstream is silent for longer than is usual and another one can go on: it
    /// is chosen, and a repeat is left, before this one is given up.
    fn is_silent(&mut self, target: &Target) -> bool {
        let now = clock::now();
        if !self.shared.upstreams().is_silent(&target.id, now)
            || now < self.usual_until()
            || !self.shared.retries().can_spend(&self.service, now)
        {
            return false;
        }
        self.question = self.shared.dispatch.next_run();
        let next = self.choose(now).ok();
        self.next = next.and_then(|next| self.with_turn(next));
        self.next.is_some()
    }

    /// Until when it is usual that nothing has come yet; past once something has.
    fn usual_until(&self) -> Instant {
        if self.delivered.head_sent {
            return self.attempt_at;
        }
        let goal = Duration::from_millis(self.route.latency_target_ms);
        let usual = self.shared.usual_times().usual_max(&self.route.name, goal);
        self.attempt_at + usual
    }

    fn heard(&self, target: &Target) {
        let now = clock::now();
        self.shared.upstreams().record_activity(&target.id, now);
    }

    fn request_bytes(&self, target: &Target) -> Vec<u8> {
        let left = self.deadline_at.saturating_duration_since(clock::now());
        let stamp = ForwardingMetadata {
            upstream: target.id.clone(),
            deadline_ms: relay::millis(left),
            workspace: self.access.mark.clone(),
            urgency: self.is_engine.then_some(self.priority().min(9)),
            last_event_id: self.delivered.cutter.last_id().map(str::to_owned),
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
        let line = format!("{} {} HTTP/1.1", self.head.method, self.head.target);
        let mut bytes = encode_head(&line, &headers);
        bytes.extend_from_slice(self.body);
        bytes
    }

    /// Sends the request over `upstream` and deals with the answer to it.
    fn exchange_over(&mut self, target: &Target, mut upstream: Connection) -> Attempt {
        if let Err(denied) = self.check_access() {
            return Attempt::Denied(denied);
        }
        let Some(permit) = self.permit(target) else {
            return Attempt::Unwanted;
        };
        let wrote = match self.send(target, permit, &mut upstream) {
            Ok(wrote) => wrote,
            Err(ended) => return ended,
        };
        match self.read_own_head(target, &mut upstream) {
            Ok((head, facts)) => {
                let whole = wrote == Wrote::Whole;
                self.answered(target, upstream, &head, &facts, whole)
            }
            Err(ended) => ended,
        }
    }

    /// Writes the request; the error says how the attempt ended.
    fn send(
        &mut self,
        target: &Target,
        _permit: Permit,
        upstream: &mut Connection,
    ) -> Result<Wrote, Attempt> {
        let bytes = self.request_bytes(target);
        let until = self.deadline_at;
        let wrote = http1::write_all(upstream, &bytes, true, Some(self.caller), until);
        wrote.map_err(|error| match error {
            HttpError::WatchedClosed => Attempt::CallerGone,
            HttpError::TimedOut => Attempt::TimedOut,
            HttpError::Ending => Attempt::Ending,
            HttpError::NothingWritten => Attempt::NotSent,
            // A part may have arrived; an upstream runs only whole requests, but
            // what was written last may have been the end of one.
            _ => Attempt::Broken,
        })
    }

    /// Reads answers until one belongs to this request, and returns its head.
    fn read_own_head(
        &mut self,
        target: &Target,
        upstream: &mut Connection,
    ) -> Result<(AnswerHead, AnswerMetadata), Attempt> {
        for _ in 0..=MAX_SURPLUS_ANSWERS {
            let head = self.read_head(target, upstream)?;
            self.heard(target);
            let vocabulary = &self.shared.vocabulary;
            let facts = vocabulary.parse_answer(head.status, &head.headers, &target.id);
            if facts.id.as_deref().is_none_or(|id| id == self.facts.id) {
                self.hear_words(target, &facts);
                if self.route.kind.is_stream() && !facts.not_run {
                    let after = clock::since(self.attempt_at);
                    let mut usual = self.shared.usual_times();
                    usual.observe(&self.route.name, after);
                }
                return Ok((head, facts));
            }
            // An answer to an earlier request: what follows may be ours.
            self.skip_body(upstream, &head)?;
        }
        Err(Attempt::Broken)
    }

    /// Takes in what an answer to this request says of its upstream. One that names no request may be
    /// anybody's, and one of another incarnation says nothing of the upstream that was asked.
    fn hear_words(&self, target: &Target, facts: &AnswerMetadata) {
        if facts.is_other_incarnation || facts.id.is_none() {
            return;
        }
        let heard = Heard {
            start: &target.start(),
            words: &facts.signals,
            vouched: facts.is_sealed,
            sent_at: self.attempt_at,
        };
        words::hear(self.shared, heard);
    }

    /// Reads the next answer's head, for as long as the upstream is not silent.
    fn read_head(
        &mut self,
        target: &Target,
        upstream: &mut Connection,
    ) -> Result<AnswerHead, Attempt> {
        loop {
            let step = self.step_until();
            match http1::read_answer_head(upstream, Some(self.caller), step) {
                Ok(head) => return Ok(head),
                Err(HttpError::WatchedClosed) => return Err(Attempt::CallerGone),
                Err(HttpError::Ending) => return Err(Attempt::Ending),
                Err(HttpError::TimedOut) if clock::now() >= self.deadline_at => {
                    return Err(Attempt::TimedOut);
                }
                Err(HttpError::TimedOut) if !self.is_silent(target) => {}
                Err(_) => return Err(Attempt::Broken),
            }
        }
    }

    /// Reads the body of another request's answer and drops it.
    fn skip_body(&mut self, upstream: &mut Connection, head: &AnswerHead) -> Result<(), Attempt> {
        let Ok(mut body) = BodyReader::of_answer(head, &self.head.method) else {
            return Err(Attempt::Broken);
        };
        let until = self.deadline_at;
        match body.read_whole(upstream, MAX_WHOLE_BYTES, Some(self.caller), until) {
            Ok(_) if body.reusable => Ok(()),
            Err(HttpError::WatchedClosed) => Err(Attempt::CallerGone),
            Err(HttpError::Ending) => Err(Attempt::Ending),
            Ok(_) | Err(_) => Err(Attempt::Broken),
        }
    }

    /// Decides what an answer to this request means, and passes it on if it counts.
    fn answered(
        &mut self,
        target: &Target,
        mut upstream: Connection,
        head: &AnswerHead,
        facts: &AnswerMetadata,
        request_whole: bool,
    ) -> Attempt {
        let Ok(mut body) = BodyReader::of_answer(head, &self.head.method) else {
            return Attempt::Broken;
        };
        body.reusable &= request_whole;
        let is_success = (200..300).contains(&head.status);
        let encoded = head.headers.has("content-encoding");
        if is_success && (!facts.is_sealed || encoded || facts.id.is_none()) {
            return Attempt::Broken;
        }
        if is_success && self.route.kind.is_stream() {
            return self.pass_stream(target, upstream, head, body);
        }
        let until = self.deadline_at;
        let Some(mut room) = self.room_for_answer(body.announced().min(MAX_WHOLE_BYTES)) else {
            return Attempt::TimedOut;
        };
        let read = body.read_whole(&mut upstream, MAX_WHOLE_BYTES, Some(self.caller), until);
        let bytes = match read {
            Ok(bytes) => bytes,
            Err(HttpError::WatchedClosed) => return Attempt::CallerGone,
            Err(HttpError::Ending) if !facts.not_run => return Attempt::Ending,
            Err(HttpError::TimedOut) if !facts.not_run => return Attempt::TimedOut,
            Err(_) if !facts.not_run => return Attempt::Broken,
            Err(_) => Vec::new(),
        };
        // One without a length counts as it turned out to be, beyond the bound too.
        room.set_bytes(bytes.len());
        self.keep(target, upstream, head, &body);
        if facts.not_run {
            return self.refused(target, head, facts);
        }
        if is_success {
            return Attempt::Answered(self.pass_whole(head, &bytes));
        }
        if !facts.is_sealed {
            return Attempt::Broken;
        }
        Attempt::Failed(Box::new(FailedAnswer {
            head: head.clone(),
            body: bytes,
        }))
    }

    /// Room for an answer that is held whole, as soon as those that other callers have not read leave any; its upstream
    /// waits meanwhile. `None` once the request's time is over.
    fn room_for_answer(&mut self, bytes: usize) -> Option<Held> {
        loop {
            if let Some(room) = self.shared.hold_answer(bytes) {
                return Some(room);
            }
            if clock::now() >= self.deadline_at || self.caller.is_closed() {
                return None;
            }
            std::thread::sleep(ROOM_STEP);
        }
    }

    /// The upstream has not run the request; what that tells of the upstream.
    fn refused(&self, target: &Target, head: &AnswerHead, facts: &AnswerMetadata) -> Attempt {
        if facts.is_other_incarnation {
            self.shared.pool.forget(&target.id);
            return Attempt::NotRun(Outcome::Unreachable);
        }
        if head.status == MISDIRECTED
            && let Some(wish) = self.wish()
        {
            let now = clock::now();
            self.shared
                .upstreams()
                .mark_model_absent(&target.id, wish, now);
            return Attempt::NotRun(Outcome::Unknown);
        }
        if self
            .shared
            .upstreams()
            .backoff_until(&target.id, clock::now())
            .is_some()
        {
            // It has asked for rest, which is no failure, and is not asked again before.
            return Attempt::NotRun(Outcome::Unknown);
        }
        Attempt::NotRun(Outcome::Shed)
    }

    /// Keeps the upstream's connection if it may carry another request.
    fn keep(
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
        let now = clock::now();
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
        let first_ms = self.held_ms();
        self.record.first_ms.get_or_insert(first_ms);
        // A ready answer is delivered, late too.
        let until = self.deadline_at.max(clock::now() + WRITE_TIME);
        let written = http1::write_while_read(self.caller, bytes, UNREAD_TIME, until);
        self.record.is_unread |= match &written {
            Err(HttpError::TimedOut) => true,
            // The connection itself has waited for that.
            Err(HttpError::Io(error)) => error.kind() == ErrorKind::TimedOut,
            _ => false,
        };
        written
    }

    /// Passes on an answer that is whole.
    pub(super) fn pass_whole(&mut self, head: &AnswerHead, body: &[u8]) -> After {
        let mut headers = self.answer_headers(head);
        let bodyless = head.is_bodyless(&self.head.method);
        if !bodyless {
            headers.push("Content-Length", body.len().to_string());
        }
        let mut bytes = encode_head(&head.status_line(), &headers);
        if !bodyless {
            bytes.extend_from_slice(body);
        }
        self.record.status = head.status;
        self.record.end = "answered";
        let written = self.write(&bytes);
        if self.record.is_unread {
            self.record.end = UNREAD;
        }
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
        let mut opening = self.stream_opening(head);
        let mut received = Vec::new();
        let mut events = Vec::new();
        loop {
            let part = self.next_part(target, &mut upstream, &mut body, &mut received);
            let ended = match part {
                Ok(part) => part == BodyPart::End,
                Err(ended) => return ended,
            };
            self.heard(target);
            events.clear();
            if self.delivered.cutter.add(&received, &mut events).is_err() {
                self.delivered.cutter.drop_partial();
                return Attempt::Broken;
            }
            if ended {
                events.extend(self.delivered.cutter.take_rest());
            }
            let out = self.framed(std::mem::take(&mut opening), &events, ended);
            if !out.is_empty() {
                self.delivered.head_sent = true;
                // No other answer can be given any more.
                self.caller.end_with_streams();
                self.record.status = head.status;
                if self.write(&out).is_err() {
                    return Attempt::CallerGone;
                }
            }
            if ended {
                self.record.end = "answered";
                self.keep(target, upstream, head, &body);
                let keep = self.delivered.chunked && !self.close_after;
                return Attempt::Answered(after(keep));
            }
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

    /// Reads the next part of a stream, for as long as the upstream is not silent.
    fn next_part(
        &mut self,
        target: &Target,
        upstream: &mut Connection,
        body: &mut BodyReader,
        received: &mut Vec<u8>,
    ) -> Result<BodyPart, Attempt> {
        loop {
            received.clear();
            let until = self.step_until();
            match body.next(upstream, received, Some(self.caller), until) {
                Ok(part) => return Ok(part),
                Err(HttpError::WatchedClosed) => return Err(Attempt::CallerGone),
                Err(HttpError::Ending) => return Err(Attempt::Ending),
                Err(HttpError::TimedOut) if clock::now() >= self.deadline_at => {
                    return Err(Attempt::TimedOut);
                }
                Err(HttpError::TimedOut) if !self.is_silent(target) => {}
                Err(_) => {
                    self.delivered.cutter.drop_partial();
                    return Err(Attempt::Broken);
                }
            }
        }
    }

    /// `opening` followed by `events`, framed for the caller.
    fn framed(&self, opening: Vec<u8>, events: &[u8], ended: bool) -> Vec<u8> {
        let mut out = opening;
        if self.delivered.chunked && !events.is_empty() {
            out.extend(reply::chunk(events));
        } else {
            out.extend_from_slice(events);
        }
        if ended && self.delivered.chunked {
            out.extend_from_slice(reply::LAST_CHUNK);
        }
        out
    }
}
