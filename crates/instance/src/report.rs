//! What this instance tells the holder of the right to order, and hears from it.

use crate::relay::Relay;
use crate::right::Right;
use crate::shared::{Need, Shared};
use crossbeam::channel::{Receiver, RecvTimeoutError};
use passway_process::dial::{Dialed, Dialer};
use passway_process::outbox::Outbox;
use passway_serving::tenure::Holder;
use passway_serving::upstreams::{ModelWish, ResidentModel};
use passway_types::prelude::*;
use passway_wire::Body;
use passway_wire::message::{EnginePlacement, Needs, Running, Subscribe, Wish};
use std::collections::{BTreeMap, VecDeque};
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
pub fn start(shared: &Arc<Shared>, right: &Arc<Right>, relay: &Arc<Relay>, needs: Receiver<Need>) {
    let reporter = Reporter {
        shared: shared.clone(),
        right: right.clone(),
        relay: relay.clone(),
        link: Link::default(),
        subscribed_at: None,
        last_running: Vec::new(),
        dialed: None,
        taken: BTreeMap::new(),
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
    /// What was taken lately, for a holder that begins its term.
    recent: VecDeque<(Instant, ServiceName, ModelWish)>,
    /// Set when a connection to a holder has been made that was told nothing yet.
    is_new: Arc<AtomicBool>,
}

type Taken = BTreeMap<(ServiceName, ModelName, Option<AdapterName>), u32>;

fn wish(service: &ServiceName, wish: &ModelWish, number: u32) -> Wish {
    Wish {
        service: service.to_string(),
        model: wish.model.to_string(),
        adapter: wish.adapter.as_deref().unwrap_or_default().to_owned(),
        number,
    }
}

impl Reporter {
    fn run(mut self, needs: &Receiver<Need>) {
        let mut report_at = Instant::now() + REPORT_PAUSE;
        loop {
            let left = report_at.saturating_duration_since(Instant::now());
            let mut waiting = Vec::new();
            match needs.recv_timeout(left) {
                Ok(need) => self.take(need, &mut waiting),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            while let Ok(need) = needs.try_recv() {
                self.take(need, &mut waiting);
            }
            let due = Instant::now() >= report_at;
            if due {
                report_at = Instant::now() + REPORT_PAUSE;
            }
            self.dial();
            self.subscribe();
            if due || !waiting.is_empty() || self.is_new.load(Ordering::Acquire) {
                self.send(waiting);
            }
        }
    }

    fn take(&mut self, need: Need, waiting: &mut Vec<Wish>) {
        match need {
            Need::Waits {
                service,
                wish: wanted,
                until,
            } => {
                let left = until.saturating_duration_since(Instant::now());
                let left_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
                waiting.push(wish(&service, &wanted, left_ms));
            }
            Need::Taken { service, wish } => {
                let now = Instant::now();
                while self
                    .recent
                    .front()
                    .is_some_and(|(at, ..)| *at + RECENT < now)
                {
                    self.recent.pop_front();
                }
                self.recent.push_back((now, service.clone(), wish.clone()));
                *self
                    .taken
                    .entry((service, wish.model, wish.adapter))
                    .or_default() += 1;
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
        *link.lock().unwrap_or_else(PoisonError::into_inner) = None;
        relay.lost();
        self.subscribed_at = None;
        let right = self.right.clone();
        let dialed_holder = holder.clone();
        let is_new = self.is_new.clone();
        let dialer = Dialer::start(holder.address, move |dialed| {
            if right.holder().as_ref() != Some(&dialed_holder) {
                // Another one holds the right by now; its own dialer speaks.
                return;
            }
            let mut link = link.lock().unwrap_or_else(PoisonError::into_inner);
            match dialed {
                Dialed::Connected(outbox) => {
                    *link = Some(outbox);
                    is_new.store(true, Ordering::Release);
                }
                Dialed::Disconnected => {
                    *link = None;
                    relay.lost();
                }
                Dialed::Received(Body::News(news)) => {
                    drop(link);
                    if let Some(instances) = usize::try_from(news.instances).ok().filter(|n| *n > 0)
                    {
                        shared.use_instances(instances);
                    }
                    relay.heard(news);
                }
                Dialed::Received(Body::Placements(placements)) => {
                    drop(link);
                    placed(&shared, placements.engines);
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
        // The holder may not have begun its term when it was asked.
        let asked = self.subscribed_at;
        if is_me || self.relay.is_live() || asked.is_some_and(|at| at.elapsed() < SUBSCRIBE_PAUSE) {
            return;
        }
        let link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
        let (Some(outbox), Some(known)) = (link.as_ref(), self.relay.known()) else {
            return;
        };
        outbox.send(Body::Subscribe(Subscribe {
            known: known.to_vec(),
        }));
        self.subscribed_at = Some(Instant::now());
    }

    fn send(&mut self, waiting: Vec<Wish>) {
        let link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(outbox) = link.as_ref() else {
            return;
        };
        let mut taken = std::mem::take(&mut self.taken);
        if self.is_new.swap(false, Ordering::AcqRel) {
            taken = recent_counts(&self.recent);
            self.last_running.clear();
        }
        let taken = taken.into_iter().map(|((service, model, adapter), count)| {
            wish(&service, &ModelWish { model, adapter }, count)
        });
        let upstreams = self.shared.upstreams();
        let running = upstreams.running().map(|(engine, model, count)| Running {
            engine: engine.to_string(),
            model: model.to_string(),
            count,
        });
        let mut running: Vec<Running> = running.collect();
        running.sort_by(|one, other| (&one.engine, &one.model).cmp(&(&other.engine, &other.model)));
        let taken: Vec<Wish> = taken.collect();
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

/// Counts what was taken lately.
fn recent_counts(recent: &VecDeque<(Instant, ServiceName, ModelWish)>) -> Taken {
    let mut taken = Taken::new();
    for (_, service, wish) in recent {
        let key = (service.clone(), wish.model.clone(), wish.adapter.clone());
        *taken.entry(key).or_default() += 1;
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
    shared.upstreams_changed();
}
