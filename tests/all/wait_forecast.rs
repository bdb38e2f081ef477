//! Requests that cannot begin in their time are refused at once, and callers that return as told
//! find capacity. A simulation of one dispatcher, with callers that ask again every 50 ms.

use passway_serving::dispatch::{
    Decision, Dispatcher, DispatcherEngines, EngineRequest, MAX_RETRY_AFTER, Promise, RunKey,
    WaitQueue, Waiter,
};
use passway_serving::forecast::{RequestSize, StreamProgress};
use passway_serving::halls::AllowedRegions;
use passway_serving::upstreams::{
    ModelRef, RequestNeeds, ResidentModel, UpstreamEntry, UpstreamTable,
};
use passway_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

const ENGINES: u16 = 8;
const SLOTS: u32 = 12;
/// Mean duration of a run; with 96 slots, 64 runs end per second.
const RUN_MS: u64 = 1_500;
const CAPACITY_PER_S: f64 = 64.0;
const GOAL: Duration = Duration::from_millis(800);
const WAIT_LIMIT: Duration = Duration::from_millis(1_350);
const POLL_MS: u64 = 50;
/// A few queries, in which a request may be overtaken that seemed to be next.
const SOON_MS: u64 = 200;

fn engines() -> UpstreamTable {
    let now = Instant::now();
    let mut table = UpstreamTable::new("hall0".into());
    for number in 0..ENGINES {
        let entry = UpstreamEntry {
            id: format!("i-{number}").into(),
            service: "engines".into(),
            address: ([10, 0, 0, 1], 7_000 + number).into(),
            hall: "hall0".into(),
            slots: SLOTS,
            draining: false,
            cold_until: None,
            models: vec![ResidentModel {
                name: "m0".into(),
                adapters: Vec::new(),
            }],
            in_memory: Vec::new(),
            on_disk: Vec::new(),
            heartbeat: 1,
            started_at_ms: 0,
            software: "v1".into(),
        };
        table.update(entry, now);
    }
    table
}

/// A caller's request, in its first or its second attempt.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    id: u64,
    fingerprint: u64,
    /// When the attempt arrived, in ms.
    arrived_ms: u64,
    is_return: bool,
}

#[derive(Debug)]
enum Event {
    Ask(Attempt),
    End(RunKey),
}

#[derive(Debug, Default)]
struct Results {
    granted: u32,
    refused: u32,
    refused_at_once: u32,
    /// Refused within [`SOON_MS`].
    refused_soon: u32,
    timed_out: u32,
    /// Second attempts at the time that was told, and how many of them were granted.
    returned: u32,
    returned_granted: u32,
    /// Attempts that the dispatcher recognized as returns.
    recognized: u32,
    /// Granted requests that had waited, and the sum of the ratios of their waits to the forecasts.
    waited: u32,
    ratio_sum: f64,
}

struct Site {
    rng: ChaCha8Rng,
    started_at: Instant,
    now_ms: u64,
    table: UpstreamTable,
    dispatcher: Dispatcher,
    events: BTreeMap<u64, Vec<Event>>,
    running: BTreeMap<u64, (RunKey, UpstreamId)>,
    next_id: u64,
    mean_run_ms: u64,
    /// The fingerprint of all requests; `None` if each has its own.
    shared_fingerprint: Option<u64>,
    results: Results,
}

