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
pub(super) const STORE_LOADS_AT_ONCE: usize = 4;
/// An order without an answer may be carried out so much later (users' bench: up to 12 s).
pub(super) const LATEST_BEGIN: Duration = Duration::from_secs(12);

/// A load that has begun, or may begin yet.
#[derive(Debug, Clone)]
struct Begun {
    /// The engine and the count of orders that the order names; `None` for a load
    /// that a holder before may have ordered.
    order: Option<(UpstreamId, u64)>,
    /// The last moment at which it can have begun.
    latest_at: Instant,
}

/// Loads from the weight store of one service that count against its ceiling.
#[derive(Debug)]
pub(super) struct StoreLoads {
    window: Duration,
    begun: VecDeque<Begun>,
}

impl StoreLoads {
    /// No loads, to be counted over a span.
    pub(super) fn new(window: Duration) -> Self {
        Self {
            window,
            begun: VecDeque::new(),
        }
    }

    /// Most loads that may begin within the window; one at least, or nothing ever came.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a whole number between 1 and 65535"
    )]
    fn most(&self, pool: &EnginePool) -> usize {
        let allowed = (pool.loads_per_s * self.window.as_secs_f64()).floor();
        allowed.clamp(1.0, f64::from(u16::MAX)) as usize
    }

    /// Whether one more load may begin now.
    pub(super) fn has_room(&self, pool: &EnginePool, now: Instant) -> bool {
        self.ends(now).count() < self.most(pool)
    }

    /// When loads that count now stop counting.
    fn ends(&self, now: Instant) -> impl Iterator<Item = Instant> {
        let ends = self.begun.iter().map(|load| load.latest_at + self.window);
        ends.filter(move |end| *end > now)
    }

    /// When the next load stops counting; `None` if none counts.
    pub(super) fn room_at(&self, now: Instant) -> Option<Instant> {
        self.ends(now).min()
    }

    /// A load is ordered, for an engine that has taken so many orders.
    pub(super) fn begin(&mut self, engine: &UpstreamId, expected_orders: u64, now: Instant) {
        let window = self.window;
        self.begun.retain(|load| load.latest_at + window > now);
        self.begun.push_back(Begun {
            order: Some((engine.clone(), expected_orders)),
            latest_at: now,
        });
    }

    fn newest(&self, engine: &UpstreamId) -> Option<usize> {
        self.begun.iter().rposition(|load| {
            let order = load.order.as_ref();
            order.is_some_and(|(ordered, _)| ordered == engine)
        })
    }

    /// The newest order for an engine has no answer and may be carried out later.
    pub(super) fn lost(&mut self, engine: &UpstreamId, now: Instant) {
        if let Some(index) = self.newest(engine) {
            self.begun[index].latest_at = now + LATEST_BEGIN;
        }
    }

    /// The newest order for an engine came to nothing.
    pub(super) fn not_begun(&mut self, engine: &UpstreamId) {
        if let Some(index) = self.newest(engine) {
            self.begun.remove(index);
        }
    }

    /// An engine has taken so many orders: one that names a lower count has begun by
    /// now, or never will.
    pub(super) fn count_is(&mut self, engine: &UpstreamId, orders_taken: u64, now: Instant) {
        for load in &mut self.begun {
            let settled = load
                .order
                .as_ref()
                .is_some_and(|(ordered, expected)| ordered == engine && *expected < orders_taken);
            if settled {
                load.latest_at = load.latest_at.min(now);
            }
        }
    }

    /// A term begins: the most that a holder before can have begun within the window
    /// counts as begun now.
    pub(super) fn begin_term(&mut self, pool: &EnginePool, now: Instant) {
        self.begun.clear();
        let load_times = pool.models.iter().map(|model| model.load_ms.max(1));
        let shortest_ms = load_times.min().unwrap_or(u64::MAX);
        let window_ms = u64::try_from(self.window.as_millis()).unwrap_or(u64::MAX);
        let rounds = usize::try_from(window_ms / shortest_ms).unwrap_or(usize::MAX);
        let at_once = STORE_LOADS_AT_ONCE.saturating_mul(rounds.saturating_add(1));
        let unknown = Begun {
            order: None,
            latest_at: now,
        };
        let most = at_once.min(self.most(pool));
        self.begun.extend(std::iter::repeat_n(unknown, most));
    }
}
