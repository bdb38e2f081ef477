//! What the threads of an instance share.

use crate::allotments::Allotments;
use crate::dispatch::Dispatch;
use crate::freshness::ConfigurationAge;
use crate::health::StoreHealth;
use crate::keeper::KeeperLink;
use crate::limits::Limits;
use crate::members::Addresses;
use crate::metrics::Metrics;
use crate::poison::Poison;
use crate::pool::ConnectionPool;
use crate::right::Right;
use arc_swap::{ArcSwap, ArcSwapOption};
use crossbeam::channel::Sender;
use passway_serving::poison::{Suspect, UpstreamStart};
use passway_serving::ports::{Engines, InstanceBounds, InstanceSettings, Vocabulary};
use passway_serving::retry::RetryBudget;
use passway_serving::routes::RouteTable;
use passway_serving::upstreams::{ModelRef, UpstreamTable};
use passway_serving::usual_time::UsualTimes;
use passway_serving::workspaces::Workspaces;
use passway_types::clock;
use passway_types::prelude::*;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, OnceLock, PoisonError};

/// What requests tell the thread that knows the holder of the right to order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReportEvent {
    /// A request waits for a model or adapter.
    WaitStarted {
        /// The service.
        service: ServiceName,
        /// What it needs.
        model_ref: ModelRef,
        /// When it is of no use any more.
        until: Instant,
    },
    /// A request that waited does so no more.
    WaitEnded {
        /// The service.
        service: ServiceName,
        /// What it waited for.
        model_ref: ModelRef,
    },
    /// A request was refused since what it needs comes too late for it; it counts as waiting for as
    /// long as it would have.
    RefusedAsTooLate {
        /// The service.
        service: ServiceName,
        /// What it needs.
        model_ref: ModelRef,
        /// How long it would have waited.
        until: Instant,
    },
    /// What became known of a request under which upstreams crashed.
    Suspect(Suspect),
    /// A start of an upstream broke off at a moment and may have ended.
    StartBroken(UpstreamStart, Instant),
    /// An upstream says something else of itself than before.
    SignalsChanged(UpstreamId),
    /// A connection to the holder stands.
    HolderConnected,
    /// A request for a model was taken, whether it waits or not.
    RequestAccepted {
        /// The service.
        service: ServiceName,
        /// What it needs.
        model_ref: ModelRef,
    },
}

/// Most bytes that the bodies of all requests in progress may have together: a fifth of the
/// memory of the smallest instance (160 MB).
pub const MAX_RESERVED_BYTES: usize = 32 << 20;

/// An instance that does not hear the keeper of allotments for so long lets callers be sent elsewhere. A
/// keeper that is lost has a successor before that.
const MAX_COORDINATOR_SILENCE: Duration = Duration::from_secs(2);

