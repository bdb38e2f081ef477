//! A model of engines, weight store and demand in virtual time, driving the planner
//! that ships.
//!
//! It answers which placement policy serves better at which size, in seconds and the
//! same each time; the users' bench confirms. It leaves out what does not differ between
//! policies: callers' connections, retries, the network, adapters, faults.
//!
//! * [`size`]: how large a fleet is and what is asked of it.
//! * [`engine`]: one engine: places, disk, memory, one order at a time.
//! * [`start`]: the engines as a run finds them.
//! * `requests`: requests that come, wait and give up.
//! * [`run`]: a run of one policy, step by step.
//! * [`outcome`]: what came of it.

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
