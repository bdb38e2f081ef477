//! One term of leadership over a cell.

use super::demand::DemandTable;
use super::idle;
use super::lease::HeldLease;
use super::orders;
use super::placing::{self, DecisionContext};
use super::previous_holders::PreviousHolders;
use super::progress::ProgressTable;
pub use super::progress::Stage;
use super::upstreams::{OrderInFlight, Upstreams};
use super::usage::ModelUsage;
use super::write::{Change, CommittedPlan, InFlight, Resolution};
use super::{Action, Decision, READ_RETRY_DELAY, change_id};
use crate::estimate::LoadEstimator;
use crate::messages::{OrderAnswer, OrderKind, Tier, Usage};
use crate::plan::{PlacementState, Plan};
use passway_config::Catalog;
use passway_types::prelude::*;
use std::collections::{BTreeSet, HashMap};

/// A gap between two events longer than this part of `write_outage_after` means that the process
/// was paused.
const PAUSE_DIVISOR: u32 = 2;

/// The state of the holder during its term.
#[derive(Debug)]
pub struct Term {
    pub(super) committed: CommittedPlan,
    /// The committed plan plus decisions that are not written yet.
    pub(super) draft: Plan,
    in_flight: Option<Change<InFlight>>,
    write_started_at: Option<Instant>,
    /// A write without an outcome for longer than this counts as an outage of the key-value
    /// service.
    write_outage_after: Duration,
    next_read_at: Option<Instant>,
    lease: HeldLease,
    /// When the last event was handled.
    last_event_at: Instant,
    /// When the process last ran again after a pause.
    resumed_at: Instant,
    pub(super) started_at: Instant,
    change_count: u64,
    pub(super) order_count: u32,
    pub(super) progress: ProgressTable,
    pub(super) demands: DemandTable,
    pub(super) usage: HashMap<ModelName, ModelUsage>,
    /// The upstream on which replicas are being evicted for a model.
    pub(super) evictions: HashMap<ModelName, UpstreamId>,
    /// Models that cannot be placed for now, and the reason.
    pub(super) unplaceable: HashMap<ModelName, ResultCode>,
    pub(super) published_routes: Option<BTreeSet<(ModelName, UpstreamId)>>,
    pub(super) previous_holders: PreviousHolders,
    pub(super) idle_check_at: Instant,
}

impl Term {
    pub(super) fn new(
        now: Instant,
        committed: CommittedPlan,
        lease_until: Instant,
        catalog: &Catalog,
        change_count: u64,
        write_outage_after: Duration,
    ) -> Self {
        Self {
            draft: committed.plan().clone(),
            committed,
            in_flight: None,
            write_started_at: None,
            write_outage_after,
            next_read_at: None,
            lease: HeldLease::new(now, lease_until),
            last_event_at: now,
            resumed_at: now,
            started_at: now,
            change_count,
            order_count: 0,
            progress: ProgressTable::new(LoadEstimator::new(
                catalog.weight_store.expected_mb_per_s,
            )),
            demands: DemandTable::default(),
            usage: HashMap::new(),
            evictions: HashMap::new(),
            unplaceable: HashMap::new(),
            published_routes: None,
            previous_holders: PreviousHolders::new(now),
            idle_check_at: now,
        }
    }

    /// Returns the term's epoch.
    pub fn epoch(&self) -> Epoch {
        self.committed.plan().epoch
    }

    /// Returns when the term began.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Returns the plan that is known to be written.
    pub fn plan(&self) -> &Plan {
        self.committed.plan()
    }

    /// Returns the stage of a placement.
    pub fn stage(&self, id: PlacementId) -> Stage {
        self.progress.stage(id)
    }

    /// Whether the lease can be relied on.
    pub fn has_lease(&self, now: Instant) -> bool {
        now < self.lease.valid_until()
    }

    /// Returns the time until which the lease can be relied on.
    pub fn lease_valid_until(&self) -> Instant {
        self.lease.valid_until()
    }

