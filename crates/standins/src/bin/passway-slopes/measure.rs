//! Helpers that measure time, memory and processor time of this process.

use anyhow::{Context, Result};
use passway_types::prelude::*;

/// Clock ticks per second in which Linux reports processor time.
const TICKS_PER_S: u64 = 100;

/// Returns the mean time of one round, in microseconds.
pub fn time(rounds: u32, mut round: impl FnMut()) -> f64 {
    let started_at = Instant::now();
    for _ in 0..rounds {
        round();
    }
    started_at.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

/// Returns the resident memory of this process.
pub fn resident_bytes() -> Result<u64> {
    let text =
        std::fs::read_to_string("/proc/self/status").context("reading the process status")?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    kilobytes
        .map(|kb| kb << 10)
        .context("the process status has no VmRSS")
}

/// Returns the processor time that this process has used.
pub fn processor_time() -> Result<Duration> {
    let text =
        std::fs::read_to_string("/proc/self/stat").context("reading the process statistics")?;
    let fields: Vec<&str> = text
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split(' ')
        .collect();
    let field = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok());
    let ticks = field(12).zip(field(13)).map(|(user, system)| user + system);
    let ticks = ticks.context("the process statistics have no processor time")?;
    Ok(Duration::from_millis(ticks * 1_000 / TICKS_PER_S))
}

/// Converts bytes to megabytes (2^20 bytes).
#[expect(clippy::cast_precision_loss, reason = "for print only")]
pub fn mb(bytes: u64) -> f64 {
    bytes as f64 / 1_048_576.0
}
