//! Messages from the holder to other instances: heartbeats, members, dispatchers, engines with
//! unconfirmed orders, and placements.

use super::{HolderThread, PLACEMENT_INTERVAL_PER_PEER};
use crate::members::{self, Addresses};
use crate::poison;
use crate::relay;
use crate::signals::{self, MAX_BACKOFF_MS};
use passway_process::outbox::Outbox;
use passway_serving::dispatch;
use passway_serving::placement::Placement;
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::message::{
    EnginePlacement, KnownSignals, NewHolder, PlacedModel, Placements, Suspects, Updates,
};
use passway_wire::{Body, Frame};
use std::collections::BTreeSet;

/// A limit that changed by less than this ratio is not published again. An outdated limit is
/// harmless, because every instance asks the holder before it sends to a limited upstream.
const MIN_PUBLISHED_CHANGE_RATIO: f64 = 0.1;

fn encode_placement(placement: Placement) -> EnginePlacement {
    let models = placement.models.into_iter().map(|model| PlacedModel {
        model: model.name.to_string(),
        adapters: model.adapters.iter().map(ToString::to_string).collect(),
    });
    EnginePlacement {
        engine: placement.engine.to_string(),
        models: models.collect(),
        evicting: placement.evicting.iter().map(ToString::to_string).collect(),
    }
}

impl HolderThread {
    /// Addresses of the subscribers and of this instance.
    pub(super) fn members(&self) -> Addresses {
        let settings = &self.shared.settings;
        let this_instance = (settings.instance.clone(), settings.peer_address);
        let others = self.subscribers.members().map(|(_, member)| member.clone());
        others.chain([this_instance]).collect()
    }

    /// Sends a subscriber the term of this holder. An instance that is cut off from the store
    /// reconnects to the same holder by itself, and would otherwise take the new term for the
    /// previous one.
    pub(super) fn send_term(&self, number: u64) {
        let Some(fence) = self.fence else {
            return;
        };
        let settings = &self.shared.settings;
        let term = NewHolder {
            instance: settings.instance.to_string(),
            address: settings.peer_address.to_string(),
            fence,
        };
        self.send_to(number, &Body::NewHolder(term));
    }

    /// Sends the list of members to those candidates that lack it. A member whose connection ended
    /// may come back, so it stays on the list until the next holder has waited for it in vain.
    pub(super) fn publish_members(&mut self) {
        let connected = self.members();
        let mut known = self.shared.members();
        known.extend(connected);
        let subscribers = self.subscribers.members();
        let candidates = subscribers.filter(|(_, (name, _))| self.candidates.is_candidate(name));
        let due = self
            .member_list
            .due_connections(&known, candidates.map(|(number, _)| number));
        if due.is_empty() {
            return;
        }
        let body = Body::Members(members::encode(&known));
        drop(known);
        let outboxes = due.iter().filter_map(|number| self.peers.get(number));
        send_to_all(outboxes, body);
    }

    /// Sends the candidates the engines with unconfirmed orders, before the orders are sent. Once
    /// the answer to an order is lost, it is too late to publish that.
    pub(super) fn publish_unconfirmed(&mut self, now: Instant) {
        let unconfirmed: BTreeSet<UpstreamId> =
            self.planner.unconfirmed_engines(now).cloned().collect();
        if unconfirmed == self.published_unconfirmed {
            return;
        }
        self.published_unconfirmed = unconfirmed;
        let message = Updates {
            confirmed_at_ms: Vec::new(),
            ..self.heartbeat(0, now)
        };
        let members = self.subscribers.members();
        let candidates = members.filter(|(_, (name, _))| self.candidates.is_candidate(name));
        let outboxes = candidates.filter_map(|(number, _)| self.peers.get(&number));
        send_to_all(outboxes, Body::Updates(message));
    }

    /// Merges what an instance reports of requests that crash upstreams, and publishes the result.
    pub(super) fn merge_and_publish_suspects(&mut self, received: Suspects) {
        let now = clock::now();
        let mut disconnected = self.shared.poison.merge_disconnects(&received.disconnects);
        // Many instances see the same upstream break off; it is published once.
        self.published_disconnects.retain(|_, until| now < *until);
        disconnected.retain(|(start, _)| !self.published_disconnects.contains_key(start));
        let until = now + poison::UNCONFIRMED_TIMEOUT;
        let published = disconnected.iter().map(|(start, _)| (start.clone(), until));
        self.published_disconnects.extend(published);
        let disconnects = poison::encode_disconnects(&disconnected);
        let known = self.shared.poison.merge_fleet_list(received);
        if self.fence.is_some() && !(known.is_empty() && disconnects.is_empty()) {
            let suspects = Suspects {
                disconnects,
                ..poison::encode(known)
            };
            send_to_all(self.peers.values(), Body::Suspects(suspects));
        }
    }

    /// Merges the upstreams' signals that an instance received, and publishes what changed. An
    /// instance that has not received a signal from the upstream itself would otherwise keep
    /// sending there.
    pub(super) fn merge_and_publish_signals(&mut self, received: KnownSignals) {
        let now = clock::now();
        for backoff in &received.backing_off {
            let until = now + Duration::from_millis(backoff.remaining_ms.min(MAX_BACKOFF_MS));
            let engine = UpstreamId::from(backoff.upstream.as_str());
            self.planner
                .record_backoff(&engine, backoff.started_at_ms, until);
        }
        let mut changed = signals::merge(&self.shared, received);
        changed.retain(|id| {
            // Both calls have effects, so the second must not be skipped.
            let limit_changed = self.update_limit(id);
            let leaving_changed = self.update_leaving(id);
            limit_changed || leaving_changed
        });
        if self.fence.is_some() && !changed.is_empty() {
            let body = Body::KnownSignals(signals::encode(&self.shared, Some(&changed)));
            send_to_all(self.peers.values(), body);
        }
    }

