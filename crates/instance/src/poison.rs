//! Requests, and parts of prompts, that crash upstreams: what this instance knows of them, exchanges
//! with other instances and stores.
//!
//! Each instance merges what it observes, what the holder of leadership publishes, and what is in
//! the store. The holder stores the requests that are refused, or may be after the next crash, so
//! that a fleet that restarts knows them before it serves.

mod exclusive;
mod probe;

use crate::leadership::LeadershipDriver;
use crate::liveness::CheckedUpstream;
use crate::relay::millis_since;
use crate::shared::{ReportEvent, Shared};
use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use exclusive::ExclusivePermits;
pub use exclusive::{ExclusivePermit, PermitAnswer};
use passway_process::logging::json::DECISION_TARGET;
pub use passway_serving::poison::UNCONFIRMED_TIMEOUT;
use passway_serving::poison::{
    CrashStatus, PoisonList, RunDecision, RunSpan, Suspect, SuspectKey, UpstreamStart,
};
use passway_serving::ports::{ConditionalWrite, SharedStore, StoreRevision, WriteAnswer};
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::dispatch::Dispatch as Body;
use passway_wire::message::{self, Crash, Suspects, UpstreamDisconnect};
use probe::ProbedUpstreams;
pub use probe::REFUSAL_TIMEOUT;
use prost::Message;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Key in the store of the requests and parts that crash upstreams.
pub const KEY: &str = "passway/poison";
/// Maximum number of suspects that are sent or stored, at 150 bytes each. A link of 10 Mbit/s
/// carries them in 60 ms.
const MAX_SENT_SUSPECTS: usize = 512;
/// Maximum number of suspects in a datagram.
const MAX_DATAGRAM_SUSPECTS: usize = 32;
/// Longest time that a report of a crash takes to another instance. A received age may be too low
/// by up to this much.
const MAX_PROPAGATION: Duration = Duration::from_millis(100);
/// Interval of writes of the list, which costs the store at most two calls a second while engines
/// crash.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// The list as stored.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
struct StoredList {
    revision: StoreRevision,
    value: Vec<u8>,
}

/// Changes of suspects that other instances must learn.
#[derive(Debug, Default)]
pub struct Updates {
    /// All changed suspects, for the holder.
    all: Vec<Suspect>,
    /// Those of them that all instances must know at once, or had to before the change.
    broadcast: Vec<Suspect>,
}

/// What this instance knows of requests that crash upstreams.
#[derive(Debug)]
pub struct PoisonTracker {
    list: Mutex<PoisonList>,
    /// Whether the list is empty; each request reads this without a lock.
    is_empty: AtomicBool,
    refused: AtomicUsize,
    blamed_parts: Mutex<Vec<SuspectKey>>,
    /// Whether the fleet's list was received since the process started.
    has_fleet_list: AtomicBool,
    stored: Mutex<StoredList>,
    /// Requests that must run exclusively among their copies.
    exclusive_runs: ExclusivePermits,
    /// Upstreams that broke off and are probed to find out whether they crashed.
    probed_upstreams: ProbedUpstreams,
    /// Wakes the thread that writes the list to the store.
    wakeup_sender: Sender<()>,
    wakeup_receiver: Receiver<()>,
}

