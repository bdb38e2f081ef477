//! The checked configuration, resolved for lookups.
//!
//! A [`Catalog`] is immutable. The request path reads it through a read-copy-update pointer, so
//! that a reader never sees a partial change.

use crate::check::{Fault, Faults, Source};
use crate::document::{AdapterEntry, Document, Fencing, KeepEntry, ModelEntry, WeightStoreEntry};
use crate::policy::Policy;
use passway_types::hash::stable_hash;
use passway_types::prelude::*;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

/// Bytes in a megabyte, the unit of the configuration.
const MB_BYTES: u64 = 1 << 20;

/// A base model or an adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Model {
    /// Name and version, as `name@version`.
    pub name: ModelName,
    /// The base model of an adapter; `None` for a base model.
    pub base: Option<ModelName>,
    /// Accelerator memory that one replica uses, in bytes.
    pub size_bytes: u64,
    /// Maximum number of concurrent replicas.
    pub max_replicas: u32,
    /// The cell that decides on this model.
    pub cell: CellName,
}

/// A model engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Id of the engine.
    pub id: UpstreamId,
    /// Address where the engine listens.
    pub address: SocketAddr,
    /// Data hall of the engine.
    pub data_hall: DataHall,
    /// The cell that decides on the use of the engine's memory.
    pub cell: CellName,
    /// Accelerator memory for models, in bytes.
    pub memory_bytes: u64,
    /// Number of requests that the engine runs concurrently.
    pub slots: u32,
    /// How the engine treats orders with an old fencing number.
    pub fencing: Fencing,
    /// Whether the operators take the engine out of service.
    pub draining: bool,
}

/// A workspace (tenant).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Weight in the fair sharing of tokens; at least 1.
    pub share: u32,
    /// Time from the arrival of a request to its deadline, if the request gives none.
    pub default_deadline: Duration,
    /// Maximum number of requests of the workspace that wait at one router.
    pub max_waiting: u32,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Addresses of the replicas.
    pub addresses: Vec<SocketAddr>,
    /// Methods whose requests must not be retried, in capital letters.
    pub not_repeatable: HashSet<String>,
}

/// The whole configuration, checked and resolved.
#[derive(Debug, Default)]
pub struct Catalog {
    /// The revision of the configuration.
    pub revision: Revision,
    /// Workspaces by name.
    pub workspaces: HashMap<WorkspaceName, Workspace>,
    /// Models and adapters by `name@version`.
    pub models: HashMap<ModelName, Arc<Model>>,
    /// Full names (`name@version`) of models and adapters by alias.
    pub aliases: HashMap<Arc<str>, ModelName>,
    /// Model engines by id.
    pub upstreams: HashMap<UpstreamId, Arc<Upstream>>,
    /// Plain services by name.
    pub services: HashMap<ServiceName, Arc<Service>>,
    /// All cells that have an upstream.
    pub cells: BTreeSet<CellName>,
    /// The compiled policy program.
    pub policy: Policy,
    /// Retention of idle replicas.
    pub retention: KeepEntry,
    /// Speed of the weight store.
    pub weight_store: WeightStoreEntry,
}

impl Catalog {
    /// Checks a document and resolves it.
    ///
    /// # Errors
    /// All faults, with paths but without lines; [`parse`] adds the lines.
    pub fn build(document: &Document, revision: Revision) -> Result<Self, Faults> {
        let mut builder = Builder::default();
        builder.catalog.revision = revision;
        builder.workspaces(document);
        builder.upstreams(document);
        builder.models(document);
        builder.adapters(document);
        builder.services(document);
        builder.policy(document);
        builder.keep(document);
        if builder.faults.is_empty() {
            Ok(builder.catalog)
        } else {
            Err(Faults(builder.faults))
        }
    }

    /// Finds a model or adapter by `name@version` or alias.
    pub fn resolve(&self, name: &str) -> Option<&Arc<Model>> {
        let full_name = self.aliases.get(name);
        self.models.get(full_name.map_or(name, |found| found))
    }

    /// The upstreams of a cell, in no particular order.
    pub fn upstreams_of<'a>(&'a self, cell: &'a str) -> impl Iterator<Item = &'a Arc<Upstream>> {
        self.upstreams
            .values()
            .filter(move |upstream| &*upstream.cell == cell)
    }
}

