//! Connections to controllers: configuration, routes, demands.

use crate::shared::{Shared, Word};
use anyhow::{Context, Result};
use passway_config::revision::{self, StoredRevision};
use passway_config::settings::RouterSettings;
use passway_decide::messages::{DemandVerdict, RouteChange};
use passway_decide::router::{RouterAction, RouterCore};
use passway_process::dial::{Dialed, Dialer};
use passway_process::outbox::Outbox;
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::Body;
use passway_wire::message::{self, ConfigWanted, Heartbeat, Hello, Role};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError, Weak};

/// Configured controllers that a router stays connected to, besides the holders.
const STANDING_LINKS: usize = 2;
/// Pause between two words to a controller, so that it does not take this router for dead.
const WORD_PAUSE: Duration = Duration::from_secs(1);

/// Another controller is asked for a revision after this time.
const CONFIG_PATIENCE: Duration = Duration::from_millis(700);

/// Where a cell's holder listens.
#[derive(Debug, Clone, Copy)]
struct KnownHolder {
    epoch: Epoch,
    address: SocketAddr,
}

#[derive(Debug, Default)]
struct Links {
    outboxes: HashMap<SocketAddr, Outbox>,
    dialers: HashMap<SocketAddr, Dialer>,
    holders: HashMap<String, KnownHolder>,
    route_epochs: HashMap<String, Epoch>,
    routers: HashMap<SocketAddr, u32>,
    config_asked_at: Option<Instant>,
}

/// A router's connections to controllers.
#[derive(Debug)]
pub struct Control {
    links: Mutex<Links>,
    standing: Vec<SocketAddr>,
    me: Weak<Self>,
}

impl Control {
    /// Begins to connect.
    ///
    /// # Errors
    /// If an address in the settings cannot be parsed.
    pub fn start(settings: &RouterSettings, shared: &Arc<Shared>) -> Result<Arc<Self>> {
        let addresses = settings.controllers.iter().take(STANDING_LINKS);
        let standing: Result<Vec<SocketAddr>> = addresses
            .map(|text| text.parse().context("controllers"))
            .collect();
        let standing = standing?;
        let control = Arc::new_cyclic(|me| Self {
            links: Mutex::new(Links::default()),
            standing: standing.clone(),
            me: me.clone(),
        });
        for address in standing {
            control.dial(address, shared);
        }
        Ok(control)
    }

