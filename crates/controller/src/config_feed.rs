//! Reads the configuration from the key-value service.
//!
//! Only controllers that have not heard of a confirmed revision lately ask the
//! service, the first standbys and holders sooner than the rest; the others hear
//! of it from their peers. The service's load does not grow with the fleet.

use crate::node::Input;
use crossbeam::channel::Sender;
use passway_config::revision::{CURRENT_KEY, KeptRevision};
use passway_platform::key_value::KeyValue;
use passway_types::clock;
use passway_types::prelude::*;
use std::sync::atomic::{AtomicU64, Ordering};

/// Pause between two looks at whether a read is due.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which the service is asked to wait for a change; well below the
/// time-out of a call.
const WATCH_TIMEOUT: Duration = Duration::from_millis(600);

/// Tells the reading thread how old the confirmation may become before it reads.
#[derive(Debug)]
pub struct ReadSchedule {
    confirmation_age_ms: AtomicU64,
    max_age_ms: AtomicU64,
}

impl ReadSchedule {
    /// A pace that reads at once.
    pub fn new(max_age: Duration) -> Arc<Self> {
        let max_age_ms = AtomicU64::new(millis(max_age));
        Arc::new(Self {
            confirmation_age_ms: AtomicU64::new(u64::MAX),
            max_age_ms,
        })
    }

    /// Sets the age of the last confirmation and the age at which to read.
    pub fn set(&self, confirmation_age: Duration, max_age: Duration) {
        self.confirmation_age_ms
            .store(millis(confirmation_age), Ordering::Relaxed);
        self.max_age_ms.store(millis(max_age), Ordering::Relaxed);
    }

    fn is_due(&self) -> bool {
        self.confirmation_age_ms.load(Ordering::Relaxed) >= self.max_age_ms.load(Ordering::Relaxed)
    }
}

/// Starts the reading thread.
pub(crate) fn start(
    key_value: Arc<dyn KeyValue>,
    schedule: Arc<ReadSchedule>,
    inputs: Sender<Input>,
) {
    std::thread::spawn(move || {
        let mut known_version = 0;
        loop {
            if schedule.is_due()
                && inputs
                    .send(read_config(&*key_value, &mut known_version))
                    .is_err()
            {
                return;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    });
}

/// Waits a while for another version than `known`. Where nothing changes, the
/// configuration does not travel, and what is known is confirmed.
fn read_config(key_value: &dyn KeyValue, known_version: &mut Version) -> Input {
    let requested_at = clock::now();
    let Ok(found) = key_value.watch(CURRENT_KEY, *known_version, WATCH_TIMEOUT) else {
        return Input::ConfigUnavailable;
    };
    let Some(found) = found else {
        return Input::ConfigConfirmed { requested_at };
    };
    match KeptRevision::from_bytes(&found.value) {
        Ok(revision) => {
            *known_version = found.version;
            Input::ConfigRead {
                requested_at,
                revision: Arc::new(revision),
            }
        }
        Err(error) => {
            log::error!(error:% = error; "the stored configuration cannot be read");
            Input::ConfigUnavailable
        }
    }
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
