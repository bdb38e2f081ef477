//! Ids, result codes, the clock and units shared by every passway crate.
//!
//! This is the lowest layer: it knows nothing of files, sockets or decisions.
//! [`prelude`] re-exports what nearly every module needs.

pub mod clock;
pub mod hash;
pub mod ids;
pub mod outcome;
pub mod prelude;
