//! Benchmarks of a dispatcher's decision on one request.

use criterion::{Criterion, criterion_group, criterion_main};
use passway_serving::dispatch::{
    Decision, Dispatcher, DispatcherEngines, EngineRequest, Promise, RunKey,
};
use passway_serving::forecast::{RequestSize, StreamProgress};
use passway_serving::halls::AllowedRegions;
use passway_serving::upstreams::{
    ModelRef, RequestNeeds, ResidentModel, UpstreamEntry, UpstreamTable,
};
use passway_standins::fleet_model::FleetSize;
use passway_types::prelude::*;

const DISPATCH_ENGINES: usize = 120;
/// Of the 375 models in [`dispatch_table`], those that are loaded: eight busy ones on 15 engines each
/// and two rare ones on each engine.
const BUSY_MODELS: usize = 8;
const LOADED_MODELS: usize = BUSY_MODELS + 2 * DISPATCH_ENGINES;

/// The model that a request with this number needs, one of ten.
fn busy_model(number: u64) -> ModelRef {
    ModelRef {
        model: format!("model-{}", number % 10).into(),
        adapter: None,
    }
}

/// Engines with two of ten models each, so that each model is loaded on 24 of 120.
fn full_table(engines: u16, slots: u32, now: Instant) -> UpstreamTable {
    let mut upstreams = UpstreamTable::new("hall0".into());
    for number in 0..engines {
        let resident = |offset| ResidentModel {
            name: busy_model(u64::from(number) + offset).model,
            adapters: Vec::new(),
        };
        let entry = UpstreamEntry {
            id: format!("engine-{number}").into(),
            service: "engines".into(),
            address: ([10, 0, 0, 1], 7_000 + number).into(),
            hall: "hall0".into(),
            slots,
            draining: false,
            cold_until: None,
            models: (0..2).map(resident).collect(),
            in_memory: Vec::new(),
            on_disk: Vec::new(),
            heartbeat: 1,
            started_at_ms: 0,
            software: "v1".into(),
        };
        upstreams.update(entry, now);
    }
    upstreams
}

/// A dispatcher's decision on a request that finds no slot, while 1,000 requests wait for 120 full
/// engines.
fn dispatch_full(criterion: &mut Criterion) {
    const ENGINES: u16 = 120;
    const SLOTS: u32 = 16;
    const WAITING: u64 = 1_000;
    let now = Instant::now();
    let upstreams = full_table(ENGINES, SLOTS, now);
    let engines = DispatcherEngines {
        upstreams: &upstreams,
        is_own: &|_| true,
    };
    let key = |id| RunKey {
        instance: ([10, 0, 0, 2], 7_380).into(),
        id,
    };
    let (service, hall) = ("engines".into(), "hall0".into());
    let mut dispatcher = Dispatcher::default();
    let progress = StreamProgress::default();
    let slots = u64::from(ENGINES) * u64::from(SLOTS);
    let run_id = |number| 1_000_000 + number;
    let fill = |dispatcher: &mut Dispatcher, now| {
        for number in 0..slots {
            let engine = format!("engine-{}", number % u64::from(ENGINES));
            dispatcher.record_run(key(run_id(number)), &engine.as_str().into(), &progress, now);
        }
    };
    for round in 0..4 {
        let now = now + Duration::from_millis(100 * round);
        fill(&mut dispatcher, now);
        for number in 0..slots / 10 {
            dispatcher.record_end(key(run_id(number)), &progress, now);
        }
    }
    let now = now + Duration::from_millis(400);
    fill(&mut dispatcher, now);
    let decide = |dispatcher: &mut Dispatcher, id: u64| {
        let model_ref = busy_model(id);
        let due_at = now + Duration::from_millis(id % 1_000);
        let request = EngineRequest {
            key: key(id),
            needs: RequestNeeds {
                service: &service,
                model_ref: Some(&model_ref),
                hall: &hall,
                allowed: &AllowedRegions::ANY,
                random: id,
            },
            model_ref: &model_ref,
            tried: &[],
            due_at,
            wait_until: now + Duration::from_secs(10),
            is_urgent: false,
            urgency: 1,
            workspace: None,
            workspace_rate_per_s: None,
            size: RequestSize::default(),
            promise: Promise {
                first_event_by: due_at,
                max_gap: None,
            },
            fingerprint: id + 1,
            wants_backup: false,
            copy_limit_tokens: 0,
            is_redirected: false,
            only_engine: None,
        };
        dispatcher.decide(&request, engines, now)
    };
    for id in 0..WAITING {
        assert_eq!(decide(&mut dispatcher, id), Decision::Full);
    }
    let mut id = 0;
    criterion.bench_function("dispatch_full/1000", |bencher| {
        bencher.iter(|| {
            id = (id + 1) % WAITING;
            decide(&mut dispatcher, id)
        });
    });
}

