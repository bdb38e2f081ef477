//! The software versions that began streams: what this instance knows, and what the store keeps for
//! an instance that knows nothing.
//!
//! Three things are kept ([`passway_serving::versions`]):
//!
//! * The list of versions, under one key that all instances follow. A version is added before any stream
//!   begins there, by the holder of leadership or, if that takes too long, by any instance.
//! * Records of single streams, while the list does not prove their version. An instance writes the
//!   record once the first event has arrived, many streams at a time. A stream whose record was not
//!   written when all instances were lost cannot be resumed.
//! * The streams that this instance has begun, in its memory.

mod bounded_calls;
mod known_list;
mod list_reads;
mod origins;
mod peer_answers;
mod peer_reads;
mod proof_reads;
mod records;
mod registry;
mod stored_splits;

use crate::leadership::LeadershipDriver;
use crate::shared::Shared;
use bounded_calls::call_until;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use known_list::{KnownList, decode, encode};
use list_reads::{ListRead, ListReads, read_stored};
use passway_process::logging::json::DECISION_TARGET;
use passway_serving::halls::AllowedRegions;
use passway_serving::poison::UpstreamStart;
use passway_serving::ports::{ConditionalWrite, SharedStore, StoreEra, StoreRevision, WriteAnswer};
use passway_serving::splits::{SplitHistory, StreamOrigin};
use passway_serving::upstreams::RestartedUpstream;
use passway_serving::versions::{
    IdentifiedStart, ProofSource, ProvenVersion, ServiceVersion, SoftwareVersion, StreamKey,
    Unproven, VersionList,
};
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::store_reads::{StoreReadAnswer, StoreReadQuery};
use peer_answers::PeerAnswers;
use peer_reads::PeerReads;
use proof_reads::ProofReads;
use rand::RngExt;
use records::RecordWriter;
use registry::{BegunStream, Registry};
use std::cell::Cell;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};

/// Key in the store of the list of versions.
pub const KEY: &str = "passway/versions";
/// Interval of checks whether the list must change, in addition to those after changes of upstreams.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Mean delay before an instance other than the holder reads the list after it has seen an upstream whose
/// version is not listed. The holder has usually added the version by then.
const READ_DELAY: Duration = Duration::from_millis(100);
/// Added to that delay for each instance, so that they do not all read at once.
const READ_DELAY_PER_INSTANCE: Duration = Duration::from_millis(2);
/// The same while the store does not answer.
const OUTAGE_DELAY: Duration = Duration::from_millis(600);
/// Minimum interval between two reads of the list by one instance.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(10);
/// The same for each instance of the fleet: 4,000 reads a second in all. The users' stores answer 6,000
/// reads of 71 instances and 16,000 of 300.
const READ_INTERVAL_PER_INSTANCE: Duration = Duration::from_micros(250);
/// Time after which an instance that is not the holder adds a missing version itself. A holder usually
/// follows another one within it.
const ADD_DELAY: Duration = Duration::from_secs(1);
/// How long the holder may rely on what it knew of the records of the others; it looks again at each heartbeat.
const RECORDING_TTL: Duration = Duration::from_millis(500);
/// Longest read of the list to check whether it must change.
const MAX_READ_TIME: Duration = Duration::from_secs(1);
/// Pause before a failed read is repeated for a request that waits for it.
const READ_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Why the software version that began a stream cannot be proved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoProof {
    /// The store does not prove the version.
    Unproven(Unproven),
    /// The store has not answered.
    StoreAway,
}

impl NoProof {
    /// The name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unproven(reason) => reason.name(),
            Self::StoreAway => "store away",
        }
    }
}

impl From<Unproven> for NoProof {
    fn from(reason: Unproven) -> Self {
        Self::Unproven(reason)
    }
}

/// The software versions that began streams.
pub struct Versions {
    known: Mutex<KnownList>,
    /// Whether the list has the versions of all listed upstreams; requests read this without a lock.
    is_list_complete: AtomicBool,
    reads: ListReads,
    /// Minimum interval between two reads of the list.
    read_interval: Mutex<Duration>,
    registry: Mutex<Registry>,
    records: RecordWriter,
    recording: Mutex<Recording>,
    /// The services of the routes, now and lately.
    splits: Mutex<SplitHistory>,
    /// Reads of the store for proofs.
    proof_reads: OnceLock<Arc<ProofReads>>,
    peers: PeerReads,
    answers: PeerAnswers,
    wakeup_sender: Sender<()>,
    wakeup_receiver: Receiver<()>,
}

