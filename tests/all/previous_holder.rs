//! Messages of a previous holder after another controller has taken over its cell. A
//! controller that was paused may still send answers from its term; routers must ignore them.

use crate::processes::send_request;
use crate::support::{long_timeout_plan, small_plan};
use passway_config::revision::{self, StoredRevision};
use passway_decide::messages::{DemandVerdict, RouteChange};
use passway_decide::router::{Arrival, RouterAction, RouterCore};
use passway_router::Router;
use passway_standins::cluster::TestCluster;
use passway_standins::load::Outcome;
use passway_types::prelude::*;
use passway_wire::message::{CellHolder, Config, DemandAnswer, Heartbeat};
use passway_wire::{Body, Link, LinkReader};
use std::net::{SocketAddr, TcpListener};

/// The cell of all stand-in engines.
const CELL: &str = "main";
const MODEL: &str = "model1@1";

/// A controller whose messages the test sends.
struct ScriptedController {
    link: Link,
    reader: LinkReader,
}

impl ScriptedController {
    /// Accepts a router's connection to `listener`.
    fn accept(listener: &TcpListener) -> Self {
        let (stream, _) = listener.accept().expect("a router");
        let (link, reader) = Link::from_stream(stream).expect("link");
        Self { link, reader }
    }

    fn send(&self, body: Body) {
        self.link.send(body).expect("a connected router");
    }

    /// Reads messages until one for which `is_expected` returns true.
    fn wait_for(&mut self, is_expected: impl Fn(&Body) -> bool) {
        loop {
            let body = self.reader.receive().expect("a message").expect("a router");
            if is_expected(&body) {
                return;
            }
        }
    }

    /// Sends a heartbeat that names the holder of the cell.
    fn send_holder(&self, epoch: Epoch, address: SocketAddr) {
        let holder = CellHolder {
            cell: CELL.into(),
            epoch,
            address: address.to_string(),
        };
        self.send(Body::Heartbeat(Heartbeat {
            routers: 1,
            cells: vec![holder],
            ..Heartbeat::default()
        }));
    }

    /// Sends a revision and waits until the router reports it as in force. By then the router
    /// has handled all earlier messages of this controller.
    fn send_config(&mut self, world: &TestCluster, revision: Revision) {
        let stored = StoredRevision {
            revision,
            change_id: 0,
            author: "test".into(),
            applied_at_unix_s: 0,
            comment: String::new(),
            changes: Vec::new(),
            document: world.document.clone(),
        };
        let encoded = revision::encode(&stored).expect("a configuration");
        self.send(Body::Config(Config {
            encoded: encoded.into(),
        }));
        self.wait_for(
            |body| matches!(body, Body::Hello(hello) if hello.config_revision == revision),
        );
    }

    /// Sends a refusal of the router's demand for the model.
    fn send_refusal(&self, code: ResultCode) {
        self.send(Body::DemandAnswer(DemandAnswer {
            model: MODEL.into(),
            refused_code: code as u32,
            retry_in_ms: 2_000,
            ..DemandAnswer::default()
        }));
    }
}

#[test]
fn late_refusal_ignored() {
    let world = TestCluster::start(long_timeout_plan()).expect("world");
    let listeners = [0; 2].map(|_| TcpListener::bind("127.0.0.1:0").expect("bind"));
    let addresses = listeners
        .each_ref()
        .map(|listener| listener.local_addr().expect("address"));
    let router = Router::start(&world.router_settings(0, &addresses)).expect("router");
    let [mut previous, mut holder] = listeners.each_ref().map(ScriptedController::accept);

    previous.send_holder(1, addresses[0]);
    previous.send_config(&world, 1);
    holder.send_holder(2, addresses[1]);
    holder.send_config(&world, 2);

    let caller = send_request(router.address(), MODEL, 0, 8);
    holder.wait_for(|body| matches!(body, Body::Demand(_)));
    previous.send_refusal(ResultCode::ControlUnavailable);
    previous.send_config(&world, 3);
    holder.send_refusal(ResultCode::NoCapacity);
    let outcome = caller.join().expect("caller").outcome;
    let Outcome::Refused { code, .. } = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(code, u64::from(ResultCode::NoCapacity as u16));
}

#[test]
fn refusal_after_route_ignored() {
    let world = TestCluster::start(small_plan()).expect("world");
    let catalog = passway_config::Catalog::build(&world.document, 1).expect("catalog");
    let now = Instant::now();
    let mut core = RouterCore::new(1, Arc::new(catalog), now);
    let model: ModelName = MODEL.into();
    let route = RouteChange {
        added: vec![(model.clone(), "engine0".into())],
        removed: vec![],
        is_snapshot: true,
    };
    core.apply_route_change(now, &route, CELL);
    // The answer to a demand from before the route was known.
    let refused = DemandVerdict::Refused {
        code: ResultCode::ControlUnavailable,
        retry_at: now,
    };
    core.handle_verdict(now, &model, refused);
    let arrival = Arrival {
        request: 1,
        model: MODEL.into(),
        workspace: "default".into(),
        kind: String::new(),
        priority: None,
        deadline_at: Some(now + Duration::from_secs(5)),
    };
    let actions = core.handle_arrival(now, &arrival);
    let is_start = |action: &RouterAction| matches!(action, RouterAction::Start { .. });
    assert!(actions.iter().any(is_start), "{actions:?}");
}