    /// Returns when the lease renewal in flight was requested, if one is.
    pub fn renewing_since(&self) -> Option<Instant> {
        self.lease.renewing_since()
    }

    /// Returns when the oldest change without a known outcome was sent, if there is one.
    pub fn writing_since(&self) -> Option<Instant> {
        self.write_started_at
    }

    /// Returns the time from which no order may be sent any more.
    pub(super) fn orders_not_after(&self) -> Instant {
        self.lease.valid_until()
    }

    /// Notices whether the process was paused before the event that is handled now.
    pub(super) fn note_event(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_event_at);
        if gap > self.write_outage_after / PAUSE_DIVISOR {
            self.resumed_at = now;
        }
        self.last_event_at = now;
    }

    pub(super) fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.lease.begin_renewal(now) {
            actions.push(Action::RenewLease);
        }
        if self.next_read_at.is_some_and(|at| now >= at) {
            self.next_read_at = None;
            actions.push(Action::ReadPlan);
        }
        self.probe_previous_holders(now, actions);
    }

    pub(super) fn lease_renewed(&mut self, valid_until: Instant) {
        self.lease.renewed(valid_until);
    }

    pub(super) fn renewal_failed(&mut self) {
        self.lease.renewal_failed(READ_RETRY_DELAY);
    }

    pub(super) fn write_done(&mut self, now: Instant, id: ChangeId, version: Version) {
        if let Some(change) = self.in_flight.take_if(|change| change.id() == id) {
            self.commit(now, change.confirm(version));
        }
    }

    /// Adopts a plan that is known to be written.
    ///
    /// Routes to leaving placements are withdrawn now and not when the unload was decided. During
    /// an outage the decision may stay unwritten for a long time, and the model continues to serve.
    fn commit(&mut self, now: Instant, committed: CommittedPlan) {
        self.committed = committed;
        self.write_started_at = None;
        let placements = self.committed.plan().placements();
        for placement in placements.filter(|p| p.state == PlacementState::Leaving) {
            self.progress.withdraw_routes(now, placement.id);
        }
    }

    pub(super) fn write_outcome_unknown(&mut self, now: Instant) {
        self.next_read_at = Some(now);
    }

    pub(super) fn read_failed(&mut self, now: Instant) {
        self.next_read_at = Some(now + READ_RETRY_DELAY);
    }

    /// Determines the outcome of the change in flight from a read of the plan.
    ///
    /// Returns an error if this term is no longer the stored one.
    pub(super) fn plan_read(
        &mut self,
        now: Instant,
        version: Version,
        stored: Option<Plan>,
    ) -> Result<(), ()> {
        let Some(change) = self.in_flight.take() else {
            return Ok(());
        };
        match change.resolve(version, stored) {
            Resolution::Committed(committed) => {
                self.commit(now, committed);
                Ok(())
            }
            // This term was already stored, so a different plan is from a later term or the service
            // has lost a confirmed write.
            Resolution::NotApplied { .. } | Resolution::Superseded => Err(()),
        }
    }

    pub(super) fn record_usage(&mut self, usage: &Usage) {
        self.usage
            .entry(usage.model.clone())
            .or_default()
            .record(usage);
    }

    pub(super) fn drop_router(&mut self, router: Incarnation) {
        self.demands.remove_router(router);
        for usage in self.usage.values_mut() {
            usage.remove_router(router);
        }
    }

    pub(super) fn mark_holder_stopped(&mut self, epoch: Epoch, settled_at: Instant) {
        self.previous_holders.mark_stopped(epoch, settled_at);
    }

    fn probe_previous_holders(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for epoch in self.previous_holders.take_settled(now) {
            self.draft.clear_previous_holder(epoch);
        }
        for previous_holder in self.previous_holders.due_probes(now, &self.draft) {
            actions.push(Action::ProbePreviousHolder {
                epoch: previous_holder.epoch,
                holder: previous_holder.holder,
            });
        }
    }

    /// Applies the last reports of all upstreams at the start of a term.
    pub(super) fn apply_all_reports(&mut self, now: Instant, upstreams: &Upstreams) {
        for view in upstreams.iter() {
            self.progress.apply_report(now, self.committed.plan(), view);
        }
    }

    /// Applies the last report of one upstream.
    pub(super) fn apply_report(&mut self, now: Instant, upstreams: &Upstreams, upstream: &str) {
        if let Some(view) = upstreams.get(upstream) {
            self.progress.apply_report(now, self.committed.plan(), view);
        }
    }

    /// Applies the answer to an order.
    pub(super) fn apply_answer(
        &mut self,
        now: Instant,
        upstreams: &Upstreams,
        answered: &OrderInFlight,
        answer: OrderAnswer,
    ) {
        let view = upstreams.get(&answered.order.upstream);
        let tier = view.map_or(Tier::Remote, |view| {
            view.checkpoint_tier(&answered.order.model)
        });
        self.progress.apply_answer(now, answered, answer, tier);
    }

    /// Takes all decisions that are possible now.
    pub(super) fn advance(
        &mut self,
        now: Instant,
        catalog: &Catalog,
        upstreams: &mut Upstreams,
        actions: &mut Vec<Action>,
    ) {
        self.demands.expire(now);
        if self.has_lease(now) {
            orders::free_removed_upstreams(self, upstreams, actions);
            let context = DecisionContext {
                now,
                catalog,
                upstreams,
            };
            if self.has_upstream_reports(now, upstreams) {
                placing::place_demands(self, context, actions);
            }
            idle::unload_unneeded(self, context, actions);
            orders::free_absent(self, upstreams, actions);
            self.write_draft(now, actions);
            orders::send_orders(self, now, catalog, upstreams, actions);
        }
        self.publish(upstreams, now, actions);
        self.answer_demands(
            DecisionContext {
                now,
                catalog,
                upstreams,
            },
            actions,
        );
    }

    /// Writes the draft if it differs from the committed plan and no write is in flight.
    fn write_draft(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.in_flight.is_some() || &self.draft == self.committed.plan() {
            return;
        }
        self.change_count += 1;
        self.draft.last_change = change_id(self.draft.holder.incarnation, self.change_count);
        let (in_flight, action) = Change::draft(self.draft.clone()).send(self.committed.version());
        self.in_flight = Some(in_flight);
        self.write_started_at.get_or_insert(now);
        actions.push(action);
    }

    /// Whether the key-value service is known not to answer: a write is overdue, or the lease has
    /// expired and its renewal was not answered or is overdue.
    ///
    /// An expired lease alone doesn't prove that. After a pause of this process, for instance, the
    /// renewal is only just sent, and another controller may lead. A call from before the pause
    /// is overdue once it has been open for `write_outage_after` since the pause; a renewal that
    /// failed and was sent before the pause proves nothing.
    pub(super) fn is_service_down(&self, now: Instant) -> bool {
        let is_overdue = |sent_at: Option<Instant>| {
            sent_at.is_some_and(|sent_at| {
                now >= sent_at.max(self.resumed_at) + self.write_outage_after
            })
        };
        let has_failed = self.lease.unanswered_since();
        let has_failed = has_failed.is_some_and(|sent_at| sent_at >= self.resumed_at);
        let is_renewal_lost = has_failed || is_overdue(self.lease.renewing_since());
        is_overdue(self.write_started_at) || (!self.has_lease(now) && is_renewal_lost)
    }

    /// Marks a placement as leaving. Returns false if the plan rejects the change.
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
        let in_flight_orders = upstreams.iter().filter_map(|view| view.order.as_ref());
        let in_flight_orders =
            in_flight_orders.filter(|in_flight| in_flight.order.kind == OrderKind::Load);
        self.progress.loading_count() + in_flight_orders.count()
    }

    pub(super) fn forget_placement(&mut self, id: PlacementId) {
        self.progress.forget(id);
    }
}
