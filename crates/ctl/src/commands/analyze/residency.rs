//! Periods in which engines had models loaded, and for how long these models were idle.

use super::events::Events;
use std::collections::BTreeMap;

/// A period in which a model was loaded on an engine.
#[derive(Debug, Clone)]
pub(super) struct Residency {
    pub(super) engine: String,
    pub(super) model: String,
    pub(super) from_ms: u64,
    pub(super) to_ms: u64,
    /// Time within the period in which no request ran on the model.
    pub(super) idle_ms: u64,
}

/// Start and end of periods, in milliseconds.
type Spans = Vec<(u64, u64)>;

/// Returns the residencies of all models on all engines. A residency begins with the order to load
/// the model, or with the first request if the model was loaded before the logs begin. It ends with
/// the order to unload the model or with the logs. Models that were loaded before and got no
/// request are left out.
pub(super) fn residencies(events: &Events) -> Vec<Residency> {
    let mut runs_by_replica: BTreeMap<(&str, &str), Spans> = BTreeMap::new();
    for request in events.requests.iter().filter(|r| !r.model.is_empty()) {
        if request.upstream.is_empty() {
            continue;
        }
        let span = (request.arrived_ms + request.waited_ms, request.ended_ms);
        let replica = (request.upstream.as_str(), request.model.as_str());
        runs_by_replica.entry(replica).or_default().push(span);
    }
    let mut orders_by_replica: BTreeMap<(&str, &str), Vec<(u64, bool)>> = BTreeMap::new();
    for order in &events.orders {
        let replica = (order.engine.as_str(), order.model.as_str());
        let orders = orders_by_replica.entry(replica).or_default();
        orders.push((order.at_ms, order.is_load));
    }
    for replica in runs_by_replica.keys() {
        orders_by_replica.entry(*replica).or_default();
    }
    let mut residencies = Vec::new();
    for ((engine, model), orders) in orders_by_replica {
        let mut runs = runs_by_replica.remove(&(engine, model)).unwrap_or_default();
        runs.sort_unstable();
        for (from_ms, to_ms) in loaded_spans(&orders, &runs, events.end_ms()) {
            residencies.push(Residency {
                engine: engine.to_owned(),
                model: model.to_owned(),
                from_ms,
                to_ms,
                idle_ms: to_ms.saturating_sub(from_ms) - covered_ms(&runs, from_ms, to_ms),
            });
        }
    }
    residencies
}

/// Returns the spans between loads and unloads of one model on one engine. Orders are given with
/// their time and whether they are loads, runs with start and end, both in time order.
fn loaded_spans(orders: &[(u64, bool)], runs: &[(u64, u64)], end_ms: u64) -> Spans {
    let mut spans = Spans::new();
    let is_loaded_at_start = orders.first().is_none_or(|(_, is_load)| !is_load);
    let mut start = runs
        .first()
        .map(|(start_ms, _)| *start_ms)
        .filter(|_| is_loaded_at_start);
    for (at_ms, is_load) in orders {
        match start {
            None if *is_load => start = Some(*at_ms),
            Some(start_ms) if !is_load => {
                spans.push((start_ms, (*at_ms).max(start_ms)));
                start = None;
            }
            _ => {}
        }
    }
    if let Some(start_ms) = start {
        spans.push((start_ms, end_ms.max(start_ms)));
    }
    spans
}

/// Returns the time between `from_ms` and `to_ms` in which at least one run was in progress. The
/// runs must be sorted by their start.
fn covered_ms(runs: &[(u64, u64)], from_ms: u64, to_ms: u64) -> u64 {
    let mut total_ms = 0;
    let mut covered_until_ms = from_ms;
    for (start_ms, end_ms) in runs {
        let start_ms = (*start_ms).max(covered_until_ms);
        let end_ms = (*end_ms).min(to_ms);
        if end_ms > start_ms {
            total_ms += end_ms - start_ms;
            covered_until_ms = end_ms;
        }
    }
    total_ms
}
