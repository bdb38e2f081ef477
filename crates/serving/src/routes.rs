//! Routes and services as operators configure them.

use crate::halls::AllowedRegions;
use crate::upstreams::ColdLimit;
use crate::workspaces::Workspaces;
use passway_types::prelude::*;
use std::collections::HashMap;

/// Whether a route's requests may be repeated, and how they are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A request may run more than once.
    Repeatable,
    /// A request may run at most once for each attempt of its caller.
    OnceOnly,
    /// A request is answered by a stream of events.
    Stream {
        /// Whether another upstream may resume the stream after an event.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether a request may be sent again after it may have run.
    pub fn can_run_again(self) -> bool {
        matches!(self, Self::Repeatable | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that receives some of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Backend {
    /// The service's name.
    pub service: ServiceName,
    /// The service's weight among the route's backends.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The host that the route applies to.
    pub host: Arc<str>,
    /// The path prefix that the route applies to.
    pub prefix: Arc<str>,
    /// Whether requests may be repeated, and how they are answered.
    pub kind: RequestKind,
    /// Maximum time for a request, in milliseconds.
    pub timeout_ms: u64,
    /// Target for the time until an answer, or a stream's first event, in milliseconds.
    pub latency_target_ms: u64,
    /// Target for the longest gap between two events of a stream, in milliseconds.
    pub gap_target_ms: u64,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Priority among routes; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of upstreams that one request may be sent to.
    pub attempts: u32,
    /// The regions in which requests may be served.
    pub allowed: AllowedRegions,
    /// The services that requests go to.
    pub backends: Vec<Backend>,
}

/// Minimum gap after which a caller abandons a stream, in milliseconds.
const MIN_SILENCE_MS: u64 = 2_000;
/// A caller abandons a stream after a gap of this many times the target for its first event.
const SILENCE_PER_LATENCY_TARGET: u64 = 4;
/// A caller abandons a stream after a gap of this many times the target for gaps.
const SILENCE_PER_GAP_TARGET: u64 = 8;

impl Route {
    /// The gap after which a caller abandons a stream, also before its first event, in
    /// milliseconds.
    pub fn max_silence_ms(&self) -> u64 {
        if !self.kind.is_stream() {
            return self.timeout_ms;
        }
        let by_latency_target = self
            .latency_target_ms
            .saturating_mul(SILENCE_PER_LATENCY_TARGET);
        let by_gap_target = self.gap_target_ms.saturating_mul(SILENCE_PER_GAP_TARGET);
        by_latency_target.max(by_gap_target).max(MIN_SILENCE_MS)
    }

    /// The backend for a request, chosen by weight with the request's random number.
    pub fn backend(&self, random: u64) -> Option<&ServiceName> {
        backend_of(&self.backends, random)
    }

    /// Whether requests may go to a service.
    pub fn has_backend(&self, service: &ServiceName) -> bool {
        let mut backends = self.backends.iter();
        backends.any(|backend| backend.service == *service && backend.weight > 0)
    }
}

/// One of these backends, chosen by weight with a random number.
pub fn backend_of(backends: &[Backend], random: u64) -> Option<&ServiceName> {
    let weights = backends.iter().map(|backend| u64::from(backend.weight));
    let mut offset = random.checked_rem(weights.sum())?;
    for backend in backends {
        let weight = u64::from(backend.weight);
        if offset < weight {
            return Some(&backend.service);
        }
        offset -= weight;
    }
    None
}

/// A model that a pool of engines may load.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// The model's name.
    pub name: ModelName,
    /// Accelerator memory of the model's weights, in megabytes.
    pub weights_mb: f64,
    /// Accelerator memory of one of the model's adapters, in megabytes.
    pub adapter_mb: f64,
    /// Time to load the model from the weight store, in milliseconds.
    pub load_ms: u64,
    /// Time to load the model from an engine's own disk, in milliseconds.
    pub disk_ms: u64,
    /// Time to load the model from an engine's own memory, in milliseconds.
    pub memory_ms: u64,
}

/// The common properties of a service's engines.
#[derive(Debug, Clone, PartialEq)]
pub struct EnginePool {
    /// Maximum number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Accelerator memory for weights and adapters, in megabytes.
    pub weights_mb: f64,
    /// Maximum number of adapters on an engine.
    pub adapter_slots: usize,
    /// Output tokens in one event of a stream; `None` if the operators do not name it.
    pub tokens_per_event: Option<u32>,
    /// Accelerator memory for running requests and cached prompts, in tokens; `None` if the
    /// operators do not name it.
    pub memory_tokens: Option<u64>,
    /// Whether an engine can keep copies of the runs of others.
    pub accepts_run_copies: bool,
    /// Loads a second that the weight store allows over all engines.
    pub loads_per_s: f64,
    /// The models.
    pub models: ModelSpecs,
}

/// The models of a pool, in the operators' order and by name.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ModelSpecs {
    specs: Vec<ModelSpec>,
    by_name: HashMap<ModelName, usize>,
}

impl ModelSpecs {
    /// The model with this name.
    pub fn named(&self, model: &str) -> Option<&ModelSpec> {
        self.by_name.get(model).map(|index| &self.specs[*index])
    }

    /// All models.
    pub fn iter(&self) -> std::slice::Iter<'_, ModelSpec> {
        self.specs.iter()
    }

    /// The number of models.
    pub fn len(&self) -> usize {
        self.specs.len()
    }

    /// Whether there are no models.
    pub fn is_empty(&self) -> bool {
        self.specs.is_empty()
    }
}

