//! `passwayctl status`: prints the status of controllers, routers and placements.

use super::print_json;
use crate::cli::{Common, ExitCode};
use crate::{queries, table};

pub(crate) fn run(common: &Common) -> ExitCode {
    let statuses = queries::statuses(&common.controllers);
    let is_any_reachable = statuses.iter().any(|(_, status)| status.is_some());
    if common.json {
        let known: Vec<_> = statuses
            .iter()
            .filter_map(|(_, status)| status.as_ref())
            .collect();
        print_json(&known);
    } else {
        print_controllers(&statuses);
        print_routers(&statuses);
        print_placements(&statuses);
    }
    if is_any_reachable {
        ExitCode::Done
    } else {
        ExitCode::Unreachable
    }
}

/// Addresses of the controllers, each with its status or `None` if the controller did not answer.
type Statuses = [(
    std::net::SocketAddr,
    Option<passway_controller::status::NodeStatus>,
)];

fn print_controllers(statuses: &Statuses) {
    let rows = statuses.iter().map(|(address, status)| match status {
        None => vec![address.to_string(), "does not answer".into()],
        Some(status) => vec![
            address.to_string(),
            status.instance.clone(),
            status.config_revision.to_string(),
            format!("{} ms", status.config_age_ms),
            if status.isolated { "isolated" } else { "" }.into(),
            status
                .cells
                .iter()
                .map(|cell| cell.cell.as_str())
                .collect::<Vec<_>>()
                .join(", "),
        ],
    });
    let header = [
        "CONTROLLER",
        "INSTANCE",
        "REVISION",
        "CONFIRMED",
        "STATE",
        "LEADS",
    ];
    table::print(&header, &rows.collect::<Vec<_>>());
}

fn print_routers(statuses: &Statuses) {
    let known = statuses.iter().filter_map(|(_, status)| status.as_ref());
    let mut rows: Vec<Vec<String>> = known
        .flat_map(|status| &status.routers)
        .map(|router| {
            vec![
                router.instance.clone(),
                router.config_revision.to_string(),
                router.in_progress.to_string(),
                if router.leaving { "leaving" } else { "serving" }.into(),
            ]
        })
        .collect();
    rows.sort();
    rows.dedup_by(|a, b| a[0] == b[0]);
    println!();
    table::print(&["ROUTER", "REVISION", "IN PROGRESS", "STATE"], &rows);
}

fn print_placements(statuses: &Statuses) {
    let known = statuses.iter().filter_map(|(_, status)| status.as_ref());
    let rows: Vec<Vec<String>> = known
        .flat_map(|status| &status.cells)
        .flat_map(|cell| {
            cell.placements
                .iter()
                .map(move |placement| (cell, placement))
        })
        .map(|(cell, placement)| {
            vec![
                cell.cell.clone(),
                placement.upstream.clone(),
                placement.model.clone(),
                placement.state.clone(),
                format!("{} MB", placement.reserved_mb),
                placement.workspace.clone(),
            ]
        })
        .collect();
    println!();
    table::print(
        &[
            "CELL",
            "UPSTREAM",
            "MODEL",
            "STATE",
            "RESERVED",
            "WORKSPACE",
        ],
        &rows,
    );
}
