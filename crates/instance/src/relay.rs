//! The store's news by way of the holder of the right to order.
//!
//! A watch of each instance on each prefix would cost the store as many calls as
//! there are instances. The holder watches for all; the others hear from it for as
//! long as it shows that it lives, holds its lease and has heard the store itself a moment
//! ago, and ask the store themselves at all other times. Changes carry the store's
//! revisions, so a gap is seen.

use crate::news::{Bases, Told};
use crossbeam::channel::{Receiver, Sender, bounded};
use passway_serving::ports::StoreRevision;
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::message::Updates;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Number of the configuration's feed.
pub const CONFIGURATION: usize = 0;
/// Number of the upstreams' feed.
pub const UPSTREAMS: usize = 1;
/// Number of feeds that are relayed.
pub const FEEDS: usize = 2;

/// A holder that is silent for this long is not relied on: three of its heartbeats.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);
/// A holder that knows a feed up to a moment longer ago than this is not relied on for it,
/// though it speaks: its watch of 0.8 s, its heartbeat of 0.3 s, and 0.4 s for a store that
/// answers slowly and for the way.
const KNOWLEDGE_LIMIT: Duration = Duration::from_millis(1_500);
/// Pause between two words of the holder when there is no news.
pub const HEARTBEAT_PAUSE: Duration = Duration::from_millis(300);

#[derive(Debug, Default)]
struct State {
    heard_at: Option<Instant>,
    /// The moment that the holder counts from, by the quickest of its words. How much later
    /// than that a word seems to be is how long it was on its way.
    holder_begun_at: Option<Instant>,
    /// When the store confirmed last to the holder that it knows all of a feed.
    confirmed_at: [Option<Instant>; FEEDS],
    /// When the store answered last here, for each feed.
    answered_at: [Option<Instant>; FEEDS],
    known: [StoreRevision; FEEDS],
    /// What was heard and not taken in yet, merged.
    waiting: [Option<Told>; FEEDS],
    /// Up to where a feed is not known, since a word could not be read or is missing; it is to
    /// be told whole, unless the store has told that by then.
    unknown_to: [Option<StoreRevision>; FEEDS],
    bases: [Bases; FEEDS],
}

