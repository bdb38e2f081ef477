//! Encoding and decoding of the messages to and from dispatchers.

use super::EngineQuery;
use crate::relay::millis;
use passway_serving::forecast::{GapHistogram, StreamProgress};
use passway_serving::upstreams::Outcome;
use passway_types::prelude::*;
use passway_wire::dispatch::{DispatchRequest, RunOutcome, RunProgress};

/// Largest distance between a due time and now that is accepted from another instance: far longer
/// than any request's time limit.
const MAX_DUE_MS: u64 = 600_000;

/// Time until `due_at` in milliseconds; negative if it has passed.
pub(super) fn due_in_ms(due_at: Instant, now: Instant) -> i64 {
    let whole_ms = |duration: Duration| i64::try_from(duration.as_millis()).unwrap_or(i64::MAX);
    whole_ms(due_at.saturating_duration_since(now))
        - whole_ms(now.saturating_duration_since(due_at))
}

/// The instant that is `due_in_ms` milliseconds away.
pub(super) fn instant_from_due_ms(due_in_ms: i64, now: Instant) -> Instant {
    let distance = Duration::from_millis(due_in_ms.unsigned_abs().min(MAX_DUE_MS));
    let instant = if due_in_ms < 0 {
        now.checked_sub(distance)
    } else {
        now.checked_add(distance)
    };
    instant.unwrap_or(now)
}

/// The instant that is this many milliseconds away.
pub(super) fn instant_after_ms(ms: u64, now: Instant) -> Instant {
    now + Duration::from_millis(ms.min(MAX_DUE_MS))
}

/// Encodes a query; the id is set for each dispatcher.
pub(super) fn encode_query(
    query: &EngineQuery<'_>,
    hall: &DataHall,
    now: Instant,
) -> DispatchRequest {
    let model_ref = query.model_ref;
    let allotment = query.workspace.and_then(|workspace| workspace.allotment);
    let regions = query.allowed_regions.regions();
    DispatchRequest {
        id: query.run_id,
        service: query.service.to_string(),
        model: model_ref.model.to_string(),
        adapter: model_ref.adapter.as_deref().unwrap_or_default().to_owned(),
        hall: hall.to_string(),
        random: query.random,
        due_in_ms: due_in_ms(query.due_at, now),
        is_urgent: query.is_urgent,
        tried_engines: query.tried.iter().map(ToString::to_string).collect(),
        regions: regions.map(ToString::to_string).collect(),
        is_restricted: query.allowed_regions.is_restricted(),
        workspace: query
            .workspace
            .map(|workspace| workspace.name.to_string())
            .unwrap_or_default(),
        workspace_rate_per_s: allotment.map_or(0.0, |allotment| allotment.rate_per_s),
        urgency: query.urgency.into(),
        prompt_tokens: query.size.prompt_tokens,
        max_output_tokens: query.size.max_output_tokens,
        output_hint: query.size.output_hint,
        first_event_in_ms: due_in_ms(query.promise.first_event_by, now),
        max_gap_ms: query.promise.max_gap.map_or(0, millis),
        wait_limit_ms: millis(query.wait_until.saturating_duration_since(now)),
        fingerprint: query.fingerprint.unwrap_or(0),
        wants_backup: query.wants_backup,
        is_redirected: false,
        only_engine: String::new(),
        software: query.software.map(|software| software.name().to_owned()),
    }
}

/// Encodes what was observed of a run; `None` if nothing was.
pub(super) fn encode_progress(progress: &StreamProgress) -> Option<RunProgress> {
    if *progress == StreamProgress::default() {
        return None;
    }
    let whole_ms = |duration: Duration| u32::try_from(duration.as_millis()).unwrap_or(u32::MAX);
    Some(RunProgress {
        first_event_ms: progress.first_event.map(whole_ms),
        events: progress.events,
        gap_counts: progress.gaps.counts().to_vec(),
        longest_gap_ms: whole_ms(progress.longest_gap),
    })
}

/// Decodes what another instance has observed of a run.
pub(super) fn decode_progress(progress: Option<&RunProgress>) -> StreamProgress {
    let Some(progress) = progress else {
        return StreamProgress::default();
    };
    let from_ms = |ms: u32| Duration::from_millis(ms.into());
    StreamProgress {
        first_event: progress.first_event_ms.map(from_ms),
        events: progress.events,
        gaps: GapHistogram::from_counts(&progress.gap_counts),
        longest_gap: from_ms(progress.longest_gap_ms),
    }
}

/// Encodes how an attempt ended.
pub(super) fn encode_outcome(outcome: Outcome) -> RunOutcome {
    match outcome {
        Outcome::Answered => RunOutcome::Answered,
        Outcome::Failed => RunOutcome::Failed,
        Outcome::Shed => RunOutcome::Shed,
        Outcome::Unreachable => RunOutcome::Unreachable,
        Outcome::Unknown => RunOutcome::Unknown,
    }
}

/// Decodes how an attempt ended; `None` if that says nothing about the engine.
pub(super) fn decode_outcome(outcome: RunOutcome) -> Option<Outcome> {
    match outcome {
        RunOutcome::Answered => Some(Outcome::Answered),
        RunOutcome::Failed => Some(Outcome::Failed),
        RunOutcome::Shed => Some(Outcome::Shed),
        RunOutcome::Unreachable => Some(Outcome::Unreachable),
        RunOutcome::Unknown => None,
    }
}
