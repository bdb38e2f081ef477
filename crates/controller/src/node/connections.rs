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
    /// The client's latest hello, which identifies it; `None` before its first hello.
    hello: Option<Hello>,
    /// The version of the holders that was last sent to the client.
    sent_holders_version: Option<u64>,
}

/// All accepted connections.
#[derive(Debug, Default)]
pub(super) struct Connections {
    connections: HashMap<ConnectionId, Connection>,
}

impl Connections {
    /// Adds an accepted connection.
    pub(super) fn add(&mut self, id: ConnectionId, outbox: Outbox) {
        let connection = Connection {
            outbox,
            hello: None,
            sent_holders_version: None,
        };
        self.connections.insert(id, connection);
    }

    /// Removes a closed connection and returns the client's hello, if it sent one.
    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<Hello> {
        self.connections.remove(&id)?.hello
    }

    /// Returns the number of connections.
    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Records the client's hello. Returns whether this was its first one.
    pub(super) fn record_hello(&mut self, id: ConnectionId, hello: Hello) -> bool {
        let connection = self.connections.get_mut(&id);
        connection.is_some_and(|connection| connection.hello.replace(hello).is_none())
    }

    /// Returns the client's incarnation, if it has sent a hello.
    pub(super) fn incarnation_of(&self, id: ConnectionId) -> Option<Incarnation> {
        Some(self.connections.get(&id)?.hello.as_ref()?.incarnation)
    }

    /// Returns the latest hellos of the connected routers.
    pub(super) fn routers(&self) -> impl Iterator<Item = &Hello> {
        self.router_connections().map(|(hello, _)| hello)
    }

    /// Returns the number of connected router processes.
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

    /// Sends to one connection, if it is still open.
    pub(super) fn send_to(&self, id: ConnectionId, body: Body) {
        if let Some(connection) = self.connections.get(&id) {
            connection.outbox.send(body);
        }
    }

    /// Sends to the router process with this incarnation.
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

    /// Sends one connection a heartbeat that names the holders, and records their version.
    pub(super) fn send_heartbeat(&mut self, id: ConnectionId, heartbeat: Heartbeat, version: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.sent_holders_version = Some(version);
            connection.outbox.send(Body::Heartbeat(heartbeat));
        }
    }

    /// Sends a heartbeat to all clients that have sent a hello. The heartbeat omits the
    /// holders for clients that have already received this version of them.
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

/// Whether the sender of a hello is a router.
pub(super) fn is_router(hello: &Hello) -> bool {
    hello.role == i32::from(Role::Router)
}
