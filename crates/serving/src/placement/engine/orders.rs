//! Orders to one engine: which comes next, and what its answer changes.
//!
//! A model order is under way until the engine shows its effect; meanwhile no other
//! model order is sent. An answer that leaves open whether the order was run makes
//! the engine's state unknown, so that it is asked before the next order.

use super::{Engine, UnderWay};
use crate::placement::{ASK_PAUSE, Action, PlannedOrder};
use crate::ports::{OrderAction, OrderAnswer};
use crate::routes::EnginePool;
use crate::upstreams::ModelRef;
use passway_types::prelude::*;

/// Time for an adapter to come; engines take some milliseconds.
const ADAPTER_TIME: Duration = Duration::from_millis(12);

impl Engine {
    pub(in crate::placement) fn answered(
        &mut self,
        order: &PlannedOrder,
        answer: OrderAnswer,
        due_at: Instant,
        now: Instant,
    ) {
        if order.wish.adapter.is_some() {
            self.adapter_answered(order, answer, now);
            return;
        }
        let sent = matches!(&self.under_way, Some(UnderWay::Sent(sent)) if sent == order);
        if !sent {
            return;
        }
        match answer {
            OrderAnswer::Taken => {
                self.orders_taken = self.orders_taken.map(|taken| taken + 1);
                self.under_way = Some(UnderWay::Taken {
                    order: order.clone(),
                    due_at,
                });
                self.ask_at = Some(due_at + ASK_PAUSE);
            }
            OrderAnswer::Refused => {
                self.abandon();
                self.ask_at = Some(now + ASK_PAUSE);
            }
            OrderAnswer::OtherIncarnation => self.ended(),
            // One that cannot be reached is asked before it gets another order: while the
            // store is away its entry stays, and orders to it would follow each other at once.
            OrderAnswer::NotSent
            | OrderAnswer::Done
            | OrderAnswer::Conflict
            | OrderAnswer::Lost => {
                self.under_way = None;
                self.orders_taken = None;
                self.ask_at = Some(now + ASK_PAUSE);
            }
        }
    }

    fn adapter_answered(&mut self, order: &PlannedOrder, answer: OrderAnswer, now: Instant) {
        if self.adapter_order.as_ref() != Some(order) {
            return;
        }
        self.adapter_order = None;
        match answer {
            OrderAnswer::Taken if order.action == OrderAction::Unload => {
                // A run uses it: it takes its place until a report shows that it went.
                self.orders_taken = None;
                self.ask_at = Some(now + ASK_PAUSE);
            }
            OrderAnswer::Taken => {
                self.orders_taken = self.orders_taken.map(|taken| taken + 1);
                self.adapter_due = Some((order.clone(), now + ADAPTER_TIME));
            }
            OrderAnswer::Done if order.action == OrderAction::Unload => {
                self.orders_taken = self.orders_taken.map(|taken| taken + 1);
                self.adapter_done(order);
            }
            OrderAnswer::Done => {
                self.adapter_done(order);
                self.orders_taken = None;
            }
            OrderAnswer::OtherIncarnation => self.ended(),
            OrderAnswer::Refused => {
                self.adapters_wanted
                    .retain(|model_ref| *model_ref != order.wish);
            }
            OrderAnswer::NotSent | OrderAnswer::Conflict | OrderAnswer::Lost => {
                self.orders_taken = None;
                self.ask_at = Some(now + ASK_PAUSE);
            }
        }
    }

    fn order(
        &self,
        action: OrderAction,
        model_ref: ModelRef,
        expected_orders: u64,
    ) -> PlannedOrder {
        PlannedOrder {
            engine: self.entry.id.clone(),
            address: self.entry.address,
            action,
            wish: model_ref,
            expected_orders,
        }
    }

    /// The next order or question, if there is one. Without `may_fetch` nothing is
    /// loaded from the weight store.
    pub(in crate::placement) fn step(
        &mut self,
        pool: &EnginePool,
        may_fetch: bool,
        now: Instant,
    ) -> Option<Action> {
        if self.asked {
            return None;
        }
        let due = self.ask_at.is_some_and(|at| now >= at);
        if due || (self.orders_taken.is_none() && self.ask_at.is_none()) {
            self.asked = true;
            self.ask_at = None;
            return Some(Action::Ask {
                engine: self.entry.id.clone(),
                address: self.entry.address,
            });
        }
        let sent = matches!(self.under_way, Some(UnderWay::Sent(_)));
        if sent || self.adapter_order.is_some() || self.adapter_due.is_some() {
            return None;
        }
        let expected = self.orders_taken?;
        if let Some(order) = self.adapter_step(pool, expected) {
            self.adapter_order = Some(order.clone());
            return Some(Action::Order(order));
        }
        if self.under_way.is_some() {
            return None;
        }
        let order = self.model_step(pool, expected)?;
        if !may_fetch && self.is_store_load(&order) {
            return None;
        }
        self.under_way = Some(UnderWay::Sent(order.clone()));
        Some(Action::Order(order))
    }

    fn model_step(&mut self, pool: &EnginePool, expected: u64) -> Option<PlannedOrder> {
        let coming = self.coming.clone()?;
        if self.entry.draining {
            self.coming = None;
            self.closing.clear();
            return None;
        }
        let whole = |model| ModelRef {
            model,
            adapter: None,
        };
        if self.free_mb(pool) >= self.size_mb(pool, &coming) {
            // A model that still stands although it was to go may be used again.
            self.closing.clear();
            return Some(self.order(OrderAction::Load, whole(coming), expected));
        }
        let Some(victim) = self.closing.first().cloned() else {
            self.coming = None;
            return None;
        };
        Some(self.order(OrderAction::Unload, whole(victim), expected))
    }

    fn adapter_step(&mut self, pool: &EnginePool, expected: u64) -> Option<PlannedOrder> {
        let models = &self.models;
        let closing = &self.closing;
        self.adapters_wanted.retain(|model_ref| {
            let model = models.iter().find(|m| m.name == model_ref.model);
            let stands =
                model.is_some_and(|m| model_ref.adapter.iter().all(|a| m.adapters.contains(a)));
            model.is_some() && !stands && !closing.contains(&model_ref.model)
        });
        let wanted = self.adapters_wanted.first().cloned()?;
        if self.standing_adapters() < pool.adapter_slots {
            let spec = pool.models.named(&wanted.model)?;
            if self.free_mb(pool) >= spec.adapter_mb {
                return Some(self.order(OrderAction::Load, wanted, expected));
            }
        }
        let oldest = self.oldest_adapter()?;
        Some(self.order(OrderAction::Unload, oldest, expected))
    }

    fn oldest_adapter(&self) -> Option<ModelRef> {
        let standing = self.models.iter().flat_map(|model| {
            model.adapters.iter().map(|adapter| ModelRef {
                model: model.name.clone(),
                adapter: Some(adapter.clone()),
            })
        });
        standing.min_by_key(|model_ref| self.adapter_used_at.get(model_ref).copied())
    }
}
