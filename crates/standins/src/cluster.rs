//! All stand-ins together with a configuration, on ports that the kernel chooses.

use crate::engine::{Engine, EngineConfig};
use crate::instance_list::LaggingList;
use crate::key_value::MemoryKeyValue;
use crate::service::PlainService;
use crate::weight_store::{WeightStore, WeightStoreLimits};
use anyhow::{Context, Result};
use passway_config::document::{
    AdapterEntry, Document, Fencing, KeepEntry, KeepPolicyName, ModelEntry, ServiceEntry,
    UpstreamEntry, WorkspaceEntry,
};
use passway_config::revision::{self, CURRENT_KEY, StoredRevision};
use passway_config::settings::{ControllerSettings, RouterSettings};
use passway_controller::Controller;
use passway_platform::instance_list::ListedInstance;
use passway_platform::key_value::KeyValue;
use passway_router::{Router, Serving};
use passway_types::prelude::*;
use std::net::{SocketAddr, TcpListener};

/// Any port of this machine.
const ANY_PORT: &str = "127.0.0.1:0";
/// Pause between two looks whether routers are ready.
const READY_STEP: Duration = Duration::from_millis(20);
/// Longest time for routers to become ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Sizes and times of a world.
#[derive(Debug, Clone)]
pub struct ClusterPlan {
    /// Entry instances, each with a router and a controller.
    pub instances: usize,
    /// Model engines.
    pub engines: usize,
    /// Plain services, one replica each.
    pub services: usize,
    /// Base models.
    pub models: usize,
    /// Adapters, spread over the base models.
    pub adapters: usize,
    /// Size of a base model, in megabytes (2^20 bytes).
    pub model_mb: u64,
    /// Accelerator memory of an engine, in megabytes (2^20 bytes).
    pub engine_mb: u64,
    /// Most replicas of a base model.
    pub max_replicas: u32,
    /// Whether engines check fencing numbers.
    pub checks_fencing: bool,
    /// Requests that an engine runs at one time.
    pub slots: u32,
    /// Time from one token to the next.
    pub token_time: Duration,
    /// The weight store's pace.
    pub weight_store_limits: WeightStoreLimits,
    /// The instance list's lag.
    pub list_lag: Duration,
    /// Time that a cell's lease lasts, in milliseconds.
    pub lease_ms: u64,
    /// How long routers and controllers wait for the key-value service; the shipped
    /// defaults where `None`.
    pub key_value_timeout: Option<Duration>,
    /// How long idle replicas are kept.
    pub retention: KeepEntry,
}

impl Default for ClusterPlan {
    fn default() -> Self {
        Self {
            instances: 6,
            engines: 9,
            services: 3,
            models: 50,
            adapters: 60,
            model_mb: 8_000,
            engine_mb: 24_000,
            max_replicas: 1,
            checks_fencing: true,
            slots: 64,
            token_time: Duration::from_millis(5),
            weight_store_limits: WeightStoreLimits::default(),
            list_lag: Duration::from_secs(2),
            lease_ms: 2_000,
            key_value_timeout: None,
            retention: KeepEntry {
                policy: KeepPolicyName::Fixed,
                ..KeepEntry::default()
            },
        }
    }
}

impl ClusterPlan {
    /// A wait for the key-value service in milliseconds, where programs usually wait
    /// so long.
    pub fn key_value_timeout_ms(&self, usual: u64) -> u64 {
        let millis = |patience: Duration| u64::try_from(patience.as_millis());
        self.key_value_timeout
            .map_or(usual, |p| millis(p).unwrap_or(u64::MAX))
    }
}

/// The stand-ins of a world.
#[derive(Debug)]
pub struct TestCluster {
    /// Sizes and times.
    pub plan: ClusterPlan,
    /// The key-value service.
    pub key_value: MemoryKeyValue,
    /// Where it listens.
    pub key_value_address: SocketAddr,
    /// The weight store.
    pub weight_store: WeightStore,
    /// The model engines.
    pub engines: Vec<Engine>,
    /// The plain services.
    pub services: Vec<PlainService>,
    /// The instance list.
    pub instance_list: LaggingList,
    /// Where it listens.
    pub instance_list_address: SocketAddr,
    /// The configuration of revision 1.
    pub document: Document,
}

