//! What the holder tells other instances: its heartbeat, members, who dispatches for engines,
//! to which engines orders are on their way, and placements.

use super::{Holding, TELL_PAUSE_PER_PEER};
use crate::members::{self, Addresses};
use crate::poison::{self, TOLD_CRASHES};
use crate::relay;
use crate::words::{self, LONGEST_REST_MS};
use passway_process::outbox::Outbox;
use passway_serving::dispatch;
use passway_serving::placement::Placement;
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::message::{
    EnginePlacement, News, Placements, Resident, Successor, Suspects, Words,
};
use passway_wire::{Body, Frame};
use std::collections::BTreeSet;

/// A limit that has changed by less, as a part of it, is not told again: what counts is what the
/// holder knows, whom all ask.
const TOLD_CHANGE_PART: f64 = 0.1;

fn encode(placement: Placement) -> EnginePlacement {
    let models = placement.models.into_iter().map(|model| Resident {
        model: model.name.to_string(),
        adapters: model.adapters.iter().map(ToString::to_string).collect(),
    });
    EnginePlacement {
        engine: placement.engine.to_string(),
        models: models.collect(),
        closing: placement.evicting.iter().map(ToString::to_string).collect(),
    }
}

impl Holding {
    /// Where those can be reached that listen here, and this instance itself.
    pub(super) fn members(&self) -> Addresses {
        let settings = &self.shared.settings;
        let me = (settings.instance.clone(), settings.peer_address);
        let others = self.listeners.members().map(|(_, member)| member.clone());
        others.chain([me]).collect()
    }

    /// Tells one that listens which term this is: one that is cut off from the store comes back
    /// to the same holder by itself and would take it for the term before.
    pub(super) fn tell_term(&self, number: u64) {
        let Some(fence) = self.fence else {
            return;
        };
        let settings = &self.shared.settings;
        let term = Successor {
            instance: settings.instance.to_string(),
            address: settings.peer_address.to_string(),
            fence,
        };
        self.send_to(number, &Body::Successor(term));
    }

    /// Tells those that may succeed this instance who listens here. One that went may come
    /// back, and stays known until the next holder has waited for it in vain.
    pub(super) fn tell_members(&mut self) {
        let here = self.members();
        let mut known = self.shared.members();
        known.extend(here);
        let listeners = self.listeners.members();
        let successors = listeners.filter(|(_, (name, _))| self.candidates.contains(name));
        let due = self
            .roster
            .due(&known, successors.map(|(number, _)| number));
        if due.is_empty() {
            return;
        }
        let body = Body::Members(members::encode(&known));
        drop(known);
        let outboxes = due.iter().filter_map(|number| self.peers.get(number));
        send_to_all(outboxes, body);
    }

    /// Tells those that may succeed this instance to which engines orders are on their way, ahead
    /// of the orders: whether the answer to one gets lost is known too late for that.
    pub(super) fn tell_doubtful(&mut self, now: Instant) {
        let doubtful: BTreeSet<UpstreamId> =
            self.planner.unconfirmed_engines(now).cloned().collect();
        if doubtful == self.doubtful {
            return;
        }
        self.doubtful = doubtful;
        let news = News {
            confirmed_ms: Vec::new(),
            ..self.heartbeat(0, now)
        };
        let members = self.listeners.members();
        let successors = members.filter(|(_, (name, _))| self.candidates.contains(name));
        let outboxes = successors.filter_map(|(number, _)| self.peers.get(&number));
        send_to_all(outboxes, Body::News(news));
    }

    /// Joins in what an instance knows of requests that crash upstreams, and tells all.
    pub(super) fn tell_suspects(&mut self, told: Suspects) {
        let now = clock::now();
        let mut breaks = self.shared.poison.join_breaks(&told.breaks);
        // Many instances see one upstream break off, and all are told once.
        self.told_breaks.retain(|_, until| now < *until);
        breaks.retain(|(start, _)| !self.told_breaks.contains_key(start));
        let until = now + poison::OPEN_TIME;
        let told_now = breaks.iter().map(|(start, _)| (start.clone(), until));
        self.told_breaks.extend(told_now);
        let breaks = poison::encode_breaks(&breaks);
        let mut known = self.shared.poison.join(told);
        known.retain(|suspect| suspect.crashes.len() >= TOLD_CRASHES);
        if self.fence.is_some() && !(known.is_empty() && breaks.is_empty()) {
            let suspects = Suspects {
                breaks,
                ..poison::encode(known)
            };
            send_to_all(self.peers.values(), Body::Suspects(suspects));
        }
    }

    /// Joins in what upstreams said of themselves to an instance, and tells all what is news: whoever has
    /// not heard it from the upstream itself sends there as before.
    pub(super) fn tell_words(&mut self, told: Words) {
        let now = clock::now();
        for told in &told.resting {
            let until = now + Duration::from_millis(told.left_ms.min(LONGEST_REST_MS));
            let engine = UpstreamId::from(told.upstream.as_str());
            self.planner
                .record_backoff(&engine, told.started_at_ms, until);
        }
        let mut named = words::join(&self.shared, told);
        named.retain(|id| {
            // Both are taken in.
            let limits = self.take_limit(id);
            let leaves = self.take_leaving(id);
            limits || leaves
        });
        if self.fence.is_some() && !named.is_empty() {
            let body = Body::Words(words::encode(&self.shared, Some(&named)));
            send_to_all(self.peers.values(), body);
        }
    }

