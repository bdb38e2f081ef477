//! Stand-ins that speak the users' platform's protocol.
//!
//! * [`store`]: the metadata store with transactions, leases and watches, its
//!   outages and lost answers.
//! * [`raw`]: a server whose every byte is scripted.
//! * [`model_server`]: a model server with orders, reports and streams.

pub mod model_server;
pub mod raw;
pub mod store;
