//! Termination signals as a channel.

use anyhow::{Context, Result};
use crossbeam::channel::{Receiver, bounded};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Signals remembered while nobody listens.
const REMEMBERED: usize = 4;

/// A channel that gets a message for each SIGTERM and SIGINT.
///
/// # Errors
/// If the handlers cannot be installed.
pub fn termination() -> Result<Receiver<()>> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).context("installing signal handlers")?;
    let (sender, receiver) = bounded(REMEMBERED);
    std::thread::spawn(move || {
        for _signal in signals.forever() {
            // A full channel has enough signals already.
            let _ = sender.try_send(());
        }
    });
    Ok(receiver)
}
