//! Drives one connection on its own thread.

use crate::Response;
use crate::body::Body;
use crate::io::{Interest, Socket};
use crate::server::{self, Handler};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use passway_types::clock;
use std::cell::RefCell;
use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::TcpStream;
use std::pin::pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

/// Maximum time between two checks of the deadlines.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Limits and timeouts of connections.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum time until a request's head has arrived, including the idle time before it.
    pub head_timeout: Duration,
    /// Maximum time until a request's body has arrived.
    pub body_timeout: Duration,
    /// Maximum time during which a caller accepts no bytes of an answer.
    pub write_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: 1_024,
            max_body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(20),
        }
    }
}

/// The reason why a request body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than the limit.
    TooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// The body is incomplete or malformed.
    Broken,
}

/// A request with its body.
#[derive(Debug)]
pub struct Request {
    /// Method, path and headers.
    pub head: http::request::Parts,
    /// The body, or the reason why it could not be read.
    pub body: Result<Bytes, BodyError>,
    /// The caller that sent the request.
    pub caller: Caller,
}

impl Request {
    /// The value of a header, if the header is present and its value is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        self.head.uri.path()
    }
}

/// The peer of a connection.
#[derive(Debug, Clone)]
pub struct Caller {
    stream: Arc<TcpStream>,
}

impl Caller {
    /// Whether the caller has closed its connection.
    pub fn is_disconnected(&self) -> bool {
        match self.stream.peek(&mut [0]) {
            Ok(count) => count == 0,
            Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        }
    }
}

/// The phase of a connection, with the deadline of that phase.
#[derive(Debug, Clone, Copy)]
enum Phase {
    Head { deadline: Instant },
    Body,
    Answer { deadline: Instant },
}

/// The phase and the limits of a connection.
#[derive(Debug)]
struct ConnectionState {
    phase: Mutex<Phase>,
    limits: Limits,
}

impl ConnectionState {
    fn set(&self, phase: Phase) {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner) = phase;
    }

    fn get(&self) -> Phase {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn start_head_phase(&self) {
        self.set(Phase::Head {
            deadline: clock::now() + self.limits.head_timeout,
        });
    }

    fn start_write_timeout(&self) {
        self.set(Phase::Answer {
            deadline: clock::now() + self.limits.write_timeout,
        });
    }

    fn is_expired(&self, now: Instant, is_write_blocked: bool) -> bool {
        match self.get() {
            Phase::Head { deadline } => now >= deadline,
            Phase::Body => false,
            Phase::Answer { deadline } => is_write_blocked && now >= deadline,
        }
    }
}

/// Records a wakeup that happened while the connection was polled.
#[derive(Debug, Default)]
struct WakeFlag(AtomicBool);

impl Wake for WakeFlag {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::Release);
    }
}

/// Serves a connection until it is closed.
pub(crate) fn serve(stream: TcpStream, handler: &Handler, limits: &Limits, keep_alive: bool) {
    if stream.set_nonblocking(true).is_err() {
        return;
    }
    // Without this, small writes such as single tokens would be delayed to be sent together.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let stream = Arc::new(stream);
    let interest = Rc::new(Interest::default());
    let now = clock::now();
    let phase = Mutex::new(Phase::Head {
        deadline: now + limits.head_timeout,
    });
    let state = Arc::new(ConnectionState {
        phase,
        limits: limits.clone(),
    });
    let caller = Caller {
        stream: stream.clone(),
    };
    let service = service_fn(|request| handle_request(request, handler, &state, &caller));
    let socket = Socket {
        stream: stream.clone(),
        interest: interest.clone(),
    };
    let connection = http1::Builder::new()
        .keep_alive(keep_alive)
        .serve_connection(socket, service);
    let mut connection = pin!(connection);
    let wake_flag = Arc::new(WakeFlag::default());
    let waker = Waker::from(wake_flag.clone());
    let mut context = Context::from_waker(&waker);
    loop {
        interest.clear();
        match connection.as_mut().poll(&mut context) {
            Poll::Ready(Ok(())) => return,
            Poll::Ready(Err(error)) => {
                log::debug!(error:% = error; "connection closed with an error");
                return;
            }
            Poll::Pending => {}
        }
        if interest.take_has_written() && matches!(state.get(), Phase::Answer { .. }) {
            state.start_write_timeout();
        }
        if wake_flag.0.swap(false, Ordering::AcqRel) {
            continue;
        }
        if state.is_expired(clock::now(), interest.is_write_blocked())
            || interest.wait(&stream, DEADLINE_CHECK_INTERVAL).is_err()
        {
            return;
        }
    }
}

async fn handle_request(
    request: hyper::Request<Incoming>,
    handler: &Handler,
    state: &Arc<ConnectionState>,
    caller: &Caller,
) -> Result<Response, Infallible> {
    state.set(Phase::Body);
    let (head, incoming) = request.into_parts();
    let body = read_body(incoming, &state.limits).await;
    let mut response = server::call_handler(
        handler,
        Request {
            head,
            body,
            caller: caller.clone(),
        },
    );
    state.start_write_timeout();
    let end_state = state.clone();
    response
        .body_mut()
        .set_on_end(move || end_state.start_head_phase());
    Ok(response)
}

async fn read_body(incoming: Incoming, limits: &Limits) -> Result<Bytes, BodyError> {
    let deadline = clock::now() + limits.body_timeout;
    let incoming = RefCell::new(incoming);
    let mut body = Vec::new();
    loop {
        // The connection's loop polls again at least every `DEADLINE_CHECK_INTERVAL`, so that a
        // stalled body is detected without a timer.
        let frame = std::future::poll_fn(|context| {
            let mut incoming = incoming.borrow_mut();
            let polled = pin!(incoming.frame()).as_mut().poll(context);
            match polled {
                Poll::Pending if clock::now() >= deadline => Poll::Ready(Err(BodyError::TooSlow)),
                Poll::Pending => Poll::Pending,
                Poll::Ready(frame) => Poll::Ready(Ok(frame)),
            }
        });
        let Some(frame) = frame.await? else {
            return Ok(body.into());
        };
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if body.len() + data.len() > limits.max_body_bytes {
            return Err(BodyError::TooLarge);
        }
        body.extend_from_slice(&data);
    }
}

/// Sends the refusal to a connection above the maximum number.
pub(crate) fn refuse(stream: &TcpStream, answer: &[u8]) {
    use std::io::Write;
    // A disconnected or slow caller must not delay accepting other connections.
    if stream.set_nonblocking(true).is_ok() {
        let mut stream = stream;
        let _ = stream.write(answer);
    }
}

impl Default for Body {
    fn default() -> Self {
        Self::new(Bytes::new())
    }
}
