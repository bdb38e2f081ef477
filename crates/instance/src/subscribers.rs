//! Instances that receive the store's updates from the holder, and the revisions that were sent to
//! each.

use crate::feed_frames::FeedFrames;
use crate::holder::NumberedUpdate;
use crate::relay::FEED_COUNT;
use passway_process::outbox::Outbox;
use passway_serving::ports::StoreRevision;
use passway_types::prelude::*;
use passway_wire::Frame;
use passway_wire::message::Updates;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A subscriber with more unsent bytes than this gets no updates until they are sent, and then only
/// the newest ones. A link of 10 Mbit/s carries this much in 50 ms.
const MAX_BACKLOG_BYTES: usize = 64 << 10;

/// Maximum number of subscribers to which a whole feed of more than [`MAX_BACKLOG_BYTES`] is being
/// sent. The holder's heartbeats share its link with them.
const MAX_LONG_SENDS: usize = 8;

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
    feeds: FeedFrames,
    /// Whether a subscriber still has a backlog of unsent updates.
    has_backlog: bool,
}

impl Subscribers {
    /// Records a feed update. Returns whether there is a change to send.
    pub fn add_update(&mut self, update: &NumberedUpdate) -> bool {
        self.feeds.add_update(update)
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

    /// Name and address of the subscriber on a connection, if they are known.
    pub fn member(&self, number: u64) -> Option<&Member> {
        self.by_connection.get(&number)?.member.as_ref()
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
        self.feeds_behind(number).contains(&true)
    }

    /// The feeds of which a subscriber lacks a change.
    fn feeds_behind(&self, number: u64) -> [bool; FEED_COUNT] {
        let subscriber = self.by_connection.get(&number);
        let sent = subscriber.map(|subscriber| subscriber.sent);
        std::array::from_fn(|feed| {
            sent.is_some_and(|sent| self.feeds.log(feed).has_changes_after(sent[feed]))
        })
    }

    /// The heartbeats for subscribers, with the connections that each is sent on. For a feed of
    /// which a subscriber lacks changes, its heartbeat confirms nothing, so that the age of what
    /// the subscriber knows of that feed keeps growing.
    pub fn heartbeats(
        &self,
        numbers: impl IntoIterator<Item = u64>,
        heartbeat: &Updates,
    ) -> Vec<(Updates, Vec<u64>)> {
        let mut by_feeds_behind: BTreeMap<_, Vec<u64>> = BTreeMap::new();
        for number in numbers {
            let feeds_behind = self.feeds_behind(number);
            by_feeds_behind
                .entry(feeds_behind)
                .or_default()
                .push(number);
        }
        let groups = by_feeds_behind.into_iter();
        groups
            .map(|(feeds_behind, numbers)| {
                let confirmed = heartbeat.confirmed_at_ms.iter().zip(feeds_behind);
                let confirmed = confirmed.map(|(ms, is_behind)| if is_behind { 0 } else { *ms });
                let message = Updates {
                    confirmed_at_ms: confirmed.collect(),
                    ..heartbeat.clone()
                };
                (message, numbers)
            })
            .collect()
    }

    /// Sends each subscriber the newest of what it lacks, unless it has a backlog. Revisions
    /// without changes are only sent with `include_unchanged`. Without them, a subscriber that
    /// queries the store later would start from a revision that the store has already forgotten.
    pub fn send_updates(&mut self, outboxes: &BTreeMap<u64, Outbox>, include_unchanged: bool) {
        self.has_backlog = false;
        let mut long_sends = LongSends::count(outboxes);
        for (number, subscriber) in &mut self.by_connection {
            if let Some(outbox) = outboxes.get(number) {
                let is_complete =
                    subscriber.send(&mut self.feeds, outbox, &mut long_sends, include_unchanged);
                self.has_backlog |= !is_complete;
            }
        }
    }

    /// Sends one subscriber everything that it lacks, including revisions without changes.
    pub fn send_updates_to(&mut self, number: u64, outboxes: &BTreeMap<u64, Outbox>) {
        let subscriber = self.by_connection.get_mut(&number);
        if let (Some(subscriber), Some(outbox)) = (subscriber, outboxes.get(&number)) {
            let mut long_sends = LongSends::count(outboxes);
            let is_complete = subscriber.send(&mut self.feeds, outbox, &mut long_sends, true);
            self.has_backlog |= !is_complete;
        }
    }
}

/// The long feeds that are being sent. The holder's heartbeats share its link with them.
#[derive(Debug)]
struct LongSends(usize);

impl LongSends {
    /// Counts the peers that have not taken an update yet.
    fn count(outboxes: &BTreeMap<u64, Outbox>) -> Self {
        Self(outboxes.values().filter(|outbox| is_busy(outbox)).count())
    }

    /// Whether an update may be sent now; a long one then counts as being sent.
    fn admit(&mut self, frame: &Frame) -> bool {
        if frame.byte_len() <= MAX_BACKLOG_BYTES {
            return true;
        }
        let is_admitted = self.0 < MAX_LONG_SENDS;
        self.0 += usize::from(is_admitted);
        is_admitted
    }
}

impl Subscriber {
    /// Sends what the subscriber lacks of all feeds. Returns whether nothing is left for later.
    fn send(
        &mut self,
        feeds: &mut FeedFrames,
        outbox: &Outbox,
        long_sends: &mut LongSends,
        include_unchanged: bool,
    ) -> bool {
        let mut is_complete = true;
        for feed in 0..FEED_COUNT {
            let known = self.sent[feed];
            let log = feeds.log(feed);
            let is_unchanged = !log.has_changes_after(known);
            if is_unchanged && (!include_unchanged || known >= log.to()) {
                continue;
            }
            if is_busy(outbox) {
                return false;
            }
            is_complete &= self.send_feed(feed, feeds, outbox, long_sends);
        }
        is_complete
    }

    /// Sends what the subscriber lacks of a feed, unless it lacks all of a long feed and enough long
    /// feeds are being sent. Changes are sent at any length: subscribers know many revisions, so
    /// encoding the changes of those that have to wait again and again would take all processor
    /// time of the holder. Returns whether it was sent.
    fn send_feed(
        &mut self,
        feed: usize,
        feeds: &mut FeedFrames,
        outbox: &Outbox,
        long_sends: &mut LongSends,
    ) -> bool {
        if self.sent[feed].is_none()
            && let Some(whole) = feeds.whole(feed)
        {
            if !long_sends.admit(&whole.frame) {
                return false;
            }
            outbox.send_frame(whole.frame.clone());
            self.sent[feed] = whole.to;
        }
        let (known, to) = (self.sent[feed], feeds.log(feed).to());
        if known >= to {
            return true;
        }
        if let Some(frame) = feeds.changes(feed, known) {
            outbox.send_frame(frame);
        }
        self.sent[feed] = to;
        true
    }
}

/// Whether a peer has a backlog of unsent updates.
fn is_busy(outbox: &Outbox) -> bool {
    outbox.waiting_bytes() > MAX_BACKLOG_BYTES
}
