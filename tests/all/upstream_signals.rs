//! Signals of upstreams in the heads of their answers: how each is parsed, and in which answers it
//! counts.

use crate::cluster::{self, fetch, list_plain, request, until};
use crate::scrape::metrics;
use crate::signalling::{SignallingAnswer, SignallingServer};
use passway_serving::headers::Headers;
use passway_serving::ports::HeaderProtocol;
use passway_serving::signals::{BackoffSignal, LeavingSignal, UpstreamSignals};
use passway_types::prelude::*;
use passway_users_platform::PlatformHeaders;

fn read(status: u16, lines: &[(&str, &str)]) -> UpstreamSignals {
    let mut headers = Headers::default();
    for (name, value) in lines {
        headers.push(name, *value);
    }
    PlatformHeaders
        .parse_answer(status, &headers, "i-0")
        .signals
}

#[test]
fn read_leaving() {
    let read = |values: &[&str]| {
        let lines: Vec<_> = values.iter().map(|v| ("server-leaving", *v)).collect();
        read(200, &lines).leaving
    };
    assert_eq!(read(&[]), LeavingSignal::Absent);
    assert_eq!(read(&["1"]), LeavingSignal::Leaving);
    assert_eq!(read(&[" 1 "]), LeavingSignal::Leaving);
    assert_eq!(read(&["x", "1"]), LeavingSignal::Leaving);
    for unusable in ["", "0", "true", "11", "1.0", "1,1", "-1"] {
        assert_eq!(read(&[unusable]), LeavingSignal::Unusable, "{unusable:?}");
    }
}

#[test]
fn read_backoff() {
    let read = |status: u16, values: &[&str]| {
        let lines: Vec<_> = values.iter().map(|v| ("retry-after", *v)).collect();
        read(status, &lines).backoff
    };
    let seconds = |s: f64| BackoffSignal::For(Duration::from_secs_f64(s));
    assert_eq!(read(503, &[]), BackoffSignal::Absent);
    assert_eq!(read(503, &["3"]), seconds(3.0));
    assert_eq!(read(429, &["0.25"]), seconds(0.25));
    assert_eq!(read(503, &["0"]), seconds(0.0));
    // The longest readable value counts.
    assert_eq!(read(503, &["2", "x", "3.5", "1"]), seconds(3.5));
    assert_eq!(read(503, &["1e300"]), BackoffSignal::For(Duration::MAX));
    for unusable in ["", "-1", "NaN", "inf", "3 s", "soon"] {
        assert_eq!(
            read(503, &[unusable]),
            BackoffSignal::Unusable,
            "{unusable:?}"
        );
    }
    // Only an answer that refuses a request can ask to back off.
    for status in [200, 202, 404, 421, 500, 504] {
        assert_eq!(read(status, &["3"]), BackoffSignal::Absent, "{status}");
    }
}

/// A date is relative to the date of the answer by the upstream's own clock, even if that clock is
/// wrong.
#[test]
fn read_backoff_as_date() {
    let until = ("Retry-After", "Sun, 06 Nov 1994 08:49:40 GMT");
    let at = |second: &str| format!("Sun, 06 Nov 1994 08:49:{second} GMT");
    let rest = |date: &str| read(503, &[("Date", date), until]).backoff;
    assert_eq!(rest(&at("37")), BackoffSignal::For(Duration::from_secs(3)));
    assert_eq!(rest(&at("41")), BackoffSignal::For(Duration::ZERO));
    // The date is long past by this machine's clock.
    assert_eq!(
        read(503, &[until]).backoff,
        BackoffSignal::For(Duration::ZERO)
    );
}

/// The metrics of an instance show the signals it received, including those of a refusal, and the
/// unreadable ones.
#[test]
fn shown_in_metrics() {
    let server = SignallingServer::start();
    server.set_answer(SignallingAnswer {
        status: 503,
        lines: "Server-Leaving: 1\r\nRetry-After: 60\r\nServer-Limit: x\r\n".to_owned(),
    });
    let store = cluster::store(&[]);
    list_plain(&store, "i-0", server.address(), "ready");
    let instance = cluster::start_ready("one", &store);
    let shows = |line: &str| metrics(&instance).contains(line);
    assert!(shows("\npassway_instance_leaving_upstreams 0\n"));
    assert!(shows("\npassway_instance_resting_upstreams 0\n"));
    let bytes = request("GET", "/read/", "id", "", "");
    fetch(instance.callers_address(), &bytes);
    for line in ["leaving_upstreams 1\n", "resting_upstreams 1\n"] {
        let line = format!("\npassway_instance_{line}");
        until(&line, || shows(&line));
    }
    assert!(!shows("\npassway_instance_rests_total 0\n"));
    assert!(!shows(
        "passway_instance_unusable_words_total{word=\"limit\"} 0\n"
    ));
}
