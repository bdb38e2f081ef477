//! Stand-ins that speak the users' platform's protocol.
//!
//! * [`store`]: the metadata store with transactions, leases and watches, its
//!   outages and lost answers.
//! * [`documents`]: a configuration, and entries of servers that do not write their own.
//! * [`caller`]: a caller over bytes of its own.
//! * [`process`]: an instance as a process of its own.
//! * [`proxy`]: a way whose connections can be delayed, reset and silenced.
//! * [`raw`]: a server whose every byte is scripted.
//! * [`model_server`]: a model server with orders, reports and streams.

pub mod caller;
pub mod documents;
pub mod model_server;
pub mod process;
pub mod proxy;
pub mod raw;
pub mod store;
