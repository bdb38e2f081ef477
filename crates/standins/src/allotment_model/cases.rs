//! What callers and instances do while a way is played.

use super::Plan;
use passway_types::prelude::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Trouble begins so long after the start, when counts have come to rest.
const FAULT_START: Duration = Duration::from_secs(6);
/// And lasts so long: longer than the window.
const FAULT_DURATION: Duration = Duration::from_secs(10);
/// The time from a holder's loss to its successor's first word: its lease of 1.2 s and some.
const SUCCESSION_DURATION: Duration = Duration::from_millis(1_600);

/// An instance that does not hear the keeper says after 2 s that it is not ready, and the balancer
/// believes that after two questions, one a second.
const BALANCER_DETECTION_DELAY: Duration = Duration::from_secs(4);

/// What happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Case {
    /// Nothing.
    NoFault,
    /// The largest workspace asks ten times its usual.
    OneTenfold,
    /// Five small ones do.
    FiveTenfold,
    /// All callers move to a third of the instances.
    CallersMoved,
    /// A third of the instances reach no other one, and serve.
    Partition,
    /// The same while the largest asks tenfold.
    PartitionTenfold,
    /// The holder is lost.
    HolderLost,
    /// The same while the largest asks tenfold.
    HolderLostTenfold,
    /// All instances start again at one time.
    AllRestart,
    /// A tenth of the instances go and as many come, every second.
    Churn,
}

impl Case {
    /// All of them.
    pub const ALL: [Self; 10] = [
        Self::NoFault,
        Self::OneTenfold,
        Self::FiveTenfold,
        Self::CallersMoved,
        Self::Partition,
        Self::PartitionTenfold,
        Self::HolderLost,
        Self::HolderLostTenfold,
        Self::AllRestart,
        Self::Churn,
    ];

    /// For tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoFault => "calm",
            Self::OneTenfold => "the largest asks tenfold",
            Self::FiveTenfold => "five small ones ask tenfold",
            Self::CallersMoved => "all callers at a third",
            Self::Partition => "a third cut off",
            Self::PartitionTenfold => "a third cut off, tenfold",
            Self::HolderLost => "the holder lost",
            Self::HolderLostTenfold => "the holder lost, tenfold",
            Self::AllRestart => "all start again",
            Self::Churn => "a tenth go and come",
        }
    }

    fn is_partition(self) -> bool {
        matches!(self, Self::Partition | Self::PartitionTenfold)
    }

    /// What holds so long after the start.
    pub fn state(self, plan: &Plan, elapsed: Duration) -> FleetState {
        let in_fault = elapsed >= FAULT_START && elapsed < FAULT_START + FAULT_DURATION;
        let fault_age = elapsed.saturating_sub(FAULT_START);
        let third = (plan.instances / 3).max(1);
        let tenfold = match self {
            Self::OneTenfold | Self::PartitionTenfold | Self::HolderLostTenfold => 0..1,
            Self::FiveTenfold => plan.workspaces.len() - 5..plan.workspaces.len(),
            _ => 0..0,
        };
        let loses_holder = matches!(
            self,
            Self::HolderLost | Self::HolderLostTenfold | Self::AllRestart
        );
        let is_lost = loses_holder && in_fault && fault_age < SUCCESSION_DURATION;
        let restarts = match self {
            Self::AllRestart if elapsed >= FAULT_START => 1,
            Self::Churn if in_fault => 1 + fault_age.as_secs(),
            _ => 0,
        };
        FleetState {
            tenfold: if in_fault { tenfold } else { 0..0 },
            first_target: if self.is_partition()
                && in_fault
                && fault_age >= BALANCER_DETECTION_DELAY
            {
                third
            } else {
                0
            },
            end_target: if self == Self::CallersMoved && in_fault {
                third
            } else {
                plan.instances
            },
            partitioned: if self.is_partition() && in_fault {
                third
            } else {
                0
            },
            is_holder_lost: is_lost,
            term: u64::from(loses_holder && elapsed >= FAULT_START),
            instances: plan.instances,
            restarts,
            all_restart: self == Self::AllRestart,
            // A process is back after a second.
            all_down: self == Self::AllRestart && in_fault && fault_age < Duration::from_secs(1),
        }
    }
}

/// What holds at a moment.
#[derive(Debug, Clone)]
pub struct FleetState {
    tenfold: std::ops::Range<usize>,
    /// Callers are sent to instances from this on,
    first_target: usize,
    /// and up to this.
    end_target: usize,
    partitioned: usize,
    /// Whether there is no holder.
    pub is_holder_lost: bool,
    /// The term of the holder.
    pub term: u64,
    instances: usize,
    restarts: u64,
    all_restart: bool,
    all_down: bool,
}

impl FleetState {
    /// How many times its usual a workspace asks.
    pub fn demand_factor(&self, workspace: usize) -> f64 {
        if self.tenfold.contains(&workspace) {
            10.0
        } else {
            1.0
        }
    }

    /// Where a request comes in.
    pub fn random_instance(&self, rng: &mut ChaCha8Rng) -> usize {
        rng.random_range(self.first_target..self.end_target)
    }

    /// Whether an instance is not there.
    pub fn is_down(&self, _instance: usize) -> bool {
        self.all_down
    }

    /// Whether an instance reaches no other one. The holder is the last instance, which does.
    pub fn is_partitioned(&self, instance: usize) -> bool {
        instance < self.partitioned
    }

    /// How many times an instance has started, which then knows nothing.
    pub fn incarnation(&self, instance: usize) -> u64 {
        let restart_order = u64::try_from(instance % 10).unwrap_or(0);
        if self.all_restart {
            self.restarts
        } else {
            // One in ten each second.
            u64::from(self.restarts > restart_order)
        }
    }

    /// How many instances there are.
    pub fn instance_count(&self) -> usize {
        self.instances
    }
}
