//! Arguments and exit codes.

use crate::commands;
use crate::store::ConfigStore;
use anyhow::Result;
use clap::{Args, Parser, Subcommand};
use passway_platform::key_value::HttpKeyValue;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// Longest time for a call to the key-value service.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// How a command ended, as the program's exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitCode {
    /// Done.
    Done = 0,
    /// Failed for a reason that is printed.
    Failed = 1,
    /// The file has faults; each is printed.
    Faults = 3,
    /// Another operator changed the configuration first; nothing was written.
    Conflict = 4,
    /// Accepted, but not in force everywhere in time; who lacks it is printed.
    NotInEffectEverywhere = 5,
    /// The key-value service or every controller could not be reached.
    Unreachable = 6,
}

/// Drives passway: configuration, status, audit.
///
/// Exit codes: 0 done, 1 failed, 2 wrong arguments, 3 faults in the file,
/// 4 conflict with another operator, 5 not in force everywhere in time,
/// 6 nobody could be reached.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Cli {
    #[command(flatten)]
    common: Common,
    #[command(subcommand)]
    command: Command,
}

/// Options of every command.
#[derive(Debug, Args)]
pub struct Common {
    /// The key-value service.
    #[arg(
        long,
        global = true,
        env = "PASSWAY_KEY_VALUE",
        default_value = "127.0.0.1:9000"
    )]
    pub key_value: SocketAddr,
    /// Controllers, with commas between.
    #[arg(
        long,
        global = true,
        env = "PASSWAY_CONTROLLERS",
        value_delimiter = ','
    )]
    pub controllers: Vec<SocketAddr>,
    /// Print JSON for programs.
    #[arg(long, global = true)]
    pub json: bool,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check a configuration file.
    Check {
        /// The file, JSON with comments.
        file: PathBuf,
    },
    /// Print the configuration in force, ready to be edited and applied.
    Show,
    /// Show what a file would change.
    Diff {
        /// The file, JSON with comments.
        file: PathBuf,
    },
    /// Put a file in force.
    Apply(ApplyArguments),
    /// Show controllers, routers and placements.
    Status,
    /// List the revisions.
    History,
    /// List decisions and changes of configuration, oldest first.
    Audit,
    /// Show why a model is or is not loaded.
    Explain {
        /// The model as `name@version`.
        model: String,
    },
    /// Tell a request's life on the users' platform from instances' logs: its lines, and
    /// the orders and holders shortly before its end. Times count from the end.
    Trace {
        /// The request's id.
        request: String,
        /// Logs; standard input if none is named.
        files: Vec<PathBuf>,
    },
    /// Tell from instances' logs what binds: requests over time, by route and by model,
    /// why some were not served, the load of each engine, cold starts, idle places.
    Analyze {
        /// Logs; standard input if none is named.
        files: Vec<PathBuf>,
        /// Width of a row of the table over time, in seconds.
        #[arg(long, default_value_t = 2)]
        window_s: u64,
        /// Also draw requests over time and where the busiest models stood.
        #[arg(long)]
        svg: Option<PathBuf>,
    },
    /// Take an upstream out of service.
    Drain {
        /// The upstream's id.
        upstream: String,
        /// Put it back into service.
        #[arg(long)]
        undo: bool,
        #[command(flatten)]
        change: ChangeArguments,
    },
}

/// Arguments of `apply`.
#[derive(Debug, Args)]
pub struct ApplyArguments {
    /// The file, JSON with comments. A first line `// revision N`, as `show`
    /// prints it, makes the change conditional on that revision.
    pub file: PathBuf,
    #[command(flatten)]
    pub(crate) change: ChangeArguments,
}

/// Arguments of every command that changes the configuration.
#[derive(Debug, Args)]
pub struct ChangeArguments {
    /// Who changes it.
    #[arg(long, env = "USER", default_value = "unknown")]
    pub author: String,
    /// Why.
    #[arg(long, default_value = "")]
    pub comment: String,
    /// Wait until every live node has the change in force.
    #[arg(long)]
    pub wait: bool,
    /// Longest time to wait, in seconds.
    #[arg(long, default_value_t = 30)]
    pub timeout_s: u64,
}

impl Cli {
    /// Runs the command.
    ///
    /// # Errors
    /// Whatever is not covered by an exit code of its own.
    pub fn run(&self) -> Result<ExitCode> {
        let common = &self.common;
        let key_value = Arc::new(HttpKeyValue::new(common.key_value, STORE_TIMEOUT));
        let store = ConfigStore::new(key_value);
        match &self.command {
            Command::Check { file } => commands::check::run(common, file),
            Command::Show => commands::show::run(&store),
            Command::Diff { file } => commands::diff::run(common, &store, file),
            Command::Apply(arguments) => commands::apply::run(common, &store, arguments),
            Command::Status => Ok(commands::status::run(common)),
            Command::History => commands::history::run(common, &store),
            Command::Audit => commands::audit::run(common, &store),
            Command::Explain { model } => Ok(commands::explain::run(common, model)),
            Command::Trace { request, files } => commands::trace::run(request, files),
            Command::Analyze {
                files,
                window_s,
                svg,
            } => commands::analyze::run(common, files, *window_s, svg.as_deref()),
            Command::Drain {
                upstream,
                undo,
                change,
            } => commands::drain::run(common, &store, upstream, !undo, change),
        }
    }
}
