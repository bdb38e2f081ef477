//! Routes and services as operators configure them.

use crate::halls::AllowedRegions;
use crate::upstreams::ColdLimit;
use crate::workspaces::Workspaces;
use passway_types::prelude::*;
use std::collections::HashMap;

/// What may be repeated of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Repeatable,
    /// May run at most once for each attempt of its caller.
    OnceOnly,
    /// Answered by a stream of events.
    Stream {
        /// Whether another upstream may go on after an event.
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

/// A service that takes a part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the route's backends.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host it is for.
    pub host: Arc<str>,
    /// The beginning of the paths it is for.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time that a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer, or a stream's first event, is worth most, in milliseconds.
    pub latency_target_ms: u64,
    /// Longest pause between two events of a stream that is worth most, in milliseconds.
    pub gap_target_ms: u64,
    /// Whether it needs no key.
    pub is_public: bool,
    /// Rank among routes; 0 is the most urgent.
    pub priority: u8,
    /// Most upstreams that one request may be sent to.
    pub attempts: u32,
    /// The regions in which its requests may be served.
    pub allowed: AllowedRegions,
    /// Where its requests go.
    pub backends: Vec<Backend>,
}

/// Shortest gap after which a caller leaves a stream, in milliseconds.
const MIN_PATIENCE_MS: u64 = 2_000;
/// A caller leaves a stream after a gap of so many times the goal of its first event.
const PATIENCE_GOALS: u64 = 4;
/// A caller leaves a stream after a gap of so many times the goal for pauses.
const PATIENCE_GAPS: u64 = 8;

impl Route {
    /// The gap after which a caller leaves a stream, before its first event too, in milliseconds.
    pub fn max_silence_ms(&self) -> u64 {
        if !self.kind.is_stream() {
            return self.timeout_ms;
        }
        let by_goal = self.latency_target_ms.saturating_mul(PATIENCE_GOALS);
        let by_gap = self.gap_target_ms.saturating_mul(PATIENCE_GAPS);
        by_goal.max(by_gap).max(MIN_PATIENCE_MS)
    }

    /// The backend for a request, chosen by weight from a number drawn for the request.
    pub fn backend(&self, drawn: u64) -> Option<&ServiceName> {
        let total: u64 = self.backends.iter().map(|b| u64::from(b.weight)).sum();
        let mut left = drawn.checked_rem(total)?;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if left < weight {
                return Some(&backend.service);
            }
            left -= weight;
        }
        None
    }
}

/// A model that a pool of engines may hold.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// Its name.
    pub name: ModelName,
    /// Accelerator memory of its weights, in megabytes.
    pub weights_mb: f64,
    /// Accelerator memory of one of its adapters, in megabytes.
    pub adapter_mb: f64,
    /// Time to load it from the weight store, in milliseconds.
    pub load_ms: u64,
    /// Time to load it from an engine's own disk, in milliseconds.
    pub disk_ms: u64,
    /// Time to load it from an engine's own memory, in milliseconds.
    pub memory_ms: u64,
}

/// What the engines of a service have in common.
#[derive(Debug, Clone, PartialEq)]
pub struct EnginePool {
    /// Requests that an engine runs at one time.
    pub slots: u32,
    /// Accelerator memory for weights and adapters, in megabytes.
    pub weights_mb: f64,
    /// Adapters that an engine can hold.
    pub adapter_slots: usize,
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
    /// The model of a name.
    pub fn named(&self, model: &str) -> Option<&ModelSpec> {
        self.by_name.get(model).map(|index| &self.specs[*index])
    }

    /// All models.
    pub fn iter(&self) -> std::slice::Iter<'_, ModelSpec> {
        self.specs.iter()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.specs.len()
    }

    /// Whether there is none.
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
    /// Its name.
    pub name: ServiceName,
    /// Connections that an upstream takes from all instances together.
    pub max_connections: u32,
    /// What a cold upstream bears; `None` without a bound.
    pub cold_limit: Option<ColdLimit>,
    /// The engines' common traits; `None` for a plain service.
    pub pool: Option<EnginePool>,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub max_header_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest rest of a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    /// Its version; grows.
    pub version: Revision,
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// The services by name.
    pub services: HashMap<ServiceName, Arc<Service>>,
    /// The workspaces; `None` if routes need no key.
    pub workspaces: Option<Workspaces>,
    /// Bounds on callers.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// A table of routes; longer prefixes are tried first.
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
        let services = services.into_iter().map(|s| (s.name.clone(), Arc::new(s)));
        Self {
            version,
            routes: by_host,
            services: services.collect(),
            workspaces: None,
            limits,
        }
    }

    /// The same with workspaces, whose keys its closed routes ask for.
    ///
    /// # Errors
    /// If there is none, and so nobody could use a closed route.
    pub fn with_workspaces(self, workspaces: Workspaces) -> anyhow::Result<Self> {
        let mut routes = self.routes.values().flatten();
        let closed = routes.find(|route| !route.is_public);
        if let Some(route) = closed.filter(|_| workspaces.is_empty()) {
            anyhow::bail!("no workspace, and route {} needs a key", route.name);
        }
        Ok(Self {
            workspaces: Some(workspaces),
            ..self
        })
    }

    /// The route of a request: the longest prefix of the path among the host's routes.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }
}
