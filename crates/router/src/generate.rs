//! Generation at model engines.

use crate::control::Control;
use crate::http::{self, REQUEST_HEADER};
use crate::shared::{InProgress, Shared, Word};
use crate::stream::{EngineStream, StreamReader};
use crossbeam::channel::Receiver;
use passway_decide::router::{Arrival, AttemptOutcome};
use passway_http::{Body, Caller, Request, Response};
use passway_platform::http::{CallError, agent, classify};
use passway_types::clock;
use passway_types::prelude::*;
use serde_json::Value;
use std::sync::atomic::{AtomicBool, Ordering};

/// Header that tells an engine the time until the deadline.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header that tells an engine the priority.
const PRIORITY_HEADER: &str = "x-priority";
/// Header that asks an engine to leave out the tokens that were delivered before.
pub const RESUME_HEADER: &str = "x-resume-at";
/// An engine that sends nothing for this long within an answer has failed.
const STALL_LIMIT: Duration = Duration::from_secs(10);
/// Pause between two looks whether a waiting caller is still there.
const CALLER_LOOK_PAUSE: Duration = Duration::from_millis(200);
/// Time after the deadline at which a request that heard nothing ends anyway.
const LAST_RESORT: Duration = Duration::from_secs(2);

/// A request as it goes to engines, as often as it takes.
#[derive(Debug)]
pub struct Job {
    /// The router's state.
    pub shared: Arc<Shared>,
    /// The router's connections.
    pub control: Arc<Control>,
    /// The request's number.
    pub request: RequestId,
    /// The id in logs and answers.
    pub label: String,
    words: Receiver<Word>,
    path: String,
    body: Value,
    arrived_at: Instant,
    give_up_at: Instant,
    is_streamed: bool,
    was_attempted: AtomicBool,
    caller: Caller,
    _guard: InProgress,
}

/// What one attempt at an engine gave.
#[derive(Debug)]
enum Attempt {
    Answer(ureq::http::Response<ureq::Body>),
    Ended(AttemptOutcome),
    Late,
}

/// Answers a generation request.
///
/// # Errors
/// The refusal that is the request's final answer.
pub fn handle(
    shared: &Arc<Shared>,
    control: &Arc<Control>,
    request: &Request,
    guard: InProgress,
) -> Result<Response, Refusal> {
    let meta = http::meta(shared, request)?;
    let bytes = http::body(shared, request)?;
    let bad = |detail: String| Refusal::new(ResultCode::BadRequest, detail);
    let body: Value = serde_json::from_slice(bytes).map_err(|error| bad(error.to_string()))?;
    let model = body.get("model").and_then(Value::as_str);
    let model = model
        .ok_or_else(|| bad("`model` is missing".into()))?
        .to_owned();
    let is_streamed = body.get("stream").and_then(Value::as_bool).unwrap_or(false);
    let (model_name, workspace_name) = (model.clone(), meta.workspace.clone());
    let arrived_at = clock::now();
    let (number, words) = shared.register();
    let job = Job {
        shared: shared.clone(),
        control: control.clone(),
        request: number,
        label: shared.label(number),
        words,
        path: request.path().to_owned(),
        body,
        arrived_at,
        give_up_at: meta
            .deadline_at
            .unwrap_or(arrived_at + shared.limits.max_deadline),
        is_streamed,
        was_attempted: AtomicBool::new(false),
        caller: request.caller.clone(),
        _guard: guard,
    };
    let arrival = Arrival {
        request: number,
        model,
        workspace: meta.workspace,
        kind: meta.kind,
        priority: meta.priority,
        deadline_at: meta.deadline_at,
    };
    control.decide(shared, |core, now| core.handle_arrival(now, &arrival));
    let label = job.label.clone();
    let answered = job.run();
    let wait_ms = u64::try_from(clock::since(arrived_at).as_millis()).unwrap_or(u64::MAX);
    match &answered {
        Ok(_) => log::info!(request = label, model = model_name, workspace = workspace_name,
            wait_ms = wait_ms; "request answered"),
        Err(refusal) => log::info!(request = label, model = model_name, workspace = workspace_name,
            wait_ms = wait_ms, code = refusal.code as u16; "request refused"),
    }
    answered
}

impl Drop for Job {
    fn drop(&mut self) {
        self.shared.unregister(self.request);
        let request = self.request;
        self.control.decide(&self.shared, |core, now| {
            core.abandon(request);
            core.attempt_ended(now, request, AttemptOutcome::Abandoned)
        });
    }
}

impl Job {
    fn run(self) -> Result<Response, Refusal> {
        loop {
            let (mut response, deadline_at) = match self.next_answer(0)? {
                (Attempt::Answer(response), deadline_at) => (response, deadline_at),
                (Attempt::Ended(ended), _) => {
                    self.ended(ended);
                    continue;
                }
                (Attempt::Late, _) => {
                    return Err(Refusal::new(ResultCode::AnswerLate, "no answer in time"));
                }
            };
            if self.is_streamed {
                return Ok(self.stream(response));
            }
            match response.body_mut().read_to_vec() {
                Ok(body) => return Ok(self.whole(body)),
                Err(_) if clock::now() >= deadline_at => {
                    return Err(Refusal::new(ResultCode::AnswerLate, "no answer in time"));
                }
                // Nothing was passed on yet, so the request may run again.
                Err(_) => self.ended(AttemptOutcome::Failed),
            }
        }
    }

    /// Waits for the decisions and makes the attempt that they name.
    fn next_answer(&self, resume_at: u32) -> Result<(Attempt, Instant), Refusal> {
        match self.next_word()? {
            Word::Refuse(refusal) => Err(refusal),
            Word::Start {
                upstream,
                model,
                deadline_at,
                priority,
            } => {
                if resume_at == 0 {
                    self.shared.metrics.waited(clock::since(self.arrived_at));
                }
                self.shared.metrics.attempt();
                self.was_attempted.store(true, Ordering::Relaxed);
                let attempt = self.attempt(&upstream, &model, deadline_at, priority, resume_at);
                Ok((attempt, deadline_at))
            }
        }
    }

