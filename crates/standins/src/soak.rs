//! A fault soak: real instances as processes among stand-ins, faults drawn by a seed, and callers who
//! use open connections until the process is gone.
//!
//! The seed fixes the schedule of faults and of requests; what they meet depends on the
//! machine. So nothing is judged by times, only by what callers and servers saw:
//!
//! * [`world`]: the processes, the stand-ins and the ways between them.
//! * [`schedule`]: which faults come when.
//! * [`callers`]: who asks for what, and what each of them got.
//! * [`judge`]: the promises; [`workspaces`]: those on keys and allotments.

mod callers;
mod judge;
mod schedule;
mod words;
mod workspaces;
mod world;

use anyhow::Result;
use callers::Callers;
use passway_types::prelude::*;
use schedule::Schedule;
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::PathBuf;
use world::World;

/// What is played.
#[derive(Debug, Clone)]
pub struct SoakPlan {
    /// The instances' program.
    pub program: PathBuf,
    /// Where their logs are kept.
    pub logs: PathBuf,
    /// Fixes the faults and the requests.
    pub seed: u64,
    /// Instances.
    pub instances: usize,
    /// Engines, each with room for two models.
    pub engines: usize,
    /// Callers, each with one connection at a time.
    pub callers: usize,
    /// Faults.
    pub steps: u64,
    /// Longest pause between two faults.
    pub pause: Duration,
}

/// What came of it.
#[derive(Debug, Clone, Default, Serialize)]
pub struct SoakReport {
    /// The seed.
    pub seed: u64,
    /// Requests that were sent.
    pub requests: usize,
    /// Answers with success that ended as their framing says.
    pub served: usize,
    /// Answers "not run".
    pub refused: usize,
    /// Connections that ended without an answer.
    pub closed: usize,
    /// Engines that crashed.
    pub crashed_engines: usize,
    /// Largest resident memory of an instance, in bytes.
    pub peak_bytes: usize,
    /// Faults that were played, by name.
    pub faults: BTreeMap<&'static str, u32>,
    /// Promises that were broken, and how.
    pub broken: Vec<String>,
}

/// Plays one seed.
///
/// # Errors
/// If the instances cannot be started, or do not serve before the first fault.
pub fn run(plan: &SoakPlan) -> Result<SoakReport> {
    let world = Arc::new(World::start(plan)?);
    let callers = Callers::start(&world, plan);
    let mut schedule = Schedule::new(plan.seed);
    for _ in 0..plan.steps {
        schedule.step(&world, plan.pause);
    }
    world.lift_faults();
    let records = callers.end();
    let mut report = SoakReport {
        seed: plan.seed,
        faults: schedule.played().clone(),
        ..SoakReport::default()
    };
    judge::judge(&world, &records, &mut report);
    judge::serves_again(&world, &mut report);
    world.stop(&mut report);
    Ok(report)
}
