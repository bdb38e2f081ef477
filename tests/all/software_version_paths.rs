//! All ways on which a stream goes on keep to the software version that began it: successors, copies,
//! other instances, dispatchers, restarts of engines, and callers that come back.

use crate::cluster::{self, Answer, fetch, list_plain, plain_server, request, until};
use crate::cut_off_cluster::{Paths, start_behind};
use crate::dispatcher_queries::{dispatcher_granting, test_bed_of};
use crate::passed_on_requests::wait_until_passed_on;
use crate::run_backups::store_with_copies;
use crate::software_versions::{
    BrokenStream, REFUSAL_LIMIT, STREAMS, break_off, engine, new_id, send, slow_down, versions,
};
use passway_instance::Instance;
use passway_standins::platform::cut_path::PathState;
use passway_standins::platform::model_server::{
    FIRST_SOFTWARE, Faults, InitialModels, ModelServer,
};
use passway_standins::platform::proxy::Proxy;
use passway_standins::platform::raw::RawServer;
use passway_standins::platform::store::{self, MetadataStandIn, StoreEndpoint};
use passway_types::prelude::*;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::thread::JoinHandle;

/// Fewest streams that go on while their version serves: half of those that began (users' rule LOST).
const MIN_GOING_ON: usize = STREAMS / 2;
/// Streams that are taken up while a take-up may wait for an engine.
const STREAMS_THAT_WAIT: usize = 3;
/// Streams in progress at the same time.
const PARALLEL: usize = 6;
/// Longer than the silence after which a stream gets a successor.
const SILENCE: Duration = Duration::from_secs(2);
/// How long the entry of an engine's new process takes to arrive.
const ENTRY_DELAY: Duration = Duration::from_millis(200);
/// Delay of each event of a stream that a test interrupts.
const LONG_EVENT_DELAY: Duration = Duration::from_millis(300);
/// A fleet that has dispatchers.
const LARGE_FLEET: usize = 16;

/// The software versions in this order, on engines `i-0`, `i-1` and so on.
fn engines(store: &MetadataStandIn, software: &[&str]) -> Vec<ModelServer> {
    let numbered = software.iter().enumerate();
    let engines =
        numbered.map(|(number, software)| engine(store, &format!("i-{number}"), software));
    engines.collect()
}

/// Makes streams so slow that a test can interrupt them.
fn slow() -> Faults {
    Faults {
        event_delay: LONG_EVENT_DELAY,
        ..Faults::default()
    }
}

/// Makes an engine break the next stream off.
fn cut_next(engine: &ModelServer) {
    engine.set_faults(Faults {
        cut_after_events: Some(2),
        ..Faults::default()
    });
}

fn slow_down_all(engines: &[ModelServer]) {
    slow_down(&engines.iter().collect::<Vec<_>>());
}

/// Takes streams up and returns how many go on; the others are refused with a time to return, or with
/// the reason for which the caller has to begin anew.
///
/// # Panics
/// If another version than the first one wrote to a stream.
fn count_resumed(streams: &[BrokenStream], instance: &Instance) -> usize {
    let went_on = streams.iter().filter(|stream| {
        let rest = stream.take_up(instance);
        let went_on = stream.goes_on_with(&rest);
        let told = ["retry-after", "resume-refused"].map(|name| rest.header(name).is_some());
        let is_refused = rest.status == 503 && told.contains(&true);
        assert!(went_on || is_refused, "{}", rest.head);
        went_on
    });
    went_on.count()
}

/// Takes streams up whose version is unknown, or does not serve as soon as the instance knows that its
/// engines have left: all are refused at once.
fn assert_refused(streams: &[BrokenStream], instance: &Instance) {
    until("a refusal", || count_resumed(&streams[..1], instance) == 0);
    for stream in streams {
        let began_at = Instant::now();
        assert_eq!(count_resumed(std::slice::from_ref(stream), instance), 0);
        let refused_after = began_at.elapsed();
        assert!(refused_after < REFUSAL_LIMIT, "{refused_after:?}");
    }
}

