//! In a large fleet in front of many small engines, each arrival finds a slot.
//!
//! The load: 300 instances, and 256 engines of 12 slots that queue two more requests; 1,000
//! requests a second of 1.5 s each, so that half of all slots are in use. Nine in ten requests are
//! for six models that are loaded on 40 engines each, the others for models that are loaded on
//! one. These are the figures of the largest deployment on a day without incidents. There an
//! instance sends three requests a second and sees none of the others'; a quarter of all arrivals
//! were shed, and the busiest engine had eleven times the mean load.

use passway_serving::dispatch::{
    Dispatchers, RunKey, RunTable, WaitQueue, Waiter, effective_load, required_dispatchers,
};
use passway_serving::halls::AllowedRegions;
use passway_serving::leadership::Candidate;
use passway_serving::upstreams::{
    Choice, ModelRef, RequestNeeds, ResidentModel, UpstreamEntry, UpstreamTable,
};
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

const INSTANCES: usize = 300;
const ENGINES: usize = 256;
const SLOTS: u32 = 12;
/// Requests that an engine queues in addition to those that it runs.
const QUEUE: u32 = 2;
const BUSY_MODELS: usize = 6;
const REPLICAS: usize = 40;
const STEP: Duration = Duration::from_millis(1);
const RUN_STEPS: u32 = 1_500;
const STEPS: u32 = 12_000;

fn address(number: usize) -> SocketAddr {
    let [high, low] = u16::try_from(number).expect("small").to_be_bytes();
    ([10, 0, high, low], 7_380).into()
}

fn candidate(number: usize) -> Candidate {
    Candidate {
        instance: format!("instance-{number}").into(),
        address: address(number),
    }
}

fn model_name(number: usize) -> ModelName {
    format!("m{number}").into()
}

