//! Which instance dispatches for an engine.

use crate::hash;
use crate::leadership::Candidate;
use passway_types::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;

/// How long a dispatcher that did not answer is skipped.
const UNRESPONSIVE_DURATION: Duration = Duration::from_millis(500);

/// The list of dispatchers and their availability.
#[derive(Debug, Default)]
pub struct Dispatchers {
    list: Vec<Candidate>,
    unresponsive_until: HashMap<SocketAddr, Instant>,
}

impl Dispatchers {
    /// Replaces the list of dispatchers.
    pub fn set(&mut self, list: Vec<Candidate>) {
        self.list = list;
        self.unresponsive_until.clear();
    }

    /// The list of dispatchers.
    pub fn list(&self) -> &[Candidate] {
        &self.list
    }

    /// Whether the fleet has no dispatchers.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// The dispatcher of an engine, or the next in rank while that one is unresponsive.
    pub fn of_engine(&self, engine: &str, now: Instant) -> Option<SocketAddr> {
        let is_responsive = |candidate: &&Candidate| {
            let unresponsive_until = self.unresponsive_until.get(&candidate.address);
            unresponsive_until.is_none_or(|until| now >= *until)
        };
        let responsive = self.list.iter().filter(is_responsive);
        let dispatcher = responsive
            .max_by_key(|candidate| hash::mixed(hash::fnv1a(0, engine), &candidate.instance));
        dispatcher.map(|candidate| candidate.address)
    }

    /// Records that a dispatcher has not answered.
    pub fn mark_unresponsive(&mut self, address: SocketAddr, now: Instant) {
        self.unresponsive_until
            .insert(address, now + UNRESPONSIVE_DURATION);
    }
}
