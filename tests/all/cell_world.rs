//! Fakes at the interfaces of a cell's decisions, on a virtual clock.
//!
//! The fake engines do not defend themselves: they load whatever arrives and
//! is not fenced off. Whatever breaks a promise therefore shows.

use passway_config::document::Fencing;
use passway_config::{Catalog, Document};
use passway_decide::cell::upstreams::Standing;
use passway_decide::cell::{Action, CellController, CellLimits, Event};
use passway_decide::messages::epoch_of;
use passway_decide::messages::{
    Demand, DemandVerdict, LoadedModel, LoadedState, Order, OrderAnswer, OrderKind, RouteChange,
    UpstreamStatus,
};
use passway_decide::plan::{Holder, Plan};
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

const TICK: Duration = Duration::from_millis(50);
const STATUS_PAUSE: Duration = Duration::from_millis(200);
const LEASE: Duration = Duration::from_secs(2);
const RELIED_ON: Duration = Duration::from_millis(1_600);
/// Longest time that a message is under way; the settle time of the controllers.
pub const LONGEST_DELAY: Duration = Duration::from_secs(6);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

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

#[derive(Debug)]
pub struct Engine {
    pub fencing: Fencing,
    highest_fence: Fence,
    boot: u64,
    pub memory_mb: u64,
    /// Whether it answers nothing.
    pub down: bool,
    pub loaded: BTreeMap<ModelName, (u64, Instant)>,
    pub loads: BTreeMap<ModelName, u32>,
}

