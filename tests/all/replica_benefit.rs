//! Replicas go to the models with the highest benefit, busy or rare.

use crate::test_planner::{TestPlanner, base_model};
use passway_serving::placement::policy::PolicyName;
use passway_serving::placement::{RunningRequests, Usage};
use passway_serving::ports::{OrderAction, OrderAnswer};
use passway_types::prelude::*;

/// Records requests for models at the given rates per second, for some seconds.
fn record_requests(test: &mut TestPlanner, models: &[(&str, u32)], seconds: u32) {
    for _ in 0..seconds * 10 {
        test.now += Duration::from_millis(100);
        for (model, per_s) in models {
            let count = per_s / 10;
            test.planner
                .record_arrivals(&"engines".into(), &base_model(model), count, test.now);
        }
    }
}

/// The first order within a second.
fn first_order(test: &mut TestPlanner) -> Option<(OrderAction, String)> {
    let orders = test.orders_within_second(OrderAnswer::Taken);
    let first = orders.first()?;
    Some((first.action, first.model_ref.model.to_string()))
}

#[test]
fn many_waiters_before_longest_wait() {
    let mut test = TestPlanner::new();
    test.orders_within_second(OrderAnswer::Taken);
    test.send_entry(2, &["m0"]);
    test.add_waiter("m2");
    test.now += Duration::from_millis(300);
    test.set_waiters(base_model("m3"), 50);
    test.send_report(false, 0, &["m0"]);
    assert_eq!(
        first_order(&mut test),
        Some((OrderAction::Load, "m3".into()))
    );
}

#[test]
fn busy_models_not_evicted() {
    let mut test = TestPlanner::new();
    test.orders_within_second(OrderAnswer::Taken);
    test.send_report(false, 0, &["m0", "m1"]);
    record_requests(&mut test, &[("m0", 40), ("m1", 20)], 5);
    test.add_waiter("m2");
    assert_eq!(first_order(&mut test), None);
}

#[test]
fn single_waiter_yields_to_many() {
    // Requests wait for m0 too, but far more wait for m2.
    let mut test = TestPlanner::new();
    test.orders_within_second(OrderAnswer::Taken);
    test.send_report(false, 0, &["m0", "m1"]);
    test.add_waiter("m0");
    test.add_waiter("m1");
    test.set_waiters(base_model("m2"), 20);
    let first = first_order(&mut test).expect("an order");
    assert_eq!(first.0, OrderAction::Unload);
}

#[test]
fn long_wait_wins_eventually() {
    // Two models with a moderate request rate may displace a third one for some time, but not
    // forever.
    let mut test = TestPlanner::new();
    test.orders_within_second(OrderAnswer::Taken);
    test.send_report(false, 0, &["m0", "m1"]);
    test.add_waiter("m2");
    let mut waited_s = 0;
    loop {
        record_requests(&mut test, &[("m0", 10), ("m1", 10)], 1);
        if first_order(&mut test).is_some() {
            break;
        }
        waited_s += 2;
        assert!(waited_s < 20, "m2 is never loaded");
    }
    assert!(
        waited_s >= 2,
        "ten requests per second yield to a single one"
    );
}

#[test]
fn finished_wait_ignored() {
    let mut test = TestPlanner::new();
    test.orders_within_second(OrderAnswer::Taken);
    test.add_waiter("m2");
    test.set_waiters(base_model("m2"), 0);
    test.send_report(false, 0, &["m0", "m1"]);
    assert_eq!(first_order(&mut test), None);
}

#[test]
fn removed_instance_drops_waiters() {
    let mut test = TestPlanner::new();
    test.orders_within_second(OrderAnswer::Taken);
    test.add_waiter("m2");
    test.planner.remove_instance(&"one".into());
    test.send_report(false, 0, &["m0", "m1"]);
    assert_eq!(first_order(&mut test), None);
}

#[test]
fn replicas_by_running_requests() {
    let policy = PolicyName::Balanced.build();
    let usage = |running, waiters, slots| Usage {
        running,
        waiters,
        slots,
    };
    assert_eq!(policy.replicas(0.4, usage(3, 0, 64)), 1, "rare");
    // A rate of forty requests per second alone needs no third replica: a fast model can serve it.
    assert_eq!(policy.replicas(40.0, usage(20, 0, 64)), 2);
    assert_eq!(policy.replicas(40.0, usage(70, 0, 64)), 3);
    assert_eq!(policy.replicas(40.0, usage(20, 50, 64)), 3);
    assert_eq!(policy.replicas(40.0, usage(20, 0, 12)), 5);
}

#[test]
fn waits_for_cached_as_long_as_fetch() {
    let fetch_time = Duration::from_secs(6);
    let max_wait = |name: PolicyName| name.build().max_wait_for_cached(fetch_time);
    assert!(max_wait(PolicyName::Balanced) >= fetch_time);
    assert_eq!(max_wait(PolicyName::NoHomes), Duration::ZERO);
}

/// Whether a second engine loads m0. Both engines have memory for two models. Only the first one
/// has m0, and `running` requests occupy some or all of its eight slots.
fn adds_replica(running: u32) -> bool {
    let mut test = TestPlanner::new();
    test.send_entry(1, &["m0"]);
    test.send_entry_of("i-1", 1, &["m1"], &["m1"]);
    test.orders_within_second(OrderAnswer::Taken);
    test.send_report(false, 0, &["m0"]);
    test.send_idle_report_of("i-1", 0, &["m1"]);
    record_requests(&mut test, &[("m0", 20)], 5);
    let requests = RunningRequests {
        engine: "i-0".into(),
        model: "m0".into(),
        count: running,
    };
    test.planner.set_running(&"one".into(), &[requests]);
    let orders = test.orders_within_second(OrderAnswer::Taken);
    let second_engine_order = orders.iter().find(|order| &*order.engine == "i-1");
    second_engine_order
        .is_some_and(|order| &*order.model_ref.model == "m0" && order.action == OrderAction::Load)
}

#[test]
fn fetches_when_slots_are_full() {
    assert!(adds_replica(8));
    assert!(
        !adds_replica(4),
        "the engine that has m0 serves its requests"
    );
}

/// Number of loads from the weight store that begin while no request waits, for four models that
/// are stored on no engine.
fn prefetches(engines: u32, requests_per_s: u32) -> usize {
    let mut test = TestPlanner::new();
    let ids: Vec<String> = (0..engines).map(|number| format!("i-{number}")).collect();
    for id in &ids {
        test.send_entry_of(id, 2, &[], &[]);
    }
    test.orders_within_second(OrderAnswer::Taken);
    for id in &ids {
        test.send_idle_report_of(id, 0, &[]);
    }
    record_requests(&mut test, &[("m9", requests_per_s)], 5);
    let orders = test.orders_within_second(OrderAnswer::Taken);
    let loads = orders.iter().filter(|o| o.action == OrderAction::Load);
    loads.count()
}

#[test]
fn idle_fleet_prefetches_more() {
    assert_eq!(prefetches(80, 0), 4);
    assert_eq!(prefetches(80, 10), 2);
    assert_eq!(
        prefetches(9, 0),
        2,
        "each load occupies one of nine engines"
    );
}
