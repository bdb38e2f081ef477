//! Open connections stop answering for good while new ones work; only a timeout can detect that.

use passway_serving::ports::{LeaseId, RenewalAnswer, SharedStore};
use passway_types::prelude::*;
use passway_users_platform::MetadataStore;
use passway_wire::Link;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Barrier;
use std::sync::atomic::{AtomicBool, Ordering};

/// Number of calls in flight at one time, each on its own connection.
const CONCURRENT_CALLS: usize = 3;
/// Longest time in which a link must notice that its peer is silent, in milliseconds.
const MAX_SILENCE_MS: u32 = 2_000;
/// A lease of the stand-in, which renews any.
const LEASE: LeaseId = LeaseId { era: 0, number: 1 };

/// Reads one request; false if the connection ends before.
fn read_request(stream: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    let mut chunk = [0; 1_024];
    while !bytes.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&chunk[..count]),
            _ => return false,
        }
    }
    true
}

/// A store that grants every renewal. The first connections answer together. Once `old_are_silent`
/// is set, they answer no more and stay open.
fn store(first_group_is_silent: &Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let first_group_is_silent = first_group_is_silent.clone();
    let barrier = Arc::new(Barrier::new(CONCURRENT_CALLS));
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let mut stream = stream.expect("a connection");
            let first_group_is_silent = first_group_is_silent.clone();
            let barrier = barrier.clone();
            std::thread::spawn(move || {
                let is_first_group = number < CONCURRENT_CALLS;
                let mut is_first = is_first_group;
                while read_request(&mut stream) {
                    if is_first_group && first_group_is_silent.load(Ordering::Acquire) {
                        continue;
                    }
                    if std::mem::take(&mut is_first) {
                        barrier.wait();
                    }
                    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
                    if stream.write_all(answer).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

#[test]
fn silence_costs_one_store_call() {
    let first_group_is_silent = Arc::new(AtomicBool::new(false));
    let store = MetadataStore::new(store(&first_group_is_silent));
    std::thread::scope(|scope| {
        for _ in 0..CONCURRENT_CALLS {
            scope.spawn(|| assert_eq!(store.renew_lease(LEASE), Ok(RenewalAnswer::Renewed)));
        }
    });
    first_group_is_silent.store(true, Ordering::Release);
    assert!(
        store.renew_lease(LEASE).is_err(),
        "the renewal on a silent connection"
    );
    // The other connections are as old. If each of them had to fail first, the lease would be lost.
    assert_eq!(store.renew_lease(LEASE), Ok(RenewalAnswer::Renewed));
}

#[test]
fn links_notice_silence() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let (link, _reader) = Link::connect(address, Duration::from_secs(5)).expect("a link");
    let limit_ms = link.unacknowledged_timeout_ms().expect("an option");
    assert!((1..=MAX_SILENCE_MS).contains(&limit_ms), "{limit_ms} ms");
}
