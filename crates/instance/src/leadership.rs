//! Leadership, i.e. the right to send orders to engines: one key in the store under a lease, held
//! by one instance at a time.
//!
//! [`Leadership`] makes the decisions. This module runs the thread that carries them out against the
//! store, and the feed that reports the current state of the key.

use crate::allotments;
use crate::feeds::{Feed, follow};
use crate::holder::{Input, NumberedUpdate};
use crate::poison;
use crate::relay::{RelayReceiver, millis};
use crate::shared::{ReportEvent, Shared};
use crate::stop_signal::StopSignals;
use crate::versions;
use crossbeam::channel::Sender;
use passway_process::logging::json::DECISION_TARGET;
use passway_serving::leadership::{
    Candidate, EngineAccess, Holder, Leadership, LeadershipSettings, ListedLeadership,
    PromiseRefusal, RecentHolders, Step,
};
use passway_serving::ports::{
    ConditionalWrite, LeaseId, Listing, RenewalAnswer, SharedStore, StoreChange, StoreError,
    StoreRevision, StoredValue,
};
use passway_types::clock;
use passway_types::prelude::*;
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

/// Prefix of passway's own keys in the store.
const OWN_PREFIX: &str = "passway/";
/// Key of the current holder; its value is the holder's name and address.
const HOLDER_KEY: &str = "passway/holder";
/// Key of the list of recent holders, newest last, and of the current candidates.
const RECENT_KEY: &str = "passway/holders";
/// Time-to-live of the holder's lease, unless the shortest lease that the store grants is longer.
const LEASE_TTL: Duration = Duration::from_millis(1_200);
/// Instances with fewer processor cores than this let others acquire leadership first. The holder
/// of a large fleet used 0.135 of a core on a calm day.
const MIN_HOLDER_CPU_CORES: f64 = 0.2;
/// How long a candidate keeps checking the store itself after a holder requested a promise: three
/// heartbeats of the holder.
const PROMISE_REQUEST_WINDOW: Duration = Duration::from_secs(1);

/// Runs the leadership state machine of this instance with a thread and the store.
#[derive(Debug)]
pub struct LeadershipDriver {
    leadership: Mutex<Leadership>,
    changed: Condvar,
    /// When a holder last requested a promise.
    promise_requested_at: Mutex<Option<Instant>>,
    /// The last answer to such a request; a changed answer is logged.
    last_promise_answer: Mutex<Option<Result<(), PromiseRefusal>>>,
    has_low_cpu: bool,
    stop_signals: Arc<StopSignals>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn encode_holder(shared: &Shared) -> Vec<u8> {
    let settings = &shared.settings;
    format!("{} {}", settings.instance, settings.peer_address).into_bytes()
}

fn decode_holder(value: &StoredValue) -> Option<Holder> {
    let text = std::str::from_utf8(&value.value).ok()?;
    let (instance, address) = text.split_once(' ')?;
    Some(Holder {
        instance: instance.into(),
        address: address.parse().ok()?,
        fence: value.revision.fence(),
    })
}

/// Encodes the names of recent holders in the first line and the candidates with their addresses in
/// the second.
fn encode_recent(recent: &RecentHolders) -> Vec<u8> {
    let candidates = recent.candidates.iter();
    let candidates =
        candidates.map(|candidate| format!("{}={}", candidate.instance, candidate.address));
    let candidates: Vec<String> = candidates.collect();
    format!("{}\n{}", recent.names.join(" "), candidates.join(" ")).into_bytes()
}

fn decode_recent(value: &StoredValue) -> RecentHolders {
    let text = String::from_utf8_lossy(&value.value);
    let mut lines = text.lines();
    let names = lines.next().unwrap_or_default().split_whitespace();
    let candidates = lines.next().unwrap_or_default().split_whitespace();
    RecentHolders {
        names: names.map(Into::into).collect(),
        candidates: candidates.filter_map(decode_candidate).collect(),
        revision: value.revision,
    }
}

/// Returns `None` for a candidate whose address cannot be parsed. That instance does not find
/// itself on the list and waits like any instance that is not a candidate.
fn decode_candidate(text: &str) -> Option<Candidate> {
    let (instance, address) = text.rsplit_once('=')?;
    Some(Candidate {
        instance: instance.into(),
        address: address.parse().ok()?,
    })
}

impl LeadershipDriver {
    /// Creates the state of an instance that does not know any holder yet.
    pub fn new(shared: &Shared) -> Self {
        let settings = &shared.settings;
        let bounds = shared.bounds.load();
        let has_low_cpu = settings.cpu_core_fraction < MIN_HOLDER_CPU_CORES;
        let limits = LeadershipSettings {
            min_lease_ttl: LEASE_TTL.max(bounds.shortest_lease),
            holder_gap: bounds.holder_gap,
            has_low_cpu,
        };
        Self {
            leadership: Mutex::new(Leadership::new(
                settings.instance.clone(),
                limits,
                clock::now(),
            )),
            changed: Condvar::new(),
            promise_requested_at: Mutex::default(),
            last_promise_answer: Mutex::default(),
            has_low_cpu,
            stop_signals: shared.stop_signals.clone(),
        }
    }

