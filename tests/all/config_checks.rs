//! Checks of settings and configuration report all faults, each with its location and reason.

use expect_test::expect;
use passway_config::catalog;
use passway_config::settings::{ControllerSettings, RouterSettings, Settings};

#[test]
fn settings_faults() {
    let text = r#"{
  // Two unknown fields, one wrong type, one invalid address, one unknown log level.
  "instance": "entry0",
  "data_hall": "atlanta",
  "listen": "localhost:80",
  "controllers": ["127.0.0.1:7000"],
  "key_value": 9000,
  "nonsense": 1,
  "log_level": "loud",
  "more_nonsense": {},
}"#;
    let faults = RouterSettings::parse(text).expect_err("faults").to_string();
    expect![[r#"
        line 5: listen: must be an IP number and a port, as 10.0.0.1:8000
        line 7: key_value: invalid type: integer `9000`, expected a string
        line 8: nonsense: unknown field `nonsense`, expected one of `instance`, `data_hall`, `listen`, `controllers`, `key_value`, `max_connections`, `body_limit_bytes`, `max_deadline_ms`, `stale_limit_ms`, `key_value_timeout_ms`, `log_level`
        line 9: log_level: must be one of error, warn, info, debug, trace
        line 10: more_nonsense: unknown field `more_nonsense`, expected one of `instance`, `data_hall`, `listen`, `controllers`, `key_value`, `max_connections`, `body_limit_bytes`, `max_deadline_ms`, `stale_limit_ms`, `key_value_timeout_ms`, `log_level`"#]]
    .assert_eq(&faults);
}

#[test]
fn empty_settings() {
    let faults = ControllerSettings::parse("")
        .expect_err("faults")
        .to_string();
    expect![[r#"
        instance: is required
        data_hall: is required
        listen: must be an IP number and a port, as 10.0.0.1:8000
        key_value: must be an IP number and a port, as 10.0.0.1:8000
        instance_list: must be an IP number and a port, as 10.0.0.1:8000"#]]
    .assert_eq(&faults);
}

#[test]
fn catalog_faults() {
    let text = r#"{
  "workspaces": [{ "name": "stalls", "share": 0 }, { "name": "stalls" }],
  "models": [
    { "name": "price", "size_mb": 10, "colour": "red" },
    { "name": "huge", "size_mb": 999 },
    { "name": "lost", "size_mb": 10, "cell": "nowhere" },
  ],
  "adapters": [{ "name": "crop", "base": "nobody@1", "size_mb": 1 }],
  "upstreams": [{ "id": "e0", "address": "10.0.0.1:80", "data_hall": "a", "memory_mb": 100 }],
  "policies": [
    { "name": "typo", "when": "workspace == 'stalls", "priority": 1 },
    { "name": "unknown", "when": "colour == 'red'", "priority": 1 },
    { "name": "loops", "when": "['a'].exists(x, x == workspace)", "priority": 1 },
    { "name": "empty", "when": "true" },
  ],
}"#;
    let faults = catalog::parse(text, 1).expect_err("faults").to_string();
    expect![[r#"
        line 2: workspaces[0].share: must be at least 1
        line 2: workspaces[1].name: stands twice
        line 4: models[0].colour: unknown field `colour`, expected one of `name`, `version`, `aliases`, `size_mb`, `max_replicas`, `cell`
        line 5: models[1].name: fits on no upstream of its cell
        line 6: models[2].cell: no upstream is in such a cell
        line 8: adapters[0].base: no such base model
        line 11: policies[0].when: line 1, column 14: Syntax error: token recognition error at: ''stalls'; line 1, column 21: Syntax error: mismatched input '<EOF>' expecting {'[', '{', '(', '.', '-', '!', 'true', 'false', 'null', NUM_FLOAT, NUM_INT, NUM_UINT, STRING, BYTES, IDENTIFIER}
        line 12: policies[1].when: unknown variable `colour`; known: workspace, model, kind, priority
        line 13: policies[2].when: loops (all, exists, map, filter) are refused
        line 14: policies[3].when: sets nothing"#]].assert_eq(&faults);
}

#[test]
fn not_json() {
    let faults = catalog::parse("{\n  \"workspaces\": [,]\n}", 1)
        .expect_err("faults")
        .to_string();
    expect!["line 2: file: Unexpected comma"].assert_eq(&faults);
}

#[test]
fn shipped_examples() {
    for deployment in ["market", "laundry"] {
        let read = |name: &str| {
            std::fs::read_to_string(format!("examples/{deployment}/{name}.jsonc")).expect("example")
        };
        catalog::parse(&read("config"), 1).expect("no faults");
        for number in 0..6 {
            RouterSettings::parse(&read(&format!("router{number}"))).expect("no faults");
            ControllerSettings::parse(&read(&format!("controller{number}"))).expect("no faults");
        }
    }
}
