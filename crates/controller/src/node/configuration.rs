//! Puts revisions of the configuration in force and exchanges them with peers and routers.

use super::Node;
use super::cell_shell::CellShell;
use passway_config::revision::EncodedRevision;
use passway_decide::cell::Event;
use passway_types::prelude::*;
use passway_wire::Body;
use passway_wire::message::{Config, ConfigRequest};
use std::net::SocketAddr;

/// Minimum interval between two requests for a revision, each to a peer that has a newer one.
const CONFIG_REQUEST_INTERVAL: Duration = Duration::from_millis(700);
/// Age of the latest confirmation from which on a holder reads the configuration.
pub(super) const HOLDER_MAX_CONFIG_AGE: Duration = Duration::from_secs(1);
/// The same age for the first controller that leads no cell; it grows with the rank.
const STANDBY_MAX_CONFIG_AGE: Duration = Duration::from_secs(2);

impl Node {
    /// Returns the revision in force; 0 if there is none yet.
    pub(super) fn revision(&self) -> Revision {
        self.current_revision
            .as_ref()
            .map_or(0, |revision| revision.stored.revision)
    }

    /// Sets the age of the latest confirmation and its maximum for the reader thread.
    pub(super) fn update_read_schedule(&self, now: Instant) {
        let is_leading = self.cells.values().any(CellShell::is_active);
        let max_age = if is_leading {
            HOLDER_MAX_CONFIG_AGE
        } else {
            STANDBY_MAX_CONFIG_AGE * (self.rank + 1)
        };
        let unconfirmed = self.gossip.is_unconfirmed();
        let age = self.gossip.config_age(now, self.revision());
        self.read_schedule
            .set(if unconfirmed { Duration::MAX } else { age }, max_age);
    }

    /// Puts a revision in force if it is newer than the current one and passes its checks.
    pub(super) fn adopt_revision(&mut self, now: Instant, encoded_revision: Arc<EncodedRevision>) {
        let stored = &encoded_revision.stored;
        if stored.revision <= self.revision() {
            return;
        }
        let catalog = match stored.catalog() {
            Ok(catalog) => Arc::new(catalog),
            Err(faults) => {
                log::error!(revision = stored.revision, faults:% = faults;
                    "a stored revision fails its checks");
                return;
            }
        };
        log::info!(revision = stored.revision, author = stored.author.as_str(); "configuration in force");
        self.current_revision = Some(encoded_revision);
        self.catalog = catalog.clone();
        for cell in &catalog.cells {
            if !self.cells.contains_key(cell) {
                let shell = CellShell::new(
                    now,
                    cell.clone(),
                    &self.identity,
                    catalog.clone(),
                    &self.services,
                );
                self.cells.insert(cell.clone(), shell);
            }
        }
        let cells: Vec<CellName> = self.cells.keys().cloned().collect();
        for cell in cells {
            if let Some(shell) = self.cells.get_mut(&cell) {
                shell.use_catalog(&catalog);
            }
            self.handle_cell_event(now, &cell, Event::Catalog(catalog.clone()));
        }
        self.send_heartbeats(now);
    }

    /// Requests a newer revision from `peer`, unless the latest request to any peer is younger
    /// than [`CONFIG_REQUEST_INTERVAL`].
    pub(super) fn request_config(&mut self, now: Instant, peer: SocketAddr, revision: Revision) {
        let known_revision = self.revision();
        if revision <= known_revision
            || self
                .config_requested_at
                .is_some_and(|at| now < at + CONFIG_REQUEST_INTERVAL)
        {
            return;
        }
        self.config_requested_at = Some(now);
        self.peers
            .send(peer, Body::ConfigRequest(ConfigRequest { known_revision }));
    }

    /// Returns the configuration in force as a message; `None` if there is none yet.
    pub(super) fn config_message(&self) -> Option<Body> {
        let encoded = self.current_revision.as_ref()?.encoded.to_vec();
        Some(Body::Config(Config {
            encoded: encoded.into(),
        }))
    }
}
