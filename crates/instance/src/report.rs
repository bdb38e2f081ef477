//! The connection to the holder of leadership: reports what this instance needs, and receives what
//! the holder sends.

use crate::leadership::LeadershipDriver;
use crate::members;
use crate::poison;
use crate::relay::Relay;
use crate::shared::{ReportEvent, Shared};
use crate::signals;
use crossbeam::channel::{Receiver, RecvTimeoutError};
use passway_process::dial::{DialEvent, Dialer};
use passway_process::outbox::Outbox;
use passway_process::queue;
use passway_serving::leadership::{Candidate, Holder};
use passway_serving::poison::{Suspect, UpstreamStart};
use passway_serving::ports::StoreRevision;
use passway_serving::upstreams::{ModelRef, ResidentModel};
use passway_serving::versions::SoftwareVersion;
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::Body;
use passway_wire::message::{
    EnginePlacement, InstanceReport, KnownSignals, ModelRequests, Promise, PromiseRequest,
    RunCount, Subscribe, Updates,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

/// Requests within this time are reported to a new holder, which averages over the same time.
const RECENT_WINDOW: Duration = Duration::from_secs(4);
/// Interval of reports if nothing urgent happens.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Delay before a subscription to the holder's updates is sent again.
const SUBSCRIBE_INTERVAL: Duration = Duration::from_millis(600);

type Link = Arc<Mutex<Option<Outbox>>>;

/// Starts the thread that reports to the holder until the instance ends.
pub fn start(
    shared: &Arc<Shared>,
    leadership: &Arc<LeadershipDriver>,
    relay: &Arc<Relay>,
    events: Receiver<ReportEvent>,
) {
    let reporter = Reporter {
        shared: shared.clone(),
        leadership: leadership.clone(),
        relay: relay.clone(),
        link: Link::default(),
        subscribed_at: None,
        last_running: Vec::new(),
        last_recorded_list: None,
        dialed: None,
        arrivals: BTreeMap::new(),
        waiting: BTreeMap::new(),
        refused: Vec::new(),
        unreported: BTreeSet::new(),
        suspects: Vec::new(),
        disconnects: Vec::new(),
        changed_signals: BTreeSet::new(),
        recent: VecDeque::new(),
        is_new_connection: Arc::default(),
    };
    std::thread::spawn(move || reporter.run(&events));
}

struct Reporter {
    shared: Arc<Shared>,
    leadership: Arc<LeadershipDriver>,
    relay: Arc<Relay>,
    link: Link,
    subscribed_at: Option<Instant>,
    last_running: Vec<RunCount>,
    /// The list of software versions up to which streams are recorded, as last reported on the connection.
    last_recorded_list: Option<StoreRevision>,
    dialed: Option<(Holder, Dialer)>,
    arrivals: ArrivalCounts,
    /// Requests of this instance that wait for a model or adapter.
    waiting: BTreeMap<DemandKey, LocalWaiters>,
    /// Requests that were refused at once, and until when each counts as waiting.
    refused: Vec<(Instant, DemandKey)>,
    /// Changes of `waiting` that were not reported to the holder yet.
    unreported: BTreeSet<DemandKey>,
    /// Updates of suspect requests that were not reported to the holder yet.
    suspects: Vec<Suspect>,
    /// Upstreams that broke off under requests of this instance.
    disconnects: Vec<(UpstreamStart, Instant)>,
    /// Upstreams whose signals changed.
    changed_signals: BTreeSet<UpstreamId>,
    /// Recent requests, for a holder that begins its term.
    recent: VecDeque<(Instant, DemandKey)>,
    /// Whether nothing was reported yet on the current connection to a holder.
    is_new_connection: Arc<AtomicBool>,
}

/// What requests need: a model or adapter of a service, possibly at one software version only.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct DemandKey {
    service: ServiceName,
    model_ref: ModelRef,
    required_software: Option<SoftwareVersion>,
}

type ArrivalCounts = BTreeMap<DemandKey, u32>;

/// Requests of this instance that wait for one model or adapter.
#[derive(Debug, Clone, Copy)]
struct LocalWaiters {
    count: u32,
    /// When the last of the requests gives up.
    until: Instant,
}

fn encode_demand(key: &DemandKey, count: u32, timeout: Duration) -> ModelRequests {
    let ModelRef { model, adapter } = &key.model_ref;
    let required_software = key.required_software.as_ref();
    ModelRequests {
        service: key.service.to_string(),
        model: model.to_string(),
        adapter: adapter.as_deref().unwrap_or_default().to_owned(),
        remaining_wait_ms: u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX),
        count,
        required_software: required_software.map(ToString::to_string),
    }
}

