//! An instance in this process among stand-ins that speak the users' platform's protocol.

use passway_instance::{Instance, Surroundings};
use passway_serving::placement::USUAL_LOAD_WINDOW;
use passway_serving::placement::policy::PolicyName;
use passway_serving::ports::{InstanceBounds, InstanceSettings};
use passway_serving::retry::RetryAllowance;
use passway_standins::platform::raw::{RawServer, Step};
use passway_standins::platform::store::MetadataStandIn;
use passway_types::prelude::*;
use passway_users_platform::{MetadataStore, PlatformDirectory, PlatformHeaders, ServerControl};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Longest wait for something that must come.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// Pause between two looks.
const STEP: Duration = Duration::from_millis(10);
/// The host of all routes.
pub const HOST: &str = "shop.example";

/// Waits until `holds` does.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let limit_at = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < limit_at, "{what} does not come about");
        std::thread::sleep(STEP);
    }
}

/// A configuration with a route of every kind; models by name.
pub fn configuration(version: u64, models: &[&str]) -> Value {
    let models: Vec<Value> = models
        .iter()
        .map(|name| {
            json!({"name": name, "weights_mb": 70.0, "load_time_s": 0.2, "adapters": 4,
                "adapter_mb": 1.0, "warm_s": 0.01, "disk_s": 0.02})
        })
        .collect();
    let route = |name: &str, kind: &str, service: &str, attempts: u32, resumable: bool| {
        json!({"name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 10_000, "goal_ms": 1_000, "priority": 1, "service": service,
            "attempts": attempts, "sticky": true, "resumable": resumable, "gap_target_ms": 300})
    };
    json!({"version": version, "routes": [
            route("read", "idempotent", "plain", 2, false),
            route("pay", "non_idempotent", "plain", 1, false),
            route("chat", "streaming", "engines", 2, true),
            route("report", "streaming", "engines", 1, false)],
        "services": [
            {"name": "plain", "health_path": "/health", "max_conns": 96},
            {"name": "engines", "health_path": "/health", "max_conns": 96,
                "engine": {"slots": 8, "models": models, "weights_mb": 145.0,
                    "adapter_slots": 2, "loads_per_s": 100.0}}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 65_536,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000}})
}

/// A store with a configuration.
pub fn store(models: &[&str]) -> MetadataStandIn {
    let store = MetadataStandIn::default();
    store.put("op/config", &configuration(1, models));
    store
}

/// A plain server that answers everything well.
pub fn plain_server() -> RawServer {
    RawServer::start(|received| {
        let id = received.header("request-id").unwrap_or_default();
        let text = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok"
        );
        vec![Step::Send(text.into_bytes())]
    })
}

/// Lists a plain server.
pub fn list_plain(store: &MetadataStandIn, id: &str, address: SocketAddr, state: &str) {
    let entry = json!({"service": "plain", "address": address.to_string(), "zone": "hall0",
        "version": "v1", "slots": 6, "state": state, "sequence": 1, "cold_left_ms": 0});
    store.put(&format!("servers/{id}"), &entry);
}

/// Settings on loopback, all ports chosen by the kernel.
pub fn settings(name: &str, store: SocketAddr) -> InstanceSettings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    InstanceSettings {
        instance: name.into(),
        hall: "hall0".into(),
        callers_address: any,
        ready_address: any,
        peer_address: any,
        store_address: store,
        processor_part: 1.0,
        placement: PolicyName::default(),
        bounds: InstanceBounds {
            grace: Duration::from_secs(8),
            shortest_lease: Duration::from_secs(1),
            holder_gap: Duration::from_secs(1),
            load_window: USUAL_LOAD_WINDOW,
            retry: RetryAllowance {
                ratio: 0.2,
                slack: 800.0,
                window_s: 10.0,
            },
        },
    }
}

/// Asks for a stream of a model; the answer.
pub fn stream(address: SocketAddr, route: &str, id: &str, model: &str) -> Answer {
    let bytes = request(
        "POST",
        &format!("/{route}/"),
        id,
        &format!("Model: {model}\r\n"),
        "{}",
    );
    ask(address, &bytes).expect("an answer")
}

/// Starts an instance without waiting for it.
pub fn start(name: &str, store: &MetadataStandIn) -> Instance {
    start_at(name, store.serve())
}

