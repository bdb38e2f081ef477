//! The stored list of versions as this instance knows it, and the list that should be stored.

use super::stored_splits;
use passway_serving::ports::{StoreEra, StoreRevision};
use passway_serving::splits::SplitSet;
use passway_serving::versions::{STREAM_RETENTION, ServiceVersion, VersionList};
use passway_types::prelude::*;
use passway_wire::versions::{StoredVersion, StoredVersions};
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};

/// Interval at which an instance reads the list while it names several versions of a service, to stop
/// recording streams once one is left.
const REFRESH_INTERVAL: Duration = Duration::from_mins(1);
/// Longest time for which an announced version waits for an instance that is connected and does not record its
/// streams. A machine that stands still usually goes on within some seconds; later its streams cannot be resumed
/// elsewhere.
const MAX_RECORDING_WAIT: Duration = Duration::from_secs(6);
/// Interval at which an instance reads the list while it waits for an announced version.
const ANNOUNCED_READ_INTERVAL: Duration = Duration::from_secs(1);
/// After a version had no upstreams for this long, the list is read again before a stream begins there:
/// the holder may have removed the version.
const UNVERIFIED_AFTER: Duration = STREAM_RETENTION.checked_div(2).expect("a divisor");

/// The list of versions, and what this instance has observed of it.
#[derive(Debug, Default)]
pub(super) struct KnownList {
    pub(super) list: VersionList,
    /// The revision of the list's key; of an era in which the key is missing, the era's first one.
    pub(super) revision: StoreRevision,
    /// Whether the list, or that there is none, was read since the process started.
    pub(super) is_read: bool,
    /// Since when the list may lack versions, because the store has returned from an older copy or the
    /// list was removed; `None` if it lacks none.
    pub(super) incomplete_since: Option<Instant>,
    /// Versions that the list had before the store returned from an older copy and that it lacks now.
    pub(super) versions_before_return: BTreeSet<ServiceVersion>,
    /// Versions of listed upstreams.
    pub(super) upstream_versions: BTreeSet<ServiceVersion>,
    /// Listed versions at which streams may begin now; up to date while the list lacks a version.
    pub(super) serving_versions: BTreeSet<ServiceVersion>,
    /// The count of changes at which `upstream_versions` was taken.
    pub(super) version_changes: Option<u64>,
    /// Until when an announced version waits for instances that have not recorded their streams.
    pub(super) announced_until: BTreeMap<ServiceVersion, Instant>,
    /// Since when no upstream with a listed version is known.
    pub(super) gone_since: BTreeMap<ServiceVersion, Instant>,
    /// Whether the list or the routes have changed since the last check, so that streams may need records.
    pub(super) must_check_streams: bool,
    /// Listed versions that the holder may have removed from the stored list meanwhile.
    pub(super) unverified: BTreeSet<ServiceVersion>,
    /// Since when streams may not begin at all listed upstreams.
    pub(super) missing_since: Option<Instant>,
    /// Since when the list lacks splits that this instance has seen in force.
    pub(super) splits_missing_since: Option<Instant>,
    /// When the list was last read from the store, or written.
    pub(super) read_at: Option<Instant>,
}

pub(super) fn encode(list: &VersionList) -> Vec<u8> {
    let to_stored = |version: ServiceVersion| StoredVersion {
        service: version.service.to_string(),
        software: version.software.name().to_owned(),
    };
    let announced = list.announced().iter().cloned();
    let stored = StoredVersions {
        confirmed_in: list.confirmed_in(),
        versions: list.versions().map(to_stored).collect(),
        splits: stored_splits::to_stored(list.splits()),
        announced: announced.map(to_stored).collect(),
    };
    stored.encode_to_vec()
}

pub(super) fn decode(value: &[u8]) -> VersionList {
    let stored = StoredVersions::decode(value).unwrap_or_else(|error| {
        // An empty, unconfirmed list proves nothing.
        log::warn!(error:% = error; "cannot decode the list of software versions");
        StoredVersions::default()
    });
    let from_stored = |version: StoredVersion| ServiceVersion {
        service: version.service.into(),
        software: version.software.into(),
    };
    let versions = stored.versions.into_iter().map(from_stored);
    let announced = stored.announced.into_iter().map(from_stored);
    VersionList::new(stored.confirmed_in, versions)
        .with_announced(announced.collect())
        .with_splits(stored_splits::from_stored(stored.splits))
}

impl KnownList {
    /// Applies the list as stored; `value` is empty if the key is missing. Returns whether it is newer
    /// than what was known.
    pub(super) fn apply(&mut self, revision: StoreRevision, value: &[u8], now: Instant) -> bool {
        let is_newer = !self.is_read || revision > self.revision;
        if !is_newer {
            return false;
        }
        let is_later_era = revision.era() > self.revision.era();
        if is_later_era {
            self.versions_before_return.extend(self.list.versions());
        }
        self.is_read = true;
        self.revision = revision;
        self.list = decode(value);
        self.must_check_streams = true;
        let list = &self.list;
        let announced_until = &mut self.announced_until;
        announced_until.retain(|version, _| list.announced().contains(version));
        for version in list.announced() {
            let until = now + MAX_RECORDING_WAIT;
            announced_until.entry(version.clone()).or_insert(until);
        }
        self.versions_before_return
            .retain(|version| !list.contains(&version.service, &version.software));
        if list.confirmed_in() == Some(revision.era()) || self.is_before_first() {
            self.incomplete_since = None;
        } else if is_later_era || self.incomplete_since.is_none() {
            self.incomplete_since = Some(now);
        }
        true
    }