/// An instance that a test loses with all that it knows.
struct LostInstance {
    instance: Instance,
    store: StoreEndpoint,
}

impl LostInstance {
    fn start(name: &str, store: &MetadataStandIn) -> Self {
        let store = store.serve_endpoint();
        let instance = cluster::start_at(name, store.address());
        until("streams may begin", || {
            versions(&send(&instance, &new_id(), "")).len() == 1
        });
        Self { instance, store }
    }

    /// Ends the instance; it writes nothing more.
    fn lose(&self) {
        self.store.set_faults(store::Faults {
            error_status: Some(503),
            ..store::Faults::default()
        });
        self.instance.stop();
    }
}

/// Begins streams with new ids.
fn begin(instance: &Instance) -> Vec<BrokenStream> {
    let begun = (0..STREAMS).map(|_| BrokenStream::try_begin(instance, &new_id()));
    begun.map(|stream| stream.expect("a stream")).collect()
}

/// Begins streams once both versions begin some.
fn begin_at_both(instance: &Instance) -> Vec<BrokenStream> {
    until_begun_at(&["v1", "v2"], instance);
    let streams = begin(instance);
    let begun_at: BTreeSet<&str> = streams.iter().map(|stream| &*stream.software).collect();
    assert_eq!(begun_at.len(), 2, "both versions begin streams");
    streams
}

/// Waits until the instance begins streams at these versions.
fn until_begun_at(software: &[&str], instance: &Instance) {
    let expected: BTreeSet<String> = software.iter().map(ToString::to_string).collect();
    until("streams at these versions", || {
        let answers = (0..6).map(|_| versions(&send(instance, &new_id(), "")));
        answers.flatten().collect::<BTreeSet<_>>() == expected
    });
}

/// Takes an engine out of service.
fn remove(store: &MetadataStandIn, engine: &ModelServer) {
    engine.publish_entry("draining");
    std::thread::sleep(Duration::from_millis(100));
    store.remove(&format!("servers/{}", engine.id));
}

/// Streams in progress at the same time.
struct ParallelStreams(Vec<JoinHandle<Answer>>);

impl ParallelStreams {
    /// Begins streams, and waits until these engines run them.
    fn begin(instance: &Instance, engines: &[ModelServer]) -> Self {
        let runs = || engines.iter().flat_map(ModelServer::executed_ids).count();
        let before = runs();
        until("a retry to spend", || instance.has_spare_retry("engines"));
        let address = instance.callers_address();
        let stream = |id: String| {
            let bytes = request("POST", "/chat/", &id, "Model: m0\r\n", &id);
            std::thread::spawn(move || fetch(address, &bytes).expect("an answer"))
        };
        let streams = (0..PARALLEL).map(|_| stream(new_id())).collect();
        until("the streams", || runs() >= before + PARALLEL);
        Self(streams)
    }

    /// Waits for the ends; returns how many streams are whole.
    ///
    /// # Panics
    /// If two versions wrote to a stream.
    fn whole(self) -> usize {
        let answers = self
            .0
            .into_iter()
            .map(|stream| stream.join().expect("a caller"));
        let answers: Vec<Answer> = answers.collect();
        let joined = answers.iter().filter(|answer| versions(answer).len() > 1);
        assert_eq!(joined.count(), 0, "joined streams of {}", answers.len());
        answers
            .iter()
            .filter(|answer| answer.status == 200 && answer.is_complete)
            .count()
    }
}

/// A stream of an engine that fell silent went on at a successor of another software version, or did
/// not go on although another engine of its version served.
#[test]
fn successor_has_its_version() {
    for others in [&["v2"][..], &["v2", "v1"]] {
        let store = cluster::store(&["m0"]);
        let first = engine(&store, "first", "v1");
        first.set_faults(slow());
        let instance = cluster::start_ready("one", &store);
        let streams = ParallelStreams::begin(&instance, std::slice::from_ref(&first));
        let others = engines(&store, others);
        until("the engines", || {
            instance.known_upstream_count() > others.len()
        });
        std::thread::sleep(LONG_EVENT_DELAY);
        first.listener().fall_silent(SILENCE);
        assert_eq!(streams.whole(), PARALLEL);
        let successors = others.last().expect("an engine").executed_ids().len();
        assert_eq!(successors > 0, others.len() == 2, "{successors} successors");
    }
}

