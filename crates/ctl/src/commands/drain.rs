//! `passwayctl drain`.

use super::apply::apply_change;
use crate::cli::{ChangeArguments, Common, ExitCode};
use crate::store::ConfigStore;
use anyhow::Result;

pub(crate) fn run(
    common: &Common,
    store: &ConfigStore,
    upstream: &str,
    draining: bool,
    change: &ChangeArguments,
) -> Result<ExitCode> {
    let before = store.current()?;
    let mut document = before
        .as_ref()
        .map(|(_, stored)| stored.document.clone())
        .unwrap_or_default();
    let Some(entry) = document
        .upstreams
        .iter_mut()
        .find(|entry| entry.id == upstream)
    else {
        println!("no upstream {upstream}");
        return Ok(ExitCode::Failed);
    };
    entry.draining = draining;
    apply_change(common, store, &before, document, change)
}
