//! Case: many callers at once send long bodies in chunks, which count towards no bound while they
//! arrive, so that the platform kills the process for its memory.

use crate::engine::{Engine, MODEL_MB, Observed, Runs, SERVER_MB, Settings};
use crate::http::{Ending, Wire};
use crate::instance::Instance;
use crate::record::Record;
use crate::store::Store;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const HOST: &str = "linen.example";
const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
/// The bounds of the settings of `lanka-linen`.
const BOUNDS: &str = "seed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\n\
    catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\n\
    rollback_slack_ms = 250\nskew_max_ms = 5000\nretry_budget_ratio = 0.2\nretry_window_s = 10\n\
    retry_slack = 54\nrecovery_s = 12\npass_ms = 120\nretry_after_s = 0\nrequire_fence = false\n\
    lease_ms = 3000\nthaw_slack_ms = 300\nceiling_window_s = 5\nceiling_overage = 1.1";
const ENGINES: usize = 9;
/// Machines of one zone of the site.
const INSTANCES: u8 = 2;
/// `memory_mb` of a machine.
const MEMORY_BYTES: usize = 260 << 20;
/// Delay after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
const WARM_UP: Duration = Duration::from_secs(8);
const BURSTS: u32 = 5;
const CALM: Duration = Duration::from_secs(6);
/// The site's 68 callers, 1.7 times as many in a `burst`.
const BURST_CALLERS: usize = 115;
/// Callers of `rush-reply`, each with one request at a time on a connection that it keeps.
const RUSH_CALLERS: usize = 48;
/// Time until the first event of a busy server; the goal is 400 ms.
const BUSY_FIRST_EVENT: Duration = Duration::from_millis(300);
/// Largest number of requests of kept connections that a machine may leave without an answer.
const MAX_UNANSWERED: u32 = 3;
/// Less than the `max_body_bytes` of 4,194,304 that the configuration allows.
const BODY_BYTES: usize = 4_190_000;
const CHUNK_BYTES: usize = 41_900;
/// Time in which a caller sends a body; its time budget is 25 s.
const UPLOAD: Duration = Duration::from_millis(2_500);
/// How the callers of a burst send their bodies.
#[derive(Clone, Copy, PartialEq)]
pub enum Bodies {
    /// There is no burst.
    None,
    Chunked,
    WithLength,
}

fn configuration() -> String {
    let route = |name: &str, timeout: u32, goal: u32, priority: u32, attempts: u32, resumable: bool| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"streaming\",\
             \"timeout_ms\":{timeout},\"goal_ms\":{goal},\"priority\":{priority},\
             \"service\":\"linen-talk\",\"attempts\":{attempts},\"sticky\":true,\
             \"resumable\":{resumable},\"gap_target_ms\":300}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{{\"name\":\"linen-talk\",\
         \"health_path\":\"/health\",\"max_conns\":360,\"engine\":{{\"slots\":64,\
         \"kv_capacity\":156843,\"backups\":true,\"stride\":6,\"models\":[{{\"name\":\"busy\",\
         \"weights_mb\":{MODEL_MB},\"load_time_s\":6.0,\"adapters\":0,\"adapter_mb\":66.0,\
         \"warm_s\":0.4,\"disk_s\":0.84}}],\"weights_mb\":{SERVER_MB},\"adapter_slots\":8,\
         \"loads_per_s\":3.1}}}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        route("rush-reply", 12_000, 400, 1, 2, true),
        route("claim-summary", 25_000, 2_500, 0, 1, false)
    )
}

fn head(id: &str, route: &str, deadline_ms: u64, framing: &str) -> String {
    format!(
        "POST /{route}/generate HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nModel: busy\r\n\
         Token-Usage: 628,240\r\nDeadline-Ms: {deadline_ms}\r\n{framing}\r\n\r\n"
    )
}

