//! Upstreams that refuse a request and ask the instance to back off get nothing from this instance
//! during the backoff.

use crate::cluster::{self, Answer, fetch, list_plain, request, stream, until};
use crate::signalling::{SignallingAnswer, SignallingServer};
use passway_instance::Instance;
use passway_serving::upstreams::{UpstreamEntry, UpstreamTable};
use passway_standins::platform::model_server::{Faults, ModelServer};
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;

fn backoff_signal(seconds: f64) -> SignallingAnswer {
    SignallingAnswer::with_line(503, format!("Retry-After: {seconds}"))
}

const BACKOFF: Duration = Duration::from_secs(2);
/// Time for requests that are in flight when an upstream asks for a backoff.
const IN_FLIGHT_ALLOWANCE: Duration = Duration::from_millis(500);

/// Guards against offers during a backoff: a request reached an engine three and four times, 100 ms
/// apart, although the engine's first answer had asked for a backoff of seconds.
#[test]
fn nothing_within_rest() {
    for path in ["/read/", "/pay/"] {
        let server = SignallingServer::start();
        let store = cluster::store(&[]);
        list_plain(&store, "i-0", server.address(), "ready");
        let instance = cluster::start_ready("one", &store);
        server.set_answer(backoff_signal(BACKOFF.as_secs_f64()));
        let address = instance.callers_address();
        let callers = (0..6).map(|number| {
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(250 * number));
                let bytes = request("GET", path, &format!("id{number}"), "", "");
                fetch(address, &bytes).expect("an answer").status
            })
        });
        let callers: Vec<_> = callers.collect();
        while server.count() == 0 {
            std::thread::sleep(Duration::from_millis(5));
        }
        server.set_answer(SignallingAnswer::plain());
        for caller in callers {
            let status = caller.join().expect("a caller");
            assert!([200, 503].contains(&status));
        }
        let arrivals = server.arrivals();
        let backoff = arrivals[0] + IN_FLIGHT_ALLOWANCE..arrivals[0] + BACKOFF;
        let arrivals_within = arrivals.iter().filter(|at| backoff.contains(at)).count();
        assert_eq!(arrivals_within, 0, "{path}");
    }
}

/// An instance before servers that are all ready.
fn start_with_servers(servers: &[&SignallingServer]) -> (MetadataStandIn, Instance) {
    let store = cluster::store(&[]);
    for (number, server) in servers.iter().enumerate() {
        list_plain(&store, &format!("i-{number}"), server.address(), "ready");
    }
    let instance = start(&store);
    (store, instance)
}

/// An instance with a practically unlimited retry budget.
fn start(store: &MetadataStandIn) -> Instance {
    let mut settings = cluster::settings("one", store.serve());
    settings.bounds.retry.ratio = 100.0;
    let instance = cluster::start_with(settings);
    until("readiness", || instance.is_ready());
    instance
}

fn get(instance: &Instance, id: &str) -> Answer {
    let bytes = request("GET", "/read/", id, "", "");
    fetch(instance.callers_address(), &bytes).expect("an answer")
}

/// Without another upstream and with a backoff longer than the request may wait, the caller is
/// refused at once with a `Retry-After`, without attempts at the upstream.
#[test]
fn refused_at_once() {
    let server = SignallingServer::start();
    let (_store, instance) = start_with_servers(&[&server]);
    server.set_answer(backoff_signal(30.0));
    for number in 0..5 {
        let answer = get(&instance, &format!("id{number}"));
        assert_eq!(answer.status, 503);
        let retry_after_s = answer.header("retry-after").map(str::parse::<f64>);
        let retry_after_s = retry_after_s.expect("a Retry-After").expect("seconds");
        assert!((20.0..=30.6).contains(&retry_after_s), "{retry_after_s}");
    }
    assert_eq!(server.count(), 1);
}

/// If the backoff ends while the caller waits, the request is served.
#[test]
fn served_after_backoff() {
    let server = SignallingServer::start();
    let (_store, instance) = start_with_servers(&[&server]);
    server.set_answer(backoff_signal(0.6));
    let address = instance.callers_address();
    let waiting = std::thread::spawn(move || {
        let bytes = request("GET", "/read/", "first", "", "");
        fetch(address, &bytes).expect("an answer").status
    });
    until("the refusal", || server.count() == 1);
    server.set_answer(SignallingAnswer::plain());
    assert_eq!(waiting.join().expect("a caller"), 200);
    let arrivals = server.arrivals();
    assert!(arrivals[1] - arrivals[0] >= Duration::from_millis(600));
    assert_eq!(arrivals.len(), 2);
}

/// Other upstreams serve the requests meanwhile. The backoff does not count as a failure:
/// afterwards the upstream gets its share again.
#[test]
fn others_take_over() {
    let (backing_off, other) = (SignallingServer::start(), SignallingServer::start());
    let (_store, instance) = start_with_servers(&[&backing_off, &other]);
    backing_off.set_answer(backoff_signal(BACKOFF.as_secs_f64()));
    let started_at = Instant::now();
    let mut ids = 0..;
    until("the refusal", || {
        let id = format!("id{:?}", ids.next());
        assert_eq!(get(&instance, &id).status, 200);
        backing_off.count() == 1
    });
    backing_off.set_answer(SignallingAnswer::plain());
    while started_at.elapsed() < BACKOFF.saturating_sub(IN_FLIGHT_ALLOWANCE) {
        let id = format!("id{:?}", ids.next());
        assert_eq!(get(&instance, &id).status, 200);
    }
    assert_eq!(backing_off.count(), 1);
    until("the upstream's share of requests", || {
        let id = format!("id{:?}", ids.next());
        assert_eq!(get(&instance, &id).status, 200);
        backing_off.count() > 20
    });
}

