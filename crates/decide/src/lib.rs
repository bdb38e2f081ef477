//! Decision logic of passway, without I/O, threads or a clock.
//!
//! Each state machine takes an event and the current time and returns the actions to carry out. The
//! programs, the scenario tests, the randomized fault tests and the benchmarks all run this code.
//!
//! * [`plan`] is the single value that the controllers of a cell agree on. Its methods check
//!   replica counts and memory together.
//! * [`cell`] decides for one cell: leadership, placements and orders.
//! * [`router`] decides for one router: admission, queueing, routing and retries.
//! * [`estimate`] learns how long loads take. [`retention`] decides how long an idle replica stays
//!   loaded.
//! * [`claim`] is the life cycle of a call that may not be repeated.

pub mod cell;
pub mod claim;
pub mod estimate;
pub mod messages;
pub mod plan;
pub mod retention;
pub mod router;