/// Parses, checks and resolves a configuration file.
///
/// # Errors
/// All faults, each with its line.
pub fn parse(text: &str, revision: Revision) -> Result<(Document, Catalog), Faults> {
    let source = Source::parse(text)?;
    let mut faults = Vec::new();
    let document: Document = source.read(&mut faults);
    let result = Catalog::build(&document, revision);
    if let Err(found) = &result {
        let known: HashSet<String> = faults.iter().map(|f| f.path.clone()).collect();
        let new = found.0.iter().filter(|f| !known.contains(&f.path));
        faults.extend(new.map(|f| source.fault_at(&f.path, f.reason.clone())));
    }
    faults.sort_by_key(|fault| fault.line);
    match result {
        Ok(catalog) if faults.is_empty() => Ok((document, catalog)),
        _ => Err(Faults(faults)),
    }
}

#[derive(Default)]
struct Builder {
    catalog: Catalog,
    faults: Vec<Fault>,
}

impl Builder {
    fn fault(&mut self, path: String, reason: impl Into<String>) {
        self.faults.push(Fault {
            path,
            line: 0,
            reason: reason.into(),
        });
    }

    fn require(&mut self, is_valid: bool, path: impl FnOnce() -> String, reason: &str) {
        if !is_valid {
            self.fault(path(), reason);
        }
    }

    fn workspaces(&mut self, document: &Document) {
        for (i, entry) in document.workspaces.iter().enumerate() {
            let path = |field: &str| format!("workspaces[{i}].{field}");
            self.require(!entry.name.is_empty(), || path("name"), "is required");
            self.require(entry.share > 0, || path("share"), "must be at least 1");
            let is_deadline_valid = entry.default_deadline_ms > 0;
            self.require(
                is_deadline_valid,
                || path("default_deadline_ms"),
                "must be at least 1",
            );
            let name: WorkspaceName = entry.name.as_str().into();
            let workspace = Workspace {
                name: name.clone(),
                share: entry.share,
                default_deadline: Duration::from_millis(entry.default_deadline_ms),
                max_waiting: entry.max_waiting,
            };
            let is_duplicate = self.catalog.workspaces.insert(name, workspace).is_some();
            self.require(!is_duplicate, || path("name"), "stands twice");
        }
    }

    fn upstreams(&mut self, document: &Document) {
        for (i, entry) in document.upstreams.iter().enumerate() {
            let path = |field: &str| format!("upstreams[{i}].{field}");
            self.require(!entry.id.is_empty(), || path("id"), "is required");
            self.require(
                !entry.data_hall.is_empty(),
                || path("data_hall"),
                "is required",
            );
            self.require(!entry.cell.is_empty(), || path("cell"), "may not be empty");
            self.require(
                entry.memory_mb > 0,
                || path("memory_mb"),
                "must be at least 1",
            );
            self.require(entry.slots > 0, || path("slots"), "must be at least 1");
            let Some(address) = self.address(&entry.address, || path("address")) else {
                continue;
            };
            let id: UpstreamId = entry.id.as_str().into();
            let upstream = Upstream {
                id: id.clone(),
                address,
                data_hall: entry.data_hall.as_str().into(),
                cell: entry.cell.as_str().into(),
                memory_bytes: entry.memory_mb * MB_BYTES,
                slots: entry.slots,
                fencing: entry.fencing,
                draining: entry.draining,
            };
            self.catalog.cells.insert(upstream.cell.clone());
            let is_duplicate = self
                .catalog
                .upstreams
                .insert(id, Arc::new(upstream))
                .is_some();
            self.require(!is_duplicate, || path("id"), "stands twice");
        }
    }

    fn address(&mut self, text: &str, path: impl FnOnce() -> String) -> Option<SocketAddr> {
        let parsed = text.parse().ok();
        self.require(
            parsed.is_some(),
            path,
            "must be an IP number and a port, as 10.0.0.1:8000",
        );
        parsed
    }

    fn models(&mut self, document: &Document) {
        for (i, entry) in document.models.iter().enumerate() {
            let path = |field: &str| format!("models[{i}].{field}");
            self.require(!entry.name.is_empty(), || path("name"), "is required");
            self.require(entry.size_mb > 0, || path("size_mb"), "must be at least 1");
            self.require(
                entry.max_replicas > 0,
                || path("max_replicas"),
                "must be at least 1",
            );
            let name = full_name(&entry.name, &entry.version);
            let Some(cell) = self.cell_of(entry, &name) else {
                self.fault(path("cell"), "no upstream is in such a cell");
                continue;
            };
            let model = Model {
                name,
                base: None,
                size_bytes: entry.size_mb * MB_BYTES,
                max_replicas: entry.max_replicas,
                cell,
            };
            self.insert_model(model, &entry.aliases, &path("name"));
        }
    }

    /// Returns the configured cell of a model, or else the cell with the highest rendezvous hash.
    ///
    /// With rendezvous hashing, a new cell takes over only the models for which its own hash is the
    /// highest; all others keep their cells.
    fn cell_of(&self, entry: &ModelEntry, name: &str) -> Option<CellName> {
        if !entry.cell.is_empty() {
            return self.catalog.cells.get(entry.cell.as_str()).cloned();
        }
        self.catalog
            .cells
            .iter()
            .max_by_key(|cell| rendezvous_hash(cell, name))
            .cloned()
    }

