//! Which upstream a request goes to.

use super::upstream::Upstream;
use super::{ModelRef, UpstreamTable};
use crate::hash::fnv1a;
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
/// How far a hash is shifted down onto itself, so that its upper bits have a part in
/// the multiplication that follows; about half of its bits.
const MIX_SHIFT: u32 = 29;
/// 2^64 divided by the golden ratio: the usual odd factor to mix a hash's bits.
const MIX_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

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
    let hash = fnv1a(drawn, name);
    // The upper bits are mixed best.
    let mixed = (hash ^ (hash >> MIX_SHIFT)).wrapping_mul(MIX_FACTOR);
    f64::from(u32::try_from(mixed >> 32).unwrap_or(0)) / f64::from(u32::MAX)
}

/// What upstreams are compared by, the first field first; the least is chosen.
#[derive(Debug, PartialEq, PartialOrd)]
struct Rank<'a> {
    is_unreachable: bool,
    /// In units of the upstream's slots.
    cost: f64,
    /// Tells equal costs apart.
    id: &'a UpstreamId,
}

impl Upstream {
    fn rank(&self, hall: &DataHall, drawn: u64, now: Instant) -> Rank<'_> {
        let id = &self.entry.id;
        let slots = f64::from(self.entry.slots.max(1));
        Rank {
            is_unreachable: now < self.unreachable_until,
            cost: self.cost(hall, now) + part_of(drawn, id) * DRAW_REQUESTS / slots,
            id,
        }
    }

    fn is_full(&self, now: Instant) -> bool {
        self.in_flight >= self.entry.slots || now < self.full_until
    }

    /// What it costs to send a request there, in units of its slots.
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

impl UpstreamTable {
    /// The upstream for a request.
    ///
    /// `tried` are upstreams that the request has been at, which it does not go to again.
    /// `drawn` is a number of the request's own, so that instances that all see little
    /// load do not all choose the same upstream.
    pub fn choose(
        &self,
        service: &ServiceName,
        model_ref: Option<&ModelRef>,
        tried: &[UpstreamId],
        drawn: u64,
        now: Instant,
    ) -> Choice {
        let mut full = false;
        let mut best: Option<(Rank<'_>, &Upstream)> = None;
        for upstream in self.upstreams.values() {
            let entry = &upstream.entry;
            let is_usable = entry.service == *service
                && !entry.draining
                && !tried.contains(&entry.id)
                && !upstream.is_gone(now)
                && model_ref.is_none_or(|model_ref| upstream.has(model_ref, now));
            if !is_usable {
                continue;
            }
            if upstream.is_full(now) {
                full = true;
                continue;
            }
            let rank = upstream.rank(&self.hall, drawn, now);
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
}
