//! Instances that lose their connections to all upstreams while callers, the store and the other
//! instances still reach them.

use crate::cluster::{self, Answer, RawServer, fetch, list_plain, request, until};
use crate::cut_off_cluster::{Paths, start_behind};
use passway_instance::Instance;
use passway_standins::platform::cut_path::PathState;
use passway_standins::platform::model_server::ModelServer;
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;
use std::thread::ScopedJoinHandle;

/// Time after which a cut may no longer be felt by callers: half of the users' bound of 3 s.
const ADAPTATION_TIME: Duration = Duration::from_millis(1_500);

/// Requests at the same time before the cut, which leave as many idle connections.
const REQUESTS_BEFORE: usize = 8;
/// Requests at the same time while the paths are cut: more than there are idle connections.
const REQUESTS_DURING: usize = 24;

/// Three instances, of which the first reaches the upstreams over paths.
struct TestBed {
    _store: MetadataStandIn,
    plain: Vec<RawServer>,
    engines: Vec<ModelServer>,
    cut: Instance,
    paths: Arc<Paths>,
    others: Vec<Instance>,
}

impl TestBed {
    fn start() -> Self {
        let store = cluster::store(&["m0"]);
        let plain: Vec<_> = (0..3).map(|_| cluster::plain_server()).collect();
        for (number, server) in plain.iter().enumerate() {
            list_plain(&store, &format!("p-{number}"), server.address, "ready");
        }
        let engine = |id| ModelServer::start(&store, id, "engines", 2, &["m0"], &[]);
        let engines = vec![engine("e-0"), engine("e-1")];
        let others: Vec<_> = ["two", "three"]
            .iter()
            .map(|name| cluster::start_ready(name, &store))
            .collect();
        until("a holder", || {
            others.iter().any(|one| one.fence().is_some())
        });
        let (cut, paths) = start_behind("one", &store, |_| {});
        until("the other instances", || cut.other_instance_count() == 2);
        Self {
            _store: store,
            plain,
            engines,
            cut,
            paths,
            others,
        }
    }

    /// Sends requests of all kinds at the same time to the instance that is cut, and returns the
    /// answers.
    fn send_round(&self, round: u32, count: usize) -> Vec<Answer> {
        let address = self.cut.callers_address();
        let model = "Model: m0\r\n";
        let kinds = [
            ("GET", "/read/", "", ""),
            ("POST", "/pay/", "", "{}"),
            ("POST", "/chat/", model, "{}"),
            ("POST", "/report/", model, "{}"),
        ];
        let send = |copy: usize, (method, path, headers, body): (&str, &str, &str, &str)| {
            let id = format!("{}-{round}-{copy}", path.trim_matches('/'));
            fetch(address, &request(method, path, &id, headers, body)).expect("an answer")
        };
        std::thread::scope(|scope| {
            let requests = kinds.into_iter().cycle().take(count).enumerate();
            let callers: Vec<_> = requests
                .map(|(copy, kind)| scope.spawn(move || send(copy, kind)))
                .collect();
            let answers = callers.into_iter().map(ScopedJoinHandle::join);
            answers.map(|answer| answer.expect("a caller")).collect()
        })
    }

    /// Sends rounds of requests until the end of the time.
    fn send_for(&self, duration: Duration, first_round: u32) -> Vec<Answer> {
        let until = Instant::now() + duration;
        let rounds = (first_round..).take_while(|_| Instant::now() < until);
        let mut answers = Vec::new();
        for round in rounds {
            answers.extend(self.send_round(round, REQUESTS_DURING));
            std::thread::sleep(Duration::from_millis(20));
        }
        answers
    }
}

/// Number of requests that an instance has passed on.
fn passed_on(instance: &Instance) -> u64 {
    let scrape = b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let text = fetch(instance.ready_address(), scrape)
        .expect("metrics")
        .body;
    let counts = text.lines().filter_map(|line| {
        let count = line.strip_prefix("passway_instance_passed_on_total{")?;
        count.rsplit(' ').next()?.parse::<u64>().ok()
    });
    counts.sum()
}

fn statuses(answers: &[Answer]) -> Vec<u16> {
    answers.iter().map(|answer| answer.status).collect()
}

/// Requires that callers of the instance are served while it is cut off.
fn serves_through(state: PathState) {
    let test_bed = TestBed::start();
    let before = test_bed.send_round(0, REQUESTS_BEFORE);
    assert_eq!(statuses(&before), [200; REQUESTS_BEFORE]);
    test_bed.paths.set(state);
    test_bed.send_for(ADAPTATION_TIME, 1);
    let answers = test_bed.send_for(Duration::from_secs(1), 10_000);
    let served = answers.iter().filter(|answer| answer.status == 200);
    let complete = served.filter(|answer| answer.is_complete).count();
    assert_eq!(complete, answers.len(), "complete answers");
    test_bed.paths.set(PathState::Open);
    // Once the cut is over, the instance sends its requests itself again.
    let connections = test_bed.paths.connections();
    until("connections of the instance's own", || {
        test_bed.send_round(20_000, REQUESTS_BEFORE);
        test_bed.paths.connections() > connections
    });
    drop((test_bed.plain, test_bed.engines, test_bed.others));
}

