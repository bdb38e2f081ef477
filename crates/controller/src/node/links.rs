//! Accepted connections: routers, other controllers and operators.

use super::LinkId;
use passway_process::outbox::Outbox;
use passway_types::prelude::*;
use passway_wire::Body;
use passway_wire::message::{Heartbeat, Hello, Role};
use std::collections::{HashMap, HashSet};

/// An accepted connection.
#[derive(Debug)]
struct Link {
    outbox: Outbox,
    /// Who is at the other end; `None` until it has said so.
    hello: Option<Hello>,
    /// The version of the holders that was sent last.
    sent_holders: Option<u64>,
}

/// All accepted connections.
#[derive(Debug, Default)]
pub(super) struct Links {
    links: HashMap<LinkId, Link>,
}

impl Links {
    /// A connection was accepted.
    pub(super) fn add(&mut self, id: LinkId, outbox: Outbox) {
        let link = Link {
            outbox,
            hello: None,
            sent_holders: None,
        };
        self.links.insert(id, link);
    }

    /// A connection ended; who was at the other end, if it has said so.
    pub(super) fn remove(&mut self, id: LinkId) -> Option<Hello> {
        self.links.remove(&id)?.hello
    }

    /// How many connections there are.
    pub(super) fn len(&self) -> usize {
        self.links.len()
    }

    /// Records who is at the other end; whether it had not said so before.
    pub(super) fn greeted(&mut self, id: LinkId, hello: Hello) -> bool {
        let link = self.links.get_mut(&id);
        link.is_some_and(|link| link.hello.replace(hello).is_none())
    }

    /// The process at the other end, if it has said who it is.
    pub(super) fn incarnation_of(&self, id: LinkId) -> Option<Incarnation> {
        Some(self.links.get(&id)?.hello.as_ref()?.incarnation)
    }

    /// What the routers that are connected said of themselves.
    pub(super) fn routers(&self) -> impl Iterator<Item = &Hello> {
        self.router_links().map(|(hello, _)| hello)
    }

    /// How many router processes are connected.
    pub(super) fn router_count(&self) -> u32 {
        let routers: HashSet<u64> = self.routers().map(|hello| hello.incarnation).collect();
        u32::try_from(routers.len()).unwrap_or(u32::MAX)
    }

    fn router_links(&self) -> impl Iterator<Item = (&Hello, &Outbox)> {
        self.links.values().filter_map(|link| {
            let hello = link.hello.as_ref()?;
            is_router(hello).then_some((hello, &link.outbox))
        })
    }

    /// Sends to one connection, if it is there.
    pub(super) fn send_to(&self, id: LinkId, body: Body) {
        if let Some(link) = self.links.get(&id) {
            link.outbox.send(body);
        }
    }

    /// Sends to one router.
    pub(super) fn send_to_router(&self, router: Incarnation, body: &Body) {
        let links = self.router_links();
        for (_, outbox) in links.filter(|(hello, _)| hello.incarnation == router) {
            outbox.send(body.clone());
        }
    }

    /// Sends to all routers.
    pub(super) fn send_to_routers(&self, body: &Body) {
        for (_, outbox) in self.router_links() {
            outbox.send(body.clone());
        }
    }

    /// Sends a heartbeat with the holders of this version to one connection.
    pub(super) fn send_heartbeat(&mut self, id: LinkId, heartbeat: Heartbeat, version: u64) {
        if let Some(link) = self.links.get_mut(&id) {
            link.sent_holders = Some(version);
            link.outbox.send(Body::Heartbeat(heartbeat));
        }
    }

    /// Sends a heartbeat to all that have said who they are; the holders only to
    /// those to whom this version of them was not sent before.
    pub(super) fn send_heartbeats(&mut self, whole: &Heartbeat, version: u64) {
        let brief = Heartbeat {
            cells: Vec::new(),
            ..whole.clone()
        };
        for link in self.links.values_mut().filter(|link| link.hello.is_some()) {
            let is_sent = link.sent_holders.replace(version) == Some(version);
            let heartbeat = if is_sent { &brief } else { whole };
            link.outbox.send(Body::Heartbeat(heartbeat.clone()));
        }
    }
}

/// Whether a router is at the other end.
pub(super) fn is_router(hello: &Hello) -> bool {
    hello.role == i32::from(Role::Router)
}
