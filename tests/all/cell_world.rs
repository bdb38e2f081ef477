//! Fakes at the interfaces of a cell's decisions, on a virtual clock.
//!
//! The fake engines do not defend themselves: they load whatever arrives and
//! is not fenced off. Whatever breaks a promise therefore shows.

mod calls;
mod engine;
mod promises;
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
const STATUS_PAUSE: Duration = Duration::from_millis(200);
/// Longest time that a message is under way; the settle time of the controllers.
pub const LONGEST_DELAY: Duration = Duration::from_secs(6);
/// What goes wrong by chance, each in percent.
#[derive(Debug, Clone, Copy, Default)]
pub struct Chances {
    pub lose_write_answer: u32,
    pub delay_write: u32,
    pub lose_order_answer: u32,
    pub delay_order: u32,
    pub hold_order: u32,
}

/// A message under way.
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
    /// An order that passed the check of its time and waits to be sent.
    InHand {
        node: usize,
        incarnation: Incarnation,
        order: Order,
    },
    Probe {
        asker: usize,
        asker_incarnation: Incarnation,
        epoch: Epoch,
        former: Holder,
    },
}

#[derive(Debug)]
pub struct Node {
    pub controller: Option<CellController>,
    pub incarnation: Incarnation,
    pub paused_until: Option<Instant>,
    in_hand: Vec<Epoch>,
    pub routes: BTreeSet<(ModelName, UpstreamId)>,
    pub verdicts: Vec<(Instant, ModelName, DemandVerdict)>,
}

/// The world of one cell.
pub struct CellWorld {
    pub now: Instant,
    start: Instant,
    rng: ChaCha8Rng,
    pub chances: Chances,
    pub catalog: Arc<Catalog>,
    pub nodes: Vec<Node>,
    pub engines: Vec<Engine>,
    pub store: Store,
    pub load_time: Duration,
    queue: BTreeMap<(Instant, u64), Message>,
    sent: u64,
    started_nodes: u64,
    status_at: Instant,
    pub violations: Vec<String>,
}

impl CellWorld {
    pub fn new(seed: u64, nodes: usize, document: &Document, chances: Chances) -> Self {
        let now = Instant::now();
        let catalog = Arc::new(Catalog::build(document, 1).expect("catalog"));
        let engines = document.upstreams.iter().map(Engine::new);
        let mut world = Self {
            now,
            start: now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            chances,
            catalog,
            nodes: Vec::new(),
            engines: engines.collect(),
            store: Store::default(),
            load_time: Duration::from_millis(400),
            queue: BTreeMap::new(),
            sent: 0,
            started_nodes: 0,
            status_at: now,
            violations: Vec::new(),
        };
        for number in 0..nodes {
            let node = world.fresh_node(number);
            world.nodes.push(node);
        }
        world
    }

