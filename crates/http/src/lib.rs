//! A blocking HTTP/1.1 server: a thin layer over `hyper` with one thread per connection.
//!
//! Handlers are plain functions that may block. This crate adds to `hyper`:
//!
//! * The whole body of a request is read before its handler runs, up to a maximum size and a
//!   timeout, so that a slow sender occupies a connection but never a handler.
//! * The number of connections is limited; a connection above the limit gets an immediate refusal.
//! * Timeouts close idle connections, connections with an incomplete request, and connections
//!   whose peer does not read the answer.
//! * An error while accepting a connection does not stop the server.
//! * A waiting handler can check whether its caller is still connected.
//!
//! `docs/design/http.md` explains why this crate is used instead of `astra`.
//!
//! [`Server`] accepts connections, [`connection`] drives one connection, and [`body`] is the body
//! of an answer.

pub mod body;
pub mod connection;
mod io;
mod server;

pub use body::Body;
pub use connection::{BodyError, Caller, Limits, Request};
pub use server::Server;

/// An answer to a request.
pub type Response = http::Response<Body>;
