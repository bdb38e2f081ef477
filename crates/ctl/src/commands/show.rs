//! `passwayctl show`: prints the current configuration.

use crate::cli::ExitCode;
use crate::store::ConfigStore;
use anyhow::Result;

/// Start of the first line that `show` prints; the revision number follows. `apply` parses this
/// line.
pub(crate) const REVISION_LINE_PREFIX: &str = "// revision ";

pub(crate) fn run(store: &ConfigStore) -> Result<ExitCode> {
    match store.current()? {
        None => println!("{REVISION_LINE_PREFIX}0\n{{}}"),
        Some((_, stored)) => {
            println!("{REVISION_LINE_PREFIX}{}", stored.revision);
            println!("{}", serde_json::to_string_pretty(&stored.document)?);
        }
    }
    Ok(ExitCode::Done)
}
