//! The platform's metadata store, as PROTOCOL.md describes it: items with revisions, watches, transactions and
//! leases, in memory.

use crate::http::{self, Message};
use crate::json::{self, Json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Time-to-live and end of each lease.
    leases: BTreeMap<u64, (Duration, Instant)>,
    /// Changes: revision, key, and the item as written.
    history: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    next_lease: u64,
}

/// The store; clones share its state.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>, Arc<AtomicBool>);

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history
            .push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    /// Removes the keys of leases that are over. Returns whether there were any.
    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let leases = self.leases.iter();
        let over: Vec<u64> = leases
            .filter(|(_, (_, end))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in &over {
            self.end_lease(*lease);
        }
        !over.is_empty()
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let items = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = items.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"tls_key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        json::to_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn json_answer(body: &str) -> Vec<u8> {
    http::answer(200, "Content-Type: application/json\r\n", body.as_bytes())
}

impl Store {
    /// Starts to serve the store on this loopback address.
    pub fn start(ip: &str) -> (Self, SocketAddr) {
        let store = Self::default();
        let (listener, address) = http::listen(ip);
        let served = store.clone();
        http::serve(listener, move |request, stream| {
            let answer = served.answer(request);
            http::write(stream, &answer)
        });
        let ticking = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                if ticking.0.0.lock().unwrap().expire() {
                    ticking.0.1.notify_all();
                }
            }
        });
        (store, address)
    }

    /// Writes a key, as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.0.0.lock().unwrap();
        state.revision += 1;
        state.put(key, value.as_bytes().to_vec(), 0);
        self.0.1.notify_all();
    }

    /// Removes a key, as the platform does when a server is gone.
    pub fn remove(&self, key: &str) {
        let mut state = self.0.0.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        self.0.1.notify_all();
    }

    /// Sets whether the store is down: it answers 503 to all calls, which says that nothing was done.
    pub fn set_down(&self, is_down: bool) {
        self.1.store(is_down, Ordering::Relaxed);
        self.0.1.notify_all();
    }

    fn is_down(&self) -> bool {
        self.1.load(Ordering::Relaxed)
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        if self.is_down() {
            return http::answer(503, "", b"");
        }
        let path = request.path();
        match (request.method(), path) {
            ("GET", "/kv-key") => self.key(request),
            ("GET", "/kv-range") => self.range(request),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.transaction(&json::parse(&request.body)),
            ("POST", "/kv-lease") => self.grant(&json::parse(&request.body)),
            ("POST", _) if path.starts_with("/kv-keep/") => self.keep(path),
            ("DELETE", _) if path.starts_with("/kv-lease-end/") => self.end(path),
            _ => http::answer(404, "", b""),
        }
    }

    fn key(&self, request: &Message) -> Vec<u8> {
        let key = request.query("tls_key").unwrap_or_default();
        let state = self.0.0.lock().unwrap();
        match state.items.get(&key) {
            Some(item) => {
                let text = item_text(&key, item);
                let text = text.trim_end_matches('}');
                json_answer(&format!("{text},\"store_revision\":{}}}", state.revision))
            }
            None => http::answer(404, "", b""),
        }
    }

    fn range(&self, request: &Message) -> Vec<u8> {
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let state = self.0.0.lock().unwrap();
        let matching = state.items.iter();
        let matching = matching.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let all: Vec<String> = matching.map(|(key, item)| item_text(key, item)).collect();
        let has_more = all.len() > 500;
        let page = all[..all.len().min(500)].join(",");
        let revision = state.revision;
        json_answer(&format!(
            "{{\"items\":[{page}],\"has_more\":{has_more},\"store_revision\":{revision}}}"
        ))
    }

    fn watch(&self, request: &Message) -> Vec<u8> {
        let prefix = request.query("prefix").unwrap_or_default();
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.0.0.lock().unwrap();
        loop {
            let changes = state.history.iter();
            let changes = changes.filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
            let events: Vec<String> = changes
                .map(|(at, key, item)| match item {
                    Some(item) => item_text(key, item),
                    None => {
                        format!("{{\"tls_key\":\"{key}\",\"revision\":{at},\"tombstone\":true}}")
                    }
                })
                .collect();
            let now = Instant::now();
            if self.is_down() {
                return http::answer(503, "", b"");
            }
            if !events.is_empty() || now >= until {
                let revision = state.revision;
                return json_answer(&format!(
                    "{{\"events\":[{}],\"store_revision\":{revision}}}",
                    events.join(",")
                ));
            }
            state = self.0.1.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn transaction(&self, body: &Json) -> Vec<u8> {
        let mut state = self.0.0.lock().unwrap();
        state.expire();
        let expected = body.get("expected").list();
        let holds = expected.iter().all(|row| {
            let known = state.items.get(row.get("tls_key").text());
            known.map_or(0, |item| item.revision) == row.get("revision").number().unwrap_or(0)
        });
        if !holds {
            let rows = expected.iter().filter_map(|row| {
                let key = row.get("tls_key").text();
                state.items.get(key).map(|item| item_text(key, item))
            });
            let rows: Vec<String> = rows.collect();
            let body = format!("{{\"items\":[{}]}}", rows.join(","));
            return http::answer(412, "Content-Type: application/json\r\n", body.as_bytes());
        }
        let writes = body.get("writes").list();
        let lease_of = |write: &Json| write.get("lease").number().unwrap_or(0);
        let mut leases = writes.iter().map(lease_of).filter(|lease| *lease > 0);
        if leases.any(|lease| !state.leases.contains_key(&lease)) {
            return http::answer(404, "", b"");
        }
        state.revision += 1;
        for write in writes {
            let value = json::from_base64(write.get("value").text());
            state.put(write.get("tls_key").text(), value, lease_of(write));
        }
        for key in body.get("remove").list() {
            state.remove(key.text());
        }
        self.0.1.notify_all();
        json_answer(&format!("{{\"revision\":{}}}", state.revision))
    }

    fn grant(&self, body: &Json) -> Vec<u8> {
        let mut state = self.0.0.lock().unwrap();
        let ttl_ms = body.get("ttl_ms").number().unwrap_or(1_000).max(1_000);
        let ttl = Duration::from_millis(ttl_ms);
        state.next_lease += 1;
        let lease = state.next_lease;
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        json_answer(&format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
    }

    fn keep(&self, path: &str) -> Vec<u8> {
        let mut state = self.0.0.lock().unwrap();
        state.expire();
        let lease = path.rsplit('/').next().and_then(|text| text.parse().ok());
        match state.leases.get_mut(&lease.unwrap_or(0)) {
            Some((ttl, end)) => {
                *end = Instant::now() + *ttl;
                json_answer(&format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            None => http::answer(404, "", b""),
        }
    }

    fn end(&self, path: &str) -> Vec<u8> {
        let mut state = self.0.0.lock().unwrap();
        let lease = path.rsplit('/').next().and_then(|text| text.parse().ok());
        state.end_lease(lease.unwrap_or(0));
        self.0.1.notify_all();
        json_answer("{}")
    }
}
