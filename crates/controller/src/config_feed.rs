//! Reads the configuration from the key-value service.
//!
//! A controller queries the service only if its latest confirmation of the revision is too
//! old. Holders and the first standbys use a shorter maximum age than other controllers,
//! which learn of the confirmation from their peers. So the load on the service does not
//! grow with the fleet.

use crate::node::Input;
use crossbeam::channel::Sender;
use passway_config::revision::{CURRENT_KEY, EncodedRevision};
use passway_platform::key_value::KeyValue;
use passway_types::clock;
use passway_types::prelude::*;
use std::sync::atomic::{AtomicU64, Ordering};

/// Interval of the check whether a read is due.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How long the service waits for a change before it answers a watch; well below the timeout
/// of a call.
const WATCH_TIMEOUT: Duration = Duration::from_millis(600);

/// Determines when the reader thread queries the service: the age of the latest
/// confirmation and its maximum.
#[derive(Debug)]
pub struct ReadSchedule {
    confirmation_age_ms: AtomicU64,
    max_age_ms: AtomicU64,
}

impl ReadSchedule {
    /// Creates a schedule whose first read is due at once.
    pub fn new(max_age: Duration) -> Arc<Self> {
        let max_age_ms = AtomicU64::new(millis(max_age));
        Arc::new(Self {
            confirmation_age_ms: AtomicU64::new(u64::MAX),
            max_age_ms,
        })
    }

    /// Sets the age of the latest confirmation and the age from which on a read is due.
    pub fn set(&self, confirmation_age: Duration, max_age: Duration) {
        self.confirmation_age_ms
            .store(millis(confirmation_age), Ordering::Relaxed);
        self.max_age_ms.store(millis(max_age), Ordering::Relaxed);
    }

    fn is_due(&self) -> bool {
        self.confirmation_age_ms.load(Ordering::Relaxed) >= self.max_age_ms.load(Ordering::Relaxed)
    }
}

/// Starts the reader thread.
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

/// Waits up to [`WATCH_TIMEOUT`] for another version than `known_version`. If there is none,
/// the service confirms the known version without sending the configuration again.
fn read_config(key_value: &dyn KeyValue, known_version: &mut Version) -> Input {
    let requested_at = clock::now();
    let Ok(found) = key_value.watch(CURRENT_KEY, *known_version, WATCH_TIMEOUT) else {
        return Input::ConfigUnavailable;
    };
    let Some(found) = found else {
        return Input::ConfigConfirmed { requested_at };
    };
    match EncodedRevision::from_bytes(&found.value) {
        Ok(revision) => {
            *known_version = found.version;
            Input::ConfigRead {
                requested_at,
                revision: Arc::new(revision),
            }
        }
        Err(error) => {
            log::error!(error:% = error; "cannot decode the stored configuration");
            Input::ConfigUnavailable
        }
    }
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
