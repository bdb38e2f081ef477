//! What workspaces have used lately, and which of them are below their shares.
//!
//! The *use* of a workspace is the number of tokens of the requests that were granted to it, prompt
//! and expected output, over all dispatchers. It decays exponentially with [`USE_DECAY`] and is
//! divided by the workspace's weight, the rate of its allotment.
//!
//! # The comparison
//!
//! The shares are max-min fair: what the competitors use now is divided among them so that each
//! gets what it asks for, up to a common weighted *level*, and whoever asks for more gets the level.
//! The competitors are the workspaces that wait for the same slot. Each asks for what it has used
//! and what its waiting requests would use, so the level is the L with
//!
//! ```text
//! sum of min(use + waiting, weight * L)  =  sum of use
//! ```
//!
//! A workspace is below its share if its use is below weight * L, less a margin ([`MARGIN`]).
//!
//! * With one workspace that floods, L is what that workspace uses, less what the others lack. Every
//!   other one is below its share as long as it uses less, whatever its size. A comparison with the
//!   mean use would fail here: among many small workspaces, one of medium size is above the mean,
//!   and so it would be treated like the one that floods.
//! * With eight that flood, L is their mean use, less an eighth of what the others lack. So when the
//!   others fall behind, L falls below the use of all eight, and the others go first.
//! * The competitor with the largest weighted use is never below its share, since L is at most this
//!   use: at that level, the left side of the equation is at least the right side.
//! * A workspace that asks for less than the level changes neither L nor anybody's share, so an
//!   unused share is with the others at once.
//! * Nobody saves up credit: a workspace that was idle has a use of zero and no less. It goes first
//!   until its use is at the level, at most what the others have used within the decay time.
//!
//! A workspace that does not wait is no competitor, even with a large use: its use of other engines
//! must not make a workspace that floods these engines appear to be below its share.

use crate::forecast::RequestSize;
use passway_types::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Time constant of the decay: use counts less by the factor e for each such time. With a shorter
/// one, a workspace of a few requests a second seems to be above its share whenever some of them
/// arrive together; with a longer one, a workspace that has used what others left waits longer once
/// they return.
pub const USE_DECAY: Duration = Duration::from_secs(3);
/// How long the use that another dispatcher has reported counts. Two of its reports, which come
/// every 500 ms, may be lost.
const REPORT_TTL: Duration = Duration::from_millis(1_500);
/// Fraction of its share by which a workspace must be below it. Without a margin, those that flood
/// take turns at being slightly below the level, each time with all of its waiting requests ahead of
/// those of small workspaces.
const MARGIN: f64 = 0.05;
/// Maximum number of workspaces whose use is tracked, and that are accepted from one dispatcher. The
/// one with the least use is replaced, which loses the least information.
pub const MAX_WORKSPACES: usize = 256;
/// Maximum number of other dispatchers whose reports are kept: three times as many as the largest
/// known fleet has.
const MAX_PEERS: usize = 64;
/// Use below this number of tokens is forgotten.
const MIN_USE_TOKENS: f64 = 1.0;
/// Largest use that is accepted from another dispatcher, in tokens: a thousand of the largest
/// requests.
const MAX_REPORTED_TOKENS: f64 = 1e9;
/// Smallest and largest weight of a workspace, so that no quotient of use and weight overflows.
const WEIGHT_RANGE: (f64, f64) = (1e-3, 1e12);
/// Prompt of a request that does not name its size. Only the ratio to other requests matters.
const DEFAULT_PROMPT_TOKENS: u32 = 400;
/// Output of a request that does not name its size.
const DEFAULT_OUTPUT_TOKENS: u32 = 200;
/// A request uses at least this many tokens, because it takes a slot whatever size it claims.
const MIN_REQUEST_TOKENS: u32 = 32;

/// The tokens that count as used when a request is granted: its prompt and expected output.
pub fn request_tokens(size: RequestSize) -> u32 {
    let size = size.bounded();
    let prompt = size.prompt_tokens.unwrap_or(DEFAULT_PROMPT_TOKENS);
    let output = size.expected_output_tokens();
    (prompt + output.unwrap_or(DEFAULT_OUTPUT_TOKENS)).max(MIN_REQUEST_TOKENS)
}

