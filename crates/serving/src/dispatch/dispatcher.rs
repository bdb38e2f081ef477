//! The state of a dispatcher, and its decision on one request.

use super::peer_engines::{PeerEngines, Redirectable};
use super::wait_forecast::{Capacity, WaitForecast};
use super::{
    Backups, CopiedRun, FreeSlot, MissingBackup, QueuePosition, REFRESH_INTERVAL, RunKey, RunTable,
    ShareDecision, ShareInputs, UsableSlots, WaitOutcome, WaitQueue, Waiter, effective_load,
    request_tokens,
};
use crate::forecast::{
    EngineSpeeds, GAP_REPORT_FACTOR, GapHistogram, RequestSize, RunForecast, StreamGoals,
    StreamPrior, StreamProgress, expected_events,
};
use crate::upstreams::{Choice, ModelRef, RequestNeeds, UpstreamTable, lateness_cost};
use passway_types::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Gaps that an engine must have shown lately to judge its speed: their median is usually within one
/// bucket of the true one.
const MIN_SPEED_GAPS: u64 = 20;

/// What a request promises its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Promise {
    /// When the first event must have arrived.
    pub first_event_by: Instant,
    /// The longest pause between two events; `None` if the route promises none.
    pub max_gap: Option<Duration>,
}

/// An instance's request for an engine, as its dispatcher receives it.
#[derive(Debug, Clone)]
pub struct EngineRequest<'a> {
    /// The attempt. A request that arrives twice has the same key.
    pub key: RunKey,
    /// What the request needs of an engine.
    pub needs: RequestNeeds<'a>,
    /// The model, and the adapter if any.
    pub model_ref: &'a ModelRef,
    /// Engines that the request does not go to.
    pub tried: &'a [String],
    /// When the request must begin to run to meet its latency goal.
    pub due_at: Instant,
    /// Until when the request may wait for a slot.
    pub wait_until: Instant,
    /// Whether engines admit the request before all other waiting requests.
    pub is_urgent: bool,
    /// The rank of its route or workspace; 0 is the most urgent.
    pub urgency: u8,
    /// The workspace; `None` if the configuration has none.
    pub workspace: Option<WorkspaceName>,
    /// The rate of the workspace's allotment, in units a second; `None` without one.
    pub workspace_rate_per_s: Option<f64>,
    /// The request's size, as its caller claims.
    pub size: RequestSize,
    /// What the request promises its caller.
    pub promise: Promise,
    /// Identifies the request's content, so that a caller that returns is recognized. It is no
    /// proof of identity. 0 for a request that must not be refused.
    pub fingerprint: u64,
    /// Whether a copy of the run should be kept on another engine.
    pub wants_backup: bool,
    /// How many tokens of one engine's memory this dispatcher may use for copies of runs
    /// ([`super::copy_limit_tokens`]).
    pub copy_limit_tokens: u64,
    /// Whether another dispatcher has sent the request here.
    pub is_redirected: bool,
    /// The only engine that may be granted, if the request was sent here for it.
    pub only_engine: Option<&'a str>,
}

/// The dispatcher's decision on a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent to an engine.
    Grant {
        /// The engine.
        engine: UpstreamId,
        /// The engine that keeps a copy of the run.
        backup: Option<UpstreamId>,
    },
    /// Another dispatcher's engine is better for the request.
    Redirect {
        /// That engine.
        engine: UpstreamId,
    },
    /// All engines that have the model are full; the request may wait.
    Full,
    /// The request cannot begin within its time.
    TooLate {
        /// When the caller may return.
        retry_after: Duration,
    },
    /// None of the dispatcher's engines has the model and adapter.
    Absent,
}

/// The engines as a dispatcher sees them.
#[derive(Clone, Copy)]
pub struct DispatcherEngines<'a> {
    /// All upstreams that the instance knows.
    pub upstreams: &'a UpstreamTable,
    /// Whether this dispatcher dispatches for an engine.
    pub is_own: &'a dyn Fn(&UpstreamId) -> bool,
}