impl Site {
    fn new() -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(7),
            started_at: Instant::now(),
            now_ms: 0,
            table: engines(),
            dispatcher: Dispatcher::default(),
            events: BTreeMap::new(),
            running: BTreeMap::new(),
            next_id: 1,
            mean_run_ms: RUN_MS,
            shared_fingerprint: None,
            results: Results::default(),
        }
    }

    fn now(&self) -> Instant {
        self.started_at + Duration::from_millis(self.now_ms)
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.events.entry(at_ms).or_default().push(event);
    }

    fn new_attempt(&mut self, fingerprint: u64, is_return: bool) -> Attempt {
        let id = self.next_id;
        self.next_id += 1;
        Attempt {
            id,
            fingerprint,
            arrived_ms: self.now_ms,
            is_return,
        }
    }

    /// Sends a query for an attempt to the dispatcher.
    fn decide(&mut self, attempt: Attempt) -> Decision {
        let arrived_at = self.started_at + Duration::from_millis(attempt.arrived_ms);
        let (service, hall) = ("engines".into(), "hall0".into());
        let model_ref = ModelRef {
            model: "m0".into(),
            adapter: None,
        };
        let request = EngineRequest {
            key: key(attempt.id),
            needs: RequestNeeds {
                service: &service,
                model_ref: Some(&model_ref),
                hall: &hall,
                allowed: &AllowedRegions::ANY,
                random: attempt.id,
            },
            model_ref: &model_ref,
            tried: &[],
            due_at: arrived_at + GOAL,
            wait_until: arrived_at.min(self.now()) + WAIT_LIMIT,
            is_urgent: false,
            urgency: 1,
            workspace: None,
            workspace_rate_per_s: None,
            size: RequestSize::default(),
            promise: Promise {
                first_event_by: arrived_at + GOAL,
                max_gap: None,
            },
            fingerprint: attempt.fingerprint,
            wants_backup: false,
            copy_limit_tokens: 0,
            is_redirected: false,
            only_engine: None,
        };
        let engines = DispatcherEngines {
            upstreams: &self.table,
            is_own: &|_| true,
        };
        self.dispatcher.decide(&request, engines, self.now())
    }

    /// One query, and what the caller does after the answer.
    fn ask(&mut self, attempt: Attempt) {
        let waited_ms = self.now_ms - attempt.arrived_ms;
        if Duration::from_millis(waited_ms) >= WAIT_LIMIT {
            self.results.refused += 1;
            self.results.timed_out += 1;
            return;
        }
        let decision = self.decide(attempt);
        if let Some(outcome) = self.dispatcher.take_wait_outcome() {
            self.results.recognized += u32::from(outcome.is_return);
            let expected = outcome.expected.filter(|_| outcome.refused.is_none());
            if let Some(expected) = expected.filter(|wait| *wait >= Duration::from_millis(200)) {
                let ratio = outcome.waited.as_secs_f64() / expected.as_secs_f64();
                self.results.waited += 1;
                self.results.ratio_sum += ratio;
            }
        }
        match decision {
            Decision::Grant { engine, .. } => {
                self.results.granted += 1;
                self.results.returned_granted += u32::from(attempt.is_return);
                let run = (key(attempt.id), engine);
                self.running.insert(attempt.id, run);
                let mean_ms = self.mean_run_ms;
                let run_ms = self.rng.random_range(mean_ms / 2..mean_ms * 3 / 2);
                self.push(self.now_ms + run_ms, Event::End(key(attempt.id)));
            }
            Decision::Full => self.push(self.now_ms + POLL_MS, Event::Ask(attempt)),
            Decision::TooLate { retry_after } => {
                assert!(retry_after <= MAX_RETRY_AFTER);
                self.results.refused += 1;
                self.results.refused_at_once += u32::from(waited_ms == 0);
                self.results.refused_soon += u32::from(waited_ms <= SOON_MS);
                if !attempt.is_return {
                    let retry_ms = u64::try_from(retry_after.as_millis()).expect("small");
                    let mut second = self.new_attempt(attempt.fingerprint, true);
                    // A caller needs some time for a new connection.
                    second.arrived_ms = self.now_ms + retry_ms + self.rng.random_range(1..20);
                    self.push(second.arrived_ms, Event::Ask(second));
                }
            }
            other => panic!("{other:?}"),
        }
    }

    /// Runs for a time with this many new requests per second.
    fn run(&mut self, duration_ms: u64, arrivals_per_s: f64) {
        for _ in 0..duration_ms {
            self.now_ms += 1;
            if self.now_ms.is_multiple_of(500) {
                let now = self.now();
                for (key, engine) in self.running.values() {
                    let progress = StreamProgress::default();
                    self.dispatcher.record_run(*key, engine, &progress, now);
                }
                self.dispatcher.remove_expired(now);
            }
            if self.rng.random_bool(arrivals_per_s / 1_000.0) {
                let content = self.rng.random();
                let fingerprint = self.shared_fingerprint.unwrap_or(content);
                let attempt = self.new_attempt(fingerprint, false);
                self.push(self.now_ms, Event::Ask(attempt));
            }
            for event in self.events.remove(&self.now_ms).unwrap_or_default() {
                match event {
                    Event::Ask(attempt) => {
                        let is_first_query = self.now_ms == attempt.arrived_ms;
                        self.results.returned += u32::from(attempt.is_return && is_first_query);
                        self.ask(attempt);
                    }
                    Event::End(key) => {
                        self.running.remove(&key.id);
                        let now = self.now();
                        self.dispatcher
                            .record_end(key, &StreamProgress::default(), now);
                    }
                }
            }
        }
    }

    /// A site whose engines are nearly full, so that the dispatcher knows their rates.
    fn warm() -> Self {
        let mut site = Self::new();
        site.run(6_000, 0.9 * CAPACITY_PER_S);
        site.results = Results::default();
        site
    }

    /// Fills all slots and the wait queue until a request is refused. Returns that request's
    /// fingerprint and the time told.
    fn refuse_one(&mut self) -> (u64, Duration) {
        for number in 0..1_000 {
            let mut attempt = self.new_attempt(1_000_000 + number, false);
            // Each is due after the previous one.
            attempt.arrived_ms += number;
            if let Decision::TooLate { retry_after } = self.decide(attempt) {
                return (attempt.fingerprint, retry_after);
            }
        }
        panic!("no request was refused");
    }

    /// The time told to a new attempt with this content.
    fn retry_after(&mut self, fingerprint: u64) -> Duration {
        let mut attempt = self.new_attempt(fingerprint, false);
        // Those that wait are due before.
        attempt.arrived_ms += 1_000;
        match self.decide(attempt) {
            Decision::TooLate { retry_after } => retry_after,
            other => panic!("{other:?}"),
        }
    }
}