/// A stream that must not be repeated went on with the copy of its run at another software version, or
/// had no copy although another engine of its version served.
#[test]
fn copy_has_its_version() {
    for others in [&["v2"][..], &["v2", "v1"]] {
        let store = store_with_copies();
        let first = engine(&store, "first", "v1");
        let has_equal = others.len() == 2;
        let _others = engines(&store, others);
        let instance = cluster::start_ready("one", &store);
        for _ in 0..STREAMS {
            until("a retry to spend", || instance.has_spare_retry("engines"));
            cut_next(&first);
            let headers = "Model: m0\r\nToken-Usage: 100,20\r\n";
            let bytes = request("POST", "/report/", &new_id(), headers, "{}");
            let answer = fetch(instance.callers_address(), &bytes).expect("an answer");
            assert_eq!(
                (answer.status, versions(&answer).len()),
                (200, 1),
                "{}",
                answer.body
            );
            assert!(answer.is_complete || !has_equal, "{}", answer.body);
        }
        assert!(!first.executed_ids().is_empty());
    }
}

/// Instances before engines of two versions.
struct Zone {
    store: MetadataStandIn,
    engines: Vec<ModelServer>,
    _plain: RawServer,
}

impl Zone {
    fn start(faults: &Faults) -> Self {
        let store = cluster::store(&["m0"]);
        let plain = plain_server();
        list_plain(&store, "p-0", plain.address, "ready");
        let engines = engines(&store, &["v1", "v2"]);
        for engine in &engines {
            engine.set_faults(faults.clone());
        }
        Self {
            store,
            engines,
            _plain: plain,
        }
    }

    /// Starts an instance that reaches the upstreams, and is the holder.
    fn start_holder(&self) -> Instance {
        let holder = cluster::start_ready("other", &self.store);
        until("the holder", || holder.fence().is_some());
        holder
    }

    /// Starts an instance before paths that can be cut.
    fn start_behind(&self, name: &str, others: usize) -> (Instance, Arc<Paths>) {
        let (instance, paths) = start_behind(name, &self.store, |_| {});
        until("the others", || instance.other_instance_count() == others);
        (instance, paths)
    }
}

/// An instance that was cut off from the upstreams passed take-ups on to another one, which sent them
/// to any version.
#[test]
fn take_up_passed_on() {
    let zone = Zone::start(&Faults::default());
    let holder = zone.start_holder();
    let (cut, paths) = zone.start_behind("cut", 1);
    slow_down_all(&zone.engines);
    let streams = [&cut, &holder].map(begin_at_both);
    paths.set(PathState::Reset);
    wait_until_passed_on(&cut);
    for streams in &streams {
        assert!(count_resumed(streams, &cut) >= MIN_GOING_ON);
    }
}

/// Streams of an instance that was cut off, before or after their first event, went on through another
/// instance at any version.
#[test]
fn cut_off_in_the_middle() {
    for wait in [LONG_EVENT_DELAY / 3, LONG_EVENT_DELAY * 5 / 2] {
        let zone = Zone::start(&slow());
        let _holder = zone.start_holder();
        let (cut, paths) = zone.start_behind("cut", 1);
        let streams = ParallelStreams::begin(&cut, &zone.engines);
        std::thread::sleep(wait);
        paths.set(PathState::Reset);
        streams.whole();
    }
}

