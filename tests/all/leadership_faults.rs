//! Checks in virtual time, under random faults, that at most one instance may give orders at a
//! time.
//!
//! Calls to the store are refused, lost, carried out seconds late or left without an answer. The
//! store is unavailable for all instances or for one, and its updates arrive late. Instances are
//! paused, killed and restarted under the same name, or join the fleet. Announcements of holders
//! arrive late. Candidates promise a holder whose store calls fail, whatever they observe of the
//! store themselves. The store returns from older copies as new eras. `PASSWAY_FAULT_RUNS` sets the number of runs, `PASSWAY_FAULT_SEED` the first
//! seed.

mod checks;
mod promise_messages;
mod store;

use crate::support::FaultRuns;
use passway_serving::leadership::{
    Holder, Leadership, LeadershipSettings, ListedLeadership, RecentHolders, Step,
};
use passway_serving::ports::StoreEra;
use passway_types::prelude::*;
use promise_messages::PromiseMessage;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use store::{Answer, Arriving, Request, Store, StoreCopy};

const DEFAULT_RUNS: u64 = 60;
const INSTANCES: usize = 6;
/// The last instances are machines that join the fleet during the run.
const NEWCOMERS: usize = 2;
const TICK_MS: u64 = 10;
/// Faults occur until this time; afterwards an instance must become the holder again.
const FAULTS_MS: u64 = 30_000;
const END_MS: u64 = 46_000;
/// Interval between two copies of the store, and how many are kept.
const COPY_INTERVAL_MS: u64 = 400;
const MAX_COPIES: usize = 10;
/// Maximum time for which the store is away before it returns from a copy.
const MAX_AWAY_MS: u64 = 2_500;
/// Maximum time after the return until an instance lists the store again.
const MAX_NOTICE_MS: u64 = 1_500;
const SETTINGS: LeadershipSettings = LeadershipSettings {
    min_lease_ttl: Duration::from_millis(1_200),
    holder_gap: Duration::from_secs(3),
    has_low_cpu: false,
};
/// The kinds of faults that are injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mix {
    Usual,
    StoreOutages,
    /// Outages in which announcements of holders take seconds, and no process is asked to stop:
    /// the promises alone must prevent two holders.
    SlowAnnouncements,
    /// The usual faults, and a store that returns from older copies.
    StoreReturns,
    None,
}

/// An update from the store on its way to an instance.
#[derive(Debug, Clone)]
enum Update {
    Holder(Option<Holder>),
    Recent(RecentHolders),
    Listing(ListedLeadership),
    /// The instance lists the store now.
    Relist,
}

struct Instance {
    name: InstanceId,
    leadership: Leadership,
    /// The number of restarts of the process.
    restarts: u32,
    sent_at: Instant,
    /// When the call in progress is answered, and the answer; `None` if there is no call.
    answer: Option<(u64, Answer)>,
    updates: VecDeque<(u64, Update)>,
    /// Announcements of holders on their way, each with its arrival time.
    announcements: Vec<(u64, Holder)>,
    /// Messages about promises on their way, each with its arrival time.
    promise_messages: Vec<(u64, PromiseMessage)>,
    /// Whether the instance has released the leadership for good.
    is_released: bool,
    /// When the process terminates and a new one starts; `None` unless it was asked to stop.
    terminates_at: Option<u64>,
    paused_until: u64,
    starts_at: u64,
    /// Until then neither calls nor updates get through.
    disconnected_until: u64,
    /// The latest era in an answer or update of the store.
    known_era: StoreEra,
}

impl Instance {
    fn observe_listing(&mut self, listed: &ListedLeadership, now: Instant) {
        self.known_era = self.known_era.max(listed.era);
        self.leadership.observe_listing(listed, now);
    }
}

struct World {
    rng: ChaCha8Rng,
    started_at: Instant,
    now_ms: u64,
    store: Store,
    /// Copies of the store, the oldest first, with the times at which they were made.
    copies: VecDeque<(u64, StoreCopy)>,
    instances: Vec<Instance>,
    arriving: Vec<Arriving>,
    /// When each instance could last give an order, with its fencing number.
    last_order: BTreeMap<InstanceId, (u64, Fence)>,
    last_holder: Option<(InstanceId, Fence)>,
    successions: u32,
    /// Time in which an instance could give orders although the store was unavailable for longer
    /// than a lease.
    extended_ms: u64,
    /// Time in which the store was unavailable for longer than a lease.
    outage_ms: u64,
    outage_since: Option<u64>,
    mix: Mix,
    violations: Vec<String>,
}

fn holder_of(name: &InstanceId, fence: Fence) -> Holder {
    Holder {
        instance: name.clone(),
        address: ([127, 0, 0, 1], 9).into(),
        fence,
    }
}