/// The entry instances of a world, all in this process.
#[derive(Debug)]
pub struct Fleet {
    /// The controllers.
    pub controllers: Vec<Controller>,
    /// The routers.
    pub routers: Vec<Router<Serving>>,
}

impl TestCluster {
    /// Starts the stand-ins and stores the configuration.
    ///
    /// # Errors
    /// If an address cannot be parsed or the configuration cannot be stored.
    pub fn start(plan: ClusterPlan) -> Result<Self> {
        let any: SocketAddr = ANY_PORT.parse().context("address")?;
        let key_value = MemoryKeyValue::new();
        let key_value_address = key_value.serve(any);
        let weight_store = WeightStore::new(plan.weight_store_limits.clone());
        let mut document = base_document(&plan);
        let mut engines = Vec::new();
        for number in 0..plan.engines {
            let traits = EngineConfig {
                memory_bytes: plan.engine_mb << 20,
                slots: plan.slots,
                checks_fencing: plan.checks_fencing,
                token_interval: plan.token_time,
            };
            let engine = Engine::new(traits, weight_store.clone());
            let address = engine.serve(any);
            document
                .upstreams
                .push(upstream_entry(&plan, number, address));
            engines.push(engine);
        }
        let mut services = Vec::new();
        for number in 0..plan.services {
            let service = PlainService::new();
            let address = service.serve(any);
            document.services.push(ServiceEntry {
                name: format!("service{number}"),
                addresses: vec![address.to_string()],
                not_repeatable: vec!["POST".into()],
            });
            services.push(service);
        }
        let upstream_ids = document
            .upstreams
            .iter()
            .map(|upstream| upstream.id.clone());
        let instance_ids = (0..plan.instances).map(instance_id);
        let listed = upstream_ids.chain(instance_ids);
        let listed = listed.map(|id| ListedInstance {
            id: id.into(),
            leaving: false,
        });
        let instance_list = LaggingList::new(plan.list_lag, listed.collect());
        let instance_list_address = instance_list.serve(any);
        let world = Self {
            plan,
            key_value,
            key_value_address,
            weight_store,
            engines,
            services,
            instance_list,
            instance_list_address,
            document,
        };
        world.store_first_revision()?;
        Ok(world)
    }

    fn store_first_revision(&self) -> Result<()> {
        let stored = StoredRevision {
            revision: 1,
            change_id: 0,
            author: "world".into(),
            applied_at_unix_s: 0,
            comment: "first".into(),
            changes: Vec::new(),
            document: self.document.clone(),
        };
        let value = revision::encode(&stored)?;
        let written = self.key_value.put_if(CURRENT_KEY, 0, &value, None);
        written
            .map(|_| ())
            .map_err(|_| anyhow::anyhow!("storing the configuration"))
    }

    /// Settings of an instance's controller.
    pub fn controller_settings(
        &self,
        number: usize,
        listen: SocketAddr,
        all: &[SocketAddr],
    ) -> ControllerSettings {
        let defaults = ControllerSettings::default();
        let wait_ms = |usual: u64| self.plan.key_value_timeout_ms(usual);
        ControllerSettings {
            key_value_timeout_ms: wait_ms(defaults.key_value_timeout_ms),
            write_patience_ms: wait_ms(defaults.write_patience_ms),
            instance: instance_id(number),
            data_hall: data_hall(number),
            listen: listen.to_string(),
            peers: all
                .iter()
                .filter(|peer| **peer != listen)
                .map(ToString::to_string)
                .collect(),
            key_value: self.key_value_address.to_string(),
            instance_list: self.instance_list_address.to_string(),
            lease_ms: self.plan.lease_ms,
            ..defaults
        }
    }

