//! Small stand-ins of what passway stands between, and a load tool.
//!
//! Test support only: no shipped program links this crate. Each stand-in speaks
//! the protocol that the adapters in `passway-platform` speak, can be told to
//! fail, and keeps the ledger by which the promises are judged.
//!
//! * [`allotment_model`]: ways to keep workspaces to their allotments, played against each other.
//! * [`key_value`]: compare-and-swap, leases; outages, slowness, lost answers, call counts.
//! * [`weight_store`]: a few loads at a time, a few a second; can slow down.
//! * [`engine`]: a model engine with memory, loads, streams, fencing checked or ignored.
//! * [`service`]: a plain service that counts runs per key.
//! * [`instance_list`]: a list that lags.
//! * [`platform`]: the users' platform: its store, model servers, servers of scripted bytes.
//! * [`cluster`]: all of them together with a configuration.
//! * [`fleet_model`]: engines, weight store and demand in virtual time, to compare policies.
//! * [`sizes`]: configurations at the sizes of today and of the target.
//! * [`soak`]: real instances among the stand-ins, faults drawn by a seed, promises judged.
//! * [`trace`]: seeded days of the two deployments.
//! * [`load`]: callers, whose answers are checked.

pub mod allotment_model;
pub mod cluster;
pub mod engine;
pub mod fleet_model;
pub mod instance_list;
pub mod key_value;
pub mod load;
pub mod platform;
pub mod server;
pub mod service;
pub mod sizes;
pub mod soak;
pub mod trace;
pub mod weight_store;