impl World {
    fn new(seed: u64, mix: Mix) -> Self {
        let started_at = Instant::now();
        let instance = |number: usize| {
            let name = InstanceId::from(format!("n{number}").as_str());
            Instance {
                leadership: Leadership::new(name.clone(), SETTINGS, started_at),
                name,
                restarts: 0,
                sent_at: started_at,
                answer: None,
                updates: VecDeque::from([(0, Update::Holder(None))]),
                paused_until: 0,
                announcements: Vec::new(),
                promise_messages: Vec::new(),
                is_released: false,
                terminates_at: None,
                starts_at: 0,
                disconnected_until: 0,
                known_era: 0,
            }
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut instances: Vec<Instance> = (0..INSTANCES).map(instance).collect();
        for newcomer in &mut instances[INSTANCES - NEWCOMERS..] {
            let starts_at = rng.random_range(2_000..FAULTS_MS);
            newcomer.starts_at = starts_at;
            let started_at = started_at + Duration::from_millis(starts_at);
            newcomer.leadership = Leadership::new(newcomer.name.clone(), SETTINGS, started_at);
        }
        Self {
            rng,
            started_at,
            now_ms: 0,
            store: Store::default(),
            copies: VecDeque::new(),
            instances,
            arriving: Vec::new(),
            last_order: BTreeMap::new(),
            last_holder: None,
            successions: 0,
            extended_ms: 0,
            outage_ms: 0,
            outage_since: None,
            mix,
            violations: Vec::new(),
        }
    }

    fn now(&self) -> Instant {
        self.started_at + Duration::from_millis(self.now_ms)
    }

    /// Sends a change to all instances, each with its own delay.
    fn publish(&mut self, update: &Update) {
        for instance in &mut self.instances {
            let last = instance.updates.back().map_or(0, |(at, _)| *at);
            let at = self.now_ms + self.rng.random_range(2..400);
            instance.updates.push_back((at.max(last), update.clone()));
        }
    }

    fn receive_answer(&mut self, number: usize) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let instance = &mut self.instances[number];
        let Some((_, answer)) = instance.answer.take_if(|(at, _)| *at <= now_ms) else {
            return;
        };
        let (leadership, sent_at) = (&mut instance.leadership, instance.sent_at);
        match answer {
            Answer::Granted(answer) => leadership.handle_grant(answer, sent_at),
            Answer::Taken(answer) => {
                if let Some(fence) = leadership.handle_take(&answer, now) {
                    let holder = holder_of(&instance.name, fence);
                    self.announce_to_all(number, &holder);
                }
            }
            Answer::Renewed(answer) => leadership.handle_renewal(answer, sent_at, now),
            Answer::Listed(answer, written) => leadership.handle_list_write(&answer, written, now),
            Answer::Ended => leadership.handle_lease_end(now),
        }
    }

