//! The report: typed rows that are printed as tables or JSON.

use super::events::{Events, Request};
use super::residency::{self, Residency};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// A request counts as waiting if it was first offered to an upstream later than this after its
/// arrival: it had to wait until its model was loaded or an engine had a free slot.
const MIN_WAIT_MS: u64 = 20;
/// A model counts as busy if it gets more than one in this number of the requests for models.
const BUSY_MODEL_DIVISOR: u64 = 20;
/// Maximum number of models in the printed table.
const MAX_MODELS_SHOWN: usize = 12;

/// Counts and times of a group of requests.
#[derive(Debug, Default, Clone, Serialize)]
pub struct Row {
    /// The time window, route, model or kind of models that the requests have in common.
    pub name: String,
    /// Number of requests that ended.
    pub asked: u64,
    /// Number of requests whose caller received a complete answer with a success status.
    pub served: u64,
    /// Number of requests that were refused with status 503, i.e. not run.
    pub refused: u64,
    /// Number of requests that had to wait for a replica or a free slot.
    pub waited: u64,
    /// Median and 99th percentile of the wait of the requests in `waited`, in milliseconds.
    pub wait_ms: [u64; 2],
    /// Median and 99th percentile of the time to the first bytes of served requests, in
    /// milliseconds.
    pub first_ms: [u64; 2],
}

/// Load of an engine.
#[derive(Debug, Clone, Serialize)]
pub struct EngineRow {
    /// The id of the engine.
    pub engine: String,
    /// Number of requests for models that ended on the engine.
    pub requests: u64,
    /// `requests` as a percentage of the mean over all engines.
    pub of_mean_percent: u64,
    /// Number of orders to load or unload models that the engine accepted.
    pub orders: u64,
    /// Total residency time of all models on the engine, in milliseconds. Times of models that are
    /// loaded at the same time add up.
    pub stays_ms: u64,
}

/// Requests that were not served for the same reason.
#[derive(Debug, Clone, Serialize)]
pub struct CauseRow {
    /// The reason, as text.
    pub cause: String,
    /// Number of these requests.
    pub requests: u64,
    /// Number of these requests by route.
    pub routes: BTreeMap<String, u64>,
}

/// Statistics about the requests, orders and engines in a set of logs.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Rows by time window. The name is the start of the window, in seconds since the first
    /// request.
    pub windows: Vec<Row>,
    /// Rows by route.
    pub routes: Vec<Row>,
    /// Rows by model, the one with the most requests first.
    pub models: Vec<Row>,
    /// Two rows, for busy and for rarely used models, which show how many requests had to wait.
    pub cold_starts: Vec<Row>,
    /// Engines, sorted by id.
    pub engines: Vec<EngineRow>,
    /// Reasons for requests that were not served, the most frequent first.
    pub causes: Vec<CauseRow>,
    /// Percentage of the total residency time of models in which no request ran on them.
    pub idle_percent: u64,
    /// Total residency time of models, in seconds. Times of models that are loaded on the same
    /// engine at the same time add up.
    pub stays_s: u64,
    /// Number of accepted orders for models, and for adapters.
    pub orders: [u64; 2],
    /// How often an instance acquired the leadership, i.e. the right to send orders to engines.
    pub holders: usize,
    /// Number of log lines that instances dropped.
    pub dropped_lines: u64,
}

/// Returns a percentile of numbers in ascending order; 0 without numbers.
fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or(0)
}

fn to_u64(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}

fn percent_of(part: u64, whole: u64) -> u64 {
    (part * 100).checked_div(whole).unwrap_or(0)
}

