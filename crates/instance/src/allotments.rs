//! What workspaces use of their allotments: asking the keeper, and being it.
//!
//! The keeper keeps in the store which workspaces' buckets are at least half full. A successor takes that out
//! of there before it relies on it, so that it is relied on once.

use crate::keeper::{self, TermKeeper};
use crate::right::Right;
use crate::shared::Shared;
use crossbeam::channel::{Receiver, Sender, bounded};
use passway_serving::allotment::{Parts, QuotaBounds};
use passway_serving::ports::{ConditionalWrite, SharedStore, StoreRevision, WriteAnswer};
use passway_serving::routes::RouteTable;
use passway_serving::workspaces::{Allotment, Workspace};
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::dispatch::Dispatch as Body;
use passway_wire::permits::{UseAsk, UseBack, UseTold, UseVerdict};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The key under which the names of workspaces with half full buckets lie in the store.
pub const KEY: &str = "passway/half-full";
/// Pause between two looks whether that has changed: a call a second at most.
const LOOK_PAUSE: Duration = Duration::from_secs(1);
/// Pause between two tries to take over what the keeper before has left.
const TAKE_PAUSE: Duration = Duration::from_millis(150);
/// A keeper takes over what the one before has left within this time, or not at all.
const TAKE_TIME: Duration = Duration::from_secs(2);

/// What becomes of a request by its workspace's allotment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// It may go.
    Granted,
    /// The workspace has used what it may; when to come back.
    Refused(Duration),
    /// Nobody can say now.
    Unknown,
}

/// What lies in the store.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
struct Kept {
    revision: StoreRevision,
    half_full: BTreeSet<WorkspaceName>,
}

/// This instance's part in keeping workspaces to their allotments.
#[derive(Debug)]
pub struct Allotments {
    keeper: TermKeeper,
    parts: Mutex<Parts>,
    kept: Mutex<Kept>,
    /// Wakes the thread that keeps them in the store.
    wake: Sender<()>,
    woken: Receiver<()>,
}