/// Streams that came through another instance went on, once that one had lost its upstreams too, through
/// a third one at any version.
#[test]
fn peer_cut_off_in_the_middle() {
    let zone = Zone::start(&slow());
    let (peer, peer_paths) = zone.start_behind("peer", 0);
    until("the holder", || peer.fence().is_some());
    let (cut, paths) = zone.start_behind("cut", 1);
    paths.set(PathState::Reset);
    wait_until_passed_on(&cut);
    let streams = ParallelStreams::begin(&cut, &zone.engines);
    let _third = cluster::start_ready("third", &zone.store);
    until("the third instance", || cut.other_instance_count() == 2);
    std::thread::sleep(LONG_EVENT_DELAY);
    peer_paths.set(PathState::Reset);
    streams.whole();
}

/// A dispatcher that does not look at versions granted a take-up an engine of another one.
#[test]
fn grant_of_another_version() {
    for [begun, granted] in [["i-0", "i-1"], ["i-1", "i-0"]] {
        let engine = Arc::new(Mutex::new(begun));
        let dispatcher = dispatcher_granting(engine.clone());
        let software = ["v1", "v2"];
        let test_bed = test_bed_of(cluster::store(&["m0"]), software, &[Some(dispatcher)]);
        slow_down_all(&test_bed.servers);
        let streams = begin(&test_bed.instance);
        *engine.lock().expect("a lock") = granted;
        count_resumed(&streams, &test_bed.instance);
    }
}

/// The dispatcher of a fleet chose engines of any version for callers that came back.
#[test]
fn dispatcher_knows_the_version() {
    let test_bed = test_bed_of(cluster::store(&["m0"]), ["v1", "v2"], &[None]);
    slow_down_all(&test_bed.servers);
    let streams = begin_at_both(&test_bed.instance);
    assert!(count_resumed(&streams, &test_bed.instance) >= MIN_GOING_ON);
}

/// In a fleet with dispatchers, callers that came back at another instance got the rest from any version.
#[test]
fn large_fleet_knows_the_version() {
    let store = cluster::store(&["m0"]);
    let engines = engines(&store, &["v1", "v2", "v1", "v2"]);
    let names = (0..LARGE_FLEET).map(|number| format!("n-{number}"));
    let fleet: Vec<Instance> = names.map(|name| cluster::start(&name, &store)).collect();
    // The holder, which knows all engines, asks no dispatcher.
    let has_dispatcher = |one: &Instance| one.dispatcher_count() > 0 || one.fence().is_some();
    until("dispatchers", || fleet.iter().all(has_dispatcher));
    slow_down_all(&engines);
    let streams = begin_at_both(&fleet[0]);
    let went_on = streams
        .chunks(1)
        .zip(&fleet[1..])
        .map(|(one, other)| count_resumed(one, other));
    assert!(went_on.sum::<usize>() >= MIN_GOING_ON);
}

/// An engine behind an address that can be given to another one.
struct Address {
    store: MetadataStandIn,
    proxy: Proxy,
    /// The store of the engine that has the address now; its entry is not known to instances.
    unlisted: MetadataStandIn,
    first: ModelServer,
}

impl Address {
    fn start(id: &str, software: &str) -> Self {
        let store = cluster::store(&["m0"]);
        let unlisted = MetadataStandIn::default();
        let (proxy, first) = Self::engine(&unlisted, id, software, Proxy::start);
        let address = Self {
            store,
            proxy,
            unlisted,
            first,
        };
        address.list(id);
        address
    }

    fn engine(
        store: &MetadataStandIn,
        id: &str,
        software: &str,
        proxy_to: impl FnOnce(std::net::SocketAddr) -> Proxy,
    ) -> (Proxy, ModelServer) {
        let mut proxy = None;
        let models = InitialModels {
            capacity: 1,
            loaded: &["m0"],
            on_disk: &[],
        };
        let engine = ModelServer::start_behind(store, id, "engines", models, |target| {
            proxy.insert(proxy_to(target)).address
        });
        engine.set_software(software);
        engine.publish_entry("ready");
        slow_down(&[&engine]);
        (proxy.expect("a proxy"), engine)
    }

