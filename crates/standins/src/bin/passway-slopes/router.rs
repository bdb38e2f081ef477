//! Times of a router's decisions, without processes and connections.

use crate::measure::time;
use passway_standins::sizes::{SIZES, WarmRouter};
use passway_types::prelude::*;
use std::hint::black_box;

/// Number of decisions for each figure.
const ROUNDS: u32 = 2_000;

/// Prints the times of a request to a loaded model (admission, choice of a replica, end) and of a
/// tick.
pub fn measure() {
    println!("router: models adapters rules arrive_and_end_us tick_us");
    for size in SIZES {
        let mut router = WarmRouter::new(size);
        let request_us = time(ROUNDS, || router.serve_one());
        let tick_us = time(ROUNDS, || {
            router.now += Duration::from_millis(1);
            drop(black_box(router.core.tick(router.now)));
        });
        println!(
            "  {:5} {:5} {:4} {request_us:8.2} {tick_us:8.2}",
            size.models, size.adapters, size.rules
        );
    }
}
