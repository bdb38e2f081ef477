//! The decisions for one cell: who leads, what is placed where, which orders go out.
//!
//! A [`CellController`] is fed [`Event`]s and returns [`Action`]s. Every
//! controller process has one for each cell; only the one whose term is written
//! in the plan acts. Safety rests on the plan's compare-and-swap and on fencing
//! numbers; the lease only decides who tries.
//!
//! * [`write`]: the life cycle of a change of the plan.
//! * [`term`]: what the holder of a term knows and does.
//! * [`lease`], [`former`], [`progress`], [`usage`], [`demand`], [`upstreams`]: what it knows.
//! * [`placing`], [`idle`], [`ordering`], [`publish`]: what it does.

pub mod demand;
mod former;
mod idle;
mod lease;
mod ordering;
mod placing;
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
use upstreams::{Standing, Upstreams};
use write::{Change, InFlight, Resolution};

/// Longest time between two attempts of a standby to take the lease, as a power of two of the first.
const MAX_STANDBY_BACKOFF: u32 = 10;
/// Pause before a read of the key-value service is tried again.
const READ_RETRY: Duration = Duration::from_millis(200);

/// Bounds that the program's settings give.
#[derive(Debug, Clone)]
pub struct CellLimits {
    /// Time between two looks of the first standby at the lease.
    pub standby_poll: Duration,
    /// Time after which an unanswered order can no longer arrive.
    pub order_settle: Duration,
    /// A write that is open for longer counts as an outage of the key-value service.
    pub write_patience: Duration,
}

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The lease was taken or renewed; orders may leave until `until_at`, which
    /// is counted from before the call was sent.
    LeaseGranted {
        /// The last moment at which the lease can be relied on.
        until_at: Instant,
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
    WriteUnclear,
    /// An order was answered.
    Order {
        /// The order's upstream.
        upstream: UpstreamId,
        /// The order's fencing number.
        fence: Fence,
        /// What became of it.
        answer: OrderAnswer,
    },
    /// An upstream reported, or could not be asked.
    Status {
        /// Which upstream.
        upstream: UpstreamId,
        /// When the question was sent.
        asked_at: Instant,
        /// The report; `None` if the upstream could not be reached.
        status: Option<UpstreamStatus>,
    },
    /// A router's demand.
    Demand(Demand),
    /// A router's report of use.
    Usage(Usage),
    /// A router's connection ended.
    RouterGone(Incarnation),
    /// The holder of an earlier epoch can send no more.
    FormerGone(Epoch),
    /// What the platform's list says of an upstream has changed.
    UpstreamStanding {
        /// Which upstream.
        upstream: UpstreamId,
        /// What the list says now.
        standing: Standing,
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
    /// Tell routers where requests may be sent.
    Publish(RouteChange),
    /// Find out whether a former holder can still send orders.
    ProbeFormer {
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
        read_at: Option<Instant>,
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
    me: Holder,
    limits: CellLimits,
    catalog: Arc<Catalog>,
    role: Role,
    upstreams: Upstreams,
    rank: u32,
    changes_made: u64,
}

impl CellController {
    /// A standby for `cell`.
    pub fn new(
        cell: CellName,
        me: Holder,
        limits: CellLimits,
        catalog: Arc<Catalog>,
        now: Instant,
    ) -> Self {
        let upstreams = Upstreams::new(&catalog, &cell);
        let role = Role::Standby { poll_at: now };
        Self {
            cell,
            me,
            limits,
            catalog,
            role,
            upstreams,
            rank: 0,
            changes_made: 0,
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
            Event::LeaseGranted { until_at } => self.lease_granted(until_at, now, &mut actions),
            Event::LeaseDenied => self.stand_down(now, &mut actions),
            Event::LeaseUnavailable => self.lease_unavailable(now),
            Event::PlanRead { version, plan } => {
                self.plan_read(now, version, plan.map(|plan| *plan), &mut actions);
            }
            Event::PlanUnavailable => self.plan_unavailable(now),
            Event::WriteDone { change, version } => {
                self.write_done(now, change, version, &mut actions);
            }
            Event::WriteUnclear => self.read_again(now),
            Event::Catalog(catalog) => self.use_catalog(catalog),
            Event::Rank(rank) => self.rank = rank,
            Event::Shutdown => self.shutdown(now, &mut actions),
            Event::Order {
                upstream,
                fence,
                answer,
            } => {
                let sent = self
                    .upstreams
                    .answered(now, &upstream, fence, answer, &self.limits);
                if let Some(sent) = sent {
                    self.with_term(|term, all| term.answered(now, all, &sent, answer));
                }
            }
            Event::Status {
                upstream,
                asked_at,
                status,
            } => {
                self.upstreams.reported(&upstream, asked_at, status);
                self.with_term(|term, upstreams| term.observe(now, upstreams, &upstream));
            }
            Event::Demand(demand) => self.with_term(|term, _| term.demands.set(demand)),
            Event::Usage(usage) => self.with_term(|term, _| term.record_usage(&usage)),
            Event::RouterGone(router) => self.with_term(|term, _| term.router_gone(router)),
            Event::FormerGone(epoch) => {
                let settled_at = now + self.limits.order_settle;
                self.with_term(|term, _| term.former_gone(epoch, settled_at));
            }
            Event::UpstreamStanding { upstream, standing } => {
                self.upstreams.set_standing(&upstream, standing);
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
            Role::TakingOver { read_at, .. } if read_at.is_some_and(|at| now >= at) => {
                *read_at = None;
                actions.push(Action::ReadPlan);
            }
            Role::Active(term) => term.tick(now, actions),
            _ => {}
        }
    }

    fn lease_granted(&mut self, until_at: Instant, now: Instant, actions: &mut Vec<Action>) {
        match &mut self.role {
            Role::Acquiring => {
                self.role = Role::TakingOver {
                    lease_until: until_at,
                    read_at: None,
                    change: None,
                };
                actions.push(Action::ReadPlan);
            }
            Role::TakingOver { lease_until, .. } => *lease_until = until_at,
            Role::Active(term) => term.lease_renewed(until_at),
            Role::Standby { .. } => self.role = Role::Standby { poll_at: now },
            Role::Stopped => actions.push(Action::ReleaseLease),
        }
    }

    fn lease_unavailable(&mut self, now: Instant) {
        match &mut self.role {
            Role::Acquiring => {
                self.role = Role::Standby {
                    poll_at: now + self.standby_pause(),
                }
            }
            Role::Active(term) => term.renewal_failed(),
            _ => {}
        }
    }

    /// Standbys further back look more rarely, so that the sum of all looks is
    /// bounded however many controllers there are.
    fn standby_pause(&self) -> Duration {
        self.limits.standby_poll * 2_u32.pow(self.rank.min(MAX_STANDBY_BACKOFF))
    }

    fn stand_down(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Role::Active(term) = &self.role {
            actions.push(Action::Audit(Decision::StoodDown {
                epoch: term.epoch(),
            }));
        }
        if !matches!(self.role, Role::Stopped) {
            self.role = Role::Standby {
                poll_at: now + self.standby_pause(),
            };
        }
    }

    fn shutdown(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let had_lease = matches!(self.role, Role::Active(_) | Role::TakingOver { .. });
        self.stand_down(now, actions);
        self.role = Role::Stopped;
        if had_lease {
            actions.push(Action::ReleaseLease);
        }
    }

    fn plan_read(
        &mut self,
        now: Instant,
        version: Version,
        found: Option<Plan>,
        actions: &mut Vec<Action>,
    ) {
        match &mut self.role {
            Role::TakingOver { change, .. } => match change.take() {
                None => self.begin_take_over(version, found, actions),
                Some(change) => match change.resolve(version, found) {
                    Resolution::Committed(committed) => self.begin_term(now, committed, actions),
                    Resolution::NotApplied { version, plan } => {
                        self.begin_take_over(version, plan, actions);
                    }
                    Resolution::Deposed => self.stand_down(now, actions),
                },
            },
            Role::Active(term) => {
                let is_deposed = term.plan_read(now, version, found).is_err();
                if is_deposed {
                    self.stand_down(now, actions);
                }
            }
            _ => {}
        }
    }

    fn begin_take_over(
        &mut self,
        version: Version,
        found: Option<Plan>,
        actions: &mut Vec<Action>,
    ) {
        let mut plan = found.map_or_else(
            || Plan::first(self.me.clone()),
            |mut plan| {
                plan.take_over(self.me.clone());
                plan
            },
        );
        self.changes_made += 1;
        plan.last_change = change_id(self.me.incarnation, self.changes_made);
        let (sent, action) = Change::draft(plan).send(version);
        actions.push(action);
        if let Role::TakingOver { change, .. } = &mut self.role {
            *change = Some(sent);
        }
    }

    fn plan_unavailable(&mut self, now: Instant) {
        match &mut self.role {
            Role::TakingOver { read_at, .. } => *read_at = Some(now + READ_RETRY),
            Role::Active(term) => term.read_failed(now),
            _ => {}
        }
    }

    fn read_again(&mut self, now: Instant) {
        match &mut self.role {
            Role::TakingOver { read_at, .. } => *read_at = Some(now),
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
            self.changes_made,
            self.limits.write_patience,
        );
        term.adopt(now, &self.upstreams);
        self.role = Role::Active(Box::new(term));
    }
}

/// The id of the `count`th change that a process makes; unlike any other process's.
fn change_id(incarnation: Incarnation, count: u64) -> ChangeId {
    (incarnation << 24) ^ count
}
