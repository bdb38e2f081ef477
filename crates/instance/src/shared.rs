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
use passway_serving::first_byte_times::FirstByteTimes;
use passway_serving::poison::{Suspect, UpstreamStart};
use passway_serving::ports::{Engines, HeaderProtocol, InstanceBounds, InstanceSettings};
use passway_serving::retry::RetryBudget;
use passway_serving::routes::RouteTable;
use passway_serving::upstreams::{ModelRef, UpstreamTable};
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
pub enum Need {
    /// A request waits for a model or adapter.
    Waits {
        /// The service.
        service: ServiceName,
        /// What it needs.
        wish: ModelRef,
        /// When it is of no use any more.
        until: Instant,
    },
    /// A request that waited does so no more.
    WaitEnds {
        /// The service.
        service: ServiceName,
        /// What it waited for.
        wish: ModelRef,
    },
    /// A request was refused since what it needs comes too late for it; it counts as waiting for as
    /// long as it would have.
    Missed {
        /// The service.
        service: ServiceName,
        /// What it needs.
        wish: ModelRef,
        /// How long it would have waited.
        until: Instant,
    },
    /// What became known of a request under which upstreams crashed.
    Suspect(Suspect),
    /// A start of an upstream broke off at a moment and may have ended.
    Broke(UpstreamStart, Instant),
    /// An upstream says something else of itself than before.
    Word(UpstreamId),
    /// A connection to the holder stands.
    HolderReached,
    /// A request for a model was taken, whether it waits or not.
    Taken {
        /// The service.
        service: ServiceName,
        /// What it needs.
        wish: ModelRef,
    },
}

/// Most bytes that the bodies of all requests in progress may have together: a fifth of the
/// memory of the smallest instance (160 MB).
pub const MAX_HELD_BODIES_BYTES: usize = 32 << 20;

