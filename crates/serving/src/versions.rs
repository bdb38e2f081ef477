//! Versions of upstreams' software, and the proof of the version that began a stream.
//!
//! Upstreams of several software versions may serve one service side by side. What two versions write
//! does not fit together, and upstreams do not check it, so a stream is resumed only with a
//! [`ProvenVersion`].
//!
//! A stream begins only at a version that the store's [`VersionList`] names. If the list names one
//! version alone, each stream of the service has begun there, and nothing is stored for single streams.
//! The list also names the services to which routes lead or have led lately ([`SplitSet`]).
//! While it names several, the version of each stream is recorded.
//!
//! A further version is announced first. Streams begin there once every instance has recorded the streams
//! that it knows: an instance that stands still cannot do so in time.

use crate::revisions::StoreEra;
use crate::splits::SplitSet;
use crate::upstreams::ListedStart;
use passway_types::hash::{DIGEST_BYTES, stable_digest};
use passway_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// How long after its first event a stream may still be resumed. A version stays in the list for this
/// long after its last upstream has gone, and the record of a stream is kept as long.
pub const STREAM_RETENTION: Duration = Duration::from_mins(5);

/// A version of an upstream's software. Versions have no order.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// The name that the upstream reports for the version.
    pub fn name(&self) -> &str {
        &self.0
    }
}

impl From<&str> for SoftwareVersion {
    fn from(name: &str) -> Self {
        Self(name.into())
    }
}

impl From<String> for SoftwareVersion {
    fn from(name: String) -> Self {
        Self(name.into())
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A start of an upstream that is known to be the process at the other end of a connection.
///
/// A process that has restarted under its id, at another version perhaps, serves at the same address before
/// its entry is known. So a connection to an address does not show which start answers there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdentifiedStart {
    start: ListedStart,
    is_reported: bool,
}

impl IdentifiedStart {
    /// The listed start, if the process has reported the same one, in Unix milliseconds by its own clock.
    /// The process must have been asked after the connection was opened: a connection does not outlive its
    /// process.
    pub fn reported(listed: &ListedStart, reported_at_ms: u64) -> Option<Self> {
        (reported_at_ms == listed.started_at_ms).then(|| Self {
            start: listed.clone(),
            is_reported: true,
        })
    }

    /// The listed start of an upstream whose process does not report its start.
    pub fn by_entry(listed: &ListedStart) -> Self {
        Self {
            start: listed.clone(),
            is_reported: false,
        }
    }

    /// The start.
    pub fn start(&self) -> &ListedStart {
        &self.start
    }

    /// Whether the process itself has reported the start; otherwise a later start may have taken its
    /// place before its entry was known.
    pub fn is_reported(&self) -> bool {
        self.is_reported
    }
}

/// What proves the version of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProofSource {
    /// This instance has received the first event.
    Observed,
    /// The stored list names no other version.
    OnlyVersion,
    /// The stream's record.
    Record,
    /// As [`Self::OnlyVersion`], read by another instance for this one.
    OnlyVersionByPeer,
    /// As [`Self::Record`], with the list or the record read by another instance for this one.
    RecordByPeer,
}

impl ProofSource {
    /// The name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Observed => "observed",
            Self::OnlyVersion => "only version",
            Self::Record => "record",
            Self::OnlyVersionByPeer => "only version, read by a peer",
            Self::RecordByPeer => "record, read by a peer",
        }
    }
}

/// Proof that a stream began at a software version of a service. Only a run there may resume it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProvenVersion {
    service: ServiceName,
    software: SoftwareVersion,
    source: ProofSource,
}

impl ProvenVersion {
    /// The version of the start whose run brought the stream's first event; `None` if the start was not
    /// listed when it was chosen.
    pub fn observed(service: &ServiceName, start: &IdentifiedStart) -> Option<Self> {
        let software = start.start.software.clone()?;
        Some(Self {
            service: service.clone(),
            software,
            source: ProofSource::Observed,
        })
    }

    /// By the versions that are recorded for the stream at services where it may have begun.
    ///
    /// # Errors
    /// If there is not exactly one.
    pub fn recorded(recorded: impl IntoIterator<Item = ServiceVersion>) -> Result<Self, Unproven> {
        let mut recorded = recorded.into_iter();
        match (recorded.next(), recorded.next()) {
            (Some(ServiceVersion { service, software }), None) => Ok(Self {
                service,
                software,
                source: ProofSource::Record,
            }),
            (None, _) => Err(Unproven::NoRecord),
            (Some(_), Some(_)) => Err(Unproven::ConflictingRecords),
        }
    }

    /// The service.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// The same proof, of which another instance has read a part from the store.
    #[must_use]
    pub fn read_by_peer(self) -> Self {
        let source = match self.source {
            ProofSource::OnlyVersion => ProofSource::OnlyVersionByPeer,
            ProofSource::Record => ProofSource::RecordByPeer,
            other => other,
        };
        Self { source, ..self }
    }

