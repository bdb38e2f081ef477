//! A randomized soak test of two instances among stand-ins. The store fails, servers break off
//! streams, fall silent and drop answers, and instances are restarted.
//!
//! `PASSWAY_SOAK_STEPS` sets the number of steps, `PASSWAY_SOAK_SEED` the seed. The invariants are
//! checked against the stand-ins' records and the callers' answers and don't depend on times.

use crate::cluster::{self, fetch, list_plain, request, until};
use crate::support::number_from_env;
use passway_instance::Instance;
use passway_standins::platform::model_server::{self, EVENTS, ModelServer, event};
use passway_standins::platform::raw::{RawServer, Received, Step};
use passway_standins::platform::store::{Faults, MetadataStandIn};
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::Mutex;

const DEFAULT_STEPS: u64 = 40;
const MODELS: [&str; 5] = ["m0", "m1", "m2", "m3", "m4"];
/// Probability of each fault in a step.
const FAULT_CHANCE: f64 = 0.15;

type Answers = Arc<Mutex<Vec<(String, u16)>>>;

/// Starts a plain server that closes connections, sheds requests or answers, depending on the
/// request's number.
fn start_plain_server() -> RawServer {
    RawServer::start(|received| {
        let id = received.header("request-id").unwrap_or_default();
        let head = |status, headers: &str| {
            let text = format!(
                "HTTP/1.1 {status} X\r\nRequest-Id: {id}\r\nContent-Length: 2\r\n{headers}\r\nok"
            );
            vec![Step::Send(text.into_bytes())]
        };
        match received.number % 7 {
            2 => vec![Step::Close],
            4 => head(503, "Not-Executed: 1\r\n"),
            5 => head(500, "Response-Seal: s\r\n"),
            _ => head(200, "Response-Seal: s\r\n"),
        }
    })
}

/// Whether a request asks which server listens at the address, and runs nothing.
fn is_health_check(received: &Received) -> bool {
    received.request_line().starts_with("GET /health ")
}

fn random_store_faults(rng: &mut ChaCha8Rng) -> Faults {
    let mut faults = Faults::default();
    match rng.random_range(0..4) {
        0 => faults.error_status = Some(503),
        1 => faults.error_status = Some(429),
        2 => faults.sends_invalid_json = true,
        _ => faults.answers_to_drop = 2,
    }
    faults
}

fn random_server_faults(rng: &mut ChaCha8Rng) -> model_server::Faults {
    let event_count = Some(rng.random_range(0..EVENTS));
    match rng.random_range(0..3) {
        0 => model_server::Faults {
            cut_after_events: event_count,
            ..Default::default()
        },
        1 => model_server::Faults {
            silent_after_events: event_count,
            ..Default::default()
        },
        _ => model_server::Faults {
            drops_order_answer: true,
            ..Default::default()
        },
    }
}

/// Sends a stream request or a call that may be executed at most once, and records the answer.
fn call(address: std::net::SocketAddr, number: u64, model: &str, answers: &Answers) {
    let id = format!("r{number}");
    let (path, headers) = match number % 3 {
        0 => ("/pay/", String::new()),
        1 => ("/chat/", format!("Model: {model}\r\n")),
        _ => ("/report/", format!("Model: {model}\r\n")),
    };
    let headers = headers + "Connection: close\r\n";
    let bytes = request("POST", path, &id, &headers, "{}");
    let Some(answer) = fetch(address, &bytes) else {
        return;
    };
    if answer.status == 200 && !number.is_multiple_of(3) {
        let events: Vec<String> = (1..=EVENTS).map(event).collect();
        assert!(events.concat().starts_with(&answer.body), "{}", answer.body);
        assert!(
            !answer.is_complete || answer.body == events.concat(),
            "{}",
            answer.body
        );
    }
    answers.lock().expect("answers").push((id, answer.status));
}

fn start_instances(store: &MetadataStandIn) -> [Instance; 2] {
    ["one", "two"].map(|name| cluster::start_ready(name, store))
}

