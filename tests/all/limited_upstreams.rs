//! An upstream in need gets what it says that it takes, over all instances together.
//!
//! Seen: two engines named in their answers how many requests a second they take, 1.1 and 2.2, and
//! went on getting as many as before, 20 and 40 in four seconds, from all seven instances. The test
//! does the same with three instances before three servers, one of which begins to name a limit.
//!
//! How it came about: an answer's head was read for whose it is and whether it ran; what else an upstream
//! says of itself there was passed on to the caller and forgotten. The cause was proved by the logs, in
//! which no instance sent less than before, all offers being first ones, and by the test, which failed with
//! 160 requests in four seconds. That each instance heeds the word alone would not have been enough: the sum
//! over all counts, so one of them counts for all.

use crate::holder_link::PlayedHolder;
use crate::scrape::metrics;
use crate::signalling::{SignallingAnswer, SignallingServer};
use crate::site::{self, Caller, ask, list_plain, request, stream, until};
use passway_instance::Instance;
use passway_standins::platform::model_server::{Faults, ModelServer};
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

/// The span over which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// What may arrive beyond one and a half times the limit.
const SLACK: f64 = 5.0;
/// From the first word on until it counts.
const CONTACT: Duration = Duration::from_secs(3);

fn name_limit(server: &SignallingServer, per_s: Option<f64>) {
    let line = per_s.map_or_else(String::new, |per_s| format!("Server-Limit: {per_s}"));
    server.set_answer(SignallingAnswer::with_line(200, line));
}

/// Most arrivals in one of the spans that begin at a moment or later.
fn most_in_window(arrivals: &[Instant], from: Instant) -> u32 {
    let spans = arrivals.iter().filter(|at| **at >= from).map(|begin| {
        let within = |at: &&Instant| *at >= begin && **at < *begin + WINDOW;
        arrivals.iter().filter(within).count()
    });
    u32::try_from(spans.max().unwrap_or(0)).expect("a count")
}

fn kept(arrivals: &[Instant], from: Instant, per_s: f64) {
    let most = f64::from(most_in_window(arrivals, from));
    let allowed = 1.5 * per_s * WINDOW.as_secs_f64() + SLACK;
    assert!(most <= allowed, "{most} in a window, allowed {allowed}");
}

/// Callers that ask an instance without a pause between, but for a little.
struct Callers {
    is_over: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<Vec<u16>>>,
}

impl Callers {
    fn start(instances: &[Instance], path: &'static str) -> Self {
        let is_over: Arc<AtomicBool> = Arc::default();
        let threads = instances.iter().enumerate().map(|(number, instance)| {
            let (address, is_over) = (instance.callers_address(), is_over.clone());
            std::thread::spawn(move || ask_on(address, path, number, &is_over))
        });
        let threads = threads.collect();
        Self { is_over, threads }
    }

    /// The statuses that they got.
    fn end(self) -> Vec<u16> {
        self.is_over.store(true, Ordering::Release);
        let threads = self.threads.into_iter();
        threads
            .flat_map(|thread| thread.join().expect("callers"))
            .collect()
    }
}

