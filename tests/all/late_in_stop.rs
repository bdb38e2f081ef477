//! Requests that come late in the grace of a planned stop are refused, and what was passed on gets its answer.
//!
//! Guards against requests that are taken and passed on so late that the end of the process cuts them off without an
//! answer, among them requests that may run once: on kept and new connections, with bodies that come late, with little
//! processor time, and through another instance.

use crate::cluster::{self, configuration, until};
use crate::cut_off_cluster::start_behind;
use crate::passed_on_requests::wait_until_passed_on;
use passway_standins::platform::caller::{Answer, Caller, HOST};
use passway_standins::platform::cut_path::PathState;
use passway_standins::platform::documents::plain_entry;
use passway_standins::platform::process::{InstanceProcess, Output, ProcessConfig};
use passway_standins::platform::raw::{RawServer, Received, Step};
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};

const GRACE: Duration = Duration::from_secs(8);
/// Requests that are sent later than this after the signal have no excuse (users' rule LOST).
const EXCUSED_UNTIL: Duration = Duration::from_secs(3);
/// From this part of the grace on, a server's work excuses the end of a request that was sent before.
const LATE_WORK: f64 = 5.0 / 6.0;
/// From this time after the signal on, requests are taken late.
const LATE: Duration = Duration::from_secs(2);
/// For how long callers go on after the signal.
const SENDING: Duration = Duration::from_millis(8_500);
/// Time before the signal in which callers send.
const BEFORE: Duration = Duration::from_millis(700);
const CALLERS: u64 = 120;
/// What a server works on a request, and how much later than its head a body comes, in milliseconds.
const WORK_MS: [u64; 5] = [100, 600, 1_500, 3_000, 5_500];
const BODY_DELAY_MS: [u64; 5] = [0, 0, 300, 1_500, 4_000];
/// Time for which a throttled instance runs, and for which it stands still then: together a tenth of a second, the
/// period after which Linux gives a process its share of a processor again.
const RUNNING: Duration = Duration::from_millis(12);
const STANDING: Duration = Duration::from_millis(88);

/// A request and what became of it.
#[derive(Debug)]
struct Sent {
    route: &'static str,
    work: Duration,
    body_delay: Duration,
    is_kept: bool,
    head_sent_at: Instant,
    answer: Option<Answer>,
}

/// Answers after the work that the request names; a stream with its events meanwhile.
fn work(received: &Received) -> Vec<Step> {
    let id = received.header("request-id").unwrap_or_default();
    let Some(work_ms) = received.header("x-work-ms") else {
        return vec![Step::Close];
    };
    let work_ms: u64 = work_ms.parse().expect("a number");
    let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n");
    if received.header("model").is_none() {
        let answer = format!("{head}Content-Length: 2\r\n\r\nok");
        return vec![
            Step::Pause(Duration::from_millis(work_ms)),
            Step::Send(answer.into_bytes()),
        ];
    }
    let mut steps = vec![Step::Send(
        format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes(),
    )];
    for number in 1..=work_ms / 100 {
        let event = format!("id: {number}\ndata: x\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        steps.push(Step::Pause(Duration::from_millis(100)));
        steps.push(Step::Send(chunk.into_bytes()));
    }
    steps.push(Step::Send(b"0\r\n\r\n".to_vec()));
    steps
}

/// A store with a plain server and an engine, and both of them.
fn site() -> (MetadataStandIn, [RawServer; 2]) {
    let store = MetadataStandIn::default();
    let mut document = configuration(1, &["m0"]);
    for route in document["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = json!(60_000);
    }
    for service in document["services"].as_array_mut().expect("services") {
        service["max_conns"] = json!(1_000);
    }
    store.put("op/config", &document);
    let servers = ["plain", "engines"].map(|service| {
        let server = RawServer::start(work);
        let mut entry = plain_entry(server.address);
        entry["service"] = json!(service);
        entry["slots"] = json!(1_000);
        entry["models"] = json!([{"name": "m0", "version": 1, "adapters": []}]);
        store.put(&format!("servers/{service}"), &entry);
        server
    });
    (store, servers)
}

/// Sends one request after the other until no connection is accepted any more, or until `ends_at`.
fn call_until(address: SocketAddr, number: u64, ends_at: Instant) -> BTreeMap<String, Sent> {
    let mut rng = ChaCha8Rng::seed_from_u64(number);
    let mut sent = BTreeMap::new();
    let mut kept: Option<Caller> = None;
    while Instant::now() < ends_at {
        let open = kept.take().filter(|_| rng.random_bool(0.7));
        let is_kept = open.is_some();
        let connected = open.or_else(|| TcpStream::connect(address).ok().map(Caller::from_stream));
        let Some(mut caller) = connected else {
            break;
        };
        let id = format!("q{number}-{}", sent.len());
        let route = *["pay", "pay", "read", "report"]
            .choose(&mut rng)
            .expect("one");
        let work_ms = *WORK_MS.choose(&mut rng).expect("one");
        let delay_ms = *BODY_DELAY_MS.choose(&mut rng).expect("one");
        let model = if route == "report" {
            "Model: m0\r\n"
        } else {
            ""
        };
        let head = format!(
            "POST /{route}/ HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 60000\r\n\
             X-Work-Ms: {work_ms}\r\n{model}Content-Length: 2\r\n\r\n"
        );
        let head_sent_at = Instant::now();
        if !caller.try_send(head.as_bytes()) {
            continue;
        }
        std::thread::sleep(Duration::from_millis(delay_ms));
        let answer = caller.try_send(b"{}").then(|| caller.receive()).flatten();
        let closes = |answer: &Answer| answer.header("connection") == Some("close");
        if answer
            .as_ref()
            .is_some_and(|answer| answer.is_complete && !closes(answer))
        {
            kept = Some(caller);
        }
        sent.insert(
            id,
            Sent {
                route,
                work: Duration::from_millis(work_ms),
                body_delay: Duration::from_millis(delay_ms),
                is_kept,
                head_sent_at,
                answer,
            },
        );
        std::thread::sleep(Duration::from_millis(rng.random_range(0..30)));
    }
    sent
}

impl Sent {
    /// Checks what became of a request that reached a server.
    fn check(&self, arrived_at: Instant, stopped_at: Instant) -> Result<(), String> {
        let sent_after = self.head_sent_at.saturating_duration_since(stopped_at);
        if sent_after > EXCUSED_UNTIL {
            return Err(format!("taken {sent_after:?} after the signal"));
        }
        let is_excused = arrived_at + self.work >= stopped_at + GRACE.mul_f64(LATE_WORK);
        let answer = self.answer.as_ref();
        let ends_with = |status| answer.is_some_and(|one| one.status == status && one.is_complete);
        // A stream that has begun is cut; any other request gets an answer in each case.
        let is_right = ends_with(200) || (is_excused && (ends_with(502) || self.route == "report"));
        let status = answer.map(|answer| (answer.status, answer.is_complete));
        is_right
            .then_some(())
            .ok_or_else(|| format!("ends with {status:?}, excused: {is_excused}"))
    }
}

/// Requests that reached a server.
#[derive(Debug, Default)]
#[must_use]
struct PassedOn {
    all: u32,
    /// Those that did later than [`LATE`] after the signal.
    late: u32,
}

/// Sends requests of many callers to an instance and stops it meanwhile with `stop`. Checks what became of them.
fn check_stop(address: SocketAddr, servers: &[RawServer; 2], stop: impl FnOnce()) -> PassedOn {
    let begun_at = Instant::now();
    let ends_at = begun_at + BEFORE + SENDING;
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| std::thread::spawn(move || call_until(address, number, ends_at)))
        .collect();
    std::thread::sleep(BEFORE);
    let stopped_at = Instant::now();
    stop();
    let sent = callers
        .into_iter()
        .map(|caller| caller.join().expect("a caller"));
    let sent: BTreeMap<String, Sent> = sent.flatten().collect();
    let mut passed_on = PassedOn::default();
    let mut wrong = Vec::new();
    for received in servers.iter().flat_map(RawServer::received) {
        let id = received.header("request-id").unwrap_or_default();
        let Some(request) = sent.get(id) else {
            continue;
        };
        let arrived_after = received.arrived_at.saturating_duration_since(stopped_at);
        passed_on.all += 1;
        passed_on.late += u32::from(arrived_after > LATE);
        if let Err(reason) = request.check(received.arrived_at, stopped_at) {
            let Sent {
                route,
                work,
                body_delay,
                is_kept,
                ..
            } = request;
            wrong.push(format!(
                "{id}: {reason}; arrived {arrived_after:?} after the signal, {route}, {work:?} of work, \
                 body {body_delay:?} late, on a kept connection: {is_kept}"
            ));
        }
    }
    assert!(
        wrong.is_empty(),
        "{} of {passed_on:?}: {wrong:#?}",
        wrong.len()
    );
    passed_on
}

