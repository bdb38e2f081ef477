//! The controller of one instance.

use anyhow::{Context, Result};
use clap::Parser;
use passway_config::settings::{ControllerSettings, Settings};
use passway_controller::Controller;
use std::path::PathBuf;

/// Decides which models are loaded on which upstreams, for the cells that this instance leads.
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
    let settings = ControllerSettings::read(&arguments.settings)?;
    if arguments.check {
        println!("{}: no faults", arguments.settings.display());
        return Ok(());
    }
    passway_process::logging::start("passway-controller", &settings.log_level)?;
    let signals = passway_process::signals::termination_signals()?;
    let controller = Controller::start(settings)?;
    signals.recv().context("waiting for a signal")?;
    controller.stop();
    Ok(())
}
