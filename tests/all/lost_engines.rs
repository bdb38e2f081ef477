//! Engines that are gone while their entries stay, because the store is unavailable or has not
//! noticed yet.

use crate::test_planner::{TestPlanner, base_model};
use passway_serving::placement::Action;
use passway_serving::ports::OrderAnswer;
use passway_types::prelude::*;

fn count_orders(actions: &[Action]) -> usize {
    let orders = actions.iter().filter(|a| matches!(a, Action::Order(_)));
    orders.count()
}

#[test]
fn queried_before_next_order() {
    let mut test = TestPlanner::new();
    test.orders_within_second(OrderAnswer::Taken);
    test.send_report(false, 0, &["m0", "m1"]);
    test.add_waiter("m2");
    let actions = test.decide_unanswered(20);
    assert_eq!(count_orders(&actions), 1, "{actions:?}");
    assert!(actions.len() > 1, "the engine is queried again");
    // The engine answers and gets its order.
    test.send_report(false, 0, &["m0", "m1"]);
    assert_eq!(count_orders(&test.decide_unanswered(2)), 1);
}

#[test]
fn silent_engine_holds_nothing() {
    let mut test = TestPlanner::new();
    test.send_entry_of("i-1", 1, &["m1"], &["m0", "m1"]);
    test.orders_within_second(OrderAnswer::Taken);
    test.send_report(false, 0, &["m0"]);
    // Requests wait for a model that the engine should have, but it answers no query.
    test.set_waiters(base_model("m0"), 3);
    let actions = test.decide_unanswered(30);
    let is_query =
        |action: &Action| matches!(action, Action::Ask { engine, .. } if &**engine == "i-0");
    assert!(actions.iter().any(is_query), "{actions:?}");
    assert_eq!(count_orders(&actions), 0, "{actions:?}");
    test.send_idle_report_of("i-1", 0, &["m1"]);
    let orders = test.orders_within_second(OrderAnswer::Taken);
    let first = orders.first().expect("an order");
    assert_eq!((&*first.engine, &*first.model_ref.model), ("i-1", "m0"));
}

#[test]
fn queried_once_a_second() {
    let mut test = TestPlanner::new();
    test.orders_within_second(OrderAnswer::Taken);
    test.send_report(false, 0, &["m0", "m1"]);
    test.add_waiter("m0");
    let mut queries = 0;
    for _ in 0..60 {
        test.now += Duration::from_millis(50);
        for action in test.planner.decide(test.now) {
            assert!(matches!(action, Action::Ask { .. }), "{action:?}");
            queries += 1;
            test.send_report(false, 0, &["m0", "m1"]);
        }
    }
    assert_eq!(
        queries, 3,
        "in three seconds, the first after half a second"
    );
}
