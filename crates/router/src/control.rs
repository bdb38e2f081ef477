//! Connections to controllers, which send the configuration and routes and receive demands.

use crate::shared::{RequestDecision, Shared};
use anyhow::{Context, Result};
use passway_config::revision::{self, StoredRevision};
use passway_config::settings::RouterSettings;
use passway_decide::messages::{DemandVerdict, RouteChange};
use passway_decide::router::{RouterAction, RouterCore};
use passway_process::dial::{DialEvent, Dialer};
use passway_process::outbox::Outbox;
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::Body;
use passway_wire::message::{self, ConfigRequest, Heartbeat, Hello, Role};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError, Weak};

/// Number of configured controllers to which a router stays connected, besides the holders.
const PERMANENT_CONNECTIONS: usize = 2;
/// Minimum interval between two hellos to a controller. The hellos keep the controller from
/// closing the connection as silent.
const HELLO_INTERVAL: Duration = Duration::from_secs(1);

/// After this time without a configuration, the router requests it from another controller.
const CONFIG_REQUEST_TIMEOUT: Duration = Duration::from_millis(700);

/// The address of a cell's holder and the epoch of its term.
#[derive(Debug, Clone, Copy)]
struct KnownHolder {
    epoch: Epoch,
    address: SocketAddr,
    /// When this router was first told of the term.
    learned_at: Instant,
}

/// The connections to controllers and the latest state received over them.
#[derive(Debug, Default)]
struct ControllerConnections {
    /// Outboxes of the controllers that are connected now.
    outboxes: HashMap<SocketAddr, Outbox>,
    dialers: HashMap<SocketAddr, Dialer>,
    /// The known holder of each cell.
    holders: HashMap<String, KnownHolder>,
    /// The epoch of each cell's route table.
    route_epochs: HashMap<String, Epoch>,
    /// The number of connected routers that each controller reported last.
    router_counts: HashMap<SocketAddr, u32>,
    /// Time of the latest request for a configuration; `None` once one has arrived.
    config_requested_at: Option<Instant>,
}

/// The connections of a router to controllers.
#[derive(Debug)]
pub struct Control {
    connections: Mutex<ControllerConnections>,
    permanent: Vec<SocketAddr>,
    weak_self: Weak<Self>,
}

impl Control {
    /// Starts to connect to the configured controllers.
    ///
    /// # Errors
    /// If an address in the settings cannot be parsed.
    pub fn start(settings: &RouterSettings, shared: &Arc<Shared>) -> Result<Arc<Self>> {
        let addresses = settings.controllers.iter().take(PERMANENT_CONNECTIONS);
        let permanent: Result<Vec<SocketAddr>> = addresses
            .map(|text| {
                text.parse()
                    .context("parsing an address of the setting controllers")
            })
            .collect();
        let permanent = permanent?;
        let control = Arc::new_cyclic(|weak_self| Self {
            connections: Mutex::new(ControllerConnections::default()),
            permanent: permanent.clone(),
            weak_self: weak_self.clone(),
        });
        for address in permanent {
            control.dial(address, shared);
        }
        Ok(control)
    }