/// Engines of 12 slots with three of 375 models each.
fn dispatch_table(now: Instant) -> UpstreamTable {
    let mut table = UpstreamTable::new("hall0".into());
    for number in 0..DISPATCH_ENGINES {
        let rare = BUSY_MODELS + 2 * number;
        let models = [number % BUSY_MODELS, rare, rare + 1].map(|model| ResidentModel {
            name: FleetSize::model(model),
            adapters: Vec::new(),
        });
        let entry = UpstreamEntry {
            id: format!("e{number}").into(),
            service: "engines".into(),
            address: ([10, 0, 0, 1], 7_380).into(),
            hall: "hall0".into(),
            slots: 12,
            draining: false,
            cold_until: None,
            models: models.into(),
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

/// A request that asks again and goes after others, while 1,000 requests of 16 workspaces wait at a
/// dispatcher of 120 engines: half of them for all busy models or for one of them, the others for
/// rare models. Each engine has one free slot.
fn dispatch_decision(criterion: &mut Criterion) {
    const WAITING: usize = 1_000;
    /// One in this many requests goes after all others. Only these ask again, so that the number of
    /// waiting requests stays the same.
    const LAST_ONE_IN: usize = 10;
    let now = Instant::now();
    let table = dispatch_table(now);
    let engines = DispatcherEngines {
        upstreams: &table,
        is_own: &|_| true,
    };
    let key = |id| RunKey {
        instance: ([10, 0, 0, 1], 7_380).into(),
        id,
    };
    let (service, hall) = ("engines".into(), "hall0".into());
    let workspaces: Vec<WorkspaceName> = (0..16).map(|n| format!("w{n}").into()).collect();
    let mut group = criterion.benchmark_group("dispatch_decision");
    for (name, busy_models) in [("busy_models", BUSY_MODELS), ("one_model", 1)] {
        let mut dispatcher = Dispatcher::default();
        let ask = |dispatcher: &mut Dispatcher, number: usize, model: usize| {
            let id = number as u64;
            let model_ref = ModelRef {
                model: FleetSize::model(model),
                adapter: None,
            };
            let is_last = number.is_multiple_of(LAST_ONE_IN);
            let due_ms = if is_last { 9_000 } else { 100 + id * 7 % 1_000 };
            let due_at = now + Duration::from_millis(due_ms);
            let request = EngineRequest {
                key: key(id),
                needs: RequestNeeds {
                    service: &service,
                    model_ref: Some(&model_ref),
                    hall: &hall,
                    allowed: &AllowedRegions::ANY,
                    random: id,
                },
                model_ref: &model_ref,
                tried: &[],
                due_at,
                wait_until: due_at,
                is_urgent: false,
                urgency: if is_last {
                    2
                } else {
                    u8::from(id.is_multiple_of(3))
                },
                workspace: workspaces
                    .get(usize::try_from(id % 16).unwrap_or(0))
                    .cloned(),
                workspace_rate_per_s: Some(1_000.0),
                size: RequestSize::default(),
                promise: Promise {
                    first_event_by: due_at,
                    max_gap: None,
                },
                fingerprint: 0,
                wants_backup: false,
                copy_limit_tokens: 0,
                is_redirected: false,
                only_engine: None,
            };
            dispatcher.decide(&request, engines, now)
        };
        for slot in 0..12 {
            for engine in 0..DISPATCH_ENGINES {
                let rare = BUSY_MODELS + 2 * engine;
                let decision = ask(&mut dispatcher, slot * DISPATCH_ENGINES + engine, rare);
                assert!(matches!(decision, Decision::Grant { .. }), "{decision:?}");
            }
        }
        let model_of = |number: usize| {
            if number.is_multiple_of(2) {
                number / 2 % busy_models
            } else {
                BUSY_MODELS + number * 7 % (LOADED_MODELS - BUSY_MODELS)
            }
        };
        let first = 12 * DISPATCH_ENGINES;
        for number in first..first + WAITING {
            let decision = ask(&mut dispatcher, number, model_of(number));
            assert_eq!(decision, Decision::Full);
        }
        for engine in 0..DISPATCH_ENGINES {
            dispatcher.record_end(key(engine as u64), &StreamProgress::default(), now);
        }
        let mut number = first;
        group.bench_function(name, |bencher| {
            bencher.iter(|| {
                number = first + (number - first + LAST_ONE_IN) % WAITING;
                let decision = ask(&mut dispatcher, number, model_of(number));
                assert_eq!(decision, Decision::Full);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, dispatch_full, dispatch_decision);
criterion_main!(benches);
