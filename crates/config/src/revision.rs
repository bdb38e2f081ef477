//! A revision of the configuration as it is kept in the key-value service.

use crate::catalog::Catalog;
use crate::check::Faults;
use crate::document::Document;
use anyhow::{Context, Result};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use passway_types::ids::Revision;
use serde::{Deserialize, Serialize};
use std::io::{Read, Write};
use std::sync::Arc;

/// Key of the current revision.
pub const CURRENT_KEY: &str = "config/current";

/// Largest revision that is decoded, in bytes; guards against a broken value.
const MAX_DECODED_BYTES: u64 = 64 << 20;

/// Encodes a revision as it is kept and sent: JSON, compressed.
///
/// Plain JSON passes the key-value service's limit of a megabyte at the size of
/// the target; see `docs/CAPACITY.md`.
///
/// # Errors
/// If it cannot be written as JSON.
pub fn encode(stored: &StoredRevision) -> Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let json = serde_json::to_vec(stored).context("encoding a revision")?;
    encoder.write_all(&json).context("compressing a revision")?;
    encoder.finish().context("compressing a revision")
}

/// Decodes what [`encode`] made.
///
/// # Errors
/// If the bytes are something else.
pub fn decode(bytes: &[u8]) -> Result<StoredRevision> {
    let mut json = Vec::new();
    let decoder = DeflateDecoder::new(bytes);
    decoder
        .take(MAX_DECODED_BYTES)
        .read_to_end(&mut json)
        .context("decompressing a revision")?;
    serde_json::from_slice(&json).context("decoding a revision")
}

/// A revision together with the bytes that it came in, to be passed on as they are.
#[derive(Debug, Clone)]
pub struct EncodedRevision {
    /// The revision.
    pub stored: StoredRevision,
    /// What [`encode`] made of it.
    pub encoded: Arc<[u8]>,
}

impl EncodedRevision {
    /// Decodes bytes and keeps them.
    ///
    /// # Errors
    /// If the bytes are not a revision.
    pub fn from_bytes(encoded: &[u8]) -> Result<Self> {
        Ok(Self {
            stored: decode(encoded)?,
            encoded: encoded.into(),
        })
    }
}

/// One accepted revision with who made it and when; the audit trail of configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredRevision {
    /// The revision's number; each accepted change adds one.
    pub revision: Revision,
    /// A number drawn for this change, by which a lost answer is read back.
    pub change_id: u64,
    /// Who applied it.
    pub author: String,
    /// When, in seconds since 1970-01-01 UTC.
    pub applied_at_unix_s: u64,
    /// Why, in the operator's words.
    pub comment: String,
    /// What changed against the revision before, one line each.
    pub changes: Vec<String>,
    /// The configuration itself.
    pub document: Document,
}

impl StoredRevision {
    /// The key that keeps `revision` for the history.
    pub fn history_key(revision: Revision) -> String {
        format!("config/history/{revision:010}")
    }

    /// Checks and resolves the document.
    ///
    /// # Errors
    /// Every fault of the document.
    pub fn catalog(&self) -> std::result::Result<Catalog, Faults> {
        Catalog::build(&self.document, self.revision)
    }
}
