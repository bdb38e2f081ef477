//! Whether this instance reaches upstreams at all, by the connections that it establishes.
//!
//! An instance may lose its paths to all upstreams while callers, the store and the other instances
//! still reach it. One upstream that is unreachable or silent is no sign of that, nor are several
//! as long as a new connection to any upstream succeeds. Bytes on open connections prove nothing,
//! because such connections may live on while new ones are refused.
//!
//! This module uses no I/O and no clock.

use passway_types::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Number of upstreams that must be unreachable at the same time before the paths count as lost,
/// unless fewer are known.
const MIN_UNREACHABLE: usize = 2;

/// Which upstreams this instance has connected to, and when.
#[derive(Debug, Default)]
pub struct UpstreamPaths {
    /// When a connection to any upstream was last established.
    connected_at: Option<Instant>,
    /// Upstreams to which an attempt to connect has failed since then, with the first failure.
    unreachable: BTreeMap<UpstreamId, Instant>,
}

/// How this instance reaches upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PathState {
    /// It connects to upstreams, as far as is known.
    #[default]
    Working,
    /// It connects to no upstream, and nothing shows that other instances do.
    Lost,
    /// It connects to no upstream, while another instance does.
    CutOff,
}

impl PathState {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Working => "working",
            Self::Lost => "lost",
            Self::CutOff => "cut off",
        }
    }
}

impl UpstreamPaths {
    /// Records that a connection to an upstream was established.
    pub fn record_connected(&mut self, now: Instant) {
        self.connected_at = Some(now);
        self.unreachable.clear();
    }

    /// Records that an attempt to connect to an upstream has failed.
    pub fn record_unreachable(&mut self, id: &UpstreamId, now: Instant) {
        self.unreachable.entry(id.clone()).or_insert(now);
    }

    /// When a connection to any upstream was last established.
    pub fn connected_at(&self) -> Option<Instant> {
        self.connected_at
    }

    /// Since when no attempt to connect has succeeded, if enough of the `known` upstreams are
    /// unreachable for the paths to count as lost.
    pub fn lost_since(&self, known: usize) -> Option<Instant> {
        let is_lost = self.unreachable.len() >= MIN_UNREACHABLE.min(known.max(1));
        let first = self.unreachable.values().min().copied();
        first.filter(|_| is_lost)
    }
}

/// Another instance that reaches upstreams and takes requests of this one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerOffer {
    /// The instance.
    pub instance: InstanceId,
    /// Where it listens for other instances.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: DataHall,
    /// Number of requests in progress there.
    pub in_progress: u32,
}

/// Additional cost of a peer in another data hall, in requests in progress: bytes between halls
/// have a price.
const OTHER_HALL_COST: u32 = 8;

/// The peer for a request among `offers`: the least loaded of two that are drawn at random, so
/// that instances with the same old information do not all choose the same one.
pub fn choose_peer<'a>(
    offers: &'a [PeerOffer],
    own_hall: &DataHall,
    own_requests: impl Fn(&InstanceId) -> u32,
    random: u64,
) -> Option<&'a PeerOffer> {
    let cost = |offer: &PeerOffer| {
        let distance = if offer.hall == *own_hall {
            0
        } else {
            OTHER_HALL_COST
        };
        offer.in_progress + own_requests(&offer.instance) + distance
    };
    let draw = |salt: u64| {
        let rank = |offer: &&PeerOffer| crate::hash::mixed(random ^ salt, &offer.instance);
        offers.iter().min_by_key(rank)
    };
    [draw(0)?, draw(u64::MAX)?]
        .into_iter()
        .min_by_key(|offer| cost(offer))
}
