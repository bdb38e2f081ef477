//! Calls that must not be repeated: a claim is written under the caller's key before the call
//! is sent.

use crossbeam::channel::{Sender, bounded};
use passway_decide::claim::{Claim, ClaimState, ClaimStep, StoredAnswer, next_step};
use passway_platform::key_value::{KeyValue, PutOutcome, Unavailable};
use passway_types::prelude::*;
use std::fmt::{self, Write};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// Maximum number of outcomes that wait to be written while the key-value service is
/// unavailable.
const MAX_UNWRITTEN_OUTCOMES: usize = 10_000;
/// Delay before a failed write of an outcome is repeated.
const WRITE_BACKOFF: Duration = Duration::from_millis(500);
/// Number of times that a claim is read back before the router refuses the call.
const MAX_READ_BACKS: usize = 2;
/// Retry hint of refusals, for instance while a call with the same key may be in progress.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// A claim that this router holds: it may send the call once.
#[derive(Debug, Clone)]
pub struct OwnClaim {
    key: String,
    version: Version,
    claim: Claim,
}

/// How to answer a call with a key.
#[derive(Debug)]
pub enum ClaimResult {
    /// Send the call, then settle the claim with its outcome.
    Send(OwnClaim),
    /// Answer with the stored answer of the earlier call.
    Replay(StoredAnswer),
}

/// An outcome that is not written yet.
#[derive(Debug)]
struct UnwrittenOutcome {
    own_claim: OwnClaim,
    state: ClaimState,
}

/// The claims of one router.
pub struct Claims {
    key_value: Arc<dyn KeyValue>,
    incarnation: Incarnation,
    attempts: AtomicU64,
    unwritten_sender: Sender<UnwrittenOutcome>,
    /// Number of outcomes in the queue or being written.
    unwritten_count: Arc<AtomicUsize>,
}

impl fmt::Debug for Claims {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Claims")
            .field("incarnation", &self.incarnation)
            .finish_non_exhaustive()
    }
}

impl Claims {
    /// Creates claims that are stored in `key_value` and starts the thread that writes queued
    /// outcomes.
    pub fn new(key_value: Arc<dyn KeyValue>, incarnation: Incarnation) -> Self {
        let (unwritten_sender, receiver) = bounded::<UnwrittenOutcome>(MAX_UNWRITTEN_OUTCOMES);
        let thread_key_value = key_value.clone();
        let unwritten_count = Arc::new(AtomicUsize::new(0));
        let thread_count = unwritten_count.clone();
        std::thread::spawn(move || {
            for outcome in receiver {
                while write_outcome(&*thread_key_value, &outcome.own_claim, &outcome.state).is_err()
                {
                    std::thread::sleep(WRITE_BACKOFF);
                }
                thread_count.fetch_sub(1, Ordering::AcqRel);
            }
        });
        Self {
            key_value,
            incarnation,
            attempts: AtomicU64::new(1),
            unwritten_sender,
            unwritten_count,
        }
    }

    /// Returns the number of outcomes that are not written yet.
    pub fn unwritten_count(&self) -> usize {
        self.unwritten_count.load(Ordering::Acquire)
    }