#[derive(Debug, Default)]
pub struct Store {
    pub plan: Option<(Version, Plan)>,
    lease: Option<(usize, Incarnation, Instant)>,
    pub down: bool,
    versions: Version,
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
        let engines = document.upstreams.iter().map(|entry| Engine {
            fencing: entry.fencing,
            highest_fence: 0,
            boot: 1,
            memory_mb: entry.memory_mb,
            down: false,
            loaded: BTreeMap::new(),
            loads: BTreeMap::new(),
        });
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
            standby_poll: Duration::from_millis(300),
            order_settle: LONGEST_DELAY,
            write_patience: Duration::from_millis(500),
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
        let engine = &mut self.engines[engine];
        engine.boot += 1;
        engine.loaded.clear();
        if engine.fencing == Fencing::Forgets {
            engine.highest_fence = 0;
        }
    }

    /// The platform takes an engine away with all that it holds, or brings it
    /// back empty, and its list says so.
    pub fn set_standing(&mut self, number: usize, standing: Standing) {
        let engine = &mut self.engines[number];
        engine.down = standing == Standing::Gone;
        if engine.down {
            engine.loaded.clear();
            engine.boot += 1;
        }
        let upstream = engine_id(number);
        for node in 0..self.nodes.len() {
            let lag = self.delay(Duration::from_secs(2));
            let upstream = upstream.clone();
            self.post_event(lag, node, Event::UpstreamStanding { upstream, standing });
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
        if let Event::Order { fence, .. } = &event {
            let epoch = epoch_of(*fence);
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
                let status = (!self.engines[engine].down).then(|| self.status_of(engine));
                let upstream = engine_id(engine);
                let event = Event::Status {
                    upstream,
                    asked_at: self.now,
                    status,
                };
                let lag = self.delay(Duration::from_millis(300));
                self.post_event(lag, node, event);
            }
        }
    }

    fn status_of(&self, engine: usize) -> UpstreamStatus {
        let engine = &self.engines[engine];
        let loaded = engine
            .loaded
            .iter()
            .map(|(model, (_, ready_at))| LoadedModel {
                model: model.clone(),
                state: if self.now >= *ready_at {
                    LoadedState::Ready
                } else {
                    LoadedState::Loading
                },
                running: 0,
            });
        UpstreamStatus {
            boot: engine.boot,
            loaded: loaded.collect(),
            ..Default::default()
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
            Message::Write { expected, plan } => drop(self.write(expected, *plan)),
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

    fn perform(&mut self, node: usize, action: Action) {
        let short = self.delay(Duration::from_millis(5));
        match action {
            Action::AcquireLease => {
                let event = self.acquire(node);
                self.post_event(short, node, event);
            }
            Action::RenewLease => {
                let event = self.renew(node);
                self.post_event(short, node, event);
            }
            Action::ReleaseLease => {
                let incarnation = self.nodes[node].incarnation;
                self.store
                    .lease
                    .take_if(|(_, holder, _)| *holder == incarnation);
            }
            Action::ReadPlan => {
                let event = if self.store.down {
                    Event::PlanUnavailable
                } else {
                    let (version, plan) = self
                        .store
                        .plan
                        .clone()
                        .map_or((0, None), |(v, p)| (v, Some(p)));
                    Event::PlanRead {
                        version,
                        plan: plan.map(Box::new),
                    }
                };
                self.post_event(short, node, event);
            }
            Action::WritePlan { expected, plan } => self.write_call(node, expected, plan),
            Action::SendOrder(order) => self.order_call(node, order),
            Action::ProbeFormer { epoch, holder } => {
                let asker_incarnation = self.nodes[node].incarnation;
                let probe = Message::Probe {
                    asker: node,
                    asker_incarnation,
                    epoch,
                    former: holder,
                };
                self.post(short, probe);
            }
            Action::Publish(change) => self.publish(node, &change),
            Action::AnswerDemand { model, verdict, .. } => {
                let at = self.now;
                self.nodes[node].verdicts.push((at, model, verdict));
            }
            Action::Audit(_) => {}
        }
    }

    fn publish(&mut self, node: usize, change: &RouteChange) {
        let routes = &mut self.nodes[node].routes;
        if change.whole {
            routes.clear();
        }
        for route in &change.removed {
            routes.remove(route);
        }
        routes.extend(change.added.iter().cloned());
    }

    fn acquire(&mut self, node: usize) -> Event {
        if self.store.down {
            return Event::LeaseUnavailable;
        }
        let incarnation = self.nodes[node].incarnation;
        let held = self
            .store
            .lease
            .is_some_and(|(_, holder, until)| self.now < until && holder != incarnation);
        if held {
            return Event::LeaseDenied;
        }
        self.store.lease = Some((node, incarnation, self.now + LEASE));
        Event::LeaseGranted {
            until_at: self.now + RELIED_ON,
        }
    }

    fn renew(&mut self, node: usize) -> Event {
        if self.store.down {
            return Event::LeaseUnavailable;
        }
        let incarnation = self.nodes[node].incarnation;
        match &mut self.store.lease {
            Some((_, holder, until)) if *holder == incarnation && self.now < *until => {
                *until = self.now + LEASE;
                Event::LeaseGranted {
                    until_at: self.now + RELIED_ON,
                }
            }
            _ => Event::LeaseDenied,
        }
    }

    fn write_call(&mut self, node: usize, expected: Version, plan: Box<Plan>) {
        let short = self.delay(Duration::from_millis(5));
        if self.store.down {
            self.post_event(CALL_TIMEOUT, node, Event::WriteUnclear);
        } else if self.chance(self.chances.delay_write) {
            let late = self.delay(LONGEST_DELAY);
            self.post(late, Message::Write { expected, plan });
            self.post_event(CALL_TIMEOUT, node, Event::WriteUnclear);
        } else {
            let change = plan.last_change;
            let written = self.write(expected, *plan);
            let lost = self.chance(self.chances.lose_write_answer);
            let event = match written {
                Some(version) if !lost => Event::WriteDone { change, version },
                _ => Event::WriteUnclear,
            };
            self.post_event(short, node, event);
        }
    }

    fn write(&mut self, expected: Version, plan: Plan) -> Option<Version> {
        let stands = self.store.plan.as_ref().map_or(0, |(version, _)| *version);
        if stands != expected {
            return None;
        }
        self.store.versions += 1;
        self.store.plan = Some((self.store.versions, plan));
        Some(self.store.versions)
    }

    fn order_call(&mut self, node: usize, order: Order) {
        self.nodes[node].in_hand.push(epoch_of(order.fence));
        let incarnation = self.nodes[node].incarnation;
        if self.now >= order.not_after {
            let (upstream, fence) = (order.upstream, order.fence);
            let event = Event::Order {
                upstream,
                fence,
                answer: OrderAnswer::NotSent,
            };
            self.post_event(Duration::ZERO, node, event);
        } else if self.chance(self.chances.hold_order) {
            // The check has passed; the process now stops for longer than its lease.
            let pause = LEASE + self.delay(LEASE * 3);
            self.pause(node, pause);
            self.post(
                pause,
                Message::InHand {
                    node,
                    incarnation,
                    order,
                },
            );
        } else {
            self.send(node, incarnation, order);
        }
    }

    fn send(&mut self, node: usize, incarnation: Incarnation, order: Order) {
        if self.nodes[node].incarnation != incarnation || self.nodes[node].controller.is_none() {
            return;
        }
        let engine = engine_number(&order.upstream);
        if self.engines[engine].down {
            let event = Event::Order {
                upstream: order.upstream,
                fence: order.fence,
                answer: OrderAnswer::NotSent,
            };
            self.post_event(Duration::from_millis(1), node, event);
            return;
        }
        let (upstream, fence) = (order.upstream.clone(), order.fence);
        let answer = if self.chance(self.chances.delay_order) {
            let late = self.delay(LONGEST_DELAY);
            self.post(late, Message::Order { engine, order });
            self.post_event(
                CALL_TIMEOUT,
                node,
                Event::Order {
                    upstream,
                    fence,
                    answer: OrderAnswer::Lost,
                },
            );
            return;
        } else {
            self.execute(engine, &order)
        };
        let lost = self.chance(self.chances.lose_order_answer);
        let answer = if lost { OrderAnswer::Lost } else { answer };
        let short = self.delay(Duration::from_millis(20));
        self.post_event(
            short,
            node,
            Event::Order {
                upstream,
                fence,
                answer,
            },
        );
    }

    fn execute(&mut self, engine: usize, order: &Order) -> OrderAnswer {
        let (now, load_time) = (self.now, self.load_time);
        let engine = &mut self.engines[engine];
        if engine.fencing != Fencing::Ignores {
            if order.fence < engine.highest_fence {
                return OrderAnswer::Fenced;
            }
            engine.highest_fence = order.fence;
        }
        match order.kind {
            OrderKind::Unload => {
                engine.loaded.remove(&order.model);
                OrderAnswer::Absent
            }
            OrderKind::Load => {
                if let Some((_, ready_at)) = engine.loaded.get(&order.model) {
                    let ready = now >= *ready_at;
                    return if ready {
                        OrderAnswer::Loaded
                    } else {
                        OrderAnswer::Loading
                    };
                }
                engine.loaded.insert(
                    order.model.clone(),
                    (order.size_bytes >> 20, now + load_time),
                );
                *engine.loads.entry(order.model.clone()).or_default() += 1;
                OrderAnswer::Loading
            }
        }
    }

    fn probe(
        &mut self,
        asker: usize,
        asker_incarnation: Incarnation,
        epoch: Epoch,
        former: &Holder,
    ) {
        let number: usize = former.instance["entry".len()..].parse().expect("number");
        if !self.is_awake(number) {
            return;
        }
        let node = &self.nodes[number];
        let leads = node
            .controller
            .as_ref()
            .and_then(|c| c.term())
            .is_some_and(|t| t.epoch() == epoch);
        let may_order =
            node.incarnation == former.incarnation && (leads || node.in_hand.contains(&epoch));
        if !may_order {
            let event = Event::FormerGone(epoch);
            let message = Message::ToNode {
                node: asker,
                incarnation: asker_incarnation,
                event,
            };
            self.post(Duration::from_millis(2), message);
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

    /// Judges the promises: memory, replicas, nothing loaded that is not decided.
    fn check(&mut self) {
        let mut found = Vec::new();
        let mut replicas: BTreeMap<&ModelName, u32> = BTreeMap::new();
        for (number, engine) in self.engines.iter().enumerate() {
            let held_mb: u64 = engine.loaded.values().map(|(size_mb, _)| size_mb).sum();
            if held_mb > engine.memory_mb {
                found.push(format!(
                    "engine{number} holds {held_mb} of {} MB",
                    engine.memory_mb
                ));
            }
            for model in engine.loaded.keys() {
                *replicas.entry(model).or_default() += 1;
                let plan = self.store.plan.as_ref().map(|(_, plan)| plan);
                let decided = plan.is_some_and(|p| p.find(model, &engine_id(number)).is_some());
                if !decided {
                    found.push(format!("{model} on engine{number} is not decided"));
                }
            }
        }
        for (model, count) in replicas {
            let most = self
                .catalog
                .models
                .get(model)
                .map_or(0, |model| model.max_replicas);
            if count > most {
                found.push(format!(
                    "{count} replicas of {model}, decided at most {most}"
                ));
            }
        }
        let at_ms = (self.now - self.start).as_millis();
        self.violations
            .extend(found.into_iter().map(|text| format!("{at_ms} ms: {text}")));
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

pub fn engine_id(number: usize) -> UpstreamId {
    format!("engine{number}").into()
}

fn engine_number(id: &str) -> usize {
    id["engine".len()..].parse().expect("number")
}
