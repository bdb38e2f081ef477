//! Generation requests and the attempts to run them at model engines.

use crate::control::Control;
use crate::http::{self, REQUEST_ID_HEADER};
use crate::shared::{InProgressGuard, RequestDecision, Shared};
use crate::stream::{EngineStream, StreamReader};
use crossbeam::channel::Receiver;
use passway_decide::router::{Arrival, AttemptOutcome};
use passway_http::{Body, Caller, Request, Response};
use passway_platform::http::{CallError, MAX_ANSWER_BYTES, agent, classify, read_body};
use passway_types::clock;
use passway_types::prelude::*;
use serde_json::Value;
use std::sync::atomic::{AtomicBool, Ordering};

/// Header to an engine: the time until the deadline, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header to an engine: the request's priority.
const PRIORITY_HEADER: &str = "x-priority";
/// Header to an engine: the number of leading tokens to omit, because the caller has already
/// received them.
pub const RESUME_HEADER: &str = "x-resume-at";
/// An engine that sends nothing for this long in a streamed answer counts as failed.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval of the check whether a waiting caller is still connected.
const CALLER_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// A request without a decision ends this long after its deadline.
const NO_DECISION_GRACE: Duration = Duration::from_secs(2);

/// A generation request with the state of its attempts at engines.
#[derive(Debug)]
pub struct GenerationRequest {
    /// The shared state of the router.
    pub shared: Arc<Shared>,
    /// The router's connections to controllers.
    pub control: Arc<Control>,
    /// The request's number, unique in this process.
    pub request: RequestId,
    /// The request's id in logs, at upstreams and in answers.
    pub label: String,
    decisions: Receiver<RequestDecision>,
    path: String,
    body: Value,
    arrived_at: Instant,
    request_deadline_at: Instant,
    is_streamed: bool,
    was_attempted: AtomicBool,
    caller: Caller,
    _guard: InProgressGuard,
}

/// The result of one attempt at an engine.
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
    guard: InProgressGuard,
) -> Result<Response, Refusal> {
    let meta = http::read_meta(shared, request)?;
    let bytes = http::request_body(shared, request)?;
    let bad_request = |detail: String| Refusal::new(ResultCode::BadRequest, detail);
    let body: Value =
        serde_json::from_slice(bytes).map_err(|error| bad_request(error.to_string()))?;
    let model = body.get("model").and_then(Value::as_str);
    let model = model
        .ok_or_else(|| bad_request("`model` is missing".into()))?
        .to_owned();
    let is_streamed = body.get("stream").and_then(Value::as_bool).unwrap_or(false);
    let (model_name, workspace_name) = (model.clone(), meta.workspace.clone());
    let arrived_at = clock::now();
    let (request_id, decisions) = shared.register();
    let generation = GenerationRequest {
        shared: shared.clone(),
        control: control.clone(),
        request: request_id,
        label: shared.request_label(request_id),
        decisions,
        path: request.path().to_owned(),
        body,
        arrived_at,
        request_deadline_at: meta
            .deadline_at
            .unwrap_or(arrived_at + shared.limits.max_deadline),
        is_streamed,
        was_attempted: AtomicBool::new(false),
        caller: request.caller.clone(),
        _guard: guard,
    };
    let arrival = Arrival {
        request: request_id,
        model,
        workspace: meta.workspace,
        kind: meta.kind,
        priority: meta.priority,
        deadline_at: meta.deadline_at,
    };
    control.decide(shared, |core, now| core.handle_arrival(now, &arrival));
    let label = generation.label.clone();
    let result = generation.run();
    let wait_ms = u64::try_from(clock::since(arrived_at).as_millis()).unwrap_or(u64::MAX);
    match &result {
        Ok(_) => log::info!(request = label, model = model_name, workspace = workspace_name,
            wait_ms = wait_ms; "request answered"),
        Err(refusal) => log::info!(request = label, model = model_name, workspace = workspace_name,
            wait_ms = wait_ms, code = refusal.code as u16; "request refused"),
    }
    result
}

impl Drop for GenerationRequest {
    fn drop(&mut self) {
        self.shared.unregister(self.request);
        let request = self.request;
        self.control.decide(&self.shared, |core, now| {
            core.abandon(request);
            core.attempt_ended(now, request, AttemptOutcome::Abandoned)
        });
    }
}

impl GenerationRequest {
    fn run(self) -> Result<Response, Refusal> {
        loop {
            let (mut response, deadline_at) = match self.next_attempt(0)? {
                (Attempt::Answer(response), deadline_at) => (response, deadline_at),
                (Attempt::Ended(outcome), _) => {
                    self.report_end(outcome);
                    continue;
                }
                (Attempt::Late, _) => {
                    return Err(Refusal::new(ResultCode::AnswerLate, "no answer in time"));
                }
            };
            if self.is_streamed {
                return Ok(self.stream_response(response));
            }
            match read_body(&mut response, MAX_ANSWER_BYTES) {
                Ok(body) => return Ok(self.complete_response(body)),
                Err(_) if clock::now() >= deadline_at => {
                    return Err(Refusal::new(ResultCode::AnswerLate, "no answer in time"));
                }
                // The caller has received nothing yet, so the request may run again.
                Err(_) => self.report_end(AttemptOutcome::Failed),
            }
        }
    }

