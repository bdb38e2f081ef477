//! One term of leadership over a cell.

use super::demand::DemandBook;
use super::idle;
use super::ordering;
use super::placing::{self, Scene};
use super::upstreams::{OrderInFlight, Upstreams};
use super::write::{Change, CommittedPlan, InFlight};
use super::{Action, Decision, change_id};
use crate::estimate::LoadEstimator;
use crate::keep::IdleHistory;
use crate::messages::{LoadedState, OrderAnswer, OrderKind, Usage};
use crate::plan::{PlacementState, Plan};
use passway_config::Catalog;
use passway_types::prelude::*;
use std::collections::{BTreeSet, HashMap};

/// Pause before the plan is read again to learn what became of a write.
const READ_RETRY: Duration = Duration::from_millis(200);
/// Pause between two probes of former holders.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// The lease is renewed after this part of its time.
const RENEW_DIVISOR: u32 = 3;

/// How far a placement is on its upstream, as far as the holder knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Nothing is known; an order is needed.
    Unknown,
    /// The upstream loads it.
    Loading,
    /// It serves.
    Ready,
    /// An unload order handed over at this time was answered with "absent".
    Absent {
        /// When the order was handed to the sender.
        ordered_at: Instant,
    },
}

/// A placement's stage and the times that go with it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Progress {
    pub(super) stage: Stage,
    pub(super) since: Instant,
    /// When the routes to it were taken back.
    pub(super) withdrawn_at: Option<Instant>,
}

/// How a model is used.
#[derive(Debug, Default)]
pub(super) struct ModelUse {
    running: HashMap<Incarnation, u32>,
    pub(super) last_used_at: Option<Instant>,
    pub(super) history: IdleHistory,
}

impl ModelUse {
    pub(super) fn is_running(&self) -> bool {
        self.running.values().any(|running| *running > 0)
    }

    fn record(&mut self, usage: &Usage) {
        if !self.is_running()
            && let Some(last) = self.last_used_at
            && usage.last_used_at > last
        {
            self.history.record(usage.last_used_at - last);
        }
        self.running.insert(usage.router, usage.running);
        self.last_used_at = self.last_used_at.max(Some(usage.last_used_at));
    }
}

/// What the holder of a term knows.
#[derive(Debug)]
pub struct Term {
    pub(super) committed: CommittedPlan,
    /// The committed plan with decisions that are not written yet.
    pub(super) draft: Plan,
    in_flight: Option<Change<InFlight>>,
    write_began_at: Option<Instant>,
    /// A write that is open for longer counts as an outage of the key-value service.
    write_patience: Duration,
    read_at: Option<Instant>,
    lease_until: Instant,
    renew_at: Instant,
    renewing: bool,
    pub(super) started_at: Instant,
    changes_made: u64,
    pub(super) orders_made: u32,
    pub(super) progress: HashMap<PlacementId, Progress>,
    pub(super) demands: DemandBook,
    pub(super) usage: HashMap<ModelName, ModelUse>,
    pub(super) estimator: LoadEstimator,
    /// Where room is being made for a model.
    pub(super) making_room: HashMap<ModelName, UpstreamId>,
    /// Models that cannot be placed for now, and why.
    pub(super) refused: HashMap<ModelName, ResultCode>,
    pub(super) published: Option<BTreeSet<(ModelName, UpstreamId)>>,
    former_settled_at: HashMap<Epoch, Instant>,
    /// When the last former holder was cleared.
    pub(super) former_cleared_at: Option<Instant>,
    probe_at: Instant,
    pub(super) idle_check_at: Instant,
}

impl Term {
    pub(super) fn new(
        now: Instant,
        committed: CommittedPlan,
        lease_until: Instant,
        catalog: &Catalog,
        changes_made: u64,
        write_patience: Duration,
    ) -> Self {
        Self {
            draft: committed.plan().clone(),
            committed,
            in_flight: None,
            write_began_at: None,
            write_patience,
            read_at: None,
            lease_until,
            renew_at: now + lease_until.saturating_duration_since(now) / RENEW_DIVISOR,
            renewing: false,
            started_at: now,
            changes_made,
            orders_made: 0,
            progress: HashMap::new(),
            demands: DemandBook::default(),
            usage: HashMap::new(),
            estimator: LoadEstimator::new(catalog.weight_store.expected_mb_per_s),
            making_room: HashMap::new(),
            refused: HashMap::new(),
            published: None,
            former_settled_at: HashMap::new(),
            former_cleared_at: None,
            probe_at: now,
            idle_check_at: now,
        }
    }

    /// The term's epoch.
    pub fn epoch(&self) -> Epoch {
        self.committed.plan().epoch
    }

    /// The plan as it is known to be written.
    pub fn plan(&self) -> &Plan {
        self.committed.plan()
    }

    /// How far a placement is.
    pub fn stage(&self, id: PlacementId) -> Stage {
        self.progress
            .get(&id)
            .map_or(Stage::Unknown, |progress| progress.stage)
    }

