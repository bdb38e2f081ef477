//! An instance that is cut off from the store learns of a new holder from that holder.

use crate::cluster::{self, until};
use crate::scripted_store;
use passway_instance::members::{Addresses, Announcement};
use passway_serving::leadership::{Holder, Leadership, LeadershipSettings};
use passway_standins::platform::store::Faults;
use passway_types::prelude::*;
use passway_wire::message::{NewHolder, Subscribe};
use passway_wire::{Body, Link};
use std::net::TcpListener;

fn holder(name: &str, fence: Fence) -> Holder {
    Holder {
        instance: name.into(),
        address: ([127, 0, 0, 1], 1).into(),
        fence,
    }
}

fn leadership() -> Leadership {
    let limits = LeadershipSettings {
        min_lease_ttl: Duration::from_millis(1_200),
        holder_gap: Duration::from_secs(1),
        has_low_cpu: false,
    };
    Leadership::new("one".into(), limits, Instant::now())
}

#[test]
fn only_newer_holder_accepted() {
    let mut leadership = leadership();
    leadership.observe_holder(Some(holder("two", 5)));
    assert!(
        !leadership.learn_holder(holder("three", 4)),
        "an older term"
    );
    assert!(!leadership.learn_holder(holder("two", 5)), "already known");
    assert!(
        !leadership.learn_holder(holder("one", 9)),
        "no other instance announces this one"
    );
    assert!(leadership.learn_holder(holder("three", 6)));
    assert_eq!(leadership.holder().map(|h| h.fence), Some(6));
    // The store reports that the holder is gone; a late message changes nothing.
    leadership.observe_holder(None);
    assert!(!leadership.learn_holder(holder("three", 6)));
    assert_eq!(leadership.holder(), None);
}

/// Leadership changes while one instance reaches the other instances but not the store.
#[test]
fn cut_instance_follows() {
    let store = cluster::store(&["m0"]);
    let proxies = [
        store.serve_endpoint(),
        store.serve_endpoint(),
        store.serve_endpoint(),
    ];
    let names = ["one", "two", "three"];
    let instances = names.iter().zip(&proxies);
    let instances: Vec<_> = instances
        .map(|(name, proxy)| cluster::start_at(name, proxy.address()))
        .collect();
    for instance in &instances {
        until("readiness", || instance.is_ready());
    }
    let is_holder = |number: &usize| instances[*number].fence().is_some();
    let mut first = None;
    until("a holder", || {
        first = (0..3).find(is_holder);
        first.is_some()
    });
    let first = first.expect("a holder");
    let cut = (first + 1) % 3;
    until("all members known", || {
        instances
            .iter()
            .all(|instance| instance.known_member_count() == 3)
    });
    proxies[cut].set_faults(Faults {
        error_status: Some(503),
        ..Faults::default()
    });
    // The holder is cut off from the store as well, and loses leadership.
    proxies[first].set_faults(Faults {
        error_status: Some(503),
        ..Faults::default()
    });
    let successor = 3 - first - cut;
    until("a successor", || is_holder(&successor));
    let fence = instances[successor].fence();
    for number in [cut, first] {
        until("the new holder to be known", || {
            let known_holder = instances[number].holder();
            known_holder.map(|holder| holder.fence) == fence
        });
    }
}

/// The announcement of a new holder arrives before the instance notices that it is cut off from the
/// store. It is sent once, so it must count when the cut is noticed.
#[test]
fn early_announcement_kept() {
    let store = cluster::store(&["m0"]);
    let proxy = store.serve_endpoint();
    let instance = cluster::start_at("one", proxy.address());
    until("readiness", || instance.is_ready());
    until("leadership", || instance.fence().is_some());
    // The term begins with the answer to the write; the feed reports the key a moment later.
    until("the key", || instance.holder().is_some());
    let own = instance.holder().expect("itself");
    let announced_listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = announced_listener.local_addr().expect("address");
    let (link, _reader) = Link::connect(own.address, Duration::from_secs(5)).expect("a link");
    let fence = own.fence + 1_000;
    let announced = NewHolder {
        instance: "two".into(),
        address: address.to_string(),
        fence,
    };
    link.send(Body::NewHolder(announced)).expect("sent");
    // By now, the message is received. The store still answers, and its information takes
    // precedence.
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(instance.holder().map(|h| h.fence), Some(own.fence));
    proxy.set_faults(Faults {
        error_status: Some(503),
        ..Faults::default()
    });
    until("the announced holder", || {
        instance.holder().map(|h| h.fence) == Some(fence)
    });
}