impl State {
    /// Takes in up to when the holder knew the feeds, by a word that has just come.
    fn note_times(&mut self, news: &Updates, now: Instant) {
        self.heard_at = Some(now);
        if news.queued_at_ms == 0 {
            return;
        }
        let Some(begun_at) = now.checked_sub(Duration::from_millis(news.queued_at_ms)) else {
            return;
        };
        let begun_at = self.holder_begun_at.map_or(begun_at, |at| at.min(begun_at));
        self.holder_begun_at = Some(begun_at);
        for (known, ms) in self.confirmed_at.iter_mut().zip(&news.confirmed_at_ms) {
            if *ms > 0 {
                *known = Some(begun_at + Duration::from_millis(*ms));
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
    woken: [Sender<()>; FEEDS],
}

/// One feed's end of a relay.
#[derive(Debug)]
pub struct Tap {
    /// The relay.
    pub relay: Arc<Relay>,
    /// The feed's number; `None` for one that is not relayed but rests meanwhile.
    pub feed: Option<usize>,
    wakes: Option<Receiver<()>>,
}

impl Relay {
    /// A relay that nothing was heard of, and its feeds' ends.
    pub fn new() -> (Arc<Self>, [Tap; FEEDS]) {
        let (configuration, wakes_configuration) = bounded(1);
        let (upstreams, wakes_upstreams) = bounded(1);
        let relay = Arc::new(Self {
            state: Mutex::default(),
            woken: [configuration, upstreams],
        });
        let tap = |feed, wakes| Tap {
            relay: relay.clone(),
            feed: Some(feed),
            wakes: Some(wakes),
        };
        let taps = [
            tap(CONFIGURATION, wakes_configuration),
            tap(UPSTREAMS, wakes_upstreams),
        ];
        (relay, taps)
    }

    /// An end for a feed that only rests while the holder is relied on.
    pub fn resting(self: &Arc<Self>) -> Tap {
        Tap {
            relay: self.clone(),
            feed: None,
            wakes: None,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the holder speaks.
    pub fn is_heard(&self) -> bool {
        let heard_at = self.state().heard_at;
        heard_at.is_some_and(|at| clock::since(at) < SILENCE_LIMIT)
    }

    /// Until when the holder is relied on for a feed, if it speaks and knows the feed.
    pub fn relied_until(&self, feed: usize) -> Option<Instant> {
        let state = self.state();
        let heard_until = state.heard_at? + SILENCE_LIMIT;
        let known_until = state.confirmed_at[feed]? + KNOWLEDGE_LIMIT;
        let until = heard_until.min(known_until);
        (clock::now() < until).then_some(until)
    }

    /// When the store answered last for each feed, in milliseconds since a moment; 0 for never.
    pub fn answered_ms(&self, since: Instant) -> Vec<u64> {
        let answered_at = self.state().answered_at;
        let count = |at: Instant| millis_since(since, at).max(1);
        answered_at.iter().map(|at| at.map_or(0, count)).collect()
    }

    /// Whether the holder has spoken and has fallen silent since.
    pub fn is_silent(&self) -> bool {
        let heard_at = self.state().heard_at;
        heard_at.is_some_and(|at| clock::since(at) >= SILENCE_LIMIT)
    }

    /// The connection to the holder is gone, and it is not relied on any more. The moment that
    /// it counts from stays: all words of the next connection may be long on their way.
    pub fn lost(&self) {
        let mut state = self.state();
        state.heard_at = None;
        state.confirmed_at = [None; FEEDS];
    }

    /// There is another holder.
    pub fn succeeded(&self) {
        self.lost();
        self.state().holder_begun_at = None;
    }

    /// What is known of each feed; 0 for one that is to be told whole.
    pub fn known(&self) -> [StoreRevision; FEEDS] {
        let state = self.state();
        std::array::from_fn(|feed| {
            let is_unknown = state.unknown_to[feed].is_some();
            if is_unknown { 0 } else { state.known[feed] }
        })
    }

    /// Whether the holder is to be asked again, since a word of it could not be read or is
    /// missing.
    pub fn wants_again(&self) -> bool {
        self.state().unknown_to.iter().any(Option::is_some)
    }

    /// Takes in a word of the holder.
    pub fn heard(&self, news: Updates) {
        let mut state = self.state();
        state.note_times(&news, clock::now());
        let feed = usize::try_from(news.feed).unwrap_or(FEEDS);
        if news.to_revision == 0 || feed >= FEEDS {
            return;
        }
        let to = news.to_revision;
        match state.bases[feed].decode(news) {
            Ok(told) => {
                let before = state.waiting[feed].take();
                let told = match before {
                    Some(before) => before.followed_by(told),
                    None => told,
                };
                state.waiting[feed] = Some(told);
            }
            Err(error) => {
                log::warn!(feed = feed, error:% = format!("{error:#}"); "a word of the holder cannot be read");
                state.unknown_to[feed] = Some(to);
            }
        }
        drop(state);
        // A wake that waits already will do.
        let _ = self.woken[feed].try_send(());
    }
}

impl Tap {
    /// What the holder told since the last call.
    fn take(&self) -> Option<Told> {
        let feed = self.feed?;
        self.relay.state().waiting[feed].take()
    }

    /// Until when the holder is relied on if it tells nothing more; `None` if it is not now. A
    /// feed that rests meanwhile does so for as long as the holder knows the configuration: one
    /// that does not may have lost the right without knowing that either.
    pub fn relied_until(&self) -> Option<Instant> {
        self.relay.relied_until(self.feed.unwrap_or(CONFIGURATION))
    }

    /// Something is missing in the holder's news, up to a revision.
    pub fn missed(&self, to: StoreRevision) {
        if let Some(feed) = self.feed {
            self.relay.state().unknown_to[feed] = Some(to);
        }
    }

    /// The store has answered, with all that it knew at a moment.
    pub fn answered(&self, at: Instant) {
        if let Some(feed) = self.feed {
            self.relay.state().answered_at[feed] = Some(at);
        }
    }

    /// Waits up to `longest` for what the holder tells.
    pub fn next(&self, longest: Duration) -> Option<Told> {
        let told = self.take();
        if told.is_some() || longest.is_zero() {
            return told;
        }
        match &self.wakes {
            // In either case it is looked whether anything waits.
            Some(wakes) => drop(wakes.recv_timeout(longest)),
            None => std::thread::sleep(longest),
        }
        self.take()
    }

    /// Records what is taken in, and up to where the feed is known then.
    pub fn taken(&self, told: &Told, known: StoreRevision) {
        if let Some(feed) = self.feed {
            let mut state = self.relay.state();
            state.bases[feed].note(told);
            state.known[feed] = known;
            let unknown_to = &mut state.unknown_to[feed];
            *unknown_to = unknown_to.filter(|to| *to > known);
        }
    }
}
