//! The time that deadlines are measured by.
//!
//! A machine may be suspended, and the standard library's clock does not count that time: whoever
//! wakes would believe that no lease, promise or time budget had lapsed, while for everybody else
//! it had. So moments come from [`now`], which counts it. Waits of the system (sleeps, condition
//! variables, polls, socket time-outs) still do not: whoever wakes compares with [`now`] again
//! before it acts.

use rustix::time::{ClockId, clock_gettime};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// One moment by both clocks.
#[derive(Debug, Clone, Copy)]
struct ClockBase {
    instant: Instant,
    /// Time since the machine has started, with suspensions.
    running: Duration,
}

static START: OnceLock<ClockBase> = OnceLock::new();
/// Milliseconds of the suspensions that tests have played.
static SIMULATED_SUSPENSION_MS: AtomicU64 = AtomicU64::new(0);

/// The present moment. It goes on while the machine is suspended, and is never set back.
#[expect(
    clippy::disallowed_methods,
    reason = "the one place that makes the steady clock count suspensions"
)]
pub fn now() -> Instant {
    let start = START.get_or_init(|| ClockBase {
        instant: Instant::now(),
        running: time_since_boot(),
    });
    start.instant + time_since_boot().saturating_sub(start.running)
}

/// Time since a moment; zero if it is yet to come.
pub fn since(moment: Instant) -> Duration {
    now().saturating_duration_since(moment)
}

/// Goes on as if the machine had been suspended for so long; for tests.
pub fn simulate_suspension(time: Duration) {
    let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    SIMULATED_SUSPENSION_MS.fetch_add(ms, Ordering::AcqRel);
}

/// Time since the machine has started, with suspensions.
fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // Neither part is ever negative: the clock starts with the machine.
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
        + Duration::from_millis(SIMULATED_SUSPENSION_MS.load(Ordering::Acquire))
}
