//! Checks API keys and allotments of workspaces.

use super::SoakReport;
use super::callers::Record;
use super::cluster::{SMALL_RATE_PER_S, SoakCluster, UNITS_PER_CALL};
use crate::platform::process::{QUOTA_SLACK, QUOTA_WINDOW_S, REVOKE_MS};
use passway_types::prelude::*;

/// Checks that revoked keys stop working in time, that servers receive no API keys but a workspace
/// name, and that the workspace `small` stays within its allotment.
pub fn check_keys_and_quota(cluster: &SoakCluster, records: &[Record], report: &mut SoakReport) {
    let revoked_keys = cluster.revoked_keys();
    let late_requests = records.iter().filter(|record| {
        let revoked_at = record
            .key_version
            .and_then(|version| revoked_keys.get(&version));
        let bound = Duration::from_millis(REVOKE_MS);
        revoked_at.is_some_and(|at| record.sent_at > *at + bound) && is_served(record)
    });
    report.broken.extend(late_requests.map(|record| {
        let version = record.key_version.unwrap_or(0);
        format!(
            "{} served with the revoked key of version {version}",
            record.id
        )
    }));
    let requests = cluster.plain_arrivals().into_iter();
    let exposed = requests.map(|arrival| arrival.received);
    let exposed = exposed.filter(|received| {
        let workspace = received.header("tenant");
        received.head.contains("soak-key") || !matches!(workspace, Some("large" | "small"))
    });
    let ids = exposed.map(|received| received.header("request-id").unwrap_or_default().to_owned());
    let violations =
        ids.map(|id| format!("a server received {id} with an API key or without a workspace"));
    report.broken.extend(violations);
    let used = max_units_per_window(records);
    let allotment =
        SMALL_RATE_PER_S * u32::try_from(QUOTA_WINDOW_S).unwrap_or(u32::MAX) + SMALL_RATE_PER_S;
    let limit = allotment + allotment / 10 + QUOTA_SLACK;
    if used > limit {
        let violation =
            format!("workspace small used {used} units in a window, {limit} are allowed");
        report.broken.push(violation);
    }
}

fn is_served(record: &Record) -> bool {
    record
        .answer
        .as_ref()
        .is_some_and(|answer| answer.status == 200)
}

/// Returns the maximum number of units of the workspace `small` in one window, counting requests
/// that were sent and served within the window.
fn max_units_per_window(records: &[Record]) -> u32 {
    let small_requests = records
        .iter()
        .filter(|record| record.key_version.is_none() && is_served(record));
    let small_requests: Vec<&Record> = small_requests.collect();
    let window = Duration::from_secs(QUOTA_WINDOW_S);
    let used = |first: &&Record| {
        let window_end = first.sent_at + window;
        let in_window = small_requests
            .iter()
            .filter(|record| record.sent_at >= first.sent_at && record.ended_at <= window_end);
        u32::try_from(in_window.count()).unwrap_or(u32::MAX) * UNITS_PER_CALL
    };
    small_requests.iter().map(used).max().unwrap_or(0)
}
