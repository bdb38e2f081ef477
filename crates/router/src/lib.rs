//! The router program: runs the decision logic of [`passway_decide::router`] with threads,
//! connections and calls.
//!
//! * [`lifecycle`]: the states serving and draining, as types.
//! * [`shared`]: the state that request threads share. The configuration's catalog is read
//!   without a lock (read-copy-update); the decision logic has one lock, held for one decision.
//! * [`control`]: connections to controllers.
//! * [`http`]: callers' requests, one thread each.
//! * [`generate`]: generation at model engines; [`stream`]: streamed answers.
//! * [`service`]: calls to plain services; [`claims`]: calls that must not be repeated.
//! * [`metrics`]: counters and histograms.

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
