//! Streams that are taken up at an instance which the store does not answer: other instances read the
//! store for it.

use crate::cluster::{self, Answer, until};
use crate::software_versions::{
    BrokenStream, REFUSAL_LIMIT, STREAMS, engine, new_id, send, slow_down, versions,
};
use passway_instance::Instance;
use passway_serving::ports::StoreRevision;
use passway_serving::versions::StreamKey;
use passway_standins::platform::model_server::ModelServer;
use passway_standins::platform::store::{Faults, MetadataStandIn, StoreEndpoint};
use passway_types::hash::stable_hash;
use passway_types::prelude::*;
use passway_wire::dispatch::{Datagram, Dispatch};
use passway_wire::store_reads::{StoreReadAnswer, StoreReadResult};
use passway_wire::versions::{StoredVersion, StoredVersions};
use prost::Message;
use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::sync::Mutex;

/// Within this time a stream is refused where it is known that the store does not answer.
const AT_ONCE: Duration = Duration::from_millis(250);
/// How long an instance asks nobody after nobody could read the list.
const PAUSE: Duration = Duration::from_millis(300);
const REFUSING: Faults = Faults {
    error_status: Some(503),
    sends_invalid_json: false,
    answers_to_drop: 0,
    is_silent: false,
    later_pages_to_refuse: 0,
};
const SILENT: Faults = Faults {
    error_status: None,
    is_silent: true,
    ..REFUSING
};

/// An instance with a way of its own to the store, at which streams may begin.
fn start(name: &str, store: &MetadataStandIn) -> (Instance, StoreEndpoint) {
    let endpoint = store.serve_endpoint();
    let instance = cluster::start_at(name, endpoint.address());
    until("streams may begin", || {
        instance.is_ready() && instance.begins_streams()
    });
    (instance, endpoint)
}

fn is_recorded(store: &MetadataStandIn, stream: &BrokenStream) -> bool {
    let key = StreamKey::new("engines", &stream.id).expect("an id");
    let software = stable_hash(&[stream.software.as_bytes()]);
    let record = store.get(&format!("passway-streams/{key}/{software:016x}"));
    record.is_some()
}

/// A second version appears while the store does not answer an instance: callers that came back there
/// were refused, with the records of their streams in the store.
#[test]
fn second_version_during_cut() {
    for faults in [REFUSING, SILENT] {
        let store = cluster::store(&["m0"]);
        let old = engine(&store, "i-0", "v1");
        let first = cluster::start_ready("one", &store);
        let (second, endpoint) = start("two", &store);
        slow_down(&[&old]);
        let mut streams = BrokenStream::begin_many(&first);
        endpoint.set_faults(faults.clone());
        let new = engine(&store, "i-1", "v2");
        let mut probes = 0;
        until("the second version begins streams", || {
            probes += 1;
            let probe = send(&first, &format!("probe-{probes}"), "");
            versions(&probe) == BTreeSet::from(["v2".to_owned()])
        });
        slow_down(&[&old, &new]);
        let later = (0..STREAMS).map(|number| {
            BrokenStream::try_begin(&first, &format!("later-{number}")).expect("a stream")
        });
        streams.extend(later);
        let begun_at: BTreeSet<&str> = streams.iter().map(|stream| &*stream.software).collect();
        assert_eq!(begun_at.len(), 2, "both versions begin streams");
        until("records of all streams", || {
            streams.iter().all(|stream| is_recorded(&store, stream))
        });
        let went_on = streams
            .iter()
            .filter(|stream| stream.goes_on_with(&stream.take_up(&second)));
        assert_eq!(went_on.count(), streams.len(), "{faults:?}");
    }
}

fn is_refused(answer: &Answer) -> bool {
    answer.status == 503 && answer.header("resume-refused") == Some("proof-unavailable")
}

/// Guards against half a second that each caller waited for its refusal while it was known that the store
/// answers nobody.
#[test]
fn refused_at_once_if_nobody_can_prove() {
    for faults in [REFUSING, SILENT] {
        let store = cluster::store(&["m0"]);
        let only = engine(&store, "i-0", "v1");
        let (first, first_endpoint) = start("one", &store);
        let (second, second_endpoint) = start("two", &store);
        slow_down(&[&only]);
        let streams = BrokenStream::begin_many(&first);
        first_endpoint.set_faults(faults.clone());
        second_endpoint.set_faults(faults.clone());
        for (number, stream) in streams.iter().enumerate() {
            let began_at = Instant::now();
            let rest = stream.take_up(&second);
            let took = began_at.elapsed();
            assert!(is_refused(&rest), "{}", rest.head);
            // Both instances find out first.
            let limit = if number < 3 { REFUSAL_LIMIT } else { AT_ONCE };
            assert!(took < limit, "number {number} after {took:?}, {faults:?}");
        }
        first_endpoint.set_faults(Faults::default());
        second_endpoint.set_faults(Faults::default());
        until("the store answers again", || {
            streams[0].goes_on_with(&streams[0].take_up(&second))
        });
    }
}

