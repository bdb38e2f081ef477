//! The router program: a thin shell round [`passway_decide::router`].
//!
//! * [`lifecycle`]: starting, serving, draining, as types.
//! * [`shared`]: what the request threads share; the configuration and routes'
//!   catalog behind read-copy-update, the decisions behind one short lock.
//! * [`control`]: connections to controllers.
//! * [`http`]: callers' requests, one thread each.
//! * [`generate`]: generation at model engines, [`stream`] its streamed answers.
//! * [`service`]: calls to plain services, [`claims`] those that may not be repeated.

pub mod claims;
pub mod control;
pub mod generate;
pub mod http;
pub mod lifecycle;
pub mod metrics;
pub mod service;
pub mod shared;
pub mod stream;

pub use lifecycle::{Draining, Router, Serving};
