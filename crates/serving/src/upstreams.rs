//! Upstreams: what they say of themselves, what this instance saw, and the choice.

use crate::hash::fnv1a;
use passway_types::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Weight of the newest outcome in an upstream's failure rate.
const FAILURE_WEIGHT: f64 = 0.25;
/// Time in which a failure rate halves when nothing is sent, so that the upstream is tried again.
const FAILURE_HALF_LIFE_S: f64 = 2.0;
/// What a failure rate of one costs in the choice, in units of an upstream's slots.
const FAILURE_COST: f64 = 3.0;
/// What another data hall costs in the choice, in units of an upstream's slots: little,
/// since an instance sees only its own load and all of a hall would choose alike.
const OTHER_HALL_COST: f64 = 0.01;
/// The draw that tells upstreams of like cost apart is worth up to so many requests.
const DRAW_REQUESTS: f64 = 1.0;
/// An upstream that took a request for one too many is not asked again for this long.
const SHED_PAUSE: Duration = Duration::from_millis(80);
/// An upstream that could not be reached gets nothing for this long if there is another.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(700);
/// What an upstream costs that has been silent, in units of its slots.
const SILENCE_COST: f64 = 3.0;
/// An upstream that works and is not heard of for this long counts as silent: its
/// streams send an event every few hundredths of a second.
const SILENCE_LIMIT: Duration = Duration::from_millis(700);
/// A model that an upstream said it does not have is not asked for there for this long.
const ABSENT_PAUSE: Duration = Duration::from_millis(400);

/// A model that stands on an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResidentModel {
    /// The model.
    pub name: ModelName,
    /// Its adapters that stand there.
    pub adapters: Vec<AdapterName>,
}

/// What an upstream says of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamEntry {
    /// Its id; a restarted upstream has another.
    pub id: UpstreamId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub hall: DataHall,
    /// Requests that it works on at one time.
    pub slots: u32,
    /// Whether it takes nothing new.
    pub draining: bool,
    /// When it will be gone, if it is taken away at short notice.
    pub gone_at: Option<Instant>,
    /// Models on its accelerators.
    pub models: Vec<ResidentModel>,
    /// Checkpoints in its memory.
    pub in_memory: Vec<ModelName>,
    /// Checkpoints on its disk.
    pub on_disk: Vec<ModelName>,
    /// Number of this word of its; grows while it lives.
    pub beat: u64,
}

/// What a request needs on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ModelWish {
    /// The model.
    pub model: ModelName,
    /// The adapter, if one is asked for.
    pub adapter: Option<AdapterName>,
}

/// How an attempt at an upstream ended, as far as it tells about the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer.
    Answered,
    /// It failed, broke off, or did not take the request though it should have.
    Failed,
    /// It did not take the request, being too full.
    Shed,
    /// It could not be reached.
    Unreachable,
    /// The caller left, or nothing else can be said.
    Unknown,
}

/// Where to send a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// To this upstream.
    Send {
        /// Its id.
        id: UpstreamId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// No upstream that may be used has what the request needs.
    Absent,
    /// All that have it are as full as this instance may make them.
    Full,
}

#[derive(Debug)]
struct Upstream {
    entry: UpstreamEntry,
    in_flight: u32,
    in_flight_models: HashMap<ModelName, u32>,
    /// Since when nothing was heard while requests run; `None` while none runs.
    silent_since: Option<Instant>,
    failure_rate: f64,
    judged_at: Instant,
    unreachable_until: Instant,
    full_until: Instant,
    absent_until: HashMap<ModelWish, Instant>,
    /// Models that the holder of the right to order is about to unload.
    closing: Vec<ModelName>,
    /// When it is gone unless its entry comes back; `None` while the entry is there.
    gone_at: Option<Instant>,
}

impl Upstream {
    fn new(entry: UpstreamEntry, now: Instant) -> Self {
        Self {
            entry,
            in_flight: 0,
            in_flight_models: HashMap::new(),
            silent_since: None,
            failure_rate: 0.0,
            judged_at: now,
            unreachable_until: now,
            full_until: now,
            absent_until: HashMap::new(),
            closing: Vec::new(),
            gone_at: None,
        }
    }

    fn is_gone(&self, now: Instant) -> bool {
        self.gone_at.is_some_and(|at| now >= at)
    }

