//! Reads of the store for proofs: by this instance, or by another one if the store does not answer this
//! one.
//!
//! What another instance has read counts like a read of this one if it began after the query arrived
//! there, thus after the request arrived here. The query's number is its own, so that an answer to an
//! earlier one proves nothing, and what is read must not be older than what this instance knew when it
//! asked: another instance may be in an earlier era of the store.

use super::bounded_calls::call_until;
use super::list_reads::{ListRead, read_stored};
use super::peer_reads::PeerRead;
use super::records;
use crate::shared::Shared;
use crossbeam::channel::{Receiver, bounded};
use passway_serving::ports::{SharedStore, StoreRevision};
use passway_serving::versions::{SoftwareVersion, StreamKey};
use passway_types::clock;
use passway_types::prelude::*;
use std::sync::{Mutex, MutexGuard, PoisonError, Weak};

/// Time without an answer of the store after which other instances are asked. A read is repeated beside
/// one that is overdue before that.
const PATIENCE: Duration = Duration::from_millis(250);
/// The same while the store is known not to answer.
const OUTAGE_PATIENCE: Duration = Duration::from_millis(20);
/// Longest read by this instance while the store is known not to answer.
const MAX_OUTAGE_READ_TIME: Duration = Duration::from_millis(100);
/// Longest read for requests.
const MAX_READ_TIME: Duration = Duration::from_millis(900);
/// How long a read without an answer shows that the store does not answer.
const FAILURE_MEMORY: Duration = Duration::from_secs(2);
/// Maximum number of this instance's reads at the same time while the store is known not to answer.
const MAX_OUTAGE_READS: usize = 4;

/// What this instance's reads have shown of the store.
#[derive(Debug, Default)]
struct OwnReads {
    /// The beginning of the latest read that was answered.
    answered_since: Option<Instant>,
    /// When a read has failed or become overdue after that.
    failed_at: Option<Instant>,
    running: usize,
}

impl OwnReads {
    fn record_answer(&mut self, began_at: Instant) {
        self.answered_since = self.answered_since.max(Some(began_at));
        self.failed_at = None;
    }

    fn record_failure(&mut self, began_at: Instant) {
        if self.answered_since.is_none_or(|since| since < began_at) {
            self.failed_at = Some(clock::now());
        }
    }
}

/// What was read, and by whom.
#[derive(Debug)]
pub(super) struct Reading<T> {
    pub(super) value: T,
    /// Whether another instance has read it for this one.
    pub(super) is_by_peer: bool,
}

/// Reads the store, or has other instances read it.
pub(super) struct ProofReads {
    pub(super) store: Arc<dyn SharedStore>,
    /// The instance. Its threads would never end if its own state kept it.
    shared: Weak<Shared>,
    own: Arc<Mutex<OwnReads>>,
}

fn lock(own: &Mutex<OwnReads>) -> MutexGuard<'_, OwnReads> {
    own.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Receives a value that is not `None` until a time.
fn receive_until<T>(receiver: &Receiver<Option<T>>, until: Instant) -> Option<T> {
    receiver.recv_deadline(until).ok().flatten()
}

impl ProofReads {
    pub(super) fn new(shared: &Arc<Shared>, store: &Arc<dyn SharedStore>) -> Self {
        Self {
            store: store.clone(),
            shared: Arc::downgrade(shared),
            own: Arc::default(),
        }
    }

    /// The instance, unless it has ended.
    pub(super) fn shared(&self) -> Option<Arc<Shared>> {
        self.shared.upgrade()
    }

    /// Whether it is known that the store does not answer this instance.
    pub(super) fn is_store_failing(&self) -> bool {
        let shared = self.shared();
        let is_failing = shared.is_some_and(|shared| shared.store_health.is_failing());
        let failed_at = lock(&self.own).failed_at;
        is_failing || failed_at.is_some_and(|at| clock::since(at) < FAILURE_MEMORY)
    }

    /// Records that a read of this instance, begun at `began_at`, has failed.
    pub(super) fn record_failure(&self, began_at: Instant) {
        lock(&self.own).record_failure(began_at);
    }

