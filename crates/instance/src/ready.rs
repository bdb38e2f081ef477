//! The endpoint for the balancer's readiness probe and for `/metrics`.

use crate::http1::{self, Connection, HttpError};
use crate::leadership::LeadershipDriver;
use crate::metrics::GaugeValues;
use crate::shared::Shared;
use anyhow::{Context, Result};
use passway_types::clock;
use passway_types::prelude::*;
use std::net::{SocketAddr, TcpListener};

/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Largest head of a probe.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// How long a connection of the balancer may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for a probe to arrive and for an answer to be sent.
const IO_TIMEOUT: Duration = Duration::from_secs(1);
/// Stack size of a connection's thread.
const STACK_BYTES: usize = 128 << 10;

/// Starts to answer probes; returns the bound address.
///
/// # Errors
/// If the address cannot be bound.
pub fn listen(
    shared: &Arc<Shared>,
    leadership: &Arc<LeadershipDriver>,
    address: SocketAddr,
) -> Result<SocketAddr> {
    let listener = TcpListener::bind(address).with_context(|| format!("binding {address}"))?;
    listener
        .set_nonblocking(true)
        .context("setting the listener for probes to non-blocking")?;
    let bound = listener.local_addr().context("reading the bound address")?;
    let (shared, leadership) = (shared.clone(), leadership.clone());
    std::thread::spawn(move || {
        shared.termination().accept_until(&listener, |stream| {
            let Ok(mut connection) = Connection::new(stream) else {
                // The balancer probes again on a new connection.
                return;
            };
            connection.end_at_termination(shared.stop_signals.clone());
            let (shared, leadership) = (shared.clone(), leadership.clone());
            let thread = std::thread::Builder::new().stack_size(STACK_BYTES);
            let spawned = thread.spawn(move || {
                // The balancer probes again on a new connection.
                let _ = answer(&shared, &leadership, connection);
            });
            if let Err(error) = spawned {
                log::warn!(error:% = error; "cannot start a thread for the balancer's probe");
            }
        });
    });
    Ok(bound)
}

fn gauge_values(shared: &Shared, leadership: &LeadershipDriver) -> GaugeValues {
    let routes = shared.routes.load();
    let upstreams = shared.upstreams();
    let (limited_upstreams, leaving_upstreams) =
        (upstreams.limited_count(), upstreams.leaving().count());
    let upstreams_in_backoff = upstreams.backing_off(clock::now()).count();
    drop(upstreams);
    GaugeValues {
        holds_leadership: leadership.fence().is_some(),
        config_version: routes.as_ref().map_or(0, |table| table.version),
        in_progress: shared.in_progress(),
        store_answers: !shared.store_health.is_failing(),
        configuration_age: shared.configuration_age.age(),
        poison_requests: shared.poison.refused_count(),
        poison_parts: shared.poison.blamed_part_count(),
        waiting_bytes: passway_process::outbox::waiting_bytes(),
        limited_upstreams,
        leaving_upstreams,
        upstreams_in_backoff,
        waiting_by_workspace: shared.dispatch.waiting_by_workspace(),
    }
}

fn answer(
    shared: &Shared,
    leadership: &LeadershipDriver,
    mut connection: Connection,
) -> Result<(), HttpError> {
    loop {
        let idle_until = clock::now() + IDLE_TIMEOUT;
        let head =
            http1::read_request_head(&mut connection, MAX_HEAD_BYTES, idle_until, IO_TIMEOUT)?;
        let Some(head) = head else {
            return Ok(());
        };
        let should_close = head.headers.connection_contains("close") || !head.is_1_1;
        let body = if head.target == METRICS_PATH {
            shared
                .metrics
                .encode_text(&gauge_values(shared, leadership))
        } else {
            String::new()
        };
        let status = if head.target == METRICS_PATH || shared.is_ready() {
            "200 OK"
        } else {
            "503 Service Unavailable"
        };
        let close_header = if should_close {
            "Connection: close\r\n"
        } else {
            ""
        };
        let length = body.len();
        let bytes =
            format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n{close_header}\r\n{body}");
        let until = clock::now() + IO_TIMEOUT;
        http1::write_all(&mut connection, bytes.as_bytes(), false, None, until)?;
        if should_close {
            return Ok(());
        }
    }
}