    fn adapters(&mut self, document: &Document) {
        for (i, entry) in document.adapters.iter().enumerate() {
            let path = |field: &str| format!("adapters[{i}].{field}");
            self.require(!entry.name.is_empty(), || path("name"), "is required");
            self.require(entry.size_mb > 0, || path("size_mb"), "must be at least 1");
            self.require(
                entry.max_replicas > 0,
                || path("max_replicas"),
                "must be at least 1",
            );
            self.adapter(entry, &path("name"), &path("base"));
        }
    }

    fn adapter(&mut self, entry: &AdapterEntry, name_path: &str, base_path: &str) {
        let base = self.catalog.resolve(&entry.base).cloned();
        let Some(base) = base.filter(|base| base.base.is_none()) else {
            self.fault(base_path.to_owned(), "no such base model");
            return;
        };
        let model = Model {
            name: full_name(&entry.name, &entry.version),
            base: Some(base.name.clone()),
            size_bytes: entry.size_mb * MB_BYTES,
            max_replicas: entry.max_replicas,
            cell: base.cell.clone(),
        };
        self.insert_model(model, &entry.aliases, name_path);
    }

    fn insert_model(&mut self, model: Model, aliases: &[String], path: &str) {
        let name = model.name.clone();
        let upstreams = self.catalog.upstreams_of(&model.cell);
        let fits = upstreams
            .into_iter()
            .any(|u| u.memory_bytes >= model.size_bytes);
        if !fits {
            self.fault(path.to_owned(), "fits on no upstream of its cell");
        }
        if self
            .catalog
            .models
            .insert(name.clone(), Arc::new(model))
            .is_some()
        {
            self.fault(path.to_owned(), "stands twice");
        }
        for alias in aliases {
            let is_duplicate = self
                .catalog
                .aliases
                .insert(alias.as_str().into(), name.clone())
                .is_some();
            if is_duplicate {
                self.fault(path.to_owned(), format!("the alias `{alias}` stands twice"));
            }
        }
    }

    fn services(&mut self, document: &Document) {
        for (i, entry) in document.services.iter().enumerate() {
            let path = |field: &str| format!("services[{i}].{field}");
            self.require(!entry.name.is_empty(), || path("name"), "is required");
            self.require(
                !entry.addresses.is_empty(),
                || path("addresses"),
                "may not be empty",
            );
            let mut addresses = Vec::new();
            for (j, text) in entry.addresses.iter().enumerate() {
                addresses.extend(self.address(text, || format!("services[{i}].addresses[{j}]")));
            }
            let name: ServiceName = entry.name.as_str().into();
            let not_repeatable = entry
                .not_repeatable
                .iter()
                .map(|method| method.to_ascii_uppercase())
                .collect();
            let service = Service {
                name: name.clone(),
                addresses,
                not_repeatable,
            };
            let is_duplicate = self
                .catalog
                .services
                .insert(name, Arc::new(service))
                .is_some();
            self.require(!is_duplicate, || path("name"), "stands twice");
        }
    }

    fn policy(&mut self, document: &Document) {
        match Policy::compile(&document.policies) {
            Ok(policy) => self.catalog.policy = policy,
            Err(faults) => {
                for fault in faults {
                    self.fault(format!("policies[{}].when", fault.index), fault.reason);
                }
            }
        }
    }

    fn keep(&mut self, document: &Document) {
        let retention = &document.keep;
        let is_valid = |weight: f64| weight.is_finite() && weight > 0.0;
        let path = |field: &str| format!("keep.{field}");
        self.require(
            is_valid(retention.idle_weight),
            || path("idle_weight"),
            "must be above 0",
        );
        self.require(
            is_valid(retention.cold_weight),
            || path("cold_weight"),
            "must be above 0",
        );
        let store = &document.weight_store;
        let is_store_valid = store.max_loads > 0 && store.expected_mb_per_s > 0;
        self.require(
            is_store_valid,
            || "weight_store".into(),
            "every number must be at least 1",
        );
        self.catalog.retention = retention.clone();
        self.catalog.weight_store = store.clone();
    }
}

fn full_name(name: &str, version: &str) -> ModelName {
    format!("{name}@{version}").into()
}

/// The weight of `node` for `item` in rendezvous hashing. The result is the same in all processes.
pub fn rendezvous_hash(node: &str, item: &str) -> u64 {
    stable_hash(&[node.as_bytes(), item.as_bytes()])
}
