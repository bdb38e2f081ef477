//! The store's updates as the holder of leadership relays them.
//!
//! If each instance watched each prefix, the store would get as many calls as there are instances.
//! Instead, the holder watches for all. The other instances rely on the holder while it is alive,
//! its lease is valid and the store answered it recently; at all other times they query the store
//! themselves. Changes carry the store's revisions, so a receiver detects gaps.

use crate::compression;
use crate::termination::Termination;
use crate::updates::{CompressionBases, FeedUpdate};
use crossbeam::channel::{Receiver, Sender, bounded};
use passway_serving::ports::StoreRevision;
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::message::{CompressedUpdates, Updates};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Number of the configuration's feed.
pub const CONFIGURATION_FEED: usize = 0;
/// Number of the upstreams' feed.
pub const UPSTREAM_FEED: usize = 1;
/// Number of feeds that are relayed.
pub const FEED_COUNT: usize = 2;

/// A holder that sent nothing for this long is not relied on: three of its heartbeats.
const MAX_HOLDER_SILENCE: Duration = Duration::from_secs(1);
/// A holder whose last confirmation of a feed by the store is older than this is not relied on for
/// the feed, even if the holder is alive. This allows for its watch of 0.8 s, its heartbeat of 0.3
/// s, and 0.4 s for a slow store and the network.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1_500);
/// Interval of the holder's messages when there are no updates.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

#[derive(Debug, Default)]
struct State {
    last_received_at: Option<Instant>,
    /// Origin of the times in the holder's messages, on this instance's clock. It follows from the
    /// fastest message; any other message was delayed by the difference.
    holder_clock_origin: Option<Instant>,
    /// When the store last confirmed to the holder that the holder knows all of a feed.
    confirmed_at: [Option<Instant>; FEED_COUNT],
    /// When the store last answered this instance, for each feed.
    store_answered_at: [Option<Instant>; FEED_COUNT],
    known: [StoreRevision; FEED_COUNT],
    /// Received updates that are not applied yet, merged.
    pending: [Option<FeedUpdate>; FEED_COUNT],
    /// The revision up to which a feed has a gap, because a message was unreadable or missing. The
    /// holder must resend the whole feed, unless the store supplies it first.
    gap_until: [Option<StoreRevision>; FEED_COUNT],
    /// Whether this instance, which does not know a feed yet, waits for the holder to send it.
    awaits_whole: [bool; FEED_COUNT],
    bases: [CompressionBases; FEED_COUNT],
}

impl State {
    /// Records up to when the holder knew the feeds, according to a message that just arrived.
    fn record_times(&mut self, message: &Updates, now: Instant) {
        self.last_received_at = Some(now);
        if message.queued_at_ms == 0 {
            return;
        }
        let Some(clock_origin) = now.checked_sub(Duration::from_millis(message.queued_at_ms))
        else {
            return;
        };
        let clock_origin = self
            .holder_clock_origin
            .map_or(clock_origin, |at| at.min(clock_origin));
        self.holder_clock_origin = Some(clock_origin);
        for (known, ms) in self.confirmed_at.iter_mut().zip(&message.confirmed_at_ms) {
            if *ms > 0 {
                *known = Some(clock_origin + Duration::from_millis(*ms));
            }
        }
    }
}

/// A duration in whole milliseconds.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Milliseconds between two instants; 0 if `at` is before `since`.
pub fn millis_since(since: Instant, at: Instant) -> u64 {
    millis(at.saturating_duration_since(since))
}

/// Time since an instant for a log line, in milliseconds; -1 without one.
pub fn age_ms(at: Option<Instant>) -> i64 {
    at.map_or(-1, |at| {
        i64::try_from(clock::since(at).as_millis()).unwrap_or(i64::MAX)
    })
}

/// What this instance receives from the holder.
#[derive(Debug)]
pub struct Relay {
    state: Mutex<State>,
    /// Wake up the threads of the feeds.
    wakeup_senders: [Sender<()>; FEED_COUNT],
}

/// The receiving end of a relay for one feed.
#[derive(Debug)]
pub struct RelayReceiver {
    /// The relay.
    pub relay: Arc<Relay>,
    /// The feed's number; `None` for a feed that is not relayed, but does not query the store while
    /// the holder is relied on.
    pub feed: Option<usize>,
    wakeups: Option<Receiver<()>>,
}

