//! Fault runs of the proof that a configuration is the newest: no instance lets a key in after the
//! bound, whatever is cut, slow, frozen or started again, by clocks that run apart.
//!
//! The store and the ways are played in virtual time. An instance acts only while it is not frozen;
//! what reached it meanwhile it reads after that, as from a socket.

use crate::support::FaultRuns;
use passway_serving::freshness::{Confirmation, Freshness};
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const INSTANCES: usize = 4;
const END_MS: u64 = 20_000;
const BOUND: Duration = Duration::from_secs(5);
const BOUND_MS: u64 = 5_000;
/// The version that takes the key away.
const WITHOUT_KEY: Revision = 2;
/// Clocks run apart by so much at most, as a part: half of what is allowed for.
const DRIFT: f64 = 0.004;

/// From when the age of what an answer tells counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Counts {
    FromQuestion,
    FromAnswer,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Commit(Revision),
    /// An instance asks the store.
    AskStore(usize),
    /// The question of an instance's life has come there.
    AtStore(usize, u64, u64),
    /// The answer: the newest version, and when the question left.
    StoreAnswers(usize, u64, Revision, u64),
    /// An instance asks another.
    AskPeer(usize, usize),
    AtPeer(usize, u64, usize, u64),
    /// The answer: version, age of its proof, and when the question left.
    PeerAnswers(usize, u64, Revision, u64, u64),
    /// News of a version without a proof.
    News(usize, Revision),
    /// A caller with the key comes.
    Request(usize),
    Freeze(usize, u64),
    Restart(usize),
}

#[derive(Debug, Default)]
struct Node {
    freshness: Freshness,
    in_force: Revision,
    life: u64,
    rate: f64,
    frozen_until_ms: u64,
}

struct World {
    rng: ChaCha8Rng,
    counts: Counts,
    begun_at: Instant,
    now_ms: u64,
    newest: Revision,
    taken_away_at_ms: Option<u64>,
    nodes: Vec<Node>,
    /// Ways that are cut: from an instance to another, or to the store, as the last number.
    cut: Vec<(usize, usize)>,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    served: u64,
    broken: Option<String>,
}

