//! The command line tool for operators.

use clap::Parser;
use passway_ctl::{Cli, ExitCode};

fn main() -> std::process::ExitCode {
    let code = Cli::parse().run().unwrap_or_else(|error| {
        eprintln!("passwayctl: {error:#}");
        match error.downcast_ref::<passway_ctl::store::ChangeError>() {
            Some(passway_ctl::store::ChangeError::Unreachable) => ExitCode::Unreachable,
            _ => ExitCode::Failed,
        }
    });
    std::process::ExitCode::from(code as u8)
}
