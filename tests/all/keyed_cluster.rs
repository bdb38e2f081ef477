//! An instance whose routes require keys, with bounds as in the settings file.

use crate::cluster::{self, configuration, fetch, request};
use passway_instance::Instance;
use passway_serving::ports::InstanceSettings;
use passway_standins::platform::documents::with_workspaces;
use serde_json::Value;
use std::net::SocketAddr;

/// The key of the workspace in these configurations.
pub const KEY: &str = "k1-asnmgkcuyj8pjbvk9m68";

/// A configuration with workspaces, and a public route `open` beside the closed ones.
pub fn keyed_configuration(version: u64, workspaces: &[Value]) -> Value {
    let mut document = with_workspaces(configuration(version, &["m0"]), workspaces);
    let mut public_route = document["routes"][0].clone();
    public_route["name"] = "open".into();
    public_route["prefix"] = "/open/".into();
    public_route["public"] = true.into();
    let routes = document["routes"].as_array_mut().expect("routes");
    routes.push(public_route);
    document
}

/// Settings on loopback with `bounds` written as in the settings file.
pub fn settings(name: &str, store: SocketAddr, bounds: &str) -> InstanceSettings {
    let text = format!(
        "node_name = \"{name}\"\nzone = \"hall0\"\nip = \"127.0.0.1\"\ninternal_ports = [0, 0]\n\
        [listen_addrs]\nfrontend = \"127.0.0.1:0\"\nready = \"127.0.0.1:0\"\n\
        [bounds]\ngrace_s = 8\nretry_budget_ratio = 0.2\nretry_slack = 800\n\
        retry_window_s = 10\nlease_ms = 1000\n{bounds}\n\
        [platform]\naddress = \"{store}\"\nttl_min_ms = 1000\n"
    );
    passway_users_platform::settings::decode(&text).expect("settings")
}

/// Starts an instance with bounds and waits until it is ready.
pub fn start_ready(name: &str, store: SocketAddr, bounds: &str) -> Instance {
    let instance = cluster::start_with(settings(name, store, bounds));
    cluster::until("readiness", || instance.is_ready());
    instance
}

/// The status and the `Retry-After` of the answer to a request with the key.
pub fn status_with_key(instance: &Instance, path: &str, id: &str) -> (u16, Option<f64>) {
    let head = format!("Authorization: Token {KEY}\r\n");
    let bytes = request("GET", path, id, &head, "");
    let answer = fetch(instance.callers_address(), &bytes).expect("an answer");
    let retry_after = answer.header("retry-after");
    let retry_after = retry_after.map(|text| text.parse().expect("a number"));
    (answer.status, retry_after)
}
