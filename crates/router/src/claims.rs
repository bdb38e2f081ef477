//! Calls that may not be repeated: one claim under the caller's key before the call leaves.

use crossbeam::channel::{Sender, bounded};
use passway_decide::claim::{Claim, ClaimState, ClaimStep, StoredAnswer, next_step};
use passway_platform::key_value::{KeyValue, PutOutcome, Unavailable};
use passway_types::prelude::*;
use std::fmt::{self, Write};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// Outcomes that wait to be written while the key-value service is away.
const UNWRITTEN: usize = 10_000;
/// Pause before an outcome is written again.
const WRITE_RETRY: Duration = Duration::from_millis(500);
/// Times that a claim is read back before the caller is refused.
const READ_BACKS: usize = 2;
/// Retry hint while a call with the same key may be in progress.
const REPEAT_RETRY: Duration = Duration::from_secs(2);

/// A claim that is ours: the call may be sent, once.
#[derive(Debug, Clone)]
pub struct OwnClaim {
    key: String,
    version: Version,
    claim: Claim,
}

/// What a caller with a key gets.
#[derive(Debug)]
pub enum Claimed {
    /// Send the call and settle the claim.
    Send(OwnClaim),
    /// Answer with what was answered before.
    Replay(StoredAnswer),
}

/// An outcome to be written.
#[derive(Debug)]
struct Unwritten {
    own: OwnClaim,
    state: ClaimState,
}

/// Claims of one router.
pub struct Claims {
    key_value: Arc<dyn KeyValue>,
    incarnation: Incarnation,
    attempts: AtomicU64,
    unwritten: Sender<Unwritten>,
    /// Outcomes in the queue or in the hands of the writing thread.
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
    /// Claims kept in `key_value`.
    pub fn new(key_value: Arc<dyn KeyValue>, incarnation: Incarnation) -> Self {
        let (unwritten, receiver) = bounded::<Unwritten>(UNWRITTEN);
        let writing = key_value.clone();
        let unwritten_count = Arc::new(AtomicUsize::new(0));
        let count = unwritten_count.clone();
        std::thread::spawn(move || {
            for outcome in receiver {
                while write_outcome(&*writing, &outcome.own, &outcome.state).is_err() {
                    std::thread::sleep(WRITE_RETRY);
                }
                count.fetch_sub(1, Ordering::AcqRel);
            }
        });
        Self {
            key_value,
            incarnation,
            attempts: AtomicU64::new(1),
            unwritten,
            unwritten_count,
        }
    }

    /// Outcomes that are not written yet.
    pub fn unwritten(&self) -> usize {
        self.unwritten_count.load(Ordering::Acquire)
    }

    /// Claims a key for one call.
    ///
    /// # Errors
    /// The refusal that is the call's final answer.
    pub fn claim(&self, service: &str, key: &str, digest: u64) -> Result<Claimed, Refusal> {
        let count = self.attempts.fetch_add(1, Ordering::Relaxed);
        let attempt = (u128::from(self.incarnation) << 64) | u128::from(count);
        let key = store_key(service, key);
        let claim = Claim {
            attempt,
            request_digest: digest,
            state: ClaimState::Claimed,
        };
        let mut was_written = false;
        for _ in 0..=READ_BACKS {
            let found = match self.read(&key) {
                Ok(found) => found,
                // A write may have taken effect: it is ours and nothing left.
                Err(Unavailable) if was_written => break,
                Err(Unavailable) => return Err(unreadable()),
            };
            let found_claim = found.as_ref().map(|(version, claim)| (*version, claim));
            match next_step(found_claim, attempt, digest) {
                ClaimStep::Write(version) => {
                    was_written = true;
                    let value = serde_json::to_vec(&claim).unwrap_or_default();
                    if let Ok(PutOutcome::Written(version)) =
                        self.key_value.put_if(&key, version, &value, None)
                    {
                        return Ok(Claimed::Send(OwnClaim {
                            key,
                            version,
                            claim,
                        }));
                    }
                }
                ClaimStep::Owned(version) => {
                    return Ok(Claimed::Send(OwnClaim {
                        key,
                        version,
                        claim,
                    }));
                }
                ClaimStep::Replay(answer) => return Ok(Claimed::Replay(answer)),
                ClaimStep::RepeatUnknown => {
                    return Err(Refusal::new(ResultCode::RepeatUnknown, "the key is in use")
                        .retry_after(REPEAT_RETRY));
                }
                ClaimStep::KeyReused => {
                    return Err(Refusal::new(
                        ResultCode::KeyReused,
                        "another request had the key",
                    ));
                }
            }
        }
        // Nothing was sent and nothing will be; a claim that may stand is taken back.
        self.settle_later(
            OwnClaim {
                key,
                version: 0,
                claim,
            },
            ClaimState::Released,
        );
        Err(
            Refusal::new(ResultCode::ClaimUnavailable, "the claim was not confirmed")
                .retry_after(REPEAT_RETRY),
        )
    }

    fn read(&self, key: &str) -> Result<Option<(Version, Claim)>, Unavailable> {
        let Some(found) = self.key_value.get(key)? else {
            return Ok(None);
        };
        let claim = serde_json::from_slice(&found.value).map_err(|_| Unavailable)?;
        Ok(Some((found.version, claim)))
    }

    /// Records the outcome, now if the service answers, else later.
    pub fn settle(&self, own: OwnClaim, state: ClaimState) {
        if write_outcome(&*self.key_value, &own, &state).is_err() {
            self.settle_later(own, state);
        }
    }

    fn settle_later(&self, own: OwnClaim, state: ClaimState) {
        self.unwritten_count.fetch_add(1, Ordering::AcqRel);
        if self.unwritten.try_send(Unwritten { own, state }).is_err() {
            self.unwritten_count.fetch_sub(1, Ordering::AcqRel);
            // The claim stays as it is: repeats get "unknown", never a second run.
            log::error!("too many outcomes wait to be written");
        }
    }
}

/// Writes an outcome over our own claim and over nothing else.
fn write_outcome(
    key_value: &dyn KeyValue,
    own: &OwnClaim,
    state: &ClaimState,
) -> Result<(), Unavailable> {
    let settled = Claim {
        state: state.clone(),
        ..own.claim.clone()
    };
    let value = serde_json::to_vec(&settled).unwrap_or_default();
    let version = if own.version == 0 {
        // The claim's write was never confirmed: find out whether it stands.
        let Some(found) = key_value.get(&own.key)? else {
            return Ok(());
        };
        let Ok(claim) = serde_json::from_slice::<Claim>(&found.value) else {
            return Ok(());
        };
        if claim.attempt != own.claim.attempt || claim.state != ClaimState::Claimed {
            return Ok(());
        }
        found.version
    } else {
        own.version
    };
    // A conflict means that an earlier try of this same write took effect.
    key_value
        .put_if(&own.key, version, &value, None)
        .map(|_| ())
}

fn store_key(service: &str, key: &str) -> String {
    let mut path = format!("claims/{service}/");
    for byte in key.bytes() {
        // Writing into a string does not fail.
        let _ = write!(path, "{byte:02x}");
    }
    path
}

fn unreadable() -> Refusal {
    Refusal::new(
        ResultCode::ClaimUnreadable,
        "the key-value service does not answer",
    )
    .retry_after(REPEAT_RETRY)
}
