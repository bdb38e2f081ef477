//! The state that the threads of a router share.

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

/// A decision about a waiting request, sent to the request's thread.
#[derive(Debug)]
pub enum RequestDecision {
    /// Send the request to this upstream.
    Start {
        /// The upstream.
        upstream: UpstreamId,
        /// The model's resolved name.
        model: ModelName,
        /// The request's deadline.
        deadline_at: Instant,
        /// The request's priority.
        priority: u32,
    },
    /// Answer the request with this refusal.
    Refuse(Refusal),
}

/// The state that request threads share.
#[derive(Debug)]
pub struct Shared {
    /// The catalog of the configuration in force; reading it takes no lock.
    pub catalog: ArcSwap<Catalog>,
    /// Counters for `/metrics`.
    pub metrics: Metrics,
    /// Claims of calls that must not be repeated.
    pub claims: Claims,
    /// Limits from the settings.
    pub limits: Limits,
    /// The instance of the router.
    pub instance: InstanceId,
    /// The incarnation of the router process.
    pub incarnation: Incarnation,
    core: Mutex<RouterCore>,
    decision_senders: Mutex<HashMap<RequestId, Sender<RequestDecision>>>,
    next_request_id: AtomicU64,
    in_progress: AtomicUsize,
    is_leaving: AtomicBool,
}

/// Limits from the settings.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum time from a request's arrival to its deadline.
    pub max_deadline: Duration,
    /// Time without a heartbeat from a controller that is not isolated after which the router
    /// refuses new requests, because its configuration may be stale.
    pub stale_limit: Duration,
}

/// Time in which a starting fleet's routers become known to its controllers. That takes a
/// connection, a hello and a heartbeat: some seconds on a busy machine.
const STARTUP_WINDOW: Duration = Duration::from_secs(15);

impl Shared {
    /// Creates the state of a router without requests and without a configuration.
    ///
    /// # Errors
    /// If an address in the settings cannot be parsed.
    pub fn new(settings: &RouterSettings) -> Result<Self> {
        let incarnation = passway_process::draw_incarnation();
        let catalog = Arc::new(Catalog::default());
        let key_value = settings
            .key_value
            .parse()
            .context("parsing the setting key_value")?;
        let key_value = Arc::new(HttpKeyValue::new(
            key_value,
            Duration::from_millis(settings.key_value_timeout_ms),
        ));
        let now = clock::now();
        let mut core = RouterCore::new(incarnation, catalog.clone(), now);
        core.set_config_current_until(now);
        // Each instance runs one controller and one router.
        let router_count = u32::try_from(settings.controllers.len()).unwrap_or(u32::MAX);
        core.assume_listed_routers(router_count, now + STARTUP_WINDOW);
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
            decision_senders: Mutex::new(HashMap::new()),
            next_request_id: AtomicU64::new(1),
            in_progress: AtomicUsize::new(0),
            is_leaving: AtomicBool::new(false),
        })
    }

    /// Locks the decision logic. Callers hold the lock for one decision at a time.
    pub fn core(&self) -> MutexGuard<'_, RouterCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn decision_senders(&self) -> MutexGuard<'_, HashMap<RequestId, Sender<RequestDecision>>> {
        self.decision_senders
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a new request number.
    pub fn draw_request_id(&self) -> RequestId {
        self.next_request_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a request's id in logs, at upstreams and in answers. The incarnation makes it
    /// unique over all routers.
    pub fn request_label(&self, request: RequestId) -> String {
        format!("{:x}-{request}", self.incarnation)
    }

    /// Returns a new request number and the channel on which its thread receives decisions.
    pub fn register(&self) -> (RequestId, Receiver<RequestDecision>) {
        let request = self.draw_request_id();
        let (sender, receiver) = unbounded();
        self.decision_senders().insert(request, sender);
        (request, receiver)
    }

    /// Closes a request's decision channel.
    pub fn unregister(&self, request: RequestId) {
        self.decision_senders().remove(&request);
    }

    /// Sends a decision to a request's thread; does nothing if the request has ended.
    pub fn send_decision(&self, request: RequestId, decision: RequestDecision) {
        if let Some(sender) = self.decision_senders().get(&request) {
            // The thread may have ended since the lookup.
            let _ = sender.send(decision);
        }
    }

    /// Returns the number of requests whose answer is not complete.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Acquire)
    }

    /// Whether this router is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Acquire)
    }

    /// Records that this router is leaving.
    pub fn set_leaving(&self) {
        self.is_leaving.store(true, Ordering::Release);
    }

    /// Counts a request as in progress until the returned guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> InProgressGuard {
        self.in_progress.fetch_add(1, Ordering::AcqRel);
        InProgressGuard {
            shared: self.clone(),
        }
    }
}

/// A guard that counts one request as in progress until it is dropped.
#[derive(Debug)]
pub struct InProgressGuard {
    shared: Arc<Shared>,
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.shared.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}
