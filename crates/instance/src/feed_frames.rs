//! The encoded updates of the feeds, which subscribers share.

use crate::compression;
use crate::feed_log::FeedLog;
use crate::holder::NumberedUpdate;
use crate::relay::FEED_COUNT;
use passway_serving::ports::StoreRevision;
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::{Body, Frame};
use std::collections::BTreeMap;

/// Maximum number of cached frames with changes. Subscribers know the same revision or the next
/// one; at the start of a term they know a few more.
const MAX_CACHED_FRAMES: usize = 16;

/// A frame with a whole feed is reused for this time although the feed has changed since, because
/// encoding a long feed takes longer than sending the changes that follow it.
const WHOLE_FRAME_LIFETIME: Duration = Duration::from_secs(1);

/// A whole feed for subscribers that know nothing of it.
#[derive(Debug, Clone)]
pub struct WholeFeed {
    /// The encoded feed.
    pub frame: Frame,
    /// The revision up to which the frame is complete.
    pub to: StoreRevision,
    /// When the frame is encoded anew if the feed has changed.
    expires_at: Instant,
}

impl WholeFeed {
    /// Encodes a feed; `None` if nothing is known of it.
    fn encode(log: &FeedLog, feed: usize) -> Option<Self> {
        Some(Self {
            frame: update_frame(log, feed, StoreRevision::NONE)?,
            to: log.to(),
            expires_at: clock::now() + WHOLE_FRAME_LIFETIME,
        })
    }

    /// Whether a subscriber that receives the frame now can receive what followed as changes.
    fn is_usable(&self, log: &FeedLog) -> bool {
        let is_newest = !log.has_changes_after(self.to);
        is_newest || (clock::now() < self.expires_at && log.has_all_changes_after(self.to))
    }
}

/// The feeds, and their encoded updates.
#[derive(Debug, Default)]
pub struct FeedFrames {
    logs: [FeedLog; FEED_COUNT],
    /// Encoded changes by feed and by known revision: most subscribers know the same revision and
    /// share one frame. Cleared whenever a log changes.
    changes: BTreeMap<(usize, StoreRevision), Option<Frame>>,
    /// The last encoded whole feeds.
    whole: [Option<WholeFeed>; FEED_COUNT],
}

impl FeedFrames {
    /// Records a feed update. Returns whether there is a change to send.
    pub fn add_update(&mut self, (feed, update): &NumberedUpdate) -> bool {
        self.changes.clear();
        self.logs[*feed].apply(update)
    }

    /// The log of a feed.
    pub fn log(&self, feed: usize) -> &FeedLog {
        &self.logs[feed]
    }

    /// A whole feed, which changes may follow; `None` if nothing is known of it.
    pub fn whole(&mut self, feed: usize) -> Option<&WholeFeed> {
        let log = &self.logs[feed];
        let whole = &mut self.whole[feed];
        if !whole.as_ref().is_some_and(|whole| whole.is_usable(log)) {
            *whole = WholeFeed::encode(log, feed);
        }
        whole.as_ref()
    }

    /// The changes of a feed after a revision; `None` if they cannot be encoded.
    pub fn changes(&mut self, feed: usize, known: StoreRevision) -> Option<Frame> {
        if self.changes.len() >= MAX_CACHED_FRAMES {
            self.changes.clear();
        }
        let log = &self.logs[feed];
        let frame = self.changes.entry((feed, known));
        let frame = frame.or_insert_with(|| update_frame(log, feed, known));
        frame.clone()
    }
}

/// The encoded update for an instance that knows a feed up to a revision. If the update is too
/// large, a gap marker takes its place, so that the instance queries the store.
fn update_frame(log: &FeedLog, feed: usize, known: StoreRevision) -> Option<Frame> {
    let frame = Frame::new(compression::update_body(log.update_after(feed, known)?));
    let frame = frame.or_else(|error| {
        log::error!(feed = feed, error:% = error; "cannot encode an update");
        Frame::new(Body::Updates(log.gap_marker(feed)))
    });
    frame.ok()
}
