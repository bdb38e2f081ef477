//! One holder at a time, under faults drawn at random against the decisions about the
//! right to order, in virtual time.
//!
//! Calls to the store are refused, lost on the way, carried out seconds late or left
//! without an answer; the store is away for all or for one; news of it comes late;
//! instances stand still, are killed and start again under the same name, or come anew;
//! holders say that they are, and the word comes late; candidates promise a holder that the
//! store does not answer, whatever they see of the store themselves.
//! `PASSWAY_FAULT_RUNS` sets the number of runs, `PASSWAY_FAULT_SEED` the first seed.

mod carrying;
mod checks;
mod store;

use crate::support::FaultRuns;
use carrying::Letter;
use passway_serving::tenure::{Holder, RecentHolders, Step, Tenure, TenureLimits};
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use store::{Answer, Arriving, Request, Store};

const DEFAULT_RUNS: u64 = 60;
const INSTANCES: usize = 6;
/// The last of them are machines that are added to the fleet during the run.
const NEWCOMERS: usize = 2;
const TICK_MS: u64 = 10;
/// Faults are drawn until then; afterwards somebody must hold the right again.
const FAULTS_MS: u64 = 30_000;
const END_MS: u64 = 46_000;
const LIMITS: TenureLimits = TenureLimits {
    lease: Duration::from_millis(1_200),
    gap: Duration::from_secs(3),
    is_weak: false,
};
/// Which faults are drawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mix {
    Usual,
    Outages,
    /// Outages in which words of holders take seconds, and no process is told to stop: the
    /// promises alone must keep holders apart.
    SlowWords,
    None,
}

/// News of the store on its way to an instance.
#[derive(Debug, Clone)]
enum News {
    Holder(Option<Holder>),
    Recent(RecentHolders),
}

struct Instance {
    name: InstanceId,
    tenure: Tenure,
    /// Grows with each start of the process.
    life: u32,
    asked_at: Instant,
    /// The answer that the call under way gets and when; `None` while no call is made.
    answer: Option<(u64, Answer)>,
    news: VecDeque<(u64, News)>,
    /// Words of holders on their way, each with when it comes.
    words: Vec<(u64, Holder)>,
    /// Messages about promises on their way, each with when it comes.
    letters: Vec<(u64, Letter)>,
    /// Whether it has given the right back for good.
    is_released: bool,
    /// When its process ends and another one starts; `None` unless it was told to stop.
    ends_at: Option<u64>,
    frozen_until: u64,
    starts_at: u64,
    /// Calls and news do not come through until then.
    cut_until: u64,
}

struct World {
    rng: ChaCha8Rng,
    begun_at: Instant,
    now_ms: u64,
    store: Store,
    instances: Vec<Instance>,
    arriving: Vec<Arriving>,
    /// When each instance could last give an order, with its fencing number.
    ordered: BTreeMap<InstanceId, (u64, Fence)>,
    last: Option<(InstanceId, Fence)>,
    successions: u32,
    /// Time in which somebody could order though the store was away for longer than a lease.
    carried_ms: u64,
    /// Time in which the store was away for longer than a lease.
    away_ms: u64,
    away_since: Option<u64>,
    mix: Mix,
    broken: Vec<String>,
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
        let begun_at = Instant::now();
        let instance = |number: usize| {
            let name = InstanceId::from(format!("n{number}").as_str());
            Instance {
                tenure: Tenure::new(name.clone(), LIMITS, begun_at),
                name,
                life: 0,
                asked_at: begun_at,
                answer: None,
                news: VecDeque::from([(0, News::Holder(None))]),
                frozen_until: 0,
                words: Vec::new(),
                letters: Vec::new(),
                is_released: false,
                ends_at: None,
                starts_at: 0,
                cut_until: 0,
            }
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut instances: Vec<Instance> = (0..INSTANCES).map(instance).collect();
        for newcomer in &mut instances[INSTANCES - NEWCOMERS..] {
            let starts_at = rng.random_range(2_000..FAULTS_MS);
            newcomer.starts_at = starts_at;
            let begun_at = begun_at + Duration::from_millis(starts_at);
            newcomer.tenure = Tenure::new(newcomer.name.clone(), LIMITS, begun_at);
        }
        Self {
            rng,
            begun_at,
            now_ms: 0,
            store: Store::default(),
            instances,
            arriving: Vec::new(),
            ordered: BTreeMap::new(),
            last: None,
            successions: 0,
            carried_ms: 0,
            away_ms: 0,
            away_since: None,
            mix,
            broken: Vec::new(),
        }
    }

    fn now(&self) -> Instant {
        self.begun_at + Duration::from_millis(self.now_ms)
    }

    /// Tells all instances what has changed, each after a while of its own.
    fn tell(&mut self, news: &News) {
        for instance in &mut self.instances {
            let last = instance.news.back().map_or(0, |(at, _)| *at);
            let at = self.now_ms + self.rng.random_range(2..400);
            instance.news.push_back((at.max(last), news.clone()));
        }
    }