/// Sends a request with a long body, and returns the status of the answer; 0 without one.
fn upload(address: SocketAddr, id: &str, bodies: Bodies) -> u16 {
    let send = || -> std::io::Result<u16> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        stream.set_write_timeout(Some(Duration::from_secs(20)))?;
        let mut wire = Wire::new(stream);
        let is_chunked = bodies == Bodies::Chunked;
        let framing = if is_chunked {
            "Transfer-Encoding: chunked".to_owned()
        } else {
            format!("Content-Length: {BODY_BYTES}")
        };
        wire.send(head(id, "claim-summary", 25_000, &framing).as_bytes())?;
        let chunks = BODY_BYTES / CHUNK_BYTES;
        let begun_at = Instant::now();
        for number in 0..chunks {
            let mut bytes = Vec::new();
            if is_chunked {
                bytes.extend(format!("{CHUNK_BYTES:x}\r\n").into_bytes());
            }
            bytes.resize(bytes.len() + CHUNK_BYTES, b'x');
            if is_chunked {
                bytes.extend(b"\r\n");
            }
            wire.send(&bytes)?;
            let share = f64::from(u32::try_from(number).unwrap_or(0)) / chunks as f64;
            Engine::sleep_until(begun_at + UPLOAD.mul_f64(share));
        }
        if is_chunked {
            wire.send(b"0\r\n\r\n")?;
        }
        Ok(wire.answer().map_or(0, |(answer, _)| answer.status()))
    };
    send().unwrap_or(0)
}

/// How the requests of `rush-reply` ended.
#[derive(Default)]
struct Counts {
    sent: AtomicU32,
    served: AtomicU32,
    /// Answers that ended early.
    cut: AtomicU32,
    /// Requests of kept connections, by instance, that reached a server and whose connection then
    /// ended without an answer.
    unanswered: Mutex<Vec<u32>>,
}

/// Sends requests one after the other on a connection that is kept as long as it lasts.
fn rush_caller(
    caller: usize,
    addresses: &[SocketAddr],
    counts: &Counts,
    observed: &Mutex<Observed>,
    record: &Record,
    is_over: &AtomicBool,
) {
    let instance = caller % addresses.len();
    let mut connection: Option<(Wire, u32)> = None;
    for number in 0_u32.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let (mut wire, served_before) = match connection.take() {
            Some(kept) => kept,
            None => match TcpStream::connect(addresses[instance]) {
                Ok(stream) => {
                    let _ = stream.set_read_timeout(Some(Duration::from_secs(12)));
                    (Wire::new(stream), 0)
                }
                Err(_) => {
                    std::thread::sleep(Duration::from_millis(200));
                    continue;
                }
            },
        };
        let id = format!("rush-reply-{caller}-{number}");
        let body = format!("{{\"prompt\":\"{id}\"}}");
        let framing = format!("Content-Length: {}", body.len());
        counts.sent.fetch_add(1, Ordering::Relaxed);
        let is_sent = wire.send((head(&id, "rush-reply", 12_000, &framing) + &body).as_bytes());
        match is_sent.ok().and_then(|()| wire.answer()) {
            Some((answer, Ending::Whole)) => {
                let is_served = answer.status() == 200;
                counts.served.fetch_add(u32::from(is_served), Ordering::Relaxed);
                connection = Some((wire, served_before + 1));
            }
            Some((answer, Ending::BrokenOff)) => {
                counts.cut.fetch_add(1, Ordering::Relaxed);
                let (status, length) = (answer.status(), answer.body.len());
                record.line(&format!(
                    "caller: {id} got {status} and {length} bytes, then its connection ended"
                ));
            }
            None => {
                let has_arrived = observed.lock().expect("locking").arrived.contains(&id);
                let is_counted = has_arrived && served_before > 0;
                counts.unanswered.lock().expect("locking")[instance] += u32::from(is_counted);
                record.line(&format!(
                    "caller: {id} got no answer on a connection with {served_before} answers before (reached a server: {has_arrived})"
                ));
            }
        }
    }
}

/// Kills and starts again an instance that exceeds the memory of its machine, as the platform does.
fn watch(
    instance: &Arc<Mutex<Instance>>,
    peak: &Arc<AtomicUsize>,
    kills: &Arc<AtomicU32>,
    is_over: &Arc<AtomicBool>,
    record: &Record,
) -> std::thread::JoinHandle<()> {
    let (instance, peak, kills) = (instance.clone(), peak.clone(), kills.clone());
    let (is_over, record) = (is_over.clone(), record.clone());
    std::thread::spawn(move || {
        while !is_over.load(Ordering::Relaxed) {
            let mut instance = instance.lock().expect("locking an instance");
            let bytes = instance.resident_bytes();
            peak.fetch_max(bytes, Ordering::Relaxed);
            if bytes > MEMORY_BYTES {
                record.line(&format!("{} has {} MiB: killed", instance.name, bytes >> 20));
                kills.fetch_add(1, Ordering::Relaxed);
                instance.kill_and_restart(RESTART_DELAY);
            }
            drop(instance);
            std::thread::sleep(Duration::from_millis(10));
        }
    })
}

