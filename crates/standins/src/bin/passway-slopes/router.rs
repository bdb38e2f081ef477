//! Times of a router's decisions, without any process or connection.

use crate::measure::time;
use passway_standins::sizes::{SIZES, WarmRouter};
use passway_types::prelude::*;
use std::hint::black_box;

/// Times that a decision is made for one figure.
const ROUNDS: u32 = 2_000;

/// Prints the times of one warm request (admission, choice of a replica, end) and of a tick.
pub fn measure() {
    println!("router: models adapters rules arrive_and_end_us tick_us");
    for size in SIZES {
        let mut router = WarmRouter::new(size);
        let served = time(ROUNDS, || router.serve_one());
        let tick = time(ROUNDS, || {
            router.now += Duration::from_millis(1);
            drop(black_box(router.core.tick(router.now)));
        });
        println!(
            "  {:5} {:5} {:4} {served:8.2} {tick:8.2}",
            size.models, size.adapters, size.rules
        );
    }
}
