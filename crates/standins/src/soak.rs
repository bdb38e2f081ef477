//! A soak test with fault injection: real instances run as processes among stand-ins, a seed
//! selects the faults, and callers use open connections until the process closes them.
//!
//! The seed determines the sequences of faults and requests; their timing depends on the machine.
//! The checks therefore compare what callers and servers recorded, and don't depend on the speed
//! of the machine:
//!
//! * [`cluster`]: the processes, the stand-ins and the proxies between them.
//! * [`disturbances`]: the times at which instances and proxies were disturbed.
//! * [`schedule`]: selects and injects the faults; [`silences`] those in which servers fall silent, and [`retry_cycle`]
//!   the times in which all callers need retries.
//! * [`callers`]: send requests and record the answers.
//! * [`checks`]: check the invariants; [`budget_checks`] the repeats that reached the servers, [`attempt_checks`] the
//!   attempts of single requests, [`crash_checks`] the requests that crash servers, which [`culprits`] names,
//!   [`event_checks`] each event that a caller received, [`workspace_checks`] those on API keys and allotments,
//!   [`signal_checks`] those on the engines' signals, [`silence_checks`] that no answer is broken
//!   off while its server lives, [`version_checks`] those on the engines' software versions.

mod attempt_checks;
mod budget_checks;
mod callers;
mod checks;
mod cluster;
mod crash_checks;
mod culprits;
mod disturbances;
mod event_checks;
mod retry_cycle;
mod schedule;
mod signal_checks;
mod silence_checks;
mod silences;
mod version_checks;
mod workspace_checks;

use crate::platform::stream_events::StreamShape;
use anyhow::Result;
pub use attempt_checks::AttemptCounts;
pub use budget_checks::Repeats;
use callers::Callers;
use clap::ValueEnum;
use cluster::SoakCluster;
pub use crash_checks::{CulpritCounts, SoundCounts};
use passway_types::prelude::*;
use retry_cycle::RetryCycle;
use schedule::Schedule;
use serde::Serialize;
pub use signal_checks::BackoffCounts;
use std::collections::BTreeMap;
use std::path::PathBuf;
pub use version_checks::CalmCounts;

/// What disturbs the system in a soak run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Disturbance {
    /// Random faults.
    Faults,
    /// From time to time servers fail most requests, and callers send most bodies slowly, so that all callers need
    /// retries at once.
    RetryPressure,
    /// Both.
    FaultsAndRetryPressure,
    /// Bursts of short requests, then quiet times, and then servers that fail most requests. Some servers stand still
    /// meanwhile.
    SavedRetries,
    /// The same beside random faults.
    FaultsAndSavedRetries,
    /// From time to time callers repeat many different requests that crash the servers which run them, and requests with
    /// several crashing parts; some servers ask for backoffs.
    CrashingRequests,
    /// The same beside random faults.
    FaultsAndCrashingRequests,
}

impl Disturbance {
    /// Whether random faults are injected.
    pub fn has_faults(self) -> bool {
        !matches!(
            self,
            Self::RetryPressure | Self::SavedRetries | Self::CrashingRequests
        )
    }

    /// Whether callers repeat many different crashing requests.
    fn has_culprits(self) -> bool {
        matches!(
            self,
            Self::CrashingRequests | Self::FaultsAndCrashingRequests
        )
    }

    /// Whether callers send most bodies slowly.
    fn has_slow_bodies(self) -> bool {
        matches!(self, Self::RetryPressure | Self::FaultsAndRetryPressure)
    }

    /// Whether servers stand still while callers need retries.
    fn has_standstills(self) -> bool {
        self.retry_cycle() == Some(RetryCycle::AfterBurst)
    }

    /// When servers fail most requests; `None` if they never do.
    fn retry_cycle(self) -> Option<RetryCycle> {
        match self {
            Self::Faults | Self::CrashingRequests | Self::FaultsAndCrashingRequests => None,
            Self::RetryPressure | Self::FaultsAndRetryPressure => Some(RetryCycle::Steady),
            Self::SavedRetries | Self::FaultsAndSavedRetries => Some(RetryCycle::AfterBurst),
        }
    }
}

