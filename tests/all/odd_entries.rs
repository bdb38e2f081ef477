//! Another program may leave entries with extreme values among those of the upstreams. On every path
//! that carries the list, instances keep following it, use the other upstreams and never use the
//! entry.

use crate::cluster::{self, fetch, list_plain, plain_server, request, until};
use passway_instance::Instance;
use passway_serving::ports::{
    Directory, SharedStore, StoreChange, StoreRevision, StoredValue, WatchAnswer,
};
use passway_standins::platform::documents::plain_entry;
use passway_standins::platform::process::{InstanceProcess, Output, ProcessConfig};
use passway_standins::platform::raw::{RawServer, Received, Step};
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;
use passway_users_platform::{MetadataStore, PlatformDirectory};
use rustix::process::Signal;
use std::fmt::Write as _;
use std::net::SocketAddr;

/// Depth of nested values: a recursive decoder overflows the stack of a thread.
const DEPTH: usize = 7_000;
/// Requests that each instance gets after it has begun to use a new upstream.
const CHECKED_REQUESTS: usize = 6;

/// Fields and values, in JSON, that make an entry unusable.
const UNUSABLE_FIELDS: [(&str, &str); 24] = [
    ("slots", "-1"),
    ("slots", "4294967296"),
    ("slots", "18446744073709551616"),
    ("slots", "1e400"),
    ("slots", "1.5"),
    ("sequence", "18446744073709551615"),
    ("sequence", "18446744073709551616"),
    ("sequence", "9007199254740992"),
    ("sequence", "-1"),
    ("sequence", "1e308"),
    ("cold_left_ms", "1e400"),
    ("cold_left_ms", "NaN"),
    ("remaining_ms", "-1e400"),
    ("born", "18446744073709551615"),
    ("born", "18446744073709551616"),
    ("born", "9223372036854775808"),
    ("born", "-1"),
    ("born", "1.5"),
    ("address", "\"127.0.0.1:70000\""),
    ("address", "\"127.0.0.1:-1\""),
    ("address", "\"127.0.0.1:0\""),
    ("address", "\"127.0.0.1\""),
    ("models", "[{\"name\": 3}]"),
    ("zone", "\"\\ud800\""),
];

/// Ids that cannot be the value of a header.
const UNUSABLE_IDS: [&str; 4] = ["", "a\r\nx-injected: 1", "a\nb", " "];

/// A deeply nested array.
fn nested() -> String {
    "[".repeat(DEPTH) + &"]".repeat(DEPTH)
}

/// The entry of a plain server in which one field has another value, in JSON.
fn entry_with(address: SocketAddr, field: &str, value: &str) -> Vec<u8> {
    let entry = plain_entry(address);
    let mut text = format!("{{{field:?}: {value}");
    for (name, known) in entry.as_object().expect("an object") {
        if name != field {
            let _ = write!(text, ", {name:?}: {known}");
        }
    }
    (text + "}").into_bytes()
}

/// Unusable entries, each of which names a server that must get no requests.
fn unusable_entries(server: SocketAddr) -> Vec<Vec<u8>> {
    let names = format!("[{}\"a\"]", "\"a\",".repeat(100_000));
    let adapters = format!("[{{\"name\": \"m0\", \"adapters\": {names}}}]");
    let long = [
        ("slots", nested()),
        ("models", nested()),
        ("at_hand", nested()),
        ("models", adapters),
    ];
    let fields = UNUSABLE_FIELDS
        .iter()
        .map(|(name, value)| (*name, (*value).to_owned()));
    let entries = fields
        .chain(long)
        .map(|(field, value)| entry_with(server, field, &value));
    entries
        .chain([
            nested().into_bytes(),
            "{\"a\":".repeat(DEPTH).into_bytes(),
            b"\xff\xfe{".to_vec(),
            Vec::new(),
        ])
        .collect()
}

/// A fleet's list, with a server that must get no requests.
struct OddList {
    store: MetadataStandIn,
    trap: RawServer,
    servers: Vec<RawServer>,
}

impl OddList {
    fn new() -> Self {
        Self {
            store: cluster::store(&["m0"]),
            trap: plain_server(),
            servers: Vec::new(),
        }
    }

    /// Writes all odd entries.
    fn write_odd(&self) {
        for (number, bytes) in unusable_entries(self.trap.address).iter().enumerate() {
            self.store
                .put_bytes(&format!("servers/odd-{number}"), bytes);
        }
        for id in UNUSABLE_IDS {
            list_plain(&self.store, id, self.trap.address, "ready");
        }
    }

    /// Removes half of the odd entries.
    fn remove_odd(&self) {
        for number in (0..unusable_entries(self.trap.address).len()).step_by(2) {
            self.store.remove(&format!("servers/odd-{number}"));
        }
    }

