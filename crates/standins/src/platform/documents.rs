//! Builds the documents that operators and servers write to the metadata store.

use super::caller::HOST;
use super::store::MetadataStandIn;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Builds a configuration with a route of every kind and the named models.
pub fn configuration(version: u64, models: &[&str]) -> Value {
    let models: Vec<Value> = models
        .iter()
        .map(|name| {
            json!({"name": name, "weights_mb": 70.0, "load_time_s": 0.2, "adapters": 4,
                "adapter_mb": 1.0, "warm_s": 0.01, "disk_s": 0.02})
        })
        .collect();
    let route = |name: &str, kind: &str, service: &str, attempts: u32, resumable: bool| {
        json!({"name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 10_000, "goal_ms": 1_000, "priority": 1, "service": service,
            "attempts": attempts, "sticky": true, "resumable": resumable, "gap_target_ms": 300})
    };
    json!({"version": version, "routes": [
            route("read", "idempotent", "plain", 2, false),
            route("pay", "non_idempotent", "plain", 1, false),
            route("chat", "streaming", "engines", 2, true),
            route("report", "streaming", "engines", 1, false)],
        "services": [
            {"name": "plain", "health_path": "/health", "max_conns": 96},
            {"name": "engines", "health_path": "/health", "max_conns": 96,
                "engine": {"slots": 8, "models": models, "weights_mb": 145.0,
                    "adapter_slots": 2, "loads_per_s": 100.0}}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 65_536,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000}})
}

/// Adds workspaces to a configuration; its routes then require an API key of a workspace.
pub fn with_workspaces(mut configuration: Value, workspaces: &[Value]) -> Value {
    configuration["tenants"] = workspaces.into();
    configuration
}

/// Builds a workspace with API keys. `tokens_per_s` is its rate limit in tokens per second and also
/// its burst; 0 means unlimited.
pub fn workspace(name: &str, keys: &[&str], tokens_per_s: f64) -> Value {
    json!({"name": name, "api_keys": keys, "priority": 1, "unit": "token_count",
        "plain_tokens": 200, "rate_per_s": tokens_per_s, "burst": tokens_per_s})
}

/// Builds the store entry of a plain server that is ready.
pub fn plain_entry(address: SocketAddr) -> Value {
    json!({"service": "plain", "address": address.to_string(), "zone": "hall0",
        "version": "v1", "slots": 6, "state": "ready", "sequence": 1, "cold_left_ms": 0})
}

/// Writes the entry of a plain server with this state to the store.
pub fn list_plain(store: &MetadataStandIn, id: &str, address: SocketAddr, state: &str) {
    let mut entry = plain_entry(address);
    entry["state"] = state.into();
    store.put(&format!("servers/{id}"), &entry);
}
