//! The subcommands of `passwayctl`, one file each.

pub mod analyze;
pub(crate) mod apply;
pub(crate) mod audit;
pub(crate) mod check;
pub(crate) mod diff;
pub(crate) mod drain;
pub(crate) mod explain;
pub(crate) mod history;
mod log_line;
pub(crate) mod show;
pub(crate) mod status;
pub mod trace;

use crate::cli::{Common, ExitCode};
use anyhow::{Context, Result};
use passway_config::check::Faults;
use passway_config::{Document, catalog};
use serde::Serialize;
use std::path::Path;

/// Reads and checks a configuration file. Returns its text and the parsed document, or prints its
/// errors and returns [`ExitCode::InvalidFile`].
fn read_document(common: &Common, file: &Path) -> Result<Result<(String, Document), ExitCode>> {
    let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
    match catalog::parse(&text, 0) {
        Ok((document, _)) => Ok(Ok((text, document))),
        Err(faults) => {
            print_faults(common, file, &faults);
            Ok(Err(ExitCode::InvalidFile))
        }
    }
}

#[derive(Serialize)]
struct FaultRow<'a> {
    path: &'a str,
    line: usize,
    reason: &'a str,
}

fn print_faults(common: &Common, file: &Path, faults: &Faults) {
    if common.json {
        let rows = faults.0.iter().map(|fault| FaultRow {
            path: &fault.path,
            line: fault.line,
            reason: &fault.reason,
        });
        print_json(&rows.collect::<Vec<_>>());
        return;
    }
    for fault in &faults.0 {
        println!(
            "{}:{}: {}: {}",
            file.display(),
            fault.line,
            fault.path,
            fault.reason
        );
    }
}

fn print_json(value: &impl Serialize) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("the output cannot be encoded as JSON: {error}"),
    }
}
