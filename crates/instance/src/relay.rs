//! The store's news by way of the holder of the right to order.
//!
//! A watch of each instance on each prefix would cost the store as many calls as
//! there are instances. The holder watches for all; the others hear from it for as
//! long as it shows that it lives, holds its lease and has heard the store itself a moment
//! ago, and ask the store themselves at all other times. Changes carry the store's
//! revisions, so a gap is seen.

use crate::updates::{CompressionBases, FeedUpdate};
use crossbeam::channel::{Receiver, Sender, bounded};
use passway_serving::ports::StoreRevision;
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::message::News;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Number of the configuration's feed.
pub const CONFIGURATION_FEED: usize = 0;
/// Number of the upstreams' feed.
pub const UPSTREAM_FEED: usize = 1;
/// Number of feeds that are relayed.
pub const FEED_COUNT: usize = 2;

/// A holder that is silent for this long is not relied on: three of its heartbeats.
const MAX_HOLDER_SILENCE: Duration = Duration::from_secs(1);
/// A holder that knows a feed up to a moment longer ago than this is not relied on for it,
/// though it speaks: its watch of 0.8 s, its heartbeat of 0.3 s, and 0.4 s for a store that
/// answers slowly and for the way.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1_500);
/// Pause between two words of the holder when there is no news.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

#[derive(Debug, Default)]
struct State {
    last_received_at: Option<Instant>,
    /// The moment that the holder counts from, by the quickest of its words. How much later
    /// than that a word seems to be is how long it was on its way.
    holder_clock_origin: Option<Instant>,
    /// When the store confirmed last to the holder that it knows all of a feed.
    confirmed_at: [Option<Instant>; FEED_COUNT],
    /// When the store answered last here, for each feed.
    store_answered_at: [Option<Instant>; FEED_COUNT],
    known: [StoreRevision; FEED_COUNT],
    /// What was heard and not taken in yet, merged.
    pending: [Option<FeedUpdate>; FEED_COUNT],
    /// Up to where a feed is not known, since a word could not be read or is missing; it is to
    /// be told whole, unless the store has told that by then.
    gap_until: [Option<StoreRevision>; FEED_COUNT],
    bases: [CompressionBases; FEED_COUNT],
}

impl State {
    /// Takes in up to when the holder knew the feeds, by a word that has just come.
    fn record_times(&mut self, news: &News, now: Instant) {
        self.last_received_at = Some(now);
        if news.sent_ms == 0 {
            return;
        }
        let Some(clock_origin) = now.checked_sub(Duration::from_millis(news.sent_ms)) else {
            return;
        };
        let clock_origin = self
            .holder_clock_origin
            .map_or(clock_origin, |at| at.min(clock_origin));
        self.holder_clock_origin = Some(clock_origin);
        for (known, ms) in self.confirmed_at.iter_mut().zip(&news.confirmed_ms) {
            if *ms > 0 {
                *known = Some(clock_origin + Duration::from_millis(*ms));
            }
        }
    }
}

/// A time in whole milliseconds.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Milliseconds between two moments.
pub fn millis_since(since: Instant, at: Instant) -> u64 {
    millis(at.saturating_duration_since(since))
}

/// What an instance hears of the holder.
#[derive(Debug)]
pub struct Relay {
    state: Mutex<State>,
    /// Wakes the feeds' threads.
    wakeup_senders: [Sender<()>; FEED_COUNT],
}

/// One feed's end of a relay.
#[derive(Debug)]
pub struct RelayReceiver {
    /// The relay.
    pub relay: Arc<Relay>,
    /// The feed's number; `None` for one that is not relayed but rests meanwhile.
    pub feed: Option<usize>,
    wakeups: Option<Receiver<()>>,
}

impl Relay {
    /// A relay that nothing was heard of, and its feeds' ends.
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

    /// An end for a feed that only rests while the holder is relied on.
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

    /// Whether the holder speaks.
    pub fn is_holder_alive(&self) -> bool {
        let last_received_at = self.state().last_received_at;
        last_received_at.is_some_and(|at| clock::since(at) < MAX_HOLDER_SILENCE)
    }

    /// Until when the holder is relied on for a feed, if it speaks and knows the feed.
    pub fn trusted_until(&self, feed: usize) -> Option<Instant> {
        let state = self.state();
        let silent_at = state.last_received_at? + MAX_HOLDER_SILENCE;
        let known_until = state.confirmed_at[feed]? + MAX_CONFIRMATION_AGE;
        let until = silent_at.min(known_until);
        (clock::now() < until).then_some(until)
    }

