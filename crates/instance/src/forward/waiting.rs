//! Waiting for an upstream and choosing it.

use super::{Forwarding, NextHop, Target, request_hash};
use crate::dispatch::{EngineQuery, TooLate};
use crate::missing_models::MissingModel;
use crate::relay::millis_since;
use crate::reply::ResumeObstacle;
use crate::shared::{ReportEvent, Shared};
use passway_serving::dispatch::Promise;
use passway_serving::hash::{fnv1a, fnv1a_bytes};
use passway_serving::paths::PathState;
use passway_serving::upstreams::{Choice, ModelRef, Outcome, RequestNeeds};
use passway_serving::versions::SoftwareVersion;
use passway_types::clock;
use passway_types::prelude::*;

/// Longest interval between two checks whether a waiting request's caller is still connected.
const CALLER_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Longest interval between two checks whether a full upstream has free capacity.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Fraction of its time that a request may wait for an upstream before it is refused.
const WAIT_RATIO: f64 = 0.45;
/// The same for a stream that is resumed, whose model only an engine of one version can have.
const RESUMED_WAIT_RATIO: f64 = 0.9;
/// Fraction of its latency goal after which a request of the most urgent kind is due.
const URGENT_GOAL_RATIO: f64 = 0.5;

/// Why there is no upstream for an attempt now.
#[derive(Debug)]
pub(super) struct NoTarget {
    choice: Choice,
    /// The dispatchers' answer, if they say that the request cannot begin in its time.
    too_late: Option<TooLate>,
}

