//! A list of upstreams that takes several pages of the store is read whole by the holder alone,
//! which sends it to all other instances.
//!
//! Guards against a store whose link is full of lists. 984 instances started before 9,808 upstreams
//! and read the list of 5 MB each, from its first page again after each page that failed, which
//! takes 40 s on a link of 1,000 Mbit/s. The holder's lease renewals waited behind the lists, so
//! that leadership changed every second or two and no order was sent all day.

use crate::cluster::{self, until};
use crate::scripted_store::{
    Revisions, ScriptedStore, at, follow_leaving_lists, follow_store, shared,
};
use bytes::Bytes;
use passway_instance::Instance;
use passway_instance::compression::{decompress_update, update_body};
use passway_instance::feeds::{Feed, UpstreamFeed};
use passway_instance::leadership::LeadershipDriver;
use passway_instance::relay::{CONFIGURATION_FEED, FEED_COUNT, Relay, UPSTREAM_FEED};
use passway_instance::subscribers::Subscribers;
use passway_instance::updates::FeedUpdate;
use passway_process::outbox::Outbox;
use passway_serving::ports::{ListPage, Listing, StoreError, StoreRevision, StoredValue};
use passway_standins::platform::documents::plain_entry;
use passway_standins::platform::store::{Faults, MetadataStandIn};
use passway_types::hash::stable_digest;
use passway_types::prelude::*;
use passway_users_platform::PlatformDirectory;
use passway_wire::message::{CompressedUpdates, StoreValue, Updates};
use passway_wire::{Body, Link, LinkReader};
use prost::Message;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::TcpListener;

/// The prefix of the upstreams' entries.
const PREFIX: &str = "servers/";
/// Number of instances in a fleet.
const INSTANCES: u64 = 24;
/// Upstreams whose list takes three pages of the store.
const THREE_PAGES: u32 = 1_200;
/// Number of instances before a list that exceeds the limit of a frame. Each of them holds several
/// copies of the list for a moment.
const FEW_INSTANCES: u64 = 4;
/// Upstreams whose list takes twenty-two pages of the store.
const TWENTY_TWO_PAGES: u32 = 11_000;
/// Length of a version by which the entries of [`TWENTY_TWO_PAGES`] take 5 MB.
const LONG_VERSION_BYTES: usize = 300;
/// Instances that may read the list whole: the holder, one that had the leadership before, and one
/// that lost the holder while it waited for the list.
const WHOLE_READERS: u64 = 3;

/// A store with a configuration and entries of upstreams.
fn store(upstreams: u32, version: &str) -> MetadataStandIn {
    let store = cluster::store(&[]);
    let mut entry = plain_entry(([127, 0, 0, 1], 1).into());
    entry["version"] = json!(version);
    for number in 0..upstreams {
        store.put(&format!("{PREFIX}i-{number:05}"), &entry);
    }
    store
}

/// Starts instances and waits until all of them know all upstreams.
fn start_all(store: &MetadataStandIn, instances: u64, upstreams: u32) -> Vec<Instance> {
    let address = store.serve();
    let started = (0..instances).map(|number| cluster::start_at(&format!("i{number}"), address));
    let started: Vec<_> = started.collect();
    until("readiness", || started.iter().all(Instance::is_ready));
    let knows_all =
        |instance: &Instance| u32::try_from(instance.known_upstream_count()) == Ok(upstreams);
    until("all entries", || started.iter().all(knows_all));
    started
}

/// Starts a fleet before a list of several pages. Checks that each instance reads one page and only
/// the holder reads them all.
fn check_reads(store: &MetadataStandIn, instances: u64, upstreams: u32, pages: u64) {
    start_all(store, instances, upstreams);
    let read = store.pages_read(PREFIX);
    assert!(
        read.first <= instances + WHOLE_READERS,
        "{read:?} by {instances} instances"
    );
    assert!(
        read.later <= WHOLE_READERS * (pages - 1),
        "{read:?} by {instances} instances"
    );
}

/// Guards against reads of the whole list by each instance.
#[test]
fn holder_reads_for_all() {
    check_reads(&store(THREE_PAGES, "v1"), INSTANCES, THREE_PAGES, 3);
}

/// Guards against a list over the frame limit, for which the holder sent a gap marker, so that each
/// instance read the list from the store.
#[test]
fn list_exceeds_frame() {
    let version = "v".repeat(LONG_VERSION_BYTES);
    let store = store(TWENTY_TWO_PAGES, &version);
    check_reads(&store, FEW_INSTANCES, TWENTY_TWO_PAGES, 22);
}

