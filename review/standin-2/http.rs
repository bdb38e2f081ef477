//! HTTP/1.1 for the stand-ins: one thread for each connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

/// A message: its first line, its headers and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut all = self.headers.iter();
        let found = all.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The method of a request, or the version of an answer.
    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    /// The target of a request, or the status of an answer.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// A parameter of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(known, _)| *known == name)?;
        Some(percent_decode(value))
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        if let Some(byte) = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            decoded.push(byte);
            at += 3;
        } else {
            decoded.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads one message whose body has a length; `None` if the connection ends before it is whole.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let mut chunk = [0; 16 << 10];
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break at;
        }
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        buffer.extend_from_slice(&chunk[..count]);
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    buffer.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let mut message = Message {
        first_line: lines.next().unwrap_or_default().to_owned(),
        ..Message::default()
    };
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
    message.headers = headers.collect();
    let length = message.header("content-length");
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        buffer.extend_from_slice(&chunk[..count]);
    }
    message.body = buffer.drain(..length).collect();
    Some(message)
}

/// An answer with a length.
pub fn answer(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n{headers}\r\n");
    [head.as_bytes(), body].concat()
}

/// Serves requests on a listener. `handle` writes the answer; false closes the connection.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            // The listener was ended.
            let Ok(mut stream) = stream else { return };
            let handle = handle.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut buffer = Vec::new();
                while let Some(message) = read_message(&mut stream, &mut buffer) {
                    if !handle(&message, &mut stream) {
                        return;
                    }
                }
            });
        }
    });
}

/// Writes an answer; false if the connection broke.
pub fn write(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    stream.write_all(bytes).is_ok()
}

/// A listener on a free port of this loopback address.
pub fn listen(ip: &str) -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

/// Ends a listener: connections to its port are refused from now on.
pub fn stop_listening(listener: &TcpListener) {
    use std::os::fd::AsRawFd;
    unsafe extern "C" {
        fn shutdown(socket: i32, how: i32) -> i32;
    }
    // SAFETY: the call has no effect but on the socket, which is open.
    unsafe { shutdown(listener.as_raw_fd(), 2) };
}
