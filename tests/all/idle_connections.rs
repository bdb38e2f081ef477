//! Connections that rest for upstreams are bounded over all upstreams, and those whose time is
//! over go although nothing is sent to their upstream any more.

use passway_instance::http1::Connection;
use passway_instance::pool::{ConnectionPool, MAX_IDLE};
use passway_types::prelude::*;
use std::net::{TcpListener, TcpStream};

/// Time that a connection may rest.
const IDLE_TTL: Duration = Duration::from_secs(2);
/// Connections of each upstream.
const PER_UPSTREAM: usize = 8;

/// Upstreams with connections, and their other ends.
struct PoolWithPeers {
    pool: ConnectionPool,
    listener: TcpListener,
    others: Vec<TcpStream>,
}

impl PoolWithPeers {
    fn new() -> Self {
        Self {
            pool: ConnectionPool::default(),
            listener: TcpListener::bind("127.0.0.1:0").expect("bind"),
            others: Vec::new(),
        }
    }

    fn put(&mut self, upstream: usize, now: Instant) {
        let address = self.listener.local_addr().expect("the address");
        let connection = Connection::connect(address, IDLE_TTL).expect("connecting");
        self.others
            .push(self.listener.accept().expect("accepting").0);
        self.pool.put(&id(upstream), connection, IDLE_TTL, now);
    }

    /// Connections whose other end does not see them closed.
    fn open_count(&self) -> usize {
        let is_open = |other: &&TcpStream| {
            other.set_nonblocking(true).expect("non-blocking");
            let read = other.peek(&mut [0]);
            read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
        };
        self.others.iter().filter(is_open).count()
    }
}

fn id(upstream: usize) -> UpstreamId {
    format!("i-{upstream}").into()
}

#[test]
fn total_is_bounded() {
    let mut rested = PoolWithPeers::new();
    let now = Instant::now();
    let surplus = 4 * PER_UPSTREAM;
    let upstreams = (MAX_IDLE + surplus) / PER_UPSTREAM;
    for number in 0..upstreams * PER_UPSTREAM {
        rested.put(number % upstreams, now);
    }
    assert_eq!(rested.open_count(), MAX_IDLE);
    // A place that becomes free is taken again.
    rested.pool.close_idle(&id(0));
    let left = rested.open_count();
    assert!(left < MAX_IDLE, "{left}");
    rested.put(upstreams, now);
    assert_eq!(rested.open_count(), left + 1);
    assert!(rested.pool.take(&id(upstreams), IDLE_TTL, now).is_some());
}

#[test]
fn expired_connections_closed() {
    let mut rested = PoolWithPeers::new();
    let now = Instant::now();
    for upstream in 0..PER_UPSTREAM {
        rested.put(upstream, now);
    }
    rested.put(PER_UPSTREAM, now + 2 * IDLE_TTL);
    assert_eq!(rested.open_count(), 1);
}
