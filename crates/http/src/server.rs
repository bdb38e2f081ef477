//! Accepts connections and serves each on its own thread.

use crate::connection::{self, Limits, Request};
use crate::{Body, Response};
use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Delay after a failed accept, for example if the process is out of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Stack size of a connection's thread.
const STACK_BYTES: usize = 256 << 10;

/// A function that answers one request and may block.
pub(crate) type Handler = dyn Fn(Request) -> Response + Send + Sync;

/// An HTTP server that is bound to an address.
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
    /// Binds to an address; with port 0 the kernel selects a port.
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

    /// Sets the limits and timeouts of connections.
    #[must_use]
    pub fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the raw answer, including its head, to connections above the maximum number.
    #[must_use]
    pub fn refusal(mut self, answer: Vec<u8>) -> Self {
        self.refusal = answer;
        self
    }

    /// The address where the server listens.
    ///
    /// # Errors
    /// The socket's error.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts connections until the process terminates.
    pub fn serve(self, handler: impl Fn(Request) -> Response + Send + Sync + 'static) -> ! {
        let handler: Arc<Handler> = Arc::new(handler);
        let connection_count = Arc::new(AtomicUsize::new(0));
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => self.handle_connection(stream, &handler, &connection_count),
                Err(error) => {
                    log::warn!(error:% = error; "cannot accept a connection");
                    std::thread::sleep(ACCEPT_BACKOFF);
                }
            }
        }
    }

    fn handle_connection(
        &self,
        stream: TcpStream,
        handler: &Arc<Handler>,
        connection_count: &Arc<AtomicUsize>,
    ) {
        let count = connection_count.fetch_add(1, Ordering::AcqRel);
        let guard = ConnectionGuard(connection_count.clone());
        if count >= self.limits.max_connections {
            connection::refuse(&stream, &self.refusal);
            return;
        }
        // A connection is kept open after a request only if fewer than half of the allowed
        // connections are in use, so that others can connect.
        let keep_alive = count < self.limits.max_connections / 2;
        let (handler, limits) = (handler.clone(), self.limits.clone());
        let run = move || {
            let _guard = guard;
            connection::serve(stream, &*handler, &limits, keep_alive);
        };
        let result = std::thread::Builder::new()
            .stack_size(STACK_BYTES)
            .spawn(run);
        if let Err(error) = result {
            log::warn!(error:% = error; "cannot start a thread for a connection");
        }
    }
}

/// Calls the handler. If the handler panics, this returns an internal error instead, so that the
/// connection's thread survives.
pub(crate) fn call_handler(handler: &Handler, request: Request) -> Response {
    catch_unwind(AssertUnwindSafe(|| handler(request))).unwrap_or_else(|_| {
        log::error!("a handler panicked");
        let mut response = Response::new(Body::default());
        *response.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
        response
    })
}

/// Decrements the number of connections when a connection has ended.
struct ConnectionGuard(Arc<AtomicUsize>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
