//! The holder of the right to order: hears what instances need and gives orders.
//!
//! Every instance runs this thread; it decides only while [`Right`] says so.

mod order_names;
mod peers;
mod telling;

pub use peers::{Input, bind};

use crate::candidates::Candidates;
use crate::control;
use crate::listeners::Listeners;
use crate::members::{Addresses, Announcement, KeptAnnouncement, Roster};
use crate::news::Told;
use crate::poison::TOLD_CRASHES;
use crate::relay::{self, HEARTBEAT_PAUSE, Relay};
use crate::right::Right;
use crate::shared::Shared;
use crate::words;
use crossbeam::channel::{Receiver, Sender, bounded};
use order_names::name_of;
use passway_process::logging::json::DECISION_TARGET;
use passway_process::outbox::Outbox;
use passway_serving::placement::{Action, Planner, RunningRequests, Waiters};
use passway_serving::poison::UpstreamStart;
use passway_serving::ports::{Engines, OrderAnswer};
use passway_serving::retry::InstanceCount;
use passway_serving::tenure::Candidate;
use passway_serving::upstreams::ModelRef;
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::Body;
use passway_wire::message::{Needs, Promise, PromiseWanted, Subscribe, Wish, Words};
use peers::accept;
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpListener;
use telling::placements;

/// What the deciding thread may have to take in besides; whoever has one more waits, and so do
/// instances that send it. An engine's entry with all that it keeps has some 3 kB, so 3 MB.
const INPUTS: usize = 1_024;

/// What is told of one feed, by its number.
pub type FeedNews = (usize, Told);

/// News that wait for the deciding thread; a feed that has one more waits. Each may hold as
/// much as the store does, and shares it with what is in force.
const WAITING_NEWS: usize = 2;

/// Longest time between two looks while nothing is heard.
const LOOK_PAUSE: Duration = Duration::from_secs(1);

/// Pause between two looks whether orders may be given, in a term that may not give them now.
const RIGHT_STEP: Duration = Duration::from_millis(50);

/// Pause between two words about placements, for each instance that hears them: 69
/// instances are told every 34 ms at most, 6 every 3 ms.
const TELL_PAUSE_PER_PEER: Duration = Duration::from_micros(500);

/// Longest pause between two passes of the planner for the time that they take.
const LONGEST_PLAN_PAUSE: Duration = Duration::from_millis(50);

/// Starts to listen and to decide.
pub fn start(
    shared: &Arc<Shared>,
    right: &Arc<Right>,
    relay: &Arc<Relay>,
    engines: Arc<dyn Engines>,
    listener: TcpListener,
) -> (Sender<Input>, Sender<FeedNews>) {
    let (sender, inputs) = bounded(INPUTS);
    let (news_sender, news) = bounded(WAITING_NEWS);
    let accepting = sender.clone();
    std::thread::spawn(move || accept(&listener, &accepting));
    let holding = Holding {
        shared: shared.clone(),
        right: right.clone(),
        relay: relay.clone(),
        engines,
        sender: sender.clone(),
        planner: Planner::new(
            shared.bounds.load().load_window,
            shared.settings.placement.build(),
        ),
        peers: BTreeMap::new(),
        listeners: Listeners::default(),
        candidates: Candidates::default(),
        without_promise: None,
        doubtful: BTreeSet::new(),
        told_breaks: BTreeMap::new(),
        told_limits: BTreeMap::new(),
        told_leaving: BTreeMap::new(),
        dispatchers: Vec::new(),
        roster: Roster::default(),
        begun_at: clock::now(),
        instances: InstanceCount::begin(clock::now()),
        announcement: None,
        heard_of: KeptAnnouncement::default(),
        heartbeat_at: clock::now(),
        tell_at: clock::now(),
        plan_at: clock::now(),
        fence: None,
        version: None,
        refused_models: 0,
    };
    std::thread::spawn(move || holding.run(&inputs, &news));
    (sender, news_sender)
}

