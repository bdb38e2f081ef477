//! A small blocking HTTP client over `ureq` that tells "never sent" from "lost".

use crate::key_value::VERSION_HEADER;
use std::io::ErrorKind;
use std::time::Duration;
use ureq::Agent;

/// Largest answer that is read whole.
const MAX_RESPONSE_BYTES: u64 = 4 << 20;

/// Connections kept by a client that keeps them.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// No connection was made, so nothing was sent.
    NotSent,
    /// The call may have arrived.
    Lost,
}

/// An answer.
#[derive(Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The version header, where there is one.
    pub version: Option<u64>,
    /// The body.
    pub body: Vec<u8>,
}

/// A client with its own connections.
#[derive(Debug)]
pub struct Client {
    agent: Agent,
}

impl Client {
    /// A client whose calls take at most `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self {
            agent: agent(Some(timeout), 0),
        }
    }

    /// A client for questions that may be lost, which keeps its connections.
    pub fn with_keep_alive(timeout: Duration) -> Self {
        Self {
            agent: agent(Some(timeout), MAX_IDLE_CONNECTIONS),
        }
    }

    /// Makes one call and reads the answer whole.
    ///
    /// # Errors
    /// Whether the call may have arrived.
    pub fn call(&self, method: &str, url: &str, body: &[u8]) -> Result<Response, CallError> {
        let request = ureq::http::Request::builder().method(method).uri(url);
        let request = request.body(body).map_err(|_| CallError::NotSent)?;
        let mut response = self.agent.run(request).map_err(|e| classify(&e))?;
        let version = response.headers().get(VERSION_HEADER);
        let version = version.and_then(|value| value.to_str().ok()?.parse().ok());
        let status = response.status().as_u16();
        let reader = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
        let body = reader.read_to_vec().map_err(|_| CallError::Lost)?;
        Ok(Response {
            status,
            version,
            body,
        })
    }
}

/// An agent for this program's calls: no proxy, no redirects, errors by status stay answers.
///
/// Where it matters whether a call left, `kept` is 0: a call on a kept connection that the peer has just
/// closed could not be told from a call that was lost.
pub fn agent(timeout: Option<Duration>, kept: usize) -> Agent {
    let config = Agent::config_builder()
        .timeout_global(timeout)
        .http_status_as_error(false)
        .allow_non_standard_methods(true)
        .max_redirects(0)
        .max_idle_connections(kept)
        .max_idle_connections_per_host(kept)
        .proxy(None);
    config.build().new_agent()
}

/// Tells an error before the call left from one after.
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
