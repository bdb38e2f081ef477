//! Threads that make the blocking calls of the decision thread.
//!
//! Each cell has one thread for its lease and one for its plan, and each upstream has one for
//! orders and one for its status. Calls of one kind run one after the other. A slow call to
//! the key-value service delays neither orders nor calls of another kind, such as lease
//! renewals.

use crate::config_feed::millis;
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

/// The holder relies on its lease only for this fraction of the lease's duration, in tenths.
const USABLE_LEASE_TENTHS: u32 = 8;
/// Timeout of connecting to the previous holder and of reading its answer.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of status queries to an upstream at which a placement is changing.
const BUSY_STATUS_INTERVAL: Duration = Duration::from_millis(150);
/// Interval of status queries to any other upstream.
const IDLE_STATUS_INTERVAL: Duration = Duration::from_millis(750);
/// Interval at which a status thread checks whether a query is due.
const STATUS_POLL_STEP: Duration = Duration::from_millis(50);
/// Interval between two reads of the instance list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Sends the answers to one cell's calls to the decision thread.
#[derive(Debug, Clone)]
pub(crate) struct ReplySender {
    pub(crate) cell: CellName,
    pub(crate) inputs: Sender<Input>,
}

impl ReplySender {
    pub(crate) fn send_event(&self, event: Event) {
        // The receiver exists until the process terminates, so the send does not fail.
        let _ = self.inputs.send(Input::Cell {
            cell: self.cell.clone(),
            event,
        });
    }

    fn send_service_reached(&self) {
        let _ = self.inputs.send(Input::ServiceReached);
    }
}

/// A call about a cell's lease.
#[derive(Debug)]
pub(crate) enum LeaseJob {
    Acquire,
    Renew,
    Release,
}

