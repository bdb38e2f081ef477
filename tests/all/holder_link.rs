//! An instance and its link to the holder of the right to order, which a test plays.
//!
//! Seen with late versions of the configuration: a link that had fallen silent was asked on
//! again and again; a new one waited for the pause that the old one had begun; a word that
//! could not be read was made up for by the store alone.

use crate::cluster::{self, PATIENCE, until};
use crate::followed::{beat, word};
use passway_instance::Instance;
use passway_instance::relay::{CONFIGURATION, FEEDS, Relay};
use passway_standins::platform::store::{Faults, MetadataStandIn};
use passway_types::prelude::*;
use passway_wire::message::{News, NewsValue, Subscribe};
use passway_wire::{Body, Link, LinkReader};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};

/// Pause between two words of a holder that speaks.
const BEAT_PAUSE: Duration = Duration::from_millis(100);

/// A holder that the test plays.
pub struct Holder {
    listener: TcpListener,
    begun_at: Instant,
}

impl Holder {
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
    fn beat(&self, link: &Link) {
        // The listener may have closed the link, which the test sees by reading.
        let _ = link.send(Body::News(beat(self.begun_at, FEEDS)));
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

fn listener() -> (MetadataStandIn, Holder, Instance) {
    let store = cluster::store(&["m0"]);
    let holder = Holder::begin(&store);
    let instance = cluster::start_ready("one", &store);
    (store, holder, instance)
}

#[test]
fn silent_link_made_anew() {
    let (_store, holder, _instance) = listener();
    let (link, mut reader) = holder.accept();
    assert!(subscription(&mut reader).is_some());
    holder.beat(&link);
    // Nothing more is said, and the link stays open at this end. It is not asked on again and
    // again, until it ends by a time-out of its own.
    let asked = std::iter::from_fn(|| subscription(&mut reader)).count();
    assert!(asked <= 2, "asked {asked} times on a silent link");
    let (_link, mut reader) = holder.accept();
    assert!(subscription(&mut reader).is_some());
}

#[test]
fn unreadable_word_told_whole() {
    let (_store, holder, _instance) = listener();
    let (link, mut reader) = holder.accept();
    let first = subscription(&mut reader).expect("a subscription");
    let known = first.known[CONFIGURATION];
    assert!(known > 0);
    let packed = NewsValue {
        key: "op/config".into(),
        value: Some(vec![1; 100].into()),
        revision: known + 5,
        plain_bytes: 10_000,
        base: known + 4,
    };
    holder.beat(&link);
    let word = News {
        values: vec![packed],
        ..word(known, known + 5)
    };
    link.send(Body::News(word)).expect("sent");
    let is_asked = AtomicBool::new(false);
    let again = std::thread::scope(|scope| {
        scope.spawn(|| {
            while !is_asked.load(Ordering::Acquire) {
                holder.beat(&link);
                std::thread::sleep(BEAT_PAUSE);
            }
        });
        let again = subscription(&mut reader);
        is_asked.store(true, Ordering::Release);
        again
    });
    let again = again.expect("another subscription");
    assert_eq!(again.known[CONFIGURATION], 0);
}

/// A word that was long on its way tells what was known when it left.
#[test]
fn waited_word_is_old() {
    let (relay, _) = Relay::new();
    let word = |sent_ms, confirmed_ms| News {
        sent_ms,
        confirmed_ms: vec![confirmed_ms; FEEDS],
        ..News::default()
    };
    let relies = || relay.relied_until(CONFIGURATION).is_some();
    relay.heard(word(9_000, 9_000));
    assert!(relies());
    // Its sender has heard nothing for 3 s.
    relay.heard(word(9_000, 6_000));
    assert!(!relies());
    relay.heard(word(9_000, 9_000));
    assert!(relies());
    // 3 s on its way, and its sender knew all when it left.
    relay.heard(word(6_000, 6_000));
    assert!(!relies());
    // A new connection to it on which all words are 3 s on their way.
    relay.lost();
    relay.heard(word(6_000, 6_000));
    assert!(!relies());
    // Another holder counts from another moment.
    relay.succeeded();
    assert!(!relies());
    relay.heard(word(500, 500));
    assert!(relies());
}

/// A store that turns an instance away from its first moment tells it nothing; the holder, of
/// whom it has heard, tells it everything.
#[test]
fn successor_tells_all() {
    let store = cluster::store(&["m0"]);
    let way = store.serve_way();
    let holder = Holder::begin(&store);
    let instance = cluster::start_at("one", way.address());
    let (link, mut reader) = holder.accept();
    let known = subscription(&mut reader).expect("a subscription").known;
    assert!(known.iter().all(|revision| *revision > 0));
    way.set_faults(Faults {
        refuses: Some(503),
        ..Faults::default()
    });
    let value = cluster::configuration(9, &["m0"]).to_string();
    let word = News {
        values: vec![NewsValue {
            key: "op/config".into(),
            value: Some(value.into()),
            revision: known[CONFIGURATION] + 100,
            ..NewsValue::default()
        }],
        ..word(known[CONFIGURATION], known[CONFIGURATION] + 100)
    };
    link.send(Body::News(word)).expect("sent");
    until("the version", || instance.config_version() == Some(9));
}

/// All others read another fencing number than the holder had: the store counts each key that a transaction writes,
/// and the holder's key was not the last.
#[test]
fn fence_is_revision_of_key() {
    let store = cluster::store(&[]);
    let instance = cluster::start_ready("one", &store);
    until("the right to order", || instance.fence().is_some());
    assert_eq!(instance.fence(), Some(store.revision_of("passway/holder")));
}
