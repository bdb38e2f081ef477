//! The life cycle of a router: it serves, drains and then stops.

use crate::control::Control;
use crate::http;
use crate::shared::Shared;
use anyhow::{Context, Result};
use passway_config::settings::RouterSettings;
use passway_http::Server;
use passway_http::connection::Limits;
use passway_types::clock;
use passway_types::prelude::*;
use std::marker::PhantomData;
use std::net::SocketAddr;

/// Interval at which a draining router checks whether requests or outcomes remain.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The router still accepts requests for this long after its health check reports "leaving",
/// so the load balancer can stop sending before any request is refused.
const BALANCER_GRACE: Duration = Duration::from_millis(1_500);
/// Maximum time that a stopping router waits until the outcomes of claimed calls are written.
const OUTCOMES_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between two ticks of the decision logic.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// State of a router that accepts requests.
#[derive(Debug)]
pub struct Serving;
/// State of a router that accepts no requests and finishes those in progress.
#[derive(Debug)]
pub struct Draining;

/// A router in state `S`.
#[derive(Debug)]
pub struct Router<S> {
    shared: Arc<Shared>,
    control: Arc<Control>,
    address: SocketAddr,
    state: PhantomData<S>,
}

impl Router<Serving> {
    /// Starts a router with checked settings.
    ///
    /// # Errors
    /// If an address in the settings cannot be parsed, or the listen address cannot be bound.
    pub fn start(settings: &RouterSettings) -> Result<Self> {
        let listen: SocketAddr = settings
            .listen
            .parse()
            .context("parsing the setting listen")?;
        let limits = Limits {
            max_connections: settings.max_connections,
            max_body_bytes: settings.body_limit_bytes,
            ..Limits::default()
        };
        let server = Server::bind(listen).with_context(|| format!("binding {listen}"))?;
        let server = server
            .limits(limits)
            .refusal(http::too_many_connections_response());
        let address = server.local_addr().context("reading the bound address")?;
        let shared = Arc::new(Shared::new(settings)?);
        let control = Control::start(settings, &shared)?;
        let server_state = (shared.clone(), control.clone());
        std::thread::spawn(move || {
            let (shared, control) = server_state;
            server.serve(move |request| http::handle(&shared, &control, &request))
        });
        let ticker_state = (shared.clone(), control.clone());
        std::thread::spawn(move || {
            let (shared, control) = ticker_state;
            loop {
                control.decide(&shared, passway_decide::router::RouterCore::tick);
                std::thread::sleep(TICK_INTERVAL);
            }
        });
        log::info!(instance = settings.instance.as_str(), address:% = address; "router started");
        Ok(Self {
            shared,
            control,
            address,
            state: PhantomData,
        })
    }

    /// Returns the address to which callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the revision of the configuration in force; 0 if none.
    pub fn revision(&self) -> Revision {
        self.shared.catalog.load().revision
    }

    /// Returns the number of requests whose answer is not complete.
    pub fn in_progress(&self) -> usize {
        self.shared.in_progress()
    }

    /// Sets the health check to "leaving", waits until the load balancer has had time to stop
    /// sending, and then stops accepting requests.
    pub fn drain(self) -> Router<Draining> {
        self.shared.set_leaving();
        self.control.send_hello(&self.shared);
        log::info!(in_progress = self.shared.in_progress(); "router leaving");
        std::thread::sleep(BALANCER_GRACE);
        self.control.decide(&self.shared, |core, _| {
            core.drain();
            Vec::new()
        });
        Router {
            shared: self.shared,
            control: self.control,
            address: self.address,
            state: PhantomData,
        }
    }
}

impl Router<Draining> {
    /// Waits until no request is in progress, and then until the outcomes of claimed calls are
    /// written. The second wait has a timeout, because the key-value service may be unavailable.
    /// Stops waiting as soon as `should_cut` returns true. Returns the number of requests that
    /// were cut.
    pub fn finish(self, should_cut: impl Fn() -> bool) -> usize {
        while self.shared.in_progress() > 0 && !should_cut() {
            std::thread::sleep(DRAIN_POLL_INTERVAL);
        }
        let outcomes_until = clock::now() + OUTCOMES_TIMEOUT;
        while self.shared.claims.unwritten_count() > 0
            && clock::now() < outcomes_until
            && !should_cut()
        {
            std::thread::sleep(DRAIN_POLL_INTERVAL);
        }
        let cut = self.shared.in_progress();
        log::info!(cut = cut; "router stopped");
        cut
    }
}
