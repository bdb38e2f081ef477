//! A hash that is the same in every process: 64-bit FNV-1a.

/// Initial value of FNV-1a, as published.
const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Multiplier of FNV-1a, as published.
const PRIME: u64 = 0x0100_0000_01b3;

/// Right shift that folds the upper half of the bits into the lower one before the multiplication;
/// about half of the hash's width.
const MIX_SHIFT: u32 = 29;
/// 2^64 divided by the golden ratio, the usual odd multiplier for mixing the bits of a hash.
const MIX_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// The hash of `text` with its bits mixed, best in the upper ones, so that it ranks names that
/// differ only in their last characters.
pub fn mixed(seed: u64, text: &str) -> u64 {
    let hash = fnv1a(seed, text);
    (hash ^ (hash >> MIX_SHIFT)).wrapping_mul(MIX_FACTOR)
}

/// A number between 0 and 1, determined by a number and a name.
pub fn fraction(seed: u64, text: &str) -> f64 {
    let upper = mixed(seed, text) >> 32;
    f64::from(u32::try_from(upper).unwrap_or(0)) / f64::from(u32::MAX)
}

/// The FNV-1a hash of `text`. Each `seed` gives a different hash; 0 gives plain FNV-1a.
pub fn fnv1a(seed: u64, text: &str) -> u64 {
    fnv1a_bytes(seed, text.as_bytes())
}

/// The FNV-1a hash of bytes, as [`fnv1a`].
pub fn fnv1a_bytes(seed: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(seed ^ OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}
