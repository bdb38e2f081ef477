//! Requests and model orders, parsed from log lines.

use crate::commands::log_line::LogLine;

/// A request that has ended.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub(super) arrived_ms: u64,
    pub(super) ended_ms: u64,
    pub(super) route: String,
    /// Empty for requests to services without models.
    pub(super) model: String,
    /// Empty if the request was not offered to any upstream.
    pub(super) upstream: String,
    pub(super) status: u64,
    /// How often the request was offered to an upstream.
    pub(super) offers: u64,
    /// Number of failed attempts in which an upstream may have run the request.
    pub(super) runs: u64,
    pub(super) end: String,
    /// Time from arrival until the request was first offered to an upstream.
    pub(super) waited_ms: u64,
    /// Time from arrival until the first bytes of the answer; 0 without an answer.
    pub(super) first_ms: u64,
}

impl Request {
    /// Returns whether the caller received a complete answer with a success status.
    pub(super) fn is_served(&self) -> bool {
        self.end == "answered" && (200..300).contains(&self.status)
    }

    /// Returns why the request was not served; meaningless for served ones.
    pub(super) fn cause(&self) -> &'static str {
        match (self.end.as_str(), self.status, self.offers, self.runs) {
            ("caller gone", ..) => "the caller left",
            ("stream broken off", ..) => "the stream broke off",
            ("answered", ..) => "the upstream failed",
            ("refused at the stop" | "stream cut by the stop", ..) => "the instance stopped",
            ("refused, it cannot begin in time", ..) => "it could not begin in time",
            (_, 503, 0, _) => "no upstream had what it needs in time",
            (_, 503, ..) => "upstreams were full or had lost the model",
            (_, 504, ..) => "its time ended at an upstream",
            (_, 502, ..) => "the answer was lost",
            _ => "other",
        }
    }
}

/// An order to load or unload a model that an engine accepted.
#[derive(Debug, Clone)]
pub(super) struct Order {
    pub(super) at_ms: u64,
    pub(super) engine: String,
    pub(super) model: String,
    pub(super) is_load: bool,
}

/// Events of all logs, in time order.
#[derive(Debug, Default)]
pub(super) struct Events {
    pub(super) requests: Vec<Request>,
    pub(super) orders: Vec<Order>,
    /// Number of accepted orders for adapters.
    pub(super) adapter_orders: usize,
    /// Times at which an instance acquired the leadership, i.e. the right to send orders to
    /// engines.
    pub(super) leadership_starts_ms: Vec<u64>,
    /// Number of log lines that instances dropped.
    pub(super) dropped_lines: u64,
}

impl Events {
    /// Parses logs; lines without a JSON object are ignored.
    pub(super) fn parse(text: &str) -> Self {
        let mut events = Self::default();
        for line in text.lines().filter_map(LogLine::parse) {
            events.add(&line);
        }
        events.requests.sort_by_key(|request| request.arrived_ms);
        events.orders.sort_by_key(|order| order.at_ms);
        events
    }

    fn add(&mut self, line: &LogLine) {
        match line.text("message") {
            "request ended" => self.requests.extend(parse_request(line)),
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

    /// Returns the arrival time of the first request; 0 without requests.
    pub(super) fn start_ms(&self) -> u64 {
        let first = self.requests.first();
        first.map_or(0, |request| request.arrived_ms)
    }

    /// Returns the time at which the last request ended; 0 without requests.
    pub(super) fn end_ms(&self) -> u64 {
        let ends = self.requests.iter().map(|request| request.ended_ms);
        ends.max().unwrap_or(0)
    }
}

/// Parses a line about the end of a request; `None` if the request was refused before its route was
/// known.
fn parse_request(line: &LogLine) -> Option<Request> {
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