impl Row {
    /// Returns the counts and times of the requests.
    fn from_requests<'a>(name: String, requests: impl Iterator<Item = &'a Request>) -> Self {
        let mut row = Self {
            name,
            ..Self::default()
        };
        let (mut waits, mut firsts) = (Vec::new(), Vec::new());
        for request in requests {
            row.asked += 1;
            row.served += u64::from(request.is_served());
            row.refused += u64::from(request.status == 503);
            // A request that was never offered to an upstream has waited until its end.
            let waited_ms = if request.offers == 0 {
                request.ended_ms - request.arrived_ms
            } else {
                request.waited_ms
            };
            if waited_ms > MIN_WAIT_MS {
                waits.push(waited_ms);
            }
            if request.is_served() {
                firsts.push(request.first_ms);
            }
        }
        waits.sort_unstable();
        firsts.sort_unstable();
        row.waited = to_u64(waits.len());
        row.wait_ms = [percentile(&waits, 50), percentile(&waits, 99)];
        row.first_ms = [percentile(&firsts, 50), percentile(&firsts, 99)];
        row
    }
}

/// Groups requests by the key that `key` returns; requests without a key are left out.
fn group_requests<'a, K: Ord>(
    requests: &'a [Request],
    key: impl Fn(&'a Request) -> Option<K>,
) -> BTreeMap<K, Vec<&'a Request>> {
    let mut groups: BTreeMap<K, Vec<&Request>> = BTreeMap::new();
    for request in requests {
        if let Some(key) = key(request) {
            groups.entry(key).or_default().push(request);
        }
    }
    groups
}

/// Returns the model of a request; `None` for services without models.
fn requested_model(request: &Request) -> Option<&str> {
    Some(request.model.as_str()).filter(|model| !model.is_empty())
}

impl Report {
    /// Returns the report about the events, with time windows of `window_ms` milliseconds.
    pub(super) fn from_events(events: &Events, window_ms: u64) -> Self {
        let requests = &events.requests;
        let start_ms = events.start_ms();
        let windows = group_requests(requests, |r| Some((r.arrived_ms - start_ms) / window_ms));
        let windows = windows.into_iter().map(|(index, requests)| {
            let from_s = index * window_ms / 1_000;
            Row::from_requests(from_s.to_string(), requests.into_iter())
        });
        let routes = group_requests(requests, |r| Some(r.route.as_str())).into_iter();
        let by_model = group_requests(requests, requested_model);
        let busy_above =
            by_model.values().map(|r| to_u64(r.len())).sum::<u64>() / BUSY_MODEL_DIVISOR;
        let is_busy = |model: &str| {
            by_model
                .get(model)
                .is_some_and(|r| to_u64(r.len()) > busy_above)
        };
        let cold_row = |name: &str, busy: bool| {
            let with_model = requests.iter().filter(|r| requested_model(r).is_some());
            let selected = with_model.filter(|r| is_busy(&r.model) == busy);
            Row::from_requests(name.to_owned(), selected)
        };
        let cold_starts = vec![
            cold_row("busy models", true),
            cold_row("rare models", false),
        ];
        let models = by_model.iter();
        let rows =
            models.map(|(name, r)| Row::from_requests((*name).to_owned(), r.iter().copied()));
        let mut models: Vec<Row> = rows.collect();
        models.sort_by_key(|row| std::cmp::Reverse(row.asked));
        let residencies = residency::residencies(events);
        let stays_ms: u64 = residencies.iter().map(|r| r.to_ms - r.from_ms).sum();
        let idle_ms = residencies.iter().map(|r| r.idle_ms).sum();
        Self {
            windows: windows.collect(),
            routes: routes
                .map(|(name, r)| Row::from_requests(name.to_owned(), r.into_iter()))
                .collect(),
            models,
            cold_starts,
            engines: engine_rows(events, &residencies),
            causes: cause_rows(requests),
            idle_percent: percent_of(idle_ms, stays_ms),
            stays_s: stays_ms / 1_000,
            orders: [to_u64(events.orders.len()), to_u64(events.adapter_orders)],
            holders: events.leadership_starts_ms.len(),
            dropped_lines: events.dropped_lines,
        }
    }
}

