//! Policy programs: the value of an attribute comes from the first rule that sets it and whose
//! condition is true.

use passway_config::document::PolicyEntry;
use passway_config::policy::{MAX_NODES, Policy, RequestAttributes};
use std::time::Duration;

fn rule(when: &str, priority: Option<u32>, may_wait_ms: Option<u64>) -> PolicyEntry {
    PolicyEntry {
        when: when.into(),
        priority,
        may_wait_ms,
        ..PolicyEntry::default()
    }
}

fn attributes<'a>(workspace: &'a str, kind: &'a str) -> RequestAttributes<'a> {
    RequestAttributes {
        workspace,
        model: "m@1",
        kind,
        priority: 100,
    }
}

#[test]
fn first_rule_decides() {
    let rules = [
        rule("kind == 'rush'", Some(1), None),
        rule("workspace == 'drivers'", Some(5), Some(200)),
        rule("true", Some(9), None),
    ];
    let policy = Policy::compile(&rules).expect("compiles");
    assert_eq!(
        policy.evaluate(&attributes("drivers", "rush")).priority,
        Some(1)
    );
    let may_wait = policy.evaluate(&attributes("drivers", "rush")).may_wait;
    assert_eq!(may_wait, Some(Duration::from_millis(200)));
    assert_eq!(
        policy.evaluate(&attributes("drivers", "")).priority,
        Some(5)
    );
    assert_eq!(
        policy.evaluate(&attributes("accounts", "")).priority,
        Some(9)
    );
}

#[test]
fn cost_is_limited() {
    let condition = vec!["workspace == 'a'"; MAX_NODES].join(" || ");
    let faults = Policy::compile(&[rule(&condition, Some(1), None)]).expect_err("too expensive");
    assert!(
        faults[0].reason.contains("the limit is"),
        "{}",
        faults[0].reason
    );
}

#[test]
fn wrong_type_fails() {
    let policy = Policy::compile(&[rule("workspace + 1 == 2", Some(1), None)]).expect("compiles");
    assert_eq!(policy.evaluate(&attributes("a", "")).priority, None);
}
