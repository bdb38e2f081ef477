//! Where models stood, and how long they stood without a run.

use super::events::Events;
use std::collections::BTreeMap;

/// A model's stay on an engine.
#[derive(Debug, Clone)]
pub(super) struct Residency {
    pub(super) engine: String,
    pub(super) model: String,
    pub(super) from_ms: u64,
    pub(super) to_ms: u64,
    /// Time of it in which nothing ran.
    pub(super) idle_ms: u64,
}

type Spans = Vec<(u64, u64)>;

/// Stays of all models: from the order that brought one, or its first run there, to the
/// order that took it away, or the end of the logs. Models that stood from the start and
/// never ran are not told of.
pub(super) fn residencies(events: &Events) -> Vec<Residency> {
    let mut runs: BTreeMap<(&str, &str), Spans> = BTreeMap::new();
    for request in events.requests.iter().filter(|r| !r.model.is_empty()) {
        if request.upstream.is_empty() {
            continue;
        }
        let span = (request.arrived_ms + request.waited_ms, request.ended_ms);
        let place = (request.upstream.as_str(), request.model.as_str());
        runs.entry(place).or_default().push(span);
    }
    let mut places: BTreeMap<(&str, &str), Vec<(u64, bool)>> = BTreeMap::new();
    for order in &events.orders {
        let place = (order.engine.as_str(), order.model.as_str());
        let orders = places.entry(place).or_default();
        orders.push((order.at_ms, order.is_load));
    }
    for place in runs.keys() {
        places.entry(*place).or_default();
    }
    let mut stays = Vec::new();
    for ((engine, model), orders) in places {
        let mut runs = runs.remove(&(engine, model)).unwrap_or_default();
        runs.sort_unstable();
        for (from_ms, to_ms) in spans(&orders, &runs, events.end_ms()) {
            stays.push(Residency {
                engine: engine.to_owned(),
                model: model.to_owned(),
                from_ms,
                to_ms,
                idle_ms: to_ms.saturating_sub(from_ms) - covered_ms(&runs, from_ms, to_ms),
            });
        }
    }
    stays
}

/// The spans between loads and unloads of one model on one engine.
fn spans(orders: &[(u64, bool)], runs: &[(u64, u64)], end_ms: u64) -> Spans {
    let mut spans = Spans::new();
    let starts_there = orders.first().is_none_or(|(_, is_load)| !is_load);
    let mut from = runs
        .first()
        .map(|(begin, _)| *begin)
        .filter(|_| starts_there);
    for (at_ms, is_load) in orders {
        match from {
            None if *is_load => from = Some(*at_ms),
            Some(begin) if !is_load => {
                spans.push((begin, (*at_ms).max(begin)));
                from = None;
            }
            _ => {}
        }
    }
    if let Some(begin) = from {
        spans.push((begin, end_ms.max(begin)));
    }
    spans
}

/// Time of a span in which at least one of the runs, sorted by their begin, went on.
fn covered_ms(runs: &[(u64, u64)], from_ms: u64, to_ms: u64) -> u64 {
    let mut covered = 0;
    let mut reached = from_ms;
    for (begin, end) in runs {
        let begin = (*begin).max(reached);
        let end = (*end).min(to_ms);
        if end > begin {
            covered += end - begin;
            reached = end;
        }
    }
    covered
}
