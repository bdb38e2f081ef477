//! Decision logic of one cell: leadership, placements and orders to upstreams.
//!
//! A [`CellController`] takes [`Event`]s and returns [`Action`]s. Every controller process has one
//! per cell, and only the one whose term is written in the plan acts. Safety depends on the
//! compare-and-swap of the plan and on fencing numbers; the lease only decides which controller
//! tries to lead.
//!
//! * [`write`]: the life cycle of a change of the plan.
//! * [`term`]: the state and the actions of the holder during one term.
//! * `lease`, `previous_holders`, `progress`, `usage`, [`demand`], [`upstreams`]: the parts of that
//!   state.
//! * `placing`, `idle`, `orders`, `publish`: the parts of its actions.

pub mod demand;
mod idle;
mod lease;
mod orders;
mod placing;
mod previous_holders;
mod progress;
mod publish;
pub mod term;
pub mod upstreams;
mod usage;
pub mod write;

use crate::messages::{
    Demand, DemandVerdict, Order, OrderAnswer, RouteChange, UpstreamStatus, Usage,
};
use crate::plan::{Holder, Plan};
use passway_config::Catalog;
use passway_types::prelude::*;
use term::Term;
use upstreams::{ListingState, Upstreams};
use write::{Change, InFlight, Resolution};

/// Limit of a standby's backoff: the exponent of 2 by which its poll interval grows.
const MAX_STANDBY_BACKOFF_EXPONENT: u32 = 10;
/// Delay before a failed read of the plan is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time limits from the program's settings.
#[derive(Debug, Clone)]
pub struct CellLimits {
    /// Interval at which the first standby tries to take the lease.
    pub standby_poll_interval: Duration,
    /// Time after which an unanswered order can no longer arrive.
    pub order_settle_time: Duration,
    /// A write without an outcome for longer than this counts as an outage of the key-value
    /// service.
    pub write_outage_after: Duration,
}

/// An input of a [`CellController`].
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The lease was taken or renewed. Orders may be sent until `valid_until`, which is counted
    /// from before the lease call was sent.
    LeaseGranted {
        /// The last time at which the lease can be relied on.
        valid_until: Instant,
    },
    /// Another controller has the lease, or this controller's lease expired.
    LeaseDenied,
    /// The key-value service did not answer a lease call.
    LeaseUnavailable,
    /// The plan was read.
    PlanRead {
        /// The version of the plan, 0 if there is none.
        version: Version,
        /// The plan, if there is one.
        plan: Option<Box<Plan>>,
    },
    /// The plan could not be read.
    PlanUnavailable,
    /// A write took effect.
    WriteDone {
        /// The id of the written change. An answer to an earlier change is ignored.
        change: ChangeId,
        /// The version that the write created.
        version: Version,
    },
    /// The last write did not take effect, or its answer was lost.
    WriteOutcomeUnknown,
    /// An order was answered, or its sender gave up on it.
    OrderAnswered {
        /// The upstream that the order was for.
        upstream: UpstreamId,
        /// The order's fencing number.
        fence: Fence,
        /// The answer to the order.
        answer: OrderAnswer,
    },
    /// An upstream was polled for its status.
    StatusPolled {
        /// The upstream.
        upstream: UpstreamId,
        /// When the poll was sent.
        polled_at: Instant,
        /// The status report; `None` if the upstream did not answer.
        status: Option<UpstreamStatus>,
    },
    /// A demand from a router.
    Demand(Demand),
    /// A usage report from a router.
    Usage(Usage),
    /// The connection of a router was closed.
    RouterDisconnected(Incarnation),
    /// The holder of this earlier epoch can send no more orders.
    PreviousHolderStopped(Epoch),
    /// The state of an upstream in the platform's instance list has changed.
    UpstreamListingChanged {
        /// The upstream.
        upstream: UpstreamId,
        /// The new state.
        listing: ListingState,
    },
    /// A newer configuration is in use.
    Catalog(Arc<Catalog>),
    /// The number of running controllers that precede this one in the ranking for the cell.
    Rank(u32),
    /// The process is about to stop.
    Shutdown,
}

