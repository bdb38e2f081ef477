//! Facts that controllers pass on to each other: confirmed revisions and holders of cells.
//! Also records the latest contacts with the key-value service and with peers.

use passway_types::prelude::*;
use passway_wire::message::{CellHolder, Heartbeat};
use std::collections::BTreeMap;

/// The service or a peer counts as reachable for this long after its last message.
const REACHABLE_WINDOW: Duration = Duration::from_secs(5);

/// The confirmed revision, the known holders and the latest contacts.
#[derive(Debug)]
pub struct Gossip {
    /// Time of the last answer of the key-value service.
    service_contact_at: Option<Instant>,
    /// Time of the last heartbeat of any peer.
    peer_contact_at: Option<Instant>,
    /// Time at which any controller last confirmed `confirmed_revision` at the service.
    confirmed_at: Option<Instant>,
    /// The newest revision that a controller has confirmed at the service.
    confirmed_revision: Revision,
    holders: BTreeMap<String, CellHolder>,
    holders_version: u64,
    started_at: Instant,
    has_peers: bool,
}

impl Gossip {
    /// Creates the state of a controller that has received nothing yet.
    pub fn new(now: Instant, has_peers: bool) -> Self {
        Self {
            service_contact_at: None,
            peer_contact_at: None,
            confirmed_at: None,
            confirmed_revision: 0,
            holders: BTreeMap::new(),
            holders_version: 0,
            started_at: now,
            has_peers,
        }
    }

    /// Records that the key-value service answered.
    pub fn service_reached(&mut self, now: Instant) {
        self.service_contact_at = Some(now);
    }

    /// Records that `revision` was confirmed at the service at time `at`.
    pub fn confirm(&mut self, revision: Revision, at: Instant) {
        if revision > self.confirmed_revision {
            self.confirmed_revision = revision;
            self.confirmed_at = Some(at);
        } else if revision == self.confirmed_revision {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Records a peer's heartbeat. Returns whether it named a new holder of a cell.
    pub fn receive_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> bool {
        self.peer_contact_at = Some(now);
        if heartbeat.config_revision > 0
            && let Some(at) = now.checked_sub(Duration::from_millis(heartbeat.config_age_ms))
        {
            self.confirm(heartbeat.config_revision, at);
        }
        let learned = heartbeat
            .cells
            .iter()
            .map(|holder| self.learn_holder(holder.clone()));
        learned.fold(false, |any_new, is_new| any_new | is_new)
    }

    /// Records the holder of a cell if its epoch is higher than the known one. Returns whether
    /// it is.
    pub fn learn_holder(&mut self, holder: CellHolder) -> bool {
        let known = self.holders.get(&holder.cell);
        let is_new = known.is_none_or(|known| holder.epoch > known.epoch);
        if is_new {
            self.holders.insert(holder.cell.clone(), holder);
            self.holders_version += 1;
        }
        is_new
    }

    /// Returns the version of the holders, which grows with each new holder.
    pub fn holders_version(&self) -> u64 {
        self.holders_version
    }

    /// Returns the known holder of each cell.
    pub fn holders(&self) -> Vec<CellHolder> {
        self.holders.values().cloned().collect()
    }

    /// Returns the time since `revision` was last confirmed, or the time since the start if
    /// it was never confirmed or a newer revision was.
    pub fn config_age(&self, now: Instant, revision: Revision) -> Duration {
        let confirmed_at = self
            .confirmed_at
            .filter(|_| self.confirmed_revision <= revision);
        now.saturating_duration_since(confirmed_at.unwrap_or(self.started_at))
    }

    /// Whether no revision has been confirmed since the start.
    pub fn is_unconfirmed(&self) -> bool {
        self.confirmed_at.is_none()
    }

    /// Whether neither the service nor a peer is reachable. A controller without peers is
    /// never isolated, because no other controller can have a newer configuration.
    pub fn is_isolated(&self, now: Instant) -> bool {
        let is_recent = |contact_at: Option<Instant>| {
            contact_at.is_some_and(|at| now.saturating_duration_since(at) < REACHABLE_WINDOW)
        };
        self.has_peers && !is_recent(self.service_contact_at) && !is_recent(self.peer_contact_at)
    }
}