fn key(id: u64) -> RunKey {
    RunKey {
        instance: ([10, 0, 0, 2], 7_380).into(),
        id,
    }
}

/// Guards against requests that wait for a timeout under overload, and against retry times at which
/// there is no capacity. In the first three seconds the queue fills, and the dispatcher learns that
/// late requests are overtaken and that callers return.
#[test]
fn overload_refuses_at_once() {
    let mut site = Site::warm();
    site.run(3_000, 2.0 * CAPACITY_PER_S);
    println!("{:?}", site.results);
    let first = std::mem::take(&mut site.results);
    site.run(7_000, 2.0 * CAPACITY_PER_S);
    site.run(18_000, 0.1 * CAPACITY_PER_S);
    let results = &site.results;
    println!("{results:?}");
    assert!(results.refused > 100);
    assert!(results.refused_soon * 10 >= results.refused * 9);
    assert!(results.refused_at_once * 10 >= results.refused * 8);
    assert!((first.timed_out + results.timed_out) * 100 <= first.refused + results.refused);
    assert!(results.returned > 100);
    assert!(results.returned_granted * 10 >= results.returned * 9);
}

/// Guards against requests that wait before they are refused while an overload begins.
#[test]
fn refused_at_once_from_the_beginning() {
    let mut site = Site::warm();
    site.run(10_000, 2.0 * CAPACITY_PER_S);
    let results = &site.results;
    println!("{results:?}");
    assert!(results.refused_at_once * 10 >= results.refused * 9);
}

/// Guards against callers that gain by returning at once, or that delay others by it.
#[test]
fn early_return_gains_nothing() {
    let mut site = Site::warm();
    let (fingerprint, told) = site.refuse_one();
    let next = site.retry_after(1);
    assert!(next > told, "moments follow each other");
    for _ in 0..20 {
        assert_eq!(site.retry_after(fingerprint), told);
        let outcome = site.dispatcher.take_wait_outcome().expect("a refusal");
        assert!(!outcome.is_return);
    }
    let after = site.retry_after(2);
    assert!(
        after < next + Duration::from_millis(60),
        "others' moments are not delayed"
    );
}

/// Guards against an entry that gives precedence more than once, too early or much too late.
#[test]
fn entry_counts_once_in_its_time() {
    let mut site = Site::warm();
    let (fingerprint, told) = site.refuse_one();
    let told_ms = u64::try_from(told.as_millis()).expect("small");
    let is_return = |site: &mut Site| {
        let attempt = site.new_attempt(fingerprint, false);
        site.decide(attempt);
        let outcome = site.dispatcher.take_wait_outcome();
        outcome.is_some_and(|outcome| outcome.is_return)
    };
    site.now_ms += told_ms - 100;
    assert!(!is_return(&mut site), "too early");
    site.now_ms += 100;
    let keys: Vec<RunKey> = site.running.values().map(|(key, _)| *key).collect();
    for key in keys {
        let now = site.now();
        let progress = StreamProgress::default();
        site.dispatcher.record_end(key, &progress, now);
    }
    assert!(is_return(&mut site));
    assert!(!is_return(&mut site), "the entry counts once");
    let mut site = Site::warm();
    let (fingerprint, told) = site.refuse_one();
    site.now_ms += u64::try_from(told.as_millis()).expect("small") + 10_000;
    let attempt = site.new_attempt(fingerprint, false);
    site.decide(attempt);
    assert_eq!(site.dispatcher.take_wait_outcome(), None, "much too late");
}

