//! In-process stand-ins for the systems that passway depends on, and a load generator.
//!
//! The crate is test support; no shipped program links it. Each stand-in implements the protocol
//! that the adapters in `passway-platform` use, injects faults on request, and records what it did
//! in a ledger that tests check invariants against.
//!
//! * [`allotment_model`]: simulates strategies that hold workspaces to their allotments.
//! * [`part_model`]: simulates a fleet whose engines crash under one part of prompts.
//! * [`key_value`]: a key-value service with compare-and-swap and leases, fault injection (outages,
//!   delays, lost answers) and call counts.
//! * [`weight_store`]: limits concurrent loads and their start rate; can be slowed down.
//! * [`engine`]: a model engine with memory, loads and streams, which checks or ignores fencing
//!   numbers.
//! * [`service`]: a plain service that counts executions per key.
//! * [`instance_list`]: the platform's instance list with a propagation delay.
//! * [`platform`]: the users' platform: metadata store, model servers, scripted servers.
//! * [`cluster`]: starts all stand-ins together with a configuration.
//! * [`fleet_model`]: simulates engines, weight store and demand in virtual time to compare
//!   placement policies.
//! * [`sizes`]: configurations of today's size and of the target size.
//! * [`soak`]: real instances among the stand-ins with seeded faults; checks the invariants.
//! * [`trace`]: seeded request traces of one day in each of the two deployments.
//! * [`load`]: sends requests and checks the answers.

pub mod allotment_model;
pub mod cluster;
pub mod engine;
pub mod fleet_model;
pub mod instance_list;
pub mod key_value;
pub mod load;
pub mod part_model;
pub mod platform;
pub mod server;
pub mod service;
pub mod sizes;
pub mod soak;
pub mod trace;
pub mod weight_store;
