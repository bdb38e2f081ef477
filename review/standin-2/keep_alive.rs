//! A server that never closes idle connections, and says so.

use crate::instance::Instance;
use crate::plain::PlainServer;
use crate::record::Record;
use crate::store::Store;
use crate::{Site, Verdict, http};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const REQUESTS: usize = 20;

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"pay","host":"shop.example","prefix":"/pay/","kind":"non_idempotent","timeout_ms":3000,"goal_ms":300,"priority":1,"service":"plain","attempts":1}],"services":[{"name":"plain","health_path":"/health","max_conns":100}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// The status of the answer; `None` if the connection ended without one.
fn request(callers: SocketAddr, id: &str) -> Option<String> {
    let mut stream = TcpStream::connect(callers).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let head = format!(
        "POST /pay/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    http::write(&mut stream, head.as_bytes());
    let answer = http::read_message(&mut stream, &mut Vec::new())?;
    Some(answer.target().to_owned())
}

pub fn run(site: &Site, record: &Record) -> Verdict {
    let seconds = if site.trouble { u64::MAX } else { 60 };
    let (store, store_address) = Store::start("127.0.0.1");
    store.put("op/config", CONFIGURATION);
    let server = PlainServer::start(
        &store,
        record,
        "i-1",
        "127.0.0.1",
        "plain",
        100,
        move |_| format!("Keep-Alive: timeout={seconds}\r\n"),
    );
    let one = Instance::start(&site.root, &site.folder, "one", &site.ip(11), store_address);
    if !one.wait_ready(Duration::from_secs(20)) {
        return Verdict::NotRun;
    }
    let mut lost = 0;
    for number in 0..REQUESTS {
        let id = format!("r{number}");
        let status = request(one.callers, &id);
        record.line(&format!("the answer to {id}: {status:?}"));
        lost += usize::from(status.is_none());
    }
    for line in one.log_lines("panicked") {
        record.line(&format!("instance one: {line}"));
    }
    let ran = server.ran.lock().unwrap().len();
    record.line(&format!("{ran} requests ran; {lost} got no answer"));
    if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
