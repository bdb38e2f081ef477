//! Answers to operators' questions.

use super::Node;
use super::cell_shell::CellShell;
use crate::config_feed::millis;
use crate::status::{NodeStatus, RouterStatus};
use passway_types::prelude::*;

impl Node {
    pub(super) fn answer(&self, now: Instant, what: &str) -> String {
        let answer = match what {
            "status" => serde_json::to_string(&self.status(now)),
            "audit" => serde_json::to_string(&self.audit.entries()),
            _ => return "null".into(),
        };
        answer.unwrap_or_else(|_| "null".into())
    }

    fn status(&self, now: Instant) -> NodeStatus {
        let routers = self.links.routers().map(|hello| RouterStatus {
            instance: hello.instance.clone(),
            config_revision: hello.config_revision,
            in_progress: hello.in_progress,
            leaving: hello.is_leaving,
        });
        NodeStatus {
            instance: self.me.instance.to_string(),
            incarnation: self.me.incarnation,
            config_revision: self.revision(),
            config_age_ms: millis(self.gossip.config_age(now, self.revision())),
            isolated: self.gossip.is_isolated(now),
            routers: routers.collect(),
            cells: self.cells.values().filter_map(CellShell::status).collect(),
        }
    }
}
