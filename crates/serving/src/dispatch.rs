//! Chooses the engine for a request in a fleet so large that no single instance sees the engines'
//! load.
//!
//! With 295 instances in front of 256 engines of 12 slots, each instance receives three requests a
//! second, so its own requests say nothing about the engines' load: engines shed a quarter of all
//! arrivals, and the busiest had eleven times the mean load. So each engine has one *dispatcher*,
//! an instance that knows every run on the engine. An instance asks the dispatcher of one of the
//! engines that could serve a request, and the answer names the least loaded of that dispatcher's
//! engines. The request itself goes directly to the engine, which may still refuse it.
//!
//! [`Dispatchers`] maps engines to dispatchers by rendezvous hashing over a list that the holder
//! publishes, without agreement. At worst, two instances that briefly dispatch for the same engine
//! overload it. [`RunTable`] is the state of a dispatcher: the runs that it has granted and those
//! that instances report, each for a short time unless reported again. A dispatcher that takes
//! over knows all runs within one such time.
//!
//! This module uses no I/O and no clock.

mod backups;
mod begin_forecast;
mod dispatcher;
mod dispatchers;
mod overtakes;
mod peer_engines;
mod returns;
mod run_table;
mod share_decision;
mod shares;
mod wait_forecast;
mod wait_progress;
mod wait_queue;

pub use backups::{Backups, CopiedRun, MissingBackup, copy_limit_tokens};
pub use begin_forecast::{BeginForecast, ExpectedBegin, FreeRate};
pub use dispatcher::{
    Decision, Dispatcher, DispatcherEngines, DispatcherReport, EngineReport, EngineRequest, Promise,
};
pub use dispatchers::Dispatchers;
pub use returns::{MAX_RETRY_AFTER, RetryTime, ReturnTable};
pub use run_table::RunTable;
pub use share_decision::{ShareDecision, ShareInputs, UsableSlots};
pub use shares::{MAX_WORKSPACES, ShareLevel, WorkspaceShares, request_tokens};
pub use wait_forecast::{RefusedWait, WaitOutcome};
pub use wait_queue::{FreeSlot, QueuePosition, WaitQueue, Waiter};

use passway_types::prelude::*;
use std::net::SocketAddr;

/// Engines per dispatcher. Half of a busy model's replicas may be assigned to one dispatcher by
/// chance, so each needs many engines. It is small enough that a thousand requests a second, with
/// an answer and an end message each, make some 400 messages a second for each of eight
/// dispatchers.
const ENGINES_PER_DISPATCHER: usize = 32;
/// In a smaller fleet each instance sees enough load itself: a sixteenth of the load of an engine
/// with twelve slots is nearly one request.
const MIN_INSTANCES: usize = 16;
/// Interval between two reports of an instance on its runs.
pub const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// An engine may be overfilled with the most urgent requests by its slots divided by this number.
/// It admits them before all waiting requests, so they wait for the next free slots: one or two
/// hundred milliseconds with twelve slots and runs of 1.5 s.
const URGENT_OVERFILL_DIVISOR: u32 = 3;

/// The load to compare for a request on an engine with this number of slots.
pub fn effective_load(load: u32, slots: u32, is_urgent: bool) -> u32 {
    if is_urgent {
        load.saturating_sub(slots / URGENT_OVERFILL_DIVISOR)
    } else {
        load
    }
}

/// The number of an attempt, unique at the instance that makes it.
pub type RunId = u64;

/// How many dispatchers a fleet needs; 0 if it is small.
pub fn required_dispatchers(instances: usize, engines: usize) -> usize {
    if instances < MIN_INSTANCES {
        return 0;
    }
    engines.div_ceil(ENGINES_PER_DISPATCHER).min(instances / 2)
}

/// Identifies a run by its instance and its number there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RunKey {
    /// The address of the instance that sends the run.
    pub instance: SocketAddr,
    /// The run's number at that instance.
    pub id: RunId,
}
