//! Permits for suspects, i.e. requests or parts of prompts, that run one at a time over all instances.
//!
//! The coordinator gives the permit of each suspect to one run. A coordinator whose term has
//! just begun knows of no earlier permits, so in the worst case one more run is in flight for each
//! change of the coordinator while a permit lasts.

use super::SuspectKey;
use passway_types::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Maximum duration of a permit. A run whose instance terminated never releases its permit.
const MAX_PERMIT_DURATION: Duration = Duration::from_secs(30);
/// When a run without a permit may ask again.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of permits; further runs wait.
const MAX_PERMITS: usize = 4_096;

/// A run that requests a permit: its instance's address and its number there.
pub type ExclusiveRunId = (SocketAddr, u64);

#[derive(Debug)]
struct Permit {
    run_id: ExclusiveRunId,
    expires_at: Instant,
}

/// The permits of one term of the coordinator.
#[derive(Debug, Default)]
pub struct ExclusiveRuns {
    fence: Fence,
    permits: HashMap<SuspectKey, Permit>,
}

impl ExclusiveRuns {
    /// Gives a run the permit for a suspect, for `duration` or `MAX_PERMIT_DURATION`,
    /// whichever is shorter.
    ///
    /// # Errors
    /// The time after which the run may ask again.
    pub fn try_acquire(
        &mut self,
        fence: Fence,
        key: SuspectKey,
        run: ExclusiveRunId,
        duration: Duration,
        now: Instant,
    ) -> Result<(), Duration> {
        if fence != self.fence {
            self.fence = fence;
            self.permits.clear();
        }
        self.permits.retain(|_, permit| now < permit.expires_at);
        let has_capacity = self.permits.len() < MAX_PERMITS;
        match self.permits.get(&key) {
            Some(permit) if permit.run_id == run => Ok(()),
            None if has_capacity => {
                let expires_at = now + duration.min(MAX_PERMIT_DURATION);
                self.permits.insert(
                    key,
                    Permit {
                        run_id: run,
                        expires_at,
                    },
                );
                Ok(())
            }
            _ => Err(RETRY_DELAY),
        }
    }

    /// Releases the permit of a run that ended without a crash.
    pub fn release(&mut self, key: SuspectKey, run: ExclusiveRunId) {
        if self
            .permits
            .get(&key)
            .is_some_and(|permit| permit.run_id == run)
        {
            self.permits.remove(&key);
        }
    }
}
