//! Servers of two software versions serve side by side, and some of them crash. Requesters take up the streams that
//! broke off.

use crate::engine::{Build, Engine, MODEL_MB, WEIGHTS_MB};
use crate::instance::Instance;
use crate::record::Record;
use crate::store::Store;
use crate::{Site, Verdict, http};
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const ENGINES: usize = 9;
/// So many engines have the older version, the others the newer one.
const OLDER: usize = 5;
/// Models that fit into an engine.
const PLACES: usize = 3;
const MODELS: usize = 50;
/// `rush-reply` asks for the first models.
const BUSY_MODELS: usize = 5;
const RUSH_INTERVAL: Duration = Duration::from_millis(35);
/// One `claim-summary` for so many `rush-reply`.
const RUSHES_PER_CLAIM: usize = 7;
const RUSH_DEADLINE: Duration = Duration::from_millis(12_000);
const CLAIM_DEADLINE: Duration = Duration::from_millis(25_000);
/// Time of calm before the first crash.
const WARM_UP: Duration = Duration::from_secs(15);
/// Two of nine servers crash, for 5 s; both of one version.
const ROUNDS: [[usize; 2]; 3] = [[0, 1], [5, 6], [2, 3]];
const DOWN: Duration = Duration::from_secs(5);
const CALM: Duration = Duration::from_secs(12);
/// The rule counts from so many streams on, and while so many servers of their version serve.
const COUNTED_FROM: usize = 12;
const SERVING: usize = 2;

const fn build(version: &'static str) -> Build {
    Build {
        service: "linen-talk",
        version,
        store_load: Duration::from_secs(6),
        events: 49,
        event_interval: Duration::from_millis(40),
    }
}

/// The models that an engine holds at the start: each of the busy ones is at one engine of either version, and rare ones
/// take the other places.
fn models_at_start(engine: usize) -> Vec<String> {
    let busy = if engine < OLDER {
        engine
    } else {
        engine - OLDER
    };
    let mut models = vec![busy];
    if engine == OLDER {
        models.push(BUSY_MODELS - 1);
    }
    let rare = BUSY_MODELS + engine * PLACES;
    models.extend(rare..rare + PLACES - models.len());
    models.iter().map(|model| format!("m{model}")).collect()
}

fn configuration() -> String {
    let model = |number| {
        format!(
            "{{\"name\":\"m{number}\",\"weights_mb\":{MODEL_MB},\"load_time_s\":6.0,\"adapters\":0,\"adapter_mb\":66.0,\"warm_s\":0.4,\"disk_s\":0.84}}"
        )
    };
    let models: Vec<String> = (0..MODELS).map(model).collect();
    let route = |name, goal_ms, timeout_ms, priority, attempts, is_resumable| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"linen.example\",\"prefix\":\"/{name}/\",\"kind\":\"streaming\",\"timeout_ms\":{timeout_ms},\"goal_ms\":{goal_ms},\"priority\":{priority},\"service\":\"linen-talk\",\"attempts\":{attempts},\"sticky\":true,\"resumable\":{is_resumable},\"gap_target_ms\":300}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{{\"name\":\"linen-talk\",\"health_path\":\"/health\",\"max_conns\":360,\"engine\":{{\"slots\":64,\"kv_capacity\":156843,\"stride\":6,\"weights_mb\":{WEIGHTS_MB},\"adapter_slots\":8,\"loads_per_s\":3.1,\"models\":[{}]}}}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        route("rush-reply", 400, 12_000, 1, 2, true),
        route("claim-summary", 2_500, 25_000, 0, 1, false),
        models.join(",")
    )
}

/// What a requester has of an answer.
#[derive(Default)]
struct Received {
    status: String,
    retry_after: Option<String>,
    last_event: u64,
    /// The version that wrote the last event.
    version: String,
    is_whole: bool,
}

