//! Free memory and adapter slots of an engine. Both count what is loaded, what is loading, and what
//! unconfirmed orders may still load, so that an order fits whatever the engine's true state is on
//! its arrival.

use super::{Engine, InFlightOrder, InheritedOrders};
use crate::placement::PlannedOrder;
use crate::ports::OrderAction;
use crate::routes::{EnginePool, ModelSpec};
use crate::upstreams::ModelRef;
use std::collections::BTreeSet;

impl Engine {
    /// Free memory for weights, in megabytes, with loading models and possible loads counted as
    /// used.
    pub(in crate::placement) fn free_mb(&self, pool: &EnginePool) -> f64 {
        self.free_mb_excluding(pool, None)
    }

    /// The same, without counting `ordered` itself.
    pub(super) fn free_mb_excluding(&self, pool: &EnginePool, ordered: Option<&ModelRef>) -> f64 {
        let loaded = self.models.iter().map(|m| self.size_mb(pool, &m.name));
        let in_flight = self.model_order.as_ref().map(InFlightOrder::order);
        let reserved = in_flight.into_iter().chain(self.live_unconfirmed_orders());
        let reserved: BTreeSet<&ModelRef> = reserved
            .filter(|order| order.action == OrderAction::Load)
            .map(|order| &order.model_ref)
            .chain(&self.adapters_loading)
            .filter(|model_ref| Some(*model_ref) != ordered && !self.is_loaded(model_ref))
            .collect();
        let reserved = reserved
            .into_iter()
            .map(|model_ref| Self::model_ref_mb(pool, model_ref));
        let inherited = match self.inherited_orders {
            InheritedOrders::NoOrder => 0.0,
            InheritedOrders::AtCurrentCount => {
                let sizes = pool.models.iter().map(|spec| spec.weights_mb);
                sizes.fold(0.0, f64::max)
            }
            // Several orders may be carried out, one after the other.
            InheritedOrders::AtAnyCount => pool.weights_mb,
        };
        pool.weights_mb - loaded.sum::<f64>() - reserved.sum::<f64>() - inherited
    }

    /// Memory of a model or adapter, in megabytes.
    pub(super) fn model_ref_mb(pool: &EnginePool, model_ref: &ModelRef) -> f64 {
        let spec = pool.models.named(&model_ref.model);
        let size = |spec: &ModelSpec| {
            if model_ref.adapter.is_some() {
                spec.adapter_mb
            } else {
                spec.weights_mb
            }
        };
        spec.map_or(pool.weights_mb, size)
    }

    /// Whether a model or adapter is loaded.
    pub(super) fn is_loaded(&self, model_ref: &ModelRef) -> bool {
        if model_ref.adapter.is_some() {
            self.has_adapter(model_ref)
        } else {
            self.resident_model(&model_ref.model).is_some()
        }
    }

    pub(super) fn has_inherited_orders(&self) -> bool {
        self.inherited_orders != InheritedOrders::NoOrder
    }

    /// Orders without an answer that the engine may still carry out. The engine has passed the
    /// count of the others; a restart resets that count to 0 and makes them possible again.
    pub(super) fn live_unconfirmed_orders(&self) -> impl Iterator<Item = &PlannedOrder> {
        let orders = self
            .unconfirmed_orders
            .iter()
            .map(|unconfirmed| &unconfirmed.order);
        orders.filter(|order| order.expected_orders >= self.min_orders_taken)
    }

    /// Records that the engine has taken at least this many orders. An order for a lower count has
    /// been carried out or never will be.
    pub(super) fn raise_orders_taken(&mut self, orders_taken: u64) {
        self.min_orders_taken = self.min_orders_taken.max(orders_taken);
    }

    /// Adapter slots in use, without `ordered` itself: adapters that are loaded, loading, or may
    /// still be loaded by unconfirmed orders.
    pub(super) fn used_adapter_slots(&self, ordered: &ModelRef) -> usize {
        let loaded = self.loaded_adapter_count();
        let orders = self.live_unconfirmed_orders();
        let loads = orders.filter(|order| order.action == OrderAction::Load);
        let model_refs = loads.map(|order| &order.model_ref);
        let reserved = self.adapters_loading.iter().chain(model_refs);
        let reserved: BTreeSet<&ModelRef> = reserved
            .filter(|model_ref| {
                model_ref.adapter.is_some() && *model_ref != ordered && !self.is_loaded(model_ref)
            })
            .collect();
        let inherited = match self.inherited_orders {
            InheritedOrders::NoOrder => 0,
            InheritedOrders::AtCurrentCount => 1,
            InheritedOrders::AtAnyCount => usize::from(u16::MAX),
        };
        loaded + reserved.len() + inherited
    }
}