    fn has(&self, wish: &ModelWish, now: Instant) -> bool {
        if self.closing.contains(&wish.model) {
            return false;
        }
        if self
            .absent_until
            .get(wish)
            .is_some_and(|until| now < *until)
        {
            return false;
        }
        let resident = self.entry.models.iter().find(|m| m.name == wish.model);
        resident.is_some_and(|model| {
            let adapter = wish.adapter.as_ref();
            adapter.is_none_or(|adapter| model.adapters.contains(adapter))
        })
    }

    fn failure_rate(&self, now: Instant) -> f64 {
        let quiet_s = now.saturating_duration_since(self.judged_at).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(quiet_s / FAILURE_HALF_LIFE_S)
    }

    fn is_silent(&self, now: Instant) -> bool {
        self.silent_since
            .is_some_and(|since| now >= since + SILENCE_LIMIT)
    }

    fn cost(&self, hall: &DataHall, now: Instant) -> f64 {
        let load = f64::from(self.in_flight) / f64::from(self.entry.slots.max(1));
        let away = if self.entry.hall == *hall {
            0.0
        } else {
            OTHER_HALL_COST
        };
        let silence = if self.is_silent(now) {
            SILENCE_COST
        } else {
            0.0
        };
        load + away + silence + FAILURE_COST * self.failure_rate(now)
    }
}

/// The upstreams that this instance knows.
#[derive(Debug)]
pub struct UpstreamTable {
    hall: DataHall,
    upstreams: HashMap<UpstreamId, Upstream>,
}

/// How far a hash is shifted down onto itself, so that its upper bits have a part in
/// the multiplication that follows; about half of its bits.
const MIX_SHIFT: u32 = 29;
/// 2^64 divided by the golden ratio: the usual odd factor to mix a hash's bits.
const MIX_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// A part of one, fixed by a number and a name.
fn part_of(drawn: u64, name: &str) -> f64 {
    let hash = fnv1a(drawn, name);
    // The upper bits are mixed best.
    let mixed = (hash ^ (hash >> MIX_SHIFT)).wrapping_mul(MIX_FACTOR);
    f64::from(u32::try_from(mixed >> 32).unwrap_or(0)) / f64::from(u32::MAX)
}

impl UpstreamTable {
    /// No upstreams, for an instance in a data hall.
    pub fn new(hall: DataHall) -> Self {
        Self {
            hall,
            upstreams: HashMap::new(),
        }
    }

    /// Whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// The entries as they were last heard.
    pub fn entries(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.upstreams.values().map(|upstream| &upstream.entry)
    }

    /// An upstream has said something of itself; whether it is more than what stands on it.
    pub fn update(&mut self, entry: UpstreamEntry, now: Instant) -> bool {
        let Some(known) = self.upstreams.get_mut(&entry.id) else {
            let id = entry.id.clone();
            self.upstreams.insert(id, Upstream::new(entry, now));
            return true;
        };
        let returned = known.gone_at.take().is_some();
        if entry.beat < known.entry.beat {
            // An older word, told late; only leaving is final.
            let leaves = entry.draining && !known.entry.draining;
            known.entry.draining |= entry.draining;
            return leaves || returned;
        }
        if known.entry.models != entry.models {
            known.absent_until.clear();
        }
        // Leaving is final for an incarnation, whatever an older word says.
        let was_draining = known.entry.draining;
        let more = returned
            || known.entry.service != entry.service
            || known.entry.address != entry.address
            || known.entry.slots != entry.slots
            || known.entry.draining != entry.draining
            || known.entry.gone_at.is_some() != entry.gone_at.is_some();
        known.entry = entry;
        known.entry.draining |= was_draining;
        more
    }

