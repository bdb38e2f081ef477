//! The right to give orders: one key under a lease, held by one instance at a time.
//!
//! Whoever holds the key may order until its lease ends by its own steady clock,
//! counted from before the lease was asked for. The store's revision of the key is
//! the fencing number: it only grows, and each holder has its own.

use crate::feeds::{Feed, follow};
use crate::holder::Input;
use crate::relay::Tap;
use crate::shared::Shared;
use crossbeam::channel::Sender;
use passway_serving::ports::{
    ConditionalWrite, LeaseId, Listing, SharedStore, StoreChange, StoredValue, WriteAnswer,
};
use passway_types::prelude::*;
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

/// The prefix of passway's own keys.
const OWN_PREFIX: &str = "passway/";
/// The key that the holder keeps.
const HOLDER_KEY: &str = "passway/holder";
/// Time-to-live of the holder's lease, unless the store has a longer shortest one.
const LEASE_TIME: Duration = Duration::from_millis(1_200);
/// A lease is renewed when this part of it has passed.
const RENEW_PART: f64 = 0.25;
/// The holder stops this long before its lease ends.
const SAFETY: Duration = Duration::from_millis(120);
/// Pause after the store refused or did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time within which instances draw the moment at which they try to take the key.
const TURN: Duration = Duration::from_millis(250);
/// An instance with less processor than this lets others take the key: on the grown
/// market site's calm day the holder used 0.135 of a core.
const WEAK_PART: f64 = 0.2;
/// How much later such an instance tries.
const WEAK_PAUSE: Duration = Duration::from_millis(350);
/// Pause between two looks at a key that another instance holds.
const IDLE_STEP: Duration = Duration::from_secs(5);

/// Who holds the right, as the store says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The instance.
    pub instance: InstanceId,
    /// Where it listens for other instances.
    pub address: SocketAddr,
    /// The store's revision of the key.
    pub fence: Fence,
}

#[derive(Debug, Default)]
struct State {
    /// Whether the key was read at all.
    known: bool,
    holder: Option<Holder>,
    /// My term: its fencing number and when it ends.
    term: Option<(Fence, Instant)>,
    /// When another instance was last seen to hold the key.
    other_seen_at: Option<Instant>,
    /// Whether this process has ever given orders.
    has_held: bool,
    released: bool,
}

/// The right to order, as this instance knows it.
#[derive(Debug, Default)]
pub struct Right {
    state: Mutex<State>,
    changed: Condvar,
}

fn encode(shared: &Shared) -> Vec<u8> {
    let settings = &shared.settings;
    format!("{} {}", settings.instance, settings.peer_address).into_bytes()
}

fn decode(value: &StoredValue) -> Option<Holder> {
    let text = std::str::from_utf8(&value.value).ok()?;
    let (instance, address) = text.split_once(' ')?;
    Some(Holder {
        instance: instance.into(),
        address: address.parse().ok()?,
        fence: value.revision,
    })
}

