//! Answers to operators' queries.

use super::Node;
use super::cell_shell::CellShell;
use crate::config_feed::millis;
use crate::status::{NodeStatus, RouterStatus};
use passway_types::prelude::*;

impl Node {
    /// Answers the query `status` or `audit` with JSON, any other query with `null`.
    pub(super) fn answer_query(&self, now: Instant, query: &str) -> String {
        let answer = match query {
            "status" => serde_json::to_string(&self.status(now)),
            "audit" => serde_json::to_string(&self.audit.entries()),
            _ => return "null".into(),
        };
        answer.unwrap_or_else(|_| "null".into())
    }

    fn status(&self, now: Instant) -> NodeStatus {
        let routers = self.connections.routers().map(|hello| RouterStatus {
            instance: hello.instance.clone(),
            config_revision: hello.config_revision,
            in_progress: hello.in_progress,
            leaving: hello.is_leaving,
        });
        NodeStatus {
            instance: self.identity.instance.to_string(),
            incarnation: self.identity.incarnation,
            config_revision: self.revision(),
            config_age_ms: millis(self.gossip.config_age(now, self.revision())),
            isolated: self.gossip.is_isolated(now),
            routers: routers.collect(),
            cells: self.cells.values().filter_map(CellShell::status).collect(),
        }
    }
}
