//! The requests that wait at a dispatcher for a slot, and their order.
//!
//! Requests of workspaces below their shares go first ([`WorkspaceShares`]). Then come, in this
//! order:
//!
//! 1. *pressing* requests, by urgency, then by due time;
//! 2. requests that can afford to wait and those that can no longer be in time: by urgency, then
//!    those that can still be in time, then by due time.
//!
//! A request is pressing if it is not late yet, but would be if it let the requests that are due
//! before it go first. At five free slots a second, for example, a request that is due in 300 ms
//! behind three others is pressing, and one that is due in 5 s is not. Its due time is replaced by the
//! end of its wait if that is earlier. For each free slot there is one limit: all requests that must
//! begin before it are pressing. So requests of equal urgency are always in the order of their due
//! times, with late ones last, and a request with a long goal becomes pressing as its due time
//! approaches.
//!
//! Late requests are not pressing, because the order would have a cycle: a late urgent request before
//! a pressing one, that before an urgent one that can afford to wait, and that before the late one.

use super::{RunKey, ShareLevel, WorkspaceShares};
use crate::halls::AllowedRegions;
use crate::upstreams::ModelRef;
use passway_types::prelude::*;
use std::collections::{BTreeMap, HashMap};

/// A waiting request that has not asked again within this time has left: it asks every 50 ms, and
/// an answer may take 60 ms.
const WAITER_TTL: Duration = Duration::from_millis(180);
/// Time constant of the decay of the number of grants, from which the rate of grants is derived.
const GRANT_DECAY: Duration = Duration::from_secs(2);
/// A request is pressing if it is due within this time: it asks every 50 ms, and at the next time
/// another request may have taken the slot.
const PRESSING_MARGIN: Duration = Duration::from_millis(100);
/// A request is pressing if it is due within this many times the time that the requests before it
/// need, because slots become free irregularly.
const PRESSING_RATIO: f64 = 2.0;
/// Counts of grants below this number are forgotten.
const MIN_GRANTS: f64 = 0.01;

/// A request that waits at a dispatcher for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiter {
    /// The model and adapter that the request needs.
    pub model_ref: ModelRef,
    /// The latest time to start the request so that it meets its deadline.
    pub due_at: Instant,
    /// Until when the request may wait for a slot.
    pub wait_until: Instant,
    /// The rank of its route or workspace; 0 is the most urgent.
    pub urgency: u8,
    /// The workspace; a request without one is never below a share.
    pub workspace: Option<WorkspaceName>,
    /// The tokens of the prompt and the expected output.
    pub tokens: u32,
    /// The regions in which the request may be served.
    pub allowed: AllowedRegions,
    /// Engines that the request does not go to.
    pub tried: Vec<String>,
    /// Whether its caller was refused before and has returned as told.
    pub is_return: bool,
}

impl Waiter {
    /// A request without workspace, size or restrictions, of the highest urgency.
    pub fn new(model_ref: ModelRef, due_at: Instant) -> Self {
        Self {
            model_ref,
            due_at,
            wait_until: due_at,
            urgency: 0,
            workspace: None,
            tokens: 0,
            allowed: AllowedRegions::ANY,
            tried: Vec::new(),
            is_return: false,
        }
    }

    /// When the request must begin to be in time and not to be refused. Its wait is over if this is its
    /// last query, or if its instance has the previous version and does not say how long it may wait.
    fn begin_by(&self, now: Instant) -> Instant {
        if self.wait_until > now {
            self.due_at.min(self.wait_until)
        } else {
            self.due_at
        }
    }

    /// The order among requests whose workspaces are equal with regard to their shares; the least
    /// goes first.
    fn rank(&self, pressing_until: Instant, now: Instant) -> impl Ord + use<> {
        let is_late = self.due_at < now;
        let is_pressing = !is_late && self.begin_by(now) <= pressing_until;
        (
            !is_pressing,
            self.urgency,
            is_late,
            !self.is_return,
            self.due_at,
        )
    }
}

/// A free slot, for which some of the waiting requests compete.
#[derive(Clone, Copy)]
pub struct FreeSlot<'a> {
    /// The models on the engine.
    pub models: &'a [ModelName],
    /// Whether the engine has a model and adapter.
    pub has: &'a dyn Fn(&ModelRef) -> bool,
    /// Whether a request that needs one of these may be sent to the engine.
    pub admits: &'a dyn Fn(&Waiter) -> bool,
}

