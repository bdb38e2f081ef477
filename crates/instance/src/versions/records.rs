//! Records of the versions that began single streams, in the store.

use super::Versions;
use super::bounded_calls::call_until;
use crate::shared::Shared;
use crate::termination::Termination;
use crossbeam::channel::{Receiver, Sender, unbounded};
use passway_serving::ports::{ConditionalWrite, LeaseId, SharedStore, StoreRevision, WriteAnswer};
use passway_serving::versions::{STREAM_RETENTION, SoftwareVersion, StreamKey};
use passway_types::clock;
use passway_types::hash::stable_hash;
use passway_types::prelude::*;

/// Prefix of the records' keys. All instances follow the keys under `passway/`, and nobody follows
/// these.
const RECORD_PREFIX: &str = "passway-streams/";
/// Most records in one write. The store takes 32 entries, and a record is a condition and a write.
const MAX_RECORDS_PER_WRITE: usize = 16;
/// Writes a second of all instances together, in a small fleet.
const FLEET_WRITES_PER_S: f64 = 150.0;
/// Added to that for each instance. The users' stores take 400 writes a second of seven instances and
/// 3,200 of three hundred.
const WRITES_PER_S_PER_INSTANCE: f64 = 0.5;
/// Longest mean interval between two writes of one instance.
const MAX_INTERVAL: Duration = Duration::from_secs(2);
/// Writes that an instance may make in a row after a pause. Most new streams may begin at a few instances of
/// a large fleet; there is a write for 16 streams, so that the sum over all instances follows the streams.
const MAX_BURST: u32 = 16;
/// Shortest interval between two writes of one instance.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Delay before a failed write is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time-to-live of the records' leases. A lease gets new records for half of it.
const LEASE_TTL: Duration = STREAM_RETENTION.saturating_mul(2);

/// A version that may have begun a stream.
#[derive(Debug, Clone)]
struct Record {
    key: StreamKey,
    software: SoftwareVersion,
}

/// An item of the queue.
#[derive(Debug)]
enum Queued {
    Record(Record),
    /// All records that the list of this revision requires were queued before.
    EndOfList(StoreRevision),
}

/// Queues and writes records.
#[derive(Debug)]
pub(super) struct RecordWriter {
    sender: Sender<Queued>,
    receiver: Receiver<Queued>,
}

impl Default for RecordWriter {
    fn default() -> Self {
        // Bounded by the registry: a stream is queued again only once another version may have begun it, or
        // the store has lost records.
        let (sender, receiver) = unbounded();
        Self { sender, receiver }
    }
}

/// The lease of this instance's records.
#[derive(Debug, Clone, Copy)]
struct RecordLease {
    id: LeaseId,
    /// From when on new records get another lease.
    renew_at: Instant,
}

fn stream_prefix(key: StreamKey) -> String {
    format!("{RECORD_PREFIX}{key}/")
}

/// The key of a record. Versions may have long names, so that the key has a hash.
fn record_key(record: &Record) -> String {
    let hash = stable_hash(&[record.software.name().as_bytes()]);
    format!("{}{hash:016x}", stream_prefix(record.key))
}

/// The versions that are recorded for a stream.
#[derive(Debug)]
pub(super) struct RecordsRead {
    /// The revision of the store.
    pub(super) revision: StoreRevision,
    pub(super) versions: Vec<SoftwareVersion>,
}

/// Reads the versions that are recorded for a stream; `None` without an answer by `until`.
pub(super) fn read(
    store: &Arc<dyn SharedStore>,
    key: StreamKey,
    until: Instant,
) -> Option<RecordsRead> {
    let read = call_until(store, until, move |store| {
        store.list_page(&stream_prefix(key), None)
    });
    let page = read?.ok()?;
    let names = page.values.iter().map(|value| {
        let name = String::from_utf8_lossy(&value.value);
        SoftwareVersion::from(&*name)
    });
    Some(RecordsRead {
        revision: page.revision,
        versions: names.collect(),
    })
}

/// Mean interval between two writes of an instance that always has records.
fn mean_interval(instances: usize) -> Duration {
    let instances = u32::try_from(instances.max(1)).unwrap_or(u32::MAX);
    let per_s = FLEET_WRITES_PER_S + f64::from(instances) * WRITES_PER_S_PER_INSTANCE;
    Duration::from_secs_f64(f64::from(instances) / per_s).min(MAX_INTERVAL)
}

/// Spaces the writes of an instance: up to [`MAX_BURST`] in a row, and one each mean interval on average.
#[derive(Debug)]
struct WritePace {
    /// When all writes so far would have been made at the mean interval.
    paced_until: Instant,
}

impl WritePace {
    fn new(now: Instant) -> Self {
        Self { paced_until: now }
    }

    /// Counts a write that has just ended, and returns the pause before the next one.
    fn pause_after_write(&mut self, mean_interval: Duration, now: Instant) -> Duration {
        self.paced_until = self.paced_until.max(now) + mean_interval;
        let burst = mean_interval.saturating_mul(MAX_BURST);
        let ahead = self.paced_until.saturating_duration_since(now);
        ahead.saturating_sub(burst).max(MIN_INTERVAL)
    }
}