pub(crate) fn engine(number: usize, models: &[ModelName]) -> UpstreamEntry {
    let resident = |name: &ModelName| ResidentModel {
        name: name.clone(),
        adapters: Vec::new(),
    };
    UpstreamEntry {
        id: format!("i-{number}").into(),
        service: "engines".into(),
        address: address(1_000 + number),
        hall: format!("hall{}", number % 5).into(),
        slots: SLOTS,
        draining: false,
        cold_until: None,
        models: models.iter().map(resident).collect(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        heartbeat: 1,
        started_at_ms: 0,
        software: "v1".into(),
    }
}

/// Six busy models on forty engines each, and two rare ones on each engine.
fn table(now: Instant) -> UpstreamTable {
    let mut table = UpstreamTable::new("hall0".into());
    for number in 0..ENGINES {
        let mut models = vec![
            model_name(BUSY_MODELS + 2 * number),
            model_name(BUSY_MODELS + 2 * number + 1),
        ];
        if number < BUSY_MODELS * REPLICAS {
            models.push(model_name(number % BUSY_MODELS));
        }
        table.update(engine(number, &models), now);
    }
    table
}

/// The dispatcher that granted a run, and the run's key there.
type Granted = (SocketAddr, RunKey);

/// The results of a simulation.
#[derive(Debug, Default)]
struct Results {
    arrivals: u32,
    shed: u32,
    /// Requests that found no slot.
    full: u32,
    busiest: u32,
}

struct Fleet {
    rng: ChaCha8Rng,
    now: Instant,
    table: UpstreamTable,
    dispatchers: Dispatchers,
    /// The run table of each dispatcher.
    run_tables: HashMap<SocketAddr, RunTable>,
    /// Actual runs on each engine.
    runs: HashMap<UpstreamId, u32>,
    arrived: HashMap<UpstreamId, u32>,
    /// The runs that end at a step, each with the dispatcher to notify.
    ends: HashMap<u32, Vec<(UpstreamId, Option<Granted>)>>,
    next_run: u64,
    results: Results,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            table: table(now),
            dispatchers: Dispatchers::default(),
            run_tables: HashMap::new(),
            runs: HashMap::new(),
            arrived: HashMap::new(),
            ends: HashMap::new(),
            next_run: 0,
            results: Results::default(),
        }
    }

    /// Sets the dispatchers.
    fn with_dispatchers(mut self) -> Self {
        let count = required_dispatchers(INSTANCES, ENGINES);
        self.dispatchers.set((0..count).map(candidate).collect());
        self
    }

    /// The engine for a request, chosen by its dispatcher if there is one.
    fn choose(&mut self, model: &ModelName) -> (Choice, Option<Granted>) {
        let model_ref = ModelRef {
            model: model.clone(),
            adapter: None,
        };
        let (service, hall) = ("engines".into(), "hall0".into());
        let needs = RequestNeeds {
            service: &service,
            model_ref: Some(&model_ref),
            hall: &hall,
            allowed: &AllowedRegions::ANY,
            random: self.rng.random(),
        };
        if self.dispatchers.is_empty() {
            return (self.table.choose_by(needs, |_| true, None, self.now), None);
        }
        let engines = self.table.shuffled_engines(needs, self.now);
        let dispatcher = self.dispatchers.of_engine(&engines[0], self.now);
        let dispatcher = dispatcher.expect("a dispatcher");
        let run_table = self.run_tables.entry(dispatcher).or_default();
        let is_allowed =
            |id: &UpstreamId| self.dispatchers.of_engine(id, self.now) == Some(dispatcher);
        let runs = |id: &UpstreamId| run_table.load(id);
        let choice = self
            .table
            .choose_by(needs, is_allowed, Some(&runs), self.now);
        let key = RunKey {
            instance: address(self.rng.random_range(0..INSTANCES)),
            id: self.next_run,
        };
        self.next_run += 1;
        if let Choice::Send { id, .. } = &choice {
            run_table.record(key, id, self.now);
        }
        (choice, Some((dispatcher, key)))
    }

    fn arrive(&mut self, step: u32) {
        let model = if self.rng.random_bool(0.9) {
            model_name(self.rng.random_range(0..BUSY_MODELS))
        } else {
            model_name(BUSY_MODELS + self.rng.random_range(0..2 * ENGINES))
        };
        let (choice, granted) = self.choose(&model);
        let Choice::Send { id, .. } = choice else {
            self.results.full += 1;
            return;
        };
        self.results.arrivals += 1;
        *self.arrived.entry(id.clone()).or_default() += 1;
        let runs = self.runs.entry(id.clone()).or_default();
        if *runs >= SLOTS + QUEUE {
            self.results.shed += 1;
            self.end(granted);
            return;
        }
        *runs += 1;
        self.results.busiest = self.results.busiest.max(*runs);
        let end = step + self.rng.random_range(RUN_STEPS / 2..RUN_STEPS * 3 / 2);
        self.ends.entry(end).or_default().push((id, granted));
    }

    /// Notifies the dispatcher; one message in a hundred is lost.
    fn end(&mut self, granted: Option<Granted>) {
        if let Some((dispatcher, key)) = granted
            && self.rng.random_bool(0.99)
            && let Some(run_table) = self.run_tables.get_mut(&dispatcher)
        {
            run_table.remove(key);
        }
    }

    fn run(mut self) -> (Results, f64) {
        for step in 0..STEPS {
            self.now += STEP;
            for (engine, granted) in self.ends.remove(&step).unwrap_or_default() {
                if let Some(runs) = self.runs.get_mut(&engine) {
                    *runs -= 1;
                }
                self.end(granted);
            }
            if step % 500 == 0 {
                // Instances report their runs; one report in a hundred is lost.
                let running: Vec<_> = self.ends.values().flatten().cloned().collect();
                for (engine, granted) in running {
                    if let Some((dispatcher, key)) = granted
                        && self.rng.random_bool(0.99)
                    {
                        let run_table = self.run_tables.entry(dispatcher).or_default();
                        run_table.record(key, &engine, self.now);
                    }
                }
            }
            for run_table in self.run_tables.values_mut() {
                run_table.remove_expired(self.now);
            }
            self.arrive(step);
        }
        let mean = f64::from(self.results.arrivals) / 256.0;
        let max_arrivals = self.arrived.values().max().copied().unwrap_or(0);
        (self.results, f64::from(max_arrivals) / mean)
    }
}

#[test]
fn nearly_none_shed() {
    for seed in 0..3 {
        let (results, busiest) = Fleet::new(seed).with_dispatchers().run();
        println!("seed {seed}: {results:?}, busiest to mean {busiest:.2}");
        assert!(results.shed * 100 < results.arrivals, "{results:?}");
        assert!(results.full * 100 < results.arrivals, "{results:?}");
        assert!(busiest < 1.5, "{busiest}");
    }
}

/// The baseline: each instance chooses by its own requests, which say nothing at three requests a
/// second.
#[test]
fn local_view_sheds() {
    let (results, busiest) = Fleet::new(0).run();
    println!("local view: {results:?}, busiest to mean {busiest:.2}");
    assert!(results.shed * 100 > 2 * results.arrivals, "{results:?}");
}

