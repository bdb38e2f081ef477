//! The decision thread of a controller.

mod answers;
mod cell_shell;
mod configuration;
mod connections;
mod fleet;
mod input;
mod peers;

use crate::audit::AuditTrail;
use crate::config_feed::{self, ReadSchedule, millis};
use crate::gossip::Gossip;
use crate::{translate, workers};
use anyhow::{Context, Result};
use cell_shell::{CellShell, Services};
use configuration::HOLDER_MAX_CONFIG_AGE;
use connections::Connections;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use fleet::Fleet;
pub use input::{ConnectionId, Input};
use passway_config::Catalog;
use passway_config::revision::EncodedRevision;
use passway_config::settings::ControllerSettings;
use passway_decide::cell::{Action, Event};
use passway_decide::messages::DemandVerdict;
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

/// Timeout of an order to an upstream.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a status query to an upstream.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between two ticks of the cells that this controller leads.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// A tick that is late by at least this much is logged.
const LATE_TICK: Duration = Duration::from_millis(500);
/// Interval between two ticks of the cells that other controllers lead.
const STANDBY_TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of connections for each [`HEARTBEAT_INTERVAL`]. With more connections the interval
/// between heartbeats grows in proportion, so the cost of heartbeats stays constant.
const CONNECTIONS_PER_INTERVAL: usize = 16;
/// Longest interval between two heartbeats.
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(5);

/// The state of the decision thread.
#[derive(Debug)]
pub struct Node {
    identity: Holder,
    data_hall: String,
    services: Services,
    cells: BTreeMap<CellName, CellShell>,
    connections: Connections,
    current_revision: Option<Arc<EncodedRevision>>,
    /// The revision that this controller itself last read from the key-value service.
    last_read_revision: Revision,
    catalog: Arc<Catalog>,
    gossip: Gossip,
    read_schedule: Arc<ReadSchedule>,
    audit: AuditTrail,
    fleet: Fleet,
    rank: u32,
    inputs: Sender<Input>,
    tick_at: Instant,
    standby_tick_at: Instant,
    heartbeat_at: Instant,
    peers: Peers,
    config_requested_at: Option<Instant>,
}

impl Node {
    /// Creates a controller without a configuration and starts its reader threads and its
    /// connections to peers.
    ///
    /// # Errors
    /// If an address in the settings cannot be parsed.
    pub fn new(
        settings: ControllerSettings,
        address: SocketAddr,
        inputs: Sender<Input>,
    ) -> Result<Self> {
        let key_value = settings
            .key_value
            .parse()
            .context("parsing the setting key_value")?;
        let list = settings
            .instance_list
            .parse()
            .context("parsing the setting instance_list")?;
        let identity = Holder {
            instance: settings.instance.as_str().into(),
            incarnation: passway_process::draw_incarnation(),
            address,
        };
        let call_timeout = Duration::from_millis(settings.key_value_timeout_ms);
        let services = Services {
            key_value: Arc::new(HttpKeyValue::new(key_value, call_timeout)),
            engines: Arc::new(HttpEngineControl::new(ORDER_TIMEOUT, STATUS_TIMEOUT)),
            lease_duration: Duration::from_millis(settings.lease_ms),
            order_settle_time: Duration::from_millis(settings.order_settle_ms),
            write_outage_after: Duration::from_millis(settings.write_patience_ms),
            inputs: inputs.clone(),
        };
        let read_schedule = ReadSchedule::new(HOLDER_MAX_CONFIG_AGE);
        config_feed::start(
            services.key_value.clone(),
            read_schedule.clone(),
            inputs.clone(),
        );
        let list = Arc::new(HttpInstanceList::new(list, call_timeout));
        workers::start_list_thread(list, inputs.clone());
        let peers = Peers::connect(&settings.peers, &identity, &inputs)?;
        let now = clock::now();
        Ok(Self {
            gossip: Gossip::new(now, !settings.peers.is_empty()),
            identity,
            data_hall: settings.data_hall,
            services,
            cells: BTreeMap::new(),
            connections: Connections::default(),
            current_revision: None,
            last_read_revision: 0,
            catalog: Arc::new(Catalog::default()),
            read_schedule,
            audit: AuditTrail::default(),
            fleet: Fleet::default(),
            rank: 0,
            inputs,
            tick_at: now,
            standby_tick_at: now,
            heartbeat_at: now,
            peers,
            config_requested_at: None,
        })
    }

