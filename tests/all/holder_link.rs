//! An instance and its link to the holder of the right to order, which a test plays.
//!
//! Seen with late versions of the configuration: a link that had fallen silent was asked on
//! again and again; a new one waited for the pause that the old one had begun; a word that
//! could not be read was made up for by the store alone.

use crate::scripted_store::{heartbeat, update_message};
use crate::site::{self, PATIENCE, until};
use passway_instance::Instance;
use passway_instance::relay::{CONFIGURATION_FEED, FEED_COUNT, Relay};
use passway_standins::platform::store::{Faults, MetadataStandIn};
use passway_types::prelude::*;
use passway_wire::message::{News, NewsValue, Subscribe};
use passway_wire::{Body, Link, LinkReader};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};

/// Pause between two words of a holder that speaks.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// A holder that the test plays.
pub struct PlayedHolder {
    listener: TcpListener,
    begun_at: Instant,
}

impl PlayedHolder {
    /// Has the key in the store, for good.
    pub fn begin(store: &MetadataStandIn) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        store.put_bytes("passway/holder", format!("played {address}").as_bytes());
        Self {
            listener,
            begun_at: Instant::now(),
        }
    }

    /// The next connection of a listener.
    pub fn accept(&self) -> (Link, LinkReader) {
        let (stream, _) = self.listener.accept().expect("a listener");
        let (link, reader) = Link::from_stream(stream).expect("a link");
        reader.set_timeout(PATIENCE).expect("a time-out");
        (link, reader)
    }

    /// Says that it lives and knows all.
    fn send_heartbeat(&self, link: &Link) {
        // The listener may have closed the link, which the test sees by reading.
        let _ = link.send(Body::News(heartbeat(self.begun_at, FEED_COUNT)));
    }
}

/// The next subscription on a link; `None` once the listener has closed it.
pub fn subscription(reader: &mut LinkReader) -> Option<Subscribe> {
    loop {
        if let Body::Subscribe(subscribe) = reader.receive().ok()?? {
            return Some(subscribe);
        }
    }
}

fn listener() -> (MetadataStandIn, PlayedHolder, Instance) {
    let store = site::store(&["m0"]);
    let holder = PlayedHolder::begin(&store);
    let instance = site::ready("one", &store);
    (store, holder, instance)
}

#[test]
fn silent_link_reopened() {
    let (_store, holder, _instance) = listener();
    let (link, mut reader) = holder.accept();
    assert!(subscription(&mut reader).is_some());
    holder.send_heartbeat(&link);
    // Nothing more is said, and the link stays open at this end. It is not asked on again and
    // again, until it ends by a time-out of its own.
    let asked = std::iter::from_fn(|| subscription(&mut reader)).count();
    assert!(asked <= 2, "asked {asked} times on a silent link");
    let (_link, mut reader) = holder.accept();
    assert!(subscription(&mut reader).is_some());
}

#[test]
fn unreadable_update_resent_whole() {
    let (_store, holder, _instance) = listener();
    let (link, mut reader) = holder.accept();
    let first = subscription(&mut reader).expect("a subscription");
    let known = first.known[CONFIGURATION_FEED];
    assert!(known > 0);
    let compressed = NewsValue {
        key: "op/config".into(),
        value: Some(vec![1; 100].into()),
        revision: known + 5,
        plain_bytes: 10_000,
        base: known + 4,
    };
    holder.send_heartbeat(&link);
    let update = News {
        values: vec![compressed],
        ..update_message(known, known + 5)
    };
    link.send(Body::News(update)).expect("sent");
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
    assert_eq!(resubscription.known[CONFIGURATION_FEED], 0);
}

/// A word that was long on its way tells what was known when it left.
#[test]
fn delayed_message_counts_as_old() {
    let (relay, _) = Relay::new();
    let heartbeat = |sent_ms, confirmed_ms| News {
        sent_ms,
        confirmed_ms: vec![confirmed_ms; FEED_COUNT],
        ..News::default()
    };
    let is_trusted = || relay.trusted_until(CONFIGURATION_FEED).is_some();
    relay.receive(heartbeat(9_000, 9_000));
    assert!(is_trusted());
    // Its sender has heard nothing for 3 s.
    relay.receive(heartbeat(9_000, 6_000));
    assert!(!is_trusted());
    relay.receive(heartbeat(9_000, 9_000));
    assert!(is_trusted());
    // 3 s on its way, and its sender knew all when it left.
    relay.receive(heartbeat(6_000, 6_000));
    assert!(!is_trusted());
    // A new connection to it on which all words are 3 s on their way.
    relay.holder_disconnected();
    relay.receive(heartbeat(6_000, 6_000));
    assert!(!is_trusted());
    // Another holder counts from another moment.
    relay.holder_changed();
    assert!(!is_trusted());
    relay.receive(heartbeat(500, 500));
    assert!(is_trusted());
}

/// A store that turns an instance away from its first moment tells it nothing; the holder, of
/// whom it has heard, tells it everything.
#[test]
fn holder_sends_all_if_store_refuses() {
    let store = site::store(&["m0"]);
    let way = store.serve_way();
    let holder = PlayedHolder::begin(&store);
    let instance = site::start_at("one", way.address());
    let (link, mut reader) = holder.accept();
    let known = subscription(&mut reader).expect("a subscription").known;
    assert!(known.iter().all(|revision| *revision > 0));
    way.set_faults(Faults {
        refuses: Some(503),
        ..Faults::default()
    });
    let value = site::configuration(9, &["m0"]).to_string();
    let update = News {
        values: vec![NewsValue {
            key: "op/config".into(),
            value: Some(value.into()),
            revision: known[CONFIGURATION_FEED] + 100,
            ..NewsValue::default()
        }],
        ..update_message(known[CONFIGURATION_FEED], known[CONFIGURATION_FEED] + 100)
    };
    link.send(Body::News(update)).expect("sent");
    until("the version", || instance.version() == Some(9));
}

/// All others read another fencing number than the holder had: the store counts each key that a transaction writes,
/// and the holder's key was not the last.
#[test]
fn fence_is_revision_of_key() {
    let store = site::store(&[]);
    let instance = site::ready("one", &store);
    until("the right to order", || instance.fence().is_some());
    assert_eq!(instance.fence(), Some(store.revision_of("passway/holder")));
}
