//! Chooses the engine for a request in a fleet so large that no single instance sees the engines'
//! load.
//!
//! With 295 instances in front of 256 engines of 12 slots, each instance receives three requests a
//! second, so its own requests say nothing about the engines' load: engines shed a quarter of all
//! arrivals, and the busiest had eleven times the mean load. So each engine has one *dispatcher*,
//! an instance that knows every run on the engine. An instance asks the dispatcher of one of the
//! engines that could serve a request, and the answer names the least loaded of that dispatcher's
//! engines. The request itself goes directly to the engine, which may still refuse it.
//!
//! [`Dispatchers`] maps engines to dispatchers by rendezvous hashing over a list that the holder
//! publishes, without agreement. At worst, two instances that briefly dispatch for the same engine
//! overload it. [`RunTable`] is the state of a dispatcher: the runs that it has granted and those
//! that instances report, each for a short time unless reported again. A dispatcher that takes
//! over knows all runs within one such time.
//!
//! This module uses no I/O and no clock.

use crate::hash;
use crate::leadership::Candidate;
use crate::upstreams::ModelRef;
use passway_types::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Engines per dispatcher. Half of a busy model's replicas may be assigned to one dispatcher by
/// chance, so each needs many engines. It is small enough that a thousand requests a second, with
/// an answer and an end message each, make some 400 messages a second for each of eight
/// dispatchers.
const ENGINES_PER_DISPATCHER: usize = 32;
/// In a smaller fleet each instance sees enough load itself: a sixteenth of the load of an engine
/// with twelve slots is nearly one request.
const MIN_INSTANCES: usize = 16;
/// How long a dispatcher that did not answer is skipped.
const UNRESPONSIVE_DURATION: Duration = Duration::from_millis(500);
/// Interval between two reports of an instance on its runs.
pub const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// A run that is not reported again within this time has ended: two reports may be lost.
const RUN_TTL: Duration = Duration::from_millis(1_300);

/// A waiting request that has not asked again within this time has left: it asks every 50 ms, and
/// an answer may take 60 ms.
const WAITER_TTL: Duration = Duration::from_millis(180);

/// An engine may be overfilled with the most urgent requests by its slots divided by this number.
/// It admits them before all waiting requests, so they wait for the next free slots: one or two
/// hundred milliseconds with twelve slots and runs of 1.5 s.
const URGENT_OVERFILL_DIVISOR: u32 = 3;

/// The load to compare for a request on an engine with this number of slots.
pub fn effective_load(load: u32, slots: u32, is_urgent: bool) -> u32 {
    if is_urgent {
        load.saturating_sub(slots / URGENT_OVERFILL_DIVISOR)
    } else {
        load
    }
}

/// The number of an attempt, unique at the instance that makes it.
pub type RunId = u64;

/// How many dispatchers a fleet needs; 0 if it is small.
pub fn required_dispatchers(instances: usize, engines: usize) -> usize {
    if instances < MIN_INSTANCES {
        return 0;
    }
    engines.div_ceil(ENGINES_PER_DISPATCHER).min(instances / 2)
}

/// The list of dispatchers and their availability.
#[derive(Debug, Default)]
pub struct Dispatchers {
    list: Vec<Candidate>,
    unresponsive_until: HashMap<SocketAddr, Instant>,
}

impl Dispatchers {
    /// Replaces the list of dispatchers.
    pub fn set(&mut self, list: Vec<Candidate>) {
        self.list = list;
        self.unresponsive_until.clear();
    }

    /// The list of dispatchers.
    pub fn list(&self) -> &[Candidate] {
        &self.list
    }

    /// Whether the fleet has no dispatchers.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// The dispatcher of an engine, or the next in rank while that one is unresponsive.
    pub fn of_engine(&self, engine: &str, now: Instant) -> Option<SocketAddr> {
        let is_responsive = |candidate: &&Candidate| {
            let unresponsive_until = self.unresponsive_until.get(&candidate.address);
            unresponsive_until.is_none_or(|until| now >= *until)
        };
        let responsive = self.list.iter().filter(is_responsive);
        let dispatcher = responsive
            .max_by_key(|candidate| hash::mixed(hash::fnv1a(0, engine), &candidate.instance));
        dispatcher.map(|candidate| candidate.address)
    }

    /// Records that a dispatcher has not answered.
    pub fn mark_unresponsive(&mut self, address: SocketAddr, now: Instant) {
        self.unresponsive_until
            .insert(address, now + UNRESPONSIVE_DURATION);
    }
}

