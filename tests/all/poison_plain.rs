//! Requests that crash plain servers.
//!
//! Guards against crashes that are not counted because the port of a plain server was still open right after its
//! connections had closed: one request ended up to 57 of ten such servers, which were back after two seconds each.

use crate::cluster::{self, configuration, fetch, request, until};
use passway_instance::Instance;
use passway_standins::platform::plain_server::{PlainAnswer, echo_steps};
use passway_standins::platform::raw::Step;
use passway_standins::platform::restarting_plain::{PortEnd, RestartingPlain, Restarts};
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;
use std::collections::BTreeMap;

/// The crashing requests: their routes, one whose requests may be repeated and one whose requests run once, and bodies.
const CULPRITS: [(&str, &str); 2] = [("read", "poison one"), ("pay", "poison two")];
/// Servers that one request may end, and one more under a copy that was in flight.
const MAX_ENDED: usize = 4;
/// Requests that may reach servers later than [`CONTACT`] after the third end (users' pages).
const MAX_LATE: usize = 3;
const KNOWN_ENDS: usize = 3;
const CONTACT: Duration = Duration::from_secs(3);
/// How long a server takes to start again.
const RESTART_DELAY: Duration = Duration::from_secs(2);
/// Interval of the repeats of each crashing request, and of each caller of other requests.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
const OTHER_INTERVAL: Duration = Duration::from_millis(150);
/// Time for which requests are sent, and the last part of it, in which all others must be served.
const DURATION: Duration = Duration::from_secs(14);
const SETTLED: Duration = Duration::from_secs(5);

struct TestCluster {
    _store: MetadataStandIn,
    servers: Vec<RestartingPlain>,
    instances: [Instance; 3],
}

fn cluster(port: PortEnd) -> TestCluster {
    let store = MetadataStandIn::default();
    store.put("op/config", &configuration(1, &["m0"]));
    let servers = (0..10).map(|number| {
        let restarts = Restarts {
            crash_prefix: "poison".to_owned(),
            port,
            delay: RESTART_DELAY,
        };
        RestartingPlain::start(&store, &format!("p-{number}"), restarts, |received| {
            echo_steps(received, PlainAnswer::Framed)
        })
    });
    let servers = servers.collect();
    let instances = ["one", "two", "three"].map(|name| cluster::start_ready(name, &store));
    for instance in &instances {
        until("a repeat to spend", || instance.has_spare_retry("plain"));
    }
    TestCluster {
        _store: store,
        servers,
        instances,
    }
}

/// Sends one request. Returns whether the answer is complete and successful.
fn send(instance: &Instance, route: &str, id: &str, body: &str) -> bool {
    let bytes = request("POST", &format!("/{route}/"), id, "", body);
    let answer = fetch(instance.callers_address(), &bytes);
    answer.is_some_and(|answer| answer.status == 200 && answer.is_complete)
}

/// Number of servers that ended under a request, and of its copies that reached servers late.
fn ended_and_late(servers: &[RestartingPlain], body: &str) -> (usize, usize) {
    let ends = servers.iter().flat_map(RestartingPlain::crashes);
    let ends = ends.filter(|crash| crash.body == body);
    let mut ended_at: Vec<Instant> = ends.map(|crash| crash.ended_at).collect();
    ended_at.sort_unstable();
    let limit_at = ended_at.get(KNOWN_ENDS - 1).map(|at| *at + CONTACT);
    let arrivals = servers.iter().flat_map(RestartingPlain::arrivals);
    let late = arrivals.filter(|arrival| {
        let is_late = limit_at.is_some_and(|limit_at| arrival.received.readable_at > limit_at);
        is_late && arrival.received.body == body.as_bytes()
    });
    (ended_at.len(), late.count())
}

