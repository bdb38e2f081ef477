//! The dispatcher's side: answers to queries of other instances.

use super::{Dispatch, lock, messages, wait_outcomes};
use crate::relay::millis;
use crate::shared::Shared;
use passway_serving::dispatch::{
    Decision, Dispatcher, DispatcherEngines, EngineRequest, Promise, RunKey,
};
use passway_serving::forecast::RequestSize;
use passway_serving::halls::AllowedRegions;
use passway_serving::upstreams::{ModelRef, RequestNeeds, UpstreamTable};
use passway_serving::versions::SoftwareVersion;
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::dispatch::{DispatchReply, DispatchRequest, RunEnded, Verdict};
use std::net::SocketAddr;

/// The model, and the adapter if any, that a query names.
fn model_ref_of(request: &DispatchRequest) -> ModelRef {
    let adapter = Some(request.adapter.as_str()).filter(|name| !name.is_empty());
    ModelRef {
        model: request.model.as_str().into(),
        adapter: adapter.map(Into::into),
    }
}

fn allowed_regions_of(request: &DispatchRequest) -> AllowedRegions {
    if request.is_restricted {
        AllowedRegions::only(request.regions.iter().map(|region| region.as_str().into()))
    } else {
        AllowedRegions::ANY
    }
}

fn size_of(request: &DispatchRequest) -> RequestSize {
    let size = RequestSize {
        prompt_tokens: request.prompt_tokens,
        max_output_tokens: request.max_output_tokens,
        output_hint: request.output_hint,
    };
    size.bounded()
}

fn encode_decision(id: u64, decision: &Decision) -> DispatchReply {
    let mut reply = DispatchReply {
        id,
        ..DispatchReply::default()
    };
    let verdict = match decision {
        Decision::Grant { engine, backup } => {
            reply.engine = engine.to_string();
            reply.backup_engine = backup.as_ref().map(ToString::to_string).unwrap_or_default();
            Verdict::Go
        }
        Decision::Redirect { engine } => {
            reply.engine = engine.to_string();
            Verdict::Elsewhere
        }
        Decision::Full => Verdict::Full,
        Decision::TooLate { retry_after } => {
            reply.retry_after_ms = millis(*retry_after);
            Verdict::TooLate
        }
        Decision::Absent => Verdict::Absent,
    };
    reply.verdict = verdict.into();
    reply
}

/// Logs what the request can expect of the engine that was chosen for it.
fn log_forecast(
    dispatcher: &Dispatcher,
    request: &EngineRequest<'_>,
    upstreams: &UpstreamTable,
    decision: &Decision,
    now: Instant,
) {
    let (Decision::Grant { engine, .. } | Decision::Redirect { engine }) = decision else {
        return;
    };
    if let Some(forecast) = dispatcher.forecast(engine, request, upstreams, now) {
        log::debug!(run_id = request.key.id, instance:% = request.key.instance, engine:% = engine,
            is_redirect = matches!(decision, Decision::Redirect { .. }),
            first_event_ms = millis(forecast.first_event),
            first_event_miss = forecast.first_event_miss_probability,
            gap_miss = forecast.gap_miss_probability, duration_ms = millis(forecast.duration),
            confidence = forecast.confidence, age_ms:? = forecast.age.map(millis);
            "chose an engine by its forecast");
    }
}

/// The engines that a request does not go to: those that the query names, and those of other software
/// versions than the one that it requires.
fn excluded_engines(upstreams: &UpstreamTable, query: &DispatchRequest) -> Vec<String> {
    let mut excluded = query.tried_engines.clone();
    if let Some(required) = query.software.as_deref() {
        let others = upstreams.entries().filter(|entry| {
            let start = upstreams.listed_start(&entry.id);
            let software = start.software.as_ref().map(SoftwareVersion::name);
            *entry.service == *query.service && software != Some(required)
        });
        excluded.extend(others.map(|entry| entry.id.to_string()));
    }
    excluded
}

impl Dispatch {
    /// Answers a query as the dispatcher.
    pub(super) fn answer_query(
        &self,
        shared: &Shared,
        from: SocketAddr,
        query: &DispatchRequest,
    ) -> DispatchReply {
        let now = clock::now();
        let tried = excluded_engines(&shared.upstreams(), query);
        let model_ref = model_ref_of(query);
        let allowed = allowed_regions_of(query);
        let (service, hall) = (query.service.as_str().into(), query.hall.as_str().into());
        let request = EngineRequest {
            key: RunKey {
                instance: from,
                id: query.id,
            },
            needs: RequestNeeds {
                service: &service,
                model_ref: Some(&model_ref),
                hall: &hall,
                allowed: &allowed,
                random: query.random,
            },
            model_ref: &model_ref,
            tried: &tried,
            due_at: messages::instant_from_due_ms(query.due_in_ms, now),
            wait_until: messages::instant_after_ms(query.wait_limit_ms, now),
            is_urgent: query.is_urgent,
            urgency: u8::try_from(query.urgency).unwrap_or(u8::MAX),
            workspace: Some(query.workspace.as_str())
                .filter(|name| !name.is_empty())
                .map(Into::into),
            workspace_rate_per_s: Some(query.workspace_rate_per_s)
                .filter(|rate| rate.is_finite() && *rate > 0.0),
            size: size_of(query),
            promise: Promise {
                first_event_by: messages::instant_from_due_ms(query.first_event_in_ms, now),
                max_gap: Some(Duration::from_millis(query.max_gap_ms)).filter(|gap| !gap.is_zero()),
            },
            fingerprint: query.fingerprint,
            wants_backup: query.wants_backup,
            copy_limit_tokens: self.copy_limit_tokens(shared, &service),
            is_redirected: query.is_redirected,
            only_engine: Some(query.only_engine.as_str()).filter(|name| !name.is_empty()),
        };
        // Lock order: the upstreams, the dispatchers, then the dispatcher's own state.
        let upstreams = shared.upstreams();
        let dispatchers = lock(&self.dispatchers);
        let is_own = |id: &UpstreamId| dispatchers.of_engine(id, now) == Some(self.own_address);
        let engines = DispatcherEngines {
            upstreams: &upstreams,
            is_own: &is_own,
        };
        let mut dispatcher = lock(&self.dispatcher);
        let decision = dispatcher.decide(&request, engines, now);
        if log::log_enabled!(log::Level::Debug) {
            log_forecast(&dispatcher, &request, &upstreams, &decision, now);
        }
        let share_inputs = dispatcher.take_share_inputs();
        let missing_backup = dispatcher.take_missing_backup();
        let outcome = dispatcher.take_wait_outcome();
        drop(dispatcher);
        drop(dispatchers);
        drop(upstreams);
        if let Some(inputs) = share_inputs {
            self.share_log.record(shared, &inputs, now);
        }
        if let Some(missing) = missing_backup {
            shared.metrics.missing_backup(missing);
        }
        if let Some(outcome) = outcome {
            wait_outcomes::record(shared, &request, &outcome);
        }
        encode_decision(query.id, &decision)
    }

    /// Records, as the dispatcher, that a run has ended.
    pub(super) fn record_run_end(&self, shared: &Shared, from: SocketAddr, ended: &RunEnded) {
        let key = RunKey {
            instance: from,
            id: ended.id,
        };
        let progress = messages::decode_progress(ended.progress.as_ref());
        let engine = lock(&self.dispatcher).record_end(key, &progress, clock::now());
        let outcome = messages::decode_outcome(ended.outcome());
        if let (Some(engine), Some(outcome)) = (engine, outcome) {
            shared
                .upstreams()
                .record_peer_outcome(&engine, outcome, clock::now());
        }
    }
}
