//! What every part measures with: time, memory and processor time of this process.

use anyhow::{Context, Result};
use passway_types::prelude::*;

/// Clock ticks of processor time a second, as Linux reports it.
const TICKS_PER_S: u64 = 100;

/// Time of one round, in microseconds.
pub fn time(rounds: u32, mut round: impl FnMut()) -> f64 {
    let began_at = Instant::now();
    for _ in 0..rounds {
        round();
    }
    began_at.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

/// Resident memory of this process.
pub fn resident_bytes() -> Result<u64> {
    let text = std::fs::read_to_string("/proc/self/status").context("reading the status")?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    kilobytes.map(|kb| kb << 10).context("no VmRSS")
}

/// Processor time of this process.
pub fn processor_time() -> Result<Duration> {
    let text = std::fs::read_to_string("/proc/self/stat").context("reading the times")?;
    let fields: Vec<&str> = text
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split(' ')
        .collect();
    let field = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok());
    let ticks = field(12).zip(field(13)).map(|(user, system)| user + system);
    let ticks = ticks.context("no processor time")?;
    Ok(Duration::from_millis(ticks * 1_000 / TICKS_PER_S))
}

/// Megabytes (2^20 bytes) of so many bytes.
#[expect(clippy::cast_precision_loss, reason = "for print only")]
pub fn mb(bytes: u64) -> f64 {
    bytes as f64 / 1_048_576.0
}
