//! The metrics of an instance on the users' platform match their documentation.

use crate::cluster::{self, fetch, list_plain, plain_server, request, until};
use crate::keyed_cluster::{KEY, keyed_configuration};
use passway_standins::platform::documents::workspace;
use passway_standins::platform::store::MetadataStandIn;
use std::collections::BTreeSet;

const PAGE: &str = include_str!("../../docs/OPERATIONS.md");

/// The names of the metrics in a scrape.
fn names(text: &str) -> BTreeSet<&str> {
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    types.filter_map(|rest| rest.split(' ').next()).collect()
}

#[test]
fn scrape_matches_page() {
    let store = MetadataStandIn::default();
    store.put(
        "op/config",
        &keyed_configuration(1, &[workspace("alpha", &[KEY], 1e6)]),
    );
    let server = plain_server();
    list_plain(&store, "i-0", server.address, "ready");
    let instance = cluster::start_ready("one", &store);
    until("the leadership", || instance.fence().is_some());
    let head = format!("Authorization: Token {KEY}\r\n");
    for path in ["/read/", "/read/", "/nowhere/"] {
        let bytes = request("GET", path, "m", &head, "");
        assert!(fetch(instance.callers_address(), &bytes).is_some());
    }
    let scrape_request = b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let scrape = || {
        let answer = fetch(instance.ready_address(), scrape_request).expect("metrics");
        assert_eq!(answer.status, 200);
        answer.body
    };
    // A request is counted after its answer is sent, so the caller may see the answer first.
    let count = "passway_instance_requests_total{end=\"answered\",status=\"200\"} 2";
    until("the counts", || scrape().contains(count));
    let text = scrape();
    for line in [
        count,
        "passway_instance_requests_total{end=\"refused before a route was known\",status=\"404\"} 1",
        "passway_instance_workspace_requests_total{workspace=\"alpha\",allotment=\"granted\"} 2",
        "passway_instance_attempts_total{outcome=\"answered\"} 2",
        "passway_instance_first_byte_seconds_count 2",
        "passway_instance_holds_right 1",
        "passway_instance_config_version 1",
        "passway_instance_store_answers 1",
        "passway_instance_waiting_bytes ",
    ] {
        assert!(text.contains(line), "{line} is not in\n{text}");
    }
    // The page lists exactly the metrics that exist.
    let rows = PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("| `passway_instance_"));
    let listed: BTreeSet<&str> = rows.filter_map(|row| row.split('`').next()).collect();
    let scraped = names(&text).into_iter();
    let scraped: BTreeSet<&str> = scraped
        .filter_map(|name| name.strip_prefix("passway_instance_"))
        .collect();
    assert_eq!(listed, scraped);
}