#[test]
fn random_faults() {
    let steps = number_from_env("PASSWAY_SOAK_STEPS", DEFAULT_STEPS);
    let mut rng = ChaCha8Rng::seed_from_u64(number_from_env("PASSWAY_SOAK_SEED", 1));
    let store = cluster::store(&MODELS);
    let plain_servers = [start_plain_server(), start_plain_server()];
    for (number, server) in plain_servers.iter().enumerate() {
        list_plain(&store, &format!("p-{number}"), server.address, "ready");
    }
    let servers = ["i-0", "i-1", "i-2"]
        .map(|id| ModelServer::start(&store, id, "engines", 2, &["m0", "m1"], &["m2", "m3", "m4"]));
    let mut instances = start_instances(&store);
    let answers = Answers::default();
    let mut callers = Vec::new();
    for step in 0..steps {
        if rng.random_bool(FAULT_CHANCE) {
            store.set_faults(random_store_faults(&mut rng));
        } else if rng.random_bool(0.5) {
            store.set_faults(Faults::default());
        }
        if rng.random_bool(FAULT_CHANCE) {
            store.compact_history();
        }
        for server in &servers {
            if rng.random_bool(FAULT_CHANCE) {
                server.set_faults(random_server_faults(&mut rng));
            }
        }
        if rng.random_bool(FAULT_CHANCE / 3.0) {
            // One instance is restarted; the other one takes over the leadership.
            let index = rng.random_range(0..2);
            instances[index].stop();
            store.set_faults(Faults::default());
            instances[index] = cluster::start_ready(["one", "two"][index], &store);
        }
        for offset in 0..4 {
            let number = step * 4 + offset;
            let address = instances[rng.random_range(0..2)].callers_address();
            let model = MODELS[rng.random_range(0..MODELS.len())];
            let answers = answers.clone();
            callers.push(std::thread::spawn(move || {
                call(address, number, model, &answers);
            }));
        }
        std::thread::sleep(Duration::from_millis(rng.random_range(10..60)));
    }
    store.set_faults(Faults::default());
    for caller in callers {
        caller.join().expect("a caller");
    }
    check_invariants(&servers, &plain_servers, &answers);
    until("service after the faults", || {
        let bytes = request("POST", "/report/", "last", "Model: m4\r\n", "{}");
        let answer = fetch(instances[0].callers_address(), &bytes);
        answer.is_some_and(|answer| answer.is_complete && answer.status == 200)
    });
}

fn check_invariants(servers: &[ModelServer], plain_servers: &[RawServer], answers: &Answers) {
    let answers = answers.lock().expect("answers");
    let mut execution_counts: BTreeMap<String, usize> = BTreeMap::new();
    for server in servers {
        assert_eq!(
            server.loads_over_capacity(),
            0,
            "a load order beyond the capacity"
        );
        let mut highest_fence = 0;
        for order in server.accepted_orders() {
            assert!(
                order.fence >= highest_fence,
                "an older holder's order after a newer one's"
            );
            highest_fence = order.fence;
        }
        for id in server.executed_ids() {
            *execution_counts.entry(id).or_default() += 1;
        }
    }
    for server in plain_servers {
        // The requests with remainder 4 are shed; all others count as executed.
        for received in server
            .received()
            .iter()
            .filter(|request| request.number % 7 != 4 && !is_health_check(request))
        {
            let id = received.header("request-id").unwrap_or_default();
            *execution_counts.entry(id.to_owned()).or_default() += 1;
        }
    }
    for (id, count) in &execution_counts {
        let number: u64 = id[1..].parse().unwrap_or(1);
        let is_resumable = number % 3 == 1;
        assert!(
            is_resumable || *count <= 1,
            "{id} was executed {count} times"
        );
    }
    for (id, status) in answers.iter() {
        let number: u64 = id[1..].parse().unwrap_or(1);
        let is_refused = matches!(status, 429 | 503);
        let is_once_only = number % 3 != 1;
        assert!(
            !(is_refused && is_once_only && execution_counts.contains_key(id)),
            "{id} was executed and refused"
        );
    }
}
