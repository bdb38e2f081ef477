//! Messages between passway's own processes, and their framing.
//!
//! * [`message`]: messages on connections, one [`message::Envelope`] per frame. The protocol
//!   buffers are derived from Rust types, so that the build needs no code generator.
//! * [`dispatch`]: datagrams by which requests are assigned to engines.
//! * [`permits`]: datagrams by which instances ask for permits.
//! * [`store_reads`]: datagrams by which instances read the store for others.
//! * [`versions`]: the list of software versions in the store.
//! * [`link`]: a blocking connection that sends and receives envelopes.
//!
//! Deadlines are sent as a remaining time in milliseconds and past events as an age, not as clock
//! readings, since the clocks of two instances cannot be compared.

pub mod dispatch;
pub mod link;
pub mod message;
pub mod permits;
pub mod store_reads;
pub mod versions;

pub use link::{Frame, Link, LinkReader};
pub use message::{Body, Envelope};