impl std::fmt::Debug for DispatcherEngines<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("DispatcherEngines").finish_non_exhaustive()
    }
}

/// The state of an engine, as its dispatcher reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// The engine.
    pub engine: UpstreamId,
    /// The number of its runs.
    pub load: u32,
    /// The usual time to the first event; `None` if unknown.
    pub first_event: Option<Duration>,
    /// The times between events, weighted by age and multiplied by [`GAP_REPORT_FACTOR`].
    pub gaps: GapHistogram,
    /// Time since a stream was last observed on the engine.
    pub observed_ago: Duration,
}

impl EngineReport {
    /// Whether the report has new observations, and enough of them to judge the engine's speed. A
    /// dispatcher repeats what it knows of an engine that is idle.
    pub fn shows_speed(&self) -> bool {
        let counts = self.gaps.counts().iter().map(|count| u64::from(*count));
        self.observed_ago <= REFRESH_INTERVAL
            && counts.sum::<u64>() >= MIN_SPEED_GAPS * GAP_REPORT_FACTOR
    }
}

/// What a dispatcher reports to the other dispatchers and to the holder.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DispatcherReport {
    /// Its engines.
    pub engines: Vec<EngineReport>,
    /// What workspaces have used lately on its engines, in tokens of prompts and expected outputs.
    pub workspace_use: Vec<(WorkspaceName, f64)>,
}

/// The state of a dispatcher.
#[derive(Debug, Default)]
pub struct Dispatcher {
    runs: RunTable,
    queue: WaitQueue,
    /// What the shares of workspaces meant for the latest request.
    share_inputs: Option<ShareInputs>,
    backups: Backups,
    wait_forecast: WaitForecast,
    speeds: EngineSpeeds,
    peer_engines: PeerEngines,
}

impl Dispatcher {
    /// Decides on a request.
    pub fn decide(
        &mut self,
        request: &EngineRequest<'_>,
        engines: DispatcherEngines<'_>,
        now: Instant,
    ) -> Decision {
        self.wait_forecast.clear_outcome();
        if let Some(engine) = self.runs.engine_of(request.key) {
            let engine = engine.clone();
            return Decision::Grant {
                engine,
                backup: self.backups.engine_of(request.key).cloned(),
            };
        }
        self.record_workspace(request, now);
        let upstreams = engines.upstreams;
        let is_eligible = |id: &UpstreamId| {
            request.only_engine.is_none_or(|only| **id == *only)
                && !request.tried.iter().any(|tried| **tried == **id)
                && (engines.is_own)(id)
        };
        let load_of = |id: &UpstreamId| {
            let slots = upstreams.slots_of(id);
            effective_load(self.runs.load(id), slots, request.is_urgent)
        };
        self.speeds.update_if_due(upstreams, now);
        let prior = self.stream_prior(request, upstreams, now);
        let lateness_cost_of = |id: &UpstreamId| {
            prior.as_ref().map_or(0.0, |prior| {
                lateness_cost(prior.miss_probability(&self.speeds.estimate(id, now)))
            })
        };
        let choice = upstreams.choose_by_cost(
            request.needs,
            is_eligible,
            Some(&load_of),
            &lateness_cost_of,
            now,
        );
        let waiter = waiter_of(request, self.wait_forecast.is_return(request, now));
        match choice {
            Choice::Send { id, .. } => {
                let free_slots = upstreams.slots_of(&id).saturating_sub(load_of(&id));
                let position = self.position(request.key, &waiter, &id, upstreams, now);
                let slots = self.usable_slots(&id, free_slots, &position, upstreams);
                self.share_inputs = self.share_inputs(&waiter, &position, slots, now);
                if position.ahead >= slots.with_shares {
                    return self.wait_or_refuse(request, waiter, engines, now);
                }
                let load = load_of(&id);
                if let Some(engine) =
                    self.redirect(request, prior.as_ref(), engines, (&id, load), now)
                {
                    self.queue.remove(request.key);
                    return Decision::Redirect { engine };
                }
                self.wait_forecast
                    .record_grant(request, &id, waiter.is_return, now);
                self.queue.record_grant(request.key, &waiter, now);
                self.runs.record(request.key, &id, now);
                self.wait_forecast
                    .record_load(&id, self.runs.load(&id), now);
                Decision::Grant {
                    backup: self.choose_backup(request, &id, engines, now),
                    engine: id,
                }
            }
            Choice::Full => self.wait_or_refuse(request, waiter, engines, now),
            Choice::Absent => Decision::Absent,
        }
    }

