//! Instances of which some reach the upstreams over paths that a test can cut.

use crate::cluster::{self, until};
use passway_instance::{Instance, Surroundings};
use passway_serving::ports::{Directory, StoredValue};
use passway_serving::routes::RouteTable;
use passway_serving::upstreams::UpstreamEntry;
use passway_standins::platform::cut_path::{CutPath, PathState};
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;
use passway_users_platform::{MetadataStore, PlatformDirectory, PlatformHeaders, ServerControl};
use passway_wire::dispatch::{Datagram, Dispatch, PathAnswer};
use passway_wire::message::PeerRequest;
use passway_wire::{Body, Link};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Mutex, PoisonError};

/// The paths from one instance to all upstreams.
#[derive(Debug, Default)]
pub struct Paths(Mutex<BTreeMap<SocketAddr, CutPath>>);

impl Paths {
    fn path_to(&self, target: SocketAddr) -> CutPath {
        let mut paths = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let path = paths.entry(target);
        path.or_insert_with(|| CutPath::open(target)).clone()
    }

    /// Changes the state of all paths. All ports are closed before any connection is reset: an instance
    /// that still reached the other upstreams after the first reset would rightly take that upstream for
    /// crashed.
    pub fn set(&self, state: PathState) {
        let paths = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if state == PathState::Reset {
            let close_port = |path: &CutPath| path.set(PathState::Refusing);
            paths.values().for_each(close_port);
        }
        paths.values().for_each(|path| path.set(state));
    }

    /// Changes the state of the path to one upstream.
    pub fn set_to(&self, target: SocketAddr, state: PathState) {
        self.path_to(target).set(state);
    }

    /// Number of connections that reached upstreams over these paths.
    pub fn connections(&self) -> u64 {
        let paths = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        paths.values().map(CutPath::connections).sum()
    }
}

/// Replaces the upstreams' addresses by those of the instance's paths.
#[derive(Debug)]
struct PathDirectory(Arc<Paths>);

impl Directory for PathDirectory {
    fn configuration_prefix(&self) -> &str {
        PlatformDirectory.configuration_prefix()
    }

    fn evacuated_hall<'a>(&self, key: &'a str) -> Option<&'a str> {
        PlatformDirectory.evacuated_hall(key)
    }

    fn decode_configuration(&self, value: &StoredValue) -> anyhow::Result<Option<RouteTable>> {
        PlatformDirectory.decode_configuration(value)
    }

    fn upstream_prefix(&self) -> &str {
        PlatformDirectory.upstream_prefix()
    }

    fn upstream_id<'a>(&self, key: &'a str) -> Option<&'a str> {
        PlatformDirectory.upstream_id(key)
    }

    fn decode_upstream(&self, value: &StoredValue, now: Instant) -> anyhow::Result<UpstreamEntry> {
        let entry = PlatformDirectory.decode_upstream(value, now)?;
        Ok(UpstreamEntry {
            address: self.0.path_to(entry.address).address,
            ..entry
        })
    }
}

/// Starts an instance that reaches all upstreams over `paths`, and waits until it is ready.
pub fn start_behind(
    name: &str,
    store: &MetadataStandIn,
    change: impl FnOnce(&mut passway_serving::ports::InstanceSettings),
) -> (Instance, Arc<Paths>) {
    let paths = Arc::new(Paths::default());
    let mut settings = cluster::settings(name, store.serve());
    change(&mut settings);
    let surroundings = Surroundings {
        store: Arc::new(MetadataStore::new(settings.store_address)),
        directory: Arc::new(PathDirectory(paths.clone())),
        vocabulary: Box::new(PlatformHeaders),
        engines: Arc::new(ServerControl::default()),
    };
    cluster::log_if_requested();
    let instance = Instance::start(settings, surroundings).expect("an instance");
    until("readiness", || instance.is_ready());
    (instance, paths)
}

/// An instance that a test plays: it claims to reach upstreams, and handles requests that others
/// pass on by a script.
pub struct PlayedPeer {
    address: SocketAddr,
    /// The announcements of the requests that were passed on.
    pub announcements: Arc<Mutex<Vec<PeerRequest>>>,
}

impl PlayedPeer {
    /// Starts a peer in a data hall. `handle` receives each connection after the announcement, with
    /// the bytes that were read after it.
    pub fn start(
        name: &str,
        hall: &str,
        handle: impl Fn(TcpStream, &[u8]) + Send + Sync + 'static,
    ) -> Self {
        let (listener, socket) = bind_both();
        let address = listener.local_addr().expect("an address");
        let (name, hall) = (name.to_owned(), hall.to_owned());
        std::thread::spawn(move || answer_queries(&socket, &name, &hall));
        let peer = Self {
            address,
            announcements: Arc::default(),
        };
        let announcements = peer.announcements.clone();
        let handle = Arc::new(handle);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (announcements, handle) = (announcements.clone(), handle.clone());
                std::thread::spawn(move || {
                    let (_link, mut reader) = Link::from_stream(stream).expect("a link");
                    let Ok(Some(Body::PeerRequest(announcement))) = reader.receive() else {
                        return;
                    };
                    announcements.lock().expect("a lock").push(announcement);
                    let (stream, received) = reader.into_parts();
                    handle(stream, &received);
                });
            }
        });
        peer
    }

    /// Lists peers in the store as the candidates of a holder that does not exist.
    pub fn list(store: &MetadataStandIn, peers: &[(&str, &Self)]) {
        store.put_bytes("passway/holder", b"played 127.0.0.1:9");
        let peers = peers
            .iter()
            .map(|(name, peer)| format!("{name}={}", peer.address));
        let peers: Vec<String> = peers.collect();
        let text = format!("played\n{}", peers.join(" "));
        store.put_bytes("passway/holders", text.as_bytes());
    }
}

/// A listener and a datagram socket with the same port.
fn bind_both() -> (TcpListener, UdpSocket) {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        if let Ok(socket) = UdpSocket::bind(address) {
            return (listener, socket);
        }
    }
}

fn answer_queries(socket: &UdpSocket, name: &str, hall: &str) {
    let mut bytes = [0; 1_500];
    while let Ok((length, from)) = socket.recv_from(&mut bytes) {
        if let Some(Dispatch::PathQuery(query)) = Datagram::decode_body(&bytes[..length]) {
            let answer = Dispatch::PathAnswer(PathAnswer {
                id: query.id,
                instance: name.to_owned(),
                hall: hall.to_owned(),
                accepts_requests: true,
                connected_ms_ago: Some(0),
                in_progress: 0,
            });
            let bytes = Datagram::encode_body(Some(answer));
            socket.send_to(&bytes, from).expect("sent");
        }
    }
}
