//! A sound plain server: it answers health checks, requests for another server with 421, and each other request
//! with a sealed answer.

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

/// A plain server; clones share its state.
#[derive(Clone)]
pub struct PlainServer {
    id: String,
    /// The ids of the requests that ran, in their order.
    pub ran: Arc<Mutex<Vec<String>>>,
}

/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.expect("a clock").as_millis()).expect("a time")
}

impl PlainServer {
    /// Starts a server and writes its entry. `headers` are those of an answer to a request beside the usual ones,
    /// `body_bytes` is the length of its body.
    pub fn start(
        store: &Store,
        record: &Record,
        id: &str,
        ip: &str,
        service: &str,
        body_bytes: usize,
        headers: impl Fn(&str) -> String + Send + Sync + 'static,
    ) -> Self {
        let (listener, address) = http::listen(ip);
        let server = Self {
            id: id.to_owned(),
            ran: Arc::default(),
        };
        let born = unix_ms();
        let (serving, record) = (server.clone(), record.clone());
        http::serve(listener, move |request, stream| {
            serving.serve(request, stream, &record, body_bytes, born, &headers)
        });
        store.put(
            &format!("servers/{id}"),
            &format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"hall-a\",\"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":1,\"born\":{born}}}"
            ),
        );
        server
    }

    fn serve(
        &self,
        request: &Message,
        stream: &mut TcpStream,
        record: &Record,
        body_bytes: usize,
        born: u64,
        headers: &impl Fn(&str) -> String,
    ) -> bool {
        let own = format!("Instance-Id: {}\r\n", self.id);
        let expected = request.header("expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return http::write(stream, &http::answer(421, &own, b""));
        }
        if request.path() == "/health" {
            let body = format!("{{\"born\":{born}}}");
            return http::write(stream, &http::answer(200, &own, body.as_bytes()));
        }
        let Some(id) = request.header("request-id") else {
            return http::write(stream, &http::answer(400, "Not-Executed: 1\r\n", b""));
        };
        self.ran.lock().unwrap().push(id.to_owned());
        record.line(&format!("server {} runs {id}", self.id));
        let extra = headers(id);
        let headers = format!(
            "Request-Id: {id}\r\nResponse-Seal: seal-{}\r\n{extra}",
            self.id
        );
        let body = vec![b'x'; body_bytes];
        let is_written = http::write(stream, &http::answer(200, &headers, &body));
        record.line(&format!(
            "server {} has written its whole answer to {id}: {is_written}",
            self.id
        ));
        is_written
    }
}
