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

impl RouteScope {
    fn applies_to(&self, origin: &StreamOrigin) -> bool {
        self.host == origin.host && origin.path.starts_with(&*self.prefix)
    }
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

/// The splits under which streams may have begun, by route.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SplitSet {
    routes: BTreeMap<RouteScope, BTreeSet<Split>>,
}

impl SplitSet {
    /// Whether no split is named.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Whether streams may have begun under this split.
    pub fn contains(&self, scope: &RouteScope, split: &Split) -> bool {
        let splits = self.routes.get(scope);
        splits.is_some_and(|splits| splits.contains(split))
    }

    /// All splits.
    pub fn iter(&self) -> impl Iterator<Item = (&RouteScope, &Split)> {
        self.routes
            .iter()
            .flat_map(|(scope, splits)| splits.iter().map(move |split| (scope, split)))
    }
}

impl FromIterator<(RouteScope, Split)> for SplitSet {
    fn from_iter<I: IntoIterator<Item = (RouteScope, Split)>>(splits: I) -> Self {
        let mut set = Self::default();
        for (scope, split) in splits {
            set.routes.entry(scope).or_default().insert(split);
        }
        set
    }
}

/// A split, and until when it was in force.
#[derive(Debug, Clone)]
struct KnownSplit {
    split: Split,
    /// `None` while it is in force. Of a split that only the stored list names, when the list was read.
    replaced_at: Option<Instant>,
    /// Whether this instance itself has had the split in force, or knows that a route was missing.
    is_observed: bool,
}

impl KnownSplit {
    /// The state of a route until now.
    fn until(split: Split, now: Instant, is_observed: bool) -> Self {
        Self {
            split,
            replaced_at: Some(now),
            is_observed,
        }
    }

    /// Whether this instance must see to it that the list has the split, also if another one has removed it.
    fn is_needed(&self, now: Instant) -> bool {
        let is_recent = |at| now < at + SPLIT_RETENTION / 2;
        self.is_observed && self.replaced_at.is_none_or(is_recent)
    }

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
        let is_first = !self.is_known && self.routes.is_empty();
        for scope in current.keys() {
            self.routes.entry(scope.clone()).or_insert_with(|| {
                // A route that is added later did not exist before.
                let absent = KnownSplit::until(Split::default(), now, true);
                Vec::from_iter(Some(absent).filter(|_| !is_first))
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
                is_observed: true,
            });
        }
        let never_there = Split::default();
        self.routes
            .retain(|_, known| known.iter().any(|known| known.split != never_there));
        has_changed
    }

    /// Applies the stored list, which followed `previous` in the same era of the store; `previous` is empty if
    /// it is of another era.
    pub fn merge(&mut self, listed: &SplitSet, previous: &SplitSet, now: Instant) {
        if listed.is_empty() {
            // No list, or one of an instance of an earlier build.
            return;
        }
        let absent = Split::default();
        for (scope, known) in &mut self.routes {
            known.retain(|known| {
                let is_removed =
                    previous.contains(scope, &known.split) && !listed.contains(scope, &known.split);
                !is_removed || known.is_needed(now)
            });
            let is_new = !listed.routes.contains_key(scope);
            if is_new && known.iter().all(|known| known.split != absent) {
                known.push(KnownSplit::until(absent.clone(), now, true));
            }
        }
        for (scope, split) in listed.iter() {
            let known = self.routes.entry(scope.clone()).or_insert_with(|| {
                let current = KnownSplit {
                    split: absent.clone(),
                    replaced_at: None,
                    is_observed: true,
                };
                Vec::from_iter(Some(current).filter(|_| self.is_known))
            });
            let is_newly_listed = !previous.contains(scope, split);
            let listed_now = KnownSplit::until(split.clone(), now, false);
            match known.iter_mut().find(|known| known.split == *split) {
                None => known.push(listed_now),
                // Another instance has had it in force again.
                Some(known)
                    if known.replaced_at.is_some()
                        && (is_newly_listed || !known.is_recent(now)) =>
                {
                    *known = listed_now;
                }
                Some(_) => {}
            }
        }
    }

    /// The splits that the stored list should name.
    pub fn listing(&self, now: Instant) -> SplitSet {
        let recent = |known: &KnownSplit| known.is_recent(now);
        self.splits_where(recent)
    }

    /// Whether the list lacks splits that this instance has seen in force.
    pub fn is_missing_from(&self, listed: &SplitSet, now: Instant) -> bool {
        let needed = self.splits_where(|known| known.is_needed(now));
        let mut needed = needed.iter();
        needed.any(|(scope, split)| !listed.contains(scope, split))
    }

    /// The chosen splits of the routes that exist in one of them.
    fn splits_where(&self, is_chosen: impl Fn(&KnownSplit) -> bool) -> SplitSet {
        let mut set = SplitSet::default();
        for (scope, known) in &self.routes {
            let chosen = known.iter().filter(|known| is_chosen(known));
            let splits: BTreeSet<Split> = chosen.map(|known| known.split.clone()).collect();
            if splits.iter().any(|split| *split != Split::default()) {
                set.routes.insert(scope.clone(), splits);
            }
        }
        set
    }

    /// The service at which the stream began, if the list of splits proves it together with what this
    /// instance has observed. A list that lacks the route's present split proves nothing. One of an earlier
    /// build names none; it proves only that there is no other service if none is known.
    pub fn only_service(
        &self,
        origin: &StreamOrigin,
        listed: &SplitSet,
        now: Instant,
    ) -> Option<ServiceName> {
        let is_proved = if listed.is_empty() {
            self.recent_services(origin, now).len() == 1
        } else {
            let present = self.present_split(origin);
            present.is_some_and(|(scope, split)| listed.contains(scope, split))
        };
        let mut possible = self.possible_services(origin, now);
        let only = possible.pop_first()?;
        (is_proved && possible.is_empty()).then_some(only)
    }

    /// The split in force for the stream's requests; `None` if they have no route.
    fn present_split(&self, origin: &StreamOrigin) -> Option<(&RouteScope, &Split)> {
        let matching = self
            .routes
            .iter()
            .filter(|(scope, _)| scope.applies_to(origin));
        let present = matching.filter_map(|(scope, known)| {
            let in_force = known.iter().find(|known| known.replaced_at.is_none())?;
            let exists = in_force.split != Split::default();
            exists.then_some((scope, &in_force.split))
        });
        present.max_by_key(|(scope, _)| scope.prefix.len())
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
        let mut matching: Vec<_> = self
            .routes
            .iter()
            .filter(|(scope, _)| scope.applies_to(origin))
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