/// What this dispatcher knows about a workspace.
#[derive(Debug, Clone, Copy)]
struct OwnUse {
    /// Tokens granted here, decayed until `WorkspaceShares::decayed_at`.
    tokens: f64,
    /// The rate of the allotment; 1 without one.
    weight: f64,
}

/// What another dispatcher has reported.
#[derive(Debug)]
struct PeerUse {
    received_at: Instant,
    tokens: BTreeMap<WorkspaceName, f64>,
}

/// The use of workspaces at this dispatcher and at the others.
#[derive(Debug, Default)]
pub struct WorkspaceShares {
    own: BTreeMap<WorkspaceName, OwnUse>,
    decayed_at: Option<Instant>,
    peers: BTreeMap<SocketAddr, PeerUse>,
    /// The sum of what the other dispatchers have reported.
    elsewhere: BTreeMap<WorkspaceName, f64>,
}

/// The level of use among the workspaces that compete for a slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareLevel(f64);

impl ShareLevel {
    /// The use in tokens up to which a workspace of this weight has its share.
    pub fn tokens(self, weight: f64) -> f64 {
        self.0 * weight
    }
}

impl WorkspaceShares {
    /// Records that a workspace asks for an engine, and the rate of its allotment.
    pub fn record_request(&mut self, workspace: &WorkspaceName, rate_per_s: Option<f64>) {
        let (min, max) = WEIGHT_RANGE;
        let weight = rate_per_s.map_or(1.0, |rate| rate.clamp(min, max));
        if let Some(known) = self.own.get_mut(workspace) {
            known.weight = weight;
            return;
        }
        if self.own.len() >= MAX_WORKSPACES {
            self.remove_least();
        }
        let tokens = 0.0;
        self.own
            .insert(workspace.clone(), OwnUse { tokens, weight });
    }

    /// Records that a request of this many tokens was granted.
    pub fn record_grant(&mut self, workspace: &str, tokens: f64, now: Instant) {
        self.decay(now);
        if let Some(known) = self.own.get_mut(workspace) {
            known.tokens += tokens;
        }
    }

    /// Replaces what another dispatcher has reported. Names beyond the maximum are ignored.
    pub fn merge_report(
        &mut self,
        from: SocketAddr,
        workspace_use: &[(WorkspaceName, f64)],
        now: Instant,
    ) {
        let is_known = self.peers.contains_key(&from);
        if workspace_use.is_empty() || (!is_known && self.peers.len() >= MAX_PEERS) {
            return;
        }
        let valid = workspace_use
            .iter()
            .filter(|(_, tokens)| tokens.is_finite() && *tokens >= MIN_USE_TOKENS);
        let tokens = valid.take(MAX_WORKSPACES);
        let tokens = tokens.map(|(name, tokens)| (name.clone(), tokens.min(MAX_REPORTED_TOKENS)));
        let report = PeerUse {
            received_at: now,
            tokens: tokens.collect(),
        };
        self.peers.insert(from, report);
        self.sum_elsewhere();
    }

    /// What to report to the other dispatchers.
    pub fn own_use(&self, now: Instant) -> Vec<(WorkspaceName, f64)> {
        let factor = self.decay_factor(now);
        let own = self.own.iter();
        let own = own.map(|(name, own)| (name.clone(), own.tokens * factor));
        own.filter(|(_, tokens)| *tokens >= MIN_USE_TOKENS)
            .collect()
    }

    /// Forgets reports that are too old.
    pub fn remove_expired_reports(&mut self, now: Instant) {
        let count = self.peers.len();
        self.peers
            .retain(|_, report| now < report.received_at + REPORT_TTL);
        if self.peers.len() != count {
            self.sum_elsewhere();
        }
    }

