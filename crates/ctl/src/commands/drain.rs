//! `passwayctl drain`: sets or clears the draining flag of an upstream in the configuration.

use super::apply::apply_change;
use crate::cli::{ChangeArguments, Common, ExitCode};
use crate::store::ConfigStore;
use anyhow::Result;

pub(crate) fn run(
    common: &Common,
    store: &ConfigStore,
    upstream: &str,
    is_draining: bool,
    change: &ChangeArguments,
) -> Result<ExitCode> {
    let previous = store.current()?;
    let mut document = previous
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
    entry.draining = is_draining;
    apply_change(common, store, &previous, document, change)
}
