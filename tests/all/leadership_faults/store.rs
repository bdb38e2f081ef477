//! The store's side of the right to order, and how calls to it fare.

use super::{FAULTS_MS, LIMITS, Mix, News, World, holder_of};
use passway_serving::leadership::RecentHolders;
use passway_serving::ports::{LeaseId, StoreError, StoreRevision, WriteAnswer};
use passway_types::prelude::*;
use rand::RngExt;
use std::collections::BTreeMap;

/// A call without an answer is given up after this.
const CALL_TIMEOUT_MS: u64 = 900;
const RENEW_TIMEOUT_MS: u64 = 450;

/// The store's side of the right.
#[derive(Debug, Default)]
pub(super) struct Store {
    pub(super) revision: StoreRevision,
    pub(super) holder: Option<(InstanceId, StoreRevision, LeaseId)>,
    pub(super) recent: RecentHolders,
    /// Leases that were ever granted; their ids are never used again.
    granted: LeaseId,
    /// When leases end.
    leases: BTreeMap<LeaseId, u64>,
    pub(super) away_until: u64,
}

/// What an instance asks of the store.
#[derive(Debug, Clone)]
pub(super) enum Request {
    Grant,
    Take(LeaseId, RecentHolders),
    Renew(LeaseId),
    List(RecentHolders),
    End(LeaseId),
}

/// What the store answers, named after the call.
#[derive(Debug, Clone)]
pub(super) enum Answer {
    Granted(Result<LeaseId, StoreError>),
    Taken(Result<WriteAnswer, StoreError>),
    Renewed(Result<bool, StoreError>),
    Listed(Result<WriteAnswer, StoreError>, RecentHolders),
    Ended,
}

impl Request {
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
    life: u32,
    request: Request,
    /// How long the answer takes; `None` if it is lost.
    answer_ms: Option<u64>,
}

/// How a call fares.
enum Fate {
    /// The store refuses it.
    Refused { after_ms: u64 },
    /// It does not arrive.
    Lost,
    /// It arrives; its answer takes a while, or is lost if that is `None`.
    Arrives {
        after_ms: u64,
        answer_ms: Option<u64>,
    },
}

/// What is drawn for a call that fares well.
const NO_FAULT: i32 = 99;

impl World {
    fn set_holder(&mut self, holder: Option<(InstanceId, StoreRevision, LeaseId)>) {
        let told = holder
            .as_ref()
            .map(|(name, revision, _)| holder_of(name, *revision));
        self.store.holder = holder;
        self.tell(&News::Holder(told));
    }

    /// Ends leases whose time is over; the key goes with its lease.
    pub(super) fn expire(&mut self) {
        let now_ms = self.now_ms;
        self.store.leases.retain(|_, ends| now_ms < *ends);
        let holder = self.store.holder.as_ref();
        if holder.is_some_and(|(_, _, lease)| !self.store.leases.contains_key(lease)) {
            self.store.revision += 1;
            self.set_holder(None);
        }
    }

    /// What the store does with a call.
    fn carry_out(&mut self, from: &InstanceId, request: &Request) -> Answer {
        let lease_ms = u64::try_from(LIMITS.min_lease_ttl.as_millis()).expect("a short lease");
        let ends = self.now_ms + lease_ms;
        match request {
            Request::Grant => {
                self.store.granted += 1;
                let lease = self.store.granted;
                self.store.leases.insert(lease, ends);
                Answer::Granted(Ok(lease))
            }
            Request::Take(lease, recent) => Answer::Taken(Ok(self.take(from, *lease, recent))),
            Request::Renew(lease) => match self.store.leases.get_mut(lease) {
                Some(known) => {
                    *known = ends;
                    Answer::Renewed(Ok(true))
                }
                None => Answer::Renewed(Ok(false)),
            },
            Request::List(recent) => Answer::Listed(Ok(self.list(recent)), recent.clone()),
            Request::End(lease) => {
                self.store.leases.remove(lease);
                self.expire();
                Answer::Ended
            }
        }
    }