    /// An upstream's entry is missing; it is gone at the moment given unless the entry
    /// comes back.
    pub fn miss(&mut self, id: &str, gone_at: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.gone_at.get_or_insert(gone_at);
        }
    }

    /// The whole list was read; what is not on it is gone at the moment given.
    pub fn replace(&mut self, entries: Vec<UpstreamEntry>, gone_at: Instant, now: Instant) {
        for (id, upstream) in &mut self.upstreams {
            if !entries.iter().any(|entry| entry.id == *id) {
                upstream.gone_at.get_or_insert(gone_at);
            }
        }
        for entry in entries {
            self.update(entry, now);
        }
    }

    /// Forgets upstreams that are gone by now, and names them.
    pub fn expire(&mut self, now: Instant) -> Vec<UpstreamId> {
        let gone = self
            .upstreams
            .extract_if(|_, upstream| upstream.is_gone(now));
        gone.map(|(id, _)| id).collect()
    }

    /// What the holder of the right to order says of an engine's models, which is
    /// newer than the engine's own word.
    pub fn set_placement(&mut self, id: &str, models: Vec<ResidentModel>, closing: Vec<ModelName>) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            if upstream.entry.models != models {
                upstream.absent_until.clear();
            }
            upstream.entry.models = models;
            upstream.closing = closing;
        }
    }

    /// The upstream for a request.
    ///
    /// `tried` are upstreams that the request has been at, which it does not go to again.
    /// `drawn` is a number of the request's own, so that instances that all see little
    /// load do not all choose the same upstream.
    pub fn choose(
        &self,
        service: &ServiceName,
        wish: Option<&ModelWish>,
        tried: &[UpstreamId],
        drawn: u64,
        now: Instant,
    ) -> Choice {
        let mut full = false;
        let mut best: Option<(bool, f64, &Upstream)> = None;
        for upstream in self.upstreams.values() {
            let entry = &upstream.entry;
            if entry.service != *service || entry.draining || tried.contains(&entry.id) {
                continue;
            }
            if upstream.is_gone(now) {
                continue;
            }
            if wish.is_some_and(|wish| !upstream.has(wish, now)) {
                continue;
            }
            if upstream.in_flight >= entry.slots || now < upstream.full_until {
                full = true;
                continue;
            }
            let unreachable = now < upstream.unreachable_until;
            let slots = f64::from(entry.slots.max(1));
            let cost =
                upstream.cost(&self.hall, now) + part_of(drawn, &entry.id) * DRAW_REQUESTS / slots;
            let better = best.is_none_or(|(worst, least, known)| {
                (unreachable, cost, &entry.id) < (worst, least, &known.entry.id)
            });
            if better {
                best = Some((unreachable, cost, upstream));
            }
        }
        match best {
            Some((_, _, upstream)) => Choice::Send {
                id: upstream.entry.id.clone(),
                address: upstream.entry.address,
            },
            None if full => Choice::Full,
            None => Choice::Absent,
        }
    }

    /// A request was sent to an upstream.
    pub fn started(&mut self, id: &str, wish: Option<&ModelWish>, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.in_flight += 1;
            upstream.silent_since.get_or_insert(now);
            if let Some(wish) = wish {
                let count = upstream.in_flight_models.entry(wish.model.clone());
                *count.or_default() += 1;
            }
        }
    }

    /// Bytes have come from an upstream.
    pub fn heard(&mut self, id: &str, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.silent_since = Some(now);
        }
    }

    /// Whether an upstream that works has not been heard of for long.
    pub fn is_silent(&self, id: &str, now: Instant) -> bool {
        self.upstreams
            .get(id)
            .is_some_and(|upstream| upstream.is_silent(now))
    }

    /// A request that was sent to an upstream has ended.
    pub fn ended(&mut self, id: &str, wish: Option<&ModelWish>, outcome: Outcome, now: Instant) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        if upstream.in_flight == 0 {
            upstream.silent_since = None;
        }
        if let Some(wish) = wish
            && let Some(count) = upstream.in_flight_models.get_mut(&wish.model)
        {
            *count = count.saturating_sub(1);
        }
        let failed = match outcome {
            Outcome::Answered => 0.0,
            Outcome::Failed => 1.0,
            Outcome::Shed => {
                upstream.full_until = now + SHED_PAUSE;
                1.0
            }
            Outcome::Unreachable => {
                upstream.unreachable_until = now + UNREACHABLE_PAUSE;
                1.0
            }
            Outcome::Unknown => return,
        };
        let rate = upstream.failure_rate(now);
        upstream.failure_rate = rate + FAILURE_WEIGHT * (failed - rate);
        upstream.judged_at = now;
    }

    /// An engine said that it does not have what a request needs.
    pub fn absent(&mut self, id: &str, wish: &ModelWish, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream
                .absent_until
                .insert(wish.clone(), now + ABSENT_PAUSE);
        }
    }

    /// Requests of this instance that run, by engine and model.
    pub fn running(&self) -> impl Iterator<Item = (&UpstreamId, &ModelName, u32)> {
        self.upstreams.iter().flat_map(|(id, upstream)| {
            let models = upstream.in_flight_models.iter();
            models
                .filter(|(_, count)| **count > 0)
                .map(move |(model, count)| (id, model, *count))
        })
    }
}