/// An instance that does not hear the keeper of allotments for so long lets callers be sent elsewhere. A
/// keeper that is lost has a successor before that.
const KEEPER_SILENCE: Duration = Duration::from_secs(2);

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
    pub keeper: KeeperLink,
    /// What workspaces may use.
    pub allotments: Allotments,
    /// What goes to upstreams in need.
    pub limits: Limits,
    /// Requests that crash upstreams.
    pub poison: Poison,
    /// The words of callers and upstreams.
    pub vocabulary: Box<dyn HeaderProtocol>,
    needs: Sender<Need>,
    upstreams: Mutex<UpstreamTable>,
    upstreams_changed: Condvar,
    /// Changes of upstreams so far.
    upstream_changes: AtomicU64,
    retries: Mutex<RetryBudget>,
    usual_times: Mutex<FirstByteTimes>,
    doubtful_engines: Mutex<BTreeSet<UpstreamId>>,
    members: Mutex<Addresses>,
    right: OnceLock<Arc<Right>>,
    engines: OnceLock<Arc<dyn Engines>>,
    upstreams_listed: AtomicBool,
    stopping: AtomicBool,
    /// Requests are not taken any more: the balancer has had time to notice the stop.
    closed: AtomicBool,
    /// Whatever still waits is answered now: the process is about to end.
    ending: AtomicBool,
    /// The moment at which a stop ends what waits; set when the stop begins.
    ends_at: OnceLock<Instant>,
    in_progress: AtomicUsize,
    /// How many instances there are, as the holder told last; 0 if it has not.
    instances: AtomicUsize,
    /// Bytes of the bodies of requests in progress.
    held_bodies: AtomicUsize,
    /// Bytes of the answers that are held whole.
    held_answers: AtomicUsize,
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
        vocabulary: Box<dyn HeaderProtocol>,
        needs: Sender<Need>,
    ) -> Self {
        let upstreams =
            UpstreamTable::new(settings.hall.clone()).with_regions(settings.regions.clone());
        let retries = RetryBudget::new(settings.bounds.retry);
        Self {
            bounds: ArcSwap::from_pointee(settings.bounds),
            dispatch: Dispatch::bind(settings.peer_address),
            settings,
            routes: ArcSwapOption::empty(),
            store_health: StoreHealth::default(),
            metrics: Metrics::default(),
            pool: ConnectionPool::default(),
            configuration_age: ConfigurationAge::default(),
            keeper: KeeperLink::default(),
            allotments: Allotments::default(),
            limits: Limits::default(),
            poison: Poison::default(),
            vocabulary,
            needs,
            upstreams: Mutex::new(upstreams),
            upstreams_changed: Condvar::new(),
            upstream_changes: AtomicU64::new(0),
            retries: Mutex::new(retries),
            usual_times: Mutex::default(),
            doubtful_engines: Mutex::default(),
            members: Mutex::new(Addresses::new()),
            right: OnceLock::new(),
            engines: OnceLock::new(),
            upstreams_listed: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            ending: AtomicBool::new(false),
            ends_at: OnceLock::new(),
            in_progress: AtomicUsize::new(0),
            instances: AtomicUsize::new(0),
            held_bodies: AtomicUsize::new(0),
            held_answers: AtomicUsize::new(0),
        }
    }

    /// The upstreams; the lock is held for one decision at a time.
    pub fn upstreams(&self) -> MutexGuard<'_, UpstreamTable> {
        lock(&self.upstreams)
    }

    /// Tells the thread that knows the holder of the right to order.
    pub fn tell(&self, need: Need) {
        // The thread that hears it ends only with the process.
        let _ = self.needs.send(need);
    }

    /// Wakes requests that wait for an upstream.
    pub fn upstreams_changed(&self) {
        self.upstream_changes.fetch_add(1, Ordering::AcqRel);
        // Whoever is about to wait has seen the change, or waits by now and is woken.
        drop(self.upstreams());
        self.upstreams_changed.notify_all();
    }

    /// A point in the series of changes of upstreams.
    pub fn changes_seen(&self) -> u64 {
        self.upstream_changes.load(Ordering::Acquire)
    }

    /// Waits until upstreams have changed since a point, `most` at the longest.
    pub fn wait_for_upstreams(&self, seen: u64, most: Duration) {
        let guard = self.upstreams();
        if self.changes_seen() == seen {
            // The caller looks again in any case.
            drop(self.upstreams_changed.wait_timeout(guard, most));
        }
    }

    /// The retry budget.
    pub fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retries)
    }

    /// Engines to which an order of the holder may be carried out yet, as it told last.
    pub fn doubtful_engines(&self) -> BTreeSet<UpstreamId> {
        lock(&self.doubtful_engines).clone()
    }

    /// The holder tells to which engines an order has no answer.
    pub fn set_doubtful_engines(&self, engines: BTreeSet<UpstreamId>) {
        *lock(&self.doubtful_engines) = engines;
    }

    /// How long upstreams usually take to the first byte.
    pub fn usual_times(&self) -> MutexGuard<'_, FirstByteTimes> {
        lock(&self.usual_times)
    }

    /// Instances that the holder of the right to order knows, and where they listen.
    pub fn members(&self) -> MutexGuard<'_, Addresses> {
        lock(&self.members)
    }

    /// The right to order, as this instance knows it; `None` while the process starts.
    pub fn right(&self) -> Option<&Arc<Right>> {
        self.right.get()
    }

    /// Sets the right to order, once.
    pub fn set_right(&self, right: Arc<Right>) {
        // A process has one.
        let _ = self.right.set(right);
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
    pub fn upstream_ended(&self, upstream: &str, before_ms: u64) {
        for suspect in self.poison.ended(upstream, before_ms) {
            self.tell(Need::Suspect(suspect));
        }
    }

    /// Where other instances listen, as far as they are known here.
    pub fn other_instances(&self) -> Vec<SocketAddr> {
        let dispatchers = self.dispatch.list();
        let dispatchers = dispatchers.into_iter().map(|one| one.address);
        let mut all: BTreeSet<SocketAddr> = dispatchers.collect();
        all.extend(self.members().values());
        all.remove(&self.settings.peer_address);
        all.into_iter().collect()
    }

    /// Time within which a key that was taken away must have stopped, if the configuration in
    /// force has keys and there is such a bound.
    pub fn revocation(&self) -> Option<Duration> {
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
    fn hears_keeper(&self) -> bool {
        let silence = self.configuration_age.holder_silence();
        !self.has_allotments() || silence.is_some_and(|time| time < KEEPER_SILENCE)
    }

    /// Whether the keys that are known here may be acted on.
    fn may_act_on_keys(&self) -> bool {
        let bound = self.revocation();
        bound.is_none_or(|bound| self.configuration_age.permits(bound))
    }

    /// Uses bounds that have changed.
    pub fn use_bounds(&self, bounds: InstanceBounds) {
        if **self.bounds.load() == bounds {
            return;
        }
        log::info!(bounds:? = bounds; "bounds have changed");
        self.retries().set_allowance(bounds.retry);
        self.bounds.store(Arc::new(bounds));
    }

    /// Shares the fleet's allowances among so many instances, and some that may join.
    pub fn use_instances(&self, instances: usize) {
        self.instances.store(instances, Ordering::Release);
        let shared_by = instances + instances / 4 + 1;
        self.retries().set_instances(shared_by, clock::now());
        self.store_health.set_instances(instances);
    }

    /// How many instances there are, as the holder told last; 0 if it has not.
    pub fn instances(&self) -> usize {
        self.instances.load(Ordering::Acquire)
    }

    /// The upstreams were listed whole.
    pub fn set_upstreams_listed(&self) {
        self.upstreams_listed.store(true, Ordering::Release);
    }

    /// Whether callers are served here as well as elsewhere: requests can be served, and those
    /// with keys too.
    pub fn is_ready(&self) -> bool {
        self.can_serve() && self.may_act_on_keys() && self.hears_keeper()
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
        self.stopping.load(Ordering::Acquire)
    }

    /// The process is about to end; what still waits at `ends_at` is answered then.
    pub fn stop(&self, ends_at: Instant) {
        // A second stop changes nothing: the first one's moment has been counted on.
        let _ = self.ends_at.set(ends_at);
        self.stopping.store(true, Ordering::Release);
        self.upstreams_changed();
    }

    /// The moment at which a stop ends what still waits, if a stop has begun.
    pub fn ends_at(&self) -> Option<Instant> {
        self.ends_at.get().copied()
    }

    /// Whether whatever still waits is answered now.
    pub fn is_ending(&self) -> bool {
        self.ending.load(Ordering::Acquire)
    }

    /// Ends requests' waits for an upstream, now and later.
    pub fn end(&self) {
        self.ending.store(true, Ordering::Release);
        self.upstreams_changed();
    }

    /// Whether requests are refused, since they might not end before the process does.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Refuses requests from now on.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// Requests whose answer is not complete.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Acquire)
    }

    /// Counts a request in until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> InProgress {
        self.in_progress.fetch_add(1, Ordering::AcqRel);
        InProgress(self.clone())
    }
}

