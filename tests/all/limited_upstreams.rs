//! An upstream with an advertised limit gets no more than this limit over all instances.
//!
//! Guards against instances that ignore the limit in an answer's head: two engines advertised 1.1
//! and 2.2 requests a second and still got 20 and 40 in four seconds, from all seven instances. A
//! limit that each instance applies alone is not enough, because the sum counts; one instance
//! counts for all. The tests use three instances before three servers, where 160 requests arrived
//! in four seconds without the fix.

use crate::cluster::{self, Caller, fetch, list_plain, request, stream, until};
use crate::holder_link::PlayedHolder;
use crate::scrape::metrics;
use crate::signalling::{SignallingAnswer, SignallingServer};
use passway_instance::Instance;
use passway_standins::platform::model_server::{Faults, ModelServer};
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

/// Length of the window over which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Arrivals that are allowed beyond 1.5 times the limit.
const SLACK: f64 = 5.0;
/// Time from the first signal until the limit must be respected.
const PROPAGATION_DELAY: Duration = Duration::from_secs(3);

fn advertise_limit(server: &SignallingServer, per_s: Option<f64>) {
    let line = per_s.map_or_else(String::new, |per_s| format!("Server-Limit: {per_s}"));
    server.set_answer(SignallingAnswer::with_line(200, line));
}

/// Largest number of arrivals in a window that begins at `from` or later.
fn max_in_window(arrivals: &[Instant], from: Instant) -> u32 {
    let counts = arrivals.iter().filter(|at| **at >= from).map(|start| {
        let is_in_window = |at: &&Instant| *at >= start && **at < *start + WINDOW;
        arrivals.iter().filter(is_in_window).count()
    });
    u32::try_from(counts.max().unwrap_or(0)).expect("a count")
}

fn assert_within_limit(arrivals: &[Instant], from: Instant, per_s: f64) {
    let max = f64::from(max_in_window(arrivals, from));
    let allowed = 1.5 * per_s * WINDOW.as_secs_f64() + SLACK;
    assert!(max <= allowed, "{max} in a window, allowed {allowed}");
}

/// Callers that send requests to instances with only a short pause.
struct Callers {
    should_stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<Vec<u16>>>,
}

impl Callers {
    fn start(instances: &[Instance], path: &'static str) -> Self {
        let should_stop: Arc<AtomicBool> = Arc::default();
        let threads = instances.iter().enumerate().map(|(number, instance)| {
            let (address, should_stop) = (instance.callers_address(), should_stop.clone());
            std::thread::spawn(move || request_loop(address, path, number, &should_stop))
        });
        let threads = threads.collect();
        Self {
            should_stop,
            threads,
        }
    }

    /// Ends the callers and returns the statuses that they received.
    fn end(self) -> Vec<u16> {
        self.should_stop.store(true, Ordering::Release);
        let threads = self.threads.into_iter();
        threads
            .flat_map(|thread| thread.join().expect("callers"))
            .collect()
    }
}

fn request_loop(
    address: SocketAddr,
    path: &str,
    caller: usize,
    should_stop: &AtomicBool,
) -> Vec<u16> {
    let mut connection = Caller::connect(address);
    let mut statuses = Vec::new();
    for number in 0.. {
        if should_stop.load(Ordering::Acquire) {
            break;
        }
        let bytes = request("GET", path, &format!("c{caller}-{number}"), "", "");
        connection.send(&bytes);
        let answer = connection.receive().expect("an answer");
        statuses.push(answer.status);
        std::thread::sleep(Duration::from_millis(25));
    }
    statuses
}

/// Three instances before servers of one service.
fn cluster(servers: &[SignallingServer]) -> (MetadataStandIn, Vec<Instance>) {
    let store = cluster::store(&[]);
    for (number, server) in servers.iter().enumerate() {
        list_plain(&store, &format!("i-{number}"), server.address(), "ready");
    }
    let names = ["one", "two", "three"];
    let instances = names.map(|name| cluster::start_ready(name, &store));
    (store, instances.into())
}

