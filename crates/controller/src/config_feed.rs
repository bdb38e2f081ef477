//! Reads the configuration from the key-value service.
//!
//! Only controllers that have not heard of a confirmed revision lately ask the
//! service, the first standbys and holders sooner than the rest; the others hear
//! of it from their peers. The service's load does not grow with the fleet.

use crate::node::Input;
use crossbeam::channel::Sender;
use passway_config::revision::{CURRENT_KEY, EncodedRevision};
use passway_platform::key_value::KeyValue;
use passway_types::clock;
use passway_types::prelude::*;
use std::sync::atomic::{AtomicU64, Ordering};

/// Pause between two looks at whether a read is due.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// Time for which the service is asked to wait for a change; well below the
/// time-out of a call.
const WATCH_WAIT: Duration = Duration::from_millis(600);

/// Tells the reading thread how old the confirmation may become before it reads.
#[derive(Debug)]
pub struct ReadPace {
    age_ms: AtomicU64,
    limit_ms: AtomicU64,
}

impl ReadPace {
    /// A pace that reads at once.
    pub fn new(limit: Duration) -> Arc<Self> {
        let limit_ms = AtomicU64::new(millis(limit));
        Arc::new(Self {
            age_ms: AtomicU64::new(u64::MAX),
            limit_ms,
        })
    }

    /// Sets the age of the last confirmation and the age at which to read.
    pub fn set(&self, age: Duration, limit: Duration) {
        self.age_ms.store(millis(age), Ordering::Relaxed);
        self.limit_ms.store(millis(limit), Ordering::Relaxed);
    }

    fn is_due(&self) -> bool {
        self.age_ms.load(Ordering::Relaxed) >= self.limit_ms.load(Ordering::Relaxed)
    }
}

/// Starts the reading thread.
pub(crate) fn start(key_value: Arc<dyn KeyValue>, pace: Arc<ReadPace>, inputs: Sender<Input>) {
    std::thread::spawn(move || {
        let mut known = 0;
        loop {
            if pace.is_due() && inputs.send(read(&*key_value, &mut known)).is_err() {
                return;
            }
            std::thread::sleep(LOOK_PAUSE);
        }
    });
}

/// Waits a while for another version than `known`. Where nothing changes, the
/// configuration does not travel, and what is known is confirmed.
fn read(key_value: &dyn KeyValue, known: &mut Version) -> Input {
    let asked_at = clock::now();
    let Ok(found) = key_value.watch(CURRENT_KEY, *known, WATCH_WAIT) else {
        return Input::ConfigUnavailable;
    };
    let Some(found) = found else {
        return Input::ConfigConfirmed { asked_at };
    };
    match EncodedRevision::from_bytes(&found.value) {
        Ok(kept) => {
            *known = found.version;
            Input::ConfigRead {
                asked_at,
                kept: Arc::new(kept),
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
