//! Benchmarks of decisions on hot paths, at several sizes.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use passway_serving::placement::policy::PolicyName;
use passway_serving::placement::{RunningRequests, Waiters};
use passway_serving::upstreams::ModelRef;
use passway_standins::fleet_model::{self, FleetSize, warm_planner};
use passway_standins::sizes::{SIZES, WarmRouter};
use passway_types::prelude::*;

/// Admission and choice of a replica.
fn serve_one(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("arrive_choose_end");
    for size in SIZES {
        let mut router = WarmRouter::new(size);
        let id = BenchmarkId::from_parameter(size.models + size.adapters);
        group.bench_function(id, |bencher| bencher.iter(|| router.serve_one()));
    }
    group.finish();
}

/// One message of an instance that a model received a request.
fn place_one(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement_request");
    for size in fleet_model::SIZES {
        let begun_at = Instant::now();
        let mut planner = warm_planner(&size, PolicyName::Balanced, begun_at);
        let service = FleetSize::service();
        let model_ref = ModelRef {
            model: FleetSize::model(size.models - 1),
            adapter: None,
        };
        let mut now = begun_at;
        group.bench_function(size.name, |bencher| {
            bencher.iter(|| {
                now += Duration::from_micros(10);
                planner.record_arrivals(&service, &model_ref, 1, now);
            });
        });
    }
    group.finish();
}

/// One pass over all engines, with a waiting request.
fn plan_pass(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement_pass");
    for size in fleet_model::SIZES {
        let begun_at = Instant::now();
        let mut planner = warm_planner(&size, PolicyName::Balanced, begun_at);
        let service = FleetSize::service();
        let mut now = begun_at;
        let mut number = 0;
        group.bench_function(size.name, |bencher| {
            bencher.iter(|| {
                now += Duration::from_millis(1);
                number = (number + 7) % size.models;
                let model_ref = ModelRef {
                    model: FleetSize::model(number),
                    adapter: None,
                };
                let latest_deadline = now + Duration::from_secs(4);
                let waiters = Waiters {
                    instance: "one".into(),
                    service: service.clone(),
                    model_ref,
                    required_software: None,
                    count: 1,
                    latest_deadline,
                };
                planner.set_waiters(waiters, now);
                planner.decide(now)
            });
        });
    }
    group.finish();
}

/// Hundreds of machines: the messages of 295 instances to the holder within a tenth of a second,
/// while requests wait for 250 models, and four passes.
fn holder_tenth(criterion: &mut Criterion) {
    const INSTANCES: usize = 295;
    const AWAITED_MODELS: usize = 250;
    /// Each instance sends a message about its running requests every 400 ms.
    const MESSAGES: usize = INSTANCES / 4;
    const RUNNING_PER_INSTANCE: usize = 5;
    const PASSES: usize = 4;
    let size = FleetSize {
        name: "hundreds",
        engines: 256,
        models: 1_375,
        busy_models: 60,
        busy_per_s: 532.0,
        rare_per_s: 160.0,
        slots: 12,
        loads_per_s: 98.0,
    };
    let begun_at = Instant::now();
    let mut planner = warm_planner(&size, PolicyName::Balanced, begun_at);
    let service = FleetSize::service();
    let model_ref = |number: usize| ModelRef {
        model: FleetSize::model(number % size.models),
        adapter: None,
    };
    let mut now = begun_at;
    let mut round = 0;
    criterion.bench_function("holder_tenth/hundreds", |bencher| {
        bencher.iter(|| {
            now += Duration::from_millis(100);
            round += 1;
            for message in 0..MESSAGES {
                let number = round * MESSAGES + message;
                let instance: InstanceId = format!("instance-{}", number % INSTANCES).into();
                let running = (0..RUNNING_PER_INSTANCE).map(|run| RunningRequests {
                    engine: format!("e{}", (number * 7 + run * 31) % size.engines).into(),
                    model: FleetSize::model((number + run) % size.busy_models),
                    count: 1,
                });
                let running: Vec<RunningRequests> = running.collect();
                planner.set_running(&instance, &running);
                planner.record_arrivals(&service, &model_ref(number), 1, now);
                let waiters = Waiters {
                    instance,
                    service: service.clone(),
                    model_ref: model_ref(size.busy_models + number % AWAITED_MODELS * 5),
                    required_software: None,
                    count: u32::from(!number.is_multiple_of(3)),
                    latest_deadline: now + Duration::from_secs(3),
                };
                planner.set_waiters(waiters, now);
            }
            let mut orders = 0;
            for _ in 0..PASSES {
                now += Duration::from_millis(1);
                orders += planner.decide(now).len();
                planner.take_awaited_placements();
                planner.take_changed_placements();
            }
            orders
        });
    });
}

criterion_group!(benches, serve_one, place_one, plan_pass, holder_tenth);
criterion_main!(benches);