    /// Starts another engine at the address, whose entry is not listed yet, and ends the first one.
    fn replace(&self, id: &str, software: &str) -> ModelServer {
        let (_, engine) = Self::engine(&self.unlisted, id, software, |target| {
            self.proxy.set_target(target);
            self.proxy.clone()
        });
        if id == self.first.id {
            // Its start is later than the first one's.
            engine.leave(Duration::ZERO);
            until("the restart", || engine.restart_bodies().len() == 1);
            let entry = || self.unlisted.get(&format!("servers/{id}"));
            let before = entry();
            until("the new entry", || entry() != before);
        }
        self.proxy.reset_connections();
        engine
    }

    /// Lists the entry of the engine with this id.
    fn list(&self, id: &str) {
        let key = format!("servers/{id}");
        let entry = self.unlisted.get(&key).expect("an entry");
        self.store.put_bytes(&key, &entry);
    }
}

/// An engine had started again under its id with another software version, and instances knew only the
/// entry of its earlier start: streams of that start went on at the new one.
#[test]
fn restart_with_an_old_entry() {
    let address = Address::start("i-0", "v1");
    let instance = cluster::start_ready("one", &address.store);
    let streams = begin(&instance);
    let restarted = address.replace("i-0", "v2");
    let second = cluster::start_ready("two", &address.store);
    for instance in [&instance, &second] {
        // The old entry names an engine of the version, so that a request to resume may wait for it.
        assert_eq!(count_resumed(&streams[..STREAMS_THAT_WAIT], instance), 0);
    }
    let at_new = (0..STREAMS_THAT_WAIT).find_map(|_| BrokenStream::try_begin(&instance, &new_id()));
    assert!(
        at_new.is_none(),
        "a stream began before the entry was known"
    );
    let _equal_to_old = engine(&address.store, "i-1", FIRST_SOFTWARE);
    until("the second engine", || instance.known_upstream_count() == 2);
    address.list("i-0");
    restarted.publish_entry("draining");
    address.list("i-0");
    until_begun_at(&["v1"], &instance);
    for instance in [&instance, &second] {
        count_resumed(&streams, instance);
    }
}

/// Streams began at a new start while instances knew only the entry of the start before, and went on at
/// another engine with the version in that entry.
#[test]
fn begun_before_the_entry() {
    let address = Address::start("i-0", "v1");
    let instance = cluster::start_ready("one", &address.store);
    begin(&instance);
    let _restarted = address.replace("i-0", "v2");
    let at_new = (0..STREAMS).filter_map(|_| BrokenStream::try_begin(&instance, &new_id()));
    let at_new: Vec<BrokenStream> = at_new.collect();
    let _equal_to_old = engine(&address.store, "i-1", FIRST_SOFTWARE);
    until("the second engine", || instance.known_upstream_count() == 2);
    let second = cluster::start_ready("two", &address.store);
    for instance in [&second, &instance] {
        count_resumed(&at_new, instance);
    }
}

/// A request reached an engine's new process before its entry did, and the entry arrived before the first
/// event: the stream was resumed at the version of the old entry.
#[test]
fn first_event_after_entry_of_new_start() {
    let address = Address::start("i-0", "v1");
    let instance = cluster::start_ready("one", &address.store);
    let restarted = address.replace("i-0", "v2");
    restarted.set_faults(Faults {
        event_delay: ENTRY_DELAY * 6,
        ..Faults::default()
    });
    let begun = std::thread::scope(|scope| {
        let stream = scope.spawn(|| BrokenStream::try_begin(&instance, &new_id()));
        std::thread::sleep(ENTRY_DELAY);
        address.list("i-0");
        stream.join().expect("a caller").expect("a stream")
    });
    assert_eq!(begun.software, "v2");
    restarted.set_faults(Faults::default());
    let _equal_to_old = engine(&address.store, "i-1", FIRST_SOFTWARE);
    until("the second engine", || instance.known_upstream_count() == 2);
    count_resumed(&[begun], &instance);
}

