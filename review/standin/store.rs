//! The platform's metadata store, by PROTOCOL.md of the users' pages.

use crate::http::{Message, Wire, answer_bytes, listen};
use crate::json::{self, Json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Contents of the store from which it can return.
#[derive(Clone)]
pub struct Copy {
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    revision: u64,
    last_lease: u64,
}

#[derive(Clone)]
struct Item {
    /// In base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Key, revision, and the item unless it was removed.
    history: Vec<(String, u64, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    revision: u64,
    last_lease: u64,
    /// The revision after which changes are known.
    compacted_to: u64,
    /// How often the store has returned from an older copy.
    era: u64,
    is_away: bool,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"tls_key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map(|item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created: created.unwrap_or(self.revision),
            lease,
        };
        self.history
            .push((key.to_owned(), self.revision, Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((key.to_owned(), self.revision, None));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let is_known = self.leases.remove(&lease).is_some();
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.remove(&key);
        }
        is_known
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, until))| *until <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }
}

impl Store {
    pub fn start() -> (Self, SocketAddr) {
        let store = Self::default();
        let served = store.clone();
        let address = listen(SocketAddr::from(([127, 0, 0, 1], 0)), move |mut wire: Wire| {
            while let Ok(Some(request)) = wire.request() {
                let era = served.state().era;
                let (mut status, body) = served.handle(&request);
                let now = served.state().era.to_string();
                if now != era.to_string() {
                    // The copy does not know what the call has done.
                    status = 503;
                }
                let json = [("Content-Type", "application/json"), ("Store-Era", now.as_str())];
                if wire.send(&answer_bytes(status, &json, body.as_bytes())).is_err() {
                    return;
                }
            }
        });
        (store, address)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let mut state = self.0.0.lock().expect("locking the store");
        state.expire();
        state
    }

    /// Writes a value as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state();
        state.revision += 1;
        state.put(key, json::base64(value.as_bytes()), 0);
        drop(state);
        self.0.1.notify_all();
    }

    /// The value of a key, as text; empty without the key.
    pub fn get(&self, key: &str) -> String {
        let value = self.state().items.get(key).map(|item| item.value.clone());
        let bytes = json::from_base64(&value.unwrap_or_default());
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Copies the contents.
    pub fn copy(&self) -> Copy {
        let state = self.state();
        Copy {
            items: state.items.clone(),
            leases: state.leases.clone(),
            revision: state.revision,
            last_lease: state.last_lease,
        }
    }

    /// Is away for a while and returns from a copy, as a new era. What was written since is gone;
    /// revisions and leases are given out again, and the leases of the copy run for their time again.
    pub fn return_from(&self, copy: &Copy, away: Duration) {
        self.state().is_away = true;
        std::thread::sleep(away);
        let mut state = self.state();
        state.items.clone_from(&copy.items);
        state.leases.clone_from(&copy.leases);
        for (ttl, until) in state.leases.values_mut() {
            *until = Instant::now() + *ttl;
        }
        state.revision = copy.revision;
        state.last_lease = copy.last_lease;
        state.history.clear();
        state.compacted_to = copy.revision;
        state.era += 1;
        state.is_away = false;
        drop(state);
        self.0.1.notify_all();
    }

    fn handle(&self, request: &Message) -> (u16, String) {
        if self.state().is_away {
            return (503, "{}".to_owned());
        }
        match (request.method(), request.path()) {
            ("GET", "/kv-key") => self.read_key(&request.query("tls_key")),
            ("GET", "/kv-range") => self.read_range(&request.query("prefix")),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.transact(&request.body),
            ("POST", "/kv-lease") => self.grant(&request.body),
            ("POST", path) if path.starts_with("/kv-keep/") => self.renew(path),
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease = path.rsplit('/').next().and_then(|text| text.parse().ok());
                let is_known = self.state().end_lease(lease.unwrap_or(0));
                self.0.1.notify_all();
                (if is_known { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn read_key(&self, key: &str) -> (u16, String) {
        let state = self.state();
        match state.items.get(key) {
            Some(item) => {
                let mut text = item_json(key, item);
                text.pop();
                (200, format!("{text},\"store_revision\":{}}}", state.revision))
            }
            None => (404, format!("{{\"store_revision\":{}}}", state.revision)),
        }
    }

    fn read_range(&self, prefix: &str) -> (u16, String) {
        let state = self.state();
        let items = state.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
        let revision = state.revision;
        let items = items.join(",");
        (
            200,
            format!("{{\"items\":[{items}],\"has_more\":false,\"store_revision\":{revision}}}"),
        )
    }

    fn watch(&self, request: &Message) -> (u16, String) {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state();
        let era = state.era;
        loop {
            if state.era != era || after < state.compacted_to || after > state.revision {
                return (410, "{}".to_owned());
            }
            let events = state
                .history
                .iter()
                .filter(|(key, revision, _)| *revision > after && key.starts_with(&prefix));
            let events = events.map(|(key, revision, item)| match item {
                Some(item) => item_json(key, item),
                None => format!("{{\"tls_key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"),
            });
            let events: Vec<String> = events.collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (
                    200,
                    format!("{{\"events\":[{events}],\"store_revision\":{revision}}}"),
                );
            }
            let step = left.min(Duration::from_millis(20));
            state = self
                .0
                .1
                .wait_timeout(state, step)
                .expect("waiting for a change")
                .0;
            state.expire();
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.state();
        let holds = call.get("expected").items().iter().all(|row| {
            let revision = state
                .items
                .get(row.get("tls_key").text())
                .map_or(0, |item| item.revision);
            revision == row.get("revision").number()
        });
        if !holds {
            let keys = call
                .get("expected")
                .items()
                .iter()
                .map(|row| row.get("tls_key").text());
            let items = keys.filter_map(|key| Some(item_json(key, state.items.get(key)?)));
            let items: Vec<String> = items.collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let leases = call
            .get("writes")
            .items()
            .iter()
            .map(|row| row.get("lease").number());
        if !leases
            .filter(|lease| *lease > 0)
            .all(|lease| state.leases.contains_key(&lease))
        {
            return (404, "{}".to_owned());
        }
        state.revision += 1;
        for row in call.get("writes").items() {
            let (key, value) = (row.get("tls_key").text(), row.get("value").text());
            state.put(key, value.to_owned(), row.get("lease").number());
        }
        for key in call.get("remove").items().iter().map(Json::text) {
            state.remove(key);
        }
        let revision = state.revision;
        drop(state);
        self.0.1.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }

    fn grant(&self, body: &[u8]) -> (u16, String) {
        let ttl_ms = json::parse(body).map_or(0, |call| call.get("ttl_ms").number());
        let ttl = Duration::from_millis(ttl_ms.clamp(1_000, 600_000));
        let mut state = self.state();
        state.last_lease += 1;
        let lease = state.last_lease;
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        (
            200,
            format!("{{\"lease\":{lease},\"ttl_ms\":{}}}", ttl.as_millis()),
        )
    }

    fn renew(&self, path: &str) -> (u16, String) {
        let lease: u64 = path
            .rsplit('/')
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let mut state = self.state();
        match state.leases.get_mut(&lease) {
            Some((ttl, until)) => {
                *until = Instant::now() + *ttl;
                (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }
}