/// Lets a server advertise a limit while callers send requests, long enough for the limit to take
/// effect. Returns the statuses that the callers received.
fn run_with_limit(
    instances: &[Instance],
    server: &SignallingServer,
    path: &'static str,
    per_s: f64,
) -> Vec<u16> {
    let callers = Callers::start(instances, path);
    std::thread::sleep(Duration::from_secs(1));
    advertise_limit(server, Some(per_s));
    let advertised_at = Instant::now();
    std::thread::sleep(PROPAGATION_DELAY + WINDOW + Duration::from_secs(1));
    let statuses = callers.end();
    assert_within_limit(&server.arrivals(), advertised_at + PROPAGATION_DELAY, per_s);
    statuses
}

/// The other servers take over what the limited one does not accept, and callers notice nothing.
fn limits_one_of_three(path: &'static str) {
    let servers = [
        SignallingServer::start(),
        SignallingServer::start(),
        SignallingServer::start(),
    ];
    let (_store, instances) = cluster(&servers);
    let started_at = Instant::now();
    let statuses = run_with_limit(&instances, &servers[0], path, 1.1);
    assert!(statuses.iter().all(|status| *status == 200));
    // The server gets what it accepts; otherwise nobody would learn that its limit has ended.
    assert!(max_in_window(&servers[0].arrivals(), started_at + PROPAGATION_DELAY) > 0);
}

#[test]
fn repeatable_requests() {
    limits_one_of_three("/read/");
}

#[test]
fn once_only_requests() {
    limits_one_of_three("/pay/");
}

/// One request through one instance is enough to inform all of them.
#[test]
fn limit_reaches_all_instances() {
    let servers = [SignallingServer::start()];
    let (store, instances) = cluster(&servers);
    let knows_limit = |instance: &Instance| {
        metrics(instance).contains("\npassway_instance_limited_upstreams 1\n")
    };
    let read = |id: &str| {
        let bytes = request("GET", "/read/", id, "", "");
        let answer = fetch(instances[0].callers_address(), &bytes);
        answer.expect("an answer").status
    };
    advertise_limit(&servers[0], Some(50.0));
    assert_eq!(read("first"), 200);
    until("the limit at all instances", || {
        instances.iter().all(knows_limit)
    });
    // A later instance is informed when it connects.
    let later = cluster::start_ready("four", &store);
    until("the limit at the later instance", || knows_limit(&later));
    advertise_limit(&servers[0], None);
    until("the end of the limit", || {
        read("more") == 200 && !knows_limit(&instances[0])
    });
    until("the end of the limit at all instances", || {
        !instances.iter().any(knows_limit)
    });
    until("the end of the limit at the later instance", || {
        !knows_limit(&later)
    });
}

/// A limit that drops to a tenth applies at once, and its end is noticed although other servers
/// take all requests meanwhile.
#[test]
fn limit_changes_and_ends() {
    let servers = [SignallingServer::start(), SignallingServer::start()];
    let (_store, instances) = cluster(&servers);
    advertise_limit(&servers[0], Some(20.0));
    let callers = Callers::start(&instances, "/read/");
    std::thread::sleep(PROPAGATION_DELAY);
    advertise_limit(&servers[0], Some(2.0));
    let advertised_at = Instant::now();
    std::thread::sleep(PROPAGATION_DELAY + WINDOW + Duration::from_secs(1));
    assert_within_limit(
        &servers[0].arrivals(),
        advertised_at + PROPAGATION_DELAY,
        2.0,
    );
    advertise_limit(&servers[0], None);
    let arrivals_before = servers[0].arrivals().len();
    until("as many requests as before", || {
        servers[0].arrivals().len() > arrivals_before + 100
    });
    assert!(callers.end().iter().all(|status| *status == 200));
}

