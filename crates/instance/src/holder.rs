//! The holder of leadership: receives what instances need and sends orders to engines.
//!
//! Every instance runs this thread. It makes decisions only while [`LeadershipDriver`] says that
//! this instance is the holder.

mod engine_speeds;
mod order_names;
mod peers;
mod publishing;

pub use peers::{Input, bind};

use crate::callers::PeerEntry;
use crate::candidates::Candidates;
use crate::control;
use crate::leadership::LeadershipDriver;
use crate::members::{Addresses, Announcement, MemberListTracker, PendingAnnouncement};
use crate::relay::{self, HEARTBEAT_INTERVAL, Relay};
use crate::shared::Shared;
use crate::signals;
use crate::subscribers::Subscribers;
use crate::updates::FeedUpdate;
use crossbeam::channel::{Receiver, Sender, bounded};
use order_names::name_of;
use passway_process::logging::json::DECISION_TARGET;
use passway_process::outbox::Outbox;
use passway_process::queue;
use passway_serving::leadership::Candidate;
use passway_serving::placement::{Action, Planner, RunningRequests, Waiters};
use passway_serving::poison::UpstreamStart;
use passway_serving::ports::{Engines, OrderAnswer, StoreRevision};
use passway_serving::retry::InstanceCount;
use passway_serving::upstreams::ModelRef;
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::Body;
use passway_wire::message::{
    InstanceReport, KnownSignals, ModelRequests, Promise, PromiseRequest, Subscribe,
};
use peers::accept;
use publishing::placements_body;
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpListener;

/// Maximum number of inputs queued for the holder thread. A thread that sends one more blocks, and
/// so do the instances whose messages it forwards. An engine's entry takes about 3 kB with all its
/// allocations, so the queue takes about 3 MB.
const MAX_QUEUED_INPUTS: usize = 1_024;

/// An update of one feed with the number of the feed.
pub type NumberedUpdate = (usize, FeedUpdate);

/// Maximum number of feed updates queued for the holder thread; a feed that has one more blocks.
/// Each may be as large as the store's contents, which it shares with the data in use.
const MAX_QUEUED_UPDATES: usize = 2;

/// Interval of checks whether subscribers with a backlog have received what was sent before.
const BACKLOG_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Longest wait of the holder thread when no input arrives.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of checks whether orders may be sent, in a term that may not send them now.
const LEADERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum interval of placement messages, for each instance that receives them: 69 instances are
/// sent one every 34 ms at most, 6 instances one every 3 ms.
const PLACEMENT_INTERVAL_PER_PEER: Duration = Duration::from_micros(500);

/// Maximum delay between two passes of the planner that follows from the time a pass takes.
const MAX_PLAN_DELAY: Duration = Duration::from_millis(50);

/// Starts to accept connections of other instances and to make decisions.
///
/// Returns the senders of inputs and of feed updates.
pub fn start(
    shared: &Arc<Shared>,
    leadership: &Arc<LeadershipDriver>,
    relay: &Arc<Relay>,
    engines: Arc<dyn Engines>,
    (listener, entry): (TcpListener, PeerEntry),
) -> (Sender<Input>, Sender<NumberedUpdate>) {
    let (input_sender, inputs) = bounded(MAX_QUEUED_INPUTS);
    let (update_sender, updates) = bounded(MAX_QUEUED_UPDATES);
    let peer_inputs = input_sender.clone();
    let peers_shared = shared.clone();
    std::thread::spawn(move || accept(&peers_shared, &listener, &peer_inputs, &entry));
    let thread = HolderThread {
        shared: shared.clone(),
        leadership: leadership.clone(),
        relay: relay.clone(),
        engines,
        input_sender: input_sender.clone(),
        planner: Planner::new(
            shared.bounds.load().load_window,
            shared.settings.placement.build(),
        ),
        peers: BTreeMap::new(),
        subscribers: Subscribers::default(),
        candidates: Candidates::default(),
        logged_without_promise: None,
        published_unconfirmed: BTreeSet::new(),
        published_disconnects: BTreeMap::new(),
        published_limits: BTreeMap::new(),
        published_leaving: BTreeMap::new(),
        dispatchers: Vec::new(),
        member_list: MemberListTracker::default(),
        recorded_lists: BTreeMap::new(),
        clock_origin: clock::now(),
        instances: InstanceCount::start_term(clock::now()),
        announcement: None,
        pending_announcement: PendingAnnouncement::default(),
        heartbeat_at: clock::now(),
        publish_at: clock::now(),
        plan_at: clock::now(),
        speeds_at: clock::now(),
        fence: None,
        version: None,
        logged_refused_models: 0,
    };
    std::thread::spawn(move || thread.run(&inputs, &updates));
    (input_sender, update_sender)
}

