//! The configuration: how a revision comes into force here and reaches others.

use super::Node;
use super::cell_shell::CellShell;
use passway_config::revision::KeptRevision;
use passway_decide::cell::Event;
use passway_types::prelude::*;
use passway_wire::Body;
use passway_wire::message::{Config, ConfigWanted};
use std::net::SocketAddr;

/// Another peer is asked for a revision after this time.
const CONFIG_REQUEST_TIMEOUT: Duration = Duration::from_millis(700);
/// Age of the confirmation at which a holder reads the configuration.
pub(super) const HOLDER_MAX_CONFIG_AGE: Duration = Duration::from_secs(1);
/// Age at which the first controller that leads nothing reads it; more for the next.
const STANDBY_MAX_CONFIG_AGE: Duration = Duration::from_secs(2);

impl Node {
    /// The revision in force; 0 if there is none yet.
    pub(super) fn revision(&self) -> Revision {
        self.current_revision
            .as_ref()
            .map_or(0, |revision| revision.stored.revision)
    }

    /// Tells the reader of the configuration how old it may become here.
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

    /// Puts a revision in force if it is newer than the one that is.
    pub(super) fn adopt_revision(&mut self, now: Instant, encoded_revision: Arc<KeptRevision>) {
        let stored = &encoded_revision.stored;
        if stored.revision <= self.revision() {
            return;
        }
        let catalog = match stored.catalog() {
            Ok(catalog) => Arc::new(catalog),
            Err(faults) => {
                log::error!(revision = stored.revision, faults:% = faults;
                    "a stored revision does not pass its checks");
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

    /// Asks for a revision that this controller lacks, at one peer at a time.
    pub(super) fn request_config(&mut self, now: Instant, peer: SocketAddr, revision: Revision) {
        let have_revision = self.revision();
        if revision <= have_revision
            || self
                .config_requested_at
                .is_some_and(|at| now < at + CONFIG_REQUEST_TIMEOUT)
        {
            return;
        }
        self.config_requested_at = Some(now);
        self.peers
            .send(peer, Body::ConfigWanted(ConfigWanted { have_revision }));
    }

    /// The configuration in force as a message.
    pub(super) fn config_message(&self) -> Option<Body> {
        let encoded = self.current_revision.as_ref()?.encoded.to_vec();
        Some(Body::Config(Config {
            encoded: encoded.into(),
        }))
    }
}