fn ask_on(address: SocketAddr, path: &str, caller: usize, is_over: &AtomicBool) -> Vec<u16> {
    let mut connection = Caller::connect(address);
    let mut statuses = Vec::new();
    for number in 0.. {
        if is_over.load(Ordering::Acquire) {
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
fn site(servers: &[SignallingServer]) -> (MetadataStandIn, Vec<Instance>) {
    let store = site::store(&[]);
    for (number, server) in servers.iter().enumerate() {
        list_plain(&store, &format!("i-{number}"), server.address(), "ready");
    }
    let names = ["one", "two", "three"];
    let instances = names.map(|name| site::ready(name, &store));
    (store, instances.into())
}

/// Lets a server name a limit while callers ask for long enough that it counts. Returns what they got.
fn play(
    instances: &[Instance],
    server: &SignallingServer,
    path: &'static str,
    per_s: f64,
) -> Vec<u16> {
    let callers = Callers::start(instances, path);
    std::thread::sleep(Duration::from_secs(1));
    name_limit(server, Some(per_s));
    let named_at = Instant::now();
    std::thread::sleep(CONTACT + WINDOW + Duration::from_secs(1));
    let statuses = callers.end();
    kept(&server.arrivals(), named_at + CONTACT, per_s);
    statuses
}

/// The others carry what one does not take, and callers notice nothing.
fn one_of_three(path: &'static str) {
    let servers = [
        SignallingServer::start(),
        SignallingServer::start(),
        SignallingServer::start(),
    ];
    let (_store, instances) = site(&servers);
    let begun_at = Instant::now();
    let statuses = play(&instances, &servers[0], path, 1.1);
    assert!(statuses.iter().all(|status| *status == 200));
    // What it takes it gets, or nobody would hear that it is in need no more.
    assert!(most_in_window(&servers[0].arrivals(), begun_at + CONTACT) > 0);
}

#[test]
fn repeatable_requests() {
    one_of_three("/read/");
}

#[test]
fn once_only_requests() {
    one_of_three("/pay/");
}

/// One request through one instance is enough for all of them to know.
#[test]
fn told_to_all() {
    let servers = [SignallingServer::start()];
    let (store, instances) = site(&servers);
    let limited = |instance: &Instance| {
        metrics(instance).contains("\npassway_instance_limited_upstreams 1\n")
    };
    let read = |id: &str| {
        let bytes = request("GET", "/read/", id, "", "");
        let answer = ask(instances[0].callers_address(), &bytes);
        answer.expect("an answer").status
    };
    name_limit(&servers[0], Some(50.0));
    assert_eq!(read("first"), 200);
    until("all know", || instances.iter().all(limited));
    // One that comes later is told when it connects.
    let later = site::ready("four", &store);
    until("it knows", || limited(&later));
    name_limit(&servers[0], None);
    until("it ends", || read("more") == 200 && !limited(&instances[0]));
    until("all know that", || !instances.iter().any(limited));
    until("it knows that", || !limited(&later));
}

/// A limit that falls to a tenth counts as it is now, and one that ends is over although others carry
/// everything meanwhile.
#[test]
fn comes_and_goes() {
    let servers = [SignallingServer::start(), SignallingServer::start()];
    let (_store, instances) = site(&servers);
    name_limit(&servers[0], Some(20.0));
    let callers = Callers::start(&instances, "/read/");
    std::thread::sleep(CONTACT);
    name_limit(&servers[0], Some(2.0));
    let named_at = Instant::now();
    std::thread::sleep(CONTACT + WINDOW + Duration::from_secs(1));
    kept(&servers[0].arrivals(), named_at + CONTACT, 2.0);
    name_limit(&servers[0], None);
    let arrived = servers[0].arrivals().len();
    until("as much as before", || {
        servers[0].arrivals().len() > arrived + 100
    });
    assert!(callers.end().iter().all(|status| *status == 200));
}

/// Where nobody else serves, callers are told at once when to come back, each server gets what it takes, and
/// nothing that it does not take is counted against it.
#[test]
fn all_in_need() {
    let servers = [SignallingServer::start(), SignallingServer::start()];
    let (_store, instances) = site(&servers);
    for server in &servers {
        name_limit(server, Some(3.0));
    }
    let callers = Callers::start(&instances, "/pay/");
    let named_at = Instant::now();
    std::thread::sleep(CONTACT + WINDOW + Duration::from_secs(1));
    // More at a time than the two take before their waits are over.
    let address = instances[0].callers_address();
    let askers = (0..40).map(|number| {
        let bytes = request("GET", "/pay/", &format!("refused{number}"), "", "");
        std::thread::spawn(move || ask(address, &bytes).expect("an answer"))
    });
    let askers: Vec<_> = askers.collect();
    let asked = askers.into_iter().map(|one| one.join().expect("a caller"));
    let refused = asked.filter(|answer| answer.status == 503);
    let told: Vec<f64> = refused
        .map(|answer| {
            answer
                .header("retry-after")
                .and_then(|text| text.parse().ok())
        })
        .map(|told| told.expect("when to come back"))
        .collect();
    assert!(!told.is_empty() && told.iter().all(|time_s| *time_s > 0.0));
    let statuses = callers.end();
    assert!(statuses.iter().all(|status| [200, 503].contains(status)));
    for server in &servers {
        kept(&server.arrivals(), named_at + CONTACT, 3.0);
        assert!(most_in_window(&server.arrivals(), named_at + CONTACT) >= 3);
    }
    // Both take anything again, and get it.
    for server in &servers {
        name_limit(server, None);
    }
    let arrived = servers.each_ref().map(|server| server.arrivals().len());
    let mut ids = 0..;
    until("as much as before", || {
        let id = format!("again{:?}", ids.next());
        let bytes = request("GET", "/pay/", &id, "", "");
        ask(instances[1].callers_address(), &bytes).expect("an answer");
        let mut both = servers.iter().zip(arrived);
        both.all(|(server, arrived)| server.arrivals().len() > arrived + 30)
    });
}

/// Streams that break off at one engine go on at the one in need as often as it takes requests.
#[test]
fn resumed_streams() {
    let store = site::store(&["m0"]);
    let engine = |id| ModelServer::start(&store, id, "engines", 2, &["m0"], &[]);
    let (needy, breaking) = (engine("i-0"), engine("i-1"));
    let instances = ["one", "two"].map(|name| site::ready(name, &store));
    needy.set_faults(Faults {
        limit_per_s: Some(1.0),
        ..Faults::default()
    });
    let begun_at = Instant::now();
    let mut asked = 0;
    while begun_at.elapsed() < CONTACT + WINDOW + Duration::from_secs(1) {
        breaking.set_faults(Faults {
            cuts_after: Some(2),
            ..Faults::default()
        });
        let address = instances[asked % 2].callers_address();
        stream(address, "chat", &format!("id{asked}"), "m0");
        asked += 1;
    }
    kept(&needy.run_at(), begun_at + CONTACT, 1.0);
    assert!(needy.run_at().len() > 1);
}

/// Nobody counts, and the instance was never told how many there are: the upstream in need gets nothing
/// more, and callers are refused, not held until their time is over.
#[test]
fn nobody_counts() {
    let servers = [SignallingServer::start()];
    let store = site::store(&[]);
    list_plain(&store, "i-0", servers[0].address(), "ready");
    let _silent = PlayedHolder::begin(&store);
    let instance = site::ready("one", &store);
    name_limit(&servers[0], Some(1.0));
    let statuses = (0..4).map(|number| {
        let bytes = request("GET", "/read/", &format!("id{number}"), "", "");
        ask(instance.callers_address(), &bytes)
            .expect("an answer")
            .status
    });
    assert_eq!(statuses.collect::<Vec<_>>(), [200, 503, 503, 503]);
    assert_eq!(servers[0].arrivals().len(), 1);
}