pub fn run(folder: &Path, record: &Record, bodies: Bodies) -> i32 {
    let (store, store_address) = Store::start();
    store.put("op/config", &configuration());
    let (runs, observed) = (Runs::default(), Arc::new(Mutex::new(Observed::default())));
    let _engines: Vec<Arc<Engine>> = (0..ENGINES)
        .map(|number| {
            let id = format!("i-engine-{number}");
            let place = (id.as_str(), ZONES[number % ZONES.len()], "linen-talk");
            Engine::start(
                place,
                &["busy"],
                &store,
                record,
                &runs,
                &observed,
                Settings {
                    first_event: BUSY_FIRST_EVENT,
                    ..Settings::default()
                },
            )
        })
        .collect();
    let instances: Vec<Arc<Mutex<Instance>>> = (0..INSTANCES)
        .map(|number| Instance::start(number, ZONES[0], store_address, BOUNDS, folder))
        .map(|instance| Arc::new(Mutex::new(instance)))
        .collect();
    let locked = |instance: &Arc<Mutex<Instance>>| {
        let instance = instance.lock().expect("locking an instance");
        (
            instance.callers,
            instance.wait_until_ready(Duration::from_secs(15)),
        )
    };
    let started: Vec<(SocketAddr, bool)> = instances.iter().map(locked).collect();
    if !started.iter().all(|(_, is_ready)| *is_ready) {
        record.line("an instance did not become ready");
        return 2;
    }
    let addresses: Vec<SocketAddr> = started.iter().map(|(address, _)| *address).collect();
    let (is_over, kills) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(0)));
    let peak = Arc::new(AtomicUsize::new(0));
    let counts = Arc::new(Counts {
        unanswered: Mutex::new(vec![0; addresses.len()]),
        ..Counts::default()
    });
    let watchers: Vec<_> = instances
        .iter()
        .map(|instance| watch(instance, &peak, &kills, &is_over, record))
        .collect();
    let callers: Vec<_> = (0..RUSH_CALLERS)
        .map(|caller| {
            let (addresses, counts, observed) = (addresses.clone(), counts.clone(), observed.clone());
            let (record, is_over) = (record.clone(), is_over.clone());
            std::thread::spawn(move || {
                rush_caller(caller, &addresses, &counts, &observed, &record, &is_over);
            })
        })
        .collect();
    std::thread::sleep(WARM_UP);
    for burst in 0..BURSTS {
        if bodies != Bodies::None {
            record.line(&format!(
                "burst {burst}: {BURST_CALLERS} callers send {BODY_BYTES} bytes each"
            ));
            let uploads: Vec<_> = (0..BURST_CALLERS)
                .map(|number| {
                    let address = addresses[number % addresses.len()];
                    let id = format!("claim-summary-{burst}-{number}");
                    std::thread::spawn(move || upload(address, &id, bodies))
                })
                .collect();
            let mut statuses: Vec<u16> = uploads.into_iter().map(|one| one.join().unwrap_or(0)).collect();
            statuses.sort_unstable();
            let count = |status| statuses.iter().filter(|one| **one == status).count();
            record.line(&format!(
                "burst {burst}: {} callers got 200, {} got 503, {} got no answer",
                count(200),
                count(503),
                count(0)
            ));
        }
        std::thread::sleep(CALM);
    }
    is_over.store(true, Ordering::Relaxed);
    for thread in watchers.into_iter().chain(callers) {
        let _ = thread.join();
    }
    let load = |count: &AtomicU32| count.load(Ordering::Relaxed);
    let (sent, served, cut) = (load(&counts.sent), load(&counts.served), load(&counts.cut));
    let (kills, peak) = (load(&kills), peak.load(Ordering::Relaxed) >> 20);
    record.line(&format!(
        "largest resident memory: {peak} MiB, {} MiB are allowed; {kills} times killed for it",
        MEMORY_BYTES >> 20
    ));
    record.line(&format!(
        "rush-reply: {sent} sent, {served} served whole, {cut} answers cut off"
    ));
    if served < sent / 2 {
        record.line("too few requests were served");
        return 2;
    }
    let unanswered = counts.unanswered.lock().expect("locking").clone();
    record.line(&format!(
        "requests of kept connections that reached a server and got no answer, by instance: {unanswered:?}"
    ));
    if kills > 0 && unanswered.iter().any(|count| *count > MAX_UNANSWERED) {
        record.line("RULE BROKEN (LOST): a machine passed on more than three requests of kept connections and then closed these without an answer, because its process ended for its memory");
        return 1;
    }
    0
}
