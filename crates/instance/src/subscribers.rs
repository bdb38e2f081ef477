//! Instances that hear the store's news from the holder, and up to where each was told.

use crate::feed_log::FeedLog;
use crate::holder::NumberedUpdate;
use crate::relay::FEED_COUNT;
use passway_process::outbox::Outbox;
use passway_serving::ports::StoreRevision;
use passway_types::prelude::*;
use passway_wire::{Body, Frame};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A listener with more than this on its way hears no news until it has taken it, and then the
/// newest only: what a link of 10 Mbit/s carries in 50 ms.
const MAX_BACKLOG_BYTES: usize = 64 << 10;

/// Frames that are kept to be shared. Subscribers know one revision or the next; those of a term
/// that begins know a few more.
const MAX_CACHED_FRAMES: usize = 16;

/// An instance's name and where it listens.
pub type Member = (InstanceId, SocketAddr);

#[derive(Debug)]
struct Subscriber {
    /// Who it is, if it has told that.
    member: Option<Member>,
    /// Up to where it was told each feed.
    told: [StoreRevision; FEED_COUNT],
}

/// The instances that listen, by the numbers of their connections, and what there is to tell.
#[derive(Debug, Default)]
pub struct Subscribers {
    by_connection: BTreeMap<u64, Subscriber>,
    logs: [FeedLog; FEED_COUNT],
    /// What is told, by feed and by what is known already: most listeners know the same, and
    /// share one frame. Empty whenever a log has changed.
    frames: BTreeMap<(usize, StoreRevision), Option<Frame>>,
    /// Whether one of them has not taken yet what it was told before.
    has_backlog: bool,
}

impl Subscribers {
    /// Takes in news; whether there is anything to tell.
    pub fn add_update(&mut self, (feed, told): &NumberedUpdate) -> bool {
        self.frames.clear();
        self.logs[*feed].apply(told)
    }

    /// An instance listens on a connection and knows the feeds up to some revisions.
    pub fn add(&mut self, number: u64, member: Option<Member>, told: [StoreRevision; FEED_COUNT]) {
        self.by_connection
            .insert(number, Subscriber { member, told });
    }

    /// A connection is gone; who listened there.
    pub fn remove(&mut self, number: u64) -> Option<Member> {
        self.by_connection.remove(&number)?.member
    }

    /// Nobody is told anything any more; the connections on which they listened.
    pub fn clear(&mut self) -> Vec<u64> {
        let all = std::mem::take(&mut self.by_connection);
        all.into_keys().collect()
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.by_connection.len()
    }

    /// Who listens, as far as they have told that, and on which connections.
    pub fn members(&self) -> impl Iterator<Item = (u64, &Member)> {
        let all = self.by_connection.iter();
        all.filter_map(|(number, subscriber)| Some((*number, subscriber.member.as_ref()?)))
    }

    /// The connections on which instances listen.
    pub fn connections(&self) -> impl Iterator<Item = u64> {
        self.by_connection.keys().copied()
    }

    /// Whether one of them has not taken yet what it was told before.
    pub fn has_backlog(&self) -> bool {
        self.has_backlog
    }

    /// Whether a listener lacks a change.
    pub fn is_behind(&self, number: u64) -> bool {
        let told = self
            .by_connection
            .get(&number)
            .map(|subscriber| subscriber.told);
        let mut feeds = self.logs.iter().zip(told.iter().flatten());
        feeds.any(|(log, known)| log.has_changes_after(*known))
    }

    /// Tells each listener the newest of what it lacks, unless it has not taken yet what it
    /// was told before. That nothing has changed up to a later revision is told `also_quiet`
    /// only; without it a listener would go on from a revision that the store has forgotten
    /// when it asks it itself again.
    pub fn send_updates(&mut self, outboxes: &BTreeMap<u64, Outbox>, include_quiet: bool) {
        self.has_backlog = false;
        for (number, subscriber) in &mut self.by_connection {
            let Some(outbox) = outboxes.get(number) else {
                continue;
            };
            for (feed, log) in self.logs.iter().enumerate() {
                let known = subscriber.told[feed];
                let is_quiet = !log.has_changes_after(known);
                if is_quiet && (!include_quiet || known >= log.to()) {
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
                subscriber.told[feed] = log.to();
            }
        }
    }
}

/// What an instance lacks that knows a feed up to a revision, as it goes over a link. If that
/// is too large, that there is something, so that the instance asks the store.
fn update_frame(log: &FeedLog, feed: usize, known: StoreRevision) -> Option<Frame> {
    let frame = Frame::new(Body::News(log.update_after(feed, known)?));
    let frame = frame.or_else(|error| {
        log::error!(feed = feed, error:% = error; "news cannot be sent");
        Frame::new(Body::News(log.gap_marker(feed)))
    });
    frame.ok()
}