    /// Whether the store has a record of the stream's version.
    pub fn is_recorded(&self) -> bool {
        matches!(self.source, ProofSource::Record | ProofSource::RecordByPeer)
    }

    /// The version.
    pub fn software(&self) -> &SoftwareVersion {
        &self.software
    }

    /// What proves it.
    pub fn source(&self) -> ProofSource {
        self.source
    }

    /// Whether the stream may be resumed at an upstream of this version of a service; false if the version
    /// is unknown.
    pub fn permits(&self, service: &ServiceName, software: Option<&SoftwareVersion>) -> bool {
        *service == self.service && software == Some(&self.software)
    }
}

/// Why the version that began a stream is not proved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unproven {
    /// Several versions may have begun it, and none is recorded.
    NoRecord,
    /// More than one version is recorded.
    ConflictingRecords,
}

impl Unproven {
    /// The name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRecord => "no record",
            Self::ConflictingRecords => "conflicting records",
        }
    }
}

/// Identifies a stream by its service and the id of the attempt that began it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey([u8; DIGEST_BYTES]);

impl StreamKey {
    /// The key of a stream; `None` if the attempt has no id.
    pub fn new(service: &str, attempt_id: &str) -> Option<Self> {
        let parts = [service.as_bytes(), attempt_id.as_bytes()];
        (!attempt_id.is_empty()).then(|| Self(stable_digest(&parts)))
    }

    /// The key as bytes, for messages to other instances.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// The key in a message of another instance; `None` if it has another length.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut bytes = self.0.iter();
        bytes.try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// A software version of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceVersion {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub software: SoftwareVersion,
}

/// The versions at which streams of each service may have begun.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionList {
    /// The era of the store in which the list is known to lack no version; `None` if it may lack some,
    /// because the store has returned from an older copy.
    confirmed_in: Option<StoreEra>,
    services: BTreeMap<ServiceName, BTreeSet<SoftwareVersion>>,
    /// Versions at which no stream has begun yet.
    announced: BTreeSet<ServiceVersion>,
    splits: SplitSet,
}

impl VersionList {
    /// A list of these versions.
    pub fn new(
        confirmed_in: Option<StoreEra>,
        versions: impl IntoIterator<Item = ServiceVersion>,
    ) -> Self {
        let mut services: BTreeMap<ServiceName, BTreeSet<SoftwareVersion>> = BTreeMap::new();
        for ServiceVersion { service, software } in versions {
            services.entry(service).or_default().insert(software);
        }
        Self {
            confirmed_in,
            services,
            announced: BTreeSet::new(),
            splits: SplitSet::default(),
        }
    }

    /// The list with these versions announced. Instances begin no stream there yet, and record their streams.
    #[must_use]
    pub fn with_announced(self, announced: BTreeSet<ServiceVersion>) -> Self {
        Self { announced, ..self }
    }

    /// Versions at which no stream has begun yet.
    pub fn announced(&self) -> &BTreeSet<ServiceVersion> {
        &self.announced
    }

    /// The list with these splits.
    #[must_use]
    pub fn with_splits(self, splits: SplitSet) -> Self {
        Self { splits, ..self }
    }

    /// The splits of routes under which streams may have begun; empty in a list of an earlier build.
    pub fn splits(&self) -> &SplitSet {
        &self.splits
    }

    /// The era of the store in which the list is known to lack no version.
    pub fn confirmed_in(&self) -> Option<StoreEra> {
        self.confirmed_in
    }

    /// All versions in the list.
    pub fn versions(&self) -> impl Iterator<Item = ServiceVersion> {
        self.services.iter().flat_map(|(service, versions)| {
            versions.iter().map(|software| ServiceVersion {
                service: service.clone(),
                software: software.clone(),
            })
        })
    }

    /// Whether a stream of a service may begin at a version.
    pub fn contains(&self, service: &str, software: &SoftwareVersion) -> bool {
        let versions = self.services.get(service);
        versions.is_some_and(|versions| versions.contains(software))
    }

    /// The version at which each stream of a service has begun, by a list that the store returned in
    /// this era; `None` if several may have begun streams.
    fn only_version(&self, service: &str, era: StoreEra) -> Option<&SoftwareVersion> {
        let versions = self.services.get(service)?;
        let is_only = versions.len() == 1 && self.confirmed_in == Some(era);
        versions.first().filter(|_| is_only)
    }

    /// Whether the versions of a service's streams must be recorded: the list does not prove them, or will not
    /// once streams begin at an announced version.
    pub fn must_record(&self, service: &str, era: StoreEra) -> bool {
        let mut announced = self.announced.iter();
        announced.any(|version| *version.service == *service)
            || self.only_version(service, era).is_none()
    }

    /// Proves the version of a stream of this service by a list that the store returned in this era; `None`
    /// if several may have begun it.
    pub fn prove(&self, service: &ServiceName, era: StoreEra) -> Option<ProvenVersion> {
        let software = self.only_version(service, era)?;
        Some(ProvenVersion {
            service: service.clone(),
            software: software.clone(),
            source: ProofSource::OnlyVersion,
        })
    }
}
