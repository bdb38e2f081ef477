//! The configuration in the key-value service.

use passway_config::revision::{self, CURRENT_KEY, StoredRevision};
use passway_platform::key_value::{KeyValue, PutOutcome, Unavailable};
use passway_types::prelude::*;
use std::fmt;

/// Tries to learn what became of a write before the operator is told that it is unknown.
const MAX_READ_BACKS: usize = 10;
/// Pause between two of them.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(300);

/// Why a change was not made.
#[derive(Debug, Clone, PartialEq)]
pub enum ChangeError {
    /// The service does not answer; nothing was written.
    Unreachable,
    /// The service took the write and does not say what became of it.
    Unknown,
    /// Another revision stands.
    Conflict(Box<StoredRevision>),
    /// What stands cannot be read.
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
            Self::Unreadable(reason) => write!(f, "what stands cannot be read: {reason}"),
        }
    }
}

impl std::error::Error for ChangeError {}

/// A revision and the version of the value that holds it.
pub type CurrentRevision = Option<(Version, StoredRevision)>;

/// The configuration's revisions.
pub struct ConfigStore {
    key_value: Arc<dyn KeyValue>,
}

impl fmt::Debug for ConfigStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConfigStore").finish_non_exhaustive()
    }
}

impl ConfigStore {
    /// Revisions kept in `key_value`.
    pub fn new(key_value: Arc<dyn KeyValue>) -> Self {
        Self { key_value }
    }

    /// The revision in force.
    ///
    /// # Errors
    /// If the service does not answer or the value cannot be read.
    pub fn current(&self) -> Result<CurrentRevision, ChangeError> {
        self.read(CURRENT_KEY)
    }

    /// An earlier revision.
    ///
    /// # Errors
    /// If the service does not answer or the value cannot be read.
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

    /// Puts `next` in force if `before` still stands.
    ///
    /// # Errors
    /// Why the change was not made, or that this is unknown.
    pub fn change(
        &self,
        before: &CurrentRevision,
        next: &StoredRevision,
    ) -> Result<(), ChangeError> {
        if let Some((_, stored)) = before {
            // The history has every revision before its successor stands, also
            // if whoever made it died before it could write there.
            self.write_history(stored)?;
        }
        let expected = before.as_ref().map_or(0, |(version, _)| *version);
        let value = revision::encode(next).map_err(unreadable)?;
        match self.key_value.put_if(CURRENT_KEY, expected, &value, None) {
            Ok(PutOutcome::Written(_)) => {}
            Ok(PutOutcome::Conflict) => return self.conflict(next),
            Err(Unavailable) => self.read_back(next)?,
        }
        // The change stands; its successor writes the history if this fails.
        let _ = self.write_history(next);
        Ok(())
    }

    fn conflict(&self, next: &StoredRevision) -> Result<(), ChangeError> {
        match self.current()? {
            // Our own write, of which an earlier try took effect.
            Some((_, stored)) if stored.change_id == next.change_id => Ok(()),
            Some((_, stored)) => Err(ChangeError::Conflict(Box::new(stored))),
            None => Err(ChangeError::Unknown),
        }
    }

    /// Finds out by the change's own id whether it took effect. A change that
    /// has not may still arrive, so "not there" is not taken for "no" until
    /// somebody else's revision stands in its place.
    fn read_back(&self, next: &StoredRevision) -> Result<(), ChangeError> {
        for _ in 0..MAX_READ_BACKS {
            std::thread::sleep(READ_BACK_INTERVAL);
            let Ok(current) = self.current() else {
                continue;
            };
            match current {
                Some((_, stored)) if stored.change_id == next.change_id => return Ok(()),
                Some((_, stored)) if stored.revision > next.revision => {
                    let ours = self.revision(next.revision)?;
                    let took_effect = ours.is_some_and(|ours| ours.change_id == next.change_id);
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

    fn write_history(&self, stored: &StoredRevision) -> Result<(), ChangeError> {
        let value = revision::encode(stored).map_err(unreadable)?;
        let key = StoredRevision::history_key(stored.revision);
        // A conflict means that it is there already.
        let written = self.key_value.put_if(&key, 0, &value, None);
        written
            .map(|_| ())
            .map_err(|Unavailable| ChangeError::Unreachable)
    }
}

fn unreadable(error: impl std::fmt::Display) -> ChangeError {
    ChangeError::Unreadable(format!("{error:#}"))
}
