//! A simulation of a fleet, without sockets, that compares strategies for enforcing the allotments
//! of workspaces and the advertised limits of upstreams across many instances.
//!
//! The simulation compares the requests that a strategy admits with those that one exact token
//! bucket per workspace would admit.
//!
//! * [`strategies`]: the strategies for allotments, and the trait that all strategies implement.
//! * [`limit_strategies`]: the strategies for the limits of upstreams.
//! * [`cases`]: faults and changes of demand during a simulation.

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

/// Step of the simulated time. The requests that arrive in one step are a random Poisson count.
const STEP: Duration = Duration::from_millis(2);

/// Time until a request is tried again after [`Decision::Unknown`].
const UNKNOWN_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time that an instance holds a request without a decision. An instance waits at least
/// this long for streams of the users' pages: 0.45 of their deadline of 2.4 s.
const MAX_WAIT: Duration = Duration::from_millis(1_080);
/// Time after which a caller retries a request that expired without a decision. After a refusal, a
/// caller uses the delay in [`Decision::Refused`]. Callers retry once, at a random instance.
const CALLER_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A request that needs a decision at `decide_at`.
#[derive(Debug, Clone, Copy)]
struct PendingRequest {
    workspace: usize,
    instance: usize,
    decide_at: Instant,
    expires_at: Instant,
    is_retry: bool,
}

/// A workspace or a limited upstream, and the demand of its callers.
#[derive(Debug, Clone)]
pub struct WorkspaceDemand {
    /// Name of the workspace or upstream.
    pub name: WorkspaceName,
    /// Rate and burst that the workspace or upstream is allowed.
    pub allotment: Allotment,
    /// Demand of the callers without an overload, in units per second.
    pub typical_units_per_s: f64,
}

/// Parameters of a simulation: the fleet, its workspaces and the rule to check.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Number of instances.
    pub instances: usize,
    /// Workspaces or limited upstreams.
    pub workspaces: Vec<WorkspaceDemand>,
    /// Units that each request uses.
    pub cost: f64,
    /// Window and tolerance within which use may exceed the allotment.
    pub bounds: QuotaBounds,
    /// Whether the rule allows the burst in each window in addition to the rate.
    pub allows_burst: bool,
    /// Simulated time.
    pub duration: Duration,
    /// Seed of the random arrivals.
    pub seed: u64,
}

impl Plan {
    /// Returns a plan with 16 workspaces, a few of them large, as on the users' shifted deployment.
    ///
    /// The smallest allotment is 4,200 units per second, the demand of each workspace is 1 / 1.8 of
    /// its allotment, and a request uses 1,500 units.
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
            allows_burst: true,
            duration: Duration::from_secs(24),
            seed,
        }
    }

    /// Returns a plan with upstreams that advertise a limit in requests per second.
    ///
    /// The demand for each upstream is five times its limit. The rule allows 1.5 times the limit
    /// plus five requests in each window of four seconds.
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
            allows_burst: false,
            duration: Duration::from_secs(24),
            seed,
        }
    }
}

/// Result of a simulation.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct SimulationResult {
    /// Maximum number of units by which a workspace exceeded the rule in a window.
    pub over_rule: f64,
    /// Ratio of the units that an exact bucket would have admitted but the strategy did not.
    ///
    /// The shortfall is summed per window, because a workspace cares how many of its requests pass
    /// and not which ones. A request that waited and then passed does not count as missing.
    pub refused_below: f64,
    /// Maximum of this ratio over the workspaces.
    pub refused_worst: f64,
    /// Messages per second and instance, sent and received.
    pub messages_per_s: f64,
}

/// The use of one workspace, compared with an exact token bucket and with the rule.
struct WorkspaceLedger {
    demand: WorkspaceDemand,
    /// Level of the exact bucket, in units.
    exact_level: f64,
    /// Units that the exact bucket admitted.
    due: f64,
    /// Sum of the shortfalls of all windows, in units.
    shortfall: f64,
    /// Units that the exact bucket admitted in the current window.
    due_in_window: f64,
    /// Units that the strategy granted in the current window.
    granted_in_window: f64,
    /// Grants in the sliding window before the last grant.
    recent_grants: VecDeque<(Instant, f64)>,
    /// Sum of `recent_grants`, in units.
    used_in_window: f64,
    /// Maximum number of units above the rule.
    max_excess: f64,
}

impl WorkspaceLedger {
    fn new(demand: &WorkspaceDemand) -> Self {
        Self {
            demand: demand.clone(),
            exact_level: demand.allotment.burst,
            due: 0.0,
            shortfall: 0.0,
            due_in_window: 0.0,
            granted_in_window: 0.0,
            recent_grants: VecDeque::new(),
            used_in_window: 0.0,
            max_excess: 0.0,
        }
    }

    /// Refills the exact bucket.
    fn refill(&mut self, time: Duration) {
        let Allotment { rate_per_s, burst } = self.demand.allotment;
        self.exact_level = (self.exact_level + rate_per_s * time.as_secs_f64()).min(burst);
    }

    /// Adds the shortfall of the current window and starts the next window.
    fn end_window(&mut self) {
        self.shortfall += (self.due_in_window - self.granted_in_window).max(0.0);
        (self.due_in_window, self.granted_in_window) = (0.0, 0.0);
    }

    /// Takes a request from the exact bucket if it fits. Retries are not recorded again.
    fn record_arrival(&mut self, cost: f64) {
        if self.exact_level >= cost {
            self.exact_level -= cost;
            self.due += cost;
            self.due_in_window += cost;
        }
    }

    /// Records a granted request and the excess over the rule.
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
        let burst = if plan.allows_burst { burst } else { 0.0 };
        let allotted = rate_per_s * bounds.window.as_secs_f64() + burst;
        let allowed = allotted * (1.0 + bounds.overage) + bounds.slack;
        self.max_excess = self.max_excess.max(self.used_in_window - allowed);
    }
}

/// Simulates a strategy in a case.
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
                // An instance that is down accepts no request.
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
    let shortfall: f64 = ledgers.iter().map(|ledger| ledger.shortfall).sum();
    let ratios = ledgers.iter().map(|l| l.shortfall / l.due.max(1.0));
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

/// Removes and returns the requests whose decision is due.
fn take_due(pending: &mut Vec<PendingRequest>, now: Instant) -> Vec<PendingRequest> {
    pending
        .extract_if(.., |request| request.decide_at <= now)
        .collect()
}

/// Returns the retry of a request that failed, or `None` if the request was a retry already.
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

/// Converts a count to `f64`, at most [`u32::MAX`].
fn count_f64(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

/// Returns a Poisson-distributed number of requests, drawn by Knuth's method.
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
