//! Renewals of the lease of a cell's holder.

use crate::support::small_plan;
use crossbeam::channel::{Sender, unbounded};
use passway_controller::node::{Input, Node};
use passway_decide::cell::Event;
use passway_decide::messages::Usage;
use passway_platform::key_value::KeyValue;
use passway_standins::cluster::{ClusterPlan, TestCluster};
use passway_types::prelude::*;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};

/// The cell of all stand-in engines.
const CELL: &str = "main";
/// The key that exists while a controller has the lease of the stand-ins' cell.
const HOLDER_KEY: &str = "cells/main/holder";
/// Number of inputs that always wait for the decision thread.
const WAITING_INPUTS: usize = 5_000;
/// Interval between two checks of the holder's key.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum wait for the controller to lead.
const LEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Keeps [`WAITING_INPUTS`] usage reports of a router in the queue until `is_done`.
fn report_steadily(inputs: &Sender<Input>, is_done: &AtomicBool) {
    let usage = Usage {
        router: 1,
        model: "model1@1".into(),
        running: 1,
        last_used_at: Instant::now(),
    };
    let input = || Input::Cell {
        cell: CELL.into(),
        event: Event::Usage(usage.clone()),
    };
    while !is_done.load(Ordering::Relaxed) {
        while inputs.len() < WAITING_INPUTS {
            // The receiver exists until the process terminates, so the send does not fail.
            let _ = inputs.send(input());
        }
        std::thread::yield_now();
    }
}

/// Guards against a lease that expires because the decision thread, which always has an input to
/// handle, never gets to renew it.
#[test]
fn renewed_beside_steady_inputs() {
    let plan = ClusterPlan {
        instances: 1,
        ..small_plan()
    };
    let world = TestCluster::start(plan).expect("world");
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let settings = world.controller_settings(0, address, &[address]);
    let (inputs, receiver) = unbounded();
    let node = Node::new(settings, address, inputs.clone()).expect("node");
    std::thread::spawn(move || node.run(&receiver));
    let has_lease = || {
        world
            .key_value
            .get(HOLDER_KEY)
            .expect("an answer")
            .is_some()
    };
    let lead_until = Instant::now() + LEAD_TIMEOUT;
    while !has_lease() {
        assert!(Instant::now() < lead_until, "the controller does not lead");
        std::thread::sleep(CHECK_INTERVAL);
    }
    let is_done = Arc::new(AtomicBool::new(false));
    let sender = std::thread::spawn({
        let is_done = is_done.clone();
        move || report_steadily(&inputs, &is_done)
    });
    let lease_duration = Duration::from_millis(world.plan.lease_ms);
    let check_until = Instant::now() + lease_duration * 5 / 2;
    let mut is_held = true;
    while is_held && Instant::now() < check_until {
        std::thread::sleep(CHECK_INTERVAL);
        is_held = has_lease();
    }
    is_done.store(true, Ordering::Relaxed);
    sender.join().expect("sender");
    assert!(is_held, "the lease expired");
}
