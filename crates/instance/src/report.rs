//! What this instance tells the holder of the right to order, and hears from it.

use crate::members;
use crate::poison;
use crate::relay::Relay;
use crate::right::Right;
use crate::shared::{ReportEvent, Shared};
use crate::words;
use crossbeam::channel::{Receiver, RecvTimeoutError};
use passway_process::dial::{Dialed, Dialer};
use passway_process::outbox::Outbox;
use passway_serving::poison::{Suspect, UpstreamStart};
use passway_serving::tenure::{Candidate, Holder};
use passway_serving::upstreams::{ModelRef, ResidentModel};
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::Body;
use passway_wire::message::{
    EnginePlacement, Needs, Promise, PromiseWanted, Running, Subscribe, Wish, Words,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

/// Time for which requests that were taken are told to a new holder: the time over
/// which it averages.
const RECENT: Duration = Duration::from_secs(4);
/// Pause between two reports of use when nothing waits.
const REPORT_PAUSE: Duration = Duration::from_millis(400);

/// Pause between two requests for the holder's news.
const SUBSCRIBE_PAUSE: Duration = Duration::from_millis(600);

type Link = Arc<Mutex<Option<Outbox>>>;

/// Reports for as long as the process lives.
pub fn start(
    shared: &Arc<Shared>,
    right: &Arc<Right>,
    relay: &Arc<Relay>,
    needs: Receiver<ReportEvent>,
) {
    let reporter = Reporter {
        shared: shared.clone(),
        right: right.clone(),
        relay: relay.clone(),
        link: Link::default(),
        subscribed_at: None,
        last_running: Vec::new(),
        dialed: None,
        taken: BTreeMap::new(),
        waiting: BTreeMap::new(),
        missed: Vec::new(),
        untold: BTreeSet::new(),
        suspects: Vec::new(),
        breaks: Vec::new(),
        words: BTreeSet::new(),
        recent: VecDeque::new(),
        is_new: Arc::default(),
    };
    std::thread::spawn(move || reporter.run(&needs));
}

struct Reporter {
    shared: Arc<Shared>,
    right: Arc<Right>,
    relay: Arc<Relay>,
    link: Link,
    subscribed_at: Option<Instant>,
    last_running: Vec<Running>,
    dialed: Option<(Holder, Dialer)>,
    taken: Taken,
    /// What requests wait for here.
    waiting: BTreeMap<WishKey, WaitingHere>,
    /// Requests that were refused at once, and until when they count as waiting.
    missed: Vec<(Instant, WishKey)>,
    /// What of it the holder was not told.
    untold: BTreeSet<WishKey>,
    /// Requests of which something became known that the holder was not told.
    suspects: Vec<Suspect>,
    /// Upstreams that broke off here.
    breaks: Vec<(UpstreamStart, Instant)>,
    /// Upstreams that said something else of themselves than before.
    words: BTreeSet<UpstreamId>,
    /// What was taken lately, for a holder that begins its term.
    recent: VecDeque<(Instant, WishKey)>,
    /// Set when a connection to a holder has been made that was told nothing yet.
    is_new: Arc<AtomicBool>,
}

/// A model or adapter of a service.
type WishKey = (ServiceName, ModelName, Option<AdapterName>);
type Taken = BTreeMap<WishKey, u32>;

/// Requests of this instance that wait for one model or adapter.
#[derive(Debug, Clone, Copy)]
struct WaitingHere {
    count: u32,
    /// When the last of them gives up.
    until: Instant,
}

fn key(service: ServiceName, wish: ModelRef) -> WishKey {
    (service, wish.model, wish.adapter)
}

fn wish((service, model, adapter): &WishKey, count: u32, wait: Duration) -> Wish {
    Wish {
        service: service.to_string(),
        model: model.to_string(),
        adapter: adapter.as_deref().unwrap_or_default().to_owned(),
        wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        count,
    }
}

impl Reporter {
    fn run(mut self, needs: &Receiver<ReportEvent>) {
        let mut report_at = clock::now() + REPORT_PAUSE;
        loop {
            let left = report_at.saturating_duration_since(clock::now());
            match needs.recv_timeout(left) {
                Ok(need) => self.take(need),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            while let Ok(need) = needs.try_recv() {
                self.take(need);
            }
            let due = clock::now() >= report_at;
            if due {
                report_at = clock::now() + REPORT_PAUSE;
            }
            self.end_missed(clock::now());
            self.dial();
            self.subscribe();
            if due
                || !self.untold.is_empty()
                || !self.suspects.is_empty()
                || !self.breaks.is_empty()
                || !self.words.is_empty()
                || self.is_new.load(Ordering::Acquire)
            {
                self.send();
            }
        }
    }

    fn wait_begins(&mut self, key: WishKey, until: Instant) {
        let here = self.waiting.entry(key.clone());
        let here = here.or_insert(WaitingHere { count: 0, until });
        here.count += 1;
        here.until = here.until.max(until);
        self.untold.insert(key);
    }

    fn wait_ends(&mut self, key: WishKey) {
        if let Some(here) = self.waiting.get_mut(&key) {
            here.count -= 1;
            if here.count == 0 {
                self.waiting.remove(&key);
            }
        }
        self.untold.insert(key);
    }

    /// Requests that were refused count as waiting no longer than they would have waited.
    fn end_missed(&mut self, now: Instant) {
        let over: Vec<WishKey> = self
            .missed
            .extract_if(.., |(until, _)| now >= *until)
            .map(|(_, key)| key)
            .collect();
        for key in over {
            self.wait_ends(key);
        }
    }

    fn take(&mut self, need: ReportEvent) {
        match need {
            ReportEvent::WaitStarted {
                service,
                model_ref,
                until,
            } => self.wait_begins(key(service, model_ref), until),
            ReportEvent::WaitEnded { service, model_ref } => {
                self.wait_ends(key(service, model_ref));
            }
            ReportEvent::RefusedAsTooLate {
                service,
                model_ref,
                until,
            } => {
                let key = key(service, model_ref);
                self.missed.push((until, key.clone()));
                self.wait_begins(key, until);
            }
            ReportEvent::Suspect(suspect) => self.suspects.push(suspect),
            ReportEvent::StartBroken(start, at) => self.breaks.push((start, at)),
            ReportEvent::SignalsChanged(upstream) => {
                self.words.insert(upstream);
            }
            // It is a reason to look, which follows in any case.
            ReportEvent::HolderConnected => {}
            ReportEvent::RequestAccepted { service, model_ref } => {
                let now = clock::now();
                while self
                    .recent
                    .front()
                    .is_some_and(|(at, ..)| *at + RECENT < now)
                {
                    self.recent.pop_front();
                }
                let key = key(service, model_ref);
                self.recent.push_back((now, key.clone()));
                *self.taken.entry(key).or_default() += 1;
            }
        }
    }

    /// Connects to the holder of the right, if it is another one than before.
    fn dial(&mut self) {
        let Some(holder) = self.right.holder() else {
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
            // Together: a word of the former holder that is being taken in comes before both.
            let mut link = link.lock().unwrap_or_else(PoisonError::into_inner);
            *link = None;
            relay.succeeded();
        }
        self.subscribed_at = None;
        let right = self.right.clone();
        let dialed_holder = holder.clone();
        let is_new = self.is_new.clone();
        let dialer = Dialer::start(holder.address, move |dialed| {
            let mut link = link.lock().unwrap_or_else(PoisonError::into_inner);
            if right.holder().as_ref() != Some(&dialed_holder) {
                // Another one holds the right by now; its own dialer speaks.
                return;
            }
            match dialed {
                Dialed::Connected(outbox) => {
                    *link = Some(outbox);
                    is_new.store(true, Ordering::Release);
                    drop(link);
                    shared.report(ReportEvent::HolderConnected);
                }
                Dialed::Disconnected => {
                    *link = None;
                    relay.lost();
                }
                Dialed::Received(Body::News(news)) => {
                    if let Some(instances) = usize::try_from(news.instances).ok().filter(|n| *n > 0)
                    {
                        shared.set_instance_count(instances);
                    }
                    if news.sent_ms > 0 {
                        let doubtful = news.doubtful.iter().map(|id| id.as_str().into());
                        shared.set_unconfirmed_engines(doubtful.collect());
                    }
                    relay.heard(news);
                    drop(link);
                }
                Dialed::Received(Body::Members(told)) => {
                    drop(link);
                    *shared.members() = members::decode(&told);
                }
                Dialed::Received(Body::Successor(term)) => {
                    // Believed like any other word about the right: while the store is silent.
                    drop(link);
                    let holder = members::successor(&term);
                    let is_same = |named: &Holder| named.instance == dialed_holder.instance;
                    if let Some(holder) = holder.filter(is_same)
                        && shared.store_health.is_failing()
                        && right.told(holder)
                    {
                        log::info!(fence = term.fence; "a new term of the same holder");
                    }
                }
                Dialed::Received(Body::Dispatchers(told)) => {
                    drop(link);
                    let list = members::decode(&told).into_iter();
                    let list = list.map(|(instance, address)| Candidate { instance, address });
                    shared.dispatch.set_dispatchers(list.collect());
                }
                Dialed::Received(Body::Suspects(told)) => {
                    drop(link);
                    for (start, at) in shared.poison.join_breaks(&told.breaks) {
                        shared.upstreams().doubt(&start.upstream, at);
                    }
                    // Only a word on requests says that what the fleet knows of them was told.
                    if !told.suspects.is_empty() || told.breaks.is_empty() {
                        shared.poison.join(told);
                    }
                }
                Dialed::Received(Body::Words(told)) => {
                    drop(link);
                    words::join(&shared, told);
                }
                Dialed::Received(Body::Placements(placements)) => {
                    drop(link);
                    placed(&shared, placements.engines);
                }
                Dialed::Received(Body::PromiseWanted(wanted)) => {
                    if let Some(promise) = promise(&shared, &right, &dialed_holder, wanted)
                        && let Some(outbox) = link.as_ref()
                    {
                        outbox.send(Body::Promise(promise));
                    }
                }
                Dialed::Received(_) => {}
            }
        });
        self.dialed = Some((holder, dialer));
    }

    /// Asks the holder for the store's news, once this instance knows it up to some point.
    fn subscribe(&mut self) {
        let holder = self.right.holder();
        let is_me = holder.is_none_or(|h| h.instance == self.shared.settings.instance);
        if self.is_new.load(Ordering::Acquire) {
            self.subscribed_at = None;
        }
        // The holder may not have begun its term when it was asked.
        let asked = self.subscribed_at;
        let hears_all = self.relay.is_heard() && !self.relay.wants_again();
        if is_me || hears_all || asked.is_some_and(|at| clock::since(at) < SUBSCRIBE_PAUSE) {
            return;
        }
        let mut link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(outbox) = link.as_ref() else {
            return;
        };
        if self.relay.is_silent() {
            // The connection may have fallen silent; a new one tells whether the holder has.
            outbox.close();
            *link = None;
            self.relay.lost();
            return;
        }
        let known = self.relay.known();
        let reads_itself = known.contains(&0) && !self.relay.wants_again();
        if reads_itself && !self.shared.store_health.is_failing() {
            // The store tells it soon, and the holder is spared telling everything.
            return;
        }
        outbox.send(Body::Subscribe(Subscribe {
            known: known.to_vec(),
            instance: self.shared.settings.instance.to_string(),
            address: self.shared.settings.peer_address.to_string(),
            is_weak: self.right.is_weak(),
            placements: self.shared.upstreams().placement_digests().collect(),
        }));
        self.subscribed_at = Some(clock::now());
    }

    fn send(&mut self) {
        let link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(outbox) = link.as_ref() else {
            // A new connection is told what was taken lately and what waits then.
            self.taken.clear();
            self.untold.clear();
            self.suspects.clear();
            self.breaks.clear();
            self.words.clear();
            return;
        };
        let mut taken = std::mem::take(&mut self.taken);
        let mut untold = std::mem::take(&mut self.untold);
        let mut suspects = poison::encode(std::mem::take(&mut self.suspects));
        let named: Vec<UpstreamId> = std::mem::take(&mut self.words).into_iter().collect();
        let mut said = words::encode_for_holder(&self.shared, Some(&named));
        if self.is_new.swap(false, Ordering::AcqRel) {
            taken = recent_counts(&self.recent);
            untold = self.waiting.keys().cloned().collect();
            self.last_running.clear();
            suspects = self.shared.poison.suspects(1);
            said = words::encode_for_holder(&self.shared, None);
        }
        if said != Words::default() {
            outbox.send(Body::Words(said));
        }
        suspects.breaks = poison::encode_breaks(&std::mem::take(&mut self.breaks));
        if !suspects.suspects.is_empty() || !suspects.breaks.is_empty() {
            outbox.send(Body::Suspects(suspects));
        }
        let now = clock::now();
        let waiting = untold.iter().map(|key| match self.waiting.get(key) {
            Some(here) => wish(key, here.count, here.until.saturating_duration_since(now)),
            None => wish(key, 0, Duration::ZERO),
        });
        let waiting: Vec<Wish> = waiting.collect();
        let taken = taken
            .iter()
            .map(|(key, count)| wish(key, *count, Duration::ZERO));
        let taken: Vec<Wish> = taken.collect();
        let upstreams = self.shared.upstreams();
        let running = upstreams.running().map(|(engine, model, count)| Running {
            engine: engine.to_string(),
            model: model.to_string(),
            count,
        });
        let mut running: Vec<Running> = running.collect();
        running.sort_by(|one, other| (&one.engine, &one.model).cmp(&(&other.engine, &other.model)));
        if waiting.is_empty() && taken.is_empty() && running == self.last_running {
            return;
        }
        self.last_running.clone_from(&running);
        outbox.send(Body::Needs(Needs {
            instance: self.shared.settings.instance.to_string(),
            waiting,
            taken,
            running,
        }));
    }
}

/// The answer to a holder that the store does not answer; `None` if this instance may take
/// the right.
fn promise(
    shared: &Shared,
    right: &Right,
    asker: &Holder,
    wanted: PromiseWanted,
) -> Option<Promise> {
    let leaves = shared.is_stopping();
    let store_answers = !shared.store_health.is_failing();
    let promises = leaves || right.promise(&asker.instance, store_answers).is_ok();
    promises.then(|| Promise {
        instance: shared.settings.instance.to_string(),
        fence: wanted.fence,
        asked_ms: wanted.asked_ms,
        leaves,
    })
}

/// Counts what was taken lately.
fn recent_counts(recent: &VecDeque<(Instant, WishKey)>) -> Taken {
    let mut taken = Taken::new();
    for (_, key) in recent {
        *taken.entry(key.clone()).or_default() += 1;
    }
    taken
}

fn placed(shared: &Shared, engines: Vec<EnginePlacement>) {
    let mut upstreams = shared.upstreams();
    for placement in engines {
        let models = placement.models.into_iter().map(|model| ResidentModel {
            name: model.model.into(),
            adapters: model.adapters.into_iter().map(Into::into).collect(),
        });
        let closing = placement.closing.into_iter().map(Into::into);
        upstreams.set_placement(&placement.engine, models.collect(), closing.collect());
    }
    drop(upstreams);
    shared.notify_upstreams_changed();
}
