//! Starting and stopping an instance.

use crate::allotments::Allotments;
use crate::callers::Callers;
use crate::dispatch::Dispatch;
use crate::feeds::{self, ConfigurationFeed, UpstreamFeed};
use crate::freshness::ConfigurationAge;
use crate::poison::Poison;
use crate::relay::Relay;
use crate::right::Right;
use crate::shared::Shared;
use crate::{callers, holder, ready, report};
use anyhow::{Context, Result};
use crossbeam::channel;
use passway_serving::leadership::Holder;
use passway_serving::ports::{Directory, Engines, HeaderProtocol, InstanceSettings, SharedStore};
use passway_types::clock;
use passway_types::prelude::*;
use std::net::SocketAddr;

/// Time that the balancer needs to notice that an instance is not ready: two questions, a second apart.
const BALANCER_TIME: Duration = Duration::from_millis(2_600);
/// Time kept back of the grace at a stop: the last log lines take 200 ms, and the process
/// has a quarter of a core.
const GRACE_RESERVE: Duration = Duration::from_millis(600);
/// Time before that for the answers to whatever still waits. Refusing 400 requests took less
/// than 20 ms of one core, which is 0.8 s on an instance that has a fortieth of one; such an
/// instance holds some tens. Upstreams keep five sixths of the usual grace of 8 s.
const ANSWER_TIME: Duration = Duration::from_millis(600);
/// Time for cut streams to close and to be logged, out of the reserve.
const CUT_TIME: Duration = Duration::from_millis(100);
/// Pause between two looks whether requests are in progress at a stop.
const STOP_STEP: Duration = Duration::from_millis(50);

/// The place an instance runs in.
pub struct Surroundings {
    /// The store.
    pub store: Arc<dyn SharedStore>,
    /// What lies in the store.
    pub directory: Arc<dyn Directory>,
    /// Callers' and upstreams' words.
    pub vocabulary: Box<dyn HeaderProtocol>,
    /// The control side of engines.
    pub engines: Arc<dyn Engines>,
}

impl std::fmt::Debug for Surroundings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Surroundings").finish_non_exhaustive()
    }
}

/// A running instance.
#[derive(Debug)]
pub struct Instance {
    shared: Arc<Shared>,
    right: Arc<Right>,
    callers: Callers,
    ready_address: SocketAddr,
}

impl Instance {
    /// Binds the addresses of the settings and begins to serve; at port 0 the kernel chooses.
    ///
    /// # Errors
    /// If an address cannot be bound.
    pub fn start(mut settings: InstanceSettings, surroundings: Surroundings) -> Result<Self> {
        let peers = holder::bind(settings.peer_address)?;
        settings.peer_address = peers.local_addr().context("the bound address")?;
        // Without a bound: requests tell their needs while they hold the upstreams' lock, which the
        // reporting thread takes as well. Three words of a hundred bytes a request that is in
        // progress are the most that wait.
        let (needs, needed) = channel::unbounded();
        let shared = Arc::new(Shared::new(settings, surroundings.vocabulary, needs));
        let settings = &shared.settings;
        let right = Arc::new(Right::new(&shared));
        shared.set_right(right.clone());
        let ready_address = ready::listen(&shared, &right, settings.ready_address)?;
        let callers = callers::listen(&shared, settings.callers_address)?;
        let (relay, [configuration_tap, upstream_tap]) = Relay::new();
        let engines = surroundings.engines.clone();
        shared.set_engines(engines.clone());
        let (holder, news) = holder::start(&shared, &right, &relay, engines, peers);
        let store = &surroundings.store;
        right.start(
            &shared,
            store,
            relay.resting(),
            holder.clone(),
            news.clone(),
        );
        feeds::follow(
            store.clone(),
            configuration_tap,
            news.clone(),
            ConfigurationFeed::new(shared.clone(), surroundings.directory.clone()),
        );
        feeds::follow(
            store.clone(),
            upstream_tap,
            news,
            UpstreamFeed::new(
                shared.clone(),
                surroundings.directory.clone(),
                holder.clone(),
                right.clone(),
            ),
        );
        Poison::keep(&shared, &right, store);
        Allotments::keep(&shared, &right, store);
        Dispatch::start(&shared);
        ConfigurationAge::start(&shared);
        report::start(&shared, &right, &relay, needed);
        log::info!(instance:% = settings.instance; "started");
        Ok(Self {
            shared,
            right,
            callers,
            ready_address,
        })
    }

    /// Where callers connect.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Where the balancer asks.
    pub fn ready_address(&self) -> SocketAddr {
        self.ready_address
    }

    /// Whether it takes callers.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Requests whose answer is not complete.
    pub fn in_progress(&self) -> usize {
        self.shared.in_progress()
    }

    /// The fencing number, if this instance may give orders now.
    pub fn fence(&self) -> Option<Fence> {
        self.right.fence()
    }

    /// Who holds the right to order, as far as this instance knows.
    pub fn holder(&self) -> Option<Holder> {
        self.right.holder()
    }

    /// Whether it could announce a term to an instance.
    pub fn knows_member(&self, name: &str) -> bool {
        self.shared.members().contains_key(name)
    }

    /// Instances that it could announce a term to, itself among them.
    pub fn known_members(&self) -> usize {
        self.shared.members().len()
    }

    /// How many instances dispatch for engines, as far as this one was told.
    pub fn dispatchers(&self) -> usize {
        self.shared.dispatch.list().len()
    }

    /// Whether a request for a service could be sent a second time now: a process that has
    /// just started must first come to its part of the fleet's allowance.
    pub fn may_repeat(&self, service: &str) -> bool {
        let now = clock::now();
        self.shared.retries().can_spend(&service.into(), now)
    }

    /// How many other instances it knows.
    pub fn other_instances(&self) -> usize {
        self.shared.other_instances().len()
    }

    /// The configuration's version in force.
    pub fn version(&self) -> Option<Revision> {
        self.shared
            .routes
            .load()
            .as_ref()
            .map(|table| table.version)
    }

    /// Uses settings that have changed. Names and addresses stay until the next start.
    pub fn reload(&self, settings: &InstanceSettings) {
        self.shared.use_bounds(settings.bounds);
    }

    /// Takes nothing new and finishes what is in progress, within the grace. What cannot
    /// be finished gets an answer: "not run" if it was never sent on, and otherwise that
    /// the answer is lost. A stream that has begun goes on a little longer, and is cut then.
    pub fn stop(&self) {
        let begun_at = clock::now();
        let grace = self.shared.bounds.load().grace;
        let stopped_at = begun_at + grace.saturating_sub(GRACE_RESERVE);
        let ends_at = begun_at + grace.saturating_sub(GRACE_RESERVE + ANSWER_TIME);
        self.shared.stop(ends_at);
        self.right.release();
        let closed_at = ends_at.min(begun_at + BALANCER_TIME);
        wait_until(closed_at, || false);
        self.shared.close();
        wait_until(ends_at, || self.shared.in_progress() == 0);
        self.callers.end();
        wait_until(stopped_at, || self.callers.open() == 0);
        self.callers.cut_streams();
        wait_until(stopped_at + CUT_TIME, || self.callers.open() == 0);
        log::info!(in_progress = self.shared.in_progress(), open = self.callers.open(); "stopped");
    }
}

/// Waits until `holds` does, at most until `limit_at`.
fn wait_until(limit_at: Instant, holds: impl Fn() -> bool) {
    loop {
        let left = limit_at.saturating_duration_since(clock::now());
        if left.is_zero() || holds() {
            return;
        }
        std::thread::sleep(left.min(STOP_STEP));
    }
}
