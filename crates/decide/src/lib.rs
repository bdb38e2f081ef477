//! The decisions of passway without I/O, threads or clock.
//!
//! Events and the current time go in, actions come out. The programs, the
//! scenario tests, the fault runs and the benchmarks drive the same code.
//!
//! * [`plan`] is the one value that a cell's controllers agree on; replica
//!   counts and memory are checked together inside it.
//! * [`cell`] decides for one cell: leadership, placements, orders.
//! * [`router`] decides for one router: admission, waiting, routing, retries.
//! * [`estimate`] learns how long loads take; [`retention`] decides how long an idle
//!   replica stays.
//! * [`claim`] is the life cycle of a call that may not be repeated.

pub mod cell;
pub mod claim;
pub mod estimate;
pub mod messages;
pub mod plan;
pub mod retention;
pub mod router;
