//! What the store holds about the leadership, and the calls that are made to it.

use super::Term;
use crate::ports::{LeaseId, StoreEra, StoreRevision};
use passway_types::prelude::*;
use std::net::SocketAddr;

/// The holder of the leadership, as stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The holder's name.
    pub instance: InstanceId,
    /// Where the holder listens for other instances.
    pub address: SocketAddr,
    /// The store's revision of the key with its era, used as the fencing number.
    pub fence: Fence,
}

/// An instance that may take the key at once.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Candidate {
    /// The candidate's name.
    pub instance: InstanceId,
    /// Where the candidate listens for other instances.
    pub address: SocketAddr,
}

/// The recent holders and the current candidates, as stored.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecentHolders {
    /// The holders, the most recent one last.
    pub names: Vec<InstanceId>,
    /// The instances that may take the key at once; any instance if this is empty.
    pub candidates: Vec<Candidate>,
    /// The store's revision of this key; its number is 0 if the key does not exist.
    pub revision: StoreRevision,
}

/// What a listing of the store shows of the leadership.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListedLeadership {
    /// The era of the listing.
    pub era: StoreEra,
    /// The holder.
    pub holder: Option<Holder>,
    /// The revision of the holder's key and the lease with which the key expires.
    pub key: Option<(StoreRevision, LeaseId)>,
    /// The recent holders and the candidates.
    pub recent: RecentHolders,
}

impl ListedLeadership {
    /// Whether the listed key is the one that an instance wrote for its term, in whatever era.
    pub(super) fn shows(&self, instance: &InstanceId, term: &Term) -> bool {
        let is_own = self
            .holder
            .as_ref()
            .is_some_and(|holder| holder.instance == *instance);
        let is_same_key = self.key.is_some_and(|(revision, lease)| {
            revision.number() == term.key_revision.number() && lease.number == term.lease.number
        });
        is_own && is_same_key
    }
}

/// Settings of an instance's leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeadershipSettings {
    /// Minimum time-to-live of the lease.
    pub min_lease_ttl: Duration,
    /// Time in which two holders must not both give orders to one engine.
    pub holder_gap: Duration,
    /// Whether other instances should be preferred as holders because this one has little CPU.
    pub has_low_cpu: bool,
}

/// Whether an instance reaches the engines that a holder gives orders to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineAccess {
    /// It does, or no other instance is known to.
    Reachable,
    /// It does not, while another instance does.
    CutOff,
}

/// The next action for the leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Do nothing before this time unless an update arrives.
    Wait(Instant),
    /// Request a lease.
    GrantLease,
    /// Write the holder's key under the lease if the key is absent.
    TakeKey(LeaseId),
    /// Renew the lease.
    RenewLease(LeaseId),
    /// Write the list of recent holders with the candidates of this term.
    WriteCandidates,
    /// End the lease.
    EndLease(LeaseId),
    /// Stop for good.
    Stop,
}

/// Why a term ended that was not released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndCause {
    /// The lease expired by the holder's own clock.
    Lapsed,
    /// The store had already expired the lease.
    LeaseGone,
    /// Another instance has taken the leadership.
    Succeeded,
    /// This instance reached no engine while another instance did.
    CutOff,
    /// The store has returned from an older copy without the key of this term.
    StoreReturned,
}

/// How a term ended that was not released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TermEnd {
    /// Why the term ended.
    pub cause: EndCause,
    /// Consecutive renewals at the end of the term that the store did not answer or refused.
    pub unanswered_renewals: u32,
    /// Time since the next renewal was due. A large value means that the process renewed late.
    pub renewal_overdue: Duration,
}
