//! The report: typed rows, printed as tables or JSON.

use super::events::{Events, Request};
use super::residency::{self, Residency};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// A request that was offered later than this had to wait for a place or a free engine.
const MIN_WAIT_MS: u64 = 20;
/// A model that gets this part of all requests for models, or more, counts as busy.
const BUSY_MODEL_DIVISOR: u64 = 20;
/// Models in the table.
const MAX_MODELS_SHOWN: usize = 12;

/// Counts and times of a set of requests.
#[derive(Debug, Default, Clone, Serialize)]
pub struct Row {
    /// What they have in common.
    pub name: String,
    /// Requests that ended.
    pub asked: u64,
    /// Those whose caller got a whole success.
    pub served: u64,
    /// Those refused as not run.
    pub refused: u64,
    /// Those that had to wait for a place.
    pub waited: u64,
    /// Median and 99th percentile of the wait of those, in milliseconds.
    pub wait_ms: [u64; 2],
    /// Median and 99th percentile of the time to the first bytes, in milliseconds.
    pub first_ms: [u64; 2],
}

/// An engine's load.
#[derive(Debug, Clone, Serialize)]
pub struct EngineRow {
    /// The engine.
    pub engine: String,
    /// Requests for models that ended there.
    pub requests: u64,
    /// The same against the mean of all engines, in hundredths.
    pub of_mean_percent: u64,
    /// Loads and unloads of models that it took.
    pub orders: u64,
    /// Model stays there, in milliseconds over all of them.
    pub stays_ms: u64,
}

/// Requests that were not served for one reason.
#[derive(Debug, Clone, Serialize)]
pub struct CauseRow {
    /// The reason.
    pub cause: String,
    /// How many.
    pub requests: u64,
    /// The routes they came by, with counts.
    pub routes: BTreeMap<String, u64>,
}

/// What logs tell of a time.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Rows by time; the name is the seconds since the first request.
    pub windows: Vec<Row>,
    /// Rows by route.
    pub routes: Vec<Row>,
    /// Rows by model, the busiest first.
    pub models: Vec<Row>,
    /// Cold starts: requests that waited for a place, of busy and of rare models.
    pub cold_starts: Vec<Row>,
    /// Engines by name.
    pub engines: Vec<EngineRow>,
    /// Why requests were not served.
    pub causes: Vec<CauseRow>,
    /// Part of all model stays in which nothing ran, in hundredths.
    pub idle_percent: u64,
    /// Model stays in accelerator seconds, each counted for its model alone.
    pub stays_s: u64,
    /// Orders of models, and of adapters.
    pub orders: [u64; 2],
    /// Times that the right to order changed hands.
    pub holders: usize,
    /// Log lines that instances dropped.
    pub dropped_lines: u64,
}