impl std::fmt::Debug for FreeSlot<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("FreeSlot")
            .field("models", &self.models)
            .finish_non_exhaustive()
    }
}

/// How many waiting requests go before a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueuePosition {
    /// Requests that go before it.
    pub ahead: usize,
    /// Requests that will have gone before it when its turn comes. Those of a workspace that is
    /// further below its share go first only until both have used as much of their shares.
    pub expected_ahead: usize,
    /// Requests that would go before it if workspaces had no shares.
    pub ahead_without_shares: usize,
    /// The level of use among the workspaces that compete.
    pub level: ShareLevel,
}

/// Requests with the same needs and workspace.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct LaneKey {
    model_ref: ModelRef,
    workspace: Option<WorkspaceName>,
}

type Lane = HashMap<RunKey, (Waiter, Instant)>;

/// The requests of one workspace that compete for a slot.
#[derive(Debug, Default)]
struct Competitor {
    count: usize,
    tokens: f64,
    /// Requests that go first if shares do not matter.
    ahead: usize,
}

/// A count that decays exponentially.
#[derive(Debug, Clone, Copy)]
struct GrantCount {
    count: f64,
    at: Instant,
}

impl GrantCount {
    fn at(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.at);
        self.count * (-passed.as_secs_f64() / GRANT_DECAY.as_secs_f64()).exp()
    }
}

/// Requests that wait for a slot on a dispatcher's engines.
///
/// Each request asks again some 20 times a second; one that stops asking has left. A free slot is
/// reserved for the requests that come first and could use it, so that it stays idle for at most
/// one such interval, and a request that asks often does not overtake one that is due earlier.
#[derive(Debug, Default)]
pub struct WaitQueue {
    lanes: BTreeMap<LaneKey, Lane>,
    lane_of: HashMap<RunKey, LaneKey>,
    /// Grants of slots to requests for a model.
    grants: BTreeMap<ModelRef, GrantCount>,
    shares: WorkspaceShares,
}

impl WaitQueue {
    /// The use of workspaces, by which the queue is ordered.
    pub fn shares(&self) -> &WorkspaceShares {
        &self.shares
    }

    /// The use of workspaces, to be updated.
    pub fn shares_mut(&mut self) -> &mut WorkspaceShares {
        &mut self.shares
    }

    /// Records a request that found no slot.
    pub fn record(&mut self, key: RunKey, waiter: Waiter, now: Instant) {
        let lane_key = LaneKey {
            model_ref: waiter.model_ref.clone(),
            workspace: waiter.workspace.clone(),
        };
        if self.lane_of.get(&key) != Some(&lane_key) {
            self.remove(key);
            self.lane_of.insert(key, lane_key.clone());
        }
        let lane = self.lanes.entry(lane_key).or_default();
        lane.insert(key, (waiter, now + WAITER_TTL));
    }

    /// Records that a request has got a slot.
    pub fn record_grant(&mut self, key: RunKey, waiter: &Waiter, now: Instant) {
        self.remove(key);
        let unused = GrantCount {
            count: 0.0,
            at: now,
        };
        let grants = self
            .grants
            .entry(waiter.model_ref.clone())
            .or_insert(unused);
        *grants = GrantCount {
            count: grants.at(now) + 1.0,
            at: now,
        };
        if let Some(workspace) = &waiter.workspace {
            self.shares
                .record_grant(workspace, f64::from(waiter.tokens), now);
        }
    }

    /// Removes a request that does not wait any more.
    pub fn remove(&mut self, key: RunKey) {
        let Some(lane_key) = self.lane_of.remove(&key) else {
            return;
        };
        if let Some(lane) = self.lanes.get_mut(&lane_key) {
            lane.remove(&key);
            if lane.is_empty() {
                self.lanes.remove(&lane_key);
            }
        }
    }

    /// Removes requests that have not asked again in time, and what is too old to matter.
    pub fn remove_expired(&mut self, now: Instant) {
        let lane_of = &mut self.lane_of;
        self.lanes.retain(|_, lane| {
            lane.retain(|key, (_, expires_at)| {
                let is_current = now < *expires_at;
                if !is_current {
                    lane_of.remove(key);
                }
                is_current
            });
            !lane.is_empty()
        });
        self.grants.retain(|_, grants| grants.at(now) >= MIN_GRANTS);
        let waiting = self.waiting_by_workspace();
        self.shares
            .remove_unused(|name| waiting.contains_key(name), now);
        self.shares.remove_expired_reports(now);
    }