    fn receive_updates(&mut self, number: usize) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let instance = &mut self.instances[number];
        while instance
            .updates
            .front()
            .is_some_and(|(at, _)| *at <= now_ms)
        {
            match instance.updates.pop_front() {
                Some((_, Update::Holder(holder))) => instance.leadership.observe_holder(holder),
                Some((_, Update::Recent(recent))) => instance.leadership.observe_recent(recent),
                Some((_, Update::Listing(listed))) => instance.observe_listing(&listed, now),
                Some((_, Update::Relist)) => {
                    instance.observe_listing(&self.store.listing(), now);
                }
                None => {}
            }
        }
    }

    /// Sends announcements of holders to random instances. Some are delayed until the term is
    /// over.
    fn announce(&mut self) {
        let now = self.now();
        let holds =
            |instance: &Instance| Some((instance.name.clone(), instance.leadership.fence(now)?));
        let holders: Vec<_> = self.instances.iter().filter_map(holds).collect();
        for (name, fence) in holders {
            if self.rng.random_bool(0.05) {
                let at = self.now_ms + self.rng.random_range(1..3_000);
                let index = self.rng.random_range(0..INSTANCES);
                let announcements = &mut self.instances[index].announcements;
                announcements.push((at, holder_of(&name, fence)));
            }
        }
    }

    /// Receives announcements of holders, which instances accept only while the store does not
    /// answer.
    fn receive_announcements(&mut self, number: usize) {
        let now = self.now();
        let (now_ms, unavailable_until) = (self.now_ms, self.store.unavailable_until);
        let instance = &mut self.instances[number];
        let is_disconnected = now_ms < instance.disconnected_until.max(unavailable_until);
        let due = instance
            .announcements
            .extract_if(.., |(at, _)| *at <= now_ms);
        for (_, holder) in due.collect::<Vec<_>>() {
            if is_disconnected || instance.leadership.promise_request_fence(now).is_some() {
                instance.leadership.learn_holder(holder);
            }
        }
    }

    /// Runs one tick of an instance.
    fn act(&mut self, number: usize) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let instance = &self.instances[number];
        if now_ms < instance.starts_at || now_ms < instance.paused_until {
            return;
        }
        if now_ms >= instance.disconnected_until && now_ms >= self.store.unavailable_until {
            self.receive_updates(number);
        }
        self.receive_announcements(number);
        self.receive_promise_messages(number);
        self.receive_answer(number);
        self.update_candidates(number);
        let instance = &mut self.instances[number];
        if instance.answer.is_some() {
            return;
        }
        let random = self.rng.random_range(0.0..1.0);
        let step = instance.leadership.step(random, true, now);
        instance.sent_at = now;
        let request = match step {
            Step::Wait(_) | Step::Stop => return,
            Step::GrantLease => Request::Grant,
            Step::TakeKey(lease) => {
                Request::Take(lease, instance.leadership.recent_holders_with_me())
            }
            Step::RenewLease(lease) => Request::Renew(lease),
            Step::WriteCandidates => {
                Request::List(instance.leadership.recent_holders_with_candidates())
            }
            Step::EndLease(lease) => Request::End(lease),
        };
        self.call(number, request);
    }

    fn inject_faults(&mut self) {
        let now_ms = self.now_ms;
        let index = self.rng.random_range(0..INSTANCES);
        let duration_ms = self.rng.random_range(200..5_000);
        // Faults hit the holder half the time.
        let holder = self.last_holder.as_ref().map(|(name, _)| name.clone());
        let holder_index = self
            .instances
            .iter()
            .position(|instance| Some(&instance.name) == holder.as_ref());
        let index = if self.rng.random_bool(0.5) {
            holder_index.unwrap_or(index)
        } else {
            index
        };
        match self.rng.random_range(0..400) {
            0 => self.instances[index].paused_until = now_ms + duration_ms,
            1 => self.kill(index),
            2 => self.instances[index].disconnected_until = now_ms + duration_ms,
            3 if duration_ms < 1_500 => self.store.unavailable_until = now_ms + 3 * duration_ms,
            4 => self.stop(index, duration_ms),
            _ => {}
        }
    }

    /// Injects outages of the store for all or nearly all instances, and fewer other faults than
    /// usual, so that candidates extend leaderships until a fault occurs.
    fn inject_outages(&mut self) {
        let now_ms = self.now_ms;
        let index = self.rng.random_range(0..INSTANCES);
        let duration_ms = self.rng.random_range(200..4_000);
        match self.rng.random_range(0..2_000) {
            0..4 => self.store.unavailable_until = now_ms + 2 * duration_ms,
            4..8 => self.disconnect_all_but(index, duration_ms + 1_000),
            8..11 => self.instances[index].paused_until = now_ms + duration_ms / 2,
            11..14 => self.kill(index),
            14..17 if self.mix == Mix::StoreOutages => self.stop(index, duration_ms),
            17..20 => self.instances[index].disconnected_until = now_ms + duration_ms,
            _ => {}
        }
    }

    /// Injects the usual faults, and a few returns of the store. A process that starts right after a
    /// return cannot know of it, so none starts then.
    fn inject_returns(&mut self) {
        let now_ms = self.now_ms;
        if now_ms.is_multiple_of(COPY_INTERVAL_MS) {
            self.copies.push_back((now_ms, self.store.copy()));
            if self.copies.len() > MAX_COPIES {
                self.copies.pop_front();
            }
        }
        let gap_ms = u64::try_from(SETTINGS.holder_gap.as_millis()).expect("a short gap");
        let returned_at = self.store.returned_at;
        let may_start = returned_at.is_none_or(|at| now_ms > at + MAX_NOTICE_MS + gap_ms);
        let is_starting = self.instances.iter().any(|one| one.starts_at > now_ms);
        if self.rng.random_bool(0.002) && !is_starting && !self.copies.is_empty() {
            let index = self.rng.random_range(0..self.copies.len());
            let (_, copy) = self.copies[index].clone();
            let away_ms = self.rng.random_range(0..MAX_AWAY_MS);
            self.return_store(&copy, away_ms);
        } else if may_start {
            self.inject_faults();
        }
    }

    /// Disconnects all instances but one from the store.
    fn disconnect_all_but(&mut self, index: usize, duration_ms: u64) {
        for (number, instance) in self.instances.iter_mut().enumerate() {
            if number != index {
                instance.disconnected_until = self.now_ms + duration_ms;
            }
        }
    }

    /// Asks a process to stop; most are restarted.
    fn stop(&mut self, index: usize, duration_ms: u64) {
        let is_restarted = self.rng.random_bool(0.8);
        let instance = &mut self.instances[index];
        instance.leadership.release();
        instance.is_released = true;
        instance.terminates_at = is_restarted.then_some(self.now_ms + duration_ms);
    }

    /// Terminates processes that were asked to stop, when their time is over.
    fn terminate_stopped(&mut self) {
        for index in 0..INSTANCES {
            let terminates_at = self.instances[index].terminates_at;
            if terminates_at.is_some_and(|at| self.now_ms >= at) {
                self.kill(index);
            }
        }
    }

    /// Kills a process. A new one starts under the same name and reads the store.
    fn kill(&mut self, index: usize) {
        let starts_at = self.now_ms + self.rng.random_range(100..1_500);
        let started_at = self.started_at + Duration::from_millis(starts_at);
        let instance = &mut self.instances[index];
        instance.leadership = Leadership::new(instance.name.clone(), SETTINGS, started_at);
        instance.restarts += 1;
        instance.answer = None;
        instance.announcements.clear();
        instance.promise_messages.clear();
        instance.is_released = false;
        instance.terminates_at = None;
        instance.starts_at = starts_at;
        instance.paused_until = 0;
        instance.known_era = 0;
        // The first update is the complete state of the store when it is read.
        let listed = self.store.listing();
        instance.updates.retain(|(at, _)| *at >= starts_at);
        instance
            .updates
            .push_front((starts_at, Update::Listing(listed)));
    }

    fn run(&mut self) {
        while self.now_ms < END_MS {
            self.tick(|world| {
                if world.now_ms < FAULTS_MS {
                    match world.mix {
                        Mix::Usual => world.inject_faults(),
                        Mix::StoreReturns => world.inject_returns(),
                        Mix::StoreOutages | Mix::SlowAnnouncements => world.inject_outages(),
                        Mix::None => {}
                    }
                }
            });
        }
        self.check_end();
    }

    /// Runs one tick of all instances, after some faults.
    fn tick(&mut self, faults: impl FnOnce(&mut Self)) {
        self.now_ms += TICK_MS;
        faults(self);
        self.terminate_stopped();
        if self.now_ms >= self.store.unavailable_until {
            self.expire();
        }
        self.serve_calls();
        self.announce();
        self.request_promises();
        for number in 0..INSTANCES {
            self.act(number);
        }
        self.check_holders();
    }

    /// Runs the world without faults.
    fn run_for(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / TICK_MS {
            self.tick(|_| {});
        }
    }
}

