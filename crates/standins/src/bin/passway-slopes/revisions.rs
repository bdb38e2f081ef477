//! Stored revisions for the measurements.

use passway_config::{Document, StoredRevision};

/// Returns the first stored revision of a configuration.
pub fn first_revision(document: Document) -> StoredRevision {
    StoredRevision {
        revision: 1,
        change_id: 1,
        author: "somebody".into(),
        applied_at_unix_s: 0,
        comment: String::new(),
        changes: Vec::new(),
        document,
    }
}
