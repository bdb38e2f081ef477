//! The operators' command line.
//!
//! * [`cli`]: arguments; one file a subcommand under [`commands`].
//! * [`store`]: the configuration in the key-value service, changed by
//!   compare-and-swap, a lost answer read back.
//! * [`queries`]: questions to controllers.
//! * [`changes`]: what differs between two configurations.
//! * [`table`]: readable tables.

pub mod changes;
pub mod cli;
pub mod commands;
pub mod queries;
pub mod store;
pub mod table;

pub use cli::{Cli, ExitCode};
