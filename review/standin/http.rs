//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// A value of a request's query.
    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(key, _)| *key == name);
        found.map_or(String::new(), |(_, value)| value.replace("%2F", "/"))
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.first_line
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

/// How an answer ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Ending {
    /// Complete by its framing.
    Whole,
    /// The connection ended or failed first.
    BrokenOff,
}

/// A connection with the bytes that were read and not used.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(Some(line));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn take(&mut self, count: usize, out: &mut Vec<u8>) -> io::Result<bool> {
        while self.buffer.len() < count {
            if !self.fill()? {
                out.append(&mut self.buffer);
                return Ok(false);
            }
        }
        out.extend(self.buffer.drain(..count));
        Ok(true)
    }

    fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(first_line) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message {
            first_line,
            ..Message::default()
        };
        loop {
            match self.line()? {
                None => return Ok(None),
                Some(line) if line.is_empty() => return Ok(Some(message)),
                Some(line) => {
                    if let Some((name, value)) = line.split_once(':') {
                        let pair = (name.trim().to_owned(), value.trim().to_owned());
                        message.headers.push(pair);
                    }
                }
            }
        }
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let Some(size) = self.line()? else {
                return Ok(false);
            };
            let size = size.split(';').next().unwrap_or("").trim().to_owned();
            let Ok(size) = usize::from_str_radix(&size, 16) else {
                return Ok(false);
            };
            if size > 0 && !self.take(size, body)? {
                return Ok(false);
            }
            if self.line()?.is_none() {
                return Ok(false);
            }
            if size == 0 {
                return Ok(true);
            }
        }
    }

    /// Reads a request; `None` if the connection has ended.
    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut request) = self.head()? else {
            return Ok(None);
        };
        let length = request.header("content-length").map(str::to_owned);
        let mut body = Vec::new();
        let is_whole = if request.header("transfer-encoding").is_some() {
            self.chunks(&mut body)?
        } else {
            let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
            self.take(length, &mut body)?
        };
        request.body = body;
        Ok(is_whole.then_some(request))
    }

    /// Reads an answer. The second value tells whether it is complete by its framing; `None` if no
    /// head arrived.
    pub fn answer(&mut self) -> Option<(Message, Ending)> {
        let mut answer = self.head().ok()??;
        let mut body = Vec::new();
        let is_whole = if answer.header("transfer-encoding").is_some() {
            self.chunks(&mut body).unwrap_or(false)
        } else if let Some(length) = answer.header("content-length") {
            let length = length.parse().unwrap_or(0);
            self.take(length, &mut body).unwrap_or(false)
        } else {
            // The end of the connection is the end of the body, unless it is a reset.
            loop {
                match self.fill() {
                    Ok(true) => {}
                    ended => {
                        body.append(&mut self.buffer);
                        break ended.is_ok();
                    }
                }
            }
        };
        answer.body = body;
        let ending = if is_whole {
            Ending::Whole
        } else {
            Ending::BrokenOff
        };
        Some((answer, ending))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether the peer has closed or reset the connection.
    pub fn has_ended(&self) -> bool {
        let mut byte = [0];
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Works for a time; false if the peer closes the connection meanwhile.
    pub fn work(&self, duration: Duration) -> bool {
        let until = Instant::now() + duration;
        loop {
            if self.has_ended() {
                return false;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return true;
            }
            std::thread::sleep(left.min(Duration::from_millis(2)));
        }
    }
}

/// An answer with a length.
pub fn answer_bytes(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves each connection with a thread.
pub fn listen(address: SocketAddr, serve: impl Fn(Wire) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(address).expect("binding an address of a stand-in");
    let bound = listener.local_addr().expect("reading a bound address");
    let serve = std::sync::Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(Wire::new(stream)));
        }
    });
    bound
}

/// A free address on this loopback IP.
pub fn free_address(ip: [u8; 4]) -> SocketAddr {
    let listener = TcpListener::bind(SocketAddr::from((ip, 0))).expect("binding a free port");
    listener.local_addr().expect("reading a bound address")
}

/// Sends one request on a new connection and reads its answer.
pub fn call(address: SocketAddr, bytes: &[u8], patience: Duration) -> Option<(Message, Ending)> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(patience)).ok()?;
    let mut wire = Wire::new(stream);
    wire.send(bytes).ok()?;
    wire.answer()
}
