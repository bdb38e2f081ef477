//! `passwayctl history`: lists the latest revisions of the configuration.

use super::print_json;
use crate::cli::{Common, ExitCode};
use crate::store::ConfigStore;
use crate::table;
use anyhow::Result;
use passway_config::StoredRevision;
use serde::Serialize;

/// Maximum number of listed revisions.
const MAX_REVISIONS: u64 = 50;

#[derive(Serialize)]
struct Row<'a> {
    revision: u64,
    applied_at_unix_s: u64,
    author: &'a str,
    comment: &'a str,
    changes: &'a [String],
}

/// Returns the latest revisions, newest first.
pub(crate) fn latest_revisions(store: &ConfigStore) -> Result<Vec<StoredRevision>> {
    let Some((_, current)) = store.current()? else {
        return Ok(Vec::new());
    };
    let oldest = current.revision.saturating_sub(MAX_REVISIONS - 1).max(1);
    let mut revisions = Vec::new();
    for revision in (oldest..current.revision).rev() {
        revisions.extend(store.revision(revision)?);
    }
    revisions.insert(0, current);
    Ok(revisions)
}

pub(crate) fn run(common: &Common, store: &ConfigStore) -> Result<ExitCode> {
    let revisions = latest_revisions(store)?;
    let rows = revisions.iter().map(|stored| Row {
        revision: stored.revision,
        applied_at_unix_s: stored.applied_at_unix_s,
        author: &stored.author,
        comment: &stored.comment,
        changes: &stored.changes,
    });
    let rows: Vec<Row> = rows.collect();
    if common.json {
        print_json(&rows);
        return Ok(ExitCode::Done);
    }
    let cells = rows.iter().map(|row| {
        vec![
            row.revision.to_string(),
            row.applied_at_unix_s.to_string(),
            row.author.to_owned(),
            row.changes.len().to_string(),
            row.comment.to_owned(),
        ]
    });
    let header = [
        "REVISION",
        "APPLIED (UNIX S)",
        "AUTHOR",
        "CHANGES",
        "COMMENT",
    ];
    table::print(&header, &cells.collect::<Vec<_>>());
    Ok(ExitCode::Done)
}