/// The state that the threads of an instance share.
pub struct Shared {
    /// The settings that the process started with; addresses and names stay as they are.
    pub settings: InstanceSettings,
    /// The bounds in force, which may change while the process runs.
    pub bounds: ArcSwap<InstanceBounds>,
    /// The configuration in force; read without a lock.
    pub routes: ArcSwapOption<RouteTable>,
    /// Whether the store answers.
    pub store_health: StoreHealth,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Connections to upstreams that rest.
    pub pool: ConnectionPool,
    /// Which engine a request goes to, in a large fleet.
    pub dispatch: Dispatch,
    /// How new the configuration is for sure.
    pub configuration_age: ConfigurationAge,
    /// Questions to the instance that counts for all.
    pub coordinator: KeeperLink,
    /// What workspaces may use.
    pub allotments: Allotments,
    /// What goes to upstreams in need.
    pub limits: Limits,
    /// Requests that crash upstreams.
    pub poison: Poison,
    /// The words of callers and upstreams.
    pub vocabulary: Box<dyn Vocabulary>,
    report_events: Sender<ReportEvent>,
    upstreams: Mutex<UpstreamTable>,
    upstreams_changed: Condvar,
    /// Changes of upstreams so far.
    upstream_change_count: AtomicU64,
    retry_budget: Mutex<RetryBudget>,
    usual_times: Mutex<UsualTimes>,
    unconfirmed_engines: Mutex<BTreeSet<UpstreamId>>,
    members: Mutex<Addresses>,
    leadership: OnceLock<Arc<Right>>,
    engines: OnceLock<Arc<dyn Engines>>,
    upstreams_listed: AtomicBool,
    is_stopping: AtomicBool,
    /// Requests are not taken any more: the balancer has had time to notice the stop.
    is_refusing_requests: AtomicBool,
    /// Whatever still waits is answered now: the process is about to end.
    should_end_waits: AtomicBool,
    /// The moment at which a stop ends what waits; set when the stop begins.
    waits_end_at: OnceLock<Instant>,
    in_progress: AtomicUsize,
    /// How many instances there are, as the holder told last; 0 if it has not.
    instance_count: AtomicUsize,
    /// Bytes of the bodies of requests in progress.
    reserved_body_bytes: AtomicUsize,
    /// Bytes of the answers that are held whole.
    reserved_answer_bytes: AtomicUsize,
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
    /// Nothing known and nothing in progress.
    pub fn new(
        settings: InstanceSettings,
        vocabulary: Box<dyn Vocabulary>,
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
            pool: ConnectionPool::default(),
            configuration_age: ConfigurationAge::default(),
            coordinator: KeeperLink::default(),
            allotments: Allotments::default(),
            limits: Limits::default(),
            poison: Poison::default(),
            vocabulary,
            report_events,
            upstreams: Mutex::new(upstreams),
            upstreams_changed: Condvar::new(),
            upstream_change_count: AtomicU64::new(0),
            retry_budget: Mutex::new(retry_budget),
            usual_times: Mutex::default(),
            unconfirmed_engines: Mutex::default(),
            members: Mutex::new(Addresses::new()),
            leadership: OnceLock::new(),
            engines: OnceLock::new(),
            upstreams_listed: AtomicBool::new(false),
            is_stopping: AtomicBool::new(false),
            is_refusing_requests: AtomicBool::new(false),
            should_end_waits: AtomicBool::new(false),
            waits_end_at: OnceLock::new(),
            in_progress: AtomicUsize::new(0),
            instance_count: AtomicUsize::new(0),
            reserved_body_bytes: AtomicUsize::new(0),
            reserved_answer_bytes: AtomicUsize::new(0),
        }
    }

    /// The upstreams; the lock is held for one decision at a time.
    pub fn upstreams(&self) -> MutexGuard<'_, UpstreamTable> {
        lock(&self.upstreams)
    }

    /// Tells the thread that knows the holder of the right to order.
    pub fn report(&self, need: ReportEvent) {
        // The thread that hears it ends only with the process.
        let _ = self.report_events.send(need);
    }

    /// Wakes requests that wait for an upstream.
    pub fn notify_upstreams_changed(&self) {
        self.upstream_change_count.fetch_add(1, Ordering::AcqRel);
        // Whoever is about to wait has seen the change, or waits by now and is woken.
        drop(self.upstreams());
        self.upstreams_changed.notify_all();
    }

    /// A point in the series of changes of upstreams.
    pub fn upstream_change_count(&self) -> u64 {
        self.upstream_change_count.load(Ordering::Acquire)
    }

    /// Waits until upstreams have changed since a point, `most` at the longest.
    pub fn wait_for_upstream_change(&self, seen: u64, most: Duration) {
        let guard = self.upstreams();
        if self.upstream_change_count() == seen {
            // The caller looks again in any case.
            drop(self.upstreams_changed.wait_timeout(guard, most));
        }
    }

    /// The retry budget.
    pub fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retry_budget)
    }

    /// Engines to which an order of the holder may be carried out yet, as it told last.
    pub fn unconfirmed_engines(&self) -> BTreeSet<UpstreamId> {
        lock(&self.unconfirmed_engines).clone()
    }

    /// The holder tells to which engines an order has no answer.
    pub fn set_unconfirmed_engines(&self, engines: BTreeSet<UpstreamId>) {
        *lock(&self.unconfirmed_engines) = engines;
    }

    /// How long upstreams usually take to the first byte.
    pub fn usual_times(&self) -> MutexGuard<'_, UsualTimes> {
        lock(&self.usual_times)
    }

    /// Instances that the holder of the right to order knows, and where they listen.
    pub fn members(&self) -> MutexGuard<'_, Addresses> {
        lock(&self.members)
    }

    /// The right to order, as this instance knows it; `None` while the process starts.
    pub fn leadership(&self) -> Option<&Arc<Right>> {
        self.leadership.get()
    }

    /// Sets the right to order, once.
    pub fn set_leadership(&self, right: Arc<Right>) {
        // A process has one.
        let _ = self.leadership.set(right);
    }

    /// The control side of engines; `None` while the process starts.
    pub fn engines(&self) -> Option<Arc<dyn Engines>> {
        self.engines.get().cloned()
    }

    /// Sets the control side of engines, once.
    pub fn set_engines(&self, engines: Arc<dyn Engines>) {
        // A process has one.
        let _ = self.engines.set(engines);
    }

    /// Starts of an upstream before a moment in Unix milliseconds, by its own clock, have ended without
    /// having said so: the requests that broke off there may be why.
    pub fn record_ended_starts(&self, upstream: &str, before_ms: u64) {
        for suspect in self.poison.ended(upstream, before_ms) {
            self.report(ReportEvent::Suspect(suspect));
        }
    }

    /// Where other instances listen, as far as they are known here.
    pub fn other_instances(&self) -> Vec<SocketAddr> {
        let dispatchers = self.dispatch.dispatcher_list();
        let dispatchers = dispatchers.into_iter().map(|one| one.address);
        let mut all: BTreeSet<SocketAddr> = dispatchers.collect();
        all.extend(self.members().values());
        all.remove(&self.settings.peer_address);
        all.into_iter().collect()
    }

    /// Time within which a key that was taken away must have stopped, if the configuration in
    /// force has keys and there is such a bound.
    pub fn revocation_bound(&self) -> Option<Duration> {
        let bound = self.bounds.load().revocation?;
        let routes = self.routes.load();
        let has_keys = routes.as_ref().is_some_and(|t| t.workspaces.is_some());
        has_keys.then_some(bound)
    }

    /// Whether the configuration in force has allotments.
    pub fn has_allotments(&self) -> bool {
        let routes = self.routes.load();
        let workspaces = routes.as_ref().and_then(|table| table.workspaces.as_ref());
        workspaces.is_some_and(Workspaces::has_allotments)
    }

    /// Whether the keeper of allotments, if there are any, can be asked.
    fn is_coordinator_reachable(&self) -> bool {
        let silence = self.configuration_age.holder_silence();
        !self.has_allotments() || silence.is_some_and(|time| time < MAX_COORDINATOR_SILENCE)
    }

    /// Whether the keys that are known here may be acted on.
    fn may_accept_keys(&self) -> bool {
        let bound = self.revocation_bound();
        bound.is_none_or(|bound| self.configuration_age.permits(bound))
    }

    /// Uses bounds that have changed.
    pub fn apply_bounds(&self, bounds: InstanceBounds) {
        if **self.bounds.load() == bounds {
            return;
        }
        log::info!(bounds:? = bounds; "bounds have changed");
        self.retry_budget().set_allowance(bounds.retry);
        self.bounds.store(Arc::new(bounds));
    }

    /// Shares the fleet's allowances among so many instances, and some that may join.
    pub fn set_instance_count(&self, instances: usize) {
        self.instance_count.store(instances, Ordering::Release);
        let shared_by = instances + instances / 4 + 1;
        self.retry_budget().set_instances(shared_by, clock::now());
        self.store_health.set_instances(instances);
    }

    /// How many instances there are, as the holder told last; 0 if it has not.
    pub fn instance_count(&self) -> usize {
        self.instance_count.load(Ordering::Acquire)
    }

    /// The upstreams were listed whole.
    pub fn mark_upstreams_listed(&self) {
        self.upstreams_listed.store(true, Ordering::Release);
    }

    /// Whether callers are served here as well as elsewhere: requests can be served, and those
    /// with keys too.
    pub fn is_ready(&self) -> bool {
        self.can_serve() && self.may_accept_keys() && self.is_coordinator_reachable()
    }

    /// Whether requests can be served: the configuration and the upstreams are known, and
    /// which requests crash them.
    pub fn can_serve(&self) -> bool {
        !self.is_stopping()
            && self.poison.is_told()
            && self.upstreams_listed.load(Ordering::Acquire)
            && self.routes.load().is_some()
    }

    /// Whether the process is about to end.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// The process is about to end; what still waits at `ends_at` is answered then.
    pub fn begin_stop(&self, ends_at: Instant) {
        // A second stop changes nothing: the first one's moment has been counted on.
        let _ = self.waits_end_at.set(ends_at);
        self.is_stopping.store(true, Ordering::Release);
        self.notify_upstreams_changed();
    }

    /// The moment at which a stop ends what still waits, if a stop has begun.
    pub fn waits_end_at(&self) -> Option<Instant> {
        self.waits_end_at.get().copied()
    }

    /// Whether whatever still waits is answered now.
    pub fn should_end_waits(&self) -> bool {
        self.should_end_waits.load(Ordering::Acquire)
    }

    /// Ends requests' waits for an upstream, now and later.
    pub fn end_waits(&self) {
        self.should_end_waits.store(true, Ordering::Release);
        self.notify_upstreams_changed();
    }

    /// Whether requests are refused, since they might not end before the process does.
    pub fn is_refusing_requests(&self) -> bool {
        self.is_refusing_requests.load(Ordering::Acquire)
    }

    /// Refuses requests from now on.
    pub fn refuse_requests(&self) {
        self.is_refusing_requests.store(true, Ordering::Release);
    }

    /// Requests whose answer is not complete.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Acquire)
    }

    /// Counts a request in until the guard is dropped.
    pub fn count_in_progress(self: &Arc<Self>) -> InProgressGuard {
        self.in_progress.fetch_add(1, Ordering::AcqRel);
        InProgressGuard(self.clone())
    }
}