    fn links(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn dial(&self, address: SocketAddr, shared: &Arc<Shared>) {
        let mut links = self.links();
        if links.dialers.contains_key(&address) {
            return;
        }
        let (control, shared) = (self.me.clone(), shared.clone());
        let mut said_at = clock::now();
        let dialer = Dialer::start(address, move |dialed| {
            let Some(control) = control.upgrade() else {
                return;
            };
            match dialed {
                Dialed::Connected(outbox) => {
                    outbox.send(Body::Hello(hello(&shared)));
                    control.links().outboxes.insert(address, outbox);
                    said_at = clock::now();
                }
                Dialed::Disconnected => control.disconnected(address),
                Dialed::Received(body) => {
                    control.received(address, body, &shared);
                    if clock::since(said_at) >= WORD_PAUSE {
                        said_at = clock::now();
                        control.send_to(address, Body::Hello(hello(&shared)));
                    }
                }
            }
        });
        links.dialers.insert(address, dialer);
    }

    fn disconnected(&self, address: SocketAddr) {
        let mut links = self.links();
        links.outboxes.remove(&address);
        links.routers.remove(&address);
        let leads = links
            .holders
            .values()
            .any(|holder| holder.address == address);
        if !leads && !self.standing.contains(&address) {
            links.dialers.remove(&address);
        }
    }

    fn send_to(&self, address: SocketAddr, body: Body) {
        if let Some(outbox) = self.links().outboxes.get(&address) {
            outbox.send(body);
        }
    }

    /// Tells every controller which revision is in force here and how much is in progress.
    pub fn say_hello(&self, shared: &Shared) {
        let hello = hello(shared);
        for outbox in self.links().outboxes.values() {
            outbox.send(Body::Hello(hello.clone()));
        }
    }

    fn received(&self, address: SocketAddr, body: Body, shared: &Arc<Shared>) {
        match body {
            Body::Heartbeat(heartbeat) => self.heartbeat(address, &heartbeat, shared),
            Body::Config(config) => self.config(&config.encoded, shared),
            Body::Routes(routes) => self.routes(routes, shared),
            Body::Verdict(verdict) => self.verdict(address, &verdict, shared),
            _ => {}
        }
    }

    fn heartbeat(&self, address: SocketAddr, heartbeat: &Heartbeat, shared: &Arc<Shared>) {
        let now = clock::now();
        let mut to_dial = Vec::new();
        let routers = {
            let mut links = self.links();
            links.routers.insert(address, heartbeat.routers);
            for cell in &heartbeat.cells {
                let Ok(holder_address) = cell.address.parse() else {
                    continue;
                };
                let known = links.holders.get(&cell.cell);
                if known.is_none_or(|known| cell.epoch > known.epoch) {
                    let holder = KnownHolder {
                        epoch: cell.epoch,
                        address: holder_address,
                    };
                    links.holders.insert(cell.cell.clone(), holder);
                }
            }
            to_dial.extend(links.holders.values().map(|holder| holder.address));
            links.routers.values().copied().max().unwrap_or(1)
        };
        for address in to_dial {
            self.dial(address, shared);
        }
        self.want_config(address, heartbeat.config_revision, shared, now);
        let mut core = shared.core();
        core.set_router_count(routers, now);
        if !heartbeat.isolated {
            core.set_config_current_until(now + shared.limits.stale_limit);
        }
    }

    /// Asks for a revision that this router lacks, at one controller at a time.
    fn want_config(&self, address: SocketAddr, revision: Revision, shared: &Shared, now: Instant) {
        let have_revision = shared.catalog.load().revision;
        if revision <= have_revision {
            return;
        }
        {
            let mut links = self.links();
            if links
                .config_asked_at
                .is_some_and(|at| now < at + CONFIG_PATIENCE)
            {
                return;
            }
            links.config_asked_at = Some(now);
        }
        self.send_to(address, Body::ConfigWanted(ConfigWanted { have_revision }));
    }

    fn config(&self, encoded: &[u8], shared: &Arc<Shared>) {
        let stored: StoredRevision = match revision::decode(encoded) {
            Ok(stored) => stored,
            Err(error) => {
                log::error!(error:% = error; "a configuration cannot be read");
                return;
            }
        };
        self.links().config_asked_at = None;
        // Looked at and set under the lock of the decisions, so that two
        // controllers that send at one time cannot set the older one last.
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
                        "a revision does not pass its checks");
                    return;
                }
            }
        }
        log::info!(revision = stored.revision; "configuration in force");
        self.say_hello(shared);
    }

    fn routes(&self, routes: message::Routes, shared: &Arc<Shared>) {
        {
            let mut links = self.links();
            let known = links.route_epochs.entry(routes.cell.clone()).or_default();
            // An older holder's word, or a change of a table that was never seen whole.
            if routes.epoch < *known || (routes.epoch > *known && !routes.whole) {
                return;
            }
            *known = routes.epoch;
        }
        let all = |routes: Vec<message::Route>| {
            routes
                .into_iter()
                .map(|r| (r.model.into(), r.upstream.into()))
                .collect()
        };
        let change = RouteChange {
            added: all(routes.added),
            removed: all(routes.removed),
            is_snapshot: routes.whole,
        };
        self.decide(shared, |core, now| {
            core.apply_route_change(now, &change, &routes.cell)
        });
    }

    /// Takes in the answer to a demand, if it is the holder's. A controller that was paused
    /// answers what it was asked as the holder, and would refuse what its successor serves.
    fn verdict(&self, address: SocketAddr, verdict: &message::Verdict, shared: &Arc<Shared>) {
        let holder = self.holder_of(shared, &verdict.model);
        if holder.is_none_or(|holder| holder.address != address) {
            log::info!(model = verdict.model, controller:% = address; "an answer of a former holder is left out");
            return;
        }
        let now = clock::now();
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

    /// Makes one decision and carries out what it says.
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
                shared.tell(
                    request,
                    Word::Start {
                        upstream,
                        model,
                        deadline_at,
                        priority,
                    },
                );
            }
            RouterAction::Refuse { request, refusal } => {
                shared.tell(request, Word::Refuse(refusal));
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

    /// Sends to the holder of the model's cell; the decisions repeat what is lost.
    fn send_to_holder(&self, shared: &Shared, model: &str, body: Body) {
        if let Some(holder) = self.holder_of(shared, model) {
            self.send_to(holder.address, body);
        }
    }

    /// The holder of a model's cell, as far as it is known.
    fn holder_of(&self, shared: &Shared, model: &str) -> Option<KnownHolder> {
        let catalog = shared.catalog.load();
        let cell = &catalog.models.get(model)?.cell;
        self.links().holders.get(&**cell).copied()
    }
}

fn hello(shared: &Shared) -> Hello {
    Hello {
        role: Role::Router.into(),
        instance: shared.instance.to_string(),
        incarnation: shared.incarnation,
        config_revision: shared.catalog.load().revision,
        in_progress: u32::try_from(shared.in_progress()).unwrap_or(u32::MAX),
        leaving: shared.is_leaving(),
    }
}
