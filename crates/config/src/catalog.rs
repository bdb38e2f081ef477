//! The configuration checked and resolved for lookups.
//!
//! A [`Catalog`] is immutable. Readers on a request's path hold it behind a
//! read-copy-update pointer and never see half of a change.

use crate::check::{Fault, Faults, Source};
use crate::document::{AdapterEntry, Document, Fencing, KeepEntry, ModelEntry, WeightStoreEntry};
use crate::policy::Policy;
use passway_types::hash::stable_hash;
use passway_types::prelude::*;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

/// Bytes in a megabyte as operators write it.
const MB_BYTES: u64 = 1 << 20;

/// A model or an adapter; an adapter has a base.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Model {
    /// `name@version`.
    pub name: ModelName,
    /// The base model of an adapter.
    pub base: Option<ModelName>,
    /// Accelerator memory of one replica, in bytes.
    pub size_bytes: u64,
    /// Most replicas at one time.
    pub max_replicas: u32,
    /// The cell that decides on this model.
    pub cell: CellName,
}

/// A model engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Its id.
    pub id: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data hall it stands in.
    pub data_hall: DataHall,
    /// The cell that decides on its memory.
    pub cell: CellName,
    /// Accelerator memory for models, in bytes.
    pub memory_bytes: u64,
    /// Requests that it runs at one time.
    pub slots: u32,
    /// What it does with an old fencing number.
    pub fencing: Fencing,
    /// Whether the operators take it out of service.
    pub draining: bool,
}

/// A workspace of callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceName,
    /// Weight in the fair sharing of tokens; at least 1.
    pub share: u32,
    /// Time until the deadline of a request that names none.
    pub default_deadline: Duration,
    /// Requests of the workspace that may wait at one router.
    pub max_waiting: u32,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Where its replicas listen.
    pub addresses: Vec<SocketAddr>,
    /// Methods that may not be repeated, in capitals.
    pub not_repeatable: HashSet<String>,
}

/// The whole configuration, resolved.
#[derive(Debug, Default)]
pub struct Catalog {
    /// The revision it was built from.
    pub revision: Revision,
    /// Workspaces by name.
    pub workspaces: HashMap<WorkspaceName, Workspace>,
    /// Models and adapters by `name@version`.
    pub models: HashMap<ModelName, Arc<Model>>,
    /// Other names of models and adapters.
    pub aliases: HashMap<Arc<str>, ModelName>,
    /// Model engines by id.
    pub upstreams: HashMap<UpstreamId, Arc<Upstream>>,
    /// Plain services by name.
    pub services: HashMap<ServiceName, Arc<Service>>,
    /// Every cell that has an upstream.
    pub cells: BTreeSet<CellName>,
    /// The compiled policy program.
    pub policy: Policy,
    /// How long idle replicas are kept.
    pub retention: KeepEntry,
    /// The weight store's pace.
    pub weight_store: WeightStoreEntry,
}

impl Catalog {
    /// Checks a document and resolves it.
    ///
    /// # Errors
    /// Every fault found, with paths but without lines; see [`parse`] for lines.
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
        let full = self.aliases.get(name);
        self.models.get(full.map_or(name, |alias| alias))
    }

    /// The upstreams of a cell, in no order.
    pub fn upstreams_of<'a>(&'a self, cell: &'a str) -> impl Iterator<Item = &'a Arc<Upstream>> {
        self.upstreams
            .values()
            .filter(move |upstream| &*upstream.cell == cell)
    }
}

