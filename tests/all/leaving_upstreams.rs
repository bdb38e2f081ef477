//! Upstreams that say in their answers that they leave get nothing more from whoever has heard it.

use crate::saying::{Saying, SayingServer, WELL};
use crate::site::{self, ask, list_plain, request};
use passway_instance::Instance;
use passway_standins::platform::store::MetadataStandIn;

const LEAVES: Saying = Saying {
    status: 200,
    lines: "Server-Leaving: 1\r\n",
};

/// Instances before servers that are all listed as ready.
fn before(servers: &[&SayingServer], names: &[&str]) -> (MetadataStandIn, Vec<Instance>) {
    let store = site::store(&[]);
    for (number, server) in servers.iter().enumerate() {
        list_plain(&store, &format!("i-{number}"), server.address(), "ready");
    }
    let instances = names.iter().map(|name| site::ready(name, &store));
    let instances = instances.collect();
    (store, instances)
}

/// Sends so many requests, one after the other; their statuses.
fn send(instance: &Instance, path: &str, ids: &str, count: usize) -> Vec<u16> {
    let statuses = (0..count).map(|number| {
        let bytes = request("GET", path, &format!("{ids}{number}"), "", "");
        let answer = ask(instance.callers_address(), &bytes);
        answer.expect("an answer").status
    });
    statuses.collect()
}

/// Requests reached an engine seconds after it had said in an answer that it leaves: its entry, which said
/// nothing yet since the store was away, was all that counted.
#[test]
fn word_in_answer() {
    let (leaving, staying) = (SayingServer::start(), SayingServer::start());
    let (_store, instances) = before(&[&leaving, &staying], &["one"]);
    for (path, ids) in [("/read/", "read"), ("/pay/", "pay")] {
        leaving.says(WELL);
        let before = leaving.count();
        leaving.says(LEAVES);
        let statuses = send(&instances[0], path, ids, 60);
        assert!(statuses.iter().all(|status| *status == 200));
        assert!(
            leaving.count() <= before + 1,
            "{} more",
            leaving.count() - before
        );
    }
}
