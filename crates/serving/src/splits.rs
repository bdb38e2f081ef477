//! How routes divide their streams among services, now and lately.
//!
//! The service of a stream follows from the id of the attempt that began it and from its route's backends.
//! Operators change those while streams are under way, so a stream may have begun at another service than
//! the route chooses now.

use crate::hash::fnv1a;
use crate::routes::{Backend, RouteTable, backend_of};
use crate::versions::STREAM_RETENTION;
use passway_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// How long streams that began under an earlier split may be resumed. A request that arrived before the
/// change may wait before its stream begins, so this is longer than [`STREAM_RETENTION`].
pub const SPLIT_RETENTION: Duration = STREAM_RETENTION.saturating_mul(2);

/// The hash of an attempt's id, which chooses the backend of a split route: the same id always leads to the
/// same backend.
pub fn attempt_hash(id: &str) -> u64 {
    fnv1a(0, id)
}

/// The requests that a route applies to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteScope {
    /// The host.
    pub host: Arc<str>,
    /// The path prefix.
    pub prefix: Arc<str>,
}

/// The backends of a route with their weights; empty while there is no such route.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Split {
    backends: Vec<Backend>,
}

impl Split {
    /// A split with these backends. Those without weight get no requests.
    pub fn new(backends: impl IntoIterator<Item = Backend>) -> Self {
        let weighted = backends.into_iter().filter(|backend| backend.weight > 0);
        Self {
            backends: weighted.collect(),
        }
    }

    /// The backends.
    pub fn backends(&self) -> &[Backend] {
        &self.backends
    }

    /// The services at which an attempt's stream begins: one if the attempt's id is known.
    fn services(&self, attempt: Option<&str>) -> Vec<ServiceName> {
        let Some(id) = attempt else {
            let services = self.backends.iter().map(|backend| &backend.service);
            return services.cloned().collect();
        };
        let service = backend_of(&self.backends, attempt_hash(id));
        service.into_iter().cloned().collect()
    }
}

/// What a request tells about the stream that it begins or resumes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamOrigin {
    /// The host of the request.
    pub host: Arc<str>,
    /// The path of the request.
    pub path: Arc<str>,
    /// The id of the attempt that began the stream; `None` if the caller does not name it.
    pub attempt: Option<Arc<str>>,
}

/// A split, and until when it was in force.
#[derive(Debug, Clone)]
struct KnownSplit {
    split: Split,
    /// `None` while it is in force.
    replaced_at: Option<Instant>,
}

impl KnownSplit {
    /// Whether streams that began under the split may still be resumed.
    fn is_recent(&self, now: Instant) -> bool {
        self.replaced_at.is_none_or(|at| now < at + SPLIT_RETENTION)
    }
}

/// The splits of all routes that were in force within [`SPLIT_RETENTION`], as far as this instance knows.
/// Their number is bounded by the rate at which configurations change.
#[derive(Debug, Default)]
pub struct SplitHistory {
    routes: BTreeMap<RouteScope, Vec<KnownSplit>>,
    is_known: bool,
}

impl SplitHistory {
    /// Applies a configuration before requests are routed by it. Returns whether a split has changed.
    pub fn apply(&mut self, table: &RouteTable, now: Instant) -> bool {
        let mut current = current_splits(table);
        let before_first = KnownSplit {
            split: Split::default(),
            replaced_at: Some(now),
        };
        for scope in current.keys() {
            self.routes.entry(scope.clone()).or_insert_with(|| {
                // A route that is added later did not exist before.
                Vec::from_iter(self.is_known.then(|| before_first.clone()))
            });
        }
        self.is_known = true;
        let mut has_changed = false;
        for (scope, known) in &mut self.routes {
            let split = current.remove(scope).unwrap_or_default();
            known.retain(|known| known.is_recent(now) || known.split == split);
            let is_in_force =
                |known: &KnownSplit| known.split == split && known.replaced_at.is_none();
            if known.iter().any(is_in_force) {
                continue;
            }
            has_changed = true;
            for known in &mut *known {
                known.replaced_at.get_or_insert(now);
            }
            known.retain(|known| known.split != split);
            known.push(KnownSplit {
                split,
                replaced_at: None,
            });
        }
        let never_there = Split::default();
        self.routes
            .retain(|_, known| known.iter().any(|known| known.split != never_there));
        has_changed
    }

    /// The services at which the stream may have begun, by the splits that are known.
    pub fn possible_services(&self, origin: &StreamOrigin, now: Instant) -> BTreeSet<ServiceName> {
        let splits = self.splits_for(origin, now);
        splits
            .flat_map(|split| split.services(origin.attempt.as_deref()))
            .collect()
    }

    /// All services that the route of the stream had lately or has.
    pub fn recent_services(&self, origin: &StreamOrigin, now: Instant) -> BTreeSet<ServiceName> {
        self.splits_for(origin, now)
            .flat_map(|split| split.services(None))
            .collect()
    }

    /// The splits that may have applied to the request which began the stream. A route with a shorter
    /// prefix applied only while none with a longer one did.
    fn splits_for<'a>(
        &'a self,
        origin: &StreamOrigin,
        now: Instant,
    ) -> impl Iterator<Item = &'a Split> {
        let is_match = |scope: &RouteScope| {
            scope.host == origin.host && origin.path.starts_with(&*scope.prefix)
        };
        let mut matching: Vec<_> = self
            .routes
            .iter()
            .filter(|(scope, _)| is_match(scope))
            .collect();
        matching.sort_by_key(|(scope, _)| std::cmp::Reverse(scope.prefix.len()));
        let is_always_there = move |known: &[KnownSplit]| {
            let mut recent = known.iter().filter(|known| known.is_recent(now));
            recent.all(|known| known.split != Split::default())
        };
        let always_there = matching
            .iter()
            .position(|(_, known)| is_always_there(known));
        matching.truncate(always_there.map_or(matching.len(), |index| index + 1));
        let known = matching.into_iter().flat_map(|(_, known)| known);
        known
            .filter(move |known| known.is_recent(now))
            .map(|known| &known.split)
    }
}

/// The splits of a configuration. No streams begin on other routes.
fn current_splits(table: &RouteTable) -> BTreeMap<RouteScope, Split> {
    let mut splits = BTreeMap::new();
    for route in table.routes() {
        let backends = route.backends.iter().filter(|_| route.kind.is_stream());
        let scope = RouteScope {
            host: route.host.clone(),
            prefix: route.prefix.clone(),
        };
        // The first of several routes with one prefix applies.
        splits
            .entry(scope)
            .or_insert_with(|| Split::new(backends.cloned()));
    }
    splits.retain(|_, split| *split != Split::default());
    splits
}
