//! Ways to keep workspaces to their allotments, and upstreams in need to their limits, over many
//! instances, played in a model of a fleet without sockets: who admits what, and what an exact count
//! would have said.
//!
//! * [`ways`]: the ways, behind one trait. [`limit_ways`]: those for limits.
//! * [`cases`]: what callers and instances do.

pub mod cases;
pub mod limit_ways;
pub mod ways;

use cases::{Case, State};
use passway_serving::allotment::QuotaBounds;
use passway_serving::limits;
use passway_serving::workspaces::Allotment;
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::collections::VecDeque;
use ways::{Decision, Way};

/// Requests that nobody but the requests' own luck times come so far apart: the model's step.
const STEP: Duration = Duration::from_millis(2);

/// A request of which nobody can say whether it may pass is asked again after this.
const ASK_PAUSE: Duration = Duration::from_millis(50);
/// And for so long: the shortest wait of the product for streams of the users' pages, 0.45 of 2.4 s.
const ASKED_FOR: Duration = Duration::from_millis(1_080);
/// Callers come back once, to an instance drawn anew, after the time that they are told: this one
/// where nobody can say.
const COMES_BACK: Duration = Duration::from_millis(500);

/// A request that waits for a decision.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    workspace: usize,
    instance: usize,
    ask_at: Instant,
    until: Instant,
    has_returned: bool,
}

/// A workspace and how much its callers ask.
#[derive(Debug, Clone)]
pub struct Asking {
    /// Its name.
    pub name: WorkspaceName,
    /// What it may use.
    pub allotment: Allotment,
    /// Units a second that its callers ask on a usual day.
    pub usual_per_s: f64,
}

/// A fleet and its work.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Instances.
    pub instances: usize,
    /// Workspaces.
    pub workspaces: Vec<Asking>,
    /// Units of one request.
    pub cost: f64,
    /// What may be used beyond allotments.
    pub bounds: QuotaBounds,
    /// Whether what may go at once counts towards what is allowed in a window, besides the rate.
    pub allows_burst: bool,
    /// Length of a play.
    pub time: Duration,
    /// Fixes the requests.
    pub seed: u64,
}

