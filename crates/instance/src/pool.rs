//! Idle connections to upstreams, kept between requests.

use crate::upstream_exchange::{Exchange, UpstreamConnection};
use passway_types::prelude::*;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// How long a connection may be idle if its upstream announces no keep-alive timeout.
const DEFAULT_IDLE_TTL: Duration = Duration::from_secs(2);
/// Fraction of the announced keep-alive timeout during which a connection is reused.
const KEEP_ALIVE_RATIO: f64 = 0.6;
/// Largest number of idle connections to one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 16;
/// Largest number of idle connections to all upstreams: more than twice an instance's share of all
/// slots in the largest fleets (96), and a fifteenth of the sockets of the smallest instance.
pub const MAX_IDLE: usize = 256;

/// Interval between two sweeps for expired connections to upstreams that are not used.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct IdleConnection {
    connection: UpstreamConnection,
    since: Instant,
    until: Instant,
}

#[derive(Debug, Default)]
struct IdleConnections {
    /// Idle connections by upstream; no entry is empty.
    by_upstream: HashMap<UpstreamId, Vec<IdleConnection>>,
    /// Number of idle connections to all upstreams.
    count: usize,
    sweep_at: Option<Instant>,
}

impl IdleConnections {
    /// Closes expired connections.
    fn close_expired(&mut self, now: Instant) {
        self.by_upstream.retain(|_, connections| {
            connections.retain(|one| now < one.until);
            !connections.is_empty()
        });
        self.count = self.by_upstream.values().map(Vec::len).sum();
        self.sweep_at = Some(now + SWEEP_INTERVAL);
    }

    /// Removes the most recently used connection to an upstream that can carry a request with this
    /// id.
    fn pop(&mut self, upstream: &UpstreamId, request: &str) -> Option<IdleConnection> {
        let connections = self.by_upstream.get_mut(upstream)?;
        let can_carry = |idle: &IdleConnection| idle.connection.can_carry(request);
        let found = connections.iter().rposition(can_carry)?;
        let popped = connections.remove(found);
        if connections.is_empty() {
            self.by_upstream.remove(upstream);
        }
        self.count -= 1;
        Some(popped)
    }
}

/// The idle connections of an instance.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<IdleConnections>,
}

/// How long a connection may be idle, given its upstream's keep-alive timeout in seconds.
pub fn idle_ttl(keep_alive_s: Option<u64>) -> Duration {
    keep_alive_s.map_or(DEFAULT_IDLE_TTL, |seconds| {
        Duration::from_secs(seconds).mul_f64(KEEP_ALIVE_RATIO)
    })
}

impl ConnectionPool {
    fn lock_idle(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins the exchange of a request with this id over a clean connection that has been idle for
    /// at most `max_idle`.
    pub fn begin_exchange(
        &self,
        upstream: &UpstreamId,
        request: &str,
        max_idle: Duration,
        now: Instant,
    ) -> Option<Exchange> {
        let mut idle = self.lock_idle();
        while let Some(mut entry) = idle.pop(upstream, request) {
            if now < entry.until && now < entry.since + max_idle && entry.connection.is_clean() {
                return entry.connection.begin(request);
            }
        }
        None
    }

    /// Keeps a connection for another request, or closes it if it is used up or the pool is full.
    pub fn put(
        &self,
        id: &UpstreamId,
        connection: UpstreamConnection,
        idle_ttl: Duration,
        now: Instant,
    ) {
        if connection.is_used_up() {
            return;
        }
        let mut idle = self.lock_idle();
        let is_due = idle.sweep_at.is_none_or(|at| now >= at);
        if is_due || idle.count >= MAX_IDLE {
            idle.close_expired(now);
        }
        if idle.count >= MAX_IDLE {
            return;
        }
        let connections = idle.by_upstream.entry(id.clone()).or_default();
        if connections.len() < MAX_IDLE_PER_UPSTREAM {
            connections.push(IdleConnection {
                connection,
                since: now,
                until: now + idle_ttl,
            });
            idle.count += 1;
        }
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, id: &str) {
        let mut idle = self.lock_idle();
        if let Some(closed) = idle.by_upstream.remove(id) {
            idle.count -= closed.len();
        }
    }
}
