//! An upstream in need gets what it says that it takes, over all instances together.
//!
//! Seen: two engines named in their answers how many requests a second they take, 1.1 and 2.2, and
//! went on getting as many as before, 20 and 40 in four seconds, from all seven instances. The test
//! does the same with three instances before three servers, one of which begins to name a limit.

use crate::site::{self, Caller, list_plain, request};
use passway_instance::Instance;
use passway_standins::platform::raw::{RawServer, Step};
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

/// The span over which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// What may arrive beyond one and a half times the limit.
const SLACK: f64 = 5.0;
/// From the first word on until it counts.
const CONTACT: Duration = Duration::from_secs(3);

/// A plain server that names a limit, or none.
struct Server {
    raw: RawServer,
    limit: Arc<Mutex<Option<f64>>>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl Server {
    fn start() -> Self {
        let limit: Arc<Mutex<Option<f64>>> = Arc::default();
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let (named, seen) = (limit.clone(), arrivals.clone());
        let raw = RawServer::start(move |received| {
            seen.lock().expect("arrivals").push(Instant::now());
            let id = received.header("request-id").unwrap_or_default();
            let line = named
                .lock()
                .expect("the limit")
                .map_or_else(String::new, |per_s| format!("Server-Limit: {per_s}\r\n"));
            let text = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n{line}Content-Length: 0\r\n\r\n"
            );
            vec![Step::Send(text.into_bytes())]
        });
        Self {
            raw,
            limit,
            arrivals,
        }
    }

    fn name_limit(&self, per_s: Option<f64>) {
        *self.limit.lock().expect("the limit") = per_s;
    }

    fn arrivals(&self) -> Vec<Instant> {
        self.arrivals.lock().expect("arrivals").clone()
    }

    /// Most arrivals in one of the spans that begin at a moment or later.
    fn most_in_window(&self, from: Instant) -> usize {
        let arrivals = self.arrivals();
        let spans = arrivals.iter().filter(|at| **at >= from).map(|begin| {
            let within = arrivals
                .iter()
                .filter(|at| *at >= begin && **at < *begin + WINDOW);
            within.count()
        });
        spans.max().unwrap_or(0)
    }
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
fn site(servers: &[Server]) -> (MetadataStandIn, Vec<Instance>) {
    let store = site::store(&[]);
    for (number, server) in servers.iter().enumerate() {
        list_plain(&store, &format!("i-{number}"), server.raw.address, "ready");
    }
    let names = ["one", "two", "three"];
    let instances = names.map(|name| site::ready(name, &store));
    (store, instances.into())
}

fn allowed(per_s: f64) -> f64 {
    1.5 * per_s * WINDOW.as_secs_f64() + SLACK
}

/// Lets a server name a limit while callers ask for long enough that it counts. Returns what they got.
fn play(instances: &[Instance], server: &Server, path: &'static str, per_s: f64) -> Vec<u16> {
    let callers = Callers::start(instances, path);
    std::thread::sleep(Duration::from_secs(1));
    server.name_limit(Some(per_s));
    let named_at = Instant::now();
    std::thread::sleep(CONTACT + WINDOW + Duration::from_secs(1));
    let statuses = callers.end();
    let most = server.most_in_window(named_at + CONTACT);
    let most = f64::from(u32::try_from(most).expect("a count"));
    let allowed = allowed(per_s);
    assert!(most <= allowed, "{most} in a window, allowed {allowed}");
    statuses
}

/// The others carry what one does not take, and callers notice nothing.
fn one_of_three(path: &'static str) {
    let servers = [Server::start(), Server::start(), Server::start()];
    let (_store, instances) = site(&servers);
    let begun_at = Instant::now();
    let statuses = play(&instances, &servers[0], path, 1.1);
    assert!(statuses.iter().all(|status| *status == 200));
    // What it takes it gets, or nobody would hear that it is in need no more.
    assert!(servers[0].most_in_window(begun_at + CONTACT) > 0);
}

#[test]
fn repeatable_requests() {
    one_of_three("/read/");
}

#[test]
fn once_only_requests() {
    one_of_three("/pay/");
}
