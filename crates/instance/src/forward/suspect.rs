//! Whether a request crashes the upstreams that run it.

use super::{Forwarding, Target, host_of};
use crate::http1::Connection;
use crate::poison::{ExclusivePermit, PermitAnswer, PoisonTracker, REFUSAL_TIMEOUT};
use crate::pool;
use crate::relay::millis_since;
use crate::upstream_exchange::UpstreamConnection;
use passway_process::logging::json::REQUEST_TARGET;
use passway_serving::poison::{PartId, RequestDigest, RunDecision, RunPermission, SuspectKey};
use passway_types::clock;
use passway_types::prelude::*;
use std::io::ErrorKind;

impl Forwarding<'_> {
    /// Digest of the request's content without its id.
    fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| {
            let host = host_of(self.head).unwrap_or_default();
            let (method, target) = (&self.head.method, &self.head.target);
            RequestDigest::of(method, &host, target, self.body)
        })
    }

    /// The parts of the prompt that other prompts may share; none if the request names them wrongly.
    fn parts(&self) -> &[PartId] {
        self.parts.get_or_init(|| {
            let parts = self.shared.vocabulary.shared_parts(&self.head.headers);
            parts.unwrap_or_else(|error| {
                log::info!(target: REQUEST_TARGET, request = self.facts.id, error:% = error;
                    "cannot parse the parts of a prompt; the request is served without them");
                Vec::new()
            })
        })
    }

    /// What crashes under this request are counted under: its content, and the parts of its prompt.
    fn suspect_keys(&self) -> &[SuspectKey] {
        self.suspect_keys.get_or_init(|| {
            let parts = self.parts().iter().copied().map(SuspectKey::from);
            std::iter::once(self.digest().into()).chain(parts).collect()
        })
    }

    /// Whether the request may run, given the crashes under its content and its parts.
    pub(super) fn run_decision(&self) -> RunDecision {
        let poison = &self.shared.poison;
        if poison.is_empty() {
            return RunDecision::default();
        }
        poison.run_decision(self.suspect_keys())
    }

    /// How long the request is still refused because it crashes upstreams.
    pub(super) fn refused_for(&self) -> Option<Duration> {
        self.run_decision().refused_for
    }

    /// Handles a run that was sent at `sent_at` and broke off. If the upstream has crashed, the request
    /// becomes a suspect.
    pub(super) fn handle_broken_run(&mut self, target: &Target, sent_at: Instant) {
        let start = target.upstream_start();
        self.shared.paths.request_check();
        if let Some(permit) = &mut self.exclusive_permit {
            permit.record_break();
        }
        let has_crashed = self.has_crashed(target);
        let ran_ms = millis_since(sent_at, clock::now());
        log::info!(target: REQUEST_TARGET, request = self.facts.id, digest:% = self.digest(),
            upstream:% = target.id, crashed = has_crashed, ran_ms = ran_ms, parts:? = self.parts(), standing:? = self.run_permission;
            "a run broke off");
        if !has_crashed {
            self.watch_for_crash(target, sent_at, false);
            return;
        }
        self.crashed_runs += 1;
        let keys = self.suspect_keys();
        let updates = self.shared.poison.record_crash(keys, &start, sent_at);
        PoisonTracker::publish(self.shared, updates);
    }

    /// Handles a run that reached its deadline without an answer.
    pub(super) fn handle_silent_run(&self, target: &Target) {
        if self.shared.upstreams().is_silent(&target.id, clock::now()) {
            self.shared.paths.request_check();
            self.watch_for_crash(target, self.attempt_at, true);
        }
    }

    /// Handles a silent run that was given up for its successor.
    pub(super) fn handle_replaced_run(&self, target: &Target) {
        self.shared.paths.request_check();
        self.watch_for_crash(target, self.attempt_at, true);
    }

    /// Watches for a crash of an upstream that broke off, or that was `silent` until the request's
    /// deadline. Its port alone does not show a crash: it may close later than the connections, under a
    /// supervisor it stays open, and a machine that has lost power sends nothing.
    ///
    /// A plain upstream that is silent is not watched: it sends nothing before its whole answer, so silence says
    /// nothing about a crash.
    fn watch_for_crash(&self, target: &Target, sent_at: Instant, is_silent: bool) {
        if self.shared.upstreams().is_draining(&target.id) {
            return;
        }
        let (keys, upstream) = (self.suspect_keys(), self.checked_upstream(target));
        if !is_silent {
            PoisonTracker::record_break(self.shared, keys, &upstream, sent_at);
        } else if self.is_engine {
            PoisonTracker::probe_after_break(self.shared, keys, &upstream, sent_at);
        }
    }

    /// Whether the request may run now, given the upstreams that broke off while they ran it.
    pub(super) fn may_run_now(&mut self) -> bool {
        let decision = self.run_decision();
        self.run_permission = decision.permission;
        match (decision.permission, decision.exclusive_key) {
            (RunPermission::Free, _) => true,
            (RunPermission::Alone, Some(key)) => self.has_exclusive_permit(key),
            (RunPermission::Alone | RunPermission::Held, _) => false,
        }
    }

    /// Whether the request has the exclusive permit for a suspect. Only the coordinator can grant it.
    fn has_exclusive_permit(&mut self, key: SuspectKey) -> bool {
        let remaining = self.deadline_at.saturating_duration_since(clock::now());
        // What is known may have changed since another suspect's permit was requested.
        self.exclusive_permit.take_if(|permit| permit.key() != key);
        let permit = self
            .exclusive_permit
            .get_or_insert_with(|| ExclusivePermit::new(self.shared, key));
        permit.request(remaining) == PermitAnswer::Granted
    }

    /// Handles a run that ended with an answer: the request does not crash its upstreams. Only a
    /// whole answer shows that its parts do not either: a failure may have been written before the
    /// upstream read them.
    pub(super) fn handle_answered_run(&self, is_whole: bool) {
        let poison = &self.shared.poison;
        if poison.is_empty() {
            return;
        }
        let keys = self.suspect_keys().iter().copied();
        let cleared = keys.filter(|key| is_whole || !key.is_part());
        let cleared: Vec<SuspectKey> = cleared.collect();
        PoisonTracker::publish(self.shared, poison.record_answer(&cleared));
    }

    /// Whether an upstream that broke off has crashed: its port refuses connections, and it had not
    /// signalled that it leaves. A lost connection or an invalid answer alone is no crash.
    fn has_crashed(&self, target: &Target) -> bool {
        if self.shared.upstreams().is_draining(&target.id) {
            return false;
        }
        match Connection::connect(target.address, REFUSAL_TIMEOUT) {
            Ok(connection) => {
                // The upstream is alive, and the connection can serve the next request.
                let idle_ttl = pool::idle_ttl(None);
                let pool = &self.shared.pool;
                let connection = UpstreamConnection::new(connection);
                pool.put(&target.id, connection, idle_ttl, clock::now());
                false
            }
            // Through a lost path, connections to running upstreams are refused, too.
            Err(error) => {
                error.kind() == ErrorKind::ConnectionRefused
                    && self.shared.paths.confirms_path(self.shared, &target.id)
            }
        }
    }
}
