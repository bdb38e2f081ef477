//! Instances that are dropped end as a killed process does.

use crate::cluster::{self, Caller, list_plain, plain_server, request, stream, until};
use passway_instance::Instance;
use passway_standins::platform::model_server::ModelServer;
use passway_standins::platform::raw::{Gate, RawServer, Step};
use passway_types::prelude::*;
use std::net::{SocketAddr, TcpStream};
use std::process::Command;

/// Set for the process of its own in which a test counts threads.
const COUNTING_PROCESS: &str = "PASSWAY_COUNTING_PROCESS";
/// Instances of each round.
const INSTANCES: usize = 4;
/// Time within which all threads of a dropped instance end: a call to the store that is under way
/// takes up to 2.5 s.
const END_TIMEOUT: Duration = Duration::from_secs(4);
/// Time within which connections of a dropped instance close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Numbers of the threads and of the open files of this process.
fn used() -> (usize, usize) {
    let count = |path| std::fs::read_dir(path).expect("a folder of /proc").count();
    (count("/proc/self/task"), count("/proc/self/fd"))
}

/// Runs a test of this module again in a process without other tests. Returns false in that process.
fn runs_elsewhere(test: &str) -> bool {
    if std::env::var_os(COUNTING_PROCESS).is_some() {
        return false;
    }
    let program = std::env::current_exe().expect("the path of the test program");
    let output = Command::new(program)
        .args(["--exact", test, "--nocapture"])
        .env(COUNTING_PROCESS, "1")
        .output()
        .expect("running the test program");
    let printed = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{printed}");
    assert!(printed.contains("1 passed"), "{printed}");
    true
}

/// Starts instances that serve requests, and drops them beside open connections.
fn serve_and_drop(store: SocketAddr, silent: &RawServer) {
    let names = (0..INSTANCES).map(|number| format!("one{number}"));
    let instances: Vec<Instance> = names.map(|name| cluster::start_at(&name, store)).collect();
    let mut open = Vec::new();
    for instance in &instances {
        until("readiness", || instance.is_ready());
        until("streams may begin", || instance.begins_streams());
        until("other instances", || {
            instance.known_member_count() == INSTANCES
        });
        let address = instance.callers_address();
        assert_eq!(stream(address, "report", "s", "m0").status, 200);
        // An unused connection of each kind, and a request without an answer.
        open.push(Caller::connect(address));
        open.push(Caller::connect(instance.ready_address()));
        let received = silent.received().len();
        let mut waiting = Caller::connect(address);
        waiting.send(&request("POST", "/pay/", "w", "", "{}"));
        until("a request without an answer", || {
            silent.received().len() > received
        });
        open.push(waiting);
    }
    let addresses = instances
        .iter()
        .flat_map(|instance| [instance.callers_address(), instance.ready_address()]);
    let addresses: Vec<SocketAddr> = addresses.collect();
    drop(instances);
    let limit_at = Instant::now() + CLOSE_TIMEOUT;
    for mut caller in open {
        assert_eq!(caller.receive(), None);
    }
    while addresses.iter().any(|one| TcpStream::connect(one).is_ok()) {
        assert!(Instant::now() < limit_at, "a listener stays open");
    }
}

// Guards against threads of dropped instances that go on, and against sockets that stay open.
#[test]
fn threads_and_sockets_close() {
    if runs_elsewhere("ended_instances::threads_and_sockets_close") {
        return;
    }
    let store = cluster::store(&["m0"]);
    let silent = RawServer::start(|_| vec![Step::Wait(Gate::default())]);
    list_plain(&store, "i-0", silent.address, "ready");
    let _engine = ModelServer::start(&store, "i-1", "engines", 1, &["m0"], &[]);
    let address = store.serve();
    // Starts the threads that all instances of a process share.
    serve_and_drop(address, &silent);
    std::thread::sleep(END_TIMEOUT);
    let before = used();
    serve_and_drop(address, &silent);
    let dropped_at = Instant::now();
    loop {
        let (threads, files) = used();
        if threads <= before.0 && files <= before.1 {
            break;
        }
        assert!(
            dropped_at.elapsed() < END_TIMEOUT,
            "{threads} threads and {files} open files, before: {before:?}"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
}

// Guards against a dropped holder that renews its lease, so that no instance succeeds it.
#[test]
fn dropped_holder_is_succeeded() {
    let store = cluster::store(&[]);
    list_plain(&store, "i-0", plain_server().address, "ready");
    let address = store.serve();
    let first = cluster::start_at("one", address);
    until("a holder", || first.fence().is_some());
    drop(first);
    assert!(
        store.get("passway/holder").is_some(),
        "the term is released"
    );
    let second = cluster::start_at("two", address);
    until("another holder", || second.fence().is_some());
}
