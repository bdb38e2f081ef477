//! Which services a stream may have begun at, by the splits that were in force and that the list names.

use passway_serving::halls::AllowedRegions;
use passway_serving::routes::{Backend, CallerLimits, RequestKind, Route, RouteTable};
use passway_serving::splits::{SPLIT_RETENTION, SplitHistory, SplitSet, StreamOrigin};
use passway_types::clock;
use passway_types::prelude::*;

const LIMITS: CallerLimits = CallerLimits {
    max_header_bytes: 1,
    max_body_bytes: 1,
    header_timeout_ms: 1,
    idle_timeout_ms: 1,
};

/// Routes with one service each.
pub fn table(routes: &[(&str, &str)]) -> RouteTable {
    let routes = routes.iter().map(|(prefix, service)| Route {
        name: (*prefix).into(),
        host: "h".into(),
        prefix: (*prefix).into(),
        kind: RequestKind::Stream { resumable: true },
        timeout_ms: 1,
        latency_target_ms: 1,
        gap_target_ms: 1,
        is_public: true,
        priority: 0,
        attempts: 1,
        allowed: AllowedRegions::default(),
        backends: vec![Backend {
            service: (*service).into(),
            weight: 1,
        }],
    });
    RouteTable::new(1, routes.collect(), Vec::new(), LIMITS)
}

fn origin() -> StreamOrigin {
    StreamOrigin {
        host: "h".into(),
        path: "/chat/1".into(),
        attempt: Some("a".into()),
    }
}

fn history_of(routes: &[(&str, &str)], now: Instant) -> SplitHistory {
    let mut history = SplitHistory::default();
    history.apply(&table(routes), now);
    history
}

fn only_service(history: &SplitHistory, listed: &SplitSet, now: Instant) -> Option<String> {
    let only = history.only_service(&origin(), listed, now);
    only.map(|service| service.to_string())
}

/// A replaced split counts as long as its streams may be resumed.
#[test]
fn replaced_split_expires() {
    let now = clock::now();
    let mut history = history_of(&[("/chat", "a")], now);
    assert!(history.apply(&table(&[("/chat", "b")]), now));
    assert!(!history.apply(&table(&[("/chat", "b")]), now));
    assert_eq!(only_service(&history, &history.listing(now), now), None);
    let later = now + SPLIT_RETENTION;
    let listed = history.listing(later);
    assert_eq!(only_service(&history, &listed, later).as_deref(), Some("b"));
}

/// A list that lacks the present split, or names another one, proves nothing.
#[test]
fn unlisted_split_proves_nothing() {
    let now = clock::now();
    let earlier = history_of(&[("/chat", "a")], now).listing(now);
    let mut history = history_of(&[("/chat", "b")], now);
    assert_eq!(only_service(&history, &earlier, now), None);
    history.merge(&earlier, &SplitSet::default(), now);
    assert!(history.is_missing_from(&earlier, now));
    let both = history.listing(now);
    assert_eq!(only_service(&history, &both, now), None);
    let new = history_of(&[("/chat", "b")], now);
    assert_eq!(both.iter().count(), new.listing(now).iter().count() + 1);
}

/// A split that the holder has removed from the list is not written again by others.
#[test]
fn removed_split_forgotten() {
    let now = clock::now();
    let mut history = history_of(&[("/chat", "a")], now);
    history.apply(&table(&[("/chat", "b")]), now);
    let both = history.listing(now);
    let present = history_of(&[("/chat", "b")], now).listing(now);
    let soon = now + SPLIT_RETENTION / 4;
    history.merge(&present, &both, soon);
    assert!(history.is_missing_from(&present, soon));
    let late = now + SPLIT_RETENTION / 2;
    history.merge(&present, &both, late);
    assert!(!history.is_missing_from(&present, late));
    assert_eq!(history.listing(late), present);
}

/// A split that has expired here and that another instance lists again counts again.
#[test]
fn listed_again() {
    let now = clock::now();
    let earlier = history_of(&[("/chat", "a")], now).listing(now);
    let mut history = history_of(&[("/chat", "a")], now);
    history.apply(&table(&[("/chat", "b")]), now);
    let both = history.listing(now);
    let later = now + SPLIT_RETENTION;
    assert_eq!(only_service(&history, &both, later).as_deref(), Some("b"));
    history.merge(&earlier, &SplitSet::default(), later);
    assert_eq!(only_service(&history, &both, later), None);
}

/// A route with a longer prefix was added: before, the shorter one applied.
#[test]
fn shorter_route_applied_before() {
    let now = clock::now();
    let short = [("/c", "a")];
    let both = [("/c", "a"), ("/chat", "b")];
    let mut history = history_of(&short, now);
    history.apply(&table(&both), now);
    assert_eq!(only_service(&history, &history.listing(now), now), None);
    let mut restarted = history_of(&both, now);
    let earlier = history_of(&short, now).listing(now);
    restarted.merge(&earlier, &SplitSet::default(), now);
    let listed = restarted.listing(now);
    assert_eq!(only_service(&restarted, &listed, now), None);
    let unchanged = history_of(&both, now);
    let listed = unchanged.listing(now);
    assert_eq!(only_service(&unchanged, &listed, now).as_deref(), Some("b"));
}
