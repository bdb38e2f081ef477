//! Requests that wait for one model.

use super::share::ShareClock;
use passway_types::prelude::*;
use std::collections::{BTreeMap, HashMap};

/// A request that waits.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// Its number.
    pub request: RequestId,
    /// The caller's group.
    pub group: GroupName,
    /// The priority that the caller asks for; orders requests within the group.
    pub asked_priority: u32,
    /// The priority that policy gives; orders requests across groups.
    pub priority: u32,
    /// The caller's deadline.
    pub deadline_at: Instant,
    /// When it is refused if it still waits; at most the deadline.
    pub give_up_at: Instant,
    /// Most requests of the group that run at one time.
    pub max_running: Option<u32>,
    /// Whether an earlier attempt may have reached an upstream.
    pub may_have_run: bool,
}

impl Waiting {
    /// The final answer when the request is given up for the reason of `refusal`.
    ///
    /// A reason that says "not run" speaks of the last attempt alone; if an
    /// earlier one may have reached an upstream, the answer must say "unknown".
    pub fn final_answer(&self, refusal: Refusal) -> Refusal {
        if !self.may_have_run || refusal.code.ran() != Ran::NotRun {
            return refusal;
        }
        let detail = format!(
            "an attempt failed; then {}: {}",
            refusal.code, refusal.detail
        );
        Refusal {
            code: ResultCode::UpstreamFailed,
            detail,
            ..refusal
        }
    }
}

/// Order within one group: policy's priority, asked priority, deadline, arrival.
type GroupKey = (u32, u32, Instant, RequestId);

/// Where a request stands; a smaller place goes first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    priority: u32,
    /// Weighted tokens that the group has been served, in thousandths.
    served_milli: u64,
    key: GroupKey,
    group: GroupName,
}

/// The queue of one model.
#[derive(Debug, Default)]
pub struct ModelQueue {
    groups: HashMap<GroupName, BTreeMap<GroupKey, Waiting>>,
    by_request: HashMap<RequestId, (GroupName, GroupKey)>,
}

impl ModelQueue {
    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting) {
        let key = key_of(&waiting);
        self.by_request
            .insert(waiting.request, (waiting.group.clone(), key));
        self.groups
            .entry(waiting.group.clone())
            .or_default()
            .insert(key, waiting);
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    /// The request that goes first: by priority, then the group that was served
    /// least for its share, then the group's own order.
    pub fn first(&self, shares: &ShareClock, may_run: impl Fn(&Waiting) -> bool) -> Option<Place> {
        let heads = self.groups.values().filter_map(|group| group.iter().next());
        let heads = heads.filter(|(_, waiting)| may_run(waiting));
        heads
            .map(|(key, waiting)| Place {
                priority: waiting.priority,
                served_milli: shares.served_milli(&waiting.group),
                key: *key,
                group: waiting.group.clone(),
            })
            .min()
    }

    /// The request with the earliest time to give up.
    pub fn earliest(&self) -> Option<&Waiting> {
        let all = self.groups.values().flat_map(BTreeMap::values);
        all.min_by_key(|waiting| waiting.give_up_at)
    }

    /// The place of a request.
    pub fn find(&self, request: RequestId) -> Option<Place> {
        let (group, key) = self.by_request.get(&request)?;
        Some(Place {
            priority: key.0,
            served_milli: 0,
            key: *key,
            group: group.clone(),
        })
    }

    /// The places of all requests that match.
    pub fn places(&self, matches: impl Fn(&Waiting) -> bool) -> Vec<Place> {
        let all = self.groups.values().flat_map(BTreeMap::values);
        all.filter(|waiting| matches(waiting))
            .filter_map(|w| self.find(w.request))
            .collect()
    }

    /// Takes a request out.
    pub fn remove(&mut self, place: &Place) -> Option<Waiting> {
        let group = self.groups.get_mut(&place.group)?;
        let waiting = group.remove(&place.key)?;
        if group.is_empty() {
            self.groups.remove(&place.group);
        }
        self.by_request.remove(&waiting.request);
        Some(waiting)
    }
}

fn key_of(waiting: &Waiting) -> GroupKey {
    (
        waiting.priority,
        waiting.asked_priority,
        waiting.give_up_at,
        waiting.request,
    )
}
