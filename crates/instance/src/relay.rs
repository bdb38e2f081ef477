//! The store's news by way of the holder of the right to order.
//!
//! A watch of each instance on each prefix would cost the store as many calls as
//! there are instances. The holder watches for all; the others hear from it for as
//! long as it shows that it lives and holds its lease, and ask the store themselves
//! at all other times. Changes carry the store's revisions, so a gap is seen.

use crossbeam::channel::{Receiver, Sender, unbounded};
use passway_serving::ports::{Listing, StoreChange, StoreRevision, StoredValue};
use passway_types::prelude::*;
use passway_wire::message::{News, NewsValue};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Number of the configuration's feed.
pub const CONFIGURATION: usize = 0;
/// Number of the upstreams' feed.
pub const UPSTREAMS: usize = 1;
/// Number of feeds that are relayed.
pub const FEEDS: usize = 2;

/// A holder that is silent for this long is not relied on; it speaks far more often.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);
/// Pause between two words of the holder when there is no news.
pub const HEARTBEAT_PAUSE: Duration = Duration::from_millis(300);
/// Changes kept for instances that connect.
const KEPT_CHANGES: usize = 400;

/// News of one feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Told {
    /// All values.
    Whole(Listing),
    /// Changes between two revisions.
    Changes {
        /// The revision that they follow on.
        from: StoreRevision,
        /// The revision up to which they tell.
        to: StoreRevision,
        /// The changes in their order.
        changes: Vec<StoreChange>,
    },
}

impl Told {
    /// The revision up to which it tells.
    pub fn to(&self) -> StoreRevision {
        match self {
            Self::Whole(listing) => listing.revision,
            Self::Changes { to, .. } => *to,
        }
    }

    /// The values that it tells; keys that went away count too.
    pub fn values(&self) -> usize {
        match self {
            Self::Whole(listing) => listing.values.len(),
            Self::Changes { changes, .. } => changes.len(),
        }
    }

    /// Bytes of the values that it tells.
    pub fn bytes(&self) -> usize {
        let size = |change: &StoreChange| match change {
            StoreChange::Written(value) => value.value.len(),
            StoreChange::Removed { .. } => 0,
        };
        match self {
            Self::Whole(listing) => listing.values.iter().map(|value| value.value.len()).sum(),
            Self::Changes { changes, .. } => changes.iter().map(size).sum(),
        }
    }
}

/// What a feed hears of the holder within some time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Heard {
    /// News.
    News(Told),
    /// The holder is relied on and told nothing.
    Nothing,
    /// The holder is not relied on; the store is to be asked.
    HolderLost,
}

#[derive(Debug)]
struct State {
    heard_at: Option<Instant>,
    known: [StoreRevision; FEEDS],
}

/// What an instance hears of the holder.
#[derive(Debug)]
pub struct Relay {
    state: Mutex<State>,
    told: [Sender<Told>; FEEDS],
}

/// One feed's end of a relay.
#[derive(Debug)]
pub struct Tap {
    /// The relay.
    pub relay: Arc<Relay>,
    /// The feed's number; `None` for one that is not relayed but rests meanwhile.
    pub feed: Option<usize>,
    told: Option<Receiver<Told>>,
}

impl Relay {
    /// A relay that nothing was heard of, and its feeds' ends.
    pub fn new() -> (Arc<Self>, [Tap; FEEDS]) {
        let (configuration, heard_configuration) = unbounded();
        let (upstreams, heard_upstreams) = unbounded();
        let relay = Arc::new(Self {
            state: Mutex::new(State {
                heard_at: None,
                known: [0; FEEDS],
            }),
            told: [configuration, upstreams],
        });
        let tap = |feed, told| Tap {
            relay: relay.clone(),
            feed: Some(feed),
            told: Some(told),
        };
        let taps = [
            tap(CONFIGURATION, heard_configuration),
            tap(UPSTREAMS, heard_upstreams),
        ];
        (relay, taps)
    }