impl World {
    fn new(seed: u64, counts: Counts) -> Self {
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            counts,
            begun_at: Instant::now(),
            now_ms: 0,
            newest: 1,
            taken_away_at_ms: None,
            nodes: Vec::new(),
            cut: Vec::new(),
            queue: BinaryHeap::new(),
            number: 0,
            served: 0,
            broken: None,
        };
        world.nodes.resize_with(INSTANCES, Node::default);
        for number in 0..INSTANCES {
            world.nodes[number].rate = 1.0 + world.rng.random_range(-DRIFT..DRIFT);
        }
        for from in 0..INSTANCES {
            for to in 0..=INSTANCES {
                if world.rng.random_bool(0.3) {
                    world.cut.push((from, to));
                }
            }
        }
        let commit_ms = world.rng.random_range(1_000..10_000);
        world.at(commit_ms, Event::Commit(WITHOUT_KEY));
        for _ in 0..400 {
            let at_ms = world.rng.random_range(0..END_MS);
            let event = world.drawn();
            world.at(at_ms, event);
        }
        world
    }

    fn drawn(&mut self) -> Event {
        let one = self.rng.random_range(0..INSTANCES);
        let other = self.rng.random_range(0..INSTANCES);
        match self.rng.random_range(0..100) {
            0..25 => Event::AskStore(one),
            25..55 => Event::AskPeer(one, other),
            55..60 => Event::News(one, 0),
            60..95 => Event::Request(one),
            95..98 => Event::Freeze(one, self.rng.random_range(100..8_000)),
            _ => Event::Restart(one),
        }
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((at_ms, self.number, event)));
    }

    /// Something arrives after a while: usually soon.
    fn send(&mut self, from: usize, to: usize, event: Event) {
        let link = (from.min(to), from.max(to));
        if self.cut.contains(&link) || self.rng.random_bool(0.05) {
            return;
        }
        let slow = self.rng.random_bool(0.1);
        let longest_ms = if slow { 4_000 } else { 10 };
        let delay_ms = self.rng.random_range(1..longest_ms);
        self.at(self.now_ms + delay_ms, event);
    }

    fn local(&self, one: usize, at_ms: u64) -> Instant {
        let time = Duration::from_millis(at_ms);
        self.begun_at + time.mul_f64(self.nodes[one].rate)
    }

    fn now(&self, one: usize) -> Instant {
        self.local(one, self.now_ms)
    }

    /// The instance that acts in an event, unless that is the store.
    fn actor(event: &Event) -> Option<usize> {
        match event {
            Event::Commit(_) | Event::AtStore(..) | Event::Restart(_) => None,
            Event::AskStore(one)
            | Event::StoreAnswers(one, ..)
            | Event::AskPeer(one, _)
            | Event::AtPeer(_, _, one, _)
            | Event::PeerAnswers(one, ..)
            | Event::News(one, _)
            | Event::Request(one)
            | Event::Freeze(one, _) => Some(*one),
        }
    }

    fn run(mut self) -> (u64, Option<String>) {
        while let Some(Reverse((at_ms, _, event))) = self.queue.pop() {
            self.now_ms = at_ms;
            if let Some(one) = Self::actor(&event) {
                let thawed_ms = self.nodes[one].frozen_until_ms;
                if thawed_ms > at_ms {
                    self.at(thawed_ms, event);
                    continue;
                }
            }
            self.play(event);
        }
        (self.served, self.broken)
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Commit(version) => {
                self.newest = version;
                self.taken_away_at_ms = Some(self.now_ms);
            }
            Event::AskStore(one) => {
                let life = self.nodes[one].life;
                self.send(one, INSTANCES, Event::AtStore(one, life, self.now_ms));
            }
            Event::AtStore(one, life, asked_ms) => {
                let newest = self.newest;
                let answer = Event::StoreAnswers(one, life, newest, asked_ms);
                self.send(one, INSTANCES, answer);
            }
            Event::StoreAnswers(one, life, version, asked_ms) => {
                if self.nodes[one].life == life {
                    self.put_in_force(one, version);
                    self.confirm(one, version, asked_ms, 0);
                }
            }
            Event::AskPeer(one, other) if one != other => {
                let life = self.nodes[one].life;
                self.send(one, other, Event::AtPeer(one, life, other, self.now_ms));
            }
            Event::AtPeer(one, life, other, asked_ms) => {
                let now = self.now(other);
                if let Some(proof) = self.nodes[other].freshness.proof() {
                    let age = now.saturating_duration_since(proof.asked_at);
                    let age_ms = u64::try_from(age.as_millis()).expect("short") + 1;
                    let answer = Event::PeerAnswers(one, life, proof.version, age_ms, asked_ms);
                    self.send(one, other, answer);
                }
            }
            Event::PeerAnswers(one, life, version, age_ms, asked_ms) => {
                if self.nodes[one].life == life {
                    self.confirm(one, version, asked_ms, age_ms);
                }
            }
            Event::News(one, _) => {
                let newest = self.newest;
                self.put_in_force(one, newest);
            }
            Event::Request(one) => self.request(one),
            Event::Freeze(one, time_ms) => {
                self.nodes[one].frozen_until_ms = self.now_ms + time_ms;
            }
            Event::Restart(one) => {
                let node = &mut self.nodes[one];
                let (life, rate) = (node.life + 1, node.rate);
                *node = Node {
                    life,
                    rate,
                    ..Node::default()
                };
            }
            Event::AskPeer(..) => {}
        }
    }

    fn put_in_force(&mut self, one: usize, version: Revision) {
        let node = &mut self.nodes[one];
        node.in_force = node.in_force.max(version);
        node.freshness.set_in_force(node.in_force);
    }

    fn confirm(&mut self, one: usize, version: Revision, asked_ms: u64, age_ms: u64) {
        let counted_ms = match self.counts {
            Counts::FromQuestion => asked_ms,
            Counts::FromAnswer => self.now_ms,
        };
        let asked_at = self.local(one, counted_ms);
        if let Some(asked_at) = asked_at.checked_sub(Duration::from_millis(age_ms)) {
            let confirmation = Confirmation { version, asked_at };
            self.nodes[one].freshness.confirm(confirmation);
        }
    }

    /// A request with the key, sent just now.
    fn request(&mut self, one: usize) {
        let now = self.now(one);
        let node = &self.nodes[one];
        let until = node.freshness.permits_until(BOUND);
        let lets_in =
            until.is_some_and(|until| now < until) && (1..WITHOUT_KEY).contains(&node.in_force);
        if !lets_in {
            return;
        }
        self.served += 1;
        let late = self
            .taken_away_at_ms
            .filter(|at_ms| self.now_ms > at_ms + BOUND_MS);
        if let Some(at_ms) = late {
            let text = format!(
                "instance {one} at {} ms, taken away at {at_ms}",
                self.now_ms
            );
            self.broken.get_or_insert(text);
        }
    }
}

fn broken(runs: FaultRuns, counts: Counts) -> (u64, Vec<String>) {
    let mut served = 0;
    let mut all = Vec::new();
    for seed in runs.seeds() {
        let (number, broken) = World::new(seed, counts).run();
        served += number;
        all.extend(broken.map(|text| format!("seed {seed}: {text}")));
    }
    (served, all)
}

#[test]
fn no_key_after_the_bound() {
    let runs = FaultRuns::from_environment(4_000);
    let (served, broken) = broken(runs, Counts::FromQuestion);
    runs.assert_no_violations(&broken);
    // It is no proof if nobody is let in at all.
    assert!(served > 10 * runs.count, "{served} served");
}

/// What the runs find if an answer's age counts from when it is read.
#[test]
fn finds_late_answers() {
    let runs = FaultRuns::from_environment(4_000);
    let (_, broken) = broken(runs, Counts::FromAnswer);
    assert!(!broken.is_empty());
}
