//! What the platform and the upstreams offer, as traits, and HTTP adapters to them.
//!
//! The platform's real protocols are not known yet; a new one is a new adapter
//! behind the same trait. The adapters here speak to the stand-ins.
//!
//! * [`key_value`]: compare-and-swap, leases.
//! * [`engine`]: orders to model engines and their status.
//! * [`instance_list`]: live and leaving instances and upstreams.

pub mod engine;
pub mod http;
pub mod instance_list;
pub mod key_value;