    /// Waits for a word of the decisions, as long as the caller is there.
    fn next_word(&self) -> Result<Word, Refusal> {
        let last_resort = self.give_up_at + LAST_RESORT;
        loop {
            if let Ok(word) = self.words.recv_timeout(CALLER_LOOK_PAUSE) {
                return Ok(word);
            }
            if self.caller.is_gone() {
                return Err(Refusal::new(ResultCode::CallerGone, "the caller went away"));
            }
            if clock::now() >= last_resort {
                let attempted = self.was_attempted.load(Ordering::Relaxed);
                let code = if attempted {
                    ResultCode::AnswerLate
                } else {
                    ResultCode::DeadlinePassed
                };
                return Err(Refusal::new(code, "nothing was decided in time"));
            }
        }
    }

    fn attempt(
        &self,
        upstream: &str,
        model: &str,
        deadline_at: Instant,
        priority: u32,
        resume_at: u32,
    ) -> Attempt {
        let catalog = self.shared.catalog.load();
        let Some(entry) = catalog.upstreams.get(upstream) else {
            return Attempt::Ended(AttemptOutcome::NotLoaded);
        };
        let left = deadline_at.saturating_duration_since(clock::now());
        let mut body = self.body.clone();
        body["model"] = Value::from(model);
        let request = ureq::http::Request::post(format!("http://{}{}", entry.address, self.path))
            .header("content-type", "application/json")
            .header(REQUEST_HEADER, &self.label)
            .header(PRIORITY_HEADER, priority.to_string())
            .header(DEADLINE_HEADER, left.as_millis().to_string())
            .header(RESUME_HEADER, resume_at.to_string())
            .body(body.to_string());
        let Ok(request) = request else {
            return Attempt::Ended(AttemptOutcome::Failed);
        };
        let agent = agent(None, 0);
        let configured = agent
            .configure_request(request)
            .timeout_connect(Some(left))
            .timeout_recv_response(Some(left));
        // A streamed answer may go on past the deadline, which is for its first
        // token; a whole answer may not.
        let configured = if self.is_streamed {
            configured.timeout_per_read(Some(STALL_LIMIT))
        } else {
            configured.timeout_global(Some(left))
        };
        match agent.run(configured.build()) {
            Ok(response) => judge(response),
            Err(error) => self.judge_error(&error, upstream, deadline_at),
        }
    }

    fn judge_error(&self, error: &ureq::Error, upstream: &str, deadline_at: Instant) -> Attempt {
        log::debug!(request = self.label.as_str(), upstream = upstream, error:% = error;
            "attempt failed");
        match classify(error) {
            CallError::NotSent => Attempt::Ended(AttemptOutcome::Unreachable),
            CallError::Lost if clock::now() >= deadline_at => Attempt::Late,
            CallError::Lost => Attempt::Ended(AttemptOutcome::Failed),
        }
    }

    fn ended(&self, ended: AttemptOutcome) {
        let request = self.request;
        self.control.decide(&self.shared, |core, now| {
            core.attempt_ended(now, request, ended)
        });
    }

    /// Records that the answer was passed on whole.
    pub(crate) fn served(&self, tokens: u32) {
        self.shared.metrics.served();
        self.ended(AttemptOutcome::Served { tokens });
    }

    fn whole(&self, body: Vec<u8>) -> Response {
        let answer: Option<Value> = serde_json::from_slice(&body).ok();
        let tokens = answer
            .as_ref()
            .and_then(|a| a["usage"]["completion_tokens"].as_u64());
        self.served(
            tokens
                .and_then(|tokens| u32::try_from(tokens).ok())
                .unwrap_or(0),
        );
        let builder = ::http::Response::builder()
            .header("content-type", "application/json")
            .header(REQUEST_HEADER, &self.label);
        http::build(builder, Body::new(body))
    }

    fn stream(self, response: ureq::http::Response<ureq::Body>) -> Response {
        let builder = ::http::Response::builder()
            .header("content-type", "text/event-stream")
            .header(REQUEST_HEADER, &self.label);
        let engine = EngineStream::new(response.into_body().into_reader());
        http::build(builder, Body::wrap_reader(StreamReader::new(self, engine)))
    }

    /// Goes on with a broken stream at another engine, after `delivered` tokens.
    ///
    /// # Errors
    /// The refusal that ends the stream.
    pub(crate) fn resume(&self, delivered: u32) -> Result<EngineStream, Refusal> {
        self.ended(AttemptOutcome::Failed);
        loop {
            match self.next_answer(delivered)? {
                (Attempt::Answer(response), _) => {
                    self.shared.metrics.resumed();
                    log::info!(request = self.label.as_str(), delivered = delivered; "stream resumed");
                    return Ok(EngineStream::new(response.into_body().into_reader()));
                }
                (Attempt::Ended(ended), _) => self.ended(ended),
                (Attempt::Late, _) => {
                    return Err(Refusal::new(ResultCode::AnswerBroken, "no answer in time"));
                }
            }
        }
    }
}

/// Judges an engine's answer by its status.
fn judge(response: ureq::http::Response<ureq::Body>) -> Attempt {
    match response.status().as_u16() {
        200 => Attempt::Answer(response),
        // Engines answer so before anything runs.
        404 => Attempt::Ended(AttemptOutcome::NotLoaded),
        429 => Attempt::Ended(AttemptOutcome::Busy),
        _ => Attempt::Ended(AttemptOutcome::Failed),
    }
}
