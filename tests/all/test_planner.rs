//! A planner with one engine, in virtual time.

use crate::cluster::{self, RECEIVE_TIMEOUT};
use passway_serving::placement::policy::PolicyName;
use passway_serving::placement::{Action, DEFAULT_LOAD_WINDOW, PlannedOrder, Planner, Waiters};
use passway_serving::ports::{Directory, EngineReport, OrderAnswer, StoreRevision, StoredValue};
use passway_serving::upstreams::{ModelRef, ResidentModel, UpstreamEntry};
use passway_types::prelude::*;
use passway_users_platform::PlatformDirectory;

/// A model without an adapter, as a request names it.
pub fn base_model(model: &str) -> ModelRef {
    ModelRef {
        model: model.into(),
        adapter: None,
    }
}

/// A planner with one engine that has memory for two models.
pub struct TestPlanner {
    /// The planner.
    pub planner: Planner,
    /// The current virtual time.
    pub now: Instant,
}

/// A loaded model without adapters.
pub fn resident(name: &str) -> ResidentModel {
    ResidentModel {
        name: name.into(),
        adapters: Vec::new(),
    }
}

/// An entry of an engine with eight slots and an empty disk.
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
        software: "v1".into(),
    }
}

impl TestPlanner {
    /// Creates a planner with one engine that has m0 and m1 loaded and all models on its disk.
    pub fn new() -> Self {
        let value = StoredValue {
            key: "op/config".into(),
            value: cluster::configuration(1, &["m0", "m1", "m2", "m3"])
                .to_string()
                .into(),
            revision: StoreRevision::new(0, 1),
            lease: None,
        };
        let table = PlatformDirectory
            .decode_configuration(&value)
            .expect("decoded");
        let mut planner = Planner::new(DEFAULT_LOAD_WINDOW, PolicyName::Balanced.build());
        planner.set_table(&table.expect("a configuration"));
        let now = Instant::now();
        let mut test_planner = Self { planner, now };
        test_planner.send_entry(1, &["m0", "m1"]);
        test_planner.planner.begin_term(
            std::iter::empty(),
            &std::collections::BTreeSet::new(),
            now,
        );
        test_planner
    }

    /// Sends an entry of the engine with its loaded models.
    pub fn send_entry(&mut self, heartbeat: u64, models: &[&str]) {
        self.send_entry_of("i-0", heartbeat, models, &["m0", "m1", "m2", "m3"]);
    }

    /// Sends an entry of an engine with its loaded models and those on its disk.
    pub fn send_entry_of(&mut self, id: &str, heartbeat: u64, models: &[&str], on_disk: &[&str]) {
        let entry = UpstreamEntry {
            on_disk: on_disk.iter().map(|name| (*name).into()).collect(),
            ..entry(id, heartbeat, models)
        };
        self.planner.update_engine(entry, self.now);
    }

    /// Sends an entry by which an engine signals that it leaves.
    pub fn send_leaving(&mut self, id: &str) {
        let entry = UpstreamEntry {
            draining: true,
            ..entry(id, 2, &["m0"])
        };
        self.planner.update_engine(entry, self.now);
    }

    /// Adds one request that waits for a model.
    pub fn add_waiter(&mut self, model: &str) {
        self.set_waiters(base_model(model), 1);
    }

    /// Sets how many requests of one instance wait for a model or adapter.
    pub fn set_waiters(&mut self, model_ref: ModelRef, count: u32) {
        let waiters = Waiters {
            instance: "one".into(),
            service: "engines".into(),
            model_ref,
            required_software: None,
            count,
            latest_deadline: self.now + RECEIVE_TIMEOUT,
        };
        self.planner.set_waiters(waiters, self.now);
    }

    /// Sends a report of the engine.
    pub fn send_report(&mut self, busy: bool, orders_taken: u64, models: &[&str]) {
        let on_disk = ["m0", "m1", "m2", "m3"];
        self.send_report_of("i-0", busy, orders_taken, models, &on_disk);
    }

    /// Sends a report of an engine that is not busy and has exactly its loaded models on its disk.
    pub fn send_idle_report_of(&mut self, id: &str, orders_taken: u64, models: &[&str]) {
        self.send_report_of(id, false, orders_taken, models, models);
    }

    /// Sends a report of an engine.
    pub fn send_report_of(
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
        self.planner
            .apply_report(&id.into(), Some(report), self.now);
    }

    /// Actions decided in `passes` passes that are 50 ms apart. The engines answer no query, and no
    /// order reaches them.
    pub fn decide_unanswered(&mut self, passes: u32) -> Vec<Action> {
        let mut actions = Vec::new();
        for _ in 0..passes {
            self.now += Duration::from_millis(50);
            for action in self.planner.decide(self.now) {
                match &action {
                    Action::Order(order) => {
                        let answer = OrderAnswer::NotSent;
                        self.planner.apply_answer(order, answer, self.now);
                    }
                    Action::Ask { engine, .. } => self.planner.apply_report(engine, None, self.now),
                }
                actions.push(action);
            }
        }
        actions
    }

    /// Orders decided in passes over a second, each answered by `answer`.
    pub fn orders_within_second(&mut self, answer: OrderAnswer) -> Vec<PlannedOrder> {
        let mut orders = Vec::new();
        for _ in 0..20 {
            self.now += Duration::from_millis(50);
            for action in self.planner.decide(self.now) {
                if let Action::Order(order) = action {
                    self.planner.apply_answer(&order, answer, self.now);
                    orders.push(order);
                }
            }
        }
        orders
    }
}
