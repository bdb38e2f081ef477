//! A hash function with the same result in every process and every build.

use sha2::{Digest, Sha256};

/// Length of a digest: 128 bits make it infeasible to find two inputs with the same digest.
pub const DIGEST_BYTES: usize = 16;

/// Hashes all parts, each prefixed with its length, into 64 bits.
///
/// During an upgrade, programs of two builds run side by side. The standard library's hasher is
/// not used because its result may change between versions.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let digest = stable_digest(parts);
    let upper = digest.iter().take(8);
    upper.fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
}

/// Hashes like [`stable_hash`], but returns the first [`DIGEST_BYTES`] bytes of the SHA-256 hash,
/// so that nobody can construct parts whose digest equals the digest of other parts.
pub fn stable_digest(parts: &[&[u8]]) -> [u8; DIGEST_BYTES] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    std::array::from_fn(|index| digest[index])
}
