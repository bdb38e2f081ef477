//! A small blocking HTTP client based on `ureq`. Its errors distinguish requests that were never
//! sent from requests whose response was lost.

use crate::key_value::VERSION_HEADER;
use std::io::ErrorKind;
use std::time::Duration;
use ureq::Agent;

/// Maximum size of a response body; a larger one counts as [`CallError::Lost`].
const MAX_RESPONSE_BYTES: u64 = 4 << 20;

/// Maximum size of an answer of an upstream that is buffered whole.
pub const MAX_ANSWER_BYTES: u64 = 10 << 20;

/// Why a call has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// No connection was established, so the request was not sent.
    NotSent,
    /// The request may have reached the server, but the response is missing or incomplete.
    Lost,
}

/// An HTTP response.
#[derive(Debug)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// The value of [`VERSION_HEADER`]; `None` if it is missing or not a number.
    pub version: Option<u64>,
    /// The complete body.
    pub body: Vec<u8>,
}

/// An HTTP client whose connections carry one request each: answers do not name their requests, and a
/// server may send a second copy of an answer in the place of the next one.
#[derive(Debug)]
pub struct Client {
    agent: Agent,
}

impl Client {
    /// Creates a client whose calls take at most `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self {
            agent: agent(Some(timeout)),
        }
    }

    /// Sends one request and reads the complete response.
    ///
    /// # Errors
    /// A [`CallError`] that states whether the request may have reached the server.
    pub fn call(&self, method: &str, url: &str, body: &[u8]) -> Result<Response, CallError> {
        let request = ureq::http::Request::builder().method(method).uri(url);
        let request = request.body(body).map_err(|_| CallError::NotSent)?;
        let mut response = self.agent.run(request).map_err(|error| classify(&error))?;
        let version = response.headers().get(VERSION_HEADER);
        let version = version.and_then(|value| value.to_str().ok()?.parse().ok());
        let status = response.status().as_u16();
        let body = read_body(&mut response, MAX_RESPONSE_BYTES)?;
        Ok(Response {
            status,
            version,
            body,
        })
    }
}

/// Whether the head of a response determines the end of its body. A coding other than `chunked`, or one in
/// HTTP/1.0, leaves the body close-delimited, whatever its announced length (RFC 9112, section 6.3).
fn is_framed(response: &ureq::http::Response<ureq::Body>) -> bool {
    if matches!(response.status().as_u16(), 204 | 304) {
        return true;
    }
    let headers = response.headers();
    let has_length = headers.contains_key("content-length");
    let mut codings = headers.get_all("transfer-encoding").iter();
    match (codings.next(), codings.next()) {
        (None, _) => has_length,
        (Some(coding), None) => {
            let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
            is_chunked && !has_length && response.version() == ureq::http::Version::HTTP_11
        }
        (Some(_), Some(_)) => false,
    }
}

/// Reads the complete body of a response, at most `max_bytes`. A close-delimited body
/// may have been broken off and counts as lost.
///
/// # Errors
/// [`CallError::Lost`] if the body is not known to be complete.
pub fn read_body(
    response: &mut ureq::http::Response<ureq::Body>,
    max_bytes: u64,
) -> Result<Vec<u8>, CallError> {
    if !is_framed(response) {
        return Err(CallError::Lost);
    }
    let reader = response.body_mut().with_config().limit(max_bytes);
    reader.read_to_vec().map_err(|_| CallError::Lost)
}

/// Creates an agent without proxy and redirects that returns responses with error statuses as
/// responses, and keeps no connections: if the peer has just closed an idle one, the failure of a
/// request on it looks the same as a lost response.
pub fn agent(timeout: Option<Duration>) -> Agent {
    let config = Agent::config_builder()
        .timeout_global(timeout)
        .http_status_as_error(false)
        .allow_non_standard_methods(true)
        .max_redirects(0)
        .max_idle_connections(0)
        .max_idle_connections_per_host(0)
        .proxy(None);
    config.build().new_agent()
}

/// Returns [`CallError::NotSent`] for errors that occur before the request is sent,
/// [`CallError::Lost`] for all others.
pub fn classify(error: &ureq::Error) -> CallError {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound | ureq::Error::BadUri(_) => {
            CallError::NotSent
        }
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => CallError::NotSent,
        ureq::Error::Io(error) if error.kind() == ErrorKind::ConnectionRefused => {
            CallError::NotSent
        }
        _ => CallError::Lost,
    }
}