    fn take_answer(&mut self, number: usize) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let instance = &mut self.instances[number];
        let Some((_, answer)) = instance.answer.take_if(|(at, _)| *at <= now_ms) else {
            return;
        };
        let (tenure, asked_at) = (&mut instance.tenure, instance.asked_at);
        match answer {
            Answer::Granted(answer) => tenure.granted(answer, asked_at),
            Answer::Taken(answer) => {
                if let Some(fence) = tenure.taken(&answer, now) {
                    let holder = holder_of(&instance.name, fence);
                    self.tell_all(number, &holder);
                }
            }
            Answer::Renewed(answer) => tenure.renewed(answer, asked_at, now),
            Answer::Listed(answer, written) => tenure.listed(&answer, written, now),
            Answer::Ended => tenure.ended(now),
        }
    }

    fn take_news(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let instance = &mut self.instances[number];
        while instance.news.front().is_some_and(|(at, _)| *at <= now_ms) {
            match instance.news.pop_front() {
                Some((_, News::Holder(holder))) => instance.tenure.seen(holder),
                Some((_, News::Recent(recent))) => instance.tenure.seen_recent(recent),
                None => {}
            }
        }
    }

    /// A holder says that it is one, to an instance drawn at random; the word takes a while,
    /// at times so long that the term is over by then.
    fn announce(&mut self) {
        let now = self.now();
        let holds = |i: &Instance| Some((i.name.clone(), i.tenure.fence(now)?));
        let holders: Vec<_> = self.instances.iter().filter_map(holds).collect();
        for (name, fence) in holders {
            if self.rng.random_bool(0.05) {
                let at = self.now_ms + self.rng.random_range(1..3_000);
                let which = self.rng.random_range(0..INSTANCES);
                let words = &mut self.instances[which].words;
                words.push((at, holder_of(&name, fence)));
            }
        }
    }

    /// Takes in words of holders; they are believed only while the store does not answer.
    fn take_words(&mut self, number: usize) {
        let now = self.now();
        let (now_ms, away_until) = (self.now_ms, self.store.away_until);
        let instance = &mut self.instances[number];
        let is_cut = now_ms < instance.cut_until.max(away_until);
        let due = instance.words.extract_if(.., |(at, _)| *at <= now_ms);
        for (_, holder) in due.collect::<Vec<_>>() {
            if is_cut || instance.tenure.asks_promises(now).is_some() {
                instance.tenure.told(holder);
            }
        }
    }

    /// Lets an instance do what it does in one tick.
    fn act(&mut self, number: usize) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let instance = &self.instances[number];
        if now_ms < instance.starts_at || now_ms < instance.frozen_until {
            return;
        }
        if now_ms >= instance.cut_until && now_ms >= self.store.away_until {
            self.take_news(number);
        }
        self.take_words(number);
        self.take_letters(number);
        self.take_answer(number);
        self.want_candidates(number);
        let instance = &mut self.instances[number];
        if instance.answer.is_some() {
            return;
        }
        let drawn = self.rng.random_range(0.0..1.0);
        let step = instance.tenure.step(drawn, true, now);
        instance.asked_at = now;
        let request = match step {
            Step::Wait(_) | Step::Stop => return,
            Step::Grant => Request::Grant,
            Step::Take(lease) => Request::Take(lease, instance.tenure.recent_with_me()),
            Step::Renew(lease) => Request::Renew(lease),
            Step::List => Request::List(instance.tenure.recent_with_candidates()),
            Step::End(lease) => Request::End(lease),
        };
        self.call(number, request);
    }

    fn draw_faults(&mut self) {
        let now_ms = self.now_ms;
        let which = self.rng.random_range(0..INSTANCES);
        let length_ms = self.rng.random_range(200..5_000);
        // The holder is struck as often as any other.
        let holder = self.last.as_ref().map(|(name, _)| name.clone());
        let held = self
            .instances
            .iter()
            .position(|i| Some(&i.name) == holder.as_ref());
        let which = if self.rng.random_bool(0.5) {
            held.unwrap_or(which)
        } else {
            which
        };
        match self.rng.random_range(0..400) {
            0 => self.instances[which].frozen_until = now_ms + length_ms,
            1 => self.kill(which),
            2 => self.instances[which].cut_until = now_ms + length_ms,
            3 if length_ms < 1_500 => self.store.away_until = now_ms + 3 * length_ms,
            4 => self.stop(which, length_ms),
            _ => {}
        }
    }

    /// Outages of the store for all or for nearly all, and fewer other faults than usual:
    /// candidates carry holders until something strikes them.
    fn draw_outages(&mut self) {
        let now_ms = self.now_ms;
        let which = self.rng.random_range(0..INSTANCES);
        let length_ms = self.rng.random_range(200..4_000);
        match self.rng.random_range(0..2_000) {
            0..4 => self.store.away_until = now_ms + 2 * length_ms,
            4..8 => self.cut_all_but(which, length_ms + 1_000),
            8..11 => self.instances[which].frozen_until = now_ms + length_ms / 2,
            11..14 => self.kill(which),
            14..17 if self.mix == Mix::Outages => self.stop(which, length_ms),
            17..20 => self.instances[which].cut_until = now_ms + length_ms,
            _ => {}
        }
    }

    /// All instances but one are cut off from the store.
    fn cut_all_but(&mut self, which: usize, length_ms: u64) {
        for (number, instance) in self.instances.iter_mut().enumerate() {
            if number != which {
                instance.cut_until = self.now_ms + length_ms;
            }
        }
    }

    /// A process is told to stop; most are followed by another one.
    fn stop(&mut self, which: usize, length_ms: u64) {
        let is_followed = self.rng.random_bool(0.8);
        let instance = &mut self.instances[which];
        instance.tenure.release();
        instance.is_released = true;
        instance.ends_at = is_followed.then_some(self.now_ms + length_ms);
    }

    /// Ends processes that were told to stop, when their time is over.
    fn end_stopped(&mut self) {
        for which in 0..INSTANCES {
            let ends_at = self.instances[which].ends_at;
            if ends_at.is_some_and(|at| self.now_ms >= at) {
                self.kill(which);
            }
        }
    }

    /// Ends a process; another one starts under its name and reads what stands.
    fn kill(&mut self, which: usize) {
        let starts_at = self.now_ms + self.rng.random_range(100..1_500);
        let begun_at = self.begun_at + Duration::from_millis(starts_at);
        let instance = &mut self.instances[which];
        instance.tenure = Tenure::new(instance.name.clone(), LIMITS, begun_at);
        instance.life += 1;
        instance.answer = None;
        instance.words.clear();
        instance.letters.clear();
        instance.is_released = false;
        instance.ends_at = None;
        instance.starts_at = starts_at;
        instance.frozen_until = 0;
        // What it hears first is the whole, as it stands when it is read.
        let holder = self.store.holder.as_ref();
        let holder = holder.map(|(name, revision, _)| holder_of(name, *revision));
        let recent = self.store.recent.clone();
        instance.news.retain(|(at, _)| *at >= starts_at);
        instance.news.push_front((starts_at, News::Holder(holder)));
        instance.news.push_front((starts_at, News::Recent(recent)));
    }

    fn run(&mut self) {
        while self.now_ms < END_MS {
            self.tick(|world| {
                if world.now_ms < FAULTS_MS {
                    match world.mix {
                        Mix::Usual => world.draw_faults(),
                        Mix::Outages | Mix::SlowWords => world.draw_outages(),
                        Mix::None => {}
                    }
                }
            });
        }
        self.check_end();
    }

    /// Lets all do what they do in one tick, after some faults.
    fn tick(&mut self, faults: impl FnOnce(&mut Self)) {
        self.now_ms += TICK_MS;
        faults(self);
        self.end_stopped();
        if self.now_ms >= self.store.away_until {
            self.expire();
        }
        self.serve_calls();
        self.announce();
        self.ask_promises();
        for number in 0..INSTANCES {
            self.act(number);
        }
        self.look();
    }

    /// Lets time pass without faults.
    fn pass(&mut self, time_ms: u64) {
        for _ in 0..time_ms / TICK_MS {
            self.tick(|_| {});
        }
    }
}