/// Starts an instance that reaches the store at an address.
pub fn start_at(name: &str, address: SocketAddr) -> Instance {
    start_with(settings(name, address))
}

/// Starts an instance with settings.
pub fn start_with(settings: InstanceSettings) -> Instance {
    let address = settings.store_address;
    let surroundings = Surroundings {
        store: Arc::new(MetadataStore::new(address)),
        directory: Arc::new(PlatformDirectory),
        vocabulary: Box::new(PlatformHeaders),
        engines: Arc::new(ServerControl::default()),
    };
    Instance::start(settings, surroundings).expect("an instance")
}

/// Starts an instance and waits until it is ready.
pub fn ready(name: &str, store: &MetadataStandIn) -> Instance {
    let instance = start(name, store);
    until("readiness", || instance.is_ready());
    instance
}

/// An answer as a caller got it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The head.
    pub head: String,
    /// The body, decoded.
    pub body: String,
    /// Whether it ended as its framing says.
    pub whole: bool,
}

impl Answer {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().skip(1).filter_map(|l| l.split_once(':'));
        let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }
}

/// A caller's connection.
#[derive(Debug)]
pub struct Caller {
    /// The socket.
    pub stream: TcpStream,
    bytes: Vec<u8>,
}

impl Caller {
    /// Connects.
    pub fn connect(address: SocketAddr) -> Self {
        Self::over(TcpStream::connect(address).expect("connecting"))
    }

    /// Uses a connection.
    pub fn over(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        Self {
            stream,
            bytes: Vec::new(),
        }
    }

    /// Sends bytes.
    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("sending");
    }

    fn more(&mut self) -> bool {
        let mut chunk = [0; 4_096];
        let count = self.stream.read(&mut chunk).unwrap_or(0);
        self.bytes.extend_from_slice(&chunk[..count]);
        count > 0
    }

    /// Reads an answer; `None` if the connection ends before its head.
    pub fn receive(&mut self) -> Option<Answer> {
        let end = loop {
            if let Some(end) = self.bytes.windows(4).position(|four| four == b"\r\n\r\n") {
                break end;
            }
            if !self.more() {
                return None;
            }
        };
        let head = String::from_utf8_lossy(&self.bytes[..end]).into_owned();
        self.bytes.drain(..end + 4);
        let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
        let mut answer = Answer {
            status: status.expect("a status"),
            head,
            body: String::new(),
            whole: false,
        };
        if answer.header("transfer-encoding") == Some("chunked") {
            while let Some(chunk) = self.chunk() {
                if chunk.is_empty() {
                    answer.whole = true;
                    break;
                }
                answer.body.push_str(&String::from_utf8_lossy(&chunk));
            }
            return Some(answer);
        }
        let length = answer
            .header("content-length")
            .and_then(|text| text.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.bytes.len() < length && self.more() {}
        let got = length.min(self.bytes.len());
        answer.whole = got == length;
        let body: Vec<u8> = self.bytes.drain(..got).collect();
        answer.body = String::from_utf8_lossy(&body).into_owned();
        Some(answer)
    }

    fn chunk(&mut self) -> Option<Vec<u8>> {
        loop {
            if let Some(end) = self.bytes.windows(2).position(|two| two == b"\r\n") {
                let size = std::str::from_utf8(&self.bytes[..end]).ok()?;
                let size = usize::from_str_radix(size, 16).ok()?;
                if self.bytes.len() >= end + 2 + size + 2 {
                    let chunk = self.bytes[end + 2..end + 2 + size].to_vec();
                    self.bytes.drain(..end + 2 + size + 2);
                    return Some(chunk);
                }
            }
            if !self.more() {
                return None;
            }
        }
    }
}

/// A request's bytes.
pub fn request(method: &str, path: &str, id: &str, more: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let framing = if method == "GET" {
        String::new()
    } else {
        format!("Content-Length: {length}\r\n")
    };
    format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 8000\r\n{more}{framing}\r\n{body}")
        .into_bytes()
}

/// Sends one request on a connection of its own.
pub fn ask(address: SocketAddr, bytes: &[u8]) -> Option<Answer> {
    let mut caller = Caller::connect(address);
    caller.send(bytes);
    caller.receive()
}