/// An output of a [`CellController`], to be carried out by the program.
#[derive(Debug, Clone)]
pub enum Action {
    /// Try to take the cell's lease.
    AcquireLease,
    /// Renew the lease.
    RenewLease,
    /// Release the lease.
    ReleaseLease,
    /// Read the plan.
    ReadPlan,
    /// Write the plan if its version is still `expected`.
    WritePlan {
        /// The version that the stored plan must have.
        expected: Version,
        /// The new plan.
        plan: Box<Plan>,
    },
    /// Send an order unless its `not_after` time has passed.
    SendOrder(Order),
    /// Answer a router's demand.
    AnswerDemand {
        /// The incarnation of the router.
        router: Incarnation,
        /// The model that the demand is for.
        model: ModelName,
        /// The answer.
        verdict: DemandVerdict,
    },
    /// Send the change of the routing table to all routers.
    PublishRoutes(RouteChange),
    /// Find out whether a previous holder can still send orders.
    ProbePreviousHolder {
        /// The epoch of the previous holder.
        epoch: Epoch,
        /// The previous holder.
        holder: Holder,
    },
    /// Record a decision in the audit trail.
    Audit(Decision),
}

/// A decision that is recorded in the audit trail.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// A term of leadership began.
    TookOver {
        /// The epoch of the term.
        epoch: Epoch,
    },
    /// A term of leadership ended.
    StoodDown {
        /// The epoch of the term.
        epoch: Epoch,
    },
    /// A placement was added to the plan.
    Placed {
        /// The placement.
        placement: PlacementId,
        /// The model.
        model: ModelName,
        /// The upstream.
        upstream: UpstreamId,
        /// Why the placement was made.
        reason: String,
    },
    /// A placement was marked as leaving.
    Unloading {
        /// The placement.
        placement: PlacementId,
        /// The model.
        model: ModelName,
        /// The upstream.
        upstream: UpstreamId,
        /// Why the model is unloaded.
        reason: &'static str,
    },
    /// A placement was removed and its memory is free.
    Freed {
        /// The placement.
        placement: PlacementId,
    },
}

/// The role of this controller in the cell.
#[derive(Debug)]
enum Role {
    /// Another controller leads, or none does.
    Standby { next_poll_at: Instant },
    /// The controller has asked for the lease.
    Acquiring,
    /// The controller has the lease and reads or writes the plan to begin its term.
    TakingOver {
        lease_until: Instant,
        next_read_at: Option<Instant>,
        change: Option<Change<InFlight>>,
    },
    /// The controller's term is written in the plan.
    Active(Box<Term>),
    /// The process is stopping and begins no more terms.
    Stopped,
}

/// The decision state of a controller for one cell.
#[derive(Debug)]
pub struct CellController {
    cell: CellName,
    this_holder: Holder,
    limits: CellLimits,
    catalog: Arc<Catalog>,
    role: Role,
    upstreams: Upstreams,
    rank: u32,
    change_count: u64,
}

impl CellController {
    /// Returns a standby for `cell`.
    pub fn new(
        cell: CellName,
        this_holder: Holder,
        limits: CellLimits,
        catalog: Arc<Catalog>,
        now: Instant,
    ) -> Self {
        let upstreams = Upstreams::new(&catalog, &cell);
        let role = Role::Standby { next_poll_at: now };
        Self {
            cell,
            this_holder,
            limits,
            catalog,
            role,
            upstreams,
            rank: 0,
            change_count: 0,
        }
    }

