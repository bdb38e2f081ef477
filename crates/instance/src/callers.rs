//! Callers' connections: one thread each.

use crate::ending::Endings;
use crate::forward::{self, After};
use crate::http1::{self, BodyReader, Connection, HttpError, RequestHead};
use crate::reply::{self, Refusal};
use crate::shared::Shared;
use anyhow::{Context, Result};
use passway_process::logging::json::REQUEST_TARGET;
use passway_serving::routes::CallerLimits;
use passway_types::clock;
use passway_types::prelude::*;
use rustix::event::{PollFd, PollFlags, poll};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bounds before a configuration is known.
const FIRST_LIMITS: CallerLimits = CallerLimits {
    max_header_bytes: 16 << 10,
    max_body_bytes: 4 << 20,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};
/// Time for a body to arrive.
const BODY_TIME: Duration = Duration::from_secs(10);
/// Time for a caller to stop sending a request that has been refused before all of it was
/// read: some round trips, which take a few milliseconds each.
const UNREAD_TIME: Duration = Duration::from_millis(200);
/// Stack of a connection's thread.
const STACK_BYTES: usize = 256 << 10;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Callers' connections of one instance.
#[derive(Debug)]
pub struct Callers {
    address: SocketAddr,
    shared: Arc<Shared>,
    endings: Arc<Endings>,
    open: Arc<AtomicUsize>,
}

/// What a thread needs that serves callers. It counts as open while it lives, so that a
/// stop can wait for it.
struct Serving {
    shared: Arc<Shared>,
    endings: Arc<Endings>,
    open: Arc<AtomicUsize>,
}

impl Serving {
    fn begin(shared: &Arc<Shared>, endings: &Arc<Endings>, open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::AcqRel);
        Self {
            shared: shared.clone(),
            endings: endings.clone(),
            open: open.clone(),
        }
    }
}

