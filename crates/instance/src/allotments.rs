//! Asking the keeper of allotments, and being it.
//!
//! The holder of the right to order is the keeper for as long as its term lasts by its own clock. It
//! keeps in the store which workspaces' buckets are at least half full. A successor takes that out
//! of there before it relies on it, so that it is relied on once.

use crate::questions::Questions;
use crate::relay::millis;
use crate::right::Right;
use crate::shared::Shared;
use crossbeam::channel::{Receiver, Sender, bounded};
use passway_serving::allotment::{Keeper, Parts, Ruling};
use passway_serving::ports::{ConditionalWrite, SharedStore, StoreRevision, WriteAnswer};
use passway_serving::routes::RouteTable;
use passway_serving::tenure::Holder;
use passway_serving::workspaces::{Allotment, Workspace};
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::dispatch::Dispatch as Body;
use passway_wire::permits::{UseAsk, UseBack, UseTold, UseVerdict};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A keeper that did not answer is not asked for this long.
const SILENT_TIME: Duration = Duration::from_millis(300);
/// One that was asked and is not the keeper is not asked again for this long: a term begins, or has
/// ended, and everybody hears of that within some hundred milliseconds.
const NOT_KEEPER_TIME: Duration = Duration::from_millis(100);

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

#[derive(Debug)]
struct Keeping {
    fence: Fence,
    keeper: Keeper,
}

/// What lies in the store.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
struct Kept {
    revision: StoreRevision,
    half_full: BTreeSet<WorkspaceName>,
}

/// A keeper that is not asked, and until when.
#[derive(Debug, Clone, PartialEq)]
struct Silent {
    holder: Holder,
    until: Instant,
}

/// This instance's part in keeping workspaces to their allotments.
#[derive(Debug)]
pub struct Allotments {
    keeping: Mutex<Option<Keeping>>,
    parts: Mutex<Parts>,
    asked: Questions<UseTold>,
    silent: Mutex<Option<Silent>>,
    kept: Mutex<Kept>,
    /// Wakes the thread that keeps them in the store.
    wake: Sender<()>,
    woken: Receiver<()>,
}