    /// Marks the newest server as leaving, and then lists a new one.
    fn replace_server(&mut self) {
        let server = plain_server();
        let number = self.servers.len();
        if let Some(previous) = self.servers.last() {
            let id = format!("i-{}", number - 1);
            list_plain(&self.store, &id, previous.address, "draining");
        }
        // An instance that uses the new server has read the earlier entry of the leaving one, too.
        list_plain(&self.store, &format!("i-{number}"), server.address, "ready");
        self.servers.push(server);
    }

    /// Checks that each instance uses the newest server and no other.
    fn check(&self, callers_addresses: &[SocketAddr]) {
        let others = || {
            self.servers
                .iter()
                .rev()
                .skip(1)
                .map(|server| server.received().len())
        };
        let newest = self.servers.last().expect("a server");
        let round = self.servers.len();
        let mut requests = 0;
        for (number, address) in callers_addresses.iter().enumerate() {
            let mut fetch_status = || {
                requests += 1;
                let id = format!("r{round}i{number}n{requests}");
                let answer = fetch(*address, &request("GET", "/read/", &id, "", ""));
                (id, answer.map(|answer| answer.status))
            };
            until("the newest server is the only one", || {
                let before: usize = others().sum();
                let (id, status) = fetch_status();
                let is_at = |received: &_| has_id(received, &id);
                status == Some(200)
                    && newest.received().iter().any(is_at)
                    && others().sum::<usize>() == before
            });
            let before: usize = others().sum();
            for _ in 0..CHECKED_REQUESTS {
                assert_eq!(fetch_status().1, Some(200));
            }
            assert_eq!(others().sum::<usize>(), before, "a leaving server is used");
        }
        let trapped = self.trap.received();
        assert!(
            trapped.is_empty(),
            "an odd entry is used: {:?}",
            trapped[0].head
        );
    }
}

fn has_id(received: &Received, id: &str) -> bool {
    received.header("request-id") == Some(id)
}

/// Guards against instances that stop following the list, as relayed by the holder or as read from
/// the store, at an entry that cannot be decoded.
#[test]
fn list_followed() {
    let mut list = OddList::new();
    list.replace_server();
    let start = |name| cluster::start_ready(name, &list.store);
    let early: Vec<_> = ["one", "two", "three"].map(start).into();
    let mut addresses: Vec<_> = early.iter().map(Instance::callers_address).collect();
    list.check(&addresses);
    for step in ["written", "compacted", "removed"] {
        match step {
            "written" => list.write_odd(),
            "compacted" => {
                list.write_odd();
                list.store.compact_history();
            }
            _ => list.remove_odd(),
        }
        list.replace_server();
        list.check(&addresses);
    }
    let late = cluster::start_ready("four", &list.store);
    addresses.push(late.callers_address());
    until("a holder that relays the list", || {
        early.iter().any(|instance| instance.fence().is_some())
    });
    let is_holder = |instance: &&Instance| instance.fence().is_some();
    let holder = early.iter().find(is_holder).map(Instance::callers_address);
    let remaining: Vec<_> = early
        .into_iter()
        .filter(|instance| Some(instance.callers_address()) != holder)
        .collect();
    addresses.retain(|address| Some(*address) != holder);
    list.write_odd();
    list.replace_server();
    list.check(&addresses);
    drop(remaining);
}

/// Guards against a number that is too large in an upstream's own entry, after which the upstream's
/// later entries count as outdated.
#[test]
fn overwritten_entry_recovers() {
    for (field, value) in [
        ("sequence", "18446744073709551615"),
        ("born", "18446744073709551615"),
        ("address", "\"127.0.0.1:0\""),
        ("slots", "4294967295"),
    ] {
        let store = cluster::store(&["m0"]);
        let (own, trap) = (plain_server(), plain_server());
        list_plain(&store, "i-0", own.address, "ready");
        let instance = cluster::start_ready("one", &store);
        let status = || {
            let answer = fetch(
                instance.callers_address(),
                &request("GET", "/read/", "a", "", ""),
            );
            answer.map(|answer| answer.status)
        };
        until("the upstream is used", || status() == Some(200));
        store.put_bytes("servers/i-0", &entry_with(trap.address, field, value));
        until("the odd entry is in force", || {
            status() == Some(503) || !trap.received().is_empty()
        });
        let requests_before = own.received().len();
        list_plain(&store, "i-0", own.address, "ready");
        until("the upstream is used again", || {
            let _ = status();
            own.received().len() > requests_before
        });
        assert!(trap.received().is_empty(), "{field}: {value}");
    }
}

