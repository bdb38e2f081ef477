//! What an instance knows and decides, without I/O, threads or clock.
//!
//! * [`ports`]: what it needs of the place it runs in, as traits; an adapter of a
//!   platform implements them and decides nothing.
//! * [`placement`]: which models stand on which engines, and the orders that load them.
//! * [`routes`]: the operators' routes and services, and which route a request takes.
//! * [`upstreams`]: what upstreams say of themselves, what this instance has seen of
//!   them, and which one a request goes to.
//! * [`absence`]: whether an upstream whose entry is missing is gone.
//! * [`leadership`]: who holds the right to order, and when an instance takes it.
//! * [`retry`]: the part of the fleet's retry allowance that this instance may spend.
//! * [`workspaces`]: who may use closed routes, and how much; [`freshness`]: until when the
//!   configuration that says so may be acted on; [`allotment`]: what they have used.
//! * [`halls`]: where requests may go: regions that bind, data halls that were emptied.
//! * [`limits`]: what upstreams in need say that they take.
//! * [`words`]: what upstreams say of themselves in their answers.
//! * [`headers`]: headers as they were received.
//! * [`hash`]: a hash that is the same in each process.
//!
//! Events and the current time go in, answers come out; `passway-instance` is the
//! shell with threads and sockets.

pub mod allotment;
pub mod dispatch;
pub mod first_byte_times;
pub mod freshness;
pub mod halls;
pub mod hash;
pub mod headers;
pub mod leadership;
pub mod limits;
pub mod placement;
pub mod poison;
pub mod ports;
pub mod retry;
pub mod routes;
pub mod signals;
pub mod store_outages;
pub mod upstreams;
pub mod workspaces;
