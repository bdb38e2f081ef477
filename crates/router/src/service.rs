//! Calls to plain services.

use crate::claims::{ClaimResult, OwnClaim};
use crate::http::{self, REQUEST_ID_HEADER};
use crate::shared::Shared;
use passway_config::catalog::Service;
use passway_decide::claim::{ClaimState, StoredAnswer};
use passway_http::{Body, Request, Response};
use passway_platform::http::{CallError, MAX_ANSWER_BYTES, agent, classify, read_body};
use passway_types::clock;
use passway_types::hash::stable_hash;
use passway_types::prelude::*;
use std::net::SocketAddr;

/// Prefix of the paths of plain services; the service's name follows.
pub const PREFIX: &str = "/services/";
/// Header with the caller's key, which marks a call that must not be repeated.
pub const KEY_HEADER: &str = "idempotency-key";

/// Maximum length of a key.
const MAX_KEY_BYTES: usize = 128;
/// Time until the deadline of a call without a deadline header.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// Maximum size of an answer that is stored for repeats. The caller receives a larger answer
/// too, but its repeats are refused as unknown.
const MAX_STORED_BYTES: usize = 256 << 10;
/// Maximum number of attempts for a call that may be repeated.
const MAX_ATTEMPTS: usize = 2;
/// Retry hint when no replica of the service accepts connections.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call as sent to a replica of the service.
struct ServiceCall {
    method: String,
    path_and_query: String,
    content_type: String,
    body: Vec<u8>,
    key: Option<String>,
    label: String,
    deadline_at: Instant,
}

/// Answers a call to a plain service.
///
/// # Errors
/// The refusal that is the call's final answer.
pub fn handle(shared: &Arc<Shared>, request: &Request) -> Result<Response, Refusal> {
    shared.core().check_serving(clock::now())?;
    let meta = http::read_meta(shared, request)?;
    let path = request
        .head
        .uri
        .path_and_query()
        .map_or("", |path| path.as_str())
        .to_owned();
    let unknown_path = || Refusal::new(ResultCode::UnknownPath, path.clone());
    let named_path = path.strip_prefix(PREFIX).ok_or_else(unknown_path)?;
    let (name, service_path) = named_path.split_once('/').ok_or_else(unknown_path)?;
    let catalog = shared.catalog.load();
    let service = catalog.services.get(name).ok_or_else(unknown_path)?.clone();
    let key = idempotency_key(request)?;
    let call = ServiceCall {
        method: request.head.method.to_string(),
        path_and_query: format!("/{service_path}"),
        content_type: request
            .header("content-type")
            .unwrap_or_default()
            .to_owned(),
        body: http::request_body(shared, request)?.to_vec(),
        key,
        label: shared.request_label(shared.draw_request_id()),
        deadline_at: meta.deadline_at.unwrap_or(clock::now() + DEFAULT_DEADLINE),
    };
    let answer = match &call.key {
        Some(key) => call_claimed(shared, &service, &call, key)?,
        None => call_unclaimed(&service, &call)?,
    };
    shared.metrics.count_served();
    let builder = ::http::Response::builder()
        .status(answer.http_status)
        .header("content-type", &answer.content_type)
        .header(REQUEST_ID_HEADER, &call.label);
    Ok(http::build_response(builder, Body::new(answer.body)))
}

fn idempotency_key(request: &Request) -> Result<Option<String>, Refusal> {
    let Some(value) = request.head.headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let bad_key = || {
        Refusal::new(
            ResultCode::BadRequest,
            "the key is empty, too long or not text",
        )
    };
    let key = value.to_str().map_err(|_| bad_key())?;
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        Err(bad_key())
    } else {
        Ok(Some(key.to_owned()))
    }
}

fn call_claimed(
    shared: &Shared,
    service: &Service,
    call: &ServiceCall,
    key: &str,
) -> Result<StoredAnswer, Refusal> {
    let digest = stable_hash(&[
        call.method.as_bytes(),
        call.path_and_query.as_bytes(),
        &call.body,
    ]);
    let own_claim = match shared.claims.claim(&service.name, key, digest)? {
        ClaimResult::Replay(answer) => return Ok(answer),
        ClaimResult::Send(own_claim) => own_claim,
    };
    send_claimed(shared, service, call, own_claim)
}

