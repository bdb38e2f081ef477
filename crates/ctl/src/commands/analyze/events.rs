//! Requests and model orders as the lines of logs tell them.

use crate::commands::log_line::LogLine;

/// A request that has ended.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub(super) arrived_ms: u64,
    pub(super) ended_ms: u64,
    pub(super) route: String,
    /// Empty for plain services.
    pub(super) model: String,
    /// Empty if it was offered to none.
    pub(super) upstream: String,
    pub(super) status: u64,
    pub(super) offers: u64,
    pub(super) runs: u64,
    pub(super) end: String,
    /// Time until it was offered first.
    pub(super) waited_ms: u64,
    /// Time until the first bytes of its answer; 0 if there were none.
    pub(super) first_ms: u64,
}

impl Request {
    /// Whether its caller got a success, whole.
    pub(super) fn is_served(&self) -> bool {
        self.end == "answered" && (200..300).contains(&self.status)
    }

    /// Why it was not served.
    pub(super) fn cause(&self) -> &'static str {
        match (self.end.as_str(), self.status, self.offers, self.runs) {
            ("caller gone", ..) => "the caller left",
            ("stream broken off", ..) => "the stream broke off",
            ("answered", ..) => "the upstream failed",
            ("refused at the stop" | "stream cut by the stop", ..) => "the instance stopped",
            (_, 503, 0, _) => "no upstream had what it needs in time",
            (_, 503, ..) => "upstreams were full or had lost the model",
            (_, 504, ..) => "its time ended at an upstream",
            (_, 502, ..) => "the answer was lost",
            _ => "other",
        }
    }
}

/// An order of a model that an engine took.
#[derive(Debug, Clone)]
pub(super) struct Order {
    pub(super) at_ms: u64,
    pub(super) engine: String,
    pub(super) model: String,
    pub(super) is_load: bool,
}

/// What logs tell, in the order of time.
#[derive(Debug, Default)]
pub(super) struct Events {
    pub(super) requests: Vec<Request>,
    pub(super) orders: Vec<Order>,
    /// Orders of adapters that were taken.
    pub(super) adapter_orders: usize,
    /// When instances took the right to order.
    pub(super) leadership_starts_ms: Vec<u64>,
    /// Log lines that instances dropped.
    pub(super) dropped_lines: u64,
}

impl Events {
    /// Reads logs, of which some lines may be no JSON.
    pub(super) fn read(text: &str) -> Self {
        let mut events = Self::default();
        for line in text.lines().filter_map(LogLine::parse) {
            events.take(&line);
        }
        events.requests.sort_by_key(|request| request.arrived_ms);
        events.orders.sort_by_key(|order| order.at_ms);
        events
    }

    fn take(&mut self, line: &LogLine) {
        match line.text("message") {
            "request ended" => self.requests.extend(request(line)),
            "order" if line.text("answer") == "Taken" => {
                if !matches!(line.text("adapter"), "" | "None") {
                    self.adapter_orders += 1;
                    return;
                }
                self.orders.push(Order {
                    at_ms: line.at_ms,
                    engine: line.text("engine").to_owned(),
                    model: line.text("model").to_owned(),
                    is_load: line.text("action") == "Load",
                });
            }
            "holds the right to order" => self.leadership_starts_ms.push(line.at_ms),
            "log lines were dropped" => self.dropped_lines += line.number("dropped"),
            _ => {}
        }
    }

    /// The first moment that anything is told of.
    pub(super) fn start_ms(&self) -> u64 {
        let first = self.requests.first();
        first.map_or(0, |request| request.arrived_ms)
    }

    /// The last such moment.
    pub(super) fn end_ms(&self) -> u64 {
        let ends = self.requests.iter().map(|request| request.ended_ms);
        ends.max().unwrap_or(0)
    }
}

/// A request's end; `None` for one that was refused before its route was known.
fn request(line: &LogLine) -> Option<Request> {
    let route = line.text("route");
    (!route.is_empty()).then(|| Request {
        arrived_ms: line.at_ms.saturating_sub(line.number("took_ms")),
        ended_ms: line.at_ms,
        route: route.to_owned(),
        model: line.text("model").to_owned(),
        upstream: line.text("upstream").to_owned(),
        status: line.number("status"),
        offers: line.number("offers"),
        runs: line.number("runs"),
        end: line.text("end").to_owned(),
        waited_ms: line.number("waited_ms"),
        first_ms: line.number("first_ms"),
    })
}
