//! Configurations of today's size and of the target size, for benchmarks.

use passway_config::Catalog;
use passway_config::document::{
    AdapterEntry, Document, ModelEntry, PolicyEntry, UpstreamEntry, WorkspaceEntry,
};
use passway_decide::messages::RouteChange;
use passway_decide::router::{Arrival, AttemptOutcome, RouterAction, RouterCore};
use passway_types::prelude::*;

/// The number of entries in a configuration, by kind.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of base models.
    pub models: usize,
    /// Number of adapters.
    pub adapters: usize,
    /// Number of model engines.
    pub upstreams: usize,
    /// Number of workspaces.
    pub workspaces: usize,
    /// Number of policy rules.
    pub rules: usize,
    /// Number of entry instances.
    pub instances: usize,
}

/// Today's size, the size a third of the way to the target, and the target size.
pub const SIZES: [Size; 3] = [
    Size {
        models: 50,
        adapters: 60,
        upstreams: 9,
        workspaces: 4,
        rules: 3,
        instances: 6,
    },
    Size {
        models: 250,
        adapters: 2_900,
        upstreams: 200,
        workspaces: 70,
        rules: 30,
        instances: 107,
    },
    Size {
        models: 730,
        adapters: 8_600,
        upstreams: 600,
        workspaces: 200,
        rules: 100,
        instances: 320,
    },
];
/// Builds a configuration with as many entries as `size` gives.
pub fn document(size: &Size) -> Document {
    let workspaces = (0..size.workspaces).map(|number| WorkspaceEntry {
        name: format!("workspace{number}"),
        ..WorkspaceEntry::default()
    });
    let models = (0..size.models).map(|number| ModelEntry {
        name: format!("base-model-{number}"),
        size_mb: 8_000,
        max_replicas: 2,
        ..ModelEntry::default()
    });
    let adapters = (0..size.adapters).map(|number| AdapterEntry {
        name: format!("adapter-for-customer-{number}"),
        base: format!("base-model-{}@1", number % size.models),
        size_mb: 200,
        ..AdapterEntry::default()
    });
    let upstreams = (0..size.upstreams).map(|number| UpstreamEntry {
        id: format!("upstream-{number}"),
        address: format!("10.{}.{}.1:8000", number / 250, number % 250),
        data_hall: format!("hall{}", number % 7),
        memory_mb: 640_000,
        ..UpstreamEntry::default()
    });
    let policies = (0..size.rules).map(|number| PolicyEntry {
        name: format!("rule{number}"),
        when: format!("workspace == 'workspace{number}' && kind == 'rush'"),
        priority: Some(10),
        ..PolicyEntry::default()
    });
    Document {
        workspaces: workspaces.collect(),
        models: models.collect(),
        adapters: adapters.collect(),
        upstreams: upstreams.collect(),
        policies: policies.collect(),
        ..Document::default()
    }
}

/// A router core with a route to a loaded replica of every model.
pub struct WarmRouter {
    /// The router's decision core.
    pub core: RouterCore,
    /// The current time of the simulated clock.
    pub now: Instant,
    size: Size,
    request_count: RequestId,
}

impl WarmRouter {
    /// Creates a router with a configuration of this size.
    ///
    /// # Panics
    /// If the configuration is invalid.
    pub fn new(size: Size) -> Self {
        let catalog = Arc::new(Catalog::build(&document(&size), 1).expect("building the catalog"));
        let now = Instant::now();
        let mut core = RouterCore::new(1, catalog.clone(), now);
        let added = catalog.models.keys().enumerate().map(|(number, model)| {
            (
                model.clone(),
                format!("upstream-{}", number % size.upstreams).into(),
            )
        });
        let change = RouteChange {
            added: added.collect(),
            removed: Vec::new(),
            is_snapshot: true,
        };
        core.apply_route_change(now, &change, "main");
        Self {
            core,
            now,
            size,
            request_count: 0,
        }
    }

    /// Handles one request: admission, choice of a replica and completion.
    pub fn serve_one(&mut self) {
        self.now += Duration::from_millis(1);
        self.request_count += 1;
        let number = usize::try_from(self.request_count).unwrap_or(0);
        let arrival = Arrival {
            request: self.request_count,
            model: format!("base-model-{}@1", number % self.size.models),
            workspace: format!("workspace{}", number % self.size.workspaces),
            kind: "rush".into(),
            priority: None,
            deadline_at: None,
        };
        for action in self.core.handle_arrival(self.now, &arrival) {
            if let RouterAction::Start { request, .. } = action {
                self.core
                    .attempt_ended(self.now, request, AttemptOutcome::Served { tokens: 10 });
            }
        }
    }
}
