//! The configuration's revisions in the key-value service.

use passway_config::revision::{self, CURRENT_KEY, StoredRevision};
use passway_platform::key_value::{KeyValue, PutOutcome, Unavailable};
use passway_types::prelude::*;
use std::fmt;

/// Maximum number of reads to find out whether a write took effect before its outcome is reported
/// as unknown.
const MAX_READ_BACKS: usize = 10;
/// Interval between these reads.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(300);

/// Reason why a change was not made or its outcome is unknown.
#[derive(Debug, Clone, PartialEq)]
pub enum ChangeError {
    /// The key-value service does not answer; nothing was written.
    Unreachable,
    /// The write was sent, but reading back did not show whether it took effect.
    Unknown,
    /// Another revision, which is given, is the current one; nothing was written.
    Conflict(Box<StoredRevision>),
    /// A stored revision cannot be decoded, or a new one cannot be encoded, for the given reason.
    Unreadable(String),
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => write!(
                f,
                "the key-value service does not answer; nothing was written"
            ),
            Self::Unknown => write!(
                f,
                "the key-value service does not say whether the change took effect; \
                 see `passwayctl history` before you repeat it"
            ),
            Self::Conflict(stored) => write!(
                f,
                "revision {} by {} came first; nothing was written",
                stored.revision, stored.author
            ),
            Self::Unreadable(reason) => {
                write!(f, "a revision cannot be decoded or encoded: {reason}")
            }
        }
    }
}

impl std::error::Error for ChangeError {}

/// A stored revision and the version of the key that holds it; `None` if the key is absent.
pub type CurrentRevision = Option<(Version, StoredRevision)>;

/// Reads and changes the configuration's revisions.
pub struct ConfigStore {
    key_value: Arc<dyn KeyValue>,
}

impl fmt::Debug for ConfigStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConfigStore").finish_non_exhaustive()
    }
}

impl ConfigStore {
    /// Creates a store of revisions in `key_value`.
    pub fn new(key_value: Arc<dyn KeyValue>) -> Self {
        Self { key_value }
    }

    /// Returns the current revision.
    ///
    /// # Errors
    /// [`ChangeError::Unreachable`] if the service does not answer, [`ChangeError::Unreadable`] if
    /// the value cannot be decoded.
    pub fn current(&self) -> Result<CurrentRevision, ChangeError> {
        self.read(CURRENT_KEY)
    }

    /// Returns a revision from the history; `None` if the history does not have it.
    ///
    /// # Errors
    /// [`ChangeError::Unreachable`] if the service does not answer, [`ChangeError::Unreadable`] if
    /// the value cannot be decoded.
    pub fn revision(&self, revision: Revision) -> Result<Option<StoredRevision>, ChangeError> {
        let found = self.read(&StoredRevision::history_key(revision))?;
        Ok(found.map(|(_, stored)| stored))
    }

    fn read(&self, key: &str) -> Result<CurrentRevision, ChangeError> {
        let found = self
            .key_value
            .get(key)
            .map_err(|Unavailable| ChangeError::Unreachable)?;
        let Some(found) = found else { return Ok(None) };
        let stored = revision::decode(&found.value).map_err(unreadable)?;
        Ok(Some((found.version, stored)))
    }

    /// Makes `next` the current revision if `previous` is still the current one.
    ///
    /// # Errors
    /// The reason why the change was not made, or [`ChangeError::Unknown`].
    pub fn change(
        &self,
        previous: &CurrentRevision,
        next: &StoredRevision,
    ) -> Result<(), ChangeError> {
        if let Some((_, stored)) = previous {
            // Each revision must be in the history before its successor becomes current. The
            // process that made the revision may have terminated before writing the history.
            self.write_history(stored)?;
        }
        let expected = previous.as_ref().map_or(0, |(version, _)| *version);
        let value = revision::encode(next).map_err(unreadable)?;
        match self.key_value.put_if(CURRENT_KEY, expected, &value, None) {
            Ok(PutOutcome::Written(_)) => {}
            Ok(PutOutcome::Conflict) => return self.resolve_conflict(next),
            Err(Unavailable) => self.read_back(next)?,
        }
        // The change has taken effect. If this write fails, the next change writes the history.
        let _ = self.write_history(next);
        Ok(())
    }

    /// Returns `Ok` if the write that the service rejected as a conflict had already taken effect.
    fn resolve_conflict(&self, next: &StoredRevision) -> Result<(), ChangeError> {
        match self.current()? {
            // The current revision is this change: an earlier attempt to write it took effect.
            Some((_, stored)) if stored.change_id == next.change_id => Ok(()),
            Some((_, stored)) => Err(ChangeError::Conflict(Box::new(stored))),
            None => Err(ChangeError::Unknown),
        }
    }

    /// Finds out from the change id whether the change took effect. A write without an answer may
    /// still arrive, so the absence of the change proves nothing until another change has taken its
    /// revision number.
    fn read_back(&self, next: &StoredRevision) -> Result<(), ChangeError> {
        for _ in 0..MAX_READ_BACKS {
            std::thread::sleep(READ_BACK_INTERVAL);
            let Ok(current) = self.current() else {
                continue;
            };
            match current {
                Some((_, stored)) if stored.change_id == next.change_id => return Ok(()),
                Some((_, stored)) if stored.revision > next.revision => {
                    let written = self.revision(next.revision)?;
                    let took_effect = written.is_some_and(|w| w.change_id == next.change_id);
                    let conflict = ChangeError::Conflict(Box::new(stored));
                    return if took_effect { Ok(()) } else { Err(conflict) };
                }
                Some((_, stored)) if stored.revision == next.revision => {
                    return Err(ChangeError::Conflict(Box::new(stored)));
                }
                _ => {}
            }
        }
        Err(ChangeError::Unknown)
    }

    /// Writes a revision to the history.
    fn write_history(&self, stored: &StoredRevision) -> Result<(), ChangeError> {
        let value = revision::encode(stored).map_err(unreadable)?;
        let key = StoredRevision::history_key(stored.revision);
        // A conflict means that the history already has the revision.
        let written = self.key_value.put_if(&key, 0, &value, None);
        written
            .map(|_| ())
            .map_err(|Unavailable| ChangeError::Unreachable)
    }
}

fn unreadable(error: impl std::fmt::Display) -> ChangeError {
    ChangeError::Unreadable(format!("{error:#}"))
}