    fn connections(&self) -> MutexGuard<'_, ControllerConnections> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn dial(&self, address: SocketAddr, shared: &Arc<Shared>) {
        let mut connections = self.connections();
        if connections.dialers.contains_key(&address) {
            return;
        }
        let (control, shared) = (self.weak_self.clone(), shared.clone());
        let mut hello_sent_at = clock::now();
        let dialer = Dialer::start(address, move |event| {
            let Some(control) = control.upgrade() else {
                return;
            };
            match event {
                DialEvent::Connected(outbox) => {
                    outbox.send(Body::Hello(hello(&shared)));
                    control.connections().outboxes.insert(address, outbox);
                    hello_sent_at = clock::now();
                }
                DialEvent::Disconnected => control.handle_disconnect(address),
                DialEvent::Received(body) => {
                    control.handle_message(address, body, &shared);
                    if clock::since(hello_sent_at) >= HELLO_INTERVAL {
                        hello_sent_at = clock::now();
                        control.send_to(address, Body::Hello(hello(&shared)));
                    }
                }
            }
        });
        connections.dialers.insert(address, dialer);
    }

    fn handle_disconnect(&self, address: SocketAddr) {
        let mut connections = self.connections();
        connections.outboxes.remove(&address);
        connections.router_counts.remove(&address);
        let is_holder = connections
            .holders
            .values()
            .any(|holder| holder.address == address);
        if !is_holder && !self.permanent.contains(&address) {
            connections.dialers.remove(&address);
        }
    }

    fn send_to(&self, address: SocketAddr, body: Body) {
        if let Some(outbox) = self.connections().outboxes.get(&address) {
            outbox.send(body);
        }
    }

    /// Sends every controller the revision in force at this router and the number of requests
    /// in progress.
    pub fn send_hello(&self, shared: &Shared) {
        let hello = hello(shared);
        for outbox in self.connections().outboxes.values() {
            outbox.send(Body::Hello(hello.clone()));
        }
    }

    fn handle_message(&self, address: SocketAddr, body: Body, shared: &Arc<Shared>) {
        match body {
            Body::Heartbeat(heartbeat) => self.handle_heartbeat(address, &heartbeat, shared),
            Body::Config(config) => self.handle_config(&config.encoded, shared),
            Body::Routes(routes) => self.handle_routes(routes, shared),
            Body::DemandAnswer(verdict) => self.handle_verdict(address, &verdict, shared),
            _ => {}
        }
    }

    fn handle_heartbeat(&self, address: SocketAddr, heartbeat: &Heartbeat, shared: &Arc<Shared>) {
        let now = clock::now();
        let mut holder_addresses = Vec::new();
        let router_count = {
            let mut connections = self.connections();
            connections.router_counts.insert(address, heartbeat.routers);
            for cell in &heartbeat.cells {
                let Ok(holder_address) = cell.address.parse() else {
                    continue;
                };
                let known_holder = connections.holders.get(&cell.cell);
                if known_holder.is_none_or(|known| cell.epoch > known.epoch) {
                    let holder = KnownHolder {
                        epoch: cell.epoch,
                        address: holder_address,
                        learned_at: now,
                    };
                    connections.holders.insert(cell.cell.clone(), holder);
                }
            }
            holder_addresses.extend(connections.holders.values().map(|holder| holder.address));
            connections
                .router_counts
                .values()
                .copied()
                .max()
                .unwrap_or(1)
        };
        for address in holder_addresses {
            self.dial(address, shared);
        }
        self.request_config(address, heartbeat.config_revision, shared, now);
        let mut core = shared.core();
        core.set_router_count(router_count, now);
        if !heartbeat.is_isolated {
            core.set_config_current_until(now + shared.limits.stale_limit);
        }
    }

    /// Requests a newer revision from the controller at `address`, unless the router has
    /// requested one less than [`CONFIG_REQUEST_TIMEOUT`] ago.
    fn request_config(
        &self,
        address: SocketAddr,
        revision: Revision,
        shared: &Shared,
        now: Instant,
    ) {
        let known_revision = shared.catalog.load().revision;
        if revision <= known_revision {
            return;
        }
        {
            let mut connections = self.connections();
            if connections
                .config_requested_at
                .is_some_and(|at| now < at + CONFIG_REQUEST_TIMEOUT)
            {
                return;
            }
            connections.config_requested_at = Some(now);
        }
        self.send_to(
            address,
            Body::ConfigRequest(ConfigRequest { known_revision }),
        );
    }

    fn handle_config(&self, encoded: &[u8], shared: &Arc<Shared>) {
        let stored: StoredRevision = match revision::decode(encoded) {
            Ok(stored) => stored,
            Err(error) => {
                log::error!(error:% = error; "cannot decode a received configuration");
                return;
            }
        };
        self.connections().config_requested_at = None;
        // Compared and replaced under the lock of the decision logic. Otherwise two
        // controllers that send at the same time could leave the older revision in force.
        {
            let mut core = shared.core();
            if stored.revision <= core.catalog().revision {
                return;
            }
            match stored.catalog() {
                Ok(catalog) => {
                    let catalog = Arc::new(catalog);
                    core.use_catalog(catalog.clone());
                    shared.catalog.store(catalog);
                }
                Err(faults) => {
                    log::error!(revision = stored.revision, faults:% = faults;
                        "a received revision fails its checks");
                    return;
                }
            }
        }
        log::info!(revision = stored.revision; "configuration in force");
        self.send_hello(shared);
    }

    fn handle_routes(&self, routes: message::Routes, shared: &Arc<Shared>) {
        {
            let mut connections = self.connections();
            let known_epoch = connections
                .route_epochs
                .entry(routes.cell.clone())
                .or_default();
            // Ignores a previous holder's message, and a change to a table that the router
            // has never received completely.
            if routes.epoch < *known_epoch || (routes.epoch > *known_epoch && !routes.is_complete) {
                return;
            }
            *known_epoch = routes.epoch;
        }
        let from_wire = |routes: Vec<message::Route>| {
            routes
                .into_iter()
                .map(|route| (route.model.into(), route.upstream.into()))
                .collect()
        };
        let change = RouteChange {
            added: from_wire(routes.added),
            removed: from_wire(routes.removed),
            is_snapshot: routes.is_complete,
        };
        self.decide(shared, |core, now| {
            core.apply_route_change(now, &change, &routes.cell)
        });
    }

    /// Handles the answer to a demand if it comes from the current holder. A controller that
    /// was paused may answer a demand that it received while it was the holder, and may refuse
    /// a model that its successor serves.
    fn handle_verdict(
        &self,
        address: SocketAddr,
        verdict: &message::DemandAnswer,
        shared: &Arc<Shared>,
    ) {
        let holder = self.holder_of(shared, &verdict.model);
        let Some(holder) = holder.filter(|holder| holder.address == address) else {
            log::info!(model = verdict.model, controller:% = address; "ignored an answer of a previous holder");
            return;
        };
        let now = clock::now();
        if verdict.refused_code != 0 {
            let holder_age = now.saturating_duration_since(holder.learned_at);
            log::info!(model = verdict.model, code = verdict.refused_code,
                controller:% = address, epoch = holder.epoch,
                holder_age_ms:% = holder_age.as_millis(); "the holder refused a demand");
        }
        let code = ResultCode::ALL
            .iter()
            .find(|code| **code as u32 == verdict.refused_code);
        let decided = match code {
            Some(code) => DemandVerdict::Refused {
                code: *code,
                retry_at: now + Duration::from_millis(verdict.retry_in_ms),
            },
            None => DemandVerdict::ReadyAt(now + Duration::from_millis(verdict.ready_in_ms)),
        };
        let model: ModelName = verdict.model.as_str().into();
        self.decide(shared, |core, now| {
            core.handle_verdict(now, &model, decided)
        });
    }

    /// Makes one decision and performs its actions.
    pub fn decide(
        &self,
        shared: &Shared,
        decision: impl FnOnce(&mut RouterCore, Instant) -> Vec<RouterAction>,
    ) {
        let now = clock::now();
        let actions = decision(&mut shared.core(), now);
        for action in actions {
            self.perform(shared, now, action);
        }
    }

    fn perform(&self, shared: &Shared, now: Instant, action: RouterAction) {
        match action {
            RouterAction::Start {
                request,
                upstream,
                model,
                deadline_at,
                priority,
            } => {
                shared.send_decision(
                    request,
                    RequestDecision::Start {
                        upstream,
                        model,
                        deadline_at,
                        priority,
                    },
                );
            }
            RouterAction::Refuse { request, refusal } => {
                shared.send_decision(request, RequestDecision::Refuse(refusal));
            }
            RouterAction::Demand(demand) => {
                let deadline_in = demand.earliest_deadline_at.saturating_duration_since(now);
                let body = Body::Demand(message::Demand {
                    model: demand.model.to_string(),
                    workspace: demand.workspace.to_string(),
                    waiting: demand.waiting,
                    deadline_in_ms: u64::try_from(deadline_in.as_millis()).unwrap_or(u64::MAX),
                    priority: demand.priority,
                });
                self.send_to_holder(shared, &demand.model, body);
            }
            RouterAction::Usage(usage) => {
                let model = usage.model.to_string();
                let body = Body::Usage(message::Usage {
                    model,
                    running: usage.running,
                });
                self.send_to_holder(shared, &usage.model, body);
            }
        }
    }

    /// Sends to the holder of the model's cell, if it is known and connected. The decision
    /// logic repeats messages that are lost.
    fn send_to_holder(&self, shared: &Shared, model: &str, body: Body) {
        if let Some(holder) = self.holder_of(shared, model) {
            self.send_to(holder.address, body);
        }
    }

    /// Returns the holder of a model's cell, if it is known.
    fn holder_of(&self, shared: &Shared, model: &str) -> Option<KnownHolder> {
        let catalog = shared.catalog.load();
        let cell = &catalog.models.get(model)?.cell;
        self.connections().holders.get(&**cell).copied()
    }
}

fn hello(shared: &Shared) -> Hello {
    Hello {
        role: Role::Router.into(),
        instance: shared.instance.to_string(),
        incarnation: shared.incarnation,
        config_revision: shared.catalog.load().revision,
        in_progress: u32::try_from(shared.in_progress()).unwrap_or(u32::MAX),
        is_leaving: shared.is_leaving(),
    }
}
