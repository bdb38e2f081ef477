//! The weight store's ceiling: how many loads may begin within a sliding span.
//!
//! A load whose order was answered began then. One whose answer was lost may begin
//! seconds later, so it counts until it cannot come any more. What a predecessor
//! ordered is not known to its successor, which takes the most that it can have begun.

use crate::routes::EnginePool;
use passway_types::prelude::*;
use std::collections::VecDeque;

/// The span over which loads are counted, unless the settings name another (the users'
/// sheets all have this one).
pub const DEFAULT_LOAD_WINDOW: Duration = Duration::from_secs(5);
/// Loads from the weight store at one time that still run at full speed (users' pages).
pub(super) const MAX_CONCURRENT_STORE_LOADS: usize = 4;
/// An order without an answer may be carried out so much later (users' bench: up to 12 s).
pub(super) const MAX_ORDER_DELAY: Duration = Duration::from_secs(12);

/// A load that has begun, or may begin yet.
#[derive(Debug, Clone)]
struct CountedLoad {
    /// The engine and the count of orders that the order names; `None` for a load
    /// that a holder before may have ordered.
    order: Option<(UpstreamId, u64)>,
    /// The last moment at which it can have begun.
    latest_start_at: Instant,
}

/// Loads from the weight store of one service that count against its ceiling.
#[derive(Debug)]
pub(super) struct StoreLoadLimiter {
    window: Duration,
    loads: VecDeque<CountedLoad>,
}

impl StoreLoadLimiter {
    /// No loads, to be counted over a span.
    pub(super) fn new(window: Duration) -> Self {
        Self {
            window,
            loads: VecDeque::new(),
        }
    }

    /// Most loads that may begin within the window; one at least, or nothing ever came.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a whole number between 1 and 65535"
    )]
    fn max_loads(&self, pool: &EnginePool) -> usize {
        let max_loads = (pool.loads_per_s * self.window.as_secs_f64()).floor();
        max_loads.clamp(1.0, f64::from(u16::MAX)) as usize
    }

    /// Whether one more load may begin now.
    pub(super) fn has_capacity(&self, pool: &EnginePool, now: Instant) -> bool {
        self.count_until(now).count() < self.max_loads(pool)
    }

    /// When loads that count now stop counting.
    fn count_until(&self, now: Instant) -> impl Iterator<Item = Instant> {
        let count_until = self
            .loads
            .iter()
            .map(|load| load.latest_start_at + self.window);
        count_until.filter(move |until| *until > now)
    }

    /// When the next load stops counting; `None` if none counts.
    pub(super) fn next_capacity_at(&self, now: Instant) -> Option<Instant> {
        self.count_until(now).min()
    }

    /// A load is ordered, for an engine that has taken so many orders.
    pub(super) fn record_order(&mut self, engine: &UpstreamId, expected_orders: u64, now: Instant) {
        let window = self.window;
        self.loads
            .retain(|load| load.latest_start_at + window > now);
        self.loads.push_back(CountedLoad {
            order: Some((engine.clone(), expected_orders)),
            latest_start_at: now,
        });
    }

    fn newest_index(&self, engine: &UpstreamId) -> Option<usize> {
        self.loads.iter().rposition(|load| {
            let order = load.order.as_ref();
            order.is_some_and(|(ordered_engine, _)| ordered_engine == engine)
        })
    }

    /// The newest order for an engine has no answer and may be carried out later.
    pub(super) fn mark_unconfirmed(&mut self, engine: &UpstreamId, now: Instant) {
        if let Some(index) = self.newest_index(engine) {
            self.loads[index].latest_start_at = now + MAX_ORDER_DELAY;
        }
    }

    /// The newest order for an engine came to nothing.
    pub(super) fn cancel(&mut self, engine: &UpstreamId) {
        if let Some(index) = self.newest_index(engine) {
            self.loads.remove(index);
        }
    }

    /// An engine has taken so many orders: one that names a lower count has begun by
    /// now, or never will.
    pub(super) fn raise_orders_taken(
        &mut self,
        engine: &UpstreamId,
        orders_taken: u64,
        now: Instant,
    ) {
        for load in &mut self.loads {
            let is_settled =
                load.order
                    .as_ref()
                    .is_some_and(|(ordered_engine, expected_orders)| {
                        ordered_engine == engine && *expected_orders < orders_taken
                    });
            if is_settled {
                load.latest_start_at = load.latest_start_at.min(now);
            }
        }
    }

    /// A term begins: the most that a holder before can have begun within the window
    /// counts as begun now.
    pub(super) fn begin_term(&mut self, pool: &EnginePool, now: Instant) {
        self.loads.clear();
        let load_times = pool.models.iter().map(|model| model.load_ms.max(1));
        let shortest_ms = load_times.min().unwrap_or(u64::MAX);
        let window_ms = u64::try_from(self.window.as_millis()).unwrap_or(u64::MAX);
        let max_rounds = usize::try_from(window_ms / shortest_ms).unwrap_or(usize::MAX);
        let max_started = MAX_CONCURRENT_STORE_LOADS.saturating_mul(max_rounds.saturating_add(1));
        let unknown = CountedLoad {
            order: None,
            latest_start_at: now,
        };
        let count = max_started.min(self.max_loads(pool));
        self.loads.extend(std::iter::repeat_n(unknown, count));
    }
}
