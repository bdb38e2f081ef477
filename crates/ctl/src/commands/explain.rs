//! `passwayctl explain`: where a model is placed, and the audit entries about it.

use super::audit::print_entries;
use crate::cli::{Common, ExitCode};
use crate::queries;
use passway_controller::audit::AuditEntry;

pub(crate) fn run(common: &Common, model: &str) -> ExitCode {
    let statuses = queries::statuses(&common.controllers);
    let known: Vec<_> = statuses
        .iter()
        .filter_map(|(_, status)| status.as_ref())
        .collect();
    if known.is_empty() {
        println!("no controller answers");
        return ExitCode::Unreachable;
    }
    let cells = known.iter().flat_map(|status| &status.cells);
    let placements = cells
        .flat_map(|cell| &cell.placements)
        .filter(|placement| placement.model == model);
    let placements: Vec<_> = placements.collect();
    let entries: Vec<AuditEntry> = queries::audit(&common.controllers)
        .into_iter()
        .filter(|entry| entry.model == model)
        .collect();
    if !common.json {
        if placements.is_empty() {
            println!("{model} is not placed");
        }
        for placement in placements {
            println!(
                "{model} is on {} as placement {}: {}, for workspace {}",
                placement.upstream, placement.id, placement.state, placement.workspace
            );
        }
        println!();
    }
    print_entries(common, &entries);
    ExitCode::Done
}
