//! A hash that is the same in every process and every build.

use sha2::{Digest, Sha256};

/// Bytes of a digest: too many for two inputs to be found that share one.
pub const DIGEST_BYTES: usize = 16;

/// Hashes the parts, each with its length, into 64 bits.
///
/// Programs of two builds run side by side during an upgrade, so the standard
/// library's hasher, which may change between versions, does not serve here.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let digest = stable_digest(parts);
    let upper = digest.iter().take(8);
    upper.fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
}

/// The same in [`DIGEST_BYTES`], the first of SHA-256: nobody can choose parts that share
/// the digest of another's.
pub fn stable_digest(parts: &[&[u8]]) -> [u8; DIGEST_BYTES] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    std::array::from_fn(|index| digest[index])
}