/// Guards against a returned caller that waits behind new arrivals, and against one that overtakes
/// requests which can be in time although it cannot.
#[test]
fn return_precedes_new_arrivals() {
    let now = Instant::now();
    let mut queue = WaitQueue::default();
    let model_ref = ModelRef {
        model: "m0".into(),
        adapter: None,
    };
    let waiter = |due_in_ms, is_return| Waiter {
        is_return,
        ..Waiter::new(model_ref.clone(), now + Duration::from_millis(due_in_ms))
    };
    queue.record(key(1), waiter(100, false), now);
    queue.record(key(2), waiter(300, true), now);
    let count_ahead = |waiter: &Waiter, now| queue.count_ahead(key(3), waiter, |_| true, now);
    assert_eq!(count_ahead(&waiter(400, true), now), 1);
    assert_eq!(count_ahead(&waiter(50, false), now), 1);
    let later = now + Duration::from_millis(150);
    assert_eq!(count_ahead(&waiter(120, true), later), 1);
    assert_eq!(count_ahead(&waiter(400, false), later), 1);
}

/// Guards against a dispatcher that refuses at once before it knows how fast the engines are.
#[test]
fn starting_dispatcher_refuses_nobody() {
    let mut site = Site::new();
    for number in 0..1_000 {
        let attempt = site.new_attempt(1 + number, false);
        assert!(!matches!(site.decide(attempt), Decision::TooLate { .. }));
    }
}

/// Guards against runs that are no longer reported and count as ended: a dispatcher that hears of no
/// end refuses nobody at once.
#[test]
fn expired_runs_are_no_ends() {
    let mut site = Site::new();
    for _ in 0..4 {
        for _ in 0..300 {
            let attempt = site.new_attempt(site.next_id, false);
            assert!(!matches!(site.decide(attempt), Decision::TooLate { .. }));
        }
        site.now_ms += 2_000;
        let now = site.now();
        site.dispatcher.remove_expired(now);
    }
}

/// Guards against refusals by a rate that is out of date, after messages about ends were lost.
#[test]
fn old_rate_refuses_nobody() {
    let mut site = Site::warm();
    site.refuse_one();
    site.now_ms += 1_200;
    for number in 0..300 {
        let attempt = site.new_attempt(1 + number, false);
        assert!(!matches!(site.decide(attempt), Decision::TooLate { .. }));
    }
}

/// Guards against requests without a fingerprint, from instances that do not know the refusal, that
/// are refused.
#[test]
fn unnamed_content_waits() {
    let mut site = Site::warm();
    site.refuse_one();
    for _ in 0..100 {
        let attempt = site.new_attempt(0, false);
        assert_eq!(site.decide(attempt), Decision::Full);
    }
}

/// Guards against rates that stay wrong after engines have become slower: two seconds later,
/// requests are refused at once again and forecasts are right again.
#[test]
fn halved_engines_are_noticed() {
    let mut site = Site::warm();
    site.run(6_000, 1.5 * CAPACITY_PER_S);
    site.mean_run_ms *= 2;
    site.run(2_000, 1.5 * CAPACITY_PER_S);
    site.results = Results::default();
    site.run(6_000, 1.5 * CAPACITY_PER_S);
    let results = &site.results;
    let mean = results.ratio_sum / f64::from(results.waited);
    println!("mean ratio {mean:.2}; {results:?}");
    assert!(results.refused_at_once * 10 >= results.refused * 8);
    assert!((0.5..2.0).contains(&mean), "{mean}");
}

/// Guards against fingerprints that collide and do more than give one extra precedence: capacity is
/// used as before, and at most one return is recognized for each refusal.
#[test]
fn colliding_fingerprints_do_little() {
    let mut grants = [0, 0];
    for (grants, fingerprint) in grants.iter_mut().zip([None, Some(5)]) {
        let mut site = Site::warm();
        site.shared_fingerprint = fingerprint;
        site.run(10_000, 2.0 * CAPACITY_PER_S);
        println!("{:?}", site.results);
        assert!(site.results.recognized <= site.results.refused);
        *grants = site.results.granted;
    }
    let [distinct, colliding] = grants;
    assert!(
        colliding * 100 >= distinct * 97,
        "{colliding} of {distinct}"
    );
}
