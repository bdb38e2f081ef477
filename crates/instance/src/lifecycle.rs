//! Starting and stopping an instance.

use crate::allotments::Allotments;
use crate::callers::Callers;
use crate::dispatch::Dispatch;
use crate::feeds::{self, ConfigurationFeed, UpstreamFeed};
use crate::freshness::ConfigurationAge;
use crate::leadership::LeadershipDriver;
use crate::paths::PathMonitor;
use crate::poison::PoisonTracker;
use crate::relay::Relay;
use crate::shared::Shared;
use crate::stop_signal::StopSignals;
use crate::versions::Versions;
use crate::{callers, holder, ready, report};
use anyhow::{Context, Result};
use crossbeam::channel;
use passway_serving::leadership::Holder;
use passway_serving::ports::{Directory, Engines, HeaderProtocol, InstanceSettings, SharedStore};
use passway_types::clock;
use passway_types::prelude::*;
use std::net::SocketAddr;
use std::ops::Deref;

/// Time for the balancer to notice that an instance is not ready: two probes, one second apart.
const BALANCER_NOTICE_DELAY: Duration = Duration::from_millis(2_600);
/// Part of the grace that a stop keeps in reserve: writing the last log lines takes 200 ms, and the
/// process has a quarter of a core.
const GRACE_RESERVE: Duration = Duration::from_millis(600);
/// Time before the reserve to answer requests that still wait. Refusing 400 requests takes less
/// than 20 ms of one core, which is 0.8 s on an instance with a fortieth of a core; such an
/// instance holds a few tens of requests. Upstreams keep five sixths of the usual grace of 8 s.
const ANSWER_WINDOW: Duration = Duration::from_millis(600);
/// Part of the reserve in which cut streams close and are logged.
const STREAM_CUT_WINDOW: Duration = Duration::from_millis(100);
/// Interval between two checks for requests in progress at a stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// External interfaces that an instance runs with.
pub struct Surroundings {
    /// The store.
    pub store: Arc<dyn SharedStore>,
    /// The encoding of the store's contents.
    pub directory: Arc<dyn Directory>,
    /// The headers that callers and upstreams use.
    pub vocabulary: Box<dyn HeaderProtocol>,
    /// The control interface of engines.
    pub engines: Arc<dyn Engines>,
}

impl std::fmt::Debug for Surroundings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Surroundings").finish_non_exhaustive()
    }
}

/// A running instance. Dropping it ends all of its threads and closes its connections, as a kill of
/// its process would: nothing more is answered or written, and leadership is not released. To finish
/// requests, call [`Instance::stop`] first.
#[derive(Debug)]
pub struct Instance {
    shared: TerminatedOnDrop,
    leadership: Arc<LeadershipDriver>,
    callers: Callers,
    ready_address: SocketAddr,
}

/// The state of an instance whose threads end when this is dropped.
#[derive(Debug)]
struct TerminatedOnDrop(Arc<Shared>);

impl Deref for TerminatedOnDrop {
    type Target = Arc<Shared>;

    fn deref(&self) -> &Arc<Shared> {
        &self.0
    }
}

impl Drop for TerminatedOnDrop {
    fn drop(&mut self) {
        self.0.terminate();
    }
}

impl Instance {
    /// Binds the addresses of the settings and starts to serve; for port 0 the kernel chooses a
    /// port.
    ///
    /// # Errors
    /// If an address cannot be bound, or the process has no file descriptor left.
    pub fn start(mut settings: InstanceSettings, surroundings: Surroundings) -> Result<Self> {
        let peer_listener = holder::bind(settings.peer_address)?;
        settings.peer_address = peer_listener
            .local_addr()
            .context("reading the bound address")?;
        // Unbounded, because requests send events while they hold the upstreams' lock, which the
        // reporting thread takes as well. At most three events of a hundred bytes wait for each
        // request in progress.
        let (event_sender, event_receiver) = channel::unbounded();
        let stop_signals = StopSignals::new().context("creating the stop signals")?;
        let shared = TerminatedOnDrop(Arc::new(Shared::new(
            settings,
            surroundings.vocabulary,
            Arc::new(stop_signals),
            event_sender,
        )));
        let settings = &shared.settings;
        let leadership = Arc::new(LeadershipDriver::new(&shared));
        shared.set_leadership(leadership.clone());
        let ready_address = ready::listen(&shared, &leadership, settings.ready_address)?;
        let callers = callers::listen(&shared, settings.callers_address)?;
        let (relay, [configuration_receiver, upstream_receiver]) = Relay::new();
        shared.set_relay(relay.clone());
        let engines = surroundings.engines.clone();
        shared.set_engines(engines.clone());
        let (holder, updates) = holder::start(
            &shared,
            &leadership,
            &relay,
            engines,
            (peer_listener, callers.peer_entry()),
        );
        let store = &surroundings.store;
        leadership.start(
            &shared,
            store,
            relay.unrelayed_receiver(),
            holder.clone(),
            updates.clone(),
        );
        feeds::follow(
            store.clone(),
            configuration_receiver,
            updates.clone(),
            ConfigurationFeed::new(shared.clone(), surroundings.directory.clone()),
        );
        feeds::follow(
            store.clone(),
            upstream_receiver,
            updates,
            UpstreamFeed::new(
                shared.clone(),
                surroundings.directory.clone(),
                holder.clone(),
                leadership.clone(),
            ),
        );
        PoisonTracker::start_writer(&shared, &leadership, store);
        Allotments::start_writer(&shared, &leadership, store);
        Versions::start(&shared, &leadership, store);
        Dispatch::start(&shared);
        PathMonitor::start(&shared);
        ConfigurationAge::start(&shared);
        report::start(&shared, &leadership, &relay, event_receiver);
        log::info!(instance:% = settings.instance; "started");
        Ok(Self {
            shared,
            leadership,
            callers,
            ready_address,
        })
    }

