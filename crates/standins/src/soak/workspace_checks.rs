//! What callers' keys allow, judged from what callers and servers saw.

use super::SoakReport;
use super::callers::Record;
use super::cluster::{SMALL_RATE_PER_S, SoakCluster, UNITS_PER_CALL};
use crate::platform::process::{QUOTA_SLACK, QUOTA_WINDOW_S, REVOKE_MS};
use crate::platform::raw::RawServer;
use passway_types::prelude::*;

/// Judges keys that were taken away, keys that servers see, and what the small workspace used.
pub fn judge(world: &SoakCluster, records: &[Record], report: &mut SoakReport) {
    let taken_away = world.revoked_keys();
    let late = records.iter().filter(|record| {
        let taken_at = record
            .key_version
            .and_then(|version| taken_away.get(&version));
        let bound = Duration::from_millis(REVOKE_MS);
        taken_at.is_some_and(|at| record.sent_at > *at + bound) && is_served(record)
    });
    report.broken.extend(late.map(|record| {
        let version = record.key_version.unwrap_or(0);
        format!("{} served by the key of version {version}", record.id)
    }));
    let heads = world.plains.iter().flat_map(RawServer::received);
    let shown = heads.filter(|received| {
        let workspace = received.header("tenant");
        received.head.contains("soak-key") || !matches!(workspace, Some("large" | "small"))
    });
    let ids = shown.map(|received| received.header("request-id").unwrap_or_default().to_owned());
    let named = ids.map(|id| format!("a server saw the key of {id}, or no workspace"));
    report.broken.extend(named);
    let most = most_in_a_window(records);
    let allotted =
        SMALL_RATE_PER_S * u32::try_from(QUOTA_WINDOW_S).unwrap_or(u32::MAX) + SMALL_RATE_PER_S;
    let limit = allotted + allotted / 10 + QUOTA_SLACK;
    if most > limit {
        let broken = format!("the small workspace used {most} units of {limit} in a window");
        report.broken.push(broken);
    }
}

fn is_served(record: &Record) -> bool {
    record
        .answer
        .as_ref()
        .is_some_and(|answer| answer.status == 200)
}

/// Most units of the small workspace's requests that were sent and served within one window.
fn most_in_a_window(records: &[Record]) -> u32 {
    let small = records
        .iter()
        .filter(|one| one.key_version.is_none() && is_served(one));
    let small: Vec<&Record> = small.collect();
    let window = Duration::from_secs(QUOTA_WINDOW_S);
    let used = |first: &&Record| {
        let until = first.sent_at + window;
        let within = small
            .iter()
            .filter(|one| one.sent_at >= first.sent_at && one.ended_at <= until);
        u32::try_from(within.count()).unwrap_or(u32::MAX) * UNITS_PER_CALL
    };
    small.iter().map(used).max().unwrap_or(0)
}
