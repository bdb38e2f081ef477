//! The platform's key-value service with compare-and-swap and leases.

use crate::http::{self, Client};
use passway_types::prelude::*;
use std::net::SocketAddr;

/// Response header that holds the version of a value.
pub const VERSION_HEADER: &str = "x-version";

/// The id of a lease that the key-value service has granted.
pub type LeaseId = u64;

/// A value and its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    /// The version, which increases with each write to the key.
    pub version: Version,
    /// The stored bytes.
    pub value: Vec<u8>,
}

/// Outcome of a conditional write that the service has answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// The write took effect and created this version.
    Written(Version),
    /// The write had no effect because the key has a different version than expected.
    Conflict,
}

/// The service did not answer, or not in a readable form. A write may or may not have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unavailable;

/// The operations of the key-value service that passway uses.
pub trait KeyValue: Send + Sync {
    /// Reads a key; `None` if it is absent.
    ///
    /// # Errors
    /// [`Unavailable`] if the service did not answer.
    fn get(&self, key: &str) -> Result<Option<Versioned>, Unavailable>;

    /// Waits up to `wait` until the key has another version than `known` (0 for an absent key).
    /// Returns `None` if the key is unchanged or absent.
    ///
    /// # Errors
    /// [`Unavailable`] if the service did not answer.
    fn watch(
        &self,
        key: &str,
        known: Version,
        wait: Duration,
    ) -> Result<Option<Versioned>, Unavailable>;

    /// Writes a key if its version is `expected` (0 for an absent key). With a lease, the service
    /// removes the key when the lease ends.
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

    /// Grants a lease that ends after `time_to_live` unless it is renewed.
    ///
    /// # Errors
    /// [`Unavailable`] if the service did not answer.
    fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseId, Unavailable>;

    /// Renews a lease; returns false if the lease has already ended.
    ///
    /// # Errors
    /// [`Unavailable`] if the service did not answer.
    fn renew_lease(&self, lease: LeaseId) -> Result<bool, Unavailable>;

    /// Ends a lease before its time-to-live expires; the service removes its keys.
    ///
    /// # Errors
    /// [`Unavailable`] if the service did not answer.
    fn end_lease(&self, lease: LeaseId) -> Result<(), Unavailable>;
}

/// The key-value service, called over HTTP.
#[derive(Debug)]
pub struct HttpKeyValue {
    client: Client,
    base: String,
}

impl HttpKeyValue {
    /// Creates a client of the service at `address`; each call takes at most `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: Client::new(timeout),
            base: format!("http://{address}/v1"),
        }
    }

    fn call(&self, method: &str, path: &str, body: &[u8]) -> Result<http::Response, Unavailable> {
        let url = format!("{}{path}", self.base);
        let response = self
            .client
            .call(method, &url, body)
            .map_err(|_| Unavailable)?;
        // The service answers 503 during an outage.
        if response.status >= 500 {
            Err(Unavailable)
        } else {
            Ok(response)
        }
    }
}

impl KeyValue for HttpKeyValue {
    fn get(&self, key: &str) -> Result<Option<Versioned>, Unavailable> {
        let response = self.call("GET", &format!("/kv/{key}"), b"")?;
        if response.status == 404 {
            return Ok(None);
        }
        let version = response.version.ok_or(Unavailable)?;
        Ok(Some(Versioned {
            version,
            value: response.body,
        }))
    }

    fn watch(
        &self,
        key: &str,
        known: Version,
        wait: Duration,
    ) -> Result<Option<Versioned>, Unavailable> {
        let path = format!("/kv/{key}?known={known}&wait_ms={}", wait.as_millis());
        let response = self.call("GET", &path, b"")?;
        if response.status == 304 || response.status == 404 {
            return Ok(None);
        }
        let version = response.version.ok_or(Unavailable)?;
        Ok(Some(Versioned {
            version,
            value: response.body,
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
        let response = self.call(
            "PUT",
            &format!("/kv/{key}?expected={expected}{lease}"),
            value,
        )?;
        if response.status == 409 {
            return Ok(PutOutcome::Conflict);
        }
        response.version.map(PutOutcome::Written).ok_or(Unavailable)
    }

    fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseId, Unavailable> {
        let path = format!("/leases?ttl_ms={}", time_to_live.as_millis());
        let response = self.call("POST", &path, b"")?;
        let text = String::from_utf8(response.body).map_err(|_| Unavailable)?;
        text.parse().map_err(|_| Unavailable)
    }

    fn renew_lease(&self, lease: LeaseId) -> Result<bool, Unavailable> {
        let response = self.call("POST", &format!("/leases/{lease}/renew"), b"")?;
        Ok(response.status == 200)
    }

    fn end_lease(&self, lease: LeaseId) -> Result<(), Unavailable> {
        self.call("DELETE", &format!("/leases/{lease}"), b"")
            .map(|_| ())
    }
}
