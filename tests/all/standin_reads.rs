//! What a stand-in server reads of requests whose connections have ended.

use passway_standins::platform::caller::request;
use passway_standins::platform::raw::RawServer;
use passway_types::prelude::*;
use std::collections::BTreeSet;
use std::io::Write;
use std::net::TcpStream;

/// Time for which the server takes no request.
const STANDSTILL: Duration = Duration::from_millis(400);
/// Time after which a connection ends, and after the standstill until the server has read everything.
const PAUSE: Duration = Duration::from_millis(100);

// Guards against a stand-in that reads less than a real server: on Linux, a socket gives its reader what had arrived
// before a reset, so a request that was given up while the server stood still is read once the server goes on.
#[test]
fn requests_before_reset_are_read() {
    let server = RawServer::start(|_| Vec::new());
    server.stand_still(STANDSTILL);
    for (id, resets) in [("closed", false), ("reset", true)] {
        let mut caller = TcpStream::connect(server.address).expect("a connection");
        let bytes = request("POST", "/read/", id, "", "body");
        caller.write_all(&bytes).expect("writing");
        // The server has read the request, but has not taken it, or has not read it at all.
        std::thread::sleep(PAUSE);
        if resets {
            let linger = Some(Duration::ZERO);
            rustix::net::sockopt::set_socket_linger(&caller, linger).expect("an option");
        }
    }
    std::thread::sleep(STANDSTILL + PAUSE);
    let received = server.received();
    let ids = received.iter().map(|one| one.header("request-id"));
    let ids: BTreeSet<Option<&str>> = ids.collect();
    assert_eq!(ids, BTreeSet::from([Some("closed"), Some("reset")]));
    for one in &received {
        assert!(one.arrived_at >= one.readable_at + PAUSE, "{one:?}");
    }
}