/// Repeats both crashing requests at all instances, beside other requests.
fn check(port: PortEnd) {
    let cluster = cluster(port);
    let over_at = Instant::now() + DURATION;
    let settled_at = over_at.checked_sub(SETTLED).expect("a time");
    let (mut sent, mut served) = (0, 0);
    std::thread::scope(|scope| {
        for (route, body) in CULPRITS {
            let instances = &cluster.instances;
            scope.spawn(move || {
                for number in 0.. {
                    if Instant::now() >= over_at {
                        break;
                    }
                    let id = format!("{route}-{number}");
                    send(&instances[number % instances.len()], route, &id, body);
                    std::thread::sleep(REPEAT_INTERVAL);
                }
            });
        }
        let others = cluster
            .instances
            .iter()
            .enumerate()
            .map(|(caller, instance)| {
                scope.spawn(move || {
                    let mut results = Vec::new();
                    for number in 0.. {
                        let sent_at = Instant::now();
                        if sent_at >= over_at {
                            break;
                        }
                        // Requests of the same content, and requests that run once.
                        let (route, body) = if number % 2 == 0 {
                            ("read", "{}".to_owned())
                        } else {
                            ("pay", format!("{caller}-{number}"))
                        };
                        let is_served =
                            send(instance, route, &format!("o{caller}-{number}"), &body);
                        results.extend((sent_at >= settled_at).then_some(is_served));
                        std::thread::sleep(OTHER_INTERVAL);
                    }
                    results
                })
            });
        let others: Vec<_> = others.collect();
        for other in others {
            let results = other.join().expect("a caller");
            sent += results.len();
            served += results.iter().filter(|is_served| **is_served).count();
        }
    });
    let counts = CULPRITS.map(|(_, body)| ended_and_late(&cluster.servers, body));
    println!(
        "{port:?}: servers ended and late requests {counts:?}, others served {served} of {sent}"
    );
    for (ended, late) in counts {
        assert!(ended <= MAX_ENDED, "{port:?}: {counts:?}");
        assert!(late <= MAX_LATE, "{port:?}: {counts:?}");
    }
    assert!(served * 100 >= sent * 95, "{served} of {sent}");
}

#[test]
fn port_closes_first() {
    check(PortEnd::Before);
}

#[test]
fn port_closes_soon_after() {
    check(PortEnd::After(Duration::from_millis(2)));
}

#[test]
fn port_closes_later() {
    check(PortEnd::After(Duration::from_millis(300)));
}

#[test]
fn port_stays_open() {
    check(PortEnd::StaysOpen);
}

/// Connections that each of the servers below takes, and how long a request runs there.
const MAX_CONNECTIONS: usize = 6;
const RUN_DURATION: Duration = Duration::from_millis(60);
/// Number of callers, of whom each sends one request after another over new connections: twice as many as the servers take.
const CALLERS: usize = 48;
const RESETS_DURATION: Duration = Duration::from_secs(6);

// Guards against sound requests that are refused, or wait, because servers reset connections beyond those that they take: that is
// no crash.
#[test]
fn resets_are_no_crashes() {
    let store = MetadataStandIn::default();
    store.put("op/config", &configuration(1, &["m0"]));
    let servers = (0..4).map(|number| {
        let restarts = Restarts {
            crash_prefix: "poison".to_owned(),
            port: PortEnd::Before,
            delay: RESTART_DELAY,
        };
        let server = RestartingPlain::start(&store, &format!("p-{number}"), restarts, |received| {
            let mut steps = vec![Step::Pause(RUN_DURATION)];
            steps.extend(echo_steps(received, PlainAnswer::Framed));
            steps
        });
        server.listener().limit_connections(MAX_CONNECTIONS);
        server
    });
    let servers: Vec<RestartingPlain> = servers.collect();
    let instances = ["one", "two", "three"].map(|name| cluster::start_ready(name, &store));
    let over_at = Instant::now() + RESETS_DURATION;
    let (mut served, mut statuses) = (0, BTreeMap::new());
    std::thread::scope(|scope| {
        let callers = (0..CALLERS).map(|caller| {
            let instance = &instances[caller % instances.len()];
            scope.spawn(move || {
                let mut answers = Vec::new();
                while Instant::now() < over_at {
                    let id = format!("c{caller}-{}", answers.len());
                    // A few contents that many callers send.
                    let (route, body) = (["read", "pay"][caller % 2], format!("{}", caller % 4));
                    let bytes = request("POST", &format!("/{route}/"), &id, "", &body);
                    answers.extend(fetch(instance.callers_address(), &bytes));
                    std::thread::sleep(Duration::from_millis(20));
                }
                answers
            })
        });
        let callers: Vec<_> = callers.collect();
        for caller in callers {
            for answer in caller.join().expect("a caller") {
                served += usize::from(answer.status == 200);
                *statuses.entry(answer.status).or_insert(0) += 1;
                let seconds = answer.header("retry-after").and_then(|s| s.parse().ok());
                assert!(seconds.is_none_or(|s: f64| s < 60.0), "{answer:?}");
            }
        }
    });
    let arrivals: usize = servers.iter().map(|server| server.arrivals().len()).sum();
    println!("{served} served, {statuses:?}, {arrivals} reached the servers");
    // An answer with 502 says that the servers reset the connection. A request that waited for a verdict in vain is refused.
    let refused = statuses.get(&503).copied().unwrap_or(0);
    let answers: usize = statuses.values().sum();
    assert!(refused * 20 <= answers, "{statuses:?}");
    assert!(served > refused, "{statuses:?}");
}