#[test]
fn carried_through_outage() {
    for seed in 1..20 {
        let mut world = World::new(seed, Mix::None);
        world.pass(8_000);
        let (holder, fence) = world.last.clone().expect("a holder");
        world.store.away_until = world.now_ms + 10_000;
        // Candidates learn by a call's time-out that the store is away.
        world.pass(2_500);
        world.carried_ms = 0;
        world.pass(7_000);
        assert_eq!(world.carried_ms, 7_000, "seed {seed}");
        assert_eq!(world.last, Some((holder, fence)));
        world.pass(3_500);
        assert!(world.holds_now(), "seed {seed}: nobody after the outage");
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
    }
}

/// Plays all runs of a mix; no rule may be broken in any.
fn run_all(mix: Mix) {
    let runs = FaultRuns::from_environment(DEFAULT_RUNS);
    let mut broken = Vec::new();
    let mut successions = 0;
    let (mut carried_ms, mut away_ms) = (0, 0);
    for seed in runs.seeds() {
        let mut world = World::new(seed, mix);
        world.run();
        successions += world.successions;
        carried_ms += world.carried_ms;
        away_ms += world.away_ms;
        if let Some(what) = world.broken.first() {
            broken.push(format!("seed {seed}: {what}"));
        }
    }
    println!(
        "{} runs of {mix:?}, {successions} successions, {} broken; {carried_ms} of {away_ms} ms \
         of outages with a holder",
        runs.count,
        broken.len()
    );
    runs.assert_no_violations(&broken);
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
    run_all(Mix::Outages);
}

#[test]
fn one_holder_by_promises() {
    run_all(Mix::SlowWords);
}
