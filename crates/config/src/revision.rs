//! Revisions of the configuration as they are stored in the key-value service.

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

/// Key of the current revision in the key-value service.
pub const CURRENT_KEY: &str = "config/current";

/// Maximum size of a decompressed revision; guards against corrupted values.
const MAX_DECODED_BYTES: u64 = 64 << 20;

/// Encodes a revision for storage and for messages: as compressed JSON.
///
/// At the target size, uncompressed JSON exceeds the key-value service's limit of a megabyte; see
/// `docs/CAPACITY.md`.
///
/// # Errors
/// If the revision cannot be written as JSON.
pub fn encode(stored: &StoredRevision) -> Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let json = serde_json::to_vec(stored).context("encoding a revision")?;
    encoder.write_all(&json).context("compressing a revision")?;
    encoder.finish().context("compressing a revision")
}

/// Decodes a revision that [`encode`] encoded.
///
/// # Errors
/// If the bytes are not an encoded revision.
pub fn decode(bytes: &[u8]) -> Result<StoredRevision> {
    let mut json = Vec::new();
    let decoder = DeflateDecoder::new(bytes);
    decoder
        .take(MAX_DECODED_BYTES)
        .read_to_end(&mut json)
        .context("decompressing a revision")?;
    serde_json::from_slice(&json).context("decoding a revision")
}

/// A revision together with its encoded form, which can be forwarded without encoding it again.
#[derive(Debug, Clone)]
pub struct EncodedRevision {
    /// The decoded revision.
    pub stored: StoredRevision,
    /// The revision as encoded by [`encode`].
    pub encoded: Arc<[u8]>,
}

impl EncodedRevision {
    /// Decodes a revision and retains the encoded bytes.
    ///
    /// # Errors
    /// If the bytes are not an encoded revision.
    pub fn from_bytes(encoded: &[u8]) -> Result<Self> {
        Ok(Self {
            stored: decode(encoded)?,
            encoded: encoded.into(),
        })
    }
}

/// An accepted revision with its author and time. All revisions together form the audit trail of
/// the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredRevision {
    /// The number of the revision; each accepted change increments it by one.
    pub revision: Revision,
    /// A random number of this change. If the answer to its write is lost, the writer reads the
    /// value back and recognizes its change by this number.
    pub change_id: u64,
    /// The author of the change.
    pub author: String,
    /// Time of the change, in seconds since 1970-01-01 UTC.
    pub applied_at_unix_s: u64,
    /// The reason for the change, as given by the operator.
    pub comment: String,
    /// The differences from the previous revision, one line each.
    pub changes: Vec<String>,
    /// The configuration itself.
    pub document: Document,
}

impl StoredRevision {
    /// The key under which `revision` is stored for the history.
    pub fn history_key(revision: Revision) -> String {
        format!("config/history/{revision:010}")
    }

    /// Checks and resolves the document.
    ///
    /// # Errors
    /// All faults of the document.
    pub fn catalog(&self) -> std::result::Result<Catalog, Faults> {
        Catalog::build(&self.document, self.revision)
    }
}