/// If all upstreams are limited, callers are refused at once with a `Retry-After`, each server gets
/// what it accepts, and refused requests do not count against the servers.
#[test]
fn all_upstreams_limited() {
    let servers = [SignallingServer::start(), SignallingServer::start()];
    let (_store, instances) = cluster(&servers);
    for server in &servers {
        advertise_limit(server, Some(3.0));
    }
    let callers = Callers::start(&instances, "/pay/");
    let advertised_at = Instant::now();
    std::thread::sleep(PROPAGATION_DELAY + WINDOW + Duration::from_secs(1));
    // More requests at a time than the two servers accept before the waits end.
    let address = instances[0].callers_address();
    let clients = (0..40).map(|number| {
        let bytes = request("GET", "/pay/", &format!("refused{number}"), "", "");
        std::thread::spawn(move || fetch(address, &bytes).expect("an answer"))
    });
    let clients: Vec<_> = clients.collect();
    let answers = clients.into_iter().map(|one| one.join().expect("a caller"));
    let refused = answers.filter(|answer| answer.status == 503);
    let retry_after_s: Vec<f64> = refused
        .map(|answer| {
            answer
                .header("retry-after")
                .and_then(|text| text.parse().ok())
        })
        .map(|value| value.expect("a Retry-After"))
        .collect();
    assert!(!retry_after_s.is_empty() && retry_after_s.iter().all(|time_s| *time_s > 0.0));
    let statuses = callers.end();
    assert!(statuses.iter().all(|status| [200, 503].contains(status)));
    for server in &servers {
        assert_within_limit(&server.arrivals(), advertised_at + PROPAGATION_DELAY, 3.0);
        assert!(max_in_window(&server.arrivals(), advertised_at + PROPAGATION_DELAY) >= 3);
    }
    // Both servers accept any number of requests again, and get them.
    for server in &servers {
        advertise_limit(server, None);
    }
    let arrivals_before = servers.each_ref().map(|server| server.arrivals().len());
    let mut ids = 0..;
    until("as many requests as before", || {
        let id = format!("again{:?}", ids.next());
        let bytes = request("GET", "/pay/", &id, "", "");
        fetch(instances[1].callers_address(), &bytes).expect("an answer");
        let mut pairs = servers.iter().zip(arrivals_before);
        pairs.all(|(server, count_before)| server.arrivals().len() > count_before + 30)
    });
}

/// Streams that break off at one engine resume at the limited one only within its limit.
#[test]
fn resumed_streams() {
    let store = cluster::store(&["m0"]);
    let engine = |id| ModelServer::start(&store, id, "engines", 2, &["m0"], &[]);
    let (limited, breaking) = (engine("i-0"), engine("i-1"));
    let instances = ["one", "two"].map(|name| cluster::start_ready(name, &store));
    limited.set_faults(Faults {
        advertised_limit_per_s: Some(1.0),
        ..Faults::default()
    });
    let started_at = Instant::now();
    let mut asked = 0;
    while started_at.elapsed() < PROPAGATION_DELAY + WINDOW + Duration::from_secs(1) {
        breaking.set_faults(Faults {
            cut_after_events: Some(2),
            ..Faults::default()
        });
        let address = instances[asked % 2].callers_address();
        stream(address, "chat", &format!("id{asked}"), "m0");
        asked += 1;
    }
    assert_within_limit(&limited.executed_at(), started_at + PROPAGATION_DELAY, 1.0);
    assert!(limited.executed_at().len() > 1);
}

/// Without a coordinator and without a known number of instances, the limited upstream gets nothing
/// more, and callers are refused instead of waiting until their deadline.
#[test]
fn no_coordinator() {
    let servers = [SignallingServer::start()];
    let store = cluster::store(&[]);
    list_plain(&store, "i-0", servers[0].address(), "ready");
    let _silent_holder = PlayedHolder::begin(&store);
    let instance = cluster::start_ready("one", &store);
    advertise_limit(&servers[0], Some(1.0));
    let statuses = (0..4).map(|number| {
        let bytes = request("GET", "/read/", &format!("id{number}"), "", "");
        fetch(instance.callers_address(), &bytes)
            .expect("an answer")
            .status
    });
    assert_eq!(statuses.collect::<Vec<_>>(), [200, 503, 503, 503]);
    assert_eq!(servers[0].arrivals().len(), 1);
}