    /// The number of requests of each workspace that wait.
    pub fn waiting_by_workspace(&self) -> BTreeMap<WorkspaceName, usize> {
        let mut counts = BTreeMap::new();
        for (key, lane) in &self.lanes {
            if let Some(workspace) = &key.workspace {
                *counts.entry(workspace.clone()).or_default() += lane.len();
            }
        }
        counts
    }

    /// Counts the requests that precede the given one and could use the same engine.
    pub fn count_ahead(
        &self,
        key: RunKey,
        waiter: &Waiter,
        could_use: impl Fn(&ModelRef) -> bool,
        now: Instant,
    ) -> usize {
        let lanes = self.lanes.iter();
        let lanes: Vec<_> = lanes
            .filter(|(lane_key, _)| could_use(&lane_key.model_ref))
            .collect();
        let any = |_: &Waiter| true;
        self.position_among(key, waiter, &lanes, &any, now).ahead
    }

    /// Counts the requests for the same model that will have gone before the given one when its turn
    /// comes.
    pub fn expected_ahead(&self, key: RunKey, waiter: &Waiter, now: Instant) -> usize {
        let lanes: Vec<_> = self.lanes_of(&waiter.model_ref.model).collect();
        let any = |_: &Waiter| true;
        self.position_among(key, waiter, &lanes, &any, now)
            .expected_ahead
    }

    /// The position of a request among those that compete for a slot. Its cost does not grow with
    /// the requests for other models.
    pub fn position(
        &self,
        key: RunKey,
        waiter: &Waiter,
        slot: FreeSlot<'_>,
        now: Instant,
    ) -> QueuePosition {
        let lanes = slot.models.iter().flat_map(|model| self.lanes_of(model));
        let lanes: Vec<_> = lanes
            .filter(|(lane_key, _)| (slot.has)(&lane_key.model_ref))
            .collect();
        self.position_among(key, waiter, &lanes, slot.admits, now)
    }

    fn lanes_of(&self, model: &ModelName) -> impl Iterator<Item = (&LaneKey, &Lane)> {
        let first = LaneKey {
            model_ref: ModelRef {
                model: model.clone(),
                adapter: None,
            },
            workspace: None,
        };
        let lanes = self.lanes.range(first..);
        let model = model.clone();
        lanes.take_while(move |(lane_key, _)| lane_key.model_ref.model == model)
    }

    fn position_among(
        &self,
        key: RunKey,
        waiter: &Waiter,
        lanes: &[(&LaneKey, &Lane)],
        admits: &dyn Fn(&Waiter) -> bool,
        now: Instant,
    ) -> QueuePosition {
        let mut others: Vec<&Waiter> = Vec::new();
        // The number of `others` up to the end of each lane.
        let mut lane_ends = Vec::with_capacity(lanes.len());
        for (_, lane) in lanes {
            let current = lane
                .iter()
                .filter(|(other, (_, expires_at))| **other != key && now < *expires_at);
            let waiters = current.map(|(_, (other, _))| other);
            others.extend(waiters.filter(|other| admits(other)));
            lane_ends.push(others.len());
        }
        let grants_per_s = self.grants_per_s(waiter, lanes, now);
        let pressing_until = pressing_until(waiter, &others, grants_per_s, now);
        let own_rank = waiter.rank(pressing_until, now);
        let mut competitors: BTreeMap<Option<&WorkspaceName>, Competitor> = BTreeMap::new();
        let own = competitors.entry(waiter.workspace.as_ref()).or_default();
        own.tokens += f64::from(waiter.tokens);
        let mut start = 0;
        for ((lane_key, _), end) in lanes.iter().zip(lane_ends) {
            if start == end {
                // None of the lane's requests competes, so its workspace does not either.
                continue;
            }
            let competitor = competitors.entry(lane_key.workspace.as_ref()).or_default();
            for other in &others[start..end] {
                competitor.count += 1;
                competitor.tokens += f64::from(other.tokens);
                competitor.ahead += usize::from(other.rank(pressing_until, now) < own_rank);
            }
            start = end;
        }
        self.position_by_share(waiter, &competitors, now)
    }