    /// Writes the holder's key and the list of holders, if both are as they were read.
    fn take(&mut self, from: &InstanceId, lease: LeaseId, recent: &RecentHolders) -> WriteAnswer {
        let stands = self.store.holder.is_some() || self.store.recent.revision != recent.revision;
        if stands {
            return WriteAnswer::Conflict;
        }
        if !self.store.leases.contains_key(&lease) {
            return WriteAnswer::LeaseEnded;
        }
        let revision = self.write_recent(recent);
        self.set_holder(Some((from.clone(), revision, lease)));
        self.tell(&News::Recent(self.store.recent.clone()));
        WriteAnswer::Written(revision)
    }

    fn write_recent(&mut self, recent: &RecentHolders) -> StoreRevision {
        self.store.revision += 1;
        self.store.recent = RecentHolders {
            revision: self.store.revision,
            ..recent.clone()
        };
        self.store.revision
    }

    /// Writes the list of holders with its candidates, if it is as it was read.
    fn list(&mut self, recent: &RecentHolders) -> WriteAnswer {
        if self.store.recent.revision != recent.revision {
            return WriteAnswer::Conflict;
        }
        let revision = self.write_recent(recent);
        self.tell(&News::Recent(self.store.recent.clone()));
        WriteAnswer::Written(revision)
    }

    /// Calls that arrive at the store now.
    pub(super) fn serve_calls(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<Arriving> = self
            .arriving
            .extract_if(.., |call| call.at_ms <= now_ms)
            .collect();
        for call in due {
            if now_ms < self.store.away_until {
                continue;
            }
            let name = self.instances[call.from].name.clone();
            let answer = self.carry_out(&name, &call.request);
            let instance = &mut self.instances[call.from];
            if let Some(answer_ms) = call.answer_ms
                && instance.life == call.life
                && now_ms >= instance.cut_until
                && let Some((at, pending)) = &mut instance.answer
                && now_ms + answer_ms < *at
            {
                (*at, *pending) = (now_ms + answer_ms, answer);
            }
        }
    }

    /// Sends a call; how it fares is drawn.
    pub(super) fn call(&mut self, from: usize, request: Request) {
        let now_ms = self.now_ms;
        let fate = self.draw_fate(from);
        let mut answered = (
            now_ms + request.timeout_ms(),
            request.failed(StoreError::Unknown),
        );
        if let Fate::Refused { after_ms } = fate {
            answered = (now_ms + after_ms, request.failed(StoreError::NotDone));
        }
        self.instances[from].answer = Some(answered);
        if let Fate::Arrives {
            after_ms,
            answer_ms,
        } = fate
        {
            self.arriving.push(Arriving {
                at_ms: now_ms + after_ms,
                from,
                life: self.instances[from].life,
                request,
                answer_ms,
            });
        }
    }

    /// Draws how a call fares; calls of an instance that is cut off are lost.
    fn draw_fate(&mut self, from: usize) -> Fate {
        let fares_well = match self.mix {
            Mix::Usual => false,
            Mix::StoreOutages | Mix::SlowWords => self.rng.random_bool(0.8),
            Mix::None => true,
        };
        let drawn = if fares_well || self.now_ms >= FAULTS_MS {
            NO_FAULT
        } else {
            self.rng.random_range(0..100)
        };
        let near_ms = self.rng.random_range(2..12);
        let answer_ms = self.rng.random_range(2..12);
        let late_ms = self.rng.random_range(1_000..6_000);
        let arrives = |after_ms, answer_ms| Fate::Arrives {
            after_ms,
            answer_ms,
        };
        match drawn {
            _ if self.now_ms < self.instances[from].cut_until => Fate::Lost,
            0..4 => Fate::Refused { after_ms: near_ms },
            4..8 => Fate::Lost,
            8..12 => arrives(near_ms, None),
            12..16 => arrives(late_ms, None),
            16..20 => arrives(near_ms, Some(answer_ms * 30)),
            _ => arrives(near_ms, Some(answer_ms)),
        }
    }
}
