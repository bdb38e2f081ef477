//! The decision logic of one cell with the threads that perform its actions.

use super::Input;
use crate::status::{CellStatus, PlacementStatus};
use crate::translate;
use crate::workers::{self, LeaseJob, PlanJob, ReplySender, StatusPolling};
use crossbeam::channel::Sender;
use passway_config::Catalog;
use passway_decide::cell::term::{Stage, Term};
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

/// The first standby polls the lease at this fraction of the lease's duration.
const STANDBY_POLL_DIVISOR: u32 = 6;

/// Clients, durations and the input channel that the threads of all cells share.
#[derive(Clone)]
pub(crate) struct Services {
    pub(crate) key_value: Arc<dyn KeyValue>,
    pub(crate) engines: Arc<dyn EngineControl>,
    pub(crate) lease_duration: Duration,
    pub(crate) order_settle_time: Duration,
    pub(crate) write_outage_after: Duration,
    pub(crate) inputs: Sender<Input>,
}

impl fmt::Debug for Services {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Services")
            .field("lease", &self.lease_duration)
            .finish_non_exhaustive()
    }
}

/// The order queue and the status polling of one upstream.
#[derive(Debug)]
struct UpstreamThreads {
    address: SocketAddr,
    orders: Sender<Order>,
    polling: Arc<StatusPolling>,
}

