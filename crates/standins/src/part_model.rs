//! A model of a fleet in virtual time whose engines crash under one part of prompts: many instances, each
//! with its own list of suspects, that tell each other with a delay.

use passway_serving::poison::{
    ExclusiveRuns, PartId, PoisonList, RequestDigest, RunPermission, Suspect, SuspectKey,
    UpstreamStart,
};
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;

/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(10);
/// Time for a message from one instance to another.
const MESSAGE_DELAY: Duration = Duration::from_millis(30);
/// Duration of a sound run, and of one until it crashes its engine.
const SOUND_RUN: Duration = Duration::from_millis(800);
const CRASHING_RUN: Duration = Duration::from_millis(80);
/// How long an engine takes to be replaced.
const RESTART_DURATION: Duration = Duration::from_secs(3);
/// Largest number of attempts of a request.
const MAX_ATTEMPTS: u32 = 2;
/// Number of first and second parts that sound prompts have.
const FIRST_PARTS: u128 = 3;
const SECOND_PARTS: u128 = 179;
/// The part that crashes engines.
const CRASHING: u128 = u128::MAX;
/// The instance that is the holder.
const HOLDER: usize = 0;

/// Size of the fleet and its load.
#[derive(Debug, Clone, Copy)]
pub struct PartPlan {
    /// Seed of the arrivals.
    pub seed: u64,
    /// Number of instances.
    pub instances: usize,
    /// Number of engines.
    pub engines: usize,
    /// Sound requests a second.
    pub sound_per_s: f64,
    /// Requests a second with the crashing part.
    pub crashing_per_s: f64,
    /// Time without, and then with such requests.
    pub calm: Duration,
    /// Time with such requests.
    pub storm: Duration,
}

/// What happened to one request.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    /// When the request arrived at its instance.
    pub at: Instant,
    /// Whether the request has the crashing part.
    pub is_crashing: bool,
    /// Whether the first attempt was sent to an engine.
    pub is_begun: bool,
}

/// What happened in the model.
#[derive(Debug, Default)]
pub struct PartOutcome {
    /// All requests.
    pub requests: Vec<Sent>,
    /// When requests with the crashing part, repeats included, reached engines.
    pub crashing_arrivals: Vec<Instant>,
    /// When engines crashed.
    pub crashes: Vec<Instant>,
    /// Number of suspects that were sent to all instances, once for each receiver.
    pub broadcast_suspects: usize,
}

#[derive(Debug, Clone)]
struct Run {
    instance: usize,
    keys: Vec<SuspectKey>,
    is_crashing: bool,
    attempts: u32,
    sent_at: Instant,
    ends_at: Instant,
    permit: Option<(SuspectKey, u64)>,
}

#[derive(Debug)]
struct Engine {
    starts: u64,
    down_until: Option<Instant>,
    runs: Vec<Run>,
}

#[derive(Debug)]
struct Message {
    at: Instant,
    to: usize,
    suspects: Arc<Vec<Suspect>>,
}

struct Model {
    plan: PartPlan,
    rng: ChaCha8Rng,
    now: Instant,
    lists: Vec<PoisonList>,
    engines: Vec<Engine>,
    messages: Vec<Message>,
    permits: ExclusiveRuns,
    request_count: u64,
    outcome: PartOutcome,
}

/// Runs the model.
pub fn run(plan: PartPlan) -> PartOutcome {
    let engines = (0..plan.engines).map(|_| Engine {
        starts: 0,
        down_until: None,
        runs: Vec::new(),
    });
    let mut model = Model {
        plan,
        rng: ChaCha8Rng::seed_from_u64(plan.seed),
        now: Instant::now(),
        lists: (0..plan.instances).map(|_| PoisonList::default()).collect(),
        engines: engines.collect(),
        messages: Vec::new(),
        permits: ExclusiveRuns::default(),
        request_count: 0,
        outcome: PartOutcome::default(),
    };
    let storm_at = model.now + plan.calm;
    while model.now < storm_at + plan.storm {
        model.deliver_messages();
        model.end_runs();
        model.arrive(plan.sound_per_s, false);
        if model.now >= storm_at {
            model.arrive(plan.crashing_per_s, true);
        }
        model.now += STEP;
    }
    model.outcome
}

impl Model {
    fn deliver_messages(&mut self) {
        let due = self
            .messages
            .extract_if(.., |message| message.at <= self.now);
        for message in due.collect::<Vec<_>>() {
            let keys: Vec<SuspectKey> = message.suspects.iter().map(|one| one.key).collect();
            let received = message.suspects.iter().cloned();
            let (_, urgent) = self.change(message.to, &keys, |list, now| list.merge(received, now));
            if message.to == HOLDER {
                self.broadcast(urgent);
            }
        }
    }

    /// Changes an instance's list. Returns what has changed, and what of that is or was urgent.
    fn change(
        &mut self,
        instance: usize,
        keys: &[SuspectKey],
        apply: impl FnOnce(&mut PoisonList, Instant) -> Vec<Suspect>,
    ) -> (Vec<Suspect>, Vec<Suspect>) {
        let list = &mut self.lists[instance];
        let before = keys.iter().copied();
        let before: Vec<SuspectKey> = before.filter(|key| list.needs_broadcast(*key)).collect();
        let updates = apply(list, self.now);
        let urgent = updates.iter();
        let urgent =
            urgent.filter(|one| before.contains(&one.key) || list.needs_broadcast(one.key));
        let urgent = urgent.cloned().collect();
        (updates, urgent)
    }

