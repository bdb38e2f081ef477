//! Which instances may take the right to order at once, as its holder chooses them.
//!
//! In an outage of the store the holder needs the promise of each of them every 300 ms, so
//! they are few however large the fleet is, and those that have the processor for the
//! holder's work.

use passway_serving::hash;
use passway_serving::leadership::Candidate;
use passway_types::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Most candidates, the holder among them: a question and a promise each, ten times in
/// three seconds.
const MOST: usize = 9;
/// With fewer that have enough processor, others are candidates too: the loss of one or two
/// must not leave the right to those that wait out the gap between two holders.
const FEWEST_STRONG: usize = 3;
/// An instance whose connection is gone for longer is no candidate any more; one that was
/// reset comes back sooner, and would cost two writes otherwise.
const GONE_TIME: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy)]
struct Member {
    address: SocketAddr,
    is_weak: bool,
    gone_at: Option<Instant>,
}

/// The instances that listen to a holder, as far as they may succeed it.
#[derive(Debug, Default)]
pub struct Candidates {
    members: BTreeMap<InstanceId, Member>,
    /// What was chosen last.
    chosen: Vec<Candidate>,
}

impl Candidates {
    /// An instance listens.
    pub fn came(&mut self, instance: InstanceId, address: SocketAddr, is_weak: bool) {
        let member = Member {
            address,
            is_weak,
            gone_at: None,
        };
        self.members.insert(instance, member);
    }

    /// An instance's connection is gone.
    pub fn went(&mut self, instance: &InstanceId, now: Instant) {
        if let Some(member) = self.members.get_mut(instance) {
            member.gone_at = Some(now);
        }
    }

    /// An instance's process ends.
    pub fn left(&mut self, instance: &InstanceId) {
        self.members.remove(instance);
    }

    /// Chooses anew; the candidates if they are others than before. They include `me`, whose
    /// term it is.
    pub fn choose(&mut self, me: &Candidate, now: Instant) -> Option<Vec<Candidate>> {
        self.members
            .retain(|_, member| member.gone_at.is_none_or(|at| now < at + GONE_TIME));
        let others = |is_weak: bool| {
            let members = self.members.iter();
            let alike =
                members.filter(move |(name, m)| m.is_weak == is_weak && **name != me.instance);
            alike.map(|(instance, member)| Candidate {
                instance: instance.clone(),
                address: member.address,
            })
        };
        let mut chosen = vec![me.clone()];
        chosen.extend(others(false).take(MOST - 1));
        if chosen.len() < FEWEST_STRONG {
            let missing = MOST - chosen.len();
            chosen.extend(others(true).take(missing));
        }
        chosen.sort();
        if chosen == self.chosen {
            return None;
        }
        self.chosen.clone_from(&chosen);
        Some(chosen)
    }

    /// Instances that may dispatch for engines, as many as are wanted: those that do already
    /// and are still here, then those with more processor, spread by name. The holder, which
    /// has enough to do, is none of them.
    pub fn dispatchers(
        &self,
        before: &[Candidate],
        wanted: usize,
        me: &InstanceId,
    ) -> Vec<Candidate> {
        let here = self
            .members
            .iter()
            .filter(|(_, member)| member.gone_at.is_none());
        let here = here.filter(|(name, _)| *name != me);
        let mut ranked: Vec<(bool, bool, u64, Candidate)> = here
            .map(|(instance, member)| {
                let candidate = Candidate {
                    instance: instance.clone(),
                    address: member.address,
                };
                let is_new = !before.contains(&candidate);
                (member.is_weak, is_new, hash::mixed(0, instance), candidate)
            })
            .collect();
        ranked.sort();
        let chosen = ranked.into_iter().take(wanted);
        let mut chosen: Vec<Candidate> = chosen.map(|(.., candidate)| candidate).collect();
        chosen.sort();
        chosen
    }

    /// Whether an instance was chosen last.
    pub fn contains(&self, instance: &InstanceId) -> bool {
        self.chosen.iter().any(|one| one.instance == *instance)
    }
}