    /// Whether this instance has too little processor capacity for the holder's work, so that other
    /// instances should be preferred as holders.
    pub fn has_low_cpu(&self) -> bool {
        self.has_low_cpu
    }

    /// Starts the thread that acquires leadership whenever nobody holds it, and the feed of
    /// passway's own keys.
    pub fn start(
        self: &Arc<Self>,
        shared: &Arc<Shared>,
        store: &Arc<dyn SharedStore>,
        receiver: RelayReceiver,
        holder_inputs: Sender<Input>,
        updates: Sender<NumberedUpdate>,
    ) {
        let feed = LeadershipFeed {
            leadership: self.clone(),
            shared: shared.clone(),
        };
        follow(store.clone(), receiver, updates, feed);
        let (driver, shared, store) = (self.clone(), shared.clone(), store.clone());
        std::thread::spawn(move || driver.run(&shared, &*store, &holder_inputs));
    }

    fn leadership(&self) -> MutexGuard<'_, Leadership> {
        lock(&self.leadership)
    }

    /// Changes the leadership state and wakes the thread that acts on it.
    fn update(&self, change: impl FnOnce(&mut Leadership)) {
        change(&mut self.leadership());
        self.changed.notify_all();
    }

    /// The current holder, if one is known.
    pub fn holder(&self) -> Option<Holder> {
        self.leadership().holder().cloned()
    }

    /// Takes in another instance's message that it is the holder. Returns whether the message
    /// changed the known holder.
    pub fn learn_holder(&self, holder: Holder) -> bool {
        let is_new = self.leadership().learn_holder(holder);
        self.changed.notify_all();
        is_new
    }

    /// Notifies the thread that acts on the leadership state.
    pub fn wake_up(&self) {
        // After this lock the thread waits, or it will check its conditions again.
        drop(self.leadership());
        self.changed.notify_all();
    }

    /// The given fencing number, unless the instance has ended.
    fn unless_ended(&self, fence: Option<Fence>) -> Option<Fence> {
        fence.filter(|_| !self.stop_signals.termination.has_begun())
    }

    /// This instance's fencing number, if it may send orders now.
    pub fn fence(&self) -> Option<Fence> {
        let fence = self.leadership().fence(clock::now());
        self.unless_ended(fence)
    }

    /// This instance's fencing number while its term lasts, including times when it may not send
    /// orders.
    pub fn term(&self) -> Option<Fence> {
        let fence = self.leadership().term_fence(clock::now());
        self.unless_ended(fence)
    }

