//! The decisions that stand on hot paths, at several sizes.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use passway_serving::placement::Waiters;
use passway_serving::placement::policy::PolicyName;
use passway_serving::upstreams::ModelRef;
use passway_standins::fleet_model::{self, FleetSize, warm_planner};
use passway_standins::sizes::{SIZES, WarmRouter};
use std::time::{Duration, Instant};

/// Admission and choice of a replica.
fn serve_one(criterion: &mut Criterion) {
    let mut workspace = criterion.benchmark_group("arrive_choose_end");
    for size in SIZES {
        let mut router = WarmRouter::new(size);
        let id = BenchmarkId::from_parameter(size.models + size.adapters);
        workspace.bench_function(id, |bencher| bencher.iter(|| router.serve_one()));
    }
    workspace.finish();
}

/// One word of an instance that a model was asked for, and the decision after it.
fn place_one(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement_request");
    for size in fleet_model::SIZES {
        let begun_at = Instant::now();
        let mut planner = warm_planner(&size, PolicyName::Balanced, begun_at);
        let service = FleetSize::service();
        let wish = ModelRef {
            model: FleetSize::model(size.models - 1),
            adapter: None,
        };
        let mut now = begun_at;
        group.bench_function(size.name, |bencher| {
            bencher.iter(|| {
                now += Duration::from_micros(10);
                planner.taken(&service, &wish, 1, now);
            });
        });
    }
    group.finish();
}

/// One pass over all engines, with a request that waits.
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
                let wish = ModelRef {
                    model: FleetSize::model(number),
                    adapter: None,
                };
                let until = now + Duration::from_secs(4);
                let waiters = Waiters {
                    instance: "one".into(),
                    service: service.clone(),
                    wish,
                    count: 1,
                    until,
                };
                planner.waiting(waiters, now);
                planner.decide(now)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, serve_one, place_one, plan_pass);
criterion_main!(benches);
