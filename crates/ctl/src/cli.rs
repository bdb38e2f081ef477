//! Arguments and exit codes of `passwayctl`.

use crate::commands;
use crate::store::ConfigStore;
use anyhow::Result;
use clap::{Args, Parser, Subcommand};
use passway_platform::key_value::HttpKeyValue;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// Maximum time for a call to the key-value service.
const KEY_VALUE_TIMEOUT: Duration = Duration::from_secs(2);

/// Exit code of the program, which states the outcome of the command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitCode {
    /// The command succeeded.
    Done = 0,
    /// The command failed; the reason is printed.
    Failed = 1,
    /// The configuration file has errors; all of them are printed.
    InvalidFile = 3,
    /// Another operator changed the configuration in the meantime; nothing was written.
    Conflict = 4,
    /// The change was accepted, but some nodes did not apply it before the timeout; their names are
    /// printed.
    NotInEffectEverywhere = 5,
    /// The key-value service or all controllers are unreachable.
    Unreachable = 6,
}

/// Operates passway: configuration, status, audit and log analysis.
///
/// Exit codes: 0 success, 1 failure, 2 wrong arguments, 3 errors in the file,
/// 4 conflict with another operator, 5 not in effect on all nodes before the timeout,
/// 6 key-value service or all controllers unreachable.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Cli {
    #[command(flatten)]
    common: Common,
    #[command(subcommand)]
    command: Command,
}

/// Options that all commands share.
#[derive(Debug, Args)]
pub struct Common {
    /// Address of the key-value service.
    #[arg(
        long,
        global = true,
        env = "PASSWAY_KEY_VALUE",
        default_value = "127.0.0.1:9000"
    )]
    pub key_value: SocketAddr,
    /// Addresses of the controllers, separated by commas.
    #[arg(
        long,
        global = true,
        env = "PASSWAY_CONTROLLERS",
        value_delimiter = ','
    )]
    pub controllers: Vec<SocketAddr>,
    /// Print JSON instead of text.
    #[arg(long, global = true)]
    pub json: bool,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check a configuration file.
    Check {
        /// The configuration file, in JSON with comments.
        file: PathBuf,
    },
    /// Print the current configuration in a form that can be edited and applied.
    Show,
    /// Show what applying a configuration file would change.
    Diff {
        /// The configuration file, in JSON with comments.
        file: PathBuf,
    },
    /// Apply a configuration file.
    Apply(ApplyArguments),
    /// Show the status of controllers, routers and placements.
    Status,
    /// List the latest revisions of the configuration.
    History,
    /// List the controllers' decisions and the configuration changes, oldest first.
    Audit,
    /// Show where a model is placed and the decisions about it.
    Explain {
        /// The model as `name@version`.
        model: String,
    },
    /// Show the course of a request on the users' platform from the logs of instances: its own log
    /// lines, and the orders and changes of the holder shortly before its end. Times are relative
    /// to the end.
    Trace {
        /// Id of the request.
        request: String,
        /// Log files; standard input if none is given.
        files: Vec<PathBuf>,
    },
    /// Analyze the logs of instances to find bottlenecks: requests over time, by route and by
    /// model, reasons for requests that were not served, load of each engine, cold starts, idle
    /// replicas.
    Analyze {
        /// Log files; standard input if none is given.
        files: Vec<PathBuf>,
        /// Time that each row of the table over time covers, in seconds.
        #[arg(long, default_value_t = 2)]
        window_s: u64,
        /// Also write an SVG chart of the requests over time and of the engines that held the
        /// busiest models.
        #[arg(long)]
        svg: Option<PathBuf>,
    },
    /// Take an upstream out of service.
    Drain {
        /// Id of the upstream.
        upstream: String,
        /// Put the upstream back into service instead.
        #[arg(long)]
        undo: bool,
        #[command(flatten)]
        change: ChangeArguments,
    },
}

/// Arguments of `apply`.
#[derive(Debug, Args)]
pub struct ApplyArguments {
    /// The configuration file, in JSON with comments. If the first line is `// revision N`, as
    /// printed by `show`, the change is made only if revision N is the current one.
    pub file: PathBuf,
    #[command(flatten)]
    pub(crate) change: ChangeArguments,
}

/// Arguments that all commands that change the configuration share.
#[derive(Debug, Args)]
pub struct ChangeArguments {
    /// Name of the person who makes the change.
    #[arg(long, env = "USER", default_value = "unknown")]
    pub author: String,
    /// Reason for the change.
    #[arg(long, default_value = "")]
    pub comment: String,
    /// Wait until the change is in effect on all live nodes.
    #[arg(long)]
    pub wait: bool,
    /// Maximum time to wait, in seconds.
    #[arg(long, default_value_t = 30)]
    pub timeout_s: u64,
}

impl Cli {
    /// Runs the command and returns its exit code.
    ///
    /// # Errors
    /// Failures that have no exit code of their own.
    pub fn run(&self) -> Result<ExitCode> {
        let common = &self.common;
        let key_value = Arc::new(HttpKeyValue::new(common.key_value, KEY_VALUE_TIMEOUT));
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
