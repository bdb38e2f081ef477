//! Callers' connections, served by one thread each.

use crate::denials::{self, Denial, UNPROVEN_CONFIGURATION};
use crate::forward::{self, ConnectionReuse, Origin};
use crate::http1::{self, BodyMemory, BodyReader, Connection, HttpError, ReadBody, RequestHead};
use crate::paths::PathMonitor;
use crate::reply::{self, Refusal};
use crate::shared::Shared;
use crate::stop_signal::StopSignals;
use anyhow::{Context, Result};
use passway_process::arrival_time;
use passway_process::logging::json::REQUEST_TARGET;
use passway_serving::memory::MemoryReservation;
use passway_serving::routes::CallerLimits;
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::message::PeerRequest;
use rustix::event::{PollFd, PollFlags, poll};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Limits before the first configuration.
const INITIAL_LIMITS: CallerLimits = CallerLimits {
    max_header_bytes: 16 << 10,
    max_body_bytes: 4 << 20,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};
/// Time for a request's body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for a caller to stop sending a request that was refused before it was read completely:
/// several round trips of a few milliseconds each.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);
/// Stack size of a connection's thread.
const STACK_BYTES: usize = 256 << 10;
/// Backoff after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The listener for callers and its open connections.
#[derive(Debug)]
pub struct Callers {
    address: SocketAddr,
    shared: Arc<Shared>,
    stop_signals: Arc<StopSignals>,
    open: Arc<AtomicUsize>,
}

/// State for a thread that accepts or serves callers. It counts as an open connection until
/// dropped, so that a stop can wait for it.
struct ConnectionContext {
    shared: Arc<Shared>,
    stop_signals: Arc<StopSignals>,
    open: Arc<AtomicUsize>,
}

impl ConnectionContext {
    fn new(shared: &Arc<Shared>, stop_signals: &Arc<StopSignals>, open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::AcqRel);
        Self {
            shared: shared.clone(),
            stop_signals: stop_signals.clone(),
            open: open.clone(),
        }
    }
}

impl Clone for ConnectionContext {
    fn clone(&self) -> Self {
        Self::new(&self.shared, &self.stop_signals, &self.open)
    }
}

impl Drop for ConnectionContext {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Starts to accept callers.
///
/// # Errors
/// If the address cannot be bound, or the process has no file descriptor left.
pub fn listen(shared: &Arc<Shared>, address: SocketAddr) -> Result<Callers> {
    let listener = TcpListener::bind(address).with_context(|| format!("binding {address}"))?;
    listener
        .set_nonblocking(true)
        .context("setting the callers' listener to non-blocking")?;
    // Bytes may arrive before their connection is accepted.
    if !arrival_time::enable(&listener) {
        log::info!(
            "the kernel has no arrival times; the time of requests runs from when they are read"
        );
    }
    let callers = Callers {
        address: listener.local_addr().context("reading the bound address")?,
        shared: shared.clone(),
        stop_signals: shared.stop_signals.clone(),
        open: Arc::default(),
    };
    let context = ConnectionContext::new(shared, &callers.stop_signals, &callers.open);
    std::thread::spawn(move || accept(&context, &listener));
    Ok(callers)
}

/// Serves requests that other instances pass on. Like callers' connections, theirs count as open
/// until the answer is complete.
#[derive(Debug, Clone)]
pub struct PeerEntry {
    shared: Arc<Shared>,
    stop_signals: Arc<StopSignals>,
    open: Arc<AtomicUsize>,
}

impl PeerEntry {
    /// Serves the request that follows `announcement` on a connection from another instance.
    /// `received` are the bytes after the announcement that have been read.
    pub fn serve(&self, stream: TcpStream, received: &[u8], announcement: PeerRequest) {
        let context = ConnectionContext::new(&self.shared, &self.stop_signals, &self.open);
        // A socket that rejects its options is unusable; dropping it closes it.
        if let Ok(mut connection) = Connection::new(stream) {
            connection.unread(received);
            connection.set_stop_signals(self.stop_signals.clone());
            let Some(_admission) = PathMonitor::admit_peer_request(&self.shared) else {
                refuse_not_run(
                    &self.shared,
                    connection,
                    "",
                    "too many requests of other instances",
                );
                return;
            };
            // The connection carries one request, and dropping it closes it.
            drop(serve_next(
                &context,
                connection,
                &Origin::Peer(announcement),
            ));
        }
    }
}

impl Callers {
    /// Serves requests that other instances pass on.
    pub fn peer_entry(&self) -> PeerEntry {
        PeerEntry {
            shared: self.shared.clone(),
            stop_signals: self.stop_signals.clone(),
            open: self.open.clone(),
        }
    }

    /// The address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Answers all requests that still wait, closes idle connections, and accepts no connection
    /// beyond those in the kernel's backlog.
    pub fn end_waits(&self) {
        self.shared.end_waits();
        self.stop_signals.answers.set();
    }

    /// Cuts the streams in progress.
    pub fn cut_streams(&self) {
        self.stop_signals.streams.set();
    }

