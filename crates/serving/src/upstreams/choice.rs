//! Chooses the upstream that a request goes to.

use super::upstream::Upstream;
use super::{ModelRef, UpstreamEntry, UpstreamTable};
use crate::halls::AllowedRegions;
use crate::hash;
use passway_types::prelude::*;
use std::net::SocketAddr;

/// Cost of a failure rate of one, in units of an upstream's slots.
const FAILURE_COST: f64 = 3.0;
/// What a stream that is late loses for its caller, where a failed one loses 1: late answers are
/// worth between a twentieth and a third of those in time.
const LATENESS_LOSS: f64 = 0.8;
/// Cost of another data hall, in units of an upstream's slots. It is small, because an instance
/// sees only its own load and all instances of a hall would choose alike.
const OTHER_HALL_COST: f64 = 0.01;
/// The random part of the cost, which separates upstreams of similar cost, is worth up to this
/// many requests.
const RANDOM_COST_REQUESTS: f64 = 1.0;
/// Cost of an upstream that has been silent, in units of its slots.
const SILENCE_COST: f64 = 3.0;
/// Cost of an upstream that is slow after its start, in units of its slots.
const COLD_COST: f64 = 0.5;
/// One in this many requests treats limited upstreams like any other, so that an instance learns
/// when they are no longer limited although others have taken over their requests.
const REQUESTS_PER_TRIAL: u64 = 50;
/// Where to send a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// Send the request to this upstream.
    Send {
        /// The upstream's id.
        id: UpstreamId,
        /// The address at which the upstream listens.
        address: SocketAddr,
    },
    /// No usable upstream has what the request needs.
    Absent,
    /// All usable upstreams have as many requests as this instance may send them.
    Full,
}

/// Cost of an upstream on which a stream is late with this probability, in units of its slots.
pub fn lateness_cost(miss_probability: f64) -> f64 {
    FAILURE_COST * LATENESS_LOSS * miss_probability
}

/// The order in which upstreams are compared, field by field; the least is chosen.
#[derive(Debug, PartialEq, PartialOrd)]
struct Rank<'a> {
    is_unreachable: bool,
    /// Whether the upstream's limited capacity is reserved for requests that no other upstream can
    /// serve.
    is_last_resort: bool,
    /// In units of the upstream's slots.
    cost: f64,
    /// Breaks ties between equal costs.
    id: &'a UpstreamId,
}

impl Upstream {
    fn rank(&self, load: u32, extra_cost: f64, needs: RequestNeeds<'_>, now: Instant) -> Rank<'_> {
        let RequestNeeds { hall, random, .. } = needs;
        let id = &self.entry.id;
        let slots = f64::from(self.entry.slots.max(1));
        Rank {
            is_unreachable: now < self.unreachable_until,
            is_last_resort: self.is_last_resort(random, now),
            cost: self.cost(load, hall, now)
                + extra_cost
                + hash::fraction(random, id) * RANDOM_COST_REQUESTS / slots,
            id,
        }
    }

    /// Whether the upstream accepts new requests and has what is needed, as far as is known.
    pub(super) fn is_usable(
        &self,
        service: &ServiceName,
        model_ref: Option<&ModelRef>,
        now: Instant,
    ) -> bool {
        let entry = &self.entry;
        entry.service == *service
            && !entry.draining
            && !self.is_removed(now)
            && model_ref.is_none_or(|model_ref| self.has(model_ref, now))
    }

    /// Whether a request with this random number is sent to the upstream only if no other can
    /// serve it.
    fn is_last_resort(&self, random: u64, now: Instant) -> bool {
        self.limit_per_s(now).is_some()
            && !hash::mixed(!random, &self.entry.id).is_multiple_of(REQUESTS_PER_TRIAL)
    }

    fn is_full(&self, load: u32, now: Instant) -> bool {
        load >= self.entry.slots || now < self.full_until
    }

    /// The cost of sending a request to the upstream, in units of its slots.
    fn cost(&self, load: u32, hall: &DataHall, now: Instant) -> f64 {
        let load = f64::from(load) / f64::from(self.entry.slots.max(1));
        let other_hall = if self.entry.hall == *hall {
            0.0
        } else {
            OTHER_HALL_COST
        };
        let silence = if self.is_silent(now) {
            SILENCE_COST
        } else {
            0.0
        };
        let cold = if self.is_cold(now) { COLD_COST } else { 0.0 };
        load + other_hall + silence + cold + FAILURE_COST * self.failure_rate(now)
    }
}

/// What a request needs of an upstream.
#[derive(Debug, Clone, Copy)]
pub struct RequestNeeds<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The model and adapter, on engines.
    pub model_ref: Option<&'a ModelRef>,
    /// The hall that is preferred at equal load.
    pub hall: &'a DataHall,
    /// The regions in which the request may be served.
    pub allowed: &'a AllowedRegions,
    /// The request's own random number, so that instances that all see little load do not all
    /// choose the same upstream.
    pub random: u64,
}

/// An engine that could continue a run of another engine of its hall.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HallEngine<'a> {
    /// The engine's id.
    pub id: &'a UpstreamId,
    /// The number of its runs.
    pub load: u32,
    /// Whether it accepts no further run now.
    pub is_full: bool,
}

impl UpstreamTable {
    /// The upstream for a request, by the load that this instance has sent itself.
    ///
    /// The request is not sent again to the upstreams in `tried`. `random` is as in
    /// [`RequestNeeds`].
    pub fn choose(
        &self,
        service: &ServiceName,
        model_ref: Option<&ModelRef>,
        tried: &[UpstreamId],
        random: u64,
        now: Instant,
    ) -> Choice {
        let needs = RequestNeeds {
            service,
            model_ref,
            hall: &self.hall,
            allowed: &AllowedRegions::ANY,
            random,
        };
        let is_allowed = |id: &UpstreamId| !tried.contains(id);
        self.choose_by(needs, is_allowed, None, now)
    }

