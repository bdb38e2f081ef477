//! Answers to instances that the store does not answer: this instance reads the store for them.
//!
//! All queries for the list that have arrived are answered by one read, which begins after them.

use super::proof_reads::ProofReads;
use super::records;
use crate::shared::Shared;
use passway_serving::versions::{SoftwareVersion, StreamKey};
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::dispatch::Dispatch as Body;
use passway_wire::store_reads::{StoreReadAnswer, StoreReadQuery, StoreReadResult};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Longest read for another instance, which does not wait longer.
const MAX_READ_TIME: Duration = Duration::from_millis(300);
/// Maximum number of reads of the list at the same time.
const MAX_LIST_READS: usize = 1;
/// Maximum number of reads of records at the same time.
const MAX_RECORD_READS: usize = 4;
/// Maximum number of queries of one kind that wait; further ones are dropped.
const MAX_WAITING: usize = 1_024;

/// A query that has no answer yet.
#[derive(Debug, Clone, Copy)]
struct Query {
    from: SocketAddr,
    id: u64,
    /// The stream; `None` for the list.
    stream: Option<StreamKey>,
}

/// Queries of one kind.
#[derive(Debug, Default)]
struct Queue {
    waiting: VecDeque<Query>,
    /// Number of threads that answer them.
    readers: usize,
}

/// The queries of other instances.
#[derive(Debug, Default)]
pub(super) struct PeerAnswers {
    lists: Mutex<Queue>,
    records: Mutex<Queue>,
}

fn lock(queue: &Mutex<Queue>) -> MutexGuard<'_, Queue> {
    queue.lock().unwrap_or_else(PoisonError::into_inner)
}

impl PeerAnswers {
    fn queue(&self, is_list: bool) -> &Mutex<Queue> {
        if is_list { &self.lists } else { &self.records }
    }

    /// Takes the queries that one read answers, or ends a reader.
    fn take(&self, is_list: bool) -> Vec<Query> {
        let mut queue = lock(self.queue(is_list));
        let count = if is_list { queue.waiting.len() } else { 1 };
        let count = count.min(queue.waiting.len());
        if count == 0 {
            queue.readers -= 1;
        }
        queue.waiting.drain(..count).collect()
    }

    /// Answers a query, at once if the store is known not to answer.
    pub(super) fn answer(
        &self,
        shared: &Shared,
        reads: &Arc<ProofReads>,
        from: SocketAddr,
        query: &StoreReadQuery,
    ) {
        let stream = StreamKey::from_bytes(&query.stream);
        let is_list = query.stream.is_empty();
        if !is_list && stream.is_none() {
            return;
        }
        let id = query.id;
        if reads.is_store_failing() {
            send(shared, Query { from, id, stream }, None);
            return;
        }
        let max_readers = if is_list {
            MAX_LIST_READS
        } else {
            MAX_RECORD_READS
        };
        let mut queue = lock(self.queue(is_list));
        let is_repeated = |waiting: &Query| waiting.from == from && waiting.id == id;
        if queue.waiting.len() >= MAX_WAITING || queue.waiting.iter().any(is_repeated) {
            return;
        }
        queue.waiting.push_back(Query { from, id, stream });
        if queue.readers >= max_readers {
            return;
        }
        queue.readers += 1;
        drop(queue);
        let reads = reads.clone();
        let answer_all = move || answer_waiting(&reads, is_list);
        if let Err(error) = std::thread::Builder::new().spawn(answer_all) {
            log::warn!(error:% = error; "cannot start a thread to read the store for other instances");
            lock(self.queue(is_list)).readers -= 1;
        }
    }
}

/// Answers queries until none waits.
fn answer_waiting(reads: &Arc<ProofReads>, is_list: bool) {
    while let Some(shared) = reads.shared() {
        let queries = shared.versions.answers.take(is_list);
        let Some(first) = queries.first() else {
            return;
        };
        let began_at = clock::now();
        let result = read(reads, first.stream, began_at + MAX_READ_TIME);
        if result.is_none() {
            reads.record_failure(began_at);
        }
        for query in &queries {
            send(&shared, *query, result.clone());
        }
    }
}

fn read(reads: &ProofReads, stream: Option<StreamKey>, until: Instant) -> Option<StoreReadResult> {
    if let Some(key) = stream {
        let records = records::read(&reads.store, key, until)?;
        let names = records.versions.iter().map(SoftwareVersion::name);
        return Some(StoreReadResult {
            revision: records.revision.packed(),
            list: Vec::new(),
            recorded: names.map(ToOwned::to_owned).collect(),
        });
    }
    let list = reads.read_list_for_peers(until)?;
    Some(StoreReadResult {
        revision: list.revision.packed(),
        list: list.value.to_vec(),
        recorded: Vec::new(),
    })
}

fn send(shared: &Shared, query: Query, result: Option<StoreReadResult>) {
    let answer = StoreReadAnswer {
        id: query.id,
        instance: shared.settings.instance.to_string(),
        result,
    };
    shared
        .dispatch
        .send(query.from, Body::StoreReadAnswer(answer));
}