    /// The address that callers connect to.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// The address for the balancer's probes.
    pub fn ready_address(&self) -> SocketAddr {
        self.ready_address
    }

    /// Whether the balancer may send callers to this instance.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Whether streams may begin at all upstreams that this instance knows, as far as their software
    /// versions are concerned.
    pub fn begins_streams(&self) -> bool {
        self.shared.versions.is_list_complete()
    }

    /// Number of requests whose answer is not complete.
    pub fn in_progress(&self) -> usize {
        self.shared.in_progress()
    }

    /// The fencing number, if this instance may send orders now.
    pub fn fence(&self) -> Option<Fence> {
        self.leadership.fence()
    }

    /// The holder, as far as this instance knows.
    pub fn holder(&self) -> Option<Holder> {
        self.leadership.holder()
    }

    /// Whether this instance could announce a term to the instance `name`.
    pub fn knows_member(&self, name: &str) -> bool {
        self.shared.members().contains_key(name)
    }

    /// Number of instances that this one could announce a term to, including itself.
    pub fn known_member_count(&self) -> usize {
        self.shared.members().len()
    }

    /// Number of upstreams that this instance knows.
    pub fn known_upstream_count(&self) -> usize {
        self.shared.upstreams().entries().count()
    }

    /// Number of instances that dispatch for engines, by the holder's last message.
    pub fn dispatcher_count(&self) -> usize {
        self.shared.dispatch.dispatcher_list().len()
    }

    /// Whether the retry budget allows a retry for a service now. A process that has just started
    /// must first receive its share of the fleet's allowance.
    pub fn has_spare_retry(&self, service: &str) -> bool {
        let now = clock::now();
        self.shared.retry_budget().can_spend(&service.into(), now)
    }

    /// Whether a holder has told how many instances share the fleet's allowance of retries. From then on
    /// this instance accumulates its share of it, with a holder or without one.
    pub fn knows_instance_count(&self) -> bool {
        self.shared.instance_count() > 0
    }

    /// Number of other instances that this one knows.
    pub fn other_instance_count(&self) -> usize {
        self.shared.other_instances().len()
    }

    /// The version of the configuration in effect.
    pub fn config_version(&self) -> Option<Revision> {
        self.shared
            .routes
            .load()
            .as_ref()
            .map(|table| table.version)
    }

    /// Applies changed settings. Names and addresses stay the same until the next start.
    pub fn reload(&self, settings: &InstanceSettings) {
        self.shared.apply_bounds(settings.bounds);
    }

    /// Accepts nothing new and finishes the requests in progress within the grace. Requests that
    /// cannot finish are answered: "not run" if they were never sent to an upstream, otherwise that
    /// the answer is lost. Streams in progress continue slightly longer and are then cut.
    pub fn stop(&self) {
        let started_at = clock::now();
        let grace = self.shared.bounds.load().grace;
        let cut_streams_at = started_at + grace.saturating_sub(GRACE_RESERVE);
        let ends_at = started_at + grace.saturating_sub(GRACE_RESERVE + ANSWER_WINDOW);
        self.shared.begin_stop(ends_at);
        self.leadership.release();
        let refuse_at = ends_at.min(started_at + BALANCER_NOTICE_DELAY);
        wait_until(refuse_at, || false);
        self.shared.refuse_requests();
        wait_until(ends_at, || self.shared.in_progress() == 0);
        self.callers.end_waits();
        wait_until(cut_streams_at, || self.callers.open_connections() == 0);
        self.callers.cut_streams();
        wait_until(cut_streams_at + STREAM_CUT_WINDOW, || {
            self.callers.open_connections() == 0
        });
        log::info!(in_progress = self.shared.in_progress(), open = self.callers.open_connections(); "stopped");
    }
}

/// Waits until `is_done` returns true, at most until `limit_at`.
fn wait_until(limit_at: Instant, is_done: impl Fn() -> bool) {
    loop {
        let remaining = limit_at.saturating_duration_since(clock::now());
        if remaining.is_zero() || is_done() {
            return;
        }
        std::thread::sleep(remaining.min(STOP_POLL_INTERVAL));
    }
}