    /// Number of threads that may still have to answer a caller.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }
}

/// Accepts connections until waits are ended, and then those left in the backlog: their callers may
/// have sent a request, and closing the listener would reset them. A termination resets them.
fn accept(context: &ConnectionContext, listener: &TcpListener) {
    while !context.stop_signals.termination.has_begun() {
        match listener.accept() {
            Ok((stream, _)) => spawn_thread(context.clone(), stream),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                if context.shared.should_end_waits() {
                    return;
                }
                wait_to_accept(listener, &context.stop_signals);
            }
            Err(error) => {
                log::warn!(error:% = error; "cannot accept a connection");
                std::thread::sleep(ACCEPT_BACKOFF);
            }
        }
    }
}

fn wait_to_accept(listener: &TcpListener, stop_signals: &StopSignals) {
    let mut polled = [
        PollFd::new(listener, PollFlags::IN),
        PollFd::new(&stop_signals.answers, PollFlags::IN),
    ];
    match poll(&mut polled, None) {
        Ok(_) | Err(rustix::io::Errno::INTR) => {}
        Err(error) => {
            log::warn!(error:% = error; "cannot poll for connections");
            std::thread::sleep(ACCEPT_BACKOFF);
        }
    }
}

fn spawn_thread(context: ConnectionContext, stream: TcpStream) {
    let serve = move || {
        // A socket that rejects its options is unusable; dropping it closes it.
        if let Ok(mut connection) = Connection::new(stream) {
            connection.set_stop_signals(context.stop_signals.clone());
            connection.enable_arrival_times();
            serve_connection(&context, connection);
        }
    };
    let thread = std::thread::Builder::new().stack_size(STACK_BYTES);
    if let Err(error) = thread.spawn(serve) {
        log::warn!(error:% = error; "cannot start a thread for a connection");
    }
}

fn newest_limits(shared: &Shared) -> CallerLimits {
    let routes = shared.routes.load();
    routes.as_ref().map_or(INITIAL_LIMITS, |table| table.limits)
}

/// The newest limits, if they allow more than the ones by which a request is too large.
///
/// # Errors
/// The refusal of the request if they do not.
fn raised_limits(
    shared: &Shared,
    caller: &mut Connection,
    origin: &Origin,
    until: Instant,
    refusal: Refusal,
    allows_more: impl Fn(&CallerLimits) -> bool,
) -> Result<CallerLimits, Denial> {
    denials::check_with_proof(shared, caller, until, || {
        if let Some(table) = &*shared.routes.load() {
            forward::check_version(table, origin)?;
        }
        let newest = newest_limits(shared);
        allows_more(&newest)
            .then_some(newest)
            .ok_or(too_large(refusal))
    })
}

fn too_large(refusal: Refusal) -> Denial {
    Denial {
        refusal,
        end: "refused, it is too large",
    }
}

/// Reads the head of the next request; `None` if the connection was closed while idle.
fn read_head(
    caller: &mut Connection,
    limits: &CallerLimits,
) -> Result<Option<RequestHead>, HttpError> {
    let idle_until = clock::now() + Duration::from_millis(limits.idle_timeout_ms);
    let header_timeout = Duration::from_millis(limits.header_timeout_ms);
    http1::read_request_head(caller, limits.max_header_bytes, idle_until, header_timeout)
}

/// Reads and serves one request after another until the connection ends.
fn serve_connection(context: &ConnectionContext, caller: Connection) {
    let mut next = Some(caller);
    while let Some(caller) = next {
        next = serve_next(context, caller, &Origin::Caller);
    }
}

/// Reads and serves one request. Returns the connection if it may carry another one.
fn serve_next(
    context: &ConnectionContext,
    mut caller: Connection,
    origin: &Origin,
) -> Option<Connection> {
    let shared = &context.shared;
    if shared.termination().has_begun() {
        return None;
    }
    let mut limits = newest_limits(shared);
    let head = loop {
        match read_head(&mut caller, &limits) {
            Err(HttpError::TooLarge) => {}
            read => break read,
        }
        let until = denials::wait_until(origin, None, clock::now());
        let allows_more = |newest: &CallerLimits| newest.max_header_bytes > limits.max_header_bytes;
        let refusal = Refusal::HeadTooLarge;
        match raised_limits(shared, &mut caller, origin, until, refusal, allows_more) {
            Ok(raised) => limits = raised,
            Err(denial) => return refuse_denied(shared, caller, "", denial),
        }
    };
    let head = match head {
        Ok(Some(head)) => head,
        Err(HttpError::Malformed(_)) => return refuse(shared, caller, Refusal::Malformed),
        Err(HttpError::Stopping) if !caller.buffered().is_empty() => {
            return refuse_half_read(shared, caller, "");
        }
        Ok(None) | Err(_) => return None,
    };
    let in_progress = shared.count_in_progress();
    // The caller's time has run since then, also while the request waited to be read.
    let arrived_at = caller.received_at();
    // They may have changed while the connection was idle.
    let limits = newest_limits(shared);
    let announced_length = head.headers.text("content-length");
    let announced_bytes = announced_length
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    // A length above the limit is refused by the body reader below.
    let Some(reservation) = shared.reserve_body(announced_bytes.min(limits.max_body_bytes)) else {
        return refuse_for_memory(shared, caller, &head);
    };
    let body = match read_body(&mut caller, &head, limits.max_body_bytes, reservation) {
        Ok(body) => body,
        Err(HttpError::Malformed(_)) => return refuse(shared, caller, Refusal::Malformed),
        Err(HttpError::FramingTooLarge) => {
            let facts = shared.vocabulary.parse_request(&head.headers);
            return refuse_denied(shared, caller, &facts.id, too_large(Refusal::BodyTooLarge));
        }
        Err(HttpError::TooLarge) => {
            return refuse_large_body(shared, caller, &head, limits, origin);
        }
        Err(HttpError::Stopping) => {
            let facts = shared.vocabulary.parse_request(&head.headers);
            return refuse_half_read(shared, caller, &facts.id);
        }
        Err(HttpError::NoMemory) => return refuse_for_memory(shared, caller, &head),
        Err(_) => return None,
    };
    let reuse = forward::serve(shared, &mut caller, &head, &body.bytes, arrived_at, origin);
    drop((in_progress, body));
    if reuse == ConnectionReuse::Close {
        return None;
    }
    // After a stream, waits of this connection end with the earlier signal again.
    caller.set_stop_signals(context.stop_signals.clone());
    Some(caller)
}

