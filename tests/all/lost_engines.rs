//! Engines that are gone while their entries stay: the store is away, or has not noticed.

use crate::planned::{Planned, plain};
use passway_serving::placement::Action;
use passway_serving::ports::OrderAnswer;
use passway_types::prelude::*;

fn orders(actions: &[Action]) -> usize {
    let orders = actions.iter().filter(|a| matches!(a, Action::Order(_)));
    orders.count()
}

#[test]
fn asked_before_next_order() {
    let mut planned = Planned::new();
    planned.orders(OrderAnswer::Taken);
    planned.report(false, 0, &["m0", "m1"]);
    planned.need("m2");
    let actions = planned.unanswered(20);
    assert_eq!(orders(&actions), 1, "{actions:?}");
    assert!(actions.len() > 1, "it is asked again");
    // It answers, and gets its order.
    planned.report(false, 0, &["m0", "m1"]);
    assert_eq!(orders(&planned.unanswered(2)), 1);
}

#[test]
fn silent_holds_nothing() {
    let mut planned = Planned::new();
    planned.hear_of("i-1", 1, &["m1"], &["m0", "m1"]);
    planned.orders(OrderAnswer::Taken);
    planned.report(false, 0, &["m0"]);
    // Requests wait for what the engine should have, which answers no question.
    planned.need_wish(plain("m0"), 3);
    let actions = planned.unanswered(30);
    let is_asked =
        |action: &Action| matches!(action, Action::Ask { engine, .. } if &**engine == "i-0");
    assert!(actions.iter().any(is_asked), "{actions:?}");
    assert_eq!(orders(&actions), 0, "{actions:?}");
    planned.report_of("i-1", 0, &["m1"]);
    let orders = planned.orders(OrderAnswer::Taken);
    let first = orders.first().expect("an order");
    assert_eq!((&*first.engine, &*first.wish.model), ("i-1", "m0"));
}

#[test]
fn doubted_once_a_second() {
    let mut planned = Planned::new();
    planned.orders(OrderAnswer::Taken);
    planned.report(false, 0, &["m0", "m1"]);
    planned.need("m0");
    let mut questions = 0;
    for _ in 0..60 {
        planned.now += Duration::from_millis(50);
        for action in planned.planner.decide(planned.now) {
            assert!(matches!(action, Action::Ask { .. }), "{action:?}");
            questions += 1;
            planned.report(false, 0, &["m0", "m1"]);
        }
    }
    assert_eq!(
        questions, 3,
        "in three seconds, the first after half a second"
    );
}
