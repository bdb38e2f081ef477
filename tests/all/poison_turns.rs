//! After two crashes a request runs one at a time over all instances, by the word of the one that counts for all.

use crate::site::{self, Answer, PATIENCE, ask, request, until};
use passway_instance::Instance;
use passway_standins::platform::model_server::{Faults, ModelServer};
use passway_standins::platform::store::MetadataStandIn;
use passway_wire::dispatch::{Datagram, Dispatch};
use passway_wire::permits::{UseAsk, UseTold, UseVerdict};
use std::net::UdpSocket;

/// What crashes the engines.
const POISON: &str = "poison";

/// An instance whose fleet's counter is played by the test, and engines of which two have crashed.
struct World {
    store: MetadataStandIn,
    engines: Vec<ModelServer>,
    instance: Instance,
    counter: UdpSocket,
}

impl World {
    fn new() -> Self {
        let store = site::store(&["m0"]);
        let counter = UdpSocket::bind("127.0.0.1:0").expect("a port");
        counter
            .set_read_timeout(Some(PATIENCE))
            .expect("a time-out");
        let address = counter.local_addr().expect("an address");
        store.put_bytes("passway/holder", format!("played {address}").as_bytes());
        let engines = (0..8).map(|number| {
            let id = format!("i-{number}");
            let engine = ModelServer::start(&store, &id, "engines", 1, &["m0"], &[]);
            engine.set_faults(Faults {
                crashes_on: Some(POISON.to_owned()),
                ..Faults::default()
            });
            engine
        });
        let engines = engines.collect();
        let instance = site::ready("one", &store);
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
        self.engines.iter().filter(|e| e.crashed()).count()
    }

    fn send(&self, id: &str) -> Answer {
        let bytes = request("POST", "/report/", id, "Model: m0\r\n", POISON);
        ask(self.instance.callers_address(), &bytes).expect("an answer")
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
    let refused = world.send("p2");
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some(), "{refused:?}");
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
