//! Resuming a stream at another run after events were delivered: within one answer, through another
//! instance, or when its caller reconnects.
//!
//! A stream is resumed only at the software version that began it. [`StreamVersion`] has the proof of that
//! version, and the send permit requires it.

use super::{Forwarding, Origin, Target, host_of, is_engine};
use crate::control;
use crate::denials::Denial;
use crate::reply::{Refusal, ResumeObstacle};
use crate::upstream_exchange::Exchange;
use crate::versions::NoProof;
use passway_process::logging::json::REQUEST_TARGET;
use passway_serving::ports::RequestMetadata;
use passway_serving::splits::StreamOrigin;
use passway_serving::upstreams::{ListedStart, UpstreamTable};
use passway_serving::versions::{IdentifiedStart, ProvenVersion, SoftwareVersion, StreamKey};
use passway_types::clock;
use passway_types::prelude::*;

/// Longest time for the proof of a stream's version. The store answers in 4 ms, and in 0.2 s on its
/// worst days; a proof takes two answers.
const MAX_PROOF_TIME: Duration = Duration::from_millis(500);

/// The software version at which the request's stream may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StreamVersion {
    /// No event has been delivered: the next run begins the stream.
    Beginning,
    /// Events were delivered by a run that this instance has not seen.
    Unproven,
    /// Events were delivered by a run at this version.
    Proven(ProvenVersion),
}

impl StreamVersion {
    /// The version of a request that has just arrived. A request from another instance is `resumed`
    /// after events that this instance has not delivered.
    pub(super) fn on_arrival(facts: &RequestMetadata, is_passed_on_after_events: bool) -> Self {
        let resumes_stream = facts.last_event_id.is_some() || facts.resumes.is_some();
        if resumes_stream || is_passed_on_after_events {
            Self::Unproven
        } else {
            Self::Beginning
        }
    }
}

impl NoProof {
    fn obstacle(self) -> ResumeObstacle {
        match self {
            Self::Unproven(_) => ResumeObstacle::UnknownVersion,
            Self::StoreAway => ResumeObstacle::ProofUnavailable,
        }
    }
}