    /// Applies that the list was removed from the store.
    pub(super) fn clear(&mut self, era: StoreEra, now: Instant) {
        self.incomplete_since = Some(now);
        self.versions_before_return.extend(self.list.versions());
        self.revision = StoreRevision::new(era, 0);
        self.list = VersionList::default();
    }

    /// Whether no list was written yet. Before the first list, no stream has begun.
    pub(super) fn is_before_first(&self) -> bool {
        self.revision == StoreRevision::NONE
    }

    /// Versions that the list must have and lacks.
    pub(super) fn missing(&self) -> BTreeSet<ServiceVersion> {
        let wanted = self
            .upstream_versions
            .iter()
            .chain(&self.versions_before_return);
        let is_missing =
            |version: &&ServiceVersion| !self.list.contains(&version.service, &version.software);
        wanted.filter(is_missing).cloned().collect()
    }

    /// Updates since when listed versions have no upstreams.
    pub(super) fn update_gone(&mut self, now: Instant) {
        let gone = self
            .list
            .versions()
            .filter(|version| !self.upstream_versions.contains(version));
        let gone: BTreeSet<ServiceVersion> = gone.collect();
        self.gone_since.retain(|version, _| gone.contains(version));
        for version in gone {
            let since = *self.gone_since.entry(version.clone()).or_insert(now);
            if now >= since + UNVERIFIED_AFTER {
                self.unverified.insert(version);
            }
        }
    }

    /// Notes that the store has the known list, by a read that has just ended.
    pub(super) fn verify(&mut self, revision: StoreRevision, now: Instant) {
        self.read_at = Some(now);
        if revision == self.revision {
            let upstream_versions = &self.upstream_versions;
            self.unverified
                .retain(|version| !upstream_versions.contains(version));
        }
    }

    /// Whether streams may begin at all listed upstreams.
    pub(super) fn is_complete(&self) -> bool {
        self.is_read
            && self.missing().is_empty()
            && self.unverified.is_disjoint(&self.upstream_versions)
    }

    /// Whether the list names several versions of a service and was read long ago.
    pub(super) fn must_refresh(&self, now: Instant) -> bool {
        let era = self.revision.era();
        let mut versions = self.list.versions();
        let must_record = versions.any(|version| self.list.must_record(&version.service, era));
        let is_old = self.read_at.is_none_or(|at| now >= at + REFRESH_INTERVAL);
        must_record && is_old
    }

    /// Whether streams may begin now at a version that the list lacks: all instances have recorded their streams or
    /// have had their time, or no listed version of the service accepts requests any more.
    fn may_add(&self, version: &ServiceVersion, is_recorded: bool, now: Instant) -> bool {
        let is_of_service = |other: &ServiceVersion| other.service == version.service;
        let until = self.announced_until.get(version);
        until.is_some_and(|until| is_recorded || now >= *until)
            || self.versions_before_return.contains(version)
            || !self.serving_versions.iter().any(is_of_service)
    }

    /// Announced versions whose time has not passed. Their upstreams may be known to another instance alone.
    fn waiting_announced(&self, now: Instant) -> impl Iterator<Item = &ServiceVersion> {
        let waiting = self.announced_until.iter();
        let waiting = waiting.filter(move |(_, until)| now < **until);
        waiting.map(|(version, _)| version)
    }

    /// Whether the versions that the list lacks only wait for records. The list is read now and then nevertheless,
    /// in case that an update was lost.
    pub(super) fn awaits_records(&self, now: Instant) -> bool {
        let is_recent = self
            .read_at
            .is_some_and(|at| now < at + ANNOUNCED_READ_INTERVAL);
        let missing = self.missing();
        !missing.is_empty() && missing.is_subset(self.list.announced()) && is_recent
    }

    /// The list that should be stored now, with these splits; `None` if it is stored. The versions of a
    /// service without upstreams stay. `is_recorded` tells whether all instances have recorded their
    /// streams since they know the list.
    pub(super) fn next_list(
        &self,
        splits: SplitSet,
        is_recorded: bool,
        now: Instant,
    ) -> Option<VersionList> {
        let missing = self.missing().into_iter();
        let (added, mut announced): (BTreeSet<_>, BTreeSet<_>) =
            missing.partition(|version| self.may_add(version, is_recorded, now));
        let waiting = self.waiting_announced(now);
        announced.extend(waiting.filter(|version| !added.contains(version)).cloned());
        let is_expired = |version: &ServiceVersion| {
            let has_other = |other: &ServiceVersion| other.service == version.service;
            let since = self.gone_since.get(version);
            let is_gone = since.is_some_and(|since| now >= *since + STREAM_RETENTION);
            is_gone && self.upstream_versions.iter().any(has_other)
        };
        let kept = self.list.versions().filter(|version| !is_expired(version));
        let era = self.revision.era();
        let is_confirmed = self.list.confirmed_in() == Some(era);
        let is_first = self.is_before_first() && self.incomplete_since.is_none();
        let is_long_known = self
            .incomplete_since
            .is_some_and(|since| now >= since + STREAM_RETENTION);
        let confirmed_in = (is_confirmed || is_first || is_long_known).then_some(era);
        let next = VersionList::new(confirmed_in.or(self.list.confirmed_in()), kept.chain(added))
            .with_announced(announced)
            .with_splits(splits);
        let is_needed = next != self.list && next.versions().next().is_some();
        (self.is_read && is_needed).then_some(next)
    }
}
