//! Keys are secrets: no output of an instance contains one.

use crate::cluster::{fetch, list_plain, plain_server, request, until};
use crate::keyed_cluster::{KEY, keyed_configuration};
use passway_serving::workspaces::KeyDigest;
use passway_standins::platform::documents::workspace;
use passway_standins::platform::process::{InstanceProcess, Output, ProcessConfig};
use passway_standins::platform::store::MetadataStandIn;
use passway_users_platform::PlatformDirectory;
use serde_json::json;
use std::net::SocketAddr;
use std::path::PathBuf;

fn answered(address: SocketAddr, key: &str, id: &str) -> u16 {
    let head = format!("Authorization: Token {key}\r\n");
    let bytes = request("GET", "/read/", id, &head, "");
    fetch(address, &bytes).expect("an answer").status
}

#[test]
fn logs_and_metrics() {
    let store = MetadataStandIn::default();
    store.put(
        "op/config",
        &keyed_configuration(1, &[workspace("alpha", &[KEY], 1e6)]),
    );
    let server = plain_server();
    list_plain(&store, "i-0", server.address, "ready");
    let log = std::env::temp_dir().join(format!("passway-secrets-{}", std::process::id()));
    let program = InstanceProcess::start(ProcessConfig {
        executable: PathBuf::from(env!("CARGO_BIN_EXE_passway-instance")),
        name: "secrets".to_owned(),
        store: store.serve(),
        grace_s: 4.5,
        arguments: Vec::new(),
        output: Output::File(log.clone()),
    });
    let mut program = program.expect("an instance");
    until("readiness", || program.readiness_status() == Some(200));
    let stranger = "k9-somebody-elses-key";
    assert_eq!(answered(program.callers_address, KEY, "id1"), 200);
    assert_eq!(answered(program.callers_address, stranger, "id2"), 401);
    let metrics = || {
        let question = b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        fetch(program.readiness_address, question)
            .expect("metrics")
            .body
    };
    let refused = |count: u32| {
        until("the refused version", || {
            let text = metrics();
            text.contains(&format!("unusable_configurations_total {count}\n"))
        });
    };
    // Unusable versions are logged with a reason. They are written one after the other, because an
    // instance reads only the newest of two simultaneous versions.
    let twice = [
        workspace("alpha", &[KEY], 0.0),
        workspace("beta", &[KEY], 0.0),
    ];
    store.put("op/config", &keyed_configuration(2, &twice));
    refused(1);
    let mut wrong = keyed_configuration(3, &[workspace("alpha", &[KEY], 0.0)]);
    wrong["tenants"][0]["api_keys"] = json!([KEY, {"key": KEY}]);
    store.put("op/config", &wrong);
    refused(2);
    let metrics = metrics();
    // Log lines reach the file a little later.
    let written = || std::fs::read_to_string(&log).expect("a log");
    until("the log", || {
        let text = written();
        text.contains("\"id1\"") && text.matches("cannot be used").count() == 2
    });
    program.child.kill().expect("the exit");
    program.child.wait().expect("the exit");
    let text = written();
    std::fs::remove_file(&log).expect("a log");
    for output in [&text, &metrics] {
        assert!(
            !output.contains(KEY) && !output.contains(stranger),
            "{output}"
        );
    }
}

#[test]
fn debug_output() {
    use passway_serving::ports::{Directory, StoreRevision, StoredValue};
    let document = keyed_configuration(1, &[workspace("alpha", &[KEY], 0.0)]);
    let value = StoredValue {
        key: "op/config".into(),
        value: document.to_string().into_bytes().into(),
        revision: StoreRevision::new(0, 1),
        lease: None,
    };
    let table = PlatformDirectory
        .decode_configuration(&value)
        .expect("usable");
    let table = table.expect("a table");
    let text = format!("{table:?} {:?}", KeyDigest::of(KEY.as_bytes()));
    assert!(!text.contains(KEY));
}
