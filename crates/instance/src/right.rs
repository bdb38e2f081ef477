//! The right to give orders: one key under a lease, held by one instance at a time.
//!
//! [`Tenure`] decides; here are the thread that makes its calls to the store and the
//! feed that tells it what stands there.

use crate::allotments;
use crate::feeds::{Feed, follow};
use crate::holder::{FeedNews, Input};
use crate::poison;
use crate::relay::{Tap, millis};
use crate::shared::{ReportEvent, Shared};
use crossbeam::channel::Sender;
use passway_process::logging::json::DECISION_TARGET;
use passway_serving::ports::{
    ConditionalWrite, LeaseId, Listing, SharedStore, StoreChange, StoreError, StoredValue,
};
use passway_serving::tenure::{
    Candidate, Holder, NoPromise, RecentHolders, Step, Tenure, TenureLimits,
};
use passway_types::clock;
use passway_types::prelude::*;
use rand::RngExt;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

/// The prefix of passway's own keys.
const OWN_PREFIX: &str = "passway/";
/// The key that the holder keeps: its name and address.
const HOLDER_KEY: &str = "passway/holder";
/// The key that names who has held the right lately, the last one last.
const RECENT_KEY: &str = "passway/holders";
/// Time-to-live of the holder's lease, unless the store has a longer shortest one.
const LEASE_TIME: Duration = Duration::from_millis(1_200);
/// An instance with less processor than this lets others take the key: on the grown
/// market site's calm day the holder used 0.135 of a core.
const WEAK_PART: f64 = 0.2;
/// A candidate asks the store itself for so long after a holder asked it for a promise:
/// three of the holder's heartbeats.
const ASKED_TIME: Duration = Duration::from_secs(1);

/// The right to order, as this instance knows it.
#[derive(Debug)]
pub struct Right {
    tenure: Mutex<Tenure>,
    changed: Condvar,
    /// When a holder asked last for a promise.
    asked_at: Mutex<Option<Instant>>,
    /// What it was answered, so that each change is told.
    answered: Mutex<Option<Result<(), NoPromise>>>,
    is_weak: bool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn encode(shared: &Shared) -> Vec<u8> {
    let settings = &shared.settings;
    format!("{} {}", settings.instance, settings.peer_address).into_bytes()
}

fn decode(value: &StoredValue) -> Option<Holder> {
    let text = std::str::from_utf8(&value.value).ok()?;
    let (instance, address) = text.split_once(' ')?;
    Some(Holder {
        instance: instance.into(),
        address: address.parse().ok()?,
        fence: value.revision,
    })
}

/// One line with the names of holders, one with candidates and their addresses.
fn encode_recent(recent: &RecentHolders) -> Vec<u8> {
    let candidates = recent.candidates.iter();
    let candidates = candidates.map(|one| format!("{}={}", one.instance, one.address));
    let candidates: Vec<String> = candidates.collect();
    format!("{}\n{}", recent.names.join(" "), candidates.join(" ")).into_bytes()
}

fn decode_recent(value: &StoredValue) -> RecentHolders {
    let text = String::from_utf8_lossy(&value.value);
    let mut lines = text.lines();
    let names = lines.next().unwrap_or_default().split_whitespace();
    let candidates = lines.next().unwrap_or_default().split_whitespace();
    RecentHolders {
        names: names.map(Into::into).collect(),
        candidates: candidates.filter_map(decode_candidate).collect(),
        revision: value.revision,
    }
}

/// One whose address cannot be read is left out: it finds itself on no list, and waits like
/// any other instance that is no candidate.
fn decode_candidate(text: &str) -> Option<Candidate> {
    let (instance, address) = text.rsplit_once('=')?;
    Some(Candidate {
        instance: instance.into(),
        address: address.parse().ok()?,
    })
}

impl Right {
    /// Nothing is known yet of who holds the right.
    pub fn new(shared: &Shared) -> Self {
        let settings = &shared.settings;
        let bounds = shared.bounds.load();
        let is_weak = settings.processor_part < WEAK_PART;
        let limits = TenureLimits {
            lease: LEASE_TIME.max(bounds.shortest_lease),
            gap: bounds.holder_gap,
            is_weak,
        };
        Self {
            tenure: Mutex::new(Tenure::new(settings.instance.clone(), limits, clock::now())),
            changed: Condvar::new(),
            asked_at: Mutex::default(),
            answered: Mutex::default(),
            is_weak,
        }
    }

    /// Whether others had better hold the right, since this instance has little processor.
    pub fn is_weak(&self) -> bool {
        self.is_weak
    }

    /// Follows the key and takes it whenever nobody holds it.
    pub fn start(
        self: &Arc<Self>,
        shared: &Arc<Shared>,
        store: &Arc<dyn SharedStore>,
        tap: Tap,
        holder: Sender<Input>,
        news: Sender<FeedNews>,
    ) {
        let feed = HolderFeed {
            right: self.clone(),
            shared: shared.clone(),
        };
        follow(store.clone(), tap, news, feed);
        let (keeping, shared, store) = (self.clone(), shared.clone(), store.clone());
        std::thread::spawn(move || keeping.keep(&shared, &*store, &holder));
    }