/// Starts the thread that acquires, renews and releases a cell's lease.
pub(crate) fn start_lease_thread(
    key_value: Arc<dyn KeyValue>,
    holder: &Holder,
    time_to_live: Duration,
    reply: ReplySender,
) -> (Sender<LeaseJob>, JoinHandle<()>) {
    let (sender, jobs) = unbounded();
    let value = serde_json::to_vec(holder).unwrap_or_default();
    let thread = std::thread::spawn(move || {
        let mut lease = None;
        for job in jobs {
            // Counted from before the call, because the service may start the lease's
            // duration as soon as the call arrives.
            let sent_at = clock::now();
            let valid_until = sent_at + time_to_live * USABLE_LEASE_TENTHS / 10;
            let answer = match job {
                LeaseJob::Acquire => {
                    acquire(&*key_value, &reply.cell, &value, time_to_live, &mut lease)
                }
                LeaseJob::Renew => renew(&*key_value, &mut lease),
                LeaseJob::Release => {
                    if let Some(lease) = lease.take() {
                        // If the release fails, the lease expires.
                        let _ = key_value.end_lease(lease);
                    }
                    continue;
                }
            };
            log::debug!(cell = &*reply.cell, job:? = job, answer:? = answer,
                took_ms = millis(clock::since(sent_at)); "lease call");
            if answer.is_ok() {
                reply.send_service_reached();
            }
            reply.send_event(match answer {
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
    if let Some(previous_lease) = lease.take() {
        // The lease of this process from an ended term: the service must delete the holder
        // key with it before a new lease can write the key.
        key_value.end_lease(previous_lease)?;
    }
    if key_value.get(&holder_key(cell))?.is_some() {
        return Ok(false);
    }
    let granted = key_value.grant_lease(time_to_live)?;
    // Stored before the write: if the answer to the write is lost, the next attempt first ends
    // this lease, which deletes a key that the write may have created.
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

/// A call about a cell's plan.
#[derive(Debug)]
pub(crate) enum PlanJob {
    Read,
    Write { expected: Version, plan: Box<Plan> },
}

/// Starts the thread that reads and writes a cell's plan.
pub(crate) fn start_plan_thread(
    key_value: Arc<dyn KeyValue>,
    reply: ReplySender,
) -> Sender<PlanJob> {
    let (sender, jobs) = unbounded();
    let key = plan_key(&reply.cell);
    std::thread::spawn(move || {
        for job in jobs {
            let event = match job {
                PlanJob::Read => read_plan(&*key_value, &key),
                PlanJob::Write { expected, plan } => write_plan(&*key_value, &key, expected, &plan),
            };
            if !matches!(event, Event::PlanUnavailable | Event::WriteOutcomeUnknown) {
                reply.send_service_reached();
            }
            reply.send_event(event);
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
                log::error!(key = key, error:% = error; "cannot decode the stored plan");
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
pub(crate) fn start_order_thread(
    engines: Arc<dyn EngineControl>,
    address: SocketAddr,
    reply: ReplySender,
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
            reply.send_event(Event::OrderAnswered {
                upstream,
                fence,
                answer,
            });
        }
    });
    sender
}

/// Controls how often a status thread queries its upstream.
#[derive(Debug, Default)]
pub(crate) struct StatusPolling {
    /// Whether this controller leads the upstream's cell.
    pub(crate) is_leading: AtomicBool,
    /// Whether a placement is changing at the upstream, so queries are more frequent.
    pub(crate) is_busy: AtomicBool,
    /// Whether the thread should terminate.
    pub(crate) should_stop: AtomicBool,
}

/// Starts the thread that queries the status of one upstream.
pub(crate) fn start_status_thread(
    engines: Arc<dyn EngineControl>,
    upstream: UpstreamId,
    address: SocketAddr,
    polling: Arc<StatusPolling>,
    reply: ReplySender,
) {
    std::thread::spawn(move || {
        let mut last_query_at: Option<Instant> = None;
        while !polling.should_stop.load(Ordering::Relaxed) {
            let is_busy = polling.is_busy.load(Ordering::Relaxed);
            let interval = if is_busy {
                BUSY_STATUS_INTERVAL
            } else {
                IDLE_STATUS_INTERVAL
            };
            let is_due = last_query_at.is_none_or(|at| clock::since(at) >= interval);
            if is_due && polling.is_leading.load(Ordering::Relaxed) {
                let now = clock::now();
                last_query_at = Some(now);
                let status = engines.status(address);
                reply.send_event(Event::StatusPolled {
                    upstream: upstream.clone(),
                    polled_at: now,
                    status,
                });
            }
            std::thread::sleep(STATUS_POLL_STEP);
        }
    });
}

/// Starts the thread that reads the instance list.
pub(crate) fn start_list_thread(list: Arc<dyn InstanceList>, inputs: Sender<Input>) {
    std::thread::spawn(move || {
        loop {
            if let Some(instances) = list.list()
                && inputs.send(Input::Listed(instances)).is_err()
            {
                return;
            }
            std::thread::sleep(LIST_INTERVAL);
        }
    });
}

/// Starts a thread that queries the previous holder whether it can still send orders.
pub(crate) fn start_probe_thread(
    identity: &Holder,
    epoch: Epoch,
    previous_holder: Holder,
    reply: ReplySender,
) {
    let hello = Hello {
        role: Role::Controller.into(),
        instance: identity.instance.to_string(),
        incarnation: identity.incarnation,
        ..Default::default()
    };
    std::thread::spawn(move || {
        let answer = probe_previous_holder(&previous_holder, hello, &reply.cell, epoch);
        // Another incarnation at the address proves that the previous process has terminated.
        // A missing answer proves nothing, because the process may be paused.
        let has_stopped = answer.is_some_and(|(incarnation, may_order)| {
            incarnation != previous_holder.incarnation || !may_order
        });
        if has_stopped {
            reply.send_event(Event::PreviousHolderStopped(epoch));
        }
    });
}

fn probe_previous_holder(
    previous_holder: &Holder,
    hello: Hello,
    cell: &str,
    epoch: Epoch,
) -> Option<(u64, bool)> {
    let (link, mut reader) = Link::connect(previous_holder.address, PROBE_TIMEOUT).ok()?;
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
            return Some((answer.incarnation, answer.has_order_in_flight));
        }
    }
    None
}