struct Holding {
    shared: Arc<Shared>,
    right: Arc<Right>,
    /// What tells when the store answered this instance last.
    relay: Arc<Relay>,
    engines: Arc<dyn Engines>,
    sender: Sender<Input>,
    planner: Planner,
    peers: BTreeMap<u64, Outbox>,
    /// Instances that hear the store's news from here.
    listeners: Listeners,
    /// Who may succeed this instance.
    candidates: Candidates,
    /// Candidates whose promise is lacking while they are asked for it, as was logged last.
    without_promise: Option<Vec<InstanceId>>,
    /// Engines to which orders have no answer, as was told last.
    doubtful: BTreeSet<UpstreamId>,
    /// Starts of upstreams that broke off, as was told, and until when that is remembered.
    told_breaks: BTreeMap<UpstreamStart, Instant>,
    /// Limits of upstreams in need, as was told last.
    told_limits: BTreeMap<UpstreamId, f64>,
    /// Starts of upstreams that leave, as was told.
    told_leaving: BTreeMap<UpstreamId, u64>,
    /// Who dispatches for engines.
    dispatchers: Vec<Candidate>,
    /// Who has been told of which members.
    roster: Roster,
    /// What times that are told to others are counted from.
    begun_at: Instant,
    /// How many instances share the fleet's allowances.
    instances: InstanceCount,
    /// What is left to tell of a term that has begun.
    announcement: Option<Announcement>,
    /// What another instance announced of its own term.
    heard_of: KeptAnnouncement,
    heartbeat_at: Instant,
    /// When changed placements may be told again.
    tell_at: Instant,
    /// When it may be planned again.
    plan_at: Instant,
    fence: Option<Fence>,
    version: Option<Revision>,
    /// Models that are not loaded since their loads ended engines, as was logged last.
    refused_models: usize,
}

fn wish(wish: &Wish) -> (ServiceName, ModelRef) {
    let adapter = Some(wish.adapter.as_str()).filter(|name| !name.is_empty());
    let wanted = ModelRef {
        model: wish.model.as_str().into(),
        adapter: adapter.map(Into::into),
    };
    (wish.service.as_str().into(), wanted)
}

impl Holding {
    fn run(mut self, inputs: &Receiver<Input>, news: &Receiver<FeedNews>) {
        loop {
            let now = clock::now();
            let look_at = if self.fence.is_some() {
                let telling = self
                    .planner
                    .has_changed_placements()
                    .then_some(self.tell_at);
                let next = if self.right.fence().is_some() {
                    self.planner.next_decision_at(now)
                } else {
                    now + RIGHT_STEP
                };
                let next = next.max(self.plan_at).min(self.heartbeat_at);
                telling.map_or(next, |at| next.min(at))
            } else {
                now + LOOK_PAUSE
            };
            let longest = look_at.saturating_duration_since(now).min(LOOK_PAUSE);
            // The threads that send end only with the process.
            crossbeam::select! {
                recv(inputs) -> input => {
                    if let Ok(input) = input {
                        self.take(input);
                    }
                }
                recv(news) -> told => {
                    if let Ok(told) = told {
                        self.take_news(&told);
                    }
                }
                default(longest) => {}
            }
            while let Ok(input) = inputs.try_recv() {
                self.take(input);
            }
            while let Ok(told) = news.try_recv() {
                self.take_news(&told);
            }
            self.decide();
        }
    }

    fn take(&mut self, input: Input) {
        let now = clock::now();
        match input {
            Input::Connected(number, outbox) => {
                self.peers.insert(number, outbox);
            }
            Input::Disconnected(number, instance) => {
                self.peers.remove(&number);
                if let Some((name, _)) = self.listeners.went(number) {
                    self.candidates.went(&name, now);
                }
                if let Some(instance) = instance {
                    self.planner.remove_instance(&instance);
                }
            }
            Input::Needs(needs) => self.needs(&needs, now),
            Input::Subscribe(number, subscribe) => self.subscribe(number, &subscribe),
            // It is a reason to look, which follows in any case.
            Input::TermBegun => {}
            Input::Succeeded(holder) => self.heard_of.keep(holder, now),
            Input::Suspects(told) => self.tell_suspects(told),
            Input::Words(told) => self.tell_words(told),
            Input::Promised(promise) => self.promised(&promise),
            Input::Heard(entry) => self.planner.update_engine(entry, now),
            Input::Listed(ids) => self.planner.retain(&ids),
            Input::Answered(order, answer) => {
                log::info!(target: DECISION_TARGET, engine:% = order.engine, action:? = order.action,
                    model:% = order.model_ref.model, adapter:? = order.model_ref.adapter,
                    expected = order.expected_orders, answer:? = answer; "order");
                self.shared.metrics.order(name_of(answer));
                self.planner.apply_answer(&order, answer, now);
            }
            Input::Reported(engine, report) => {
                log::info!(engine:% = engine, report:? = report.as_ref().map(|r| (r.busy, r.orders_taken, r.models.len())); "report");
                self.planner.apply_report(&engine, report, now);
            }
        }
    }

    /// Takes in what a feed was told, and tells it to those who listen.
    fn take_news(&mut self, news: &FeedNews) {
        if self.listeners.add_news(news) {
            self.listeners.catch_up(&self.peers, false);
        }
    }

