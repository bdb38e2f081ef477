//! Runs of requests that go one at a time over all instances.
//!
//! The instance that counts for all gives a turn to one run of each such request. Worst case: a counter that has
//! just begun knows of no turn, so one run more is under way for each change of the counter within a turn.

use super::RequestDigest;
use passway_types::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Longest turn. A run whose instance has gone gives none back.
const LONGEST_TURN: Duration = Duration::from_secs(30);
/// When a run without a turn may ask again.
const ASK_PAUSE: Duration = Duration::from_millis(100);
/// Turns that are kept; beyond them runs wait.
const MAX_TURNS: usize = 4_096;

/// A run that asks for a turn: its instance, and its number there.
pub type ExclusiveRunId = (SocketAddr, u64);

#[derive(Debug)]
struct Turn {
    of: ExclusiveRunId,
    until: Instant,
}

/// The turns of one term of the counter.
#[derive(Debug, Default)]
pub struct ExclusiveRuns {
    fence: Fence,
    turns: HashMap<RequestDigest, Turn>,
}

impl ExclusiveRuns {
    /// Gives a run its turn for so long at most, or tells when it may ask again.
    ///
    /// # Errors
    /// The time after which it may ask again.
    pub fn try_acquire(
        &mut self,
        fence: Fence,
        digest: RequestDigest,
        run: ExclusiveRunId,
        time: Duration,
        now: Instant,
    ) -> Result<(), Duration> {
        if fence != self.fence {
            self.fence = fence;
            self.turns.clear();
        }
        self.turns.retain(|_, turn| now < turn.until);
        let has_room = self.turns.len() < MAX_TURNS;
        match self.turns.get(&digest) {
            Some(turn) if turn.of == run => Ok(()),
            None if has_room => {
                let until = now + time.min(LONGEST_TURN);
                self.turns.insert(digest, Turn { of: run, until });
                Ok(())
            }
            _ => Err(ASK_PAUSE),
        }
    }

    /// A run is over that ended nothing.
    pub fn release(&mut self, digest: RequestDigest, run: ExclusiveRunId) {
        if self.turns.get(&digest).is_some_and(|turn| turn.of == run) {
            self.turns.remove(&digest);
        }
    }
}
