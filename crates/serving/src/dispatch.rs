//! Which engine a request goes to, in a fleet so large that no instance sees the engines' load.
//!
//! With 295 instances before 256 engines of 12 slots each instance has three requests a second,
//! so what it has sent itself tells it nothing: engines shed a quarter of all arrivals and the
//! busiest had eleven times the mean. So each engine has one *dispatcher*, an instance that
//! knows every run there. An instance asks the dispatcher of one of the engines that could serve
//! a request; the answer names the least loaded of that dispatcher's engines. The request itself
//! goes straight to the engine, whose own refusal stays the last word.
//!
//! [`Dispatchers`] says who dispatches for an engine: by rendezvous hashing over a list that the
//! holder of the right to order tells, without agreement. Two that dispatch for one engine for
//! a moment send it too much at worst. [`RunTable`] is what a dispatcher knows: runs that it has
//! granted, and those that instances say they have, each for a short time unless said again. A
//! dispatcher that takes over knows all of them within one such time.
//!
//! There is no I/O and no clock here.

use crate::hash;
use crate::leadership::Candidate;
use crate::upstreams::ModelRef;
use passway_types::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Engines of one dispatcher. Half of a busy model's replicas may find themselves in one part
/// by chance, so parts are large; and small enough that a thousand requests a second, with an
/// answer and an end each, are some 400 messages a second for each dispatcher of eight.
const ENGINES_PER_DISPATCHER: usize = 32;
/// In a smaller fleet each instance sees enough itself: a sixteenth of the load of an engine of
/// twelve slots is nearly a request.
const FEWEST_INSTANCES: usize = 16;
/// A dispatcher that did not answer is not asked for this long.
const SILENT_TIME: Duration = Duration::from_millis(500);
/// Pause between two words of an instance on what it runs.
pub const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// A run that nobody has spoken of for so long is over: two words may be lost.
const RUN_TIME: Duration = Duration::from_millis(1_300);

/// A request that waits and has not asked again for so long is gone: it asks every 50 ms, and
/// an answer may take 60 ms.
const ASKED_TIME: Duration = Duration::from_millis(180);

/// Part of its slots by which an engine may be overfilled with the most urgent kind of request:
/// it lets those in before all that wait, so they wait for the next slots to come free, a
/// hundred milliseconds or two at twelve slots and runs of 1.5 s.
const URGENT_QUEUE_PART: u32 = 3;

/// The load that counts for a request on an engine with some slots.
pub fn effective_load(load: u32, slots: u32, is_urgent: bool) -> u32 {
    if is_urgent {
        load.saturating_sub(slots / URGENT_QUEUE_PART)
    } else {
        load
    }
}

/// An attempt's number, unique at the instance that makes it.
pub type RunId = u64;

/// How many dispatchers a fleet needs; none if it is small.
pub fn required_dispatchers(instances: usize, engines: usize) -> usize {
    if instances < FEWEST_INSTANCES {
        return 0;
    }
    engines.div_ceil(ENGINES_PER_DISPATCHER).min(instances / 2)
}

/// Who dispatches for each engine.
#[derive(Debug, Default)]
pub struct Dispatchers {
    list: Vec<Candidate>,
    silent_until: HashMap<SocketAddr, Instant>,
}

impl Dispatchers {
    /// Uses another list.
    pub fn set(&mut self, list: Vec<Candidate>) {
        self.list = list;
        self.silent_until.clear();
    }

    /// All of them.
    pub fn list(&self) -> &[Candidate] {
        &self.list
    }

    /// Whether engines have dispatchers at all.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// The dispatcher of an engine; the next one while the first is silent.
    pub fn of_engine(&self, engine: &str, now: Instant) -> Option<SocketAddr> {
        let speaks = |one: &&Candidate| {
            let silent_until = self.silent_until.get(&one.address);
            silent_until.is_none_or(|until| now >= *until)
        };
        let speaking = self.list.iter().filter(speaks);
        let first = speaking.max_by_key(|one| hash::mixed(hash::fnv1a(0, engine), &one.instance));
        first.map(|one| one.address)
    }

    /// A dispatcher has not answered.
    pub fn mark_unresponsive(&mut self, address: SocketAddr, now: Instant) {
        self.silent_until.insert(address, now + SILENT_TIME);
    }
}

