//! At which service a stream began: the operators may have given its route other services since.

use super::known_list::KnownList;
use super::registry::BegunStream;
use super::{NoProof, Versions, lock};
use passway_serving::ports::StoreEra;
use passway_serving::routes::RouteTable;
use passway_serving::splits::{SplitSet, StreamOrigin};
use passway_serving::versions::{
    ProvenVersion, ServiceVersion, SoftwareVersion, StreamKey, VersionList,
};
use passway_types::clock;
use passway_types::prelude::*;
use std::collections::BTreeSet;

/// The key of a stream if it began at this service; `None` if its attempt is not known.
pub(super) fn key_at(origin: &StreamOrigin, service: &ServiceName) -> Option<StreamKey> {
    StreamKey::new(service, origin.attempt.as_deref()?)
}

impl Versions {
    /// Notes the routes of a configuration, before requests are routed by it.
    pub fn apply_routes(&self, table: &RouteTable) {
        let has_changed = lock(&self.splits).apply(table, clock::now());
        if has_changed {
            lock(&self.known).must_check_streams = true;
            self.wake();
        }
    }

    /// Applies the splits of a list that has just replaced `previous`.
    pub(super) fn merge_splits(&self, known: &KnownList, previous: &SplitSet) {
        let listed = known.list.splits();
        lock(&self.splits).merge(listed, previous, clock::now());
    }

    /// Whether the service of a stream that begins must be recorded because the list and the routes do not
    /// prove it.
    pub(super) fn must_record_service(&self, origin: &StreamOrigin, service: &ServiceName) -> bool {
        let known = lock(&self.known);
        let splits = lock(&self.splits);
        let only = splits.only_service(origin, known.list.splits(), clock::now());
        only.as_ref() != Some(service)
    }

    /// Whether a stream that has begun may have begun at another service, by the routes.
    pub(super) fn may_be_elsewhere(&self, stream: &BegunStream) -> bool {
        let splits = lock(&self.splits);
        let possible = splits.possible_services(&stream.origin, clock::now());
        possible.len() != 1 || !possible.contains(&stream.service)
    }

    /// The service and version of a stream that this instance has begun; `None` for other streams.
    pub(super) fn prove_observed(
        &self,
        origin: &StreamOrigin,
    ) -> Result<Option<ProvenVersion>, NoProof> {
        let services = lock(&self.splits).recent_services(origin, clock::now());
        let keys = services
            .iter()
            .filter_map(|service| key_at(origin, service));
        Ok(lock(&self.registry).find(keys)?)
    }

    /// Proves service and version of a stream by a list that the store returned in this era. `recorded` reads
    /// the recorded versions of a stream, if they are needed.
    pub(super) fn prove_by_list(
        &self,
        list: &VersionList,
        era: StoreEra,
        origin: &StreamOrigin,
        recorded: impl Fn(StreamKey) -> Result<Vec<SoftwareVersion>, NoProof>,
    ) -> Result<ProvenVersion, NoProof> {
        let now = clock::now();
        let splits = lock(&self.splits);
        let only_service = splits.only_service(origin, list.splits(), now);
        let recent = splits.recent_services(origin, now);
        drop(splits);
        let proven = only_service
            .as_ref()
            .and_then(|service| list.prove(service, era));
        if let Some(proven) = proven {
            return Ok(proven);
        }
        let possible = only_service.map_or(recent, |service| BTreeSet::from([service]));
        let mut versions = Vec::new();
        for service in &possible {
            let Some(key) = key_at(origin, service) else {
                continue;
            };
            let recorded = recorded(key)?.into_iter();
            versions.extend(recorded.map(|software| ServiceVersion {
                service: service.clone(),
                software,
            }));
        }
        Ok(ProvenVersion::recorded(versions)?)
    }
}