/// A holder that a test plays, which says the same of each query for the list.
#[derive(Default)]
struct PlayedHolder {
    /// The name in its answers, and what it has read.
    answer: Mutex<(String, StoreReadResult)>,
    /// The numbers of all queries.
    queries: Mutex<BTreeSet<u64>>,
}

impl PlayedHolder {
    fn start(store: &MetadataStandIn) -> Arc<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let address = socket.local_addr().expect("an address");
        store.put_bytes("passway/holder", format!("played {address}").as_bytes());
        let played = Arc::new(Self::default());
        let holder = played.clone();
        std::thread::spawn(move || {
            let mut bytes = [0; 1_500];
            while let Ok((length, from)) = socket.recv_from(&mut bytes) {
                let Some(Dispatch::StoreReadQuery(query)) = Datagram::decode_body(&bytes[..length])
                else {
                    continue;
                };
                holder.queries.lock().expect("queries").insert(query.id);
                let (instance, result) = holder.answer.lock().expect("an answer").clone();
                let answer = StoreReadAnswer {
                    id: query.id,
                    instance,
                    result: Some(result),
                };
                std::thread::sleep(Duration::from_millis(5));
                let bytes = Datagram::encode_body(Some(Dispatch::StoreReadAnswer(answer)));
                socket.send_to(&bytes, from).expect("sent");
            }
        });
        played
    }

    /// Plays that an instance of this name has read `v1` alone, in a list of this revision that was
    /// confirmed in the first era.
    fn say(&self, instance: &str, revision: StoreRevision) {
        let list = StoredVersions {
            confirmed_in: Some(0),
            versions: vec![StoredVersion {
                service: "engines".to_owned(),
                software: "v1".to_owned(),
            }],
            splits: Vec::new(),
            announced: Vec::new(),
        };
        let result = StoreReadResult {
            revision: revision.packed(),
            list: list.encode_to_vec(),
            recorded: Vec::new(),
        };
        *self.answer.lock().expect("an answer") = (instance.to_owned(), result);
    }
}

/// An instance that the store does not answer, and the holder that it asks.
struct Bed {
    _store: MetadataStandIn,
    _engine: ModelServer,
    holder: Arc<PlayedHolder>,
    instance: Instance,
    /// The revision of the list that it knows.
    known: StoreRevision,
}

impl Bed {
    fn start() -> Self {
        let store = cluster::store(&["m0"]);
        let engine = engine(&store, "i-0", "v1");
        let holder = PlayedHolder::start(&store);
        let (instance, endpoint) = start("two", &store);
        endpoint.set_faults(REFUSING);
        let known = StoreRevision::new(0, store.revision_of("passway/versions"));
        Self {
            _store: store,
            _engine: engine,
            holder,
            instance,
            known,
        }
    }

    /// Takes up another stream of `v1` that another instance has begun.
    fn take_up(&self) -> Answer {
        let stream = BrokenStream {
            id: format!("begun-elsewhere-{}", new_id()),
            software: "v1".to_owned(),
        };
        stream.take_up(&self.instance)
    }
}

/// Guards against proofs by an older list, by another process at the holder's address, and by a list of
/// an earlier era of the store.
#[test]
fn untrue_answers_prove_nothing() {
    let bed = Bed::start();
    let older = StoreRevision::new(0, bed.known.number() - 1);
    bed.holder.say("played", older);
    assert!(is_refused(&bed.take_up()), "an older list");
    std::thread::sleep(PAUSE);
    bed.holder.say("another", bed.known);
    assert!(is_refused(&bed.take_up()), "of another process");
    std::thread::sleep(PAUSE);
    bed.holder.say("played", bed.known);
    assert_eq!(bed.take_up().status, 200, "the known list");
    let of_later_era = StoreRevision::new(1, 1);
    bed.holder.say("played", of_later_era);
    assert_eq!(bed.take_up().status, 503, "not confirmed in its era");
    std::thread::sleep(PAUSE);
    bed.holder.say("played", bed.known);
    assert!(is_refused(&bed.take_up()), "a list of the earlier era");
}

/// Guards against a query to the holder for each request.
#[test]
fn one_query_for_many() {
    let bed = Bed::start();
    bed.holder.say("played", bed.known);
    assert_eq!(bed.take_up().status, 200);
    let before = bed.holder.queries.lock().expect("queries").len();
    let answers: Vec<Answer> = std::thread::scope(|scope| {
        let requests = (0..24).map(|_| scope.spawn(|| bed.take_up()));
        let requests: Vec<_> = requests.collect();
        let answers = requests.into_iter();
        answers.map(|one| one.join().expect("a caller")).collect()
    });
    assert!(!answers.iter().any(is_refused));
    let queries = bed.holder.queries.lock().expect("queries").len() - before;
    assert!(queries <= 8, "{queries} queries for 24 requests");
}
