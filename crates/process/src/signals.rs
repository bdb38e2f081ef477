//! Signals as a channel.

use anyhow::{Context, Result};
use crossbeam::channel::{Receiver, bounded};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Signals remembered while nobody listens.
const MAX_PENDING_SIGNALS: usize = 4;

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalEvent {
    /// The process is to end.
    Stop,
    /// The settings have changed.
    Reload,
}

/// A channel that gets a message for each SIGTERM, SIGINT and SIGHUP.
///
/// # Errors
/// If the handlers cannot be installed.
pub fn signal_events() -> Result<Receiver<SignalEvent>> {
    let mut signals =
        Signals::new([SIGTERM, SIGINT, SIGHUP]).context("installing signal handlers")?;
    let (sender, receiver) = bounded(MAX_PENDING_SIGNALS);
    std::thread::spawn(move || {
        for signal in signals.forever() {
            let asked = if signal == SIGHUP {
                SignalEvent::Reload
            } else {
                SignalEvent::Stop
            };
            // A full channel has enough signals already.
            let _ = sender.try_send(asked);
        }
    });
    Ok(receiver)
}

/// A channel that gets a message for each SIGTERM and SIGINT.
///
/// # Errors
/// If the handlers cannot be installed.
pub fn termination_signals() -> Result<Receiver<()>> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).context("installing signal handlers")?;
    let (sender, receiver) = bounded(MAX_PENDING_SIGNALS);
    std::thread::spawn(move || {
        for _signal in signals.forever() {
            // A full channel has enough signals already.
            let _ = sender.try_send(());
        }
    });
    Ok(receiver)
}
