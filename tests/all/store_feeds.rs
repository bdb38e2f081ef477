//! Data in the store takes effect soon and never reverts, whatever faults the store has.

use crate::cluster::{self, configuration, fetch, list_plain, plain_server, request, until};
use passway_standins::platform::store::Faults;
use passway_types::prelude::*;
use serde_json::json;

#[test]
fn garbage_store() {
    let store = cluster::store(&[]);
    store.set_faults(Faults {
        sends_invalid_json: true,
        ..Faults::default()
    });
    let instance = cluster::start("one", &store);
    until("calls to the store", || {
        store.calls().values().sum::<u64>() > 4
    });
    assert!(!instance.is_ready());
    let answer = fetch(
        instance.callers_address(),
        &request("GET", "/read/", "g", "", ""),
    );
    // The instance does not know a configuration yet, so the status is not 404.
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    // A request that arrives shortly before the store recovers waits for it.
    let server = plain_server();
    list_plain(&store, "i-0", server.address, "ready");
    let address = instance.callers_address();
    let early = std::thread::spawn(move || fetch(address, &request("GET", "/read/", "e", "", "")));
    store.set_faults(Faults::default());
    until("readiness", || instance.is_ready());
    let early = early.join().expect("a caller").expect("an answer");
    // The store may or may not be queried again within the second that the request waits.
    assert!(matches!(early.status, 200 | 503), "{}", early.status);
}

#[test]
fn unusable_configuration() {
    let store = cluster::store(&[]);
    let instance = cluster::start_ready("one", &store);
    store.put("op/config", &json!({"version": 2, "routes": "none"}));
    store.put("op/other", &json!({"version": 9}));
    let mut third = configuration(3, &[]);
    third["a_new_field"] = json!({"ignored": true});
    store.put("op/config", &third);
    until("the third version", || instance.config_version() == Some(3));
}

#[test]
fn never_reverts() {
    let store = cluster::store(&[]);
    let instance = cluster::start_ready("one", &store);
    store.put("op/config", &configuration(7, &[]));
    until("version 7", || instance.config_version() == Some(7));
    store.put("op/config", &configuration(4, &[]));
    store.put("op/config", &configuration(8, &[]));
    until("version 8", || instance.config_version() == Some(8));
}

#[test]
fn history_forgotten() {
    let store = cluster::store(&[]);
    let instance = cluster::start_ready("one", &store);
    store.set_faults(Faults {
        error_status: Some(503),
        ..Faults::default()
    });
    store.put("op/config", &configuration(2, &[]));
    store.compact_history();
    store.set_faults(Faults::default());
    until("version 2", || instance.config_version() == Some(2));
}

#[test]
fn serves_through_outage() {
    let store = cluster::store(&[]);
    let server = plain_server();
    list_plain(&store, "i-0", server.address, "ready");
    let instance = cluster::start_ready("one", &store);
    for faults in [
        Faults {
            error_status: Some(503),
            ..Faults::default()
        },
        Faults {
            error_status: Some(429),
            ..Faults::default()
        },
        Faults {
            is_silent: true,
            ..Faults::default()
        },
        Faults {
            sends_invalid_json: true,
            ..Faults::default()
        },
    ] {
        store.set_faults(faults);
        let answer = fetch(
            instance.callers_address(),
            &request("GET", "/read/", "o", "", ""),
        );
        assert_eq!(answer.map(|answer| answer.status), Some(200));
        assert!(instance.is_ready());
    }
}

#[test]
fn leaving_gets_nothing_new() {
    let store = cluster::store(&[]);
    let (leaving, staying) = (plain_server(), plain_server());
    list_plain(&store, "i-0", leaving.address, "ready");
    let instance = cluster::start_ready("one", &store);
    assert!(
        fetch(
            instance.callers_address(),
            &request("GET", "/read/", "a", "", "")
        )
        .is_some()
    );
    list_plain(&store, "i-1", staying.address, "ready");
    list_plain(&store, "i-0", leaving.address, "draining");
    until("a request at the other server", || {
        fetch(
            instance.callers_address(),
            &request("GET", "/read/", "b", "", ""),
        );
        !staying.received().is_empty()
    });
    // An older entry of the server that arrives late changes nothing.
    list_plain(&store, "i-0", leaving.address, "ready");
    let requests_before = leaving.received().len();
    for _ in 0..20 {
        fetch(
            instance.callers_address(),
            &request("GET", "/read/", "c", "", ""),
        );
    }
    assert_eq!(leaving.received().len(), requests_before);
}

#[test]
fn missing_setting_named() {
    let text = "node_name = \"n\"\nzone = \"z\"\nip = \"127.0.0.1\"\ninternal_ports = [1, 2]\n\
        [listen_addrs]\nfrontend = \"127.0.0.1:1\"\nready = \"127.0.0.1:2\"\n\
        [bounds]\ngrace_s = 8\nretry_budget_ratio = 0.2\nretry_slack = 52\nretry_window_s = 10\n\
        [platform]\naddress = \"127.0.0.1:3\"\nttl_min_ms = 1000\n";
    let error = passway_users_platform::settings::decode(text).expect_err("no lease_ms");
    assert!(format!("{error:#}").contains("lease_ms"), "{error:#}");
    let whole = text.replace("[platform]", "lease_ms = 3000\nunknown = \"x\"\n[platform]");
    let settings = passway_users_platform::settings::decode(&whole).expect("settings");
    assert_eq!(settings.bounds.holder_gap, Duration::from_secs(3));
    let negative = whole.replace("grace_s = 8", "grace_s = -8");
    let error = passway_users_platform::settings::decode(&negative).expect_err("no time");
    assert!(format!("{error:#}").contains("grace_s"), "{error:#}");
}

#[test]
fn wrong_settings_exit_code() {
    let program = env!("CARGO_BIN_EXE_passway-instance");
    let run = std::process::Command::new(program)
        .env("PASSWAY_BOOT", "/nonexistent/boot.toml")
        .output()
        .expect("running");
    assert_eq!(run.status.code(), Some(2));
    let message = String::from_utf8_lossy(&run.stderr).into_owned();
    assert!(message.contains("/nonexistent/boot.toml"), "{message}");
}
