//! A simulation of engines, weight store and demand in virtual time, which drives the real
//! planner.
//!
//! The simulation compares placement policies at several fleet sizes within seconds, and with
//! repeatable results; the users' bench confirms them. The simulation omits everything that does
//! not differ between policies: connections of callers, retries, the network, adapters and faults.
//!
//! * [`size`]: fleet sizes and their demand.
//! * [`engine`]: one engine with its accelerator memory, host memory, disk and current order.
//! * [`start`]: the initial state of the engines.
//! * `requests`: arrival, queueing and refusal of requests.
//! * [`run`]: a run of one policy, step by step.
//! * [`outcome`]: the result of a run.

pub mod engine;
pub mod outcome;
mod requests;
pub mod run;
pub mod size;
pub mod start;

pub use outcome::Outcome;
pub use run::Run;
pub use size::{FleetSize, SIZES};
pub use start::{InitialDisks, warm_planner};