    fn fresh_node(&mut self, number: usize) -> Node {
        self.started_nodes += 1;
        let me = Holder {
            instance: format!("entry{number}").into(),
            incarnation: self.started_nodes,
            address: format!("10.0.0.{}:7000", number + 1)
                .parse()
                .expect("address"),
        };
        let limits = CellLimits {
            standby_poll_interval: Duration::from_millis(300),
            order_settle_time: LONGEST_DELAY,
            write_outage_after: Duration::from_millis(500),
        };
        let controller =
            CellController::new("main".into(), me, limits, self.catalog.clone(), self.now);
        Node {
            controller: Some(controller),
            incarnation: self.started_nodes,
            paused_until: None,
            in_hand: Vec::new(),
            routes: BTreeSet::new(),
            verdicts: Vec::new(),
        }
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].controller = None;
        self.nodes[node].in_hand.clear();
    }

    pub fn restart(&mut self, node: usize) {
        self.nodes[node] = self.fresh_node(node);
    }

    pub fn pause(&mut self, node: usize, time: Duration) {
        self.nodes[node].paused_until = Some(self.now + time);
    }

    pub fn restart_engine(&mut self, engine: usize) {
        self.engines[engine].restart();
    }

    /// The platform takes an engine away with all that it holds, or brings it
    /// back empty, and its list says so.
    pub fn set_listing(&mut self, number: usize, listing: ListingState) {
        self.engines[number].set_gone(listing == ListingState::Removed);
        let upstream = engine_id(number);
        for node in 0..self.nodes.len() {
            let lag = self.delay(Duration::from_secs(2));
            let upstream = upstream.clone();
            self.post_event(
                lag,
                node,
                Event::UpstreamListingChanged { upstream, listing },
            );
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn delay(&mut self, most: Duration) -> Duration {
        let most_ms = u64::try_from(most.as_millis()).expect("short");
        Duration::from_millis(self.rng.random_range(1..=most_ms))
    }

    fn post(&mut self, delay: Duration, message: Message) {
        self.sent += 1;
        self.queue.insert((self.now + delay, self.sent), message);
    }

    fn post_event(&mut self, delay: Duration, node: usize, event: Event) {
        let incarnation = self.nodes[node].incarnation;
        self.post(
            delay,
            Message::ToNode {
                node,
                incarnation,
                event,
            },
        );
    }

    /// Lets the time pass.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            let step_until = (self.now + TICK).min(until);
            while let Some(entry) = self.queue.first_entry() {
                if entry.key().0 > step_until {
                    break;
                }
                let ((at, _), message) = entry.remove_entry();
                self.now = self.now.max(at);
                self.deliver(message);
                self.check();
            }
            self.now = step_until;
            for node in 0..self.nodes.len() {
                self.give(node, Event::Tick);
            }
            self.poll_engines();
            self.check();
        }
    }

    pub fn is_awake(&self, node: usize) -> bool {
        let node = &self.nodes[node];
        node.controller.is_some() && node.paused_until.is_none_or(|until| self.now >= until)
    }

    fn give(&mut self, node: usize, event: Event) {
        if !self.is_awake(node) {
            return;
        }
        if let Event::OrderAnswered { fence, .. } = &event {
            let epoch = fence_epoch(*fence);
            let in_hand = &mut self.nodes[node].in_hand;
            if let Some(place) = in_hand.iter().position(|held| *held == epoch) {
                in_hand.remove(place);
            }
        }
        let now = self.now;
        let controller = self.nodes[node].controller.as_mut().expect("awake");
        for action in controller.handle(now, event) {
            self.perform(node, action);
        }
    }

    fn poll_engines(&mut self) {
        if self.now < self.status_at {
            return;
        }
        self.status_at = self.now + STATUS_PAUSE;
        for node in 0..self.nodes.len() {
            let leads = self.nodes[node]
                .controller
                .as_ref()
                .is_some_and(|c| c.term().is_some());
            if !leads || !self.is_awake(node) {
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
                let lag = self.delay(Duration::from_millis(300));
                self.post_event(lag, node, event);
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
                    // A paused process finds what came when it wakes.
                    Some(until) if self.now < until => {
                        self.post(
                            until - self.now,
                            Message::ToNode {
                                node,
                                incarnation,
                                event,
                            },
                        );
                    }
                    _ => self.give(node, event),
                }
            }
            Message::Write { expected, plan } => drop(self.store.write(expected, *plan)),
            Message::Order { engine, .. } if self.engines[engine].down => {}
            Message::Order { engine, order } => drop(self.execute(engine, &order)),
            Message::InHand {
                node,
                incarnation,
                order,
            } => self.send(node, incarnation, order),
            Message::Probe {
                asker,
                asker_incarnation,
                epoch,
                former,
            } => {
                self.probe(asker, asker_incarnation, epoch, &former);
            }
        }
    }

    /// Tells every awake controller of a demand.
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
            self.give(node, Event::Demand(demand.clone()));
        }
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|node| {
            let controller = self.nodes[*node].controller.as_ref();
            self.is_awake(*node)
                && controller
                    .and_then(CellController::term)
                    .is_some_and(|term| term.has_lease(self.now))
        })
    }

    /// Whether the leader routes requests for the model.
    pub fn is_served(&self, model: &str) -> bool {
        self.leader().is_some_and(|node| {
            self.nodes[node]
                .routes
                .iter()
                .any(|(routed, _)| &**routed == model)
        })
    }
}