/// The same in one answer: the run at the new process broke off, and was repeated at the version of the
/// old entry.
#[test]
fn retry_after_entry_of_new_start() {
    let address = Address::start("i-0", "v1");
    let instance = cluster::start_ready("one", &address.store);
    until("a retry to spend", || instance.has_spare_retry("engines"));
    let restarted = address.replace("i-0", "v2");
    restarted.set_faults(Faults {
        event_delay: ENTRY_DELAY * 6,
        cut_after_events: Some(2),
        ..Faults::default()
    });
    let (answer, _equal_to_old) = std::thread::scope(|scope| {
        let stream = scope.spawn(|| send(&instance, &new_id(), ""));
        std::thread::sleep(ENTRY_DELAY);
        address.list("i-0");
        std::thread::sleep(ENTRY_DELAY * 3);
        let other = engine(&address.store, "i-1", FIRST_SOFTWARE);
        (stream.join().expect("a caller"), other)
    });
    let written: Vec<String> = versions(&answer).into_iter().collect();
    assert_eq!(written, ["v2"], "{} {}", answer.status, answer.body);
}

/// An engine restarted with another version under its id while instances still knew its old entry. The
/// instance with its streams was lost, and they were resumed at the engine's previous version.
#[test]
fn lost_with_an_old_entry() {
    let address = Address::start("i-0", "v1");
    let lost = LostInstance::start("one", &address.store);
    begin(&lost.instance);
    let _restarted = address.replace("i-0", "v2");
    let at_new = (0..STREAMS).filter_map(|_| BrokenStream::try_begin(&lost.instance, &new_id()));
    let at_new: Vec<BrokenStream> = at_new.collect();
    lost.lose();
    let _equal_to_old = engine(&address.store, "i-1", FIRST_SOFTWARE);
    address.list("i-0");
    let second = cluster::start_ready("two", &address.store);
    count_resumed(&at_new, &second);
}

/// Streams broke off because their engine started again with another software version, and were repeated
/// at the new start.
#[test]
fn restart_in_the_middle() {
    for is_listed in [false, true] {
        let address = Address::start("i-0", "v1");
        let instance = cluster::start_ready("one", &address.store);
        address.first.set_faults(slow());
        let streams = ParallelStreams::begin(&instance, std::slice::from_ref(&address.first));
        std::thread::sleep(LONG_EVENT_DELAY);
        let _restarted = address.replace("i-0", "v2");
        if is_listed {
            address.list("i-0");
        }
        streams.whole();
    }
}

/// The address of an engine that had left was given to an engine of another version, while instances
/// knew the entry of the first one, of both, or of the second one.
#[test]
fn address_of_another_engine() {
    let address = Address::start("i-0", "v1");
    let instance = cluster::start_ready("one", &address.store);
    let streams = begin(&instance);
    let _other = address.replace("i-9", "v2");
    assert_eq!(count_resumed(&streams[..STREAMS_THAT_WAIT], &instance), 0);
    address.list("i-9");
    until("the second entry", || instance.known_upstream_count() == 2);
    assert_eq!(count_resumed(&streams[..STREAMS_THAT_WAIT], &instance), 0);
    address.store.remove("servers/i-0");
    until_begun_at(&["v2"], &instance);
    let second = cluster::start_ready("two", &address.store);
    for instance in [&instance, &second] {
        assert_refused(&streams, instance);
    }
}

/// The store had returned from a copy that knew one version alone, and all instances had lost their
/// memory: streams of the other version went on at the one that the store knew, or the reverse.
#[test]
fn store_returned_without_versions() {
    for leaving in [None, Some(0), Some(1)] {
        let store = cluster::store(&["m0"]);
        let old = engine(&store, "i-0", "v1");
        let first = LostInstance::start("one", &store);
        std::thread::sleep(Duration::from_secs(1));
        let copy = store.copy();
        let new = engine(&store, "i-1", "v2");
        let engines = [old, new];
        slow_down_all(&engines);
        let streams = begin_at_both(&first.instance);
        first.lose();
        store.return_from(&copy);
        for (number, engine) in engines.iter().enumerate() {
            if leaving == Some(number) {
                store.remove(&format!("servers/{}", engine.id));
            } else {
                engine.publish_entry("ready");
            }
        }
        let second = cluster::start_ready("two", &store);
        count_resumed(&streams, &second);
        std::thread::sleep(Duration::from_secs(1));
        count_resumed(&streams, &second);
    }
}

