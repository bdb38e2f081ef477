//! Accepts connections and gives each a thread.

use crate::connection::{self, Limits, Request};
use crate::{Body, Response};
use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Pause after an accept failed, for instance for want of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Stack of a connection's thread, in bytes.
const STACK_BYTES: usize = 256 << 10;

/// Answers one request; may block.
pub(crate) type Handler = dyn Fn(Request) -> Response + Send + Sync;

/// A server that is bound to an address.
pub struct Server {
    listener: TcpListener,
    limits: Limits,
    refusal: Vec<u8>,
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Server")
            .field("listener", &self.listener)
            .finish_non_exhaustive()
    }
}

impl Server {
    /// Binds to an address; port 0 lets the kernel choose.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        Ok(Self {
            listener,
            limits: Limits::default(),
            refusal: Vec::new(),
        })
    }

    /// Sets the bounds of connections.
    #[must_use]
    pub fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the whole answer, head included, to a connection that is one too many.
    #[must_use]
    pub fn refusal(mut self, answer: Vec<u8>) -> Self {
        self.refusal = answer;
        self
    }

    /// Where the server listens.
    ///
    /// # Errors
    /// The socket's error.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts connections for as long as the process lives.
    pub fn serve(self, handler: impl Fn(Request) -> Response + Send + Sync + 'static) -> ! {
        let handler: Arc<Handler> = Arc::new(handler);
        let live = Arc::new(AtomicUsize::new(0));
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => self.handle_connection(stream, &handler, &live),
                Err(error) => {
                    log::warn!(error:% = error; "a connection could not be accepted");
                    std::thread::sleep(ACCEPT_BACKOFF);
                }
            }
        }
    }

    fn handle_connection(
        &self,
        stream: TcpStream,
        handler: &Arc<Handler>,
        live: &Arc<AtomicUsize>,
    ) {
        let count = live.fetch_add(1, Ordering::AcqRel);
        let guard = ConnectionGuard(live.clone());
        if count >= self.limits.max_connections {
            connection::refuse(&stream, &self.refusal);
            return;
        }
        // Connections are kept only while there is room for others.
        let keep_alive = count < self.limits.max_connections / 2;
        let (handler, limits) = (handler.clone(), self.limits.clone());
        let run = move || {
            let _guard = guard;
            connection::serve(stream, &*handler, &limits, keep_alive);
        };
        let spawned = std::thread::Builder::new()
            .stack_size(STACK_BYTES)
            .spawn(run);
        if let Err(error) = spawned {
            log::warn!(error:% = error; "no thread for a connection");
        }
    }
}

/// A panic ends the request, not the thread's connection count.
pub(crate) fn call_handler(handler: &Handler, request: Request) -> Response {
    catch_unwind(AssertUnwindSafe(|| handler(request))).unwrap_or_else(|_| {
        log::error!("a handler panicked");
        let mut response = Response::new(Body::default());
        *response.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
        response
    })
}

/// Counts one connection while it lives.
struct ConnectionGuard(Arc<AtomicUsize>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
