//! What an instance does first after its machine was suspended: the steady clock stood still, while
//! time went on for everybody else.
//!
//! All tests of the process share one clock, so they run one after the other ([`lock_tests`]).

#[path = "../all/cluster.rs"]
mod cluster;

#[path = "../all/keyed_cluster.rs"]
mod keyed_cluster;

mod caller;
mod dispatcher;
mod holder;
mod keys;
mod stopped;
mod subscriber;

use std::sync::{Mutex, MutexGuard, PoisonError};

static TEST_LOCK: Mutex<()> = Mutex::new(());

/// Blocks the other tests until the guard is dropped.
fn lock_tests() -> MutexGuard<'static, ()> {
    TEST_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}