impl RecordWriter {
    /// Queues a record.
    pub(super) fn push(&self, key: StreamKey, software: SoftwareVersion) {
        // The channel lives as long as the instance.
        let _ = self.sender.send(Queued::Record(Record { key, software }));
    }

    /// Notes in the queue that all records which the list of this revision requires were queued.
    pub(super) fn push_end_of_list(&self, revision: StoreRevision) {
        let _ = self.sender.send(Queued::EndOfList(revision));
    }

    /// Starts the thread that writes the records. The first record after a pause is written at once.
    pub(super) fn start(shared: &Arc<Shared>, store: &Arc<dyn SharedStore>) {
        let (shared, store) = (shared.clone(), store.clone());
        std::thread::spawn(move || {
            let versions = &shared.versions;
            let receiver = &versions.records.receiver;
            let termination = shared.termination();
            let mut pace = WritePace::new(clock::now());
            let mut lease = None;
            while let Some(first) = termination.receive(receiver) {
                let queued = std::iter::once(first).chain(receiver.try_iter());
                let (records, recorded_list) = next_batch(versions, queued);
                if !records.is_empty() {
                    write_all(&*store, termination, &mut lease, &records);
                }
                if let Some(revision) = recorded_list {
                    versions.set_recorded_list(revision);
                }
                if records.is_empty() {
                    continue;
                }
                let mean_interval = mean_interval(shared.instance_count());
                let pause = pace.pause_after_write(mean_interval, clock::now());
                if !termination.pause(pause) {
                    return;
                }
            }
        });
    }
}

/// The records of the next write, and the list whose records end with them. Streams that were delivered meanwhile
/// do not delay the records of those that were not.
fn next_batch(
    versions: &Versions,
    queued: impl Iterator<Item = Queued>,
) -> (Vec<Record>, Option<StoreRevision>) {
    let mut records = Vec::new();
    for item in queued {
        match item {
            Queued::Record(record) if versions.must_write_record(record.key) => {
                records.push(record);
            }
            Queued::Record(_) => {}
            Queued::EndOfList(revision) => return (records, Some(revision)),
        }
        if records.len() == MAX_RECORDS_PER_WRITE {
            break;
        }
    }
    (records, None)
}

/// Writes records until the store has them, they are useless, or the instance ends.
fn write_all(
    store: &dyn SharedStore,
    termination: &Termination,
    lease: &mut Option<RecordLease>,
    records: &[Record],
) {
    let give_up_at = clock::now() + STREAM_RETENTION;
    let mut batches = vec![records];
    while let Some(batch) = batches.pop().filter(|_| !termination.has_begun()) {
        match write(store, lease, batch) {
            // One of them is stored already, perhaps by a write whose answer was lost.
            Written::Conflict if batch.len() > 1 => batches.extend(batch.chunks(1)),
            Written::Conflict if !batch.iter().all(|record| is_stored(store, record)) => {
                // The lease is of an earlier era of the store.
                *lease = None;
                batches.push(batch);
                let _ = termination.pause(RETRY_DELAY);
            }
            Written::Done | Written::Conflict => {}
            Written::Failed => {
                if clock::now() >= give_up_at {
                    log::warn!(records = batch.len(); "the versions of streams are not recorded, the store does not answer");
                    return;
                }
                batches.push(batch);
                let _ = termination.pause(RETRY_DELAY);
            }
        }
    }
}

fn is_stored(store: &dyn SharedStore, record: &Record) -> bool {
    let page = store.list_page(&record_key(record), None);
    page.is_ok_and(|page| !page.values.is_empty())
}

/// The result of a write of records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Written {
    Done,
    Conflict,
    Failed,
}

fn write(store: &dyn SharedStore, lease: &mut Option<RecordLease>, records: &[Record]) -> Written {
    let now = clock::now();
    lease.take_if(|lease| now >= lease.renew_at);
    if lease.is_none() {
        let granted = store.grant_lease(LEASE_TTL).ok();
        *lease = granted.map(|id| RecordLease {
            id,
            renew_at: now + STREAM_RETENTION,
        });
    }
    let Some(RecordLease { id, .. }) = *lease else {
        return Written::Failed;
    };
    let writes = records.iter().map(|record| ConditionalWrite {
        key: record_key(record),
        expected: StoreRevision::NONE,
        value: Some(record.software.name().as_bytes().to_vec()),
        lease: Some(id),
    });
    match store.write(&writes.collect::<Vec<_>>()) {
        Ok(WriteAnswer::Written(_)) => Written::Done,
        Ok(WriteAnswer::Conflict) => Written::Conflict,
        Ok(WriteAnswer::LeaseEnded) => {
            *lease = None;
            Written::Failed
        }
        Err(_) => Written::Failed,
    }
}
