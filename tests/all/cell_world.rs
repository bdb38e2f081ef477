//! Simulation of one cell on a virtual clock: controllers with a fake key-value service and fake
//! engines.
//!
//! The fake engines check at most the fencing number and execute every other order, so that a wrong
//! order shows up as a broken invariant.

mod calls;
mod engine;
mod invariants;
mod store;

use engine::{Engine, engine_id};
use passway_config::{Catalog, Document};
use passway_decide::cell::upstreams::ListingState;
use passway_decide::cell::{CellController, CellLimits, Event};
use passway_decide::messages::{Demand, DemandVerdict, Order, fence_epoch};
use passway_decide::plan::{Holder, Plan};
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use store::Store;

const TICK: Duration = Duration::from_millis(50);
const STATUS_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time that a message is in flight, which is also the controllers' order settle time.
pub const MAX_DELAY: Duration = Duration::from_secs(6);
/// Probabilities of faults, in percent.
#[derive(Debug, Clone, Copy, Default)]
pub struct FaultChances {
    pub lose_write_answer: u32,
    pub delay_write: u32,
    pub lose_order_answer: u32,
    pub delay_order: u32,
    pub hold_order: u32,
}

/// A message in flight.
#[derive(Debug)]
enum Message {
    ToNode {
        node: usize,
        incarnation: Incarnation,
        event: Event,
    },
    Write {
        expected: Version,
        plan: Box<Plan>,
    },
    Order {
        engine: usize,
        order: Order,
    },
    /// An order of a node that stopped between the check of `not_after` and sending the order.
    PausedOrder {
        node: usize,
        incarnation: Incarnation,
        order: Order,
    },
    Probe {
        prober: usize,
        prober_incarnation: Incarnation,
        epoch: Epoch,
        previous_holder: Holder,
    },
}

#[derive(Debug)]
pub struct Node {
    pub controller: Option<CellController>,
    pub incarnation: Incarnation,
    pub paused_until: Option<Instant>,
    unanswered_epochs: Vec<Epoch>,
    pub routes: BTreeSet<(ModelName, UpstreamId)>,
    pub verdicts: Vec<(Instant, ModelName, DemandVerdict)>,
}

/// The simulated cell.
pub struct CellWorld {
    pub now: Instant,
    started_at: Instant,
    rng: ChaCha8Rng,
    pub fault_chances: FaultChances,
    pub catalog: Arc<Catalog>,
    pub nodes: Vec<Node>,
    pub engines: Vec<Engine>,
    pub store: Store,
    pub load_time: Duration,
    queue: BTreeMap<(Instant, u64), Message>,
    message_count: u64,
    incarnation_count: u64,
    next_status_at: Instant,
    pub violations: Vec<String>,
}

impl CellWorld {
    pub fn new(seed: u64, nodes: usize, document: &Document, fault_chances: FaultChances) -> Self {
        let now = Instant::now();
        let catalog = Arc::new(Catalog::build(document, 1).expect("a valid catalog"));
        let engines = document.upstreams.iter().map(Engine::new);
        let mut world = Self {
            now,
            started_at: now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            fault_chances,
            catalog,
            nodes: Vec::new(),
            engines: engines.collect(),
            store: Store::default(),
            load_time: Duration::from_millis(400),
            queue: BTreeMap::new(),
            message_count: 0,
            incarnation_count: 0,
            next_status_at: now,
            violations: Vec::new(),
        };
        for number in 0..nodes {
            let node = world.new_node(number);
            world.nodes.push(node);
        }
        world
    }