impl Forwarding<'_> {
    /// The last event that the caller has received, after which the next run resumes the stream; `None` if
    /// the next run begins it.
    fn resumed_after(&self) -> Option<String> {
        let delivered = self.delivered.last_event_id();
        delivered.or_else(|| self.facts.last_event_id.clone())
    }

    /// Why the stream is resumed at `target`, for logs.
    fn resumption_way(&self, target: &Target) -> &'static str {
        if target.continues.is_some() {
            "copy"
        } else if self.attempt_upstream.as_ref() != Some(&target.id) {
            // The run in progress is at another upstream.
            "successor"
        } else if self.delivered.splitter.last_id().is_some() {
            "retry"
        } else if matches!(self.origin, Origin::Peer(_)) && self.delivered.resume_after.is_some() {
            "peer"
        } else {
            "caller"
        }
    }

    /// Logs that the request is sent to `target` to resume a stream.
    pub(super) fn log_resumption(&self, target: &Target) {
        let Some(after) = self.resumed_after() else {
            return;
        };
        let proven = match &self.stream_version {
            StreamVersion::Proven(proven) => proven.software().name(),
            StreamVersion::Beginning | StreamVersion::Unproven => "",
        };
        log::info!(target: REQUEST_TARGET, request = self.facts.id, way = self.resumption_way(target),
            after_event = after, resumes = self.facts.resumes.as_deref().unwrap_or(""),
            upstream:% = target.id, started_at_ms = target.start.started_at_ms,
            version = target.start.software.as_ref().map_or("", SoftwareVersion::name),
            proven_version = proven;
            "a stream is resumed");
    }

    /// The attempt that began the stream: the one that the caller names, or this one. `None` if the caller
    /// resumes a stream without naming the attempt.
    fn begun_by(&self) -> Option<&str> {
        let begun_by = match (&self.facts.resumes, &self.facts.last_event_id) {
            (Some(resumes), _) => resumes,
            (None, Some(_)) => return None,
            (None, None) => &self.facts.id,
        };
        Some(begun_by).filter(|id| !id.is_empty()).map(|id| &**id)
    }

    /// Identifies the stream by its service and the attempt that began it; `None` if that is not known.
    fn stream_key(&self) -> Option<StreamKey> {
        StreamKey::new(&self.service, self.begun_by()?)
    }

    fn stream_origin(&self) -> StreamOrigin {
        StreamOrigin {
            host: host_of(self.head).unwrap_or_default().into(),
            path: self.head.path().into(),
            attempt: self.begun_by().map(Arc::from),
        }
    }

    /// Directs the request to the service at which its stream began. Returns whether its route still has
    /// that service.
    fn choose_service(&mut self, service: &ServiceName) -> bool {
        if self.service == *service {
            return true;
        }
        let table = self.shared.routes.load();
        let table = table.as_ref().filter(|_| self.route.has_backend(service));
        let Some(table) = table else {
            return false;
        };
        self.is_engine = is_engine(table, service);
        self.service = service.clone();
        true
    }

    /// Proves service and version of a stream that this request has not begun.
    ///
    /// # Errors
    /// The refusal, if there is no proof.
    pub(super) fn prove_version(&mut self) -> Result<(), Denial> {
        if self.stream_version != StreamVersion::Unproven || !self.route.kind.is_stream() {
            return Ok(());
        }
        let until = self.deadline_at.min(clock::now() + MAX_PROOF_TIME);
        let versions = &self.shared.versions;
        let origin = self.stream_origin();
        let proven = versions.prove(&origin, until);
        let outcome = match &proven {
            Ok(proven) => proven.source().name(),
            Err(reason) => reason.name(),
        };
        self.shared.metrics.version_proof(outcome);
        log::info!(target: REQUEST_TARGET, request = self.facts.id,
            resumes = self.facts.resumes.as_deref().unwrap_or(""), outcome = outcome,
            service = proven.as_ref().map_or("", |proven| &**proven.service()),
            version = proven.as_ref().map_or("", |proven| proven.software().name());
            "looked up the version of a stream");
        match proven {
            Ok(proven) if !self.choose_service(proven.service()) => {
                Err(resume_denial(ResumeObstacle::VersionGone))
            }
            Ok(proven) => {
                versions.record_resumption(origin, &proven);
                self.stream_version = StreamVersion::Proven(proven);
                Ok(())
            }
            Err(reason) => Err(resume_denial(reason.obstacle())),
        }
    }

    /// Notes that the request's stream has received its first event from a run at `start`; `None` if it is
    /// not known which start is at the other end of the connection.
    pub(super) fn record_first_event(
        &mut self,
        upstream: &UpstreamId,
        start: Option<&IdentifiedStart>,
    ) {
        if self.stream_version != StreamVersion::Beginning {
            return;
        }
        let Some(start) = start else {
            self.stream_version = StreamVersion::Unproven;
            return;
        };
        let listed = self.shared.upstreams().listed_start(upstream);
        let is_other =
            |software: &SoftwareVersion| start.start().software.as_ref() != Some(software);
        let replaced_by = listed
            .software
            .filter(|software| !start.is_reported() && is_other(software));
        let proven =
            ProvenVersion::observed(&self.service, start).filter(|_| replaced_by.is_none());
        self.stream_version = proven.map_or(StreamVersion::Unproven, StreamVersion::Proven);
        let is_for_peer = matches!(self.origin, Origin::Peer(_));
        self.shared.versions.stream_began(
            self.stream_origin(),
            &self.service,
            upstream,
            start,
            replaced_by,
            is_for_peer,
        );
    }

    /// Notes that another instance has delivered events of the stream: only that instance has seen the
    /// run.
    pub(super) fn record_events_of_peer(&mut self) {
        if self.stream_version == StreamVersion::Beginning {
            self.stream_version = StreamVersion::Unproven;
        }
    }

    /// Notes that the stream was delivered to its end.
    pub(super) fn record_stream_end(&self) {
        if let Some(key) = self.stream_key() {
            self.shared.versions.stream_delivered(key);
        }
    }

    /// The version at which the stream must be resumed; `None` if it has not begun.
    pub(super) fn required_version(&self) -> Option<&SoftwareVersion> {
        match &self.stream_version {
            StreamVersion::Proven(proven) => Some(proven.software()),
            StreamVersion::Beginning | StreamVersion::Unproven => None,
        }
    }

    /// Whether a run of the request at a start of an upstream fits what was delivered.
    pub(super) fn fits_version(&self, start: &ListedStart) -> bool {
        if !self.route.kind.is_stream() {
            return true;
        }
        let software = start.software.as_ref();
        match &self.stream_version {
            StreamVersion::Beginning => self.shared.versions.may_begin(&self.service, software),
            StreamVersion::Unproven => false,
            StreamVersion::Proven(proven) => {
                let key = self.stream_key();
                let is_disputed = key.is_some_and(|key| self.shared.versions.is_disputed(key));
                proven.permits(&self.service, software) && !is_disputed
            }
        }
    }

    /// Upstreams at which streams may not begin, because their versions are not in the stored list yet or
    /// are contradictory.
    pub(super) fn upstreams_of_unlisted_versions(
        &self,
        upstreams: &UpstreamTable,
        now: Instant,
    ) -> Vec<UpstreamId> {
        let versions = &self.shared.versions;
        let is_beginning = self.stream_version == StreamVersion::Beginning;
        let is_complete = versions.is_list_complete() && !upstreams.has_unknown_versions();
        if !self.route.kind.is_stream() || !is_beginning || is_complete {
            return Vec::new();
        }
        // Engines of a new version come without models, so that few of them are eligible otherwise.
        let usable = upstreams.usable_entries(self.wanted(), now);
        let unlisted = usable.filter(|entry| {
            let start = upstreams.listed_start(&entry.id);
            !versions.may_begin(&self.service, start.software.as_ref())
        });
        unlisted.map(|entry| entry.id.clone()).collect()
    }

    /// Whether no upstream with the version of the stream accepts requests any more.
    pub(super) fn is_version_gone(&self, now: Instant) -> bool {
        let Some(software) = self.required_version() else {
            return false;
        };
        let upstreams = self.shared.upstreams();
        let allowed = &self.access.allowed_regions;
        !upstreams.serves_version(&self.service, software, allowed, now)
    }

    /// Whether the connection leads to the upstream's process that was chosen, and not to one that has
    /// replaced it; false also if the process does not answer. One query identifies the process for all
    /// streams over the connection.
    pub(super) fn is_chosen_start(&self, target: &Target, exchange: &mut Exchange) -> bool {
        let identified = exchange.identified_start();
        if identified.is_some_and(|identified| *identified.start() == target.start) {
            return true;
        }
        let is_reporting = self.is_engine && target.start.started_at_ms != 0;
        let identified = if is_reporting {
            let reported_at_ms = self.query_start(target);
            reported_at_ms.and_then(|at_ms| IdentifiedStart::reported(&target.start, at_ms))
        } else {
            Some(IdentifiedStart::by_entry(&target.start))
        };
        let is_chosen = identified.is_some();
        exchange.set_identified_start(identified);
        is_chosen
    }

    /// Asks an engine when its process started, in Unix milliseconds by its own clock; `None` without an
    /// answer.
    fn query_start(&self, target: &Target) -> Option<u64> {
        let engines = self.shared.engines()?;
        let (start, address) = (target.upstream_start(), target.address);
        let report = control::query_report(self.shared, &*engines, &start, address)?;
        Some(report.started_at_ms)
    }
}

/// The refusal of a request whose stream cannot be resumed.
pub(super) fn resume_denial(obstacle: ResumeObstacle) -> Denial {
    Denial {
        refusal: Refusal::CannotResume(obstacle),
        end: obstacle.end(),
    }
}
