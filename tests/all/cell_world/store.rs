//! A fake key-value service with the plan and the lease of one cell.

use passway_decide::cell::Event;
use passway_decide::plan::Plan;
use passway_types::prelude::*;

/// Time-to-live of a lease in the service.
pub const LEASE_TTL: Duration = Duration::from_secs(2);
/// Time for which a holder relies on a granted lease.
const LEASE_RELIED_ON: Duration = Duration::from_millis(1_600);

#[derive(Debug, Default)]
pub struct Store {
    pub plan: Option<(Version, Plan)>,
    lease: Option<Lease>,
    pub is_down: bool,
    last_version: Version,
}

#[derive(Debug)]
struct Lease {
    holder: Incarnation,
    until: Instant,
}

impl Store {
    pub fn acquire(&mut self, now: Instant, holder: Incarnation) -> Event {
        if self.is_down {
            return Event::LeaseUnavailable;
        }
        let current = self.lease.as_ref();
        if current.is_some_and(|lease| now < lease.until && lease.holder != holder) {
            return Event::LeaseDenied;
        }
        let until = now + LEASE_TTL;
        self.lease = Some(Lease { holder, until });
        Event::LeaseGranted {
            valid_until: now + LEASE_RELIED_ON,
        }
    }

    pub fn renew(&mut self, now: Instant, holder: Incarnation) -> Event {
        if self.is_down {
            return Event::LeaseUnavailable;
        }
        match &mut self.lease {
            Some(lease) if lease.holder == holder && now < lease.until => {
                lease.until = now + LEASE_TTL;
                Event::LeaseGranted {
                    valid_until: now + LEASE_RELIED_ON,
                }
            }
            _ => Event::LeaseDenied,
        }
    }

    pub fn release(&mut self, holder: Incarnation) {
        self.lease.take_if(|lease| lease.holder == holder);
    }

    pub fn read(&self) -> Event {
        if self.is_down {
            return Event::PlanUnavailable;
        }
        let (version, plan) = self.plan.clone().map_or((0, None), |(v, p)| (v, Some(p)));
        Event::PlanRead {
            version,
            plan: plan.map(Box::new),
        }
    }

    /// Writes the plan if the stored version is `expected`, even while the service does not answer
    /// calls.
    pub fn write(&mut self, expected: Version, plan: Plan) -> Option<Version> {
        let current_version = self.plan.as_ref().map_or(0, |(version, _)| *version);
        if current_version != expected {
            return None;
        }
        self.last_version += 1;
        self.plan = Some((self.last_version, plan));
        Some(self.last_version)
    }
}
