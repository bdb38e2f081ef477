//! Starts all stand-ins together with a configuration, on ports that the kernel chooses.

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

/// Loopback address with a port that the kernel chooses.
const ANY_PORT: &str = "127.0.0.1:0";
/// Interval at which routers are polled for readiness.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time for routers to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Sizes and timings of a test cluster.
#[derive(Debug, Clone)]
pub struct ClusterPlan {
    /// Number of entry instances, each with a router and a controller.
    pub instances: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of plain services with one replica each.
    pub services: usize,
    /// Number of base models.
    pub models: usize,
    /// Number of adapters, spread over the base models.
    pub adapters: usize,
    /// Size of a base model, in megabytes (2^20 bytes).
    pub model_mb: u64,
    /// Accelerator memory of an engine, in megabytes (2^20 bytes).
    pub engine_mb: u64,
    /// Maximum number of replicas of a base model.
    pub max_replicas: u32,
    /// Whether engines check fencing numbers.
    pub checks_fencing: bool,
    /// Maximum number of concurrent requests of an engine.
    pub slots: u32,
    /// Time between two tokens of an answer.
    pub token_time: Duration,
    /// Limits and speed of the weight store.
    pub weight_store_limits: WeightStoreLimits,
    /// Delay after which the instance list shows a change.
    pub list_lag: Duration,
    /// Duration of a cell's lease, in milliseconds.
    pub lease_ms: u64,
    /// Time that routers and controllers wait for the key-value service; `None` for the programs'
    /// defaults.
    pub key_value_timeout: Option<Duration>,
    /// Retention policy of idle replicas.
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
    /// Returns the timeout of calls to the key-value service, in milliseconds: the plan's, or else
    /// the program's default.
    pub fn key_value_timeout_ms(&self, default_ms: u64) -> u64 {
        let millis = |timeout: Duration| u64::try_from(timeout.as_millis());
        self.key_value_timeout
            .map_or(default_ms, |timeout| millis(timeout).unwrap_or(u64::MAX))
    }
}

/// The running stand-ins.
#[derive(Debug)]
pub struct TestCluster {
    /// The sizes and timings that the cluster was started with.
    pub plan: ClusterPlan,
    /// The key-value service.
    pub key_value: MemoryKeyValue,
    /// Address of the key-value service.
    pub key_value_address: SocketAddr,
    /// The weight store.
    pub weight_store: WeightStore,
    /// The model engines.
    pub engines: Vec<Engine>,
    /// The plain services.
    pub services: Vec<PlainService>,
    /// The instance list.
    pub instance_list: LaggingList,
    /// Address of the instance list.
    pub instance_list_address: SocketAddr,
    /// The configuration that is stored as revision 1.
    pub document: Document,
}

/// The entry instances of a cluster, all in this process.
#[derive(Debug)]
pub struct Fleet {
    /// The controllers.
    pub controllers: Vec<Controller>,
    /// The routers.
    pub routers: Vec<Router<Serving>>,
}

impl TestCluster {
    /// Starts the stand-ins and stores the configuration as revision 1.
    ///
    /// # Errors
    /// If an address cannot be parsed or the configuration cannot be stored.
    pub fn start(plan: ClusterPlan) -> Result<Self> {
        let any_port: SocketAddr = ANY_PORT.parse().context("parsing the address")?;
        let key_value = MemoryKeyValue::new();
        let key_value_address = key_value.serve(any_port);
        let weight_store = WeightStore::new(plan.weight_store_limits.clone());
        let mut document = base_document(&plan);
        let mut engines = Vec::new();
        for number in 0..plan.engines {
            let config = EngineConfig {
                memory_bytes: plan.engine_mb << 20,
                slots: plan.slots,
                checks_fencing: plan.checks_fencing,
                token_interval: plan.token_time,
            };
            let engine = Engine::new(config, weight_store.clone());
            let address = engine.serve(any_port);
            document
                .upstreams
                .push(upstream_entry(&plan, number, address));
            engines.push(engine);
        }
        let mut services = Vec::new();
        for number in 0..plan.services {
            let service = PlainService::new();
            let address = service.serve(any_port);
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
        let entries = upstream_ids.chain(instance_ids);
        let entries = entries.map(|id| ListedInstance {
            id: id.into(),
            leaving: false,
        });
        let instance_list = LaggingList::new(plan.list_lag, entries.collect());
        let instance_list_address = instance_list.serve(any_port);
        let cluster = Self {
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
        cluster.store_first_revision()?;
        Ok(cluster)
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
            .map_err(|_| anyhow::anyhow!("storing the configuration failed"))
    }

    /// Returns the settings of an instance's controller.
    pub fn controller_settings(
        &self,
        number: usize,
        listen: SocketAddr,
        all: &[SocketAddr],
    ) -> ControllerSettings {
        let defaults = ControllerSettings::default();
        let timeout_ms = |default_ms: u64| self.plan.key_value_timeout_ms(default_ms);
        ControllerSettings {
            key_value_timeout_ms: timeout_ms(defaults.key_value_timeout_ms),
            write_patience_ms: timeout_ms(defaults.write_patience_ms),
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

    /// Returns the settings of an instance's router.
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

    /// Starts every entry instance in this process and waits until the routers have the
    /// configuration.
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
        let addresses = addresses.context("reading the controllers' addresses")?;
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

    /// Returns the number of loads of a model that all engines have started.
    pub fn load_count(&self, model: &str) -> u32 {
        let loads = self
            .engines
            .iter()
            .map(|engine| engine.ledger().loads.get(model).copied().unwrap_or(0));
        loads.sum()
    }
}

impl Fleet {
    /// Waits until `revision` or a later one is in effect at every router.
    ///
    /// # Errors
    /// If a router doesn't have the revision within 20 s.
    pub fn wait_for_revision(&self, revision: Revision) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while self
            .routers
            .iter()
            .any(|router| router.revision() < revision)
        {
            anyhow::ensure!(Instant::now() < deadline, "routers are not ready in time");
            std::thread::sleep(READY_POLL_INTERVAL);
        }
        Ok(())
    }
}

/// Returns the id of an entry instance.
pub fn instance_id(number: usize) -> String {
    format!("entry{number}")
}

/// Returns the data hall of an instance or engine; three halls alternate.
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
