//! Where a request goes by the configuration in force.

use super::access::{Access, Denied, NO_KEY};
use super::{RETRY_AFTER_MS, not_run};
use crate::http1::{Connection, RequestHead};
use crate::reply::Refusal;
use crate::shared::Shared;
use passway_serving::hash::fnv1a;
use passway_serving::ports::RequestMetadata;
use passway_serving::routes::{Route, RouteTable};
use passway_types::clock;
use passway_types::prelude::*;

/// When a caller may come back to an instance that knows no configuration yet.
const START_RETRY_MS: u64 = 1_500;
/// Part of its time that a request may wait for the first configuration.
const START_PART: f64 = 0.3;
/// Longest such wait.
const START_WAIT: Duration = Duration::from_secs(1);
/// Pause between two looks whether the configuration has come.
const START_STEP: Duration = Duration::from_millis(30);
/// Where a request goes by the configuration.
#[derive(Debug)]
pub(super) struct Destination {
    pub(super) route: Arc<Route>,
    pub(super) service: ServiceName,
    pub(super) is_engine: bool,
    pub(super) access: Access,
}

/// A stable number for a request, by which it takes its part of a split route: the
/// same request always takes the same backend.
pub(super) fn draw(id: &str) -> u64 {
    fnv1a(0, id)
}

/// The host that a request names, without its port; `None` unless it names just one.
pub(super) fn host_of(head: &RequestHead) -> Option<String> {
    let mut hosts = head.headers.all("host");
    let host = std::str::from_utf8(hosts.next()?).ok()?;
    if hosts.next().is_some() {
        return None;
    }
    let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
    Some(name.to_ascii_lowercase())
}

/// The route and service of a request; the error is what its caller is told.
pub(super) fn find_destination(
    shared: &Shared,
    caller: &mut Connection,
    head: &RequestHead,
    facts: &RequestMetadata,
    arrived_at: Instant,
) -> Result<Destination, Denied> {
    let unrouted = |refusal| Denied {
        refusal,
        end: "refused before a route was known",
    };
    let table = known_routes(shared, caller, facts, arrived_at);
    let table = table.ok_or(unrouted(not_run(START_RETRY_MS)))?;
    let host = host_of(head).ok_or(unrouted(Refusal::Malformed))?;
    let path = head.target.split('?').next().unwrap_or_default();
    let route = table.find(&host, path).cloned();
    let route = route.ok_or(unrouted(Refusal::NoRoute))?;
    let access = Access::of(&table, &route, facts).ok_or(NO_KEY)?;
    let service = route.backend(draw(&facts.id)).cloned();
    let service = service.ok_or(unrouted(not_run(RETRY_AFTER_MS)))?;
    Ok(Destination {
        access,
        is_engine: is_engine(&table, &service),
        route,
        service,
    })
}

/// The routes, as soon as both they and the upstreams are known. An instance that has
/// just started waits a moment for them: the store may be about to answer.
fn known_routes(
    shared: &Shared,
    caller: &mut Connection,
    facts: &RequestMetadata,
    arrived_at: Instant,
) -> Option<Arc<RouteTable>> {
    let time = facts
        .deadline_ms
        .map(Duration::from_millis)
        .unwrap_or_default();
    let until = arrived_at + time.mul_f64(START_PART).min(START_WAIT);
    loop {
        // Upstreams that are not known yet cannot be told from none.
        let knows = shared.can_serve() || (shared.is_stopping() && !shared.is_closed());
        if knows {
            return shared.routes.load_full();
        }
        if shared.is_stopping() || clock::now() >= until || caller.is_closed() {
            return None;
        }
        std::thread::sleep(START_STEP);
    }
}

fn is_engine(table: &RouteTable, service: &ServiceName) -> bool {
    let service = table.services.get(service);
    service.is_some_and(|service| service.pool.is_some())
}
