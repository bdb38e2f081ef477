//! The state of the leadership in the store, and the outcome of calls to it.

use super::{FAULTS_MS, MAX_NOTICE_MS, Mix, SETTINGS, Update, World, holder_of};
use passway_serving::leadership::{ListedLeadership, RecentHolders};
use passway_serving::ports::{
    LeaseId, RenewalAnswer, StoreEra, StoreError, StoreRevision, WriteAnswer,
};
use passway_types::prelude::*;
use rand::RngExt;
use std::collections::BTreeMap;

/// Timeout of a call without an answer.
const CALL_TIMEOUT_MS: u64 = 900;
const RENEW_TIMEOUT_MS: u64 = 450;

/// A copy of the store, from which it may return.
#[derive(Debug, Clone)]
pub(super) struct StoreCopy {
    revision: u64,
    holder: Option<(InstanceId, StoreRevision, LeaseId)>,
    recent: RecentHolders,
    granted: u64,
    /// The leases that exist.
    leases: Vec<u64>,
}

/// The state of the leadership in the store.
#[derive(Debug, Default)]
pub(super) struct Store {
    pub(super) era: StoreEra,
    /// When the store last returned from an older copy.
    pub(super) returned_at: Option<u64>,
    pub(super) revision: u64,
    pub(super) holder: Option<(InstanceId, StoreRevision, LeaseId)>,
    pub(super) recent: RecentHolders,
    /// The number of leases granted so far; ids are given out again only after a return.
    granted: u64,
    /// When leases expire, by their numbers.
    leases: BTreeMap<u64, u64>,
    pub(super) unavailable_until: u64,
}

/// A call to the store.
#[derive(Debug, Clone)]
pub(super) enum Request {
    Grant,
    Take(LeaseId, RecentHolders),
    Renew(LeaseId),
    List(RecentHolders),
    End(LeaseId),
}

/// The answer to a call, named after the call.
#[derive(Debug, Clone)]
pub(super) enum Answer {
    Granted(Result<LeaseId, StoreError>),
    Taken(Result<WriteAnswer, StoreError>),
    Renewed(Result<RenewalAnswer, StoreError>),
    Listed(Result<WriteAnswer, StoreError>, RecentHolders),
    Ended,
}

impl Store {
    /// What a listing shows.
    pub(super) fn listing(&self) -> ListedLeadership {
        let holder = self.holder.as_ref();
        ListedLeadership {
            era: self.era,
            holder: holder.map(|(name, revision, _)| holder_of(name, revision.fence())),
            key: holder.map(|(_, revision, lease)| (*revision, *lease)),
            recent: self.recent.clone(),
        }
    }

    pub(super) fn copy(&self) -> StoreCopy {
        StoreCopy {
            revision: self.revision,
            holder: self.holder.clone(),
            recent: self.recent.clone(),
            granted: self.granted,
            leases: self.leases.keys().copied().collect(),
        }
    }
}

impl Answer {
    /// The answer that the client of an instance gives which has called in an earlier era.
    fn of_later_era(self) -> Self {
        match self {
            Self::Taken(Ok(WriteAnswer::Written(_))) => Self::Taken(Err(StoreError::Unknown)),
            Self::Listed(Ok(WriteAnswer::Written(_)), recent) => {
                Self::Listed(Err(StoreError::Unknown), recent)
            }
            Self::Renewed(Ok(_)) => Self::Renewed(Ok(RenewalAnswer::OtherEra)),
            other => other,
        }
    }
}

impl Request {
    /// The answer that an instance's client gives without a call, because the request names a
    /// revision or a lease of another era than the known one.
    fn refused_in(&self, era: StoreEra) -> Option<Answer> {
        let is_other =
            |recent: &RecentHolders| !recent.revision.is_none() && recent.revision.era() != era;
        match self {
            Self::Take(lease, recent) if lease.era != era || is_other(recent) => {
                Some(Answer::Taken(Ok(WriteAnswer::Conflict)))
            }
            Self::List(recent) if is_other(recent) => {
                Some(Answer::Listed(Ok(WriteAnswer::Conflict), recent.clone()))
            }
            Self::Renew(lease) if lease.era != era => {
                Some(Answer::Renewed(Ok(RenewalAnswer::OtherEra)))
            }
            Self::End(lease) if lease.era != era => Some(Answer::Ended),
            _ => None,
        }
    }

    fn failed(&self, error: StoreError) -> Answer {
        match self {
            Self::Grant => Answer::Granted(Err(error)),
            Self::Take(..) => Answer::Taken(Err(error)),
            Self::Renew(_) => Answer::Renewed(Err(error)),
            Self::List(recent) => Answer::Listed(Err(error), recent.clone()),
            Self::End(_) => Answer::Ended,
        }
    }