/// Identifies a run by its instance and its number there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RunKey {
    /// The address of the instance that sends the run.
    pub instance: SocketAddr,
    /// The run's number at that instance.
    pub id: RunId,
}

#[derive(Debug)]
struct Run {
    engine: UpstreamId,
    expires_at: Instant,
}

/// A request that waits at a dispatcher for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiter {
    /// The model and adapter that the request needs.
    pub model_ref: ModelRef,
    /// The latest time to start the request so that it meets its deadline.
    pub due_at: Instant,
}

impl Waiter {
    /// Whether this request precedes another: requests that can still meet their deadline come
    /// first, then those that are due earlier.
    fn precedes(&self, other: &Self, now: Instant) -> bool {
        let rank = |waiter: &Self| (waiter.due_at < now, waiter.due_at);
        rank(self) < rank(other)
    }
}

/// Requests that wait for a slot on a dispatcher's engines.
///
/// Each request asks again some 20 times a second; one that stops asking has left. A free slot is
/// reserved for the requests that come first and could use it, so that it stays idle for at most
/// one such interval, and a request that asks often does not overtake one that is due earlier.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiters: HashMap<RunKey, (Waiter, Instant)>,
}

impl WaitQueue {
    /// Records a request that found no slot.
    pub fn record(&mut self, key: RunKey, waiter: Waiter, now: Instant) {
        self.waiters.insert(key, (waiter, now + WAITER_TTL));
    }

    /// Removes a request that does not wait any more.
    pub fn remove(&mut self, key: RunKey) {
        self.waiters.remove(&key);
    }

    /// Removes requests that have not asked again in time.
    pub fn remove_expired(&mut self, now: Instant) {
        self.waiters.retain(|_, (_, expires_at)| now < *expires_at);
    }

    /// Counts the requests that precede the given one and could use the same engine.
    pub fn count_ahead(
        &self,
        key: RunKey,
        waiter: &Waiter,
        could_use: impl Fn(&ModelRef) -> bool,
        now: Instant,
    ) -> usize {
        let others = self.waiters.iter().filter(|(other, _)| **other != key);
        let ahead = others.filter(|(_, (other, expires_at))| {
            now < *expires_at && other.precedes(waiter, now) && could_use(&other.model_ref)
        });
        ahead.count()
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
    /// The number of runs on an engine.
    pub fn load(&self, engine: &str) -> u32 {
        self.counts.get(engine).copied().unwrap_or(0)
    }

    /// The number of runs.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether there are no runs.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// The engine that was granted to an attempt, whose request may arrive twice.
    pub fn engine_of(&self, key: RunKey) -> Option<&UpstreamId> {
        self.runs.get(&key).map(|run| &run.engine)
    }

    /// Records a run that was granted or reported on an engine.
    pub fn record(&mut self, key: RunKey, engine: &UpstreamId, now: Instant) {
        let expires_at = now + RUN_TTL;
        if let Some(run) = self.runs.get_mut(&key)
            && run.engine == *engine
        {
            run.expires_at = expires_at;
            return;
        }
        self.remove(key);
        *self.counts.entry(engine.clone()).or_default() += 1;
        let engine = engine.clone();
        self.runs.insert(key, Run { engine, expires_at });
    }

    /// Removes a run that has ended. Returns its engine.
    pub fn remove(&mut self, key: RunKey) -> Option<UpstreamId> {
        let run = self.runs.remove(&key)?;
        decrement(&mut self.counts, &run.engine);
        Some(run.engine)
    }

    /// Removes runs that are no longer reported: their instance has terminated or their end
    /// message was lost.
    pub fn remove_expired(&mut self, now: Instant) {
        if self.expire_at.is_some_and(|at| now < at) {
            return;
        }
        self.expire_at = Some(now + REFRESH_INTERVAL / 2);
        let counts = &mut self.counts;
        self.runs.retain(|_, run| {
            let is_current = now < run.expires_at;
            if !is_current {
                decrement(counts, &run.engine);
            }
            is_current
        });
    }
}

fn decrement(counts: &mut HashMap<UpstreamId, u32>, engine: &UpstreamId) {
    if let Some(count) = counts.get_mut(engine) {
        *count -= 1;
        if *count == 0 {
            counts.remove(engine);
        }
    }
}
