//! Reads of the list of versions, shared by the requests that wait for one.

use super::KEY;
use bytes::Bytes;
use passway_serving::ports::{SharedStore, StoreRevision};
use passway_types::clock;
use passway_types::prelude::*;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

/// The list as the store returned it.
#[derive(Debug, Clone)]
pub(super) struct ListRead {
    /// The revision of the key; of an era in which the key is missing, the era's first one.
    pub(super) revision: StoreRevision,
    /// The list; empty if the key is missing.
    pub(super) value: Bytes,
}

#[derive(Debug, Default)]
struct State {
    /// Number of reads that have begun.
    begun: u64,
    /// Number of the last read that has ended.
    ended: u64,
    is_reading: bool,
    last_began_at: Option<Instant>,
    /// The result of the last read; `None` if the store did not answer.
    result: Option<ListRead>,
}

/// Reads of the list. A read serves all requests that arrived before it began.
#[derive(Debug, Default, Clone)]
pub(super) struct ListReads(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    has_ended: Condvar,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ListReads {
    /// Returns the result of a read that began after this call, and at least an interval after the read
    /// before; `None` if the store has not answered by `until`.
    pub(super) fn read(
        &self,
        store: &Arc<dyn SharedStore>,
        interval: Duration,
        until: Instant,
    ) -> Option<ListRead> {
        let mut state = self.0.state();
        let wanted = state.begun + 1;
        loop {
            if state.ended >= wanted {
                return state.result.clone();
            }
            if !state.is_reading {
                state.is_reading = true;
                state.begun += 1;
                let (reads, store) = (self.clone(), store.clone());
                // A read that follows another one soon waits, so that many instances whose callers
                // return at once do not take all reads of the store.
                let earliest_at = state.last_began_at.map(|at| at + interval);
                let pause = earliest_at.map(|at| at.saturating_duration_since(clock::now()));
                let pause = pause.unwrap_or_default();
                state.last_began_at = Some(clock::now() + pause);
                std::thread::spawn(move || reads.run(&*store, pause));
            }
            let timeout = until.saturating_duration_since(clock::now());
            if timeout.is_zero() {
                return None;
            }
            let after_wait = self.0.has_ended.wait_timeout(state, timeout);
            state = after_wait.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn run(&self, store: &dyn SharedStore, pause: Duration) {
        std::thread::sleep(pause);
        let result = read_list(store);
        let mut state = self.0.state();
        state.is_reading = false;
        state.ended = state.begun;
        state.result = result;
        drop(state);
        self.0.has_ended.notify_all();
    }
}

fn read_list(store: &dyn SharedStore) -> Option<ListRead> {
    let page = store.list_page(KEY, None).ok()?;
    let value = page.values.into_iter().find(|value| value.key == KEY);
    Some(value.map_or_else(
        || ListRead {
            revision: StoreRevision::new(page.revision.era(), 0),
            value: Bytes::new(),
        },
        |value| ListRead {
            revision: value.revision,
            value: value.value,
        },
    ))
}