    /// Handles inputs and ticks until the process stops.
    pub fn run(mut self, inputs: &Receiver<Input>) {
        log::info!(instance = &*self.identity.instance, address:% = self.identity.address,
            data_hall = self.data_hall; "controller started");
        loop {
            let until_tick = self.tick_at.saturating_duration_since(clock::now());
            match inputs.recv_timeout(until_tick) {
                Ok(Input::Stop(stopped_sender)) => {
                    self.stop();
                    // The receiver is gone if the stop has timed out.
                    let _ = stopped_sender.send(());
                    return;
                }
                Ok(input) => self.handle_input(clock::now(), input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            // A due tick does not wait for the queue to be empty: under steady load it never is,
            // and the lease would expire.
            let now = clock::now();
            if now >= self.tick_at {
                self.tick(now);
            }
        }
    }

    fn handle_input(&mut self, now: Instant, input: Input) {
        match input {
            Input::Cell { cell, event } => self.handle_cell_event(now, &cell, event),
            Input::Connected { id, outbox } => self.connections.add(id, outbox),
            Input::Received { id, body } => self.handle_message(now, id, body),
            Input::Disconnected { id } => self.handle_disconnect(now, id),
            Input::FromPeer { peer, body } => self.handle_peer_message(now, peer, body),
            Input::ServiceReached => self.gossip.service_reached(now),
            Input::ConfigRead {
                requested_at,
                revision,
            } => {
                self.gossip.service_reached(now);
                self.last_read_revision = revision.stored.revision;
                self.gossip.confirm(self.last_read_revision, requested_at);
                self.adopt_revision(now, revision);
                self.update_read_schedule(now);
            }
            Input::ConfigConfirmed { requested_at } => {
                self.gossip.service_reached(now);
                if self.last_read_revision > 0 {
                    self.gossip.confirm(self.last_read_revision, requested_at);
                }
                self.update_read_schedule(now);
            }
            Input::Listed(instances) => self.handle_instance_list(now, &instances),
            Input::ConfigUnavailable | Input::Stop(_) => {}
        }
    }

    fn tick(&mut self, now: Instant) {
        let late = now.saturating_duration_since(self.tick_at);
        if late >= LATE_TICK {
            log::warn!(late_ms = millis(late), waiting_inputs = self.inputs.len();
                "the decision thread was late");
        }
        self.tick_at = now + TICK_INTERVAL;
        let standby_due = now >= self.standby_tick_at;
        if standby_due {
            self.standby_tick_at = now + STANDBY_TICK_INTERVAL;
        }
        let due = self
            .cells
            .iter()
            .filter(|(_, shell)| standby_due || shell.is_active());
        let due: Vec<CellName> = due.map(|(cell, _)| cell.clone()).collect();
        for cell in due {
            self.handle_cell_event(now, &cell, Event::Tick);
        }
        if now >= self.heartbeat_at {
            let interval_factor = u32::try_from(self.connections.len() / CONNECTIONS_PER_INTERVAL)
                .unwrap_or(u32::MAX);
            self.heartbeat_at = now
                + HEARTBEAT_INTERVAL
                    .saturating_mul(interval_factor.max(1))
                    .min(MAX_HEARTBEAT_INTERVAL);
            self.send_heartbeats(now);
        }
        self.update_read_schedule(now);
    }

    fn stop(&mut self) {
        let now = clock::now();
        let cells: Vec<CellName> = self.cells.keys().cloned().collect();
        for cell in cells {
            self.handle_cell_event(now, &cell, Event::Shutdown);
        }
        // Dropping a cell closes its job queues; the threads still run the queued jobs.
        for (_, shell) in std::mem::take(&mut self.cells) {
            shell.shut_down();
        }
        log::info!(instance = &*self.identity.instance; "controller stopped");
    }

    fn handle_cell_event(&mut self, now: Instant, cell: &CellName, event: Event) {
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
        let address = self.identity.address.to_string();
        self.gossip.learn_holder(CellHolder {
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
                if let DemandVerdict::Refused { code, .. } = verdict {
                    self.log_refusal(now, cell, &model, code);
                }
                let verdict = translate::verdict(now, &model, verdict);
                self.connections
                    .send_to_router(router, &Body::DemandAnswer(verdict));
            }
            Action::PublishRoutes(change) => {
                let Some(shell) = self.cells.get_mut(cell) else {
                    return;
                };
                let routes = shell.apply_route_change(&change);
                self.connections.send_to_routers(&Body::Routes(routes));
            }
            Action::Audit(decision) => self.audit.record(&self.identity.instance, cell, &decision),
            Action::ProbePreviousHolder { epoch, holder }
                if self.fleet.was_removed(&holder.instance) =>
            {
                let event = Event::PreviousHolderStopped(epoch);
                // Queued as an input, because this decision is not finished yet.
                let _ = self.inputs.send(Input::Cell {
                    cell: cell.clone(),
                    event,
                });
                log::info!(instance = &*holder.instance, epoch = epoch; "the platform has removed the previous holder");
            }
            other => {
                if let Some(shell) = self.cells.get_mut(cell) {
                    shell.perform(other);
                }
            }
        }
    }

    /// Logs a refused demand with what this controller knew: the age of its term, how long its
    /// lease still was, and how long calls to the key-value service had been unanswered.
    fn log_refusal(&self, now: Instant, cell: &CellName, model: &str, code: ResultCode) {
        let Some(term) = self.cells.get(cell).and_then(CellShell::term) else {
            return;
        };
        let age_ms = |at: Instant| millis(now.saturating_duration_since(at));
        let lease_left_ms = millis(term.lease_valid_until().saturating_duration_since(now));
        log::info!(cell = &**cell, model = model, code = code as u32, epoch = term.epoch(),
            term_age_ms = age_ms(term.started_at()), lease_left_ms = lease_left_ms,
            lease_expired_ms = age_ms(term.lease_valid_until()),
            renewing_ms:? = term.renewing_since().map(age_ms),
            writing_ms:? = term.writing_since().map(age_ms),
            waiting_inputs = self.inputs.len(); "refused a demand");
    }

    fn handle_message(&mut self, now: Instant, id: ConnectionId, body: Body) {
        match body {
            Body::Hello(hello) => self.handle_hello(now, id, hello),
            Body::Demand(demand) => {
                let Some(router) = self.connections.incarnation_of(id) else {
                    return;
                };
                let demand = translate::demand(now, router, demand);
                if let Some(cell) = self.cell_of_model(&demand.model) {
                    self.handle_cell_event(now, &cell, Event::Demand(demand));
                }
            }
            Body::Usage(usage) => {
                let Some(router) = self.connections.incarnation_of(id) else {
                    return;
                };
                let usage = translate::usage(now, router, usage);
                if let Some(cell) = self.cell_of_model(&usage.model) {
                    self.handle_cell_event(now, &cell, Event::Usage(usage));
                }
            }
            Body::Probe(probe) => {
                let shell = self.cells.get(probe.cell.as_str());
                let has_order_in_flight =
                    shell.is_some_and(|shell| shell.can_send_orders(probe.epoch));
                let incarnation = self.identity.incarnation;
                self.connections.send_to(
                    id,
                    Body::ProbeAnswer(ProbeAnswer {
                        incarnation,
                        has_order_in_flight,
                    }),
                );
            }
            Body::ConfigRequest(wanted) if wanted.known_revision < self.revision() => {
                if let Some(config) = self.config_message() {
                    self.connections.send_to(id, config);
                }
            }
            Body::Query(query) => {
                let json = self.answer_query(now, &query.kind);
                self.connections
                    .send_to(id, Body::QueryAnswer(QueryAnswer { json }));
            }
            Body::ConfigRequest(_)
            | Body::Heartbeat(_)
            | Body::Config(_)
            | Body::Routes(_)
            | Body::DemandAnswer(_)
            | Body::ProbeAnswer(_)
            | Body::InstanceReport(_)
            | Body::Placements(_)
            | Body::Subscribe(_)
            | Body::Members(_)
            | Body::NewHolder(_)
            | Body::Updates(_)
            | Body::CompressedUpdates(_)
            | Body::QueryAnswer(_)
            | Body::PromiseRequest(_)
            | Body::Dispatchers(_)
            | Body::Promise(_)
            | Body::Suspects(_)
            | Body::KnownSignals(_)
            | Body::PeerRequest(_) => {}
        }
    }

    fn handle_hello(&mut self, now: Instant, id: ConnectionId, hello: Hello) {
        // Built before the hello is recorded, so the new router is not counted yet.
        let heartbeat = self.build_heartbeat(now);
        let is_router = connections::is_router(&hello);
        if !self.connections.record_hello(id, hello) {
            return;
        }
        let version = self.gossip.holders_version();
        self.connections.send_heartbeat(id, heartbeat, version);
        if is_router {
            for routes in self.cells.values().filter_map(CellShell::full_route_table) {
                self.connections.send_to(id, Body::Routes(routes));
            }
        }
    }

    fn handle_disconnect(&mut self, now: Instant, id: ConnectionId) {
        let Some(hello) = self.connections.remove(id).filter(connections::is_router) else {
            return;
        };
        let cells: Vec<CellName> = self.cells.keys().cloned().collect();
        for cell in cells {
            self.handle_cell_event(now, &cell, Event::RouterDisconnected(hello.incarnation));
        }
    }

    fn build_heartbeat(&self, now: Instant) -> Heartbeat {
        Heartbeat {
            instance: self.identity.instance.to_string(),
            incarnation: self.identity.incarnation,
            config_revision: self.revision(),
            config_age_ms: config_feed::millis(self.gossip.config_age(now, self.revision())),
            is_isolated: self.gossip.is_isolated(now),
            routers: self.connections.router_count(),
            cells: self.gossip.holders(),
        }
    }

    fn send_heartbeats(&mut self, now: Instant) {
        let heartbeat = self.build_heartbeat(now);
        let version = self.gossip.holders_version();
        self.connections.send_heartbeats(&heartbeat, version);
    }

    fn handle_peer_message(&mut self, now: Instant, peer: SocketAddr, body: Body) {
        match body {
            Body::Heartbeat(heartbeat) => {
                let has_new_holder = self.gossip.receive_heartbeat(now, &heartbeat);
                if has_new_holder {
                    self.send_heartbeats(now);
                }
                self.request_config(now, peer, heartbeat.config_revision);
            }
            Body::Config(config) => match EncodedRevision::from_bytes(&config.encoded) {
                Ok(revision) => self.adopt_revision(now, Arc::new(revision)),
                Err(error) => log::error!(error:% = error; "cannot decode a peer's configuration"),
            },
            _ => {}
        }
    }

    fn handle_instance_list(&mut self, now: Instant, instances: &[ListedInstance]) {
        let catalog = self.catalog.clone();
        for (upstream, listing) in self.fleet.update(instances, &catalog) {
            let event = Event::UpstreamListingChanged {
                upstream: upstream.clone(),
                listing,
            };
            self.handle_upstream_event(now, &upstream, event);
        }
        if self.fleet.start_ranking_if_due(self.revision()) {
            self.update_ranks(now);
        }
    }

    fn handle_upstream_event(&mut self, now: Instant, id: &str, event: Event) {
        let cell = self
            .catalog
            .upstreams
            .get(id)
            .map(|upstream| upstream.cell.clone());
        if let Some(cell) = cell {
            self.handle_cell_event(now, &cell, event);
        }
    }

    /// Recomputes the rank of this controller among the listed ones, which differs by cell.
    fn update_ranks(&mut self, now: Instant) {
        let cells: Vec<CellName> = self.cells.keys().cloned().collect();
        for cell in cells {
            self.rank = self
                .fleet
                .rank(&self.identity.instance, &cell, &self.catalog);
            self.handle_cell_event(now, &cell, Event::Rank(self.rank));
        }
    }

    fn cell_of_model(&self, model: &str) -> Option<CellName> {
        self.catalog
            .models
            .get(model)
            .map(|model| model.cell.clone())
    }
}
