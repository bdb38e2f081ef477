//! An in-memory stand-in for the platform's metadata store.

use crate::server::{json_body, json_response, query_number, response, serve};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http::HeaderValue;
use passway_http::{Request, Response};
use passway_types::prelude::*;
use serde::Deserialize;
use serde_json::{Value, json as value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

/// Maximum number of items in a page of a range read.
const MAX_PAGE_ITEMS: usize = 500;
/// Maximum number of conditions, writes and removals in a transaction.
const MAX_TRANSACTION_ENTRIES: usize = 32;
/// The header with the era in all answers.
const ERA_HEADER: &str = "store-era";
/// Time for which a call without an answer is held open.
const UNANSWERED_CALL_DURATION: Duration = Duration::from_secs(3);

/// Faults that the store injects.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Answers every call with this status code.
    pub error_status: Option<u16>,
    /// Answers every call with a body that isn't JSON.
    pub sends_invalid_json: bool,
    /// Number of upcoming writes that are applied but not answered.
    pub answers_to_drop: u32,
    /// Holds every call open, then answers 503.
    pub is_silent: bool,
    /// Number of upcoming reads of pages after the first one that are refused.
    pub later_pages_to_refuse: u32,
}

/// The pages that were read of one prefix.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PagesRead {
    /// Number of first pages.
    pub first: u64,
    /// Number of all other pages.
    pub later: u64,
}

#[derive(Debug, Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    lease: u64,
}

#[derive(Debug, Clone)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    /// The changes in order: key, revision, and the new item, or `None` if the key was removed.
    history: Vec<(String, u64, Option<Item>)>,
    compacted_to: u64,
    revision: u64,
    next_lease: u64,
    /// How often the store has returned from an older copy.
    era: u64,
    calls: BTreeMap<String, u64>,
    /// The pages that were read, by prefix.
    pages_read: BTreeMap<String, PagesRead>,
    /// Number of changes in the answers to watches, by prefix.
    changes_watched: BTreeMap<String, u64>,
    faults: Faults,
}

/// A copy of the store's contents, from which it can return later.
#[derive(Debug, Clone)]
pub struct StoreCopy {
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    history: Vec<(String, u64, Option<Item>)>,
    compacted_to: u64,
    revision: u64,
    next_lease: u64,
}

/// A metadata store; clones share the same state.
#[derive(Debug, Clone, Default)]
pub struct MetadataStandIn {
    shared: Arc<(Mutex<State>, Condvar)>,
}

