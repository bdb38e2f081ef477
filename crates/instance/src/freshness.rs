//! Proves how recent this instance's configuration is, with queries to other instances.
//!
//! The configuration's feed proves it whenever the store answers. An instance that relies on the
//! holder of leadership does not query the store. Once a second it asks the holder how old the
//! holder's proof is, and asks other instances if the holder does not answer or has no better
//! proof. The holder's answer also shows that the holder can be asked about workspaces' allotments.
//!
//! Without revocable keys and allotments there are no such queries. A request that would be denied
//! demands a proof if there is none: one round of queries, and then one query of the configuration's
//! feed to the store, serve all requests that wait.

use crate::feeds::UpdateSource;
use crate::queries::PendingQueries;
use crate::relay::{CONFIGURATION_FEED, millis, millis_since};
use crate::shared::Shared;
use passway_process::logging::json::DECISION_TARGET;
use passway_serving::freshness::{Confirmation, Freshness};
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::dispatch::Dispatch as Body;
use passway_wire::permits::{VersionAnswer, VersionQuery};
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

/// Divides the bound to get the age at which a proof is renewed; four more queries fit into the
/// rest.
const REFRESH_DIVISOR: u32 = 5;
/// Divides the bound to get the age at which other instances and the store are queried, too.
pub const STALE_DIVISOR: u32 = 2;
/// Number of other instances that are queried at a time.
const PEERS_PER_QUERY: usize = 2;
/// Interval of checks while no proof is needed.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// The holder is queried at this interval even without need for a proof, because it counts
/// allotments.
const HOLDER_QUERY_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after queries that proved nothing. A demand for a proof lasts at least as long.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// When and from where the last update of the configuration arrived.
#[derive(Debug, Clone, Copy)]
pub struct ConfigurationOrigin {
    /// The sender.
    pub source: UpdateSource,
    /// When the update was applied.
    pub received_at: Instant,
}

/// What requests that would be denied wait for.
#[derive(Debug, Clone, Copy)]
struct ProofDemand {
    /// Maximum age of the proof.
    bound: Duration,
    /// When the demand ends.
    until: Instant,
    /// Whether no queries have been sent for the demand.
    is_new: bool,
}

#[derive(Debug, Default)]
struct State {
    freshness: Freshness,
    demand: Option<ProofDemand>,
}

impl State {
    fn proves_denials(&self, bound: Duration) -> bool {
        let until = self.freshness.denials_valid_until(bound);
        until.is_some_and(|until| clock::now() < until)
    }

    /// The demand that has not ended, is not met, and can be met by an answer.
    fn open_demand(&self) -> Option<ProofDemand> {
        let is_open = |demand: &ProofDemand| {
            clock::now() < demand.until && !self.proves_denials(demand.bound)
        };
        if self.freshness.is_superseded() {
            return None;
        }
        self.demand.filter(is_open)
    }
}

/// What an instance can prove of its configuration's age.
#[derive(Debug, Default)]
pub struct ConfigurationAge {
    state: Mutex<State>,
    /// The origin of the last update.
    origin: Mutex<Option<ConfigurationOrigin>>,
    /// Notified when the proof has changed.
    proof_updated: Condvar,
    /// Notified when a request needs a proof.
    proof_wanted: Condvar,
    pending: PendingQueries<VersionAnswer>,
    /// Whether the configuration's feed must query the store for a demand.
    is_store_query_due: AtomicBool,
    /// When the holder of leadership last answered.
    holder_answered_at: Mutex<Option<Instant>>,
}

impl ConfigurationAge {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update(&self, change: impl FnOnce(&mut Freshness)) {
        change(&mut self.state().freshness);
        self.proof_updated.notify_all();
    }

    /// Records the version in effect. The version must take effect before this is called.
    pub fn set_in_force(&self, version: Revision) {
        self.update(|freshness| freshness.set_active_version(version));
    }

    fn lock_origin(&self) -> MutexGuard<'_, Option<ConfigurationOrigin>> {
        self.origin.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records whether the newest version of operators cannot be used.
    pub fn set_superseded(&self, is_superseded: bool) {
        self.update(|freshness| freshness.set_superseded(is_superseded));
    }

    /// Records that an update was applied.
    pub fn record_update(&self, source: UpdateSource) {
        *self.lock_origin() = Some(ConfigurationOrigin {
            source,
            received_at: clock::now(),
        });
    }

    /// The origin of the last update; `None` before the first.
    pub fn origin(&self) -> Option<ConfigurationOrigin> {
        *self.lock_origin()
    }

    /// Records that the store, queried at `sent_at`, had no newer version than `version`, which
    /// is in effect.
    pub fn record_store_answer(&self, version: Revision, sent_at: Instant) {
        self.update(|freshness| freshness.confirm(Confirmation { version, sent_at }));
    }

