//! Requests that crash upstreams, as this instance knows them and as they are told and kept.
//!
//! Each instance joins in what it sees itself, what the holder of the right to order tells, and what
//! lies in the store, where the holder keeps the requests that are refused or may be after the
//! next crash: a fleet that starts again knows them before it serves.

mod alone;
mod watch;

use crate::relay::millis_since;
use crate::right::Right;
use crate::shared::{ReportEvent, Shared};
use alone::{Alone, digest_of};
pub use alone::{Asked, Trial};
use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use passway_process::logging::json::DECISION_TARGET;
pub use passway_serving::poison::OPEN_TIME;
use passway_serving::poison::{
    Blame, PoisonList, RequestDigest, RunSpan, Standing, Suspect, UpstreamStart,
};
use passway_serving::ports::{ConditionalWrite, SharedStore, StoreRevision, WriteAnswer};
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::dispatch::Dispatch as Body;
use passway_wire::message::{self, Break, Crash, Suspects};
use prost::Message;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
pub use watch::REFUSAL_TIME;
use watch::Watched;

/// The key under which requests that crash upstreams lie in the store.
pub const KEY: &str = "passway/poison";
/// Requests that are told or kept at most, 150 bytes each: what a link of 10 Mbit/s carries in
/// 60 ms.
const MAX_TOLD: usize = 512;
/// From so many crashes on all instances are told of a request: the next one may be the last that is allowed, at
/// whichever it comes.
pub const TOLD_CRASHES: usize = 2;
/// Longest time that a word on a crash takes to another instance: what is told as so long ago is up to so much
/// longer ago.
const MOST_TELLING_MS: u64 = 100;
/// Pause between two writes of the list: two calls a second at most, while engines crash.
const WRITE_PAUSE: Duration = Duration::from_millis(500);

/// The list as it lies in the store.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
struct Kept {
    revision: StoreRevision,
    value: Vec<u8>,
}

/// What this instance knows of requests that crash upstreams.
#[derive(Debug)]
pub struct Poison {
    list: Mutex<PoisonList>,
    /// Whether nothing is known of any request; read on each request, without a lock.
    is_empty: AtomicBool,
    refused: AtomicUsize,
    /// Whether what the fleet knows was heard of since the process began.
    is_told: AtomicBool,
    kept: Mutex<Kept>,
    /// Which requests run alone among those like them.
    alone: Alone,
    /// Engines that broke off and are asked whether they have ended.
    watched: Watched,
    /// Wakes the thread that keeps the list in the store.
    wake: Sender<()>,
    woken: Receiver<()>,
}

