//! A stand-in of a plain service that counts runs per key.

use crate::server;
use passway_http::{Body, Request, Response};
use passway_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

/// What the service is told to do wrong.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Runs the call and then breaks the connection instead of answering.
    pub break_after_run: bool,
    /// Runs the call this much later.
    pub delay_ms: u64,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    runs: BTreeMap<String, u32>,
    unkeyed_runs: u32,
}

/// The service; clones are the same service.
#[derive(Debug, Clone, Default)]
pub struct PlainService {
    state: Arc<Mutex<State>>,
}

/// Breaks the connection when it is read.
struct Broken;

impl Read for Broken {
    fn read(&mut self, _buffer: &mut [u8]) -> io::Result<usize> {
        Err(io::Error::other("told to break"))
    }
}

impl PlainService {
    /// A service that has run nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tells the service what to do wrong from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .faults = faults;
    }

    /// How often each key ran.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .runs
            .clone()
    }

    /// How often calls without a key ran.
    pub fn unkeyed_runs(&self) -> u32 {
        self.state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .unkeyed_runs
    }

    /// Serves calls over HTTP.
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
            return server::response(200, Body::wrap_reader(Broken));
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
