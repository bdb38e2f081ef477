//! Case: the store returns from a copy some seconds old while the holder of that time is cut off from
//! it, and that instance gives orders again right after its successor.

use crate::engine::{Engine, MODEL_MB, Observed, Runs, SERVER_MB, SeenOrder, Settings};
use crate::http::call;
use crate::instance::Instance;
use crate::proxy::Path as Link;
use crate::record::Record;
use crate::store::Store;
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
/// `lease_ms` and `thaw_slack_ms` of the bounds.
const LEASE: Duration = Duration::from_millis(3_000);
const THAW_SLACK: Duration = Duration::from_millis(300);
/// Machines of the site.
const INSTANCES: u8 = 7;
const MODELS: u32 = 9;
const WARM_UP: Duration = Duration::from_secs(8);
const ROUNDS: u32 = 7;
/// Time of calm before a round, in which the holder's candidates are stored and it gives orders.
const CALM: Duration = Duration::from_secs(5);
/// How long the store is away before it returns.
const AWAY: Duration = Duration::from_millis(300);
/// Largest length of a cut: `for_s` of `core_cut` is 5.5.
const MAX_CUT: Duration = Duration::from_millis(5_400);
/// Time in which the successor gives orders before the store returns.
const SUCCESSOR_ORDERS: Duration = Duration::from_millis(300);
const AFTERMATH: Duration = Duration::from_secs(4);
/// Pause between two requests for models that are not loaded.
const REQUEST_PAUSE: Duration = Duration::from_millis(300);

/// What happens to the store and its holder.
#[derive(Clone, Copy, PartialEq)]
pub enum Disruption {
    None,
    /// Only the cut.
    Cut,
    /// The cut, and the store returns from an older copy.
    CutAndReturn,
}

fn configuration() -> String {
    let model = |number: u32| {
        format!(
            "{{\"name\":\"r{number}\",\"weights_mb\":{MODEL_MB},\"load_time_s\":6.0,\"adapters\":0,\
             \"adapter_mb\":66.0,\"warm_s\":0.4,\"disk_s\":0.84}}"
        )
    };
    let models: Vec<String> = (0..MODELS).map(model).collect();
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"claim-summary\",\"host\":\"{HOST}\",\
         \"prefix\":\"/claim-summary/\",\"kind\":\"streaming\",\"timeout_ms\":25000,\"goal_ms\":2500,\
         \"priority\":0,\"service\":\"linen-talk\",\"attempts\":1,\"sticky\":true,\"resumable\":false,\
         \"gap_target_ms\":300}}],\"services\":[{{\"name\":\"linen-talk\",\"health_path\":\"/health\",\
         \"max_conns\":360,\"engine\":{{\"slots\":64,\"kv_capacity\":156843,\"stride\":6,\"models\":[{}],\
         \"weights_mb\":{SERVER_MB},\"adapter_slots\":8,\"loads_per_s\":3.1}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        models.join(",")
    )
}

/// Asks for one model after the other, so that there are orders all the time.
fn send_requests(addresses: Vec<SocketAddr>, is_over: Arc<AtomicBool>, served: Arc<AtomicU32>) {
    for number in 0_u32.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let address = addresses[number as usize % addresses.len()];
        let served = served.clone();
        std::thread::spawn(move || {
            let id = format!("claim-summary-{number:05}");
            let bytes = format!(
                "POST /claim-summary/generate HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
                 Model: r{}\r\nToken-Usage: 628,240\r\nPrompt-Prefix: {number:x}:628\r\n\
                 Deadline-Ms: 25000\r\nContent-Length: 2\r\n\r\n{{}}",
                number * 4 % MODELS
            );
            let answer = call(address, bytes.as_bytes(), Duration::from_secs(25));
            let is_served = answer.is_some_and(|(answer, _)| answer.status() == 200);
            served.fetch_add(u32::from(is_served), Ordering::Relaxed);
        });
        std::thread::sleep(REQUEST_PAUSE);
    }
}

/// Two instances that take turns at a server: one orders, the other one follows within [`LEASE`], and
/// the first one orders again within [`LEASE`] of the other's last order. Orders right after a cut has
/// healed don't count. Returns the other's last order and the order after it.
fn find_turn(orders: &[SeenOrder], healed: &[(String, Instant)]) -> Option<(SeenOrder, SeenOrder)> {
    let is_excused = |order: &SeenOrder| {
        let mut own = healed.iter().filter(|(name, _)| *name == order.holder);
        own.any(|(_, at)| order.at >= *at && order.at < *at + THAW_SLACK)
    };
    for (number, order) in orders.iter().enumerate() {
        let before: Vec<&SeenOrder> = orders[..number]
            .iter()
            .filter(|earlier| earlier.server == order.server)
            .collect();
        let Some(last) = before.last().filter(|last| last.holder != order.holder) else {
            continue;
        };
        let own_last = before.iter().rposition(|earlier| earlier.holder == order.holder);
        let Some(own_last) = own_last.filter(|_| !is_excused(order)) else {
            continue;
        };
        let follows = before[own_last + 1].at.duration_since(before[own_last].at) < LEASE;
        if follows && order.at.duration_since(last.at) < LEASE {
            return Some(((*last).clone(), order.clone()));
        }
    }
    None
}