    /// Age of the proof; `None` before the first.
    pub fn age(&self) -> Option<Duration> {
        let proof = self.state().freshness.proof()?;
        Some(clock::since(proof.sent_at))
    }

    /// Whether the proof is recent enough to act on workspaces' keys.
    pub fn is_proved_within(&self, bound: Duration) -> bool {
        let until = self.state().freshness.keys_valid_until(bound);
        until.is_some_and(|until| clock::now() < until)
    }

    /// Whether requests may be denied by the configuration in effect.
    pub fn proves_denials_within(&self, bound: Duration) -> bool {
        self.state().proves_denials(bound)
    }

    /// Demands a proof by which requests may be denied, and waits for a change of what is proved,
    /// at most for `max_wait`. The demand lasts until `until` or longer.
    pub fn demand_denial_proof(&self, bound: Duration, until: Instant, max_wait: Duration) {
        let mut state = self.state();
        if state.proves_denials(bound) {
            return;
        }
        let now = clock::now();
        // The queries for a request that does not wait any more serve the following ones.
        let until = until.max(now + RETRY_DELAY);
        let previous = state.demand.filter(|demand| now < demand.until);
        state.demand = Some(ProofDemand {
            bound,
            until: previous.map_or(until, |demand| demand.until.max(until)),
            is_new: previous.is_none_or(|demand| demand.is_new),
        });
        if previous.is_none() {
            self.proof_wanted.notify_all();
        }
        // The caller checks again after a notification as well as after the timeout.
        drop(self.proof_updated.wait_timeout(state, max_wait));
    }

    /// Whether the configuration's feed must query the store, because requests wait for a proof and
    /// other instances have not given one.
    pub fn is_store_query_due(&self) -> bool {
        self.is_store_query_due.load(Ordering::Acquire)
    }

    /// Whether such a query is due; it is not due again after this.
    pub fn take_store_query(&self) -> bool {
        self.is_store_query_due.swap(false, Ordering::AcqRel)
    }

    /// Requests a new proof, and waits for it until `until`. Returns whether workspaces' keys may
    /// be acted on then.
    pub fn wait_until_proved(&self, bound: Duration, until: Instant) -> bool {
        loop {
            if self.is_proved_within(bound) {
                return true;
            }
            let timeout = until.saturating_duration_since(clock::now());
            if timeout.is_zero() {
                return false;
            }
            self.proof_wanted.notify_all();
            let state = self.state();
            // The loop checks again after a notification as well as after the timeout.
            drop(
                self.proof_updated
                    .wait_timeout(state, timeout.min(RETRY_DELAY)),
            );
        }
    }

    /// Time since the holder of leadership last answered; `None` if it never did.
    pub fn holder_silence(&self) -> Option<Duration> {
        self.holder_answered_at().map(clock::since)
    }

    fn holder_answered_at(&self) -> MutexGuard<'_, Option<Instant>> {
        let answered_at = self.holder_answered_at.lock();
        answered_at.unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers another instance's query.
    pub fn answer_query(&self, query: &VersionQuery) -> VersionAnswer {
        let proof = self.state().freshness.proof();
        VersionAnswer {
            id: query.id,
            version: proof.map_or(0, |proof| proof.version),
            age_ms: proof.map_or(0, |proof| millis_since(proof.sent_at, clock::now()) + 1),
        }
    }

    /// Receives the answer to a query of this instance.
    pub fn receive_answer(&self, answer: VersionAnswer) {
        self.pending.deliver_answer(answer.id, answer);
    }

    /// Queries an instance. Returns whether it proved anything.
    fn query(&self, shared: &Shared, address: SocketAddr) -> bool {
        let id = rand::random();
        let sent_at = clock::now();
        let query = Body::VersionQuery(VersionQuery { id });
        let answer = self
            .pending
            .send_and_wait(id, || shared.dispatch.send(address, query.clone()));
        let Some(answer) = answer.filter(|answer| answer.version > 0) else {
            return false;
        };
        let age = Duration::from_millis(answer.age_ms);
        let Some(sent_at) = sent_at.checked_sub(age) else {
            return false;
        };
        self.update(|freshness| {
            freshness.confirm(Confirmation {
                version: answer.version,
                sent_at,
            });
        });
        true
    }