/// Guards against a watch by each instance of entries that are written after the instances have
/// started: the upstreams of a fleet that starts write thousands of entries a second.
#[test]
fn holder_watches_for_all() {
    let store = cluster::store(&[]);
    let address = store.serve();
    let started = (0..INSTANCES).map(|number| cluster::start_at(&format!("i{number}"), address));
    let started: Vec<_> = started.collect();
    until("all first lists", || {
        store.pages_read(PREFIX).first >= INSTANCES
    });
    let entry = plain_entry(([127, 0, 0, 1], 1).into());
    for number in 0..THREE_PAGES {
        store.put(&format!("{PREFIX}i-{number:05}"), &entry);
    }
    let knows_all =
        |instance: &Instance| u32::try_from(instance.known_upstream_count()) == Ok(THREE_PAGES);
    until("all entries", || started.iter().all(knows_all));
    let watched = store.changes_watched(PREFIX);
    let max_watched = WHOLE_READERS * u64::from(THREE_PAGES);
    assert!(watched <= max_watched, "{watched} changes were watched");
}

/// Guards against reading a list from its first page again after a later page has failed.
#[test]
fn failed_page_read_again() {
    let store = store(THREE_PAGES, "v1");
    store.set_faults(Faults {
        later_pages_to_refuse: 2,
        ..Faults::default()
    });
    start_all(&store, 1, THREE_PAGES);
    let read = store.pages_read(PREFIX);
    assert_eq!((read.first, read.later), (1, 2));
}

/// A page of a list without values, at a revision.
fn page(revision: StoreRevision, next_after: Option<&str>) -> ListPage {
    ListPage {
        values: Vec::new(),
        revision,
        next_after: next_after.map(str::to_owned),
    }
}

/// Follows a store with these pages. Returns the revisions that are applied and the store.
fn follow_pages(
    page: impl Fn(u32) -> Result<ListPage, StoreError> + Send + Sync + 'static,
) -> (Revisions, Arc<ScriptedStore>) {
    let (_, [receiver, _]) = Relay::new();
    let store = ScriptedStore::with_pages(page, |_| Err(StoreError::Unknown));
    let revisions = follow_store(store.clone(), receiver, &shared());
    (revisions, store)
}

/// Guards against a list that counts as of its last page, so that changes of the first page's keys
/// that were made before the last page was read are never seen.
#[test]
fn list_is_of_its_first_page() {
    let (revisions, store) = follow_pages(|number| match number {
        0 => Ok(page(at(10), Some("a"))),
        1 => Err(StoreError::Unknown),
        _ => Ok(page(at(20), None)),
    });
    until("the list", || revisions.contains(10));
    let after_a = Some("a".to_owned());
    assert_eq!(store.requested_pages(), [None, after_a.clone(), after_a]);
}

/// Guards against a list of pages from before and after the store returned from an older copy.
#[test]
fn pages_of_two_eras() {
    let (revisions, store) = follow_pages(|number| match number {
        0 => Ok(page(at(10), Some("a"))),
        1 => Ok(page(StoreRevision::new(1, 4), None)),
        _ => Ok(page(StoreRevision::new(1, 5), None)),
    });
    until("the list", || {
        revisions.contains_of(StoreRevision::new(1, 5))
    });
    assert_eq!(store.requested_pages(), [None, Some("a".to_owned()), None]);
}

/// A store whose list has two pages and which refuses watches.
fn two_pages() -> Arc<ScriptedStore> {
    let page = |number| {
        let next_after = (number == 0).then_some("a");
        Ok(page(at(10 + u64::from(number)), next_after))
    };
    ScriptedStore::with_pages(page, |_| Err(StoreError::Unknown))
}

/// Guards against an instance that waits for its list for ever where no instance is the holder.
#[test]
fn no_holder_sends_list() {
    let (_, [_, receiver]) = Relay::new();
    let store = two_pages();
    let revisions = follow_leaving_lists(store.clone(), receiver, &shared());
    until("the first page", || !store.requested_pages().is_empty());
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(store.requested_pages(), [None], "left to the holder");
    until("the list", || revisions.contains(10));
    assert_eq!(store.requested_pages(), [None, Some("a".to_owned())]);
}

