//! The configuration in the store and in memory, by its size.

use crate::measure::{mb, resident_bytes};
use crate::revisions::stored;
use anyhow::Result;
use passway_config::revision;
use passway_standins::sizes::{SIZES, document};
use passway_types::prelude::*;
use std::hint::black_box;

/// Prints the stored size, the times to encode, decode and check it, and the memory it takes.
pub fn measure() -> Result<()> {
    println!(
        "configuration: models adapters stored_bytes encode_ms decode_ms build_ms resident_mb"
    );
    for size in SIZES {
        let stored = stored(document(&size));
        let began_at = Instant::now();
        let bytes = revision::encode(&stored)?;
        let encode = began_at.elapsed();
        let began_at = Instant::now();
        let read = revision::decode(&bytes)?;
        let decode = began_at.elapsed();
        let before_bytes = resident_bytes()?;
        let began_at = Instant::now();
        let catalog = read.catalog()?;
        let build = began_at.elapsed();
        let grown_bytes = resident_bytes()?.saturating_sub(before_bytes);
        println!(
            "  {:5} {:5} {:8} {:6.2} {:6.2} {:6.2} {:5.1}",
            size.models,
            size.adapters,
            bytes.len(),
            encode.as_secs_f64() * 1e3,
            decode.as_secs_f64() * 1e3,
            build.as_secs_f64() * 1e3,
            mb(grown_bytes)
        );
        black_box(catalog);
    }
    Ok(())
}