    /// Returns the term in progress if this controller leads.
    pub fn term(&self) -> Option<&Term> {
        if let Role::Active(term) = &self.role {
            Some(term)
        } else {
            None
        }
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.with_term(|term, _| term.note_event(now));
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::LeaseGranted { valid_until } => self.apply_grant(valid_until, now, &mut actions),
            Event::LeaseDenied => self.step_down(now, &mut actions),
            Event::LeaseUnavailable => self.lease_unavailable(now),
            Event::PlanRead { version, plan } => {
                self.plan_read(now, version, plan.map(|plan| *plan), &mut actions);
            }
            Event::PlanUnavailable => self.plan_unavailable(now),
            Event::WriteDone { change, version } => {
                self.write_done(now, change, version, &mut actions);
            }
            Event::WriteOutcomeUnknown => self.schedule_read(now),
            Event::Catalog(catalog) => self.use_catalog(catalog),
            Event::Rank(rank) => self.rank = rank,
            Event::Shutdown => self.shutdown(now, &mut actions),
            Event::OrderAnswered {
                upstream,
                fence,
                answer,
            } => {
                let order =
                    self.upstreams
                        .record_answer(now, &upstream, fence, answer, &self.limits);
                if let Some(order) = order {
                    self.with_term(|term, views| term.apply_answer(now, views, &order, answer));
                }
            }
            Event::StatusPolled {
                upstream,
                polled_at,
                status,
            } => {
                self.upstreams.record_status(&upstream, polled_at, status);
                self.with_term(|term, upstreams| term.apply_report(now, upstreams, &upstream));
            }
            Event::Demand(demand) => self.with_term(|term, _| term.demands.set(demand)),
            Event::Usage(usage) => self.with_term(|term, _| term.record_usage(&usage)),
            Event::RouterDisconnected(router) => self.with_term(|term, _| term.drop_router(router)),
            Event::PreviousHolderStopped(epoch) => {
                let settled_at = now + self.limits.order_settle_time;
                self.with_term(|term, _| term.mark_holder_stopped(epoch, settled_at));
            }
            Event::UpstreamListingChanged { upstream, listing } => {
                self.upstreams.set_listing(&upstream, listing);
            }
        }
        self.advance(now, &mut actions);
        actions
    }

    fn with_term(&mut self, update: impl FnOnce(&mut Term, &Upstreams)) {
        if let Role::Active(term) = &mut self.role {
            update(term, &self.upstreams);
        }
    }

    fn advance(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Role::Active(term) = &mut self.role {
            term.advance(now, &self.catalog, &mut self.upstreams, actions);
        }
    }

    fn use_catalog(&mut self, catalog: Arc<Catalog>) {
        self.upstreams.use_catalog(&catalog, &self.cell);
        self.catalog = catalog;
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        match &mut self.role {
            Role::Standby { next_poll_at } if now >= *next_poll_at => {
                self.role = Role::Acquiring;
                actions.push(Action::AcquireLease);
            }
            Role::TakingOver { next_read_at, .. } if next_read_at.is_some_and(|at| now >= at) => {
                *next_read_at = None;
                actions.push(Action::ReadPlan);
            }
            Role::Active(term) => term.tick(now, actions),
            _ => {}
        }
    }

    fn apply_grant(&mut self, valid_until: Instant, now: Instant, actions: &mut Vec<Action>) {
        match &mut self.role {
            Role::Acquiring => {
                self.role = Role::TakingOver {
                    lease_until: valid_until,
                    next_read_at: None,
                    change: None,
                };
                actions.push(Action::ReadPlan);
            }
            Role::TakingOver { lease_until, .. } => *lease_until = valid_until,
            Role::Active(term) => term.lease_renewed(valid_until),
            Role::Standby { .. } => self.role = Role::Standby { next_poll_at: now },
            Role::Stopped => actions.push(Action::ReleaseLease),
        }
    }

    fn lease_unavailable(&mut self, now: Instant) {
        match &mut self.role {
            Role::Acquiring => {
                self.role = Role::Standby {
                    next_poll_at: now + self.standby_poll_delay(),
                }
            }
            Role::Active(term) => term.renewal_failed(),
            _ => {}
        }
    }

    /// Returns the poll delay of this standby. It doubles with the rank, so that the total rate of
    /// polls stays bounded for any number of controllers.
    fn standby_poll_delay(&self) -> Duration {
        self.limits.standby_poll_interval * 2_u32.pow(self.rank.min(MAX_STANDBY_BACKOFF_EXPONENT))
    }

    fn step_down(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Role::Active(term) = &self.role {
            actions.push(Action::Audit(Decision::StoodDown {
                epoch: term.epoch(),
            }));
        }
        if !matches!(self.role, Role::Stopped) {
            self.role = Role::Standby {
                next_poll_at: now + self.standby_poll_delay(),
            };
        }
    }

    fn shutdown(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let had_lease = matches!(self.role, Role::Active(_) | Role::TakingOver { .. });
        self.step_down(now, actions);
        self.role = Role::Stopped;
        if had_lease {
            actions.push(Action::ReleaseLease);
        }
    }

    fn plan_read(
        &mut self,
        now: Instant,
        version: Version,
        stored: Option<Plan>,
        actions: &mut Vec<Action>,
    ) {
        match &mut self.role {
            Role::TakingOver { change, .. } => match change.take() {
                None => self.begin_take_over(version, stored, actions),
                Some(change) => match change.resolve(version, stored) {
                    Resolution::Committed(committed) => self.begin_term(now, committed, actions),
                    Resolution::NotApplied { version, plan } => {
                        self.begin_take_over(version, plan, actions);
                    }
                    Resolution::Superseded => self.step_down(now, actions),
                },
            },
            Role::Active(term) => {
                let is_superseded = term.plan_read(now, version, stored).is_err();
                if is_superseded {
                    self.step_down(now, actions);
                }
            }
            _ => {}
        }
    }

    fn begin_take_over(
        &mut self,
        version: Version,
        stored: Option<Plan>,
        actions: &mut Vec<Action>,
    ) {
        let mut plan = stored.map_or_else(
            || Plan::initial(self.this_holder.clone()),
            |mut plan| {
                plan.take_over(self.this_holder.clone());
                plan
            },
        );
        self.change_count += 1;
        plan.last_change = change_id(self.this_holder.incarnation, self.change_count);
        let (in_flight, action) = Change::draft(plan).send(version);
        actions.push(action);
        if let Role::TakingOver { change, .. } = &mut self.role {
            *change = Some(in_flight);
        }
    }

    fn plan_unavailable(&mut self, now: Instant) {
        match &mut self.role {
            Role::TakingOver { next_read_at, .. } => *next_read_at = Some(now + READ_RETRY_DELAY),
            Role::Active(term) => term.read_failed(now),
            _ => {}
        }
    }

    fn schedule_read(&mut self, now: Instant) {
        match &mut self.role {
            Role::TakingOver { next_read_at, .. } => *next_read_at = Some(now),
            Role::Active(term) => term.write_outcome_unknown(now),
            _ => {}
        }
    }

    fn write_done(
        &mut self,
        now: Instant,
        id: ChangeId,
        version: Version,
        actions: &mut Vec<Action>,
    ) {
        match &mut self.role {
            Role::TakingOver { change, .. } => {
                if let Some(change) = change.take_if(|change| change.id() == id) {
                    self.begin_term(now, change.confirm(version), actions);
                }
            }
            Role::Active(term) => term.write_done(now, id, version),
            _ => {}
        }
    }

    fn begin_term(
        &mut self,
        now: Instant,
        committed: write::CommittedPlan,
        actions: &mut Vec<Action>,
    ) {
        let Role::TakingOver { lease_until, .. } = &self.role else {
            return;
        };
        let epoch = committed.plan().epoch;
        actions.push(Action::Audit(Decision::TookOver { epoch }));
        let mut term = Term::new(
            now,
            committed,
            *lease_until,
            &self.catalog,
            self.change_count,
            self.limits.write_outage_after,
        );
        term.apply_all_reports(now, &self.upstreams);
        self.role = Role::Active(Box::new(term));
    }
}

/// Returns the id of the `count`th change by a process. No other process uses the same id.
fn change_id(incarnation: Incarnation, count: u64) -> ChangeId {
    (incarnation << 24) ^ count
}