/// Sends a claimed call and settles its claim. The call goes to another replica only if it was
/// not sent to the previous one.
fn send_claimed(
    shared: &Shared,
    service: &Service,
    call: &ServiceCall,
    own_claim: OwnClaim,
) -> Result<StoredAnswer, Refusal> {
    match send_to_reachable_replica(service, call) {
        Ok(answer) => {
            let state = if answer.body.len() <= MAX_STORED_BYTES {
                ClaimState::Done(answer.clone())
            } else {
                ClaimState::Unknown
            };
            shared.claims.settle(own_claim, state);
            Ok(answer)
        }
        Err(CallError::NotSent) => {
            shared.claims.settle(own_claim, ClaimState::Released);
            Err(unreachable_refusal(service))
        }
        Err(CallError::Lost) => {
            shared.claims.settle(own_claim, ClaimState::Unknown);
            Err(lost_answer_refusal(call))
        }
    }
}

/// Sends a call without a key. A call whose method the service's configuration marks as not
/// repeatable is sent once; any other call may be sent again to another replica.
fn call_unclaimed(service: &Service, call: &ServiceCall) -> Result<StoredAnswer, Refusal> {
    let attempts = if service.not_repeatable.contains(&call.method) {
        1
    } else {
        MAX_ATTEMPTS
    };
    for attempt in 1..=attempts {
        match send_to_reachable_replica(service, call) {
            Ok(answer) => return Ok(answer),
            Err(CallError::NotSent) => return Err(unreachable_refusal(service)),
            Err(CallError::Lost) if attempt < attempts => {}
            Err(CallError::Lost) => break,
        }
    }
    Err(lost_answer_refusal(call))
}

/// Tries replicas until one accepts the connection. The hash of the call's label selects the
/// first replica.
fn send_to_reachable_replica(
    service: &Service,
    call: &ServiceCall,
) -> Result<StoredAnswer, CallError> {
    let count = service.addresses.len();
    let first = usize::try_from(stable_hash(&[call.label.as_bytes()])).unwrap_or(0) % count.max(1);
    for offset in 0..count {
        match send(service.addresses[(first + offset) % count], call) {
            Err(CallError::NotSent) => {}
            result => return result,
        }
    }
    Err(CallError::NotSent)
}

fn send(address: SocketAddr, call: &ServiceCall) -> Result<StoredAnswer, CallError> {
    let time_left = call.deadline_at.saturating_duration_since(clock::now());
    if time_left.is_zero() {
        return Err(CallError::NotSent);
    }
    let mut request = ureq::http::Request::builder()
        .method(call.method.as_str())
        .uri(format!("http://{address}{}", call.path_and_query))
        .header("content-type", &call.content_type)
        .header(REQUEST_ID_HEADER, &call.label);
    if let Some(key) = &call.key {
        request = request.header(KEY_HEADER, key);
    }
    let request = request
        .body(call.body.as_slice())
        .map_err(|_| CallError::NotSent)?;
    let mut response = agent(Some(time_left))
        .run(request)
        .map_err(|error| classify(&error))?;
    let content_type = response
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok());
    let content_type = content_type.unwrap_or_default().to_owned();
    let body = read_body(&mut response, MAX_ANSWER_BYTES)?;
    Ok(StoredAnswer {
        http_status: response.status().as_u16(),
        content_type,
        body,
    })
}

fn unreachable_refusal(service: &Service) -> Refusal {
    let detail = format!("no replica of {} takes connections", service.name);
    Refusal::new(ResultCode::NotStarted, detail).retry_after(UNREACHABLE_RETRY_AFTER)
}

fn lost_answer_refusal(call: &ServiceCall) -> Refusal {
    if clock::now() >= call.deadline_at {
        Refusal::new(ResultCode::AnswerLate, "no answer in time")
    } else {
        Refusal::new(ResultCode::UpstreamFailed, "the service broke off")
    }
}