impl Clone for Serving {
    fn clone(&self) -> Self {
        Self::begin(&self.shared, &self.endings, &self.open)
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Accepts callers from now on.
///
/// # Errors
/// If the address cannot be bound, or the process has no descriptor left.
pub fn listen(shared: &Arc<Shared>, address: SocketAddr) -> Result<Callers> {
    let listener = TcpListener::bind(address).with_context(|| format!("binding {address}"))?;
    listener
        .set_nonblocking(true)
        .context("callers' listener")?;
    let callers = Callers {
        address: listener.local_addr().context("the bound address")?,
        shared: shared.clone(),
        endings: Arc::new(Endings::new().context("the signals of the end")?),
        open: Arc::default(),
    };
    let serving = Serving::begin(shared, &callers.endings, &callers.open);
    std::thread::spawn(move || accept(&serving, &listener));
    Ok(callers)
}

impl Callers {
    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Answers everything that still waits, closes what rests, and takes no connection
    /// beyond those that the kernel has already accepted.
    pub fn end(&self) {
        self.shared.end();
        self.endings.answers.set();
    }

    /// Cuts the streams that still go out.
    pub fn cut_streams(&self) {
        self.endings.streams.set();
    }

    /// Threads that may still have a caller to answer.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }
}

/// Accepts connections until the ending, and then those that wait already: their callers
/// may have sent a request, and closing the listener would reset them.
fn accept(serving: &Serving, listener: &TcpListener) {
    loop {
        match listener.accept() {
            Ok((stream, _)) => spawn_thread(serving.clone(), stream),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                if serving.shared.is_ending() {
                    return;
                }
                wait_to_accept(listener, &serving.endings);
            }
            Err(error) => {
                log::warn!(error:% = error; "a connection could not be accepted");
                std::thread::sleep(ACCEPT_PAUSE);
            }
        }
    }
}

fn wait_to_accept(listener: &TcpListener, endings: &Endings) {
    let mut polled = [
        PollFd::new(listener, PollFlags::IN),
        PollFd::new(&endings.answers, PollFlags::IN),
    ];
    match poll(&mut polled, None) {
        Ok(_) | Err(rustix::io::Errno::INTR) => {}
        Err(error) => {
            log::warn!(error:% = error; "cannot wait for connections");
            std::thread::sleep(ACCEPT_PAUSE);
        }
    }
}

fn spawn_thread(serving: Serving, stream: TcpStream) {
    let run = move || {
        // A socket that refuses its options is of no use; dropping it closes it.
        if let Ok(mut connection) = Connection::new(stream) {
            connection.end_with(serving.endings.clone());
            serve_connection(&serving, connection);
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
fn serve_connection(serving: &Serving, mut caller: Connection) {
    let shared = &serving.shared;
    loop {
        let limits = limits(shared);
        let idle_until = clock::now() + Duration::from_millis(limits.idle_timeout_ms);
        let header_time = Duration::from_millis(limits.header_timeout_ms);
        let head = http1::read_request_head(
            &mut caller,
            limits.max_header_bytes,
            idle_until,
            header_time,
        );
        let head = match head {
            Ok(Some(head)) => head,
            Err(HttpError::Malformed(_)) => return refuse(shared, caller, Refusal::Malformed),
            Err(HttpError::TooLarge) => return refuse(shared, caller, Refusal::HeadTooLarge),
            Err(HttpError::Ending) if !caller.unused().is_empty() => {
                return refuse_unread(shared, caller, "");
            }
            Ok(None) | Err(_) => return,
        };
        let in_progress = shared.enter();
        let arrived_at = clock::now();
        let announced = head.headers.text("content-length");
        let announced = announced
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        // A length beyond what is allowed is refused as such, by who reads it.
        let Some(mut room) = shared.hold_body(announced.min(limits.max_body_bytes)) else {
            return refuse_for_room(shared, caller, &head);
        };
        let body = match read_body(&mut caller, &head, limits.max_body_bytes) {
            Ok(body) => body,
            Err(HttpError::Malformed(_)) => return refuse(shared, caller, Refusal::Malformed),
            Err(HttpError::TooLarge) => return refuse(shared, caller, Refusal::BodyTooLarge),
            Err(HttpError::Ending) => {
                let facts = shared.vocabulary.parse_request(&head.headers);
                return refuse_unread(shared, caller, &facts.id);
            }
            Err(_) => return,
        };
        if !room.set_bytes(body.len()) {
            return refuse_for_room(shared, caller, &head);
        }
        let after = forward::serve(shared, &mut caller, &head, &body, arrived_at);
        drop((in_progress, room));
        if after == After::Close {
            return;
        }
        // A stream's connection waited for the later ending.
        caller.end_with(serving.endings.clone());
    }
}

fn refuse(shared: &Shared, caller: Connection, refusal: Refusal) {
    refuse_named(shared, caller, "", refusal);
}

/// Refuses a request of which the process has read only a part when it ends.
fn refuse_unread(shared: &Shared, caller: Connection, id: &str) {
    refuse_not_run(shared, caller, id, "half read at the stop");
}

/// Refuses a request for whose body the others in progress leave no room.
fn refuse_for_room(shared: &Shared, caller: Connection, head: &RequestHead) {
    let facts = shared.vocabulary.parse_request(&head.headers);
    refuse_not_run(shared, caller, &facts.id, "no room for its body");
}

fn refuse_not_run(shared: &Shared, caller: Connection, id: &str, end: &'static str) {
    let refusal = Refusal::NotRun {
        retry_after_ms: forward::RETRY_AFTER_MS,
    };
    shared.metrics.ended(end, refusal.code());
    log::info!(target: REQUEST_TARGET, request = id, status = refusal.code(), offers = 0,
        runs = 0, end = end; "request ended");
    refuse_named(shared, caller, id, refusal);
}

fn refuse_named(shared: &Shared, mut caller: Connection, id: &str, refusal: Refusal) {
    let written = reply::refuse(&mut caller, &*shared.vocabulary, id, refusal, true);
    // If the caller is gone already, there is nobody else to tell.
    if written.is_ok() {
        caller.close_after_answer(clock::now() + UNREAD_TIME);
    }
}

fn read_body(
    caller: &mut Connection,
    head: &RequestHead,
    max_bytes: usize,
) -> Result<Vec<u8>, HttpError> {
    let mut body = BodyReader::of_request(head)?;
    let until = clock::now() + BODY_TIME;
    let expects = head.headers.text("expect");
    if expects.is_some_and(|word| word.eq_ignore_ascii_case("100-continue")) && !body.is_done() {
        http1::write_all(caller, b"HTTP/1.1 100 Continue\r\n\r\n", false, None, until)?;
    }
    body.read_whole(caller, max_bytes, None, until)
}
