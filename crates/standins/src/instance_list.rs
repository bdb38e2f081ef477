//! A stand-in of the platform's instance list, which lags.

use crate::server;
use passway_platform::instance_list::ListedInstance;
use passway_types::prelude::*;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

/// A content of the list and when it begins to show.
type Listing = (Instant, Vec<ListedInstance>);

/// The list; clones are the same list.
#[derive(Debug, Clone)]
pub struct LaggingList {
    lag: Duration,
    versions: Arc<Mutex<VecDeque<Listing>>>,
}

impl LaggingList {
    /// A list that shows each change after `lag`, the first one at once.
    pub fn new(lag: Duration, first: Vec<ListedInstance>) -> Self {
        let versions = VecDeque::from([(Instant::now(), first)]);
        Self {
            lag,
            versions: Arc::new(Mutex::new(versions)),
        }
    }

    /// Changes the list.
    pub fn change(&self, change: impl FnOnce(&mut Vec<ListedInstance>)) {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let mut next = versions
            .back()
            .map(|(_, list)| list.clone())
            .unwrap_or_default();
        change(&mut next);
        versions.push_back((Instant::now() + self.lag, next));
    }

    /// Marks an entry as leaving.
    pub fn set_leaving(&self, id: &str) {
        self.change(|list| {
            for entry in list.iter_mut().filter(|entry| &*entry.id == id) {
                entry.leaving = true;
            }
        });
    }

    /// Takes an entry out.
    pub fn remove(&self, id: &str) {
        self.change(|list| list.retain(|entry| &*entry.id != id));
    }

    fn shown(&self) -> Vec<ListedInstance> {
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

    /// Serves the list over HTTP.
    pub fn serve(&self, address: SocketAddr) -> SocketAddr {
        let list = self.clone();
        server::serve(address, move |_| server::json_response(&list.shown()))
    }
}