    /// Whether the lease can be relied on.
    pub fn has_lease(&self, now: Instant) -> bool {
        now < self.lease_until
    }

    /// The moment after which no order may leave.
    pub(super) fn orders_not_after(&self) -> Instant {
        self.lease_until
    }

    pub(super) fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now >= self.renew_at && !self.renewing {
            self.renewing = true;
            actions.push(Action::RenewLease);
        }
        if self.read_at.is_some_and(|at| now >= at) {
            self.read_at = None;
            actions.push(Action::ReadPlan);
        }
        self.probe_former(now, actions);
    }

    pub(super) fn lease_renewed(&mut self, until_at: Instant) {
        let granted_at = self.renew_at;
        self.renewing = false;
        self.lease_until = self.lease_until.max(until_at);
        self.renew_at =
            granted_at + (until_at.saturating_duration_since(granted_at)) / RENEW_DIVISOR;
    }

    pub(super) fn renewal_failed(&mut self) {
        self.renewing = false;
        self.renew_at += READ_RETRY;
    }

    pub(super) fn write_done(&mut self, now: Instant, id: ChangeId, version: Version) {
        if let Some(change) = self.in_flight.take_if(|change| change.id() == id) {
            self.commit(now, change.confirm(version));
        }
    }

    /// Takes over a plan that is known to be written. Routes to what is leaving
    /// are taken back now and not when that was decided: in an outage the
    /// decision may stay unwritten for long, and the model goes on serving.
    fn commit(&mut self, now: Instant, committed: CommittedPlan) {
        self.committed = committed;
        self.write_began_at = None;
        let leaving = self.committed.plan().placements();
        for placement in leaving.filter(|p| p.state == PlacementState::Leaving) {
            let unknown = Progress {
                stage: Stage::Unknown,
                since: now,
                withdrawn_at: None,
            };
            let progress = self.progress.entry(placement.id).or_insert(unknown);
            progress.withdrawn_at.get_or_insert(now);
        }
    }

    pub(super) fn write_unclear(&mut self, now: Instant) {
        self.read_at = Some(now);
    }

    pub(super) fn read_failed(&mut self, now: Instant) {
        self.read_at = Some(now + READ_RETRY);
    }

    /// Learns from a read what became of the change in flight.
    ///
    /// Returns an error if another holder has begun a later term.
    pub(super) fn plan_read(
        &mut self,
        now: Instant,
        version: Version,
        found: Option<Plan>,
    ) -> Result<(), ()> {
        use super::write::Resolution;
        let Some(change) = self.in_flight.take() else {
            return Ok(());
        };
        match change.resolve(version, found) {
            Resolution::Committed(committed) => {
                self.commit(now, committed);
                Ok(())
            }
            // Our own term stands in the service, so anything else is a later term
            // or a service that lost what it had confirmed.
            Resolution::NotApplied { .. } | Resolution::Deposed => Err(()),
        }
    }

    pub(super) fn record_usage(&mut self, usage: &Usage) {
        self.usage
            .entry(usage.model.clone())
            .or_default()
            .record(usage);
    }

    pub(super) fn router_gone(&mut self, router: Incarnation) {
        self.demands.remove_router(router);
        for usage in self.usage.values_mut() {
            usage.running.remove(&router);
        }
    }

    pub(super) fn former_gone(&mut self, epoch: Epoch, settled_at: Instant) {
        self.former_settled_at.entry(epoch).or_insert(settled_at);
    }

    fn probe_former(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for epoch in self
            .former_settled_at
            .extract_if(|_, at| now >= *at)
            .map(|(e, _)| e)
        {
            self.draft.clear_former(epoch);
            self.former_cleared_at = Some(now);
        }
        if now < self.probe_at {
            return;
        }
        self.probe_at = now + PROBE_PAUSE;
        for former in self.draft.former() {
            if !self.former_settled_at.contains_key(&former.epoch) {
                let holder = former.holder.clone();
                actions.push(Action::ProbeFormer {
                    epoch: former.epoch,
                    holder,
                });
            }
        }
    }

    /// Takes in all reports at the begin of a term.
    pub(super) fn adopt(&mut self, now: Instant, upstreams: &Upstreams) {
        for view in upstreams.iter() {
            self.observe(now, upstreams, &view.entry.id);
        }
    }

    /// Takes in an upstream's report.
    pub(super) fn observe(&mut self, now: Instant, upstreams: &Upstreams, upstream: &str) {
        let Some(view) = upstreams.get(upstream) else {
            return;
        };
        let Some((asked_at, _)) = &view.status else {
            return;
        };
        let held = self.committed.plan().on_upstream(upstream);
        for placement in held.filter(|p| p.state == PlacementState::Held) {
            let reported = view.reported(&placement.model).map(|loaded| loaded.state);
            let progress = self.progress.get(&placement.id).copied();
            let stage = progress.map_or(Stage::Unknown, |p| p.stage);
            let is_newer = progress.is_none_or(|p| *asked_at > p.since);
            let next = match (stage, reported) {
                (Stage::Unknown | Stage::Loading, Some(LoadedState::Ready)) => Stage::Ready,
                (Stage::Unknown, Some(LoadedState::Loading)) => Stage::Loading,
                (Stage::Loading | Stage::Ready, None | Some(LoadedState::Unloading))
                    if is_newer =>
                {
                    Stage::Unknown
                }
                _ => continue,
            };
            match next {
                Stage::Ready => self.estimator.finish(now, placement.id),
                Stage::Loading => {
                    let tier = view.tier(&placement.model);
                    self.estimator
                        .begin(now, placement.id, tier, placement.reserved_bytes);
                }
                Stage::Unknown | Stage::Absent { .. } => self.estimator.abandon(placement.id),
            }
            let next = Progress {
                stage: next,
                since: now,
                withdrawn_at: None,
            };
            self.progress.insert(placement.id, next);
        }
    }

    /// Takes in the answer to an order.
    pub(super) fn answered(
        &mut self,
        now: Instant,
        upstreams: &Upstreams,
        sent: &OrderInFlight,
        answer: OrderAnswer,
    ) {
        let order = &sent.order;
        let stage = match (order.kind, answer) {
            (OrderKind::Load, OrderAnswer::Loading) => Stage::Loading,
            (OrderKind::Load, OrderAnswer::Loaded) => Stage::Ready,
            (OrderKind::Unload, OrderAnswer::Absent) => Stage::Absent {
                ordered_at: sent.handed_at,
            },
            _ => return,
        };
        let withdrawn_at = self
            .progress
            .get(&order.placement)
            .and_then(|p| p.withdrawn_at);
        if stage == Stage::Loading {
            let tier = upstreams
                .get(&order.upstream)
                .map(|view| view.tier(&order.model));
            let tier = tier.unwrap_or(crate::messages::Tier::Remote);
            self.estimator
                .begin(now, order.placement, tier, order.size_bytes);
        }
        self.progress.insert(
            order.placement,
            Progress {
                stage,
                since: now,
                withdrawn_at,
            },
        );
    }

    /// Does whatever can be done now.
    pub(super) fn advance(
        &mut self,
        now: Instant,
        catalog: &Catalog,
        upstreams: &mut Upstreams,
        actions: &mut Vec<Action>,
    ) {
        self.demands.expire(now);
        if self.has_lease(now) {
            ordering::free_gone(self, upstreams, actions);
            let scene = Scene {
                now,
                catalog,
                upstreams,
            };
            if self.knows_upstreams(now, upstreams) {
                placing::place_demands(self, scene, actions);
            }
            idle::unload_unneeded(self, scene, actions);
            ordering::free_absent(self, upstreams, actions);
            self.flush(now, actions);
            ordering::send_orders(self, now, catalog, upstreams, actions);
        }
        self.publish(upstreams, now, actions);
        self.answer_demands(
            Scene {
                now,
                catalog,
                upstreams,
            },
            actions,
        );
    }

    /// Writes the draft if it differs from what stands and no write is open.
    fn flush(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.in_flight.is_some() || &self.draft == self.committed.plan() {
            return;
        }
        self.changes_made += 1;
        self.draft.last_change = change_id(self.draft.holder.incarnation, self.changes_made);
        let (sent, action) = Change::draft(self.draft.clone()).send(self.committed.version());
        self.in_flight = Some(sent);
        self.write_began_at.get_or_insert(now);
        actions.push(action);
    }

    /// Whether new decisions cannot be written or ordered at present.
    pub(super) fn is_blocked(&self, now: Instant) -> bool {
        let write_open = self
            .write_began_at
            .is_some_and(|began| now >= began + self.write_patience);
        write_open || !self.has_lease(now)
    }

    /// Decides that a placement is to leave.
    pub(super) fn begin_unload(
        &mut self,
        catalog: &Catalog,
        id: PlacementId,
        reason: &'static str,
        actions: &mut Vec<Action>,
    ) -> bool {
        if self.draft.begin_unload(catalog, id).is_err() {
            return false;
        }
        if let Some(placement) = self.draft.placement(id) {
            actions.push(Action::Audit(Decision::Unloading {
                placement: id,
                model: placement.model.clone(),
                upstream: placement.upstream.clone(),
                reason,
            }));
        }
        true
    }

    pub(super) fn loads_in_flight(&self, upstreams: &Upstreams) -> usize {
        let loading = self
            .progress
            .values()
            .filter(|p| p.stage == Stage::Loading)
            .count();
        let ordered = upstreams.iter().filter_map(|view| view.order.as_ref());
        loading
            + ordered
                .filter(|sent| sent.order.kind == OrderKind::Load)
                .count()
    }

    pub(super) fn forget(&mut self, id: PlacementId) {
        self.progress.remove(&id);
        self.estimator.abandon(id);
    }
}