impl Shared {
    /// Takes room for a request's body; `None` if the bodies of others leave none. One that is
    /// larger than all may be is let in alone.
    pub fn hold_body(self: &Arc<Self>, bytes: usize) -> Option<Held> {
        self.hold(Holds::Body, bytes)
    }

    /// Takes room for an answer that goes to its caller whole; `None` if those that others have not read leave
    /// none. One that is larger than all may be is let in alone.
    pub fn hold_answer(self: &Arc<Self>, bytes: usize) -> Option<Held> {
        self.hold(Holds::Answer, bytes)
    }

    fn hold(self: &Arc<Self>, what: Holds, bytes: usize) -> Option<Held> {
        let mut held = Held {
            shared: self.clone(),
            what,
            bytes: 0,
        };
        held.set_bytes(bytes).then_some(held)
    }

    fn held(&self, what: Holds) -> &AtomicUsize {
        match what {
            Holds::Body => &self.held_bodies,
            Holds::Answer => &self.held_answers,
        }
    }
}

/// What room is taken for. Each has its own: requests that hold bodies wait for their answers.
#[derive(Debug, Clone, Copy)]
enum Holds {
    Body,
    Answer,
}

/// Room for a request's body or its answer, which is free again when this is dropped.
#[derive(Debug)]
pub struct Held {
    shared: Arc<Shared>,
    what: Holds,
    bytes: usize,
}

impl Held {
    /// Takes as much room as it needs; whether there is so much. If not, it keeps what
    /// it has.
    pub fn set_bytes(&mut self, bytes: usize) -> bool {
        let mine = self.bytes;
        let fits = |all: usize| {
            let others = all - mine;
            let fits = others == 0 || others + bytes <= MAX_HELD_BODIES_BYTES;
            (fits || bytes <= mine).then_some(others + bytes)
        };
        let all = self.shared.held(self.what);
        let taken = all.fetch_update(Ordering::AcqRel, Ordering::Acquire, fits);
        if taken.is_ok() {
            self.bytes = bytes;
        }
        taken.is_ok()
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let all = self.shared.held(self.what);
        all.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

/// Counts one request as in progress while it lives.
#[derive(Debug)]
pub struct InProgress(Arc<Shared>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}
