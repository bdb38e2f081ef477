//! The speeds of engines, on their way from dispatchers' reports to the planner.

use super::HolderThread;
use passway_process::logging::json::DECISION_TARGET;
use passway_serving::dispatch::REFRESH_INTERVAL;
use passway_serving::forecast::relative_speed::SpeedClass;
use passway_serving::placement::PlannedOrder;
use passway_serving::ports::OrderAction;
use passway_types::prelude::*;
use std::collections::HashMap;

impl HolderThread {
    /// Passes the speeds of engines on to the planner, as often as dispatchers report.
    pub(super) fn update_engine_speeds(&mut self, now: Instant) {
        if now < self.speeds_at {
            return;
        }
        self.speeds_at = now + REFRESH_INTERVAL;
        let speeds = self.shared.dispatch.engine_speeds(&self.shared);
        self.planner.set_engine_speeds(&speeds);
        for class in SpeedClass::ALL {
            let of_class = speeds.values().filter(|s| s.relative.class() == class);
            self.shared.metrics.engine_speed(class, of_class.count());
        }
    }

    /// Drops the speeds at the end of a term: only the holder shows them in its metrics.
    pub(super) fn clear_engine_speeds(&mut self) {
        self.planner.set_engine_speeds(&HashMap::new());
        for class in SpeedClass::ALL {
            self.shared.metrics.engine_speed(class, 0);
        }
    }

    /// Logs the speed that a load was decided on, if the engine's speed is known.
    pub(super) fn log_engine_speed(&self, order: &PlannedOrder) {
        let is_model_load = order.action == OrderAction::Load && order.model_ref.adapter.is_none();
        if let Some(speed) = self.planner.engine_speed(&order.engine)
            && is_model_load
        {
            log::info!(target: DECISION_TARGET, engine:% = order.engine, model:% = order.model_ref.model,
                speed:% = format!("{:.2}", speed.relative.ratio()), class = speed.relative.class().name(),
                age_ms = crate::relay::millis(speed.age); "loading a model on an engine of known speed");
        }
    }
}