fn engine_rows(events: &Events, residencies: &[Residency]) -> Vec<EngineRow> {
    let has_engine = |r: &'_ Request| requested_model(r).is_some() && !r.upstream.is_empty();
    let by_engine = group_requests(&events.requests, |r| has_engine(r).then_some(&r.upstream));
    let total: u64 = by_engine.values().map(|r| to_u64(r.len())).sum();
    let engine_count = to_u64(by_engine.len());
    let rows = by_engine.into_iter().map(|(engine, requests)| {
        let orders = events.orders.iter().filter(|order| order.engine == *engine);
        let on_engine = residencies.iter().filter(|r| r.engine == *engine);
        EngineRow {
            engine: engine.clone(),
            requests: to_u64(requests.len()),
            of_mean_percent: percent_of(to_u64(requests.len()) * engine_count, total),
            orders: to_u64(orders.count()),
            stays_ms: on_engine.map(|r| r.to_ms - r.from_ms).sum(),
        }
    });
    rows.collect()
}

fn cause_rows(requests: &[Request]) -> Vec<CauseRow> {
    let unserved = group_requests(requests, |r| (!r.is_served()).then(|| r.cause()));
    let rows = unserved.into_iter().map(|(cause, requests)| {
        let mut routes: BTreeMap<String, u64> = BTreeMap::new();
        for request in &requests {
            *routes.entry(request.route.clone()).or_default() += 1;
        }
        CauseRow {
            cause: cause.to_owned(),
            requests: to_u64(requests.len()),
            routes,
        }
    });
    let mut rows: Vec<CauseRow> = rows.collect();
    rows.sort_by_key(|row| std::cmp::Reverse(row.requests));
    rows
}

/// Writes a table with a row for each group of requests, and an empty line.
fn write_table(f: &mut fmt::Formatter<'_>, title: &str, rows: &[Row]) -> fmt::Result {
    writeln!(
        f,
        "{title:<20} {:>7} {:>7} {:>7} {:>7} {:>13} {:>13}",
        "asked", "served", "refused", "waited", "wait ms", "first ms"
    )?;
    for row in rows {
        let pair = |times: [u64; 2]| format!("{}, {}", times[0], times[1]);
        writeln!(
            f,
            "{:<20} {:>7} {:>7} {:>7} {:>7} {:>13} {:>13}",
            row.name,
            row.asked,
            row.served,
            row.refused,
            row.waited,
            pair(row.wait_ms),
            pair(row.first_ms)
        )?;
    }
    writeln!(f)
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_table(f, "second", &self.windows)?;
        write_table(f, "route", &self.routes)?;
        let shown = self.models.len().min(MAX_MODELS_SHOWN);
        write_table(f, "model", &self.models[..shown])?;
        write_table(f, "cold starts", &self.cold_starts)?;
        writeln!(
            f,
            "{:<20} {:>7} {:>7} {:>7} {:>9}",
            "engine", "ended", "of mean", "orders", "stays s"
        )?;
        for row in &self.engines {
            writeln!(
                f,
                "{:<20} {:>7} {:>6}% {:>7} {:>9}",
                row.engine,
                row.requests,
                row.of_mean_percent,
                row.orders,
                row.stays_ms / 1_000
            )?;
        }
        writeln!(f, "\nnot served")?;
        for row in &self.causes {
            let routes = row.routes.iter();
            let routes: Vec<String> = routes.map(|(name, n)| format!("{name} {n}")).collect();
            writeln!(
                f,
                "{:>6} {} ({})",
                row.requests,
                row.cause,
                routes.join(", ")
            )?;
        }
        let [models, adapters] = self.orders;
        writeln!(
            f,
            "\n{models} orders of models, {adapters} of adapters; the right to order was taken {} times",
            self.holders
        )?;
        writeln!(
            f,
            "models stood {} s, {}% of it idle; {} log lines were dropped",
            self.stays_s, self.idle_percent, self.dropped_lines
        )
    }
}