    fn tenure(&self) -> MutexGuard<'_, Tenure> {
        lock(&self.tenure)
    }

    /// Changes what is known, and lets the thread that keeps the right look at it.
    fn update(&self, change: impl FnOnce(&mut Tenure)) {
        change(&mut self.tenure());
        self.changed.notify_all();
    }

    /// Who holds the right.
    pub fn holder(&self) -> Option<Holder> {
        self.tenure().holder().cloned()
    }

    /// Another instance says that it holds the right; whether that is news.
    pub fn told(&self, holder: Holder) -> bool {
        let is_news = self.tenure().told(holder);
        self.changed.notify_all();
        is_news
    }

    /// My fencing number, if I may give an order now.
    pub fn fence(&self) -> Option<Fence> {
        self.tenure().fence(clock::now())
    }

    /// My fencing number for as long as my term lasts, also while I may not order.
    pub fn term(&self) -> Option<Fence> {
        self.tenure().term(clock::now())
    }

    /// My fencing number, if the candidates are to promise that they do not take the right:
    /// the store did not answer the last renewal.
    pub fn asks_promises(&self) -> Option<Fence> {
        self.tenure().asks_promises(clock::now())
    }

    /// Whether this instance promises a holder not to take the right for a while.
    ///
    /// # Errors
    /// Why it does not.
    pub fn promise(&self, asker: &InstanceId, store_answers: bool) -> Result<(), NoPromise> {
        let now = clock::now();
        let before = lock(&self.asked_at).replace(now);
        let answer = self.tenure().promise(asker, store_answers, now);
        let is_first = before.is_none_or(|at| now > at + ASKED_TIME);
        let told = Some(answer);
        if lock(&self.answered).replace(answer) != told || is_first {
            log::info!(target: DECISION_TARGET, holder:% = asker, answer:? = answer; "asked for a promise not to take the right to order");
        }
        answer
    }

    /// The candidates of my term without whose word it does not go on beyond its lease.
    pub fn without_promise(&self) -> Vec<InstanceId> {
        self.tenure().without_promise(clock::now())
    }

    /// Whether a holder has asked for a promise lately, so that this instance had better
    /// find out whether the store answers.
    fn is_asked(&self) -> bool {
        lock(&self.asked_at).is_some_and(|at| clock::since(at) < ASKED_TIME)
    }

    /// A candidate promises, asked at a moment.
    pub fn promised(&self, from: &InstanceId, fence: Fence, asked_at: Instant) {
        self.update(|tenure| tenure.promised(from, fence, asked_at));
    }

    /// A candidate's process ends.
    pub fn left(&self, from: &InstanceId, fence: Fence) {
        self.update(|tenure| tenure.left(from, fence));
    }

    /// The candidates that a term of mine should have.
    pub fn want_candidates(&self, wanted: Vec<Candidate>) {
        self.update(|tenure| tenure.want_candidates(wanted));
    }

    /// Whether nobody else had the right between this instance's last two terms.
    pub fn succeeds_itself(&self) -> bool {
        self.tenure().succeeds_itself()
    }

    /// Candidates that the store named before my term: they may carry another holder.
    pub fn former_candidates(&self) -> Vec<Candidate> {
        self.tenure().former_candidates().to_vec()
    }

    /// Gives the right back, so that another instance can take it at once.
    pub fn release(&self) {
        self.update(Tenure::release);
    }

    /// Takes in how long the store took to answer a call that was made at a moment.
    fn note_answer<T>(&self, answer: &Result<T, StoreError>, asked_at: Instant) {
        if answer.is_ok() {
            self.tenure().answered_within(clock::since(asked_at));
        }
    }

    /// Takes and renews the right for as long as the process lives.
    fn keep(&self, shared: &Shared, store: &dyn SharedStore, holder: &Sender<Input>) {
        let mut held = None;
        loop {
            let mut tenure = self.tenure();
            tenure.set_gap(shared.bounds.load().holder_gap);
            let drawn = rand::rng().random_range(0.0..1.0);
            let answers = !shared.store_health.is_failing();
            let now = clock::now();
            let step = tenure.step(drawn, answers, now);
            if matches!(step, Step::End(_))
                && let Some(fence) = held.take()
            {
                log_end(fence, &tenure, now);
            }
            match step {
                Step::Wait(until) => {
                    // It is looked again in any case.
                    let left = until.saturating_duration_since(now);
                    drop(self.changed.wait_timeout(tenure, left));
                }
                Step::Grant => {
                    let time = tenure.lease_time();
                    drop(tenure);
                    let answer = store.grant_lease(time);
                    self.note_answer(&answer, now);
                    self.tenure().granted(answer, now);
                }
                Step::Take(lease) => {
                    let recent = tenure.recent_with_me();
                    drop(tenure);
                    let answer = store.write(&taking(shared, lease, &recent));
                    self.note_answer(&answer, now);
                    held = self.tenure().taken(&answer, clock::now());
                    if let Some(fence) = held {
                        log::info!(target: DECISION_TARGET, fence = fence; "holds the right to order");
                        shared.allotments.term_begun();
                        // The deciding thread ends only with the process.
                        let _ = holder.send(Input::TermBegun);
                    }
                }
                Step::Renew(lease) => {
                    let longest = tenure.renewal_time();
                    drop(tenure);
                    let answer = store.renew_lease_within(lease, longest);
                    self.note_answer(&answer, now);
                    if answer == Ok(true) {
                        shared.store_health.answered();
                    }
                    self.tenure().renewed(answer, now, clock::now());
                }
                Step::List => {
                    let recent = tenure.recent_with_candidates();
                    drop(tenure);
                    let answer = store.write(&[listing(&recent)]);
                    log::info!(target: DECISION_TARGET, candidates = recent.candidates.len(), answer:? = answer; "list of candidates");
                    self.tenure().listed(&answer, recent, clock::now());
                }
                Step::End(lease) => {
                    drop(tenure);
                    end(store, lease);
                    self.tenure().ended(clock::now());
                }
                Step::Stop => return,
            }
        }
    }
}