    /// Tells suspects to all instances.
    fn broadcast(&mut self, urgent: Vec<Suspect>) {
        let suspects = Arc::new(urgent);
        if !suspects.is_empty() {
            self.outcome.broadcast_suspects += suspects.len() * self.lists.len();
            let at = self.now + MESSAGE_DELAY;
            let messages = (0..self.lists.len()).map(|to| Message {
                at,
                to,
                suspects: suspects.clone(),
            });
            self.messages.extend(messages);
        }
    }

    fn publish(&mut self, (updates, urgent): (Vec<Suspect>, Vec<Suspect>)) {
        if updates.is_empty() {
            return;
        }
        self.broadcast(urgent);
        self.messages.push(Message {
            at: self.now + MESSAGE_DELAY,
            to: HOLDER,
            suspects: Arc::new(updates),
        });
    }

    fn end_runs(&mut self) {
        for number in 0..self.engines.len() {
            let engine = &mut self.engines[number];
            if engine.down_until.is_some_and(|until| until <= self.now) {
                engine.down_until = None;
            }
            let now = self.now;
            let is_due = |run: &mut Run| run.ends_at <= now;
            if engine
                .runs
                .iter_mut()
                .any(|run| run.is_crashing && is_due(run))
            {
                self.crash(number);
                continue;
            }
            let ended: Vec<Run> = engine.runs.extract_if(.., is_due).collect();
            for run in ended {
                self.release_permit(&run);
                let updates = self.change(run.instance, &run.keys, |list, _| {
                    let keys = run.keys.iter();
                    keys.filter_map(|key| list.record_answer(*key)).collect()
                });
                self.publish(updates);
            }
        }
    }

    fn crash(&mut self, number: usize) {
        let engine = &mut self.engines[number];
        let start = UpstreamStart {
            upstream: format!("i-{number}").into(),
            started_at_ms: engine.starts,
        };
        engine.starts += 1;
        engine.down_until = Some(self.now + RESTART_DURATION);
        self.outcome.crashes.push(self.now);
        for run in std::mem::take(&mut self.engines[number].runs) {
            let updates = self.change(run.instance, &run.keys, |list, now| {
                list.record_run_crash(&run.keys, &start, run.sent_at, now)
            });
            self.publish(updates);
            if run.attempts < MAX_ATTEMPTS {
                self.send(run);
            }
        }
    }

    fn release_permit(&mut self, run: &Run) {
        if let Some((key, id)) = run.permit {
            self.permits.release(key, (address(run.instance), id));
        }
    }

    /// Lets requests arrive at random instances.
    fn arrive(&mut self, per_s: f64, is_crashing: bool) {
        let expected = per_s * STEP.as_secs_f64();
        let arrivals =
            expected.floor() + f64::from(u8::from(self.rng.random_bool(expected.fract())));
        let mut left = arrivals;
        while left >= 1.0 {
            left -= 1.0;
            self.request_count += 1;
            let mut digest = [0; 16];
            digest[..8].copy_from_slice(&self.request_count.to_le_bytes());
            let first = self.rng.random_range(0..FIRST_PARTS);
            let second = FIRST_PARTS + self.rng.random_range(0..SECOND_PARTS);
            let second = if is_crashing { CRASHING } else { second };
            let parts = [first, second].map(|id| SuspectKey::Part(PartId(id)));
            let run = Run {
                instance: self.rng.random_range(0..self.plan.instances),
                keys: [&[RequestDigest(digest).into()], &parts[..]].concat(),
                is_crashing,
                attempts: 0,
                sent_at: self.now,
                ends_at: self.now,
                permit: None,
            };
            let is_begun = self.send(run);
            self.outcome.requests.push(Sent {
                at: self.now,
                is_crashing,
                is_begun,
            });
        }
    }

    /// Sends a request to an engine with few runs; false if the request is refused.
    fn send(&mut self, mut run: Run) -> bool {
        let decision = self.lists[run.instance].run_decision(&run.keys, self.now);
        if decision.refused_for.is_some() || decision.permission == RunPermission::Held {
            return false;
        }
        if let Some(key) = decision.exclusive_key {
            let id = (address(run.instance), self.request_count);
            let granted = self
                .permits
                .try_acquire(1, key, id, SOUND_RUN * 2, self.now);
            if granted.is_err() {
                return false;
            }
            run.permit = Some((key, self.request_count));
        }
        let candidates: [usize; 2] = [(); 2].map(|()| self.rng.random_range(0..self.engines.len()));
        let alive = candidates.into_iter().chain(0..self.engines.len());
        let alive: Vec<usize> = alive
            .filter(|number| self.engines[*number].down_until.is_none())
            .take(2)
            .collect();
        let Some(number) = alive
            .into_iter()
            .min_by_key(|number| self.engines[*number].runs.len())
        else {
            return false;
        };
        run.attempts += 1;
        run.sent_at = self.now;
        run.ends_at = self.now
            + if run.is_crashing {
                CRASHING_RUN
            } else {
                SOUND_RUN
            };
        if run.is_crashing {
            self.outcome.crashing_arrivals.push(self.now);
        }
        self.engines[number].runs.push(run);
        true
    }
}

/// The address of an instance.
fn address(instance: usize) -> SocketAddr {
    let port = u16::try_from(instance).unwrap_or(u16::MAX);
    SocketAddr::from(([127, 0, 0, 1], port))
}
