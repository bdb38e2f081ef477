//! The state and the decisions of an instance, without I/O, threads or a clock.
//!
//! * [`ports`]: the interfaces to the platform, as traits. A platform adapter implements them and
//!   makes no decisions.
//! * [`placement`]: which models are loaded on which engines, and the orders that load them.
//! * [`routes`]: the operators' routes and services, and the route of each request.
//! * [`upstreams`]: what upstreams report, what this instance has observed of them, and which one
//!   a request goes to.
//! * [`versions`]: versions of upstreams' software.
//! * [`paths`]: whether this instance reaches upstreams at all, and which instance takes its
//!   requests if not.
//! * [`store_outages`]: when an upstream whose entry is missing counts as removed.
//! * [`revisions`]: revisions and leases of the store, which know their era.
//! * [`leadership`]: which instance may send orders to engines, and when an instance takes the
//!   leadership.
//! * [`splits`]: how routes divide their streams among services, now and lately; [`versions`]: the software
//!   versions that began streams.
//! * [`retry`]: this instance's share of the fleet's retry budget.
//! * [`workspaces`]: which keys open routes that need one, and how much they may use;
//!   [`freshness`]: until when the configuration with those keys may be applied; [`allotment`]:
//!   what workspaces have used.
//! * [`halls`]: where requests may go, by allowed regions and evacuated data halls.
//! * [`limits`]: rate limits that upstreams advertise.
//! * [`signals`]: what upstreams report about themselves in the headers of their answers.
//! * [`dispatch`]: which engine a request goes to in a large fleet; [`forecast`]: how engines serve
//!   streams.
//! * [`poison`]: requests that crash the upstreams that run them.
//! * [`first_byte_times`]: how long upstreams usually take until the first byte of an answer.
//! * [`headers`]: headers as received.
//! * [`memory`]: memory for bytes that are held for others.
//! * [`hash`]: a hash that is the same in every process.
//!
//! Events and the current time are inputs, decisions are outputs. `passway-instance` adds the
//! threads and sockets.

pub mod allotment;
pub mod dispatch;
pub mod first_byte_times;
pub mod forecast;
pub mod freshness;
pub mod halls;
pub mod hash;
pub mod headers;
pub mod leadership;
pub mod limits;
pub mod memory;
pub mod paths;
pub mod placement;
pub mod poison;
pub mod ports;
pub mod retry;
pub mod revisions;
pub mod routes;
pub mod signals;
pub mod splits;
pub mod store_outages;
pub mod upstreams;
pub mod versions;
pub mod workspaces;
