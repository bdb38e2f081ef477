//! Case: a server crashes behind a cut in the middle of an answer without a length, and starts again
//! under its id before the cut has healed.

use crate::http::{Ending, call};
use crate::instance::Instance;
use crate::plain::{body_of, spawn};
use crate::proxy::Path as Link;
use crate::record::Record;
use crate::store::Store;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStdout};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HOST: &str = "market.example";
const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
/// The bounds of the settings of `stallnet-ga-fleet`.
const BOUNDS: &str = "seed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 6000\nack_ms = 10000\n\
    catch_up_s = 6\ndrain_ms = 5000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 5000\n\
    rollback_slack_ms = 250\nskew_max_ms = 10000\nretry_budget_ratio = 0.2\nretry_window_s = 10\n\
    retry_slack = 1040\nrecovery_s = 18\npass_ms = 200\nretry_after_s = 0\nrequire_fence = false\n\
    lease_ms = 3000\nthaw_slack_ms = 300\nceiling_window_s = 5\nceiling_overage = 1.1";
/// One of six servers is cut off: `share` 0.17 of `node_cut`.
const SERVERS: usize = 6;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const WARM_UP: Duration = Duration::from_secs(8);
const TROUBLES: usize = 6;
const CALM: Duration = Duration::from_secs(4);
/// Length of a cut; the sheet's is 5.5 s.
const CUT: Duration = Duration::from_millis(350);
/// Time from the crash to the next start.
const DOWN: Duration = Duration::from_millis(100);
/// The sheet's 58.4 and 23.4 requests a second.
const LOOKUP_PAUSE: Duration = Duration::from_micros(17_100);
const FETCH_PAUSE: Duration = Duration::from_micros(42_700);
/// Time budget of a request.
const DEADLINE_MS: u64 = 600;

fn configuration() -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":600,\"goal_ms\":100,\"priority\":2,\"service\":\"market-pos\",\
             \"attempts\":{attempts}}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{{\"name\":\"market-pos\",\
         \"health_path\":\"/health\",\"max_conns\":1800}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        route("scale-lookup", "non_idempotent", 1),
        route("receipt-fetch", "idempotent", 2)
    )
}

/// A server, the path to it, and its process.
struct Server {
    id: String,
    address: SocketAddr,
    link: Arc<Link>,
    zone: &'static str,
    /// The process and when it started.
    process: Mutex<(Child, u64)>,
    heartbeats: AtomicU32,
}

impl Drop for Server {
    fn drop(&mut self) {
        if let Ok(mut process) = self.process.lock() {
            let _ = process.0.kill();
            let _ = process.0.wait();
        }
    }
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0))
}

/// Copies what a server prints to the record, and tells of answers that are half sent.
fn follow(id: &str, out: ChildStdout, record: &Record, half_sent: &Sender<String>) {
    let (id, record, half_sent) = (id.to_owned(), record.clone(), half_sent.clone());
    std::thread::spawn(move || {
        for line in BufReader::new(out).lines().map_while(Result::ok) {
            record.line(&format!("server {id}: {line}"));
            if line.starts_with("half ") {
                let _ = half_sent.send(id.clone());
            }
        }
    });
}

impl Server {
    fn start(number: usize, record: &Record, half_sent: &Sender<String>) -> Arc<Self> {
        let id = format!("i-pos-{number}");
        let address = crate::http::free_address([127, 0, 0, 1]);
        let born_ms = now_ms();
        let (child, out) = spawn(&id, address, born_ms);
        follow(&id, out, record, half_sent);
        Arc::new(Self {
            address,
            link: Link::start(address),
            zone: ZONES[number % ZONES.len()],
            process: Mutex::new((child, born_ms)),
            heartbeats: AtomicU32::new(0),
            id,
        })
    }

    /// Writes the server's entry.
    fn beat(&self, store: &Store) {
        let born_ms = self.process.lock().expect("locking a server").1;
        let sequence = self.heartbeats.fetch_add(1, Ordering::Relaxed) + 1;
        let text = format!(
            "{{\"service\":\"market-pos\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":{sequence},\"born\":{born_ms}}}",
            self.link.address, self.zone
        );
        store.put(&format!("servers/{}", self.id), &text);
    }

    fn kill(&self) {
        let mut process = self.process.lock().expect("locking a server");
        let _ = process.0.kill();
        let _ = process.0.wait();
    }

    /// Starts the server again under its id.
    fn start_again(&self, id: &str, record: &Record, half_sent: &Sender<String>) {
        let born_ms = now_ms();
        let (child, out) = spawn(id, self.address, born_ms);
        follow(&self.id, out, record, half_sent);
        *self.process.lock().expect("locking a server") = (child, born_ms);
        self.heartbeats.store(0, Ordering::Relaxed);
    }
}

struct Callers {
    addresses: Vec<SocketAddr>,
    record: Record,
    sent: AtomicU32,
    served: AtomicU32,
    /// Successes that look complete and lack a part of the body.
    truncated: Mutex<Vec<String>>,
}

