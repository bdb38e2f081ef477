//! Numbers of upstreams by service and software version.

use super::UpstreamEntry;
use crate::versions::ServiceVersion;
use std::collections::BTreeMap;

/// Numbers of listed upstreams by service and software version. The work of a change does not depend
/// on the number of upstreams.
#[derive(Debug, Default)]
pub(super) struct VersionCounts {
    counts: BTreeMap<ServiceVersion, usize>,
    /// Number of times that a version was listed first or last.
    changes: u64,
}

fn version_of(entry: &UpstreamEntry) -> ServiceVersion {
    ServiceVersion {
        service: entry.service.clone(),
        software: entry.software.clone(),
    }
}

impl VersionCounts {
    pub(super) fn add(&mut self, entry: &UpstreamEntry) {
        let count = self.counts.entry(version_of(entry)).or_default();
        *count += 1;
        self.changes += u64::from(*count == 1);
    }

    pub(super) fn remove(&mut self, entry: &UpstreamEntry) {
        let version = version_of(entry);
        let Some(count) = self.counts.get_mut(&version) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(&version);
            self.changes += 1;
        }
    }

    /// Replaces an upstream's entry. An entry of the same service and version changes nothing.
    pub(super) fn replace(&mut self, previous: &UpstreamEntry, entry: &UpstreamEntry) {
        if previous.service != entry.service || previous.software != entry.software {
            self.add(entry);
            self.remove(previous);
        }
    }

    /// The versions of which upstreams are listed.
    pub(super) fn versions(&self) -> impl Iterator<Item = &ServiceVersion> {
        self.counts.keys()
    }

    pub(super) fn changes(&self) -> u64 {
        self.changes
    }
}
