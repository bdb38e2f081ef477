//! Orders to one engine: which comes next, and what its answer changes.
//!
//! A model order is under way until the engine shows its effect; meanwhile no other
//! model order is sent. An answer that leaves open whether the order was run makes
//! the engine's state unknown, so that it is asked before the next order.

use super::{Engine, Inherited, UnderWay, Unresolved};
use crate::placement::ceiling::LATEST_BEGIN;
use crate::placement::victims::SETTLE_TIME;
use crate::placement::{ASK_PAUSE, Action, PlannedOrder, REPORT_AGE};
use crate::ports::{OrderAction, OrderAnswer};
use crate::routes::EnginePool;
use crate::upstreams::ModelRef;
use passway_types::prelude::*;

/// Time for an adapter to come; engines take some milliseconds.
const ADAPTER_TIME: Duration = Duration::from_millis(12);

impl Engine {
    pub(in crate::placement) fn record_answer(
        &mut self,
        order: &PlannedOrder,
        answer: OrderAnswer,
        due_at: Instant,
        now: Instant,
    ) {
        if order.model_ref.adapter.is_some() {
            self.adapter_answered(order, answer, now);
            return;
        }
        let sent = matches!(&self.under_way, Some(UnderWay::Sent(sent)) if sent == order);
        if !sent {
            return;
        }
        match answer {
            OrderAnswer::Taken => {
                self.count_taken();
                if order.action == OrderAction::Load {
                    self.loading = Some(order.model_ref.model.clone());
                }
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
            OrderAnswer::NotSent => {
                self.under_way = None;
                self.orders_taken = None;
                self.ask_at = Some(now + ASK_PAUSE);
            }
            OrderAnswer::Done | OrderAnswer::Conflict | OrderAnswer::Lost => {
                self.under_way = None;
                self.in_doubt(order, answer, now);
            }
        }
    }

    /// One more order was taken.
    fn count_taken(&mut self) {
        if self.inherited == Inherited::AtThisCount {
            self.inherited = Inherited::Nothing;
        }
        self.orders_taken = self.orders_taken.map(|taken| taken + 1);
        if let Some(taken) = self.orders_taken {
            self.count_is(taken);
        }
    }

    /// The engine is not in the state for which an order was decided, or may have carried it
    /// out. Nothing is ordered before a report that cannot be older than that.
    fn in_doubt(&mut self, order: &PlannedOrder, answer: OrderAnswer, now: Instant) {
        if answer == OrderAnswer::Lost {
            self.unresolved.push(Unresolved {
                order: order.clone(),
                until: now + LATEST_BEGIN,
            });
        }
        self.orders_taken = None;
        self.ask_at = Some(now + REPORT_AGE);
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
                self.count_taken();
                self.adapter_due = Some((order.clone(), now + ADAPTER_TIME));
            }
            OrderAnswer::Done if order.action == OrderAction::Unload => {
                self.count_taken();
                self.adapter_done(order, now);
            }
            OrderAnswer::Done => {
                self.adapter_done(order, now);
                self.orders_taken = None;
            }
            OrderAnswer::OtherIncarnation => self.ended(),
            OrderAnswer::Refused => {
                self.adapters_wanted
                    .retain(|model_ref| *model_ref != order.model_ref);
            }
            OrderAnswer::NotSent => {
                self.orders_taken = None;
                self.ask_at = Some(now + ASK_PAUSE);
            }
            OrderAnswer::Conflict | OrderAnswer::Lost => self.in_doubt(order, answer, now),
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
            model_ref: model_ref,
            expected_orders,
            started_at_ms: self.entry.started_at_ms,
        }
    }

    /// The next order or question, if there is one. Without `may_fetch` nothing is
    /// loaded from the weight store. `inherits` as long as orders of the term before may come.
    pub(in crate::placement) fn step(
        &mut self,
        pool: &EnginePool,
        may_fetch: bool,
        inherits: bool,
        now: Instant,
    ) -> Option<Action> {
        if self.asked {
            return None;
        }
        self.forget_pending(inherits, now);
        let due = self.ask_at.is_some_and(|at| now >= at);
        if due || self.awaits_first_question() {
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
        if let Some(order) = self.adapter_step(pool, expected, now) {
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

    /// Whether nothing but a new term, or that it was forgotten, is a reason to ask it.
    pub(in crate::placement) fn awaits_first_question(&self) -> bool {
        !self.asked && self.orders_taken.is_none() && self.ask_at.is_none()
    }

    /// Forgets orders that cannot be carried out any more. Whether they were is not known, so
    /// the engine is asked before the next order.
    fn forget_pending(&mut self, inherits: bool, now: Instant) {
        let before = self.unresolved.len();
        self.unresolved.retain(|pending| now < pending.until);
        let mut is_over = self.unresolved.len() < before;
        if !inherits && self.inherits() {
            self.inherited = Inherited::Nothing;
            is_over = true;
        }
        if is_over && self.under_way.is_none() {
            self.orders_taken = None;
        }
    }

    fn model_step(&mut self, pool: &EnginePool, expected: u64) -> Option<PlannedOrder> {
        let coming = self.coming.clone()?;
        if self.is_going() {
            self.coming = None;
            self.evicting.clear();
            return None;
        }
        let whole = |model| ModelRef {
            model,
            adapter: None,
        };
        let wish = whole(coming);
        if self.free_mb_beside(pool, Some(&wish)) >= self.size_mb(pool, &wish.model) {
            // A model that still stands although it was to go may be used again.
            self.evicting.clear();
            return Some(self.order(OrderAction::Load, wish, expected));
        }
        let Some(victim) = self.evicting.first().cloned() else {
            self.coming = None;
            return None;
        };
        Some(self.order(OrderAction::Unload, whole(victim), expected))
    }

    fn adapter_step(
        &mut self,
        pool: &EnginePool,
        expected: u64,
        now: Instant,
    ) -> Option<PlannedOrder> {
        let models = &self.models;
        let closing = &self.evicting;
        self.adapters_wanted.retain(|model_ref| {
            let model = models.iter().find(|m| m.name == model_ref.model);
            let stands =
                model.is_some_and(|m| model_ref.adapter.iter().all(|a| m.adapters.contains(a)));
            model.is_some() && !stands && !closing.contains(&model_ref.model)
        });
        let wanted = self.adapters_wanted.first().cloned()?;
        if self.adapter_places(&wanted) < pool.adapter_slots {
            let spec = pool.models.named(&wanted.model)?;
            if self.free_mb_beside(pool, Some(&wanted)) >= spec.adapter_mb {
                return Some(self.order(OrderAction::Load, wanted, expected));
            }
        }
        let oldest = self.oldest_adapter(now)?;
        Some(self.order(OrderAction::Unload, oldest, expected))
    }

    /// The adapter that was used longest ago, but for those that have just come: what waits
    /// for them is on its way, and the store may give them later than is thought.
    fn oldest_adapter(&self, now: Instant) -> Option<ModelRef> {
        let standing = self.models.iter().flat_map(|model| {
            model.adapters.iter().map(|adapter| ModelRef {
                model: model.name.clone(),
                adapter: Some(adapter.clone()),
            })
        });
        let has_settled = |wish: &ModelRef| {
            let loaded_at = self.adapter_loaded_at.get(wish);
            loaded_at.is_none_or(|at| now >= *at + SETTLE_TIME)
        };
        let settled = standing.filter(has_settled);
        settled.min_by_key(|model_ref| self.adapter_used_at.get(model_ref).copied())
    }
}