    /// This instance's fencing number if it needs the candidates' promises not to acquire
    /// leadership, because the store did not answer the last renewal.
    pub fn promise_fence(&self) -> Option<Fence> {
        self.leadership().promise_request_fence(clock::now())
    }

    /// Promises another holder not to acquire leadership for a while, if this instance can.
    ///
    /// # Errors
    /// The reason why this instance does not promise.
    pub fn answer_promise_request(
        &self,
        asker: &InstanceId,
        store_answers: bool,
    ) -> Result<(), PromiseRefusal> {
        let now = clock::now();
        let previous_request_at = lock(&self.promise_requested_at).replace(now);
        let answer = self.leadership().try_promise(asker, store_answers, now);
        let is_first = previous_request_at.is_none_or(|at| now > at + PROMISE_REQUEST_WINDOW);
        let new_answer = Some(answer);
        if lock(&self.last_promise_answer).replace(answer) != new_answer || is_first {
            log::info!(target: DECISION_TARGET, holder:% = asker, answer:? = answer; "answered a holder's request for a promise");
        }
        answer
    }

    /// The candidates of the current term whose promise is missing. Without it, the term cannot
    /// extend beyond its lease.
    pub fn candidates_without_promise(&self) -> Vec<InstanceId> {
        self.leadership().candidates_without_promise(clock::now())
    }

    /// Whether a holder requested a promise recently. This instance should then check for itself
    /// whether the store answers.
    fn has_recent_promise_request(&self) -> bool {
        lock(&self.promise_requested_at).is_some_and(|at| clock::since(at) < PROMISE_REQUEST_WINDOW)
    }

    /// Records a candidate's promise, given in answer to a request sent at `requested_at`.
    pub fn record_promise(&self, from: &InstanceId, fence: Fence, requested_at: Instant) {
        self.update(|leadership| leadership.record_promise(from, fence, requested_at));
    }

    /// Records that a candidate's process is stopping.
    pub fn record_departure(&self, from: &InstanceId, fence: Fence) {
        self.update(|leadership| leadership.record_departure(from, fence));
    }

    /// Sets the candidates that a term of this instance should have.
    pub fn set_desired_candidates(&self, candidates: Vec<Candidate>) {
        self.update(|leadership| leadership.set_desired_candidates(candidates));
    }

    /// Whether no other instance was the holder between this instance's last two terms.
    pub fn succeeds_itself(&self) -> bool {
        self.leadership().was_previous_holder()
    }

    /// The candidates that the store listed before this instance's term. They may be extending the
    /// leadership of another holder without the store.
    pub fn previous_candidates(&self) -> Vec<Candidate> {
        self.leadership().previous_candidates().to_vec()
    }

    /// Addresses of the candidates that the store lists.
    pub fn listed_candidates(&self) -> Vec<SocketAddr> {
        let leadership = self.leadership();
        let candidates = leadership.listed_candidates().iter();
        candidates.map(|candidate| candidate.address).collect()
    }

    /// Sets whether this instance reaches engines. A holder that is cut off hands the leadership
    /// over.
    pub fn set_engine_access(&self, access: EngineAccess) {
        self.update(|leadership| leadership.set_engine_access(access));
    }

    /// Releases leadership, so that another instance can acquire it at once.
    pub fn release(&self) {
        self.update(Leadership::release);
    }

    /// Records how long the store took to answer a call that was sent at `sent_at`.
    fn record_store_latency<T>(&self, answer: &Result<T, StoreError>, sent_at: Instant) {
        if answer.is_ok() {
            self.leadership()
                .record_store_latency(clock::since(sent_at));
        }
    }