    /// Decides whether a request that found no slot waits in the queue, or is refused because it
    /// cannot begin in its time.
    fn wait_or_refuse(
        &mut self,
        request: &EngineRequest<'_>,
        waiter: Waiter,
        engines: DispatcherEngines<'_>,
        now: Instant,
    ) -> Decision {
        if request.is_redirected {
            // The query has an id of its own. If it were recorded, the request would wait twice.
            return Decision::Full;
        }
        let usable = engines.upstreams.usable_entries(request.needs, now);
        let is_tried = |id: &UpstreamId| request.tried.iter().any(|tried| **tried == **id);
        let usable = usable.filter(|entry| !is_tried(&entry.id) && (engines.is_own)(&entry.id));
        let mut capacity = Capacity::default();
        for entry in usable {
            let load = self.runs.load(&entry.id);
            let effective_load = effective_load(load, entry.slots, request.is_urgent);
            capacity.free_slots += entry.slots.saturating_sub(effective_load);
            capacity.loads.push((&entry.id, load));
        }
        // Requests for other models on these engines are left out: most of them may use further
        // engines, and a request that might begin in time must not be refused because of them.
        capacity.waiters_ahead = self.queue.expected_ahead(request.key, &waiter, now);
        let refused = self
            .wait_forecast
            .decide(request, waiter.is_return, &capacity, now);
        if let Some(retry_after) = refused {
            self.queue.remove(request.key);
            Decision::TooLate { retry_after }
        } else {
            self.queue.record(request.key, waiter, now);
            Decision::Full
        }
    }

    /// Records which workspace asks.
    fn record_workspace(&mut self, request: &EngineRequest<'_>, now: Instant) {
        self.share_inputs = None;
        let shares = self.queue.shares_mut();
        shares.remove_expired_reports(now);
        if let Some(workspace) = &request.workspace {
            shares.record_request(workspace, request.workspace_rate_per_s);
        }
    }

    /// The position of a request among those that could use a slot of an engine.
    fn position(
        &self,
        key: RunKey,
        waiter: &Waiter,
        engine: &UpstreamId,
        upstreams: &UpstreamTable,
        now: Instant,
    ) -> QueuePosition {
        let models: Vec<ModelName> = upstreams.models_of(engine).cloned().collect();
        let slot = FreeSlot {
            models: &models,
            has: &|model_ref| upstreams.has(engine, model_ref, now),
            admits: &|other| {
                let was_tried = other.tried.iter().any(|tried| **tried == **engine);
                // The engine's hall is not evacuated, since the engine was chosen for a request.
                let is_admitted =
                    !other.allowed.is_restricted() || upstreams.admits(engine, &other.allowed);
                is_admitted && !was_tried
            },
        };
        self.queue.position(key, waiter, slot, now)
    }

    /// The slots of an engine that a request with this position may use. It overfills no engine
    /// while others go first by their shares: only the most urgent requests may overfill an engine,
    /// so the others would never find a slot there.
    fn usable_slots(
        &self,
        engine: &UpstreamId,
        free_slots: u32,
        position: &QueuePosition,
        upstreams: &UpstreamTable,
    ) -> UsableSlots {
        let whole = |slots: u32| usize::try_from(slots).unwrap_or(usize::MAX);
        let unused_slots = upstreams
            .slots_of(engine)
            .saturating_sub(self.runs.load(engine));
        let goes_after_others = position.ahead > position.ahead_without_shares;
        UsableSlots {
            with_shares: whole(if goes_after_others {
                unused_slots
            } else {
                free_slots
            }),
            without_shares: whole(free_slots),
        }
    }

