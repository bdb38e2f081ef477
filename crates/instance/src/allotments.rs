//! Counts what workspaces use of their allotments, in requests to the coordinator and as the
//! coordinator.
//!
//! The coordinator stores the names of the workspaces whose token buckets are at least half full.
//! Its successor removes them from the store before it relies on them, so that they are used only
//! once.

use crate::coordinator::{self, TermCoordinator};
use crate::leadership::LeadershipDriver;
use crate::shared::Shared;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use passway_serving::allotment::{FallbackQuotas, QuotaBounds};
use passway_serving::ports::{ConditionalWrite, SharedStore, StoreRevision, WriteAnswer};
use passway_serving::routes::RouteTable;
use passway_serving::workspaces::{Allotment, Workspace};
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::dispatch::Dispatch as Body;
use passway_wire::permits::{PermitRelease, PermitReply, PermitRequest, UseVerdict};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Key in the store of the names of workspaces whose buckets are at least half full.
pub const KEY: &str = "passway/half-full";
/// Interval of checks whether the stored names must change, which costs the store at most one call
/// a second.
const STORE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Delay between two attempts to take over the previous coordinator's names.
const TAKEOVER_RETRY_DELAY: Duration = Duration::from_millis(150);
/// A coordinator takes over the previous one's names within this time, or not at all.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// The decision on a request by its workspace's allotment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// The request may run.
    Granted,
    /// The allotment is used up; retry after this time.
    Refused(Duration),
    /// No decision is available now.
    Unknown,
}

/// The names in the store and their revision.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
struct StoredNames {
    revision: StoreRevision,
    half_full: BTreeSet<WorkspaceName>,
}

/// This instance's part in enforcing the workspaces' allotments.
#[derive(Debug)]
pub struct Allotments {
    coordinator: TermCoordinator,
    parts: Mutex<FallbackQuotas>,
    stored: Mutex<StoredNames>,
    /// Wakes the thread that writes the names to the store.
    wakeup_sender: Sender<()>,
    wakeup_receiver: Receiver<()>,
}

