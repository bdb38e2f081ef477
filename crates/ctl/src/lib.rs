//! `passwayctl`, the operators' command line tool.
//!
//! * [`cli`]: arguments and exit codes.
//! * [`commands`]: the subcommands, one file each.
//! * [`store`]: the configuration in the key-value service. Changes use compare-and-swap; after a
//!   lost answer, the stored revision is read back.
//! * [`queries`]: queries to controllers.
//! * [`changes`]: differences between two configurations.
//! * [`table`]: tables on standard output.

pub mod changes;
pub mod cli;
pub mod commands;
pub mod queries;
pub mod store;
pub mod table;

pub use cli::{Cli, ExitCode};
