//! Stand-ins that implement the protocol of the users' platform.
//!
//! * [`store`]: the metadata store with transactions, leases and watches, and with fault injection
//!   (outages, lost answers).
//! * [`cut_path`]: the network path from one instance to one upstream, which can be cut.
//! * [`documents`]: a configuration, and store entries of servers that don't publish their own.
//! * [`caller`]: an HTTP client that sends given bytes.
//! * [`plain_server`]: a plain server whose answers may lack a length; [`restarting_plain`]: one that ends under
//!   crashing requests and starts again.
//! * [`process`]: an instance as a separate process.
//! * [`proxy`]: a TCP proxy whose connections can be delayed, reset and silenced.
//! * [`raw`]: a server that sends scripted bytes.
//! * [`model_server`]: a model server with orders, reports and streams; [`replaced_engines`]: several, of
//!   which crashed ones are replaced.

pub mod caller;
pub mod cut_path;
pub mod documents;
pub mod failure_spans;
pub mod model_server;
pub mod plain_server;
pub mod process;
pub mod proxy;
pub mod raw;
pub mod replaced_engines;
pub mod restarting_plain;
pub mod store;
pub mod stream_events;