    fn timeout_ms(&self) -> u64 {
        match self {
            Self::Renew(_) => RENEW_TIMEOUT_MS,
            _ => CALL_TIMEOUT_MS,
        }
    }
}

/// A call on its way to the store.
pub(super) struct Arriving {
    at_ms: u64,
    from: usize,
    restarts: u32,
    request: Request,
    /// The era that the instance knew.
    known_era: StoreEra,
    /// The delay of the answer; `None` if it is lost.
    answer_ms: Option<u64>,
}

/// The outcome of a call.
enum CallFate {
    /// The store refuses the call.
    Refused { after_ms: u64 },
    /// The call does not arrive.
    Lost,
    /// The call arrives; its answer takes a while, or is lost if that is `None`.
    Arrives {
        after_ms: u64,
        answer_ms: Option<u64>,
    },
}

/// Stands for a random number that causes no fault.
const NO_FAULT: i32 = 99;

impl World {
    fn set_holder(&mut self, holder: Option<(InstanceId, StoreRevision, LeaseId)>) {
        let holder_update = holder
            .as_ref()
            .map(|(name, revision, _)| holder_of(name, revision.fence()));
        self.store.holder = holder;
        self.publish(&Update::Holder(holder_update));
    }

    /// Expires leases; a key is removed with its lease.
    pub(super) fn expire(&mut self) {
        let now_ms = self.now_ms;
        self.store
            .leases
            .retain(|_, expires_at| now_ms < *expires_at);
        let holder = self.store.holder.as_ref();
        if holder.is_some_and(|(_, _, lease)| !self.store.leases.contains_key(&lease.number)) {
            self.store.revision += 1;
            self.set_holder(None);
        }
    }

    /// Executes a call in the store.
    fn carry_out(&mut self, from: &InstanceId, request: &Request) -> Answer {
        let lease_ms = u64::try_from(SETTINGS.min_lease_ttl.as_millis()).expect("a short lease");
        let expires_at = self.now_ms + lease_ms;
        match request {
            Request::Grant => {
                self.store.granted += 1;
                let lease = LeaseId {
                    era: self.store.era,
                    number: self.store.granted,
                };
                self.store.leases.insert(lease.number, expires_at);
                Answer::Granted(Ok(lease))
            }
            Request::Take(lease, recent) => Answer::Taken(Ok(self.take(from, *lease, recent))),
            Request::Renew(lease) => match self.store.leases.get_mut(&lease.number) {
                Some(lease_expiry) => {
                    *lease_expiry = expires_at;
                    Answer::Renewed(Ok(RenewalAnswer::Renewed))
                }
                None => Answer::Renewed(Ok(RenewalAnswer::Ended)),
            },
            Request::List(recent) => Answer::Listed(Ok(self.list(recent)), recent.clone()),
            Request::End(lease) => {
                self.store.leases.remove(&lease.number);
                self.expire();
                Answer::Ended
            }
        }
    }

    /// Writes the holder's key and the list of holders, if neither has changed since it was read.
    fn take(&mut self, from: &InstanceId, lease: LeaseId, recent: &RecentHolders) -> WriteAnswer {
        let has_conflict = self.store.holder.is_some() || !self.has_revision_of(recent);
        if has_conflict {
            return WriteAnswer::Conflict;
        }
        if !self.store.leases.contains_key(&lease.number) {
            return WriteAnswer::LeaseEnded;
        }
        let lease = LeaseId {
            era: self.store.era,
            ..lease
        };
        let revision = self.write_recent(recent);
        self.set_holder(Some((from.clone(), revision, lease)));
        self.publish(&Update::Recent(self.store.recent.clone()));
        WriteAnswer::Written(revision)
    }

    /// Whether the list has the revision that a request names. The store compares numbers only.
    fn has_revision_of(&self, recent: &RecentHolders) -> bool {
        self.store.recent.revision.number() == recent.revision.number()
    }