impl Default for Allotments {
    fn default() -> Self {
        let (wake, woken) = bounded(1);
        Self {
            keeper: TermKeeper::default(),
            parts: Mutex::default(),
            kept: Mutex::default(),
            wake,
            woken,
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Allotments {
    /// Whether a request of a workspace may go that counts so much.
    pub fn ask(&self, shared: &Shared, workspace: &Workspace, cost: f64) -> Decision {
        let Some(allotment) = workspace.allotment else {
            return Decision::Granted;
        };
        let now = clock::now();
        let ask = UseAsk {
            id: rand::random(),
            workspace: workspace.name.to_string(),
            cost,
            rate_per_s: allotment.rate_per_s,
            burst: allotment.burst,
            upstream: String::new(),
            ..UseAsk::default()
        };
        let told = shared.coordinator.ask(shared, &ask);
        let window = shared.bounds.load().quota.window;
        let mut parts = lock(&self.parts);
        let Ok(told) = told else {
            let fits = parts.take(&workspace.name, cost, rand::random(), now);
            return if fits {
                Decision::Granted
            } else {
                Decision::Unknown
            };
        };
        if told.verdict() == UseVerdict::Granted {
            parts.told(&workspace.name, told.part_per_s, window, now);
            return Decision::Granted;
        }
        Decision::Refused(Duration::from_millis(told.retry_after_ms))
    }

    /// A request that was granted did not run and never will. If the message is lost, that costs
    /// its workspace what the request counts.
    pub fn give_back(&self, shared: &Shared, workspace: &Workspace, cost: f64) {
        let Some(holder) = shared.leadership().and_then(|right| right.holder()) else {
            return;
        };
        let back = UseBack {
            workspace: workspace.name.to_string(),
            cost,
            ..UseBack::default()
        };
        let settings = &shared.settings;
        if holder.instance == settings.instance {
            self.take_back(shared, settings.peer_address, &back);
        } else {
            shared.dispatch.send(holder.address, Body::UseBack(back));
        }
    }

    /// Answers an instance's question, in a term of this instance.
    pub fn rule(&self, shared: &Shared, fence: Fence, from: SocketAddr, ask: &UseAsk) -> UseTold {
        let name = WorkspaceName::from(ask.workspace.as_str());
        let asked = Allotment {
            rate_per_s: ask.rate_per_s,
            burst: ask.burst,
        };
        let routes = shared.routes.load();
        let allotment = allotment_of(routes.as_deref(), &name).unwrap_or(asked);
        let ruling = self.keeper.of_term(fence, quota(shared), |keeper| {
            keeper.ask(&name, allotment, from, ask.cost, clock::now())
        });
        keeper::told(ask, ruling)
    }

    /// Takes back what a request counted that was granted here.
    pub fn take_back(&self, shared: &Shared, from: SocketAddr, back: &UseBack) {
        let routes = shared.routes.load();
        let Some(allotment) = allotment_of(routes.as_deref(), &back.workspace) else {
            return;
        };
        self.keeper.of_any_term(|keeper| {
            keeper.give_back(&back.workspace, allotment, from, back.cost, clock::now());
        });
    }

    /// The names lie so in the store; none if they do not.
    pub fn seen_in_store(&self, revision: StoreRevision, value: &[u8]) {
        let text = String::from_utf8_lossy(value);
        let names = text.lines().filter(|name| !name.is_empty());
        *lock(&self.kept) = Kept {
            revision,
            half_full: names.map(Into::into).collect(),
        };
    }

    /// A term has begun.
    pub fn term_begun(&self) {
        // A look that is due already will do.
        let _ = self.wake.try_send(());
    }

    /// Writes names to the store unless they lie there; whether they do then.
    fn write(&self, store: &dyn SharedStore, names: BTreeSet<WorkspaceName>) -> bool {
        let kept = lock(&self.kept).clone();
        if kept.half_full == names {
            return true;
        }
        let lines: Vec<&str> = names.iter().map(|name| &**name).collect();
        let write = ConditionalWrite {
            key: KEY.to_owned(),
            expected: kept.revision,
            value: Some(lines.join("\n").into_bytes()),
            lease: None,
        };
        let answer = store.write(std::slice::from_ref(&write));
        let Ok(WriteAnswer::Written(revision)) = answer else {
            return false;
        };
        *lock(&self.kept) = Kept {
            revision,
            half_full: names,
        };
        true
    }

    /// Keeps in the store which buckets are half full, while this instance is the keeper.
    pub fn keep(shared: &Arc<Shared>, right: &Arc<Right>, store: &Arc<dyn SharedStore>) {
        let (shared, right, store) = (shared.clone(), right.clone(), store.clone());
        std::thread::spawn(move || {
            let allotments = &shared.allotments;
            let mut taken_over = None;
            loop {
                // A term may have begun, or the time is over: it is looked in either case.
                let _ = allotments.woken.recv_timeout(LOOK_PAUSE);
                let term = right.term().filter(|_| shared.has_allotments());
                let Some(fence) = term else {
                    continue;
                };
                if taken_over.replace(fence) == Some(fence) {
                    allotments.tell(&shared, fence, &*store);
                } else {
                    allotments.take_over(&shared, &right, fence, &*store);
                }
            }
        });
    }

    /// Relies on what the keeper before has left, once it does not lie in the store any more.
    fn take_over(&self, shared: &Shared, right: &Right, fence: Fence, store: &dyn SharedStore) {
        let until = clock::now() + TAKE_TIME;
        while right.term() == Some(fence) && clock::now() < until {
            let left = lock(&self.kept).half_full.clone();
            if self.write(store, BTreeSet::new()) {
                let routes = shared.routes.load();
                let allotment = |name: &str| allotment_of(routes.as_deref(), name);
                self.keeper.of_term(fence, quota(shared), |keeper| {
                    keeper.begin_half_full(left, allotment);
                });
                return;
            }
            std::thread::sleep(TAKE_PAUSE);
        }
    }

    /// Tells the next keeper which buckets are half full now.
    fn tell(&self, shared: &Shared, fence: Fence, store: &dyn SharedStore) {
        let routes = shared.routes.load();
        let allotment = |name: &str| allotment_of(routes.as_deref(), name);
        let names = self.keeper.of_term(fence, quota(shared), |keeper| {
            keeper.half_full(allotment, clock::now())
        });
        // What could not be written is looked at again.
        self.write(store, names);
    }

    /// Forgets workspaces that a new configuration does not name.
    pub fn retain(&self, table: &RouteTable) {
        let is_there = |name: &str| {
            let workspaces = table.workspaces.as_ref();
            workspaces.is_some_and(|all| all.named(name).is_some())
        };
        lock(&self.parts).retain(is_there);
        self.keeper.of_any_term(|keeper| keeper.retain(is_there));
    }
}

fn quota(shared: &Shared) -> QuotaBounds {
    shared.bounds.load().quota
}

fn allotment_of(table: Option<&RouteTable>, workspace: &str) -> Option<Allotment> {
    let workspaces = table?.workspaces.as_ref()?;
    workspaces.named(workspace)?.allotment
}
