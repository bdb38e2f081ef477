//! What instances have been told of placements, so that only differences travel.
//!
//! Everything that stands on 256 engines has some 19 kB. Sent to each of 295 instances that
//! connect to a new holder, that is 5.6 MB, 2.2 s of a link of 20 Mbit/s, behind which the
//! holder's own calls to the store wait. An instance that connects tells digests instead,
//! eight bytes an engine, and hears of the engines that differ.

use super::Placement;
use crate::hash::fnv1a;
use crate::upstreams::ResidentModel;
use passway_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// What an instance believes of one engine, as a number: the upper half tells the engine, the
/// lower half what stands there. Two beliefs that differ look alike once in 2^32.
pub type PlacementDigest = u64;

/// Kinds of parts that a digest is made of, so that a name counts otherwise in each.
const ENGINE_SEED: u64 = 1;
const MODEL_SEED: u64 = 2;
const ADAPTER_SEED: u64 = 3;
const CLOSING_SEED: u64 = 4;

/// The digest of what stands on an engine, in whatever order it is named.
pub fn digest(engine: &str, models: &[ResidentModel], closing: &[ModelName]) -> PlacementDigest {
    let residents = models.iter().map(|model| {
        let name = fnv1a(MODEL_SEED, &model.name);
        let adapters = model.adapters.iter();
        adapters
            .map(|adapter| fnv1a(name ^ ADAPTER_SEED, adapter))
            .fold(name, u64::wrapping_add)
    });
    let closing = closing.iter().map(|model| fnv1a(CLOSING_SEED, model));
    let stands = residents.chain(closing).fold(0, u64::wrapping_add);
    (fnv1a(ENGINE_SEED, engine) << 32) | (stands >> 32)
}

impl Placement {
    /// The digest of this placement.
    pub fn digest(&self) -> PlacementDigest {
        digest(&self.engine, &self.models, &self.closing)
    }
}

/// Sums of digests, one for each of the parts into which engines are drawn. Two instances that know the same of an
/// engine have like sums; so a thousand that connect at once tell some kilobytes each instead of a digest for each of
/// ten thousand engines, and hear of the engines of those parts that differ.
pub type PlacementSums = Vec<u64>;

/// Parts into which engines are drawn.
const PARTS: usize = 1_024;
/// Spreads what differs in a digest over all bits of a sum.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

fn part_of(digest: PlacementDigest) -> usize {
    // The upper half tells the engine.
    usize::try_from(digest >> 32).unwrap_or(0) % PARTS
}

fn term_of(digest: PlacementDigest) -> u64 {
    digest.wrapping_mul(SPREAD)
}

/// The sums of some digests.
pub fn sums(digests: impl Iterator<Item = PlacementDigest>) -> PlacementSums {
    let mut sums = vec![0_u64; PARTS];
    for digest in digests {
        let sum = &mut sums[part_of(digest)];
        *sum = sum.wrapping_add(term_of(digest));
    }
    sums
}

/// The placements that all instances know, by their digests.
#[derive(Debug, Default)]
pub(super) struct Announced {
    digests: BTreeMap<UpstreamId, PlacementDigest>,
    /// The sums of the digests.
    sums: PlacementSums,
}

impl Announced {
    /// A term begins: whoever connects compares what it knows with these.
    pub(super) fn begin(&mut self, placements: impl Iterator<Item = Placement>) {
        let digests = placements.map(|p| (p.engine.clone(), p.digest()));
        self.digests = digests.collect();
        self.sums = sums(self.digests.values().copied());
    }

    /// Takes one digest for another in the sums.
    fn replace(&mut self, before: Option<PlacementDigest>, after: Option<PlacementDigest>) {
        self.sums.resize(PARTS, 0);
        if let Some(digest) = before {
            let sum = &mut self.sums[part_of(digest)];
            *sum = sum.wrapping_sub(term_of(digest));
        }
        if let Some(digest) = after {
            let sum = &mut self.sums[part_of(digest)];
            *sum = sum.wrapping_add(term_of(digest));
        }
    }

    /// Whether a placement is news; it counts as told then.
    pub(super) fn is_news(&mut self, placement: &Placement) -> bool {
        let digest = placement.digest();
        let before = self.digests.insert(placement.engine.clone(), digest);
        if before == Some(digest) {
            return false;
        }
        self.replace(before, Some(digest));
        true
    }

    /// Engines of which an instance that knows some digests was told something else. To work all of them out
    /// anew for each of 300 instances that connect at once would take a holder of 3,000 engines more than a
    /// second of a core.
    pub(super) fn unlike<'a>(
        &'a self,
        known: &'a BTreeSet<PlacementDigest>,
    ) -> impl Iterator<Item = &'a UpstreamId> {
        let digests = self.digests.iter();
        let unlike = digests.filter(|(_, digest)| !known.contains(*digest));
        unlike.map(|(id, _)| id)
    }

    /// The same by sums, and with engines beside those that differ; none if all sums are alike.
    pub(super) fn unlike_sums<'a>(
        &'a self,
        known: &'a [u64],
    ) -> impl Iterator<Item = &'a UpstreamId> {
        let is_like = self.sums == known;
        let digests = self.digests.iter().filter(move |_| !is_like);
        let unlike = digests.filter(|(_, digest)| {
            let part = part_of(**digest);
            known.get(part) != self.sums.get(part)
        });
        unlike.map(|(id, _)| id)
    }

    /// Only these engines are there.
    pub(super) fn retain(&mut self, ids: &BTreeSet<UpstreamId>) {
        let gone: Vec<_> = self
            .digests
            .extract_if(.., |id, _| !ids.contains(id))
            .collect();
        for (_, digest) in gone {
            self.replace(Some(digest), None);
        }
    }
}
