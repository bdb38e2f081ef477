//! Which parts of prompts are blamed for upstreams' crashes, checked without a network.

use passway_serving::poison::{
    PartId, PoisonList, RequestDigest, RunDecision, RunPermission, SuspectKey, UpstreamStart,
};
use passway_types::prelude::*;

/// A part that sound requests share with crashing ones, the part that crashes, and others.
const SHARED: u128 = 1;
const CRASHING: u128 = 2;
const SOUND: u128 = 3;
/// Time from a run's begin to its crash, and between two crashes.
const RUN: Duration = Duration::from_millis(100);
const GAP: Duration = Duration::from_millis(600);

/// A list of suspects, and the crashes so far.
struct World {
    list: PoisonList,
    now: Instant,
    crashes: u64,
}

fn part(id: u128) -> SuspectKey {
    SuspectKey::Part(PartId(id))
}

impl World {
    fn new() -> Self {
        Self {
            list: PoisonList::default(),
            now: Instant::now(),
            crashes: 0,
        }
    }

    /// An upstream crashes under requests with these parts, all sent at `sent_at`.
    fn crash_at(&mut self, requests: &[&[u128]], sent_at: Instant) {
        self.crashes += 1;
        let start = UpstreamStart {
            upstream: format!("i-{}", self.crashes).into(),
            started_at_ms: 0,
        };
        for (number, parts) in requests.iter().enumerate() {
            let mut digest = [0; 16];
            digest[..8].copy_from_slice(&self.crashes.to_le_bytes());
            digest[8] = u8::try_from(number).expect("few requests");
            let keys = parts.iter().map(|id| part(*id));
            let keys: Vec<_> = keys.chain([RequestDigest(digest).into()]).collect();
            self.list.record_run_crash(&keys, &start, sent_at, self.now);
        }
    }

    /// An upstream crashes under requests that were sent after the previous crash.
    fn crash(&mut self, requests: &[&[u128]]) {
        let sent_at = self.now + GAP;
        self.now = sent_at + RUN;
        self.crash_at(requests, sent_at);
    }

    fn whole_run(&mut self, parts: &[u128]) {
        for id in parts {
            self.list.record_answer(part(*id));
        }
    }

    fn run_decision(&mut self, parts: &[u128]) -> RunDecision {
        let keys: Vec<SuspectKey> = parts.iter().map(|id| part(*id)).collect();
        self.list.run_decision(&keys, self.now)
    }

    fn is_refused(&mut self, parts: &[u128]) -> bool {
        self.run_decision(parts).refused_for.is_some()
    }

    fn is_free(&mut self, parts: &[u128]) -> bool {
        self.run_decision(parts) == RunDecision::default()
    }
}

/// Guards against refusing what sound requests share with crashing ones.
#[test]
fn shared_part_spared() {
    let mut world = World::new();
    for _ in 0..5 {
        world.crash(&[&[SHARED, CRASHING], &[SHARED, SOUND]]);
        world.whole_run(&[SHARED, SOUND]);
    }
    assert!(world.is_refused(&[SHARED, CRASHING]));
    assert!(world.is_refused(&[77, CRASHING]));
    assert!(world.is_free(&[SHARED, SOUND]));
}

/// Guards against parts that are always together: neither alone is to blame.
#[test]
fn inseparable_parts() {
    let mut world = World::new();
    for _ in 0..3 {
        world.crash(&[&[SHARED, CRASHING]]);
    }
    assert!(world.is_refused(&[SHARED, CRASHING]));
    assert!(world.is_free(&[SHARED, SOUND]));
}

// Guards against a part that ends many upstreams within a few moments, because its requests go on to the next one at once, and
// counts only once for each moment: five ends are as many as may pass before it is known. A moment alone may be the loss
// of a rack.
#[test]
fn crashes_in_few_moments() {
    let mut world = World::new();
    let crash_in_row = |world: &mut World, count: usize| {
        world.now += GAP;
        for _ in 0..count {
            let sent_at = world.now;
            world.now += RUN / 10;
            world.crash_at(&[&[SHARED, CRASHING]], sent_at);
        }
        world.whole_run(&[SHARED, SOUND]);
    };
    crash_in_row(&mut world, 4);
    assert!(world.is_free(&[77, CRASHING]));
    crash_in_row(&mut world, 1);
    assert!(world.is_refused(&[77, CRASHING]));
    assert!(world.is_free(&[SHARED, SOUND]));
}

/// Two ends under one request alone: the next one runs alone, by the permit of one part.
#[test]
fn alone_after_two() {
    let mut world = World::new();
    for _ in 0..2 {
        world.crash(&[&[SHARED, CRASHING]]);
    }
    let decision = world.run_decision(&[SHARED, CRASHING]);
    assert_eq!(decision.permission, RunPermission::Alone);
    assert!(decision.exclusive_key.is_some_and(SuspectKey::is_part));
    assert!(world.is_free(&[SHARED, SOUND]));
    world.whole_run(&[SHARED, CRASHING]);
    assert!(world.is_free(&[SHARED, CRASHING]));
}

