//! A stream at an engine that falls silent, beside engines that a test adds.

use crate::cluster::{self, Answer, fetch, request, until};
use crate::run_backups::{body, events, scripted_engine, store_with_copies, whole};
use crate::scrape::metrics;
use passway_instance::Instance;
use passway_standins::platform::model_server::{EVENTS, event};
use passway_standins::platform::raw::{Gate, RawServer, Received, Step};
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;
use std::thread::JoinHandle;

/// Events before the silence.
pub const EVENTS_BEFORE: u64 = 2;
/// Longest time for which two engines may work on one request (users' rule TWICE).
pub const MAX_OVERLAP: Duration = Duration::from_millis(400);
/// More time than two engines may work on one request, and than two checks of a silent run take.
pub const LONG_DELAY: Duration = Duration::from_millis(1_200);

/// What an engine does with a request.
pub type Script = fn(&Received) -> Vec<Step>;

/// Where a stream is when its engine falls silent.
#[derive(Debug, Clone, Copy)]
pub enum SilentAt {
    /// Before the head.
    Head,
    /// Between two events.
    EventEnd,
    /// Inside the event after the last complete one.
    InsideEvent,
}

impl SilentAt {
    /// The stream's bytes before and after the silence.
    pub fn split(self, received: &Received) -> [Vec<u8>; 2] {
        let begun = events(received, 1..=EVENTS_BEFORE).len();
        let split_at = match self {
            Self::Head => 0,
            Self::EventEnd => begun,
            Self::InsideEvent => begun + event(EVENTS_BEFORE + 1).len() / 2,
        };
        let mut before = [events(received, 1..=EVENTS), b"0\r\n\r\n".to_vec()].concat();
        let after = before.split_off(split_at);
        [before, after]
    }

    /// The last event before the silence, as a successor is told.
    pub fn last_event_id(self) -> Option<String> {
        (!matches!(self, Self::Head)).then(|| EVENTS_BEFORE.to_string())
    }
}

/// Falls silent until the gate is open, and then sends the rest.
pub fn silent_until(received: &Received, at: SilentAt, go_on: Gate) -> Vec<Step> {
    let [before, after] = at.split(received);
    vec![Step::Send(before), Step::Wait(go_on), Step::Send(after)]
}

/// Sends the events after the last one that the caller has.
pub fn resumed_stream(received: &Received) -> Vec<Step> {
    let last = received.header("last-event-id");
    let last: u64 = last.and_then(|text| text.parse().ok()).unwrap_or(0);
    whole(received, last + 1..=EVENTS)
}

/// Sends nothing until its connection is closed.
pub fn never_answers(_: &Received) -> Vec<Step> {
    vec![Step::Wait(Gate::default())]
}

/// A caller's stream at an engine that falls silent.
pub struct SilentStream {
    pub store: MetadataStandIn,
    pub instance: Instance,
    pub first: RawServer,
    /// Lets the first engine go on.
    pub go_on: Gate,
    caller: Option<JoinHandle<Answer>>,
}

impl SilentStream {
    pub fn start(at: SilentAt) -> Self {
        Self::start_scripted(move |received, go_on| silent_until(received, at, go_on))
    }

    /// Starts a stream whose engine waits for the gate that its script gets.
    pub fn start_scripted(
        script: impl Fn(&Received, Gate) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let store = store_with_copies();
        let instance = cluster::start_ready("one", &store);
        until("a retry to spend", || instance.has_spare_retry("engines"));
        Self::start_on(store, instance, "", script)
    }

    /// Starts a stream with further headers at an instance that has no other engine for it.
    pub fn start_on(
        store: MetadataStandIn,
        instance: Instance,
        headers: &str,
        script: impl Fn(&Received, Gate) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let go_on = Gate::default();
        let gate = go_on.clone();
        let first = scripted_engine(&store, "i-0", move |received| {
            script(received, gate.clone())
        });
        let address = instance.callers_address();
        let headers = format!("Model: m0\r\n{headers}");
        let caller = std::thread::spawn(move || {
            let bytes = request("POST", "/chat/", "s", &headers, "{}");
            fetch(address, &bytes).expect("an answer")
        });
        until("the stream", || !runs(&first).is_empty());
        Self {
            store,
            instance,
            first,
            go_on,
            caller: Some(caller),
        }
    }

