//! A stand-in for the platform's key-value service.

use crate::server;
use passway_http::{Body, Request, Response};
use passway_platform::key_value::{
    KeyValue, LeaseId, PutOutcome, Unavailable, VERSION_HEADER, Versioned,
};
use passway_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Interval at which a waiting watch checks its key.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Faults that the service injects.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every call fails with status 503, as in an outage.
    pub down: bool,
    /// Number of writes that are answered before [`Self::lose_answers`] takes effect.
    pub answer_first: u32,
    /// Number of writes that are applied, but whose answers are lost.
    pub lose_answers: u32,
    /// Delay before each call is handled, in milliseconds.
    pub delay_ms: u64,
}

/// Call counts by kind.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Calls {
    /// Number of reads, watches included.
    pub reads: u64,
    /// Number of writes, lease calls included.
    pub writes: u64,
}

#[derive(Debug)]
struct Stored {
    version: Version,
    value: Vec<u8>,
    lease: Option<LeaseId>,
}

#[derive(Debug, Default)]
struct State {
    keys: BTreeMap<String, Stored>,
    leases: HashMap<LeaseId, (Duration, Instant)>,
    last_version: Version,
    last_lease: LeaseId,
    faults: Faults,
    calls: Calls,
}

/// An in-memory key-value service; clones share the same state.
#[derive(Debug, Clone, Default)]
pub struct MemoryKeyValue {
    state: Arc<Mutex<State>>,
}

impl MemoryKeyValue {
    /// Creates an empty service.
    pub fn new() -> Self {
        Self::default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Returns whether a key exists.
    pub fn contains(&self, key: &str) -> bool {
        self.state().keys.contains_key(key)
    }

    /// Removes a key, as if its lease had expired.
    pub fn remove(&self, key: &str) {
        self.state().keys.remove(key);
    }

    /// Returns the call counts so far.
    pub fn calls(&self) -> Calls {
        self.state().calls.clone()
    }

    fn begin_call(&self, is_write: bool) -> Result<MutexGuard<'_, State>, Unavailable> {
        let delay_ms = self.state().faults.delay_ms;
        if delay_ms > 0 {
            std::thread::sleep(Duration::from_millis(delay_ms));
        }
        let mut state = self.state();
        if is_write {
            state.calls.writes += 1;
        } else {
            state.calls.reads += 1;
        }
        if state.faults.down {
            return Err(Unavailable);
        }
        state.expire(Instant::now());
        Ok(state)
    }

    /// Serves the protocol over HTTP and returns the bound address.
    pub fn serve(&self, address: SocketAddr) -> SocketAddr {
        let service = self.clone();
        server::serve(address, move |request| service.handle(&request))
    }

    fn handle(&self, request: &Request) -> Response {
        let path = request.path().to_owned();
        let method = request.head.method.as_str().to_owned();
        let body = request.body.clone().unwrap_or_default();
        let result = match (method.as_str(), path.as_str()) {
            ("POST", "/standin/faults") => {
                self.set_faults(serde_json::from_slice(&body).unwrap_or_default());
                Ok(server::response(200, ""))
            }
            ("GET", "/standin/calls") => Ok(server::json_response(&self.calls())),
            (_, path) if path.starts_with("/v1/kv/") => {
                self.handle_key(&method, &path["/v1/kv/".len()..], request, &body)
            }
            ("POST", "/v1/leases") => {
                let ttl_ms = server::query_number(request, "ttl_ms").unwrap_or(1_000);
                self.grant_lease(Duration::from_millis(ttl_ms))
                    .map(|lease| server::response(200, lease.to_string()))
            }
            (_, path) if path.starts_with("/v1/leases/") => {
                self.handle_lease(&method, &path["/v1/leases/".len()..])
            }
            _ => Ok(server::response(404, "")),
        };
        result.unwrap_or_else(|Unavailable| server::response(503, ""))
    }