impl Default for PoisonTracker {
    fn default() -> Self {
        let (wakeup_sender, wakeup_receiver) = bounded(1);
        Self {
            list: Mutex::default(),
            is_empty: AtomicBool::new(true),
            refused: AtomicUsize::new(0),
            blamed_parts: Mutex::default(),
            has_fleet_list: AtomicBool::new(false),
            stored: Mutex::default(),
            exclusive_runs: ExclusivePermits::default(),
            probed_upstreams: ProbedUpstreams::default(),
            wakeup_sender,
            wakeup_receiver,
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl PoisonTracker {
    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.is_empty.load(Ordering::Acquire)
    }

    /// Number of requests that are refused.
    pub fn refused_count(&self) -> usize {
        self.refused.load(Ordering::Acquire)
    }

    /// Number of parts of prompts that are blamed for crashes in every request.
    pub fn blamed_part_count(&self) -> usize {
        lock(&self.blamed_parts).len()
    }

    /// Whether the fleet's list was received, from the store or from the holder.
    pub fn has_fleet_list(&self) -> bool {
        self.has_fleet_list.load(Ordering::Acquire)
    }

    /// Whether a request with these keys, its own and those of its parts, may run.
    pub fn run_decision(&self, keys: &[SuspectKey]) -> RunDecision {
        lock(&self.list).run_decision(keys, clock::now())
    }

    /// Records that an upstream crashed under a request that was sent at `sent_at`. Returns what to
    /// publish.
    pub fn record_crash(
        &self,
        keys: &[SuspectKey],
        crash: &UpstreamStart,
        sent_at: Instant,
    ) -> Updates {
        self.change(keys, |list, now| {
            list.record_run_crash(keys, crash, sent_at, now)
        })
    }

    /// Changes what is known of some suspects. Returns what to publish.
    fn change(
        &self,
        keys: &[SuspectKey],
        apply: impl FnOnce(&mut PoisonList, Instant) -> Vec<Suspect>,
    ) -> Updates {
        let mut list = lock(&self.list);
        let broadcast_before = keys.iter().copied();
        let broadcast_before: Vec<SuspectKey> = broadcast_before
            .filter(|key| list.needs_broadcast(*key))
            .collect();
        let all = apply(&mut list, clock::now());
        let broadcast = all.iter().filter(|suspect| {
            broadcast_before.contains(&suspect.key) || list.needs_broadcast(suspect.key)
        });
        let broadcast = broadcast.cloned().collect();
        drop(list);
        if !all.is_empty() {
            self.update_counts();
        }
        Updates { all, broadcast }
    }

    /// Records that an upstream broke off under a request, if it is unknown yet whether the upstream
    /// has crashed. Other instances are notified of engines only: any other upstream closes connections
    /// while it serves others.
    pub fn record_break(
        shared: &Arc<Shared>,
        keys: &[SuspectKey],
        upstream: &CheckedUpstream,
        sent_at: Instant,
    ) {
        Self::probe_after_break(shared, keys, upstream, sent_at);
        let (start, now) = (&upstream.start, clock::now());
        let is_new = lock(&shared.poison.list).record_disconnect(start, now, now);
        if is_new && upstream.is_engine {
            shared.report(ReportEvent::StartBroken(start.clone(), now));
            probe::mark_unreachable(shared, upstream);
        }
    }

    /// Probes an upstream that may have crashed under a request that was sent at `sent_at`.
    pub fn probe_after_break(
        shared: &Arc<Shared>,
        keys: &[SuspectKey],
        upstream: &CheckedUpstream,
        sent_at: Instant,
    ) {
        let start = &upstream.start;
        let poison = &shared.poison;
        let updates = poison.change(keys, |list, now| {
            list.record_run_disconnect(keys, start, sent_at, now)
        });
        Self::publish(shared, updates);
        probe::start(shared, keys, upstream);
    }

    /// Records that an upstream that broke off under a request is still running. Returns what to
    /// publish.
    fn record_alive(&self, keys: &[SuspectKey], start: &UpstreamStart) -> Updates {
        self.change(keys, |list, now| {
            let keys = keys.iter();
            keys.filter_map(|key| list.record_alive(*key, start.clone(), now))
                .collect()
        })
    }

    /// Records that all starts of an upstream before `before_ms` have terminated, in Unix
    /// milliseconds by the upstream's clock. Returns what to publish.
    pub fn record_ended(&self, upstream: &str, before_ms: u64) -> Vec<Suspect> {
        if self.is_empty() {
            return Vec::new();
        }
        let update = lock(&self.list).record_terminated(upstream, before_ms, clock::now());
        self.update_counts();
        update
    }

    /// Records that a run with these keys was answered. Returns what to publish.
    pub fn record_answer(&self, keys: &[SuspectKey]) -> Updates {
        self.change(keys, |list, _| {
            let keys = keys.iter();
            keys.filter_map(|key| list.record_answer(*key)).collect()
        })
    }

    /// Merges the upstreams that broke off at other instances, and returns them.
    pub fn merge_disconnects(
        &self,
        received: &[UpstreamDisconnect],
    ) -> Vec<(UpstreamStart, Instant)> {
        let now = clock::now();
        let mut list = lock(&self.list);
        let disconnected = received.iter().map(|received| {
            let start = UpstreamStart {
                upstream: received.upstream.as_str().into(),
                started_at_ms: received.started_at_ms,
            };
            let at = now.checked_sub(Duration::from_millis(received.ms_ago));
            (start, at.unwrap_or(now))
        });
        let disconnected: Vec<_> = disconnected.collect();
        for (start, at) in &disconnected {
            list.record_disconnect(start, *at, now);
        }
        disconnected
    }

    /// Reports updates of suspects to the holder, which publishes those that all instances must know.
    /// All known instances receive these directly, too: the next run may be the last one allowed, at
    /// whichever instance it happens, and the holder may be slow or terminated.
    pub fn publish(shared: &Shared, updates: Updates) {
        for chunk in updates.broadcast.chunks(MAX_DATAGRAM_SUSPECTS) {
            let suspects = encode(chunk.to_vec());
            for address in shared.other_instances() {
                shared
                    .dispatch
                    .send(address, Body::Suspects(suspects.clone()));
            }
        }
        for update in updates.all {
            shared.report(ReportEvent::Suspect(update));
        }
    }

    /// Merges the fleet's list from the holder or the store. Returns everything known about those
    /// received suspects that all instances must know, or had to before.
    pub fn merge_fleet_list(&self, received: Suspects) -> Vec<Suspect> {
        self.has_fleet_list.store(true, Ordering::Release);
        self.merge(received)
    }

    /// Merges what another instance sent, which is not the fleet's whole list.
    pub fn merge_from_peer(&self, received: Suspects) {
        self.merge(received);
    }

    fn merge(&self, received: Suspects) -> Vec<Suspect> {
        let received: Vec<Suspect> = received.suspects.into_iter().filter_map(decode).collect();
        if received.is_empty() {
            return received;
        }
        let keys: Vec<SuspectKey> = received.iter().map(|suspect| suspect.key).collect();
        let mut list = lock(&self.list);
        let needed_broadcast: Vec<bool> =
            keys.iter().map(|key| list.needs_broadcast(*key)).collect();
        list.merge(received, clock::now());
        let concerned = keys.iter().zip(needed_broadcast);
        let concerned = concerned.filter(|(key, needed)| *needed || list.needs_broadcast(**key));
        let known = concerned.filter_map(|(key, _)| list.get(*key));
        let known = known.cloned().collect();
        drop(list);
        self.update_counts();
        known
    }

    /// Encodes all suspects.
    pub fn suspects(&self) -> Suspects {
        encode(lock(&self.list).suspects(1))
    }

    /// Encodes the suspects that all instances must know.
    pub fn suspects_to_broadcast(&self) -> Suspects {
        encode(lock(&self.list).suspects_to_broadcast())
    }

    /// Records the list that is in the store now; empty if the key is missing.
    pub fn apply_stored(&self, revision: StoreRevision, value: &[u8]) {
        *lock(&self.stored) = StoredList {
            revision,
            value: value.to_vec(),
        };
        match Suspects::decode(value) {
            Ok(received) => drop(self.merge_fleet_list(received)),
            Err(error) => {
                log::warn!(error:% = error; "cannot decode the stored list of refused requests");
            }
        }
        self.notify_writer();
    }

    /// Clears the list because an operator has removed it from the store: its requests may run
    /// again. Returns what to publish.
    pub fn clear_stored(&self) -> Vec<Suspect> {
        *lock(&self.stored) = StoredList::default();
        let cleared = lock(&self.list).clear_persisted();
        log::info!(target: DECISION_TARGET, cleared = cleared.len(); "the list of poison requests was cleared");
        self.update_counts();
        cleared
    }

    /// Wakes the thread that writes the list, to check whether the stored list is current.
    pub fn notify_writer(&self) {
        match self.wakeup_sender.try_send(()) {
            // If the channel is full, a wakeup is already pending.
            Ok(()) | Err(TrySendError::Full(())) => {}
            Err(TrySendError::Disconnected(())) => log::error!("cannot store poison requests"),
        }
    }

    fn update_counts(&self) {
        let mut list = lock(&self.list);
        let refused = list.refused_count();
        let parts = list.blamed_parts(clock::now());
        self.is_empty.store(list.is_empty(), Ordering::Release);
        let blamed = parts.iter().filter_map(|key| list.get(*key));
        let crashes: Vec<String> = blamed.map(describe).collect();
        drop(list);
        if std::mem::replace(&mut *lock(&self.blamed_parts), parts.clone()) != parts {
            log::info!(target: DECISION_TARGET, blamed = parts.len(), parts:? = parts, crashes:? = crashes;
                "the parts of prompts that are considered the cause of crashes changed");
        }
        if self.refused.swap(refused, Ordering::AcqRel) != refused {
            log::info!(target: DECISION_TARGET, refused = refused; "number of refused poison requests changed");
        }
        self.notify_writer();
    }

    /// The write that makes the stored list current; `None` if it is.
    fn pending_write(&self) -> Option<ConditionalWrite> {
        let mut suspects = lock(&self.list).persisted_suspects();
        // The age of a run would make the value differ at each check.
        for suspect in &mut suspects {
            suspect.runs.clear();
        }
        let value = encode(suspects).encode_to_vec();
        let stored = lock(&self.stored);
        (stored.value != value).then(|| ConditionalWrite {
            key: KEY.to_owned(),
            expected: stored.revision,
            value: Some(value),
            lease: None,
        })
    }

    /// Starts the thread that writes the list to the store while this instance is the holder of
    /// leadership.
    pub fn start_writer(
        shared: &Arc<Shared>,
        leadership: &Arc<LeadershipDriver>,
        store: &Arc<dyn SharedStore>,
    ) {
        let (shared, leadership, store) = (shared.clone(), leadership.clone(), store.clone());
        std::thread::spawn(move || {
            let poison = &shared.poison;
            let termination = shared.termination();
            let mut was_holder = false;
            while termination.receive(&poison.wakeup_receiver).is_some() {
                loop {
                    let is_holder = leadership.term().is_some();
                    was_holder |= is_holder;
                    // A holder that stops has released its term, but may know of a crash that
                    // nobody else will write. The write is conditional on the stored list.
                    let may_write = is_holder || was_holder && shared.is_stopping();
                    if !may_write {
                        break;
                    }
                    let Some(write) = poison.pending_write() else {
                        break;
                    };
                    let answer = store.write(std::slice::from_ref(&write));
                    if let (Ok(WriteAnswer::Written(revision)), Some(value)) = (answer, write.value)
                    {
                        let mut stored = lock(&poison.stored);
                        // The watch may have returned a later state meanwhile.
                        if revision > stored.revision {
                            *stored = StoredList { revision, value };
                        }
                    }
                    // The pause collects further reports of a crash into one write. After a failed
                    // write, the watch returns the stored list meanwhile, or the store recovers.
                    if !termination.pause(WRITE_INTERVAL) {
                        return;
                    }
                }
            }
        });
    }
}

/// Describes the crashes of a suspect for logs: upstream, start, what the crash says, and how many
/// milliseconds ago the run was sent and broke off.
fn describe(suspect: &Suspect) -> String {
    let now = clock::now();
    let crashes = suspect.crashes.iter().map(|(crash, status)| {
        let run = suspect.runs.get(crash);
        let times = run.map_or_else(
            || "at an unknown time".to_owned(),
            |run| {
                let sent_ms = millis_since(run.sent_at, now);
                let broke_ms = millis_since(run.disconnected_at, now);
                format!("sent {sent_ms} ms ago, broke off {broke_ms} ms ago")
            },
        );
        let (upstream, started_at_ms) = (&crash.upstream, crash.started_at_ms);
        format!("{upstream} {started_at_ms} {status:?} {times}")
    });
    crashes.collect::<Vec<_>>().join("; ")
}

/// Encodes requests; if there are too many, only the first ones.
pub fn encode(suspects: Vec<Suspect>) -> Suspects {
    let suspects = suspects.into_iter().take(MAX_SENT_SUSPECTS);
    Suspects {
        suspects: suspects.map(encode_one).collect(),
        disconnects: Vec::new(),
    }
}

/// Encodes upstreams that broke off.
pub fn encode_disconnects(disconnected: &[(UpstreamStart, Instant)]) -> Vec<UpstreamDisconnect> {
    let now = clock::now();
    let disconnected = disconnected.iter().map(|(start, at)| UpstreamDisconnect {
        upstream: start.upstream.to_string(),
        started_at_ms: start.started_at_ms,
        ms_ago: millis_since(*at, now),
    });
    disconnected.collect()
}

fn encode_one(suspect: Suspect) -> message::Suspect {
    let now = clock::now();
    let crashes = suspect.crashes.into_iter().map(|(crash, blame)| {
        let run = suspect.runs.get(&crash);
        Crash {
            upstream: crash.upstream.to_string(),
            started_at_ms: crash.started_at_ms,
            status: match blame {
                CrashStatus::Counted => 0,
                CrashStatus::Explained => 1,
                CrashStatus::Cleared => 2,
                CrashStatus::Unconfirmed => 3,
            },
            sent_ms_ago: run.map(|run| millis_since(run.sent_at, now)),
            disconnected_ms_ago: run.map(|run| millis_since(run.disconnected_at, now)),
        }
    });
    message::Suspect {
        digest: suspect.key.to_bytes(),
        crashes: crashes.collect(),
    }
}

/// Decodes a suspect; `None` if another build sent something else.
fn decode(received: message::Suspect) -> Option<Suspect> {
    let key = SuspectKey::from_bytes(&received.digest)?;
    let now = clock::now();
    let ago = |ms: u64| now.checked_sub(Duration::from_millis(ms)).unwrap_or(now);
    let mut runs = BTreeMap::new();
    let crashes = received.crashes.into_iter().map(|crash| {
        let times = crash.sent_ms_ago.zip(crash.disconnected_ms_ago);
        let start = UpstreamStart {
            upstream: crash.upstream.into(),
            started_at_ms: crash.started_at_ms,
        };
        let blame = match crash.status {
            0 => CrashStatus::Counted,
            1 => CrashStatus::Explained,
            3 => CrashStatus::Unconfirmed,
            _ => CrashStatus::Cleared,
        };
        if let Some((sent_ms, broke_ms)) = times {
            let run = RunSpan::reported(ago(sent_ms), ago(broke_ms), MAX_PROPAGATION);
            runs.insert(start.clone(), run);
        }
        (start, blame)
    });
    let crashes = crashes.collect();
    Some(Suspect { key, crashes, runs })
}
