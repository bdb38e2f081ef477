//! Requests that crash engines whose ports close a little after their connections.

use crate::cluster::{self, ask, request, until};
use passway_standins::platform::model_server::{Faults, ModelServer, Models};
use passway_types::prelude::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};

/// What crashes the engines.
const POISON: &str = "poison";
/// The most engines that one request may end.
const MOST_ENDS: usize = 3;
/// Time for which a port outlives its engine.
const LATE: Duration = Duration::from_millis(300);

/// Passes on what comes until either end closes.
fn pass_on(mut from: TcpStream, mut to: TcpStream) {
    let mut bytes = [0; 16 << 10];
    while let Ok(count) = from.read(&mut bytes)
        && count > 0
        && to.write_all(&bytes[..count]).is_ok()
    {}
    // Either may have closed first.
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}

/// A port before an engine, which closes [`LATE`] after nobody answers there any more; its address.
fn late_port(engine: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let is_over = Arc::new(AtomicBool::new(false));
    std::thread::spawn(move || {
        for caller in listener.incoming().flatten() {
            if is_over.load(Ordering::Acquire) {
                return;
            }
            let Ok(server) = TcpStream::connect(engine) else {
                let is_over = is_over.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(LATE);
                    is_over.store(true, Ordering::Release);
                    // It wakes the thread that accepts, unless that has ended.
                    let _ = TcpStream::connect(address);
                });
                continue;
            };
            let back = (server.try_clone(), caller.try_clone());
            let (answers, answered) = (back.0.expect("a copy"), back.1.expect("a copy"));
            std::thread::spawn(move || pass_on(caller, server));
            std::thread::spawn(move || pass_on(answers, answered));
        }
    });
    address
}

/// Four engines ended under one request: the port of the first was still open when it was asked right after the break,
/// and that it refused later was not taken for its end. Nothing told of that end for eight seconds, and then it was
/// forgotten.
#[test]
fn end_seen_later() {
    let store = cluster::store(&["m0"]);
    let engines = (0..8).map(|number| {
        let models = Models {
            places: 1,
            standing: &["m0"],
            on_disk: &[],
        };
        let id = format!("i-{number}");
        let engine = ModelServer::start_behind(&store, &id, "engines", models, late_port);
        engine.set_faults(Faults {
            crashes_on: Some(POISON.to_owned()),
            ..Faults::default()
        });
        engine
    });
    let engines: Vec<_> = engines.collect();
    let instance = cluster::start_ready("one", &store);
    let mut ids = 0..;
    until("it is refused", || {
        let id = format!("p{:?}", ids.next());
        let bytes = request("POST", "/report/", &id, "Model: m0\r\n", POISON);
        let answer = ask(instance.callers_address(), &bytes).expect("an answer");
        let seconds = answer.header("retry-after").and_then(|s| s.parse().ok());
        seconds.is_some_and(|s: f64| s > 60.0)
    });
    let ended = engines.iter().filter(|engine| engine.crashed()).count();
    assert_eq!(ended, MOST_ENDS);
}
