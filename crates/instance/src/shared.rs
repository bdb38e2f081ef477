//! State shared by the threads of an instance.

use crate::allotments::Allotments;
use crate::coordinator::CoordinatorClient;
use crate::dispatch::Dispatch;
use crate::freshness::ConfigurationAge;
use crate::health::StoreHealth;
use crate::leadership::LeadershipDriver;
use crate::limits::Limits;
use crate::members::Addresses;
use crate::metrics::Metrics;
use crate::missing_models::MissingModels;
use crate::paths::PathMonitor;
use crate::poison::PoisonTracker;
use crate::pool::ConnectionPool;
use crate::relay::Relay;
use crate::stop_signal::StopSignals;
use crate::successor_places::SuccessorPlaces;
use crate::termination::Termination;
use crate::versions::Versions;
use arc_swap::{ArcSwap, ArcSwapOption};
use crossbeam::channel::Sender;
use passway_process::logging::json::DECISION_TARGET;
use passway_serving::first_byte_times::FirstByteTimes;
use passway_serving::memory::{MemoryPool, MemoryReservation};
use passway_serving::poison::{Suspect, UpstreamStart};
use passway_serving::ports::{Engines, HeaderProtocol, InstanceBounds, InstanceSettings};
use passway_serving::retry::RetryBudget;
use passway_serving::routes::{EnginePool, RouteTable};
use passway_serving::upstreams::{ModelRef, UpstreamTable};
use passway_serving::versions::SoftwareVersion;
use passway_serving::workspaces::Workspaces;
use passway_types::clock;
use passway_types::prelude::*;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, OnceLock, PoisonError};

/// Events that request threads send to the thread that reports to the holder ([`crate::report`]).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReportEvent {
    /// A request waits for a model or adapter.
    WaitStarted {
        /// The service.
        service: ServiceName,
        /// The model or adapter that the request needs.
        model_ref: ModelRef,
        /// The only software version at which the request may run; `None` if any may run it.
        required_software: Option<SoftwareVersion>,
        /// Until when the request waits.
        until: Instant,
    },
    /// A waiting request waits no longer.
    WaitEnded {
        /// The service.
        service: ServiceName,
        /// The model or adapter that the request waited for.
        model_ref: ModelRef,
        /// The only software version at which the request may run; `None` if any may run it.
        required_software: Option<SoftwareVersion>,
    },
    /// A request was refused because the model that it needs would be loaded too late. It counts as
    /// waiting until the end of the wait that it would have had.
    RefusedAsTooLate {
        /// The service.
        service: ServiceName,
        /// The model or adapter that the request needs.
        model_ref: ModelRef,
        /// The only software version at which the request may run; `None` if any may run it.
        required_software: Option<SoftwareVersion>,
        /// Until when the request would have waited.
        until: Instant,
    },
    /// New knowledge about a request during which upstreams crashed.
    Suspect(Suspect),
    /// A start of an upstream broke off a request at this time and may have ended.
    StartBroken(UpstreamStart, Instant),
    /// The signals of an upstream have changed.
    SignalsChanged(UpstreamId),
    /// A connection to the holder was established.
    HolderConnected,
    /// A request for a model was accepted, whether it waits or not.
    RequestAccepted {
        /// The service.
        service: ServiceName,
        /// The model or adapter that the request needs.
        model_ref: ModelRef,
    },
}

/// Largest sum of the bodies of all requests in progress, in bytes, and likewise of all answers of
/// known length that are buffered whole: a fifth of the memory of the smallest instance (160 MB).
pub const MAX_RESERVED_BYTES: usize = 32 << 20;

/// Largest sum of what upstreams have sent without saying how long it is, in bytes.
const MAX_OPEN_ENDED_BYTES: usize = 16 << 20;

/// After this time without contact to the coordinator of allotments, an instance reports that it is
/// not ready, so that the balancer sends callers elsewhere. A lost coordinator is replaced within
/// it.
const MAX_COORDINATOR_SILENCE: Duration = Duration::from_secs(2);