    /// What the shares of workspaces mean for a request with this position; `None` without a
    /// workspace, or if the request waits whatever the shares are.
    fn share_inputs(
        &self,
        waiter: &Waiter,
        position: &QueuePosition,
        slots: UsableSlots,
        now: Instant,
    ) -> Option<ShareInputs> {
        let workspace = waiter.workspace.clone()?;
        let decision = ShareDecision::of(position, slots)?;
        let shares = self.queue.shares();
        let (tokens_used, weight) = shares.use_and_weight(&workspace, now);
        Some(ShareInputs {
            workspace,
            decision,
            position: *position,
            free_slots: slots.with_shares,
            tokens_used,
            weight,
            oldest_report_age: shares.oldest_report_age(now),
        })
    }

    /// What the shares of workspaces meant for the latest request, once.
    pub fn take_share_inputs(&mut self) -> Option<ShareInputs> {
        self.share_inputs.take()
    }

    /// The number of requests of each workspace that wait.
    pub fn waiting_by_workspace(&self) -> BTreeMap<WorkspaceName, usize> {
        self.queue.waiting_by_workspace()
    }

    /// Chooses the engine that keeps a copy of a run, if the request wants one. The load of other
    /// dispatchers' engines is what this instance has sent there itself.
    fn choose_backup(
        &mut self,
        request: &EngineRequest<'_>,
        engine: &UpstreamId,
        engines: DispatcherEngines<'_>,
        now: Instant,
    ) -> Option<UpstreamId> {
        if !request.wants_backup {
            return None;
        }
        let run = CopiedRun {
            key: request.key,
            engine,
            needs: request.needs,
            size: request.size,
            is_excluded: &|id| request.tried.iter().any(|tried| **tried == **id),
            limit_tokens: request.copy_limit_tokens,
        };
        let runs = &self.runs;
        let load_of = |id: &UpstreamId| (engines.is_own)(id).then(|| runs.load(id));
        self.backups.choose(&run, engines.upstreams, &load_of, now)
    }

    /// Why the last request that wanted a backup got none, if that was not asked before.
    pub fn take_missing_backup(&mut self) -> Option<MissingBackup> {
        self.backups.take_missing()
    }

    /// What the latest decision says about the forecast of waits, if anything.
    pub fn take_wait_outcome(&mut self) -> Option<WaitOutcome> {
        self.wait_forecast.take_outcome()
    }

    /// The engine of another dispatcher that is clearly better for a request than the one that
    /// would be granted with this load.
    fn redirect(
        &mut self,
        request: &EngineRequest<'_>,
        prior: Option<&StreamPrior>,
        engines: DispatcherEngines<'_>,
        (engine, load): (&UpstreamId, u32),
        now: Instant,
    ) -> Option<UpstreamId> {
        let prior = prior.filter(|_| !request.is_redirected)?;
        let redirectable = Redirectable {
            needs: request.needs,
            tried: request.tried,
            prior,
            load,
            engine,
            is_urgent: request.is_urgent,
        };
        let DispatcherEngines { upstreams, is_own } = engines;
        self.peer_engines
            .redirect(redirectable, &self.speeds, upstreams, is_own, now)
    }

    /// What a request can expect of an engine, which may be another dispatcher's; `None` if its
    /// route promises no longest pause, or while too little is known.
    pub fn forecast(
        &self,
        engine: &UpstreamId,
        request: &EngineRequest<'_>,
        upstreams: &UpstreamTable,
        now: Instant,
    ) -> Option<RunForecast> {
        let prior = self.stream_prior(request, upstreams, now)?;
        let estimate = self.peer_engines.estimate(engine).copied();
        let estimate = estimate.unwrap_or_else(|| self.speeds.estimate(engine, now));
        Some(prior.forecast(&estimate))
    }

