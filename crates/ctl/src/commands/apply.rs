//! `passwayctl apply`, and what every change of configuration shares.

use super::{print_json, read_document, show::REVISION_LINE};
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

/// Pause between two looks at who has the revision.
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
    let before = store.current()?;
    if let Some(base) = base_revision(&text) {
        let stands = before.as_ref().map_or(0, |(_, stored)| stored.revision);
        if base != stands {
            report_conflict(
                store,
                base,
                before.as_ref().map(|(_, stored)| stored),
                &document,
            )?;
            return Ok(ExitCode::Conflict);
        }
    }
    apply_change(common, store, &before, document, &arguments.change)
}

/// The revision that a file says it was edited from.
fn base_revision(text: &str) -> Option<Revision> {
    text.lines()
        .next()?
        .strip_prefix(REVISION_LINE)?
        .trim()
        .parse()
        .ok()
}

fn report_conflict(
    store: &ConfigStore,
    base: Revision,
    stands: Option<&StoredRevision>,
    wanted: &Document,
) -> Result<()> {
    let Some(stands) = stands else {
        println!("conflict: edited from revision {base}, but there is none");
        return Ok(());
    };
    println!(
        "conflict: edited from revision {base}, but revision {} by {} is in force; nothing was written",
        stands.revision, stands.author
    );
    if let Some(base) = store.revision(base)? {
        println!("changed in the meantime:");
        print_lines(&changes(&base.document, &stands.document));
    }
    println!("your file against what is in force:");
    print_lines(&changes(&stands.document, wanted));
    Ok(())
}

fn print_lines(lines: &[String]) {
    for line in lines {
        println!("  {line}");
    }
}

/// Makes one change of configuration and, if asked, waits until it is in force.
pub(crate) fn apply_change(
    common: &Common,
    store: &ConfigStore,
    before: &CurrentRevision,
    document: Document,
    change: &ChangeArguments,
) -> Result<ExitCode> {
    let empty = Document::default();
    let old = before
        .as_ref()
        .map_or(&empty, |(_, stored)| &stored.document);
    let lines = changes(old, &document);
    if lines.is_empty() && before.is_some() {
        println!("no changes; nothing was written");
        return Ok(ExitCode::Done);
    }
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let next = StoredRevision {
        revision: before.as_ref().map_or(0, |(_, stored)| stored.revision) + 1,
        change_id: rand::random(),
        author: change.author.clone(),
        applied_at_unix_s: elapsed.as_secs(),
        comment: change.comment.clone(),
        changes: lines,
        document,
    };
    match store.change(before, &next) {
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

/// Waits until every controller named, and every router connected to one, has
/// the revision in force.
fn wait(common: &Common, revision: Revision, timeout: Duration) -> ExitCode {
    let began_at = clock::now();
    let mut said = String::new();
    loop {
        let lacking = lacking(common, revision);
        if lacking.is_empty() {
            println!(
                "in force everywhere after {} ms",
                clock::since(began_at).as_millis()
            );
            return ExitCode::Done;
        }
        let names = lacking.join(", ");
        if clock::since(began_at) >= timeout {
            println!("not in force at: {names}");
            return ExitCode::NotInEffectEverywhere;
        }
        if names != said {
            eprintln!("waiting for: {names}");
            said = names;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Nodes that do not report the revision.
fn lacking(common: &Common, revision: Revision) -> Vec<String> {
    let mut revisions: BTreeMap<String, Revision> = BTreeMap::new();
    for (address, status) in queries::statuses(&common.controllers) {
        let Some(status) = status else {
            revisions.insert(format!("controller at {address}"), 0);
            continue;
        };
        let controller = format!("controller of {}", status.instance);
        revisions.insert(controller, status.config_revision);
        for router in status.routers {
            // A router reports to several controllers; its latest word counts.
            let reported = revisions
                .entry(format!("router of {}", router.instance))
                .or_default();
            *reported = (*reported).max(router.config_revision);
        }
    }
    revisions
        .into_iter()
        .filter(|(_, at)| *at < revision)
        .map(|(name, _)| name)
        .collect()
}
