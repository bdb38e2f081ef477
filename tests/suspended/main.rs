//! What an instance does first when its machine has been suspended: the steady clock stood still,
//! and everybody else's time went on.
//!
//! The clock is the process's, so the tests run one after the other ([`alone`]).

#[path = "../all/site.rs"]
mod site;

#[path = "../all/closed_site.rs"]
mod closed_site;

mod caller;
mod dispatcher;
mod holder;
mod keys;
mod stopped;
mod subscriber;

use std::sync::{Mutex, MutexGuard, PoisonError};

static TEST_LOCK: Mutex<()> = Mutex::new(());

/// Keeps the other tests waiting while it lives.
fn lock_tests() -> MutexGuard<'static, ()> {
    TEST_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}