#[derive(Debug, Deserialize)]
struct Transaction {
    expected: Vec<Expected>,
    writes: Vec<Write>,
    remove: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct Expected {
    tls_key: String,
    revision: u64,
}

#[derive(Debug, Deserialize)]
struct Write {
    tls_key: String,
    value: String,
    lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let item = Item {
            value,
            revision: self.revision,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history
            .push((key.to_owned(), self.revision, Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((key.to_owned(), self.revision, None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let items = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = items.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }
}

fn item_json(key: &str, item: &Item) -> Value {
    value!({"tls_key": key, "value": STANDARD.encode(&item.value), "revision": item.revision,
        "created": item.revision, "lease": item.lease})
}

fn query_text(request: &Request, name: &str) -> String {
    let pairs = request.head.uri.query().unwrap_or_default().split('&');
    let mut parameters = pairs.filter_map(|pair| pair.split_once('='));
    let found = parameters.find(|(key, _)| *key == name);
    found.map(|(_, value)| value.to_owned()).unwrap_or_default()
}

/// An endpoint of the store whose calls can be refused without affecting other endpoints.
#[derive(Debug)]
pub struct StoreEndpoint {
    address: SocketAddr,
    faults: Arc<Mutex<Faults>>,
}

impl StoreEndpoint {
    /// Returns the address of the endpoint.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults of this endpoint; only [`Faults::error_status`] and [`Faults::is_silent`] have an
    /// effect.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }
}

impl MetadataStandIn {
    /// Serves the store on a port that the kernel chooses and returns the address.
    pub fn serve(&self) -> SocketAddr {
        let store = self.clone();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        serve(any_port, move |request| store.answer(&request))
    }

    /// Serves the store on a port that the kernel chooses, as an endpoint with faults of its own.
    pub fn serve_endpoint(&self) -> StoreEndpoint {
        let store = self.clone();
        let faults: Arc<Mutex<Faults>> = Arc::default();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let endpoint_faults = faults.clone();
        let address = serve(any_port, move |request| {
            let faults = endpoint_faults.lock();
            let faults = faults.unwrap_or_else(PoisonError::into_inner).clone();
            if faults.is_silent {
                std::thread::sleep(UNANSWERED_CALL_DURATION);
                return response(503, "");
            }
            let error_status = faults.error_status;
            error_status.map_or_else(|| store.answer(&request), |status| response(status, ""))
        });
        StoreEndpoint { address, faults }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
        self.shared.1.notify_all();
    }

    /// Writes a JSON value, as the operator or a server does.
    pub fn put(&self, key: &str, value: &Value) {
        self.state().put(key, value.to_string().into_bytes(), 0);
        self.shared.1.notify_all();
    }

    /// Writes bytes without a lease, as passway's own processes do.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        self.state().put(key, value.to_vec(), 0);
        self.shared.1.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.state().remove(key);
        self.shared.1.notify_all();
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        let mut state = self.state();
        state.expire_leases();
        state.items.get(key).map(|item| item.value.clone())
    }

    /// Returns the revision of a key; 0 if the key doesn't exist.
    pub fn revision_of(&self, key: &str) -> u64 {
        let mut state = self.state();
        state.expire_leases();
        state.items.get(key).map_or(0, |item| item.revision)
    }

    /// Drops the history of changes, so watches from earlier revisions fail with status 410.
    pub fn compact_history(&self) {
        let mut state = self.state();
        state.compacted_to = state.revision;
        state.history.clear();
        drop(state);
        self.shared.1.notify_all();
    }

    /// Copies the contents, leases and history.
    pub fn copy(&self) -> StoreCopy {
        let mut state = self.state();
        state.expire_leases();
        StoreCopy {
            items: state.items.clone(),
            leases: state.leases.clone(),
            history: state.history.clone(),
            compacted_to: state.compacted_to,
            revision: state.revision,
            next_lease: state.next_lease,
        }
    }

    /// Returns from an older copy, as a new era. Everything written since is lost, and revisions and
    /// lease ids are given out again. The leases of the copy run for their whole time again.
    pub fn return_from(&self, copy: &StoreCopy) {
        let mut state = self.state();
        state.items.clone_from(&copy.items);
        state.leases.clone_from(&copy.leases);
        for lease in state.leases.values_mut() {
            lease.expires_at = Instant::now() + lease.ttl;
        }
        state.history.clone_from(&copy.history);
        state.compacted_to = copy.compacted_to;
        state.revision = copy.revision;
        state.next_lease = copy.next_lease;
        state.era += 1;
        drop(state);
        self.shared.1.notify_all();
    }

    /// Returns the number of calls by path since the start.
    pub fn calls(&self) -> BTreeMap<String, u64> {
        self.state().calls.clone()
    }

    /// Returns the pages that were read of a prefix since the start.
    pub fn pages_read(&self, prefix: &str) -> PagesRead {
        let pages_read = &self.state().pages_read;
        pages_read.get(prefix).copied().unwrap_or_default()
    }

    /// Returns the number of changes in the answers to watches of a prefix since the start.
    pub fn changes_watched(&self, prefix: &str) -> u64 {
        let changes_watched = &self.state().changes_watched;
        changes_watched.get(prefix).copied().unwrap_or_default()
    }

    /// Answers a call, and names the era in the answer.
    fn answer(&self, request: &Request) -> Response {
        let era = self.state().era;
        let answered = self.answer_call(request);
        let is_same_era = self.state().era == era;
        // The copy does not know what the call has done.
        let mut answered = if is_same_era {
            answered
        } else {
            response(503, "")
        };
        answered
            .headers_mut()
            .insert(ERA_HEADER, HeaderValue::from(era + u64::from(!is_same_era)));
        answered
    }

    fn answer_call(&self, request: &Request) -> Response {
        let path = request.path().to_owned();
        let faults = {
            let mut state = self.state();
            state.expire_leases();
            *state.calls.entry(path.clone()).or_default() += 1;
            state.faults.clone()
        };
        if let Some(status) = faults.error_status {
            return response(status, "");
        }
        if faults.is_silent {
            std::thread::sleep(UNANSWERED_CALL_DURATION);
            return response(503, "");
        }
        if faults.sends_invalid_json {
            return response(200, "<html>no JSON</html>");
        }
        let (call, id) = path.rsplit_once('/').unwrap_or_default();
        let id: u64 = id.parse().unwrap_or(0);
        match (request.head.method.as_str(), path.as_str(), call) {
            ("GET", "/kv-key", _) => self.key(request),
            ("GET", "/kv-range", _) => self.range(request),
            ("GET", "/kv-watch", _) => self.watch(request),
            ("POST", "/kv-txn", _) => self.transaction(request),
            ("POST", "/kv-lease", _) => self.grant(request),
            ("POST", _, "/kv-keep") => self.renew(id),
            ("DELETE", _, "/kv-lease-end") => {
                self.state().end_lease(id);
                self.shared.1.notify_all();
                response(200, "{}")
            }
            _ => response(404, ""),
        }
    }

    fn key(&self, request: &Request) -> Response {
        let key = query_text(request, "tls_key");
        let state = self.state();
        let item = state.items.get(&key);
        item.map_or_else(
            || response(404, ""),
            |item| json_response(&item_json(&key, item)),
        )
    }

    fn range(&self, request: &Request) -> Response {
        let (prefix, after) = (query_text(request, "prefix"), query_text(request, "after"));
        let mut state = self.state();
        let is_first = after.is_empty();
        if !is_first && state.faults.later_pages_to_refuse > 0 {
            state.faults.later_pages_to_refuse -= 1;
            return response(503, "");
        }
        let pages_read = state.pages_read.entry(prefix.clone()).or_default();
        pages_read.first += u64::from(is_first);
        pages_read.later += u64::from(!is_first);
        let items = state.items.iter();
        let mut items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let page: Vec<Value> = items
            .by_ref()
            .take(MAX_PAGE_ITEMS)
            .map(|(key, item)| item_json(key, item))
            .collect();
        let has_more = items.next().is_some();
        json_response(
            &value!({"items": page, "has_more": has_more, "store_revision": state.revision}),
        )
    }

    fn watch(&self, request: &Request) -> Response {
        let prefix = query_text(request, "prefix");
        let after = query_number(request, "after").unwrap_or(0);
        let wait = Duration::from_millis(query_number(request, "wait_ms").unwrap_or(0));
        let wait_until = Instant::now() + wait;
        let mut state = self.state();
        let era = state.era;
        loop {
            state.expire_leases();
            if after < state.compacted_to || after > state.revision || era != state.era {
                return response(410, "");
            }
            let changes = state.history.iter();
            let changes = changes.filter(|(key, at, _)| key.starts_with(&prefix) && *at > after);
            let events: Vec<Value> = changes
                .map(|(key, revision, item)| match item {
                    Some(item) => item_json(key, item),
                    None => value!({"tls_key": key, "revision": revision, "tombstone": true}),
                })
                .collect();
            let remaining = wait_until.saturating_duration_since(Instant::now());
            if !events.is_empty() || remaining.is_zero() || state.faults.error_status.is_some() {
                *state.changes_watched.entry(prefix).or_default() += events.len() as u64;
                return json_response(
                    &value!({"events": events, "store_revision": state.revision}),
                );
            }
            // Leases expire without a call, so the watch checks again after at most 50 ms.
            let step = remaining.min(Duration::from_millis(50));
            let wait_result = self.shared.1.wait_timeout(state, step);
            state = wait_result.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn transaction(&self, request: &Request) -> Response {
        let Some(transaction) = json_body::<Transaction>(request) else {
            return response(400, "");
        };
        let entries =
            transaction.expected.len() + transaction.writes.len() + transaction.remove.len();
        if entries > MAX_TRANSACTION_ENTRIES {
            return response(400, "");
        }
        let mut state = self.state();
        let is_current = |row: &Expected| {
            let item = state.items.get(&row.tls_key);
            item.map_or(0, |item| item.revision) == row.revision
        };
        if !transaction.expected.iter().all(is_current) {
            return response(412, "{\"items\":[]}");
        }
        let leases = &state.leases;
        let has_lease = |write: &Write| write.lease == 0 || leases.contains_key(&write.lease);
        if !transaction.writes.iter().all(has_lease) {
            return response(404, "");
        }
        for write in transaction.writes {
            let Ok(bytes) = STANDARD.decode(write.value) else {
                return response(400, "");
            };
            state.put(&write.tls_key, bytes, write.lease);
        }
        for key in transaction.remove {
            state.remove(&key);
        }
        let is_dropped = state.faults.answers_to_drop > 0;
        state.faults.answers_to_drop = state.faults.answers_to_drop.saturating_sub(1);
        let revision = state.revision;
        drop(state);
        self.shared.1.notify_all();
        if is_dropped {
            std::thread::sleep(UNANSWERED_CALL_DURATION);
            return response(504, "");
        }
        json_response(&value!({ "revision": revision }))
    }

    fn grant(&self, request: &Request) -> Response {
        let Some(ttl_ms) = json_body::<Value>(request).and_then(|body| body["ttl_ms"].as_u64())
        else {
            return response(400, "");
        };
        let mut state = self.state();
        state.next_lease += 1;
        let (lease, ttl) = (state.next_lease, Duration::from_millis(ttl_ms));
        let expires_at = Instant::now() + ttl;
        state.leases.insert(lease, Lease { ttl, expires_at });
        json_response(&value!({"lease": lease, "ttl_ms": ttl_ms}))
    }

    fn renew(&self, lease: u64) -> Response {
        let mut state = self.state();
        let Some(lease) = state.leases.get_mut(&lease) else {
            return response(404, "");
        };
        lease.expires_at = Instant::now() + lease.ttl;
        let ttl_ms = u64::try_from(lease.ttl.as_millis()).unwrap_or(u64::MAX);
        json_response(&value!({ "ttl_ms": ttl_ms }))
    }
}
