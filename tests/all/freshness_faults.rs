//! Random faults against the proof that a configuration is the newest: no instance accepts a
//! revoked key after the maximum age, whatever is disconnected, slow, paused or restarted, with
//! drifting clocks.
//!
//! The store and the network are simulated in virtual time. A paused instance does nothing;
//! messages that arrive meanwhile are read afterwards, as from a socket.

use crate::support::FaultRuns;
use passway_serving::freshness::{Confirmation, Freshness};
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const INSTANCES: usize = 4;
const END_MS: u64 = 20_000;
const MAX_AGE: Duration = Duration::from_secs(5);
const MAX_AGE_MS: u64 = 5_000;
/// The version that revokes the key.
const WITHOUT_KEY: Revision = 2;
/// Maximum relative drift of a clock: half of the allowed one.
const DRIFT: f64 = 0.004;

/// From when the age of an answer's information counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AgeFrom {
    Request,
    Answer,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Commit(Revision),
    /// An instance sends a request to the store.
    AskStore(usize),
    /// The request arrives at the store, with the instance's number of restarts and the sending
    /// time.
    AtStore(usize, u64, u64),
    /// The answer: the newest version, and when the request was sent.
    StoreAnswers(usize, u64, Revision, u64),
    /// An instance sends a request to another.
    AskPeer(usize, usize),
    AtPeer(usize, u64, usize, u64),
    /// The answer: the version, the age of its proof, and when the request was sent.
    PeerAnswers(usize, u64, Revision, u64, u64),
    /// A version arrives without a proof.
    UnprovedVersion(usize, Revision),
    /// A caller sends a request with the key.
    Request(usize),
    Pause(usize, u64),
    Restart(usize),
}

#[derive(Debug, Default)]
struct Node {
    freshness: Freshness,
    active_version: Revision,
    restarts: u64,
    rate: f64,
    paused_until_ms: u64,
}

struct World {
    rng: ChaCha8Rng,
    age_from: AgeFrom,
    started_at: Instant,
    now_ms: u64,
    newest: Revision,
    revoked_at_ms: Option<u64>,
    nodes: Vec<Node>,
    /// Disconnected links between two instances, or between an instance and the store, which has
    /// the last number.
    disconnected_links: Vec<(usize, usize)>,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    served: u64,
    first_violation: Option<String>,
}

