//! Upstreams that turn an instance away and ask it for rest get nothing from it meanwhile.

use crate::saying::{Saying, SayingServer};
use crate::site::{self, Answer, ask, list_plain, request, stream, until};
use passway_instance::Instance;
use passway_serving::upstreams::{UpstreamEntry, UpstreamTable};
use passway_standins::platform::model_server::{Faults, ModelServer};
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;

fn rests(time_s: f64) -> Saying {
    Saying::line(503, format!("Retry-After: {time_s}"))
}

const REST: Duration = Duration::from_secs(2);
/// What is on its way when an upstream asks for rest.
const ON_ITS_WAY: Duration = Duration::from_millis(500);

/// One request reached an engine three and four times, 100 ms apart, although its first answer had asked for
/// seconds of rest; another request did the same.
#[test]
fn nothing_within_rest() {
    for path in ["/read/", "/pay/"] {
        let server = SayingServer::start();
        let store = site::store(&[]);
        list_plain(&store, "i-0", server.address(), "ready");
        let instance = site::ready("one", &store);
        server.says(rests(REST.as_secs_f64()));
        let address = instance.callers_address();
        let callers = (0..6).map(|number| {
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(250 * number));
                let bytes = request("GET", path, &format!("id{number}"), "", "");
                ask(address, &bytes).expect("an answer").status
            })
        });
        let callers: Vec<_> = callers.collect();
        while server.count() == 0 {
            std::thread::sleep(Duration::from_millis(5));
        }
        server.says(Saying::nothing());
        for caller in callers {
            let status = caller.join().expect("a caller");
            assert!([200, 503].contains(&status));
        }
        let arrivals = server.arrivals();
        let rest = arrivals[0] + ON_ITS_WAY..arrivals[0] + REST;
        let within = arrivals.iter().filter(|at| rest.contains(at)).count();
        assert_eq!(within, 0, "{path}");
    }
}

/// An instance before servers that are all ready.
fn before(servers: &[&SayingServer]) -> (MetadataStandIn, Instance) {
    let store = site::store(&[]);
    for (number, server) in servers.iter().enumerate() {
        list_plain(&store, &format!("i-{number}"), server.address(), "ready");
    }
    let instance = start(&store);
    (store, instance)
}

/// An instance whose requests may be offered again as often as they like.
fn start(store: &MetadataStandIn) -> Instance {
    let mut settings = site::settings("one", store.serve());
    settings.bounds.retry.ratio = 100.0;
    let instance = site::start_with(settings);
    until("readiness", || instance.is_ready());
    instance
}

fn get(instance: &Instance, id: &str) -> Answer {
    let bytes = request("GET", "/read/", id, "", "");
    ask(instance.callers_address(), &bytes).expect("an answer")
}

/// Nobody else serves and the rest ends after all patience: the caller hears at once when it does, not after
/// offers to who wants none.
#[test]
fn refused_at_once() {
    let server = SayingServer::start();
    let (_store, instance) = before(&[&server]);
    server.says(rests(30.0));
    for number in 0..5 {
        let answer = get(&instance, &format!("id{number}"));
        assert_eq!(answer.status, 503);
        let told_s = answer.header("retry-after").map(str::parse::<f64>);
        let told_s = told_s.expect("when to come back").expect("seconds");
        assert!((20.0..=30.6).contains(&told_s), "{told_s}");
    }
    assert_eq!(server.count(), 1);
}

/// The rest ends while the caller waits, and then it is served.
#[test]
fn served_after_rest() {
    let server = SayingServer::start();
    let (_store, instance) = before(&[&server]);
    server.says(rests(0.6));
    let address = instance.callers_address();
    let waiting = std::thread::spawn(move || {
        let bytes = request("GET", "/read/", "first", "", "");
        ask(address, &bytes).expect("an answer").status
    });
    until("the refusal", || server.count() == 1);
    server.says(Saying::nothing());
    assert_eq!(waiting.join().expect("a caller"), 200);
    let arrivals = server.arrivals();
    assert!(arrivals[1] - arrivals[0] >= Duration::from_millis(600));
    assert_eq!(arrivals.len(), 2);
}

