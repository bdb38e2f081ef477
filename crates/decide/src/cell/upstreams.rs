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
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(500);

/// An order that was handed to the sender and is not answered.
#[derive(Debug, Clone)]
pub struct OrderInFlight {
    /// The order.
    pub order: Order,
    /// When it was handed over.
    pub handed_at: Instant,
}

/// What the platform's list says of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListingState {
    /// It is listed, or was never heard of.
    Listed,
    /// It is listed as leaving.
    Leaving,
    /// It was listed and is no more.
    Removed,
}

/// One upstream as the controller sees it.
#[derive(Debug)]
pub struct UpstreamView {
    /// Its entry in the catalog.
    pub entry: Arc<Upstream>,
    /// The last report and when it was asked for.
    pub status: Option<(Instant, UpstreamStatus)>,
    /// Whether the last question was answered.
    pub is_reachable: bool,
    /// When the last question was asked, if it was not answered.
    pub unanswered_poll_at: Option<Instant>,
    /// When the last question was asked; what an earlier one brings is stale.
    polled_at: Option<Instant>,
    /// What the platform's list says.
    pub listing: ListingState,
    /// Whether the configuration has it.
    pub is_configured: bool,
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
            is_reachable: false,
            unanswered_poll_at: None,
            polled_at: None,
            listing: ListingState::Listed,
            is_configured: true,
            order: None,
            unsettled_until: None,
            retry_at: None,
        }
    }

    /// Whether new models may be placed on it.
    pub fn accepts_placements(&self) -> bool {
        self.is_reachable && !self.is_leaving()
    }

    /// Whether it gets no new work, by whoever's word: the platform's list, the
    /// operators, or its own. Each may take its word back.
    pub fn is_leaving(&self) -> bool {
        let reports_leaving = self
            .status
            .as_ref()
            .is_some_and(|(_, status)| status.leaving);
        self.listing != ListingState::Listed
            || !self.is_configured
            || self.entry.draining
            || reports_leaving
    }

    /// Whether it is gone for good, so that nothing is left of what it held.
    ///
    /// The list lags, so it is not believed alone: the upstream must also have
    /// been silent to a question asked after `since`. A new holder may have heard
    /// of its end long ago, and not that it came back and was used since.
    pub fn is_removed(&self, since: Instant) -> bool {
        self.listing == ListingState::Removed
            && self.unanswered_poll_at.is_some_and(|at| at >= since)
    }

    /// Whether an order may be sent now.
    pub fn accepts_order(&self, now: Instant) -> bool {
        self.is_reachable && self.order.is_none() && self.retry_at.is_none_or(|at| now >= at)
    }

    /// Whether no order of this process can arrive any more but the one in flight.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.unsettled_until.is_none_or(|until| now >= until)
    }

    /// A model in the last report.
    pub fn reported_model(&self, model: &str) -> Option<&LoadedModel> {
        let (_, status) = self.status.as_ref()?;
        status.loaded.iter().find(|loaded| &*loaded.model == model)
    }

    /// Whether the last report says that the model serves.
    pub fn is_ready(&self, model: &str) -> bool {
        self.reported_model(model)
            .is_some_and(|loaded| loaded.state == LoadedState::Ready)
    }

    /// Where the model's checkpoint lies.
    pub fn checkpoint_tier(&self, model: &str) -> Tier {
        let cached = self.status.as_ref().map(|(_, status)| &status.cached);
        let cached_entry =
            cached.and_then(|cached| cached.iter().find(|(name, _)| &**name == model));
        cached_entry.map_or(Tier::Remote, |(_, tier)| *tier)
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
            view.entry = entry.clone();
        }
        // An upstream that the catalog no longer has gets nothing new, but what
        // it holds is still unloaded properly.
        for (id, view) in &mut self.views {
            view.is_configured = catalog.upstreams.contains_key(id);
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

    /// Records what the platform\'s list says.
    pub fn set_listing(&mut self, id: &str, listing: ListingState) {
        if let Some(view) = self.views.get_mut(id) {
            view.listing = listing;
        }
    }

    /// Records a report, or that the upstream could not be asked.
    pub fn record_status(&mut self, id: &str, polled_at: Instant, status: Option<UpstreamStatus>) {
        let Some(view) = self.views.get_mut(id) else {
            return;
        };
        if view.polled_at.is_some_and(|last| polled_at < last) {
            return;
        }
        view.polled_at = Some(polled_at);
        view.is_reachable = status.is_some();
        view.unanswered_poll_at = status.is_none().then_some(polled_at);
        if let Some(status) = status {
            view.status = Some((polled_at, status));
        }
    }

    /// Records what became of an order, and returns it if it is the one under way.
    pub fn record_answer(
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
                view.unsettled_until = Some(now + limits.order_settle_time);
                view.retry_at = Some(now + ORDER_RETRY_DELAY);
            }
            OrderAnswer::NotSent
            | OrderAnswer::NoRoom
            | OrderAnswer::Busy
            | OrderAnswer::Fenced
            | OrderAnswer::Unloading => view.retry_at = Some(now + ORDER_RETRY_DELAY),
            OrderAnswer::Loading | OrderAnswer::Loaded | OrderAnswer::Absent => {
                view.retry_at = None;
            }
        }
        sent
    }
}
