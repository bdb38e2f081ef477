//! Callers' requests: paths, headers, bodies and refusals.

use crate::control::Control;
use crate::shared::Shared;
use crate::{generate, service};
use passway_http::{Body, BodyError, Request, Response};
use passway_types::clock;
use passway_types::prelude::*;
use serde::Serialize;

/// Header that names the caller's workspace.
pub const WORKSPACE_HEADER: &str = "x-passway-workspace";
/// Header that gives the time until the deadline in milliseconds.
pub const DEADLINE_HEADER: &str = "x-passway-deadline-ms";
/// Header that gives the priority within the workspace; a lower number is served first.
pub const PRIORITY_HEADER: &str = "x-passway-priority";
/// Header that names the kind of request, for policy.
pub const KIND_HEADER: &str = "x-passway-kind";
/// Header that carries the request's id, in calls to upstreams and in answers.
pub const REQUEST_ID_HEADER: &str = "x-passway-request";
/// Header of a refusal: its numeric result code.
pub const CODE_HEADER: &str = "x-passway-code";
/// Header of a refusal: whether the request ran.
pub const RAN_HEADER: &str = "x-passway-ran";

/// Workspace of a request that names none.
const DEFAULT_WORKSPACE: &str = "default";
/// Retry hint to a connection that is refused.
const CONNECTIONS_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Answers one HTTP request.
pub fn handle(shared: &Arc<Shared>, control: &Arc<Control>, request: &Request) -> Response {
    let path = request.path().to_owned();
    match path.as_str() {
        "/health" => return health_response(shared),
        "/metrics" => return text_response(200, shared.metrics.encode_text()),
        _ => {}
    }
    let guard = shared.track_request();
    let result = match path.as_str() {
        "/v1/chat/completions" | "/v1/completions" => {
            generate::handle(shared, control, request, guard)
        }
        _ if path.starts_with(service::PREFIX) => service::handle(shared, request),
        _ => Err(Refusal::new(ResultCode::UnknownPath, path)),
    };
    result.unwrap_or_else(|refusal| refusal_response(shared, &refusal))
}

fn health_response(shared: &Shared) -> Response {
    if shared.is_leaving() {
        return text_response(503, "leaving".into());
    }
    if shared.catalog.load().revision == 0 {
        return text_response(503, "starting".into());
    }
    text_response(200, "serving".into())
}

fn text_response(status: u16, body: String) -> Response {
    build_response(::http::Response::builder().status(status), Body::new(body))
}

/// Builds an answer from parts that are known to be valid.
pub(crate) fn build_response(builder: ::http::response::Builder, body: Body) -> Response {
    builder.body(body).unwrap_or_else(|error| {
        log::error!(error:% = error; "cannot build an answer");
        Response::default()
    })
}

/// The settings of a request that its headers contain.
#[derive(Debug)]
pub(crate) struct RequestMeta {
    pub(crate) workspace: String,
    pub(crate) kind: String,
    pub(crate) priority: Option<u32>,
    pub(crate) deadline_at: Option<Instant>,
}

/// Reads workspace, kind, priority and deadline from the headers.
pub(crate) fn read_meta(shared: &Shared, request: &Request) -> Result<RequestMeta, Refusal> {
    let now = clock::now();
    let bad_deadline = |detail: &str| Refusal::new(ResultCode::BadDeadline, detail);
    let deadline_at = match request.header(DEADLINE_HEADER) {
        None => None,
        Some(text) => {
            let ms: u64 = text
                .parse()
                .map_err(|_| bad_deadline("the deadline is not a number"))?;
            let time_left = Duration::from_millis(ms);
            if ms == 0 || time_left > shared.limits.max_deadline {
                return Err(bad_deadline("the deadline is zero or too far off"));
            }
            Some(now + time_left)
        }
    };
    let priority =
        match request.header(PRIORITY_HEADER) {
            None => None,
            Some(text) => Some(text.parse().map_err(|_| {
                Refusal::new(ResultCode::BadRequest, "the priority is not a number")
            })?),
        };
    Ok(RequestMeta {
        workspace: request
            .header(WORKSPACE_HEADER)
            .unwrap_or(DEFAULT_WORKSPACE)
            .to_owned(),
        kind: request.header(KIND_HEADER).unwrap_or_default().to_owned(),
        priority,
        deadline_at,
    })
}

/// Returns the body of a request.
pub(crate) fn request_body<'r>(shared: &Shared, request: &'r Request) -> Result<&'r [u8], Refusal> {
    let limit = shared.limits.body_bytes;
    request.body.as_deref().map_err(|unread| match unread {
        BodyError::TooLarge => {
            Refusal::new(ResultCode::BodyTooLarge, format!("over {limit} bytes"))
        }
        BodyError::TooSlow => Refusal::new(ResultCode::BodyTooSlow, "the body did not arrive"),
        BodyError::Broken => Refusal::new(ResultCode::BadRequest, "the body broke off"),
    })
}

/// The error object in the body of a refusal.
#[derive(Debug, Serialize)]
struct RefusalBody<'a> {
    code: u16,
    name: &'a str,
    ran: &'a str,
    detail: &'a str,
    retry_after_ms: Option<u64>,
}

/// Returns the JSON object for a refusal, which is its body or the data of a stream event.
pub(crate) fn refusal_json(refusal: &Refusal) -> String {
    let retry_after_ms = refusal
        .retry_after
        .map(|retry_after| u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX));
    let body = RefusalBody {
        code: refusal.code as u16,
        name: refusal.code.name(),
        ran: refusal.code.ran().as_str(),
        detail: &refusal.detail,
        retry_after_ms,
    };
    let json = serde_json::json!({ "error": body });
    json.to_string()
}

/// Returns the complete answer, including the head, to a connection over the limit.
pub(crate) fn too_many_connections_response() -> Vec<u8> {
    let refusal = Refusal::new(ResultCode::TooManyConnections, "too many connections")
        .retry_after(CONNECTIONS_RETRY_AFTER);
    let (code, body) = (refusal.code, refusal_json(&refusal));
    let head = format!(
        "HTTP/1.1 {} Unavailable\r\ncontent-type: application/json\r\n{CODE_HEADER}: {}\r\n\
         {RAN_HEADER}: {}\r\nretry-after: {}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        code.http_status(),
        code as u16,
        code.ran().as_str(),
        CONNECTIONS_RETRY_AFTER.as_secs(),
        body.len()
    );
    (head + &body).into_bytes()
}

/// Counts a refusal and builds its answer.
pub(crate) fn refusal_response(shared: &Shared, refusal: &Refusal) -> Response {
    shared.metrics.count_refused(refusal.code);
    log::debug!(code:% = refusal.code, detail = refusal.detail.as_str(); "refused");
    let mut builder = ::http::Response::builder()
        .status(refusal.code.http_status())
        .header("content-type", "application/json")
        .header(CODE_HEADER, (refusal.code as u16).to_string())
        .header(RAN_HEADER, refusal.code.ran().as_str());
    if let Some(retry_after) = refusal.retry_after {
        // The header takes whole seconds, rounded up; the body has milliseconds.
        let seconds = retry_after.as_millis().div_ceil(1_000);
        builder = builder.header("retry-after", seconds.to_string());
    }
    build_response(builder, Body::new(refusal_json(refusal)))
}
