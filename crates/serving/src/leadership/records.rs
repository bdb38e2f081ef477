//! What the store says of the right to order, and what is asked of it.

use crate::ports::{LeaseId, StoreRevision};
use passway_types::prelude::*;
use std::net::SocketAddr;

/// Who holds the right, as the store says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The instance.
    pub instance: InstanceId,
    /// Where it listens for other instances.
    pub address: SocketAddr,
    /// The store's revision of the key.
    pub fence: Fence,
}

/// An instance that may take the key at once.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Candidate {
    /// Its name.
    pub instance: InstanceId,
    /// Where it listens for other instances.
    pub address: SocketAddr,
}

/// Who has held the right lately, as the store says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecentHolders {
    /// The instances, the last one last.
    pub names: Vec<InstanceId>,
    /// Who may take the key at once; anybody if it is empty.
    pub candidates: Vec<Candidate>,
    /// The store's revision of the key; 0 if it was never written.
    pub revision: StoreRevision,
}

/// What is fixed about an instance's leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeadershipSettings {
    /// Shortest time-to-live of the lease.
    pub min_lease_ttl: Duration,
    /// Time in which two holders must not both order at one engine.
    pub holder_gap: Duration,
    /// Whether others had better hold the right, since this instance has little processor.
    pub has_low_cpu: bool,
}

/// What to do next about the right.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing before this moment, unless something is heard.
    Wait(Instant),
    /// Ask for a lease.
    GrantLease,
    /// Write the holder's key under the lease, if it is not there.
    TakeKey(LeaseId),
    /// Renew the lease.
    RenewLease(LeaseId),
    /// Write the list of holders with the candidates of this term.
    WriteCandidates,
    /// End the lease.
    EndLease(LeaseId),
    /// Nothing any more.
    Stop,
}

/// Why a term ended that was not given back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndCause {
    /// The lease ran out by the holder's own clock.
    Lapsed,
    /// The store had let the lease run out.
    LeaseGone,
    /// Another instance has taken the right.
    Succeeded,
}

/// How a term ended that was not given back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TermEnd {
    /// Why.
    pub cause: EndCause,
    /// Renewals that the store left without a good answer, the last ones in a row.
    pub unanswered_renewals: u32,
    /// Time since the next renewal was due: much, if the process came late to it.
    pub renewal_overdue: Duration,
}
