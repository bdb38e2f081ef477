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
use std::collections::BTreeMap;
use std::net::SocketAddr;
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

    /// Changes the state of all paths.
    pub fn set(&self, state: PathState) {
        let paths = self.0.lock().unwrap_or_else(PoisonError::into_inner);
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
