//! Idle connections are bounded over all upstreams, and expired ones are closed even if nothing is
//! sent to their upstream any more.

use passway_instance::http1::Connection;
use passway_instance::pool::{ConnectionPool, MAX_IDLE};
use passway_instance::upstream_exchange::{MAX_REQUESTS_PER_CONNECTION, UpstreamConnection};
use passway_types::prelude::*;
use std::net::{TcpListener, TcpStream};

/// How long a connection may be idle.
const IDLE_TTL: Duration = Duration::from_secs(2);
/// Number of connections to each upstream.
const PER_UPSTREAM: usize = 8;

/// A pool of connections to upstreams, and the peers' ends of these connections.
struct PoolWithPeers {
    pool: ConnectionPool,
    listener: TcpListener,
    peer_ends: Vec<TcpStream>,
}

impl PoolWithPeers {
    fn new() -> Self {
        Self {
            pool: ConnectionPool::default(),
            listener: TcpListener::bind("127.0.0.1:0").expect("bind"),
            peer_ends: Vec::new(),
        }
    }

    fn put(&mut self, upstream: usize, now: Instant) {
        let address = self.listener.local_addr().expect("the address");
        let connection = Connection::connect(address, IDLE_TTL).expect("connecting");
        self.peer_ends
            .push(self.listener.accept().expect("accepting").0);
        let connection = UpstreamConnection::new(connection);
        self.pool.put(&id(upstream), connection, IDLE_TTL, now);
    }

    /// Number of connections that the peers do not see closed.
    fn open_count(&self) -> usize {
        let is_open = |peer_end: &&TcpStream| {
            peer_end.set_nonblocking(true).expect("non-blocking");
            let read = peer_end.peek(&mut [0]);
            read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
        };
        self.peer_ends.iter().filter(is_open).count()
    }
}

fn id(upstream: usize) -> UpstreamId {
    format!("i-{upstream}").into()
}

#[test]
fn total_is_bounded() {
    let mut connections = PoolWithPeers::new();
    let now = Instant::now();
    let surplus = 4 * PER_UPSTREAM;
    let upstreams = (MAX_IDLE + surplus) / PER_UPSTREAM;
    for number in 0..upstreams * PER_UPSTREAM {
        connections.put(number % upstreams, now);
    }
    assert_eq!(connections.open_count(), MAX_IDLE);
    // A free place is used again.
    connections.pool.close_idle(&id(0));
    let remaining = connections.open_count();
    assert!(remaining < MAX_IDLE, "{remaining}");
    connections.put(upstreams, now);
    assert_eq!(connections.open_count(), remaining + 1);
    assert!(
        connections
            .pool
            .begin_exchange(&id(upstreams), "request", IDLE_TTL, now)
            .is_some()
    );
}

#[test]
fn expired_connections_closed() {
    let mut connections = PoolWithPeers::new();
    let now = Instant::now();
    for upstream in 0..PER_UPSTREAM {
        connections.put(upstream, now);
    }
    connections.put(PER_UPSTREAM, now + 2 * IDLE_TTL);
    assert_eq!(connections.open_count(), 1);
}

/// Guards against a second attempt of a request on a connection that may still bring a copy of the
/// answer to the first. Requests without an id need a connection that has carried nothing.
#[test]
fn each_id_once() {
    let mut connections = PoolWithPeers::new();
    let now = Instant::now();
    connections.put(0, now);
    let begin = |request: &str| {
        let pool = &connections.pool;
        let exchange = pool.begin_exchange(&id(0), request, IDLE_TTL, now);
        exchange.map(|exchange| pool.put(&id(0), exchange.finish(), IDLE_TTL, now))
    };
    assert!(begin("0").is_some());
    for refused in ["0", ""] {
        assert!(begin(refused).is_none(), "{refused:?}");
    }
    for number in 1..MAX_REQUESTS_PER_CONNECTION {
        assert!(begin(&number.to_string()).is_some(), "{number}");
    }
    assert!(begin("last").is_none());
}
