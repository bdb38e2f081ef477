//! Identifiers, result codes, the clock and hashing, shared by all passway crates.
//!
//! This is the lowest layer: it contains no file or network access and no decisions.
//! [`prelude`] re-exports the items that nearly every module needs.

pub mod clock;
pub mod hash;
pub mod ids;
pub mod outcome;
pub mod prelude;
