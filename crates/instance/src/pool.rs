//! Connections to upstreams that rest between two requests.

use crate::http1::Connection;
use passway_types::prelude::*;
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

/// A connection whose upstream does not say how long it keeps it rests at most this long.
const DEFAULT_REST: Duration = Duration::from_secs(2);
/// Part of the time that an upstream keeps a connection for which it is used again.
const REST_PART: f64 = 0.6;
/// Connections that rest for one upstream.
const MAX_RESTING: usize = 16;
/// Connections that rest for all upstreams together: more than twice an instance's part of all
/// slots in the fleets of today (96 at most), and a fifteenth of the smallest one's sockets.
pub const MAX_RESTING_IN_ALL: usize = 256;

#[derive(Debug)]
struct Resting {
    connection: Connection,
    since: Instant,
    until: Instant,
}

/// The connections that rest.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    resting: Mutex<HashMap<UpstreamId, Vec<Resting>>>,
}

/// How long a connection may rest, from the whole seconds that its upstream names.
pub fn rest_time(keep_alive_s: Option<u64>) -> Duration {
    keep_alive_s.map_or(DEFAULT_REST, |seconds| {
        Duration::from_secs(seconds).mul_f64(REST_PART)
    })
}

impl ConnectionPool {
    /// A connection that has rested at most `longest` and is clean.
    pub fn take(&self, id: &UpstreamId, longest: Duration, now: Instant) -> Option<Connection> {
        let mut resting = self.resting.lock().unwrap_or_else(PoisonError::into_inner);
        let rests = resting.get_mut(id)?;
        while let Some(mut rest) = rests.pop() {
            if now < rest.until && now < rest.since + longest && rest.connection.is_clean() {
                return Some(rest.connection);
            }
        }
        None
    }

    /// Keeps a connection for another request.
    pub fn put(&self, id: &UpstreamId, connection: Connection, rest: Duration, now: Instant) {
        let mut resting = self.resting.lock().unwrap_or_else(PoisonError::into_inner);
        let rests = resting.entry(id.clone()).or_default();
        rests.retain(|rest| now < rest.until);
        if rests.len() < MAX_RESTING {
            rests.push(Resting {
                connection,
                since: now,
                until: now + rest,
            });
        }
    }

    /// Closes what rests for an upstream.
    pub fn forget(&self, id: &str) {
        let mut resting = self.resting.lock().unwrap_or_else(PoisonError::into_inner);
        resting.remove(id);
    }
}
