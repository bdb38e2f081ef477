//! `passwayctl check`: checks a configuration file without applying it.

use super::read_document;
use crate::cli::{Common, ExitCode};
use anyhow::Result;
use std::path::Path;

pub(crate) fn run(common: &Common, file: &Path) -> Result<ExitCode> {
    if let Err(code) = read_document(common, file)? {
        return Ok(code);
    }
    if common.json {
        println!("[]");
    } else {
        println!("{}: no faults", file.display());
    }
    Ok(ExitCode::Done)
}
