//! Traits for the services of the platform and the upstreams, and HTTP adapters that implement
//! them.
//!
//! The adapters in this crate speak the protocols of the stand-ins. A different platform protocol
//! needs a new adapter that implements the same trait.
//!
//! * [`http`]: the HTTP client that the adapters share.
//! * [`key_value`]: the key-value service with compare-and-swap and leases.
//! * [`engine`]: orders to model engines and their status.
//! * [`instance_list`]: the list of live and leaving instances and upstreams.

pub mod engine;
pub mod http;
pub mod instance_list;
pub mod key_value;
