//! The stand-in engine crashes as a process does: all at one moment, and with the start that ran the request.

use crate::cluster::{self, Caller, request, until};
use passway_serving::ports::Engines;
use passway_standins::platform::model_server::{EVENTS, Faults, ModelServer};
use passway_types::prelude::*;
use passway_users_platform::ServerControl;
use std::io::Read;

const RESTART_DELAY: Duration = Duration::from_millis(200);
/// Longer than a restart.
const EVENT_DELAY: Duration = Duration::from_millis(500);

/// When the start began that answers a report query, in Unix milliseconds.
fn born_ms(engine: &ModelServer) -> Option<u64> {
    let report = ServerControl::default().report(&"e0".into(), engine.address);
    Some(report.answer?.started_at_ms)
}

// Guards against a crash whose connections are closed only after the next start has begun, while that start answers that
// it runs: close-delimited streams at it then look complete.
#[test]
fn crash_closes_only_its_start() {
    let store = cluster::store(&["m0"]);
    let engine = ModelServer::start(&store, "e0", "engines", 1, &["m0"], &[]);
    engine.set_faults(Faults {
        crash_on_parts: vec!["bad".to_owned()],
        restart_delay: Some(RESTART_DELAY),
        event_delay: EVENT_DELAY,
        is_unframed: true,
        ..Faults::default()
    });
    let stream = |id: &str, prompt: &str| {
        let headers = format!("Model: m0\r\nPrompt-Prefix: {prompt}\r\n");
        let mut caller = Caller::connect(engine.address);
        caller.send(&request("POST", "/chat/", id, &headers, "{}"));
        caller
    };
    let _crashing = stream("crashing", "bad:10,own:1");
    std::thread::sleep(RESTART_DELAY + EVENT_DELAY / 5);
    let mut other = stream("other", "good:10,own:1");
    let mut first_ms = None;
    until("a report", || {
        first_ms = born_ms(&engine);
        first_ms.is_some()
    });
    let mut answer = String::new();
    let read = other.stream.read_to_string(&mut answer);
    let events = u64::try_from(answer.matches("data: ").count()).expect("a small number");
    assert!(read.is_ok() && events < EVENTS, "{read:?}: {answer}");
    let mut next_ms = None;
    until("a report after the crash", || {
        next_ms = born_ms(&engine);
        next_ms.is_some()
    });
    assert!(next_ms > first_ms, "{first_ms:?}, {next_ms:?}");
}
