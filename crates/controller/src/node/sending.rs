//! What the deciding thread sends to those who are connected.

use super::{LinkId, Node};
use crate::config_feed::millis;
use passway_process::outbox::Outbox;
use passway_types::prelude::*;
use passway_wire::Body;
use passway_wire::message::{Heartbeat, Hello, Role};
use std::collections::HashSet;

impl Node {
    pub(super) fn routers(&self) -> impl Iterator<Item = (&Hello, &Outbox)> {
        self.links.values().filter_map(|peer| {
            let hello = peer.hello.as_ref()?;
            (hello.role == i32::from(Role::Router)).then_some((hello, &peer.outbox))
        })
    }

    pub(super) fn send_to(&self, id: LinkId, body: Body) {
        if let Some(peer) = self.links.get(&id) {
            peer.outbox.send(body);
        }
    }

    pub(super) fn send_to_router(&self, router: Incarnation, body: &Body) {
        for (_, outbox) in self
            .routers()
            .filter(|(hello, _)| hello.incarnation == router)
        {
            outbox.send(body.clone());
        }
    }

    pub(super) fn send_to_routers(&self, body: &Body) {
        for (_, outbox) in self.routers() {
            outbox.send(body.clone());
        }
    }

    pub(super) fn heartbeat(&self, now: Instant) -> Heartbeat {
        let routers: HashSet<u64> = self.routers().map(|(hello, _)| hello.incarnation).collect();
        Heartbeat {
            instance: self.me.instance.to_string(),
            incarnation: self.me.incarnation,
            config_revision: self.revision(),
            config_age_ms: millis(self.gossip.config_age(now, self.revision())),
            isolated: self.gossip.is_isolated(now),
            routers: u32::try_from(routers.len()).unwrap_or(u32::MAX),
            cells: self.gossip.holders(),
        }
    }

    /// Sends a heartbeat to all that are connected; the holders only to those
    /// who have not been told of them as they are.
    pub(super) fn send_heartbeats(&mut self, now: Instant) {
        let whole = self.heartbeat(now);
        let brief = Heartbeat {
            cells: Vec::new(),
            ..whole.clone()
        };
        let version = self.gossip.holders_version();
        for peer in self.links.values_mut().filter(|peer| peer.hello.is_some()) {
            let is_told = peer.told_holders == Some(version);
            peer.told_holders = Some(version);
            let heartbeat = if is_told { &brief } else { &whole };
            peer.outbox.send(Body::Heartbeat(heartbeat.clone()));
        }
    }
}