fn refuse(shared: &Shared, caller: Connection, refusal: Refusal) -> Option<Connection> {
    refuse_with_id(shared, caller, "", refusal)
}

/// Refuses a request that was read only in part when the process stops.
fn refuse_half_read(shared: &Shared, caller: Connection, id: &str) -> Option<Connection> {
    refuse_not_run(shared, caller, id, "half read at the stop")
}

/// Refuses a request whose body does not fit into the memory bound for bodies.
fn refuse_for_memory(
    shared: &Shared,
    caller: Connection,
    head: &RequestHead,
) -> Option<Connection> {
    let facts = shared.vocabulary.parse_request(&head.headers);
    refuse_not_run(shared, caller, &facts.id, "no room for its body")
}

fn refuse_not_run(
    shared: &Shared,
    caller: Connection,
    id: &str,
    end: &'static str,
) -> Option<Connection> {
    let refusal = Refusal::NotRun {
        retry_after_ms: forward::RETRY_AFTER_MS,
    };
    refuse_denied(shared, caller, id, Denial { refusal, end })
}

/// Refuses a request whose body is larger than the limits by which it was read.
fn refuse_large_body(
    shared: &Shared,
    mut caller: Connection,
    head: &RequestHead,
    limits: CallerLimits,
    origin: &Origin,
) -> Option<Connection> {
    let facts = shared.vocabulary.parse_request(&head.headers);
    let until = denials::wait_until(origin, facts.deadline_ms, clock::now());
    let allows_more = |newest: &CallerLimits| newest.max_body_bytes > limits.max_body_bytes;
    let refusal = Refusal::BodyTooLarge;
    let raised = raised_limits(shared, &mut caller, origin, until, refusal, allows_more);
    // What was read of the body is lost, so the caller must send the request again.
    let denial = raised.err().unwrap_or(UNPROVEN_CONFIGURATION);
    refuse_denied(shared, caller, &facts.id, denial)
}

/// Refuses a request that was not read completely, and logs and counts it.
fn refuse_denied(
    shared: &Shared,
    caller: Connection,
    id: &str,
    Denial { refusal, end }: Denial,
) -> Option<Connection> {
    shared.metrics.request_ended(end, refusal.code());
    let table = shared.routes.load();
    let version = table.as_ref().map_or(0, |table| table.version);
    log::info!(target: REQUEST_TARGET, request = id, status = refusal.code(), offers = 0,
        runs = 0, end = end, config_version = version; "request ended");
    refuse_with_id(shared, caller, id, refusal)
}

/// Writes a refusal and closes the connection, which carries no other request.
fn refuse_with_id(
    shared: &Shared,
    mut caller: Connection,
    id: &str,
    refusal: Refusal,
) -> Option<Connection> {
    let written = reply::refuse(&mut caller, &*shared.vocabulary, id, refusal, true);
    // If the write failed, the caller has already disconnected.
    if written.is_ok() {
        caller.close_after_answer(clock::now() + DRAIN_TIMEOUT);
    }
    None
}

fn read_body(
    caller: &mut Connection,
    head: &RequestHead,
    max_bytes: usize,
    reservation: MemoryReservation,
) -> Result<ReadBody, HttpError> {
    let mut body = BodyReader::of_request(head)?;
    let until = clock::now() + BODY_TIMEOUT;
    let expect = head.headers.text("expect");
    if expect.is_some_and(|value| value.eq_ignore_ascii_case("100-continue")) && !body.is_done() {
        http1::write_all(caller, b"HTTP/1.1 100 Continue\r\n\r\n", false, None, until)?;
    }
    let memory = BodyMemory::of_known_length(reservation);
    body.read_whole(caller, max_bytes, memory, None, until)
}
