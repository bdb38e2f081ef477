//! What a former holder still says after another controller has taken over its cell.

use crate::processes::ask;
use crate::support::{patient_plan, small_plan};
use passway_config::revision::{self, StoredRevision};
use passway_decide::messages::{DemandVerdict, RouteChange};
use passway_decide::router::{Arrival, RouterAction, RouterCore};
use passway_router::Router;
use passway_standins::cluster::TestCluster;
use passway_standins::load::Outcome;
use passway_types::prelude::*;
use passway_wire::message::{CellHolder, Config, Heartbeat, Verdict};
use passway_wire::{Body, Link, LinkReader};
use std::net::{SocketAddr, TcpListener};

/// The cell of all stand-in engines.
const CELL: &str = "main";
const MODEL: &str = "model1@1";

/// A controller that says what the test tells it to.
struct Said {
    link: Link,
    reader: LinkReader,
}

impl Said {
    /// The connection that a router makes to a listener.
    fn accept(listener: &TcpListener) -> Self {
        let (stream, _) = listener.accept().expect("a router");
        let (link, reader) = Link::from_stream(stream).expect("link");
        Self { link, reader }
    }

    fn says(&self, body: Body) {
        self.link.send(body).expect("a router that listens");
    }

    /// Reads until a message for which `is_it` holds.
    fn hears(&mut self, is_it: impl Fn(&Body) -> bool) {
        loop {
            let body = self.reader.receive().expect("a message").expect("a router");
            if is_it(&body) {
                return;
            }
        }
    }

    /// Says which controller holds the cell.
    fn names_holder(&self, epoch: Epoch, address: SocketAddr) {
        let holder = CellHolder {
            cell: CELL.into(),
            epoch,
            address: address.to_string(),
        };
        self.says(Body::Heartbeat(Heartbeat {
            routers: 1,
            cells: vec![holder],
            ..Heartbeat::default()
        }));
    }

    /// Sends a revision and waits until the router says that it is in force: by then it
    /// has taken in all that was said before.
    fn configures(&mut self, world: &TestCluster, revision: Revision) {
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
        self.says(Body::Config(Config {
            encoded: encoded.into(),
        }));
        self.hears(|body| matches!(body, Body::Hello(hello) if hello.config_revision == revision));
    }

    /// Refuses demands for the model.
    fn refuses(&self, code: ResultCode) {
        self.says(Body::Verdict(Verdict {
            model: MODEL.into(),
            refused_code: code as u32,
            retry_in_ms: 2_000,
            ..Verdict::default()
        }));
    }
}

#[test]
fn late_refusal_ignored() {
    let world = TestCluster::start(patient_plan()).expect("world");
    let listeners = [0; 2].map(|_| TcpListener::bind("127.0.0.1:0").expect("bind"));
    let addresses = listeners
        .each_ref()
        .map(|listener| listener.local_addr().expect("address"));
    let router = Router::start(&world.router_settings(0, &addresses)).expect("router");
    let [mut former, mut holder] = listeners.each_ref().map(Said::accept);

    former.names_holder(1, addresses[0]);
    former.configures(&world, 1);
    holder.names_holder(2, addresses[1]);
    holder.configures(&world, 2);

    let caller = ask(router.address(), MODEL, 0, 8);
    holder.hears(|body| matches!(body, Body::Demand(_)));
    former.refuses(ResultCode::ControlUnavailable);
    former.configures(&world, 3);
    holder.refuses(ResultCode::NoCapacity);
    let outcome = caller.join().expect("caller").outcome;
    let Outcome::Refused { code, .. } = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(code, u64::from(ResultCode::NoCapacity as u16));
}

#[test]
fn refusal_of_routed_model() {
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
    // The answer to a demand of before the route was known.
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
