//! The holder's thread beside a steady stream of messages of other instances.

use crate::cluster::{self, until};
use passway_types::prelude::*;
use passway_wire::message::{InstanceReport, ModelRequests, Subscribe};
use passway_wire::{Body, Frame, Link, LinkReader};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

/// Number of connections that report without a pause.
const REPORTING_CONNECTIONS: usize = 2;
/// Number of models in each report.
const REPORTED_MODELS: usize = 20;
/// An instance that receives nothing from the holder for this long stops relying on it.
const MAX_HOLDER_SILENCE: Duration = Duration::from_secs(1);
/// Duration for which the holder is watched.
const WATCHED_DURATION: Duration = Duration::from_secs(4);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

fn report(number: usize) -> Frame {
    let requests = |model: usize| ModelRequests {
        service: "chat".into(),
        model: format!("m{model}"),
        adapter: String::new(),
        remaining_wait_ms: 1_000,
        count: 1,
        required_software: None,
    };
    let report = InstanceReport {
        instance: format!("reporter{number}"),
        accepted: (0..REPORTED_MODELS).map(requests).collect(),
        ..InstanceReport::default()
    };
    Frame::new(Body::InstanceReport(report)).expect("a report")
}

/// Sends reports to the holder until `is_done`, on a new connection where one is closed.
fn report_steadily(holder: SocketAddr, number: usize, is_done: &AtomicBool) {
    let report = report(number);
    while !is_done.load(Ordering::Relaxed) {
        let (link, _reader) = Link::connect(holder, CONNECT_TIMEOUT).expect("a link");
        while !is_done.load(Ordering::Relaxed) && link.send_frame(&report).is_ok() {}
    }
}

fn subscribe(holder: SocketAddr) -> LinkReader {
    let (link, reader) = Link::connect(holder, CONNECT_TIMEOUT).expect("a link");
    reader.set_timeout(WATCHED_DURATION).expect("a timeout");
    let subscribe = Subscribe {
        instance: "watcher".into(),
        ..Subscribe::default()
    };
    link.send(Body::Subscribe(subscribe)).expect("sent");
    reader
}

/// Returns the longest time for which a subscriber receives nothing from the holder.
fn longest_silence(holder: SocketAddr) -> Duration {
    let end_at = Instant::now() + WATCHED_DURATION;
    let mut reader = subscribe(holder);
    let mut last_received_at = Instant::now();
    let mut longest = Duration::ZERO;
    while Instant::now() < end_at {
        let is_received = matches!(reader.receive(), Ok(Some(_)));
        longest = longest.max(last_received_at.elapsed());
        if is_received {
            last_received_at = Instant::now();
        } else {
            reader = subscribe(holder);
        }
    }
    longest
}

/// Guards against a holder that falls silent because it always has another message to handle.
#[test]
fn heartbeats_beside_steady_reports() {
    let store = cluster::store(&["m0"]);
    let instance = cluster::start_ready("one", &store);
    until("the leadership", || instance.fence().is_some());
    until("the holder", || instance.holder().is_some());
    let holder = instance.holder().expect("a holder").address;
    let is_done = AtomicBool::new(false);
    let longest = std::thread::scope(|scope| {
        for number in 0..REPORTING_CONNECTIONS {
            let is_done = &is_done;
            scope.spawn(move || report_steadily(holder, number, is_done));
        }
        let longest = longest_silence(holder);
        is_done.store(true, Ordering::Relaxed);
        longest
    });
    assert!(longest < MAX_HOLDER_SILENCE, "silent for {longest:?}");
}
