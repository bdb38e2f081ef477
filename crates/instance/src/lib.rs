//! One instance: a process that receives callers' requests and forwards them to upstreams.
//!
//! Threads block on I/O. Their shared state is in [`shared`]: the configuration is replaced by
//! read-copy-update, counts are atomics, and upstreams and the retry budget are behind locks that
//! are held for one decision at a time. The decisions themselves are in `passway-serving`.
//!
//! * [`callers`] accepts connections, [`forward`] handles one request, [`events`] splits streams
//!   into events.
//! * [`http1`] and [`pool`] implement connections; [`reply`] writes the instance's own answers.
//! * [`feeds`] follows the store; [`ready`] answers the balancer's readiness probe.
//! * [`leadership`] takes and extends the leadership, i.e. the right to send orders to engines.
//!   [`holder`] plans and sends orders while this instance has the leadership, [`candidates`] are
//!   the instances that may succeed it, and [`report`] sends the holder what this instance needs.
//! * [`members`] are the instances that the holder knows; [`coordinator`] sends requests to the
//!   holder for what is counted in one place, such as quotas and limits, and counts them there.
//! * [`signals`] applies and publishes the signals that upstreams send about themselves;
//!   [`control`] sends orders and queries to engines; [`limits`] keeps limited upstreams within
//!   their advertised rates; [`dispatch`] queries dispatchers for engines and answers such queries.
//! * [`liveness`] asks upstreams whether they still run after a connection of theirs has ended.
//! * [`versions`] knows and stores the software versions that began streams.
//! * [`poison`] detects requests that crash upstreams, publishes them and stores them.
//! * [`freshness`] proves how recent the configuration is, and [`denials`] denies requests only by a
//!   configuration that is proved to be recent; [`allotments`] enforces the workspaces'
//!   quotas; [`queries`] are datagram queries to other instances.
//! * [`metrics`] are the metrics of `/metrics`.
//! * [`health`] tracks whether the store answers.
//! * [`relay`] receives the store's updates through the holder, [`updates`] defines and encodes
//!   them, and [`compression`] compresses large values and long updates; [`subscribers`] are the
//!   instances that receive updates from the holder, [`feed_log`] is the log of updates to send, and
//!   [`feed_frames`] are the encoded updates that subscribers share.
//! * [`lifecycle`] starts and stops the instance; [`stop_signal`] ends the remaining waits at a
//!   stop, and [`termination`] ends all threads of an instance that is dropped.

pub mod allotments;
pub mod callers;
pub mod candidates;
pub mod compression;
pub mod control;
pub mod coordinator;
pub mod denials;
pub mod dispatch;
pub mod events;
pub mod feed_frames;
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
pub mod liveness;
pub mod members;
pub mod metrics;
pub mod missing_models;
pub mod paths;
pub mod poison;
pub mod pool;
pub mod queries;
pub mod ready;
pub mod relay;
pub mod reply;
pub mod report;
pub mod shared;
pub mod signals;
pub mod stop_signal;
pub mod subscribers;
pub mod successor_places;
pub mod termination;
pub mod updates;
pub mod upstream_exchange;
pub mod versions;

pub use lifecycle::{Instance, Surroundings};