    /// The upstream for a request among those that `is_allowed` accepts. The load is what
    /// `load_of` returns, or else what this instance has sent itself.
    pub fn choose_by(
        &self,
        needs: RequestNeeds<'_>,
        is_allowed: impl Fn(&UpstreamId) -> bool,
        load_of: Option<&dyn Fn(&UpstreamId) -> u32>,
        now: Instant,
    ) -> Choice {
        self.choose_by_cost(needs, is_allowed, load_of, &|_| 0.0, now)
    }

    /// Like [`Self::choose_by`], with an extra cost of each upstream in units of its slots.
    pub fn choose_by_cost(
        &self,
        needs: RequestNeeds<'_>,
        is_allowed: impl Fn(&UpstreamId) -> bool,
        load_of: Option<&dyn Fn(&UpstreamId) -> u32>,
        extra_cost_of: &dyn Fn(&UpstreamId) -> f64,
        now: Instant,
    ) -> Choice {
        let mut any_full = false;
        let mut best: Option<(Rank<'_>, &Upstream)> = None;
        for upstream in self.usable(needs, now) {
            if !is_allowed(&upstream.entry.id) {
                continue;
            }
            let load = load_of.map_or(upstream.in_flight, |load_of| load_of(&upstream.entry.id));
            if upstream.is_full(load, now) {
                any_full = true;
                continue;
            }
            let extra_cost = extra_cost_of(&upstream.entry.id);
            let rank = upstream.rank(load, extra_cost, needs, now);
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                best = Some((rank, upstream));
            }
        }
        match best {
            Some((_, upstream)) => Choice::Send {
                id: upstream.entry.id.clone(),
                address: upstream.entry.address,
            },
            None if any_full => Choice::Full,
            None => Choice::Absent,
        }
    }

    /// The other engines in the hall of `engine`, of its software version, that have what a request needs
    /// and seem to work. An
    /// engine with a limit is left out, because a request could not go there at once. The load is
    /// what `load_of` returns, or else what this instance has sent itself.
    pub fn others_in_hall<'a>(
        &'a self,
        engine: &'a str,
        needs: RequestNeeds<'a>,
        load_of: &'a dyn Fn(&UpstreamId) -> Option<u32>,
        now: Instant,
    ) -> impl Iterator<Item = HallEngine<'a>> {
        let engine_entry = self.upstreams.get(engine).map(|engine| &engine.entry);
        let in_hall = self.usable(needs, now).filter(move |other| {
            engine_entry.is_some_and(|engine| {
                other.entry.hall == engine.hall && other.entry.software == engine.software
            }) && *other.entry.id != *engine
                && now >= other.unreachable_until
                && !other.is_silent(now)
                && other.limit_per_s(now).is_none()
        });
        in_hall.map(move |other| {
            let id = &other.entry.id;
            let load = load_of(id).unwrap_or(other.in_flight);
            HallEngine {
                id,
                load,
                is_full: other.is_full(load, now),
            }
        })
    }

    /// The cost of sending a request to an upstream with this load, in units of its slots; `None` if
    /// it is full, unreachable, limited, or lacks what the request needs.
    pub fn cost_of(
        &self,
        id: &str,
        needs: RequestNeeds<'_>,
        load: u32,
        now: Instant,
    ) -> Option<f64> {
        let upstream = self.upstreams.get(id)?;
        let is_available = self.is_usable(upstream, needs, now)
            && !upstream.is_full(load, now)
            && now >= upstream.unreachable_until
            && !upstream.is_last_resort(needs.random, now);
        is_available.then(|| upstream.cost(load, needs.hall, now))
    }

    /// Upstreams that accept new requests and have what is needed, as far as is known.
    fn usable<'a>(
        &'a self,
        needs: RequestNeeds<'_>,
        now: Instant,
    ) -> impl Iterator<Item = &'a Upstream> {
        let all = self.upstreams.values();
        all.filter(move |upstream| self.is_usable(upstream, needs, now))
    }

    /// The entries of the upstreams that accept new requests and have what is needed, full or not,
    /// as far as is known.
    pub fn usable_entries<'a>(
        &'a self,
        needs: RequestNeeds<'_>,
        now: Instant,
    ) -> impl Iterator<Item = &'a UpstreamEntry> {
        self.usable(needs, now).map(|upstream| &upstream.entry)
    }

    /// Whether an upstream accepts new requests, has what is needed and is in a hall where the
    /// request may be sent, as far as is known.
    pub(super) fn is_usable(
        &self,
        upstream: &Upstream,
        needs: RequestNeeds<'_>,
        now: Instant,
    ) -> bool {
        upstream.is_usable(needs.service, needs.model_ref, now)
            && self.halls.admits(&upstream.entry.hall, needs.allowed)
    }

    /// Engines that could accept a request, in an order determined by its random number, limited
    /// ones last.
    pub fn shuffled_engines(&self, needs: RequestNeeds<'_>, now: Instant) -> Vec<UpstreamId> {
        let usable = self.usable(needs, now);
        let mut engines: Vec<&Upstream> = usable.collect();
        engines.sort_by_cached_key(|engine| {
            let random = hash::mixed(needs.random, &engine.entry.id);
            (engine.is_last_resort(needs.random, now), random)
        });
        let ids = engines.iter().map(|engine| engine.entry.id.clone());
        ids.collect()
    }
}
