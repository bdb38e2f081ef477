//! A fake of the key-value service: one cell's plan and its lease.

use passway_decide::cell::Event;
use passway_decide::plan::Plan;
use passway_types::prelude::*;

/// Time that a lease lasts in the service.
pub const LEASE: Duration = Duration::from_secs(2);
/// Time for which a holder relies on a lease.
const RELIED_ON: Duration = Duration::from_millis(1_600);

#[derive(Debug, Default)]
pub struct Store {
    pub plan: Option<(Version, Plan)>,
    lease: Option<Lease>,
    pub down: bool,
    versions: Version,
}

#[derive(Debug)]
struct Lease {
    holder: Incarnation,
    until: Instant,
}

impl Store {
    pub fn acquire(&mut self, now: Instant, holder: Incarnation) -> Event {
        if self.down {
            return Event::LeaseUnavailable;
        }
        let current = self.lease.as_ref();
        if current.is_some_and(|lease| now < lease.until && lease.holder != holder) {
            return Event::LeaseDenied;
        }
        let until = now + LEASE;
        self.lease = Some(Lease { holder, until });
        Event::LeaseGranted {
            valid_until: now + RELIED_ON,
        }
    }

    pub fn renew(&mut self, now: Instant, holder: Incarnation) -> Event {
        if self.down {
            return Event::LeaseUnavailable;
        }
        match &mut self.lease {
            Some(lease) if lease.holder == holder && now < lease.until => {
                lease.until = now + LEASE;
                Event::LeaseGranted {
                    valid_until: now + RELIED_ON,
                }
            }
            _ => Event::LeaseDenied,
        }
    }

    pub fn release(&mut self, holder: Incarnation) {
        self.lease.take_if(|lease| lease.holder == holder);
    }

    pub fn read(&self) -> Event {
        if self.down {
            return Event::PlanUnavailable;
        }
        let (version, plan) = self.plan.clone().map_or((0, None), |(v, p)| (v, Some(p)));
        Event::PlanRead {
            version,
            plan: plan.map(Box::new),
        }
    }

    /// Writes the plan if the expected version stands, whether or not calls are answered.
    pub fn write(&mut self, expected: Version, plan: Plan) -> Option<Version> {
        let stands = self.plan.as_ref().map_or(0, |(version, _)| *version);
        if stands != expected {
            return None;
        }
        self.versions += 1;
        self.plan = Some((self.versions, plan));
        Some(self.versions)
    }
}
