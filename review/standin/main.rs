//! Stand-ins and drivers of the review's cases. Only the standard library is used.
//!
//! `standin CASE FOLDER RECORD` runs a case and exits with 1 if the rule was broken, 0 if it held, and
//! 2 if the case couldn't run. With `TROUBLE=0` there is no disruption.

mod engine;
mod http;
mod instance;
mod json;
mod memory;
mod plain;
mod proxy;
mod reborn;
mod record;
mod store;
mod turns;
mod twice;

use memory::Bodies;
use reborn::Disruption;
use record::Record;
use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, command, id, address, born_ms] = &arguments[..]
        && command == "plain-server"
    {
        let address = address.parse().expect("an address");
        plain::serve(id, address, born_ms.parse().expect("a time"));
    }
    let [_, case, folder, record] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").unwrap_or_default();
    let record = Record::create(record);
    let folder = Path::new(folder);
    let code = match case.as_str() {
        "twice" => twice::run(
            folder,
            &record,
            trouble != "0",
            trouble != "0" && trouble != "shed",
        ),
        "memory" => {
            let bodies = match trouble.as_str() {
                "0" => Bodies::None,
                "length" => Bodies::WithLength,
                _ => Bodies::Chunked,
            };
            memory::run(folder, &record, bodies)
        }
        "reborn" => {
            let disruption = match trouble.as_str() {
                "0" => Disruption::None,
                "renamed" => Disruption::Renamed,
                _ => Disruption::Reborn,
            };
            reborn::run(folder, &record, disruption)
        }
        "turns" => {
            let disruption = match trouble.as_str() {
                "0" => turns::Disruption::None,
                "cut" => turns::Disruption::Cut,
                _ => turns::Disruption::CutAndReturn,
            };
            turns::run(folder, &record, disruption)
        }
        _ => 2,
    };
    record.line(match code {
        0 => "result: the rule held",
        1 => "result: the rule was broken",
        _ => "result: the case could not run",
    });
    std::process::exit(code);
}