struct HolderThread {
    shared: Arc<Shared>,
    leadership: Arc<LeadershipDriver>,
    /// Knows when the store last answered this instance.
    relay: Arc<Relay>,
    engines: Arc<dyn Engines>,
    input_sender: Sender<Input>,
    planner: Planner,
    peers: BTreeMap<u64, Outbox>,
    /// Instances that receive the store's updates from this instance.
    subscribers: Subscribers,
    /// Instances that may succeed this instance as the holder.
    candidates: Candidates,
    /// The candidates without a promise, as last logged while promises were requested.
    logged_without_promise: Option<Vec<InstanceId>>,
    /// Engines with unconfirmed orders, as last published.
    published_unconfirmed: BTreeSet<UpstreamId>,
    /// Starts of upstreams that broke off, as published, and when each may be forgotten.
    published_disconnects: BTreeMap<UpstreamStart, Instant>,
    /// Limits of limited upstreams, as last published.
    published_limits: BTreeMap<UpstreamId, f64>,
    /// Starts of upstreams that are leaving, as published.
    published_leaving: BTreeMap<UpstreamId, u64>,
    /// Instances that dispatch requests to engines.
    dispatchers: Vec<Candidate>,
    /// Which candidates were sent which list of members.
    member_list: MemberListTracker,
    /// The list of software versions up to which each connected instance has recorded its streams.
    recorded_lists: BTreeMap<InstanceId, StoreRevision>,
    /// Origin of the times in messages to other instances.
    clock_origin: Instant,
    /// How many instances share the fleet's allowances.
    instances: InstanceCount,
    /// Connections still to be made to announce a term that has begun.
    announcement: Option<Announcement>,
    /// Another instance's announcement of its own term.
    pending_announcement: PendingAnnouncement,
    heartbeat_at: Instant,
    /// When changed placements may be published again.
    publish_at: Instant,
    /// When the planner may run again.
    plan_at: Instant,
    /// When the planner needs the speeds of engines again.
    speeds_at: Instant,
    fence: Option<Fence>,
    version: Option<Revision>,
    /// Number of models, as last logged, that are no longer loaded because their loads crashed
    /// engines.
    logged_refused_models: usize,
}

fn decode_demand(requests: &ModelRequests) -> (ServiceName, ModelRef) {
    let adapter = Some(requests.adapter.as_str()).filter(|name| !name.is_empty());
    let wanted = ModelRef {
        model: requests.model.as_str().into(),
        adapter: adapter.map(Into::into),
    };
    (requests.service.as_str().into(), wanted)
}

impl HolderThread {
    /// Makes decisions until the instance ends. Connections of other instances close after that.
    fn run(mut self, inputs: &Receiver<Input>, updates: &Receiver<NumberedUpdate>) {
        let shared = self.shared.clone();
        while !shared.termination().has_begun() {
            let now = clock::now();
            let wake_at = if self.fence.is_some() {
                let publish_at = self
                    .planner
                    .has_changed_placements()
                    .then_some(self.publish_at);
                let next = if self.leadership.fence().is_some() {
                    self.planner.next_decision_at(now)
                } else {
                    now + LEADERSHIP_CHECK_INTERVAL
                };
                let next = next.max(self.plan_at).min(self.heartbeat_at);
                let has_backlog = self.subscribers.has_backlog();
                let backlog_at = has_backlog.then(|| now + BACKLOG_CHECK_INTERVAL);
                let next = backlog_at.map_or(next, |at| next.min(at));
                publish_at.map_or(next, |at| next.min(at))
            } else {
                now + IDLE_INTERVAL
            };
            let timeout = wake_at.saturating_duration_since(now).min(IDLE_INTERVAL);
            // This thread has a sender of inputs, and the feeds' threads run until the instance
            // ends, so the channels stay open.
            crossbeam::select! {
                recv(inputs) -> input => {
                    if let Ok(input) = input {
                        self.handle(input);
                    }
                }
                recv(updates) -> update => {
                    if let Ok(update) = update {
                        self.handle_update(&update);
                    }
                }
                recv(shared.termination().begun()) -> _ => return,
                default(timeout) => {}
            }
            for input in queue::waiting(inputs) {
                self.handle(input);
            }
            for update in queue::waiting(updates) {
                self.handle_update(&update);
            }
            self.decide();
        }
    }