/// Items of the store's answers of which one part cannot be decoded.
fn unreadable_items() -> Vec<(&'static str, Vec<u8>)> {
    let text = |value: &str, revision: &str| {
        format!("{{\"tls_key\":\"servers/odd\",\"value\":{value},\"revision\":{revision}}}")
    };
    let nested = nested();
    let unknown = text("\"e30=\"", &format!("3,\"unknown\":{nested}"));
    vec![
        ("base64", text("\"!!\"", "3").into()),
        ("no text", text("7", "3").into()),
        ("nested value", text(&nested, "3").into()),
        ("nested unknown field", unknown.into()),
        (
            "large revision",
            text("\"e30=\"", "18446744073709551616").into(),
        ),
        ("negative revision", text("\"e30=\"", "-3").into()),
        ("no object", b"[1]".to_vec()),
        ("no key", b"{\"value\":\"e30=\",\"revision\":3}".to_vec()),
        (
            "surrogate",
            b"{\"tls_key\":\"\\ud800\",\"value\":\"\",\"revision\":3}".to_vec(),
        ),
        (
            "bytes",
            b"{\"tls_key\":\"servers/\xff\",\"value\":\"\",\"revision\":3}".to_vec(),
        ),
    ]
}

/// A store that answers every call with this body.
fn store_with(body: Vec<u8>) -> MetadataStore {
    let server = RawServer::start(move |_| {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        vec![Step::Send([head.as_bytes(), &body].concat())]
    });
    MetadataStore::new(server.address)
}

/// Guards against a page or a watch that is lost as a whole because one of its items cannot be
/// decoded.
#[test]
fn unreadable_item_alone() {
    let good = b"{\"tls_key\":\"servers/good\",\"value\":\"e30=\",\"revision\":2}".to_vec();
    let is_good = |value: &StoredValue| value.key == "servers/good" && *value.value == *b"{}";
    let is_usable = |value: &StoredValue| {
        PlatformDirectory
            .decode_upstream(value, Instant::now())
            .is_ok()
    };
    let mut failed = Vec::new();
    for (name, odd) in unreadable_items() {
        let answer = |field: &str| {
            let begin = format!("{{\"{field}\":[").into_bytes();
            let end = format!(
                "],\"has_more\":false,\"store_revision\":9,\"more\":{}}}",
                nested()
            );
            store_with([begin, odd.clone(), b",".to_vec(), good.clone(), end.into()].concat())
        };
        let page = answer("items").list_page("servers/", None);
        let text = format!("{name}: {page:?}");
        let listed = page.map(|page| page.values).unwrap_or_default();
        let watch = answer("events").watch(
            "servers/",
            StoreRevision::new(0, 1),
            Duration::from_millis(100),
        );
        let text = format!("{text}, {watch:?}");
        let watched = match watch {
            Ok(WatchAnswer::Changes { changes, .. }) => changes,
            _ => Vec::new(),
        };
        let is_good_change =
            |change: &StoreChange| matches!(change, StoreChange::Written(value) if is_good(value));
        let is_right = listed.iter().any(is_good) && watched.iter().any(is_good_change);
        if !is_right || listed.iter().any(is_usable) {
            failed.push(text);
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against instances that exit, or that stop following the list, when odd entries come and go
/// while instances are killed and started again.
#[test]
fn processes_live() {
    for instances in [3, 6] {
        let mut list = OddList::new();
        list.replace_server();
        let address = list.store.serve();
        let start = |number| {
            InstanceProcess::start(ProcessConfig {
                executable: env!("CARGO_BIN_EXE_passway-instance").into(),
                name: format!("odd-{instances}-{number}"),
                store: address,
                grace_s: 8.0,
                arguments: Vec::new(),
                output: Output::Null,
            })
            .expect("an instance")
        };
        let mut programs: Vec<_> = (0..instances).map(start).collect();
        let addresses: Vec<_> = programs
            .iter()
            .map(|program| program.callers_address)
            .collect();
        let await_readiness = |program: &InstanceProcess| {
            until("readiness", || program.readiness_status() == Some(200));
        };
        programs.iter().for_each(await_readiness);
        list.check(&addresses);
        for killed in 0..instances {
            list.write_odd();
            programs[killed].signal(Signal::KILL);
            programs[killed]
                .child
                .wait()
                .expect("the exit of a killed instance");
            programs[killed].restart().expect("an instance");
            await_readiness(&programs[killed]);
            list.replace_server();
            list.check(&addresses);
            list.remove_odd();
            for program in &mut programs {
                let exited = program.child.try_wait().expect("the state of an instance");
                assert_eq!(exited, None, "an instance exits by itself");
            }
        }
    }
}
