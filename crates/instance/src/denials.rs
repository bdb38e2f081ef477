//! Denials of requests, and the proof that they need.
//!
//! That no route matches, that no workspace holds a key, or that a request is too large is a
//! statement about every version of the configuration that may be in effect, and callers do not
//! retry after it. An instance that has not received a newer version must not make it. So a request
//! is denied only while the configuration is proved to have been the newest within the bound that
//! operators rely on. Without a proof, the request waits briefly for one and is checked again by
//! the newest configuration, and is otherwise refused as not run.

use crate::forward::Origin;
use crate::http1::Connection;
use crate::reply::Refusal;
use crate::shared::Shared;
use passway_types::clock;
use passway_types::prelude::*;

/// Longest wait for a proof that the configuration is current: time for a query to one instance and
/// a second query to another.
pub const PROOF_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest wait for a proof by which a request is denied: time for queries to three instances and to
/// the store.
const MAX_DENIAL_WAIT: Duration = Duration::from_millis(300);
/// Fraction of its time that a request may wait for a configuration or for its proof.
pub const CONFIGURATION_WAIT_RATIO: f64 = 0.3;
/// `Retry-After` of an instance that cannot prove its configuration, in milliseconds. It is short
/// because the retry most likely reaches another instance, which can.
pub const UNPROVEN_RETRY_MS: u64 = 50;
/// Interval of checks, during a wait for a proof, whether the caller has left.
const POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Why a request is not admitted.
#[derive(Debug, Clone, Copy)]
pub struct Denial {
    /// The answer to the caller.
    pub refusal: Refusal,
    /// The reason for logs and metrics.
    pub end: &'static str,
}

impl Denial {
    /// Whether another version of the configuration may allow the request, and the caller does not
    /// retry.
    fn needs_proof(&self) -> bool {
        matches!(
            self.refusal,
            Refusal::NoRoute | Refusal::NoKey | Refusal::BodyTooLarge | Refusal::HeadTooLarge
        )
    }
}

/// The instance cannot prove that its configuration is current.
pub const UNPROVEN_CONFIGURATION: Denial = Denial {
    refusal: Refusal::NotRun {
        retry_after_ms: UNPROVEN_RETRY_MS,
    },
    end: "refused, the configuration may be old",
};

/// Until when a request that arrived at `arrived_at` may wait for the proof of its denial. A request
/// from another instance does not wait, because that instance may pass it on to a third one.
pub fn wait_until(origin: &Origin, deadline_ms: Option<u64>, arrived_at: Instant) -> Instant {
    if *origin != Origin::Caller {
        return arrived_at;
    }
    let deadline = deadline_ms.map(Duration::from_millis);
    let wait = deadline.map_or(MAX_DENIAL_WAIT, |time| {
        time.mul_f64(CONFIGURATION_WAIT_RATIO).min(MAX_DENIAL_WAIT)
    });
    arrived_at + wait
}

/// Waits until requests may be denied by the configuration in effect, at most until `until` or until
/// the caller leaves. Returns whether they may. The configuration must be loaded after that, because
/// the proof may belong to a newer version.
pub fn wait_for_proof(shared: &Shared, caller: &mut Connection, until: Instant) -> bool {
    let bound = shared.bounds.load().configuration;
    let age = &shared.configuration_age;
    loop {
        let remaining = until.saturating_duration_since(clock::now());
        age.demand_denial_proof(bound, until, remaining.min(POLL_INTERVAL));
        if age.proves_denials_within(bound) {
            return true;
        }
        if remaining.is_zero() || shared.should_end_waits() || caller.is_closed() {
            return false;
        }
    }
}

/// The result of a check by the configuration in effect. If it denies the request, the check is made
/// again once the configuration is proved, as [`wait_for_proof`] describes.
///
/// # Errors
/// The denial, or [`UNPROVEN_CONFIGURATION`] without a proof.
pub fn check_with_proof<T>(
    shared: &Shared,
    caller: &mut Connection,
    until: Instant,
    check: impl Fn() -> Result<T, Denial>,
) -> Result<T, Denial> {
    let needs_proof =
        |checked: &Result<T, Denial>| checked.as_ref().is_err_and(Denial::needs_proof);
    let checked = check();
    if !needs_proof(&checked) {
        return checked;
    }
    let is_proved = wait_for_proof(shared, caller, until);
    let checked = check();
    if is_proved || !needs_proof(&checked) {
        checked
    } else {
        Err(UNPROVEN_CONFIGURATION)
    }
}
