//! The platform's key-value service.

use crate::http::{self, Client};
use passway_types::prelude::*;
use std::net::SocketAddr;

/// Header that carries a value's version.
pub const VERSION_HEADER: &str = "x-version";

/// The id of a lease at the service.
pub type LeaseId = u64;

/// A value and its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    /// The version; grows with each write of the key.
    pub version: Version,
    /// The bytes.
    pub value: Vec<u8>,
}

/// What became of a conditional write that was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// It took effect and made this version.
    Written(Version),
    /// Another version stands.
    Conflict,
}

/// The service did not answer; a write may or may not have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unavailable;

/// The operations that passway uses.
pub trait KeyValue: Send + Sync {
    /// Reads a key; `None` if it is absent.
    ///
    /// # Errors
    /// [`Unavailable`] if the service did not answer.
    fn get(&self, key: &str) -> Result<Option<Versioned>, Unavailable>;

    /// Waits up to `wait` for a key to have another version than `known` (0 for
    /// absent); `None` if it has not changed.
    ///
    /// # Errors
    /// [`Unavailable`] if the service did not answer.
    fn watch(
        &self,
        key: &str,
        known: Version,
        wait: Duration,
    ) -> Result<Option<Versioned>, Unavailable>;

    /// Writes a key if its version is `expected` (0 for absent). With a lease,
    /// the key goes away when the lease ends.
    ///
    /// # Errors
    /// [`Unavailable`] if the service did not answer: the write may have taken effect.
    fn put_if(
        &self,
        key: &str,
        expected: Version,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<PutOutcome, Unavailable>;

    /// Grants a lease.
    ///
    /// # Errors
    /// [`Unavailable`] if the service did not answer.
    fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseId, Unavailable>;

    /// Renews a lease; false if it has ended.
    ///
    /// # Errors
    /// [`Unavailable`] if the service did not answer.
    fn renew_lease(&self, lease: LeaseId) -> Result<bool, Unavailable>;

    /// Ends a lease.
    ///
    /// # Errors
    /// [`Unavailable`] if the service did not answer.
    fn end_lease(&self, lease: LeaseId) -> Result<(), Unavailable>;
}

/// The service over HTTP.
#[derive(Debug)]
pub struct HttpKeyValue {
    client: Client,
    base: String,
}

impl HttpKeyValue {
    /// A client of the service at `address`; no call takes longer than `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: Client::new(timeout),
            base: format!("http://{address}/v1"),
        }
    }

    fn call(&self, method: &str, path: &str, body: &[u8]) -> Result<http::Response, Unavailable> {
        let url = format!("{}{path}", self.base);
        let answer = self
            .client
            .call(method, &url, body)
            .map_err(|_| Unavailable)?;
        // The service answers 503 while it is down.
        if answer.status >= 500 {
            Err(Unavailable)
        } else {
            Ok(answer)
        }
    }
}

impl KeyValue for HttpKeyValue {
    fn get(&self, key: &str) -> Result<Option<Versioned>, Unavailable> {
        let answer = self.call("GET", &format!("/kv/{key}"), b"")?;
        if answer.status == 404 {
            return Ok(None);
        }
        let version = answer.version.ok_or(Unavailable)?;
        Ok(Some(Versioned {
            version,
            value: answer.body,
        }))
    }

    fn watch(
        &self,
        key: &str,
        known: Version,
        wait: Duration,
    ) -> Result<Option<Versioned>, Unavailable> {
        let path = format!("/kv/{key}?known={known}&wait_ms={}", wait.as_millis());
        let answer = self.call("GET", &path, b"")?;
        if answer.status == 304 || answer.status == 404 {
            return Ok(None);
        }
        let version = answer.version.ok_or(Unavailable)?;
        Ok(Some(Versioned {
            version,
            value: answer.body,
        }))
    }

    fn put_if(
        &self,
        key: &str,
        expected: Version,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<PutOutcome, Unavailable> {
        let lease = lease.map_or_else(String::new, |id| format!("&lease={id}"));
        let answer = self.call(
            "PUT",
            &format!("/kv/{key}?expected={expected}{lease}"),
            value,
        )?;
        if answer.status == 409 {
            return Ok(PutOutcome::Conflict);
        }
        answer.version.map(PutOutcome::Written).ok_or(Unavailable)
    }

    fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseId, Unavailable> {
        let path = format!("/leases?ttl_ms={}", time_to_live.as_millis());
        let answer = self.call("POST", &path, b"")?;
        let text = String::from_utf8(answer.body).map_err(|_| Unavailable)?;
        text.parse().map_err(|_| Unavailable)
    }

    fn renew_lease(&self, lease: LeaseId) -> Result<bool, Unavailable> {
        let answer = self.call("POST", &format!("/leases/{lease}/renew"), b"")?;
        Ok(answer.status == 200)
    }

    fn end_lease(&self, lease: LeaseId) -> Result<(), Unavailable> {
        self.call("DELETE", &format!("/leases/{lease}"), b"")
            .map(|_| ())
    }
}