    fn handle_key(
        &self,
        method: &str,
        key: &str,
        request: &Request,
        body: &[u8],
    ) -> Result<Response, Unavailable> {
        if method == "GET"
            && let (Some(known), Some(wait_ms)) = (
                server::query_number(request, "known"),
                server::query_number(request, "wait_ms"),
            )
        {
            return Ok(
                match self.watch(key, known, Duration::from_millis(wait_ms))? {
                    None => server::response(304, ""),
                    Some(found) => versioned(found.version, found.value),
                },
            );
        }
        if method == "GET" {
            return Ok(match self.get(key)? {
                None => server::response(404, ""),
                Some(found) => versioned(found.version, found.value),
            });
        }
        let expected = server::query_number(request, "expected").unwrap_or(0);
        let lease = server::query_number(request, "lease");
        Ok(match self.put_if(key, expected, body, lease)? {
            PutOutcome::Written(version) => versioned(version, Vec::new()),
            PutOutcome::Conflict => server::response(409, ""),
        })
    }

    fn handle_lease(&self, method: &str, rest: &str) -> Result<Response, Unavailable> {
        let (id, is_renewal) = match rest.strip_suffix("/renew") {
            Some(id) => (id, true),
            None => (rest, false),
        };
        let id = id.parse().unwrap_or(0);
        if is_renewal {
            let status = if self.renew_lease(id)? { 200 } else { 404 };
            return Ok(server::response(status, ""));
        }
        if method == "DELETE" {
            self.end_lease(id)?;
        }
        Ok(server::response(200, ""))
    }
}

fn versioned(version: Version, body: Vec<u8>) -> Response {
    let builder = http::Response::builder().header(VERSION_HEADER, version.to_string());
    builder.body(Body::new(body)).unwrap_or_default()
}

impl State {
    fn expire(&mut self, now: Instant) {
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, (_, at))| now >= *at)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
            self.end(lease);
        }
    }

    fn end(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        self.keys.retain(|_, stored| stored.lease != Some(lease));
    }

    fn put(
        &mut self,
        key: &str,
        expected: Version,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> PutOutcome {
        let current_version = self.keys.get(key).map_or(0, |stored| stored.version);
        if current_version != expected || lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return PutOutcome::Conflict;
        }
        self.last_version += 1;
        let version = self.last_version;
        self.keys.insert(
            key.to_owned(),
            Stored {
                version,
                value: value.to_vec(),
                lease,
            },
        );
        PutOutcome::Written(version)
    }
}

impl KeyValue for MemoryKeyValue {
    fn get(&self, key: &str) -> Result<Option<Versioned>, Unavailable> {
        let state = self.begin_call(false)?;
        let found = state.keys.get(key);
        Ok(found.map(|stored| Versioned {
            version: stored.version,
            value: stored.value.clone(),
        }))
    }

    fn watch(
        &self,
        key: &str,
        known: Version,
        wait: Duration,
    ) -> Result<Option<Versioned>, Unavailable> {
        let wait_until = Instant::now() + wait;
        // Counted as one call regardless of the waiting time.
        drop(self.begin_call(false)?);
        loop {
            let state = self.state();
            if state.faults.down {
                return Err(Unavailable);
            }
            if let Some(found) = state.keys.get(key).filter(|found| found.version != known) {
                let (version, value) = (found.version, found.value.clone());
                return Ok(Some(Versioned { version, value }));
            }
            drop(state);
            if Instant::now() >= wait_until {
                return Ok(None);
            }
            std::thread::sleep(WATCH_POLL_INTERVAL);
        }
    }

    fn put_if(
        &self,
        key: &str,
        expected: Version,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<PutOutcome, Unavailable> {
        let mut state = self.begin_call(true)?;
        let outcome = state.put(key, expected, value, lease);
        if state.faults.answer_first > 0 {
            state.faults.answer_first -= 1;
        } else if state.faults.lose_answers > 0 {
            state.faults.lose_answers -= 1;
            return Err(Unavailable);
        }
        Ok(outcome)
    }

    fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseId, Unavailable> {
        let mut state = self.begin_call(true)?;
        state.last_lease += 1;
        let lease = state.last_lease;
        state
            .leases
            .insert(lease, (time_to_live, Instant::now() + time_to_live));
        Ok(lease)
    }

    fn renew_lease(&self, lease: LeaseId) -> Result<bool, Unavailable> {
        let mut state = self.begin_call(true)?;
        let now = Instant::now();
        let found = state.leases.get_mut(&lease);
        Ok(found.map(|(ttl, at)| *at = now + *ttl).is_some())
    }

    fn end_lease(&self, lease: LeaseId) -> Result<(), Unavailable> {
        self.begin_call(true)?.end(lease);
        Ok(())
    }
}
