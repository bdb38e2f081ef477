//! After two crashes a request runs one at a time over all instances, by the word of the one that counts for all.

use crate::cluster::{self, Answer, PATIENCE, ask, request, until};
use crate::holder_link::{Holder, subscription};
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

fn ended(engines: &[ModelServer]) -> usize {
    engines.iter().filter(|engine| engine.crashed()).count()
}

fn send(instance: &Instance, id: &str) -> Answer {
    let bytes = request("POST", "/report/", id, "Model: m0\r\n", POISON);
    ask(instance.callers_address(), &bytes).expect("an answer")
}

/// Whether an answer refuses a request that may crash upstreams. One that finds only upstreams that have ended is
/// refused too, and may come back sooner.
fn is_held(answer: &Answer) -> bool {
    let seconds = answer.header("retry-after").and_then(|s| s.parse().ok());
    answer.status == 503 && seconds.is_some_and(|s: f64| s >= 2.0)
}

/// An instance whose fleet's counter is played by the test, and engines of which two have crashed.
struct World {
    store: MetadataStandIn,
    engines: Vec<ModelServer>,
    instance: Instance,
    counter: UdpSocket,
}

impl World {
    fn new() -> Self {
        let store = cluster::store(&["m0"]);
        let counter = UdpSocket::bind("127.0.0.1:0").expect("a port");
        counter
            .set_read_timeout(Some(PATIENCE))
            .expect("a time-out");
        let address = counter.local_addr().expect("an address");
        store.put_bytes("passway/holder", format!("played {address}").as_bytes());
        let engines = engines(&store);
        let instance = cluster::start_ready("one", &store);
        let world = Self {
            store,
            engines,
            instance,
            counter,
        };
        world.send("p0");
        world.send("p1");
        assert_eq!(world.ended(), 2);
        world
    }

    fn ended(&self) -> usize {
        ended(&self.engines)
    }

    fn send(&self, id: &str) -> Answer {
        send(&self.instance, id)
    }

    /// The next question for a turn, and who asks.
    fn asked(&self) -> (UseAsk, std::net::SocketAddr) {
        let mut bytes = [0; 1_500];
        loop {
            let (length, from) = self.counter.recv_from(&mut bytes).expect("a question");
            if let Some(Dispatch::UseAsk(ask)) = Datagram::read(&bytes[..length])
                && !ask.digest.is_empty()
            {
                return (ask, from);
            }
        }
    }
}

/// Eight copies whose questions to the counter were lost all ran, and ended an engine each.
#[test]
fn silence_permits_nothing() {
    let world = World::new();
    assert!(is_held(&world.send("p2")));
    assert_eq!(world.ended(), 2);
    // Once somebody counts it has its turn, which shows what it is.
    world.store.remove("passway/holder");
    until("the right to order", || world.instance.fence().is_some());
    assert_eq!(world.send("p3").status, 502);
    assert_eq!(world.ended(), 3);
}

/// A turn whose grant was lost was held against the request that had it: it asked again under another number, and
/// was refused until the turn lapsed.
#[test]
fn asked_again_by_number() {
    let world = World::new();
    std::thread::scope(|scope| {
        let caller = scope.spawn(|| world.send("p2").status);
        let (first, _) = world.asked();
        // Longer than the instance waits for an answer, even to the second question.
        let (again, from) = loop {
            let (ask, from) = world.asked();
            if ask.run_ms != first.run_ms {
                break (ask, from);
            }
        };
        assert_eq!(again.id, first.id);
        let mut told = UseTold {
            id: again.id,
            ..UseTold::default()
        };
        told.set_verdict(UseVerdict::Granted);
        let bytes = Datagram::bytes(Some(Dispatch::UseTold(told)));
        world.counter.send_to(&bytes, from).expect("sent");
        assert_eq!(caller.join().expect("a caller"), 502);
    });
    assert_eq!(world.ended(), 3);
}

/// Four of eight copies ran a second after the second crash, at instances that had not heard of it: they heard of it by
/// way of the holder alone, which may be slow or gone.
#[test]
fn told_without_holder() {
    let store = cluster::store(&["m0"]);
    let engines = engines(&store);
    let holder = Holder::begin(&store);
    let one = cluster::start_ready("one", &store);
    let (link, mut reader) = holder.accept();
    subscription(&mut reader).expect("one listens");
    let two = cluster::start_ready("two", &store);
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
    until("two is known", || one.other_instance_count() == 1);
    for id in ["p0", "p1"] {
        assert_eq!(send(&one, id).status, 502);
    }
    // Datagrams are taken in one after the other: the word on the crashes has come before this question.
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    let question = Datagram::bytes(Some(Dispatch::VersionAsk(VersionAsk { id: 1 })));
    socket.send_to(&question, &address).expect("sent");
    socket.recv_from(&mut [0; 1_500]).expect("an answer");
    assert!(is_held(&send(&two, "p2")));
    assert_eq!(ended(&engines), 2);
}