    /// Tells an instance what it lacks, and from now on what comes.
    fn subscribe(&mut self, number: u64, subscribe: &Subscribe) {
        if self.fence.is_none() || !self.peers.contains_key(&number) {
            return;
        }
        let address = subscribe.address.parse().ok();
        let member = address.map(|address| (subscribe.instance.as_str().into(), address));
        if let Some((name, address)) = member.clone() {
            self.candidates.came(name, address, subscribe.is_weak);
        }
        let known = |feed| subscribe.known.get(feed).copied().unwrap_or(0);
        let told = std::array::from_fn(known);
        self.listeners.came(number, member, told);
        self.tell_term(number);
        self.listeners.catch_up(&self.peers, true);
        self.send_heartbeats([number], 0);
        let suspects = self.shared.poison.suspects(TOLD_CRASHES);
        self.send_to(number, &Body::Suspects(suspects));
        let said = words::encode(&self.shared, None);
        if said != Words::default() {
            self.send_to(number, &Body::Words(said));
        }
        let known = subscribe.placements.iter().copied().collect();
        let lacking = self.planner.placements_differing_from(&known);
        if !lacking.is_empty() {
            self.send_to(number, &placements(lacking));
        }
        if !self.dispatchers.is_empty() {
            self.send_to(number, &self.dispatchers_body());
        }
    }

    /// Follows a holder that was announced, if the store does not answer: else it tells better.
    fn follow_announced(&mut self, now: Instant) {
        let is_cut_off =
            self.shared.store_health.is_failing() || self.right.asks_promises().is_some();
        if let Some(holder) = self.heard_of.take(is_cut_off, now)
            && self.right.told(holder.clone())
        {
            log::info!(target: DECISION_TARGET, holder:% = holder.instance, fence = holder.fence; "heard of a new holder");
        }
    }

    /// A candidate has answered what it was asked in `ask_candidates`.
    fn promised(&mut self, promise: &Promise) {
        let name = InstanceId::from(promise.instance.as_str());
        if promise.leaves {
            self.candidates.left(&name);
            self.right.left(&name, promise.fence);
        } else {
            let asked_at = self.begun_at + Duration::from_millis(promise.asked_ms);
            self.right.promised(&name, promise.fence, asked_at);
        }
    }

    /// Chooses who may succeed this instance, and asks them for their promises while the
    /// store does not answer.
    fn ask_candidates(&mut self, now: Instant) {
        let settings = &self.shared.settings;
        let me = Candidate {
            instance: settings.instance.clone(),
            address: settings.peer_address,
        };
        if let Some(chosen) = self.candidates.choose(&me, now) {
            self.right.want_candidates(chosen);
        }
        let Some(fence) = self.right.asks_promises() else {
            self.without_promise = None;
            return;
        };
        let without = self.right.without_promise();
        if self.without_promise.as_ref() != Some(&without) {
            log::info!(target: DECISION_TARGET, fence = fence, without_promise:? = without; "asks candidates to carry the right to order");
            self.without_promise = Some(without);
        }
        let body = Body::PromiseWanted(PromiseWanted {
            fence,
            asked_ms: relay::millis_since(self.begun_at, now),
        });
        for (number, (name, _)) in self.listeners.members() {
            if self.candidates.contains(name) {
                self.send_to(number, &body);
            }
        }
    }

    /// Shows the others that the lease still holds.
    fn beat(&mut self, now: Instant) {
        if now >= self.heartbeat_at {
            self.heartbeat_at = now + HEARTBEAT_PAUSE;
            let instances = self.listeners.count() + 1;
            let instances = self.instances.shared_by(instances, now);
            if let Some(instances) = instances {
                self.shared.set_instance_count(instances);
            }
            self.ask_candidates(now);
            self.tell_members();
            self.tell_dispatchers(instances);
            self.listeners.catch_up(&self.peers, true);
            self.send_heartbeats(self.listeners.numbers(), instances.unwrap_or(0));
        } else if self.listeners.has_backlog() {
            self.listeners.catch_up(&self.peers, false);
        }
    }

    /// Tells those of the term that has begun who have not come by themselves.
    fn announce(&mut self, now: Instant) {
        let Some(mut announcement) = self.announcement.take() else {
            return;
        };
        if !announcement.go_on(&self.shared, &self.members(), now) {
            self.announcement = Some(announcement);
            return;
        }
        // Whoever did not come in all this time is forgotten, or the list would only grow.
        *self.shared.members() = self.members();
    }