    /// Acquires and renews leadership until the instance stops or ends.
    fn run(&self, shared: &Shared, store: &dyn SharedStore, holder_inputs: &Sender<Input>) {
        let mut held_fence = None;
        loop {
            let mut leadership = self.leadership();
            if shared.termination().has_begun() {
                return;
            }
            leadership.set_holder_gap(shared.bounds.load().holder_gap);
            let random = rand::rng().random_range(0.0..1.0);
            let store_answers = !shared.store_health.is_failing();
            let now = clock::now();
            let step = leadership.step(random, store_answers, now);
            if matches!(step, Step::EndLease(_))
                && let Some(fence) = held_fence.take()
            {
                log_term_end(fence, &leadership, now);
            }
            match step {
                Step::Wait(until) => {
                    // The loop checks the state again after a wakeup as well as after the timeout.
                    let timeout = until.saturating_duration_since(now);
                    drop(self.changed.wait_timeout(leadership, timeout));
                }
                Step::GrantLease => {
                    let ttl = leadership.lease_ttl();
                    drop(leadership);
                    let answer = store.grant_lease(ttl);
                    self.record_store_latency(&answer, now);
                    self.leadership().handle_grant(answer, now);
                }
                Step::TakeKey(lease) => {
                    let recent = leadership.recent_holders_with_me();
                    drop(leadership);
                    let answer = store.write(&acquisition_writes(shared, lease, &recent));
                    self.record_store_latency(&answer, now);
                    held_fence = self.leadership().handle_take(&answer, clock::now());
                    if let Some(fence) = held_fence {
                        log::info!(target: DECISION_TARGET, fence = fence; "holds the right to order");
                        shared.allotments.notify_term_begun();
                        // The channel closes only when the instance ends.
                        let _ = holder_inputs.send(Input::TermBegun);
                    }
                }
                Step::RenewLease(lease) => {
                    let timeout = leadership.renewal_timeout();
                    drop(leadership);
                    let answer = store.renew_lease_with_timeout(lease, timeout);
                    self.record_store_latency(&answer, now);
                    if answer.is_ok_and(|answer| answer != RenewalAnswer::Ended) {
                        shared.store_health.record_answer();
                    }
                    self.leadership().handle_renewal(answer, now, clock::now());
                }
                Step::WriteCandidates => {
                    let recent = leadership.recent_holders_with_candidates();
                    drop(leadership);
                    let answer = store.write(&[recent_holders_write(&recent)]);
                    log::info!(target: DECISION_TARGET, candidates = recent.candidates.len(), answer:? = answer; "result of writing the list of candidates");
                    self.leadership()
                        .handle_list_write(&answer, recent, clock::now());
                }
                Step::EndLease(lease) => {
                    drop(leadership);
                    end_lease(store, lease);
                    self.leadership().handle_lease_end(clock::now());
                }
                Step::Stop => return,
            }
        }
    }
}

fn log_term_end(fence: Fence, leadership: &Leadership, now: Instant) {
    let without_promise = leadership.candidates_without_promise(now);
    let last_end = leadership.last_term_end();
    let overdue_ms = last_end.map_or(0, |end| millis(end.renewal_overdue));
    log::info!(target: DECISION_TARGET, fence = fence, cause:? = last_end.map(|end| end.cause),
        unanswered = last_end.map_or(0, |end| end.unanswered_renewals), overdue_ms = overdue_ms,
        without_promise:? = without_promise;
        "lost the right to order");
}

/// The writes that acquire the key if no instance holds it and the list of recent holders has not
/// changed since it was read.
///
/// The key comes last: the revision of the whole transaction is then the revision of the key, which
/// all other instances read as the fencing number.
fn acquisition_writes(
    shared: &Shared,
    lease: LeaseId,
    recent: &RecentHolders,
) -> [ConditionalWrite; 2] {
    [
        recent_holders_write(recent),
        ConditionalWrite {
            key: HOLDER_KEY.to_owned(),
            expected: StoreRevision::NONE,
            value: Some(encode_holder(shared)),
            lease: Some(lease),
        },
    ]
}

/// The write of the list of recent holders, conditional on the revision that was read.
fn recent_holders_write(recent: &RecentHolders) -> ConditionalWrite {
    ConditionalWrite {
        key: RECENT_KEY.to_owned(),
        expected: recent.revision,
        value: Some(encode_recent(recent)),
        lease: None,
    }
}

