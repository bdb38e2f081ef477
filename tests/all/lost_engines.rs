//! Engines that are gone while their entries stay: the store is away, or has not noticed.

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
    let mut planned = TestPlanner::new();
    planned.orders_within_second(OrderAnswer::Taken);
    planned.send_report(false, 0, &["m0", "m1"]);
    planned.add_waiter("m2");
    let actions = planned.decide_unanswered(20);
    assert_eq!(count_orders(&actions), 1, "{actions:?}");
    assert!(actions.len() > 1, "it is asked again");
    // It answers, and gets its order.
    planned.send_report(false, 0, &["m0", "m1"]);
    assert_eq!(count_orders(&planned.decide_unanswered(2)), 1);
}

#[test]
fn silent_engine_holds_nothing() {
    let mut planned = TestPlanner::new();
    planned.send_entry_of("i-1", 1, &["m1"], &["m0", "m1"]);
    planned.orders_within_second(OrderAnswer::Taken);
    planned.send_report(false, 0, &["m0"]);
    // Requests wait for what the engine should have, which answers no question.
    planned.set_waiters(base_model("m0"), 3);
    let actions = planned.decide_unanswered(30);
    let is_query =
        |action: &Action| matches!(action, Action::Ask { engine, .. } if &**engine == "i-0");
    assert!(actions.iter().any(is_query), "{actions:?}");
    assert_eq!(count_orders(&actions), 0, "{actions:?}");
    planned.send_idle_report_of("i-1", 0, &["m1"]);
    let orders = planned.orders_within_second(OrderAnswer::Taken);
    let first = orders.first().expect("an order");
    assert_eq!((&*first.engine, &*first.model_ref.model), ("i-1", "m0"));
}

#[test]
fn queried_once_a_second() {
    let mut planned = TestPlanner::new();
    planned.orders_within_second(OrderAnswer::Taken);
    planned.send_report(false, 0, &["m0", "m1"]);
    planned.add_waiter("m0");
    let mut queries = 0;
    for _ in 0..60 {
        planned.now += Duration::from_millis(50);
        for action in planned.planner.decide(planned.now) {
            assert!(matches!(action, Action::Ask { .. }), "{action:?}");
            queries += 1;
            planned.send_report(false, 0, &["m0", "m1"]);
        }
    }
    assert_eq!(
        queries, 3,
        "in three seconds, the first after half a second"
    );
}
