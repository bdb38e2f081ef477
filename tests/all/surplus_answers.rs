//! Second copies of answers, which arrive on a kept connection in the place of the next answer.

use crate::cluster::{self, Answer, fetch, list_plain, request, until};
use passway_instance::Instance;
use passway_platform::engine::{EngineControl, HttpEngineControl};
use passway_serving::ports::{EngineOrder, Engines, OrderAction, OrderAnswer};
use passway_serving::upstreams::ModelRef;
use passway_standins::platform::model_server::{EVENTS, event};
use passway_standins::platform::raw::{RawServer, Received, Step};
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;
use passway_users_platform::ServerControl;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// Time that a server works on a request, in which a copy that was sent before arrives alone.
const WORK: Duration = Duration::from_millis(30);
/// Longest time for a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Requests of each kind.
const REQUESTS: usize = 6;

/// What a server has done.
#[derive(Debug, Default)]
struct Record {
    /// Attempts at each request.
    attempts: BTreeMap<String, u32>,
    /// Runs of each request.
    runs: BTreeMap<String, u32>,
    /// Bytes that are sent on a connection before the next answer.
    owed: BTreeMap<usize, Vec<u8>>,
}

/// A server of a service, and an instance that uses it.
struct Site {
    _store: MetadataStandIn,
    _server: RawServer,
    instance: Instance,
    record: Arc<Mutex<Record>>,
}

/// A complete answer: a stream if the request names a model.
fn success(received: &Received, id: &str) -> Vec<u8> {
    let is_stream = received.header("model").is_some();
    let body = if is_stream {
        (1..=EVENTS).map(event).collect()
    } else {
        String::from_utf8_lossy(&received.body).into_owned()
    };
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\nContent-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

fn refusal(status: u16, id_header: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\n{id_header}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        .into_bytes()
}

impl Site {
    /// A server that does with each attempt at a request what `behave` says, given the number of
    /// attempts at it so far, and the steps of a run.
    fn start(
        service: &str,
        behave: impl Fn(&Received, u32, &mut Record) -> Vec<u8> + Send + Sync + 'static,
    ) -> Self {
        let record: Arc<Mutex<Record>> = Arc::default();
        let server_record = record.clone();
        let server = RawServer::start(move |received| {
            if received.request_line().starts_with("GET /report ") {
                let body = r#"{"models": [{"name": "m0", "version": 1, "adapters": []}]}"#;
                let length = body.len();
                let text = format!("HTTP/1.1 200 X\r\nContent-Length: {length}\r\n\r\n{body}");
                return vec![Step::Send(text.into_bytes())];
            }
            let id = received.header("request-id").unwrap_or_default().to_owned();
            let mut record = server_record.lock().expect("locking the record");
            let attempts = record.attempts.entry(id).or_default();
            *attempts += 1;
            let attempts = *attempts;
            let owed = record.owed.remove(&received.connection);
            let answer = behave(received, attempts, &mut record);
            let owed = owed.map(Step::Send);
            owed.into_iter()
                .chain([Step::Pause(WORK), Step::Send(answer)])
                .collect()
        });
        let store = cluster::store(&["m0"]);
        if service == "plain" {
            list_plain(&store, "i-0", server.address, "ready");
        } else {
            let entry = serde_json::json!({"service": service, "address": server.address.to_string(),
                "zone": "hall0", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                "models": [{"name": "m0", "version": 1, "adapters": []}], "sequence": 1});
            store.put("servers/i-0", &entry);
        }
        let instance = cluster::start_ready("one", &store);
        until("a repeat to spend", || instance.has_spare_retry(service));
        Self {
            _store: store,
            _server: server,
            instance,
            record,
        }
    }

    fn call(&self, route: &str, id: &str, body: &str) -> Answer {
        let model = match route {
            "chat" | "report" => "Model: m0\r\n",
            _ => "",
        };
        let bytes = request("POST", &format!("/{route}/"), id, model, body);
        fetch(self.instance.callers_address(), &bytes).expect("an answer")
    }

    fn runs(&self, id: &str) -> u32 {
        let record = self.record.lock().expect("locking the record");
        record.runs.get(id).copied().unwrap_or(0)
    }
}

fn run(received: &Received, record: &mut Record) -> Vec<u8> {
    let id = received.header("request-id").unwrap_or_default();
    *record.runs.entry(id.to_owned()).or_default() += 1;
    success(received, id)
}

/// Requests of which the server refuses the first attempt, twice, and runs each later one.
fn check_refused_twice(service: &str, route: &str, status: u16) {
    let site = Site::start(service, move |received, attempts, record| {
        if attempts > 1 {
            return run(received, record);
        }
        let id = received.header("request-id").unwrap_or_default();
        let refusal = refusal(status, &format!("Request-Id: {id}\r\n"));
        record.owed.insert(received.connection, refusal.clone());
        refusal
    });
    for number in 0..REQUESTS {
        let id = format!("{route}{number}");
        let answer = site.call(route, &id, "x");
        let seen = (answer.status, answer.is_complete, site.runs(&id));
        assert_eq!(seen, (200, true, 1), "{id}, refused with {status}");
    }
}

/// Guards against a request that runs twice because the copy of a refusal of its first attempt counts
/// as the answer to the second.
#[test]
fn refusal_copy_repeats_nothing() {
    for status in [503, 429, 421] {
        for route in ["pay", "read"] {
            check_refused_twice("plain", route, status);
        }
    }
}

/// The same for streams; with 421 an engine is not tried again.
#[test]
fn refusal_copy_repeats_no_stream() {
    for status in [503, 429] {
        for route in ["chat", "report"] {
            check_refused_twice("engines", route, status);
        }
    }
}

/// Guards against an answer to an earlier request that counts as that to a later one, because the
/// caller has given both the same id.
#[test]
fn callers_repeat_ids() {
    let site = Site::start("plain", |received, _, record| {
        let answer = run(received, record);
        record.owed.insert(received.connection, answer.clone());
        answer
    });
    for body in ["first", "second", "third"] {
        let answer = site.call("read", "same", body);
        assert_eq!((answer.status, &*answer.body), (200, body));
    }
}

/// Guards against a request that runs twice because a refusal without an id, which may belong to any
/// request of its connection, counts as its own.
#[test]
fn unnamed_refusal_permits_nothing() {
    let site = Site::start("plain", |received, _, record| {
        let answer = run(received, record);
        record.owed.insert(received.connection, refusal(503, ""));
        answer
    });
    assert_eq!(site.call("pay", "first", "x").status, 200);
    assert_eq!(site.call("pay", "second", "x").status, 502);
    assert_eq!(site.runs("second"), 1);
}

/// A server that sends each answer once more in the place of the next one on the connection. The
/// reports number themselves, orders are taken and refused in turn, and the server has another id for
/// each question.
fn repeating_engine() -> RawServer {
    let owed: Mutex<BTreeMap<usize, Vec<u8>>> = Mutex::default();
    RawServer::start(move |received| {
        let number = received.number;
        let status = match received.request_line() {
            line if line.starts_with("POST /order ") => 202 + 207 * (number % 2),
            _ => 200,
        };
        let body = format!(
            r#"{{"models": [], "sequence": {number}, "boot": {number}, "loaded": [], "cached": [],
                "leaving": false}}"#
        );
        let length = body.len();
        let answer = format!(
            "HTTP/1.1 {status} X\r\nInstance-Id: i-{number}\r\nContent-Length: {length}\r\n\r\n{body}"
        )
        .into_bytes();
        let mut owed = owed.lock().expect("locking the copies");
        let copy = owed.insert(received.connection, answer.clone());
        let copy = copy.map(Step::Send);
        copy.into_iter()
            .chain([Step::Pause(WORK), Step::Send(answer)])
            .collect()
    })
}

