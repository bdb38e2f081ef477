//! An instance asks the dispatcher of an engine, and is one itself; the test plays the holder
//! of the right to order, which tells who dispatches, and the other end of each question.

use crate::holder_link::{PlayedHolder, subscription};
use crate::site::{self, PATIENCE, stream, until};
use passway_instance::Instance;
use passway_standins::platform::model_server::{Faults, ModelServer};
use passway_standins::platform::store::MetadataStandIn;
use passway_wire::dispatch::{Ask, Datagram, Dispatch, Ended, Grant, RunOutcome, Running, Verdict};
use passway_wire::message::{Member, Members};
use passway_wire::{Body, Link};
use std::net::{SocketAddr, UdpSocket};

struct World {
    _store: MetadataStandIn,
    servers: [ModelServer; 2],
    instance: Instance,
    /// Where the instance hears datagrams.
    address: SocketAddr,
    socket: UdpSocket,
    _link: Link,
}

/// An instance before two engines with m0, told that `dispatchers` decide, where `None` stands
/// for the instance itself.
fn world(dispatchers: &[Option<SocketAddr>]) -> World {
    let store = site::store(&["m0"]);
    let holder = PlayedHolder::begin(&store);
    let server = |id| ModelServer::start(&store, id, "engines", 2, &["m0"], &[]);
    let servers = [server("i-0"), server("i-1")];
    let instance = site::ready("one", &store);
    let (link, mut reader) = holder.accept();
    let address = subscription(&mut reader).expect("a subscription").address;
    let address: SocketAddr = address.parse().expect("an address");
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bind");
    socket.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    let members = dispatchers.iter().enumerate().map(|(number, one)| Member {
        instance: format!("dispatcher-{number}"),
        address: one.unwrap_or(address).to_string(),
    });
    let told = Members {
        members: members.collect(),
    };
    link.send(Body::Dispatchers(told)).expect("sent");
    until("dispatchers", || {
        instance.dispatchers() == dispatchers.len()
    });
    World {
        _store: store,
        servers,
        instance,
        address,
        socket,
        _link: link,
    }
}

impl World {
    fn send(&self, body: Dispatch) {
        let bytes = Datagram::bytes(Some(body));
        self.socket.send_to(&bytes, self.address).expect("sent");
    }

    fn receive(&self) -> Dispatch {
        let mut bytes = [0; 1_500];
        loop {
            let (length, _) = self.socket.recv_from(&mut bytes).expect("a datagram");
            if let Some(body) = Datagram::read(&bytes[..length]) {
                return body;
            }
        }
    }

    /// The instance's answer to a question.
    fn ask(&self, id: u64) -> Grant {
        self.send(Dispatch::Ask(Ask {
            id,
            service: "engines".into(),
            model: "m0".into(),
            hall: "hall0".into(),
            drawn: id,
            ..Ask::default()
        }));
        match self.receive() {
            Dispatch::Grant(grant) => grant,
            other => panic!("{other:?}"),
        }
    }
}

/// Slots of one engine, as [`ModelServer`] says of itself.
fn granted_until_full(world: &World) -> Vec<Grant> {
    let grants = (0..100).map(|id| world.ask(id));
    grants
        .take_while(|grant| grant.verdict() == Verdict::Go)
        .collect()
}

#[test]
fn each_slot_once() {
    let world = world(&[None]);
    let grants = granted_until_full(&world);
    let on_first = grants.iter().filter(|grant| grant.engine == "i-0").count();
    assert_eq!(2 * on_first, grants.len(), "both as full as each other");
    // A question that comes twice has the same answer.
    assert_eq!(world.ask(0), grants[0]);
    // A slot is free again once its run is over.
    assert_eq!(world.ask(500).verdict(), Verdict::Full);
    world.send(Dispatch::Ended(Ended {
        id: 0,
        outcome: RunOutcome::Answered.into(),
    }));
    let grant = world.ask(501);
    assert_eq!(
        (grant.verdict(), &grant.engine),
        (Verdict::Go, &grants[0].engine)
    );
    // What is not there is not granted.
    world.send(Dispatch::Ask(Ask {
        id: 502,
        service: "engines".into(),
        model: "m9".into(),
        ..Ask::default()
    }));
    let Dispatch::Grant(grant) = world.receive() else {
        panic!("no answer");
    };
    assert_eq!(grant.verdict(), Verdict::Absent);
}

/// Another instance says again and again that all slots of i-0 are taken: once what was granted
/// before has lapsed, only the other engine is granted.
fn other_engine_alone(world: &World, running: &[u8]) {
    let other = UdpSocket::bind("127.0.0.1:0").expect("bind");
    until("slots of one engine alone", || {
        other.send_to(running, world.address).expect("sent");
        let grant = world.ask(1_000);
        if grant.verdict() != Verdict::Go {
            return false;
        }
        assert_eq!(grant.engine, "i-1");
        true
    });
}

/// Runs that others speak of take slots, though this dispatcher has not granted them.
#[test]
fn others_runs_count() {
    let world = world(&[None]);
    let all = granted_until_full(&world).len();
    let slots = u64::try_from(all / 2).expect("small");
    let runs = (0..slots).map(|id| passway_wire::dispatch::RunHere {
        id,
        engine: "i-0".into(),
    });
    let running = Running {
        runs: runs.collect(),
    };
    // What was granted here lapses, since nobody speaks of it.
    let bytes = Datagram::bytes(Some(Dispatch::Running(running)));
    other_engine_alone(&world, &bytes);
}

