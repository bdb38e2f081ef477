//! A plain server as a process of its own, by PROTOCOL.md of the users' pages. Its answers carry no
//! length and finish with their connections.

use crate::http::{Wire, answer_bytes, listen};
use std::io::Write;
use std::net::SocketAddr;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::Duration;

/// Time to work on a request; half of the body is sent after half of it.
const WORK: Duration = Duration::from_millis(15);
/// Lines in a body, which are 800 bytes together.
const LINES: u32 = 25;

/// The whole body of the answer to a request.
pub fn body_of(id: &str) -> String {
    let lines = (1..=LINES).map(|line| format!("line {line:02}/{LINES} of {id}\n"));
    lines.collect()
}

fn print(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{text}").and_then(|()| out.flush());
}

/// Runs the server until the process is killed.
pub fn serve(id: &str, address: SocketAddr, born_ms: u64) {
    let (own_id, about) = (id.to_owned(), format!("{{\"born\":{born_ms}}}"));
    listen(address, move |mut wire: Wire| {
        while let Ok(Some(request)) = wire.request() {
            let name = request.header("request-id").unwrap_or("").to_owned();
            let headers = [("Instance-Id", own_id.as_str()), ("Request-Id", name.as_str())];
            let expected = request.header("expect-instance");
            if expected.is_some_and(|expected| expected != own_id) {
                if wire.send(&answer_bytes(421, &headers, about.as_bytes())).is_err() {
                    return;
                }
                continue;
            }
            if request.path() == "/health" {
                if wire.send(&answer_bytes(200, &headers, about.as_bytes())).is_err() {
                    return;
                }
                continue;
            }
            print(&format!("runs {name}"));
            if !wire.work(WORK / 2) {
                print(&format!("dropped {name}"));
                return;
            }
            let body = body_of(&name);
            let (first, rest) = body.split_at(body.len() / 2);
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\nResponse-Seal: seal-{name}\r\n\
                 Connection: close\r\n\r\n"
            );
            if wire.send(format!("{head}{first}").as_bytes()).is_err() {
                return;
            }
            print(&format!("half {name}"));
            if !wire.work(WORK / 2) || wire.send(rest.as_bytes()).is_err() {
                print(&format!("dropped {name}"));
                return;
            }
            print(&format!("whole {name}"));
            // The end of the connection is the end of the body.
            return;
        }
    });
    print("listening");
    loop {
        std::thread::sleep(Duration::from_secs(1));
    }
}

/// Starts the server as a process.
pub fn spawn(id: &str, address: SocketAddr, born_ms: u64) -> (Child, ChildStdout) {
    let program = std::env::current_exe().expect("finding the program of the stand-ins");
    let mut child = Command::new(program)
        .args(["plain-server", id, &address.to_string(), &born_ms.to_string()])
        .stdout(Stdio::piped())
        .spawn()
        .expect("starting a server");
    let out = child.stdout.take().expect("a piped output");
    (child, out)
}