    fn handle(&mut self, input: Input) {
        let now = clock::now();
        match input {
            Input::Connected(number, outbox) => {
                self.peers.insert(number, outbox);
            }
            Input::Disconnected(number, instance) => {
                self.peers.remove(&number);
                if let Some((name, _)) = self.subscribers.remove(number) {
                    self.candidates.mark_disconnected(&name, now);
                }
                if let Some(instance) = instance {
                    self.planner.remove_instance(&instance);
                    self.recorded_lists.remove(&instance);
                }
            }
            Input::Report(report) => self.handle_report(&report, now),
            Input::Subscribe(number, subscribe) => self.subscribe(number, &subscribe),
            // The message only wakes the thread; `decide` runs after every input.
            Input::TermBegun => {}
            Input::HolderAnnounced(holder) => self.pending_announcement.store(holder, now),
            Input::Suspects(suspects) => self.merge_and_publish_suspects(suspects),
            Input::Signals(signals) => self.merge_and_publish_signals(signals),
            Input::Promised(promise) => self.handle_promise(&promise),
            Input::UpstreamSeen(entry) => self.planner.update_engine(entry, now),
            Input::UpstreamsListed(ids) => self.planner.retain(&ids),
            Input::OrderAnswered(order, answer) => {
                log::info!(target: DECISION_TARGET, engine:% = order.engine, action:? = order.action,
                    model:% = order.model_ref.model, adapter:? = order.model_ref.adapter,
                    expected = order.expected_orders, answer:? = answer; "order");
                self.shared.metrics.order(name_of(answer));
                self.planner.apply_answer(&order, answer, now);
            }
            Input::EngineReported(engine, report) => {
                log::info!(engine:% = engine, report:? = report.as_ref().map(|report| (report.busy, report.orders_taken, report.models.len())); "report");
                self.planner.apply_report(&engine, report, now);
            }
        }
    }

    /// Records a feed update and forwards it to the subscribers.
    fn handle_update(&mut self, update: &NumberedUpdate) {
        if self.subscribers.add_update(update) {
            self.subscribers.send_updates(&self.peers, false);
        }
    }

    /// Sends an instance everything it lacks, and registers it for later updates.
    fn subscribe(&mut self, number: u64, subscribe: &Subscribe) {
        if self.fence.is_none() || !self.peers.contains_key(&number) {
            return;
        }
        let address = subscribe.address.parse().ok();
        let member = address.map(|address| (subscribe.instance.as_str().into(), address));
        if let Some((name, address)) = member.clone() {
            self.candidates.add(name, address, subscribe.has_low_cpu);
        }
        let known = |feed| {
            let packed = subscribe.known_revisions.get(feed).copied();
            StoreRevision::from_packed(packed.unwrap_or_default())
        };
        let sent = std::array::from_fn(known);
        self.subscribers.add(number, member, sent);
        self.send_term(number);
        self.subscribers.send_updates_to(number, &self.peers);
        self.send_heartbeats([number], 0);
        let suspects = self.shared.poison.suspects_to_broadcast();
        self.send_to(number, &Body::Suspects(suspects));
        let signals = signals::encode(&self.shared, None);
        if signals != KnownSignals::default() {
            self.send_to(number, &Body::KnownSignals(signals));
        }
        let known = subscribe.placement_digests.iter().copied().collect();
        let missing = self.planner.placements_differing_from(&known);
        if !missing.is_empty() {
            self.send_to(number, &placements_body(missing));
        }
        if !self.dispatchers.is_empty() {
            self.send_to(number, &self.dispatchers_body());
        }
    }

    /// Follows an announced holder if the store does not answer. Otherwise the store's information
    /// is better.
    fn follow_announced(&mut self, now: Instant) {
        let is_cut_off =
            self.shared.store_health.is_failing() || self.leadership.promise_fence().is_some();
        if let Some(holder) = self.pending_announcement.take(is_cut_off, now)
            && self.leadership.learn_holder(holder.clone())
        {
            log::info!(target: DECISION_TARGET, holder:% = holder.instance, fence = holder.fence; "learned of a new holder from another instance");
        }
    }

    /// Handles a candidate's answer to `request_promises`.
    fn handle_promise(&mut self, promise: &Promise) {
        let name = InstanceId::from(promise.instance.as_str());
        if promise.is_leaving {
            self.candidates.remove(&name);
            self.leadership.record_departure(&name, promise.fence);
        } else {
            let requested_at = self.clock_origin + Duration::from_millis(promise.asked_at_ms);
            self.leadership
                .record_promise(&name, promise.fence, requested_at);
        }
    }

