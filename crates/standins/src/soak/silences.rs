//! Silences of servers in series. A silent server sends nothing and closes nothing; afterwards it
//! sends everything that is due.

use crate::platform::raw::RawServer;
use passway_types::prelude::*;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A server that can fall silent.
#[derive(Debug, Clone)]
pub struct SilenceableServer {
    /// Id of the server.
    pub id: String,
    /// The server itself, or the listener of an engine.
    pub listener: RawServer,
}

/// One silence of a series.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Silence {
    /// How long the servers send nothing.
    pub duration: Duration,
    /// Time until the next silence of the series.
    pub gap: Duration,
}

/// A silence that has begun.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BegunSilence {
    /// Id of the server.
    pub server: String,
    /// When the silence began.
    pub began_at: Instant,
    /// Planned end of the silence; the end of all faults may end it before.
    pub ends_at: Instant,
}

/// All silences of a soak run.
#[derive(Debug, Default)]
pub struct Silences {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of times at which all series were ended.
    end_count: u64,
    begun: Vec<BegunSilence>,
}

impl Silences {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Silences the servers several times in the background.
    pub fn start_series(self: &Arc<Self>, servers: Vec<SilenceableServer>, series: Vec<Silence>) {
        let end_count = self.state().end_count;
        let silences = self.clone();
        std::thread::spawn(move || {
            for silence in series {
                if !silences.begin(&servers, silence.duration, end_count) {
                    return;
                }
                std::thread::sleep(silence.duration + silence.gap);
            }
        });
    }

    /// Begins one silence, unless all series were ended since `end_count` was read.
    fn begin(&self, servers: &[SilenceableServer], duration: Duration, end_count: u64) -> bool {
        let mut state = self.state();
        if state.end_count != end_count {
            return false;
        }
        for server in servers {
            let began_at = Instant::now();
            server.listener.fall_silent(duration);
            state.begun.push(BegunSilence {
                server: server.id.clone(),
                began_at,
                ends_at: began_at + duration,
            });
        }
        true
    }

    /// Ends all series and silences.
    pub fn end_all(&self, servers: &[SilenceableServer]) {
        let mut state = self.state();
        state.end_count += 1;
        for server in servers {
            server.listener.end_silence();
        }
    }

    /// Returns all silences that have begun.
    pub fn begun(&self) -> Vec<BegunSilence> {
        self.state().begun.clone()
    }
}