    /// Returns the store from a copy, as a new era, after it was away for a while. Leases of the
    /// copy run anew. Each instance lists the store some time later; until then it may have calls on
    /// their way.
    pub(super) fn return_store(&mut self, copy: &StoreCopy, away_ms: u64) {
        let returned_at = self.now_ms + away_ms;
        let lease_ms = u64::try_from(SETTINGS.min_lease_ttl.as_millis()).expect("a short lease");
        let era = self.store.era + 1;
        let in_era = |revision: StoreRevision| StoreRevision::new(era, revision.number());
        let holder = copy
            .holder
            .clone()
            .map(|(name, revision, lease)| (name, in_era(revision), LeaseId { era, ..lease }));
        let leases = copy.leases.iter().map(|id| (*id, returned_at + lease_ms));
        self.store = Store {
            era,
            returned_at: Some(returned_at),
            revision: copy.revision,
            holder,
            recent: RecentHolders {
                revision: in_era(copy.recent.revision),
                ..copy.recent.clone()
            },
            granted: copy.granted,
            leases: leases.collect(),
            unavailable_until: returned_at,
        };
        for instance in &mut self.instances {
            let at = returned_at + self.rng.random_range(2..MAX_NOTICE_MS);
            instance.updates.clear();
            instance.updates.push_back((at, Update::Relist));
        }
    }

    fn write_recent(&mut self, recent: &RecentHolders) -> StoreRevision {
        self.store.revision += 1;
        self.store.recent = RecentHolders {
            revision: StoreRevision::new(self.store.era, self.store.revision),
            ..recent.clone()
        };
        self.store.recent.revision
    }

    /// Writes the list of holders with its candidates, if it has not changed since it was read.
    fn list(&mut self, recent: &RecentHolders) -> WriteAnswer {
        if !self.has_revision_of(recent) {
            return WriteAnswer::Conflict;
        }
        let revision = self.write_recent(recent);
        self.publish(&Update::Recent(self.store.recent.clone()));
        WriteAnswer::Written(revision)
    }

    /// Executes the calls that arrive at the store now.
    pub(super) fn serve_calls(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<Arriving> = self
            .arriving
            .extract_if(.., |call| call.at_ms <= now_ms)
            .collect();
        for call in due {
            if now_ms < self.store.unavailable_until {
                continue;
            }
            let name = self.instances[call.from].name.clone();
            let answer = self.carry_out(&name, &call.request);
            let is_of_later_era = self.store.era != call.known_era;
            let answer = if is_of_later_era {
                answer.of_later_era()
            } else {
                answer
            };
            let era = self.store.era;
            let instance = &mut self.instances[call.from];
            if let Some(answer_ms) = call.answer_ms
                && instance.restarts == call.restarts
                && now_ms >= instance.disconnected_until
                && let Some((at, pending)) = &mut instance.answer
                && now_ms + answer_ms < *at
            {
                (*at, *pending) = (now_ms + answer_ms, answer);
                instance.known_era = era;
            }
        }
    }

    /// Sends a call with a random outcome.
    pub(super) fn call(&mut self, from: usize, request: Request) {
        let now_ms = self.now_ms;
        let known_era = self.instances[from].known_era;
        if let Some(answer) = request.refused_in(known_era) {
            self.instances[from].answer = Some((now_ms + 1, answer));
            return;
        }
        let fate = self.draw_call_fate(from);
        let mut answered = (
            now_ms + request.timeout_ms(),
            request.failed(StoreError::Unknown),
        );
        if let CallFate::Refused { after_ms } = fate {
            answered = (now_ms + after_ms, request.failed(StoreError::NotDone));
        }
        self.instances[from].answer = Some(answered);
        if let CallFate::Arrives {
            after_ms,
            answer_ms,
        } = fate
        {
            self.arriving.push(Arriving {
                at_ms: now_ms + after_ms,
                from,
                restarts: self.instances[from].restarts,
                request,
                known_era,
                answer_ms,
            });
        }
    }

    /// Draws the outcome of a call; calls of a disconnected instance are lost.
    fn draw_call_fate(&mut self, from: usize) -> CallFate {
        let succeeds = match self.mix {
            Mix::Usual | Mix::StoreReturns => false,
            Mix::StoreOutages | Mix::SlowAnnouncements => self.rng.random_bool(0.8),
            Mix::None => true,
        };
        let random = if succeeds || self.now_ms >= FAULTS_MS {
            NO_FAULT
        } else {
            self.rng.random_range(0..100)
        };
        let short_ms = self.rng.random_range(2..12);
        let answer_ms = self.rng.random_range(2..12);
        let late_ms = self.rng.random_range(1_000..6_000);
        let arrives = |after_ms, answer_ms| CallFate::Arrives {
            after_ms,
            answer_ms,
        };
        match random {
            _ if self.now_ms < self.instances[from].disconnected_until => CallFate::Lost,
            0..4 => CallFate::Refused { after_ms: short_ms },
            4..8 => CallFate::Lost,
            8..12 => arrives(short_ms, None),
            12..16 => arrives(late_ms, None),
            16..20 => arrives(short_ms, Some(answer_ms * 30)),
            _ => arrives(short_ms, Some(answer_ms)),
        }
    }
}