fn end_lease(store: &dyn SharedStore, lease: LeaseId) {
    if store.end_lease(lease).is_err() {
        log::debug!(lease = lease.number; "cannot end a lease; the lease expires by itself");
    }
}

struct LeadershipFeed {
    leadership: Arc<LeadershipDriver>,
    shared: Arc<Shared>,
}

impl Feed for LeadershipFeed {
    fn prefix(&self) -> String {
        OWN_PREFIX.to_owned()
    }

    fn apply_listing(&mut self, listing: &Listing) {
        let era = listing.revision.era();
        // A key that this era does not have is known to be missing in it.
        let missing = (StoreRevision::new(era, 0), &[][..]);
        let find = |key| listing.values.iter().find(|value| value.key == key);
        let refused = find(poison::KEY).map(|value| (value.revision, &*value.value));
        let (revision, value) = refused.unwrap_or(missing);
        self.shared.poison.apply_stored(revision, value);
        let half_full = find(allotments::KEY).map(|value| (value.revision, &*value.value));
        let (revision, value) = half_full.unwrap_or(missing);
        self.shared.allotments.apply_stored(revision, value);
        let versions = find(versions::KEY).map(|value| (value.revision, &*value.value));
        let (revision, value) = versions.unwrap_or(missing);
        self.shared.versions.apply_stored(revision, value);
        let key = find(HOLDER_KEY);
        let listed = ListedLeadership {
            era,
            holder: key.and_then(decode_holder),
            key: key.and_then(|key| Some((key.revision, key.lease?))),
            recent: find(RECENT_KEY).map_or_else(
                || RecentHolders {
                    revision: StoreRevision::new(era, 0),
                    ..RecentHolders::default()
                },
                decode_recent,
            ),
        };
        let now = clock::now();
        self.leadership
            .update(|leadership| leadership.observe_listing(&listed, now));
    }

    fn apply_change(&mut self, change: &StoreChange) -> bool {
        match change {
            StoreChange::Written(value) if value.key == HOLDER_KEY => {
                self.leadership
                    .update(|leadership| leadership.observe_holder(decode_holder(value)));
            }
            StoreChange::Written(value) if value.key == RECENT_KEY => {
                let recent = decode_recent(value);
                self.leadership
                    .update(|leadership| leadership.observe_recent(recent));
            }
            StoreChange::Written(value) if value.key == poison::KEY => {
                let poison = &self.shared.poison;
                poison.apply_stored(value.revision, &value.value);
            }
            StoreChange::Written(value) if value.key == allotments::KEY => {
                let allotments = &self.shared.allotments;
                allotments.apply_stored(value.revision, &value.value);
            }
            StoreChange::Written(value) if value.key == versions::KEY => {
                let versions = &self.shared.versions;
                versions.apply_stored(value.revision, &value.value);
            }
            StoreChange::Removed { key, revision } if key == versions::KEY => {
                self.shared.versions.clear_stored(revision.era());
            }
            StoreChange::Removed { key, .. } if key == allotments::KEY => {
                let missing = StoreRevision::new(change.revision().era(), 0);
                self.shared.allotments.apply_stored(missing, &[]);
            }
            StoreChange::Removed { key, .. } if key == poison::KEY => {
                for suspect in self.shared.poison.clear_stored() {
                    self.shared.report(ReportEvent::Suspect(suspect));
                }
            }
            StoreChange::Removed { key, .. } if key == HOLDER_KEY => {
                self.leadership
                    .update(|leadership| leadership.observe_holder(None));
            }
            _ => {}
        }
        false
    }

    fn finish_batch(&mut self) -> Duration {
        Duration::ZERO
    }

    fn must_query_store(&self) -> bool {
        self.leadership.has_recent_promise_request()
    }

    fn shared(&self) -> &Shared {
        &self.shared
    }
}