    /// Updates the limit of an upstream. Returns whether it must be published.
    fn update_limit(&mut self, id: &UpstreamId) -> bool {
        let published = self.published_limits.get(id).copied();
        let current = self.shared.upstreams().advertised_limit_per_s(id);
        self.planner.set_limit(id, current);
        let must_publish = match (published, current) {
            (Some(published), Some(current)) => {
                (current - published).abs() > MIN_PUBLISHED_CHANGE_RATIO * published
            }
            (published, current) => published.is_some() != current.is_some(),
        };
        match current {
            Some(per_s) if must_publish => drop(self.published_limits.insert(id.clone(), per_s)),
            Some(_) => {}
            None => drop(self.published_limits.remove(id)),
        }
        must_publish
    }

    /// Updates that an upstream is leaving, if it is. Returns whether that must be published.
    fn update_leaving(&mut self, id: &UpstreamId) -> bool {
        let upstreams = self.shared.upstreams();
        let known = upstreams.leaving().find(|(leaving, _)| *leaving == id);
        let Some((_, started_at_ms)) = known else {
            return false;
        };
        drop(upstreams);
        self.planner.set_leaving(id, started_at_ms);
        self.published_leaving.insert(id.clone(), started_at_ms) != Some(started_at_ms)
    }

    /// Chooses the dispatchers, and publishes them if they changed. The previous ones, or none,
    /// stay until the size of the fleet is known.
    pub(super) fn publish_dispatchers(&mut self, instances: Option<usize>) {
        let Some(instances) = instances else {
            return;
        };
        let wanted = dispatch::required_dispatchers(instances, self.planner.engine_count());
        let this_instance = &self.shared.settings.instance;
        let chosen = self
            .candidates
            .choose_dispatchers(&self.dispatchers, wanted, this_instance);
        if chosen != self.dispatchers {
            self.dispatchers = chosen;
            send_to_all(self.peers.values(), self.dispatchers_body());
        }
    }

    pub(super) fn dispatchers_body(&self) -> Body {
        let chosen = self.dispatchers.iter();
        let chosen = chosen.map(|dispatcher| (dispatcher.instance.clone(), dispatcher.address));
        Body::Dispatchers(members::encode(&chosen.collect()))
    }

    pub(super) fn send_to(&self, number: u64, body: &Body) {
        if let Some(outbox) = self.peers.get(&number) {
            outbox.send(body.clone());
        }
    }

    /// The message that the holder is alive, and up to when it knows the feeds.
    pub(super) fn heartbeat(&self, instances: usize, now: Instant) -> Updates {
        Updates {
            instances: u32::try_from(instances).unwrap_or(u32::MAX),
            queued_at_ms: relay::millis_since(self.clock_origin, now).max(1),
            confirmed_at_ms: self.relay.store_answered_ms(self.clock_origin),
            unconfirmed: self
                .planner
                .unconfirmed_engines(now)
                .map(ToString::to_string)
                .collect(),
            ..Updates::default()
        }
    }

    /// Sends heartbeats to subscribers.
    pub(super) fn send_heartbeats(
        &self,
        subscribers: impl IntoIterator<Item = u64>,
        instances: usize,
    ) {
        let heartbeat = self.heartbeat(instances, clock::now());
        for (message, numbers) in self.subscribers.heartbeats(subscribers, &heartbeat) {
            let outboxes = numbers.iter().filter_map(|number| self.peers.get(number));
            send_to_all(outboxes, Body::Updates(message));
        }
    }

    /// Sends arrived models to the instances whose requests wait for them, and to the dispatchers.
    pub(super) fn publish_awaited(&self, awaited: Vec<(Placement, BTreeSet<InstanceId>)>) {
        for (placement, waiting) in awaited {
            let body = placements_body(vec![placement]);
            let must_receive = |name: &InstanceId| {
                waiting.contains(name)
                    || self
                        .dispatchers
                        .iter()
                        .any(|dispatcher| dispatcher.instance == *name)
            };
            let members = self.subscribers.members();
            let receivers = members.filter(|(_, (name, _))| must_receive(name));
            let outboxes = receivers.filter_map(|(number, _)| self.peers.get(&number));
            send_to_all(outboxes, body);
        }
    }

    /// Sends changed placements to all instances, less often the more instances there are.
    pub(super) fn publish_changes(&mut self, now: Instant) {
        let awaited = self.planner.take_awaited_placements();
        self.publish_awaited(awaited);
        if now < self.publish_at || !self.planner.has_changed_placements() {
            return;
        }
        let peers = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        self.publish_at = now + PLACEMENT_INTERVAL_PER_PEER * peers;
        let changed = self.planner.take_changed_placements();
        if !changed.is_empty() {
            send_to_all(self.peers.values(), placements_body(changed));
        }
    }
}

/// Sends one message to many peers; it is encoded and stored once.
pub(super) fn send_to_all<'a>(outboxes: impl Iterator<Item = &'a Outbox>, body: Body) {
    match Frame::new(body) {
        Ok(frame) => outboxes.for_each(|outbox| outbox.send_frame(frame.clone())),
        Err(error) => log::error!(error:% = error; "cannot encode a message"),
    }
}

pub(super) fn placements_body(placements: Vec<Placement>) -> Body {
    Body::Placements(Placements {
        engines: placements.into_iter().map(encode_placement).collect(),
    })
}
