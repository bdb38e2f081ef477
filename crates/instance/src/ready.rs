//! The balancer's question whether this instance takes callers, and `/metrics` beside it.

use crate::http1::{self, Connection, HttpError};
use crate::metrics::Standing;
use crate::right::Right;
use crate::shared::Shared;
use anyhow::{Context, Result};
use passway_types::clock;
use passway_types::prelude::*;
use std::net::{SocketAddr, TcpListener};

/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Largest head of a question.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Longest rest of the balancer's connection.
const REST: Duration = Duration::from_secs(10);
/// Time for a question to arrive or an answer to leave.
const STEP: Duration = Duration::from_secs(1);
/// Stack of a connection's thread.
const STACK_BYTES: usize = 128 << 10;

/// Answers the balancer from now on; the address that was bound.
///
/// # Errors
/// If the address cannot be bound.
pub fn listen(shared: &Arc<Shared>, right: &Arc<Right>, address: SocketAddr) -> Result<SocketAddr> {
    let listener = TcpListener::bind(address).with_context(|| format!("binding {address}"))?;
    let bound = listener.local_addr().context("the bound address")?;
    let (shared, right) = (shared.clone(), right.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(connection) = stream.and_then(Connection::new) else {
                // The balancer asks again on a new connection.
                continue;
            };
            let (shared, right) = (shared.clone(), right.clone());
            let thread = std::thread::Builder::new().stack_size(STACK_BYTES);
            let answering = thread.spawn(move || {
                // The balancer asks again on a new connection.
                let _ = answer(&shared, &right, connection);
            });
            if let Err(error) = answering {
                log::warn!(error:% = error; "no thread for the balancer's question");
            }
        }
    });
    Ok(bound)
}

fn standing(shared: &Shared, right: &Right) -> Standing {
    let routes = shared.routes.load();
    let upstreams = shared.upstreams();
    let (limited_upstreams, leaving_upstreams) =
        (upstreams.limited_count(), upstreams.leaving().count());
    let resting_upstreams = upstreams.backing_off(clock::now()).count();
    drop(upstreams);
    Standing {
        holds_right: right.fence().is_some(),
        config_version: routes.as_ref().map_or(0, |table| table.version),
        in_progress: shared.in_progress(),
        store_answers: !shared.store_health.is_failing(),
        configuration_age: shared.configuration_age.age(),
        poison_requests: shared.poison.refused(),
        waiting_bytes: passway_process::outbox::waiting_bytes(),
        limited_upstreams,
        leaving_upstreams,
        resting_upstreams,
    }
}

fn answer(shared: &Shared, right: &Right, mut connection: Connection) -> Result<(), HttpError> {
    loop {
        let idle_until = clock::now() + REST;
        let head = http1::read_request_head(&mut connection, MAX_HEAD_BYTES, idle_until, STEP)?;
        let Some(head) = head else {
            return Ok(());
        };
        let close = head.headers.connection_contains("close") || !head.is_1_1;
        let body = if head.target == METRICS_PATH {
            shared.metrics.text(&standing(shared, right))
        } else {
            String::new()
        };
        let status = if head.target == METRICS_PATH || shared.is_ready() {
            "200 OK"
        } else {
            "503 Service Unavailable"
        };
        let closing = if close { "Connection: close\r\n" } else { "" };
        let length = body.len();
        let bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n{closing}\r\n{body}");
        let until = clock::now() + STEP;
        http1::write_all(&mut connection, bytes.as_bytes(), false, None, until)?;
        if close {
            return Ok(());
        }
    }
}