    /// Chooses the candidates that may succeed this instance, and requests their promises while the
    /// store does not answer.
    fn request_promises(&mut self, now: Instant) {
        let settings = &self.shared.settings;
        let this_instance = Candidate {
            instance: settings.instance.clone(),
            address: settings.peer_address,
        };
        if let Some(chosen) = self.candidates.choose(&this_instance, now) {
            self.leadership.set_desired_candidates(chosen);
        }
        let Some(fence) = self.leadership.promise_fence() else {
            self.logged_without_promise = None;
            return;
        };
        let without_promise = self.leadership.candidates_without_promise();
        if self.logged_without_promise.as_ref() != Some(&without_promise) {
            log::info!(target: DECISION_TARGET, fence = fence, without_promise:? = without_promise; "requesting promises from candidates to extend the leadership without the store");
            self.logged_without_promise = Some(without_promise);
        }
        let body = Body::PromiseRequest(PromiseRequest {
            fence,
            asked_at_ms: relay::millis_since(self.clock_origin, now),
        });
        for (number, (name, _)) in self.subscribers.members() {
            if self.candidates.is_candidate(name) {
                self.send_to(number, &body);
            }
        }
    }

    /// The list of software versions for which all subscribers have recorded their streams; `None` if one of them
    /// has not said.
    fn recorded_by_others(&self) -> Option<StoreRevision> {
        let no_others = StoreRevision::from_packed(u64::MAX);
        let mut recorded = self.subscribers.connections().map(|number| {
            let (name, _) = self.subscribers.member(number)?;
            self.recorded_lists.get(name).copied()
        });
        recorded.try_fold(no_others, |least, revision| Some(least.min(revision?)))
    }

    /// Shows the other instances, if that is due, that this instance's lease is still valid.
    fn send_due_heartbeat(&mut self, now: Instant) {
        if now >= self.heartbeat_at {
            self.heartbeat_at = now + HEARTBEAT_INTERVAL;
            let instances = self.subscribers.count() + 1;
            let instances = self.instances.sharing_instances(instances, now);
            if let Some(instances) = instances {
                self.shared.set_instance_count(instances);
            }
            let recorded = instances.and_then(|_| self.recorded_by_others());
            self.shared.versions.set_recorded_by_others(recorded, now);
            self.request_promises(now);
            self.publish_members();
            self.publish_dispatchers(instances);
            self.subscribers.send_updates(&self.peers, true);
            self.send_heartbeats(self.subscribers.connections(), instances.unwrap_or(0));
        } else if self.subscribers.has_backlog() {
            self.subscribers.send_updates(&self.peers, false);
        }
    }

    /// Announces a term that has begun to instances that have not connected by themselves.
    fn announce(&mut self, now: Instant) {
        let Some(mut announcement) = self.announcement.take() else {
            return;
        };
        if !announcement.advance(&self.shared, &self.members(), now) {
            self.announcement = Some(announcement);
            return;
        }
        // Instances that did not connect in this time are forgotten; otherwise the list would only
        // grow.
        *self.shared.members() = self.members();
    }

    fn handle_report(&mut self, report: &InstanceReport, now: Instant) {
        for waiting in report.waiting.iter().chain(&report.waiting_for_software) {
            let (service, wanted) = decode_demand(waiting);
            let waiters = Waiters {
                instance: report.instance.as_str().into(),
                service,
                model_ref: wanted,
                required_software: waiting.required_software.as_deref().map(Into::into),
                count: waiting.count,
                latest_deadline: now + Duration::from_millis(waiting.remaining_wait_ms.into()),
            };
            self.planner.set_waiters(waiters, now);
        }
        for arrivals in &report.accepted {
            let (service, wanted) = decode_demand(arrivals);
            self.planner
                .record_arrivals(&service, &wanted, arrivals.count, now);
        }
        let running = report.running.iter().map(|running| RunningRequests {
            engine: running.engine.as_str().into(),
            model: running.model.as_str().into(),
            count: running.count,
        });
        let running: Vec<_> = running.collect();
        let instance = InstanceId::from(report.instance.as_str());
        self.planner.set_running(&instance, &running);
        let recorded_list = StoreRevision::from_packed(report.recorded_list);
        self.recorded_lists.insert(instance, recorded_list);
    }

