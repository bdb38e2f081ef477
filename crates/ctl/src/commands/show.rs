//! `passwayctl show`.

use crate::cli::ExitCode;
use crate::store::ConfigStore;
use anyhow::Result;

/// Begins the first line of what `show` prints; `apply` reads it back.
pub(crate) const REVISION_LINE: &str = "// revision ";

pub(crate) fn run(store: &ConfigStore) -> Result<ExitCode> {
    match store.current()? {
        None => println!("{REVISION_LINE}0\n{{}}"),
        Some((_, stored)) => {
            println!("{REVISION_LINE}{}", stored.revision);
            println!("{}", serde_json::to_string_pretty(&stored.document)?);
        }
    }
    Ok(ExitCode::Done)
}
