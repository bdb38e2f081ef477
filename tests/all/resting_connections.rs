//! Connections that rest for upstreams are bounded over all upstreams, and those whose time is
//! over go although nothing is sent to their upstream any more.

use passway_instance::http1::Connection;
use passway_instance::pool::{ConnectionPool, MAX_RESTING_IN_ALL};
use passway_types::prelude::*;
use std::net::{TcpListener, TcpStream};

/// Time that a connection may rest.
const REST: Duration = Duration::from_secs(2);
/// Connections of each upstream.
const EACH: usize = 8;

/// Upstreams with connections, and their other ends.
struct Rested {
    pool: ConnectionPool,
    listener: TcpListener,
    others: Vec<TcpStream>,
}

impl Rested {
    fn new() -> Self {
        Self {
            pool: ConnectionPool::default(),
            listener: TcpListener::bind("127.0.0.1:0").expect("bind"),
            others: Vec::new(),
        }
    }

    fn put(&mut self, upstream: usize, now: Instant) {
        let address = self.listener.local_addr().expect("the address");
        let connection = Connection::connect(address, REST).expect("connecting");
        self.others
            .push(self.listener.accept().expect("accepting").0);
        self.pool.put(&id(upstream), connection, REST, now);
    }

    /// Connections whose other end does not see them closed.
    fn open(&self) -> usize {
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
fn bounded_in_all() {
    let mut rested = Rested::new();
    let now = Instant::now();
    let surplus = 4 * EACH;
    let upstreams = (MAX_RESTING_IN_ALL + surplus) / EACH;
    for number in 0..upstreams * EACH {
        rested.put(number % upstreams, now);
    }
    assert_eq!(rested.open(), MAX_RESTING_IN_ALL);
    // A place that becomes free is taken again.
    rested.pool.forget(&id(0));
    let left = rested.open();
    assert!(left < MAX_RESTING_IN_ALL, "{left}");
    rested.put(upstreams, now);
    assert_eq!(rested.open(), left + 1);
    assert!(rested.pool.take(&id(upstreams), REST, now).is_some());
}

#[test]
fn ended_rest_goes() {
    let mut rested = Rested::new();
    let now = Instant::now();
    for upstream in 0..EACH {
        rested.put(upstream, now);
    }
    rested.put(EACH, now + 2 * REST);
    assert_eq!(rested.open(), 1);
}
