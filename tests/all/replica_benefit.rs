//! Places go to the models whose requests gain most by them, busy or rare.

use crate::test_planner::{TestPlanner, base_model};
use passway_serving::placement::policy::PolicyName;
use passway_serving::placement::{RunningRequests, Usage};
use passway_serving::ports::{OrderAction, OrderAnswer};
use passway_types::prelude::*;

/// Lets requests come for models, so many a second each, for some seconds.
fn record_requests(planned: &mut TestPlanner, models: &[(&str, u32)], seconds: u32) {
    for _ in 0..seconds * 10 {
        planned.now += Duration::from_millis(100);
        for (model, per_s) in models {
            let count = per_s / 10;
            planned.planner.record_arrivals(
                &"engines".into(),
                &base_model(model),
                count,
                planned.now,
            );
        }
    }
}

/// What is loaded or unloaded first within a second.
fn first_order(planned: &mut TestPlanner) -> Option<(OrderAction, String)> {
    let orders = planned.orders_within_second(OrderAnswer::Taken);
    let first = orders.first()?;
    Some((first.action, first.model_ref.model.to_string()))
}

#[test]
fn many_waiters_before_longest_wait() {
    let mut planned = TestPlanner::new();
    planned.orders_within_second(OrderAnswer::Taken);
    planned.send_entry(2, &["m0"]);
    planned.add_waiter("m2");
    planned.now += Duration::from_millis(300);
    planned.set_waiters(base_model("m3"), 50);
    planned.send_report(false, 0, &["m0"]);
    assert_eq!(
        first_order(&mut planned),
        Some((OrderAction::Load, "m3".into()))
    );
}

#[test]
fn busy_models_not_evicted() {
    let mut planned = TestPlanner::new();
    planned.orders_within_second(OrderAnswer::Taken);
    planned.send_report(false, 0, &["m0", "m1"]);
    record_requests(&mut planned, &[("m0", 40), ("m1", 20)], 5);
    planned.add_waiter("m2");
    assert_eq!(first_order(&mut planned), None);
}

#[test]
fn single_waiter_yields_to_many() {
    // Requests wait for m0 itself, but far more for m2.
    let mut planned = TestPlanner::new();
    planned.orders_within_second(OrderAnswer::Taken);
    planned.send_report(false, 0, &["m0", "m1"]);
    planned.add_waiter("m0");
    planned.add_waiter("m1");
    planned.set_waiters(base_model("m2"), 20);
    let first = first_order(&mut planned).expect("an order");
    assert_eq!(first.0, OrderAction::Unload);
}

#[test]
fn long_wait_wins_eventually() {
    // Two models that are asked for now and then leave one out for some time, not for ever.
    let mut planned = TestPlanner::new();
    planned.orders_within_second(OrderAnswer::Taken);
    planned.send_report(false, 0, &["m0", "m1"]);
    planned.add_waiter("m2");
    let mut waited_s = 0;
    loop {
        record_requests(&mut planned, &[("m0", 10), ("m1", 10)], 1);
        if first_order(&mut planned).is_some() {
            break;
        }
        waited_s += 2;
        assert!(waited_s < 20, "left out");
    }
    assert!(waited_s >= 2, "ten requests a second give way to one");
}

#[test]
fn finished_wait_ignored() {
    let mut planned = TestPlanner::new();
    planned.orders_within_second(OrderAnswer::Taken);
    planned.add_waiter("m2");
    planned.set_waiters(base_model("m2"), 0);
    planned.send_report(false, 0, &["m0", "m1"]);
    assert_eq!(first_order(&mut planned), None);
}

#[test]
fn removed_instance_drops_waiters() {
    let mut planned = TestPlanner::new();
    planned.orders_within_second(OrderAnswer::Taken);
    planned.add_waiter("m2");
    planned.planner.remove_instance(&"one".into());
    planned.send_report(false, 0, &["m0", "m1"]);
    assert_eq!(first_order(&mut planned), None);
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
    // A pace of forty a second alone says nothing: a fast model bears it.
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

/// Two engines with room for two models each; m0 stands on the first one alone, whose eight
/// slots its requests take or do not take.
fn adds_replica(running: u32) -> bool {
    let mut planned = TestPlanner::new();
    planned.send_entry(1, &["m0"]);
    planned.send_entry_of("i-1", 1, &["m1"], &["m1"]);
    planned.orders_within_second(OrderAnswer::Taken);
    planned.send_report(false, 0, &["m0"]);
    planned.send_idle_report_of("i-1", 0, &["m1"]);
    record_requests(&mut planned, &[("m0", 20)], 5);
    let requests = RunningRequests {
        engine: "i-0".into(),
        model: "m0".into(),
        count: running,
    };
    planned.planner.set_running(&"one".into(), &[requests]);
    let orders = planned.orders_within_second(OrderAnswer::Taken);
    let second_engine_order = orders.iter().find(|order| &*order.engine == "i-1");
    second_engine_order
        .is_some_and(|order| &*order.model_ref.model == "m0" && order.action == OrderAction::Load)
}

#[test]
fn fetches_when_slots_are_full() {
    assert!(adds_replica(8));
    assert!(
        !adds_replica(4),
        "the engine that has it near bears its requests"
    );
}

/// Loads from the weight store that begin while nobody waits, with so many engines and four
/// models that lie nowhere.
fn prefetches(engines: u32, requests_per_s: u32) -> usize {
    let mut planned = TestPlanner::new();
    let ids: Vec<String> = (0..engines).map(|number| format!("i-{number}")).collect();
    for id in &ids {
        planned.send_entry_of(id, 2, &[], &[]);
    }
    planned.orders_within_second(OrderAnswer::Taken);
    for id in &ids {
        planned.send_idle_report_of(id, 0, &[]);
    }
    record_requests(&mut planned, &[("m9", requests_per_s)], 5);
    let orders = planned.orders_within_second(OrderAnswer::Taken);
    let loads = orders.iter().filter(|o| o.action == OrderAction::Load);
    loads.count()
}

#[test]
fn idle_fleet_prefetches_more() {
    assert_eq!(prefetches(80, 0), 4);
    assert_eq!(prefetches(80, 10), 2);
    assert_eq!(prefetches(9, 0), 2, "each load ties one of nine engines");
}
