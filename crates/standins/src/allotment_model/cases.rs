//! Faults and changes of demand during a simulation.

use super::Plan;
use passway_types::prelude::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Start of the fault. By then the bucket levels have settled.
const FAULT_START: Duration = Duration::from_secs(6);
/// Duration of the fault, longer than the window of the rule.
const FAULT_DURATION: Duration = Duration::from_secs(10);
/// Time from the loss of the holder until its successor sends its first message: the lease of
/// 1.2 s plus a margin.
const SUCCESSION_DURATION: Duration = Duration::from_millis(1_600);

/// Time until the load balancer stops sending requests to instances that are cut off. An instance
/// without contact to the coordinator reports that it is not ready after 2 s, and the balancer
/// removes it after two failed probes, which it sends every second.
const BALANCER_DETECTION_DELAY: Duration = Duration::from_secs(4);

/// A fault or a change of demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Case {
    /// No fault.
    NoFault,
    /// The demand of the largest workspace is ten times its typical demand.
    OneTenfold,
    /// The demand of the five smallest workspaces is ten times their typical demand.
    FiveTenfold,
    /// All callers send to the same third of the instances.
    CallersMoved,
    /// A third of the instances reach no other instance but still serve requests.
    Partition,
    /// [`Case::Partition`] and [`Case::OneTenfold`] at the same time.
    PartitionTenfold,
    /// The holder is lost and a successor takes over.
    HolderLost,
    /// [`Case::HolderLost`] and [`Case::OneTenfold`] at the same time.
    HolderLostTenfold,
    /// All instances restart at the same time.
    AllRestart,
    /// A tenth of the instances are replaced every second, each instance once.
    Churn,
}

impl Case {
    /// All cases.
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

    /// Returns the label in printed tables.
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

    /// Returns the state of the fleet `elapsed` after the start.
    pub fn state(self, plan: &Plan, elapsed: Duration) -> FleetState {
        let is_fault_active = elapsed >= FAULT_START && elapsed < FAULT_START + FAULT_DURATION;
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
        let is_lost = loses_holder && is_fault_active && fault_age < SUCCESSION_DURATION;
        let restarts = match self {
            Self::AllRestart if elapsed >= FAULT_START => 1,
            Self::Churn if is_fault_active => 1 + fault_age.as_secs(),
            _ => 0,
        };
        FleetState {
            tenfold: if is_fault_active { tenfold } else { 0..0 },
            first_target: if self.is_partition()
                && is_fault_active
                && fault_age >= BALANCER_DETECTION_DELAY
            {
                third
            } else {
                0
            },
            end_target: if self == Self::CallersMoved && is_fault_active {
                third
            } else {
                plan.instances
            },
            partitioned: if self.is_partition() && is_fault_active {
                third
            } else {
                0
            },
            is_holder_lost: is_lost,
            term: u64::from(loses_holder && elapsed >= FAULT_START),
            instances: plan.instances,
            restarts,
            is_full_restart: self == Self::AllRestart,
            // A process needs a second to restart.
            is_fleet_down: self == Self::AllRestart
                && is_fault_active
                && fault_age < Duration::from_secs(1),
        }
    }
}

/// State of the fleet at a point in time.
#[derive(Debug, Clone)]
pub struct FleetState {
    /// Workspaces whose demand is tenfold, by index.
    tenfold: std::ops::Range<usize>,
    /// First instance that receives requests.
    first_target: usize,
    /// End (exclusive) of the instances that receive requests.
    end_target: usize,
    /// Number of instances that are cut off; these have the lowest indices.
    partitioned: usize,
    /// Whether the fleet has no holder.
    pub is_holder_lost: bool,
    /// Term of the holder.
    pub term: u64,
    instances: usize,
    /// Number of restarts: of the fleet if `is_full_restart`, otherwise of tenths of the fleet.
    restarts: u64,
    is_full_restart: bool,
    is_fleet_down: bool,
}

impl FleetState {
    /// Returns the factor on the typical demand of a workspace.
    pub fn demand_factor(&self, workspace: usize) -> f64 {
        if self.tenfold.contains(&workspace) {
            10.0
        } else {
            1.0
        }
    }

    /// Returns a random instance that receives a request.
    pub fn random_instance(&self, rng: &mut ChaCha8Rng) -> usize {
        rng.random_range(self.first_target..self.end_target)
    }

    /// Whether an instance is down.
    pub fn is_down(&self, _instance: usize) -> bool {
        self.is_fleet_down
    }

    /// Whether an instance reaches no other instance. The holder is the last instance and is never
    /// cut off.
    pub fn is_partitioned(&self, instance: usize) -> bool {
        instance < self.partitioned
    }

    /// Returns how many times an instance has restarted. A restart loses all its state.
    pub fn incarnation(&self, instance: usize) -> u64 {
        let restart_order = u64::try_from(instance % 10).unwrap_or(0);
        if self.is_full_restart {
            self.restarts
        } else {
            // Each second, one instance in ten restarts.
            u64::from(self.restarts > restart_order)
        }
    }

    /// Returns the number of instances.
    pub fn instance_count(&self) -> usize {
        self.instances
    }
}
