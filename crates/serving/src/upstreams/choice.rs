//! Which upstream a request goes to.

use super::upstream::Upstream;
use super::{ModelRef, UpstreamTable};
use crate::halls::AllowedRegions;
use crate::hash;
use passway_types::prelude::*;
use std::net::SocketAddr;

/// What a failure rate of one costs in the choice, in units of an upstream's slots.
const FAILURE_COST: f64 = 3.0;
/// What another data hall costs in the choice, in units of an upstream's slots: little,
/// since an instance sees only its own load and all of a hall would choose alike.
const OTHER_HALL_COST: f64 = 0.01;
/// The draw that tells upstreams of like cost apart is worth up to so many requests.
const DRAW_REQUESTS: f64 = 1.0;
/// What an upstream costs that has been silent, in units of its slots.
const SILENCE_COST: f64 = 3.0;
/// What an upstream costs that is slow from its start, in units of its slots.
const COLD_COST: f64 = 0.5;
/// One in so many requests takes upstreams in need for any other, so that somebody hears when they
/// are in need no more although others carry what they did.
const REQUESTS_PER_TRIAL: u64 = 50;
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

/// A part of one, fixed by a number and a name.
fn part_of(drawn: u64, name: &str) -> f64 {
    let upper = hash::mixed(drawn, name) >> 32;
    f64::from(u32::try_from(upper).unwrap_or(0)) / f64::from(u32::MAX)
}

/// What upstreams are compared by, the first field first; the least is chosen.
#[derive(Debug, PartialEq, PartialOrd)]
struct Rank<'a> {
    is_unreachable: bool,
    /// What an upstream in need takes is left to requests that nobody else can serve.
    is_last: bool,
    /// In units of the upstream's slots.
    cost: f64,
    /// Tells equal costs apart.
    id: &'a UpstreamId,
}

impl Upstream {
    fn rank(&self, load: u32, hall: &DataHall, drawn: u64, now: Instant) -> Rank<'_> {
        let id = &self.entry.id;
        let slots = f64::from(self.entry.slots.max(1));
        Rank {
            is_unreachable: now < self.unreachable_until,
            is_last: self.goes_last(drawn, now),
            cost: self.cost(load, hall, now) + part_of(drawn, id) * DRAW_REQUESTS / slots,
            id,
        }
    }

    /// Whether it takes new requests and has what is needed, as far as is known.
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

    /// Whether a request with a number of its own goes here only if it can go nowhere else.
    fn goes_last(&self, drawn: u64, now: Instant) -> bool {
        self.limit_per_s(now).is_some()
            && !hash::mixed(!drawn, &self.entry.id).is_multiple_of(REQUESTS_PER_TRIAL)
    }

    fn is_full(&self, load: u32, now: Instant) -> bool {
        load >= self.entry.slots || now < self.full_until
    }

    /// What it costs to send a request there, in units of its slots.
    fn cost(&self, load: u32, hall: &DataHall, now: Instant) -> f64 {
        let load = f64::from(load) / f64::from(self.entry.slots.max(1));
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
        let cold = if self.is_cold(now) { COLD_COST } else { 0.0 };
        load + away + silence + cold + FAILURE_COST * self.failure_rate(now)
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
    /// The regions in which it may be served.
    pub allowed: &'a AllowedRegions,
    /// A number of the request's own, so that instances that all see little load do not all
    /// choose the same upstream.
    pub random: u64,
}

impl UpstreamTable {
    /// The upstream for a request by what this instance has sent itself.
    ///
    /// `tried` are upstreams that the request has been at, which it does not go to again.
    /// `drawn` is as in [`RequestNeeds`].
    pub fn choose(
        &self,
        service: &ServiceName,
        model_ref: Option<&ModelRef>,
        tried: &[UpstreamId],
        random: u64,
        now: Instant,
    ) -> Choice {
        let wanted = RequestNeeds {
            service,
            model_ref,
            hall: &self.hall,
            allowed: &AllowedRegions::ANY,
            random,
        };
        let is_open = |id: &UpstreamId| !tried.contains(id);
        self.choose_by(wanted, is_open, None, now)
    }

    /// The upstream for a request among those that are `open` to it. The load is what `runs`
    /// tells, or what this instance has sent itself.
    pub fn choose_by(
        &self,
        wanted: RequestNeeds<'_>,
        is_open: impl Fn(&UpstreamId) -> bool,
        runs: Option<&dyn Fn(&UpstreamId) -> u32>,
        now: Instant,
    ) -> Choice {
        let mut full = false;
        let mut best: Option<(Rank<'_>, &Upstream)> = None;
        for upstream in self.usable(wanted, now) {
            if !is_open(&upstream.entry.id) {
                continue;
            }
            let load = runs.map_or(upstream.in_flight, |runs| runs(&upstream.entry.id));
            if upstream.is_full(load, now) {
                full = true;
                continue;
            }
            let rank = upstream.rank(load, wanted.hall, wanted.random, now);
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                best = Some((rank, upstream));
            }
        }
        match best {
            Some((_, upstream)) => Choice::Send {
                id: upstream.entry.id.clone(),
                address: upstream.entry.address,
            },
            None if full => Choice::Full,
            None => Choice::Absent,
        }
    }

    /// Upstreams that take new requests and have what is needed, as far as is known.
    fn usable<'a>(
        &'a self,
        wanted: RequestNeeds<'_>,
        now: Instant,
    ) -> impl Iterator<Item = &'a Upstream> {
        let all = self.upstreams.values();
        all.filter(move |upstream| self.is_usable(upstream, wanted, now))
    }

    /// Whether an upstream takes new requests, has what is needed and stands where the request may go, as far
    /// as is known.
    pub(super) fn is_usable(
        &self,
        upstream: &Upstream,
        wanted: RequestNeeds<'_>,
        now: Instant,
    ) -> bool {
        upstream.is_usable(wanted.service, wanted.model_ref, now)
            && self.halls.admits(&upstream.entry.hall, wanted.allowed)
    }

    /// Engines that could take a request, in an order drawn for it, those in need last.
    pub fn shuffled_engines(&self, wanted: RequestNeeds<'_>, now: Instant) -> Vec<UpstreamId> {
        let usable = self.usable(wanted, now);
        let mut engines: Vec<&Upstream> = usable.collect();
        engines.sort_by_cached_key(|engine| {
            let drawn = hash::mixed(wanted.random, &engine.entry.id);
            (engine.goes_last(wanted.random, now), drawn)
        });
        let ids = engines.iter().map(|engine| engine.entry.id.clone());
        ids.collect()
    }
}
