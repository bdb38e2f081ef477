//! `passwayctl apply`, and the steps that all commands that change the configuration share.

use super::{print_json, read_document, show::REVISION_LINE_PREFIX};
use crate::changes::changes;
use crate::cli::{ApplyArguments, ChangeArguments, Common, ExitCode};
use crate::queries;
use crate::store::{ChangeError, ConfigStore, CurrentRevision};
use anyhow::Result;
use passway_config::{Document, StoredRevision};
use passway_types::clock;
use passway_types::prelude::*;
use std::collections::BTreeMap;
use std::time::{SystemTime, UNIX_EPOCH};

/// Interval at which the controllers are polled for the revisions of all nodes.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

pub(crate) fn run(
    common: &Common,
    store: &ConfigStore,
    arguments: &ApplyArguments,
) -> Result<ExitCode> {
    let (text, document) = match read_document(common, &arguments.file)? {
        Ok(read) => read,
        Err(code) => return Ok(code),
    };
    let previous = store.current()?;
    if let Some(base) = base_revision(&text) {
        let current = previous.as_ref().map_or(0, |(_, stored)| stored.revision);
        if base != current {
            report_conflict(
                store,
                base,
                previous.as_ref().map(|(_, stored)| stored),
                &document,
            )?;
            return Ok(ExitCode::Conflict);
        }
    }
    apply_change(common, store, &previous, document, &arguments.change)
}

/// Returns the revision in the first line of a file, from which the file was edited; `None` without
/// such a line.
fn base_revision(text: &str) -> Option<Revision> {
    text.lines()
        .next()?
        .strip_prefix(REVISION_LINE_PREFIX)?
        .trim()
        .parse()
        .ok()
}

/// Prints the changes between the base revision, the current one and the operator's file.
fn report_conflict(
    store: &ConfigStore,
    base: Revision,
    current: Option<&StoredRevision>,
    desired: &Document,
) -> Result<()> {
    let Some(current) = current else {
        println!("conflict: edited from revision {base}, but there is none");
        return Ok(());
    };
    println!(
        "conflict: edited from revision {base}, but revision {} by {} is in force; nothing was written",
        current.revision, current.author
    );
    if let Some(base) = store.revision(base)? {
        println!("changed in the meantime:");
        print_lines(&changes(&base.document, &current.document));
    }
    println!("your file against what is in force:");
    print_lines(&changes(&current.document, desired));
    Ok(())
}

fn print_lines(lines: &[String]) {
    for line in lines {
        println!("  {line}");
    }
}

/// Makes `document` the current configuration. With `--wait`, also waits until the change is in
/// effect.
pub(crate) fn apply_change(
    common: &Common,
    store: &ConfigStore,
    previous: &CurrentRevision,
    document: Document,
    change: &ChangeArguments,
) -> Result<ExitCode> {
    let empty = Document::default();
    let old = previous
        .as_ref()
        .map_or(&empty, |(_, stored)| &stored.document);
    let lines = changes(old, &document);
    if lines.is_empty() && previous.is_some() {
        println!("no changes; nothing was written");
        return Ok(ExitCode::Done);
    }
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let next = StoredRevision {
        revision: previous.as_ref().map_or(0, |(_, stored)| stored.revision) + 1,
        change_id: rand::random(),
        author: change.author.clone(),
        applied_at_unix_s: elapsed.as_secs(),
        comment: change.comment.clone(),
        changes: lines,
        document,
    };
    match store.change(previous, &next) {
        Ok(()) => {}
        Err(ChangeError::Conflict(stored)) => {
            println!("conflict: {}", ChangeError::Conflict(stored));
            return Ok(ExitCode::Conflict);
        }
        Err(ChangeError::Unreachable) => {
            println!("{}", ChangeError::Unreachable);
            return Ok(ExitCode::Unreachable);
        }
        Err(other) => return Err(other.into()),
    }
    if common.json {
        print_json(&serde_json::json!({ "revision": next.revision, "changes": next.changes }));
    } else {
        println!("revision {} is accepted", next.revision);
        print_lines(&next.changes);
    }
    if change.wait {
        return Ok(wait(
            common,
            next.revision,
            Duration::from_secs(change.timeout_s),
        ));
    }
    Ok(ExitCode::Done)
}

/// Waits until the revision is in effect on all given controllers and all routers that are
/// connected to them.
fn wait(common: &Common, revision: Revision, timeout: Duration) -> ExitCode {
    let started_at = clock::now();
    let mut last_printed = String::new();
    loop {
        let outdated = outdated_nodes(common, revision);
        if outdated.is_empty() {
            println!(
                "in force everywhere after {} ms",
                clock::since(started_at).as_millis()
            );
            return ExitCode::Done;
        }
        let names = outdated.join(", ");
        if clock::since(started_at) >= timeout {
            println!("not in force at: {names}");
            return ExitCode::NotInEffectEverywhere;
        }
        if names != last_printed {
            eprintln!("waiting for: {names}");
            last_printed = names;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the names of the nodes that do not report the revision or a later one.
fn outdated_nodes(common: &Common, revision: Revision) -> Vec<String> {
    let mut revisions: BTreeMap<String, Revision> = BTreeMap::new();
    for (address, status) in queries::statuses(&common.controllers) {
        let Some(status) = status else {
            revisions.insert(format!("controller at {address}"), 0);
            continue;
        };
        let controller = format!("controller of {}", status.instance);
        revisions.insert(controller, status.config_revision);
        for router in status.routers {
            // A router reports to several controllers; the latest revision that it reported counts.
            let latest = revisions
                .entry(format!("router of {}", router.instance))
                .or_default();
            *latest = (*latest).max(router.config_revision);
        }
    }
    revisions
        .into_iter()
        .filter(|(_, reported)| *reported < revision)
        .map(|(name, _)| name)
        .collect()
}
