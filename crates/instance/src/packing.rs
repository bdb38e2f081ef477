//! Large values packed for the way to other instances, against the value that they take
//! the place of where the receiver has it.
//!
//! A version of a configuration differs little from the one before. Of 0.95 MB with 4,300
//! routes, a change of one route's time-out leaves some hundred bytes.

use passway_wire::message::{NewsValue, NewsValues, PackedValues};
use prost::Message;
use std::io;

/// Values of this size and more are packed: below it, a frame's other parts weigh as much.
pub const PACKED_FROM_BYTES: usize = 4 << 10;
/// Largest value that is unpacked, so that no peer can fill the memory with a short message:
/// four times what the users' store takes.
const MAX_PLAIN_BYTES: usize = 4 << 20;
/// The library's own default balances time against size.
const LEVEL: i32 = zstd::DEFAULT_COMPRESSION_LEVEL;

/// Values that are told together are packed together from so many bytes on: a list of upstreams, each of some
/// hundred bytes, goes in a tenth of them.
const PACKED_LIST_BYTES: usize = 4 << 10;
/// Plain bytes of the values that are packed together: what a larger block gains is little.
const BLOCK_BYTES: usize = 1 << 20;
/// Most plain bytes of one message's blocks: the list of 50,000 upstreams.
const MAX_LIST_BYTES: usize = 32 << 20;

/// Takes small values out of a long list, packed together; none out of a short one.
pub fn pack_values(values: &mut Vec<NewsValue>) -> Vec<PackedValues> {
    let size = |value: &NewsValue| value.value.as_ref().map_or(0, bytes::Bytes::len);
    let small = |value: &NewsValue| size(value) < PACKED_FROM_BYTES;
    let bytes: usize = values.iter().filter(|value| small(value)).map(size).sum();
    if bytes < PACKED_LIST_BYTES {
        return Vec::new();
    }
    let mut packed = Vec::new();
    let mut large = Vec::new();
    let mut block = NewsValues::default();
    let mut block_bytes = 0;
    let mut close = |block: &mut NewsValues| {
        let plain = std::mem::take(block).encode_to_vec();
        match pack(&plain, None) {
            Ok(bytes) => packed.push(PackedValues {
                bytes: bytes.into(),
                plain_bytes: plain.len() as u64,
            }),
            Err(error) => log::error!(error:% = error; "a list cannot be packed"),
        }
    };
    for value in std::mem::take(values) {
        if !small(&value) {
            large.push(value);
            continue;
        }
        block_bytes += value.encoded_len();
        block.values.push(value);
        if block_bytes >= BLOCK_BYTES {
            close(&mut block);
            block_bytes = 0;
        }
    }
    if !block.values.is_empty() {
        close(&mut block);
    }
    *values = large;
    packed
}

/// Adds packed values to a list.
///
/// # Errors
/// If they cannot be unpacked or decoded, or are too many.
pub fn unpack_values(packed: &[PackedValues], values: &mut Vec<NewsValue>) -> io::Result<()> {
    let all: u64 = packed.iter().map(|block| block.plain_bytes).sum();
    if all > MAX_LIST_BYTES as u64 {
        return Err(io::Error::other("a list is too long"));
    }
    for block in packed {
        let plain_bytes = usize::try_from(block.plain_bytes).map_err(io::Error::other)?;
        let plain = unpack(&block.bytes, None, plain_bytes)?;
        let block = NewsValues::decode(&*plain).map_err(io::Error::other)?;
        values.extend(block.values);
    }
    Ok(())
}

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