    /// Waits for the next decision and makes the attempt that it requires.
    fn next_attempt(&self, resume_at: u32) -> Result<(Attempt, Instant), Refusal> {
        match self.next_decision()? {
            RequestDecision::Refuse(refusal) => Err(refusal),
            RequestDecision::Start {
                upstream,
                model,
                deadline_at,
                priority,
            } => {
                if resume_at == 0 {
                    self.shared
                        .metrics
                        .observe_wait(clock::since(self.arrived_at));
                }
                self.shared.metrics.count_attempt();
                self.was_attempted.store(true, Ordering::Relaxed);
                let attempt = self.attempt(&upstream, &model, deadline_at, priority, resume_at);
                Ok((attempt, deadline_at))
            }
        }
    }

    /// Waits for the next decision while the caller is connected.
    fn next_decision(&self) -> Result<RequestDecision, Refusal> {
        let give_up_at = self.request_deadline_at + NO_DECISION_GRACE;
        loop {
            if let Ok(decision) = self.decisions.recv_timeout(CALLER_POLL_INTERVAL) {
                return Ok(decision);
            }
            if self.caller.is_disconnected() {
                return Err(Refusal::new(ResultCode::CallerGone, "the caller went away"));
            }
            if clock::now() >= give_up_at {
                let was_attempted = self.was_attempted.load(Ordering::Relaxed);
                let code = if was_attempted {
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
        let time_left = deadline_at.saturating_duration_since(clock::now());
        let mut body = self.body.clone();
        body["model"] = Value::from(model);
        let request = ureq::http::Request::post(format!("http://{}{}", entry.address, self.path))
            .header("content-type", "application/json")
            .header(REQUEST_ID_HEADER, &self.label)
            .header(PRIORITY_HEADER, priority.to_string())
            .header(DEADLINE_HEADER, time_left.as_millis().to_string())
            .header(RESUME_HEADER, resume_at.to_string())
            .body(body.to_string());
        let Ok(request) = request else {
            return Attempt::Ended(AttemptOutcome::Failed);
        };
        let agent = agent(None);
        let configured = agent
            .configure_request(request)
            .timeout_connect(Some(time_left))
            .timeout_recv_response(Some(time_left));
        // The deadline applies to the first token of a streamed answer, so the rest may arrive
        // later. An answer that is not streamed must be complete by the deadline.
        let configured = if self.is_streamed {
            configured.timeout_per_read(Some(STALL_TIMEOUT))
        } else {
            configured.timeout_global(Some(time_left))
        };
        match agent.run(configured.build()) {
            Ok(response) => classify_response(response),
            Err(error) => self.classify_call_error(&error, upstream, deadline_at),
        }
    }

    fn classify_call_error(
        &self,
        error: &ureq::Error,
        upstream: &str,
        deadline_at: Instant,
    ) -> Attempt {
        log::debug!(request = self.label.as_str(), upstream = upstream, error:% = error;
            "attempt failed");
        match classify(error) {
            CallError::NotSent => Attempt::Ended(AttemptOutcome::Unreachable),
            CallError::Lost if clock::now() >= deadline_at => Attempt::Late,
            CallError::Lost => Attempt::Ended(AttemptOutcome::Failed),
        }
    }

    fn report_end(&self, outcome: AttemptOutcome) {
        let request = self.request;
        self.control.decide(&self.shared, |core, now| {
            core.attempt_ended(now, request, outcome)
        });
    }

    /// Records that the caller received the complete answer.
    pub(crate) fn report_served(&self, tokens: u32) {
        self.shared.metrics.count_served();
        self.report_end(AttemptOutcome::Served { tokens });
    }

    fn complete_response(&self, body: Vec<u8>) -> Response {
        let answer: Option<Value> = serde_json::from_slice(&body).ok();
        let tokens = answer
            .as_ref()
            .and_then(|answer| answer["usage"]["completion_tokens"].as_u64());
        self.report_served(
            tokens
                .and_then(|tokens| u32::try_from(tokens).ok())
                .unwrap_or(0),
        );
        let builder = ::http::Response::builder()
            .header("content-type", "application/json")
            .header(REQUEST_ID_HEADER, &self.label);
        http::build_response(builder, Body::new(body))
    }

    fn stream_response(self, response: ureq::http::Response<ureq::Body>) -> Response {
        let builder = ::http::Response::builder()
            .header("content-type", "text/event-stream")
            .header(REQUEST_ID_HEADER, &self.label);
        let engine = EngineStream::new(response.into_body().into_reader());
        http::build_response(builder, Body::from_reader(StreamReader::new(self, engine)))
    }

    /// Resumes a broken stream after `delivered` tokens at an engine that the decision logic
    /// chooses.
    ///
    /// # Errors
    /// The refusal that ends the stream.
    pub(crate) fn resume(&self, delivered: u32) -> Result<EngineStream, Refusal> {
        self.report_end(AttemptOutcome::Failed);
        loop {
            match self.next_attempt(delivered)? {
                (Attempt::Answer(response), _) => {
                    self.shared.metrics.count_resumed();
                    log::info!(request = self.label.as_str(), delivered = delivered; "stream resumed");
                    return Ok(EngineStream::new(response.into_body().into_reader()));
                }
                (Attempt::Ended(outcome), _) => self.report_end(outcome),
                (Attempt::Late, _) => {
                    return Err(Refusal::new(ResultCode::AnswerBroken, "no answer in time"));
                }
            }
        }
    }
}

/// Classifies an engine's answer by its HTTP status.
fn classify_response(response: ureq::http::Response<ureq::Body>) -> Attempt {
    match response.status().as_u16() {
        200 => Attempt::Answer(response),
        // Engines answer 404 and 429 before the request runs.
        404 => Attempt::Ended(AttemptOutcome::NotLoaded),
        429 => Attempt::Ended(AttemptOutcome::Busy),
        _ => Attempt::Ended(AttemptOutcome::Failed),
    }
}