    fn needs(&mut self, needs: &Needs, now: Instant) {
        for waiting in &needs.waiting {
            let (service, wanted) = wish(waiting);
            let waiters = Waiters {
                instance: needs.instance.as_str().into(),
                service,
                model_ref: wanted,
                count: waiting.count,
                latest_deadline: now + Duration::from_millis(waiting.wait_ms.into()),
            };
            self.planner.set_waiters(waiters, now);
        }
        for taken in &needs.taken {
            let (service, wanted) = wish(taken);
            self.planner
                .record_arrivals(&service, &wanted, taken.count, now);
        }
        let running = needs.running.iter().map(|running| RunningRequests {
            engine: running.engine.as_str().into(),
            model: running.model.as_str().into(),
            count: running.count,
        });
        let running: Vec<_> = running.collect();
        let instance = InstanceId::from(needs.instance.as_str());
        self.planner.set_running(&instance, &running);
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
        let emptied = upstreams.emptied();
        let emptied = (emptied != self.planner.evacuated_halls()).then(|| emptied.clone());
        drop(upstreams);
        if let Some(emptied) = emptied {
            self.planner.set_evacuated_halls(emptied);
        }
        let fence = self.right.term();
        if fence != self.fence {
            self.fence = fence;
            self.candidates = Candidates::default();
            self.told_limits.clear();
            self.told_leaving.clear();
            self.roster = Roster::default();
            self.dispatchers = self.shared.dispatch.dispatcher_list();
            // Whoever heard the news from here asks the store now.
            for number in self.listeners.end() {
                if let Some(outbox) = self.peers.remove(&number) {
                    outbox.close();
                }
            }
            let urgent = self.right.former_candidates().into_iter();
            let urgent: Addresses = urgent.map(|one| (one.instance, one.address)).collect();
            self.announcement = fence.map(|fence| Announcement::begin(fence, urgent, clock::now()));
            if fence.is_some() {
                self.count_instances_anew(clock::now());
                self.begin_term();
            }
        }
        let Some(fence) = fence else {
            return;
        };
        let now = clock::now();
        self.beat(now);
        self.announce(now);
        if self.right.fence() == Some(fence) && now >= self.plan_at {
            let upstreams = self.shared.upstreams();
            let resting = upstreams.resting(now);
            let resting = resting.map(|(id, until)| (id.clone(), until)).collect();
            drop(upstreams);
            self.planner.set_backing_off(resting);
            let actions = self.planner.decide(now);
            let took = clock::since(now);
            // Whatever else it has to do, the thread plans for half of its time at most.
            self.plan_at = clock::now() + took.clamp(Duration::ZERO, LONGEST_PLAN_PAUSE);
            self.shared.metrics.planning_pass(took);
            self.log_refused_models();
            self.tell_doubtful(now);
            for action in actions {
                self.act(action, fence);
            }
        }
        self.tell_changes(now);
    }

    /// Tells which models are not loaded any more since their loads ended engines.
    fn log_refused_models(&mut self) {
        let refused: Vec<_> = self.planner.refused_models().collect();
        if refused.len() != self.refused_models {
            self.refused_models = refused.len();
            log::warn!(target: DECISION_TARGET, models:? = refused; "models whose loads end engines");
        }
    }

    /// A term begins, and the instances come to it one after the other.
    fn count_instances_anew(&mut self, now: Instant) {
        if self.right.succeeds_itself() {
            self.instances.resume(now);
        } else {
            self.instances = InstanceCount::begin(now);
        }
    }

    /// The planner begins with what this instance knew as a listener.
    fn begin_term(&mut self) {
        let mut upstreams = self.shared.upstreams();
        upstreams.forget_closing();
        self.shared.poison.look();
        let entries = upstreams.entries().cloned();
        let doubtful = self.shared.unconfirmed_engines();
        self.planner.begin_term(entries, &doubtful, clock::now());
        for (id, _, word) in upstreams.limit_words() {
            self.planner.set_limit(id, word.per_s);
        }
    }

    fn act(&mut self, action: Action, fence: Fence) {
        let (engines, right) = (self.engines.clone(), self.right.clone());
        let (sender, shared) = (self.sender.clone(), self.shared.clone());
        let unsent = match &action {
            Action::Order(order) => Input::Answered(order.clone(), OrderAnswer::NotSent),
            Action::Ask { engine, .. } => Input::Reported(engine.clone(), None),
        };
        let carry_out = move || {
            let input = match action {
                Action::Order(order) => {
                    let answer = control::send_order(&shared, &*engines, &right, fence, &order);
                    Input::Answered(order, answer)
                }
                Action::Ask { engine, address } => {
                    let start = UpstreamStart {
                        started_at_ms: shared.upstreams().started_at_ms(&engine),
                        upstream: engine.clone(),
                    };
                    let report = control::query_report(&shared, &*engines, &start, address);
                    Input::Reported(engine, report)
                }
            };
            // The deciding thread ends only with the process.
            let _ = sender.send(input);
        };
        if let Err(error) = std::thread::Builder::new().spawn(carry_out) {
            log::warn!(error:% = error; "no thread for an order or a question");
            self.take(unsent);
        }
    }
}
