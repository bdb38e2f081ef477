//! The link of an instance to the holder of leadership, which the test plays.
//!
//! Guards against late versions of the configuration: an instance kept sending requests on a link
//! that had fallen silent, a new link waited for the backoff of the previous one, and only the
//! store could replace an unreadable message.

use crate::cluster::{self, RECEIVE_TIMEOUT, until};
use crate::scripted_store::{heartbeat, update_message};
use passway_instance::Instance;
use passway_instance::relay::{CONFIGURATION_FEED, FEED_COUNT, Relay};
use passway_standins::platform::store::{Faults, MetadataStandIn};
use passway_types::prelude::*;
use passway_wire::message::{StoreValue, Subscribe, Updates};
use passway_wire::{Body, Link, LinkReader};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};

/// Interval of heartbeats of the played holder.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// A holder that the test plays.
pub struct PlayedHolder {
    listener: TcpListener,
    clock_origin: Instant,
}

impl PlayedHolder {
    /// Writes the holder's key to the store, without a lease.
    pub fn begin(store: &MetadataStandIn) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        store.put_bytes("passway/holder", format!("played {address}").as_bytes());
        Self {
            listener,
            clock_origin: Instant::now(),
        }
    }

    /// Accepts the next connection of a subscriber.
    pub fn accept(&self) -> (Link, LinkReader) {
        let (stream, _) = self.listener.accept().expect("a subscriber");
        let (link, reader) = Link::from_stream(stream).expect("a link");
        reader.set_timeout(RECEIVE_TIMEOUT).expect("a timeout");
        (link, reader)
    }

    /// Sends a heartbeat that confirms all feeds.
    fn send_heartbeat(&self, link: &Link) {
        // The subscriber may have closed the link, which the test notices by reading.
        let _ = link.send(Body::Updates(heartbeat(self.clock_origin, FEED_COUNT)));
    }
}

/// The next subscription on a link; `None` once the subscriber has closed the link.
pub fn subscription(reader: &mut LinkReader) -> Option<Subscribe> {
    loop {
        if let Body::Subscribe(subscribe) = reader.receive().ok()?? {
            return Some(subscribe);
        }
    }
}

fn listener() -> (MetadataStandIn, PlayedHolder, Instance) {
    let store = cluster::store(&["m0"]);
    let holder = PlayedHolder::begin(&store);
    let instance = cluster::start_ready("one", &store);
    (store, holder, instance)
}

#[test]
fn silent_link_reopened() {
    let (_store, holder, _instance) = listener();
    let (link, mut reader) = holder.accept();
    assert!(subscription(&mut reader).is_some());
    holder.send_heartbeat(&link);
    // The holder falls silent, and the link stays open at this end. The instance must not repeat
    // its subscription there until the read times out.
    let subscriptions = std::iter::from_fn(|| subscription(&mut reader)).count();
    assert!(
        subscriptions <= 2,
        "{subscriptions} subscriptions on a silent link"
    );
    let (_link, mut reader) = holder.accept();
    assert!(subscription(&mut reader).is_some());
}

#[test]
fn unreadable_update_resent_whole() {
    let (_store, holder, _instance) = listener();
    let (link, mut reader) = holder.accept();
    let first = subscription(&mut reader).expect("a subscription");
    let known = first.known_revisions[CONFIGURATION_FEED];
    assert!(known > 0);
    let compressed = StoreValue {
        key: "op/config".into(),
        value: Some(vec![1; 100].into()),
        revision: known + 5,
        uncompressed_bytes: 10_000,
        base_revision: known + 4,
    };
    holder.send_heartbeat(&link);
    let update = Updates {
        values: vec![compressed],
        ..update_message(known, known + 5)
    };
    link.send(Body::Updates(update)).expect("sent");
    let is_resubscribed = AtomicBool::new(false);
    let resubscription = std::thread::scope(|scope| {
        scope.spawn(|| {
            while !is_resubscribed.load(Ordering::Acquire) {
                holder.send_heartbeat(&link);
                std::thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        let resubscription = subscription(&mut reader);
        is_resubscribed.store(true, Ordering::Release);
        resubscription
    });
    let resubscription = resubscription.expect("another subscription");
    assert_eq!(resubscription.known_revisions[CONFIGURATION_FEED], 0);
}

/// A delayed message confirms what was known when it was sent.
#[test]
fn delayed_message_counts_as_old() {
    let (relay, _) = Relay::new();
    let heartbeat = |queued_at_ms, confirmed_ms| Updates {
        queued_at_ms,
        confirmed_at_ms: vec![confirmed_ms; FEED_COUNT],
        ..Updates::default()
    };
    let is_trusted = || relay.trusted_until(CONFIGURATION_FEED).is_some();
    relay.receive(heartbeat(9_000, 9_000));
    assert!(is_trusted());
    // The store has not confirmed anything to the sender for 3 s.
    relay.receive(heartbeat(9_000, 6_000));
    assert!(!is_trusted());
    relay.receive(heartbeat(9_000, 9_000));
    assert!(is_trusted());
    // The message was delayed by 3 s; its sender knew everything when it sent it.
    relay.receive(heartbeat(6_000, 6_000));
    assert!(!is_trusted());
    // A new connection to the same holder, on which all messages are delayed by 3 s.
    relay.holder_disconnected();
    relay.receive(heartbeat(6_000, 6_000));
    assert!(!is_trusted());
    // Another holder's clock has another origin.
    relay.holder_changed();
    assert!(!is_trusted());
    relay.receive(heartbeat(500, 500));
    assert!(is_trusted());
}

/// The store refuses an instance's calls from the beginning. The holder, which the instance knows
/// already, sends it everything.
#[test]
fn holder_sends_all_if_store_refuses() {
    let store = cluster::store(&["m0"]);
    let proxy = store.serve_endpoint();
    let holder = PlayedHolder::begin(&store);
    let instance = cluster::start_at("one", proxy.address());
    let (link, mut reader) = holder.accept();
    let known = subscription(&mut reader)
        .expect("a subscription")
        .known_revisions;
    assert!(known.iter().all(|revision| *revision > 0));
    proxy.set_faults(Faults {
        error_status: Some(503),
        ..Faults::default()
    });
    let value = cluster::configuration(9, &["m0"]).to_string();
    let update = Updates {
        values: vec![StoreValue {
            key: "op/config".into(),
            value: Some(value.into()),
            revision: known[CONFIGURATION_FEED] + 100,
            ..StoreValue::default()
        }],
        ..update_message(known[CONFIGURATION_FEED], known[CONFIGURATION_FEED] + 100)
    };
    link.send(Body::Updates(update)).expect("sent");
    until("the version", || instance.config_version() == Some(9));
}

/// The holder and all other instances must read the same fencing number. The store assigns a
/// revision to each key that a transaction writes, so the holder's key must be written last.
#[test]
fn fence_is_revision_of_key() {
    let store = cluster::store(&[]);
    let instance = cluster::start_ready("one", &store);
    until("leadership", || instance.fence().is_some());
    assert_eq!(instance.fence(), Some(store.revision_of("passway/holder")));
}
