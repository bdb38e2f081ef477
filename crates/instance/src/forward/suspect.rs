//! Whether a request crashes the upstreams that run it.

use super::{Forwarding, Target, host_of};
use crate::http1::Connection;
use crate::poison::{Asked, Poison, REFUSAL_TIME, Trial};
use crate::pool;
use crate::relay::millis_since;
use passway_process::logging::json::REQUEST_TARGET;
use passway_serving::poison::{RequestDigest, RunPermission, UpstreamStart};
use passway_types::clock;
use passway_types::prelude::*;
use std::io::ErrorKind;

impl Forwarding<'_> {
    /// What the request asks for, whatever its id.
    fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| {
            let host = host_of(self.head).unwrap_or_default();
            let (method, target) = (&self.head.method, &self.head.target);
            RequestDigest::of(method, &host, target, self.body)
        })
    }

    /// For how long the request is refused yet, since it crashes what runs it.
    pub(super) fn refused_for(&self) -> Option<Duration> {
        let poison = &self.shared.poison;
        if poison.refused() == 0 {
            return None;
        }
        poison.refused_for(self.digest())
    }

    /// A run broke off: if the upstream has crashed, the request may be why.
    pub(super) fn run_broke(&mut self, target: &Target, start: UpstreamStart) {
        if let Some(trial) = &mut self.trial {
            trial.broke();
        }
        let has_crashed = self.has_crashed(target);
        let ran_ms = millis_since(self.attempt_at, clock::now());
        log::info!(target: REQUEST_TARGET, request = self.facts.id, digest:% = self.digest(),
            upstream:% = target.id, crashed = has_crashed, ran_ms = ran_ms, standing:? = self.standing;
            "a run broke off");
        if !has_crashed {
            self.doubt(target, &start, false);
            return;
        }
        let (digest, sent_at) = (self.digest(), self.attempt_at);
        if let Some(suspect) = self.shared.poison.crashed(digest, start, sent_at) {
            Poison::tell(self.shared, suspect);
        }
    }

    /// An engine that broke off, or was `silent` until the request's time was over, may have ended although
    /// its port does not tell: under a supervisor it stays open, and a machine that went dark says nothing.
    ///
    /// Plain upstreams tell nothing of their start, and reset connections beyond those that they take.
    pub(super) fn doubt(&self, target: &Target, start: &UpstreamStart, silent: bool) {
        if !self.is_engine || self.shared.upstreams().is_draining(&target.id) {
            return;
        }
        let (digest, sent_at) = (self.digest(), self.attempt_at);
        if silent {
            Poison::doubt(self.shared, digest, start, sent_at, target.address);
        } else {
            Poison::broke_off(self.shared, digest, start, sent_at, target.address);
        }
    }

    /// Whether the request may run now, as far as upstreams tell that broke off under it.
    pub(super) fn may_run_beside_doubt(&mut self) -> bool {
        let poison = &self.shared.poison;
        self.standing = if poison.is_empty() {
            RunPermission::Free
        } else {
            poison.standing(self.digest())
        };
        match self.standing {
            RunPermission::Free => true,
            RunPermission::Held => false,
            RunPermission::Alone => self.may_run_alone(),
        }
    }

    /// Whether the request has its turn among those like it. Nothing but the counter's word gives it one.
    fn may_run_alone(&mut self) -> bool {
        let digest = self.digest();
        let left = self.deadline_at.saturating_duration_since(clock::now());
        let trial = self
            .trial
            .get_or_insert_with(|| Trial::new(self.shared, digest));
        trial.ask(left) == Asked::Granted
    }

    /// A run has ended with an answer, so the request does not crash what runs it.
    pub(super) fn run_answered(&self) {
        let poison = &self.shared.poison;
        if poison.is_empty() {
            return;
        }
        if let Some(suspect) = poison.answered(self.digest()) {
            Poison::tell(self.shared, suspect);
        }
    }

    /// Whether an upstream that broke off has crashed: nobody listens at its port, and it had not
    /// said that it leaves. A lost connection and a spoilt answer leave it where it is.
    fn has_crashed(&self, target: &Target) -> bool {
        if self.shared.upstreams().is_draining(&target.id) {
            return false;
        }
        match Connection::connect(target.address, REFUSAL_TIME) {
            Ok(connection) => {
                // It lives, and the connection serves the next request.
                let rest = pool::rest_time(None);
                let pool = &self.shared.pool;
                pool.put(&target.id, connection, rest, clock::now());
                false
            }
            Err(error) => error.kind() == ErrorKind::ConnectionRefused,
        }
    }
}
