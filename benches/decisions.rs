//! The hot decision, admission and choice of a replica, at three sizes.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use passway_standins::sizes::{SIZES, WarmRouter};

fn serve_one(criterion: &mut Criterion) {
    let mut workspace = criterion.benchmark_group("arrive_choose_end");
    for size in SIZES {
        let mut router = WarmRouter::new(size);
        let id = BenchmarkId::from_parameter(size.models + size.adapters);
        workspace.bench_function(id, |bencher| bencher.iter(|| router.serve_one()));
    }
    workspace.finish();
}

criterion_group!(benches, serve_one);
criterion_main!(benches);
