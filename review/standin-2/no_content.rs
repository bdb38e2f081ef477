//! A server that has nothing more to send of a stream that is taken up after its last event, and says so with 204.

use crate::instance::Instance;
use crate::record::Record;
use crate::store::Store;
use crate::{Site, Verdict, http, plain};
use std::io::Read;
use std::net::TcpStream;
use std::time::Duration;

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"news","host":"shop.example","prefix":"/news/","kind":"streaming","timeout_ms":5000,"goal_ms":400,"priority":1,"service":"plain","attempts":2,"resumable":true,"gap_target_ms":300}],"services":[{"name":"plain","health_path":"/health","max_conns":100}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Starts a server whose streams have three events.
fn start_server(store: &Store, record: &Record, says_no_content: bool) {
    let (listener, address) = http::listen("127.0.0.1");
    let record = record.clone();
    http::serve(listener, move |request, stream| {
        let own = "Instance-Id: i-1\r\n";
        if request
            .header("expect-instance")
            .is_some_and(|expected| expected != "i-1")
        {
            return http::write(stream, &http::answer(421, own, b""));
        }
        if request.path() == "/health" {
            return http::write(stream, &http::answer(200, own, b"{}"));
        }
        let id = request.header("request-id").unwrap_or_default();
        let after: u64 = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        record.line(&format!("server runs {id} after event {after}"));
        let common = format!("Request-Id: {id}\r\nResponse-Seal: seal\r\n");
        if after >= 3 && says_no_content {
            return http::write(
                stream,
                format!("HTTP/1.1 204 No Content\r\n{common}\r\n").as_bytes(),
            );
        }
        let events: String = (after + 1..=3)
            .map(|number| format!("id: {number}\ndata: x\n\n"))
            .collect();
        let headers = format!("Content-Type: text/event-stream\r\n{common}");
        http::write(stream, &http::answer(200, &headers, events.as_bytes()))
    });
    store.put(
        "servers/i-1",
        &format!(
            "{{\"service\":\"plain\",\"address\":\"{address}\",\"zone\":\"hall-a\",\"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":1,\"born\":{}}}",
            plain::unix_ms()
        ),
    );
}

pub fn run(site: &Site, record: &Record) -> Verdict {
    let (store, store_address) = Store::start("127.0.0.1");
    store.put("op/config", CONFIGURATION);
    start_server(&store, record, site.trouble);
    let one = Instance::start(&site.root, &site.folder, "one", &site.ip(11), store_address);
    if !one.wait_ready(Duration::from_secs(20)) {
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(2));
    let Ok(mut stream) = TcpStream::connect(one.callers) else {
        return Verdict::NotRun;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    let requests = [("r1", ""), ("r2", "Last-Event-Id: 3\r\nResumes: r1\r\n")];
    let mut received = Vec::new();
    for (id, headers) in requests {
        let head = format!(
            "GET /news/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 5000\r\n{headers}\r\n"
        );
        http::write(&mut stream, head.as_bytes());
        received.clear();
        let mut part = [0; 4096];
        while let Ok(count) = stream.read(&mut part) {
            if count == 0 {
                break;
            }
            received.extend_from_slice(&part[..count]);
        }
        record.line(&format!(
            "requester has for {id}: {:?}",
            String::from_utf8_lossy(&received)
        ));
    }
    let text = String::from_utf8_lossy(&received).into_owned();
    let Some((head, rest)) = text.split_once("\r\n\r\n") else {
        return Verdict::NotRun;
    };
    // An answer with status 204 ends with its head (RFC 9112, section 6.3).
    let is_no_content = head.starts_with("HTTP/1.1 204");
    if is_no_content && !rest.is_empty() {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
