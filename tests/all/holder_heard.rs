//! An instance that is cut off from the store hears of a new holder from that holder.

use crate::cluster::{self, until};
use passway_serving::tenure::{Holder, Tenure, TenureLimits};
use passway_standins::platform::store::Faults;
use passway_types::prelude::*;
use passway_wire::message::{Subscribe, Successor};
use passway_wire::{Body, Link};
use std::net::TcpListener;

fn holder(name: &str, fence: Fence) -> Holder {
    Holder {
        instance: name.into(),
        address: ([127, 0, 0, 1], 1).into(),
        fence,
    }
}

fn tenure() -> Tenure {
    let limits = TenureLimits {
        lease: Duration::from_millis(1_200),
        gap: Duration::from_secs(1),
        is_weak: false,
    };
    Tenure::new("one".into(), limits, Instant::now())
}

#[test]
fn only_newer_believed() {
    let mut tenure = tenure();
    tenure.seen(Some(holder("two", 5)));
    assert!(!tenure.told(holder("three", 4)), "an older term");
    assert!(!tenure.told(holder("two", 5)), "no news");
    assert!(!tenure.told(holder("one", 9)), "nobody else speaks for me");
    assert!(tenure.told(holder("three", 6)));
    assert_eq!(tenure.holder().map(|h| h.fence), Some(6));
    // The store tells that it is gone; a word that comes late changes nothing.
    tenure.seen(None);
    assert!(!tenure.told(holder("three", 6)));
    assert_eq!(tenure.holder(), None);
}

/// The right changes hands while one instance reaches the others and not the store.
#[test]
fn cut_instance_follows() {
    let store = cluster::store(&["m0"]);
    let ways = [store.serve_way(), store.serve_way(), store.serve_way()];
    let names = ["one", "two", "three"];
    let instances = names.iter().zip(&ways);
    let instances: Vec<_> = instances
        .map(|(name, way)| cluster::start_at(name, way.address()))
        .collect();
    for instance in &instances {
        until("readiness", || instance.is_ready());
    }
    let holds = |number: &usize| instances[*number].fence().is_some();
    let mut first = None;
    until("a holder", || {
        first = (0..3).find(holds);
        first.is_some()
    });
    let first = first.expect("a holder");
    let cut = (first + 1) % 3;
    until("all members known", || {
        instances
            .iter()
            .all(|instance| instance.known_member_count() == 3)
    });
    ways[cut].set_faults(Faults {
        refuses: Some(503),
        ..Faults::default()
    });
    // The holder loses the store as well, and with it the right.
    ways[first].set_faults(Faults {
        refuses: Some(503),
        ..Faults::default()
    });
    let last = 3 - first - cut;
    until("a successor", || holds(&last));
    let fence = instances[last].fence();
    for number in [cut, first] {
        until("the word of it", || {
            let heard = instances[number].holder();
            heard.map(|holder| holder.fence) == fence
        });
    }
}

/// The announcement of a new holder reaches an instance before the instance has noticed that
/// it is cut off. It is made once, so it must count when the cut is noticed.
#[test]
fn early_word_kept() {
    let store = cluster::store(&["m0"]);
    let way = store.serve_way();
    let instance = cluster::start_at("one", way.address());
    until("readiness", || instance.is_ready());
    until("the right", || instance.fence().is_some());
    // The term begins with the write's answer; the key is seen by the feed, a moment later.
    until("the key", || instance.holder().is_some());
    let own = instance.holder().expect("itself");
    let successor = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = successor.local_addr().expect("address");
    let (link, _reader) = Link::connect(own.address, Duration::from_secs(5)).expect("a link");
    let fence = own.fence + 1_000;
    let announced = Successor {
        instance: "two".into(),
        address: address.to_string(),
        fence,
    };
    link.send(Body::Successor(announced)).expect("sent");
    // Taken in by now, while the store answers: its word goes first.
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(instance.holder().map(|h| h.fence), Some(own.fence));
    way.set_faults(Faults {
        refuses: Some(503),
        ..Faults::default()
    });
    until("the holder that was announced", || {
        instance.holder().map(|h| h.fence) == Some(fence)
    });
}

/// Instances that are gone for good do not stay on the list.
#[test]
fn gone_member_forgotten() {
    let store = cluster::store(&["m0"]);
    let instances = ["one", "two"].map(|name| cluster::start_ready(name, &store));
    let holds = |number: &usize| instances[*number].fence().is_some();
    let mut first = None;
    until("a holder", || {
        first = (0..2).find(holds);
        first.is_some()
    });
    let first = first.expect("a holder");
    let all_know = |members| instances.iter().all(|i| i.known_member_count() == members);
    until("both known", || all_know(2));
    let holder = instances[first].holder().expect("itself");
    let (link, _reader) = Link::connect(holder.address, Duration::from_secs(5)).expect("a link");
    let subscribe = Subscribe {
        known: vec![1, 1],
        instance: "ghost".into(),
        address: "127.0.0.1:1".into(),
        is_weak: false,
        placements: Vec::new(),
    };
    link.send(Body::Subscribe(subscribe)).expect("sent");
    until("a third one", || all_know(3));
    link.close();
    instances[first].stop();
    until("a successor", || holds(&(1 - first)));
    until("the list without it", || all_know(2));
}

/// A holder that loses the right and takes it again is followed in its new term by an instance
/// that is cut off from the store and comes back to it by itself, without an announcement.
#[test]
fn same_holder_again() {
    let store = cluster::store(&["m0"]);
    let holder = crate::holder_link::Holder::begin(&store);
    let way = store.serve_way();
    let instance = cluster::start_at("one", way.address());
    until("readiness", || instance.is_ready());
    let (link, mut reader) = holder.accept();
    assert!(crate::holder_link::subscription(&mut reader).is_some());
    let known = instance.holder().expect("the played holder");
    way.set_faults(Faults {
        refuses: Some(503),
        ..Faults::default()
    });
    let term = Successor {
        instance: known.instance.to_string(),
        address: known.address.to_string(),
        fence: known.fence + 1,
    };
    until("the new term", || {
        // Said again, as on each subscription; the link may be made anew meanwhile.
        let _ = link.send(Body::Successor(term.clone()));
        instance.holder().map(|h| h.fence) == Some(known.fence + 1)
    });
    // Another instance's word on this link is not the holder's.
    let other = Successor {
        instance: "two".into(),
        fence: known.fence + 9,
        ..term
    };
    let _ = link.send(Body::Successor(other));
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(instance.holder().map(|h| h.fence), Some(known.fence + 1));
}
