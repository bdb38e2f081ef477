//! Watches whether this instance reaches upstreams at all, and which other instances take its
//! requests if not.
//!
//! A failed connection starts a check: the instance tries to connect to two other upstreams. If it
//! reaches none, it asks other instances by datagram whether they do. It counts as cut off only if
//! another instance has connected to an upstream since its own connections began to fail. Checks go
//! on until a connection succeeds. If a holder stays cut off, it hands the leadership over.

use crate::queries::PendingQueries;
use crate::relay::millis;
use crate::shared::Shared;
use crossbeam::channel::{Receiver, Sender, bounded};
use passway_process::logging::json::DECISION_TARGET;
use passway_serving::halls::AllowedRegions;
use passway_serving::leadership::EngineAccess;
use passway_serving::paths::{PathState, PeerOffer, UpstreamPaths, choose_peer};
use passway_serving::upstreams::UpstreamEntry;
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::dispatch::{Dispatch as Body, PathAnswer, PathQuery};
use rand::seq::SliceRandom;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Number of upstreams that a check tries to connect to at the same time.
const PROBED_UPSTREAMS: usize = 2;
/// Time to connect to an upstream in a check; a round trip takes a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval between two checks while no connection succeeds.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The same until another instance has shown that it reaches upstreams.
const FIRST_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of checks at the shorter interval.
const FIRST_CHECKS: u32 = 8;
/// Shortest time between the begins of two checks while connections succeed: upstreams that
/// restart cause no more than this.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of instances that are asked in one check.
const MAX_PEERS_ASKED: usize = 8;
/// Time for their answers: a round trip between halls takes about 3 ms, and an instance with a
/// fraction of a core may start late.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
/// An offer of another instance is used for this long: two checks with their probes.
const OFFER_TTL: Duration = Duration::from_millis(900);
/// Maximum number of requests that an instance serves for others at the same time, so that they do
/// not take all of its memory and time from its own callers.
pub const MAX_PEER_REQUESTS: usize = 128;
/// A query from another instance starts a check if this one has connected to no upstream for this
/// long, so that it can answer the next query.
const MAX_PROOF_AGE: Duration = Duration::from_millis(150);
/// A holder that is cut off for this long hands the leadership over: longer than a cut that is
/// noticed by mistake, and short against the time for which no model would be loaded.
const HAND_OVER_DELAY: Duration = Duration::from_secs(1);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The offers of other instances, and until when they may be used.
#[derive(Debug, Default)]
struct Offers {
    offers: Vec<PeerOffer>,
    until: Option<Instant>,
}

/// The paths of an instance to the upstreams.
#[derive(Debug)]
pub struct PathMonitor {
    paths: Mutex<UpstreamPaths>,
    state: Mutex<PathState>,
    offers: Mutex<Offers>,
    /// Requests of this instance that other instances are serving, by instance.
    passed_on: Mutex<BTreeMap<InstanceId, u32>>,
    /// Number of requests that this instance is serving for others.
    peer_requests: AtomicUsize,
    queries: PendingQueries<(SocketAddr, PathAnswer)>,
    check_sender: Sender<()>,
    check_receiver: Receiver<()>,
}

impl Default for PathMonitor {
    fn default() -> Self {
        // A waiting check covers all failures until it begins.
        let (check_sender, check_receiver) = bounded(1);
        Self {
            paths: Mutex::default(),
            state: Mutex::default(),
            offers: Mutex::default(),
            passed_on: Mutex::default(),
            peer_requests: AtomicUsize::new(0),
            queries: PendingQueries::default(),
            check_sender,
            check_receiver,
        }
    }
}

/// Counts a request that another instance serves, or that this one serves for another, until it is
/// dropped.
#[derive(Debug)]
pub struct PeerRequestGuard {
    shared: Arc<Shared>,
    /// The instance that serves the request; `None` if this one does.
    served_by: Option<InstanceId>,
}

impl Drop for PeerRequestGuard {
    fn drop(&mut self) {
        let monitor = &self.shared.paths;
        let Some(instance) = &self.served_by else {
            monitor.peer_requests.fetch_sub(1, Ordering::AcqRel);
            return;
        };
        let mut passed_on = lock(&monitor.passed_on);
        if let Some(count) = passed_on.get_mut(instance) {
            *count -= 1;
            if *count == 0 {
                passed_on.remove(instance);
            }
        }
    }
}

impl PathMonitor {
    /// The state of the paths by the last check.
    pub fn state(&self) -> PathState {
        *lock(&self.state)
    }

    /// Records that a connection to an upstream was established.
    pub fn record_connected(&self, shared: &Shared) {
        lock(&self.paths).record_connected(clock::now());
        if self.state() != PathState::Working {
            self.set_state(shared, PathState::Working);
        }
    }

    /// Records that an attempt to connect to an upstream has failed, and starts a check.
    pub fn record_unreachable(&self, id: &UpstreamId) {
        lock(&self.paths).record_unreachable(id, clock::now());
        self.request_check();
    }

