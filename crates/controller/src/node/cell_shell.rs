//! One cell's decisions together with the threads that carry its actions out.

use super::Input;
use crate::status::{CellStatus, PlacementStatus};
use crate::translate;
use crate::workers::{self, LeaseJob, PlanJob, Reply, StatusPace};
use crossbeam::channel::Sender;
use passway_config::Catalog;
use passway_decide::cell::{Action, CellController, CellLimits, Event};
use passway_decide::messages::{Order, RouteChange, fence_epoch};
use passway_decide::plan::{Holder, Placement, PlacementState};
use passway_platform::engine::EngineControl;
use passway_platform::key_value::KeyValue;
use passway_types::prelude::*;
use passway_wire::message::Routes;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;

/// Time between two looks of the first standby at the lease, as a part of the lease.
const STANDBY_POLL_DIVISOR: u32 = 6;

/// What every cell's threads use.
#[derive(Clone)]
pub(crate) struct Services {
    pub(crate) key_value: Arc<dyn KeyValue>,
    pub(crate) engines: Arc<dyn EngineControl>,
    pub(crate) lease: Duration,
    pub(crate) order_settle: Duration,
    pub(crate) write_patience: Duration,
    pub(crate) inputs: Sender<Input>,
}

impl fmt::Debug for Services {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Services")
            .field("lease", &self.lease)
            .finish_non_exhaustive()
    }
}

/// The threads for one upstream.
#[derive(Debug)]
struct UpstreamThreads {
    address: SocketAddr,
    orders: Sender<Order>,
    pace: Arc<StatusPace>,
}

/// One cell.
pub(super) struct CellShell {
    cell: CellName,
    me: Holder,
    controller: CellController,
    reply: Reply,
    lease: Sender<LeaseJob>,
    lease_thread: JoinHandle<()>,
    plan: Sender<PlanJob>,
    catalog: Arc<Catalog>,
    engines: Arc<dyn EngineControl>,
    upstreams: HashMap<UpstreamId, UpstreamThreads>,
    /// Orders handed to a sender and not answered, by epoch.
    in_hand: BTreeMap<Epoch, u32>,
    routes: BTreeSet<(ModelName, UpstreamId)>,
    published: bool,
}

impl fmt::Debug for CellShell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CellShell")
            .field("cell", &self.cell)
            .finish_non_exhaustive()
    }
}

impl CellShell {
    pub(super) fn new(
        now: Instant,
        cell: CellName,
        me: &Holder,
        catalog: Arc<Catalog>,
        services: &Services,
    ) -> Self {
        let reply = Reply {
            cell: cell.clone(),
            inputs: services.inputs.clone(),
        };
        let limits = CellLimits {
            standby_poll_interval: services.lease / STANDBY_POLL_DIVISOR,
            order_settle_time: services.order_settle,
            write_outage_after: services.write_patience,
        };
        let key_value = &services.key_value;
        let (lease, lease_thread) =
            workers::start_lease(key_value.clone(), me, services.lease, reply.clone());
        Self {
            controller: CellController::new(cell.clone(), me.clone(), limits, catalog.clone(), now),
            lease,
            lease_thread,
            plan: workers::start_plan(key_value.clone(), reply.clone()),
            cell,
            me: me.clone(),
            reply,
            catalog,
            engines: services.engines.clone(),
            upstreams: HashMap::new(),
            in_hand: BTreeMap::new(),
            routes: BTreeSet::new(),
            published: false,
        }
    }

    /// Takes over a newer catalog.
    pub(super) fn use_catalog(&mut self, catalog: &Arc<Catalog>) {
        self.catalog = catalog.clone();
        if !self.upstreams.is_empty() {
            self.start_threads();
        }
    }

    /// Starts threads for new upstreams and for those that moved. A controller
    /// that never led the cell has none.
    fn start_threads(&mut self) {
        for entry in self.catalog.upstreams_of(&self.cell) {
            let known = self.upstreams.get(&entry.id);
            if known.is_some_and(|known| known.address == entry.address) {
                continue;
            }
            let pace = Arc::new(StatusPace::default());
            let engines = self.engines.clone();
            let orders = workers::start_orders(engines, entry.address, self.reply.clone());
            workers::start_status(
                self.engines.clone(),
                entry.id.clone(),
                entry.address,
                pace.clone(),
                self.reply.clone(),
            );
            let threads = UpstreamThreads {
                address: entry.address,
                orders,
                pace,
            };
            if let Some(old) = self.upstreams.insert(entry.id.clone(), threads) {
                old.pace.ended.store(true, Ordering::Relaxed);
            }
        }
    }

