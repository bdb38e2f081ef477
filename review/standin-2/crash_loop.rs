//! A server starts again under its id with a new software version that crashes soon after its start, while the store is
//! down.

use crate::instance::Instance;
use crate::plain::unix_ms;
use crate::record::Record;
use crate::store::Store;
use crate::{Site, Verdict, http};
use std::io::Read;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const EVENTS: u64 = 12;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// Streams of each round, and the time between them.
const STREAMS: usize = 24;
const STREAM_INTERVAL: Duration = Duration::from_millis(40);

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"news","host":"shop.example","prefix":"/news/","kind":"streaming","timeout_ms":15000,"goal_ms":400,"priority":1,"service":"news","attempts":3,"resumable":true,"gap_target_ms":300}],"services":[{"name":"news","health_path":"/health","max_conns":360}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// One start of a server.
#[derive(Clone)]
struct Start {
    id: String,
    version: &'static str,
    born: u64,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    /// Counts the requests that run.
    runs: Arc<AtomicU64>,
}

/// A server that can crash and start again under its id and at its address.
struct Server {
    address: SocketAddr,
    start: Start,
    listener: Option<TcpListener>,
}

impl Server {
    fn new(id: &str, ip: &str) -> Self {
        let (listener, address) = http::listen(ip);
        let start = Start {
            id: id.to_owned(),
            version: "v1",
            born: unix_ms(),
            connections: Arc::default(),
            runs: Arc::default(),
        };
        let mut server = Self {
            address,
            start,
            listener: None,
        };
        server.serve(listener);
        server
    }

    fn entry(&self) -> String {
        format!(
            "{{\"service\":\"news\",\"address\":\"{}\",\"zone\":\"hall-a\",\"version\":\"{}\",\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":1,\"born\":{}}}",
            self.address, self.start.version, self.start.born
        )
    }

    fn serve(&mut self, listener: TcpListener) {
        self.listener = listener.try_clone().ok();
        let start = self.start.clone();
        http::serve(listener, move |request, stream| {
            if let Ok(stream) = stream.try_clone() {
                start.connections.lock().unwrap().push(stream);
            }
            start.answer(request, stream)
        });
    }

    /// Ends the process: its port refuses connections, and its connections are closed.
    fn crash(&mut self) {
        if let Some(listener) = self.listener.take() {
            http::stop_listening(&listener);
        }
        for connection in self.start.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Starts a new process under the id and at the address.
    fn restart(&mut self, version: &'static str) -> bool {
        self.start = Start {
            version,
            born: unix_ms(),
            connections: Arc::default(),
            runs: Arc::default(),
            id: self.start.id.clone(),
        };
        let Ok(listener) = TcpListener::bind(self.address) else {
            return false;
        };
        self.serve(listener);
        true
    }
}

impl Start {
    fn answer(&self, request: &http::Message, stream: &mut TcpStream) -> bool {
        let own = format!("Instance-Id: {}\r\n", self.id);
        if request
            .header("expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            return http::write(stream, &http::answer(421, &own, b""));
        }
        if request.path() == "/health" {
            let body = format!("{{\"born\":{}}}", self.born);
            return http::write(stream, &http::answer(200, &own, body.as_bytes()));
        }
        let id = request.header("request-id").unwrap_or_default();
        let after: u64 = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        self.runs.fetch_add(1, Ordering::Relaxed);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nRequest-Id: {id}\r\nResponse-Seal: seal-{}\r\n\r\n",
            self.id
        );
        if !http::write(stream, head.as_bytes()) {
            return false;
        }
        for number in after + 1..=EVENTS {
            let event = format!("id: {number}\ndata: {} {}\n\n", self.id, self.version);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if !http::write(stream, chunk.as_bytes()) {
                return false;
            }
            std::thread::sleep(EVENT_INTERVAL);
        }
        http::write(stream, b"0\r\n\r\n")
    }
}

/// The versions that wrote the events of a stream, in their order, without repeats; and whether the stream is whole.
fn read_stream(callers: SocketAddr, id: &str) -> (Vec<String>, bool) {
    let mut versions: Vec<String> = Vec::new();
    let Ok(mut stream) = TcpStream::connect(callers) else {
        return (versions, false);
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let head = format!(
        "GET /news/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 15000\r\n\r\n"
    );
    http::write(&mut stream, head.as_bytes());
    let mut received = Vec::new();
    let mut part = [0; 4096];
    while !received.ends_with(b"0\r\n\r\n") {
        match stream.read(&mut part) {
            Ok(count) if count > 0 => received.extend_from_slice(&part[..count]),
            _ => break,
        }
    }
    let text = String::from_utf8_lossy(&received);
    for line in text.lines().filter(|line| line.starts_with("data: ")) {
        let version = line.rsplit(' ').next().unwrap_or_default().to_owned();
        if versions.last() != Some(&version) {
            versions.push(version);
        }
    }
    (versions, received.ends_with(b"0\r\n\r\n"))
}

pub fn run(site: &Site, record: &Record) -> Verdict {
    let (store, store_address) = Store::start("127.0.0.1");
    store.put("op/config", CONFIGURATION);
    let mut servers: Vec<Server> = (0..3)
        .map(|number| Server::new(&format!("i-{number}"), &site.ip(100)))
        .collect();
    for server in &servers {
        store.put(&format!("servers/{}", server.start.id), &server.entry());
    }
    let one = Instance::start(&site.root, &site.folder, "one", &site.ip(11), store_address);
    let two = Instance::start(&site.root, &site.folder, "two", &site.ip(12), store_address);
    if !one.wait_ready(Duration::from_secs(20)) || !two.wait_ready(Duration::from_secs(20)) {
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(6));
    if site.trouble {
        record.line("the store is down");
        store.set_down(true);
        std::thread::sleep(Duration::from_millis(500));
        record.line("i-0 crashes");
        servers[0].crash();
        std::thread::sleep(Duration::from_secs(2));
        if !servers[0].restart("v2") {
            record.line("the port of i-0 is taken");
            return Verdict::NotRun;
        }
        record.line("i-0 has started again under its id, with version v2");
    }
    let callers = [one.callers, two.callers];
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            std::thread::sleep(STREAM_INTERVAL);
            let address = callers[number % 2];
            std::thread::spawn(move || {
                let id = format!("r{number}");
                let (versions, is_whole) = read_stream(address, &id);
                (id, versions, is_whole)
            })
        })
        .collect();
    if site.trouble {
        record.line("i-0 crashes again");
        servers[0].crash();
        std::thread::sleep(Duration::from_millis(500));
        store.set_down(false);
        record.line("the store is back");
    }
    let mut mixed = 0;
    for stream in streams {
        let (id, versions, is_whole) = stream.join().expect("a requester");
        record.line(&format!(
            "requester has for {id}: events of {versions:?}, whole: {is_whole}"
        ));
        mixed += usize::from(versions.len() > 1);
    }
    record.line(&format!(
        "{mixed} streams hold events of two software versions"
    ));
    if mixed > 2 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
