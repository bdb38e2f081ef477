//! A hash that gives the same number in each process: 64-bit FNV-1a.

/// Start value of FNV-1a, as published.
const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Factor of FNV-1a, as published.
const PRIME: u64 = 0x0100_0000_01b3;

/// How far a hash is shifted down onto itself, so that its upper bits have a part in
/// the multiplication that follows; about half of its bits.
const MIX_SHIFT: u32 = 29;
/// 2^64 divided by the golden ratio: the usual odd factor to mix a hash's bits.
const MIX_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// The hash of `text` with its bits mixed, the upper ones best: it ranks names that differ in
/// their last letters only.
pub fn mixed(seed: u64, text: &str) -> u64 {
    let hash = fnv1a(seed, text);
    (hash ^ (hash >> MIX_SHIFT)).wrapping_mul(MIX_FACTOR)
}

/// The hash of `text`. Each `seed` gives a hash of its own; 0 gives plain FNV-1a.
pub fn fnv1a(seed: u64, text: &str) -> u64 {
    text.bytes().fold(seed ^ OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
