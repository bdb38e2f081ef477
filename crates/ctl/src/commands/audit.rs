//! `passwayctl audit`: the configuration changes and the controllers' decisions, in time order.

use super::history::latest_revisions;
use super::print_json;
use crate::cli::{Common, ExitCode};
use crate::store::ConfigStore;
use crate::{queries, table};
use anyhow::Result;
use passway_controller::audit::AuditEntry;

pub(crate) fn run(common: &Common, store: &ConfigStore) -> Result<ExitCode> {
    let mut entries = queries::audit(&common.controllers);
    for stored in latest_revisions(store)? {
        entries.push(AuditEntry {
            at_unix_ms: stored.applied_at_unix_s * 1_000,
            instance: stored.author,
            cell: String::new(),
            event: "configured".into(),
            number: stored.revision,
            model: String::new(),
            upstream: String::new(),
            reason: stored.changes.join("; "),
        });
    }
    entries.sort_by_key(|entry| entry.at_unix_ms);
    print_entries(common, &entries);
    Ok(ExitCode::Done)
}

/// Prints audit entries as a table or as JSON.
pub(crate) fn print_entries(common: &Common, entries: &[AuditEntry]) {
    if common.json {
        print_json(&entries);
        return;
    }
    let rows = entries.iter().map(|entry| {
        vec![
            entry.at_unix_ms.to_string(),
            entry.instance.clone(),
            entry.event.clone(),
            entry.number.to_string(),
            entry.model.clone(),
            entry.upstream.clone(),
            entry.reason.clone(),
        ]
    });
    let header = [
        "AT (UNIX MS)",
        "BY",
        "EVENT",
        "NUMBER",
        "MODEL",
        "UPSTREAM",
        "REASON",
    ];
    table::print(&header, &rows.collect::<Vec<_>>());
}