/// A percentile of numbers in rising order.
fn percentile(sorted: &[u64], hundredths: usize) -> u64 {
    let index = (sorted.len() * hundredths / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or(0)
}

fn count(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}

fn percent_of(part: u64, whole: u64) -> u64 {
    (part * 100).checked_div(whole).unwrap_or(0)
}

impl Row {
    fn of<'a>(name: String, requests: impl Iterator<Item = &'a Request>) -> Self {
        let mut row = Self {
            name,
            ..Self::default()
        };
        let (mut waits, mut firsts) = (Vec::new(), Vec::new());
        for request in requests {
            row.asked += 1;
            row.served += u64::from(request.is_served());
            row.refused += u64::from(request.status == 503);
            // One that was never offered has waited until its end.
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
        row.waited = count(waits.len());
        row.wait_ms = [percentile(&waits, 50), percentile(&waits, 99)];
        row.first_ms = [percentile(&firsts, 50), percentile(&firsts, 99)];
        row
    }
}

/// Requests by something that they have in common.
fn grouped<'a, K: Ord>(
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

fn model_of(request: &Request) -> Option<&str> {
    Some(request.model.as_str()).filter(|model| !model.is_empty())
}

impl Report {
    /// The report on events, by windows of so many milliseconds.
    pub(super) fn of(events: &Events, window_ms: u64) -> Self {
        let requests = &events.requests;
        let begin_ms = events.start_ms();
        let windows = grouped(requests, |r| Some((r.arrived_ms - begin_ms) / window_ms));
        let windows = windows.into_iter().map(|(number, requests)| {
            let from_s = number * window_ms / 1_000;
            Row::of(from_s.to_string(), requests.into_iter())
        });
        let routes = grouped(requests, |r| Some(r.route.as_str())).into_iter();
        let by_model = grouped(requests, model_of);
        let busiest = by_model.values().map(|r| count(r.len())).sum::<u64>() / BUSY_MODEL_DIVISOR;
        let is_busy = |model: &str| {
            by_model
                .get(model)
                .is_some_and(|r| count(r.len()) > busiest)
        };
        let cold = |name: &str, busy: bool| {
            let of_models = requests.iter().filter(|r| model_of(r).is_some());
            let of_kind = of_models.filter(|r| is_busy(&r.model) == busy);
            Row::of(name.to_owned(), of_kind)
        };
        let cold_starts = vec![cold("busy models", true), cold("rare models", false)];
        let models = by_model.iter();
        let rows = models.map(|(name, r)| Row::of((*name).to_owned(), r.iter().copied()));
        let mut models: Vec<Row> = rows.collect();
        models.sort_by_key(|row| std::cmp::Reverse(row.asked));
        let stays = residency::residencies(events);
        let stays_ms: u64 = stays.iter().map(|stay| stay.to_ms - stay.from_ms).sum();
        let idle_ms = stays.iter().map(|stay| stay.idle_ms).sum();
        Self {
            windows: windows.collect(),
            routes: routes
                .map(|(name, r)| Row::of(name.to_owned(), r.into_iter()))
                .collect(),
            models,
            cold_starts,
            engines: engines(events, &stays),
            causes: causes(requests),
            idle_percent: percent_of(idle_ms, stays_ms),
            stays_s: stays_ms / 1_000,
            orders: [count(events.orders.len()), count(events.adapter_orders)],
            holders: events.leadership_starts_ms.len(),
            dropped_lines: events.dropped_lines,
        }
    }
}

fn engines(events: &Events, stays: &[Residency]) -> Vec<EngineRow> {
    let of_models = |r: &'_ Request| model_of(r).is_some() && !r.upstream.is_empty();
    let by_engine = grouped(&events.requests, |r| of_models(r).then_some(&r.upstream));
    let all: u64 = by_engine.values().map(|r| count(r.len())).sum();
    let engines = count(by_engine.len());
    let rows = by_engine.into_iter().map(|(engine, requests)| {
        let orders = events.orders.iter().filter(|o| o.engine == *engine);
        let here = stays.iter().filter(|stay| stay.engine == *engine);
        EngineRow {
            engine: engine.clone(),
            requests: count(requests.len()),
            of_mean_percent: percent_of(count(requests.len()) * engines, all),
            orders: count(orders.count()),
            stays_ms: here.map(|stay| stay.to_ms - stay.from_ms).sum(),
        }
    });
    rows.collect()
}

fn causes(requests: &[Request]) -> Vec<CauseRow> {
    let unserved = grouped(requests, |r| (!r.is_served()).then(|| r.cause()));
    let rows = unserved.into_iter().map(|(cause, requests)| {
        let mut routes: BTreeMap<String, u64> = BTreeMap::new();
        for request in &requests {
            *routes.entry(request.route.clone()).or_default() += 1;
        }
        CauseRow {
            cause: cause.to_owned(),
            requests: count(requests.len()),
            routes,
        }
    });
    let mut rows: Vec<CauseRow> = rows.collect();
    rows.sort_by_key(|row| std::cmp::Reverse(row.requests));
    rows
}

fn table(f: &mut fmt::Formatter<'_>, title: &str, rows: &[Row]) -> fmt::Result {
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
        table(f, "second", &self.windows)?;
        table(f, "route", &self.routes)?;
        let shown = self.models.len().min(MAX_MODELS_SHOWN);
        table(f, "model", &self.models[..shown])?;
        table(f, "cold starts", &self.cold_starts)?;
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
