//! The route and service of a request by the configuration in effect.

use super::access::{Access, UNKNOWN_KEY};
use super::{Origin, RETRY_AFTER_MS, not_run};
use crate::denials::{self, CONFIGURATION_WAIT_RATIO, Denial};
use crate::http1::{Connection, RequestHead};
use crate::reply::Refusal;
use crate::shared::Shared;
use passway_serving::ports::RequestMetadata;
use passway_serving::routes::{Route, RouteTable};
use passway_serving::splits::attempt_hash;
use passway_types::clock;
use passway_types::prelude::*;

/// `Retry-After` of an instance without a configuration, in milliseconds.
const START_RETRY_MS: u64 = 1_500;
/// Longest wait for the first configuration.
const MAX_START_WAIT: Duration = Duration::from_secs(1);
/// Interval between two checks for the first configuration.
const START_POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Route, service and access of a request.
#[derive(Debug)]
pub(super) struct Destination {
    pub(super) route: Arc<Route>,
    pub(super) service: ServiceName,
    pub(super) is_engine: bool,
    pub(super) access: Access,
}

/// A stable hash of a request's id, which chooses the backend of a split route: the same request
/// always goes to the same backend.
pub(super) fn request_hash(id: &str) -> u64 {
    attempt_hash(id)
}

/// The host in the request's head, without its port; `None` unless there is exactly one.
pub(super) fn host_of(head: &RequestHead) -> Option<String> {
    let mut hosts = head.headers.all("host");
    let host = std::str::from_utf8(hosts.next()?).ok()?;
    if hosts.next().is_some() {
        return None;
    }
    let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
    Some(name.to_ascii_lowercase())
}

fn unrouted(refusal: Refusal) -> Denial {
    Denial {
        refusal,
        end: "refused before a route was known",
    }
}

/// Finds the route and service of a request.
///
/// # Errors
/// The refusal for the caller if there is no route or the request has no access, or if there is no
/// proof of that.
pub(super) fn find_destination(
    shared: &Shared,
    caller: &mut Connection,
    head: &RequestHead,
    facts: &RequestMetadata,
    arrived_at: Instant,
    origin: &Origin,
) -> Result<Destination, Denial> {
    let table = wait_for_routes(shared, caller, facts, arrived_at);
    let table = table.ok_or(unrouted(not_run(START_RETRY_MS)))?;
    let host = host_of(head).ok_or(unrouted(Refusal::Malformed))?;
    check_version(&table, origin)?;
    let until = denials::wait_until(origin, facts.deadline_ms, arrived_at);
    denials::check_with_proof(shared, caller, until, || {
        let newest = shared.routes.load();
        look_up(newest.as_ref().unwrap_or(&table), &host, head.path(), facts)
    })
}

/// Refuses a request from another instance that has a newer configuration than this one.
pub(crate) fn check_version(table: &RouteTable, origin: &Origin) -> Result<(), Denial> {
    match origin {
        Origin::Peer(announcement) if table.version < announcement.config_version => Err(Denial {
            refusal: not_run(RETRY_AFTER_MS),
            end: "refused, another instance has a newer configuration",
        }),
        _ => Ok(()),
    }
}

/// The destination of a request by one version of the configuration.
fn look_up(
    table: &RouteTable,
    host: &str,
    path: &str,
    facts: &RequestMetadata,
) -> Result<Destination, Denial> {
    let route = table.find(host, path).cloned();
    let route = route.ok_or(unrouted(Refusal::NoRoute))?;
    let access = Access::look_up(table, &route, facts).ok_or(UNKNOWN_KEY)?;
    // A resumed stream probably began here; the proof of its version also proves its service.
    let begun_by = facts.resumes.as_ref().unwrap_or(&facts.id);
    let service = route.backend(request_hash(begun_by)).cloned();
    let service = service.ok_or(unrouted(not_run(RETRY_AFTER_MS)))?;
    Ok(Destination {
        access,
        is_engine: is_engine(table, &service),
        route,
        service,
    })
}

/// The routes, as soon as both they and the upstreams are known. An instance that has just started
/// waits briefly for them, because the store may be about to answer.
fn wait_for_routes(
    shared: &Shared,
    caller: &mut Connection,
    facts: &RequestMetadata,
    arrived_at: Instant,
) -> Option<Arc<RouteTable>> {
    let time_limit = facts
        .deadline_ms
        .map(Duration::from_millis)
        .unwrap_or_default();
    let until = arrived_at
        + time_limit
            .mul_f64(CONFIGURATION_WAIT_RATIO)
            .min(MAX_START_WAIT);
    loop {
        // Before the first list, a service without upstreams looks like one with unknown upstreams.
        let is_known =
            shared.can_serve() || (shared.is_stopping() && !shared.is_refusing_requests());
        if is_known {
            return shared.routes.load_full();
        }
        if shared.is_stopping() || clock::now() >= until || caller.is_closed() {
            return None;
        }
        std::thread::sleep(START_POLL_INTERVAL);
    }
}

pub(super) fn is_engine(table: &RouteTable, service: &ServiceName) -> bool {
    let service = table.services.get(service);
    service.is_some_and(|service| service.pool.is_some())
}
