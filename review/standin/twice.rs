//! Case: a request that may run once is sent again, under its id, on a connection whose server still
//! owes a second copy of its refusal.

use crate::engine::{Engine, MODEL_MB, Observed, Runs, SERVER_MB, Settings};
use crate::http::{Ending, call};
use crate::instance::Instance;
use crate::record::Record;
use crate::store::Store;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
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
/// Time in which the instances get their shares of the retry allowance.
const WARM_UP: Duration = Duration::from_secs(14);
/// Length of a disturbance: `for_s` of `garble`, `extra late`, is 5.0.
const TROUBLE: Duration = Duration::from_secs(5);
const CALM: Duration = Duration::from_secs(3);
const TROUBLES: u32 = 9;
/// The sheet's number of model servers, and those of them that are garbled (`share` 0.6) and grey
/// (`share` 0.14).
const ENGINES: usize = 9;
const GARBLED: usize = 5;
const GREY: usize = 1;
/// Models that stand on one server each, two on a server.
const RARE_MODELS: u32 = 18;
/// Rare models that callers ask for at this time of the day.
const ASKED_MODELS: u32 = 6;
/// Pauses between requests: the sheet's 28.4 and 4.08 a second.
const RUSH_PAUSE: Duration = Duration::from_micros(35_200);
const SUMMARY_PAUSE: Duration = Duration::from_millis(245);

fn configuration() -> String {
    let model = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"weights_mb\":{MODEL_MB},\"load_time_s\":6.0,\"adapters\":0,\
             \"adapter_mb\":66.0,\"warm_s\":0.4,\"disk_s\":0.84}}"
        )
    };
    let rare = (0..RARE_MODELS).map(|number| format!("r{number}"));
    let models = std::iter::once("busy".to_owned()).chain(rare);
    let models: Vec<String> = models.map(|name| model(&name)).collect();
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
         \"kv_capacity\":156843,\"backups\":true,\"stride\":6,\"models\":[{}],\
         \"weights_mb\":{SERVER_MB},\"adapter_slots\":8,\"loads_per_s\":3.1}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        route("rush-reply", 12_000, 400, 1, 2, true),
        route("claim-summary", 25_000, 2_500, 0, 1, false),
        models.join(",")
    )
}

/// How a request ended, for the record.
fn ended(answer: Option<&(crate::http::Message, Ending)>) -> String {
    answer.map_or("no answer".to_owned(), |(answer, ending)| {
        format!("{} {ending:?}", answer.status())
    })
}

struct Callers {
    addresses: Vec<SocketAddr>,
    record: Record,
    sent: AtomicU32,
    served: AtomicU32,
    /// The ends of the requests that may run once.
    ends: Mutex<BTreeMap<String, u16>>,
}