/// Sends one attempt and reads its answer until the end.
fn attempt(callers: SocketAddr, head: &str, longest_gap: Duration) -> Received {
    let mut received = Received::default();
    let Ok(mut stream) = TcpStream::connect(callers) else {
        return received;
    };
    let _ = stream.set_read_timeout(Some(longest_gap));
    http::write(&mut stream, format!("{head}\r\n{{}}").as_bytes());
    let mut bytes = Vec::new();
    let mut part = [0; 4096];
    loop {
        match stream.read(&mut part) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&part[..count]),
            _ => break,
        }
        let is_refused = !bytes.starts_with(b"HTTP/1.1 200") && bytes.len() > 12;
        if bytes.ends_with(b"\r\n0\r\n\r\n") || is_refused {
            received.is_whole = !is_refused;
            break;
        }
    }
    let text = String::from_utf8_lossy(&bytes);
    received.status = text.split(' ').nth(1).unwrap_or_default().to_owned();
    for line in text.lines() {
        let lower = line.to_ascii_lowercase();
        if let Some(value) = lower
            .strip_prefix("retry-after:")
            .or(lower.strip_prefix("resume-refused:"))
        {
            let known = received.retry_after.take().unwrap_or_default();
            received.retry_after = Some(format!("{known} {}", value.trim()));
        }
        if let Some(number) = line.strip_prefix("id: ") {
            received.last_event = number.parse().unwrap_or(received.last_event);
        }
        if let Some(data) = line.strip_prefix("data: ") {
            received.version = data.rsplit(' ').next().unwrap_or_default().to_owned();
        }
    }
    received
}

fn head(route: &str, id: &str, model: usize, deadline: Duration, extra: &str) -> String {
    format!(
        "POST /{route}/{id} HTTP/1.1\r\nHost: linen.example\r\nRequest-Id: {id}\r\nModel: m{model}\r\nToken-Usage: 628,294\r\nPrompt-Prefix: {id}:628\r\nDeadline-Ms: {}\r\nContent-Length: 2\r\nConnection: close\r\n{extra}",
        deadline.as_millis()
    )
}

#[derive(Default)]
struct Counts {
    new: usize,
    begun: usize,
    taken_up: usize,
    gone_on: usize,
}

/// What all requesters share.
struct Shared {
    instances: Vec<SocketAddr>,
    engines: Vec<Engine>,
    record: Record,
    /// Counting has begun.
    is_counting: AtomicBool,
    counts: Mutex<Counts>,
}

impl Shared {
    fn rush(&self, number: usize) {
        let is_counted = self.is_counting.load(Ordering::Relaxed);
        let (id, model, begin) = (
            format!("rush-{number}"),
            number % BUSY_MODELS,
            Instant::now(),
        );
        // A requester gives up after a gap of eight times the pause.
        let gap = Duration::from_millis(2_400);
        let address = |number: usize| self.instances[number % self.instances.len()];
        let first = attempt(
            address(number),
            &head("rush-reply", &id, model, RUSH_DEADLINE, ""),
            gap,
        );
        if is_counted {
            let mut counts = self.counts.lock().unwrap();
            counts.new += 1;
            counts.begun += usize::from(first.last_event > 0);
        }
        if first.is_whole {
            return;
        }
        self.record.line(&format!(
            "requester of {id} for m{model}: {} {:?}, not whole, {} events of {}",
            first.status, first.retry_after, first.last_event, first.version
        ));
        let left = RUSH_DEADLINE.saturating_sub(begin.elapsed());
        if first.last_event == 0 || left.is_zero() {
            return;
        }
        let engines = self.engines.iter();
        let serving = engines.filter(|engine| engine.is_running());
        let serving = serving.filter(|engine| engine.version() == first.version);
        let serving = serving.count();
        let again = format!("Last-Event-Id: {}\r\nResumes: {id}\r\n", first.last_event);
        let second_id = format!("{id}-again");
        // The path and the rest are those of the first attempt.
        let again = head("rush-reply", &id, model, left, &again).replace(
            &format!("Request-Id: {id}\r\n"),
            &format!("Request-Id: {second_id}\r\n"),
        );
        let second = attempt(address(number + 1), &again, gap);
        self.record.line(&format!(
            "requester of {id} took it up after {:?}, {serving} servers of {} serve: {} {:?}, up to event {}",
            begin.elapsed(),
            first.version,
            second.status,
            second.retry_after,
            second.last_event
        ));
        if serving >= SERVING {
            let mut counts = self.counts.lock().unwrap();
            counts.taken_up += 1;
            counts.gone_on += usize::from(second.last_event > first.last_event);
        }
    }