impl Right {
    /// Follows the key and takes it whenever nobody holds it.
    pub fn start(
        self: &Arc<Self>,
        shared: &Arc<Shared>,
        store: &Arc<dyn SharedStore>,
        tap: Tap,
        news: Sender<Input>,
    ) {
        let feed = HolderFeed {
            right: self.clone(),
            shared: shared.clone(),
        };
        follow(store.clone(), tap, news, feed);
        let (keeping, shared, store) = (self.clone(), shared.clone(), store.clone());
        std::thread::spawn(move || keeping.keep(&shared, &*store));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Who holds the right.
    pub fn holder(&self) -> Option<Holder> {
        self.state().holder.clone()
    }

    /// My fencing number, if I may give an order now.
    pub fn fence(&self) -> Option<Fence> {
        let state = self.state();
        let (fence, until) = state.term?;
        (Instant::now() < until).then_some(fence)
    }

    /// Gives the right back, so that another instance can take it at once.
    pub fn release(&self) {
        let mut state = self.state();
        state.released = true;
        state.term = None;
        drop(state);
        self.changed.notify_all();
    }

    fn seen(&self, holder: Option<Holder>, me: &InstanceId) {
        let mut state = self.state();
        state.known = true;
        if holder.as_ref().is_some_and(|holder| holder.instance != *me) {
            state.other_seen_at = Some(Instant::now());
        }
        state.holder = holder;
        drop(state);
        self.changed.notify_all();
    }

    fn wait(&self, state: MutexGuard<'_, State>, most: Duration) {
        // The caller looks again in any case.
        drop(self.changed.wait_timeout(state, most));
    }

    /// Takes and renews the right for as long as the process lives.
    fn keep(&self, shared: &Shared, store: &dyn SharedStore) {
        let time = LEASE_TIME.max(shared.bounds.load().shortest_lease);
        loop {
            let state = self.state();
            if state.released {
                return;
            }
            if !state.known || state.holder.is_some() {
                self.wait(state, IDLE_STEP);
                continue;
            }
            drop(state);
            // All instances see at one moment that nobody holds the key; most of them
            // wait and see another one take it.
            let turn = TURN.mul_f64(rand::rng().random_range(0.0..1.0));
            let is_weak = shared.settings.processor_part < WEAK_PART;
            std::thread::sleep(if is_weak { turn + WEAK_PAUSE } else { turn });
            let health = &shared.store_health;
            if self.holder().is_some() || health.is_failing() {
                std::thread::sleep(if health.is_failing() {
                    RETRY_PAUSE
                } else {
                    Duration::ZERO
                });
                continue;
            }
            // The lease may be granted and its answer lost; the next one is another.
            let asked_at = Instant::now();
            let Ok(lease) = store.grant_lease(time) else {
                std::thread::sleep(RETRY_PAUSE);
                continue;
            };
            let Some(fence) = Self::take(shared, store, lease) else {
                std::thread::sleep(RETRY_PAUSE);
                continue;
            };
            log::info!(fence = fence; "holds the right to order");
            self.hold(shared, store, lease, fence, asked_at, time);
        }
    }

    /// Writes the key; the fencing number if it is mine.
    fn take(shared: &Shared, store: &dyn SharedStore, lease: LeaseId) -> Option<Fence> {
        let write = ConditionalWrite {
            key: HOLDER_KEY.to_owned(),
            expected: 0,
            value: Some(encode(shared)),
            lease: Some(lease),
        };
        match store.write(&write) {
            Ok(WriteAnswer::Written(revision)) => Some(revision),
            // Without an answer it may take effect yet: ending the lease takes the
            // key away with it.
            Ok(WriteAnswer::Conflict | WriteAnswer::LeaseEnded) | Err(_) => {
                end(store, lease);
                None
            }
        }
    }

    /// Renews the lease until it is lost or given back.
    fn hold(
        &self,
        shared: &Shared,
        store: &dyn SharedStore,
        lease: LeaseId,
        fence: Fence,
        asked_at: Instant,
        time: Duration,
    ) {
        let begin_at = self.begin_at(shared);
        let mut until = asked_at + time.saturating_sub(SAFETY);
        loop {
            let now = Instant::now();
            let mut state = self.state();
            if state.released {
                drop(state);
                end(store, lease);
                return;
            }
            if now >= until {
                break;
            }
            if now >= begin_at {
                state.term = Some((fence, until));
                state.has_held = true;
            }
            let other = state.holder.as_ref().is_some_and(|h| h.fence > fence);
            if other {
                break;
            }
            self.wait(state, time.mul_f64(RENEW_PART));
            let asked_at = Instant::now();
            match store.renew_lease(lease) {
                Ok(true) => until = asked_at + time.saturating_sub(SAFETY),
                Ok(false) => break,
                Err(_) => std::thread::sleep(RETRY_PAUSE),
            }
        }
        log::info!(fence = fence; "lost the right to order");
        self.state().term = None;
        end(store, lease);
        std::thread::sleep(RETRY_PAUSE);
    }

    /// Two holders must not take turns: one that has held before lets the time of
    /// another's last order pass.
    fn begin_at(&self, shared: &Shared) -> Instant {
        let state = self.state();
        let now = Instant::now();
        match state.other_seen_at {
            Some(_) if state.has_held => now + shared.bounds.load().holder_gap,
            _ => now,
        }
    }
}

fn end(store: &dyn SharedStore, lease: LeaseId) {
    if store.end_lease(lease).is_err() {
        log::debug!(lease = lease; "a lease could not be ended and runs out");
    }
}

struct HolderFeed {
    right: Arc<Right>,
    shared: Arc<Shared>,
}

impl Feed for HolderFeed {
    fn prefix(&self) -> String {
        OWN_PREFIX.to_owned()
    }

    fn listed(&mut self, listing: &Listing) {
        let value = listing.values.iter().find(|value| value.key == HOLDER_KEY);
        self.right
            .seen(value.and_then(decode), &self.shared.settings.instance);
    }

    fn changed(&mut self, change: &StoreChange) -> bool {
        match change {
            StoreChange::Written(value) if value.key == HOLDER_KEY => {
                let me = &self.shared.settings.instance;
                self.right.seen(decode(value), me);
            }
            StoreChange::Removed { key, .. } if key == HOLDER_KEY => {
                let me = &self.shared.settings.instance;
                self.right.seen(None, me);
            }
            _ => {}
        }
        false
    }

    fn settled(&mut self) -> Duration {
        Duration::ZERO
    }

    fn shared(&self) -> &Shared {
        &self.shared
    }
}