impl Callers {
    fn send(self: &Arc<Self>, number: u32, route: &'static str, model: String) {
        let callers = self.clone();
        std::thread::spawn(move || {
            let address = callers.addresses[number as usize % callers.addresses.len()];
            let id = format!("{route}-{number:05}");
            let (deadline, is_once) = match route {
                "claim-summary" => (25_000, true),
                _ => (12_000, false),
            };
            let body = format!("{{\"prompt\":\"{id}\"}}");
            let bytes = format!(
                "POST /{route}/generate HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nModel: {model}\r\n\
                 Token-Usage: 628,240\r\nPrompt-Prefix: {number:x}:628\r\nDeadline-Ms: {deadline}\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            callers.sent.fetch_add(1, Ordering::Relaxed);
            let answer = call(address, bytes.as_bytes(), Duration::from_millis(deadline));
            let status = answer.as_ref().map_or(0, |(answer, _)| answer.status());
            let is_served = answer
                .as_ref()
                .is_some_and(|(_, ending)| *ending == Ending::Whole);
            callers
                .served
                .fetch_add(u32::from(is_served && status == 200), Ordering::Relaxed);
            if is_once {
                let end = ended(answer.as_ref());
                callers
                    .record
                    .line(&format!("caller: {id} ({model}) ends: {end}"));
                callers.ends.lock().expect("locking the ends").insert(id, status);
            }
        });
    }
}

pub fn run(folder: &Path, record: &Record, sheds: bool, repeats: bool) -> i32 {
    let (store, store_address) = Store::start();
    store.put("op/config", &configuration());
    let runs = Runs::default();
    let observed = Arc::new(Mutex::new(Observed::default()));
    let engines: Vec<Arc<Engine>> = (0..ENGINES)
        .map(|number| {
            let id = format!("i-engine-{number}");
            let rare = [2 * number, 2 * number + 1].map(|rare| format!("r{rare}"));
            let models = ["busy", &rare[0], &rare[1]];
            let place = (id.as_str(), ZONES[number % ZONES.len()], "linen-talk");
            Engine::start(
                place,
                &models,
                &store,
                record,
                &runs,
                &observed,
                Settings::default(),
            )
        })
        .collect();
    let instances: Vec<Instance> = (0..3)
        .map(|number| Instance::start(number, ZONES[number as usize], store_address, BOUNDS, folder))
        .collect();
    let patience = Duration::from_secs(15);
    if !instances
        .iter()
        .all(|instance| instance.wait_until_ready(patience))
    {
        record.line("an instance did not become ready");
        return 2;
    }
    let callers = Arc::new(Callers {
        addresses: instances.iter().map(|instance| instance.callers).collect(),
        record: record.clone(),
        sent: AtomicU32::new(0),
        served: AtomicU32::new(0),
        ends: Mutex::default(),
    });
    let is_over = Arc::new(AtomicBool::new(false));
    let senders = [("rush-reply", RUSH_PAUSE), ("claim-summary", SUMMARY_PAUSE)].map(|(route, pause)| {
        let (callers, is_over) = (callers.clone(), is_over.clone());
        std::thread::spawn(move || {
            let begun_at = Instant::now();
            for number in 0_u32.. {
                Engine::sleep_until(begun_at + pause * number);
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let model = match route {
                    "claim-summary" => format!("r{}", number % ASKED_MODELS),
                    _ => "busy".to_owned(),
                };
                callers.send(number, route, model);
            }
        })
    });
    std::thread::sleep(WARM_UP);
    let twice = || {
        let runs = runs.lock().expect("locking the runs");
        let twice = runs
            .iter()
            .filter(|(id, count)| id.starts_with("claim") && **count > 1);
        twice
            .map(|(id, count)| (id.clone(), *count))
            .collect::<Vec<(String, u32)>>()
    };
    for number in 0..TROUBLES {
        record.line(&format!(
            "trouble {number} begins (sheds: {sheds}, repeats: {repeats})"
        ));
        let set = |sheds: bool, repeats: bool| {
            for engine in &engines[..GREY] {
                engine.troubles.sheds.store(sheds, Ordering::Relaxed);
            }
            for engine in &engines[..GARBLED] {
                engine.troubles.repeats.store(repeats, Ordering::Relaxed);
            }
        };
        set(sheds, repeats);
        std::thread::sleep(TROUBLE);
        set(false, false);
        record.line(&format!("trouble {number} ends"));
        std::thread::sleep(CALM);
        if !twice().is_empty() {
            break;
        }
    }
    is_over.store(true, Ordering::Relaxed);
    for sender in senders {
        let _ = sender.join();
    }
    // The requests in progress end.
    std::thread::sleep(Duration::from_secs(3));
    let observed = observed.lock().expect("locking the count of answers");
    let (answers, surplus) = (observed.answers, observed.surplus);
    record.line(&format!(
        "garbled servers: {answers} answers, {surplus} second answers"
    ));
    let (sent, served) = (
        callers.sent.load(Ordering::Relaxed),
        callers.served.load(Ordering::Relaxed),
    );
    record.line(&format!("requests: {sent} sent, {served} served"));
    let twice = twice();
    let ends = callers.ends.lock().expect("locking the ends");
    for (id, count) in &twice {
        record.line(&format!(
            "RULE BROKEN (TWICE): {id} may run once and ran {count} times; it ended with {:?}",
            ends.get(id)
        ));
    }
    let refused = ends.iter().filter(|(id, status)| {
        let count = runs
            .lock()
            .expect("locking the runs")
            .get(*id)
            .copied()
            .unwrap_or(0);
        **status == 503 && count > 0
    });
    let refused: Vec<&String> = refused.map(|(id, _)| id).collect();
    for id in &refused {
        record.line(&format!("RULE BROKEN (REFUSED): {id} has run and got 503"));
    }
    if served < sent / 2 {
        record.line("too few requests were served");
        return 2;
    }
    i32::from(!twice.is_empty() || !refused.is_empty())
}
