//! `passwayctl diff`: prints what applying a file would change.

use super::{print_json, read_document};
use crate::changes::changes;
use crate::cli::{Common, ExitCode};
use crate::store::ConfigStore;
use anyhow::Result;
use std::path::Path;

pub(crate) fn run(common: &Common, store: &ConfigStore, file: &Path) -> Result<ExitCode> {
    let (_, document) = match read_document(common, file)? {
        Ok(read) => read,
        Err(code) => return Ok(code),
    };
    let current = store.current()?;
    let old = current
        .map(|(_, stored)| stored.document)
        .unwrap_or_default();
    let lines = changes(&old, &document);
    if common.json {
        print_json(&lines);
    } else if lines.is_empty() {
        println!("no changes");
    } else {
        println!("{}", lines.join("\n"));
    }
    Ok(ExitCode::Done)
}