/// State shared by the threads of an instance.
pub struct Shared {
    /// The settings that the process started with; addresses and names never change.
    pub settings: InstanceSettings,
    /// The bounds in effect, which may change while the process runs.
    pub bounds: ArcSwap<InstanceBounds>,
    /// The configuration in effect; read without a lock.
    pub routes: ArcSwapOption<RouteTable>,
    /// Whether the store answers.
    pub store_health: StoreHealth,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Whether this instance reaches upstreams.
    pub paths: PathMonitor,
    /// Idle connections to upstreams.
    pub pool: ConnectionPool,
    /// Successors of silent runs that are under way.
    pub successor_places: SuccessorPlaces,
    /// Queries to dispatchers, which choose engines in a large fleet.
    pub dispatch: Dispatch,
    /// How recent the configuration is proved to be.
    pub configuration_age: ConfigurationAge,
    /// Queries to the coordinator, the instance that counts usage for all.
    pub coordinator: CoordinatorClient,
    /// Allotments of workspaces.
    pub allotments: Allotments,
    /// Grants for limited upstreams.
    pub limits: Limits,
    /// Requests that crash upstreams.
    pub poison: PoisonTracker,
    /// The software versions that began streams.
    pub versions: Versions,
    /// Models that requests have found on no engine.
    pub missing_models: MissingModels,
    /// The headers that callers and upstreams use.
    pub vocabulary: Box<dyn HeaderProtocol>,
    /// Signals that end threads' waits.
    pub stop_signals: Arc<StopSignals>,
    report_events: Sender<ReportEvent>,
    upstreams: Mutex<UpstreamTable>,
    upstreams_changed: Condvar,
    /// Number of changes of upstreams since the start.
    upstream_change_count: AtomicU64,
    retry_budget: Mutex<RetryBudget>,
    first_byte_times: Mutex<FirstByteTimes>,
    unconfirmed_engines: Mutex<BTreeSet<UpstreamId>>,
    members: Mutex<Addresses>,
    leadership: OnceLock<Arc<LeadershipDriver>>,
    relay: OnceLock<Arc<Relay>>,
    engines: OnceLock<Arc<dyn Engines>>,
    upstreams_listed: AtomicBool,
    is_stopping: AtomicBool,
    /// Whether new requests are refused: the balancer has had time to notice the stop.
    is_refusing_requests: AtomicBool,
    /// Whether every request that still waits is answered now, because the process is about to
    /// exit.
    should_end_waits: AtomicBool,
    /// When a stop ends the remaining waits; set when the stop begins.
    waits_end_at: OnceLock<Instant>,
    in_progress: AtomicUsize,
    /// Number of instances in the last message of the holder; 0 before the first.
    instance_count: AtomicUsize,
    /// Memory for the bodies of requests in progress.
    body_memory: Arc<MemoryPool>,
    /// Memory for answers of known length that are buffered whole. Apart from that for bodies, because
    /// requests hold their bodies while they wait for memory for their answers.
    answer_memory: Arc<MemoryPool>,
    /// Memory for what upstreams send without saying how long it is: answers without a length, incomplete
    /// events, long heads. Apart from that for answers of known length, so that bytes without an end hold up
    /// only their like.
    pub open_ended_memory: Arc<MemoryPool>,
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared").finish_non_exhaustive()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// State without any knowledge and without requests in progress.
    pub fn new(
        settings: InstanceSettings,
        vocabulary: Box<dyn HeaderProtocol>,
        stop_signals: Arc<StopSignals>,
        report_events: Sender<ReportEvent>,
    ) -> Self {
        let upstreams =
            UpstreamTable::new(settings.hall.clone()).with_regions(settings.regions.clone());
        let retry_budget = RetryBudget::new(settings.bounds.retry);
        Self {
            bounds: ArcSwap::from_pointee(settings.bounds),
            dispatch: Dispatch::bind(settings.peer_address),
            settings,
            routes: ArcSwapOption::empty(),
            store_health: StoreHealth::default(),
            metrics: Metrics::default(),
            paths: PathMonitor::default(),
            pool: ConnectionPool::default(),
            successor_places: SuccessorPlaces::default(),
            configuration_age: ConfigurationAge::default(),
            coordinator: CoordinatorClient::default(),
            allotments: Allotments::default(),
            limits: Limits::default(),
            poison: PoisonTracker::default(),
            versions: Versions::default(),
            missing_models: MissingModels::default(),
            vocabulary,
            stop_signals,
            report_events,
            upstreams: Mutex::new(upstreams),
            upstreams_changed: Condvar::new(),
            upstream_change_count: AtomicU64::new(0),
            retry_budget: Mutex::new(retry_budget),
            first_byte_times: Mutex::default(),
            unconfirmed_engines: Mutex::default(),
            members: Mutex::new(Addresses::new()),
            leadership: OnceLock::new(),
            relay: OnceLock::new(),
            engines: OnceLock::new(),
            upstreams_listed: AtomicBool::new(false),
            is_stopping: AtomicBool::new(false),
            is_refusing_requests: AtomicBool::new(false),
            should_end_waits: AtomicBool::new(false),
            waits_end_at: OnceLock::new(),
            in_progress: AtomicUsize::new(0),
            instance_count: AtomicUsize::new(0),
            body_memory: MemoryPool::new(MAX_RESERVED_BYTES),
            answer_memory: MemoryPool::new(MAX_RESERVED_BYTES),
            open_ended_memory: MemoryPool::new(MAX_OPEN_ENDED_BYTES),
        }
    }

