//! The router of one instance.

use anyhow::{Context, Result};
use clap::Parser;
use passway_config::settings::{RouterSettings, Settings};
use passway_router::Router;
use std::path::PathBuf;

/// Serves callers: admits, queues, routes and streams their requests.
///
/// The first SIGTERM drains: requests in progress run to their end. A second SIGTERM cuts them.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// Settings file, JSON with comments.
    #[arg(long)]
    settings: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
}

fn main() -> Result<()> {
    let arguments = Arguments::parse();
    let settings = RouterSettings::read(&arguments.settings)?;
    if arguments.check {
        println!("{}: no faults", arguments.settings.display());
        return Ok(());
    }
    passway_process::logging::start("passway-router", &settings.log_level)?;
    let signals = passway_process::signals::termination_signals()?;
    let router = Router::start(&settings)?;
    signals.recv().context("waiting for a signal")?;
    let cut = router.drain().finish(|| signals.try_recv().is_ok());
    if cut > 0 {
        log::warn!(cut = cut; "a second signal cut requests in progress");
    }
    Ok(())
}