impl Callers {
    fn send(self: &Arc<Self>, number: u32, route: &'static str) {
        let callers = self.clone();
        std::thread::spawn(move || {
            let address = callers.addresses[number as usize % callers.addresses.len()];
            let id = format!("{route}-{number:05}");
            let request_line = match route {
                "receipt-fetch" => format!("GET /{route}/{number} HTTP/1.1\r\n"),
                _ => format!("POST /{route}/{number} HTTP/1.1\r\nContent-Length: 2\r\n"),
            };
            let body = if route == "receipt-fetch" { "" } else { "{}" };
            let bytes = format!(
                "{request_line}Host: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\r\n{body}"
            );
            callers.sent.fetch_add(1, Ordering::Relaxed);
            let answer = call(
                address,
                bytes.as_bytes(),
                Duration::from_millis(DEADLINE_MS + 500),
            );
            let Some((answer, ending)) = answer else {
                return callers.record.line(&format!("caller: {id} got no answer"));
            };
            let is_whole = answer.body == body_of(&id).into_bytes();
            let length = answer.header("content-length").unwrap_or("none");
            if answer.status() != 200 || !is_whole {
                callers.record.line(&format!(
                    "caller: {id} got {} {ending:?}, {} bytes, Content-Length: {length}, Response-Seal: {:?}",
                    answer.status(),
                    answer.body.len(),
                    answer.header("response-seal")
                ));
            }
            if answer.status() == 200 && ending == Ending::Whole {
                if is_whole {
                    callers.served.fetch_add(1, Ordering::Relaxed);
                } else {
                    callers.truncated.lock().expect("locking the list").push(id);
                }
            }
        });
    }
}

/// What happens to the servers.
#[derive(Clone, Copy, PartialEq)]
pub enum Disruption {
    None,
    /// They start again under their ids.
    Reborn,
    /// They start again under new ids, which are not listed in the store.
    Renamed,
}

fn trouble(
    server: &Server,
    disruption: Disruption,
    record: &Record,
    half_sent: &Sender<String>,
    store: &Store,
) {
    let begun_at = Instant::now();
    server.link.set_cut(true);
    server.kill();
    record.line(&format!("{} is cut off and has crashed", server.id));
    std::thread::sleep(DOWN);
    if disruption == Disruption::Reborn {
        server.start_again(&server.id, record, half_sent);
        server.beat(store);
        record.line(&format!("{} has started again under its id", server.id));
    } else {
        let id = format!("{}-new", server.id);
        server.start_again(&id, record, half_sent);
        record.line(&format!("{} has started again as {id}", server.id));
    }
    std::thread::sleep((begun_at + CUT).saturating_duration_since(Instant::now()));
    server.link.set_cut(false);
    record.line(&format!("the cut of {} has healed", server.id));
}

/// Waits until `id` has sent half of an answer.
fn wait_for_half(half_sent: &Receiver<String>, id: &str) {
    while half_sent.try_recv().is_ok() {}
    while half_sent
        .recv_timeout(Duration::from_secs(5))
        .is_ok_and(|sender| sender != id)
    {}
}

pub fn run(folder: &Path, record: &Record, disruption: Disruption) -> i32 {
    let (store, store_address) = Store::start();
    store.put("op/config", &configuration());
    let (half_sent_sender, half_sent) = channel();
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|number| Server::start(number, record, &half_sent_sender))
        .collect();
    std::thread::sleep(Duration::from_millis(200));
    let is_over = Arc::new(AtomicBool::new(false));
    let beating = {
        let (servers, store, is_over) = (servers.clone(), store.clone(), is_over.clone());
        std::thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                servers.iter().for_each(|server| server.beat(&store));
                std::thread::sleep(HEARTBEAT);
            }
        })
    };
    let instances: Vec<Instance> = (0..3)
        .map(|number| Instance::start(number, ZONES[number as usize], store_address, BOUNDS, folder))
        .collect();
    let patience = Duration::from_secs(15);
    let is_ready = instances
        .iter()
        .all(|instance| instance.wait_until_ready(patience));
    if !is_ready {
        record.line("an instance did not become ready");
        return 2;
    }
    let callers = Arc::new(Callers {
        addresses: instances.iter().map(|instance| instance.callers).collect(),
        record: record.clone(),
        sent: AtomicU32::new(0),
        served: AtomicU32::new(0),
        truncated: Mutex::default(),
    });
    let senders = [("scale-lookup", LOOKUP_PAUSE), ("receipt-fetch", FETCH_PAUSE)].map(|(route, pause)| {
        let (callers, is_over) = (callers.clone(), is_over.clone());
        std::thread::spawn(move || {
            let begun_at = Instant::now();
            for number in 0_u32.. {
                let at = begun_at + pause * number;
                std::thread::sleep(at.saturating_duration_since(Instant::now()));
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                callers.send(number, route);
            }
        })
    });
    std::thread::sleep(WARM_UP);
    for number in 0..TROUBLES {
        let server = &servers[number % servers.len()];
        wait_for_half(&half_sent, &server.id);
        if disruption != Disruption::None {
            trouble(server, disruption, record, &half_sent_sender, &store);
        }
        std::thread::sleep(CALM);
    }
    is_over.store(true, Ordering::Relaxed);
    for thread in senders.into_iter().chain([beating]) {
        let _ = thread.join();
    }
    std::thread::sleep(Duration::from_secs(2));
    let (sent, served) = (
        callers.sent.load(Ordering::Relaxed),
        callers.served.load(Ordering::Relaxed),
    );
    record.line(&format!(
        "requests: {sent} sent, {served} served with the whole body"
    ));
    let truncated = callers.truncated.lock().expect("locking the list");
    for id in truncated.iter() {
        record.line(&format!("RULE BROKEN (MIXED): {id} got a 200 with a seal that looks complete, without the end of the server's body"));
    }
    if served < sent / 2 {
        record.line("too few requests were served");
        return 2;
    }
    i32::from(!truncated.is_empty())
}
