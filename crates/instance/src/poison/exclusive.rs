//! Requests that run one at a time over all instances, among those with the same content or with the
//! same part of their prompts, because the next crash of an upstream is the last one allowed.
//!
//! The coordinator grants permits for such runs. Without its decision no request has a permit: a
//! request that cannot prove its permit waits and asks again. It uses the same id, so that a permit
//! whose answer was lost does not block the request itself.

use super::{PoisonTracker, lock};
use crate::coordinator::NoDecision;
use crate::relay::millis;
use crate::shared::Shared;
use passway_process::logging::json::REQUEST_TARGET;
use passway_serving::poison::{ExclusiveRuns, SuspectKey};
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::dispatch::Dispatch as Body;
use passway_wire::permits::{PermitRelease, PermitReply, PermitRequest, UseVerdict};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Mutex;

/// Requests that must run exclusively among their copies.
#[derive(Debug, Default)]
pub(super) struct ExclusivePermits {
    /// Suspects for which a request of this instance runs or asks for a permit.
    local: Mutex<HashSet<SuspectKey>>,
    /// Permits of all instances, while this instance is the coordinator.
    granted: Mutex<ExclusiveRuns>,
}

/// The answer to a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitAnswer {
    /// The request may run.
    Granted,
    /// A copy of the request has the permit, at this or another instance.
    Taken,
    /// Nothing proves that no copy is running.
    Unproved(NoDecision),
}

/// A request's permit to run exclusively among its copies at all instances. It is released on drop.
#[derive(Debug)]
pub struct ExclusivePermit {
    shared: Arc<Shared>,
    key: SuspectKey,
    /// The id under which the request asks for the permit.
    id: u64,
    is_granted: bool,
    /// Whether an answer is missing, so that the permit may have been granted.
    may_be_granted: bool,
    /// Why the last decision was missing; each reason is logged once.
    no_decision: Option<NoDecision>,
    /// Whether an upstream broke off during the run.
    has_broken: bool,
}

impl ExclusivePermit {
    /// Creates the permit of a request that has not asked yet.
    pub fn new(shared: &Arc<Shared>, key: SuspectKey) -> Self {
        Self {
            shared: shared.clone(),
            key,
            id: rand::random(),
            is_granted: false,
            may_be_granted: false,
            no_decision: None,
            has_broken: false,
        }
    }

    /// The suspect that the permit is for.
    pub fn key(&self) -> SuspectKey {
        self.key
    }

    /// Whether the request may run now.
    pub fn is_granted(&self) -> bool {
        self.is_granted
    }

    /// Requests the permit for a run of at most `max_run`.
    pub fn request(&mut self, max_run: Duration) -> PermitAnswer {
        if self.is_granted {
            return PermitAnswer::Granted;
        }
        let shared = self.shared.clone();
        let local = &shared.poison.exclusive_runs.local;
        if !lock(local).insert(self.key) {
            return PermitAnswer::Taken;
        }
        let answer = self.request_from_coordinator(max_run);
        self.is_granted = answer == PermitAnswer::Granted;
        if !self.is_granted {
            lock(local).remove(&self.key);
        }
        answer
    }

    fn request_from_coordinator(&mut self, max_run: Duration) -> PermitAnswer {
        let request = PermitRequest {
            id: self.id,
            digest: self.key.to_bytes(),
            run_ms: millis(max_run),
            ..PermitRequest::default()
        };
        match self.shared.coordinator.request(&self.shared, &request) {
            Ok(answer) if answer.verdict() == UseVerdict::Granted => PermitAnswer::Granted,
            Ok(_) => {
                self.may_be_granted = false;
                PermitAnswer::Taken
            }
            Err(no_decision) => {
                self.may_be_granted |= no_decision == NoDecision::Silent;
                if self.no_decision.replace(no_decision) != Some(no_decision) {
                    log::info!(target: REQUEST_TARGET, suspect:% = self.key, cause:% = no_decision;
                        "no decision on a permit for an exclusive run");
                }
                PermitAnswer::Unproved(no_decision)
            }
        }
    }

    /// Records that an upstream broke off during the run. The permit then expires by itself: by
    /// that time, all instances know whether the upstream crashed.
    pub fn record_break(&mut self) {
        self.has_broken = true;
    }

    fn release(&self) {
        let shared = &self.shared;
        let Some(holder) = shared
            .leadership()
            .and_then(|leadership| leadership.holder())
        else {
            return;
        };
        let released = PermitRelease {
            digest: self.key.to_bytes(),
            id: self.id,
            ..PermitRelease::default()
        };
        if holder.instance == shared.settings.instance {
            shared
                .poison
                .release_exclusive_run(shared.settings.peer_address, &released);
        } else {
            shared
                .dispatch
                .send(holder.address, Body::PermitRelease(released));
        }
    }
}

impl Drop for ExclusivePermit {
    fn drop(&mut self) {
        if self.is_granted {
            lock(&self.shared.poison.exclusive_runs.local).remove(&self.key);
        }
        if (self.is_granted || self.may_be_granted) && !self.has_broken {
            self.release();
        }
    }
}

impl PoisonTracker {
    /// Decides, in a term of this instance, whether an instance may run a request exclusively.
    pub fn decide_exclusive_run(
        &self,
        fence: Fence,
        from: SocketAddr,
        request: &PermitRequest,
    ) -> PermitReply {
        let mut answer = PermitReply {
            id: request.id,
            ..PermitReply::default()
        };
        let Some(key) = SuspectKey::from_bytes(&request.digest) else {
            return answer;
        };
        let (run, max_duration) = ((from, request.id), Duration::from_millis(request.run_ms));
        match lock(&self.exclusive_runs.granted).try_acquire(
            fence,
            key,
            run,
            max_duration,
            clock::now(),
        ) {
            Ok(()) => answer.set_verdict(UseVerdict::Granted),
            Err(retry_after) => {
                answer.set_verdict(UseVerdict::Refused);
                answer.retry_after_ms = millis(retry_after);
            }
        }
        answer
    }

    /// Releases the permit of a run that ended without a crash.
    pub fn release_exclusive_run(&self, from: SocketAddr, released: &PermitRelease) {
        if let Some(key) = SuspectKey::from_bytes(&released.digest) {
            lock(&self.exclusive_runs.granted).release(key, (from, released.id));
        }
    }
}
