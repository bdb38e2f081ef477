//! Accepted connections: routers, other controllers and operators.

use super::ConnectionId;
use passway_process::outbox::Outbox;
use passway_types::prelude::*;
use passway_wire::Body;
use passway_wire::message::{Heartbeat, Hello, Role};
use std::collections::{HashMap, HashSet};

/// An accepted connection.
#[derive(Debug)]
struct Connection {
    outbox: Outbox,
    /// Who is at the other end; `None` until it has said so.
    hello: Option<Hello>,
    /// The version of the holders that was sent last.
    sent_holders_version: Option<u64>,
}

/// All accepted connections.
#[derive(Debug, Default)]
pub(super) struct Connections {
    connections: HashMap<ConnectionId, Connection>,
}

impl Connections {
    /// A connection was accepted.
    pub(super) fn add(&mut self, id: ConnectionId, outbox: Outbox) {
        let connection = Connection {
            outbox,
            hello: None,
            sent_holders_version: None,
        };
        self.connections.insert(id, connection);
    }

    /// A connection ended; who was at the other end, if it has said so.
    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<Hello> {
        self.connections.remove(&id)?.hello
    }

    /// How many connections there are.
    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Records who is at the other end; whether it had not said so before.
    pub(super) fn record_hello(&mut self, id: ConnectionId, hello: Hello) -> bool {
        let connection = self.connections.get_mut(&id);
        connection.is_some_and(|connection| connection.hello.replace(hello).is_none())
    }

    /// The process at the other end, if it has said who it is.
    pub(super) fn incarnation_of(&self, id: ConnectionId) -> Option<Incarnation> {
        Some(self.connections.get(&id)?.hello.as_ref()?.incarnation)
    }

    /// What the routers that are connected said of themselves.
    pub(super) fn routers(&self) -> impl Iterator<Item = &Hello> {
        self.router_connections().map(|(hello, _)| hello)
    }

    /// How many router processes are connected.
    pub(super) fn router_count(&self) -> u32 {
        let routers: HashSet<u64> = self.routers().map(|hello| hello.incarnation).collect();
        u32::try_from(routers.len()).unwrap_or(u32::MAX)
    }

    fn router_connections(&self) -> impl Iterator<Item = (&Hello, &Outbox)> {
        self.connections.values().filter_map(|connection| {
            let hello = connection.hello.as_ref()?;
            is_router(hello).then_some((hello, &connection.outbox))
        })
    }

    /// Sends to one connection, if it is there.
    pub(super) fn send_to(&self, id: ConnectionId, body: Body) {
        if let Some(connection) = self.connections.get(&id) {
            connection.outbox.send(body);
        }
    }

    /// Sends to one router.
    pub(super) fn send_to_router(&self, router: Incarnation, body: &Body) {
        let connections = self.router_connections();
        for (_, outbox) in connections.filter(|(hello, _)| hello.incarnation == router) {
            outbox.send(body.clone());
        }
    }

    /// Sends to all routers.
    pub(super) fn send_to_routers(&self, body: &Body) {
        for (_, outbox) in self.router_connections() {
            outbox.send(body.clone());
        }
    }

    /// Sends a heartbeat with the holders of this version to one connection.
    pub(super) fn send_heartbeat(&mut self, id: ConnectionId, heartbeat: Heartbeat, version: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.sent_holders_version = Some(version);
            connection.outbox.send(Body::Heartbeat(heartbeat));
        }
    }

    /// Sends a heartbeat to all that have said who they are; the holders only to
    /// those to whom this version of them was not sent before.
    pub(super) fn send_heartbeats(&mut self, with_holders: &Heartbeat, version: u64) {
        let without_holders = Heartbeat {
            cells: Vec::new(),
            ..with_holders.clone()
        };
        for connection in self
            .connections
            .values_mut()
            .filter(|connection| connection.hello.is_some())
        {
            let is_up_to_date = connection.sent_holders_version.replace(version) == Some(version);
            let heartbeat = if is_up_to_date {
                &without_holders
            } else {
                with_holders
            };
            connection.outbox.send(Body::Heartbeat(heartbeat.clone()));
        }
    }
}

/// Whether a router is at the other end.
pub(super) fn is_router(hello: &Hello) -> bool {
    hello.role == i32::from(Role::Router)
}
