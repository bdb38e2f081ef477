//! The known state of the upstreams of a cell.
//!
//! This state outlives a term, because an order sent in one term may arrive during the next.

use super::CellLimits;
use crate::messages::{LoadedModel, LoadedState, Order, OrderAnswer, Tier, UpstreamStatus};
use passway_config::Catalog;
use passway_config::catalog::Upstream;
use passway_types::prelude::*;
use std::collections::HashMap;

/// Delay before the next order to an upstream that did not carry out the last one.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(500);

/// An order that was handed to the sender and has no answer yet.
#[derive(Debug, Clone)]
pub struct OrderInFlight {
    /// The order.
    pub order: Order,
    /// When the order was handed to the sender.
    pub handed_at: Instant,
}

/// The state of an upstream in the platform's instance list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListingState {
    /// The upstream is listed, or has never been in the list.
    Listed,
    /// The upstream is listed as leaving.
    Leaving,
    /// The upstream was listed and is not any more.
    Removed,
}

/// One upstream as known to the controller.
#[derive(Debug)]
pub struct UpstreamView {
    /// The upstream's entry in the catalog.
    pub entry: Arc<Upstream>,
    /// The last status report and when the poll for it was sent.
    pub status: Option<(Instant, UpstreamStatus)>,
    /// Whether the last poll was answered.
    pub is_reachable: bool,
    /// When the last poll was sent, if it got no answer.
    pub unanswered_poll_at: Option<Instant>,
    /// When the last poll was sent. Answers to earlier polls are ignored.
    polled_at: Option<Instant>,
    /// The state in the platform's instance list.
    pub listing: ListingState,
    /// Whether the upstream is in the configuration.
    pub is_configured: bool,
    /// The order in flight; at most one per upstream.
    pub order: Option<OrderInFlight>,
    /// The time until which an unanswered order may still arrive.
    pub unsettled_until: Option<Instant>,
    /// The time before which no order is sent.
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

    /// Whether models may be placed on the upstream.
    pub fn accepts_placements(&self) -> bool {
        self.is_reachable && !self.is_leaving()
    }

    /// Whether the upstream gets no new work. The platform's list, the operators and the upstream
    /// itself can each declare it leaving, and each can withdraw the declaration.
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

    /// Whether the upstream is removed for good, so that all models on it are lost.
    ///
    /// The list may be out of date, so an unanswered poll sent at or after `since` is required as
    /// well. A new holder may have learned of the removal long ago but not that the upstream
    /// returned and was used again.
    pub fn is_removed(&self, since: Instant) -> bool {
        self.listing == ListingState::Removed
            && self.unanswered_poll_at.is_some_and(|at| at >= since)
    }

    /// Whether an order may be sent now.
    pub fn accepts_order(&self, now: Instant) -> bool {
        self.is_reachable && self.order.is_none() && self.retry_at.is_none_or(|at| now >= at)
    }

    /// Whether at time `at` no order of this process can arrive any more, except the one in flight.
    pub fn is_settled(&self, at: Instant) -> bool {
        self.unsettled_until.is_none_or(|until| at >= until)
    }

    /// Returns the model's entry in the last status report.
    pub fn reported_model(&self, model: &str) -> Option<&LoadedModel> {
        let (_, status) = self.status.as_ref()?;
        status.loaded.iter().find(|loaded| &*loaded.model == model)
    }

    /// Whether the model serves according to the last status report.
    pub fn is_ready(&self, model: &str) -> bool {
        self.reported_model(model)
            .is_some_and(|loaded| loaded.state == LoadedState::Ready)
    }

    /// Returns the storage tier of the model's checkpoint at this upstream.
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
    /// Returns all upstreams of the cell in the catalog; nothing is known of them yet.
    pub fn new(catalog: &Catalog, cell: &str) -> Self {
        let mut upstreams = Self::default();
        upstreams.use_catalog(catalog, cell);
        upstreams
    }

    /// Applies a newer catalog and retains the known state.
    pub fn use_catalog(&mut self, catalog: &Catalog, cell: &str) {
        for entry in catalog.upstreams_of(cell) {
            let view = self.views.entry(entry.id.clone());
            let view = view.or_insert_with(|| UpstreamView::new(entry.clone()));
            view.entry = entry.clone();
        }
        // An upstream that is no longer in the catalog gets no new work, but the models on it are
        // still unloaded properly.
        for (id, view) in &mut self.views {
            view.is_configured = catalog.upstreams.contains_key(id);
        }
    }

    /// Returns one upstream.
    pub fn get(&self, id: &str) -> Option<&UpstreamView> {
        self.views.get(id)
    }

    /// Returns one upstream for modification.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut UpstreamView> {
        self.views.get_mut(id)
    }

    /// Returns all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &UpstreamView> {
        self.views.values()
    }

    /// Records the upstream's state in the platform's instance list.
    pub fn set_listing(&mut self, id: &str, listing: ListingState) {
        if let Some(view) = self.views.get_mut(id) {
            view.listing = listing;
        }
    }

    /// Records a status report, or that the upstream did not answer the poll.
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

    /// Records the answer to an order. Returns the order if it is the one in flight.
    pub fn record_answer(
        &mut self,
        now: Instant,
        id: &str,
        fence: Fence,
        answer: OrderAnswer,
        limits: &CellLimits,
    ) -> Option<OrderInFlight> {
        let view = self.views.get_mut(id)?;
        let answered_order = view
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
        answered_order
    }
}