    /// When the store answered last for each feed, in milliseconds since a moment; 0 for never.
    pub fn store_answered_ms(&self, since: Instant) -> Vec<u64> {
        let store_answered_at = self.state().store_answered_at;
        let count = |at: Instant| millis_since(since, at).max(1);
        store_answered_at
            .iter()
            .map(|at| at.map_or(0, count))
            .collect()
    }

    /// Whether the holder has spoken and has fallen silent since.
    pub fn is_holder_silent(&self) -> bool {
        let last_received_at = self.state().last_received_at;
        last_received_at.is_some_and(|at| clock::since(at) >= MAX_HOLDER_SILENCE)
    }

    /// The connection to the holder is gone, and it is not relied on any more. The moment that
    /// it counts from stays: all words of the next connection may be long on their way.
    pub fn holder_disconnected(&self) {
        let mut state = self.state();
        state.last_received_at = None;
        state.confirmed_at = [None; FEED_COUNT];
    }

    /// There is another holder.
    pub fn holder_changed(&self) {
        self.holder_disconnected();
        self.state().holder_clock_origin = None;
    }

    /// What is known of each feed; 0 for one that is to be told whole.
    pub fn known_revisions(&self) -> [StoreRevision; FEED_COUNT] {
        let state = self.state();
        std::array::from_fn(|feed| {
            let is_unknown = state.gap_until[feed].is_some();
            if is_unknown { 0 } else { state.known[feed] }
        })
    }

    /// Whether the holder is to be asked again, since a word of it could not be read or is
    /// missing.
    pub fn needs_resend(&self) -> bool {
        self.state().gap_until.iter().any(Option::is_some)
    }

    /// Takes in a word of the holder.
    pub fn receive(&self, news: News) {
        let mut state = self.state();
        state.record_times(&news, clock::now());
        let feed = usize::try_from(news.feed).unwrap_or(FEED_COUNT);
        if news.to == 0 || feed >= FEED_COUNT {
            return;
        }
        let to = news.to;
        match state.bases[feed].decode(news) {
            Ok(told) => {
                let before = state.pending[feed].take();
                let told = match before {
                    Some(before) => before.merged_with(told),
                    None => told,
                };
                state.pending[feed] = Some(told);
            }
            Err(error) => {
                log::warn!(feed = feed, error:% = format!("{error:#}"); "a word of the holder cannot be read");
                state.gap_until[feed] = Some(to);
            }
        }
        drop(state);
        // A wake that waits already will do.
        let _ = self.wakeup_senders[feed].try_send(());
    }
}

impl RelayReceiver {
    /// What the holder told since the last call.
    fn take_pending(&self) -> Option<FeedUpdate> {
        let feed = self.feed?;
        self.relay.state().pending[feed].take()
    }

    /// Until when the holder is relied on if it tells nothing more; `None` if it is not now. A
    /// feed that rests meanwhile does so for as long as the holder knows the configuration: one
    /// that does not may have lost the right without knowing that either.
    pub fn trusted_until(&self) -> Option<Instant> {
        self.relay
            .trusted_until(self.feed.unwrap_or(CONFIGURATION_FEED))
    }

    /// Something is missing in the holder's news, up to a revision.
    pub fn report_gap(&self, to: StoreRevision) {
        if let Some(feed) = self.feed {
            self.relay.state().gap_until[feed] = Some(to);
        }
    }

    /// The store has answered, with all that it knew at a moment.
    pub fn record_store_answer(&self, at: Instant) {
        if let Some(feed) = self.feed {
            self.relay.state().store_answered_at[feed] = Some(at);
        }
    }

    /// Waits up to `longest` for what the holder tells.
    pub fn wait_for_update(&self, longest: Duration) -> Option<FeedUpdate> {
        let told = self.take_pending();
        if told.is_some() || longest.is_zero() {
            return told;
        }
        match &self.wakeups {
            // In either case it is looked whether anything waits.
            Some(wakeups) => drop(wakeups.recv_timeout(longest)),
            None => std::thread::sleep(longest),
        }
        self.take_pending()
    }

    /// Records what is taken in, and up to where the feed is known then.
    pub fn record_applied(&self, told: &FeedUpdate, known: StoreRevision) {
        if let Some(feed) = self.feed {
            let mut state = self.relay.state();
            state.bases[feed].record(told);
            state.known[feed] = known;
            let gap_until = &mut state.gap_until[feed];
            *gap_until = gap_until.filter(|to| *to > known);
        }
    }
}
