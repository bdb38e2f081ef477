//! After two crashes, copies of a request run one at a time over all instances, with a permit of
//! the coordinator.

use crate::cluster::{self, Answer, RECEIVE_TIMEOUT, fetch, request, until};
use crate::holder_link::{PlayedHolder, subscription};
use passway_instance::Instance;
use passway_standins::platform::model_server::{Faults, ModelServer};
use passway_standins::platform::store::MetadataStandIn;
use passway_wire::Body;
use passway_wire::dispatch::{Datagram, Dispatch};
use passway_wire::message::{Member, Members};
use passway_wire::permits::{PermitReply, PermitRequest, UseVerdict, VersionQuery};
use std::net::UdpSocket;

/// Body of the requests that crash engines.
const POISON: &str = "poison";

/// Engines that all have the model and crash on [`POISON`].
fn engines(store: &MetadataStandIn) -> Vec<ModelServer> {
    let engines = (0..8).map(|number| {
        let id = format!("i-{number}");
        let engine = ModelServer::start(store, &id, "engines", 1, &["m0"], &[]);
        engine.set_faults(Faults {
            crash_on_prefix: Some(POISON.to_owned()),
            ..Faults::default()
        });
        engine
    });
    engines.collect()
}

fn crashed_count(engines: &[ModelServer]) -> usize {
    engines.iter().filter(|engine| engine.has_crashed()).count()
}

fn send(instance: &Instance, id: &str) -> Answer {
    let bytes = request("POST", "/report/", id, "Model: m0\r\n", POISON);
    fetch(instance.callers_address(), &bytes).expect("an answer")
}

/// Whether an answer refuses a suspect request. A request that only finds crashed upstreams is
/// refused too, but with a shorter time to retry after.
fn refuses_suspect(answer: &Answer) -> bool {
    let seconds = answer.header("retry-after").and_then(|s| s.parse().ok());
    answer.status == 503 && seconds.is_some_and(|s: f64| s >= 2.0)
}

/// An instance with a coordinator that the test plays, and engines of which two have crashed.
struct TestCluster {
    store: MetadataStandIn,
    engines: Vec<ModelServer>,
    instance: Instance,
    coordinator: UdpSocket,
}

impl TestCluster {
    fn new() -> Self {
        let store = cluster::store(&["m0"]);
        let coordinator = UdpSocket::bind("127.0.0.1:0").expect("a port");
        coordinator
            .set_read_timeout(Some(RECEIVE_TIMEOUT))
            .expect("a timeout");
        let address = coordinator.local_addr().expect("an address");
        store.put_bytes("passway/holder", format!("played {address}").as_bytes());
        let engines = engines(&store);
        let instance = cluster::start_ready("one", &store);
        let cluster = Self {
            store,
            engines,
            instance,
            coordinator,
        };
        cluster.send("p0");
        cluster.send("p1");
        assert_eq!(cluster.crashed_count(), 2);
        cluster
    }

    fn crashed_count(&self) -> usize {
        crashed_count(&self.engines)
    }

    fn send(&self, id: &str) -> Answer {
        send(&self.instance, id)
    }

    /// The next request for a permit, and the address of its sender.
    fn next_permit_request(&self) -> (PermitRequest, std::net::SocketAddr) {
        let mut bytes = [0; 1_500];
        loop {
            let (length, from) = self.coordinator.recv_from(&mut bytes).expect("a question");
            if let Some(Dispatch::PermitRequest(permit_request)) =
                Datagram::decode_body(&bytes[..length])
                && !permit_request.digest.is_empty()
            {
                return (permit_request, from);
            }
        }
    }
}

/// Without answers from the coordinator, no copy may run. Eight copies used to run in this case and
/// crashed an engine each.
#[test]
fn silence_permits_nothing() {
    let cluster = TestCluster::new();
    assert!(refuses_suspect(&cluster.send("p2")));
    assert_eq!(cluster.crashed_count(), 2);
    // Once there is a coordinator, the request gets a permit and crashes its engine.
    cluster.store.remove("passway/holder");
    until("leadership", || cluster.instance.fence().is_some());
    assert_eq!(cluster.send("p3").status, 502);
    assert_eq!(cluster.crashed_count(), 3);
}

/// A request whose permit was granted in a lost answer must use the same id when it asks again.
/// Under another id, it was refused until its own permit expired.
#[test]
fn permit_requested_again_with_same_id() {
    let cluster = TestCluster::new();
    std::thread::scope(|scope| {
        let caller = scope.spawn(|| cluster.send("p2").status);
        let (first, _) = cluster.next_permit_request();
        // The instance does not wait this long for an answer, not even to its repeated datagram.
        let (repeated, from) = loop {
            let (permit_request, from) = cluster.next_permit_request();
            if permit_request.run_ms != first.run_ms {
                break (permit_request, from);
            }
        };
        assert_eq!(repeated.id, first.id);
        let mut answer = PermitReply {
            id: repeated.id,
            ..PermitReply::default()
        };
        answer.set_verdict(UseVerdict::Granted);
        let bytes = Datagram::encode_body(Some(Dispatch::PermitReply(answer)));
        cluster.coordinator.send_to(&bytes, from).expect("sent");
        assert_eq!(caller.join().expect("a caller"), 502);
    });
    assert_eq!(cluster.crashed_count(), 3);
}

/// Instances must learn of crashes without the holder, which may be slow or terminated. Four of
/// eight copies ran a second after the second crash, at instances that did not know of it.
#[test]
fn told_without_holder() {
    let store = cluster::store(&["m0"]);
    let engines = engines(&store);
    let holder = PlayedHolder::begin(&store);
    let one = cluster::start_ready("one", &store);
    let (link, mut reader) = holder.accept();
    subscription(&mut reader).expect("a subscription of the first instance");
    let two = cluster::start_ready("two", &store);
    let (_link, mut reader) = holder.accept();
    let address = subscription(&mut reader)
        .expect("a subscription of the second instance")
        .address;
    let member = Member {
        instance: "two".into(),
        address: address.clone(),
    };
    let members = Members {
        members: vec![member],
    };
    link.send(Body::Members(members)).expect("sent");
    until("the second instance to be known", || {
        one.other_instance_count() == 1
    });
    for id in ["p0", "p1"] {
        assert_eq!(send(&one, id).status, 502);
    }
    // Datagrams are processed in order, so the report of the crashes arrives before this query.
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket
        .set_read_timeout(Some(RECEIVE_TIMEOUT))
        .expect("a timeout");
    let question = Datagram::encode_body(Some(Dispatch::VersionQuery(VersionQuery { id: 1 })));
    socket.send_to(&question, &address).expect("sent");
    socket.recv_from(&mut [0; 1_500]).expect("an answer");
    assert!(refuses_suspect(&send(&two, "p2")));
    assert_eq!(crashed_count(&engines), 2);
}