/// Parameters of a soak run.
#[derive(Debug, Clone)]
pub struct SoakPlan {
    /// Path of the instances' executable.
    pub executable: PathBuf,
    /// Directory for the instances' logs.
    pub log_dir: PathBuf,
    /// Seed of the faults and the requests.
    pub seed: u64,
    /// Number of instances.
    pub instances: usize,
    /// Number of instances that run for a third of the time only, as on a machine with a small share of a
    /// processor.
    pub throttled: usize,
    /// Number of engines, each with a capacity of two models.
    pub engines: usize,
    /// Number of plain servers.
    pub plain_servers: usize,
    /// Number of callers, each with one connection at a time.
    pub callers: usize,
    /// Lengths of the engines' streams.
    pub shape: StreamShape,
    /// Delay before each event of a stream, so that stops and kills find some in flight.
    pub event_delay: Duration,
    /// Number of injected faults.
    pub fault_count: u64,
    /// Maximum pause between two faults.
    pub max_pause: Duration,
    /// Whether engines are replaced by engines of other software versions, callers' connections are
    /// closed within streams, and a calm stretch ends the run.
    pub has_releases: bool,
    /// Whether the engines that replace others have the same software version as those.
    pub has_one_version: bool,
    /// What disturbs the system.
    pub disturbance: Disturbance,
}

/// Results of a soak run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct SoakReport {
    /// The seed of the run.
    pub seed: u64,
    /// Number of requests sent.
    pub requests: usize,
    /// Number of complete answers with status 200.
    pub served: usize,
    /// Number of refusals, i.e. answers that state that the request was not executed.
    pub refused: usize,
    /// Number of requests whose connection ended without an answer.
    pub closed: usize,
    /// Number of engine crashes caused by the poison request, restarted engines included.
    pub crashed_engines: usize,
    /// Number of engine crashes caused by the crashing part of prompts.
    pub crashed_by_part: usize,
    /// The requests and parts that crash servers, by their kind.
    pub culprits: BTreeMap<&'static str, CulpritCounts>,
    /// The backoffs that servers asked for, and the requests that reached servers within them.
    pub backoffs: BackoffCounts,
    /// The sound requests that began while culprits were repeated.
    pub sound: SoundCounts,
    /// The attempts whose time was judged.
    pub attempts: AttemptCounts,
    /// Peak resident memory of an instance, in bytes.
    pub peak_bytes: usize,
    /// Number of events that were compared with those of the engines' runs.
    pub events: usize,
    /// Number of streams that were taken up again.
    pub taken_up: usize,
    /// The repeats that reached the servers, by service.
    pub repeats: BTreeMap<&'static str, Repeats>,
    /// Number of software versions of engines.
    pub software_versions: usize,
    /// The streams of each calm stretch.
    pub calm: Vec<CalmCounts>,
    /// Number of injected faults by name.
    pub faults: BTreeMap<&'static str, u32>,
    /// The violated invariants, one description each.
    pub broken: Vec<String>,
}

/// Runs the soak with one seed.
///
/// # Errors
/// If the instances cannot be started or don't become ready before the first fault.
pub fn run(plan: &SoakPlan) -> Result<SoakReport> {
    let cluster = Arc::new(SoakCluster::start(plan)?);
    let callers = Callers::start(&cluster, plan);
    let mut schedule = Schedule::new(plan);
    for _ in 0..plan.fault_count {
        schedule.inject_next(&cluster, plan.max_pause);
    }
    if plan.has_releases {
        schedule.end_with_release(&cluster);
    }
    cluster.clear_faults();
    let records = callers.stop_and_collect();
    let mut report = SoakReport {
        seed: plan.seed,
        faults: schedule.injected().clone(),
        ..SoakReport::default()
    };
    checks::check_promises(&cluster, &records, schedule.calm_stretches(), &mut report);
    checks::check_recovery(&cluster, &mut report);
    cluster.stop(&mut report);
    Ok(report)
}