    /// Adds an engine that answers by a script.
    pub fn add_engine(
        &self,
        id: &str,
        script: impl Fn(&Received) -> Vec<Step> + Send + Sync + 'static,
    ) -> RawServer {
        let count = self.instance.known_upstream_count();
        let server = scripted_engine(&self.store, id, script);
        until("the engine", || {
            self.instance.known_upstream_count() > count
        });
        server
    }

    /// Waits until a check of the run had this outcome, or the stream has ended.
    pub fn wait_for(&self, outcome: &str) {
        self.wait_for_any(&[outcome]);
    }

    /// Waits until a check of the run had one of these outcomes, or the stream has ended.
    pub fn wait_for_any(&self, outcomes: &[&str]) {
        until(&outcomes.join(" or "), || {
            let mut counts = outcomes
                .iter()
                .map(|outcome| silent_runs(&self.instance, outcome));
            let caller = self.caller.as_ref();
            counts.any(|count| count > 0) || caller.is_none_or(JoinHandle::is_finished)
        });
    }

    /// Lets the first engine go on after this outcome of a check, and asserts that the stream is whole.
    pub fn assert_whole_after(&mut self, outcome: &str, case: &str) {
        self.wait_for(outcome);
        assert_whole(&self.end(), case);
        assert!(silent_runs(&self.instance, outcome) > 0, "{case}");
    }

    /// Lets the first engine go on, and waits for the end of the stream.
    pub fn end(&mut self) -> Answer {
        self.go_on.open();
        let caller = self.caller.take().expect("a stream that has not ended");
        caller.join().expect("a caller")
    }

    /// When the first engine's connection was closed.
    pub fn first_closed_at(&self) -> Instant {
        closed_at(&self.first, &runs(&self.first)[0])
    }
}

/// The requests for streams that an engine received.
pub fn runs(engine: &RawServer) -> Vec<Received> {
    let received = engine.received().into_iter();
    received
        .filter(|one| one.header("model").is_some())
        .collect()
}

/// Waits until the connection of a request is closed, and returns when it was.
pub fn closed_at(engine: &RawServer, run: &Received) -> Instant {
    until("the close", || engine.closed_at(run.connection).is_some());
    engine
        .closed_at(run.connection)
        .expect("a closed connection")
}

/// The only run on an engine, once there is one.
pub fn only_run(engine: &RawServer) -> Received {
    until("a run", || !runs(engine).is_empty());
    let mut runs = runs(engine);
    assert_eq!(runs.len(), 1, "{runs:?}");
    runs.remove(0)
}

/// Number of checks of silent runs with this outcome.
pub fn silent_runs(instance: &Instance, outcome: &str) -> u64 {
    count(
        instance,
        &format!("silent_runs_total{{outcome=\"{outcome}\"}}"),
    )
}

/// Number of retries that the instance has spent and not returned.
pub fn spent_retries(instance: &Instance) -> u64 {
    let [spent, returned] =
        ["spent", "returned"].map(|budget| format!("retries_total{{budget=\"{budget}\"}}"));
    count(instance, &spent) - count(instance, &returned)
}

/// The value of a counter; 0 if there is none.
fn count(instance: &Instance, name: &str) -> u64 {
    let text = metrics(instance);
    let prefix = format!("passway_instance_{name} ");
    let value = text.lines().find_map(|line| line.strip_prefix(&prefix));
    value.map_or(0, |value| value.trim().parse().expect("a number"))
}

pub fn assert_whole(answer: &Answer, case: &str) {
    let state = (answer.status, answer.is_complete);
    assert_eq!(
        (state, &answer.body),
        ((200, true), &body(1..=EVENTS)),
        "{case}"
    );
}
