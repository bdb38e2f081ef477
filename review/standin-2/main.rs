//! The stand-ins and clients of the cases of the second review, in one program without dependencies:
//! `standin CASE ROOT FOLDER RECORD`. The variable TROUBLE=0 leaves the disruption out. It exits with 1 if the
//! rule was broken, with 0 if it held, and with 2 if the case could not run.

mod crash_loop;
mod engine;
mod http;
mod instance;
mod json;
mod keep_alive;
mod late_orders;
mod plain;
mod record;
mod slow_reader;
mod store;
mod take_ups;

use std::path::PathBuf;

/// What a case has found.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// Where a case runs.
pub struct Site {
    /// The root of the repository.
    pub root: PathBuf,
    /// A temporary folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption happens.
    pub trouble: bool,
}

impl Site {
    /// A loopback address for an instance that no other process uses.
    pub fn ip(&self, number: u8) -> String {
        let process = std::process::id();
        format!(
            "127.{}.{}.{number}",
            process / 250 % 250 + 1,
            process % 250 + 1
        )
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder, record] = &arguments[..] else {
        eprintln!("standin CASE ROOT FOLDER RECORD");
        std::process::exit(2);
    };
    let site = Site {
        root: PathBuf::from(root),
        folder: PathBuf::from(folder),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let record = record::Record::create(record);
    let verdict = match case.as_str() {
        "slow-reader" => slow_reader::run(&site, &record),
        "keep-alive" => keep_alive::run(&site, &record),
        "crash-loop" => crash_loop::run(&site, &record),
        "late-orders" => late_orders::run(&site, &record),
        "take-ups" => take_ups::run(&site, &record),
        other => {
            eprintln!("there is no case {other}");
            Verdict::NotRun
        }
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.line(text);
    println!("{text}");
    std::process::exit(code);
}
