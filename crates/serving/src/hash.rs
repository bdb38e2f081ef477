//! A hash that gives the same number in each process: 64-bit FNV-1a.

/// Start value of FNV-1a, as published.
const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Factor of FNV-1a, as published.
const PRIME: u64 = 0x0100_0000_01b3;

/// The hash of `text`. Each `seed` gives a hash of its own; 0 gives plain FNV-1a.
pub fn fnv1a(seed: u64, text: &str) -> u64 {
    text.bytes().fold(seed ^ OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