impl Shared {
    /// Takes room for a request's body; `None` if the bodies of others leave none. One that is
    /// larger than all may be is let in alone.
    pub fn reserve_body(self: &Arc<Self>, bytes: usize) -> Option<MemoryReservation> {
        self.reserve(ReservationKind::Body, bytes)
    }

    /// Takes room for an answer that goes to its caller whole; `None` if those that others have not read leave
    /// none. One that is larger than all may be is let in alone.
    pub fn reserve_answer(self: &Arc<Self>, bytes: usize) -> Option<MemoryReservation> {
        self.reserve(ReservationKind::Answer, bytes)
    }

    fn reserve(self: &Arc<Self>, what: ReservationKind, bytes: usize) -> Option<MemoryReservation> {
        let mut held = MemoryReservation {
            shared: self.clone(),
            what,
            bytes: 0,
        };
        held.resize(bytes).then_some(held)
    }

    fn reserved_bytes(&self, what: ReservationKind) -> &AtomicUsize {
        match what {
            ReservationKind::Body => &self.reserved_body_bytes,
            ReservationKind::Answer => &self.reserved_answer_bytes,
        }
    }
}

/// What room is taken for. Each has its own: requests that hold bodies wait for their answers.
#[derive(Debug, Clone, Copy)]
enum ReservationKind {
    Body,
    Answer,
}

/// Room for a request's body or its answer, which is free again when this is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    shared: Arc<Shared>,
    what: ReservationKind,
    bytes: usize,
}

impl MemoryReservation {
    /// Takes as much room as it needs; whether there is so much. If not, it keeps what
    /// it has.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let mine = self.bytes;
        let fits = |all: usize| {
            let others = all - mine;
            let fits = others == 0 || others + bytes <= MAX_RESERVED_BYTES;
            (fits || bytes <= mine).then_some(others + bytes)
        };
        let all = self.shared.reserved_bytes(self.what);
        let taken = all.fetch_update(Ordering::AcqRel, Ordering::Acquire, fits);
        if taken.is_ok() {
            self.bytes = bytes;
        }
        taken.is_ok()
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        let all = self.shared.reserved_bytes(self.what);
        all.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

/// Counts one request as in progress while it lives.
#[derive(Debug)]
pub struct InProgressGuard(Arc<Shared>);

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}
