//! Orders to one engine: which order is next, and what the answer changes.
//!
//! A model order is in flight until the engine shows its effect; no other model order is sent
//! meanwhile. If an answer does not show whether the order was carried out, the engine's state is
//! unknown and the holder queries the engine before the next order.

use super::{Engine, InFlightOrder, InheritedOrders, UnconfirmedOrder};
use crate::placement::store_load_limiter::MAX_ORDER_DELAY;
use crate::placement::victims::MIN_RESIDENCY;
use crate::placement::{Action, MAX_REPORT_AGE, PlannedOrder, QUERY_DELAY};
use crate::ports::{OrderAction, OrderAnswer};
use crate::routes::EnginePool;
use crate::upstreams::ModelRef;
use passway_types::prelude::*;

/// Duration of an adapter load; engines take some milliseconds.
const ADAPTER_LOAD_DURATION: Duration = Duration::from_millis(12);

impl Engine {
    pub(in crate::placement) fn apply_answer(
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
            // An unreachable engine is queried before its next order. Its entry stays during an
            // outage of the store, and orders would otherwise follow each other without pause.
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

    /// Counts one more taken order.
    fn record_taken_order(&mut self) {
        if self.inherited_orders == InheritedOrders::AtCurrentCount {
            self.inherited_orders = InheritedOrders::NoOrder;
        }
        self.orders_taken = self.orders_taken.map(|taken| taken + 1);
        if let Some(taken) = self.orders_taken {
            self.raise_orders_taken(taken);
        }
    }

    /// Handles an answer that leaves the engine's state unknown: the engine was not in the state
    /// that the order was decided for, or may have carried the order out. No order is sent until a
    /// report arrives that cannot be older than this answer.
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
                // A running request uses the adapter, so its slot stays in use until a report shows
                // the unload.
                self.orders_taken = None;
                self.query_at = Some(now + QUERY_DELAY);
            }
            OrderAnswer::Taken => {
                self.record_taken_order();
                self.accepted_adapter_load = Some((order.clone(), now + ADAPTER_LOAD_DURATION));
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
            model_ref,
            expected_orders,
            started_at_ms: self.entry.started_at_ms,
        }
    }

    /// The next order or query, if any. Without `can_fetch` nothing is loaded from the weight
    /// store. `may_inherit_orders` is true while orders of the previous term may still be carried
    /// out.
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
        if is_sent || self.adapter_order.is_some() || self.accepted_adapter_load.is_some() {
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

    /// Whether the only reason to query the engine is that its order count is unknown, as after the
    /// start of a term.
    pub(in crate::placement) fn needs_first_query(&self) -> bool {
        !self.is_query_in_flight && self.orders_taken.is_none() && self.query_at.is_none()
    }

    /// Drops orders that can no longer be carried out. Whether they were carried out is unknown, so
    /// the engine is queried before the next order.
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
            // Models that were to be unloaded and are still loaded become usable again.
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
        let evicting = &self.evicting;
        self.pending_adapters.retain(|model_ref| {
            let model = models.iter().find(|m| m.name == model_ref.model);
            let is_loaded =
                model.is_some_and(|m| model_ref.adapter.iter().all(|a| m.adapters.contains(a)));
            model.is_some() && !is_loaded && !evicting.contains(&model_ref.model)
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

    /// The least recently used adapter, except for those loaded within [`MIN_RESIDENCY`]: requests
    /// that waited for a new adapter are still on their way, and the weight store may deliver it
    /// later than expected.
    fn least_recently_used_adapter(&self, now: Instant) -> Option<ModelRef> {
        let loaded = self.models.iter().flat_map(|model| {
            model.adapters.iter().map(|adapter| ModelRef {
                model: model.name.clone(),
                adapter: Some(adapter.clone()),
            })
        });
        let is_past_min_residency = |model_ref: &ModelRef| {
            let loaded_at = self.adapter_loaded_at.get(model_ref);
            loaded_at.is_none_or(|at| now >= *at + MIN_RESIDENCY)
        };
        let evictable = loaded.filter(is_past_min_residency);
        evictable.min_by_key(|model_ref| self.adapter_used_at.get(model_ref).copied())
    }
}