    /// An end for a feed that only rests while the relay is live.
    pub fn resting(self: &Arc<Self>) -> Tap {
        Tap {
            relay: self.clone(),
            feed: None,
            told: None,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the holder is relied on now.
    pub fn is_live(&self) -> bool {
        let heard_at = self.state().heard_at;
        heard_at.is_some_and(|at| at.elapsed() < SILENCE_LIMIT)
    }

    /// The holder is not relied on any more.
    pub fn lost(&self) {
        self.state().heard_at = None;
    }

    /// What is known of each feed, once all feeds have been read.
    pub fn known(&self) -> Option<[StoreRevision; FEEDS]> {
        let known = self.state().known;
        known.iter().all(|revision| *revision > 0).then_some(known)
    }

    fn set_known(&self, feed: usize, revision: StoreRevision) {
        self.state().known[feed] = revision;
    }

    /// Takes in a word of the holder.
    pub fn heard(&self, news: News) {
        self.state().heard_at = Some(Instant::now());
        let feed = usize::try_from(news.feed).unwrap_or(FEEDS);
        if news.to == 0 || feed >= FEEDS {
            return;
        }
        // The feed's thread ends only with the process.
        let _ = self.told[feed].send(decode(news));
    }
}

impl Tap {
    /// Waits up to `longest` for the holder's next news, if the holder is relied on.
    pub fn next(&self, longest: Duration) -> Heard {
        if !self.relay.is_live() {
            return Heard::HolderLost;
        }
        let Some(told) = &self.told else {
            std::thread::sleep(longest);
            return Heard::Nothing;
        };
        told.recv_timeout(longest)
            .map_or(Heard::Nothing, Heard::News)
    }

    /// Records up to where the feed is known.
    pub fn set_known(&self, revision: StoreRevision) {
        if let Some(feed) = self.feed {
            self.relay.set_known(feed, revision);
        }
    }
}

fn decode(news: News) -> Told {
    let change = |value: NewsValue| {
        let (key, revision) = (value.key, value.revision);
        match value.value {
            Some(value) => StoreChange::Written(StoredValue {
                key,
                value,
                revision,
            }),
            None => StoreChange::Removed { key, revision },
        }
    };
    let changes: Vec<_> = news.values.into_iter().map(change).collect();
    if news.from > 0 {
        return Told::Changes {
            from: news.from,
            to: news.to,
            changes,
        };
    }
    let values = changes.into_iter().filter_map(|change| match change {
        StoreChange::Written(value) => Some(value),
        StoreChange::Removed { .. } => None,
    });
    Told::Whole(Listing {
        values: values.collect(),
        revision: news.to,
    })
}

fn encode(change: &StoreChange) -> NewsValue {
    let value = match change {
        StoreChange::Written(value) => Some(value.value.clone()),
        StoreChange::Removed { .. } => None,
    };
    NewsValue {
        key: change.key().to_owned(),
        value,
        revision: change.revision(),
    }
}

/// The latest of one feed, for instances that hear it from here.
#[derive(Debug, Default)]
pub struct FeedLog {
    values: BTreeMap<String, StoredValue>,
    changes: VecDeque<StoreChange>,
    /// Changes after this revision are kept.
    since: StoreRevision,
    to: StoreRevision,
    /// Up to where everybody who listens was told; what needs no telling lies behind it.
    told: StoreRevision,
}

impl FeedLog {
    /// Takes in news; what of it is to be passed on.
    pub fn add(&mut self, feed: usize, told: &Told) -> Option<News> {
        let number = u32::try_from(feed).unwrap_or(u32::MAX);
        match told {
            Told::Whole(listing) => {
                let values = listing.values.iter();
                self.values = values.map(|v| (v.key.clone(), v.clone())).collect();
                self.changes.clear();
                self.since = listing.revision;
                self.to = listing.revision;
                self.told = self.to;
                self.whole(number)
            }
            Told::Changes { to, changes, .. } => {
                let from = self.told;
                self.to = self.to.max(*to);
                for change in changes {
                    self.note(change);
                }
                let values = changes.iter().map(encode);
                if changes.is_empty() {
                    return None;
                }
                self.told = self.to;
                Some(News {
                    feed: number,
                    from: from.max(1),
                    to: self.to,
                    values: values.collect(),
                    instances: 0,
                })
            }
        }
    }

    /// That nothing has changed since it was told last, up to a later revision, if that is
    /// known. Without it those who listen would go on from a revision that the store has
    /// forgotten, and list everything anew, when they ask it themselves again.
    pub fn advance(&mut self, feed: usize) -> Option<News> {
        let from = self.told;
        if self.to <= from {
            return None;
        }
        self.told = self.to;
        Some(News {
            feed: u32::try_from(feed).unwrap_or(u32::MAX),
            from: from.max(1),
            to: self.to,
            ..News::default()
        })
    }

    fn note(&mut self, change: &StoreChange) {
        match change {
            StoreChange::Written(value) => {
                self.values.insert(value.key.clone(), value.clone());
            }
            StoreChange::Removed { key, .. } => {
                self.values.remove(key);
            }
        }
        self.changes.push_back(change.clone());
        if self.changes.len() > KEPT_CHANGES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.since = oldest.revision();
        }
    }

    fn whole(&self, number: u32) -> Option<News> {
        let values = self.values.values().map(|value| NewsValue {
            key: value.key.clone(),
            value: Some(value.value.clone()),
            revision: value.revision,
        });
        (self.to > 0).then(|| News {
            feed: number,
            from: 0,
            to: self.to,
            values: values.collect(),
            instances: 0,
        })
    }

    /// What an instance lacks that knows the feed up to a revision.
    pub fn after(&self, feed: usize, known: StoreRevision) -> Option<News> {
        let number = u32::try_from(feed).unwrap_or(u32::MAX);
        if known < self.since || known == 0 {
            return self.whole(number);
        }
        let newer = self.changes.iter().filter(|c| c.revision() > known);
        let values: Vec<_> = newer.map(encode).collect();
        (known < self.to).then_some(News {
            feed: number,
            from: known,
            to: self.to,
            values,
            instances: 0,
        })
    }
}
