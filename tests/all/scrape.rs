//! Metrics of an instance.

use crate::cluster::ask;
use passway_instance::Instance;

/// An instance's metrics, as they are scraped.
pub fn metrics(instance: &Instance) -> String {
    let question = b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let answer = ask(instance.ready_address(), question).expect("metrics");
    assert_eq!(answer.status, 200);
    answer.body
}