/// Others carry what one does not want, which is not taken for a failing one: it gets its part again once
/// its rest is over.
#[test]
fn others_carry() {
    let (resting, other) = (SayingServer::start(), SayingServer::start());
    let (_store, instance) = before(&[&resting, &other]);
    resting.says(rests(REST.as_secs_f64()));
    let begun_at = Instant::now();
    let mut ids = 0..;
    until("the refusal", || {
        let id = format!("id{:?}", ids.next());
        assert_eq!(get(&instance, &id).status, 200);
        resting.count() == 1
    });
    resting.says(Saying::nothing());
    while begun_at.elapsed() < REST.saturating_sub(ON_ITS_WAY) {
        let id = format!("id{:?}", ids.next());
        assert_eq!(get(&instance, &id).status, 200);
    }
    assert_eq!(resting.count(), 1);
    until("its part", || {
        let id = format!("id{:?}", ids.next());
        assert_eq!(get(&instance, &id).status, 200);
        resting.count() > 20
    });
}

/// The last of several rests counts, a shorter one that is told later ends none, and what was sent before a
/// rest says nothing of its end.
#[test]
fn longest_rest_counts() {
    let begun_at = passway_types::clock::now();
    let at = |ms| begun_at + Duration::from_millis(ms);
    let mut table = table(begun_at);
    let wants = |table: &mut UpstreamTable, ms| table.let_through("i-0", 0, at(ms));
    table.note_rest(&"i-0".into(), at(3_000));
    table.note_rest(&"i-0".into(), at(1_000));
    table.note_no_rest("i-0", at(2_999));
    assert!(!wants(&mut table, 2_999));
    // Then one at a time, until an answer shows that it takes them again.
    assert!(wants(&mut table, 3_000));
    assert!(!wants(&mut table, 3_001));
    assert!(!wants(&mut table, 3_249));
    assert!(wants(&mut table, 3_250));
    table.note_no_rest("i-0", at(3_250));
    assert!(wants(&mut table, 3_251) && wants(&mut table, 3_251));
    // It belongs to a start.
    table.note_rest(&"i-0".into(), at(9_000));
    table.update(plain("i-0", 5), at(3_300));
    assert!(table.let_through("i-0", 5, at(3_300)));
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

/// Ten requests have waited for the end of a rest, and the upstream asks for another one: they do not all
/// arrive to hear it.
#[test]
fn one_at_a_time_after_rest() {
    let server = SayingServer::start();
    let (_store, instance) = before(&[&server]);
    server.says(rests(0.7));
    let address = instance.callers_address();
    let callers = (0..10).map(|number| {
        std::thread::spawn(move || {
            let bytes = request("GET", "/read/", &format!("id{number}"), "", "");
            ask(address, &bytes).expect("an answer").status
        })
    });
    let callers: Vec<_> = callers.collect();
    until("the second rest", || {
        let arrivals = server.arrivals();
        arrivals
            .last()
            .is_some_and(|last| *last - arrivals[0] >= Duration::from_millis(700))
    });
    std::thread::sleep(Duration::from_millis(100));
    let arrivals = server.arrivals();
    let back = arrivals[0] + Duration::from_millis(700);
    assert_eq!(arrivals.iter().filter(|at| **at >= back).count(), 1);
    server.says(Saying::nothing());
    for caller in callers {
        assert_eq!(caller.join().expect("a caller"), 200);
    }
}

/// An engine wants nothing, no order and no question either, from an instance that it has turned away.
#[test]
fn no_orders_within_rest() {
    let store = site::store(&["m0", "m1", "m2"]);
    let engine = ModelServer::start(&store, "i-0", "engines", 2, &["m0"], &["m1", "m2"]);
    let instance = start(&store);
    until("the right to order", || instance.fence().is_some());
    until("the first question", || !engine.asked_at().is_empty());
    let rest = Duration::from_millis(900);
    engine.set_faults(Faults {
        rest_s: Some(rest.as_secs_f64()),
        ..Faults::default()
    });
    let address = instance.callers_address();
    let ask_for = |model: &'static str| {
        std::thread::spawn(move || stream(address, "chat", model, model).status)
    };
    let first = ask_for("m0");
    until("the refusal", || !engine.arrivals().is_empty());
    engine.set_faults(Faults::default());
    let turned_away_at = engine.arrivals()[0].at;
    let others = [ask_for("m1"), ask_for("m2")];
    assert_eq!(first.join().expect("a caller"), 200);
    for other in others {
        assert_eq!(other.join().expect("a caller"), 200);
    }
    let on_its_way = Duration::from_millis(100);
    let within = |at: &Instant| *at > turned_away_at + on_its_way && *at < turned_away_at + rest;
    let asked = engine.asked_at();
    assert_eq!(asked.iter().filter(|at| within(at)).count(), 0);
    assert_eq!(engine.run_at().iter().filter(|at| within(at)).count(), 0);
}