/// Reads, checks and resolves a configuration file in one go.
///
/// # Errors
/// Every fault found, with its line.
pub fn parse(text: &str, revision: Revision) -> Result<(Document, Catalog), Faults> {
    let source = Source::parse(text)?;
    let mut faults = Vec::new();
    let document: Document = source.read(&mut faults);
    let built = Catalog::build(&document, revision);
    if let Err(found) = &built {
        let known: HashSet<String> = faults.iter().map(|f| f.path.clone()).collect();
        let new = found.0.iter().filter(|f| !known.contains(&f.path));
        faults.extend(new.map(|f| source.fault_at(&f.path, f.reason.clone())));
    }
    faults.sort_by_key(|fault| fault.line);
    match built {
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

    fn require(&mut self, holds: bool, path: impl FnOnce() -> String, reason: &str) {
        if !holds {
            self.fault(path(), reason);
        }
    }

    fn workspaces(&mut self, document: &Document) {
        for (i, entry) in document.workspaces.iter().enumerate() {
            let at = |field: &str| format!("workspaces[{i}].{field}");
            self.require(!entry.name.is_empty(), || at("name"), "is required");
            self.require(entry.share > 0, || at("share"), "must be at least 1");
            let deadline_ok = entry.default_deadline_ms > 0;
            self.require(
                deadline_ok,
                || at("default_deadline_ms"),
                "must be at least 1",
            );
            let name: WorkspaceName = entry.name.as_str().into();
            let workspace = Workspace {
                name: name.clone(),
                share: entry.share,
                default_deadline: Duration::from_millis(entry.default_deadline_ms),
                max_waiting: entry.max_waiting,
            };
            let twice = self.catalog.workspaces.insert(name, workspace).is_some();
            self.require(!twice, || at("name"), "stands twice");
        }
    }

    fn upstreams(&mut self, document: &Document) {
        for (i, entry) in document.upstreams.iter().enumerate() {
            let at = |field: &str| format!("upstreams[{i}].{field}");
            self.require(!entry.id.is_empty(), || at("id"), "is required");
            self.require(
                !entry.data_hall.is_empty(),
                || at("data_hall"),
                "is required",
            );
            self.require(!entry.cell.is_empty(), || at("cell"), "may not be empty");
            self.require(
                entry.memory_mb > 0,
                || at("memory_mb"),
                "must be at least 1",
            );
            self.require(entry.slots > 0, || at("slots"), "must be at least 1");
            let Some(address) = self.address(&entry.address, || at("address")) else {
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
            let twice = self
                .catalog
                .upstreams
                .insert(id, Arc::new(upstream))
                .is_some();
            self.require(!twice, || at("id"), "stands twice");
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
            let at = |field: &str| format!("models[{i}].{field}");
            self.require(!entry.name.is_empty(), || at("name"), "is required");
            self.require(entry.size_mb > 0, || at("size_mb"), "must be at least 1");
            self.require(
                entry.max_replicas > 0,
                || at("max_replicas"),
                "must be at least 1",
            );
            let name = full_name(&entry.name, &entry.version);
            let Some(cell) = self.cell_of(entry, &name) else {
                self.fault(at("cell"), "no upstream is in such a cell");
                continue;
            };
            let model = Model {
                name,
                base: None,
                size_bytes: entry.size_mb * MB_BYTES,
                max_replicas: entry.max_replicas,
                cell,
            };
            self.insert_model(model, &entry.aliases, &at("name"));
        }
    }

    /// The cell of a model: the one it names, else the cell with the highest
    /// hash, so that a new cell moves only the models it wins.
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
            let at = |field: &str| format!("adapters[{i}].{field}");
            self.require(!entry.name.is_empty(), || at("name"), "is required");
            self.require(entry.size_mb > 0, || at("size_mb"), "must be at least 1");
            self.require(
                entry.max_replicas > 0,
                || at("max_replicas"),
                "must be at least 1",
            );
            self.adapter(entry, &at("name"), &at("base"));
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
        let fits = self.catalog.upstreams_of(&model.cell);
        let fits = fits.into_iter().any(|u| u.memory_bytes >= model.size_bytes);
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
            let twice = self
                .catalog
                .aliases
                .insert(alias.as_str().into(), name.clone())
                .is_some();
            if twice {
                self.fault(path.to_owned(), format!("the alias `{alias}` stands twice"));
            }
        }
    }

    fn services(&mut self, document: &Document) {
        for (i, entry) in document.services.iter().enumerate() {
            let at = |field: &str| format!("services[{i}].{field}");
            self.require(!entry.name.is_empty(), || at("name"), "is required");
            self.require(
                !entry.addresses.is_empty(),
                || at("addresses"),
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
                .map(|m| m.to_ascii_uppercase())
                .collect();
            let service = Service {
                name: name.clone(),
                addresses,
                not_repeatable,
            };
            let twice = self
                .catalog
                .services
                .insert(name, Arc::new(service))
                .is_some();
            self.require(!twice, || at("name"), "stands twice");
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
        let keep = &document.keep;
        let finite = |weight: f64| weight.is_finite() && weight > 0.0;
        let at = |field: &str| format!("keep.{field}");
        self.require(
            finite(keep.idle_weight),
            || at("idle_weight"),
            "must be above 0",
        );
        self.require(
            finite(keep.cold_weight),
            || at("cold_weight"),
            "must be above 0",
        );
        let store = &document.weight_store;
        let pace = store.max_loads > 0 && store.expected_mb_per_s > 0;
        self.require(
            pace,
            || "weight_store".into(),
            "every number must be at least 1",
        );
        self.catalog.retention = keep.clone();
        self.catalog.weight_store = store.clone();
    }
}

fn full_name(name: &str, version: &str) -> ModelName {
    format!("{name}@{version}").into()
}

/// The weight of `node` for `item` in rendezvous hashing; the same in every process.
pub fn rendezvous_hash(node: &str, item: &str) -> u64 {
    stable_hash(&[node.as_bytes(), item.as_bytes()])
}
