//! Signals of the operating system as a channel.

use anyhow::{Context, Result};
use crossbeam::channel::{Receiver, bounded};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Maximum number of signals that wait in the channel.
const MAX_PENDING_SIGNALS: usize = 4;

/// The meaning of a signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalEvent {
    /// The process must stop.
    Stop,
    /// The process must reload its settings.
    Reload,
}

/// Returns a channel that receives a message for each SIGTERM, SIGINT and SIGHUP.
///
/// # Errors
/// If the signal handlers cannot be installed.
pub fn signal_events() -> Result<Receiver<SignalEvent>> {
    let mut signals =
        Signals::new([SIGTERM, SIGINT, SIGHUP]).context("installing signal handlers")?;
    let (sender, receiver) = bounded(MAX_PENDING_SIGNALS);
    std::thread::spawn(move || {
        for signal in signals.forever() {
            let event = if signal == SIGHUP {
                SignalEvent::Reload
            } else {
                SignalEvent::Stop
            };
            // If the channel is full, the waiting signals are sufficient.
            let _ = sender.try_send(event);
        }
    });
    Ok(receiver)
}

/// Returns a channel that receives a message for each SIGTERM and SIGINT.
///
/// # Errors
/// If the signal handlers cannot be installed.
pub fn termination_signals() -> Result<Receiver<()>> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).context("installing signal handlers")?;
    let (sender, receiver) = bounded(MAX_PENDING_SIGNALS);
    std::thread::spawn(move || {
        for _signal in signals.forever() {
            // If the channel is full, the waiting signals are sufficient.
            let _ = sender.try_send(());
        }
    });
    Ok(receiver)
}
