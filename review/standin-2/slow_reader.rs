//! A requester that reads its answer slowly and without a pause.

use crate::instance::Instance;
use crate::plain::PlainServer;
use crate::record::Record;
use crate::store::Store;
use crate::{Site, Verdict, http};
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Length of the answers.
const BODY_BYTES: usize = 256 << 10;
/// What a slow requester reads at a time, and how often: 16 KiB a second, without a longer pause.
const PART_BYTES: usize = 4 << 10;
const PART_INTERVAL: Duration = Duration::from_millis(250);
const REQUESTERS: usize = 4;
/// Time of a request: its route's timeout and its requester's budget.
const TIME_MS: u64 = 60_000;

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"pay","host":"shop.example","prefix":"/pay/","kind":"non_idempotent","timeout_ms":60000,"goal_ms":300,"priority":1,"service":"plain","attempts":1}],"services":[{"name":"plain","health_path":"/health","max_conns":100}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Bytes of the body that arrived, and how the connection ended.
fn request(callers: SocketAddr, id: &str, is_slow: bool) -> (usize, String) {
    let Ok(mut stream) = TcpStream::connect(callers) else {
        return (0, "not connected".to_owned());
    };
    let head = format!(
        "POST /pay/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {TIME_MS}\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    http::write(&mut stream, head.as_bytes());
    let mut received = Vec::new();
    let mut part = vec![0; if is_slow { PART_BYTES } else { 64 << 10 }];
    let body_start = |received: &[u8]| {
        let end = received.windows(4).position(|window| window == b"\r\n\r\n");
        end.map(|end| end + 4)
    };
    let until = Instant::now() + Duration::from_millis(TIME_MS - 5_000);
    loop {
        let start = body_start(&received[..received.len().min(4_096)]);
        let body = start.map_or(0, |start| received.len() - start);
        if body >= BODY_BYTES {
            return (body, "whole".to_owned());
        }
        if Instant::now() >= until {
            return (body, "not whole in the requester's time".to_owned());
        }
        match stream.read(&mut part) {
            Ok(0) => return (body, "closed".to_owned()),
            Ok(count) => received.extend_from_slice(&part[..count]),
            Err(error) => return (body, error.to_string()),
        }
        if is_slow {
            std::thread::sleep(PART_INTERVAL);
        }
    }
}

pub fn run(site: &Site, record: &Record) -> Verdict {
    let (store, store_address) = Store::start("127.0.0.1");
    store.put("op/config", CONFIGURATION);
    let server = PlainServer::start(
        &store,
        record,
        "i-1",
        "127.0.0.1",
        "plain",
        BODY_BYTES,
        |_| String::new(),
    );
    let one = Instance::start(&site.root, &site.folder, "one", &site.ip(11), store_address);
    let two = Instance::start(&site.root, &site.folder, "two", &site.ip(12), store_address);
    if !one.wait_ready(Duration::from_secs(20)) || !two.wait_ready(Duration::from_secs(20)) {
        record.line("the instances did not become ready");
        return Verdict::NotRun;
    }
    let callers = [one.callers, two.callers];
    let threads: Vec<_> = (0..2 * REQUESTERS)
        .map(|number| {
            let is_slow = site.trouble && number < REQUESTERS;
            let (id, record) = (format!("r{number}"), record.clone());
            let address = callers[number % 2];
            std::thread::spawn(move || {
                let reads = if is_slow { "slowly" } else { "at once" };
                record.line(&format!("requester sends {id} and reads {reads}"));
                let (bytes, end) = request(address, &id, is_slow);
                record.line(&format!(
                    "requester has {bytes} of {BODY_BYTES} bytes of the answer to {id}: {end}"
                ));
                (id, bytes, end)
            })
        })
        .collect();
    let mut lost = 0;
    let mut late = 0;
    for thread in threads {
        let (_, bytes, end) = thread.join().expect("a requester");
        if bytes < BODY_BYTES {
            if end.starts_with("not") {
                late += 1;
            } else {
                lost += 1;
            }
        }
    }
    let ran = server.ran.lock().unwrap().len();
    record.line(&format!(
        "{ran} requests ran; {lost} answers were lost, {late} were not read in time"
    ));
    for line in one.log_lines("request ended") {
        record.line(&format!("instance one: {line}"));
    }
    if ran != 2 * REQUESTERS || late > 0 {
        return Verdict::NotRun;
    }
    if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