    /// Reads the list now; `None` without an answer.
    pub(super) fn read_list(&self) -> Option<ListRead> {
        let reading = self.read(
            clock::now() + MAX_READ_TIME,
            |store| read_stored(&**store),
            |shared, until| {
                let floor = shared.versions.known_revision();
                let read = shared.versions.peers.ask(shared, None, floor, until)?;
                Some(ListRead {
                    revision: read.revision,
                    value: read.list.into(),
                    is_by_peer: true,
                })
            },
        )?;
        Some(reading.value)
    }

    /// Reads the recorded versions of a stream after `list` was read; `None` without an answer.
    pub(super) fn read_records(
        &self,
        key: StreamKey,
        list: &ListRead,
        until: Instant,
    ) -> Option<Reading<Vec<SoftwareVersion>>> {
        let floor = list.revision;
        let ask = |shared: &Shared, until| {
            let read = shared.versions.peers.ask(shared, Some(key), floor, until)?;
            Some(recorded_versions(read))
        };
        if list.is_by_peer {
            let value = ask(&*self.shared()?, until)?;
            let is_by_peer = true;
            return Some(Reading { value, is_by_peer });
        }
        let own = move |store: &Arc<dyn SharedStore>| {
            let records = records::read(store, key, until)?;
            Some(records.versions)
        };
        self.read(until, own, ask)
    }

    /// Reads with the own store, and asks others if it does not answer.
    fn read<T: Send + 'static>(
        &self,
        until: Instant,
        own: impl FnOnce(&Arc<dyn SharedStore>) -> Option<T> + Send + 'static,
        ask: impl FnOnce(&Shared, Instant) -> Option<T>,
    ) -> Option<Reading<T>> {
        let by_own = |value| Reading {
            value,
            is_by_peer: false,
        };
        let is_failing = self.is_store_failing();
        let began_at = clock::now();
        let answers = self.start_own(is_failing, began_at, own);
        let (patience, max_time) = if is_failing {
            (OUTAGE_PATIENCE, MAX_OUTAGE_READ_TIME)
        } else {
            (PATIENCE, MAX_READ_TIME)
        };
        if let Some(value) = receive_until(&answers, until.min(began_at + patience)) {
            return Some(by_own(value));
        }
        self.record_failure(began_at);
        if let Some(value) = ask(&*self.shared()?, until) {
            let is_by_peer = true;
            return Some(Reading { value, is_by_peer });
        }
        receive_until(&answers, until.min(began_at + max_time)).map(by_own)
    }

    /// Begins a read of the own store. The channel closes without a value if the read fails.
    fn start_own<T: Send + 'static>(
        &self,
        is_failing: bool,
        began_at: Instant,
        read: impl FnOnce(&Arc<dyn SharedStore>) -> Option<T> + Send + 'static,
    ) -> Receiver<Option<T>> {
        let (sender, answers) = bounded(1);
        let mut own = lock(&self.own);
        if is_failing && own.running >= MAX_OUTAGE_READS {
            return answers;
        }
        own.running += 1;
        drop(own);
        let running = RunningRead(self.own.clone());
        let store = self.store.clone();
        let read_once = move || {
            let value = read(&store);
            if value.is_some() {
                lock(&running.0).record_answer(began_at);
            } else {
                lock(&running.0).record_failure(began_at);
            }
            // The reader may have stopped waiting.
            let _ = sender.send(value);
        };
        if let Err(error) = std::thread::Builder::new().spawn(read_once) {
            log::warn!(error:% = error; "cannot start a thread to read the store for a proof");
        }
        answers
    }

    /// Reads the list for other instances, without asking any.
    pub(super) fn read_list_for_peers(&self, until: Instant) -> Option<ListRead> {
        call_until(&self.store, until, read_stored)?
    }
}

/// A read by this instance that has begun; it ends when this is dropped, also if the call panics.
struct RunningRead(Arc<Mutex<OwnReads>>);

impl Drop for RunningRead {
    fn drop(&mut self) {
        lock(&self.0).running -= 1;
    }
}

fn recorded_versions(read: PeerRead) -> Vec<SoftwareVersion> {
    let names = read.recorded.into_iter();
    names.map(SoftwareVersion::from).collect()
}

/// Whether what another instance has read may be relied on by one that knew `floor` when it asked.
pub(super) fn is_recent(read: StoreRevision, floor: StoreRevision) -> bool {
    read >= floor
}