    /// The upstreams; the lock is held for one decision at a time.
    pub fn upstreams(&self) -> MutexGuard<'_, UpstreamTable> {
        lock(&self.upstreams)
    }

    /// Sends an event to the thread that reports to the holder.
    pub fn report(&self, event: ReportEvent) {
        // The receiving thread ends only with the instance.
        let _ = self.report_events.send(event);
    }

    /// Wakes requests that wait for an upstream.
    pub fn notify_upstreams_changed(&self) {
        self.upstream_change_count.fetch_add(1, Ordering::AcqRel);
        // After this lock a thread that is about to wait has seen the new count, or it waits
        // already and is notified.
        drop(self.upstreams());
        self.upstreams_changed.notify_all();
    }

    /// Number of changes of upstreams, for [`Shared::wait_for_upstream_change`].
    pub fn upstream_change_count(&self) -> u64 {
        self.upstream_change_count.load(Ordering::Acquire)
    }

    /// Waits until upstreams have changed since the count `seen_count`, at most for `max_wait`.
    pub fn wait_for_upstream_change(&self, seen_count: u64, max_wait: Duration) {
        let guard = self.upstreams();
        if self.upstream_change_count() == seen_count {
            // The caller checks its condition again in any case.
            drop(self.upstreams_changed.wait_timeout(guard, max_wait));
        }
    }

    /// The retry budget.
    pub fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retry_budget)
    }

    /// Engines to which an order of the holder is unconfirmed, by the holder's last message.
    pub fn unconfirmed_engines(&self) -> BTreeSet<UpstreamId> {
        lock(&self.unconfirmed_engines).clone()
    }

    /// Sets the engines to which an order of the holder has no answer yet.
    pub fn set_unconfirmed_engines(&self, engines: BTreeSet<UpstreamId>) {
        *lock(&self.unconfirmed_engines) = engines;
    }

    /// How long upstreams usually take to the first byte.
    pub fn first_byte_times(&self) -> MutexGuard<'_, FirstByteTimes> {
        lock(&self.first_byte_times)
    }

    /// Instances that the holder knows, and their addresses.
    pub fn members(&self) -> MutexGuard<'_, Addresses> {
        lock(&self.members)
    }

    /// The leadership as this instance knows it; `None` while the process starts.
    pub fn leadership(&self) -> Option<&Arc<LeadershipDriver>> {
        self.leadership.get()
    }

    /// Sets the leadership, once.
    pub fn set_leadership(&self, leadership: Arc<LeadershipDriver>) {
        // Each process has exactly one.
        let _ = self.leadership.set(leadership);
    }

    /// What this instance receives from the holder; `None` while the process starts.
    pub fn relay(&self) -> Option<&Arc<Relay>> {
        self.relay.get()
    }

    /// Sets the relay, once.
    pub fn set_relay(&self, relay: Arc<Relay>) {
        // Each process has exactly one.
        let _ = self.relay.set(relay);
    }

    /// The control interface of engines; `None` while the process starts.
    pub fn engines(&self) -> Option<Arc<dyn Engines>> {
        self.engines.get().cloned()
    }

    /// Sets the control interface of engines, once.
    pub fn set_engines(&self, engines: Arc<dyn Engines>) {
        // Each process has exactly one.
        let _ = self.engines.set(engines);
    }

    /// Records that starts of an upstream before `before_ms` ended without a leaving signal.
    /// `before_ms` is in Unix milliseconds by the upstream's own clock. Requests that broke off
    /// there become suspects.
    pub fn starts_ended(&self, upstream: &str, before_ms: u64) {
        for suspect in self.poison.record_ended(upstream, before_ms) {
            self.report(ReportEvent::Suspect(suspect));
        }
    }

    /// Ends what belongs to the previous starts of upstreams that have started again under their ids: their
    /// connections are dead.
    pub fn handle_restarts(&self) {
        let restarted = self.upstreams().take_restarted();
        self.versions.handle_restarts(&restarted);
        for upstream in &restarted {
            let id = &upstream.id;
            log::info!(target: DECISION_TARGET, upstream:% = id; "an upstream has started again under its id");
            self.pool.close_idle(id);
            let started_at_ms = self.upstreams().started_at_ms(id);
            self.starts_ended(id, started_at_ms);
        }
    }

    /// Addresses of the other instances that this one knows.
    pub fn other_instances(&self) -> Vec<SocketAddr> {
        let dispatchers = self.dispatch.dispatcher_list();
        let dispatchers = dispatchers.into_iter().map(|one| one.address);
        let mut addresses: BTreeSet<SocketAddr> = dispatchers.collect();
        addresses.extend(self.members().values());
        addresses.remove(&self.settings.peer_address);
        addresses.into_iter().collect()
    }

    /// Time within which a revoked key must stop working, if the configuration in effect has keys
    /// and the bounds set such a time.
    pub fn revocation_bound(&self) -> Option<Duration> {
        let bound = self.bounds.load().revocation?;
        let routes = self.routes.load();
        let has_keys = routes
            .as_ref()
            .is_some_and(|table| table.workspaces.is_some());
        has_keys.then_some(bound)
    }

    /// Whether the configuration in effect has allotments.
    pub fn has_allotments(&self) -> bool {
        let routes = self.routes.load();
        let workspaces = routes.as_ref().and_then(|table| table.workspaces.as_ref());
        workspaces.is_some_and(Workspaces::has_allotments)
    }

    /// Whether the coordinator of allotments can be queried; true without allotments.
    fn is_coordinator_reachable(&self) -> bool {
        let silence = self.configuration_age.holder_silence();
        !self.has_allotments() || silence.is_some_and(|time| time < MAX_COORDINATOR_SILENCE)
    }

    /// Whether the configuration is recent enough to accept the keys in it.
    fn may_accept_keys(&self) -> bool {
        let bound = self.revocation_bound();
        bound.is_none_or(|bound| self.configuration_age.is_proved_within(bound))
    }

    /// Passes the common properties of a service's engines, in the configuration in effect.
    pub fn with_pool<T>(
        &self,
        service: &ServiceName,
        read: impl FnOnce(Option<&EnginePool>) -> T,
    ) -> T {
        let table = self.routes.load();
        let service = table.as_ref().and_then(|table| table.services.get(service));
        read(service.and_then(|service| service.pool.as_ref()))
    }

    /// Applies changed bounds.
    pub fn apply_bounds(&self, bounds: InstanceBounds) {
        if **self.bounds.load() == bounds {
            return;
        }
        log::info!(bounds:? = bounds; "bounds have changed");
        self.retry_budget().set_allowance(bounds.retry);
        self.bounds.store(Arc::new(bounds));
    }

    /// Divides the fleet's allowances by the number of instances and a reserve for those that may
    /// join.
    pub fn set_instance_count(&self, instances: usize) {
        self.instance_count.store(instances, Ordering::Release);
        let shared_by = instances + instances / 4 + 1;
        self.retry_budget().set_instances(shared_by, clock::now());
        self.store_health.set_instances(instances);
    }

    /// Number of instances in the last message of the holder; 0 before the first.
    pub fn instance_count(&self) -> usize {
        self.instance_count.load(Ordering::Acquire)
    }

    /// Records that all upstreams have been listed.
    pub fn mark_upstreams_listed(&self) {
        self.upstreams_listed.store(true, Ordering::Release);
    }

    /// Whether the balancer may send callers to this instance: requests can be served, including
    /// those with keys and those that charge allotments.
    pub fn is_ready(&self) -> bool {
        self.can_serve() && self.may_accept_keys() && self.is_coordinator_reachable()
    }

    /// Whether requests can be served: the instance is not stopping and knows the configuration,
    /// the upstreams and the requests that crash them.
    pub fn can_serve(&self) -> bool {
        !self.is_stopping()
            && self.poison.has_fleet_list()
            && self.upstreams_listed.load(Ordering::Acquire)
            && self.routes.load().is_some()
    }

    /// Whether the process is about to exit.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// Begins a stop; requests that still wait at `ends_at` are answered then.
    pub fn begin_stop(&self, ends_at: Instant) {
        // A second stop changes nothing: the time of the first one is already in use.
        let _ = self.waits_end_at.set(ends_at);
        self.is_stopping.store(true, Ordering::Release);
        self.notify_upstreams_changed();
    }

    /// When a stop ends the remaining waits, if a stop has begun.
    pub fn waits_end_at(&self) -> Option<Instant> {
        self.waits_end_at.get().copied()
    }

    /// Whether requests that still wait are answered now.
    pub fn should_end_waits(&self) -> bool {
        self.should_end_waits.load(Ordering::Acquire)
    }

    /// Ends all current and future waits for an upstream.
    pub fn end_waits(&self) {
        self.should_end_waits.store(true, Ordering::Release);
        self.notify_upstreams_changed();
    }

    /// The end of this instance.
    pub fn termination(&self) -> &Termination {
        &self.stop_signals.termination
    }

    /// Ends all threads of this instance, as a kill of its process would.
    pub fn terminate(&self) {
        self.stop_signals.terminate();
        self.end_waits();
        self.configuration_age.wake_up();
        if let Some(leadership) = self.leadership() {
            leadership.wake_up();
        }
    }

    /// Whether requests are refused because they might not finish before the process exits.
    pub fn is_refusing_requests(&self) -> bool {
        self.is_refusing_requests.load(Ordering::Acquire)
    }

    /// Refuses requests from now on.
    pub fn refuse_requests(&self) {
        self.is_refusing_requests.store(true, Ordering::Release);
    }

    /// Number of requests whose answer is not complete.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Acquire)
    }

    /// Counts a request as in progress until the guard is dropped.
    pub fn count_in_progress(self: &Arc<Self>) -> InProgressGuard {
        self.in_progress.fetch_add(1, Ordering::AcqRel);
        InProgressGuard(self.clone())
    }
}

impl Shared {
    /// Reserves memory for a request's body; `None` if other bodies leave too little. A body above
    /// the whole bound is accepted while no other body is reserved.
    pub fn reserve_body(&self, bytes: usize) -> Option<MemoryReservation> {
        self.body_memory.reserve(bytes)
    }

    /// Reserves memory for an answer of known length that is delivered whole; `None` if answers that
    /// other callers have not read leave too little. An answer above the whole bound is accepted while no
    /// other answer is reserved.
    pub fn reserve_answer(&self, bytes: usize) -> Option<MemoryReservation> {
        self.answer_memory.reserve(bytes)
    }
}

/// Counts one request as in progress until dropped.
#[derive(Debug)]
pub struct InProgressGuard(Arc<Shared>);

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}