    /// Takes in how much an upstream takes. Returns whether that is to be told.
    fn take_limit(&mut self, id: &UpstreamId) -> bool {
        let before = self.told_limits.get(id).copied();
        let now = self.shared.upstreams().named_limit_per_s(id);
        self.planner.set_limit(id, now);
        let is_news = match (before, now) {
            (Some(before), Some(now)) => (now - before).abs() > TOLD_CHANGE_PART * before,
            (before, now) => before.is_some() != now.is_some(),
        };
        match now {
            Some(per_s) if is_news => drop(self.told_limits.insert(id.clone(), per_s)),
            Some(_) => {}
            None => drop(self.told_limits.remove(id)),
        }
        is_news
    }

    /// Takes in that an upstream leaves, if it does. Returns whether that is to be told.
    fn take_leaving(&mut self, id: &UpstreamId) -> bool {
        let upstreams = self.shared.upstreams();
        let known = upstreams.leaving().find(|(leaving, _)| *leaving == id);
        let Some((_, started_at_ms)) = known else {
            return false;
        };
        drop(upstreams);
        self.planner.set_leaving(id, started_at_ms);
        self.told_leaving.insert(id.clone(), started_at_ms) != Some(started_at_ms)
    }

    /// Chooses who dispatches for engines, and tells all if that has changed. Until the fleet
    /// has come the ones before stay, or none.
    pub(super) fn tell_dispatchers(&mut self, instances: Option<usize>) {
        let Some(instances) = instances else {
            return;
        };
        let wanted = dispatch::dispatchers_wanted(instances, self.planner.engine_count());
        let me = &self.shared.settings.instance;
        let chosen = self.candidates.dispatchers(&self.dispatchers, wanted, me);
        if chosen != self.dispatchers {
            self.dispatchers = chosen;
            send_to_all(self.peers.values(), self.dispatchers_body());
        }
    }

    pub(super) fn dispatchers_body(&self) -> Body {
        let chosen = self.dispatchers.iter();
        let chosen = chosen.map(|one| (one.instance.clone(), one.address));
        Body::Dispatchers(members::encode(&chosen.collect()))
    }

    pub(super) fn send_to(&self, number: u64, body: &Body) {
        if let Some(outbox) = self.peers.get(&number) {
            outbox.send(body.clone());
        }
    }

    /// The word that the holder lives, and up to when it knows the feeds.
    pub(super) fn heartbeat(&self, instances: usize, now: Instant) -> News {
        News {
            instances: u32::try_from(instances).unwrap_or(u32::MAX),
            sent_ms: relay::millis_since(self.begun_at, now).max(1),
            confirmed_ms: self.relay.answered_ms(self.begun_at),
            doubtful: self
                .planner
                .unconfirmed_engines(now)
                .map(ToString::to_string)
                .collect(),
            ..News::default()
        }
    }

    /// Sends heartbeats to listeners. To one that has not been told the newest it says only
    /// that the holder lives: what the listener was told before grows old.
    pub(super) fn send_heartbeats(
        &self,
        listeners: impl IntoIterator<Item = u64>,
        instances: usize,
    ) {
        let is_behind = |number: &u64| self.listeners.is_behind(*number);
        let (behind, current): (Vec<u64>, Vec<u64>) = listeners.into_iter().partition(is_behind);
        let heartbeat = self.heartbeat(instances, clock::now());
        let alive = News {
            confirmed_ms: Vec::new(),
            ..heartbeat.clone()
        };
        for (numbers, news) in [(current, heartbeat), (behind, alive)] {
            let outboxes = numbers.iter().filter_map(|number| self.peers.get(number));
            send_to_all(outboxes, Body::News(news));
        }
    }

    /// Tells those whose requests wait for what has come, and those that dispatch for engines.
    pub(super) fn tell_awaited(&self, awaited: Vec<(Placement, BTreeSet<InstanceId>)>) {
        for (placement, waiting) in awaited {
            let body = placements(vec![placement]);
            let hears = |name: &InstanceId| {
                waiting.contains(name) || self.dispatchers.iter().any(|one| one.instance == *name)
            };
            let members = self.listeners.members();
            let told = members.filter(|(_, (name, _))| hears(name));
            let outboxes = told.filter_map(|(number, _)| self.peers.get(&number));
            send_to_all(outboxes, body);
        }
    }

    /// Tells all instances what has changed, the less often the more there are.
    pub(super) fn tell_changes(&mut self, now: Instant) {
        let awaited = self.planner.take_awaited_placements();
        self.tell_awaited(awaited);
        if now < self.tell_at || !self.planner.has_changed_placements() {
            return;
        }
        let peers = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        self.tell_at = now + TELL_PAUSE_PER_PEER * peers;
        let changed = self.planner.take_changed_placements();
        if !changed.is_empty() {
            send_to_all(self.peers.values(), placements(changed));
        }
    }
}

/// Sends one message to many; it is encoded and kept once.
pub(super) fn send_to_all<'a>(outboxes: impl Iterator<Item = &'a Outbox>, body: Body) {
    match Frame::new(body) {
        Ok(frame) => outboxes.for_each(|outbox| outbox.send_frame(frame.clone())),
        Err(error) => log::error!(error:% = error; "a message cannot be sent"),
    }
}

pub(super) fn placements(placements: Vec<Placement>) -> Body {
    Body::Placements(Placements {
        engines: placements.into_iter().map(encode).collect(),
    })
}