impl Plan {
    /// Sixteen workspaces, a few of them large, as on the users' shifted deployment: the smallest may
    /// use 4,200 units a second, each asks 1 / 1.8 of what it may, a request counts 1,500.
    pub fn usual(instances: usize, seed: u64) -> Self {
        let allotted = |number: u32| 273_000.0 / f64::from(number * number);
        let workspaces = (1..=16).map(|number| {
            let rate_per_s = allotted(number).max(4_200.0);
            Asking {
                name: format!("w{number}").into(),
                allotment: Allotment {
                    rate_per_s,
                    burst: rate_per_s,
                },
                usual_per_s: rate_per_s / 1.8,
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
            time: Duration::from_secs(24),
            seed,
        }
    }

    /// Upstreams in need instead of workspaces: each names how many requests a second it takes, and
    /// callers ask for five times that. In four seconds one and a half times the limit and five
    /// requests are allowed.
    pub fn upstreams_in_need(instances: usize, seed: u64) -> Self {
        let limits = [50.0, 12.0, 5.0, 2.3, 1.1, 0.5];
        let upstreams = limits.iter().map(|per_s| Asking {
            name: format!("{per_s}/s").into(),
            allotment: limits::allotment(*per_s),
            usual_per_s: per_s * 5.0,
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
            time: Duration::from_secs(24),
            seed,
        }
    }
}

/// What came of a play.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Figures {
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
struct Ledger {
    asking: Asking,
    /// The level of an exact count.
    level: f64,
    owed: f64,
    refused_below: f64,
    /// Of the present window.
    owed_now: f64,
    granted_now: f64,
    used: VecDeque<(Instant, f64)>,
    in_window: f64,
    over: f64,
}

impl Ledger {
    fn new(asking: &Asking) -> Self {
        Self {
            asking: asking.clone(),
            level: asking.allotment.burst,
            owed: 0.0,
            refused_below: 0.0,
            owed_now: 0.0,
            granted_now: 0.0,
            used: VecDeque::new(),
            in_window: 0.0,
            over: 0.0,
        }
    }

    fn pass_time(&mut self, time: Duration) {
        let Allotment { rate_per_s, burst } = self.asking.allotment;
        self.level = (self.level + rate_per_s * time.as_secs_f64()).min(burst);
    }

    /// A window is over.
    fn end_window(&mut self) {
        self.refused_below += (self.owed_now - self.granted_now).max(0.0);
        (self.owed_now, self.granted_now) = (0.0, 0.0);
    }

    /// A request is asked for the first time.
    fn asked(&mut self, cost: f64) {
        if self.level >= cost {
            self.level -= cost;
            self.owed += cost;
            self.owed_now += cost;
        }
    }

    /// A request passes.
    fn granted(&mut self, plan: &Plan, now: Instant) {
        let (cost, bounds) = (plan.cost, plan.bounds);
        self.granted_now += cost;
        self.used.push_back((now, cost));
        self.in_window += cost;
        while let Some((_, cost)) = self
            .used
            .pop_front_if(|(at, _)| now.saturating_duration_since(*at) > bounds.window)
        {
            self.in_window -= cost;
        }
        let Allotment { rate_per_s, burst } = self.asking.allotment;
        let burst = if plan.allows_burst { burst } else { 0.0 };
        let allotted = rate_per_s * bounds.window.as_secs_f64() + burst;
        let most = allotted * (1.0 + bounds.overage) + bounds.slack;
        self.over = self.over.max(self.in_window - most);
    }
}

/// Plays a way in a case.
pub fn play(plan: &Plan, case: Case, way: &mut dyn Way) -> Figures {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let begun_at = clock();
    let mut ledgers: Vec<Ledger> = plan.workspaces.iter().map(Ledger::new).collect();
    let mut waiting = Vec::new();
    let mut passed = Duration::ZERO;
    while passed < plan.time {
        let now = begun_at + passed;
        let state = case.state(plan, passed);
        let window_ms = plan.bounds.window.as_millis();
        if passed.as_millis().is_multiple_of(window_ms) {
            ledgers.iter_mut().for_each(Ledger::end_window);
        }
        way.pass_time(&state, now);
        let mut asked = take_due(&mut waiting, now);
        for (number, ledger) in ledgers.iter_mut().enumerate() {
            ledger.pass_time(STEP);
            let asked_per_s = ledger.asking.usual_per_s * state.times(number);
            let mean = asked_per_s * STEP.as_secs_f64() / plan.cost;
            for _ in 0..poisson(&mut rng, mean) {
                // An instance that is not there takes no request.
                let instance = state.instance(&mut rng);
                if !state.is_gone(instance) {
                    ledger.asked(plan.cost);
                    asked.push(Waiting {
                        workspace: number,
                        instance,
                        ask_at: now,
                        until: now + ASKED_FOR,
                        has_returned: false,
                    });
                }
            }
        }
        for request in asked {
            let ledger = &mut ledgers[request.workspace];
            let asking = &ledger.asking;
            match way.ask(&state, request.instance, asking, plan.cost, now) {
                Decision::Granted => ledger.granted(plan, now),
                Decision::Refused(after) => {
                    waiting.extend(comes_back(request, &state, &mut rng, now + after));
                }
                Decision::Unknown if now < request.until => waiting.push(Waiting {
                    ask_at: now + ASK_PAUSE,
                    ..request
                }),
                Decision::Unknown => {
                    waiting.extend(comes_back(request, &state, &mut rng, now + COMES_BACK));
                }
            }
        }
        passed += STEP;
    }
    ledgers.iter_mut().for_each(Ledger::end_window);
    let owed: f64 = ledgers.iter().map(|ledger| ledger.owed).sum();
    let refused: f64 = ledgers.iter().map(|ledger| ledger.refused_below).sum();
    let parts = ledgers.iter().map(|l| l.refused_below / l.owed.max(1.0));
    let sent = count(way.messages()) / count(plan.instances as u64);
    Figures {
        over_rule: ledgers.iter().map(|ledger| ledger.over).fold(0.0, f64::max),
        refused_below: refused / owed.max(1.0),
        refused_worst: parts.fold(0.0, f64::max),
        messages_per_s: sent / plan.time.as_secs_f64(),
    }
}

/// Takes out the requests that are asked again now.
fn take_due(waiting: &mut Vec<Waiting>, now: Instant) -> Vec<Waiting> {
    waiting
        .extract_if(.., |request| request.ask_at <= now)
        .collect()
}

/// A request that was refused comes back, if it has not yet.
fn comes_back(
    request: Waiting,
    state: &State,
    rng: &mut ChaCha8Rng,
    back_at: Instant,
) -> Option<Waiting> {
    (!request.has_returned).then(|| Waiting {
        instance: state.instance(rng),
        ask_at: back_at,
        until: back_at + ASKED_FOR,
        has_returned: true,
        ..request
    })
}

fn clock() -> Instant {
    passway_types::clock::now()
}

/// A count as a number.
fn count(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

/// Requests in a step; two at a time are as likely as by chance.
fn poisson(rng: &mut ChaCha8Rng, mean: f64) -> u32 {
    let (limit, mut product, mut number) = ((-mean).exp(), 1.0, 0);
    loop {
        product *= rng.random_range(0.0..1.0_f64);
        if product <= limit {
            return number;
        }
        number += 1;
    }
}
