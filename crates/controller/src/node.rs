//! The deciding thread of a controller.

mod answers;
mod cell_shell;
mod configuration;
mod fleet;
mod input;
mod links;
mod peers;

use crate::audit::AuditTrail;
use crate::config_feed::{self, ReadPace};
use crate::gossip::Gossip;
use crate::{translate, workers};
use anyhow::{Context, Result};
use cell_shell::{CellShell, Services};
use configuration::HOLDER_READ_AGE;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use fleet::Fleet;
pub use input::{Input, LinkId};
use links::Links;
use passway_config::Catalog;
use passway_config::revision::KeptRevision;
use passway_config::settings::ControllerSettings;
use passway_decide::cell::{Action, Event};
use passway_decide::plan::Holder;
use passway_platform::engine::HttpEngineControl;
use passway_platform::instance_list::{HttpInstanceList, ListedInstance};
use passway_platform::key_value::HttpKeyValue;
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::Body;
use passway_wire::message::{CellHolder, Heartbeat, Hello, ProbeAnswer, QueryAnswer};
use peers::Peers;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Longest time for an upstream to answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for an upstream to answer a question for its status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two ticks of the decisions.
const TICK: Duration = Duration::from_millis(50);
/// Pause between two ticks of cells that others lead.
const STANDBY_TICK: Duration = Duration::from_millis(200);
/// Pause between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Connections that share one pause between heartbeats; with more connections
/// the pause grows, so that heartbeats cost the same however many listen.
const LINKS_PER_PAUSE: usize = 16;
/// Longest pause between two heartbeats.
const MAX_HEARTBEAT: Duration = Duration::from_secs(5);

/// The state of the deciding thread.
#[derive(Debug)]
pub struct Node {
    me: Holder,
    data_hall: String,
    services: Services,
    cells: BTreeMap<CellName, CellShell>,
    links: Links,
    kept: Option<Arc<KeptRevision>>,
    /// The revision that this controller read last from the service itself.
    read_revision: Revision,
    catalog: Arc<Catalog>,
    gossip: Gossip,
    pace: Arc<ReadPace>,
    audit: AuditTrail,
    fleet: Fleet,
    rank: u32,
    inputs: Sender<Input>,
    tick_at: Instant,
    standby_tick_at: Instant,
    heartbeat_at: Instant,
    peers: Peers,
    config_asked_at: Option<Instant>,
}

impl Node {
    /// A controller that knows nothing yet.
    ///
    /// # Errors
    /// If an address in the settings cannot be parsed.
    pub fn new(
        settings: ControllerSettings,
        address: SocketAddr,
        inputs: Sender<Input>,
    ) -> Result<Self> {
        let key_value = settings.key_value.parse().context("key_value")?;
        let list = settings.instance_list.parse().context("instance_list")?;
        let me = Holder {
            instance: settings.instance.as_str().into(),
            incarnation: passway_process::draw_incarnation(),
            address,
        };
        let call_timeout = Duration::from_millis(settings.key_value_timeout_ms);
        let services = Services {
            key_value: Arc::new(HttpKeyValue::new(key_value, call_timeout)),
            engines: Arc::new(HttpEngineControl::new(ORDER_TIMEOUT, STATUS_TIMEOUT)),
            lease: Duration::from_millis(settings.lease_ms),
            order_settle: Duration::from_millis(settings.order_settle_ms),
            write_patience: Duration::from_millis(settings.write_patience_ms),
            inputs: inputs.clone(),
        };
        let pace = ReadPace::new(HOLDER_READ_AGE);
        config_feed::start(services.key_value.clone(), pace.clone(), inputs.clone());
        let list = Arc::new(HttpInstanceList::new(list, call_timeout));
        workers::start_list(list, inputs.clone());
        let peers = Peers::dial(&settings.peers, &me, &inputs)?;
        let now = clock::now();
        Ok(Self {
            gossip: Gossip::new(now, !settings.peers.is_empty()),
            me,
            data_hall: settings.data_hall,
            services,
            cells: BTreeMap::new(),
            links: Links::default(),
            kept: None,
            read_revision: 0,
            catalog: Arc::new(Catalog::default()),
            pace,
            audit: AuditTrail::default(),
            fleet: Fleet::default(),
            rank: 0,
            inputs,
            tick_at: now,
            standby_tick_at: now,
            heartbeat_at: now,
            peers,
            config_asked_at: None,
        })
    }

