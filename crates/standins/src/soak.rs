//! A fault soak: real instances as processes among stand-ins, faults drawn by a seed, and callers who
//! use open connections until the process is gone.
//!
//! The seed fixes the schedule of faults and of requests; what they meet depends on the
//! machine. So nothing is judged by times, only by what callers and servers saw:
//!
//! * [`cluster`]: the processes, the stand-ins and the ways between them.
//! * [`schedule`]: which faults come when.
//! * [`callers`]: who asks for what, and what each of them got.
//! * [`checks`]: the promises; [`workspace_checks`]: those on keys and allotments.

mod callers;
mod checks;
mod cluster;
mod schedule;
mod signal_checks;
mod workspace_checks;

use anyhow::Result;
use callers::Callers;
use cluster::SoakCluster;
use passway_types::prelude::*;
use schedule::Schedule;
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// What is played.
#[derive(Debug, Clone)]
pub struct SoakPlan {
    /// The instances' program.
    pub executable: PathBuf,
    /// Where their logs are kept.
    pub log_dir: PathBuf,
    /// Fixes the faults and the requests.
    pub seed: u64,
    /// Instances.
    pub instances: usize,
    /// Engines, each with room for two models.
    pub engines: usize,
    /// Callers, each with one connection at a time.
    pub callers: usize,
    /// Faults.
    pub fault_count: u64,
    /// Longest pause between two faults.
    pub max_pause: Duration,
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
    let world = Arc::new(SoakCluster::start(plan)?);
    let callers = Callers::start(&world, plan);
    let mut schedule = Schedule::new(plan.seed);
    for _ in 0..plan.fault_count {
        schedule.inject_next(&world, plan.max_pause);
    }
    world.clear_faults();
    let records = callers.stop_and_collect();
    let mut report = SoakReport {
        seed: plan.seed,
        faults: schedule.injected().clone(),
        ..SoakReport::default()
    };
    checks::check_promises(&world, &records, &mut report);
    checks::check_recovery(&world, &mut report);
    world.stop(&mut report);
    Ok(report)
}