    /// Settings of an instance's router.
    pub fn router_settings(&self, number: usize, controllers: &[SocketAddr]) -> RouterSettings {
        let own_first = controllers
            .iter()
            .cycle()
            .skip(number)
            .take(controllers.len());
        let defaults = RouterSettings::default();
        RouterSettings {
            key_value_timeout_ms: self
                .plan
                .key_value_timeout_ms(defaults.key_value_timeout_ms),
            instance: instance_id(number),
            data_hall: data_hall(number),
            listen: ANY_PORT.into(),
            controllers: own_first.map(ToString::to_string).collect(),
            key_value: self.key_value_address.to_string(),
            ..defaults
        }
    }

    /// Starts every entry instance in this process and waits until the routers
    /// have the configuration.
    ///
    /// # Errors
    /// If an address cannot be bound, or the routers do not become ready.
    pub fn start_fleet(&self) -> Result<Fleet> {
        let listeners: std::io::Result<Vec<TcpListener>> = (0..self.plan.instances)
            .map(|_| TcpListener::bind(ANY_PORT))
            .collect();
        let listeners = listeners.context("binding controllers")?;
        let addresses: std::io::Result<Vec<SocketAddr>> =
            listeners.iter().map(TcpListener::local_addr).collect();
        let addresses = addresses.context("controllers' addresses")?;
        let mut controllers = Vec::new();
        for (number, listener) in listeners.into_iter().enumerate() {
            let settings = self.controller_settings(number, addresses[number], &addresses);
            controllers.push(Controller::start_on(listener, settings)?);
        }
        let mut routers = Vec::new();
        for number in 0..self.plan.instances {
            routers.push(Router::start(&self.router_settings(number, &addresses))?);
        }
        let fleet = Fleet {
            controllers,
            routers,
        };
        fleet.wait_for_revision(1)?;
        Ok(fleet)
    }

    /// Loads begun at all engines for one model.
    pub fn load_count(&self, model: &str) -> u32 {
        let loads = self
            .engines
            .iter()
            .map(|engine| engine.ledger().loads.get(model).copied().unwrap_or(0));
        loads.sum()
    }
}

impl Fleet {
    /// Waits until every router has a revision in force.
    ///
    /// # Errors
    /// If that takes too long.
    pub fn wait_for_revision(&self, revision: Revision) -> Result<()> {
        let limit_at = Instant::now() + READY_LIMIT;
        while self
            .routers
            .iter()
            .any(|router| router.revision() < revision)
        {
            anyhow::ensure!(Instant::now() < limit_at, "routers are not ready in time");
            std::thread::sleep(READY_STEP);
        }
        Ok(())
    }
}

/// The id of an entry instance.
pub fn instance_id(number: usize) -> String {
    format!("entry{number}")
}

/// The data hall of an instance or engine: three halls in turn.
pub fn data_hall(number: usize) -> String {
    ["atlanta", "athens", "macon"][number % 3].to_owned()
}

fn upstream_entry(plan: &ClusterPlan, number: usize, address: SocketAddr) -> UpstreamEntry {
    UpstreamEntry {
        id: format!("engine{number}"),
        address: address.to_string(),
        data_hall: data_hall(number),
        memory_mb: plan.engine_mb,
        slots: plan.slots,
        fencing: if plan.checks_fencing {
            Fencing::Keeps
        } else {
            Fencing::Ignores
        },
        ..UpstreamEntry::default()
    }
}

fn base_document(plan: &ClusterPlan) -> Document {
    let workspaces = ["default", "stalls", "growers"].map(|name| WorkspaceEntry {
        name: name.into(),
        ..WorkspaceEntry::default()
    });
    let models = (0..plan.models).map(|number| ModelEntry {
        name: format!("model{number}"),
        size_mb: plan.model_mb,
        max_replicas: plan.max_replicas,
        ..ModelEntry::default()
    });
    let adapters = (0..plan.adapters).map(|number| AdapterEntry {
        name: format!("adapter{number}"),
        base: format!("model{}@1", number % plan.models.max(1)),
        size_mb: plan.model_mb / 40 + 1,
        ..AdapterEntry::default()
    });
    Document {
        workspaces: workspaces.into(),
        models: models.collect(),
        adapters: adapters.collect(),
        keep: plan.retention.clone(),
        ..Document::default()
    }
}