    /// Decides until the process stops.
    pub fn run(mut self, inputs: &Receiver<Input>) {
        log::info!(instance = &*self.me.instance, address:% = self.me.address,
            data_hall = self.data_hall; "controller started");
        loop {
            let left = self.tick_at.saturating_duration_since(clock::now());
            match inputs.recv_timeout(left) {
                Ok(Input::Stop(done)) => {
                    self.stop();
                    // Nobody waits if the stop was cut.
                    let _ = done.send(());
                    return;
                }
                Ok(input) => self.take(clock::now(), input),
                Err(RecvTimeoutError::Timeout) => self.tick(clock::now()),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn take(&mut self, now: Instant, input: Input) {
        match input {
            Input::Cell { cell, event } => self.cell_event(now, &cell, event),
            Input::Linked { id, outbox } => self.links.add(id, outbox),
            Input::Heard { id, body } => self.heard(now, id, body),
            Input::Unlinked { id } => self.unlinked(now, id),
            Input::FromPeer { peer, body } => self.heard_from_peer(now, peer, body),
            Input::ServiceReached => self.gossip.service_reached(now),
            Input::ConfigRead { asked_at, kept } => {
                self.gossip.service_reached(now);
                self.read_revision = kept.stored.revision;
                self.gossip.confirm(self.read_revision, asked_at);
                self.adopt(now, kept);
                self.set_pace(now);
            }
            Input::ConfigConfirmed { asked_at } => {
                self.gossip.service_reached(now);
                if self.read_revision > 0 {
                    self.gossip.confirm(self.read_revision, asked_at);
                }
                self.set_pace(now);
            }
            Input::Listed(listed) => self.listed(now, &listed),
            Input::ConfigUnavailable | Input::Stop(_) => {}
        }
    }

    fn tick(&mut self, now: Instant) {
        self.tick_at = now + TICK;
        let all_due = now >= self.standby_tick_at;
        if all_due {
            self.standby_tick_at = now + STANDBY_TICK;
        }
        let due = self
            .cells
            .iter()
            .filter(|(_, shell)| all_due || shell.is_active());
        let due: Vec<CellName> = due.map(|(cell, _)| cell.clone()).collect();
        for cell in due {
            self.cell_event(now, &cell, Event::Tick);
        }
        if now >= self.heartbeat_at {
            let pauses = u32::try_from(self.links.len() / LINKS_PER_PAUSE).unwrap_or(u32::MAX);
            self.heartbeat_at = now + HEARTBEAT.saturating_mul(pauses.max(1)).min(MAX_HEARTBEAT);
            self.send_heartbeats(now);
        }
        self.set_pace(now);
    }

    fn stop(&mut self) {
        let now = clock::now();
        let cells: Vec<CellName> = self.cells.keys().cloned().collect();
        for cell in cells {
            self.cell_event(now, &cell, Event::Shutdown);
        }
        // Dropping the cells ends their job queues; the threads finish what is queued.
        for (_, shell) in std::mem::take(&mut self.cells) {
            shell.finish();
        }
        log::info!(instance = &*self.me.instance; "controller stopped");
    }

    fn cell_event(&mut self, now: Instant, cell: &CellName, event: Event) {
        let Some(shell) = self.cells.get_mut(cell) else {
            return;
        };
        let was_active = shell.is_active();
        let actions = shell.handle(now, event);
        let is_active = shell.is_active();
        for action in actions {
            self.perform(now, cell, action);
        }
        if is_active && !was_active {
            self.announce_holder(now, cell);
        }
    }

    fn announce_holder(&mut self, now: Instant, cell: &CellName) {
        let Some(epoch) = self.cells.get(cell).map(CellShell::epoch) else {
            return;
        };
        let address = self.me.address.to_string();
        self.gossip.learn(CellHolder {
            cell: cell.to_string(),
            epoch,
            address,
        });
        self.send_heartbeats(now);
    }

    fn perform(&mut self, now: Instant, cell: &CellName, action: Action) {
        match action {
            Action::AnswerDemand {
                router,
                model,
                verdict,
            } => {
                let verdict = translate::verdict(now, &model, verdict);
                self.links.send_to_router(router, &Body::Verdict(verdict));
            }
            Action::PublishRoutes(change) => {
                let Some(shell) = self.cells.get_mut(cell) else {
                    return;
                };
                let routes = shell.publish(&change);
                self.links.send_to_routers(&Body::Routes(routes));
            }
            Action::Audit(decision) => self.audit.record(&self.me.instance, cell, &decision),
            Action::ProbePreviousHolder { epoch, holder }
                if self.fleet.is_gone(&holder.instance) =>
            {
                let event = Event::PreviousHolderStopped(epoch);
                // Taken with the next input, not inside this decision.
                let _ = self.inputs.send(Input::Cell {
                    cell: cell.clone(),
                    event,
                });
                log::info!(instance = &*holder.instance, epoch = epoch; "former holder is gone");
            }
            other => {
                if let Some(shell) = self.cells.get_mut(cell) {
                    shell.perform(other);
                }
            }
        }
    }

    fn heard(&mut self, now: Instant, id: LinkId, body: Body) {
        match body {
            Body::Hello(hello) => self.hello(now, id, hello),
            Body::Demand(demand) => {
                let Some(router) = self.links.incarnation_of(id) else {
                    return;
                };
                let demand = translate::demand(now, router, demand);
                if let Some(cell) = self.cell_of(&demand.model) {
                    self.cell_event(now, &cell, Event::Demand(demand));
                }
            }
            Body::Usage(usage) => {
                let Some(router) = self.links.incarnation_of(id) else {
                    return;
                };
                let usage = translate::usage(now, router, usage);
                if let Some(cell) = self.cell_of(&usage.model) {
                    self.cell_event(now, &cell, Event::Usage(usage));
                }
            }
            Body::Probe(probe) => {
                let shell = self.cells.get(probe.cell.as_str());
                let may_order = shell.is_some_and(|shell| shell.may_order(probe.epoch));
                let incarnation = self.me.incarnation;
                self.links.send_to(
                    id,
                    Body::ProbeAnswer(ProbeAnswer {
                        incarnation,
                        may_order,
                    }),
                );
            }
            Body::ConfigWanted(wanted) if wanted.have_revision < self.revision() => {
                if let Some(config) = self.config_message() {
                    self.links.send_to(id, config);
                }
            }
            Body::Query(query) => {
                let json = self.answer(now, &query.what);
                self.links
                    .send_to(id, Body::QueryAnswer(QueryAnswer { json }));
            }
            Body::ConfigWanted(_)
            | Body::Heartbeat(_)
            | Body::Config(_)
            | Body::Routes(_)
            | Body::Verdict(_)
            | Body::ProbeAnswer(_)
            | Body::Needs(_)
            | Body::Placements(_)
            | Body::Subscribe(_)
            | Body::Members(_)
            | Body::Successor(_)
            | Body::News(_)
            | Body::QueryAnswer(_)
            | Body::PromiseWanted(_)
            | Body::Dispatchers(_)
            | Body::Promise(_)
            | Body::Suspects(_)
            | Body::Words(_) => {}
        }
    }

    fn hello(&mut self, now: Instant, id: LinkId, hello: Hello) {
        // Of the time before: a router that connects is not yet counted.
        let heartbeat = self.heartbeat(now);
        let is_router = links::is_router(&hello);
        if !self.links.greeted(id, hello) {
            return;
        }
        let version = self.gossip.holders_version();
        self.links.send_heartbeat(id, heartbeat, version);
        if is_router {
            for routes in self.cells.values().filter_map(CellShell::whole_table) {
                self.links.send_to(id, Body::Routes(routes));
            }
        }
    }

    fn unlinked(&mut self, now: Instant, id: LinkId) {
        let Some(hello) = self.links.remove(id).filter(links::is_router) else {
            return;
        };
        let cells: Vec<CellName> = self.cells.keys().cloned().collect();
        for cell in cells {
            self.cell_event(now, &cell, Event::RouterDisconnected(hello.incarnation));
        }
    }

    fn heartbeat(&self, now: Instant) -> Heartbeat {
        Heartbeat {
            instance: self.me.instance.to_string(),
            incarnation: self.me.incarnation,
            config_revision: self.revision(),
            config_age_ms: config_feed::millis(self.gossip.config_age(now, self.revision())),
            isolated: self.gossip.is_isolated(now),
            routers: self.links.router_count(),
            cells: self.gossip.holders(),
        }
    }

    fn send_heartbeats(&mut self, now: Instant) {
        let heartbeat = self.heartbeat(now);
        let version = self.gossip.holders_version();
        self.links.send_heartbeats(&heartbeat, version);
    }

    fn heard_from_peer(&mut self, now: Instant, peer: SocketAddr, body: Body) {
        match body {
            Body::Heartbeat(heartbeat) => {
                let news = self.gossip.heard(now, &heartbeat);
                if news {
                    self.send_heartbeats(now);
                }
                self.want_config(now, peer, heartbeat.config_revision);
            }
            Body::Config(config) => match KeptRevision::from_bytes(&config.encoded) {
                Ok(kept) => self.adopt(now, Arc::new(kept)),
                Err(error) => log::error!(error:% = error; "a peer's configuration cannot be read"),
            },
            _ => {}
        }
    }

    fn listed(&mut self, now: Instant, list: &[ListedInstance]) {
        let catalog = self.catalog.clone();
        for (upstream, listing) in self.fleet.update(list, &catalog) {
            let event = Event::UpstreamListingChanged {
                upstream: upstream.clone(),
                listing,
            };
            self.upstream_event(now, &upstream, event);
        }
        if self.fleet.begin_ranking(self.revision()) {
            self.update_ranks(now);
        }
    }

    fn upstream_event(&mut self, now: Instant, id: &str, event: Event) {
        let cell = self
            .catalog
            .upstreams
            .get(id)
            .map(|upstream| upstream.cell.clone());
        if let Some(cell) = cell {
            self.cell_event(now, &cell, event);
        }
    }

    /// The controller's place among the live ones, another one for each cell.
    fn update_ranks(&mut self, now: Instant) {
        let cells: Vec<CellName> = self.cells.keys().cloned().collect();
        for cell in cells {
            self.rank = self.fleet.rank(&self.me.instance, &cell, &self.catalog);
            self.cell_event(now, &cell, Event::Rank(self.rank));
        }
    }

    fn cell_of(&self, model: &str) -> Option<CellName> {
        self.catalog
            .models
            .get(model)
            .map(|model| model.cell.clone())
    }
}
