//! A request that waits for an upstream costs its instance almost no processor time.

use crate::cluster::{self, fetch, list_plain, plain_server, request, until};
use passway_instance::Instance;

/// Bound for the choices of an upstream by one waiting request: one every 40 ms over the longest
/// wait of the route, and some more when upstreams change.
const MAX_CHOICES: u64 = 400;

/// Number of choices that an instance has made so far.
fn choice_count(instance: &Instance) -> u64 {
    let scrape_request = b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let text = fetch(instance.ready_address(), scrape_request)
        .expect("metrics")
        .body;
    let name = "passway_instance_choices_total ";
    let mut counts = text.lines().filter_map(|line| line.strip_prefix(name));
    let count = counts.next().expect("a count");
    count.parse().expect("a number")
}

#[test]
fn absent_service_costs_little() {
    let store = cluster::store(&[]);
    let server = plain_server();
    list_plain(&store, "i-0", server.address, "ready");
    let instance = cluster::start_ready("one", &store);
    store.remove("servers/i-0");
    until("the upstream's removal", || {
        let bytes = request("GET", "/read/", "before", "", "");
        let answer = fetch(instance.callers_address(), &bytes).expect("an answer");
        answer.status == 503
    });
    let count_before = choice_count(&instance);
    let bytes = request("GET", "/read/", "alone", "", "");
    let answer = fetch(instance.callers_address(), &bytes).expect("an answer");
    assert_eq!(answer.status, 503);
    let added = choice_count(&instance) - count_before;
    assert!(added <= MAX_CHOICES, "{added} choices for one request");
}