impl Default for Allotments {
    fn default() -> Self {
        let (wakeup_sender, wakeup_receiver) = bounded(1);
        Self {
            coordinator: TermCoordinator::default(),
            parts: Mutex::default(),
            stored: Mutex::default(),
            wakeup_sender,
            wakeup_receiver,
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Allotments {
    /// Requests a decision on a request of a workspace that costs `cost` units.
    pub fn request(&self, shared: &Shared, workspace: &Workspace, cost: f64) -> Decision {
        let Some(allotment) = workspace.allotment else {
            return Decision::Granted;
        };
        let request = PermitRequest {
            id: rand::random(),
            workspace: workspace.name.to_string(),
            cost,
            rate_per_s: allotment.rate_per_s,
            burst: allotment.burst,
            upstream: String::new(),
            ..PermitRequest::default()
        };
        let answer = shared.coordinator.request(shared, &request);
        let window = shared.bounds.load().quota.window;
        let mut parts = lock(&self.parts);
        let now = clock::now();
        let Ok(answer) = answer else {
            let is_granted = parts.try_take(&workspace.name, cost, rand::random(), now);
            return if is_granted {
                Decision::Granted
            } else {
                Decision::Unknown
            };
        };
        if answer.verdict() == UseVerdict::Granted {
            parts.set_rate(&workspace.name, answer.instance_rate_per_s, window, now);
            return Decision::Granted;
        }
        Decision::Refused(Duration::from_millis(answer.retry_after_ms))
    }

    /// Releases the cost of a granted request that did not run and never will. If the message is
    /// lost, the workspace loses these units.
    pub fn release(&self, shared: &Shared, workspace: &Workspace, cost: f64) {
        let Some(holder) = shared
            .leadership()
            .and_then(|leadership| leadership.holder())
        else {
            return;
        };
        let released = PermitRelease {
            workspace: workspace.name.to_string(),
            cost,
            ..PermitRelease::default()
        };
        let settings = &shared.settings;
        if holder.instance == settings.instance {
            self.record_release(shared, settings.peer_address, &released);
        } else {
            shared
                .dispatch
                .send(holder.address, Body::PermitRelease(released));
        }
    }

    /// Decides on an instance's request in a term of this instance.
    pub fn decide(
        &self,
        shared: &Shared,
        fence: Fence,
        from: SocketAddr,
        request: &PermitRequest,
    ) -> PermitReply {
        let name = WorkspaceName::from(request.workspace.as_str());
        let requested = Allotment {
            rate_per_s: request.rate_per_s,
            burst: request.burst,
        };
        let routes = shared.routes.load();
        let allotment = allotment_of(routes.as_deref(), &name).unwrap_or(requested);
        let question = (from, request.id);
        let decision = self
            .coordinator
            .decide(fence, quota(shared), question, |coordinator| {
                coordinator.decide(&name, allotment, from, request.cost, clock::now())
            });
        coordinator::encode_decision(request, decision)
    }

    /// Returns the cost of a request that this instance granted to the bucket of its workspace.
    pub fn record_release(&self, shared: &Shared, from: SocketAddr, released: &PermitRelease) {
        let routes = shared.routes.load();
        let Some(allotment) = allotment_of(routes.as_deref(), &released.workspace) else {
            return;
        };
        self.coordinator.in_latest_term(|coordinator| {
            coordinator.release(
                &released.workspace,
                allotment,
                from,
                released.cost,
                clock::now(),
            );
        });
    }

    /// Records the names that are in the store now; none if the key is missing.
    pub fn apply_stored(&self, revision: StoreRevision, value: &[u8]) {
        let text = String::from_utf8_lossy(value);
        let names = text.lines().filter(|name| !name.is_empty());
        *lock(&self.stored) = StoredNames {
            revision,
            half_full: names.map(Into::into).collect(),
        };
    }

    /// Wakes the writer thread when a term has begun.
    pub fn notify_term_begun(&self) {
        // If the channel is full, a wakeup is already pending.
        let _ = self.wakeup_sender.try_send(());
    }

    /// Writes names to the store unless they are already there. Returns whether the store has them
    /// now.
    fn write(&self, store: &dyn SharedStore, names: BTreeSet<WorkspaceName>) -> bool {
        let stored = lock(&self.stored).clone();
        if stored.half_full == names {
            return true;
        }
        let lines: Vec<&str> = names.iter().map(|name| &**name).collect();
        let write = ConditionalWrite {
            key: KEY.to_owned(),
            expected: stored.revision,
            value: Some(lines.join("\n").into_bytes()),
            lease: None,
        };
        let answer = store.write(std::slice::from_ref(&write));
        let Ok(WriteAnswer::Written(revision)) = answer else {
            return false;
        };
        let mut stored = lock(&self.stored);
        // The watch may have returned a later state meanwhile.
        if revision > stored.revision {
            *stored = StoredNames {
                revision,
                half_full: names,
            };
        }
        true
    }

    /// Starts the thread that stores which buckets are at least half full while this instance is
    /// the coordinator.
    pub fn start_writer(
        shared: &Arc<Shared>,
        leadership: &Arc<LeadershipDriver>,
        store: &Arc<dyn SharedStore>,
    ) {
        let (shared, leadership, store) = (shared.clone(), leadership.clone(), store.clone());
        std::thread::spawn(move || {
            let allotments = &shared.allotments;
            let termination = shared.termination();
            let mut taken_over = None;
            // A term may have begun, or the interval has passed; the thread checks in both cases.
            while termination.receive_timeout(&allotments.wakeup_receiver, STORE_CHECK_INTERVAL)
                != Err(RecvTimeoutError::Disconnected)
            {
                let term = leadership.term().filter(|_| shared.has_allotments());
                let Some(fence) = term else {
                    continue;
                };
                if taken_over.replace(fence) == Some(fence) {
                    allotments.store_half_full(&shared, fence, &*store);
                } else {
                    allotments.take_over(&shared, &leadership, fence, &*store);
                }
            }
        });
    }

    /// Uses the names that the previous coordinator stored, once they are removed from the store.
    fn take_over(
        &self,
        shared: &Shared,
        leadership: &LeadershipDriver,
        fence: Fence,
        store: &dyn SharedStore,
    ) {
        let deadline_at = clock::now() + TAKEOVER_TIMEOUT;
        while leadership.term() == Some(fence) && clock::now() < deadline_at {
            let names = lock(&self.stored).half_full.clone();
            if self.write(store, BTreeSet::new()) {
                let routes = shared.routes.load();
                let allotment = |name: &str| allotment_of(routes.as_deref(), name);
                self.coordinator
                    .in_term(fence, quota(shared), |coordinator| {
                        coordinator.start_half_full(names, allotment);
                    });
                return;
            }
            if !shared.termination().pause(TAKEOVER_RETRY_DELAY) {
                return;
            }
        }
    }

    /// Stores which buckets are at least half full, for the next coordinator.
    fn store_half_full(&self, shared: &Shared, fence: Fence, store: &dyn SharedStore) {
        let routes = shared.routes.load();
        let allotment = |name: &str| allotment_of(routes.as_deref(), name);
        let names = self
            .coordinator
            .in_term(fence, quota(shared), |coordinator| {
                coordinator.half_full(allotment, clock::now())
            });
        // If the write fails, the next check tries again.
        self.write(store, names);
    }

    /// Forgets workspaces that a new configuration does not contain.
    pub fn retain(&self, table: &RouteTable) {
        let is_configured = |name: &str| {
            let workspaces = table.workspaces.as_ref();
            workspaces.is_some_and(|workspaces| workspaces.find_by_name(name).is_some())
        };
        lock(&self.parts).retain(is_configured);
        self.coordinator
            .in_latest_term(|coordinator| coordinator.retain(is_configured));
    }
}

fn quota(shared: &Shared) -> QuotaBounds {
    shared.bounds.load().quota
}

fn allotment_of(table: Option<&RouteTable>, workspace: &str) -> Option<Allotment> {
    let workspaces = table?.workspaces.as_ref()?;
    workspaces.find_by_name(workspace)?.allotment
}