impl Default for Poison {
    fn default() -> Self {
        let (wake, woken) = bounded(1);
        Self {
            list: Mutex::default(),
            is_empty: AtomicBool::new(true),
            refused: AtomicUsize::new(0),
            is_told: AtomicBool::new(false),
            kept: Mutex::default(),
            alone: Alone::default(),
            watched: Watched::default(),
            wake,
            woken,
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Poison {
    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.is_empty.load(Ordering::Acquire)
    }

    /// How many requests are refused.
    pub fn refused(&self) -> usize {
        self.refused.load(Ordering::Acquire)
    }

    /// Whether what the fleet knows was heard of, from the store or from the holder.
    pub fn is_told(&self) -> bool {
        self.is_told.load(Ordering::Acquire)
    }

    /// For how long a request is refused yet; `None` if it may be run.
    pub fn refused_for(&self, digest: RequestDigest) -> Option<Duration> {
        lock(&self.list).refused_for(digest, clock::now())
    }

    /// An upstream has crashed under a request that was sent at a moment. Returns what others are to be told.
    pub fn crashed(
        &self,
        digest: RequestDigest,
        crash: UpstreamStart,
        sent_at: Instant,
    ) -> Option<Suspect> {
        let news = lock(&self.list).crashed_run(digest, crash, sent_at, clock::now());
        self.changed();
        news
    }

    /// Whether a request may run while it is not known which upstreams have ended that broke off under it.
    pub fn standing(&self, digest: RequestDigest) -> Standing {
        lock(&self.list).standing(digest, clock::now())
    }

    /// An engine broke off under a request, and nothing tells yet whether it has ended.
    pub fn broke_off(
        shared: &Arc<Shared>,
        digest: RequestDigest,
        start: &UpstreamStart,
        sent_at: Instant,
        address: SocketAddr,
    ) {
        Self::doubt(shared, digest, start, sent_at, address);
        let now = clock::now();
        if lock(&shared.poison.list).note_break(start, now, now) {
            shared.report(ReportEvent::StartBroken(start.clone(), now));
            shared.upstreams().doubt(&start.upstream, now);
        }
    }

    /// An engine may have ended under a request, which was sent at a moment: it is asked.
    pub fn doubt(
        shared: &Arc<Shared>,
        digest: RequestDigest,
        start: &UpstreamStart,
        sent_at: Instant,
        address: SocketAddr,
    ) {
        let poison = &shared.poison;
        let now = clock::now();
        let news = lock(&poison.list).broke_off(digest, start.clone(), sent_at, now);
        poison.changed();
        if let Some(news) = news {
            Self::tell(shared, news);
        }
        watch::watch(shared, digest, start, address);
    }

    /// An upstream that broke off under a request runs on. Returns what others are to be told.
    fn lives(&self, digest: RequestDigest, start: UpstreamStart) -> Option<Suspect> {
        let news = lock(&self.list).lives(digest, start, clock::now());
        self.changed();
        news
    }

    /// Starts of an upstream before a moment in Unix milliseconds, by its own clock, have ended. Returns
    /// what others are to be told.
    pub fn ended(&self, upstream: &str, before_ms: u64) -> Vec<Suspect> {
        if self.is_empty() {
            return Vec::new();
        }
        let news = lock(&self.list).ended(upstream, before_ms, clock::now());
        self.changed();
        news
    }

    /// A request has had an answer. Returns what others are to be told.
    pub fn answered(&self, digest: RequestDigest) -> Option<Suspect> {
        let news = lock(&self.list).answered(digest);
        if news.is_some() {
            self.changed();
        }
        news
    }

    /// Takes in which upstreams broke off at other instances. Returns them.
    pub fn join_breaks(&self, told: &[Break]) -> Vec<(UpstreamStart, Instant)> {
        let now = clock::now();
        let mut list = lock(&self.list);
        let breaks = told.iter().map(|told| {
            let start = UpstreamStart {
                upstream: told.upstream.as_str().into(),
                started_at_ms: told.started_at_ms,
            };
            let at = now.checked_sub(Duration::from_millis(told.ms_ago));
            (start, at.unwrap_or(now))
        });
        let breaks: Vec<_> = breaks.collect();
        for (start, at) in &breaks {
            list.note_break(start, *at, now);
        }
        breaks
    }

    /// Tells others what became known of a request: the holder, which tells all, and from the second crash on all
    /// instances that are known here as well. The next run may be the last that is allowed, wherever it comes, and the
    /// holder may be slow or gone.
    pub fn tell(shared: &Shared, news: Suspect) {
        if news.crashes.len() >= TOLD_CRASHES {
            let suspects = encode(vec![news.clone()]);
            for address in shared.other_instances() {
                shared
                    .dispatch
                    .send(address, Body::Suspects(suspects.clone()));
            }
        }
        shared.report(ReportEvent::Suspect(news));
    }

    /// Joins in what the holder or the store tells. Returns the requests that were told, as they are known now.
    pub fn join(&self, told: Suspects) -> Vec<Suspect> {
        self.is_told.store(true, Ordering::Release);
        self.take_in(told)
    }

    /// Joins in what another instance tells, which is not all that the fleet knows.
    pub fn join_from_peer(&self, told: Suspects) {
        self.take_in(told);
    }

    fn take_in(&self, told: Suspects) -> Vec<Suspect> {
        let told: Vec<Suspect> = told.suspects.into_iter().filter_map(decode).collect();
        if told.is_empty() {
            return told;
        }
        let digests: Vec<RequestDigest> = told.iter().map(|suspect| suspect.digest).collect();
        let mut list = lock(&self.list);
        list.join(told, clock::now());
        let known = digests.iter().filter_map(|digest| list.get(*digest));
        let known = known.cloned().collect();
        drop(list);
        self.changed();
        known
    }

    /// What is known of requests that at least so many crashes tell of, as it is told.
    pub fn suspects(&self, min_crashes: usize) -> Suspects {
        encode(lock(&self.list).suspects(min_crashes))
    }

    /// The list lies so in the store; empty if it does not.
    pub fn seen_in_store(&self, revision: StoreRevision, value: &[u8]) {
        *lock(&self.kept) = Kept {
            revision,
            value: value.to_vec(),
        };
        match Suspects::decode(value) {
            Ok(told) => drop(self.join(told)),
            Err(error) => {
                log::warn!(error:% = error; "the list of refused requests cannot be read");
            }
        }
        self.look();
    }

    /// An operator has taken the list out of the store: the requests on it may run again. Returns
    /// what others are to be told.
    pub fn removed_from_store(&self) -> Vec<Suspect> {
        *lock(&self.kept) = Kept::default();
        let cleared = lock(&self.list).clear_kept();
        log::info!(target: DECISION_TARGET, cleared = cleared.len(); "requests that crash upstreams were cleared");
        self.changed();
        cleared
    }

    /// Lets the thread that keeps the list look whether it lies in the store as it is.
    pub fn look(&self) {
        match self.wake.try_send(()) {
            // A look that is due already will do.
            Ok(()) | Err(TrySendError::Full(())) => {}
            Err(TrySendError::Disconnected(())) => log::error!("nobody keeps refused requests"),
        }
    }

    fn changed(&self) {
        let list = lock(&self.list);
        let refused = list.refused();
        self.is_empty.store(list.is_empty(), Ordering::Release);
        drop(list);
        if self.refused.swap(refused, Ordering::AcqRel) != refused {
            log::info!(target: DECISION_TARGET, refused = refused; "requests that crash upstreams");
        }
        self.look();
    }

    /// The write that makes the store hold what is to be known when all have gone; `None` if it
    /// does.
    fn write(&self) -> Option<ConditionalWrite> {
        let mut kept = lock(&self.list).kept_suspects();
        // Times that passed would make it another value at each look.
        for suspect in &mut kept {
            suspect.runs.clear();
        }
        let value = encode(kept).encode_to_vec();
        let kept = lock(&self.kept);
        (kept.value != value).then(|| ConditionalWrite {
            key: KEY.to_owned(),
            expected: kept.revision,
            value: Some(value),
            lease: None,
        })
    }

    /// Keeps the list in the store while this instance has the right to order.
    pub fn keep(shared: &Arc<Shared>, right: &Arc<Right>, store: &Arc<dyn SharedStore>) {
        let (shared, right, store) = (shared.clone(), right.clone(), store.clone());
        std::thread::spawn(move || {
            let poison = &shared.poison;
            while poison.woken.recv().is_ok() {
                while right.term().is_some()
                    && let Some(write) = poison.write()
                {
                    let answer = store.write(std::slice::from_ref(&write));
                    if let (Ok(WriteAnswer::Written(revision)), Some(value)) = (answer, write.value)
                    {
                        *lock(&poison.kept) = Kept { revision, value };
                    }
                    // What more is heard of a crash goes into one write; or the watch tells what
                    // stands there now, or the store comes back.
                    std::thread::sleep(WRITE_PAUSE);
                }
            }
        });
    }
}

/// The message about requests, the first ones if there are too many.
pub fn encode(suspects: Vec<Suspect>) -> Suspects {
    let suspects = suspects.into_iter().take(MAX_TOLD);
    Suspects {
        suspects: suspects.map(encode_one).collect(),
        breaks: Vec::new(),
    }
}

/// Upstreams that broke off, as they are told.
pub fn encode_breaks(breaks: &[(UpstreamStart, Instant)]) -> Vec<Break> {
    let now = clock::now();
    let breaks = breaks.iter().map(|(start, at)| Break {
        upstream: start.upstream.to_string(),
        started_at_ms: start.started_at_ms,
        ms_ago: millis_since(*at, now),
    });
    breaks.collect()
}

fn encode_one(suspect: Suspect) -> message::Suspect {
    let now = clock::now();
    let crashes = suspect.crashes.into_iter().map(|(crash, blame)| {
        let run = suspect.runs.get(&crash);
        Crash {
            upstream: crash.upstream.to_string(),
            started_at_ms: crash.started_at_ms,
            blame: match blame {
                Blame::Full => 0,
                Blame::Explained => 1,
                Blame::Cleared => 2,
                Blame::Open => 3,
            },
            sent_ms_ago: run.map(|run| millis_since(run.sent_at, now)),
            broke_ms_ago: run.map(|run| millis_since(run.broke_at, now)),
        }
    });
    message::Suspect {
        digest: suspect.digest.0.to_vec(),
        crashes: crashes.collect(),
    }
}

/// One whose digest has another length comes from another build and is left out.
fn decode(told: message::Suspect) -> Option<Suspect> {
    let digest = digest_of(&told.digest)?;
    let now = clock::now();
    let ago = |ms: u64| now.checked_sub(Duration::from_millis(ms)).unwrap_or(now);
    let mut runs = BTreeMap::new();
    let crashes = told.crashes.into_iter().map(|crash| {
        let times = crash.sent_ms_ago.zip(crash.broke_ms_ago);
        let start = UpstreamStart {
            upstream: crash.upstream.into(),
            started_at_ms: crash.started_at_ms,
        };
        let blame = match crash.blame {
            0 => Blame::Full,
            1 => Blame::Explained,
            3 => Blame::Open,
            _ => Blame::Cleared,
        };
        if let Some((sent_ms, broke_ms)) = times {
            let run = RunSpan {
                sent_at: ago(sent_ms),
                broke_at: ago(broke_ms.saturating_add(MOST_TELLING_MS)),
            };
            runs.insert(start.clone(), run);
        }
        (start, blame)
    });
    let crashes = crashes.collect();
    Some(Suspect {
        digest,
        crashes,
        runs,
    })
}
