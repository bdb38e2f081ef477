//! Waiting for an upstream and choosing it.

use super::{Forwarding, Target, draw};
use crate::dispatch::Question;
use crate::relay::{millis, millis_since};
use crate::shared::{Need, Shared};
use passway_serving::upstreams::{Choice, ModelRef, RequestNeeds};
use passway_types::clock;
use passway_types::prelude::*;

/// Longest time between two looks whether a waiting request's caller is still there.
const WAIT_STEP: Duration = Duration::from_millis(200);
/// Longest time between two looks whether a full upstream has room.
const FULL_STEP: Duration = Duration::from_millis(50);
/// Part of its time that a request may wait for an upstream before it is refused.
const WAIT_PART: f64 = 0.45;
/// Part of its goal after which the most urgent kind of request is due.
const URGENT_PART: f64 = 0.5;

impl Forwarding<'_> {
    /// Until when the request may wait for an upstream if its time ends at a moment.
    pub(super) fn wait_until(&self, ends_at: Instant) -> Instant {
        let whole = ends_at.saturating_duration_since(self.arrived_at);
        let patience = Duration::from_millis(self.route.max_silence_ms());
        self.arrived_at + whole.min(patience).mul_f64(WAIT_PART)
    }

    /// Waits for an upstream that can take the request.
    pub(super) fn find_upstream(&mut self, may_wait: bool) -> Option<Target> {
        let mut told: Option<ToldWait> = None;
        loop {
            if self.refused_for().is_some() {
                return None;
            }
            let now = clock::now();
            if !self.may_run_beside_doubt() {
                if !self.wait_held(now) {
                    return None;
                }
                continue;
            }
            if let Some(next) = self.next.take() {
                return Some(next);
            }
            self.shared.metrics.choice();
            let seen = self.shared.changes_seen();
            let choice = match self.choose(now) {
                Ok(target) => match self.with_turn(target) {
                    Some(target) => return Some(target),
                    None if !self.has_asked_enough(now) => continue,
                    None => Choice::Absent,
                },
                Err(choice) => choice,
            };
            let turn_at = self.turn_at(now);
            if choice == Choice::Absent
                && turn_at.is_none()
                && may_wait
                && self.record.offers == 0
                && let Some(comes_ms) = self.comes_too_late(now)
            {
                self.comes_ms = Some(comes_ms);
                return None;
            }
            // A stop shortens the request's time, and what it waits must leave time to run.
            let stop_at = self.shared.ends_at().unwrap_or(self.deadline_at);
            let wait_until = self.wait_until(self.deadline_at.min(stop_at));
            let is_absent = choice == Choice::Absent;
            self.turn_ms = turn_at
                .filter(|_| is_absent)
                .map(|at| millis_since(now, at));
            if now >= wait_until || !may_wait || self.shared.is_ending() {
                self.record.cut_by_stop = now < self.wait_until(self.deadline_at);
                return None;
            }
            if is_absent && self.comes_in_vain(wait_until, now) {
                self.tell_missed(wait_until);
                return None;
            }
            if is_absent
                && told.is_none()
                && let Some(wish) = self.wish()
            {
                told = Some(ToldWait::begin(
                    self.shared,
                    &self.service,
                    wish,
                    wait_until,
                ));
            }
            // Each turn of this loop waits: requests for a service that has no upstream left
            // must not take the processor from all others.
            let longest = if is_absent { WAIT_STEP } else { FULL_STEP };
            let look_at = turn_at.map_or(wait_until, |at| at.min(wait_until));
            let step = longest.min(look_at - now);
            if is_absent || !self.shared.dispatch.is_used() {
                self.shared.wait_for_upstreams(seen, step);
            } else {
                // A slot is free when the dispatcher says so, whatever changes here.
                std::thread::sleep(step);
            }
            if is_absent {
                // Those that were tried may have what is needed again.
                self.tried.clear();
            }
            if self.caller.is_closed() {
                // The caller has left: nobody reads what giving up writes.
                return None;
            }
        }
    }

    /// Waits a little for what tells whether the request crashes upstreams; false once it has waited for
    /// as long as it may.
    fn wait_held(&mut self, now: Instant) -> bool {
        let stop_at = self.shared.ends_at().unwrap_or(self.deadline_at);
        let wait_until = self.wait_until(self.deadline_at.min(stop_at));
        let may_wait = now < wait_until && !self.shared.is_ending() && !self.caller.is_closed();
        if may_wait {
            std::thread::sleep(FULL_STEP.min(wait_until - now));
        }
        may_wait
    }

    /// When its model can be there at the earliest, in milliseconds, if that is known to be later than
    /// the request may wait. The holder counts it as waiting as if it did, since others will ask.
    fn comes_too_late(&self, now: Instant) -> Option<u64> {
        let model_ref = self.wish()?;
        let load_time = self.load_time()?;
        let wait_until = self.wait_until(self.deadline_at);
        let comes_at = now + load_time;
        let upstreams = self.shared.upstreams();
        if comes_at <= wait_until
            || !upstreams.is_cached_nowhere(&self.service, &model_ref.model, &self.access.allowed)
        {
            return None;
        }
        drop(upstreams);
        self.tell_missed(wait_until);
        Some(millis(load_time))
    }

    /// How long the request's model takes from the weight store.
    pub(super) fn load_time(&self) -> Option<Duration> {
        let model_ref = self.wish()?;
        let table = self.shared.routes.load();
        let pool = table.as_ref()?.services.get(&self.service)?.pool.as_ref()?;
        let load_ms = pool.models.named(&model_ref.model)?.load_ms;
        Some(Duration::from_millis(load_ms))
    }

    /// Tells the holder that the request is refused, which would have waited for its model.
    fn tell_missed(&self, wait_until: Instant) {
        if let Some(model_ref) = self.wish() {
            self.shared.tell(Need::Missed {
                service: self.service.clone(),
                wish: model_ref.clone(),
                until: wait_until,
            });
        }
    }

    /// What the request needs of an upstream.
    pub(super) fn wanted(&self) -> RequestNeeds<'_> {
        RequestNeeds {
            service: &self.service,
            model_ref: self.wish(),
            hall: &self.shared.settings.hall,
            allowed: &self.access.allowed,
            random: draw(&self.facts.id),
        }
    }

    /// The upstream for the next attempt, or why there is none now.
    pub(super) fn choose(&self, now: Instant) -> Result<Target, Choice> {
        let drawn = draw(&self.facts.id).wrapping_add(self.runs.into());
        let closed = self.closed_to_it(now);
        let dispatch = &self.shared.dispatch;
        let told = self.wish().and_then(|model_ref| {
            let question = Question {
                id: self.question,
                service: &self.service,
                model_ref,
                tried: &closed,
                drawn,
                due_at: self.due_at(),
                is_urgent: self.priority() == 0,
                allowed: &self.access.allowed,
            };
            dispatch.ask(self.shared, &question)
        });
        if let Some(told) = told {
            return match told.choice {
                Choice::Send { id, address } => Ok(Target {
                    started_at_ms: self.shared.upstreams().started_at_ms(&id),
                    id,
                    address,
                    has_turn: false,
                    run: told.run,
                }),
                none => Err(none),
            };
        }
        let upstreams = self.shared.upstreams();
        let wanted = RequestNeeds {
            random: drawn,
            ..self.wanted()
        };
        let is_open = |id: &UpstreamId| !closed.contains(id);
        match upstreams.choose_by(wanted, is_open, None, now) {
            Choice::Send { id, address } => Ok(Target {
                run: self.wish().and_then(|_| dispatch.unasked(&id)),
                started_at_ms: upstreams.started_at_ms(&id),
                id,
                address,
                has_turn: false,
            }),
            none => Err(none),
        }
    }

    /// When the request must begin to be in time. What is most urgent is due when half of its
    /// goal is over, so that it goes before what has a like goal.
    fn due_at(&self) -> Instant {
        let goal = Duration::from_millis(self.route.latency_target_ms);
        let part = if self.priority() == 0 {
            URGENT_PART
        } else {
            1.0
        };
        self.arrived_at + goal.mul_f64(part)
    }
}

/// The holder of the right to order counts a request as waiting while this lives.
struct ToldWait<'a> {
    shared: &'a Shared,
    service: ServiceName,
    wish: ModelRef,
}

impl<'a> ToldWait<'a> {
    fn begin(shared: &'a Shared, service: &ServiceName, wish: &ModelRef, until: Instant) -> Self {
        shared.tell(Need::Waits {
            service: service.clone(),
            wish: wish.clone(),
            until,
        });
        Self {
            shared,
            service: service.clone(),
            wish: wish.clone(),
        }
    }
}

impl Drop for ToldWait<'_> {
    fn drop(&mut self) {
        self.shared.tell(Need::WaitEnds {
            service: self.service.clone(),
            wish: self.wish.clone(),
        });
    }
}
