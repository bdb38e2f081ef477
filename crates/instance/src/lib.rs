//! One instance: a process that takes callers' requests and passes them to upstreams.
//!
//! Threads block; what they share is in [`shared`]: the configuration behind
//! read-copy-update, counts as atomics, upstreams and the retry budget behind locks
//! that are held for one decision at a time. All decisions are in `passway-serving`.
//!
//! * [`callers`] takes connections, [`forward`] one request, [`events`] cuts streams.
//! * [`http1`] and [`pool`] are connections; [`reply`] writes answers.
//! * [`feeds`] follows the store; [`ready`] answers the balancer.
//! * [`leadership`] is the right to order, [`holder`] decides and orders while it has it,
//!   [`candidates`] are those that may succeed it, [`report`] tells the holder what this
//!   instance needs.
//! * [`signals`]: what upstreams say of themselves, as it is taken in and told; [`control`]: orders and
//!   questions to engines; [`limits`]: keeping upstreams in need to what they take.
//! * [`poison`]: requests that crash upstreams, as they are known, told and kept.
//! * [`freshness`]: how new the configuration is for sure; [`allotments`]: what workspaces may use;
//!   [`questions`] to other instances.
//! * [`metrics`]: counters for `/metrics`.
//! * [`health`]: whether the store answers.
//! * [`relay`]: the store's news by way of the holder, [`updates`] as they travel, [`compression`] of
//!   large values; [`subscribers`]: who hears it from the holder, [`feed_log`] what there is to tell.
//! * [`lifecycle`] starts and stops; [`ending`] wakes what still waits at a stop.

pub mod allotments;
pub mod callers;
pub mod candidates;
pub mod compression;
pub mod control;
pub mod coordinator;
pub mod dispatch;
pub mod ending;
pub mod events;
pub mod feed_log;
pub mod feeds;
pub mod forward;
pub mod freshness;
pub mod health;
pub mod holder;
pub mod http1;
pub mod leadership;
pub mod lifecycle;
pub mod limits;
pub mod members;
pub mod metrics;
pub mod poison;
pub mod pool;
pub mod questions;
pub mod ready;
pub mod relay;
pub mod reply;
pub mod report;
pub mod shared;
pub mod signals;
pub mod subscribers;
pub mod updates;

pub use lifecycle::{Instance, Surroundings};
