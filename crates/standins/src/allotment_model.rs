//! Ways to keep workspaces to their allotments, and upstreams in need to their limits, over many
//! instances, played in a model of a fleet without sockets: who admits what, and what an exact count
//! would have said.
//!
//! * [`strategies`]: the ways, behind one trait. [`limit_strategies`]: those for limits.
//! * [`cases`]: what callers and instances do.

pub mod cases;
pub mod limit_strategies;
pub mod strategies;

use cases::{Case, FleetState};
use passway_serving::allotment::QuotaBounds;
use passway_serving::limits;
use passway_serving::workspaces::Allotment;
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::collections::VecDeque;
use strategies::{Decision, Strategy};

/// Requests that nobody but the requests' own luck times come so far apart: the model's step.
const STEP: Duration = Duration::from_millis(2);

/// A request of which nobody can say whether it may pass is asked again after this.
const UNKNOWN_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// And for so long: the shortest wait of the product for streams of the users' pages, 0.45 of 2.4 s.
const MAX_WAIT: Duration = Duration::from_millis(1_080);
/// Callers come back once, to an instance drawn anew, after the time that they are told: this one
/// where nobody can say.
const CALLER_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A request that waits for a decision.
#[derive(Debug, Clone, Copy)]
struct PendingRequest {
    workspace: usize,
    instance: usize,
    decide_at: Instant,
    expires_at: Instant,
    is_retry: bool,
}

/// A workspace and how much its callers ask.
#[derive(Debug, Clone)]
pub struct WorkspaceDemand {
    /// Its name.
    pub name: WorkspaceName,
    /// What it may use.
    pub allotment: Allotment,
    /// Units a second that its callers ask on a usual day.
    pub typical_units_per_s: f64,
}

/// A fleet and its work.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Instances.
    pub instances: usize,
    /// Workspaces.
    pub workspaces: Vec<WorkspaceDemand>,
    /// Units of one request.
    pub cost: f64,
    /// What may be used beyond allotments.
    pub bounds: QuotaBounds,
    /// Whether what may go at once counts towards what is allowed in a window, besides the rate.
    pub counts_burst: bool,
    /// Length of a play.
    pub duration: Duration,
    /// Fixes the requests.
    pub seed: u64,
}

impl Plan {
    /// Sixteen workspaces, a few of them large, as on the users' shifted deployment: the smallest may
    /// use 4,200 units a second, each asks 1 / 1.8 of what it may, a request counts 1,500.
    pub fn typical_workspaces(instances: usize, seed: u64) -> Self {
        let rate_of = |number: u32| 273_000.0 / f64::from(number * number);
        let workspaces = (1..=16).map(|number| {
            let rate_per_s = rate_of(number).max(4_200.0);
            WorkspaceDemand {
                name: format!("w{number}").into(),
                allotment: Allotment {
                    rate_per_s,
                    burst: rate_per_s,
                },
                typical_units_per_s: rate_per_s / 1.8,
            }
        });
        Self {
            instances,
            workspaces: workspaces.collect(),
            cost: 1_500.0,
            bounds: QuotaBounds {
                window: Duration::from_secs(8),
                overage: 0.1,
                slack: 17_000.0,
            },
            counts_burst: true,
            duration: Duration::from_secs(24),
            seed,
        }
    }

    /// Upstreams in need instead of workspaces: each names how many requests a second it takes, and
    /// callers ask for five times that. In four seconds one and a half times the limit and five
    /// requests are allowed.
    pub fn limited_upstreams(instances: usize, seed: u64) -> Self {
        let limits = [50.0, 12.0, 5.0, 2.3, 1.1, 0.5];
        let upstreams = limits.iter().map(|per_s| WorkspaceDemand {
            name: format!("{per_s}/s").into(),
            allotment: limits::allotment(*per_s),
            typical_units_per_s: per_s * 5.0,
        });
        Self {
            instances,
            workspaces: upstreams.collect(),
            cost: 1.0,
            bounds: QuotaBounds {
                window: Duration::from_secs(4),
                overage: 0.5,
                slack: 5.0,
            },
            counts_burst: false,
            duration: Duration::from_secs(24),
            seed,
        }
    }
}

/// What came of a play.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct SimulationResult {
    /// Most units that a workspace used beyond the rule in a window.
    pub over_rule: f64,
    /// Part of what an exact count would have admitted that was missing, window by window: which of
    /// many requests pass is the same to their workspace, how many do is not. One that waited and
    /// passed then isn't missing.
    pub refused_below: f64,
    /// The same of the workspace that had most of its own refused.
    pub refused_worst: f64,
    /// Messages of an instance in a second, sent and received.
    pub messages_per_s: f64,
}

/// What one workspace used and was owed.
struct WorkspaceLedger {
    demand: WorkspaceDemand,
    /// The level of an exact count.
    exact_level: f64,
    due: f64,
    refused_below: f64,
    /// Of the present window.
    due_in_window: f64,
    granted_in_window: f64,
    recent_grants: VecDeque<(Instant, f64)>,
    used_in_window: f64,
    max_excess: f64,
}

impl WorkspaceLedger {
    fn new(demand: &WorkspaceDemand) -> Self {
        Self {
            demand: demand.clone(),
            exact_level: demand.allotment.burst,
            due: 0.0,
            refused_below: 0.0,
            due_in_window: 0.0,
            granted_in_window: 0.0,
            recent_grants: VecDeque::new(),
            used_in_window: 0.0,
            max_excess: 0.0,
        }
    }

    fn refill(&mut self, time: Duration) {
        let Allotment { rate_per_s, burst } = self.demand.allotment;
        self.exact_level = (self.exact_level + rate_per_s * time.as_secs_f64()).min(burst);
    }