fn log_end(fence: Fence, tenure: &Tenure, now: Instant) {
    let without_promise = tenure.without_promise(now);
    let end = tenure.last_end();
    let overdue_ms = end.map_or(0, |end| millis(end.overdue));
    log::info!(target: DECISION_TARGET, fence = fence, cause:? = end.map(|end| end.cause),
        unanswered = end.map_or(0, |end| end.unanswered), overdue_ms = overdue_ms,
        without_promise:? = without_promise;
        "lost the right to order");
}

/// The writes that take the key if nobody has it, and if nobody had it since the list of
/// holders was read. The key is the last: the revision of the whole is then its own, the
/// fencing number that all others read.
fn taking(shared: &Shared, lease: LeaseId, recent: &RecentHolders) -> [ConditionalWrite; 2] {
    [
        listing(recent),
        ConditionalWrite {
            key: HOLDER_KEY.to_owned(),
            expected: 0,
            value: Some(encode(shared)),
            lease: Some(lease),
        },
    ]
}

/// The write of the list of holders, if nobody wrote it since it was read.
fn listing(recent: &RecentHolders) -> ConditionalWrite {
    ConditionalWrite {
        key: RECENT_KEY.to_owned(),
        expected: recent.revision,
        value: Some(encode_recent(recent)),
        lease: None,
    }
}

fn end(store: &dyn SharedStore, lease: LeaseId) {
    if store.end_lease(lease).is_err() {
        log::debug!(lease = lease; "a lease could not be ended and runs out");
    }
}

struct HolderFeed {
    right: Arc<Right>,
    shared: Arc<Shared>,
}

impl Feed for HolderFeed {
    fn prefix(&self) -> String {
        OWN_PREFIX.to_owned()
    }

    fn listed(&mut self, listing: &Listing) {
        let find = |key| listing.values.iter().find(|value| value.key == key);
        let holder = find(HOLDER_KEY).and_then(decode);
        let recent = find(RECENT_KEY).map(decode_recent).unwrap_or_default();
        let refused = find(poison::KEY).map(|value| (value.revision, &*value.value));
        let (revision, value) = refused.unwrap_or_default();
        self.shared.poison.seen_in_store(revision, value);
        let half_full = find(allotments::KEY).map(|value| (value.revision, &*value.value));
        let (revision, value) = half_full.unwrap_or_default();
        self.shared.allotments.seen_in_store(revision, value);
        self.right.update(|tenure| {
            tenure.seen_recent(recent);
            tenure.seen(holder);
        });
    }

    fn changed(&mut self, change: &StoreChange) -> bool {
        match change {
            StoreChange::Written(value) if value.key == HOLDER_KEY => {
                self.right.update(|tenure| tenure.seen(decode(value)));
            }
            StoreChange::Written(value) if value.key == RECENT_KEY => {
                let recent = decode_recent(value);
                self.right.update(|tenure| tenure.seen_recent(recent));
            }
            StoreChange::Written(value) if value.key == poison::KEY => {
                let poison = &self.shared.poison;
                poison.seen_in_store(value.revision, &value.value);
            }
            StoreChange::Written(value) if value.key == allotments::KEY => {
                let allotments = &self.shared.allotments;
                allotments.seen_in_store(value.revision, &value.value);
            }
            StoreChange::Removed { key, .. } if key == allotments::KEY => {
                self.shared.allotments.seen_in_store(0, &[]);
            }
            StoreChange::Removed { key, .. } if key == poison::KEY => {
                for suspect in self.shared.poison.removed_from_store() {
                    self.shared.report(ReportEvent::Suspect(suspect));
                }
            }
            StoreChange::Removed { key, .. } if key == HOLDER_KEY => {
                self.right.update(|tenure| tenure.seen(None));
            }
            _ => {}
        }
        false
    }

    fn settled(&mut self) -> Duration {
        Duration::ZERO
    }

    fn must_ask(&self) -> bool {
        self.right.is_asked()
    }

    fn shared(&self) -> &Shared {
        &self.shared
    }
}
