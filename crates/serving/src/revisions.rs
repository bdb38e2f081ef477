//! Revisions and leases of the store, which know the era that they belong to.
//!
//! The store may return from a copy some seconds old. Revisions and lease ids then go back and are
//! given out again, so a number alone says neither which of two states is newer nor whose lease it
//! is. Each return begins a new era. A revision of a later era is newer than any of an earlier one.

use passway_types::prelude::*;

/// How often the store has returned from an older copy.
pub type StoreEra = u64;

/// Bits of a packed revision for the number within its era: enough for a thousand changes a second
/// for 34 years. The bits above leave 8,191 eras within the integers that JSON carries exactly.
const NUMBER_BITS: u32 = 40;
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

/// A revision of the store, ordered by era first. The default comes before all changes, and stands
/// for a key that does not exist.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision(u64);

impl StoreRevision {
    /// Before all changes.
    pub const NONE: Self = Self(0);

    /// The revision with a number of the store in an era.
    pub fn new(era: StoreEra, number: u64) -> Self {
        let era = era.min(u64::MAX >> NUMBER_BITS);
        Self(era << NUMBER_BITS | number.min(MAX_NUMBER))
    }

    /// Decodes a revision from [`StoreRevision::packed`].
    pub fn from_packed(packed: u64) -> Self {
        Self(packed)
    }

    /// The revision as one number with the same order, for messages to other instances.
    pub fn packed(self) -> u64 {
        self.0
    }

    /// The era.
    pub fn era(self) -> StoreEra {
        self.0 >> NUMBER_BITS
    }

    /// The store's number in the era.
    pub fn number(self) -> u64 {
        self.0 & MAX_NUMBER
    }

    /// Whether this comes before all changes.
    pub fn is_none(self) -> bool {
        self == Self::NONE
    }

    /// The fencing number of a term that began with this revision. It grows over returns of the
    /// store, too.
    pub fn fence(self) -> Fence {
        self.0
    }
}

impl std::fmt::Display for StoreRevision {
    /// The number alone in the first era, otherwise ERA:NUMBER.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.era() > 0 {
            write!(f, "{}:", self.era())?;
        }
        write!(f, "{}", self.number())
    }
}

impl std::fmt::Debug for StoreRevision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{self}")
    }
}

/// A lease of the store. A lease of an earlier era proves nothing: its id may have been given out
/// again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId {
    /// The era in which the lease was granted, or last shown to exist.
    pub era: StoreEra,
    /// The store's id.
    pub number: u64,
}
