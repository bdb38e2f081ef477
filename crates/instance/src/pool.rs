//! Connections to upstreams that rest between two requests.

use crate::http1::Connection;
use passway_types::prelude::*;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A connection whose upstream does not say how long it keeps it rests at most this long.
const DEFAULT_REST: Duration = Duration::from_secs(2);
/// Part of the time that an upstream keeps a connection for which it is used again.
const REST_PART: f64 = 0.6;
/// Connections that rest for one upstream.
const MAX_RESTING: usize = 16;
/// Connections that rest for all upstreams together: more than twice an instance's part of all
/// slots in the fleets of today (96 at most), and a fifteenth of the smallest one's sockets.
pub const MAX_RESTING_IN_ALL: usize = 256;

/// Pause between two looks for connections whose time is over, of upstreams that are not used.
const SWEEP_PAUSE: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Resting {
    connection: Connection,
    since: Instant,
    until: Instant,
}

#[derive(Debug, Default)]
struct Rests {
    /// No upstream without connections.
    by_upstream: HashMap<UpstreamId, Vec<Resting>>,
    /// Connections of all upstreams.
    count: usize,
    sweep_at: Option<Instant>,
}

impl Rests {
    /// Closes connections whose time is over.
    fn sweep(&mut self, now: Instant) {
        self.by_upstream.retain(|_, rests| {
            rests.retain(|rest| now < rest.until);
            !rests.is_empty()
        });
        self.count = self.by_upstream.values().map(Vec::len).sum();
        self.sweep_at = Some(now + SWEEP_PAUSE);
    }

    /// The connection of an upstream that has rested least.
    fn pop(&mut self, id: &UpstreamId) -> Option<Resting> {
        let rests = self.by_upstream.get_mut(id)?;
        let rest = rests.pop();
        if rests.is_empty() {
            self.by_upstream.remove(id);
        }
        self.count -= usize::from(rest.is_some());
        rest
    }
}

/// The connections that rest.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    rests: Mutex<Rests>,
}

/// How long a connection may rest, from the whole seconds that its upstream names.
pub fn rest_time(keep_alive_s: Option<u64>) -> Duration {
    keep_alive_s.map_or(DEFAULT_REST, |seconds| {
        Duration::from_secs(seconds).mul_f64(REST_PART)
    })
}

impl ConnectionPool {
    fn rests(&self) -> MutexGuard<'_, Rests> {
        self.rests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A connection that has rested at most `longest` and is clean.
    pub fn take(&self, id: &UpstreamId, longest: Duration, now: Instant) -> Option<Connection> {
        let mut rests = self.rests();
        while let Some(mut rest) = rests.pop(id) {
            if now < rest.until && now < rest.since + longest && rest.connection.is_clean() {
                return Some(rest.connection);
            }
        }
        None
    }

    /// Keeps a connection for another request, or closes it if enough of them rest.
    pub fn put(&self, id: &UpstreamId, connection: Connection, rest: Duration, now: Instant) {
        let mut rests = self.rests();
        let is_due = rests.sweep_at.is_none_or(|at| now >= at);
        if is_due || rests.count >= MAX_RESTING_IN_ALL {
            rests.sweep(now);
        }
        if rests.count >= MAX_RESTING_IN_ALL {
            return;
        }
        let of_upstream = rests.by_upstream.entry(id.clone()).or_default();
        if of_upstream.len() < MAX_RESTING {
            of_upstream.push(Resting {
                connection,
                since: now,
                until: now + rest,
            });
            rests.count += 1;
        }
    }

    /// Closes what rests for an upstream.
    pub fn forget(&self, id: &str) {
        let mut rests = self.rests();
        if let Some(gone) = rests.by_upstream.remove(id) {
            rests.count -= gone.len();
        }
    }
}
