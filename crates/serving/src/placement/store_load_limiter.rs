//! Limits how many loads from the weight store may begin within a sliding window.
//!
//! A load whose order was answered began at that time. A load whose answer was lost may begin
//! seconds later, so it counts until it can no longer begin. A new holder does not know the loads
//! that its predecessor ordered and assumes the maximum that can have begun.

use crate::routes::EnginePool;
use passway_types::prelude::*;
use std::collections::VecDeque;

/// Window over which loads are counted if the settings name no other (the users' sheets all have
/// this one).
pub const DEFAULT_LOAD_WINDOW: Duration = Duration::from_secs(5);
/// Number of concurrent loads from the weight store that still run at full speed (users' pages).
pub(super) const MAX_CONCURRENT_STORE_LOADS: usize = 4;
/// An order without an answer may be carried out up to this much later (users' bench: up to 12 s).
pub(super) const MAX_ORDER_DELAY: Duration = Duration::from_secs(12);

/// A load that has begun or may still begin.
#[derive(Debug, Clone)]
struct CountedLoad {
    /// The engine and the order count that the order expects; `None` for a load that the previous
    /// holder may have ordered.
    order: Option<(UpstreamId, u64)>,
    /// The latest time at which the load can begin or have begun.
    latest_start_at: Instant,
}

/// Loads from the weight store of one service that count against its limit.
#[derive(Debug)]
pub(super) struct StoreLoadLimiter {
    window: Duration,
    loads: VecDeque<CountedLoad>,
}

impl StoreLoadLimiter {
    /// Creates a limiter that counts loads over `window`.
    pub(super) fn new(window: Duration) -> Self {
        Self {
            window,
            loads: VecDeque::new(),
        }
    }

    /// Maximum number of loads that may begin within the window. At least one, because otherwise
    /// nothing could ever be loaded.
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
        self.has_capacity_beside(0, pool, now)
    }

    /// Whether one more load may begin now beside others that are planned and not ordered yet.
    pub(super) fn has_capacity_beside(
        &self,
        planned: usize,
        pool: &EnginePool,
        now: Instant,
    ) -> bool {
        self.expiry_times(now).count() + planned < self.max_loads(pool)
    }

    /// The times at which the loads that count now stop counting.
    fn expiry_times(&self, now: Instant) -> impl Iterator<Item = Instant> {
        let expiry_times = self
            .loads
            .iter()
            .map(|load| load.latest_start_at + self.window);
        expiry_times.filter(move |at| *at > now)
    }

    /// When the next load stops counting; `None` if no load counts.
    pub(super) fn next_capacity_at(&self, now: Instant) -> Option<Instant> {
        self.expiry_times(now).min()
    }

    /// Records the order of a load on an engine, which takes it after `expected_orders` others.
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

    /// Marks the newest load on an engine as unconfirmed: its order has no answer and may be
    /// carried out later.
    pub(super) fn mark_unconfirmed(&mut self, engine: &UpstreamId, now: Instant) {
        if let Some(index) = self.newest_index(engine) {
            self.loads[index].latest_start_at = now + MAX_ORDER_DELAY;
        }
    }

    /// Removes the newest load on an engine, whose order had no effect.
    pub(super) fn cancel(&mut self, engine: &UpstreamId) {
        if let Some(index) = self.newest_index(engine) {
            self.loads.remove(index);
        }
    }

    /// Records that an engine has taken `orders_taken` orders: a load that expects a lower count
    /// has begun by now or never will.
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

    /// Begins a term: the maximum number of loads that the previous holder can have begun within
    /// the window counts as begun now.
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
