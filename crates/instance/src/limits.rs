//! Keeping upstreams in need to what they say that they take, over all instances.
//!
//! What upstreams say is told to all ([`crate::words`]). Whoever would send a request to a limited upstream asks the holder, which
//! counts. Without an answer an instance has a small share, by what it knows of the fleet's size.

use crate::keeper::{self, TermKeeper};
use crate::shared::Shared;
use passway_serving::limits::{self, FallbackLimits, NO_OVERAGE};
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::permits::{UseAsk, UseTold, UseVerdict};
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

/// Whether a request may go to an upstream in need.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Turn {
    /// Now.
    Now,
    /// Not before this time has passed.
    After(Duration),
    /// Nobody counts, and this instance's share is spent.
    Unknown,
}

/// This instance's part in keeping upstreams to their limits.
#[derive(Debug, Default)]
pub struct Limits {
    counter: TermKeeper,
    shares: Mutex<FallbackLimits>,
}

impl Limits {
    /// Whether a request may go to an upstream that takes so many a second.
    pub fn ask(&self, shared: &Shared, upstream: &UpstreamId, per_s: f64) -> Turn {
        let ask = UseAsk {
            id: rand::random(),
            upstream: upstream.to_string(),
            cost: 1.0,
            rate_per_s: per_s,
            ..UseAsk::default()
        };
        match shared.keeper.ask(shared, &ask) {
            Ok(told) if told.verdict() == UseVerdict::Granted => Turn::Now,
            Ok(told) => Turn::After(Duration::from_millis(told.retry_after_ms)),
            Err(_) => self.share(shared, upstream, per_s),
        }
    }

    fn share(&self, shared: &Shared, upstream: &UpstreamId, per_s: f64) -> Turn {
        let instances = shared.instances();
        let mut kept = self.shares.lock().unwrap_or_else(PoisonError::into_inner);
        if kept.try_take(upstream, per_s, instances, rand::random(), clock::now()) {
            Turn::Now
        } else {
            Turn::Unknown
        }
    }

    /// Answers an instance's question, in a term of this instance.
    pub fn rule(&self, shared: &Shared, fence: Fence, from: SocketAddr, ask: &UseAsk) -> UseTold {
        let upstream = UpstreamId::from(ask.upstream.as_str());
        // A word that one of the two has not heard yet is the newer one; which, is not known here.
        let known = shared.upstreams().limit_per_s(&upstream, clock::now());
        let per_s = known.map_or(ask.rate_per_s, |known| known.min(ask.rate_per_s));
        let allotment = limits::allotment(per_s);
        let ruling = self.counter.of_term(fence, NO_OVERAGE, |keeper| {
            keeper.decide(&upstream, allotment, from, ask.cost, clock::now())
        });
        keeper::told(ask, ruling)
    }

    /// Forgets what was counted for upstreams that name no limit any more.
    pub fn retain(&self, shared: &Shared) {
        let upstreams = shared.upstreams();
        let now = clock::now();
        let is_limited = |id: &str| upstreams.limit_per_s(id, now).is_some();
        self.counter.of_any_term(|keeper| keeper.retain(is_limited));
        let mut kept = self.shares.lock().unwrap_or_else(PoisonError::into_inner);
        kept.retain(is_limited);
    }
}