/// Guards against an instance that reads on although the holder has sent the list.
#[test]
fn holder_sends_list() {
    let (relay, [_, receiver]) = Relay::new();
    let store = two_pages();
    let revisions = follow_leaving_lists(store.clone(), receiver, &shared());
    until("the request for the list", || {
        !relay.is_reading_feed(UPSTREAM_FEED)
    });
    let whole = Updates {
        feed: u32::try_from(UPSTREAM_FEED).expect("small"),
        to_revision: 30,
        ..Updates::default()
    };
    relay.receive(whole);
    until("the list", || revisions.contains(30));
    assert_eq!(store.requested_pages(), [None]);
}

/// Number of subscribers that know nothing.
const SUBSCRIBERS: u64 = 20;
/// Number of subscribers that may be sent a long list at a time.
const LONG_LISTS_AT_ONCE: usize = 8;
/// Number of values in a list that cannot be compressed.
const RANDOM_VALUES: u64 = 1_000;
/// Number of digests in each of them, of 32 bytes each.
const DIGESTS_PER_VALUE: u64 = 100;

/// A list of 3 MB that cannot be compressed.
fn random_list() -> Listing {
    let value = |number: u64| {
        let digests = (0..DIGESTS_PER_VALUE)
            .map(|part| stable_digest(&[&number.to_be_bytes(), &part.to_be_bytes()]));
        StoredValue {
            key: format!("{PREFIX}i-{number:05}"),
            value: digests.flatten().collect::<Vec<u8>>().into(),
            revision: StoreRevision::new(0, number + 1),
            lease: None,
        }
    };
    Listing {
        values: (0..RANDOM_VALUES).map(value).collect(),
        revision: StoreRevision::new(0, RANDOM_VALUES),
    }
}

/// An outbox and the reader of the peer that it sends to.
fn outbox_to_peer(listener: &TcpListener) -> (Outbox, LinkReader) {
    let address = listener.local_addr().expect("address");
    let (link, _) = Link::connect(address, Duration::from_secs(5)).expect("a link");
    let (stream, _) = listener.accept().expect("a peer");
    let (_, reader) = Link::from_stream(stream).expect("a link");
    (Outbox::new(link), reader)
}

/// Guards against heartbeats that wait on the holder's link behind long lists for all subscribers.
#[test]
fn few_long_lists_at_once() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let mut subscribers = Subscribers::default();
    let mut outboxes = BTreeMap::new();
    let mut readers = Vec::new();
    for number in 0..SUBSCRIBERS {
        let (outbox, reader) = outbox_to_peer(&listener);
        outboxes.insert(number, outbox);
        readers.push(reader);
        subscribers.add(number, None, [StoreRevision::NONE; FEED_COUNT]);
    }
    subscribers.add_update(&(UPSTREAM_FEED, FeedUpdate::Snapshot(random_list())));
    subscribers.send_updates(&outboxes, false);
    let is_sent = |number: &u64| !subscribers.is_behind(*number);
    let sent = (0..SUBSCRIBERS).filter(is_sent).count();
    assert_eq!(sent, LONG_LISTS_AT_ONCE);
    assert!(subscribers.has_backlog());
    for mut reader in readers {
        std::thread::spawn(move || while let Ok(Some(_)) = reader.receive() {});
    }
    until("all subscribers to be sent the list", || {
        subscribers.send_updates(&outboxes, false);
        !(0..SUBSCRIBERS).any(|number| subscribers.is_behind(number))
    });
}

/// Guards against an instance without a holder that learns of leaving upstreams too late: in a large
/// fleet it left their changes to the next holder for up to a minute.
#[test]
fn own_queries_within_leaving_bound() {
    let shared = shared();
    let (holder_inputs, _receiver) = crossbeam::channel::unbounded();
    let leadership = Arc::new(LeadershipDriver::new(&shared));
    let directory = Arc::new(PlatformDirectory);
    let mut feed = UpstreamFeed::new(shared.clone(), directory, holder_inputs, leadership);
    let entry = plain_entry(([127, 0, 0, 1], 1).into());
    let value = StoredValue {
        key: format!("{PREFIX}i-0"),
        value: entry.to_string().into_bytes().into(),
        revision: at(1),
        lease: None,
    };
    feed.apply_listing(&Listing {
        values: vec![value],
        revision: at(1),
    });
    for (instances, interval_ms) in [(10, 0), (25_000, 100), (100_000_000, 500)] {
        shared.set_instance_count(instances);
        let interval = feed.min_query_interval().as_millis();
        assert_eq!(interval, interval_ms, "{instances} instances");
    }
}

/// Upstreams in the list of a whole fleet.
const FLEET_UPSTREAMS: u32 = 10_000;

