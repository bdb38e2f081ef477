//! What this controller has heard from others, and when.

use passway_types::prelude::*;
use passway_wire::message::{CellHolder, Heartbeat};
use std::collections::BTreeMap;

/// The service or a peer counts as reached for this long after its last word.
const REACHABLE_WINDOW: Duration = Duration::from_secs(5);

/// Ages, holders and contacts.
#[derive(Debug)]
pub struct Gossip {
    /// The last contact with the key-value service.
    service_contact_at: Option<Instant>,
    /// The last word of a peer.
    peer_contact_at: Option<Instant>,
    /// When the current revision was last confirmed at the service by anybody.
    confirmed_at: Option<Instant>,
    /// The confirmed revision.
    confirmed_revision: Revision,
    holders: BTreeMap<String, CellHolder>,
    holders_version: u64,
    started_at: Instant,
    has_peers: bool,
}

impl Gossip {
    /// Nothing heard yet.
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

    /// The key-value service answered.
    pub fn service_reached(&mut self, now: Instant) {
        self.service_contact_at = Some(now);
    }

    /// A revision was confirmed at the service at this time.
    pub fn confirm(&mut self, revision: Revision, at: Instant) {
        if revision > self.confirmed_revision {
            self.confirmed_revision = revision;
            self.confirmed_at = Some(at);
        } else if revision == self.confirmed_revision {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Takes in a peer's heartbeat; returns whether a holder is new.
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

    /// Learns of a holder; the highest epoch wins.
    pub fn learn_holder(&mut self, holder: CellHolder) -> bool {
        let known = self.holders.get(&holder.cell);
        let is_new = known.is_none_or(|known| holder.epoch > known.epoch);
        if is_new {
            self.holders.insert(holder.cell.clone(), holder);
            self.holders_version += 1;
        }
        is_new
    }

    /// Grows whenever a holder is learned.
    pub fn holders_version(&self) -> u64 {
        self.holders_version
    }

    /// The holders known.
    pub fn holders(&self) -> Vec<CellHolder> {
        self.holders.values().cloned().collect()
    }

    /// Time since `revision` was confirmed; since the start if it never was.
    pub fn config_age(&self, now: Instant, revision: Revision) -> Duration {
        let confirmed_at = self
            .confirmed_at
            .filter(|_| self.confirmed_revision <= revision);
        now.saturating_duration_since(confirmed_at.unwrap_or(self.started_at))
    }

    /// Whether nothing was ever confirmed.
    pub fn is_unconfirmed(&self) -> bool {
        self.confirmed_at.is_none()
    }

    /// Whether neither the service nor a peer is reached. A controller without
    /// peers has nobody to fall behind, so it is never isolated.
    pub fn is_isolated(&self, now: Instant) -> bool {
        let is_recent = |contact_at: Option<Instant>| {
            contact_at.is_some_and(|at| now.saturating_duration_since(at) < REACHABLE_WINDOW)
        };
        self.has_peers && !is_recent(self.service_contact_at) && !is_recent(self.peer_contact_at)
    }
}