impl Forwarding<'_> {
    /// Until when the request may wait for an upstream if its time ends at `ends_at`.
    pub(super) fn wait_until(&self, ends_at: Instant) -> Instant {
        let total = ends_at.saturating_duration_since(self.arrived_at);
        let patience = Duration::from_millis(self.route.max_silence_ms());
        let ratio = if self.is_resumed_stream() {
            RESUMED_WAIT_RATIO
        } else {
            WAIT_RATIO
        };
        self.arrived_at + total.min(patience).mul_f64(ratio)
    }

    /// Whether the caller resumes a stream whose software version is proven.
    fn is_resumed_stream(&self) -> bool {
        self.facts.last_event_id.is_some() && self.required_version().is_some()
    }

    /// Waits for an upstream that accepts the request, or for another instance if this one is cut
    /// off from the upstreams.
    pub(super) fn wait_for_next_hop(&mut self, may_wait: bool) -> Option<NextHop> {
        let mut reported_wait: Option<ReportedWait> = None;
        loop {
            if self.refused_for().is_some() {
                return None;
            }
            if let Some(peer) = self.next_peer() {
                return Some(NextHop::Peer(peer));
            }
            if !self.tried_peers.is_empty() && self.shared.paths.state() == PathState::CutOff {
                return None;
            }
            let now = clock::now();
            if self.is_version_gone(now) {
                self.resume_obstacle = Some(ResumeObstacle::VersionGone);
                return None;
            }
            if !self.may_run_now() {
                if !self.wait_on_hold(now) {
                    return None;
                }
                continue;
            }
            self.shared.metrics.choice();
            let change_count = self.shared.upstream_change_count();
            let (choice, too_late) = match self.choose(now) {
                Ok(target) => match self.with_limit_grant(target) {
                    Some(target) => return Some(NextHop::Upstream(target)),
                    None if !self.has_used_grant_requests(now) => continue,
                    None => (Choice::Absent, None),
                },
                Err(NoTarget { choice, too_late }) => (choice, too_late),
            };
            let available_at = self.next_available_at(now);
            self.too_late = too_late.filter(|_| available_at.is_none());
            if self.too_late.is_some() {
                return None;
            }
            if choice == Choice::Absent && available_at.is_none() && self.has_only_other_weights() {
                return None;
            }
            if choice == Choice::Absent
                && available_at.is_none()
                && may_wait
                && self.request_log.offers == 0
                // The end of the load is known once a resumed stream waits.
                && (reported_wait.is_none() || !self.is_resumed_stream())
                && let Some(model_ready_ms) = self.late_model_ready_ms(now)
            {
                self.model_ready_ms = Some(model_ready_ms);
                return None;
            }
            // A stop shortens the request's time, and the wait must leave time to run.
            let stop_at = self.shared.waits_end_at().unwrap_or(self.deadline_at);
            let wait_until = self.wait_until(self.deadline_at.min(stop_at));
            let is_absent = choice == Choice::Absent;
            self.upstream_available_ms = available_at
                .filter(|_| is_absent)
                .map(|at| millis_since(now, at));
            if now >= wait_until || !may_wait || self.shared.should_end_waits() {
                self.request_log.cut_by_stop = now < self.wait_until(self.deadline_at);
                return None;
            }
            if is_absent && self.is_wait_hopeless(wait_until, now) {
                self.report_refused_wait(wait_until);
                return None;
            }
            if is_absent
                && reported_wait.is_none()
                && let Some(model_ref) = self.model_ref()
            {
                reported_wait = Some(ReportedWait::new(
                    self.shared,
                    &self.service,
                    model_ref,
                    self.required_version(),
                    wait_until,
                ));
                self.missing_model_ends_at(now);
            }
            // Each iteration waits, so that requests for a service without upstreams do not take
            // the processor from all others.
            let max_step = if is_absent {
                CALLER_POLL_INTERVAL
            } else {
                CAPACITY_POLL_INTERVAL
            };
            let retry_at = available_at.map_or(wait_until, |at| at.min(wait_until));
            let step = max_step.min(retry_at - now);
            if is_absent || !self.shared.dispatch.is_enabled() {
                self.shared.wait_for_upstream_change(change_count, step);
            } else {
                // Only the dispatcher knows when a slot is free; changes in this instance do not
                // show it.
                std::thread::sleep(step);
            }
            if is_absent {
                self.forget_tried();
            }
            if self.caller.is_closed() {
                // The caller has left, and nobody reads a refusal.
                return None;
            }
        }
    }

    /// Whether upstreams have refused the request, each because its weights are not those that the caller
    /// asks for. To wait would have the model loaded elsewhere for this caller.
    pub(super) fn has_only_other_weights(&self) -> bool {
        let is_other = |id: &UpstreamId| self.other_weights.contains(id);
        !self.may_have_run && !self.other_weights.is_empty() && self.tried.iter().all(is_other)
    }

    /// Lets a request that waits for its model try upstreams again, because they may have it again.
    /// An engine that could not be reached is left out for a while: if it alone had the model and has
    /// crashed, the request would use up all of its attempts there within milliseconds.
    fn forget_tried(&mut self) {
        if self.model_ref().is_none() {
            self.tried.clear();
            return;
        }
        let now = clock::now();
        let upstreams = self.shared.upstreams();
        self.tried.retain(|id| upstreams.is_unreachable(id, now));
        drop(upstreams);
        if self.request_log.offers == self.request_log.not_sent {
            self.attempts_since_wait = 0;
        }
    }

    /// Whether the request may be refused as not run.
    fn can_be_refused(&self) -> bool {
        self.runs == 0 && !self.may_have_run && self.attempt_upstream.is_none()
    }

    /// Waits briefly for information on whether the request crashes upstreams; false once the wait
    /// is over.
    fn wait_on_hold(&mut self, now: Instant) -> bool {
        let stop_at = self.shared.waits_end_at().unwrap_or(self.deadline_at);
        let wait_until = self.wait_until(self.deadline_at.min(stop_at));
        let may_wait =
            now < wait_until && !self.shared.should_end_waits() && !self.caller.is_closed();
        if may_wait {
            std::thread::sleep(CAPACITY_POLL_INTERVAL.min(wait_until - now));
        }
        may_wait
    }

    /// Milliseconds until the request's model can be loaded, if that is known to be after the end
    /// of its wait. The holder counts the request as waiting all the same, because other requests
    /// for the model will follow.
    fn late_model_ready_ms(&self, now: Instant) -> Option<u64> {
        let model_ref = self.model_ref()?;
        let load_time = self.load_time()?;
        let wait_until = self.wait_until(self.deadline_at);
        let is_cached_nowhere = self.shared.upstreams().is_cached_nowhere(
            &self.service,
            &model_ref.model,
            &self.access.allowed_regions,
            self.required_version(),
        );
        if !is_cached_nowhere {
            return None;
        }
        let ready_at = if self.is_resumed_stream() {
            self.missing_model_ends_at(now)?
        } else {
            now + load_time
        };
        if ready_at <= wait_until {
            return None;
        }
        self.report_refused_wait(wait_until);
        Some(millis_since(now, ready_at))
    }

    /// When the load ends that requests for the model have caused, if no engine that this request
    /// has not tried has the model cached.
    pub(super) fn missing_model_ends_at(&self, now: Instant) -> Option<Instant> {
        let model = &self.model_ref()?.model;
        let load_time = self.load_time()?;
        let is_cached_nowhere = self.shared.upstreams().is_cached_only_on(
            &self.service,
            model,
            &self.access.allowed_regions,
            self.required_version(),
            &self.tried,
        );
        let missing = self.missing_model()?;
        let missing_models = &self.shared.missing_models;
        is_cached_nowhere.then(|| missing_models.load_ends_at(missing, load_time, now))
    }

    /// The request's model at the engines that may run the request.
    pub(super) fn missing_model(&self) -> Option<MissingModel> {
        Some(MissingModel {
            service: self.service.clone(),
            model: self.model_ref()?.model.clone(),
            required_software: self.required_version().cloned(),
        })
    }

    /// How long the request's model takes to load from the weight store.
    pub(super) fn load_time(&self) -> Option<Duration> {
        let model_ref = self.model_ref()?;
        let table = self.shared.routes.load();
        let pool = table.as_ref()?.services.get(&self.service)?.pool.as_ref()?;
        let load_ms = pool.models.named(&model_ref.model)?.load_ms;
        Some(Duration::from_millis(load_ms))
    }

    /// Reports to the holder that the request is refused instead of waiting for its model.
    fn report_refused_wait(&self, wait_until: Instant) {
        if let Some(model_ref) = self.model_ref() {
            self.shared.report(ReportEvent::RefusedAsTooLate {
                service: self.service.clone(),
                model_ref: model_ref.clone(),
                required_software: self.required_version().cloned(),
                until: wait_until,
            });
        }
    }

    /// What the request needs of an upstream.
    pub(super) fn wanted(&self) -> RequestNeeds<'_> {
        RequestNeeds {
            service: &self.service,
            model_ref: self.model_ref(),
            hall: &self.shared.settings.hall,
            allowed: &self.access.allowed_regions,
            random: request_hash(&self.facts.id),
        }
    }

    /// Chooses the upstream for the next attempt.
    ///
    /// # Errors
    /// Why there is none now.
    fn choose(&self, now: Instant) -> Result<Target, NoTarget> {
        self.choose_except(&self.excluded_upstreams(now), now)
    }

    /// Chooses the upstream for the next attempt among those that are not `excluded`.
    ///
    /// # Errors
    /// Why there is none now.
    pub(super) fn choose_except(
        &self,
        excluded: &[UpstreamId],
        now: Instant,
    ) -> Result<Target, NoTarget> {
        let random = request_hash(&self.facts.id).wrapping_add(self.runs.into());
        let dispatch = &self.shared.dispatch;
        let answer = self.model_ref().and_then(|model_ref| {
            let query = EngineQuery {
                run_id: self.run_id,
                service: &self.service,
                model_ref,
                tried: excluded,
                random,
                due_at: self.due_at(),
                wait_until: self.wait_until(self.deadline_at),
                is_urgent: self.priority() == 0,
                urgency: self.priority(),
                workspace: self.access.workspace.as_deref(),
                size: self.facts.size,
                promise: self.promise(),
                fingerprint: self.can_be_refused().then(|| self.fingerprint()),
                wants_backup: self.wants_backup(),
                allowed_regions: &self.access.allowed_regions,
                software: self.required_version(),
            };
            dispatch.query_engine(self.shared, &query)
        });
        if let Some(answer) = answer {
            let backup = answer.backup.and_then(|id| self.granted_backup(&id));
            return match answer.choice {
                Choice::Send { id, address } => {
                    let start = self.shared.upstreams().listed_start(&id);
                    if !self.fits_version(&start) {
                        // The dispatcher knows another start, or is of a build that ignores versions.
                        if let Some(run_id) = answer.run_id {
                            dispatch.run_ended(self.shared, run_id, Outcome::Unknown);
                        }
                        return Err(NoTarget {
                            choice: Choice::Absent,
                            too_late: None,
                        });
                    }
                    Ok(Target {
                        start,
                        id,
                        address,
                        has_limit_grant: false,
                        run_id: answer.run_id,
                        backup,
                        continues: None,
                    })
                }
                choice => Err(NoTarget {
                    choice,
                    too_late: answer.too_late,
                }),
            };
        }
        let upstreams = self.shared.upstreams();
        let wanted = RequestNeeds {
            random,
            ..self.wanted()
        };
        let required = self.required_version();
        let is_eligible = |id: &UpstreamId| {
            let fits =
                required.is_none() || upstreams.listed_start(id).software.as_ref() == required;
            fits && !excluded.contains(id)
        };
        match upstreams.choose_by(wanted, is_eligible, None, now) {
            Choice::Send { id, address } => Ok(Target {
                run_id: self
                    .model_ref()
                    .and_then(|_| dispatch.record_direct_run(&id)),
                start: upstreams.listed_start(&id),
                backup: self.choose_backup(&upstreams, &id, excluded, now),
                continues: None,
                id,
                address,
                has_limit_grant: false,
            }),
            choice => Err(NoTarget {
                choice,
                too_late: None,
            }),
        }
    }

    /// A fingerprint of the request's content without its id; never 0. The content includes the
    /// workspace and the parts of the prompt, because bodies of different callers may be equal.
    fn fingerprint(&self) -> u64 {
        *self.fingerprint.get_or_init(|| {
            let adapter = self.model_ref().and_then(|known| known.adapter.as_deref());
            let workspace = self.access.workspace.as_ref();
            let fields = [
                self.model_ref().map_or("", |known| &*known.model),
                adapter.unwrap_or_default(),
                &self.head.method,
                &self.head.target,
                workspace.map_or("", |workspace| &*workspace.name),
            ];
            // The length of a field is hashed too, so that fields cannot be shifted.
            let head = fields.iter().fold(self.facts.prompt_hash, |hash, field| {
                let length = u64::try_from(field.len()).unwrap_or(u64::MAX);
                fnv1a(fnv1a_bytes(hash, &length.to_be_bytes()), field)
            });
            fnv1a_bytes(head, self.body).max(1)
        })
    }

    /// What the route promises for the request.
    fn promise(&self) -> Promise {
        let goal = Duration::from_millis(self.route.latency_target_ms);
        let max_gap = Duration::from_millis(self.route.gap_target_ms);
        Promise {
            first_event_by: self.arrived_at + goal,
            max_gap: self
                .route
                .kind
                .is_stream()
                .then_some(max_gap)
                .filter(|gap| !gap.is_zero()),
        }
    }

    /// When the request must begin to run to meet its goal. The most urgent requests are due at
    /// half of their goal, so that they go before others with a similar goal.
    fn due_at(&self) -> Instant {
        let goal = Duration::from_millis(self.route.latency_target_ms);
        let ratio = if self.priority() == 0 {
            URGENT_GOAL_RATIO
        } else {
            1.0
        };
        self.arrived_at + goal.mul_f64(ratio)
    }
}

/// The holder counts a request as waiting until this is dropped.
struct ReportedWait<'a> {
    shared: &'a Shared,
    service: ServiceName,
    model_ref: ModelRef,
    required_software: Option<SoftwareVersion>,
}

impl<'a> ReportedWait<'a> {
    fn new(
        shared: &'a Shared,
        service: &ServiceName,
        model_ref: &ModelRef,
        required_software: Option<&SoftwareVersion>,
        until: Instant,
    ) -> Self {
        shared.report(ReportEvent::WaitStarted {
            service: service.clone(),
            model_ref: model_ref.clone(),
            required_software: required_software.cloned(),
            until,
        });
        Self {
            shared,
            service: service.clone(),
            model_ref: model_ref.clone(),
            required_software: required_software.cloned(),
        }
    }
}

impl Drop for ReportedWait<'_> {
    fn drop(&mut self) {
        self.shared.report(ReportEvent::WaitEnded {
            service: self.service.clone(),
            model_ref: self.model_ref.clone(),
            required_software: self.required_software.clone(),
        });
    }
}