    fn new_node(&mut self, number: usize) -> Node {
        self.incarnation_count += 1;
        let holder = Holder {
            instance: format!("entry{number}").into(),
            incarnation: self.incarnation_count,
            address: format!("10.0.0.{}:7000", number + 1)
                .parse()
                .expect("address"),
        };
        let limits = CellLimits {
            standby_poll_interval: Duration::from_millis(300),
            order_settle_time: MAX_DELAY,
            write_outage_after: Duration::from_millis(500),
        };
        let controller = CellController::new(
            "main".into(),
            holder,
            limits,
            self.catalog.clone(),
            self.now,
        );
        Node {
            controller: Some(controller),
            incarnation: self.incarnation_count,
            paused_until: None,
            unanswered_epochs: Vec::new(),
            routes: BTreeSet::new(),
            verdicts: Vec::new(),
        }
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].controller = None;
        self.nodes[node].unanswered_epochs.clear();
    }

    pub fn restart(&mut self, node: usize) {
        self.nodes[node] = self.new_node(node);
    }

    pub fn pause(&mut self, node: usize, duration: Duration) {
        self.nodes[node].paused_until = Some(self.now + duration);
    }

    pub fn restart_engine(&mut self, engine: usize) {
        self.engines[engine].restart();
    }

    /// Removes an engine with all its models or brings it back empty, and notifies the controllers
    /// of its state in the platform's list.
    pub fn set_listing(&mut self, number: usize, listing: ListingState) {
        self.engines[number].set_removed(listing == ListingState::Removed);
        let upstream = engine_id(number);
        for node in 0..self.nodes.len() {
            let delay = self.random_delay(Duration::from_secs(2));
            let upstream = upstream.clone();
            self.schedule_event(
                delay,
                node,
                Event::UpstreamListingChanged { upstream, listing },
            );
        }
    }

    fn draw_fault(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn random_delay(&mut self, max: Duration) -> Duration {
        let max_ms =
            u64::try_from(max.as_millis()).expect("a delay that fits into u64 milliseconds");
        Duration::from_millis(self.rng.random_range(1..=max_ms))
    }

    fn schedule(&mut self, delay: Duration, message: Message) {
        self.message_count += 1;
        self.queue
            .insert((self.now + delay, self.message_count), message);
    }

    fn schedule_event(&mut self, delay: Duration, node: usize, event: Event) {
        let incarnation = self.nodes[node].incarnation;
        self.schedule(
            delay,
            Message::ToNode {
                node,
                incarnation,
                event,
            },
        );
    }

    /// Advances the virtual clock.
    pub fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            let step_until = (self.now + TICK).min(until);
            while let Some(entry) = self.queue.first_entry() {
                if entry.key().0 > step_until {
                    break;
                }
                let ((at, _), message) = entry.remove_entry();
                self.now = self.now.max(at);
                self.deliver(message);
                self.check_invariants();
            }
            self.now = step_until;
            for node in 0..self.nodes.len() {
                self.handle_event(node, Event::Tick);
            }
            self.poll_engines();
            self.check_invariants();
        }
    }

    pub fn is_running(&self, node: usize) -> bool {
        let node = &self.nodes[node];
        node.controller.is_some() && node.paused_until.is_none_or(|until| self.now >= until)
    }

    fn handle_event(&mut self, node: usize, event: Event) {
        if !self.is_running(node) {
            return;
        }
        if let Event::OrderAnswered { fence, .. } = &event {
            let epoch = fence_epoch(*fence);
            let unanswered_epochs = &mut self.nodes[node].unanswered_epochs;
            if let Some(index) = unanswered_epochs
                .iter()
                .position(|unanswered| *unanswered == epoch)
            {
                unanswered_epochs.remove(index);
            }
        }
        let now = self.now;
        let controller = self.nodes[node]
            .controller
            .as_mut()
            .expect("a running node");
        for action in controller.handle(now, event) {
            self.perform(node, action);
        }
    }

    fn poll_engines(&mut self) {
        if self.now < self.next_status_at {
            return;
        }
        self.next_status_at = self.now + STATUS_INTERVAL;
        for node in 0..self.nodes.len() {
            let is_leader = self.nodes[node]
                .controller
                .as_ref()
                .is_some_and(|c| c.term().is_some());
            if !is_leader || !self.is_running(node) {
                continue;
            }
            for engine in 0..self.engines.len() {
                let status = self.engines[engine].status(self.now);
                let upstream = engine_id(engine);
                let event = Event::StatusPolled {
                    upstream,
                    polled_at: self.now,
                    status,
                };
                let delay = self.random_delay(Duration::from_millis(300));
                self.schedule_event(delay, node, event);
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::ToNode {
                node,
                incarnation,
                event,
            } => {
                if self.nodes[node].incarnation != incarnation {
                    return;
                }
                match self.nodes[node].paused_until {
                    // A paused process receives the event when it resumes.
                    Some(until) if self.now < until => {
                        self.schedule(
                            until - self.now,
                            Message::ToNode {
                                node,
                                incarnation,
                                event,
                            },
                        );
                    }
                    _ => self.handle_event(node, event),
                }
            }
            Message::Write { expected, plan } => drop(self.store.write(expected, *plan)),
            Message::Order { engine, .. } if self.engines[engine].is_down => {}
            Message::Order { engine, order } => drop(self.execute_order(engine, &order)),
            Message::PausedOrder {
                node,
                incarnation,
                order,
            } => self.send_order(node, incarnation, order),
            Message::Probe {
                prober,
                prober_incarnation,
                epoch,
                previous_holder,
            } => {
                self.answer_probe(prober, prober_incarnation, epoch, &previous_holder);
            }
        }
    }

    /// Sends a demand to every running controller.
    pub fn demand(&mut self, model: &str, waiting: u32, deadline: Duration) {
        let demand = Demand {
            router: 1_000,
            model: model.into(),
            workspace: "default".into(),
            waiting,
            earliest_deadline_at: self.now + deadline,
            priority: 100,
        };
        for node in 0..self.nodes.len() {
            self.handle_event(node, Event::Demand(demand.clone()));
        }
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|node| {
            let controller = self.nodes[*node].controller.as_ref();
            self.is_running(*node)
                && controller
                    .and_then(CellController::term)
                    .is_some_and(|term| term.has_lease(self.now))
        })
    }

    /// Whether the leader has published a route for the model.
    pub fn is_served(&self, model: &str) -> bool {
        self.leader().is_some_and(|node| {
            self.nodes[node]
                .routes
                .iter()
                .any(|(routed, _)| &**routed == model)
        })
    }
}