/// Instances that terminated are removed from the member list.
#[test]
fn gone_member_forgotten() {
    let store = cluster::store(&["m0"]);
    let instances = ["one", "two"].map(|name| cluster::start_ready(name, &store));
    let is_holder = |number: &usize| instances[*number].fence().is_some();
    let mut first = None;
    until("a holder", || {
        first = (0..2).find(is_holder);
        first.is_some()
    });
    let first = first.expect("a holder");
    let all_know = |members| instances.iter().all(|i| i.known_member_count() == members);
    until("both members to be known", || all_know(2));
    let holder = instances[first].holder().expect("itself");
    let (link, _reader) = Link::connect(holder.address, Duration::from_secs(5)).expect("a link");
    let subscribe = Subscribe {
        known_revisions: vec![1, 1],
        instance: "ghost".into(),
        address: "127.0.0.1:1".into(),
        has_low_cpu: false,
        placement_digests: Vec::new(),
    };
    link.send(Body::Subscribe(subscribe)).expect("sent");
    until("a third member", || all_know(3));
    link.close();
    instances[first].stop();
    until("a successor", || is_holder(&(1 - first)));
    until("the list without the member", || all_know(2));
}

/// A holder loses leadership and acquires it again. An instance that is cut off from the store and
/// reconnects by itself, without an announcement, follows the new term.
#[test]
fn same_holder_again() {
    let store = cluster::store(&["m0"]);
    let holder = crate::holder_link::PlayedHolder::begin(&store);
    let proxy = store.serve_endpoint();
    let instance = cluster::start_at("one", proxy.address());
    until("readiness", || instance.is_ready());
    let (link, mut reader) = holder.accept();
    assert!(crate::holder_link::subscription(&mut reader).is_some());
    let known = instance.holder().expect("the played holder");
    proxy.set_faults(Faults {
        error_status: Some(503),
        ..Faults::default()
    });
    let term = NewHolder {
        instance: known.instance.to_string(),
        address: known.address.to_string(),
        fence: known.fence + 1,
    };
    until("the new term", || {
        // Sent again, as on each subscription, because the link may be replaced meanwhile.
        let _ = link.send(Body::NewHolder(term.clone()));
        instance.holder().map(|h| h.fence) == Some(known.fence + 1)
    });
    // A message about another instance on this link is ignored.
    let other = NewHolder {
        instance: "two".into(),
        fence: known.fence + 9,
        ..term
    };
    let _ = link.send(Body::NewHolder(other));
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(instance.holder().map(|h| h.fence), Some(known.fence + 1));
}

/// Number of members that cannot be reached, more than a new holder connects to at a time.
const UNREACHABLE_MEMBERS: usize = 200;

/// Guards against members that cannot be reached and hold all places among those that a new holder
/// connects to, so that others never learn of it.
#[test]
fn unreachable_members_delay_no_other() {
    let shared = scripted_store::shared();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let unused = ([127, 0, 0, 1], 1).into();
    let mut members: Addresses = (0..UNREACHABLE_MEMBERS)
        .map(|number| (format!("a-{number:03}").into(), unused))
        .collect();
    members.insert("z".into(), listener.local_addr().expect("an address"));
    *shared.members() = members;
    let begun_at = Instant::now();
    let mut announcement = Announcement::begin(7, Addresses::new(), begun_at);
    let accepted = std::thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a connection");
        let (_link, mut reader) = Link::from_stream(stream).expect("a link");
        reader.receive().expect("a message")
    });
    until("the announcement", || {
        announcement.advance(&shared, &Addresses::new(), Instant::now());
        accepted.is_finished()
    });
    // Well within the time for which a holder announces its term.
    assert!(begun_at.elapsed() < Duration::from_secs(5));
    let message = accepted.join().expect("a peer");
    assert!(matches!(message, Some(Body::NewHolder(term)) if term.fence == 7));
}
