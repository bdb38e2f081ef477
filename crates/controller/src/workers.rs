//! Threads that make the calls which the deciding thread asks for.
//!
//! Calls of one kind for one cell or upstream are made one after the other; a
//! slow key-value service delays neither orders nor lease renewals.

use crate::node::Input;
use crossbeam::channel::{Sender, unbounded};
use passway_decide::cell::Event;
use passway_decide::messages::{Order, OrderAnswer};
use passway_decide::plan::{Holder, Plan};
use passway_platform::engine::EngineControl;
use passway_platform::instance_list::InstanceList;
use passway_platform::key_value::{KeyValue, LeaseId, PutOutcome, Unavailable};
use passway_types::clock;
use passway_types::prelude::*;
use passway_wire::message::{Hello, Probe, Role};
use passway_wire::{Body, Link};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

/// Part of a lease's time, in tenths, on which the holder relies.
const RELIED_TENTHS: u32 = 8;
/// Time for a probe to be answered.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two questions to an upstream at which something changes.
const BUSY_STATUS_PAUSE: Duration = Duration::from_millis(150);
/// Pause between two questions to any other upstream.
const QUIET_STATUS_PAUSE: Duration = Duration::from_millis(750);
/// Step in which a status thread looks whether it should hurry.
const STATUS_STEP: Duration = Duration::from_millis(50);
/// Pause between two looks at the instance list.
const LIST_PAUSE: Duration = Duration::from_secs(1);

/// Where the answers of one cell's calls go.
#[derive(Debug, Clone)]
pub(crate) struct Reply {
    pub(crate) cell: CellName,
    pub(crate) inputs: Sender<Input>,
}

impl Reply {
    pub(crate) fn event(&self, event: Event) {
        // The deciding thread ends only with the process.
        let _ = self.inputs.send(Input::Cell {
            cell: self.cell.clone(),
            event,
        });
    }

    fn reached(&self) {
        let _ = self.inputs.send(Input::ServiceReached);
    }
}

/// A call about the lease.
#[derive(Debug)]
pub(crate) enum LeaseJob {
    Acquire,
    Renew,
    Release,
}

/// Starts the thread that takes, renews and gives back a cell's lease.
pub(crate) fn start_lease(
    key_value: Arc<dyn KeyValue>,
    holder: &Holder,
    time_to_live: Duration,
    reply: Reply,
) -> (Sender<LeaseJob>, JoinHandle<()>) {
    let (sender, jobs) = unbounded();
    let value = serde_json::to_vec(holder).unwrap_or_default();
    let thread = std::thread::spawn(move || {
        let mut lease = None;
        for job in jobs {
            // Counted from before the call: the service may start the lease's
            // time as soon as the call arrives.
            let valid_until = clock::now() + time_to_live * RELIED_TENTHS / 10;
            let answer = match job {
                LeaseJob::Acquire => {
                    acquire(&*key_value, &reply.cell, &value, time_to_live, &mut lease)
                }
                LeaseJob::Renew => renew(&*key_value, &mut lease),
                LeaseJob::Release => {
                    if let Some(lease) = lease.take() {
                        // A lease that is not given back lapses by itself.
                        let _ = key_value.end_lease(lease);
                    }
                    continue;
                }
            };
            if answer.is_ok() {
                reply.reached();
            }
            reply.event(match answer {
                Ok(true) => Event::LeaseGranted { valid_until },
                Ok(false) => Event::LeaseDenied,
                Err(Unavailable) => Event::LeaseUnavailable,
            });
        }
    });
    (sender, thread)
}

fn holder_key(cell: &str) -> String {
    format!("cells/{cell}/holder")
}

fn plan_key(cell: &str) -> String {
    format!("cells/{cell}/plan")
}

fn acquire(
    key_value: &dyn KeyValue,
    cell: &str,
    value: &[u8],
    time_to_live: Duration,
    lease: &mut Option<LeaseId>,
) -> Result<bool, Unavailable> {
    if let Some(old) = lease.take() {
        // Ours from a term that ended; the key must go before it can be taken anew.
        key_value.end_lease(old)?;
    }
    if key_value.get(&holder_key(cell))?.is_some() {
        return Ok(false);
    }
    let granted = key_value.grant_lease(time_to_live)?;
    // Kept before the write: if its answer is lost, the next attempt ends this
    // lease first and with it a key that the write may have made.
    *lease = Some(granted);
    let outcome = key_value.put_if(&holder_key(cell), 0, value, Some(granted))?;
    Ok(matches!(outcome, PutOutcome::Written(_)))
}

fn renew(key_value: &dyn KeyValue, lease: &mut Option<LeaseId>) -> Result<bool, Unavailable> {
    match *lease {
        Some(id) => key_value.renew_lease(id),
        None => Ok(false),
    }
}

/// A call about the plan.
#[derive(Debug)]
pub(crate) enum PlanJob {
    Read,
    Write { expected: Version, plan: Box<Plan> },
}

/// Starts the thread that reads and writes a cell's plan.
pub(crate) fn start_plan(key_value: Arc<dyn KeyValue>, reply: Reply) -> Sender<PlanJob> {
    let (sender, jobs) = unbounded();
    let key = plan_key(&reply.cell);
    std::thread::spawn(move || {
        for job in jobs {
            let event = match job {
                PlanJob::Read => read_plan(&*key_value, &key),
                PlanJob::Write { expected, plan } => write_plan(&*key_value, &key, expected, &plan),
            };
            if !matches!(event, Event::PlanUnavailable | Event::WriteOutcomeUnknown) {
                reply.reached();
            }
            reply.event(event);
        }
    });
    sender
}

