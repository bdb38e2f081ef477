//! Large values packed for the way to other instances, against the value that they take
//! the place of where the receiver has it.
//!
//! A version of a configuration differs little from the one before. Of 0.95 MB with 4,300
//! routes, a change of one route's time-out leaves some hundred bytes.

use std::io;

/// Values of this size and more are packed: below it, a frame's other parts weigh as much.
pub const MIN_COMPRESSED_BYTES: usize = 4 << 10;
/// Largest value that is unpacked, so that no peer can fill the memory with a short message:
/// four times what the users' store takes.
const MAX_PLAIN_BYTES: usize = 4 << 20;
/// The library's own default balances time against size.
const LEVEL: i32 = zstd::DEFAULT_COMPRESSION_LEVEL;

/// Packs a value, against another one if there is one.
///
/// # Errors
/// The library's error.
pub fn pack(plain: &[u8], base: Option<&[u8]>) -> io::Result<Vec<u8>> {
    let mut packer = zstd::bulk::Compressor::with_dictionary(LEVEL, base.unwrap_or_default())?;
    packer.compress(plain)
}

/// Unpacks a value of a known length.
///
/// # Errors
/// If it was packed against another value, is not of that length, or is too large.
pub fn unpack(packed: &[u8], base: Option<&[u8]>, plain_bytes: usize) -> io::Result<Vec<u8>> {
    if plain_bytes > MAX_PLAIN_BYTES {
        return Err(io::Error::other("a value is too large"));
    }
    let mut unpacker = zstd::bulk::Decompressor::with_dictionary(base.unwrap_or_default())?;
    let plain = unpacker.decompress(packed, plain_bytes)?;
    if plain.len() != plain_bytes {
        return Err(io::Error::other("a value has another length"));
    }
    Ok(plain)
}