    fn decide(&mut self) {
        self.follow_announced(clock::now());
        let routes = self.shared.routes.load_full();
        if let Some(table) = routes.filter(|table| self.version != Some(table.version)) {
            self.version = Some(table.version);
            self.planner.set_table(&table);
            let upstreams = self.shared.upstreams();
            for entry in upstreams.entries() {
                self.planner.update_engine(entry.clone(), clock::now());
            }
        }
        let upstreams = self.shared.upstreams();
        let emptied = upstreams.evacuated();
        let emptied = (emptied != self.planner.evacuated_halls()).then(|| emptied.clone());
        drop(upstreams);
        if let Some(emptied) = emptied {
            self.planner.set_evacuated_halls(emptied);
        }
        let fence = self.leadership.term();
        if fence != self.fence {
            self.fence = fence;
            self.candidates = Candidates::default();
            self.published_limits.clear();
            self.published_leaving.clear();
            self.member_list = MemberListTracker::default();
            self.dispatchers = self.shared.dispatch.dispatcher_list();
            // Closing the connections makes the previous subscribers query the store.
            for number in self.subscribers.clear() {
                if let Some(outbox) = self.peers.remove(&number) {
                    outbox.close();
                }
            }
            let urgent = self.leadership.previous_candidates().into_iter();
            let urgent: Addresses = urgent
                .map(|candidate| (candidate.instance, candidate.address))
                .collect();
            self.announcement = fence.map(|fence| Announcement::begin(fence, urgent, clock::now()));
            if fence.is_some() {
                self.reset_instance_count(clock::now());
                self.begin_term();
            } else {
                self.clear_engine_speeds();
            }
        }
        let Some(fence) = fence else {
            return;
        };
        let now = clock::now();
        self.send_due_heartbeat(now);
        self.announce(now);
        if self.leadership.fence() == Some(fence) && now >= self.plan_at {
            let upstreams = self.shared.upstreams();
            let backing_off = upstreams.backing_off(now);
            let backing_off = backing_off.map(|(id, until)| (id.clone(), until)).collect();
            drop(upstreams);
            self.planner.set_backing_off(backing_off);
            self.update_engine_speeds(now);
            let actions = self.planner.decide(now);
            let pass_duration = clock::since(now);
            // The planner takes at most half of the thread's time, so that other work is not
            // starved.
            self.plan_at = clock::now() + pass_duration.clamp(Duration::ZERO, MAX_PLAN_DELAY);
            self.shared.metrics.planning_pass(pass_duration);
            self.log_refused_models();
            self.publish_unconfirmed(now);
            for action in actions {
                self.execute(action, fence);
            }
        }
        self.publish_changes(now);
    }

    /// Logs which models are no longer loaded because their loads crashed engines.
    fn log_refused_models(&mut self) {
        let refused: Vec<_> = self.planner.refused_models().collect();
        if refused.len() != self.logged_refused_models {
            self.logged_refused_models = refused.len();
            log::warn!(target: DECISION_TARGET, models:? = refused; "the list of models whose loads crash engines changed");
        }
    }

    /// Counts instances anew for a term that begins, because they connect one after the other.
    fn reset_instance_count(&mut self, now: Instant) {
        if self.leadership.succeeds_itself() {
            self.instances.continue_term(now);
        } else {
            self.instances = InstanceCount::start_term(now);
        }
    }

    /// Starts the planner with what this instance learned as a subscriber.
    fn begin_term(&mut self) {
        let mut upstreams = self.shared.upstreams();
        upstreams.clear_evicting();
        self.shared.poison.notify_writer();
        let entries = upstreams.entries().cloned();
        let unconfirmed = self.shared.unconfirmed_engines();
        self.planner.begin_term(entries, &unconfirmed, clock::now());
        for (id, _, limit) in upstreams.observed_limits() {
            self.planner.set_limit(id, limit.per_s);
        }
    }

    fn execute(&mut self, action: Action, fence: Fence) {
        if let Action::Order(order) = &action {
            self.log_engine_speed(order);
        }
        let (engines, leadership) = (self.engines.clone(), self.leadership.clone());
        let (input_sender, shared) = (self.input_sender.clone(), self.shared.clone());
        let not_sent = match &action {
            Action::Order(order) => Input::OrderAnswered(order.clone(), OrderAnswer::NotSent),
            Action::Ask { engine, .. } => Input::EngineReported(engine.clone(), None),
        };
        let run_action = move || {
            let input = match action {
                Action::Order(order) => {
                    let answer =
                        control::send_order(&shared, &*engines, &leadership, fence, &order);
                    Input::OrderAnswered(order, answer)
                }
                Action::Ask { engine, address } => {
                    let start = UpstreamStart {
                        started_at_ms: shared.upstreams().started_at_ms(&engine),
                        upstream: engine.clone(),
                    };
                    let report = control::query_report(&shared, &*engines, &start, address);
                    Input::EngineReported(engine, report)
                }
            };
            // The channel closes only when the instance ends.
            let _ = input_sender.send(input);
        };
        if let Err(error) = std::thread::Builder::new().spawn(run_action) {
            log::warn!(error:% = error; "cannot start a thread for an order or a query to an engine");
            self.handle(not_sent);
        }
    }
}