    /// Queries the holder, and other instances if that is not sufficient.
    fn query_peers(&self, shared: &Shared, is_sufficient: impl Fn() -> bool) {
        let this_instance = &shared.settings.instance;
        let holder = shared
            .leadership()
            .and_then(|leadership| leadership.holder());
        let holder_answers = holder.as_ref().is_some_and(|holder| {
            holder.instance == *this_instance || self.query(shared, holder.address)
        });
        if holder_answers {
            *self.holder_answered_at() = Some(clock::now());
        }
        if is_sufficient() {
            return;
        }
        let others = shared.other_instances();
        let others: Vec<SocketAddr> = others
            .into_iter()
            .filter(|address| {
                holder
                    .as_ref()
                    .is_none_or(|holder| holder.address != *address)
            })
            .collect();
        for address in others.sample(&mut rand::rng(), PEERS_PER_QUERY) {
            self.query(shared, *address);
        }
    }

    /// Whether there is a proof that is younger than `age`.
    pub fn is_younger(&self, age: Duration) -> bool {
        self.age().is_some_and(|proof| proof < age)
    }

    /// Notifies the thread that keeps the configuration proved.
    pub fn wake_up(&self) {
        // After this lock the thread waits, or it will check its conditions again.
        drop(self.state());
        self.proof_wanted.notify_all();
    }

    /// Starts the thread that keeps the configuration proved.
    pub fn start(shared: &Arc<Shared>) {
        let shared = shared.clone();
        std::thread::spawn(move || shared.configuration_age.run(&shared));
    }

    fn run(&self, shared: &Shared) {
        let mut was_proved = true;
        let mut demand_served_at = None;
        loop {
            let bound = shared.revocation_bound();
            if let Some(bound) = bound {
                let is_proved = self.is_proved_within(bound);
                if is_proved != was_proved {
                    was_proved = is_proved;
                    let age_ms = self.age().map_or(0, millis);
                    log::info!(target: DECISION_TARGET, age_ms = age_ms, permits = is_proved; "validity of the proof that the configuration is current changed");
                }
            }
            let has_allotments = shared.has_allotments();
            let delay = if bound.is_some() || has_allotments {
                // Without a bound, any proof is recent enough.
                self.refresh_if_due(shared, bound.unwrap_or(Duration::MAX), has_allotments)
            } else {
                IDLE_INTERVAL
            };
            let delay = delay.min(self.serve_demand(shared, &mut demand_served_at));
            let state = self.state();
            if shared.termination().has_begun() {
                return;
            }
            if state.demand.is_some_and(|demand| demand.is_new) {
                continue;
            }
            // The loop checks again after a notification as well as after the timeout.
            drop(self.proof_wanted.wait_timeout(state, delay));
        }
    }

    /// Queries other instances for the requests that wait for a proof, and has the store queried if
    /// they prove nothing. Returns the delay until the next check.
    fn serve_demand(&self, shared: &Shared, served_at: &mut Option<Instant>) -> Duration {
        let mut state = self.state();
        if let Some(demand) = &mut state.demand {
            demand.is_new = false;
        }
        let Some(ProofDemand { bound, .. }) = state.open_demand() else {
            return Duration::MAX;
        };
        // Once a newer version is known, only its arrival helps.
        let was_behind = state.freshness.is_behind();
        drop(state);
        let next_at = served_at.map(|at| at + RETRY_DELAY);
        let delay = next_at.map(|at| at.saturating_duration_since(clock::now()));
        if let Some(delay) = delay.filter(|delay| !delay.is_zero()) {
            return delay;
        }
        let is_sufficient = || {
            let state = self.state();
            state.freshness.is_behind() || state.proves_denials(bound)
        };
        if !was_behind {
            self.query_peers(shared, is_sufficient);
        }
        if was_behind || !is_sufficient() {
            self.is_store_query_due.store(true, Ordering::Release);
            if let Some(relay) = shared.relay() {
                relay.wake_up(CONFIGURATION_FEED);
            }
        }
        *served_at = Some(clock::now());
        RETRY_DELAY
    }

    /// Queries other instances if that is due. Returns the delay until the next check.
    fn refresh_if_due(
        &self,
        shared: &Shared,
        bound: Duration,
        must_query_holder: bool,
    ) -> Duration {
        let due_in = || {
            let proof_due = self
                .age()
                .map(|age| (bound / REFRESH_DIVISOR).saturating_sub(age));
            let proof_due = proof_due.unwrap_or_default();
            let silence = self.holder_silence();
            let holder_due = silence.map(|silence| HOLDER_QUERY_INTERVAL.saturating_sub(silence));
            let holder_due = holder_due.unwrap_or_default();
            if must_query_holder {
                proof_due.min(holder_due)
            } else {
                proof_due
            }
        };
        if due_in().is_zero() {
            self.query_peers(shared, || self.is_younger(bound / STALE_DIVISOR));
        }
        due_in().clamp(RETRY_DELAY, IDLE_INTERVAL)
    }
}