/// Guards against blaming the parts of requests that moved on together with a crashing one.
#[test]
fn companions_spared() {
    let mut world = World::new();
    let companions: [&[u128]; 3] = [&[SHARED, 10], &[SHARED, 11], &[SHARED, CRASHING]];
    world.crash(&companions);
    world.crash(&companions);
    world.crash(&[&[SHARED, 12], &[SHARED, CRASHING]]);
    assert!(world.is_refused(&[SHARED, CRASHING]));
    for companion in [10, 11, 12] {
        assert!(world.is_free(&[SHARED, companion]), "{companion}");
    }
}

/// Guards against blaming what ran everywhere when a rack was lost.
#[test]
fn one_moment() {
    let mut world = World::new();
    let begun_at = world.now;
    for number in 0..20 {
        // Runs that were sent on, and times of other instances that are off by 0.1 s each.
        let sent_at = begun_at + Duration::from_millis(30) * number;
        world.now = sent_at + 2 * RUN;
        world.crash_at(&[&[SHARED, SOUND]], sent_at);
    }
    assert!(world.is_free(&[SHARED, SOUND]));
    // Told to all instances by each that saw it, such a part would fill the holder's link.
    assert!(!world.list.needs_broadcast(part(SHARED)));
}

/// Guards against two crashing parts that hide behind each other.
#[test]
fn two_at_once() {
    let mut world = World::new();
    for _ in 0..4 {
        world.crash(&[&[SHARED, CRASHING], &[SHARED, 20]]);
        world.whole_run(&[SHARED]);
    }
    assert!(world.is_refused(&[SHARED, CRASHING]));
    assert!(world.is_refused(&[SHARED, 20]));
    assert!(world.is_free(&[SHARED, SOUND]));
}

/// Guards against a caller that has a common part refused by crashes of its own making.
#[test]
fn framed_part() {
    let mut world = World::new();
    for number in 100..110 {
        world.crash(&[&[SHARED, number]]);
        world.whole_run(&[SHARED, SOUND]);
        assert!(world.is_free(&[SHARED, SOUND]));
    }
}

/// Guards against a part that was blamed wrongly and is refused for an hour: one run at a time is tried,
/// and a whole run clears the part. One that crashes again is refused for longer each time.
#[test]
fn tried_again() {
    let mut world = World::new();
    for _ in 0..3 {
        world.crash(&[&[SHARED, CRASHING]]);
    }
    for delay_s in [2, 20] {
        assert!(world.is_refused(&[SHARED, CRASHING]));
        world.now += Duration::from_secs(delay_s);
        let decision = world.run_decision(&[SHARED, CRASHING]);
        assert_eq!(decision.refused_for, None);
        assert_eq!(decision.permission, RunPermission::Alone);
        world.crash(&[&[SHARED, CRASHING]]);
    }
    world.now += Duration::from_secs(3_500);
    assert!(world.is_refused(&[SHARED, CRASHING]));
    world.whole_run(&[SHARED, CRASHING]);
    assert!(world.is_free(&[SHARED, CRASHING]));
}

/// Guards against a caller that displaces a refused part by invented ones.
#[test]
fn invented_parts() {
    let mut world = World::new();
    for _ in 0..5 {
        world.crash(&[&[CRASHING]]);
    }
    for first in 0..80 {
        let ids: Vec<u128> = (0..60).map(|number| 1_000 + first * 60 + number).collect();
        world.crash(&[&ids]);
        world.crash(&[&ids]);
    }
    assert!(world.is_refused(&[SHARED, CRASHING]));
    let first = world.list.suspects(1).into_iter().next();
    assert_eq!(first.map(|suspect| suspect.key), Some(part(CRASHING)));
    assert!(world.list.suspects(1).len() <= 4_096);
}

/// Guards against a part that is not counted because it was cleared often.
#[test]
fn crashes_after_many_whole_runs() {
    let mut world = World::new();
    for number in 0..20 {
        world.crash(&[&[SOUND, 200 + number]]);
        world.whole_run(&[SOUND]);
    }
    for _ in 0..3 {
        world.crash(&[&[SOUND]]);
    }
    assert!(world.is_refused(&[SOUND]));
}

/// Guards against a part that counts for more once it comes from the store, which keeps no times: of
/// crashes at one moment only one counts.
#[test]
fn counts_as_much_from_the_store() {
    let mut world = World::new();
    let sent_at = world.now;
    for _ in 0..4 {
        world.now += Duration::from_millis(30);
        world.crash_at(&[&[SHARED]], sent_at);
    }
    world.crash(&[&[SHARED]]);
    assert_eq!(
        world.run_decision(&[SHARED]).permission,
        RunPermission::Alone
    );
    let mut stored = world.list.persisted_suspects();
    for suspect in &mut stored {
        suspect.runs.clear();
    }
    let mut restarted = World::new();
    restarted.list.merge(stored, restarted.now);
    assert_eq!(
        restarted.run_decision(&[SHARED]).permission,
        RunPermission::Alone
    );
}

#[test]
fn keys_survive_encoding() {
    let request = SuspectKey::from(RequestDigest([7; 16]));
    for key in [request, part(7), part(u128::MAX)] {
        assert_eq!(SuspectKey::from_bytes(&key.to_bytes()), Some(key));
    }
    assert_eq!(SuspectKey::from_bytes(b"other"), None);
}
