//! Reads of the list of versions, shared by the requests that wait for one.

use super::KEY;
use super::proof_reads::ProofReads;
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
    /// Whether another instance has read it for this one.
    pub(super) is_by_peer: bool,
}

/// A read is repeated beside one that has had no answer for this long: the store answers in 4 ms, and in
/// 0.2 s on its worst days.
const READ_OVERDUE: Duration = Duration::from_millis(200);
/// Maximum number of reads at the same time: one, and those that are overdue until the store's client
/// gives them up.
const MAX_READS: usize = 4;

#[derive(Debug, Default)]
struct State {
    /// Number of reads that have begun.
    begun: u64,
    /// Number of the latest read, in the order of their beginnings, that has ended.
    ended: u64,
    /// Number of reads that have begun and not ended.
    running: usize,
    /// When the latest read has begun or will begin.
    last_began_at: Option<Instant>,
    /// The result of the read `ended`; `None` if the store did not answer.
    result: Option<ListRead>,
}

impl State {
    /// When the latest read is overdue; `None` if it has ended.
    fn overdue_at(&self) -> Option<Instant> {
        let is_running = self.ended < self.begun;
        let began_at = self.last_began_at.filter(|_| is_running);
        began_at.map(|at| at + READ_OVERDUE)
    }
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

/// A read that has begun. It ends when this is dropped, also if the call to the store panics or no thread
/// can be started for it.
struct RunningRead {
    shared: Arc<Shared>,
    number: u64,
    result: Option<ListRead>,
}

impl Drop for RunningRead {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state.running -= 1;
        // The result of a later read is newer.
        if self.number > state.ended {
            state.ended = self.number;
            state.result = self.result.take();
        }
        drop(state);
        self.shared.has_ended.notify_all();
    }
}

impl ListReads {
    /// Returns the result of a read that began after this call, and at least an interval after the read
    /// before; `None` if the store has not answered by `until`.
    pub(super) fn read(
        &self,
        reads: &Arc<ProofReads>,
        interval: Duration,
        until: Instant,
    ) -> Option<ListRead> {
        let mut state = self.0.state();
        let wanted = state.begun + 1;
        loop {
            if state.ended >= wanted {
                return state.result.clone();
            }
            let now = clock::now();
            let overdue_at = state.overdue_at();
            let is_due = overdue_at.is_none_or(|at| now >= at);
            let may_begin = is_due && state.running < MAX_READS;
            if may_begin {
                state.begun += 1;
                state.running += 1;
                // A read that follows another one soon waits, so that many instances whose callers
                // return at once do not take all reads of the store.
                let earliest_at = state.last_began_at.map(|at| at + interval);
                let pause = earliest_at.map(|at| at.saturating_duration_since(now));
                let pause = pause.unwrap_or_default();
                state.last_began_at = Some(now + pause);
                let running = RunningRead {
                    shared: self.0.clone(),
                    number: state.begun,
                    result: None,
                };
                drop(state);
                start_read(running, reads.clone(), pause);
                state = self.0.state();
                continue;
            }
            if now >= until {
                return None;
            }
            // The end of a read wakes all that wait, so that one that may begin by then begins.
            let next_at = overdue_at.filter(|_| !is_due).unwrap_or(until).min(until);
            let timeout = next_at.saturating_duration_since(now);
            let after_wait = self.0.has_ended.wait_timeout(state, timeout);
            state = after_wait.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn start_read(running: RunningRead, reads: Arc<ProofReads>, pause: Duration) {
    let read = move || {
        let mut running = running;
        std::thread::sleep(pause);
        running.result = reads.read_list();
    };
    if let Err(error) = std::thread::Builder::new().spawn(read) {
        log::warn!(error:% = error; "cannot start a thread to read the list of software versions");
    }
}

/// Reads the list from the store now; `None` without an answer.
pub(super) fn read_stored(store: &dyn SharedStore) -> Option<ListRead> {
    let page = store.list_page(KEY, None).ok()?;
    let value = page.values.into_iter().find(|value| value.key == KEY);
    Some(value.map_or_else(
        || ListRead {
            revision: StoreRevision::new(page.revision.era(), 0),
            value: Bytes::new(),
            is_by_peer: false,
        },
        |value| ListRead {
            revision: value.revision,
            value: value.value,
            is_by_peer: false,
        },
    ))
}
