//! After two crashes a request runs one at a time over all instances, by the word of the one that counts for all.

use crate::holder_link::{PlayedHolder, subscription};
use crate::site::{self, Answer, PATIENCE, ask, request, until};
use passway_instance::Instance;
use passway_standins::platform::model_server::{Faults, ModelServer};
use passway_standins::platform::store::MetadataStandIn;
use passway_wire::Body;
use passway_wire::dispatch::{Datagram, Dispatch};
use passway_wire::message::{Member, Members};
use passway_wire::permits::{UseAsk, UseTold, UseVerdict, VersionAsk};
use std::net::UdpSocket;

/// What crashes the engines.
const POISON: &str = "poison";

/// Engines that all have the model and crash on [`POISON`].
fn engines(store: &MetadataStandIn) -> Vec<ModelServer> {
    let engines = (0..8).map(|number| {
        let id = format!("i-{number}");
        let engine = ModelServer::start(store, &id, "engines", 1, &["m0"], &[]);
        engine.set_faults(Faults {
            crashes_on: Some(POISON.to_owned()),
            ..Faults::default()
        });
        engine
    });
    engines.collect()
}

fn crashed_count(engines: &[ModelServer]) -> usize {
    engines.iter().filter(|engine| engine.crashed()).count()
}

fn send(instance: &Instance, id: &str) -> Answer {
    let bytes = request("POST", "/report/", id, "Model: m0\r\n", POISON);
    ask(instance.callers_address(), &bytes).expect("an answer")
}

/// Whether an answer refuses a request that may crash upstreams. One that finds only upstreams that have ended is
/// refused too, and may come back sooner.
fn refuses_suspect(answer: &Answer) -> bool {
    let seconds = answer.header("retry-after").and_then(|s| s.parse().ok());
    answer.status == 503 && seconds.is_some_and(|s: f64| s >= 2.0)
}

/// An instance whose fleet's counter is played by the test, and engines of which two have crashed.
struct TestCluster {
    store: MetadataStandIn,
    engines: Vec<ModelServer>,
    instance: Instance,
    coordinator: UdpSocket,
}

impl TestCluster {
    fn new() -> Self {
        let store = site::store(&["m0"]);
        let coordinator = UdpSocket::bind("127.0.0.1:0").expect("a port");
        coordinator
            .set_read_timeout(Some(PATIENCE))
            .expect("a time-out");
        let address = coordinator.local_addr().expect("an address");
        store.put_bytes("passway/holder", format!("played {address}").as_bytes());
        let engines = engines(&store);
        let instance = site::ready("one", &store);
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

    /// The next question for a turn, and who asks.
    fn next_permit_request(&self) -> (UseAsk, std::net::SocketAddr) {
        let mut bytes = [0; 1_500];
        loop {
            let (length, from) = self.coordinator.recv_from(&mut bytes).expect("a question");
            if let Some(Dispatch::UseAsk(permit_request)) = Datagram::read(&bytes[..length])
                && !permit_request.digest.is_empty()
            {
                return (permit_request, from);
            }
        }
    }
}

/// Eight copies whose questions to the counter were lost all ran, and ended an engine each.
#[test]
fn silence_permits_nothing() {
    let cluster = TestCluster::new();
    assert!(refuses_suspect(&cluster.send("p2")));
    assert_eq!(cluster.crashed_count(), 2);
    // Once somebody counts it has its turn, which shows what it is.
    cluster.store.remove("passway/holder");
    until("the right to order", || cluster.instance.fence().is_some());
    assert_eq!(cluster.send("p3").status, 502);
    assert_eq!(cluster.crashed_count(), 3);
}

/// A turn whose grant was lost was held against the request that had it: it asked again under another number, and
/// was refused until the turn lapsed.
#[test]
fn permit_requested_again_with_same_id() {
    let cluster = TestCluster::new();
    std::thread::scope(|scope| {
        let caller = scope.spawn(|| cluster.send("p2").status);
        let (first, _) = cluster.next_permit_request();
        // Longer than the instance waits for an answer, even to the second question.
        let (repeated, from) = loop {
            let (permit_request, from) = cluster.next_permit_request();
            if permit_request.run_ms != first.run_ms {
                break (permit_request, from);
            }
        };
        assert_eq!(repeated.id, first.id);
        let mut answer = UseTold {
            id: repeated.id,
            ..UseTold::default()
        };
        answer.set_verdict(UseVerdict::Granted);
        let bytes = Datagram::bytes(Some(Dispatch::UseTold(answer)));
        cluster.coordinator.send_to(&bytes, from).expect("sent");
        assert_eq!(caller.join().expect("a caller"), 502);
    });
    assert_eq!(cluster.crashed_count(), 3);
}

/// Four of eight copies ran a second after the second crash, at instances that had not heard of it: they heard of it by
/// way of the holder alone, which may be slow or gone.
#[test]
fn told_without_holder() {
    let store = site::store(&["m0"]);
    let engines = engines(&store);
    let holder = PlayedHolder::begin(&store);
    let one = site::ready("one", &store);
    let (link, mut reader) = holder.accept();
    subscription(&mut reader).expect("one listens");
    let two = site::ready("two", &store);
    let (_link, mut reader) = holder.accept();
    let address = subscription(&mut reader).expect("two listens").address;
    let member = Member {
        instance: "two".into(),
        address: address.clone(),
    };
    let members = Members {
        members: vec![member],
    };
    link.send(Body::Members(members)).expect("sent");
    until("two is known", || one.other_instances() == 1);
    for id in ["p0", "p1"] {
        assert_eq!(send(&one, id).status, 502);
    }
    // Datagrams are taken in one after the other: the word on the crashes has come before this question.
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    let question = Datagram::bytes(Some(Dispatch::VersionAsk(VersionAsk { id: 1 })));
    socket.send_to(&question, &address).expect("sent");
    socket.recv_from(&mut [0; 1_500]).expect("an answer");
    assert!(refuses_suspect(&send(&two, "p2")));
    assert_eq!(crashed_count(&engines), 2);
}
