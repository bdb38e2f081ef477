//! Size, processing times and memory of configurations.

use crate::measure::{mb, resident_bytes};
use crate::revisions::first_revision;
use anyhow::Result;
use passway_config::revision;
use passway_standins::sizes::{SIZES, document};
use passway_types::prelude::*;
use std::hint::black_box;

/// Prints for each configuration its stored size, the times to encode, decode and check it, and the
/// memory of the catalog built from it.
pub fn measure() -> Result<()> {
    println!(
        "configuration: models adapters stored_bytes encode_ms decode_ms build_ms resident_mb"
    );
    for size in SIZES {
        let stored = first_revision(document(&size));
        let started_at = Instant::now();
        let bytes = revision::encode(&stored)?;
        let encode_time = started_at.elapsed();
        let started_at = Instant::now();
        let decoded = revision::decode(&bytes)?;
        let decode_time = started_at.elapsed();
        let before_bytes = resident_bytes()?;
        let started_at = Instant::now();
        let catalog = decoded.catalog()?;
        let build_time = started_at.elapsed();
        let grown_bytes = resident_bytes()?.saturating_sub(before_bytes);
        println!(
            "  {:5} {:5} {:8} {:6.2} {:6.2} {:6.2} {:5.1}",
            size.models,
            size.adapters,
            bytes.len(),
            encode_time.as_secs_f64() * 1e3,
            decode_time.as_secs_f64() * 1e3,
            build_time.as_secs_f64() * 1e3,
            mb(grown_bytes)
        );
        black_box(catalog);
    }
    Ok(())
}