/// One cell: its decision logic, its threads and its published routes.
pub(super) struct CellShell {
    cell: CellName,
    identity: Holder,
    controller: CellController,
    reply: ReplySender,
    lease_jobs: Sender<LeaseJob>,
    lease_thread: JoinHandle<()>,
    plan_jobs: Sender<PlanJob>,
    catalog: Arc<Catalog>,
    engines: Arc<dyn EngineControl>,
    upstreams: HashMap<UpstreamId, UpstreamThreads>,
    /// Number of orders that were queued for sending and have no answer yet, by epoch.
    unanswered_orders: BTreeMap<Epoch, u32>,
    routes: BTreeSet<(ModelName, UpstreamId)>,
    has_published_routes: bool,
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
        identity: &Holder,
        catalog: Arc<Catalog>,
        services: &Services,
    ) -> Self {
        let reply = ReplySender {
            cell: cell.clone(),
            inputs: services.inputs.clone(),
        };
        let limits = CellLimits {
            standby_poll_interval: services.lease_duration / STANDBY_POLL_DIVISOR,
            order_settle_time: services.order_settle_time,
            write_outage_after: services.write_outage_after,
        };
        let key_value = &services.key_value;
        let (lease_jobs, lease_thread) = workers::start_lease_thread(
            key_value.clone(),
            identity,
            services.lease_duration,
            reply.clone(),
        );
        Self {
            controller: CellController::new(
                cell.clone(),
                identity.clone(),
                limits,
                catalog.clone(),
                now,
            ),
            lease_jobs,
            lease_thread,
            plan_jobs: workers::start_plan_thread(key_value.clone(), reply.clone()),
            cell,
            identity: identity.clone(),
            reply,
            catalog,
            engines: services.engines.clone(),
            upstreams: HashMap::new(),
            unanswered_orders: BTreeMap::new(),
            routes: BTreeSet::new(),
            has_published_routes: false,
        }
    }

    /// Switches to a newer catalog.
    pub(super) fn use_catalog(&mut self, catalog: &Arc<Catalog>) {
        self.catalog = catalog.clone();
        if !self.upstreams.is_empty() {
            self.start_threads();
        }
    }

    /// Starts threads for new upstreams and for those whose address has changed. A controller
    /// that has never led the cell has no such threads.
    fn start_threads(&mut self) {
        for entry in self.catalog.upstreams_of(&self.cell) {
            let existing = self.upstreams.get(&entry.id);
            if existing.is_some_and(|existing| existing.address == entry.address) {
                continue;
            }
            let polling = Arc::new(StatusPolling::default());
            let engines = self.engines.clone();
            let orders = workers::start_order_thread(engines, entry.address, self.reply.clone());
            workers::start_status_thread(
                self.engines.clone(),
                entry.id.clone(),
                entry.address,
                polling.clone(),
                self.reply.clone(),
            );
            let threads = UpstreamThreads {
                address: entry.address,
                orders,
                polling,
            };
            if let Some(replaced) = self.upstreams.insert(entry.id.clone(), threads) {
                replaced.polling.should_stop.store(true, Ordering::Relaxed);
            }
        }
    }

    /// Handles an event and returns the actions to perform.
    pub(super) fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        if let Event::OrderAnswered { fence, .. } = &event {
            self.order_answered(fence_epoch(*fence));
        }
        let was_active = self.is_active();
        let actions = self.controller.handle(now, event);
        if self.is_active() && !was_active {
            self.start_threads();
        }
        self.update_status_polling();
        actions
    }

    fn order_answered(&mut self, epoch: Epoch) {
        if let Some(count) = self.unanswered_orders.get_mut(&epoch) {
            *count -= 1;
            if *count == 0 {
                self.unanswered_orders.remove(&epoch);
            }
        }
    }

    /// Polls the status of upstreams while this controller leads, and more often at an
    /// upstream where a placement is changing.
    fn update_status_polling(&mut self) {
        let term = self.controller.term();
        let changing: HashSet<&UpstreamId> = term
            .into_iter()
            .flat_map(|term| {
                term.plan()
                    .placements()
                    .map(move |placement| (term, placement))
            })
            .filter(|(term, placement)| {
                placement.state == PlacementState::Leaving
                    || term.stage(placement.id) != Stage::Ready
            })
            .map(|(_, placement)| &placement.upstream)
            .collect();
        for (id, threads) in &self.upstreams {
            threads
                .polling
                .is_leading
                .store(term.is_some(), Ordering::Relaxed);
            threads
                .polling
                .is_busy
                .store(changing.contains(id), Ordering::Relaxed);
        }
    }

    /// Whether this controller leads the cell.
    pub(super) fn is_active(&self) -> bool {
        self.controller.term().is_some()
    }

    /// Returns the current term; `None` if this controller does not lead.
    pub(super) fn term(&self) -> Option<&Term> {
        self.controller.term()
    }

    /// Returns the epoch of the current term; 0 if this controller does not lead.
    pub(super) fn epoch(&self) -> Epoch {
        self.controller.term().map_or(0, Term::epoch)
    }

    /// Whether this process may still send an order of `epoch`.
    pub(super) fn can_send_orders(&self, epoch: Epoch) -> bool {
        self.epoch() == epoch || self.unanswered_orders.contains_key(&epoch)
    }

    /// Applies a change of routes and returns it as a wire message.
    pub(super) fn apply_route_change(&mut self, change: &RouteChange) -> Routes {
        if change.is_snapshot {
            self.routes.clear();
        }
        for route in &change.removed {
            self.routes.remove(route);
        }
        self.routes.extend(change.added.iter().cloned());
        self.has_published_routes = true;
        translate::routes(&self.cell, self.epoch(), change)
    }

    /// Returns all routes for a router that connects; `None` if this controller does not lead
    /// or has not published routes yet.
    pub(super) fn full_route_table(&self) -> Option<Routes> {
        if !self.has_published_routes || !self.is_active() {
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

    /// Passes an action to the thread that performs it.
    pub(super) fn perform(&mut self, action: Action) {
        // The job queues exist as long as this shell, so sending does not fail.
        match action {
            Action::AcquireLease => drop(self.lease_jobs.send(LeaseJob::Acquire)),
            Action::RenewLease => drop(self.lease_jobs.send(LeaseJob::Renew)),
            Action::ReleaseLease => drop(self.lease_jobs.send(LeaseJob::Release)),
            Action::ReadPlan => drop(self.plan_jobs.send(PlanJob::Read)),
            Action::WritePlan { expected, plan } => {
                drop(self.plan_jobs.send(PlanJob::Write { expected, plan }));
            }
            Action::SendOrder(order) => self.send_order(order),
            Action::ProbePreviousHolder { epoch, holder } => {
                workers::start_probe_thread(&self.identity, epoch, holder, self.reply.clone());
            }
            Action::AnswerDemand { .. } | Action::PublishRoutes(_) | Action::Audit(_) => {}
        }
    }

    fn send_order(&mut self, order: Order) {
        *self
            .unanswered_orders
            .entry(fence_epoch(order.fence))
            .or_default() += 1;
        match self.upstreams.get(&order.upstream) {
            Some(threads) => drop(threads.orders.send(order)),
            None => self.reply.send_event(Event::OrderAnswered {
                upstream: order.upstream,
                fence: order.fence,
                answer: passway_decide::messages::OrderAnswer::NotSent,
            }),
        }
    }

    /// Stops the threads and waits until the lease is released.
    pub(super) fn shut_down(self) {
        for threads in self.upstreams.values() {
            threads.polling.should_stop.store(true, Ordering::Relaxed);
        }
        drop(self.lease_jobs);
        if self.lease_thread.join().is_err() {
            log::error!(cell = &*self.cell; "the lease thread panicked");
        }
    }

    /// Returns the status of the cell; `None` if this controller does not lead it.
    pub(super) fn status(&self) -> Option<CellStatus> {
        let term = self.controller.term()?;
        let placement_status = |placement: &Placement| PlacementStatus {
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
            placements: term.plan().placements().map(placement_status).collect(),
        })
    }
}