impl World {
    fn new(seed: u64, age_from: AgeFrom) -> Self {
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            age_from,
            started_at: Instant::now(),
            now_ms: 0,
            newest: 1,
            revoked_at_ms: None,
            nodes: Vec::new(),
            disconnected_links: Vec::new(),
            queue: BinaryHeap::new(),
            number: 0,
            served: 0,
            first_violation: None,
        };
        world.nodes.resize_with(INSTANCES, Node::default);
        for number in 0..INSTANCES {
            world.nodes[number].rate = 1.0 + world.rng.random_range(-DRIFT..DRIFT);
        }
        for from in 0..INSTANCES {
            for to in 0..=INSTANCES {
                if world.rng.random_bool(0.3) {
                    world.disconnected_links.push((from, to));
                }
            }
        }
        let commit_ms = world.rng.random_range(1_000..10_000);
        world.at(commit_ms, Event::Commit(WITHOUT_KEY));
        for _ in 0..400 {
            let at_ms = world.rng.random_range(0..END_MS);
            let event = world.random_event();
            world.at(at_ms, event);
        }
        world
    }

    fn random_event(&mut self) -> Event {
        let instance = self.rng.random_range(0..INSTANCES);
        let peer = self.rng.random_range(0..INSTANCES);
        match self.rng.random_range(0..100) {
            0..25 => Event::AskStore(instance),
            25..55 => Event::AskPeer(instance, peer),
            55..60 => Event::UnprovedVersion(instance, 0),
            60..95 => Event::Request(instance),
            95..98 => Event::Pause(instance, self.rng.random_range(100..8_000)),
            _ => Event::Restart(instance),
        }
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((at_ms, self.number, event)));
    }

    /// Delivers a message after a delay, usually a short one.
    fn send(&mut self, from: usize, to: usize, event: Event) {
        let link = (from.min(to), from.max(to));
        if self.disconnected_links.contains(&link) || self.rng.random_bool(0.05) {
            return;
        }
        let is_slow = self.rng.random_bool(0.1);
        let max_ms = if is_slow { 4_000 } else { 10 };
        let delay_ms = self.rng.random_range(1..max_ms);
        self.at(self.now_ms + delay_ms, event);
    }

    fn local(&self, instance: usize, at_ms: u64) -> Instant {
        let time = Duration::from_millis(at_ms);
        self.started_at + time.mul_f64(self.nodes[instance].rate)
    }

    fn now(&self, instance: usize) -> Instant {
        self.local(instance, self.now_ms)
    }

    /// The instance that acts in an event, unless the store does.
    fn actor(event: &Event) -> Option<usize> {
        match event {
            Event::Commit(_) | Event::AtStore(..) | Event::Restart(_) => None,
            Event::AskStore(instance)
            | Event::StoreAnswers(instance, ..)
            | Event::AskPeer(instance, _)
            | Event::AtPeer(_, _, instance, _)
            | Event::PeerAnswers(instance, ..)
            | Event::UnprovedVersion(instance, _)
            | Event::Request(instance)
            | Event::Pause(instance, _) => Some(*instance),
        }
    }

    fn run(mut self) -> (u64, Option<String>) {
        while let Some(Reverse((at_ms, _, event))) = self.queue.pop() {
            self.now_ms = at_ms;
            if let Some(instance) = Self::actor(&event) {
                let resumes_ms = self.nodes[instance].paused_until_ms;
                if resumes_ms > at_ms {
                    self.at(resumes_ms, event);
                    continue;
                }
            }
            self.handle(event);
        }
        (self.served, self.first_violation)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Commit(version) => {
                self.newest = version;
                self.revoked_at_ms = Some(self.now_ms);
            }
            Event::AskStore(instance) => {
                let restarts = self.nodes[instance].restarts;
                self.send(
                    instance,
                    INSTANCES,
                    Event::AtStore(instance, restarts, self.now_ms),
                );
            }
            Event::AtStore(instance, restarts, sent_ms) => {
                let newest = self.newest;
                let answer = Event::StoreAnswers(instance, restarts, newest, sent_ms);
                self.send(instance, INSTANCES, answer);
            }
            Event::StoreAnswers(instance, restarts, version, sent_ms) => {
                if self.nodes[instance].restarts == restarts {
                    self.activate(instance, version);
                    self.confirm(instance, version, sent_ms, 0);
                }
            }
            Event::AskPeer(instance, peer) if instance != peer => {
                let restarts = self.nodes[instance].restarts;
                self.send(
                    instance,
                    peer,
                    Event::AtPeer(instance, restarts, peer, self.now_ms),
                );
            }
            Event::AtPeer(instance, restarts, peer, sent_ms) => {
                let now = self.now(peer);
                if let Some(proof) = self.nodes[peer].freshness.proof() {
                    let age = now.saturating_duration_since(proof.sent_at);
                    let age_ms = u64::try_from(age.as_millis()).expect("short") + 1;
                    let answer =
                        Event::PeerAnswers(instance, restarts, proof.version, age_ms, sent_ms);
                    self.send(instance, peer, answer);
                }
            }
            Event::PeerAnswers(instance, restarts, version, age_ms, sent_ms) => {
                if self.nodes[instance].restarts == restarts {
                    self.confirm(instance, version, sent_ms, age_ms);
                }
            }
            Event::UnprovedVersion(instance, _) => {
                let newest = self.newest;
                self.activate(instance, newest);
            }
            Event::Request(instance) => self.request(instance),
            Event::Pause(instance, duration_ms) => {
                self.nodes[instance].paused_until_ms = self.now_ms + duration_ms;
            }
            Event::Restart(instance) => {
                let node = &mut self.nodes[instance];
                let (restarts, rate) = (node.restarts + 1, node.rate);
                *node = Node {
                    restarts,
                    rate,
                    ..Node::default()
                };
            }
            Event::AskPeer(..) => {}
        }
    }

    fn activate(&mut self, instance: usize, version: Revision) {
        let node = &mut self.nodes[instance];
        node.active_version = node.active_version.max(version);
        node.freshness.set_active_version(node.active_version);
    }

    fn confirm(&mut self, instance: usize, version: Revision, sent_ms: u64, age_ms: u64) {
        let age_start_ms = match self.age_from {
            AgeFrom::Request => sent_ms,
            AgeFrom::Answer => self.now_ms,
        };
        let sent_at = self.local(instance, age_start_ms);
        if let Some(sent_at) = sent_at.checked_sub(Duration::from_millis(age_ms)) {
            let confirmation = Confirmation { version, sent_at };
            self.nodes[instance].freshness.confirm(confirmation);
        }
    }

    /// An instance receives a request with the key that was sent just now.
    fn request(&mut self, instance: usize) {
        let now = self.now(instance);
        let node = &self.nodes[instance];
        let until = node.freshness.keys_valid_until(MAX_AGE);
        let is_accepted = until.is_some_and(|until| now < until)
            && (1..WITHOUT_KEY).contains(&node.active_version);
        if !is_accepted {
            return;
        }
        self.served += 1;
        let violation = self
            .revoked_at_ms
            .filter(|at_ms| self.now_ms > at_ms + MAX_AGE_MS);
        if let Some(at_ms) = violation {
            let text = format!(
                "instance {instance} at {} ms, revoked at {at_ms}",
                self.now_ms
            );
            self.first_violation.get_or_insert(text);
        }
    }
}

fn run_all(runs: FaultRuns, age_from: AgeFrom) -> (u64, Vec<String>) {
    let mut served = 0;
    let mut violations = Vec::new();
    for seed in runs.seeds() {
        let (number, violation) = World::new(seed, age_from).run();
        served += number;
        violations.extend(violation.map(|text| format!("seed {seed}: {text}")));
    }
    (served, violations)
}

#[test]
fn no_revoked_key_after_max_age() {
    let runs = FaultRuns::from_environment(4_000);
    let (served, violations) = run_all(runs, AgeFrom::Request);
    runs.assert_none_broken(&violations);
    // The test proves nothing if no request is accepted.
    assert!(served > 10 * runs.count, "{served} served");
}

/// Checks that the test finds violations if the age of an answer counts from when it is read.
#[test]
fn finds_late_answers() {
    let runs = FaultRuns::from_environment(4_000);
    let (_, violations) = run_all(runs, AgeFrom::Answer);
    assert!(!violations.is_empty());
}