    /// Starts a check, because a connection to an upstream broke or fell silent.
    pub fn request_check(&self) {
        // If the channel is full, a check waits already.
        let _ = self.check_sender.try_send(());
    }

    fn set_state(&self, shared: &Shared, state: PathState) {
        let previous = std::mem::replace(&mut *lock(&self.state), state);
        if previous != state {
            log::info!(target: DECISION_TARGET, before = previous.name(), now = state.name();
                "the paths to the upstreams changed");
            if state != PathState::CutOff
                && let Some(leadership) = shared.leadership()
            {
                leadership.set_engine_access(EngineAccess::Reachable);
            }
            shared.notify_upstreams_changed();
        }
    }

    /// The instance that a request is passed on to, if this one is cut off and another instance
    /// takes requests. `tried` are the instances that the request was passed on to before.
    pub fn choose_peer(
        &self,
        shared: &Shared,
        allowed: &AllowedRegions,
        tried: &[InstanceId],
        random: u64,
    ) -> Option<PeerOffer> {
        if self.state() != PathState::CutOff {
            return None;
        }
        let offers = lock(&self.offers);
        if offers.until.is_none_or(|until| clock::now() >= until) {
            return None;
        }
        let upstreams = shared.upstreams();
        let usable = offers.offers.iter().filter(|offer| {
            !tried.contains(&offer.instance) && upstreams.admits_hall(&offer.hall, allowed)
        });
        let usable: Vec<PeerOffer> = usable.cloned().collect();
        drop((upstreams, offers));
        let passed_on = lock(&self.passed_on);
        let own_requests = |instance: &InstanceId| passed_on.get(instance).copied().unwrap_or(0);
        choose_peer(&usable, &shared.settings.hall, own_requests, random).cloned()
    }

    /// Withdraws the offer of an instance that did not take a request.
    pub fn drop_offer(&self, instance: &InstanceId) {
        let mut offers = lock(&self.offers);
        offers.offers.retain(|offer| offer.instance != *instance);
    }

    /// Counts a request that another instance serves.
    pub fn count_passed_on(shared: &Arc<Shared>, instance: &InstanceId) -> PeerRequestGuard {
        *lock(&shared.paths.passed_on)
            .entry(instance.clone())
            .or_default() += 1;
        PeerRequestGuard {
            shared: shared.clone(),
            served_by: Some(instance.clone()),
        }
    }

    /// Admits a request of another instance; `None` if this one serves as many as it may.
    #[must_use = "the request counts until the guard is dropped"]
    pub fn admit_peer_request(shared: &Arc<Shared>) -> Option<PeerRequestGuard> {
        let count = &shared.paths.peer_requests;
        let guard = PeerRequestGuard {
            shared: shared.clone(),
            served_by: None,
        };
        (count.fetch_add(1, Ordering::AcqRel) < MAX_PEER_REQUESTS).then_some(guard)
    }

    /// Answers another instance's query.
    pub fn answer_query(&self, shared: &Shared, query: PathQuery) -> PathAnswer {
        let connected_at = lock(&self.paths).connected_at();
        let age = connected_at.map(clock::since);
        if age.is_none_or(|age| age > MAX_PROOF_AGE) {
            self.request_check();
        }
        let has_capacity = self.peer_requests.load(Ordering::Acquire) < MAX_PEER_REQUESTS;
        PathAnswer {
            id: query.id,
            instance: shared.settings.instance.to_string(),
            hall: shared.settings.hall.to_string(),
            accepts_requests: has_capacity
                && shared.is_ready()
                && self.state() == PathState::Working,
            connected_ms_ago: age.map(millis),
            in_progress: u32::try_from(shared.in_progress()).unwrap_or(u32::MAX),
        }
    }

    /// Receives the answer of the instance at `from` to a query of this one.
    pub fn receive_answer(&self, from: SocketAddr, answer: PathAnswer) {
        self.queries.deliver_answer(answer.id, (from, answer));
    }

    /// Whether this instance reaches an upstream other than `failed` now, so that a connection that
    /// `failed` refuses says something about that upstream. True if there is no other.
    pub fn confirms_path(&self, shared: &Shared, failed: &str) -> bool {
        let others = probe_targets(shared, &BTreeSet::from([failed]));
        others.is_empty() || self.probe(shared, &others)
    }

    /// Starts the thread that checks the paths for as long as the instance runs.
    pub fn start(shared: &Arc<Shared>) {
        let shared = shared.clone();
        std::thread::spawn(move || shared.paths.run(&shared));
    }

    fn run(&self, shared: &Shared) {
        let termination = shared.termination();
        while termination.receive(&self.check_receiver).is_some() {
            let begun_at = clock::now();
            self.check_until_connected(shared);
            let next_at = begun_at + MIN_CHECK_INTERVAL;
            if !termination.pause(next_at.saturating_duration_since(clock::now())) {
                return;
            }
        }
    }

