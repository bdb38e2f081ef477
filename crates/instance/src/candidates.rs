//! Chooses the candidates, i.e. the instances that may acquire leadership at once.
//!
//! While the store does not answer, the holder needs a promise of each candidate every 300 ms. The
//! number of candidates is therefore small however large the fleet is, and instances with enough
//! processor capacity for the holder's work are preferred.

use passway_serving::hash;
use passway_serving::leadership::Candidate;
use passway_types::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of candidates, including the holder. Each costs a request and a promise ten times
/// in three seconds.
const MAX_CANDIDATES: usize = 9;
/// If fewer instances than this have enough processor capacity, weak ones become candidates too.
/// Otherwise, losing one or two could leave no candidate, and other instances wait for the gap
/// between two holders before they acquire leadership.
const MIN_STRONG_CANDIDATES: usize = 3;
/// An instance that is disconnected for longer than this is no longer a candidate. An instance
/// whose connection was reset reconnects sooner; dropping it at once would cost two writes to the
/// store.
const DISCONNECT_GRACE: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy)]
struct Member {
    address: SocketAddr,
    has_low_cpu: bool,
    disconnected_at: Option<Instant>,
}

/// The instances that subscribe to this holder and may succeed it.
#[derive(Debug, Default)]
pub struct Candidates {
    members: BTreeMap<InstanceId, Member>,
    /// The candidates chosen last.
    chosen: Vec<Candidate>,
}

impl Candidates {
    /// Adds an instance that subscribed.
    pub fn add(&mut self, instance: InstanceId, address: SocketAddr, has_low_cpu: bool) {
        let member = Member {
            address,
            has_low_cpu,
            disconnected_at: None,
        };
        self.members.insert(instance, member);
    }

    /// Records that the connection of an instance ended.
    pub fn mark_disconnected(&mut self, instance: &InstanceId, now: Instant) {
        if let Some(member) = self.members.get_mut(instance) {
            member.disconnected_at = Some(now);
        }
    }

    /// Removes an instance whose process is stopping.
    pub fn remove(&mut self, instance: &InstanceId) {
        self.members.remove(instance);
    }

    /// Chooses the candidates, including `this_instance`, whose term it is. Returns them if they
    /// changed.
    pub fn choose(&mut self, this_instance: &Candidate, now: Instant) -> Option<Vec<Candidate>> {
        self.members.retain(|_, member| {
            member
                .disconnected_at
                .is_none_or(|at| now < at + DISCONNECT_GRACE)
        });
        let others = |has_low_cpu: bool| {
            let members = self.members.iter();
            let matching = members.filter(move |(name, member)| {
                member.has_low_cpu == has_low_cpu && **name != this_instance.instance
            });
            matching.map(|(instance, member)| Candidate {
                instance: instance.clone(),
                address: member.address,
            })
        };
        let mut chosen = vec![this_instance.clone()];
        chosen.extend(others(false).take(MAX_CANDIDATES - 1));
        if chosen.len() < MIN_STRONG_CANDIDATES {
            let missing = MAX_CANDIDATES - chosen.len();
            chosen.extend(others(true).take(missing));
        }
        chosen.sort();
        if chosen == self.chosen {
            return None;
        }
        self.chosen.clone_from(&chosen);
        Some(chosen)
    }

    /// Chooses `wanted` instances to dispatch requests to engines: connected instances with enough
    /// processor capacity come first, among these the current dispatchers, and the rest is ordered
    /// by a hash of the names. The holder is never chosen, since it has enough other work.
    pub fn choose_dispatchers(
        &self,
        current: &[Candidate],
        wanted: usize,
        this_instance: &InstanceId,
    ) -> Vec<Candidate> {
        let connected = self
            .members
            .iter()
            .filter(|(_, member)| member.disconnected_at.is_none());
        let connected = connected.filter(|(name, _)| *name != this_instance);
        let mut ranked: Vec<(bool, bool, u64, Candidate)> = connected
            .map(|(instance, member)| {
                let candidate = Candidate {
                    instance: instance.clone(),
                    address: member.address,
                };
                let is_new = !current.contains(&candidate);
                (
                    member.has_low_cpu,
                    is_new,
                    hash::mixed(0, instance),
                    candidate,
                )
            })
            .collect();
        ranked.sort();
        let chosen = ranked.into_iter().take(wanted);
        let mut chosen: Vec<Candidate> = chosen.map(|(.., candidate)| candidate).collect();
        chosen.sort();
        chosen
    }

    /// Whether an instance is among the candidates chosen last.
    pub fn is_candidate(&self, instance: &InstanceId) -> bool {
        self.chosen
            .iter()
            .any(|candidate| candidate.instance == *instance)
    }
}
