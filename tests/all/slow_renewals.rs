//! A store that answers, and takes long to.

use crate::site::{self, until};
use passway_types::prelude::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

/// Longer than an instance waits for the answer to a renewal.
const ANSWER_TIME: Duration = Duration::from_millis(550);
/// Several of the shortest leases.
const LONG: Duration = Duration::from_secs(6);

/// Passes on what comes, so much later, until the one end or the other closes.
fn pass_on(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let mut bytes = [0; 16 << 10];
    while let Ok(count) = from.read(&mut bytes)
        && count > 0
    {
        std::thread::sleep(delay);
        if to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    // Either may have closed first.
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}

/// A way to a store whose answers come late; its address.
fn slow_way(store: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for asking in listener.incoming() {
            let asking = asking.expect("a connection");
            let asked = TcpStream::connect(store).expect("the store");
            let back = (asked.try_clone(), asking.try_clone());
            let (answers, answered) = (back.0.expect("a copy"), back.1.expect("a copy"));
            std::thread::spawn(move || pass_on(asking, asked, Duration::ZERO));
            std::thread::spawn(move || pass_on(answers, answered, ANSWER_TIME));
        }
    });
    address
}

/// Every renewal was given up before its answer came, so each term ended with its first lease: nobody held the right
/// for longer than a second, and nothing that needs an order or a count was served.
#[test]
fn right_is_kept() {
    let store = site::store(&[]);
    let instance = site::start_at("one", slow_way(store.serve()));
    let mut kept = None;
    until("a term that lasts", || {
        let now = Instant::now();
        kept = match (instance.fence(), kept) {
            (Some(fence), Some((known, since))) if fence == known => Some((known, since)),
            (Some(fence), _) => Some((fence, now)),
            (None, _) => None,
        };
        kept.is_some_and(|(_, since)| now - since >= LONG)
    });
}
