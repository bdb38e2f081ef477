//! The deciding thread of a controller.

mod answers;
mod cell_shell;
mod input;
mod peers;
mod sending;

use crate::audit::AuditTrail;
use crate::config_feed::{self, ReadPace};
use crate::gossip::Gossip;
use crate::{translate, workers};
use anyhow::{Context, Result};
use cell_shell::{CellShell, Services};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
pub use input::{Input, LinkId};
use passway_config::Catalog;
use passway_config::revision::KeptRevision;
use passway_config::settings::ControllerSettings;
use passway_decide::cell::upstreams::Standing;
use passway_decide::cell::{Action, Event};
use passway_decide::plan::Holder;
use passway_platform::engine::HttpEngineControl;
use passway_platform::instance_list::{HttpInstanceList, ListedInstance};
use passway_platform::key_value::HttpKeyValue;
use passway_process::outbox::Outbox;
use passway_types::prelude::*;
use passway_wire::Body;
use passway_wire::message::{
    CellHolder, Config, ConfigWanted, Hello, ProbeAnswer, QueryAnswer, Role,
};
use peers::Peers;
use std::collections::{BTreeMap, HashMap, HashSet};
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
/// Another peer is asked for a revision after this time.
const CONFIG_PATIENCE: Duration = Duration::from_millis(700);
/// Age of the confirmation at which a holder reads the configuration.
const HOLDER_READ_AGE: Duration = Duration::from_secs(1);
/// Age at which the first controller that leads nothing reads it; more for the next.
const STANDBY_READ_AGE: Duration = Duration::from_secs(2);

/// An accepted connection.
#[derive(Debug)]
struct Peer {
    outbox: Outbox,
    hello: Option<Hello>,
    /// The version of the holders that the peer was told of.
    told_holders: Option<u64>,
}

