//! A stand-in for a plain service, which counts executions per idempotency key.

use crate::server;
use passway_http::{Body, Request, Response};
use passway_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

/// Faults that the service injects.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Executes the call, then breaks the connection instead of answering.
    pub break_after_run: bool,
    /// Delay before each call is executed, in milliseconds.
    pub delay_ms: u64,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    runs: BTreeMap<String, u32>,
    unkeyed_runs: u32,
}

/// A plain service; clones share the same state.
#[derive(Debug, Clone, Default)]
pub struct PlainService {
    state: Arc<Mutex<State>>,
}

/// A response body whose read fails, which breaks the connection.
struct BrokenBody;

impl Read for BrokenBody {
    fn read(&mut self, _buffer: &mut [u8]) -> io::Result<usize> {
        Err(io::Error::other("injected connection break"))
    }
}

impl PlainService {
    /// Creates a service that has executed no call.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .faults = faults;
    }

    /// Returns the number of executions per idempotency key.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .runs
            .clone()
    }

    /// Returns the number of executed calls without an idempotency key.
    pub fn unkeyed_runs(&self) -> u32 {
        self.state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .unkeyed_runs
    }

    /// Serves calls over HTTP and returns the bound address.
    pub fn serve(&self, address: SocketAddr) -> SocketAddr {
        let service = self.clone();
        server::serve(address, move |request| service.handle(&request))
    }

    fn handle(&self, request: &Request) -> Response {
        match request.path() {
            "/standin/faults" => {
                self.set_faults(server::json_body(request).unwrap_or_default());
                return server::response(200, "");
            }
            "/standin/ledger" => return server::json_response(&self.runs()),
            _ => {}
        }
        let key = request.header("idempotency-key");
        let key = key.map(str::to_owned);
        let faults = self
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .faults
            .clone();
        std::thread::sleep(Duration::from_millis(faults.delay_ms));
        let run = self.run(key.as_deref());
        if faults.break_after_run {
            return server::response(200, Body::from_reader(BrokenBody));
        }
        server::response(
            200,
            format!("receipt {} run {run}", key.unwrap_or_default()),
        )
    }

    fn run(&self, key: Option<&str>) -> u32 {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let count = match key {
            Some(key) => state.runs.entry(key.to_owned()).or_default(),
            None => &mut state.unkeyed_runs,
        };
        *count += 1;
        *count
    }
}