/// Whether an instance gets little processor time.
struct Throttle(AtomicBool);

impl Throttle {
    fn run(&self, program: &InstanceProcess) {
        while self.0.load(Ordering::Acquire) {
            program.signal(Signal::STOP);
            std::thread::sleep(STANDING);
            program.signal(Signal::CONT);
            std::thread::sleep(RUNNING);
        }
    }
}

/// Ends the throttling on drop, also when a check fails.
struct ThrottleGuard<'a>(&'a Throttle);

impl Drop for ThrottleGuard<'_> {
    fn drop(&mut self) {
        self.0.0.store(false, Ordering::Release);
    }
}

/// Stops an instance that is a process of its own.
fn check_process(name: &str, is_throttled: bool) {
    let (store, servers) = site();
    let program = InstanceProcess::start(ProcessConfig {
        executable: env!("CARGO_BIN_EXE_passway-instance").into(),
        name: name.to_owned(),
        store: store.serve(),
        grace_s: GRACE.as_secs_f64(),
        arguments: Vec::new(),
        output: Output::Null,
    });
    let program = program.expect("an instance");
    until("readiness", || program.readiness_status() == Some(200));
    let throttle = Throttle(AtomicBool::new(is_throttled));
    std::thread::scope(|scope| {
        let _throttled = ThrottleGuard(&throttle);
        scope.spawn(|| throttle.run(&program));
        let stop = || {
            program.signal(Signal::TERM);
        };
        let passed_on = check_stop(program.callers_address, &servers, stop);
        // The last moments in which requests are taken are covered.
        assert!(passed_on.late > 0, "{passed_on:?}");
    });
    let mut program = program;
    assert_eq!(program.child.wait().expect("wait").code(), Some(0));
}

#[test]
fn kept_and_new_connections() {
    check_process("late", false);
}

#[test]
fn little_processor_time() {
    check_process("throttled", true);
}

// Requests reach the instance that stops through another one, which is cut off from the servers.
#[test]
fn through_another_instance() {
    let (store, servers) = site();
    let other = cluster::start_ready("other", &store);
    until("the holder", || other.fence().is_some());
    let (cut, paths) = start_behind("cut", &store, |_| {});
    until("the other instance", || cut.other_instance_count() == 1);
    paths.set(PathState::Reset);
    wait_until_passed_on(&cut);
    std::thread::scope(|scope| {
        let stop = || {
            scope.spawn(|| other.stop());
        };
        let passed_on = check_stop(cut.callers_address(), &servers, stop);
        assert!(passed_on.all > 0, "{passed_on:?}");
    });
}
