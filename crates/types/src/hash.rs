//! A hash that is the same in every process and every build.

use sha2::{Digest, Sha256};

/// Hashes the parts, each with its length, into 64 bits.
///
/// Programs of two builds run side by side during an upgrade, so the standard
/// library's hasher, which may change between versions, does not serve here.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    digest
        .iter()
        .take(8)
        .fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
}
