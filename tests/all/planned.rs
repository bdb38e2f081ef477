//! A planner with one engine, in virtual time.

use crate::cluster::{self, RECEIVE_TIMEOUT};
use passway_serving::placement::policy::PolicyName;
use passway_serving::placement::{Action, PlannedOrder, Planner, USUAL_LOAD_WINDOW, Waiters};
use passway_serving::ports::{Directory, EngineReport, OrderAnswer, StoredValue};
use passway_serving::upstreams::{ModelRef, ResidentModel, UpstreamEntry};
use passway_types::prelude::*;
use passway_users_platform::PlatformDirectory;

/// A model without an adapter, as a request asks for it.
pub fn plain(model: &str) -> ModelRef {
    ModelRef {
        model: model.into(),
        adapter: None,
    }
}

/// A planner with one engine that has room for two models.
pub struct Planned {
    /// The planner.
    pub planner: Planner,
    /// The time it is there.
    pub now: Instant,
}

/// A model without adapters.
pub fn resident(name: &str) -> ResidentModel {
    ResidentModel {
        name: name.into(),
        adapters: Vec::new(),
    }
}

/// What an engine with eight slots and nothing on its disk says of itself.
pub fn entry(id: &str, heartbeat: u64, models: &[&str]) -> UpstreamEntry {
    UpstreamEntry {
        id: id.into(),
        service: "engines".into(),
        address: ([127, 0, 0, 1], 1).into(),
        hall: "hall0".into(),
        slots: 8,
        draining: false,
        cold_until: None,
        models: models.iter().map(|name| resident(name)).collect(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        heartbeat,
        started_at_ms: 0,
    }
}

impl Planned {
    /// One engine with m0 and m1 on its accelerators and all models on its disk.
    pub fn new() -> Self {
        let value = StoredValue {
            key: "op/config".into(),
            value: cluster::configuration(1, &["m0", "m1", "m2", "m3"])
                .to_string()
                .into(),
            revision: 1,
        };
        let table = PlatformDirectory
            .decode_configuration(&value)
            .expect("decoded");
        let mut planner = Planner::new(USUAL_LOAD_WINDOW, PolicyName::Balanced.policy());
        planner.set_table(&table.expect("a configuration"));
        let now = Instant::now();
        let mut fresh = Self { planner, now };
        fresh.hear(1, &["m0", "m1"]);
        fresh
            .planner
            .begin_term(std::iter::empty(), &std::collections::BTreeSet::new(), now);
        fresh
    }

    /// The engine says what stands on it.
    pub fn hear(&mut self, heartbeat: u64, models: &[&str]) {
        self.hear_of("i-0", heartbeat, models, &["m0", "m1", "m2", "m3"]);
    }

    /// An engine says what stands on it and what lies on its disk.
    pub fn hear_of(&mut self, id: &str, heartbeat: u64, models: &[&str], on_disk: &[&str]) {
        let entry = UpstreamEntry {
            on_disk: on_disk.iter().map(|name| (*name).into()).collect(),
            ..entry(id, heartbeat, models)
        };
        self.planner.heard(entry, self.now);
    }

    /// An engine says that it leaves.
    pub fn leaves(&mut self, id: &str) {
        let entry = UpstreamEntry {
            draining: true,
            ..entry(id, 2, &["m0"])
        };
        self.planner.heard(entry, self.now);
    }

    /// One request waits for a model.
    pub fn need(&mut self, model: &str) {
        self.need_wish(plain(model), 1);
    }

    /// So many requests of one instance wait.
    pub fn need_wish(&mut self, wish: ModelRef, count: u32) {
        let waiters = Waiters {
            instance: "one".into(),
            service: "engines".into(),
            wish,
            count,
            until: self.now + RECEIVE_TIMEOUT,
        };
        self.planner.waiting(waiters, self.now);
    }

    /// The engine tells its state.
    pub fn report(&mut self, busy: bool, orders_taken: u64, models: &[&str]) {
        let on_disk = ["m0", "m1", "m2", "m3"];
        self.reported("i-0", busy, orders_taken, models, &on_disk);
    }

    /// An engine that is not busy tells its state; all it has on its disk stands there.
    pub fn report_of(&mut self, id: &str, orders_taken: u64, models: &[&str]) {
        self.reported(id, false, orders_taken, models, models);
    }

    /// An engine tells its state.
    pub fn reported(
        &mut self,
        id: &str,
        busy: bool,
        orders_taken: u64,
        models: &[&str],
        on_disk: &[&str],
    ) {
        let report = EngineReport {
            models: models.iter().map(|name| resident(name)).collect(),
            busy,
            orders_taken,
            in_memory: Vec::new(),
            on_disk: on_disk.iter().map(|name| (*name).into()).collect(),
            adapters_loading: Vec::new(),
            started_at_ms: 0,
        };
        self.planner.reported(&id.into(), Some(report), self.now);
    }

    /// What is decided within so many looks 50 ms apart; the engines answer no question,
    /// and orders to them are not sent.
    pub fn unanswered(&mut self, looks: u32) -> Vec<Action> {
        let mut actions = Vec::new();
        for _ in 0..looks {
            self.now += Duration::from_millis(50);
            for action in self.planner.decide(self.now) {
                match &action {
                    Action::Order(order) => {
                        let answer = OrderAnswer::NotSent;
                        self.planner.answered(order, answer, self.now);
                    }
                    Action::Ask { engine, .. } => self.planner.reported(engine, None, self.now),
                }
                actions.push(action);
            }
        }
        actions
    }

    /// Orders decided within a second of looks, each answered by `answer`.
    pub fn orders(&mut self, answer: OrderAnswer) -> Vec<PlannedOrder> {
        let mut orders = Vec::new();
        for _ in 0..20 {
            self.now += Duration::from_millis(50);
            for action in self.planner.decide(self.now) {
                if let Action::Order(order) = action {
                    self.planner.answered(&order, answer, self.now);
                    orders.push(order);
                }
            }
        }
        orders
    }
}