    /// Forgets workspaces that have used nothing lately, except those that wait.
    pub fn remove_unused(&mut self, is_waiting: impl Fn(&str) -> bool, now: Instant) {
        self.decay(now);
        self.own
            .retain(|name, own| own.tokens >= MIN_USE_TOKENS || is_waiting(name));
    }

    /// The level among workspaces that compete, each with the tokens of its waiting requests.
    pub fn level<'a>(
        &self,
        competitors: impl Iterator<Item = (&'a WorkspaceName, f64)>,
        now: Instant,
    ) -> ShareLevel {
        let mut used = 0.0;
        let mut total_weight = 0.0;
        let mut demands: Vec<(f64, f64)> = Vec::new();
        for (workspace, waiting) in competitors {
            let (tokens, weight) = self.use_and_weight(workspace, now);
            used += tokens;
            total_weight += weight;
            demands.push(((tokens + waiting) / weight, weight));
        }
        demands.sort_unstable_by(|(one, _), (other, _)| one.total_cmp(other));
        // Satisfies the demands in increasing order until the rest would get less than they ask for.
        let (mut rest, mut rest_weight) = (used, total_weight);
        for (demand, weight) in demands {
            let level = rest / rest_weight;
            if demand > level {
                return ShareLevel(level);
            }
            rest -= demand * weight;
            rest_weight -= weight;
        }
        // No competitor asks for more than it has used.
        ShareLevel(0.0)
    }

    /// How many tokens a workspace may use until it has its share; none if it is not below it.
    pub fn tokens_below_share(
        &self,
        workspace: &WorkspaceName,
        level: ShareLevel,
        now: Instant,
    ) -> f64 {
        let (tokens, weight) = self.use_and_weight(workspace, now);
        ((1.0 - MARGIN) * level.tokens(weight) - tokens).max(0.0)
    }

    /// Whether a workspace is below its share.
    pub fn is_below_share(
        &self,
        workspace: &WorkspaceName,
        level: ShareLevel,
        now: Instant,
    ) -> bool {
        self.tokens_below_share(workspace, level, now) > 0.0
    }

    /// The tokens that a workspace has used lately, at all dispatchers, and its weight.
    pub fn use_and_weight(&self, workspace: &WorkspaceName, now: Instant) -> (f64, f64) {
        let elsewhere = self.elsewhere.get(workspace).copied().unwrap_or(0.0);
        match self.own.get(workspace) {
            Some(own) => (own.tokens * self.decay_factor(now) + elsewhere, own.weight),
            None => (elsewhere, 1.0),
        }
    }

    /// The age of the oldest report of another dispatcher that counts; `None` without reports.
    pub fn oldest_report_age(&self, now: Instant) -> Option<Duration> {
        let received = self.peers.values().map(|report| report.received_at);
        let oldest = received.min()?;
        Some(now.saturating_duration_since(oldest))
    }

    /// The number of workspaces that are tracked.
    pub fn len(&self) -> usize {
        self.own.len()
    }

    /// Whether no workspace is tracked.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty()
    }

    fn decay_factor(&self, now: Instant) -> f64 {
        let decayed_at = self.decayed_at.unwrap_or(now);
        let passed = now.saturating_duration_since(decayed_at);
        (-passed.as_secs_f64() / USE_DECAY.as_secs_f64()).exp()
    }

    fn decay(&mut self, now: Instant) {
        let factor = self.decay_factor(now);
        for own in self.own.values_mut() {
            own.tokens *= factor;
        }
        self.decayed_at = self.decayed_at.max(Some(now));
    }

    fn remove_least(&mut self) {
        let own = self.own.iter();
        let least = own.min_by(|(_, one), (_, other)| one.tokens.total_cmp(&other.tokens));
        if let Some(name) = least.map(|(name, _)| name.clone()) {
            self.own.remove(&name);
        }
    }

    fn sum_elsewhere(&mut self) {
        self.elsewhere.clear();
        for (name, tokens) in self.peers.values().flat_map(|report| &report.tokens) {
            *self.elsewhere.entry(name.clone()).or_default() += tokens;
        }
    }
}