    /// Checks until a connection succeeds or too few upstreams are unreachable.
    fn check_until_connected(&self, shared: &Shared) {
        let mut cut_off_since = None;
        for checks in 0.. {
            let is_connected = self.probe(shared, &probe_targets(shared, &BTreeSet::new()));
            let known = shared.upstreams().entries().count();
            let lost_since = lock(&self.paths).lost_since(known);
            let Some(lost_since) = lost_since.filter(|_| !is_connected) else {
                self.set_state(shared, PathState::Working);
                return;
            };
            let has_peers = self.query_peers(shared, lost_since);
            // A connection that succeeded meanwhile counts.
            if lock(&self.paths).lost_since(known).is_none() {
                continue;
            }
            let state = if has_peers {
                PathState::CutOff
            } else {
                PathState::Lost
            };
            self.set_state(shared, state);
            if state == PathState::CutOff {
                let since = *cut_off_since.get_or_insert_with(clock::now);
                let is_lasting = clock::since(since) >= HAND_OVER_DELAY;
                if let Some(leadership) = shared.leadership().filter(|_| is_lasting) {
                    leadership.set_engine_access(EngineAccess::CutOff);
                }
            } else {
                cut_off_since = None;
            }
            let interval = if has_peers || checks >= FIRST_CHECKS {
                CHECK_INTERVAL
            } else {
                FIRST_CHECK_INTERVAL
            };
            if !shared.termination().pause(interval) {
                return;
            }
        }
    }

    /// Tries to connect to upstreams at the same time. Returns whether any connection succeeded.
    fn probe(&self, shared: &Shared, targets: &[(UpstreamId, SocketAddr)]) -> bool {
        let connects =
            |address: &SocketAddr| TcpStream::connect_timeout(address, PROBE_TIMEOUT).is_ok();
        let (results, received) = bounded(targets.len());
        std::thread::scope(|scope| {
            for (id, address) in targets {
                let results = results.clone();
                scope.spawn(move || {
                    let is_connected = connects(address);
                    if is_connected {
                        self.record_connected(shared);
                    } else {
                        lock(&self.paths).record_unreachable(id, clock::now());
                    }
                    // The receiver waits for all results.
                    let _ = results.send(is_connected);
                });
            }
        });
        drop(results);
        received.iter().any(|is_connected| is_connected)
    }

    /// Asks other instances whether they have connected to upstreams since `lost_since` and take
    /// requests, and stores their offers. Returns whether there are any.
    fn query_peers(&self, shared: &Shared, lost_since: Instant) -> bool {
        let mut peers = known_peers(shared);
        peers.shuffle(&mut rand::rng());
        peers.truncate(MAX_PEERS_ASKED);
        if peers.is_empty() {
            return false;
        }
        let id = rand::random();
        let answers = self
            .queries
            .send_and_collect(id, peers.len(), ANSWER_TIMEOUT, || {
                for peer in &peers {
                    shared
                        .dispatch
                        .send(*peer, Body::PathQuery(PathQuery { id }));
                }
            });
        let lost_ms = millis(clock::since(lost_since));
        let offers = answers.into_iter().filter(|(_, answer)| {
            let has_path = answer.connected_ms_ago.is_some_and(|ms| ms < lost_ms);
            answer.accepts_requests && has_path
        });
        let offers = offers.map(|(address, answer)| PeerOffer {
            instance: answer.instance.as_str().into(),
            address,
            hall: answer.hall.as_str().into(),
            in_progress: answer.in_progress,
        });
        let offers: Vec<PeerOffer> = offers.collect();
        let has_offers = !offers.is_empty();
        *lock(&self.offers) = Offers {
            offers,
            until: Some(clock::now() + OFFER_TTL),
        };
        has_offers
    }
}

/// Addresses of the other instances that this one may ask: members and dispatchers, as far as this
/// instance is told them, and the holder and its candidates, which every instance knows.
fn known_peers(shared: &Shared) -> Vec<SocketAddr> {
    let mut peers = BTreeSet::from_iter(shared.other_instances());
    if let Some(leadership) = shared.leadership() {
        peers.extend(leadership.holder().map(|holder| holder.address));
        peers.extend(leadership.listed_candidates());
    }
    peers.remove(&shared.settings.peer_address);
    peers.into_iter().collect()
}

/// The upstreams of a check: random ones that accept requests, of different services and data halls
/// if there are any. `excluded` are left out.
fn probe_targets(shared: &Shared, excluded: &BTreeSet<&str>) -> Vec<(UpstreamId, SocketAddr)> {
    let now = clock::now();
    let upstreams = shared.upstreams();
    let is_usable = |entry: &&UpstreamEntry| {
        !entry.draining
            && !excluded.contains(&*entry.id)
            && upstreams.backoff_until(&entry.id, now).is_none()
    };
    let mut usable: Vec<&UpstreamEntry> = upstreams.entries().filter(is_usable).collect();
    usable.shuffle(&mut rand::rng());
    let Some(first) = usable.first().copied() else {
        return Vec::new();
    };
    // Those that share the least with the first one come next.
    usable[1..].sort_by_key(|entry| (entry.service == first.service, entry.hall == first.hall));
    let targets = usable.iter().take(PROBED_UPSTREAMS);
    targets
        .map(|entry| (entry.id.clone(), entry.address))
        .collect()
}
