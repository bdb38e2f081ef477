//! What a controller knows of the upstreams of its cell.
//!
//! This knowledge outlives a term, because an order that was sent in one term
//! may still arrive in the next.

use super::CellLimits;
use crate::messages::{LoadedModel, LoadedState, Order, OrderAnswer, Tier, UpstreamStatus};
use passway_config::Catalog;
use passway_config::catalog::Upstream;
use passway_types::prelude::*;
use std::collections::HashMap;

/// Pause before an upstream that did not take an order is tried again.
const ORDER_RETRY: Duration = Duration::from_millis(500);

/// An order that was handed to the sender and is not answered.
#[derive(Debug, Clone)]
pub struct OrderInFlight {
    /// The order.
    pub order: Order,
    /// When it was handed over.
    pub handed_at: Instant,
}

/// One upstream as the controller sees it.
#[derive(Debug)]
pub struct UpstreamView {
    /// Its entry in the catalog.
    pub entry: Arc<Upstream>,
    /// The last report and when it was asked for.
    pub status: Option<(Instant, UpstreamStatus)>,
    /// Whether the last question was answered.
    pub reachable: bool,
    /// Whether it gets no new work.
    pub leaving: bool,
    /// The one order under way.
    pub order: Option<OrderInFlight>,
    /// Until then an unanswered order may still arrive.
    pub unsettled_until: Option<Instant>,
    /// No order is sent before.
    pub retry_at: Option<Instant>,
}

impl UpstreamView {
    fn new(entry: Arc<Upstream>) -> Self {
        Self {
            entry,
            status: None,
            reachable: false,
            leaving: false,
            order: None,
            unsettled_until: None,
            retry_at: None,
        }
    }

    /// Whether new models may be placed on it.
    pub fn takes_placements(&self) -> bool {
        self.reachable && !self.leaving
    }

    /// Whether an order may be sent now.
    pub fn takes_order(&self, now: Instant) -> bool {
        self.reachable && self.order.is_none() && self.retry_at.is_none_or(|at| now >= at)
    }

    /// Whether no order of this process can arrive any more but the one in flight.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.unsettled_until.is_none_or(|until| now >= until)
    }

    /// A model in the last report.
    pub fn reported(&self, model: &str) -> Option<&LoadedModel> {
        let (_, status) = self.status.as_ref()?;
        status.loaded.iter().find(|loaded| &*loaded.model == model)
    }

    /// Whether the last report says that the model serves.
    pub fn is_ready(&self, model: &str) -> bool {
        self.reported(model)
            .is_some_and(|loaded| loaded.state == LoadedState::Ready)
    }

    /// Where the model's checkpoint lies.
    pub fn tier(&self, model: &str) -> Tier {
        let cached = self.status.as_ref().map(|(_, status)| &status.cached);
        let found = cached.and_then(|cached| cached.iter().find(|(name, _)| &**name == model));
        found.map_or(Tier::Remote, |(_, tier)| *tier)
    }
}

/// The upstreams of one cell.
#[derive(Debug, Default)]
pub struct Upstreams {
    views: HashMap<UpstreamId, UpstreamView>,
}

impl Upstreams {
    /// Every upstream that the catalog has for the cell; nothing is known of them yet.
    pub fn new(catalog: &Catalog, cell: &str) -> Self {
        let mut upstreams = Self::default();
        upstreams.use_catalog(catalog, cell);
        upstreams
    }

    /// Takes over a newer catalog and keeps what is known.
    pub fn use_catalog(&mut self, catalog: &Catalog, cell: &str) {
        for entry in catalog.upstreams_of(cell) {
            let view = self.views.entry(entry.id.clone());
            let view = view.or_insert_with(|| UpstreamView::new(entry.clone()));
            if view.entry.draining && !entry.draining {
                view.leaving = false;
            }
            view.leaving |= entry.draining;
            view.entry = entry.clone();
        }
        // An upstream that the catalog no longer has gets nothing new, but what
        // it holds is still unloaded properly.
        for (id, view) in &mut self.views {
            view.leaving |= !catalog.upstreams.contains_key(id);
        }
    }

    /// One upstream.
    pub fn get(&self, id: &str) -> Option<&UpstreamView> {
        self.views.get(id)
    }

    /// One upstream, to change.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut UpstreamView> {
        self.views.get_mut(id)
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &UpstreamView> {
        self.views.values()
    }

    /// Records that an upstream is leaving.
    pub fn set_leaving(&mut self, id: &str) {
        if let Some(view) = self.views.get_mut(id) {
            view.leaving = true;
        }
    }

    /// Records a report, or that the upstream could not be asked.
    pub fn reported(&mut self, id: &str, asked_at: Instant, status: Option<UpstreamStatus>) {
        let Some(view) = self.views.get_mut(id) else {
            return;
        };
        view.reachable = status.is_some();
        if let Some(status) = status {
            view.leaving |= status.leaving;
            view.status = Some((asked_at, status));
        }
    }

    /// Records what became of an order, and returns it if it is the one under way.
    pub fn answered(
        &mut self,
        now: Instant,
        id: &str,
        fence: Fence,
        answer: OrderAnswer,
        limits: &CellLimits,
    ) -> Option<OrderInFlight> {
        let view = self.views.get_mut(id)?;
        let sent = view
            .order
            .take_if(|in_flight| in_flight.order.fence == fence);
        match answer {
            OrderAnswer::Lost => {
                view.unsettled_until = Some(now + limits.order_settle);
                view.retry_at = Some(now + ORDER_RETRY);
            }
            OrderAnswer::NotSent
            | OrderAnswer::NoRoom
            | OrderAnswer::Busy
            | OrderAnswer::Fenced
            | OrderAnswer::Unloading => view.retry_at = Some(now + ORDER_RETRY),
            OrderAnswer::Loading | OrderAnswer::Loaded | OrderAnswer::Absent => {
                view.retry_at = None;
            }
        }
        sent
    }
}
