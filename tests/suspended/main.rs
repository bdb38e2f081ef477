//! What an instance does first when its machine has been suspended: the steady clock stood still,
//! and everybody else's time went on.
//!
//! The clock is the process's, so the tests run one after the other ([`alone`]).

#[path = "../all/cluster.rs"]
mod cluster;

#[path = "../all/keyed_cluster.rs"]
mod keyed_cluster;

mod caller;
mod dispatcher;
mod holder;
mod keys;
mod listener;
mod stopped;

use std::sync::{Mutex, MutexGuard, PoisonError};

static ALONE: Mutex<()> = Mutex::new(());

/// Keeps the other tests waiting while it lives.
fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}