    /// Claims a key for one call.
    ///
    /// # Errors
    /// The refusal that is the call's final answer.
    pub fn claim(&self, service: &str, key: &str, digest: u64) -> Result<ClaimResult, Refusal> {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        let attempt = (u128::from(self.incarnation) << 64) | u128::from(number);
        let key = store_key(service, key);
        let claim = Claim {
            attempt,
            request_digest: digest,
            state: ClaimState::Claimed,
        };
        let mut has_tried_write = false;
        for _ in 0..=MAX_READ_BACKS {
            let found = match self.read(&key) {
                Ok(found) => found,
                // An unconfirmed write may have taken effect. The claim is then ours, and no
                // call was sent.
                Err(Unavailable) if has_tried_write => break,
                Err(Unavailable) => return Err(claim_unreadable()),
            };
            let found_claim = found.as_ref().map(|(version, claim)| (*version, claim));
            match next_step(found_claim, attempt, digest) {
                ClaimStep::Write(version) => {
                    has_tried_write = true;
                    let value = serde_json::to_vec(&claim).unwrap_or_default();
                    if let Ok(PutOutcome::Written(version)) =
                        self.key_value.put_if(&key, version, &value, None)
                    {
                        return Ok(ClaimResult::Send(OwnClaim {
                            key,
                            version,
                            claim,
                        }));
                    }
                }
                ClaimStep::Owned(version) => {
                    return Ok(ClaimResult::Send(OwnClaim {
                        key,
                        version,
                        claim,
                    }));
                }
                ClaimStep::Replay(answer) => return Ok(ClaimResult::Replay(answer)),
                ClaimStep::RepeatUnknown => {
                    return Err(Refusal::new(ResultCode::RepeatUnknown, "the key is in use")
                        .retry_after(RETRY_AFTER));
                }
                ClaimStep::KeyReused => {
                    return Err(Refusal::new(
                        ResultCode::KeyReused,
                        "another request had the key",
                    ));
                }
            }
        }
        // The call was not sent and will not be sent. If the claim was written, release it.
        self.queue_outcome(
            OwnClaim {
                key,
                version: 0,
                claim,
            },
            ClaimState::Released,
        );
        Err(
            Refusal::new(ResultCode::ClaimUnavailable, "the claim was not confirmed")
                .retry_after(RETRY_AFTER),
        )
    }

    fn read(&self, key: &str) -> Result<Option<(Version, Claim)>, Unavailable> {
        let Some(found) = self.key_value.get(key)? else {
            return Ok(None);
        };
        let claim = serde_json::from_slice(&found.value).map_err(|_| Unavailable)?;
        Ok(Some((found.version, claim)))
    }

    /// Writes the outcome at once, or queues it if the key-value service is unavailable.
    pub fn settle(&self, own_claim: OwnClaim, state: ClaimState) {
        if write_outcome(&*self.key_value, &own_claim, &state).is_err() {
            self.queue_outcome(own_claim, state);
        }
    }

    fn queue_outcome(&self, own_claim: OwnClaim, state: ClaimState) {
        self.unwritten_count.fetch_add(1, Ordering::AcqRel);
        if self
            .unwritten_sender
            .try_send(UnwrittenOutcome { own_claim, state })
            .is_err()
        {
            self.unwritten_count.fetch_sub(1, Ordering::AcqRel);
            // The claim stays in its claimed state: repeats are refused as unknown and never
            // run the call a second time.
            log::error!("the queue of unwritten outcomes is full; dropped an outcome");
        }
    }
}

/// Replaces the claim of this router by its outcome. Leaves any other value unchanged.
fn write_outcome(
    key_value: &dyn KeyValue,
    own_claim: &OwnClaim,
    state: &ClaimState,
) -> Result<(), Unavailable> {
    let settled = Claim {
        state: state.clone(),
        ..own_claim.claim.clone()
    };
    let value = serde_json::to_vec(&settled).unwrap_or_default();
    let version = if own_claim.version == 0 {
        // The write of the claim was never confirmed: check whether it took effect.
        let Some(found) = key_value.get(&own_claim.key)? else {
            return Ok(());
        };
        let Ok(claim) = serde_json::from_slice::<Claim>(&found.value) else {
            return Ok(());
        };
        if claim.attempt != own_claim.claim.attempt || claim.state != ClaimState::Claimed {
            return Ok(());
        }
        found.version
    } else {
        own_claim.version
    };
    // A conflict means that an earlier attempt at the same write took effect.
    key_value
        .put_if(&own_claim.key, version, &value, None)
        .map(|_| ())
}

fn store_key(service: &str, key: &str) -> String {
    let mut path = format!("claims/{service}/");
    for byte in key.bytes() {
        // Writing to a string does not fail.
        let _ = write!(path, "{byte:02x}");
    }
    path
}

fn claim_unreadable() -> Refusal {
    Refusal::new(
        ResultCode::ClaimUnreadable,
        "the key-value service does not answer",
    )
    .retry_after(RETRY_AFTER)
}
