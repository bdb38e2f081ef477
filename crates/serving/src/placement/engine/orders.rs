//! Orders to one engine: which comes next, and what its answer changes.
//!
//! A model order is under way until the engine shows its effect; meanwhile no other
//! model order is sent. An answer that leaves open whether the order was run makes
//! the engine's state unknown, so that it is asked before the next order.

use super::{Engine, InFlightOrder, InheritedOrders, UnconfirmedOrder};
use crate::placement::store_load_limiter::MAX_ORDER_DELAY;
use crate::placement::victims::MIN_RESIDENCY;
use crate::placement::{Action, MAX_REPORT_AGE, PlannedOrder, QUERY_DELAY};
use crate::ports::{OrderAction, OrderAnswer};
use crate::routes::EnginePool;
use crate::upstreams::ModelRef;
use passway_types::prelude::*;

/// Time for an adapter to come; engines take some milliseconds.
const ADAPTER_LOAD_DURATION: Duration = Duration::from_millis(12);

impl Engine {
    pub(in crate::placement) fn record_answer(
        &mut self,
        order: &PlannedOrder,
        answer: OrderAnswer,
        due_at: Instant,
        now: Instant,
    ) {
        if order.model_ref.adapter.is_some() {
            self.record_adapter_answer(order, answer, now);
            return;
        }
        let is_sent = matches!(&self.model_order, Some(InFlightOrder::Sent(sent)) if sent == order);
        if !is_sent {
            return;
        }
        match answer {
            OrderAnswer::Taken => {
                self.record_taken_order();
                if order.action == OrderAction::Load {
                    self.accepted_load = Some(order.model_ref.model.clone());
                }
                self.model_order = Some(InFlightOrder::Taken {
                    order: order.clone(),
                    due_at,
                });
                self.query_at = Some(due_at + QUERY_DELAY);
            }
            OrderAnswer::Refused => {
                self.abandon_swap();
                self.query_at = Some(now + QUERY_DELAY);
            }
            OrderAnswer::OtherIncarnation => self.mark_terminated(),
            // One that cannot be reached is asked before it gets another order: while the
            // store is away its entry stays, and orders to it would follow each other at once.
            OrderAnswer::NotSent => {
                self.model_order = None;
                self.orders_taken = None;
                self.query_at = Some(now + QUERY_DELAY);
            }
            OrderAnswer::Done | OrderAnswer::Conflict | OrderAnswer::Lost => {
                self.model_order = None;
                self.mark_unconfirmed(order, answer, now);
            }
        }
    }

    /// One more order was taken.
    fn record_taken_order(&mut self) {
        if self.inherited_orders == InheritedOrders::AtCurrentCount {
            self.inherited_orders = InheritedOrders::NoOrder;
        }
        self.orders_taken = self.orders_taken.map(|taken| taken + 1);
        if let Some(taken) = self.orders_taken {
            self.raise_orders_taken(taken);
        }
    }

    /// The engine is not in the state for which an order was decided, or may have carried it
    /// out. Nothing is ordered before a report that cannot be older than that.
    fn mark_unconfirmed(&mut self, order: &PlannedOrder, answer: OrderAnswer, now: Instant) {
        if answer == OrderAnswer::Lost {
            self.unconfirmed_orders.push(UnconfirmedOrder {
                order: order.clone(),
                expires_at: now + MAX_ORDER_DELAY,
            });
        }
        self.orders_taken = None;
        self.query_at = Some(now + MAX_REPORT_AGE);
    }

    fn record_adapter_answer(&mut self, order: &PlannedOrder, answer: OrderAnswer, now: Instant) {
        if self.adapter_order.as_ref() != Some(order) {
            return;
        }
        self.adapter_order = None;
        match answer {
            OrderAnswer::Taken if order.action == OrderAction::Unload => {
                // A run uses it: it takes its place until a report shows that it went.
                self.orders_taken = None;
                self.query_at = Some(now + QUERY_DELAY);
            }
            OrderAnswer::Taken => {
                self.record_taken_order();
                self.loading_adapter = Some((order.clone(), now + ADAPTER_LOAD_DURATION));
            }
            OrderAnswer::Done if order.action == OrderAction::Unload => {
                self.record_taken_order();
                self.complete_adapter_order(order, now);
            }
            OrderAnswer::Done => {
                self.complete_adapter_order(order, now);
                self.orders_taken = None;
            }
            OrderAnswer::OtherIncarnation => self.mark_terminated(),
            OrderAnswer::Refused => {
                self.pending_adapters
                    .retain(|model_ref| *model_ref != order.model_ref);
            }
            OrderAnswer::NotSent => {
                self.orders_taken = None;
                self.query_at = Some(now + QUERY_DELAY);
            }
            OrderAnswer::Conflict | OrderAnswer::Lost => self.mark_unconfirmed(order, answer, now),
        }
    }

    fn build_order(
        &self,
        action: OrderAction,
        model_ref: ModelRef,
        expected_orders: u64,
    ) -> PlannedOrder {
        PlannedOrder {
            engine: self.entry.id.clone(),
            address: self.entry.address,
            action,
            model_ref: model_ref,
            expected_orders,
            started_at_ms: self.entry.started_at_ms,
        }
    }

