//! What the threads of a router share.

use crate::claims::Claims;
use crate::metrics::Metrics;
use anyhow::{Context, Result};
use arc_swap::ArcSwap;
use crossbeam::channel::{Receiver, Sender, unbounded};
use passway_config::Catalog;
use passway_config::settings::RouterSettings;
use passway_decide::router::RouterCore;
use passway_platform::key_value::HttpKeyValue;
use passway_types::clock;
use passway_types::prelude::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// What the decisions tell a request's thread.
#[derive(Debug)]
pub enum Word {
    /// Send the request to this upstream.
    Start {
        /// Where to.
        upstream: UpstreamId,
        /// The resolved model.
        model: ModelName,
        /// The deadline.
        deadline_at: Instant,
        /// The priority.
        priority: u32,
    },
    /// Answer it with this.
    Refuse(Refusal),
}

/// The state that request threads share.
#[derive(Debug)]
pub struct Shared {
    /// The configuration in force, read without a lock.
    pub catalog: ArcSwap<Catalog>,
    /// Counters for `/metrics`.
    pub metrics: Metrics,
    /// Claims of calls that may not be repeated.
    pub claims: Claims,
    /// Bounds from the settings.
    pub limits: Limits,
    /// The instance.
    pub instance: InstanceId,
    /// The process.
    pub incarnation: Incarnation,
    core: Mutex<RouterCore>,
    waiters: Mutex<HashMap<RequestId, Sender<Word>>>,
    next_request: AtomicU64,
    in_progress: AtomicUsize,
    leaving: AtomicBool,
}

/// Bounds from the settings.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Largest body of a request.
    pub body_bytes: usize,
    /// Longest time until a deadline.
    pub max_deadline: Duration,
    /// Time without word of the configuration after which new work is refused.
    pub stale_limit: Duration,
}

/// Time in which the routers of a fleet that starts come to be known to its controllers: a
/// dial, a hello and a heartbeat, on a busy machine some seconds.
const STARTING_TIME: Duration = Duration::from_secs(15);

impl Shared {
    /// Nothing in progress and no configuration.
    ///
    /// # Errors
    /// If an address in the settings cannot be parsed.
    pub fn new(settings: &RouterSettings) -> Result<Self> {
        let incarnation = passway_process::draw_incarnation();
        let catalog = Arc::new(Catalog::default());
        let key_value = settings.key_value.parse().context("key_value")?;
        let key_value = Arc::new(HttpKeyValue::new(
            key_value,
            Duration::from_millis(settings.key_value_timeout_ms),
        ));
        let now = clock::now();
        let mut core = RouterCore::new(incarnation, catalog.clone(), now);
        core.set_config_current_until(now);
        // Each instance runs a controller and a router.
        let listed = u32::try_from(settings.controllers.len()).unwrap_or(u32::MAX);
        core.assume_listed_routers(listed, now + STARTING_TIME);
        Ok(Self {
            catalog: ArcSwap::new(catalog),
            metrics: Metrics::default(),
            claims: Claims::new(key_value, incarnation),
            limits: Limits {
                body_bytes: settings.body_limit_bytes,
                max_deadline: Duration::from_millis(settings.max_deadline_ms),
                stale_limit: Duration::from_millis(settings.stale_limit_ms),
            },
            instance: settings.instance.as_str().into(),
            incarnation,
            core: Mutex::new(core),
            waiters: Mutex::new(HashMap::new()),
            next_request: AtomicU64::new(1),
            in_progress: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
        })
    }

    /// The decisions; the lock is held for one decision at a time.
    pub fn core(&self) -> MutexGuard<'_, RouterCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn waiters(&self) -> MutexGuard<'_, HashMap<RequestId, Sender<Word>>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Draws a request number.
    pub fn draw_request(&self) -> RequestId {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// A request's id in logs, at upstreams and in answers; unlike any other router's.
    pub fn label(&self, request: RequestId) -> String {
        format!("{:x}-{request}", self.incarnation)
    }

    /// Draws a request number and opens the channel on which its thread is told.
    pub fn register(&self) -> (RequestId, Receiver<Word>) {
        let request = self.draw_request();
        let (sender, receiver) = unbounded();
        self.waiters().insert(request, sender);
        (request, receiver)
    }

    /// Closes a request's channel.
    pub fn unregister(&self, request: RequestId) {
        self.waiters().remove(&request);
    }

    /// Tells a request's thread; a thread that has ended does not hear it.
    pub fn tell(&self, request: RequestId, word: Word) {
        if let Some(sender) = self.waiters().get(&request) {
            // The thread may have gone away between the lookup and now.
            let _ = sender.send(word);
        }
    }

    /// Requests whose answer is not complete.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Acquire)
    }

    /// Whether this instance is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Records that this instance is leaving.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Counts a request in until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> InProgress {
        self.in_progress.fetch_add(1, Ordering::AcqRel);
        InProgress {
            shared: self.clone(),
        }
    }
}

/// Counts one request as in progress while it lives.
#[derive(Debug)]
pub struct InProgress {
    shared: Arc<Shared>,
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.shared.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}
