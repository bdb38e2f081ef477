//! Queries to controllers.

use passway_controller::audit::AuditEntry;
use passway_controller::status::NodeStatus;
use passway_types::prelude::*;
use passway_wire::message::{Hello, Query, Role};
use passway_wire::{Body, Link};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

/// Maximum time to connect to a controller, and to wait for each message of its answer.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the status of each controller; `None` for controllers that do not answer in time.
pub fn statuses(controllers: &[SocketAddr]) -> Vec<(SocketAddr, Option<NodeStatus>)> {
    controllers
        .iter()
        .map(|address| (*address, query(*address, "status")))
        .collect()
}

/// Returns the audit entries of all controllers that answer, oldest first.
pub fn audit(controllers: &[SocketAddr]) -> Vec<AuditEntry> {
    let answers = controllers
        .iter()
        .filter_map(|address| query::<Vec<AuditEntry>>(*address, "audit"));
    let mut entries: Vec<AuditEntry> = answers.flatten().collect();
    entries.sort_by_key(|entry| entry.at_unix_ms);
    entries
}

/// Sends one query on a new connection and decodes the answer; `None` on any failure.
fn query<T: DeserializeOwned>(address: SocketAddr, kind: &str) -> Option<T> {
    let (link, mut reader) = Link::connect(address, QUERY_TIMEOUT).ok()?;
    reader.set_timeout(QUERY_TIMEOUT).ok()?;
    link.send(Body::Hello(Hello {
        role: Role::Operator.into(),
        ..Default::default()
    }))
    .ok()?;
    link.send(Body::Query(Query {
        kind: kind.to_owned(),
    }))
    .ok()?;
    while let Ok(Some(body)) = reader.receive() {
        if let Body::QueryAnswer(answer) = body {
            link.close();
            return serde_json::from_str(&answer.json).ok();
        }
    }
    None
}