fn read_plan(key_value: &dyn KeyValue, key: &str) -> Event {
    match key_value.get(key) {
        Ok(None) => Event::PlanRead {
            version: 0,
            plan: None,
        },
        Ok(Some(found)) => match serde_json::from_slice(&found.value) {
            Ok(plan) => Event::PlanRead {
                version: found.version,
                plan: Some(plan),
            },
            Err(error) => {
                log::error!(key = key, error:% = error; "the plan cannot be read");
                Event::PlanUnavailable
            }
        },
        Err(Unavailable) => Event::PlanUnavailable,
    }
}

fn write_plan(key_value: &dyn KeyValue, key: &str, expected: Version, plan: &Plan) -> Event {
    let Ok(value) = serde_json::to_vec(plan) else {
        return Event::WriteOutcomeUnknown;
    };
    match key_value.put_if(key, expected, &value, None) {
        Ok(PutOutcome::Written(version)) => Event::WriteDone {
            change: plan.last_change,
            version,
        },
        Ok(PutOutcome::Conflict) | Err(Unavailable) => Event::WriteOutcomeUnknown,
    }
}

/// Starts the thread that sends orders to one upstream.
pub(crate) fn start_orders(
    engines: Arc<dyn EngineControl>,
    address: SocketAddr,
    reply: Reply,
) -> Sender<Order> {
    let (sender, orders) = unbounded::<Order>();
    std::thread::spawn(move || {
        for order in orders {
            let answer = engines.order(address, &order);
            if answer != OrderAnswer::Loaded && answer != OrderAnswer::Absent {
                log::debug!(upstream = &*order.upstream, model = &*order.model,
                    answer:? = answer; "order");
            }
            let (upstream, fence) = (order.upstream, order.fence);
            reply.event(Event::OrderAnswered {
                upstream,
                fence,
                answer,
            });
        }
    });
    sender
}

/// How often an upstream is asked.
#[derive(Debug, Default)]
pub(crate) struct StatusPace {
    /// Whether this controller leads the upstream's cell.
    pub(crate) active: AtomicBool,
    /// Whether something changes at the upstream.
    pub(crate) busy: AtomicBool,
    /// Whether the thread should end.
    pub(crate) ended: AtomicBool,
}

/// Starts the thread that asks one upstream for its status.
pub(crate) fn start_status(
    engines: Arc<dyn EngineControl>,
    upstream: UpstreamId,
    address: SocketAddr,
    pace: Arc<StatusPace>,
    reply: Reply,
) {
    std::thread::spawn(move || {
        let mut asked_at: Option<Instant> = None;
        while !pace.ended.load(Ordering::Relaxed) {
            let busy = pace.busy.load(Ordering::Relaxed);
            let pause = if busy {
                BUSY_STATUS_PAUSE
            } else {
                QUIET_STATUS_PAUSE
            };
            let due = asked_at.is_none_or(|at| clock::since(at) >= pause);
            if due && pace.active.load(Ordering::Relaxed) {
                let now = clock::now();
                asked_at = Some(now);
                let status = engines.status(address);
                reply.event(Event::StatusPolled {
                    upstream: upstream.clone(),
                    polled_at: now,
                    status,
                });
            }
            std::thread::sleep(STATUS_STEP);
        }
    });
}

/// Starts the thread that reads the instance list.
pub(crate) fn start_list(list: Arc<dyn InstanceList>, inputs: Sender<Input>) {
    std::thread::spawn(move || {
        loop {
            if let Some(listed) = list.list()
                && inputs.send(Input::Listed(listed)).is_err()
            {
                return;
            }
            std::thread::sleep(LIST_PAUSE);
        }
    });
}

/// Asks, in a thread of its own, whether a former holder can still send orders.
pub(crate) fn probe(me: &Holder, epoch: Epoch, former: Holder, reply: Reply) {
    let hello = Hello {
        role: Role::Controller.into(),
        instance: me.instance.to_string(),
        incarnation: me.incarnation,
        ..Default::default()
    };
    std::thread::spawn(move || {
        let answer = ask_former(&former, hello, &reply.cell, epoch);
        // Another process at the address proves the old one gone. No answer
        // proves nothing: the process may be paused.
        let gone = answer.is_some_and(|(incarnation, may_order)| {
            incarnation != former.incarnation || !may_order
        });
        if gone {
            reply.event(Event::PreviousHolderStopped(epoch));
        }
    });
}

fn ask_former(former: &Holder, hello: Hello, cell: &str, epoch: Epoch) -> Option<(u64, bool)> {
    let (link, mut reader) = Link::connect(former.address, PROBE_TIMEOUT).ok()?;
    reader.set_timeout(PROBE_TIMEOUT).ok()?;
    link.send(Body::Hello(hello)).ok()?;
    link.send(Body::Probe(Probe {
        cell: cell.to_owned(),
        epoch,
    }))
    .ok()?;
    while let Ok(Some(body)) = reader.receive() {
        if let Body::ProbeAnswer(answer) = body {
            link.close();
            return Some((answer.incarnation, answer.may_order));
        }
    }
    None
}