/// An update with the entries of many engines, which differ in id, address and models.
fn fleet_update(engines: u32) -> Updates {
    let value = |number: u32| {
        let digest = stable_digest(&[&number.to_be_bytes()]);
        let model = |at: usize| json!({"name": format!("m{:03}", digest[at]), "version": 1, "adapters": []});
        let entry = json!({"service": "engines", "version": "v1", "slots": 12, "state": "ready",
            "address": format!("10.{}.{}.{}:8080", digest[0] % 5, digest[1], digest[2]),
            "zone": format!("hall{}", digest[0] % 5), "sequence": digest[3],
            "models": [model(4), model(5), model(6)], "born": 1_788_089_100_000_u64 + u64::from(number)});
        StoreValue {
            key: format!("{PREFIX}i-{:02x}{:02x}{number:05x}", digest[7], digest[8]),
            value: Some(entry.to_string().into_bytes().into()),
            revision: u64::from(number) + 1,
            ..StoreValue::default()
        }
    };
    Updates {
        feed: u32::try_from(UPSTREAM_FEED).expect("small"),
        to_revision: u64::from(engines),
        values: (0..engines).map(value).collect(),
        ..Updates::default()
    }
}

/// Guards against a list of a whole fleet that is sent uncompressed, which takes eight times as long on the holder's link.
#[test]
fn fleet_list_compressed() {
    let update = fleet_update(FLEET_UPSTREAMS);
    let plain_bytes = update.encoded_len();
    let Body::CompressedUpdates(message) = update_body(update.clone()) else {
        panic!("{plain_bytes} bytes are not compressed");
    };
    let bytes = message.compressed.len();
    println!("{bytes} bytes instead of {plain_bytes}");
    assert!(bytes * 4 < plain_bytes, "{bytes} of {plain_bytes} bytes");
    assert_eq!(decompress_update(&message).expect("an update"), update);
}

/// Updates below 16 kB are sent as they are.
#[test]
fn short_update_uncompressed() {
    for (engines, is_compressed) in [(1, false), (50, false), (60, true)] {
        let body = update_body(fleet_update(engines));
        let has_compressed = matches!(body, Body::CompressedUpdates(_));
        assert_eq!(has_compressed, is_compressed, "{engines} engines");
    }
}

/// Guards against a compressed update that is dropped without asking the holder to send it again.
#[test]
fn unreadable_list_requested_again() {
    let (relay, _receivers) = Relay::new();
    let Body::CompressedUpdates(whole) = update_body(fleet_update(1_000)) else {
        panic!("not compressed");
    };
    let too_large = CompressedUpdates {
        uncompressed_bytes: u64::MAX,
        ..whole.clone()
    };
    relay.receive_compressed(&too_large);
    assert!(relay.needs_resend());
    let (relay, _receivers) = Relay::new();
    let cut = CompressedUpdates {
        compressed: whole.compressed.slice(..whole.compressed.len() / 2),
        ..whole
    };
    relay.receive_compressed(&cut);
    assert!(relay.needs_resend());
}

/// An update of a feed with one value.
fn one_value(revision: u64) -> FeedUpdate {
    let value = StoredValue {
        key: "key".into(),
        value: Bytes::new(),
        revision: at(revision),
        lease: None,
    };
    FeedUpdate::Snapshot(Listing {
        values: vec![value],
        revision: at(revision),
    })
}

/// Guards against instances that query the store for the configuration, which they know, because
/// the holder has not sent them its list of upstreams yet.
#[test]
fn configuration_confirmed_before_list() {
    let mut subscribers = Subscribers::default();
    subscribers.add_update(&(CONFIGURATION_FEED, one_value(10)));
    subscribers.add_update(&(UPSTREAM_FEED, one_value(20)));
    subscribers.add(1, None, [at(10), StoreRevision::NONE]);
    subscribers.add(2, None, [at(10), at(20)]);
    subscribers.add(3, None, [at(9), at(20)]);
    let heartbeat = Updates {
        confirmed_at_ms: vec![7, 8],
        ..Updates::default()
    };
    let heartbeats = subscribers.heartbeats(1..=3, &heartbeat);
    let confirmed = |number: u64| {
        let message = heartbeats.iter().find(|(_, to)| to.contains(&number));
        message.map(|(message, _)| message.confirmed_at_ms.clone())
    };
    assert_eq!(confirmed(1), Some(vec![7, 0]));
    assert_eq!(confirmed(2), Some(vec![7, 8]));
    assert_eq!(confirmed(3), Some(vec![0, 8]));
}
