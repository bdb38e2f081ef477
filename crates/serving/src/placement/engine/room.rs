//! Room on an engine: what stands, what is on its way, and what orders without an answer may
//! bring yet. Whatever the engine's true state is when an order arrives, it must fit.

use super::{Engine, Inherited, UnderWay};
use crate::placement::PlannedOrder;
use crate::ports::OrderAction;
use crate::routes::{EnginePool, ModelSpec};
use crate::upstreams::ModelRef;
use std::collections::BTreeSet;

impl Engine {
    /// Room for more weights, beside what stands, is loading, or may be loaded yet.
    pub(in crate::placement) fn free_mb(&self, pool: &EnginePool) -> f64 {
        self.free_mb_beside(pool, None)
    }

    /// The same for what an order brings: it takes no room beside itself.
    pub(super) fn free_mb_beside(&self, pool: &EnginePool, ordered: Option<&ModelRef>) -> f64 {
        let held = self.models.iter().map(|m| self.size_mb(pool, &m.name));
        let loading = self.under_way.as_ref().map(UnderWay::order);
        let coming = loading.into_iter().chain(self.pending_orders());
        let coming: BTreeSet<&ModelRef> = coming
            .filter(|order| order.action == OrderAction::Load)
            .map(|order| &order.wish)
            .chain(&self.adapters_loading)
            .filter(|wish| Some(*wish) != ordered && !self.stands(wish))
            .collect();
        let coming = coming.into_iter().map(|wish| Self::wish_mb(pool, wish));
        let inherited = match self.inherited {
            Inherited::Nothing => 0.0,
            Inherited::AtThisCount => {
                let sizes = pool.models.iter().map(|spec| spec.weights_mb);
                sizes.fold(0.0, f64::max)
            }
            // Several may come, one after the other.
            Inherited::AtAnyCount => pool.weights_mb,
        };
        pool.weights_mb - held.sum::<f64>() - coming.sum::<f64>() - inherited
    }

    /// What a model or adapter takes.
    pub(super) fn wish_mb(pool: &EnginePool, wish: &ModelRef) -> f64 {
        let spec = pool.models.named(&wish.model);
        let of_spec = |spec: &ModelSpec| {
            if wish.adapter.is_some() {
                spec.adapter_mb
            } else {
                spec.weights_mb
            }
        };
        spec.map_or(pool.weights_mb, of_spec)
    }

    /// Whether a model, or an adapter, stands here.
    pub(super) fn stands(&self, wish: &ModelRef) -> bool {
        if wish.adapter.is_some() {
            self.has_adapter(wish)
        } else {
            self.resident(&wish.model).is_some()
        }
    }

    pub(super) fn inherits(&self) -> bool {
        self.inherited != Inherited::Nothing
    }

    /// Orders that were not answered and may be carried out yet. One for a count that the
    /// engine has passed may be again once it has started anew, with a count of 0.
    pub(super) fn pending_orders(&self) -> impl Iterator<Item = &PlannedOrder> {
        let orders = self.unresolved.iter().map(|unresolved| &unresolved.order);
        orders.filter(|order| order.expected_orders >= self.least_orders)
    }

    /// The engine has taken so many orders: what was sent for a lower count was carried out
    /// by now, or never will be.
    pub(super) fn count_is(&mut self, orders_taken: u64) {
        self.least_orders = self.least_orders.max(orders_taken);
    }

    /// Adapters that take a place here: those that stand, are on their way, or may be yet;
    /// but for the one that is ordered.
    pub(super) fn adapter_places(&self, ordered: &ModelRef) -> usize {
        let standing = self.standing_adapters();
        let pending = self.pending_orders();
        let pending = pending.filter(|order| order.action == OrderAction::Load);
        let pending = pending.map(|order| &order.wish);
        let coming = self.adapters_loading.iter().chain(pending);
        let coming: BTreeSet<&ModelRef> = coming
            .filter(|wish| wish.adapter.is_some() && *wish != ordered && !self.stands(wish))
            .collect();
        let inherited = match self.inherited {
            Inherited::Nothing => 0,
            Inherited::AtThisCount => 1,
            Inherited::AtAnyCount => usize::from(u16::MAX),
        };
        standing + coming.len() + inherited
    }
}