/// Up to which list instances have recorded their streams.
#[derive(Debug, Default)]
struct Recording {
    own: StoreRevision,
    /// The list up to which all other instances have, and until when the holder may rely on that.
    others: Option<(StoreRevision, Instant)>,
}

impl Default for Versions {
    fn default() -> Self {
        let (wakeup_sender, wakeup_receiver) = bounded(1);
        Self {
            known: Mutex::default(),
            is_list_complete: AtomicBool::new(false),
            reads: ListReads::default(),
            read_interval: Mutex::new(MIN_READ_INTERVAL),
            registry: Mutex::default(),
            records: RecordWriter::default(),
            recording: Mutex::default(),
            splits: Mutex::default(),
            proof_reads: OnceLock::new(),
            peers: PeerReads::default(),
            answers: PeerAnswers::default(),
            wakeup_sender,
            wakeup_receiver,
        }
    }
}

impl std::fmt::Debug for Versions {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Versions")
            .field("known", &self.known)
            .finish_non_exhaustive()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Versions {
    /// Whether a stream of a service may begin at a start with this version.
    pub fn may_begin(&self, service: &str, software: Option<&SoftwareVersion>) -> bool {
        let Some(software) = software else {
            return false;
        };
        let known = lock(&self.known);
        let is_verified = known.unverified.is_empty()
            || !known.unverified.contains(&ServiceVersion {
                service: service.into(),
                software: software.clone(),
            });
        is_verified && known.list.contains(service, software)
    }

    /// Whether the list has the versions of all known upstreams, so that streams may begin at each of them.
    pub fn is_list_complete(&self) -> bool {
        self.is_list_complete.load(Ordering::Acquire)
    }

    /// Records that the first event of a stream has arrived from a run at `upstream`. If a later start of
    /// another version is listed by now, which may have brought the event, `replaced_by` is that version.
    /// `is_for_peer` tells whether another instance delivers the stream.
    pub fn stream_began(
        &self,
        origin: StreamOrigin,
        service: &ServiceName,
        upstream: &UpstreamId,
        start: &IdentifiedStart,
        replaced_by: Option<SoftwareVersion>,
        is_for_peer: bool,
    ) {
        let Some(proven) = ProvenVersion::observed(service, start) else {
            return;
        };
        let unreported_start = (!start.is_reported()).then(|| UpstreamStart {
            upstream: upstream.clone(),
            started_at_ms: start.start().started_at_ms,
        });
        self.insert(BegunStream {
            service: service.clone(),
            origin,
            proven,
            unreported_start,
            began_at: clock::now(),
            is_delivered: false,
            is_recorded: false,
            is_for_peer,
            disputed_with: replaced_by,
        });
    }

    /// Remembers a stream that this instance resumes and whose version the store has proved: the stream may
    /// break off again, another version of the service may appear, and the store may lose its record.
    pub fn record_resumption(&self, origin: StreamOrigin, proven: &ProvenVersion) {
        if proven.source() == ProofSource::Observed {
            return;
        }
        self.insert(BegunStream {
            service: proven.service().clone(),
            origin,
            proven: proven.clone(),
            unreported_start: None,
            began_at: clock::now(),
            is_delivered: false,
            is_recorded: proven.is_recorded(),
            is_for_peer: false,
            disputed_with: None,
        });
    }

    fn insert(&self, stream: BegunStream) {
        let (service, origin) = (stream.service.clone(), stream.origin.clone());
        let Some(key) = origins::key_at(&origin, &service) else {
            return;
        };
        lock(&self.registry).insert(key, stream);
        // A list that arrives meanwhile finds the stream in the registry.
        let must_record = {
            let known = lock(&self.known);
            known.list.must_record(&service, known.revision.era())
        };
        if must_record || self.must_record_service(&origin, &service) {
            self.record_unrecorded(&[key]);
        }
    }

    /// Records that a stream was delivered to its end.
    pub fn stream_delivered(&self, key: StreamKey) {
        lock(&self.registry).mark_delivered(key);
    }

    /// Whether this instance has found out that a stream may have begun at another version than was
    /// observed.
    pub fn is_disputed(&self, key: StreamKey) -> bool {
        lock(&self.registry).is_disputed(key)
    }

    /// Proves at which service and version a stream began, by what this instance has observed or by a read
    /// of the store that begins now.
    ///
    /// # Errors
    /// Why there is no proof.
    pub fn prove(&self, origin: &StreamOrigin, until: Instant) -> Result<ProvenVersion, NoProof> {
        if let Some(proven) = self.prove_observed(origin)? {
            return Ok(proven);
        }
        let reads = self.proof_reads.get().ok_or(NoProof::StoreAway)?;
        // In an outage that is known already nothing is gained by waiting if nobody else can read either.
        let is_outage_known = reads.is_store_failing();
        loop {
            let proven = self.prove_by_store(reads, origin, until);
            let is_hopeless = is_outage_known && self.peers.is_unable();
            let may_retry = !is_hopeless && clock::now() + READ_RETRY_DELAY < until;
            if proven != Err(NoProof::StoreAway) || !may_retry {
                return proven;
            }
            std::thread::sleep(READ_RETRY_DELAY);
        }
    }

    fn prove_by_store(
        &self,
        reads: &Arc<ProofReads>,
        origin: &StreamOrigin,
        until: Instant,
    ) -> Result<ProvenVersion, NoProof> {
        let interval = *lock(&self.read_interval);
        let read = self.reads.read(reads, interval, until);
        let read = read.ok_or(NoProof::StoreAway)?;
        self.apply_read(&read);
        let is_by_peer = Cell::new(read.is_by_peer);
        let list = decode(&read.value);
        let proven = self.prove_by_list(&list, read.revision.era(), origin, |key| {
            let records = reads.read_records(key, &read, until);
            let records = records.ok_or(NoProof::StoreAway)?;
            is_by_peer.set(is_by_peer.get() || records.is_by_peer);
            Ok(records.value)
        })?;
        Ok(if is_by_peer.get() {
            proven.read_by_peer()
        } else {
            proven
        })
    }

    /// Reads the list from the store and applies it; returns whether the store has answered.
    fn read_list(&self, store: &Arc<dyn SharedStore>) -> bool {
        let read = call_until(store, clock::now() + MAX_READ_TIME, read_stored);
        let read = read.flatten();
        if let Some(read) = &read {
            self.apply_read(read);
        }
        read.is_some()
    }

    fn apply_read(&self, read: &ListRead) {
        self.apply_stored(read.revision, &read.value);
        lock(&self.known).verify(read.revision, clock::now());
    }

    /// The revision of the list that this instance knows.
    fn known_revision(&self) -> StoreRevision {
        lock(&self.known).revision
    }

    /// Reads the store for another instance, which the store does not answer.
    pub fn answer_query(&self, shared: &Shared, from: SocketAddr, query: &StoreReadQuery) {
        if let Some(reads) = self.proof_reads.get() {
            self.answers.answer(shared, reads, from, query);
        }
    }

    /// Receives what another instance has read for this one.
    pub fn receive_answer(&self, answer: StoreReadAnswer) {
        self.peers.receive(answer);
    }

    /// Applies the list as stored; `value` is empty if the key is missing.
    pub fn apply_stored(&self, revision: StoreRevision, value: &[u8]) {
        let mut known = lock(&self.known);
        let previous_era = known.revision.era();
        let is_same_era = known.is_read && revision.era() == previous_era;
        let previous = known.list.splits().clone();
        if !known.apply(revision, value, clock::now()) {
            return;
        }
        let previous = Some(previous).filter(|_| is_same_era);
        self.merge_splits(&known, &previous.unwrap_or_default());
        drop(known);
        if revision.era() > previous_era {
            lock(&self.registry).forget_records();
        }
        self.wake();
    }

    /// Applies that the list was removed from the store in this era.
    pub fn clear_stored(&self, era: StoreEra) {
        lock(&self.known).clear(era, clock::now());
        self.wake();
    }

    /// Wakes the thread that checks the list.
    pub fn wake(&self) {
        // If the channel is full, a wakeup is already pending.
        let _ = self.wakeup_sender.try_send(());
    }

    /// Handles upstreams that have restarted under their ids. Until an instance knows of a restart, it
    /// attributes the streams of the new process to the version of the previous one, unless the process
    /// reports its start.
    pub fn handle_restarts(&self, restarted: &[RestartedUpstream]) {
        for upstream in restarted {
            if upstream.previous.software.as_ref() == Some(&upstream.software) {
                continue;
            }
            let disputed = lock(&self.registry).dispute(upstream, clock::now());
            self.record_unrecorded(&disputed);
        }
    }

    /// Whether the queued record of a stream must still be written.
    fn must_write_record(&self, key: StreamKey) -> bool {
        lock(&self.registry).must_write_record(key)
    }

    /// Queues the records of streams that have none.
    fn record_unrecorded(&self, keys: &[StreamKey]) {
        let mut registry = lock(&self.registry);
        for key in keys {
            for software in registry.take_unrecorded(*key) {
                self.records.push(*key, software);
            }
        }
    }

    /// Notes that this instance has recorded all streams whose records the list of this revision requires.
    fn set_recorded_list(&self, revision: StoreRevision) {
        lock(&self.recording).own = revision;
        self.wake();
    }

    /// The revision of the list for which this instance has recorded its streams.
    pub fn recorded_list(&self) -> StoreRevision {
        lock(&self.recording).own
    }

    /// Sets the revision of the list for which all other connected instances have recorded their streams, as the
    /// holder knows it at `now`; `None` if it does not know all of them.
    pub fn set_recorded_by_others(&self, revision: Option<StoreRevision>, now: Instant) {
        let others = revision.map(|revision| (revision, now + RECORDING_TTL));
        let previous = std::mem::replace(&mut lock(&self.recording).others, others);
        if revision != previous.map(|(revision, _)| revision) {
            self.wake();
        }
    }

    /// Whether all instances have recorded their streams since they know this list.
    fn is_recorded_by_all(&self, list: StoreRevision, now: Instant) -> bool {
        let recording = lock(&self.recording);
        let others = recording
            .others
            .filter(|(_, valid_until)| now < *valid_until);
        recording.own >= list && others.is_some_and(|(revision, _)| revision >= list)
    }

    /// Queues the records of all running and broken streams whose services or versions the list and the
    /// routes do not prove.
    fn record_running(&self) {
        let (list, era) = {
            let known = lock(&self.known);
            (known.list.clone(), known.revision.era())
        };
        let unrecorded = lock(&self.registry).unrecorded(clock::now());
        let keys = unrecorded
            .into_iter()
            .filter(|(_, stream)| {
                list.must_record(&stream.service, era) || self.may_be_elsewhere(stream)
            })
            .map(|(key, _)| key);
        self.record_unrecorded(&keys.collect::<Vec<_>>());
    }

    /// Starts the threads that write the list and the records.
    pub fn start(
        shared: &Arc<Shared>,
        leadership: &Arc<LeadershipDriver>,
        store: &Arc<dyn SharedStore>,
    ) {
        // Each process has exactly one store.
        let reads = Arc::new(ProofReads::new(shared, store));
        let _ = shared.versions.proof_reads.set(reads);
        RecordWriter::start(shared, store);
        let (shared, leadership, store) = (shared.clone(), leadership.clone(), store.clone());
        std::thread::spawn(move || {
            let termination = shared.termination();
            let wakeups = &shared.versions.wakeup_receiver;
            let mut wait = CHECK_INTERVAL;
            // Both a wakeup and the end of the wait lead to a check.
            while termination.receive_timeout(wakeups, wait) != Err(RecvTimeoutError::Disconnected)
            {
                let is_holder = leadership.term().is_some();
                wait = shared.versions.check(&shared, is_holder, &store);
            }
        });
    }

    /// Checks whether the list must change, and writes it. Returns the time until the next check.
    fn check(&self, shared: &Shared, is_holder: bool, store: &Arc<dyn SharedStore>) -> Duration {
        let now = clock::now();
        let instances = u32::try_from(shared.instance_count()).unwrap_or(u32::MAX);
        let interval = READ_INTERVAL_PER_INSTANCE.saturating_mul(instances);
        *lock(&self.read_interval) = interval.max(MIN_READ_INTERVAL);
        self.update_present(shared);
        self.update_serving(shared, now);
        let mut known = lock(&self.known);
        known.update_gone(now);
        let is_complete = known.is_complete();
        let must_refresh = known.must_refresh(now);
        let is_before_first = known.is_before_first();
        let splits = lock(&self.splits);
        let is_recorded = is_holder && self.is_recorded_by_all(known.revision, now);
        let next = known.next_list(splits.listing(now), is_recorded, now);
        let awaits_records = known.awaits_records(now);
        // The first list waits for the first version.
        let has_list = known.list.versions().next().is_some();
        let lacks_splits = has_list && splits.is_missing_from(known.list.splits(), now);
        drop(splits);
        let revision = known.revision;
        let has_changed = self.is_list_complete.swap(is_complete, Ordering::AcqRel) != is_complete;
        let must_check_streams = std::mem::take(&mut known.must_check_streams);
        let missing_since = (!is_complete).then(|| *known.missing_since.get_or_insert(now));
        known.missing_since = missing_since;
        let splits_missing_since =
            lacks_splits.then(|| *known.splits_missing_since.get_or_insert(now));
        known.splits_missing_since = splits_missing_since;
        drop(known);
        if has_changed {
            shared.notify_upstreams_changed();
        }
        if must_check_streams {
            self.record_running();
            self.records.push_end_of_list(revision);
        }
        let is_recent = missing_since.is_some_and(|since| now < since + READ_DELAY);
        if is_recent && !is_holder {
            // The holder adds the version.
            return retry_delay(shared);
        }
        let mut missing = missing_since.iter().chain(&splits_missing_since);
        let has_waited = missing.any(|since| now >= *since + ADD_DELAY);
        let may_write = is_holder || has_waited || is_before_first;
        let is_done = match next.filter(|_| may_write) {
            Some(next) => self.write(store, revision, &next),
            None if is_complete && !must_refresh && lacks_splits => return retry_delay(shared),
            None if is_complete && !must_refresh => return CHECK_INTERVAL,
            None if awaits_records => return retry_delay(shared),
            None => self.read_list(store) && is_complete,
        };
        if is_done {
            CHECK_INTERVAL
        } else {
            retry_delay(shared)
        }
    }

    /// Takes the versions of the listed upstreams, if they may have changed.
    fn update_present(&self, shared: &Shared) {
        let upstreams = shared.upstreams();
        let version_changes = upstreams.version_changes();
        if lock(&self.known).version_changes == Some(version_changes) {
            return;
        }
        let present = upstreams.listed_versions();
        drop(upstreams);
        let mut known = lock(&self.known);
        known.upstream_versions = present;
        known.version_changes = Some(version_changes);
    }

    /// Takes the listed versions whose upstreams accept new requests, if the list lacks a version, which may wait for
    /// records while they do.
    fn update_serving(&self, shared: &Shared, now: Instant) {
        let known = lock(&self.known);
        if known.missing().is_empty() {
            return;
        }
        let listed: Vec<ServiceVersion> = known.list.versions().collect();
        drop(known);
        let upstreams = shared.upstreams();
        let accepts = |version: &ServiceVersion| {
            let ServiceVersion { service, software } = version;
            upstreams.serves_version(service, software, &AllowedRegions::ANY, now)
        };
        let serving = listed.into_iter().filter(accepts).collect();
        drop(upstreams);
        lock(&self.known).serving_versions = serving;
    }

    /// Writes the list in place of the one with this revision. Returns whether that was done.
    fn write(
        &self,
        store: &Arc<dyn SharedStore>,
        revision: StoreRevision,
        list: &VersionList,
    ) -> bool {
        let value = encode(list);
        let write = ConditionalWrite {
            key: KEY.to_owned(),
            expected: revision,
            value: Some(value.clone()),
            lease: None,
        };
        let answer = store.write(std::slice::from_ref(&write));
        let names = |versions: &mut dyn Iterator<Item = ServiceVersion>| {
            let names =
                versions.map(|version| format!("{}: {}", version.service, version.software));
            names.collect::<Vec<_>>()
        };
        let announced = &mut list.announced().iter().cloned();
        log::info!(target: DECISION_TARGET, versions:? = names(&mut list.versions()), announced:? = names(announced),
            splits = list.splits().iter().count(), confirmed_in:? = list.confirmed_in(), expected:% = revision, answer:? = answer;
            "the list of software versions changes");
        match answer {
            Ok(WriteAnswer::Written(revision)) => {
                self.apply_stored(revision, &value);
                true
            }
            Ok(WriteAnswer::Conflict) => {
                // Another instance has written the list. If the read fails, the next check repeats it.
                self.read_list(store);
                false
            }
            Ok(WriteAnswer::LeaseEnded) | Err(_) => false,
        }
    }
}

/// Delay before the next check while the list lacks a version or could not be written.
fn retry_delay(shared: &Shared) -> Duration {
    let instances = u32::try_from(shared.instance_count()).unwrap_or(u32::MAX);
    let mean = if shared.store_health.is_failing() {
        OUTAGE_DELAY
    } else {
        READ_DELAY + READ_DELAY_PER_INSTANCE.saturating_mul(instances)
    };
    mean.mul_f64(rand::rng().random_range(0.5..1.5))
}