    fn claim(&self, number: usize) {
        // A fixed order in which all rare models come.
        let model = BUSY_MODELS + number * 17 % (MODELS - BUSY_MODELS);
        let gap = Duration::from_secs(10);
        let id = format!("claim-{number}");
        let received = attempt(
            self.instances[number % self.instances.len()],
            &head("claim-summary", &id, model, CLAIM_DEADLINE, ""),
            gap,
        );
        if !received.is_whole {
            self.record.line(&format!(
                "requester of {id} for m{model}: {}, {} events",
                received.status, received.last_event
            ));
        }
    }
}

pub fn run(site: &Site, record: &Record) -> Verdict {
    let (store, store_address) = Store::start("127.0.0.1");
    store.put("op/config", &configuration());
    // For comparison: the same crashes, but all servers have one version.
    let has_one_version = std::env::var("TROUBLE").as_deref() == Ok("one-version");
    let engines: Vec<Engine> = (0..ENGINES)
        .map(|number| {
            let is_newer = number >= OLDER && !has_one_version;
            let models = models_at_start(number);
            let (id, build) = (
                format!("e-{number}"),
                build(if is_newer { "v2" } else { "v1" }),
            );
            Engine::start(
                &store,
                record,
                (&id, &site.ip(100)),
                &build,
                &models,
                &models,
            )
        })
        .collect();
    let instances: Vec<Instance> = (1..=3)
        .map(|number| {
            Instance::start(
                &site.root,
                &site.folder,
                &format!("instance-{number}"),
                &site.ip(10 + number),
                store_address,
            )
        })
        .collect();
    for instance in &instances {
        if !instance.wait_ready(Duration::from_secs(20)) {
            return Verdict::NotRun;
        }
    }
    let shared = Arc::new(Shared {
        instances: instances.iter().map(|instance| instance.callers).collect(),
        engines,
        record: record.clone(),
        is_counting: AtomicBool::new(false),
        counts: Mutex::default(),
    });
    let is_over = Arc::new(AtomicBool::new(false));
    let (traffic, ends) = (shared.clone(), is_over.clone());
    std::thread::spawn(move || {
        for number in 0.. {
            if ends.load(Ordering::Relaxed) {
                return;
            }
            let requester = traffic.clone();
            std::thread::spawn(move || requester.rush(number));
            if number % RUSHES_PER_CLAIM == 0 {
                let requester = traffic.clone();
                std::thread::spawn(move || requester.claim(number / RUSHES_PER_CLAIM));
            }
            std::thread::sleep(RUSH_INTERVAL);
        }
    });
    std::thread::sleep(WARM_UP);
    shared.is_counting.store(true, Ordering::Relaxed);
    for round in ROUNDS {
        if site.trouble {
            record.line(&format!("these servers crash: {round:?}"));
            for number in round {
                shared.engines[number].crash();
            }
        }
        std::thread::sleep(DOWN);
        if site.trouble {
            for number in round {
                if !shared.engines[number].restart() {
                    return Verdict::NotRun;
                }
            }
            record.line("they have started again");
        }
        std::thread::sleep(CALM);
    }
    is_over.store(true, Ordering::Relaxed);
    std::thread::sleep(Duration::from_secs(4));
    let counts = shared.counts.lock().unwrap();
    record.line(&format!(
        "of {} streams that requesters took up again while {SERVING} servers of their version served, {} went on; of {} new ones {} began",
        counts.taken_up, counts.gone_on, counts.new, counts.begun
    ));
    let is_counted = counts.taken_up >= COUNTED_FROM;
    // Under half of the share of new streams that begin.
    if is_counted && 2 * counts.gone_on * counts.new < counts.begun * counts.taken_up {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
