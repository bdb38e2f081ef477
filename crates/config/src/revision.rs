//! A revision of the configuration as it is kept in the key-value service.

use crate::catalog::Catalog;
use crate::check::Faults;
use crate::document::Document;
use passway_types::ids::Revision;
use serde::{Deserialize, Serialize};

/// Key of the current revision.
pub const CURRENT_KEY: &str = "config/current";

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
    pub fn catalog(&self) -> Result<Catalog, Faults> {
        Catalog::build(&self.document, self.revision)
    }
}
