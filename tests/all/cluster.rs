//! Instances in this process, with stand-ins for the store, upstreams and callers that use the
//! users' platform's protocol.

use passway_instance::{Instance, Surroundings};
use passway_serving::allotment::QuotaBounds;
use passway_serving::freshness::DEFAULT_CONFIGURATION_BOUND;
use passway_serving::halls::HallRegions;
use passway_serving::placement::DEFAULT_LOAD_WINDOW;
use passway_serving::placement::policy::PolicyName;
use passway_serving::ports::{InstanceBounds, InstanceSettings};
use passway_serving::retry::RetryAllowance;
pub use passway_standins::platform::caller::{Answer, Caller, RECEIVE_TIMEOUT, fetch, request};
pub use passway_standins::platform::documents::{configuration, list_plain};
pub use passway_standins::platform::raw::RawServer;
use passway_standins::platform::raw::Step;
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;
use passway_users_platform::{MetadataStore, PlatformDirectory, PlatformHeaders, ServerControl};
use std::net::SocketAddr;
use std::sync::Once;

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Waits until `is_met` returns true; fails after [`RECEIVE_TIMEOUT`].
pub fn until(condition: &str, mut is_met: impl FnMut() -> bool) {
    let limit_at = Instant::now() + RECEIVE_TIMEOUT;
    while !is_met() {
        assert!(
            Instant::now() < limit_at,
            "timed out waiting for {condition}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// A store with a configuration.
pub fn store(models: &[&str]) -> MetadataStandIn {
    let store = MetadataStandIn::default();
    store.put("op/config", &configuration(1, models));
    store
}

/// A plain server that answers every request successfully.
pub fn plain_server() -> RawServer {
    RawServer::start(|received| {
        let id = received.header("request-id").unwrap_or_default();
        let text = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok"
        );
        vec![Step::Send(text.into_bytes())]
    })
}

/// Settings on loopback; the kernel chooses all ports.
pub fn settings(name: &str, store: SocketAddr) -> InstanceSettings {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    InstanceSettings {
        instance: name.into(),
        hall: "hall0".into(),
        regions: HallRegions::new(),
        callers_address: any_port,
        ready_address: any_port,
        peer_address: any_port,
        store_address: store,
        cpu_core_fraction: 1.0,
        placement: PolicyName::default(),
        bounds: InstanceBounds {
            grace: Duration::from_secs(8),
            shortest_lease: Duration::from_secs(1),
            holder_gap: Duration::from_secs(1),
            load_window: DEFAULT_LOAD_WINDOW,
            retry: RetryAllowance {
                ratio: 0.2,
                slack: 800.0,
                window_s: 10.0,
            },
            revocation: None,
            configuration: DEFAULT_CONFIGURATION_BOUND,
            leaving: Duration::from_secs(2),
            joining: Duration::from_secs(3),
            quota: QuotaBounds {
                window: Duration::from_secs(8),
                overage: 0.1,
                slack: 17_000.0,
            },
        },
    }
}

/// Requests a stream of a model, and returns the answer.
pub fn stream(address: SocketAddr, route: &str, id: &str, model: &str) -> Answer {
    let bytes = request(
        "POST",
        &format!("/{route}/"),
        id,
        &format!("Model: {model}\r\n"),
        "{}",
    );
    fetch(address, &bytes).expect("an answer")
}

/// Starts an instance without waiting for it.
pub fn start(name: &str, store: &MetadataStandIn) -> Instance {
    start_at(name, store.serve())
}

/// Starts an instance that reaches the store at `address`.
pub fn start_at(name: &str, address: SocketAddr) -> Instance {
    start_with(settings(name, address))
}

/// Makes instances log to standard error at the level in `PASSWAY_LOG`. The lines of concurrent
/// tests are mixed.
pub fn log_if_requested() {
    static STARTED: Once = Once::new();
    STARTED.call_once(|| {
        if let Ok(level) = std::env::var("PASSWAY_LOG") {
            passway_process::logging::start("test", &level).expect("logging");
        }
    });
}

/// Starts an instance with the given settings.
pub fn start_with(settings: InstanceSettings) -> Instance {
    log_if_requested();
    let address = settings.store_address;
    let surroundings = Surroundings {
        store: Arc::new(MetadataStore::new(address)),
        directory: Arc::new(PlatformDirectory),
        vocabulary: Box::new(PlatformHeaders),
        engines: Arc::new(ServerControl::default()),
    };
    Instance::start(settings, surroundings).expect("an instance")
}

/// Starts an instance and waits until it is ready.
pub fn start_ready(name: &str, store: &MetadataStandIn) -> Instance {
    let instance = start(name, store);
    until("readiness", || instance.is_ready());
    until("streams may begin", || instance.begins_streams());
    instance
}