    /// What the forecasts for a request have in common; `None` as for [`Self::forecast`].
    fn stream_prior(
        &self,
        request: &EngineRequest<'_>,
        upstreams: &UpstreamTable,
        now: Instant,
    ) -> Option<StreamPrior> {
        self.speeds.prior(stream_goals(request, upstreams, now)?)
    }

    /// Records a run that an instance reports, and its progress since the previous report.
    pub fn record_run(
        &mut self,
        key: RunKey,
        engine: &UpstreamId,
        progress: &StreamProgress,
        now: Instant,
    ) {
        self.runs.record(key, engine, now);
        self.wait_forecast
            .record_load(engine, self.runs.load(engine), now);
        self.speeds.observe(engine, progress, now);
    }

    /// Records that a run has ended, with its progress since the previous report. Returns its
    /// engine.
    pub fn record_end(
        &mut self,
        key: RunKey,
        progress: &StreamProgress,
        now: Instant,
    ) -> Option<UpstreamId> {
        self.backups.remove(key);
        let engine = self.runs.remove(key)?;
        let load = self.runs.load(&engine).saturating_add(1);
        self.wait_forecast.record_end(&engine, load, now);
        self.speeds.observe(&engine, progress, now);
        Some(engine)
    }

    /// What to report to the other dispatchers and to the holder, if this instance dispatches for
    /// any engine.
    pub fn report(&mut self, engines: DispatcherEngines<'_>, now: Instant) -> DispatcherReport {
        self.speeds.update(engines.upstreams, now);
        let entries = engines.upstreams.entries();
        let own = entries.filter(|entry| (engines.is_own)(&entry.id));
        let reports = own.map(|entry| {
            let (first_event, gaps, observed_ago) = self.speeds.report(&entry.id, now);
            EngineReport {
                engine: entry.id.clone(),
                load: self.runs.load(&entry.id),
                first_event,
                gaps,
                observed_ago,
            }
        });
        DispatcherReport {
            engines: reports.collect(),
            workspace_use: self.queue.shares().own_use(now),
        }
    }

    /// Merges the report of another dispatcher.
    pub fn merge_report(&mut self, from: SocketAddr, report: &DispatcherReport, now: Instant) {
        self.peer_engines.merge(&report.engines, now);
        let shares = self.queue.shares_mut();
        shares.merge_report(from, &report.workspace_use, now);
    }

    /// Removes runs that are no longer reported and requests that do not ask again.
    pub fn remove_expired(&mut self, now: Instant) {
        self.runs.remove_expired(now);
        let runs = &self.runs;
        self.backups.retain(|key| runs.engine_of(key).is_some());
        self.queue.remove_expired(now);
        self.peer_engines.remove_expired(now);
        self.wait_forecast.remove_expired(now);
    }
}

/// The request as it waits in the queue.
fn waiter_of(request: &EngineRequest<'_>, is_return: bool) -> Waiter {
    Waiter {
        model_ref: request.model_ref.clone(),
        due_at: request.due_at,
        wait_until: request.wait_until,
        urgency: request.urgency,
        workspace: request.workspace.clone(),
        tokens: request_tokens(request.size),
        allowed: request.needs.allowed.clone(),
        tried: request.tried.to_vec(),
        is_return,
    }
}

/// What the stream of a request needs to be in time; `None` if its route promises no longest pause.
fn stream_goals(
    request: &EngineRequest<'_>,
    upstreams: &UpstreamTable,
    now: Instant,
) -> Option<StreamGoals> {
    let max_gap = request.promise.max_gap?;
    let tokens_per_event = upstreams.tokens_per_event(request.needs.service);
    Some(StreamGoals {
        first_event_in: request
            .promise
            .first_event_by
            .saturating_duration_since(now),
        max_gap,
        events: expected_events(request.size, tokens_per_event),
    })
}
