//! Ways to keep allotments.

use super::cases::State;
use super::{Asking, Plan};
use passway_serving::allotment::{FallbackQuotas, QuotaBounds, QuotaCoordinator, QuotaDecision};
use passway_serving::workspaces::Allotment;
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// What a way says to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It may pass.
    Granted,
    /// Its workspace has used what it may; when to come back.
    Refused(Duration),
    /// Nobody can say now.
    Unknown,
}

impl Decision {
    fn of(fits: bool) -> Self {
        if fits {
            Self::Granted
        } else {
            Self::Refused(TELL_PAUSE)
        }
    }
}

/// A way to keep workspaces to their allotments.
pub trait Way {
    /// Time goes on.
    fn pass_time(&mut self, state: &State, now: Instant);
    /// Whether an instance lets a request pass.
    fn ask(
        &mut self,
        state: &State,
        instance: usize,
        asking: &Asking,
        cost: f64,
        now: Instant,
    ) -> Decision;
    /// Messages so far, over all instances, each counted where it is sent and where it is received.
    fn messages(&self) -> u64;
}

/// Pause between two looks of the keeper whether what lies in the store has changed.
const KEPT_PAUSE: Duration = Duration::from_secs(1);

pub(super) fn address(instance: usize) -> SocketAddr {
    let port = u16::try_from(instance).unwrap_or(u16::MAX);
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// One instance has the bucket of each workspace and is asked for each request; without it,
/// parts of the rate for a short time. What the product does.
#[derive(Debug)]
pub struct AskedKeeper {
    bounds: QuotaBounds,
    keeper: QuotaCoordinator,
    term: u64,
    parts: HashMap<(usize, u64), FallbackQuotas>,
    /// What a successor finds in the store, as it was told last.
    half_full: BTreeSet<WorkspaceName>,
    tell_at: Option<Instant>,
    allotments: HashMap<WorkspaceName, Allotment>,
    rng: ChaCha8Rng,
    messages: u64,
}

impl AskedKeeper {
    /// Before anything was asked.
    pub fn new(plan: &Plan) -> Self {
        let allotment = |asking: &Asking| (asking.name.clone(), asking.allotment);
        Self {
            bounds: plan.bounds,
            keeper: QuotaCoordinator::new(plan.bounds, passway_types::clock::now()),
            term: 0,
            parts: HashMap::new(),
            half_full: BTreeSet::new(),
            tell_at: None,
            allotments: plan.workspaces.iter().map(allotment).collect(),
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            messages: 0,
        }
    }
}

impl Way for AskedKeeper {
    fn pass_time(&mut self, state: &State, now: Instant) {
        let allotment = |name: &str| self.allotments.get(name).copied();
        if state.term != self.term {
            self.term = state.term;
            self.keeper = QuotaCoordinator::new(self.bounds, now);
            let left = std::mem::take(&mut self.half_full);
            self.keeper.start_half_full(left, allotment);
            self.tell_at = Some(now + KEPT_PAUSE);
        } else if self.tell_at.is_none_or(|at| now >= at) && !state.holder_lost {
            self.tell_at = Some(now + KEPT_PAUSE);
            self.half_full = self.keeper.half_full(allotment, now);
        }
    }

    fn ask(
        &mut self,
        state: &State,
        instance: usize,
        asking: &Asking,
        cost: f64,
        now: Instant,
    ) -> Decision {
        let parts = self
            .parts
            .entry((instance, state.life(instance)))
            .or_default();
        if state.is_cut(instance) || state.holder_lost {
            let fits = parts.try_take(&asking.name, cost, self.rng.random(), now);
            return if fits {
                Decision::Granted
            } else {
                Decision::Unknown
            };
        }
        self.messages += 4;
        match self
            .keeper
            .decide(&asking.name, asking.allotment, address(instance), cost, now)
        {
            QuotaDecision::Granted {
                instance_rate_per_s,
            } => {
                parts.set_rate(&asking.name, instance_rate_per_s, self.bounds.window, now);
                Decision::Granted
            }
            QuotaDecision::Refused { retry_after } => Decision::Refused(retry_after),
        }
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}

/// Pause between two words of the holder on parts or counts.
const TELL_PAUSE: Duration = Duration::from_millis(400);
/// A part that was leased lapses after this.
const LEASE: Duration = Duration::from_millis(1_500);

#[derive(Debug, Clone, Copy)]
struct LeasedPart {
    rate_per_s: f64,
    level: f64,
    at: Instant,
    until: Instant,
    life: u64,
}

/// The holder leases each instance a part of each workspace's rate, by where its requests came in
/// lately; a part is a bucket of its own.
#[derive(Debug)]
pub struct LeasedParts {
    workspaces: Vec<Asking>,
    parts: HashMap<(usize, WorkspaceName), LeasedPart>,
    asked: HashMap<(usize, WorkspaceName), f64>,
    tell_at: Option<Instant>,
    messages: u64,
}

impl LeasedParts {
    /// Before anything was asked.
    pub fn new(plan: &Plan) -> Self {
        Self {
            workspaces: plan.workspaces.clone(),
            parts: HashMap::new(),
            asked: HashMap::new(),
            tell_at: None,
            messages: 0,
        }
    }

    fn lease(&mut self, state: &State, now: Instant) {
        for asking in &self.workspaces {
            let asked = |instance: usize| {
                let known = self.asked.get(&(instance, asking.name.clone()));
                known.copied().unwrap_or(0.0)
            };
            let reached = (0..state.instances()).filter(|one| !state.is_cut(*one));
            let reached: Vec<usize> = reached.collect();
            // A little for each, so that one that was not asked yet can begin.
            let least = asking.allotment.rate_per_s / super::count(state.instances() as u64) / 4.0;
            let all: f64 = reached.iter().map(|one| asked(*one) + least).sum();
            for instance in reached {
                let part = (asked(instance) + least) / all;
                let rate_per_s = part * asking.allotment.rate_per_s;
                let life = state.life(instance);
                let key = (instance, asking.name.clone());
                let known = self.parts.get(&key).filter(|part| part.life == life);
                let level = known.map_or(0.0, |known| known.level);
                let leased = LeasedPart {
                    rate_per_s,
                    level: level.min(part * asking.allotment.burst),
                    at: known.map_or(now, |known| known.at),
                    until: now + LEASE,
                    life,
                };
                self.parts.insert(key, leased);
            }
        }
        for asked in self.asked.values_mut() {
            *asked *= 0.8;
        }
        self.messages += 4 * state.instances() as u64;
    }
}

impl Way for LeasedParts {
    fn pass_time(&mut self, state: &State, now: Instant) {
        if self.tell_at.is_none_or(|at| now >= at) && !state.holder_lost {
            self.tell_at = Some(now + TELL_PAUSE);
            self.lease(state, now);
        }
    }

    fn ask(
        &mut self,
        state: &State,
        instance: usize,
        asking: &Asking,
        cost: f64,
        now: Instant,
    ) -> Decision {
        let key = (instance, asking.name.clone());
        *self.asked.entry(key.clone()).or_default() += cost;
        let life = state.life(instance);
        let part = self.parts.get_mut(&key);
        let Some(part) = part.filter(|part| now < part.until && part.life == life) else {
            return Decision::Unknown;
        };
        let passed = now.saturating_duration_since(part.at).as_secs_f64();
        let most = part.rate_per_s.max(cost);
        part.level = (part.level + part.rate_per_s * passed).min(most);
        part.at = now;
        let fits = part.level >= cost;
        if fits {
            part.level -= cost;
        }
        Decision::of(fits)
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}

/// The holder tells all instances how full each bucket is; each lets pass what seems to fit, by
/// that and what it let pass itself since.
#[derive(Debug)]
pub struct ToldCounts {
    workspaces: Vec<Asking>,
    /// What the holder counts.
    levels: HashMap<WorkspaceName, f64>,
    /// What was told last.
    told: HashMap<WorkspaceName, f64>,
    /// What each instance let pass since.
    own: HashMap<(usize, WorkspaceName), f64>,
    counted_at: Option<Instant>,
    tell_at: Option<Instant>,
    /// The lives of instances that have heard.
    heard: HashMap<usize, u64>,
    messages: u64,
}

impl ToldCounts {
    /// Before anything was asked.
    pub fn new(plan: &Plan) -> Self {
        let full = |asking: &Asking| (asking.name.clone(), asking.allotment.burst);
        Self {
            workspaces: plan.workspaces.clone(),
            levels: plan.workspaces.iter().map(full).collect(),
            told: HashMap::new(),
            own: HashMap::new(),
            counted_at: None,
            tell_at: None,
            heard: HashMap::new(),
            messages: 0,
        }
    }
}

impl Way for ToldCounts {
    fn pass_time(&mut self, state: &State, now: Instant) {
        let before = self.counted_at.replace(now).unwrap_or(now);
        let passed = now.saturating_duration_since(before).as_secs_f64();
        for asking in &self.workspaces {
            let level = self.levels.entry(asking.name.clone()).or_default();
            let rate = asking.allotment.rate_per_s;
            *level = (*level + rate * passed).min(asking.allotment.burst);
        }
        if self.tell_at.is_none_or(|at| now >= at) && !state.holder_lost {
            self.tell_at = Some(now + TELL_PAUSE);
            for ((instance, name), used) in &mut self.own {
                if !state.is_cut(*instance) {
                    *self.levels.entry(name.clone()).or_default() -= std::mem::take(used);
                }
            }
            self.told.clone_from(&self.levels);
            let reached = (0..state.instances()).filter(|one| !state.is_cut(*one));
            self.heard.extend(reached.map(|one| (one, state.life(one))));
            self.messages += 4 * state.instances() as u64;
        }
    }

    fn ask(
        &mut self,
        state: &State,
        instance: usize,
        asking: &Asking,
        cost: f64,
        _now: Instant,
    ) -> Decision {
        if self.heard.get(&instance) != Some(&state.life(instance)) {
            return Decision::Unknown;
        }
        let told = self.told.get(&asking.name).copied().unwrap_or(0.0);
        let own = self.own.entry((instance, asking.name.clone())).or_default();
        let fits = told - *own > 0.0;
        if fits {
            *own += cost;
        }
        Decision::of(fits)
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}