/// Guards against refusals at an instance whose connections to all upstreams were reset.
#[test]
fn reset_connections() {
    serves_through(PathState::Reset);
}

/// Guards against refusals at an instance that gets no new connections, while open ones live on.
#[test]
fn refused_connections() {
    serves_through(PathState::Refusing);
}

/// Guards against refusals at an instance whose connections to all upstreams hang.
#[test]
fn hanging_connections() {
    serves_through(PathState::Hanging);
}

/// Guards against refusals for want of a retry allowance when no earlier attempt has arrived at an
/// upstream.
#[test]
fn unsent_attempts_are_free() {
    let store = cluster::store(&[]);
    let servers: Vec<_> = (0..5).map(|_| cluster::plain_server()).collect();
    for (number, server) in servers.iter().enumerate() {
        list_plain(&store, &format!("p-{number}"), server.address, "ready");
    }
    let (instance, paths) = start_behind("one", &store, |settings| {
        settings.bounds.retry.ratio = 0.0;
        settings.bounds.retry.slack = 0.0;
    });
    for server in &servers[1..] {
        paths.set_to(server.address, PathState::Refusing);
    }
    for round in 0..6 {
        let bytes = request("GET", "/read/", &format!("unsent-{round}"), "", "");
        let answer = fetch(instance.callers_address(), &bytes).expect("an answer");
        assert_eq!(answer.status, 200, "round {round}");
        // Upstreams that were not reached are tried again.
        std::thread::sleep(Duration::from_millis(750));
    }
}

/// Guards against requests that are refused as crashing upstreams because cuts of the instance's
/// paths broke them off.
#[test]
fn innocents_of_a_cut() {
    let test_bed = TestBed::start();
    let slow = passway_standins::platform::model_server::Faults {
        event_delay: Duration::from_millis(200),
        ..passway_standins::platform::model_server::Faults::default()
    };
    for engine in &test_bed.engines {
        engine.set_faults(slow.clone());
    }
    let address = test_bed.cut.callers_address();
    let send = |id: &str| {
        let bytes = request("POST", "/report/", id, "Model: m0\r\n", "innocent");
        fetch(address, &bytes)
    };
    for round in 0..4 {
        let id = format!("innocent-{round}");
        std::thread::scope(|scope| {
            let caller = scope.spawn(|| send(&id));
            std::thread::sleep(Duration::from_millis(300));
            test_bed.paths.set(PathState::Reset);
            let _broken_off = caller.join().expect("a caller");
        });
        std::thread::sleep(Duration::from_millis(200));
        test_bed.paths.set(PathState::Open);
        until("an answer after the cut", || {
            cluster::fetch(address, &request("GET", "/read/", "calm", "", ""))
                .is_some_and(|answer| answer.status == 200)
        });
        // Until then the engines count as not reachable.
        std::thread::sleep(Duration::from_millis(800));
    }
    let answer = send("innocent-last").expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.head);
}

/// Guards against taking one silent upstream, or the restart of all upstreams of a service, for
/// lost paths.
#[test]
fn silent_upstream_is_no_cut() {
    let test_bed = TestBed::start();
    test_bed.send_round(0, REQUESTS_BEFORE);
    let silent = test_bed.plain[0].address;
    test_bed.paths.set_to(silent, PathState::Hanging);
    test_bed.send_for(Duration::from_secs(1), 1);
    test_bed.paths.set_to(silent, PathState::Open);
    for server in &test_bed.plain {
        test_bed.paths.set_to(server.address, PathState::Reset);
    }
    test_bed.send_for(Duration::from_secs(1), 10_000);
    assert_eq!(passed_on(&test_bed.cut), 0);
}

/// Guards against a holder that keeps the leadership while it can order nothing, and against a
/// leadership that returns as soon as the cut is over.
#[test]
fn cut_holder_hands_over() {
    let store = cluster::store(&["m0"]);
    let engines =
        ["e-0", "e-1"].map(|id| ModelServer::start(&store, id, "engines", 2, &["m0"], &[]));
    let server = cluster::plain_server();
    list_plain(&store, "p-0", server.address, "ready");
    let (cut, paths) = start_behind("one", &store, |_| {});
    until("a holder", || cut.fence().is_some());
    let other = cluster::start_ready("two", &store);
    until("the other instance", || cut.other_instance_count() == 1);
    paths.set(PathState::Hanging);
    let send = |id: &str| {
        let bytes = request("GET", "/read/", id, "", "");
        fetch(cut.callers_address(), &bytes)
    };
    let begun_at = Instant::now();
    until("a new holder", || {
        send("cut");
        other.fence().is_some()
    });
    assert!(
        begun_at.elapsed() < Duration::from_secs(5),
        "{:?}",
        begun_at.elapsed()
    );
    paths.set(PathState::Open);
    let fence = other.fence();
    until("the end of the cut", || {
        paths.connections() > 0 && send("again").is_some_and(|answer| answer.status == 200)
    });
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!((cut.fence(), other.fence()), (None, fence));
    drop(engines);
}