impl Reporter {
    fn run(mut self, events: &Receiver<ReportEvent>) {
        let mut report_at = clock::now() + REPORT_INTERVAL;
        loop {
            let timeout = report_at.saturating_duration_since(clock::now());
            let received = self.shared.termination().receive_timeout(events, timeout);
            match received {
                Ok(event) => self.record(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for event in queue::waiting(events) {
                self.record(event);
            }
            let is_report_due = clock::now() >= report_at;
            if is_report_due {
                report_at = clock::now() + REPORT_INTERVAL;
            }
            self.expire_refused(clock::now());
            self.connect_to_holder();
            self.subscribe();
            if is_report_due
                || !self.unreported.is_empty()
                || !self.suspects.is_empty()
                || !self.disconnects.is_empty()
                || !self.changed_signals.is_empty()
                || self.is_new_connection.load(Ordering::Acquire)
            {
                self.send();
            }
        }
    }

    fn add_waiter(&mut self, key: DemandKey, until: Instant) {
        let waiters = self.waiting.entry(key.clone());
        let waiters = waiters.or_insert(LocalWaiters { count: 0, until });
        waiters.count += 1;
        waiters.until = waiters.until.max(until);
        self.unreported.insert(key);
    }

    fn remove_waiter(&mut self, key: DemandKey) {
        if let Some(waiters) = self.waiting.get_mut(&key) {
            waiters.count -= 1;
            if waiters.count == 0 {
                self.waiting.remove(&key);
            }
        }
        self.unreported.insert(key);
    }

    /// Refused requests count as waiting no longer than they would have waited.
    fn expire_refused(&mut self, now: Instant) {
        let expired: Vec<DemandKey> = self
            .refused
            .extract_if(.., |(until, _)| now >= *until)
            .map(|(_, key)| key)
            .collect();
        for key in expired {
            self.remove_waiter(key);
        }
    }

    fn record(&mut self, event: ReportEvent) {
        match event {
            ReportEvent::WaitStarted {
                service,
                model_ref,
                required_software,
                until,
            } => {
                let key = DemandKey {
                    service,
                    model_ref,
                    required_software,
                };
                self.add_waiter(key, until);
            }
            ReportEvent::WaitEnded {
                service,
                model_ref,
                required_software,
            } => self.remove_waiter(DemandKey {
                service,
                model_ref,
                required_software,
            }),
            ReportEvent::RefusedAsTooLate {
                service,
                model_ref,
                required_software,
                until,
            } => {
                let key = DemandKey {
                    service,
                    model_ref,
                    required_software,
                };
                self.refused.push((until, key.clone()));
                self.add_waiter(key, until);
            }
            ReportEvent::Suspect(suspect) => self.suspects.push(suspect),
            ReportEvent::StartBroken(start, at) => self.disconnects.push((start, at)),
            ReportEvent::SignalsChanged(upstream) => {
                self.changed_signals.insert(upstream);
            }
            // The message only wakes the thread, which then reports what is due.
            ReportEvent::HolderConnected => {}
            ReportEvent::RequestAccepted { service, model_ref } => {
                let now = clock::now();
                while self
                    .recent
                    .front()
                    .is_some_and(|(at, ..)| *at + RECENT_WINDOW < now)
                {
                    self.recent.pop_front();
                }
                // The rate of a model includes the requests that need one version.
                let key = DemandKey {
                    service,
                    model_ref,
                    required_software: None,
                };
                self.recent.push_back((now, key.clone()));
                *self.arrivals.entry(key).or_default() += 1;
            }
        }
    }

    /// Connects to the holder of leadership if it has changed.
    fn connect_to_holder(&mut self) {
        let Some(holder) = self.leadership.holder() else {
            return;
        };
        if self
            .dialed
            .as_ref()
            .is_some_and(|(known, _)| *known == holder)
        {
            return;
        }
        let (shared, link) = (self.shared.clone(), self.link.clone());
        let relay = self.relay.clone();
        {
            // Both changes happen under the lock, so that a message of the previous holder that is
            // being applied comes before both.
            let mut link = link.lock().unwrap_or_else(PoisonError::into_inner);
            *link = None;
            relay.holder_changed();
        }
        self.subscribed_at = None;
        let leadership = self.leadership.clone();
        let dialed_holder = holder.clone();
        let is_new_connection = self.is_new_connection.clone();
        let dialer = Dialer::start(holder.address, move |dialed| {
            let mut link = link.lock().unwrap_or_else(PoisonError::into_inner);
            if leadership.holder().as_ref() != Some(&dialed_holder) {
                // Another instance is the holder by now, and the dialer for it handles the
                // messages.
                return;
            }
            match dialed {
                DialEvent::Connected(outbox) => {
                    *link = Some(outbox);
                    is_new_connection.store(true, Ordering::Release);
                    drop(link);
                    shared.report(ReportEvent::HolderConnected);
                }
                DialEvent::Disconnected => {
                    *link = None;
                    relay.holder_disconnected();
                }
                DialEvent::Received(Body::Updates(message)) => {
                    apply_heartbeat(&shared, &message);
                    relay.receive(message);
                    drop(link);
                }
                DialEvent::Received(Body::CompressedUpdates(message)) => {
                    relay.receive_compressed(&message);
                    drop(link);
                }
                DialEvent::Received(Body::Members(members)) => {
                    drop(link);
                    *shared.members() = members::decode(&members);
                }
                DialEvent::Received(Body::NewHolder(term)) => {
                    // Like any message about leadership, it only counts while the store does not
                    // answer.
                    drop(link);
                    let holder = members::decode_holder(&term);
                    let is_same = |named: &Holder| named.instance == dialed_holder.instance;
                    if let Some(holder) = holder.filter(is_same)
                        && shared.store_health.is_failing()
                        && leadership.learn_holder(holder)
                    {
                        log::info!(fence = term.fence; "the same holder began a new term");
                    }
                }
                DialEvent::Received(Body::Dispatchers(dispatchers)) => {
                    drop(link);
                    let list = members::decode(&dispatchers).into_iter();
                    let list = list.map(|(instance, address)| Candidate { instance, address });
                    shared.dispatch.set_dispatchers(list.collect());
                }
                DialEvent::Received(Body::Suspects(suspects)) => {
                    drop(link);
                    for (start, at) in shared.poison.merge_disconnects(&suspects.disconnects) {
                        shared.upstreams().mark_unreachable(&start.upstream, at);
                    }
                    // Only a message about requests shows that the fleet's list was received.
                    if !suspects.suspects.is_empty() || suspects.disconnects.is_empty() {
                        shared.poison.merge_fleet_list(suspects);
                    }
                }
                DialEvent::Received(Body::KnownSignals(signals)) => {
                    drop(link);
                    signals::merge(&shared, signals);
                }
                DialEvent::Received(Body::Placements(placements)) => {
                    drop(link);
                    apply_placements(&shared, placements.engines);
                }
                DialEvent::Received(Body::PromiseRequest(wanted)) => {
                    if let Some(promise) =
                        answer_promise_request(&shared, &leadership, &dialed_holder, wanted)
                        && let Some(outbox) = link.as_ref()
                    {
                        outbox.send(Body::Promise(promise));
                    }
                }
                DialEvent::Received(_) => {}
            }
        });
        self.dialed = Some((holder, dialer));
    }

    /// Subscribes to the holder's updates, once this instance knows the feeds up to some revision.
    fn subscribe(&mut self) {
        let holder = self.leadership.holder();
        let has_no_other_holder =
            holder.is_none_or(|holder| holder.instance == self.shared.settings.instance);
        if self.is_new_connection.load(Ordering::Acquire) {
            self.subscribed_at = None;
        }
        // A subscription may be lost if the holder had not begun its term yet, so it is repeated.
        let requested_at = self.subscribed_at;
        let receives_all = self.relay.is_holder_alive() && !self.relay.needs_resend();
        if has_no_other_holder
            || receives_all
            || requested_at.is_some_and(|at| clock::since(at) < SUBSCRIBE_INTERVAL)
        {
            return;
        }
        let mut link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(outbox) = link.as_ref() else {
            return;
        };
        if self.relay.is_holder_silent() {
            // Either the connection or the holder may have failed; a new connection shows which.
            outbox.close();
            *link = None;
            self.relay.holder_disconnected();
            return;
        }
        let known = self.relay.known_revisions();
        let reads_store = self.relay.reads_unknown_feed() && !self.relay.needs_resend();
        if reads_store && !self.shared.store_health.is_failing() {
            // The store answers soon, which saves the holder sending everything.
            return;
        }
        outbox.send(Body::Subscribe(Subscribe {
            known_revisions: known.iter().map(|known| known.packed()).collect(),
            instance: self.shared.settings.instance.to_string(),
            address: self.shared.settings.peer_address.to_string(),
            has_low_cpu: self.leadership.has_low_cpu(),
            placement_digests: self.shared.upstreams().placement_digests().collect(),
        }));
        self.subscribed_at = Some(clock::now());
    }

    fn send(&mut self) {
        let link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(outbox) = link.as_ref() else {
            // Without a connection the changes are dropped: a new connection starts with a full
            // report.
            self.arrivals.clear();
            self.unreported.clear();
            self.suspects.clear();
            self.disconnects.clear();
            self.changed_signals.clear();
            return;
        };
        let mut arrivals = std::mem::take(&mut self.arrivals);
        let mut unreported = std::mem::take(&mut self.unreported);
        let mut suspects = poison::encode(std::mem::take(&mut self.suspects));
        let named: Vec<UpstreamId> = std::mem::take(&mut self.changed_signals)
            .into_iter()
            .collect();
        let mut signals = signals::encode_for_holder(&self.shared, Some(&named));
        if self.is_new_connection.swap(false, Ordering::AcqRel) {
            arrivals = recent_counts(&self.recent);
            unreported = self.waiting.keys().cloned().collect();
            self.last_running.clear();
            self.last_recorded_list = None;
            suspects = self.shared.poison.suspects();
            signals = signals::encode_for_holder(&self.shared, None);
        }
        if signals != KnownSignals::default() {
            outbox.send(Body::KnownSignals(signals));
        }
        suspects.disconnects = poison::encode_disconnects(&std::mem::take(&mut self.disconnects));
        if !suspects.suspects.is_empty() || !suspects.disconnects.is_empty() {
            outbox.send(Body::Suspects(suspects));
        }
        let now = clock::now();
        let waiting = unreported.iter().map(|key| match self.waiting.get(key) {
            Some(waiters) => encode_demand(
                key,
                waiters.count,
                waiters.until.saturating_duration_since(now),
            ),
            None => encode_demand(key, 0, Duration::ZERO),
        });
        let (waiting, waiting_for_software): (Vec<ModelRequests>, Vec<ModelRequests>) =
            waiting.partition(|requests| requests.required_software.is_none());
        let arrivals = arrivals
            .iter()
            .map(|(key, count)| encode_demand(key, *count, Duration::ZERO));
        let accepted: Vec<ModelRequests> = arrivals.collect();
        let upstreams = self.shared.upstreams();
        let running = upstreams
            .in_flight_by_model()
            .map(|(engine, model, count)| RunCount {
                engine: engine.to_string(),
                model: model.to_string(),
                count,
            });
        let mut running: Vec<RunCount> = running.collect();
        running
            .sort_by(|left, right| (&left.engine, &left.model).cmp(&(&right.engine, &right.model)));
        let has_waiting = !waiting.is_empty() || !waiting_for_software.is_empty();
        let recorded_list = self.shared.versions.recorded_list();
        let is_unchanged =
            running == self.last_running && Some(recorded_list) == self.last_recorded_list;
        if !has_waiting && accepted.is_empty() && is_unchanged {
            return;
        }
        self.last_recorded_list = Some(recorded_list);
        self.last_running.clone_from(&running);
        outbox.send(Body::InstanceReport(InstanceReport {
            instance: self.shared.settings.instance.to_string(),
            waiting,
            accepted,
            running,
            waiting_for_software,
            recorded_list: recorded_list.packed(),
        }));
    }
}

/// The answer to a holder that the store does not answer; `None` if this instance may acquire
/// leadership.
fn answer_promise_request(
    shared: &Shared,
    leadership: &LeadershipDriver,
    asker: &Holder,
    wanted: PromiseRequest,
) -> Option<Promise> {
    let is_stopping = shared.is_stopping();
    let store_answers = !shared.store_health.is_failing();
    let promises = is_stopping
        || leadership
            .answer_promise_request(&asker.instance, store_answers)
            .is_ok();
    promises.then(|| Promise {
        instance: shared.settings.instance.to_string(),
        fence: wanted.fence,
        asked_at_ms: wanted.asked_at_ms,
        is_leaving: is_stopping,
    })
}

/// Applies what a holder's message says besides the updates.
fn apply_heartbeat(shared: &Shared, message: &Updates) {
    if let Some(instances) = usize::try_from(message.instances).ok().filter(|n| *n > 0) {
        shared.set_instance_count(instances);
    }
    if message.queued_at_ms > 0 {
        let unconfirmed = message.unconfirmed.iter().map(|id| id.as_str().into());
        shared.set_unconfirmed_engines(unconfirmed.collect());
    }
}

/// Counts the recent requests by model and adapter.
fn recent_counts(recent: &VecDeque<(Instant, DemandKey)>) -> ArrivalCounts {
    let mut arrivals = ArrivalCounts::new();
    for (_, key) in recent {
        *arrivals.entry(key.clone()).or_default() += 1;
    }
    arrivals
}

fn apply_placements(shared: &Shared, engines: Vec<EnginePlacement>) {
    let mut upstreams = shared.upstreams();
    for placement in engines {
        let models = placement.models.into_iter().map(|model| ResidentModel {
            name: model.model.into(),
            adapters: model.adapters.into_iter().map(Into::into).collect(),
        });
        let evicting = placement.evicting.into_iter().map(Into::into);
        upstreams.set_placement(&placement.engine, models.collect(), evicting.collect());
    }
    drop(upstreams);
    shared.notify_upstreams_changed();
}
