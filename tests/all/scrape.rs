//! Scraping an instance's metrics.

use crate::cluster::fetch;
use passway_instance::Instance;

/// The text of an instance's metrics.
pub fn metrics(instance: &Instance) -> String {
    let request = b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let answer = fetch(instance.ready_address(), request).expect("metrics");
    assert_eq!(answer.status, 200);
    answer.body
}
