//! Requests that crash engines whose ports close a little later than their connections.

use crate::cluster::{self, fetch, request, until};
use passway_standins::platform::model_server::{Faults, InitialModels, ModelServer};
use passway_types::prelude::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};

/// Body of the requests that crash engines.
const POISON: &str = "poison";
/// Maximum number of engines that one request may crash.
const MAX_CRASHES: usize = 3;
/// How long a port stays open after its engine terminated.
const PORT_CLOSE_DELAY: Duration = Duration::from_millis(300);

/// Copies bytes until either end closes.
fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut bytes = [0; 16 << 10];
    while let Ok(count) = from.read(&mut bytes)
        && count > 0
        && to.write_all(&bytes[..count]).is_ok()
    {}
    // The other end may have closed already.
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}

/// Opens a port in front of an engine, which closes [`PORT_CLOSE_DELAY`] after the engine stopped
/// answering. Returns the port's address.
fn late_port(engine: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let is_closed = Arc::new(AtomicBool::new(false));
    std::thread::spawn(move || {
        for caller in listener.incoming().flatten() {
            if is_closed.load(Ordering::Acquire) {
                return;
            }
            let Ok(server) = TcpStream::connect(engine) else {
                let is_closed = is_closed.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(PORT_CLOSE_DELAY);
                    is_closed.store(true, Ordering::Release);
                    // Wakes the accepting thread, unless it has ended.
                    let _ = TcpStream::connect(address);
                });
                continue;
            };
            let reverse = (server.try_clone(), caller.try_clone());
            let (server_reader, caller_writer) =
                (reverse.0.expect("a copy"), reverse.1.expect("a copy"));
            std::thread::spawn(move || copy(caller, server));
            std::thread::spawn(move || copy(server_reader, caller_writer));
        }
    });
    address
}

/// One request crashed four engines. The first engine's port was still open when it was checked
/// right after the break, and that it refused connections later did not count as a crash. Without
/// other evidence, the break was forgotten after eight seconds.
#[test]
fn late_crash_detected() {
    let store = cluster::store(&["m0"]);
    let engines = (0..8).map(|number| {
        let models = InitialModels {
            capacity: 1,
            loaded: &["m0"],
            on_disk: &[],
        };
        let id = format!("i-{number}");
        let engine = ModelServer::start_behind(&store, &id, "engines", models, late_port);
        engine.set_faults(Faults {
            crash_on_prefix: Some(POISON.to_owned()),
            ..Faults::default()
        });
        engine
    });
    let engines: Vec<_> = engines.collect();
    let instance = cluster::start_ready("one", &store);
    let mut ids = 0..;
    until("the refusal", || {
        let id = format!("p{:?}", ids.next());
        let bytes = request("POST", "/report/", &id, "Model: m0\r\n", POISON);
        let answer = fetch(instance.callers_address(), &bytes).expect("an answer");
        let seconds = answer.header("retry-after").and_then(|s| s.parse().ok());
        seconds.is_some_and(|s: f64| s > 60.0)
    });
    let crashed = engines.iter().filter(|engine| engine.has_crashed()).count();
    assert_eq!(crashed, MAX_CRASHES);
}