    /// A window is over.
    fn end_window(&mut self) {
        self.refused_below += (self.due_in_window - self.granted_in_window).max(0.0);
        (self.due_in_window, self.granted_in_window) = (0.0, 0.0);
    }

    /// A request is asked for the first time.
    fn record_arrival(&mut self, cost: f64) {
        if self.exact_level >= cost {
            self.exact_level -= cost;
            self.due += cost;
            self.due_in_window += cost;
        }
    }

    /// A request passes.
    fn record_grant(&mut self, plan: &Plan, now: Instant) {
        let (cost, bounds) = (plan.cost, plan.bounds);
        self.granted_in_window += cost;
        self.recent_grants.push_back((now, cost));
        self.used_in_window += cost;
        while let Some((_, cost)) = self
            .recent_grants
            .pop_front_if(|(at, _)| now.saturating_duration_since(*at) > bounds.window)
        {
            self.used_in_window -= cost;
        }
        let Allotment { rate_per_s, burst } = self.demand.allotment;
        let burst = if plan.counts_burst { burst } else { 0.0 };
        let allotted = rate_per_s * bounds.window.as_secs_f64() + burst;
        let allowed = allotted * (1.0 + bounds.overage) + bounds.slack;
        self.max_excess = self.max_excess.max(self.used_in_window - allowed);
    }
}

/// Plays a way in a case.
pub fn simulate(plan: &Plan, case: Case, strategy: &mut dyn Strategy) -> SimulationResult {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let started_at = clock();
    let mut ledgers: Vec<WorkspaceLedger> =
        plan.workspaces.iter().map(WorkspaceLedger::new).collect();
    let mut pending = Vec::new();
    let mut elapsed = Duration::ZERO;
    while elapsed < plan.duration {
        let now = started_at + elapsed;
        let state = case.state(plan, elapsed);
        let window_ms = plan.bounds.window.as_millis();
        if elapsed.as_millis().is_multiple_of(window_ms) {
            ledgers.iter_mut().for_each(WorkspaceLedger::end_window);
        }
        strategy.advance(&state, now);
        let mut due_requests = take_due(&mut pending, now);
        for (index, ledger) in ledgers.iter_mut().enumerate() {
            ledger.refill(STEP);
            let units_per_s = ledger.demand.typical_units_per_s * state.demand_factor(index);
            let mean = units_per_s * STEP.as_secs_f64() / plan.cost;
            for _ in 0..random_poisson(&mut rng, mean) {
                // An instance that is not there takes no request.
                let instance = state.random_instance(&mut rng);
                if !state.is_down(instance) {
                    ledger.record_arrival(plan.cost);
                    due_requests.push(PendingRequest {
                        workspace: index,
                        instance,
                        decide_at: now,
                        expires_at: now + MAX_WAIT,
                        is_retry: false,
                    });
                }
            }
        }
        for request in due_requests {
            let ledger = &mut ledgers[request.workspace];
            let demand = &ledger.demand;
            match strategy.decide(&state, request.instance, demand, plan.cost, now) {
                Decision::Granted => ledger.record_grant(plan, now),
                Decision::Refused(retry_after) => {
                    pending.extend(caller_retry(request, &state, &mut rng, now + retry_after));
                }
                Decision::Unknown if now < request.expires_at => pending.push(PendingRequest {
                    decide_at: now + UNKNOWN_RETRY_INTERVAL,
                    ..request
                }),
                Decision::Unknown => {
                    pending.extend(caller_retry(
                        request,
                        &state,
                        &mut rng,
                        now + CALLER_RETRY_DELAY,
                    ));
                }
            }
        }
        elapsed += STEP;
    }
    ledgers.iter_mut().for_each(WorkspaceLedger::end_window);
    let due: f64 = ledgers.iter().map(|ledger| ledger.due).sum();
    let shortfall: f64 = ledgers.iter().map(|ledger| ledger.refused_below).sum();
    let ratios = ledgers.iter().map(|l| l.refused_below / l.due.max(1.0));
    let messages = count_f64(strategy.messages()) / count_f64(plan.instances as u64);
    SimulationResult {
        over_rule: ledgers
            .iter()
            .map(|ledger| ledger.max_excess)
            .fold(0.0, f64::max),
        refused_below: shortfall / due.max(1.0),
        refused_worst: ratios.fold(0.0, f64::max),
        messages_per_s: messages / plan.duration.as_secs_f64(),
    }
}

/// Takes out the requests that are asked again now.
fn take_due(pending: &mut Vec<PendingRequest>, now: Instant) -> Vec<PendingRequest> {
    pending
        .extract_if(.., |request| request.decide_at <= now)
        .collect()
}

/// A request that was refused comes back, if it has not yet.
fn caller_retry(
    request: PendingRequest,
    state: &FleetState,
    rng: &mut ChaCha8Rng,
    retry_at: Instant,
) -> Option<PendingRequest> {
    (!request.is_retry).then(|| PendingRequest {
        instance: state.random_instance(rng),
        decide_at: retry_at,
        expires_at: retry_at + MAX_WAIT,
        is_retry: true,
        ..request
    })
}

fn clock() -> Instant {
    passway_types::clock::now()
}

/// A count as a number.
fn count_f64(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

/// Requests in a step; two at a time are as likely as by chance.
fn random_poisson(rng: &mut ChaCha8Rng, mean: f64) -> u32 {
    let (threshold, mut product, mut number) = ((-mean).exp(), 1.0, 0);
    loop {
        product *= rng.random_range(0.0..1.0_f64);
        if product <= threshold {
            return number;
        }
        number += 1;
    }
}