    /// The next order or question, if there is one. Without `can_fetch` nothing is
    /// loaded from the weight store. `inherits` as long as orders of the term before may come.
    pub(in crate::placement) fn next_action(
        &mut self,
        pool: &EnginePool,
        can_fetch: bool,
        may_inherit_orders: bool,
        now: Instant,
    ) -> Option<Action> {
        if self.is_query_in_flight {
            return None;
        }
        self.expire_unconfirmed(may_inherit_orders, now);
        let is_query_due = self.query_at.is_some_and(|at| now >= at);
        if is_query_due || self.needs_first_query() {
            self.is_query_in_flight = true;
            self.query_at = None;
            return Some(Action::Ask {
                engine: self.entry.id.clone(),
                address: self.entry.address,
            });
        }
        let is_sent = matches!(self.model_order, Some(InFlightOrder::Sent(_)));
        if is_sent || self.adapter_order.is_some() || self.loading_adapter.is_some() {
            return None;
        }
        let expected_orders = self.orders_taken?;
        if let Some(order) = self.next_adapter_order(pool, expected_orders, now) {
            self.adapter_order = Some(order.clone());
            return Some(Action::Order(order));
        }
        if self.model_order.is_some() {
            return None;
        }
        let order = self.next_model_order(pool, expected_orders)?;
        if !can_fetch && self.is_store_load(&order) {
            return None;
        }
        self.model_order = Some(InFlightOrder::Sent(order.clone()));
        Some(Action::Order(order))
    }

    /// Whether nothing but a new term, or that it was forgotten, is a reason to ask it.
    pub(in crate::placement) fn needs_first_query(&self) -> bool {
        !self.is_query_in_flight && self.orders_taken.is_none() && self.query_at.is_none()
    }

    /// Forgets orders that cannot be carried out any more. Whether they were is not known, so
    /// the engine is asked before the next order.
    fn expire_unconfirmed(&mut self, may_inherit_orders: bool, now: Instant) {
        let previous = self.unconfirmed_orders.len();
        self.unconfirmed_orders
            .retain(|unconfirmed| now < unconfirmed.expires_at);
        let mut has_expired = self.unconfirmed_orders.len() < previous;
        if !may_inherit_orders && self.has_inherited_orders() {
            self.inherited_orders = InheritedOrders::NoOrder;
            has_expired = true;
        }
        if has_expired && self.model_order.is_none() {
            self.orders_taken = None;
        }
    }

    fn next_model_order(
        &mut self,
        pool: &EnginePool,
        expected_orders: u64,
    ) -> Option<PlannedOrder> {
        let pending_load = self.pending_load.clone()?;
        if self.is_leaving() {
            self.pending_load = None;
            self.evicting.clear();
            return None;
        }
        let base_model = |model| ModelRef {
            model,
            adapter: None,
        };
        let model_ref = base_model(pending_load);
        if self.free_mb_excluding(pool, Some(&model_ref)) >= self.size_mb(pool, &model_ref.model) {
            // A model that still stands although it was to go may be used again.
            self.evicting.clear();
            return Some(self.build_order(OrderAction::Load, model_ref, expected_orders));
        }
        let Some(victim) = self.evicting.first().cloned() else {
            self.pending_load = None;
            return None;
        };
        Some(self.build_order(OrderAction::Unload, base_model(victim), expected_orders))
    }

    fn next_adapter_order(
        &mut self,
        pool: &EnginePool,
        expected_orders: u64,
        now: Instant,
    ) -> Option<PlannedOrder> {
        let models = &self.models;
        let closing = &self.evicting;
        self.pending_adapters.retain(|model_ref| {
            let model = models.iter().find(|m| m.name == model_ref.model);
            let is_loaded =
                model.is_some_and(|m| model_ref.adapter.iter().all(|a| m.adapters.contains(a)));
            model.is_some() && !is_loaded && !closing.contains(&model_ref.model)
        });
        let adapter = self.pending_adapters.first().cloned()?;
        if self.used_adapter_slots(&adapter) < pool.adapter_slots {
            let spec = pool.models.named(&adapter.model)?;
            if self.free_mb_excluding(pool, Some(&adapter)) >= spec.adapter_mb {
                return Some(self.build_order(OrderAction::Load, adapter, expected_orders));
            }
        }
        let victim = self.least_recently_used_adapter(now)?;
        Some(self.build_order(OrderAction::Unload, victim, expected_orders))
    }

    /// The adapter that was used longest ago, but for those that have just come: what waits
    /// for them is on its way, and the store may give them later than is thought.
    fn least_recently_used_adapter(&self, now: Instant) -> Option<ModelRef> {
        let loaded = self.models.iter().flat_map(|model| {
            model.adapters.iter().map(|adapter| ModelRef {
                model: model.name.clone(),
                adapter: Some(adapter.clone()),
            })
        });
        let has_settled = |model_ref: &ModelRef| {
            let loaded_at = self.adapter_loaded_at.get(model_ref);
            loaded_at.is_none_or(|at| now >= *at + MIN_RESIDENCY)
        };
        let settled = loaded.filter(has_settled);
        settled.min_by_key(|model_ref| self.adapter_used_at.get(model_ref).copied())
    }
}
