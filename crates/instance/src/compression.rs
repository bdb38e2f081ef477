//! Compression of large values for transfer to other instances, against the previous value of the
//! key if the receiver has it, and of long updates as a whole.
//!
//! A new version of a configuration differs little from the one before. In a configuration of 0.95
//! MB with 4,300 routes, changing the timeout of one route takes a few hundred bytes.
//!
//! The entries of upstreams are too small to be compressed one by one, but resemble each other: a
//! list of 3.75 MB takes 0.44 MB.

use passway_wire::Body;
use passway_wire::message::{CompressedUpdates, Updates};
use prost::Message;
use std::io;

/// Smaller values are not compressed: the rest of the frame would be as large.
pub const MIN_COMPRESSED_BYTES: usize = 4 << 10;
/// Largest value that is decompressed, four times what the users' store accepts. It keeps a peer
/// from exhausting the memory with a short message.
const MAX_PLAIN_BYTES: usize = 4 << 20;
/// Shorter updates are not compressed as a whole.
const MIN_COMPRESSED_UPDATE_BYTES: usize = 16 << 10;
/// Largest update that is decompressed: the list of some 60,000 upstreams. It keeps a peer from
/// exhausting the memory with a short message.
const MAX_PLAIN_UPDATE_BYTES: usize = 32 << 20;
/// The library's default balances time against size.
const LEVEL: i32 = zstd::DEFAULT_COMPRESSION_LEVEL;

/// Compresses a value, against a base if there is one.
///
/// # Errors
/// The library's error.
pub fn compress(plain: &[u8], base: Option<&[u8]>) -> io::Result<Vec<u8>> {
    let mut compressor = zstd::bulk::Compressor::with_dictionary(LEVEL, base.unwrap_or_default())?;
    compressor.compress(plain)
}

/// Decompresses a value of a known length.
///
/// # Errors
/// If the value was compressed against another base, has another length, or is too large.
pub fn decompress(
    compressed: &[u8],
    base: Option<&[u8]>,
    plain_bytes: usize,
) -> io::Result<Vec<u8>> {
    decompress_up_to(MAX_PLAIN_BYTES, compressed, base, plain_bytes)
}

/// Decompresses a value of a known length that is at most `max_bytes`.
fn decompress_up_to(
    max_bytes: usize,
    compressed: &[u8],
    base: Option<&[u8]>,
    plain_bytes: usize,
) -> io::Result<Vec<u8>> {
    if plain_bytes > max_bytes {
        return Err(io::Error::other("the decompressed value is too large"));
    }
    let mut decompressor = zstd::bulk::Decompressor::with_dictionary(base.unwrap_or_default())?;
    let plain = decompressor.decompress(compressed, plain_bytes)?;
    if plain.len() != plain_bytes {
        return Err(io::Error::other(
            "the decompressed value has an unexpected length",
        ));
    }
    Ok(plain)
}

/// The message with an update, compressed if it is long and compression makes it shorter by a
/// quarter. Large values are compressed already.
pub fn update_body(update: Updates) -> Body {
    let plain_bytes = update.encoded_len();
    if !(MIN_COMPRESSED_UPDATE_BYTES..=MAX_PLAIN_UPDATE_BYTES).contains(&plain_bytes) {
        return Body::Updates(update);
    }
    match compress(&update.encode_to_vec(), None) {
        Ok(compressed) if compressed.len() <= plain_bytes / 4 * 3 => {
            Body::CompressedUpdates(CompressedUpdates {
                feed: update.feed,
                to_revision: update.to_revision,
                uncompressed_bytes: plain_bytes as u64,
                compressed: compressed.into(),
            })
        }
        Ok(_) => Body::Updates(update),
        Err(error) => {
            log::warn!(feed = update.feed, error:% = error; "cannot compress an update; it is sent uncompressed");
            Body::Updates(update)
        }
    }
}

/// Decompresses an update.
///
/// # Errors
/// If the update has another length than the message says, is too large or cannot be decoded.
pub fn decompress_update(message: &CompressedUpdates) -> io::Result<Updates> {
    let plain_bytes = usize::try_from(message.uncompressed_bytes).map_err(io::Error::other)?;
    let plain = decompress_up_to(
        MAX_PLAIN_UPDATE_BYTES,
        &message.compressed,
        None,
        plain_bytes,
    )?;
    Updates::decode(&*plain).map_err(io::Error::other)
}
