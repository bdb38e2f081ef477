//! The clock behind every deadline.
//!
//! [`Instant::now`] does not count the time during which the machine is suspended. After a
//! suspension, a process that used it would consider its leases, promises and time budgets valid,
//! although they have expired for all other instances. [`now`] counts suspensions. Waits of the
//! operating system (sleeps, condition variables, polls, socket timeouts) do not, so a thread must
//! compare its deadline with [`now`] again after each wait before it acts.

use rustix::time::{ClockId, clock_gettime};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// One reading of both clocks, taken at the same time.
#[derive(Debug, Clone, Copy)]
struct ClockBase {
    instant: Instant,
    /// Time since the machine was booted, suspensions included.
    since_boot: Duration,
}

static BASE: OnceLock<ClockBase> = OnceLock::new();
/// Total duration of the suspensions that tests have simulated, in milliseconds.
static SIMULATED_SUSPENSION_MS: AtomicU64 = AtomicU64::new(0);

/// The current time. It advances while the machine is suspended and never goes back.
#[expect(
    clippy::disallowed_methods,
    reason = "the only place that corrects the monotonic clock for suspensions"
)]
pub fn now() -> Instant {
    let base = BASE.get_or_init(|| ClockBase {
        instant: Instant::now(),
        since_boot: time_since_boot(),
    });
    base.instant + time_since_boot().saturating_sub(base.since_boot)
}

/// Time that has passed since `instant`; zero if `instant` is in the future.
pub fn since(instant: Instant) -> Duration {
    now().saturating_duration_since(instant)
}

/// Moves a stored time forward to `now`, never back, and returns by how much. A thread that reads the clock
/// before it waits, for a lock or for input, may come after one that has read it later.
pub fn advance(stored: &mut Instant, now: Instant) -> Duration {
    let passed = now.saturating_duration_since(*stored);
    *stored += passed;
    passed
}

/// Advances the clock as if the machine had been suspended for `duration`; for tests.
pub fn simulate_suspension(duration: Duration) {
    let ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    SIMULATED_SUSPENSION_MS.fetch_add(ms, Ordering::AcqRel);
}

/// Time since the machine was booted, suspensions included.
fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // Both fields are never negative, since this clock starts at 0 when the machine boots.
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
        + Duration::from_millis(SIMULATED_SUSPENSION_MS.load(Ordering::Acquire))
}