/// Names may be long: a word of several kilobytes is read whole.
#[test]
fn long_words_read() {
    let world = world(&[None]);
    let all = granted_until_full(&world).len();
    let slots = u64::try_from(all / 2).expect("small");
    let run = |id, engine: &str| passway_wire::dispatch::RunHere {
        id,
        engine: engine.to_owned(),
    };
    let long = "e".repeat(200);
    let others = (1_000..1_032).map(|id| run(id, &long));
    let runs = others.chain((0..slots).map(|id| run(id, "i-0")));
    let running = Running {
        runs: runs.collect(),
    };
    let bytes = Datagram::bytes(Some(Dispatch::Running(running)));
    assert!(bytes.len() > 4_096);
    other_engine_alone(&world, &bytes);
}

#[test]
fn goes_where_told() {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bind");
    let address = socket.local_addr().expect("an address");
    let world = world(&[Some(address)]);
    let caller = world.instance.callers_address();
    let asking = std::thread::spawn(move || stream(caller, "chat", "c1", "m0"));
    let mut bytes = [0; 1_500];
    let mut next = || loop {
        let (length, from) = socket.recv_from(&mut bytes).expect("a datagram");
        match Datagram::read(&bytes[..length]) {
            Some(Dispatch::Running(_)) | None => {}
            Some(body) => return (body, from),
        }
    };
    let (Dispatch::Ask(ask), from) = next() else {
        panic!("no question");
    };
    assert_eq!((&*ask.model, &*ask.hall), ("m0", "hall0"));
    let grant = Grant {
        id: ask.id,
        verdict: Verdict::Go.into(),
        engine: "i-1".into(),
    };
    let bytes = Datagram::bytes(Some(Dispatch::Grant(grant)));
    socket.send_to(&bytes, from).expect("sent");
    let answer = asking.join().expect("a caller");
    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(world.servers[1].runs(), ["c1"]);
    // The end is told. (The question may have come twice before.)
    let ended = std::iter::repeat_with(&mut next).find_map(|(body, _)| match body {
        Dispatch::Ended(ended) => Some(ended),
        _ => None,
    });
    let ended = ended.expect("the end");
    assert_eq!((ended.id, ended.outcome()), (ask.id, RunOutcome::Answered));
}

/// A dispatcher that says nothing costs one request a moment, and the next ones nothing.
#[test]
fn silent_dispatcher() {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bind");
    let address = socket.local_addr().expect("an address");
    let world = world(&[Some(address)]);
    for number in 0..3 {
        let id = format!("c{number}");
        let answer = stream(world.instance.callers_address(), "chat", &id, "m0");
        assert_eq!((answer.status, answer.whole), (200, true));
    }
    let all: usize = world.servers.iter().map(|server| server.runs().len()).sum();
    assert_eq!(all, 3);
}

/// Bytes that are no message change nothing.
#[test]
fn other_bytes() {
    let world = world(&[None]);
    for bytes in [&b""[..], b"\xff\xff\xff\xff", &[8; 1_400]] {
        world.socket.send_to(bytes, world.address).expect("sent");
    }
    assert_eq!(world.ask(1).verdict(), Verdict::Go);
}

/// An engine in need is named last by its dispatcher, and gets nothing that nobody counts; others carry its
/// requests.
#[test]
fn engine_in_need() {
    let world = world(&[None]);
    world.servers[0].set_faults(Faults {
        limit_per_s: Some(1.0),
        ..Faults::default()
    });
    let address = world.instance.callers_address();
    let mut ids = 0..;
    let mut send = || stream(address, "chat", &format!("id{:?}", ids.next()), "m0").status;
    until("the word is heard", || {
        send();
        !world.servers[0].runs().is_empty()
    });
    let runs = world.servers[0].runs().len();
    for _ in 0..120 {
        assert_eq!(send(), 200);
    }
    assert_eq!(world.servers[0].runs().len(), runs);
}

/// A dispatcher that grants the first engine to whoever asks, whatever it is told.
fn stubborn_dispatcher() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bind");
    let address = socket.local_addr().expect("an address");
    std::thread::spawn(move || {
        let mut bytes = [0; 1_500];
        while let Ok((length, from)) = socket.recv_from(&mut bytes) {
            if let Some(Dispatch::Ask(ask)) = Datagram::read(&bytes[..length]) {
                let grant = Grant {
                    id: ask.id,
                    verdict: Verdict::Go.into(),
                    engine: "i-0".into(),
                };
                let bytes = Datagram::bytes(Some(Dispatch::Grant(grant)));
                socket.send_to(&bytes, from).expect("sent");
            }
        }
    });
    address
}

/// A grant by somebody who has not heard an engine's word sends nothing there.
fn granted_against_word(faults: Faults) {
    let world = world(&[Some(stubborn_dispatcher())]);
    let address = world.instance.callers_address();
    let send = |id: &str| stream(address, "chat", id, "m0").status;
    assert_eq!(send("before"), 200);
    world.servers[0].set_faults(faults);
    send("word");
    let arrived = world.servers[0].arrivals().len();
    for number in 0..10 {
        send(&format!("id{number}"));
    }
    assert_eq!(world.servers[0].arrivals().len(), arrived);
}

#[test]
fn granted_and_leaving() {
    granted_against_word(Faults {
        leaves: true,
        ..Faults::default()
    });
}

#[test]
fn granted_and_resting() {
    granted_against_word(Faults {
        rest_s: Some(60.0),
        ..Faults::default()
    });
}