/// Waits until an instance other than `name` has given an order.
fn wait_for_successor(
    observed: &Mutex<Observed>,
    name: &str,
    since: Instant,
    until: Instant,
) -> Option<String> {
    while Instant::now() < until {
        let successor = {
            let observed = observed.lock().expect("locking");
            let mut orders = observed.orders.iter().rev();
            let found = orders.find(|order| order.at > since && order.holder != name);
            found.map(|order| order.holder.clone())
        };
        if successor.is_some() {
            return successor;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    None
}

pub fn run(folder: &Path, record: &Record, disruption: Disruption) -> i32 {
    let (store, store_address) = Store::start();
    store.put("op/config", &configuration());
    let (runs, observed) = (Runs::default(), Arc::new(Mutex::new(Observed::default())));
    let settings = Settings {
        load_time: Duration::from_millis(400),
        in_memory: (0..MODELS).map(|number| format!("r{number}")).collect(),
        ..Settings::default()
    };
    let place = ("i-engine-0", ZONES[0], "linen-talk");
    let _engine = Engine::start(
        place,
        &["r0", "r1", "r2"],
        &store,
        record,
        &runs,
        &observed,
        settings,
    );
    let links: Vec<Arc<Link>> = (0..INSTANCES).map(|_| Link::start(store_address)).collect();
    let instances: Vec<Instance> = (0..INSTANCES)
        .map(|number| {
            let zone = ZONES[usize::from(number) % ZONES.len()];
            Instance::start(number, zone, links[usize::from(number)].address, BOUNDS, folder)
        })
        .collect();
    if !instances
        .iter()
        .all(|instance| instance.wait_until_ready(Duration::from_secs(15)))
    {
        record.line("an instance did not become ready");
        return 2;
    }
    let (is_over, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(0)));
    let sender = {
        let addresses = instances.iter().map(|instance| instance.callers).collect();
        let (is_over, served) = (is_over.clone(), served.clone());
        std::thread::spawn(move || send_requests(addresses, is_over, served))
    };
    std::thread::sleep(WARM_UP);
    let mut healed = Vec::new();
    let mut returns = 0;
    for round in 0..ROUNDS {
        std::thread::sleep(CALM);
        let holder = store.get("passway/holder");
        let name = holder.split(' ').next().unwrap_or("").to_owned();
        let Some(number) = instances.iter().position(|instance| instance.name == name) else {
            record.line(&format!("round {round}: nobody holds the leadership"));
            continue;
        };
        record.line(&format!(
            "round {round}: {name} holds the leadership; candidates: {:?}",
            store.get("passway/holders")
        ));
        if disruption == Disruption::None {
            std::thread::sleep(AFTERMATH);
            continue;
        }
        let copy = store.copy();
        let cut_at = Instant::now();
        links[number].set_resetting(true);
        record.line(&format!("round {round}: {name} is cut off from the store"));
        let until = cut_at + MAX_CUT - AWAY - SUCCESSOR_ORDERS;
        if let Some(successor) = wait_for_successor(&observed, &name, cut_at, until) {
            record.line(&format!("round {round}: {successor} gives orders"));
            std::thread::sleep(SUCCESSOR_ORDERS);
            if disruption == Disruption::CutAndReturn {
                record.line(&format!(
                    "round {round}: the store is away, and returns from a copy that is {} ms old",
                    cut_at.elapsed().as_millis()
                ));
                store.return_from(&copy, AWAY);
                returns += 1;
            }
        }
        links[number].set_resetting(false);
        healed.push((name.clone(), Instant::now()));
        record.line(&format!(
            "round {round}: the cut of {name} has healed after {} ms",
            cut_at.elapsed().as_millis()
        ));
        std::thread::sleep(AFTERMATH);
        if find_turn(&observed.lock().expect("locking").orders, &healed).is_some() {
            break;
        }
    }
    is_over.store(true, Ordering::Relaxed);
    let _ = sender.join();
    let orders = observed.lock().expect("locking").orders.clone();
    let begun_at = record.begun_at();
    for order in &orders {
        let at = order.at.duration_since(begun_at).as_secs_f64();
        record.line(&format!(
            "order at {at:.3} s at {} from {} with {}",
            order.server, order.holder, order.fence
        ));
    }
    let served = served.load(Ordering::Relaxed);
    record.line(&format!(
        "{} orders, {returns} returns of the store, {served} requests served",
        orders.len()
    ));
    if served == 0 || orders.len() < 10 {
        record.line("too few requests were served");
        return 2;
    }
    match find_turn(&orders, &healed) {
        Some((other, order)) => {
            let at = |order: &SeenOrder| order.at.duration_since(begun_at).as_secs_f64();
            record.line(&format!(
                "RULE BROKEN (ONE): {} ordered at {:.3} s, {} ms after {} had at {:.3} s, and had given orders to {} before",
                order.holder, at(&order), order.at.duration_since(other.at).as_millis(), other.holder, at(&other), order.server
            ));
            1
        }
        None => 0,
    }
}
