//! Callers' connections: one thread each.

use crate::forward::{self, After};
use crate::http1::{self, BodyReader, Connection, HttpError, RequestHead};
use crate::reply::{self, Refusal};
use crate::shared::Shared;
use anyhow::{Context, Result};
use passway_serving::routes::CallerLimits;
use passway_types::prelude::*;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Bounds before a configuration is known.
const FIRST_LIMITS: CallerLimits = CallerLimits {
    max_header_bytes: 16 << 10,
    max_body_bytes: 4 << 20,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};
/// Time for a body to arrive.
const BODY_TIME: Duration = Duration::from_secs(10);
/// Stack of a connection's thread.
const STACK_BYTES: usize = 256 << 10;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts callers from now on; the address that was bound.
///
/// # Errors
/// If the address cannot be bound.
pub fn listen(shared: &Arc<Shared>, address: SocketAddr) -> Result<SocketAddr> {
    let listener = TcpListener::bind(address).with_context(|| format!("binding {address}"))?;
    let bound = listener.local_addr().context("the bound address")?;
    let shared = shared.clone();
    std::thread::spawn(move || {
        loop {
            match listener.accept() {
                Ok((stream, _)) => spawn_thread(&shared, stream),
                Err(error) => {
                    log::warn!(error:% = error; "a connection could not be accepted");
                    std::thread::sleep(ACCEPT_PAUSE);
                }
            }
        }
    });
    Ok(bound)
}

fn spawn_thread(shared: &Arc<Shared>, stream: TcpStream) {
    let shared = shared.clone();
    let run = move || {
        // A socket that refuses its options is of no use; dropping it closes it.
        if let Ok(connection) = Connection::new(stream) {
            serve_connection(&shared, connection);
        }
    };
    let thread = std::thread::Builder::new().stack_size(STACK_BYTES);
    if let Err(error) = thread.spawn(run) {
        log::warn!(error:% = error; "no thread for a connection");
    }
}

fn limits(shared: &Shared) -> CallerLimits {
    let routes = shared.routes.load();
    routes.as_ref().map_or(FIRST_LIMITS, |table| table.limits)
}

/// Reads and serves one request after the other until the connection ends.
fn serve_connection(shared: &Arc<Shared>, mut caller: Connection) {
    loop {
        let limits = limits(shared);
        let idle_until = Instant::now() + Duration::from_millis(limits.idle_timeout_ms);
        let header_time = Duration::from_millis(limits.header_timeout_ms);
        let head = http1::read_request_head(
            &mut caller,
            limits.max_header_bytes,
            idle_until,
            header_time,
        );
        let head = match head {
            Ok(Some(head)) => head,
            Err(HttpError::Malformed(_)) => return refuse(shared, &mut caller, Refusal::Malformed),
            Err(HttpError::TooLarge) => return refuse(shared, &mut caller, Refusal::HeadTooLarge),
            Ok(None) | Err(_) => return,
        };
        let in_progress = shared.enter();
        let arrived_at = Instant::now();
        let body = match read_body(&mut caller, &head, limits.max_body_bytes) {
            Ok(body) => body,
            Err(HttpError::Malformed(_)) => return refuse(shared, &mut caller, Refusal::Malformed),
            Err(HttpError::TooLarge) => return refuse(shared, &mut caller, Refusal::BodyTooLarge),
            Err(_) => return,
        };
        let after = forward::serve(shared, &mut caller, &head, &body, arrived_at);
        drop(in_progress);
        if after == After::Close {
            return;
        }
    }
}

fn refuse(shared: &Arc<Shared>, caller: &mut Connection, refusal: Refusal) {
    // The caller may be gone already; there is nobody else to tell.
    let _ = reply::refuse(caller, &*shared.vocabulary, "", refusal, true);
}

fn read_body(
    caller: &mut Connection,
    head: &RequestHead,
    max_bytes: usize,
) -> Result<Vec<u8>, HttpError> {
    let mut body = BodyReader::of_request(head)?;
    let until = Instant::now() + BODY_TIME;
    let expects = head.headers.text("expect");
    if expects.is_some_and(|word| word.eq_ignore_ascii_case("100-continue")) && !body.is_done() {
        http1::write_all(caller, b"HTTP/1.1 100 Continue\r\n\r\n", false, None, until)?;
    }
    body.read_whole(caller, max_bytes, None, until)
}