/// A run, by the instance that sends it and that instance's number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RunKey {
    /// The instance's address.
    pub instance: SocketAddr,
    /// Its number there.
    pub id: RunId,
}

#[derive(Debug)]
struct Run {
    engine: UpstreamId,
    until: Instant,
}

/// A request that waits at a dispatcher for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiter {
    /// What it needs.
    pub model_ref: ModelRef,
    /// When it must begin to be in time.
    pub due_at: Instant,
}

impl Waiter {
    /// Whether this one goes before another: one that can be in time before one that cannot,
    /// then the one that is due first.
    fn precedes(&self, other: &Self, now: Instant) -> bool {
        let rank = |waiter: &Self| (waiter.due_at < now, waiter.due_at);
        rank(self) < rank(other)
    }
}

/// Requests that wait for a slot of a dispatcher's engines.
///
/// Each asks again by itself, some 20 times a second; whoever does not any more is gone. A slot
/// that is free is left to those that go first and could use it, so that it stands idle for one
/// such pause at most, and nobody who asks often goes before one who is due.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiters: HashMap<RunKey, (Waiter, Instant)>,
}

impl WaitQueue {
    /// A request finds no slot.
    pub fn record(&mut self, key: RunKey, waiter: Waiter, now: Instant) {
        self.waiters.insert(key, (waiter, now + ASKED_TIME));
    }

    /// A request waits no more.
    pub fn remove(&mut self, key: RunKey) {
        self.waiters.remove(&key);
    }

    /// Drops requests that have not asked again.
    pub fn remove_expired(&mut self, now: Instant) {
        self.waiters.retain(|_, (_, until)| now < *until);
    }

    /// Requests that go before one and could use an engine that has some models or adapters.
    pub fn count_ahead(
        &self,
        key: RunKey,
        waiter: &Waiter,
        could_use: impl Fn(&ModelRef) -> bool,
        now: Instant,
    ) -> usize {
        let others = self.waiters.iter().filter(|(other, _)| **other != key);
        let first = others.filter(|(_, (other, until))| {
            now < *until && other.precedes(waiter, now) && could_use(&other.model_ref)
        });
        first.count()
    }
}

/// The runs on the engines of one dispatcher.
#[derive(Debug, Default)]
pub struct RunTable {
    runs: HashMap<RunKey, Run>,
    counts: HashMap<UpstreamId, u32>,
    expire_at: Option<Instant>,
}

impl RunTable {
    /// Runs on an engine.
    pub fn load(&self, engine: &str) -> u32 {
        self.counts.get(engine).copied().unwrap_or(0)
    }

    /// How many runs there are.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// The engine that was granted to an attempt: its question may come twice.
    pub fn engine_of(&self, key: RunKey) -> Option<&UpstreamId> {
        self.runs.get(&key).map(|run| &run.engine)
    }

    /// A run goes to an engine, or is said to be there.
    pub fn record(&mut self, key: RunKey, engine: &UpstreamId, now: Instant) {
        let until = now + RUN_TIME;
        if let Some(run) = self.runs.get_mut(&key)
            && run.engine == *engine
        {
            run.until = until;
            return;
        }
        self.remove(key);
        *self.counts.entry(engine.clone()).or_default() += 1;
        let engine = engine.clone();
        self.runs.insert(key, Run { engine, until });
    }

    /// A run is over; the engine where it was.
    pub fn remove(&mut self, key: RunKey) -> Option<UpstreamId> {
        let run = self.runs.remove(&key)?;
        discount(&mut self.counts, &run.engine);
        Some(run.engine)
    }

    /// Drops runs that nobody speaks of any more: their instance is gone, or the word of their
    /// end was lost.
    pub fn remove_expired(&mut self, now: Instant) {
        if self.expire_at.is_some_and(|at| now < at) {
            return;
        }
        self.expire_at = Some(now + REFRESH_INTERVAL / 2);
        let counts = &mut self.counts;
        self.runs.retain(|_, run| {
            let lasts = now < run.until;
            if !lasts {
                discount(counts, &run.engine);
            }
            lasts
        });
    }
}

fn discount(counts: &mut HashMap<UpstreamId, u32>, engine: &UpstreamId) {
    if let Some(count) = counts.get_mut(engine) {
        *count -= 1;
        if *count == 0 {
            counts.remove(engine);
        }
    }
}
