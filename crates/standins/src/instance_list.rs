//! A stand-in for the platform's instance list, which shows changes after a delay.

use crate::server;
use passway_platform::instance_list::ListedInstance;
use passway_types::prelude::*;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

/// A version of the list and the time from which it is visible.
type ListVersion = (Instant, Vec<ListedInstance>);

/// An instance list with a propagation delay; clones share the same list.
#[derive(Debug, Clone)]
pub struct LaggingList {
    lag: Duration,
    versions: Arc<Mutex<VecDeque<ListVersion>>>,
}

impl LaggingList {
    /// Creates a list that shows `first` immediately and each later change after `lag`.
    pub fn new(lag: Duration, first: Vec<ListedInstance>) -> Self {
        let versions = VecDeque::from([(Instant::now(), first)]);
        Self {
            lag,
            versions: Arc::new(Mutex::new(versions)),
        }
    }

    /// Applies `change` to the newest version; the result becomes visible after the lag.
    pub fn change(&self, change: impl FnOnce(&mut Vec<ListedInstance>)) {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let mut next = versions
            .back()
            .map(|(_, list)| list.clone())
            .unwrap_or_default();
        change(&mut next);
        versions.push_back((Instant::now() + self.lag, next));
    }

    /// Marks the entry with this id as leaving.
    pub fn set_leaving(&self, id: &str) {
        self.change(|list| {
            for entry in list.iter_mut().filter(|entry| &*entry.id == id) {
                entry.leaving = true;
            }
        });
    }

    /// Removes the entry with this id.
    pub fn remove(&self, id: &str) {
        self.change(|list| list.retain(|entry| &*entry.id != id));
    }

    fn visible(&self) -> Vec<ListedInstance> {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        while versions.len() > 1 && versions[1].0 <= now {
            versions.pop_front();
        }
        versions
            .front()
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }

    /// Serves the list over HTTP and returns the bound address.
    pub fn serve(&self, address: SocketAddr) -> SocketAddr {
        let list = self.clone();
        server::serve(address, move |_| server::json_response(&list.visible()))
    }
}