/// The loss of a dispatcher moves its engines to others and moves no other engine.
#[test]
fn dispatcher_loss_moves_only_its_engines() {
    let now = Instant::now();
    let mut dispatchers = Dispatchers::default();
    dispatchers.set((0..8).map(candidate).collect());
    let ids: Vec<String> = (0..ENGINES).map(|number| format!("i-{number}")).collect();
    let of = |dispatchers: &Dispatchers, id: &str| {
        let dispatcher = dispatchers.of_engine(id, now);
        dispatcher.expect("a dispatcher")
    };
    let previous: Vec<_> = ids.iter().map(|id| of(&dispatchers, id)).collect();
    let distinct: HashSet<_> = previous.iter().collect();
    assert_eq!(distinct.len(), 8);
    for dispatcher in distinct {
        let size = previous.iter().filter(|other| *other == dispatcher).count();
        assert!((16..=56).contains(&size), "{size} engines of {ENGINES}");
    }
    let lost = previous[0];
    dispatchers.mark_unresponsive(lost, now);
    for (id, previous) in ids.iter().zip(&previous) {
        let after = of(&dispatchers, id);
        assert_ne!(after, lost);
        assert!(*previous == lost || after == *previous);
    }
    // The dispatcher is asked again after a while.
    let later = now + Duration::from_secs(1);
    assert_eq!(dispatchers.of_engine(&ids[0], later), Some(lost));
}

/// A dispatcher that takes over knows the runs once instances have reported them, and removes
/// those that are not reported any more.
#[test]
fn run_table_follows_reports() {
    let now = Instant::now();
    let mut run_table = RunTable::default();
    let engine: UpstreamId = "i-0".into();
    let key = |id| RunKey {
        instance: address(1),
        id,
    };
    for id in 0..3 {
        run_table.record(key(id), &engine, now);
        run_table.record(key(id), &engine, now);
    }
    assert_eq!((run_table.load(&engine), run_table.len()), (3, 3));
    assert_eq!(run_table.engine_of(key(1)), Some(&engine));
    assert_eq!(run_table.remove(key(0)), Some(engine.clone()));
    assert_eq!(run_table.remove(key(0)), None);
    run_table.record(key(1), &engine, now + Duration::from_secs(1));
    run_table.remove_expired(now + Duration::from_millis(1_500));
    assert_eq!(run_table.load(&engine), 1);
    // A run that continues elsewhere counts only there.
    let other: UpstreamId = "i-1".into();
    run_table.record(key(1), &other, now + Duration::from_secs(2));
    assert_eq!((run_table.load(&engine), run_table.load(&other)), (0, 1));
}

#[test]
fn small_fleets_have_none() {
    assert_eq!(required_dispatchers(6, 9), 0);
    assert_eq!(required_dispatchers(69, 90), 3);
    assert_eq!(required_dispatchers(295, 256), 8);
    assert_eq!(required_dispatchers(320, 600), 19);
}

/// Of two requests for one slot, the one that can meet its deadline precedes the one that cannot,
/// then the one that is due first. A request that has not asked again has left, and one that needs
/// another model does not block the others.
#[test]
fn earlier_due_precedes() {
    let now = Instant::now();
    let mut queue = WaitQueue::default();
    let key = |id| RunKey {
        instance: address(1),
        id,
    };
    let waiter = |model: usize, due_at| {
        let model = model_name(model);
        let adapter = None;
        Waiter::new(ModelRef { model, adapter }, due_at)
    };
    let soon = waiter(0, now + Duration::from_millis(100));
    let later = waiter(0, now + Duration::from_millis(400));
    let past = waiter(
        0,
        now.checked_sub(Duration::from_millis(50)).expect("a clock"),
    );
    let elsewhere = waiter(1, now);
    for (id, waiter) in (0..).zip([&soon, &later, &past, &elsewhere]) {
        queue.record(key(id), waiter.clone(), now);
    }
    let could_use = |model_ref: &ModelRef| model_ref.model == model_name(0);
    let count_ahead =
        |queue: &WaitQueue, id, waiter, now| queue.count_ahead(key(id), waiter, could_use, now);
    assert_eq!(count_ahead(&queue, 0, &soon, now), 0);
    assert_eq!(count_ahead(&queue, 1, &later, now), 1);
    assert_eq!(count_ahead(&queue, 2, &past, now), 2);
    queue.remove(key(0));
    assert_eq!(count_ahead(&queue, 2, &past, now), 1);
    let after = now + Duration::from_millis(200);
    assert_eq!(count_ahead(&queue, 2, &past, after), 0);
    queue.remove_expired(after);
    assert_eq!(count_ahead(&queue, 2, &past, now), 0);
}

#[test]
fn urgent_overfills() {
    assert_eq!(effective_load(12, 12, false), 12);
    assert_eq!(effective_load(12, 12, true), 8);
    assert_eq!(effective_load(2, 12, true), 0);
}