    /// Rate at which requests that compete for a slot get one, as far as it was observed.
    fn grants_per_s(&self, waiter: &Waiter, lanes: &[(&LaneKey, &Lane)], now: Instant) -> f64 {
        let mut models: Vec<&ModelRef> = lanes.iter().map(|(key, _)| &key.model_ref).collect();
        models.push(&waiter.model_ref);
        models.sort_unstable();
        models.dedup();
        let grants = models.iter().filter_map(|model| self.grants.get(*model));
        grants.map(|grants| grants.at(now)).sum::<f64>() / GRANT_DECAY.as_secs_f64()
    }

    /// How many requests of one workspace are served while so many of another one are, if both get
    /// slots in proportion to their weights.
    fn proportional_count(
        &self,
        of: &WorkspaceName,
        per: &WorkspaceName,
        count: usize,
        now: Instant,
    ) -> usize {
        let (_, weight) = self.shares.use_and_weight(of, now);
        let (_, other_weight) = self.shares.use_and_weight(per, now);
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        let turns = (f64::from(count) * weight / other_weight).ceil();
        Duration::try_from_secs_f64(turns).map_or(usize::MAX, |turns| {
            usize::try_from(turns.as_secs()).unwrap_or(usize::MAX)
        })
    }

    fn position_by_share(
        &self,
        waiter: &Waiter,
        competitors: &BTreeMap<Option<&WorkspaceName>, Competitor>,
        now: Instant,
    ) -> QueuePosition {
        let named = competitors.iter().filter_map(|(workspace, competitor)| {
            workspace.map(|workspace| (workspace, competitor.tokens))
        });
        let level = self.shares.level(named, now);
        let tokens_below = |workspace: Option<&WorkspaceName>| {
            workspace.map_or(0.0, |workspace| {
                self.shares.tokens_below_share(workspace, level, now)
            })
        };
        let own = waiter.workspace.as_ref();
        let is_below = tokens_below(own) > 0.0;
        let mut position = QueuePosition {
            ahead: 0,
            expected_ahead: 0,
            ahead_without_shares: 0,
            level,
        };
        let own_ahead = competitors.get(&own).map_or(0, |own| own.ahead);
        for (workspace, competitor) in competitors {
            position.ahead_without_shares += competitor.ahead;
            if *workspace == own {
                position.ahead += competitor.ahead;
                position.expected_ahead += competitor.ahead;
                continue;
            }
            let ahead = competitor.ahead_by_share(is_below, tokens_below(*workspace));
            position.ahead += ahead;
            position.expected_ahead += match (own, *workspace) {
                (Some(own), Some(other)) => {
                    ahead.min(self.proportional_count(other, own, own_ahead + 1, now))
                }
                _ => ahead,
            };
        }
        position
    }
}

impl Competitor {
    /// How many of its requests precede a request of another workspace. Only as many as the rest of
    /// its share allows go first by it, or a slot would be reserved for a request that is above its
    /// share by the time it asks.
    fn ahead_by_share(&self, is_other_below: bool, tokens_below: f64) -> usize {
        match (tokens_below > 0.0, is_other_below) {
            (false, true) => 0,
            (false, false) => self.ahead,
            (true, true) => self.ahead.min(self.count_until_share(tokens_below)),
            (true, false) => self.ahead.max(self.count_until_share(tokens_below)),
        }
    }

    /// How many of its requests get slots until it has its share; the last one may exceed it.
    fn count_until_share(&self, tokens_below: f64) -> usize {
        let mut count = 0;
        let mut tokens = 0.0;
        let mean = self.tokens / f64::from(u32::try_from(self.count.max(1)).unwrap_or(u32::MAX));
        while count < self.count && tokens < tokens_below {
            count += 1;
            tokens += mean;
        }
        count
    }
}

/// Until when requests that compete for a slot must be due to be pressing.
fn pressing_until(waiter: &Waiter, others: &[&Waiter], grants_per_s: f64, now: Instant) -> Instant {
    if others.iter().all(|other| other.urgency == waiter.urgency) {
        // The order is by due time in any case.
        return now;
    }
    let all = others.iter().copied().chain([waiter]);
    let in_time = all.filter(|one| one.due_at >= now);
    let mut due_times: Vec<Instant> = in_time.map(|one| one.begin_by(now)).collect();
    due_times.sort_unstable();
    let mut pressing_until = now;
    let mut needed_s = 0.0;
    for due_at in due_times {
        needed_s += PRESSING_RATIO / grants_per_s;
        let left = due_at - now;
        if left <= PRESSING_MARGIN || left.as_secs_f64() <= needed_s {
            pressing_until = due_at;
        }
    }
    pressing_until
}