/// A version left and came back after another one had served alone: streams of the other one went on at
/// the first.
#[test]
fn version_left_and_came_back() {
    let store = cluster::store(&["m0"]);
    let old = engine(&store, "i-0", "v1");
    slow_down(&[&old]);
    let instance = cluster::start_ready("one", &store);
    let at_v1 = begin(&instance);
    let new = engine(&store, "i-1", "v2");
    remove(&store, &old);
    until_begun_at(&["v2"], &instance);
    slow_down(&[&new]);
    let at_v2 = begin(&instance);
    let second = cluster::start_ready("two", &store);
    for instance in [&instance, &second] {
        assert_refused(&at_v1, instance);
    }
    let _again = engine(&store, "i-2", "v1");
    remove(&store, &new);
    until_begun_at(&["v1"], &instance);
    let third = cluster::start_ready("three", &store);
    for instance in [&instance, &second, &third] {
        assert_refused(&at_v2, instance);
        assert!(count_resumed(&at_v1, instance) >= MIN_GOING_ON);
    }
}

/// The store was away while callers came back: their streams went on at any version, or they were held.
#[test]
fn store_away() {
    let refusing = store::Faults {
        error_status: Some(503),
        ..store::Faults::default()
    };
    let silent = store::Faults {
        is_silent: true,
        ..store::Faults::default()
    };
    for faults in [refusing, silent] {
        let store = cluster::store(&["m0"]);
        let engines = engines(&store, &["v1", "v2", "v1"]);
        slow_down_all(&engines);
        let first = cluster::start_ready("one", &store);
        let streams = begin_at_both(&first);
        // Without the share that a holder tells, the retries earned by the streams end after the first cut.
        until("a share of retries", || first.knows_instance_count());
        let second = cluster::start_ready("two", &store);
        store.set_faults(faults);
        for _ in 0..PARALLEL {
            until("a retry to spend", || first.has_spare_retry("engines"));
            cut_next(&engines[0]);
            let answer = send(&first, &new_id(), "");
            let is_whole = answer.status == 200 && answer.is_complete;
            assert!(is_whole && versions(&answer).len() == 1, "{answer:?}");
        }
        assert!(count_resumed(&streams, &first) >= MIN_GOING_ON);
        // An instance that has just started knows none of these streams.
        assert_refused(&streams[..STREAMS_THAT_WAIT], &second);
        store.set_faults(store::Faults::default());
        until("streams that go on", || {
            count_resumed(&streams, &second) >= MIN_GOING_ON
        });
    }
}

/// A caller whose second attempt broke off, too, got the rest of the third one from another version.
#[test]
fn taken_up_twice() {
    let store = cluster::store(&["m0"]);
    let engines = engines(&store, &["v1", "v2"]);
    slow_down_all(&engines);
    let [first, second, third] =
        ["one", "two", "three"].map(|name| cluster::start_ready(name, &store));
    let mut went_on = 0;
    for stream in begin_at_both(&first) {
        let headers = |event: u64| format!("Last-Event-Id: {event}\r\nResumes: {}\r\n", stream.id);
        let Some(writers) = break_off(&second, &new_id(), &headers(2), 1) else {
            continue;
        };
        assert_eq!(writers[0], stream.software, "the second attempt");
        let rest = send(&third, &new_id(), &headers(3));
        let is_joined = versions(&rest)
            .iter()
            .any(|software| *software != stream.software);
        assert!(
            !is_joined,
            "began at {}, goes on at {:?}",
            stream.software,
            versions(&rest)
        );
        went_on += usize::from(rest.status == 200 && rest.is_complete);
    }
    assert!(went_on >= MIN_GOING_ON, "{went_on} went on");
}