/// The state of the deciding thread.
#[derive(Debug)]
pub struct Node {
    me: Holder,
    data_hall: String,
    services: Services,
    cells: BTreeMap<CellName, CellShell>,
    links: HashMap<LinkId, Peer>,
    kept: Option<Arc<KeptRevision>>,
    /// The revision that this controller read last from the service itself.
    read_revision: Revision,
    catalog: Arc<Catalog>,
    gossip: Gossip,
    pace: Arc<ReadPace>,
    audit: AuditTrail,
    listed: HashSet<InstanceId>,
    gone: HashSet<InstanceId>,
    /// What the cells were told of their upstreams.
    standings: HashMap<UpstreamId, Standing>,
    rank: u32,
    /// The revision for whose cells the ranks were worked out.
    ranked: Revision,
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
        let now = Instant::now();
        Ok(Self {
            gossip: Gossip::new(now, !settings.peers.is_empty()),
            me,
            data_hall: settings.data_hall,
            services,
            cells: BTreeMap::new(),
            links: HashMap::new(),
            kept: None,
            read_revision: 0,
            catalog: Arc::new(Catalog::default()),
            pace,
            audit: AuditTrail::default(),
            listed: HashSet::new(),
            gone: HashSet::new(),
            standings: HashMap::new(),
            rank: 0,
            ranked: 0,
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
            match inputs.recv_deadline(self.tick_at) {
                Ok(Input::Stop(done)) => {
                    self.stop();
                    // Nobody waits if the stop was cut.
                    let _ = done.send(());
                    return;
                }
                Ok(input) => self.take(Instant::now(), input),
                Err(RecvTimeoutError::Timeout) => self.tick(Instant::now()),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn take(&mut self, now: Instant, input: Input) {
        match input {
            Input::Cell { cell, event } => self.cell_event(now, &cell, event),
            Input::Linked { id, outbox } => {
                self.links.insert(
                    id,
                    Peer {
                        outbox,
                        hello: None,
                        told_holders: None,
                    },
                );
            }
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
        let now = Instant::now();
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

    fn revision(&self) -> Revision {
        self.kept.as_ref().map_or(0, |kept| kept.stored.revision)
    }

    fn set_pace(&self, now: Instant) {
        let leads = self.cells.values().any(CellShell::is_active);
        let limit = if leads {
            HOLDER_READ_AGE
        } else {
            STANDBY_READ_AGE * (self.rank + 1)
        };
        let unconfirmed = self.gossip.is_unconfirmed();
        let age = self.gossip.config_age(now, self.revision());
        self.pace
            .set(if unconfirmed { Duration::MAX } else { age }, limit);
    }

    /// Puts a revision in force if it is newer than the one that is.
    fn adopt(&mut self, now: Instant, kept: Arc<KeptRevision>) {
        let stored = &kept.stored;
        if stored.revision <= self.revision() {
            return;
        }
        let catalog = match stored.catalog() {
            Ok(catalog) => Arc::new(catalog),
            Err(faults) => {
                log::error!(revision = stored.revision, faults:% = faults;
                    "a stored revision does not pass its checks");
                return;
            }
        };
        log::info!(revision = stored.revision, author = stored.author.as_str(); "configuration in force");
        self.kept = Some(kept);
        self.catalog = catalog.clone();
        for cell in &catalog.cells {
            if !self.cells.contains_key(cell) {
                let shell =
                    CellShell::new(now, cell.clone(), &self.me, catalog.clone(), &self.services);
                self.cells.insert(cell.clone(), shell);
            }
        }
        let cells: Vec<CellName> = self.cells.keys().cloned().collect();
        for cell in cells {
            if let Some(shell) = self.cells.get_mut(&cell) {
                shell.use_catalog(&catalog);
            }
            self.cell_event(now, &cell, Event::Catalog(catalog.clone()));
        }
        self.send_heartbeats(now);
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
                self.send_to_router(router, &Body::Verdict(verdict));
            }
            Action::Publish(change) => {
                let Some(shell) = self.cells.get_mut(cell) else {
                    return;
                };
                let routes = shell.publish(&change);
                self.send_to_routers(&Body::Routes(routes));
            }
            Action::Audit(decision) => self.audit.record(&self.me.instance, cell, &decision),
            Action::ProbeFormer { epoch, holder } if self.gone.contains(&holder.instance) => {
                let event = Event::FormerGone(epoch);
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
                let Some(router) = self.incarnation_of(id) else {
                    return;
                };
                let demand = translate::demand(now, router, demand);
                if let Some(cell) = self.cell_of(&demand.model) {
                    self.cell_event(now, &cell, Event::Demand(demand));
                }
            }
            Body::Usage(usage) => {
                let Some(router) = self.incarnation_of(id) else {
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
                self.send_to(
                    id,
                    Body::ProbeAnswer(ProbeAnswer {
                        incarnation,
                        may_order,
                    }),
                );
            }
            Body::ConfigWanted(wanted) if wanted.have_revision < self.revision() => {
                if let Some(config) = self.config_message() {
                    self.send_to(id, config);
                }
            }
            Body::Query(query) => {
                let json = self.answer(now, &query.what);
                self.send_to(id, Body::QueryAnswer(QueryAnswer { json }));
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
            | Body::Promise(_) => {}
        }
    }

    fn hello(&mut self, now: Instant, id: LinkId, hello: Hello) {
        let heartbeat = self.heartbeat(now);
        let Some(peer) = self.links.get_mut(&id) else {
            return;
        };
        let is_first = peer.hello.is_none();
        let is_router = hello.role == i32::from(Role::Router);
        peer.hello = Some(hello);
        if !is_first {
            return;
        }
        peer.told_holders = Some(self.gossip.holders_version());
        peer.outbox.send(Body::Heartbeat(heartbeat));
        if is_router {
            for routes in self.cells.values().filter_map(CellShell::whole_table) {
                peer.outbox.send(Body::Routes(routes));
            }
        }
    }

    fn unlinked(&mut self, now: Instant, id: LinkId) {
        let Some(peer) = self.links.remove(&id) else {
            return;
        };
        let Some(hello) = peer
            .hello
            .filter(|hello| hello.role == i32::from(Role::Router))
        else {
            return;
        };
        let cells: Vec<CellName> = self.cells.keys().cloned().collect();
        for cell in cells {
            self.cell_event(now, &cell, Event::RouterGone(hello.incarnation));
        }
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

    /// Asks for a revision that this controller lacks, at one peer at a time.
    fn want_config(&mut self, now: Instant, peer: SocketAddr, revision: Revision) {
        let have_revision = self.revision();
        if revision <= have_revision
            || self
                .config_asked_at
                .is_some_and(|at| now < at + CONFIG_PATIENCE)
        {
            return;
        }
        self.config_asked_at = Some(now);
        self.peers
            .send(peer, Body::ConfigWanted(ConfigWanted { have_revision }));
    }

    fn listed(&mut self, now: Instant, listed: &[ListedInstance]) {
        let ids: HashSet<InstanceId> = listed.iter().map(|entry| entry.id.clone()).collect();
        let newly_gone: Vec<InstanceId> = self.listed.difference(&ids).cloned().collect();
        self.gone.retain(|id| !ids.contains(id));
        for id in newly_gone {
            log::warn!(id = &*id; "the platform no longer lists it");
            self.gone.insert(id);
        }
        let leaving: HashSet<&str> = listed
            .iter()
            .filter(|entry| entry.leaving)
            .map(|entry| &*entry.id)
            .collect();
        self.tell_standings(now, &leaving);
        // Ranks take a hash for each instance and cell; they change with the list alone.
        if ids != self.listed || self.ranked != self.revision() {
            self.listed = ids;
            self.ranked = self.revision();
            self.update_ranks(now);
        }
    }

    /// Tells the cells what the list says of their upstreams, where that is news.
    fn tell_standings(&mut self, now: Instant, leaving: &HashSet<&str>) {
        let upstreams: Vec<UpstreamId> = self.catalog.upstreams.keys().cloned().collect();
        for upstream in upstreams {
            let standing = if self.gone.contains(&upstream) {
                Standing::Gone
            } else if leaving.contains(&*upstream) {
                Standing::Leaving
            } else {
                Standing::Listed
            };
            let told = self.standings.insert(upstream.clone(), standing);
            if told.unwrap_or(Standing::Listed) != standing {
                let event = Event::UpstreamStanding {
                    upstream: upstream.clone(),
                    standing,
                };
                self.upstream_event(now, &upstream, event);
            }
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
        let weight = passway_config::catalog::rendezvous_hash;
        for cell in cells {
            let mine = weight(&self.me.instance, &cell);
            let upstreams = &self.catalog.upstreams;
            let instances = self.listed.iter().filter(|id| !upstreams.contains_key(*id));
            let before = instances.filter(|id| weight(id, &cell) > mine).count();
            self.rank = u32::try_from(before).unwrap_or(u32::MAX);
            self.cell_event(now, &cell, Event::Rank(self.rank));
        }
    }

    fn incarnation_of(&self, id: LinkId) -> Option<Incarnation> {
        Some(self.links.get(&id)?.hello.as_ref()?.incarnation)
    }

    fn cell_of(&self, model: &str) -> Option<CellName> {
        self.catalog
            .models
            .get(model)
            .map(|model| model.cell.clone())
    }

    fn config_message(&self) -> Option<Body> {
        let encoded = self.kept.as_ref()?.encoded.to_vec();
        Some(Body::Config(Config {
            encoded: encoded.into(),
        }))
    }
}
