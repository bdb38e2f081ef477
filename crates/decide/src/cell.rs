//! The decisions for one cell: who leads, what is placed where, which orders go out.
//!
//! A [`CellController`] is fed [`Event`]s and returns [`Action`]s. Every
//! controller process has one for each cell; only the one whose term is written
//! in the plan acts. Safety rests on the plan's compare-and-swap and on fencing
//! numbers; the lease only decides who tries.
//!
//! * [`write`]: the life cycle of a change of the plan.
//! * [`term`]: what the holder of a term knows and does.
//! * [`lease`], [`previous_holders`], [`progress`], [`usage`], [`demand`], [`upstreams`]: what it knows.
//! * [`placing`], [`idle`], [`orders`], [`publish`]: what it does.

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

/// Longest time between two attempts of a standby to take the lease, as a power of two of the first.
const MAX_STANDBY_BACKOFF_EXPONENT: u32 = 10;
/// Pause before a read of the key-value service is tried again.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Bounds that the program's settings give.
#[derive(Debug, Clone)]
pub struct CellLimits {
    /// Time between two looks of the first standby at the lease.
    pub standby_poll_interval: Duration,
    /// Time after which an unanswered order can no longer arrive.
    pub order_settle_time: Duration,
    /// A write that is open for longer counts as an outage of the key-value service.
    pub write_outage_after: Duration,
}

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The lease was taken or renewed; orders may leave until `valid_until`, which
    /// is counted from before the call was change.
    LeaseGranted {
        /// The last moment at which the lease can be relied on.
        valid_until: Instant,
    },
    /// Another controller has the lease, or ours lapsed.
    LeaseDenied,
    /// The key-value service did not answer about the lease.
    LeaseUnavailable,
    /// The plan was read.
    PlanRead {
        /// Its version, 0 if there is none.
        version: Version,
        /// The plan, if there is one.
        plan: Option<Box<Plan>>,
    },
    /// The plan could not be read.
    PlanUnavailable,
    /// A write took effect.
    WriteDone {
        /// The change that was written; an answer to an earlier one is stale.
        change: ChangeId,
        /// The version it made.
        version: Version,
    },
    /// The last write did not take effect, or its answer was lost.
    WriteOutcomeUnknown,
    /// An order was answered.
    OrderAnswered {
        /// The order's upstream.
        upstream: UpstreamId,
        /// The order's fencing number.
        fence: Fence,
        /// What became of it.
        answer: OrderAnswer,
    },
    /// An upstream reported, or could not be asked.
    StatusPolled {
        /// Which upstream.
        upstream: UpstreamId,
        /// When the question was change.
        polled_at: Instant,
        /// The report; `None` if the upstream could not be reached.
        status: Option<UpstreamStatus>,
    },
    /// A router's demand.
    Demand(Demand),
    /// A router's report of use.
    Usage(Usage),
    /// A router's connection ended.
    RouterDisconnected(Incarnation),
    /// The holder of an earlier epoch can send no more.
    PreviousHolderStopped(Epoch),
    /// What the platform's list says of an upstream has changed.
    UpstreamListingChanged {
        /// Which upstream.
        upstream: UpstreamId,
        /// What the list says now.
        listing: ListingState,
    },
    /// A newer configuration is in force.
    Catalog(Arc<Catalog>),
    /// How many live controllers come before this one for the cell.
    Rank(u32),
    /// The process is to stop.
    Shutdown,
}

/// Something to do.
#[derive(Debug, Clone)]
pub enum Action {
    /// Try to take the cell's lease.
    AcquireLease,
    /// Renew the lease.
    RenewLease,
    /// Give the lease back.
    ReleaseLease,
    /// Read the plan.
    ReadPlan,
    /// Write the plan if its version is still `expected`.
    WritePlan {
        /// The version that must still stand.
        expected: Version,
        /// The new plan.
        plan: Box<Plan>,
    },
    /// Send an order, unless its time has passed.
    SendOrder(Order),
    /// Answer a router's demand.
    AnswerDemand {
        /// Which router.
        router: Incarnation,
        /// The model.
        model: ModelName,
        /// The answer.
        verdict: DemandVerdict,
    },
    /// Tell routers where requests may be change.
    PublishRoutes(RouteChange),
    /// Find out whether a former holder can still send orders.
    ProbePreviousHolder {
        /// Its epoch.
        epoch: Epoch,
        /// Who it is.
        holder: Holder,
    },
    /// Record a decision.
    Audit(Decision),
}