/// Of several backoffs the longest applies. A shorter one received later does not end it, and
/// neither does an answer to a request sent before the backoff.
#[test]
fn longest_backoff_applies() {
    let started_at = passway_types::clock::now();
    let at = |ms| started_at + Duration::from_millis(ms);
    let mut table = table(started_at);
    let is_admitted = |table: &mut UpstreamTable, ms| table.try_admit("i-0", 0, at(ms));
    table.record_backoff(&"i-0".into(), at(3_000));
    table.record_backoff(&"i-0".into(), at(1_000));
    table.record_no_backoff("i-0", at(2_999));
    assert!(!is_admitted(&mut table, 2_999));
    // Afterwards one request at a time, until an answer shows that the upstream accepts requests.
    assert!(is_admitted(&mut table, 3_000));
    assert!(!is_admitted(&mut table, 3_001));
    assert!(!is_admitted(&mut table, 3_249));
    assert!(is_admitted(&mut table, 3_250));
    table.record_no_backoff("i-0", at(3_250));
    assert!(is_admitted(&mut table, 3_251) && is_admitted(&mut table, 3_251));
    // A backoff belongs to one start of the upstream.
    table.record_backoff(&"i-0".into(), at(9_000));
    table.update(plain("i-0", 5), at(3_300));
    assert!(table.try_admit("i-0", 5, at(3_300)));
}

fn plain(id: &str, started_at_ms: u64) -> UpstreamEntry {
    UpstreamEntry {
        started_at_ms,
        ..crate::test_planner::entry(id, 1, &[])
    }
}

fn table(now: Instant) -> UpstreamTable {
    let mut table = UpstreamTable::new("hall0".into());
    table.update(plain("i-0", 0), now);
    table
}

/// Ten requests wait for the end of a backoff, and the upstream asks for another one: only one
/// request reaches it.
#[test]
fn one_at_a_time_after_backoff() {
    let server = SignallingServer::start();
    let (_store, instance) = start_with_servers(&[&server]);
    server.set_answer(backoff_signal(0.7));
    let address = instance.callers_address();
    let callers = (0..10).map(|number| {
        std::thread::spawn(move || {
            let bytes = request("GET", "/read/", &format!("id{number}"), "", "");
            fetch(address, &bytes).expect("an answer").status
        })
    });
    let callers: Vec<_> = callers.collect();
    until("the second backoff", || {
        let arrivals = server.arrivals();
        arrivals
            .last()
            .is_some_and(|last| *last - arrivals[0] >= Duration::from_millis(700))
    });
    std::thread::sleep(Duration::from_millis(100));
    let arrivals = server.arrivals();
    let backoff_end = arrivals[0] + Duration::from_millis(700);
    assert_eq!(arrivals.iter().filter(|at| **at >= backoff_end).count(), 1);
    server.set_answer(SignallingAnswer::plain());
    for caller in callers {
        assert_eq!(caller.join().expect("a caller"), 200);
    }
}

/// An engine gets neither orders nor queries from an instance that it asked to back off.
#[test]
fn no_orders_within_rest() {
    let store = cluster::store(&["m0", "m1", "m2"]);
    let engine = ModelServer::start(&store, "i-0", "engines", 2, &["m0"], &["m1", "m2"]);
    let instance = start(&store);
    until("the leadership", || instance.fence().is_some());
    until("the first query", || !engine.control_calls_at().is_empty());
    let backoff = Duration::from_millis(900);
    engine.set_faults(Faults {
        backoff_s: Some(backoff.as_secs_f64()),
        ..Faults::default()
    });
    let address = instance.callers_address();
    let request_model = |model: &'static str| {
        std::thread::spawn(move || stream(address, "chat", model, model).status)
    };
    let first = request_model("m0");
    until("the refusal", || !engine.arrivals().is_empty());
    engine.set_faults(Faults::default());
    let refused_at = engine.arrivals()[0].arrived_at;
    let other_callers = [request_model("m1"), request_model("m2")];
    assert_eq!(first.join().expect("a caller"), 200);
    for other in other_callers {
        assert_eq!(other.join().expect("a caller"), 200);
    }
    let in_flight_allowance = Duration::from_millis(100);
    let is_within_backoff =
        |at: &Instant| *at > refused_at + in_flight_allowance && *at < refused_at + backoff;
    let queried_at = engine.control_calls_at();
    assert_eq!(
        queried_at.iter().filter(|at| is_within_backoff(at)).count(),
        0
    );
    assert_eq!(
        engine
            .executed_at()
            .iter()
            .filter(|at| is_within_backoff(at))
            .count(),
        0
    );
}
