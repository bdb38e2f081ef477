//! `passwayctl drain`.

use super::apply::put_in_force;
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
    put_in_force(common, store, &before, document, change)
}
