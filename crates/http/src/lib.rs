//! A blocking HTTP/1.1 server: a thin shell round `hyper`, one thread a connection.
//!
//! Handlers are plain functions that may block. What the shell adds to `hyper`:
//!
//! * a request's body is read whole, up to a limit and a deadline, before its
//!   handler runs, so a slow sender holds a connection but never a handler;
//! * connections are counted, and one too many is answered at once;
//! * idle, half-sent and unread connections end after a time;
//! * an error from accepting a connection never ends serving;
//! * a handler that waits can ask whether its caller is still there.
//!
//! `docs/design/http.md` says why this stands in place of `astra`.
//!
//! [`Server`] accepts; [`connection`] drives one connection; [`body`] is an
//! answer's body.

pub mod body;
pub mod connection;
mod io;
mod server;

pub use body::Body;
pub use connection::{BodyError, Caller, Limits, Request};
pub use server::Server;

/// An answer.
pub type Response = http::Response<Body>;
