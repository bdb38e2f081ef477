//! Settings files, the operators' catalog and policy programs.
//!
//! * [`check`] reads JSON with comments and reports every fault at once, each
//!   with its place and reason.
//! * [`settings`] holds what one program needs at start.
//! * [`document`] is the operators' configuration as they write it.
//! * [`catalog`] is the same configuration checked and resolved for lookups;
//!   only a [`catalog::Catalog`] reaches the decisions.
//! * [`policy`] compiles policy programs and bounds their cost.

pub mod catalog;
pub mod check;
pub mod document;
pub mod policy;
pub mod revision;
pub mod settings;

pub use catalog::Catalog;
pub use check::{Fault, Faults};
pub use document::Document;
pub use revision::StoredRevision;