/// An order to load a model.
pub fn load_order() -> EngineOrder {
    EngineOrder {
        action: OrderAction::Load,
        model_ref: ModelRef {
            model: "m0".into(),
            adapter: None,
        },
        expected_orders: 0,
        upstream: "i-0".into(),
        holder: "one".into(),
        fence: 1,
    }
}

/// Guards against the copy of an earlier report, health check or answer to an order that counts as the
/// answer to a later one: a start that has ended would count as running.
#[test]
fn control_copies_answer_nothing() {
    let server = repeating_engine();
    let control = ServerControl::default();
    let order = load_order();
    for round in 0..3 {
        let number = 3 * round;
        let report = control.report(&"i-0".into(), server.address).answer;
        let orders_taken = report.expect("a report").orders_taken;
        assert_eq!(orders_taken, number, "of a report");
        let id = control.identify(server.address, Some("/health"), None);
        let id = id.map(|identity| identity.upstream);
        assert_eq!(id.as_deref(), Some(&*format!("i-{}", number + 1)));
        let answer = control.order(server.address, &order).answer;
        let expected = if round % 2 == 0 {
            OrderAnswer::Taken
        } else {
            OrderAnswer::Conflict
        };
        assert_eq!(answer, expected, "to an order");
    }
}

/// The same for the status of an engine of the product's own protocol: a controller would plan by what
/// the engine held before.
#[test]
fn status_copy_answers_nothing() {
    let server = repeating_engine();
    let control = HttpEngineControl::new(CALL_TIMEOUT, CALL_TIMEOUT);
    for number in 0..3 {
        let status = control.status(server.address).expect("a status");
        assert_eq!(status.boot, number);
    }
}