impl Default for Allotments {
    fn default() -> Self {
        let (wake, woken) = bounded(1);
        Self {
            keeping: Mutex::default(),
            parts: Mutex::default(),
            asked: Questions::default(),
            silent: Mutex::default(),
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
        };
        let told = self.question(shared, &ask);
        let window = shared.bounds.load().quota.window;
        let mut parts = lock(&self.parts);
        let Some(told) = told else {
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

    /// The keeper's ruling; `None` if there is none that answers.
    fn question(&self, shared: &Shared, ask: &UseAsk) -> Option<UseTold> {
        let holder = shared.right()?.holder()?;
        let settings = &shared.settings;
        if holder.instance == settings.instance {
            let told = self.rule(shared, settings.peer_address, ask);
            return Some(told).filter(|told| told.verdict() != UseVerdict::NotKeeper);
        }
        let now = clock::now();
        let is_silent = |silent: &Silent| silent.holder == holder && now < silent.until;
        if lock(&self.silent).as_ref().is_some_and(is_silent) {
            return None;
        }
        let body = Body::UseAsk(ask.clone());
        let address = holder.address;
        let told = self
            .asked
            .ask(ask.id, || shared.dispatch.send(address, body.clone()));
        let pause = match &told {
            Some(told) if told.verdict() != UseVerdict::NotKeeper => return Some(told.clone()),
            Some(_) => NOT_KEEPER_TIME,
            None => SILENT_TIME,
        };
        *lock(&self.silent) = Some(Silent {
            holder,
            until: clock::now() + pause,
        });
        None
    }

    /// A request that was granted did not run and never will. If the message is lost, that costs
    /// its workspace what the request counts.
    pub fn give_back(&self, shared: &Shared, workspace: &Workspace, cost: f64) {
        let Some(holder) = shared.right().and_then(|right| right.holder()) else {
            return;
        };
        let back = UseBack {
            workspace: workspace.name.to_string(),
            cost,
        };
        let settings = &shared.settings;
        if holder.instance == settings.instance {
            self.take_back(shared, settings.peer_address, &back);
        } else {
            shared.dispatch.send(holder.address, Body::UseBack(back));
        }
    }

    /// Takes in the answer to a question of this instance.
    pub fn answered(&self, told: UseTold) {
        self.asked.answered(told.id, told);
    }

    /// Answers an instance's question; only the keeper rules.
    pub fn rule(&self, shared: &Shared, from: SocketAddr, ask: &UseAsk) -> UseTold {
        let mut told = UseTold {
            id: ask.id,
            ..UseTold::default()
        };
        let Some(fence) = shared.right().and_then(|right| right.term()) else {
            return told;
        };
        let name = WorkspaceName::from(ask.workspace.as_str());
        let asked = Allotment {
            rate_per_s: ask.rate_per_s,
            burst: ask.burst,
        };
        let routes = shared.routes.load();
        let allotment = allotment_of(routes.as_deref(), &name).unwrap_or(asked);
        let now = clock::now();
        let mut keeping = lock(&self.keeping);
        let keeper = Self::keeper_of(&mut keeping, shared, fence);
        match keeper.ask(&name, allotment, from, ask.cost, now) {
            Ruling::Granted { part_per_s } => {
                told.set_verdict(UseVerdict::Granted);
                told.part_per_s = part_per_s;
            }
            Ruling::Refused { retry_after } => {
                told.set_verdict(UseVerdict::Refused);
                told.retry_after_ms = millis(retry_after);
            }
        }
        told
    }

    /// Takes back what a request counted that was granted here.
    pub fn take_back(&self, shared: &Shared, from: SocketAddr, back: &UseBack) {
        let routes = shared.routes.load();
        let Some(allotment) = allotment_of(routes.as_deref(), &back.workspace) else {
            return;
        };
        if let Some(keeping) = lock(&self.keeping).as_mut() {
            let now = clock::now();
            let keeper = &mut keeping.keeper;
            keeper.give_back(&back.workspace, allotment, from, back.cost, now);
        }
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
                let mut keeping = lock(&self.keeping);
                let keeper = Self::keeper_of(&mut keeping, shared, fence);
                keeper.begin_half_full(left, |name| allotment_of(routes.as_deref(), name));
                return;
            }
            std::thread::sleep(TAKE_PAUSE);
        }
    }

    /// Tells the next keeper which buckets are half full now.
    fn tell(&self, shared: &Shared, fence: Fence, store: &dyn SharedStore) {
        let routes = shared.routes.load();
        let mut keeping = lock(&self.keeping);
        let keeper = Self::keeper_of(&mut keeping, shared, fence);
        let allotment = |name: &str| allotment_of(routes.as_deref(), name);
        let names = keeper.half_full(allotment, clock::now());
        drop(keeping);
        // What could not be written is looked at again.
        self.write(store, names);
    }

    /// The keeper of a term.
    fn keeper_of<'a>(
        keeping: &'a mut Option<Keeping>,
        shared: &Shared,
        fence: Fence,
    ) -> &'a mut Keeper {
        keeping.take_if(|one| one.fence != fence);
        let new = || Keeping {
            fence,
            keeper: Keeper::new(shared.bounds.load().quota, clock::now()),
        };
        &mut keeping.get_or_insert_with(new).keeper
    }

    /// Forgets workspaces that a new configuration does not name.
    pub fn retain(&self, table: &RouteTable) {
        let is_there = |name: &str| {
            let workspaces = table.workspaces.as_ref();
            workspaces.is_some_and(|all| all.named(name).is_some())
        };
        lock(&self.parts).retain(is_there);
        if let Some(keeping) = lock(&self.keeping).as_mut() {
            keeping.keeper.retain(is_there);
        }
    }
}

fn allotment_of(table: Option<&RouteTable>, workspace: &str) -> Option<Allotment> {
    let workspaces = table?.workspaces.as_ref()?;
    workspaces.named(workspace)?.allotment
}
