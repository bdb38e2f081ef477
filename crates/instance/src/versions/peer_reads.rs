//! Queries to other instances that read the store for this one, which the store does not answer.
//!
//! The holder of leadership is asked first, since it usually reaches the store, then up to two others.
//! While nobody reaches the store, few queries are sent: what one has found out serves all requests that
//! arrive soon after it.

use super::proof_reads::is_recent;
use crate::queries::PendingQueries;
use crate::shared::Shared;
use passway_process::logging::json::DECISION_TARGET;
use passway_serving::ports::StoreRevision;
use passway_serving::versions::StreamKey;
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::dispatch::Dispatch as Body;
use passway_wire::store_reads::{StoreReadAnswer, StoreReadQuery};
use rand::seq::IteratorRandom;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Time to wait for the answer of one instance: the store takes 0.2 s on its worst days. An instance that
/// the store does not answer says so at once.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of instances that are asked beside the holder.
const OTHER_PEERS: usize = 2;
/// Number of times in a row that nobody must answer to count as unable to read the list.
const SILENCES: u32 = 2;
/// After nobody could read the list, nobody is asked for this long.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(200);

/// What another instance has read.
#[derive(Debug)]
pub(super) struct PeerRead {
    pub(super) revision: StoreRevision,
    pub(super) list: Vec<u8>,
    pub(super) recorded: Vec<String>,
}

/// Why another instance has not read anything.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Unread {
    /// It has not answered.
    Silent,
    /// It says that it cannot, or its answer proves nothing.
    Refused,
}

/// What the queries for the list have shown.
#[derive(Debug, Default)]
struct State {
    /// Until when nobody is asked.
    paused_until: Option<Instant>,
    /// Number of times in a row that nobody has answered.
    silences: u32,
}

/// Queries to other instances.
#[derive(Debug, Default)]
pub(super) struct PeerReads {
    pending: PendingQueries<StoreReadAnswer>,
    state: Mutex<State>,
}

/// The other instances to ask, in this order.
fn peers_to_ask(shared: &Shared) -> Vec<(InstanceId, SocketAddr)> {
    let this_instance = &shared.settings.instance;
    let holder = shared.leadership().and_then(|driver| driver.holder());
    let holder = holder.filter(|holder| holder.instance != *this_instance);
    let mut others: BTreeMap<InstanceId, SocketAddr> = shared.members().clone();
    let dispatchers = shared.dispatch.dispatcher_list().into_iter();
    others.extend(dispatchers.map(|one| (one.instance, one.address)));
    others.remove(this_instance);
    if let Some(holder) = &holder {
        others.remove(&holder.instance);
    }
    let others = others.into_iter().sample(&mut rand::rng(), OTHER_PEERS);
    let holder = holder.map(|holder| (holder.instance, holder.address));
    holder.into_iter().chain(others).collect()
}

impl State {
    /// Records whether the list was read, and otherwise whether nobody has answered.
    fn record(&mut self, is_read: bool, all_silent: bool) {
        self.silences = if all_silent { self.silences + 1 } else { 0 };
        let is_unable = !is_read && (!all_silent || self.silences >= SILENCES);
        self.paused_until = is_unable.then(|| clock::now() + PAUSE_AFTER_FAILURE);
    }
}

impl PeerReads {
    /// Has another instance read the list, or the recorded versions of `stream`. What is older than
    /// `floor` counts as no answer. `None` without an answer by `until`.
    pub(super) fn ask(
        &self,
        shared: &Shared,
        stream: Option<StreamKey>,
        floor: StoreRevision,
        until: Instant,
    ) -> Option<PeerRead> {
        if stream.is_none() && self.is_unable() {
            return None;
        }
        let peers = peers_to_ask(shared);
        let mut outcomes = Vec::new();
        let read = peers.iter().enumerate().find_map(|(number, peer)| {
            // A peer has just read the list, so that the last one that is asked for records lives.
            let is_last = number + 1 == peers.len();
            let may_wait = stream.is_some() && is_last;
            let answer_until = clock::now() + ANSWER_TIMEOUT;
            let until = if may_wait {
                until
            } else {
                until.min(answer_until)
            };
            let read = self.query(shared, peer, stream, floor, until);
            outcomes.push((peer.0.clone(), read.as_ref().err().copied()));
            read.ok()
        });
        log::info!(target: DECISION_TARGET, outcomes:? = outcomes, is_list = stream.is_none(),
            floor:% = floor, revision:? = read.as_ref().map(|read| read.revision);
            "asked other instances to read the store");
        if stream.is_none() {
            let is_silent = |(_, outcome): &(_, Option<Unread>)| *outcome == Some(Unread::Silent);
            let all_silent = !outcomes.is_empty() && outcomes.iter().all(is_silent);
            self.state().record(read.is_some(), all_silent);
        }
        read
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether it is known that no other instance can read the list now.
    pub(super) fn is_unable(&self) -> bool {
        let paused_until = self.state().paused_until;
        paused_until.is_some_and(|at| clock::now() < at)
    }

    fn query(
        &self,
        shared: &Shared,
        (name, address): &(InstanceId, SocketAddr),
        stream: Option<StreamKey>,
        floor: StoreRevision,
        until: Instant,
    ) -> Result<PeerRead, Unread> {
        let timeout = until.saturating_duration_since(clock::now());
        if timeout.is_zero() {
            return Err(Unread::Silent);
        }
        let id = rand::random();
        let query = Body::StoreReadQuery(StoreReadQuery {
            id,
            stream: stream.map_or_else(Vec::new, |key| key.as_bytes().to_vec()),
        });
        let send = || shared.dispatch.send(*address, query.clone());
        let answer = self.pending.send_and_wait_for(id, timeout, send);
        let answer = answer.ok_or(Unread::Silent)?;
        // Another process may have got the address.
        let is_asked_one = answer.instance == **name;
        let result = answer.result.filter(|_| is_asked_one);
        let result = result.ok_or(Unread::Refused)?;
        let revision = StoreRevision::from_packed(result.revision);
        if !is_recent(revision, floor) {
            return Err(Unread::Refused);
        }
        Ok(PeerRead {
            revision,
            list: result.list,
            recorded: result.recorded,
        })
    }

    /// Receives the answer to a query of this instance.
    pub(super) fn receive(&self, answer: StoreReadAnswer) {
        self.pending.deliver_answer(answer.id, answer);
    }
}