impl FromIterator<ModelSpec> for ModelSpecs {
    fn from_iter<I: IntoIterator<Item = ModelSpec>>(specs: I) -> Self {
        let specs: Vec<ModelSpec> = specs.into_iter().collect();
        let names = specs.iter().map(|spec| spec.name.clone()).zip(0..);
        Self {
            by_name: names.collect(),
            specs,
        }
    }
}

impl<'a> IntoIterator for &'a ModelSpecs {
    type Item = &'a ModelSpec;
    type IntoIter = std::slice::Iter<'a, ModelSpec>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// Maximum number of connections to an upstream from all instances together.
    pub max_connections: u32,
    /// The path of its upstreams' health checks, if they have one.
    pub health_path: Option<Arc<str>>,
    /// The rate limit of cold upstreams; `None` for no limit.
    pub cold_limit: Option<ColdLimit>,
    /// The common properties of the engines; `None` for a plain service.
    pub pool: Option<EnginePool>,
}

/// Limits for callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time for a head to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// Maximum time that a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    /// The version, which grows.
    pub version: Revision,
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// The services by name.
    pub services: HashMap<ServiceName, Arc<Service>>,
    /// The workspaces; `None` if routes need no key.
    pub workspaces: Option<Workspaces>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// Creates a table of routes in which longer prefixes are tried first.
    pub fn new(
        version: Revision,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = route.host.clone();
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|service| (service.name.clone(), Arc::new(service)));
        Self {
            version,
            routes: by_host,
            services: services.collect(),
            workspaces: None,
            limits,
        }
    }

    /// Adds the workspaces whose keys the closed routes require.
    ///
    /// # Errors
    /// If there is no workspace although a route is closed, so that no caller could use it.
    pub fn with_workspaces(self, workspaces: Workspaces) -> anyhow::Result<Self> {
        let mut routes = self.routes.values().flatten();
        let closed = routes.find(|route| !route.is_public);
        if let Some(route) = closed.filter(|_| workspaces.is_empty()) {
            anyhow::bail!(
                "there is no workspace although route {} needs a key",
                route.name
            );
        }
        Ok(Self {
            workspaces: Some(workspaces),
            ..self
        })
    }

    /// All routes; those of one host with longer prefixes first.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }

    /// The route of a request: the longest matching prefix among the host's routes.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }
}
