//! Settings files, the operators' configuration and policy programs.
//!
//! * [`check`] reads JSON with comments and reports all faults at once, each with its location and
//!   reason.
//! * [`settings`] contains the settings that each program reads at startup.
//! * [`document`] is the operators' configuration as they write it.
//! * [`catalog`] is the same configuration, checked and resolved for lookups. All decisions use the
//!   [`catalog::Catalog`] only.
//! * [`policy`] compiles policy programs and limits their cost.
//! * [`revision`] encodes a revision of the configuration for the key-value service.

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