/// A decision worth an entry in the audit trail.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// A term of leadership began.
    TookOver {
        /// Its epoch.
        epoch: Epoch,
    },
    /// A term ended.
    StoodDown {
        /// Its epoch.
        epoch: Epoch,
    },
    /// A placement was decided.
    Placed {
        /// The placement.
        placement: PlacementId,
        /// The model.
        model: ModelName,
        /// Where.
        upstream: UpstreamId,
        /// Why.
        reason: String,
    },
    /// A placement is to leave.
    Unloading {
        /// The placement.
        placement: PlacementId,
        /// The model.
        model: ModelName,
        /// Where.
        upstream: UpstreamId,
        /// Why.
        reason: &'static str,
    },
    /// A placement's memory is free again.
    Freed {
        /// The placement.
        placement: PlacementId,
    },
}

/// How this controller stands towards the cell.
#[derive(Debug)]
enum Role {
    /// Another controller leads, or nobody yet.
    Standby { poll_at: Instant },
    /// The lease is asked for.
    Acquiring,
    /// The lease is ours; the plan is read or written to begin the term.
    TakingOver {
        lease_until: Instant,
        next_read_at: Option<Instant>,
        change: Option<Change<InFlight>>,
    },
    /// The term is written in the plan.
    Active(Box<Term>),
    /// The process stops and takes no more terms.
    Stopped,
}

/// Decides for one cell.
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
    /// A standby for `cell`.
    pub fn new(
        cell: CellName,
        this_holder: Holder,
        limits: CellLimits,
        catalog: Arc<Catalog>,
        now: Instant,
    ) -> Self {
        let upstreams = Upstreams::new(&catalog, &cell);
        let role = Role::Standby { poll_at: now };
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

    /// The term in progress, if this controller leads.
    pub fn term(&self) -> Option<&Term> {
        if let Role::Active(term) = &self.role {
            Some(term)
        } else {
            None
        }
    }

    /// Takes one event and returns what to do, in order.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::LeaseGranted { valid_until } => {
                self.lease_granted(valid_until, now, &mut actions)
            }
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
                let answered =
                    self.upstreams
                        .record_answer(now, &upstream, fence, answer, &self.limits);
                if let Some(answered) = answered {
                    self.with_term(|term, upstreams| {
                        term.apply_answer(now, upstreams, &answered, answer)
                    });
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
            Event::RouterDisconnected(router) => {
                self.with_term(|term, _| term.remove_router(router))
            }
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

    fn with_term(&mut self, change: impl FnOnce(&mut Term, &Upstreams)) {
        if let Role::Active(term) = &mut self.role {
            change(term, &self.upstreams);
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
            Role::Standby { poll_at } if now >= *poll_at => {
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

    fn lease_granted(&mut self, valid_until: Instant, now: Instant, actions: &mut Vec<Action>) {
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
            Role::Standby { .. } => self.role = Role::Standby { poll_at: now },
            Role::Stopped => actions.push(Action::ReleaseLease),
        }
    }

    fn lease_unavailable(&mut self, now: Instant) {
        match &mut self.role {
            Role::Acquiring => {
                self.role = Role::Standby {
                    poll_at: now + self.standby_poll_delay(),
                }
            }
            Role::Active(term) => term.renewal_failed(),
            _ => {}
        }
    }

    /// Standbys further back look more rarely, so that the sum of all looks is
    /// bounded however many controllers there are.
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
                poll_at: now + self.standby_poll_delay(),
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
            Role::Active(term) => term.write_unclear(now),
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

/// The id of the `count`th change that a process makes; unlike any other process's.
fn change_id(incarnation: Incarnation, count: u64) -> ChangeId {
    (incarnation << 24) ^ count
}