#[test]
fn extended_through_outage() {
    for seed in 1..20 {
        let mut world = World::new(seed, Mix::None);
        world.run_for(8_000);
        let (holder, fence) = world.last_holder.clone().expect("a holder");
        world.store.unavailable_until = world.now_ms + 10_000;
        // Candidates learn by a timed-out call that the store is unavailable.
        world.run_for(2_500);
        world.extended_ms = 0;
        world.run_for(7_000);
        assert_eq!(world.extended_ms, 7_000, "seed {seed}");
        assert_eq!(world.last_holder, Some((holder, fence)));
        world.run_for(3_500);
        assert!(world.has_holder(), "seed {seed}: nobody after the outage");
        assert!(
            world.violations.is_empty(),
            "seed {seed}: {:?}",
            world.violations
        );
    }
}

/// Runs all seeds of a mix of faults; none may violate a rule.
fn run_all(mix: Mix) {
    let runs = FaultRuns::from_environment(DEFAULT_RUNS);
    let mut violations = Vec::new();
    let mut successions = 0;
    let (mut extended_ms, mut outage_ms) = (0, 0);
    for seed in runs.seeds() {
        let mut world = World::new(seed, mix);
        world.run();
        successions += world.successions;
        extended_ms += world.extended_ms;
        outage_ms += world.outage_ms;
        if let Some(violation) = world.violations.first() {
            violations.push(format!("seed {seed}: {violation}"));
        }
    }
    println!(
        "{} runs of {mix:?}, {successions} successions, {} failed; {extended_ms} of {outage_ms} ms \
         of outages with a holder",
        runs.count,
        violations.len()
    );
    runs.assert_no_violations(&violations);
    assert!(
        u64::from(successions) > 2 * runs.count,
        "too few successions: {successions}"
    );
}

#[test]
fn one_holder_under_faults() {
    run_all(Mix::Usual);
}

#[test]
fn one_holder_in_outages() {
    run_all(Mix::StoreOutages);
}

/// Guards against two holders at a time, or a fencing number that does not grow, when the store
/// loses the holder's key or lease, has those of an earlier holder, or gives them out again.
#[test]
fn one_holder_over_store_returns() {
    run_all(Mix::StoreReturns);
}

#[test]
fn one_holder_by_promises() {
    run_all(Mix::SlowAnnouncements);
}