    pub(super) fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        if let Event::OrderAnswered { fence, .. } = &event {
            self.answered(fence_epoch(*fence));
        }
        let was_active = self.is_active();
        let actions = self.controller.handle(now, event);
        if self.is_active() && !was_active {
            self.start_threads();
        }
        self.set_paces();
        actions
    }

    fn answered(&mut self, epoch: Epoch) {
        if let Some(count) = self.in_hand.get_mut(&epoch) {
            *count -= 1;
            if *count == 0 {
                self.in_hand.remove(&epoch);
            }
        }
    }

    /// Upstreams are asked while this controller leads, more often where
    /// something changes.
    fn set_paces(&mut self) {
        let term = self.controller.term();
        let changing: HashSet<&UpstreamId> = term
            .into_iter()
            .flat_map(|term| term.plan().placements().map(move |p| (term, p)))
            .filter(|(term, p)| {
                p.state == PlacementState::Leaving
                    || term.stage(p.id) != passway_decide::cell::term::Stage::Ready
            })
            .map(|(_, p)| &p.upstream)
            .collect();
        for (id, threads) in &self.upstreams {
            threads.pace.active.store(term.is_some(), Ordering::Relaxed);
            threads
                .pace
                .busy
                .store(changing.contains(id), Ordering::Relaxed);
        }
    }

    pub(super) fn is_active(&self) -> bool {
        self.controller.term().is_some()
    }

    pub(super) fn epoch(&self) -> Epoch {
        self.controller
            .term()
            .map_or(0, passway_decide::cell::term::Term::epoch)
    }

    /// Whether an order of `epoch` may still leave this process.
    pub(super) fn may_order(&self, epoch: Epoch) -> bool {
        self.epoch() == epoch || self.in_hand.contains_key(&epoch)
    }

    /// Applies a change of routes and returns it as it travels.
    pub(super) fn publish(&mut self, change: &RouteChange) -> Routes {
        if change.is_snapshot {
            self.routes.clear();
        }
        for route in &change.removed {
            self.routes.remove(route);
        }
        self.routes.extend(change.added.iter().cloned());
        self.published = true;
        translate::routes(&self.cell, self.epoch(), change)
    }

    /// The whole table, for a router that connects; `None` if this controller
    /// does not lead or has not published.
    pub(super) fn whole_table(&self) -> Option<Routes> {
        if !self.published || !self.is_active() {
            return None;
        }
        let added = self.routes.iter().cloned().collect();
        let change = RouteChange {
            added,
            removed: Vec::new(),
            is_snapshot: true,
        };
        Some(translate::routes(&self.cell, self.epoch(), &change))
    }

    /// Hands an action to the thread that carries it out.
    pub(super) fn perform(&mut self, action: Action) {
        // The threads' queues end only with this shell, so sending does not fail.
        match action {
            Action::AcquireLease => drop(self.lease.send(LeaseJob::Acquire)),
            Action::RenewLease => drop(self.lease.send(LeaseJob::Renew)),
            Action::ReleaseLease => drop(self.lease.send(LeaseJob::Release)),
            Action::ReadPlan => drop(self.plan.send(PlanJob::Read)),
            Action::WritePlan { expected, plan } => {
                drop(self.plan.send(PlanJob::Write { expected, plan }));
            }
            Action::SendOrder(order) => self.send_order(order),
            Action::ProbePreviousHolder { epoch, holder } => {
                workers::probe(&self.me, epoch, holder, self.reply.clone());
            }
            Action::AnswerDemand { .. } | Action::PublishRoutes(_) | Action::Audit(_) => {}
        }
    }

    fn send_order(&mut self, order: Order) {
        *self.in_hand.entry(fence_epoch(order.fence)).or_default() += 1;
        match self.upstreams.get(&order.upstream) {
            Some(threads) => drop(threads.orders.send(order)),
            None => self.reply.event(Event::OrderAnswered {
                upstream: order.upstream,
                fence: order.fence,
                answer: passway_decide::messages::OrderAnswer::NotSent,
            }),
        }
    }

    /// Ends the threads and waits until the lease is given back.
    pub(super) fn finish(self) {
        for threads in self.upstreams.values() {
            threads.pace.ended.store(true, Ordering::Relaxed);
        }
        drop(self.lease);
        if self.lease_thread.join().is_err() {
            log::error!(cell = &*self.cell; "the lease thread panicked");
        }
    }

    pub(super) fn status(&self) -> Option<CellStatus> {
        let term = self.controller.term()?;
        let status = |placement: &Placement| PlacementStatus {
            id: placement.id,
            model: placement.model.to_string(),
            upstream: placement.upstream.to_string(),
            state: format!("{:?}, {:?}", placement.state, term.stage(placement.id)),
            reserved_mb: placement.reserved_bytes >> 20,
            workspace: placement.workspace.to_string(),
        };
        Some(CellStatus {
            cell: self.cell.to_string(),
            epoch: term.epoch(),
            placements: term.plan().placements().map(status).collect(),
        })
    }
}
