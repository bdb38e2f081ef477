//! Instances that receive the store's updates from the holder, and the revisions that were sent to
//! each.

use crate::feed_log::FeedLog;
use crate::holder::NumberedUpdate;
use crate::relay::FEED_COUNT;
use passway_process::outbox::Outbox;
use passway_serving::ports::StoreRevision;
use passway_types::prelude::*;
use passway_wire::{Body, Frame};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A subscriber with more unsent bytes than this gets no updates until they are sent, and then only
/// the newest ones. A link of 10 Mbit/s carries this much in 50 ms.
const MAX_BACKLOG_BYTES: usize = 64 << 10;

/// Maximum number of cached frames. Subscribers know the same revision or the next one; at the
/// start of a term they know a few more.
const MAX_CACHED_FRAMES: usize = 16;

/// An instance's name and the address where it listens for other instances.
pub type Member = (InstanceId, SocketAddr);

#[derive(Debug)]
struct Subscriber {
    /// The instance, if its subscription named one.
    member: Option<Member>,
    /// The revision up to which each feed was sent.
    sent: [StoreRevision; FEED_COUNT],
}

/// The subscribed instances, by the numbers of their connections, and the feeds to send.
#[derive(Debug, Default)]
pub struct Subscribers {
    by_connection: BTreeMap<u64, Subscriber>,
    logs: [FeedLog; FEED_COUNT],
    /// Encoded updates by feed and by known revision: most subscribers know the same revision and
    /// share one frame. Cleared whenever a log changes.
    frames: BTreeMap<(usize, StoreRevision), Option<Frame>>,
    /// Whether a subscriber still has a backlog of unsent updates.
    has_backlog: bool,
}

impl Subscribers {
    /// Records a feed update. Returns whether there is a change to send.
    pub fn add_update(&mut self, (feed, update): &NumberedUpdate) -> bool {
        self.frames.clear();
        self.logs[*feed].apply(update)
    }

    /// Adds the subscriber on a connection, which knows the feeds up to the given revisions.
    pub fn add(&mut self, number: u64, member: Option<Member>, sent: [StoreRevision; FEED_COUNT]) {
        self.by_connection
            .insert(number, Subscriber { member, sent });
    }

    /// Removes the subscriber on a connection. Returns its name and address, if known.
    pub fn remove(&mut self, number: u64) -> Option<Member> {
        self.by_connection.remove(&number)?.member
    }

    /// Removes all subscribers. Returns the numbers of their connections.
    pub fn clear(&mut self) -> Vec<u64> {
        let subscribers = std::mem::take(&mut self.by_connection);
        subscribers.into_keys().collect()
    }

    /// Number of subscribers.
    pub fn count(&self) -> usize {
        self.by_connection.len()
    }

    /// Names and addresses of the subscribers, as far as they are known, with their connections.
    pub fn members(&self) -> impl Iterator<Item = (u64, &Member)> {
        let subscribers = self.by_connection.iter();
        subscribers.filter_map(|(number, subscriber)| Some((*number, subscriber.member.as_ref()?)))
    }

    /// The connections of the subscribers.
    pub fn connections(&self) -> impl Iterator<Item = u64> {
        self.by_connection.keys().copied()
    }

    /// Whether a subscriber still has a backlog of unsent updates.
    pub fn has_backlog(&self) -> bool {
        self.has_backlog
    }

    /// Whether a subscriber lacks a change.
    pub fn is_behind(&self, number: u64) -> bool {
        let sent = self
            .by_connection
            .get(&number)
            .map(|subscriber| subscriber.sent);
        let mut feeds = self.logs.iter().zip(sent.iter().flatten());
        feeds.any(|(log, known)| log.has_changes_after(*known))
    }

    /// Sends each subscriber the newest of what it lacks, unless it has a backlog. Revisions
    /// without changes are only sent with `include_unchanged`. Without them, a subscriber that
    /// queries the store later would start from a revision that the store has already forgotten.
    pub fn send_updates(&mut self, outboxes: &BTreeMap<u64, Outbox>, include_unchanged: bool) {
        self.has_backlog = false;
        for (number, subscriber) in &mut self.by_connection {
            let Some(outbox) = outboxes.get(number) else {
                continue;
            };
            for (feed, log) in self.logs.iter().enumerate() {
                let known = subscriber.sent[feed];
                let is_unchanged = !log.has_changes_after(known);
                if is_unchanged && (!include_unchanged || known >= log.to()) {
                    continue;
                }
                if outbox.waiting_bytes() > MAX_BACKLOG_BYTES {
                    self.has_backlog = true;
                    break;
                }
                if self.frames.len() >= MAX_CACHED_FRAMES {
                    self.frames.clear();
                }
                let frame = self.frames.entry((feed, known));
                let frame = frame.or_insert_with(|| update_frame(log, feed, known));
                if let Some(frame) = frame {
                    outbox.send_frame(frame.clone());
                }
                subscriber.sent[feed] = log.to();
            }
        }
    }
}

/// The encoded update for an instance that knows a feed up to a revision. If the update is too
/// large, a gap marker takes its place, so that the instance queries the store.
fn update_frame(log: &FeedLog, feed: usize, known: StoreRevision) -> Option<Frame> {
    let frame = Frame::new(Body::News(log.update_after(feed, known)?));
    let frame = frame.or_else(|error| {
        log::error!(feed = feed, error:% = error; "cannot encode an update");
        Frame::new(Body::News(log.gap_marker(feed)))
    });
    frame.ok()
}
