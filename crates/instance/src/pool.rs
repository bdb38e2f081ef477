//! Connections to upstreams that rest between two requests.

use crate::http1::Connection;
use passway_types::prelude::*;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A connection whose upstream does not say how long it keeps it rests at most this long.
const DEFAULT_IDLE_TTL: Duration = Duration::from_secs(2);
/// Part of the time that an upstream keeps a connection for which it is used again.
const KEEP_ALIVE_RATIO: f64 = 0.6;
/// Connections that rest for one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 16;
/// Connections that rest for all upstreams together: more than twice an instance's part of all
/// slots in the fleets of today (96 at most), and a fifteenth of the smallest one's sockets.
pub const MAX_IDLE: usize = 256;

/// Pause between two looks for connections whose time is over, of upstreams that are not used.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
    until: Instant,
}

#[derive(Debug, Default)]
struct IdleConnections {
    /// No upstream without connections.
    by_upstream: HashMap<UpstreamId, Vec<IdleConnection>>,
    /// Connections of all upstreams.
    count: usize,
    sweep_at: Option<Instant>,
}

impl IdleConnections {
    /// Closes connections whose time is over.
    fn close_expired(&mut self, now: Instant) {
        self.by_upstream.retain(|_, rests| {
            rests.retain(|rest| now < rest.until);
            !rests.is_empty()
        });
        self.count = self.by_upstream.values().map(Vec::len).sum();
        self.sweep_at = Some(now + SWEEP_INTERVAL);
    }

    /// The connection of an upstream that has rested least.
    fn pop(&mut self, id: &UpstreamId) -> Option<IdleConnection> {
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
    idle: Mutex<IdleConnections>,
}

/// How long a connection may rest, from the whole seconds that its upstream names.
pub fn idle_ttl(keep_alive_s: Option<u64>) -> Duration {
    keep_alive_s.map_or(DEFAULT_IDLE_TTL, |seconds| {
        Duration::from_secs(seconds).mul_f64(KEEP_ALIVE_RATIO)
    })
}

impl ConnectionPool {
    fn lock_idle(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A connection that has rested at most `longest` and is clean.
    pub fn take(&self, id: &UpstreamId, longest: Duration, now: Instant) -> Option<Connection> {
        let mut rests = self.lock_idle();
        while let Some(mut rest) = rests.pop(id) {
            if now < rest.until && now < rest.since + longest && rest.connection.is_clean() {
                return Some(rest.connection);
            }
        }
        None
    }

    /// Keeps a connection for another request, or closes it if enough of them rest.
    pub fn put(&self, id: &UpstreamId, connection: Connection, rest: Duration, now: Instant) {
        let mut rests = self.lock_idle();
        let is_due = rests.sweep_at.is_none_or(|at| now >= at);
        if is_due || rests.count >= MAX_IDLE {
            rests.close_expired(now);
        }
        if rests.count >= MAX_IDLE {
            return;
        }
        let of_upstream = rests.by_upstream.entry(id.clone()).or_default();
        if of_upstream.len() < MAX_IDLE_PER_UPSTREAM {
            of_upstream.push(IdleConnection {
                connection,
                since: now,
                until: now + rest,
            });
            rests.count += 1;
        }
    }

    /// Closes what rests for an upstream.
    pub fn close_idle(&self, id: &str) {
        let mut rests = self.lock_idle();
        if let Some(gone) = rests.by_upstream.remove(id) {
            rests.count -= gone.len();
        }
    }
}