impl Relay {
    /// Creates a relay without any received message, and the receivers of its feeds.
    pub fn new() -> (Arc<Self>, [RelayReceiver; FEED_COUNT]) {
        let (configuration, configuration_wakeups) = bounded(1);
        let (upstreams, upstream_wakeups) = bounded(1);
        let relay = Arc::new(Self {
            state: Mutex::default(),
            wakeup_senders: [configuration, upstreams],
        });
        let receiver = |feed, wakeups| RelayReceiver {
            relay: relay.clone(),
            feed: Some(feed),
            wakeups: Some(wakeups),
        };
        let receivers = [
            receiver(CONFIGURATION_FEED, configuration_wakeups),
            receiver(UPSTREAM_FEED, upstream_wakeups),
        ];
        (relay, receivers)
    }

    /// A receiver for a feed that is not relayed and only pauses while the holder is relied on.
    pub fn unrelayed_receiver(self: &Arc<Self>) -> RelayReceiver {
        RelayReceiver {
            relay: self.clone(),
            feed: None,
            wakeups: None,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a message of the holder arrived recently.
    pub fn is_holder_alive(&self) -> bool {
        let last_received_at = self.state().last_received_at;
        last_received_at.is_some_and(|at| clock::since(at) < MAX_HOLDER_SILENCE)
    }

    /// When the holder last sent anything on the present connection; `None` without a connection.
    pub fn last_received_at(&self) -> Option<Instant> {
        self.state().last_received_at
    }

    /// When the store last confirmed to the holder that the holder knows all of a feed.
    pub fn confirmed_at(&self, feed: usize) -> Option<Instant> {
        self.state().confirmed_at[feed]
    }

    /// Until when the holder may be relied on for a feed; `None` if it is not alive or its
    /// knowledge of the feed is too old.
    pub fn trusted_until(&self, feed: usize) -> Option<Instant> {
        let state = self.state();
        let silent_at = state.last_received_at? + MAX_HOLDER_SILENCE;
        let known_until = state.confirmed_at[feed]? + MAX_CONFIRMATION_AGE;
        let until = silent_at.min(known_until);
        (clock::now() < until).then_some(until)
    }

    /// When the store last answered for each feed, in milliseconds since `since`; 0 for never.
    pub fn store_answered_ms(&self, since: Instant) -> Vec<u64> {
        let store_answered_at = self.state().store_answered_at;
        let millis_at = |at: Instant| millis_since(since, at).max(1);
        store_answered_at
            .iter()
            .map(|at| at.map_or(0, millis_at))
            .collect()
    }

    /// Whether the holder sent messages on this connection and then fell silent.
    pub fn is_holder_silent(&self) -> bool {
        let last_received_at = self.state().last_received_at;
        last_received_at.is_some_and(|at| clock::since(at) >= MAX_HOLDER_SILENCE)
    }

    /// The connection to the holder has ended, so the holder is not relied on any more. The origin
    /// of the holder's times stays known, because all messages of the next connection may be
    /// delayed.
    pub fn holder_disconnected(&self) {
        let mut state = self.state();
        state.last_received_at = None;
        state.confirmed_at = [None; FEED_COUNT];
    }

    /// Another instance has become the holder.
    pub fn holder_changed(&self) {
        self.holder_disconnected();
        self.state().holder_clock_origin = None;
    }

    /// The known revision of each feed; none for a feed that must be sent in full.
    pub fn known_revisions(&self) -> [StoreRevision; FEED_COUNT] {
        let state = self.state();
        std::array::from_fn(|feed| {
            let has_gap = state.gap_until[feed].is_some();
            if has_gap {
                StoreRevision::NONE
            } else {
                state.known[feed]
            }
        })
    }

    /// Wakes up the thread of a feed.
    pub fn wake_up(&self, feed: usize) {
        // If the channel is full, a wakeup is already pending.
        let _ = self.wakeup_senders[feed].try_send(());
    }

    /// Whether this instance reads a feed from the store that it does not know yet.
    pub fn reads_unknown_feed(&self) -> bool {
        (0..FEED_COUNT).any(|feed| self.is_reading_feed(feed))
    }

    /// Whether this instance does not know a feed yet and does not wait for the holder to send it.
    pub fn is_reading_feed(&self, feed: usize) -> bool {
        let state = self.state();
        state.known[feed].is_none() && !state.awaits_whole[feed]
    }

    /// Whether the holder must resend a feed, because a message was unreadable or missing.
    pub fn needs_resend(&self) -> bool {
        self.state().gap_until.iter().any(Option::is_some)
    }

    /// Takes in a compressed message from the holder.
    pub fn receive_compressed(&self, message: &CompressedUpdates) {
        match compression::decompress_update(message) {
            Ok(update) => self.receive(update),
            Err(error) => {
                log::warn!(feed = message.feed, error:% = error; "cannot decode an update from the holder");
                let feed = usize::try_from(message.feed).unwrap_or(FEED_COUNT);
                if let Some(gap_until) = self.state().gap_until.get_mut(feed) {
                    *gap_until = Some(StoreRevision::from_packed(message.to_revision));
                }
            }
        }
    }

    /// Takes in a message from the holder.
    pub fn receive(&self, message: Updates) {
        let mut state = self.state();
        state.record_times(&message, clock::now());
        let feed = usize::try_from(message.feed).unwrap_or(FEED_COUNT);
        if message.to_revision == 0 || feed >= FEED_COUNT {
            return;
        }
        let to = StoreRevision::from_packed(message.to_revision);
        match state.bases[feed].decode(message) {
            Ok(update) => {
                let previous = state.pending[feed].take();
                let update = match previous {
                    Some(previous) => previous.merged_with(update),
                    None => update,
                };
                state.pending[feed] = Some(update);
            }
            Err(error) => {
                log::warn!(feed = feed, error:% = format!("{error:#}"); "cannot decode an update from the holder");
                state.gap_until[feed] = Some(to);
            }
        }
        drop(state);
        self.wake_up(feed);
    }
}

impl RelayReceiver {
    /// Takes what the holder sent since the last call.
    fn take_pending(&self) -> Option<FeedUpdate> {
        let feed = self.feed?;
        self.relay.state().pending[feed].take()
    }

    /// Until when the holder may be relied on if it sends nothing more; `None` if it may not be
    /// relied on now. A feed that is not relayed depends on the configuration's feed: a holder that
    /// does not know the configuration may have lost leadership without noticing.
    pub fn trusted_until(&self) -> Option<Instant> {
        self.relay
            .trusted_until(self.feed.unwrap_or(CONFIGURATION_FEED))
    }

    /// Reports a gap in the holder's updates, up to a revision.
    pub fn report_gap(&self, to: StoreRevision) {
        if let Some(feed) = self.feed {
            self.relay.state().gap_until[feed] = Some(to);
        }
    }

    /// Requests the whole feed from the holder, because this instance does not read it from the
    /// store.
    pub fn await_whole_feed(&self) {
        if let Some(feed) = self.feed {
            self.relay.state().awaits_whole[feed] = true;
        }
    }

    /// Records that the store answered with everything it knew at an instant.
    pub fn record_store_answer(&self, at: Instant) {
        if let Some(feed) = self.feed {
            self.relay.state().store_answered_at[feed] = Some(at);
        }
    }

    /// Waits up to `timeout` for an update from the holder, no longer than the instance runs.
    pub fn wait_for_update(
        &self,
        timeout: Duration,
        termination: &Termination,
    ) -> Option<FeedUpdate> {
        let update = self.take_pending();
        if update.is_some() || timeout.is_zero() {
            return update;
        }
        // The receiver checks for updates after a wakeup as well as after the timeout, and for the
        // end of the instance before its next query.
        match &self.wakeups {
            Some(wakeups) => drop(termination.receive_timeout(wakeups, timeout)),
            None => drop(termination.pause(timeout)),
        }
        self.take_pending()
    }

    /// Records an update that was applied, and the revision up to which the feed is known now.
    pub fn record_applied(&self, update: &FeedUpdate, known: StoreRevision) {
        if let Some(feed) = self.feed {
            let mut state = self.relay.state();
            state.bases[feed].record(update);
            state.known[feed] = known;
            state.awaits_whole[feed] = false;
            let gap_until = &mut state.gap_until[feed];
            *gap_until = gap_until.filter(|to| *to > known);
        }
    }
}
