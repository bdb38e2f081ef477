//! A server whose every byte is scripted, for answers that no library would give.

use passway_types::prelude::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A request as it arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received {
    /// How many requests came before, over all connections.
    pub number: usize,
    /// How many connections came before.
    pub connection: usize,
    /// The head, without its empty line.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
}

impl Received {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().skip(1).filter_map(|l| l.split_once(':'));
        let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }

    /// Method and path.
    pub fn request_line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }
}

/// What the server does.
#[derive(Debug, Clone)]
pub enum Step {
    /// Sends bytes.
    Send(Vec<u8>),
    /// Waits.
    Pause(Duration),
    /// Closes the connection.
    Close,
    /// Ends the server as a crash does: its port is closed, then all of its connections.
    Crash,
    /// Closes all of its connections; the port stays open, as it does under a supervisor.
    CloseAll,
}

/// The server.
#[derive(Debug, Clone)]
pub struct RawServer {
    /// Where it listens.
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
    closed: Arc<Mutex<Vec<usize>>>,
    crash: Arc<Crash>,
}

/// What a crash of the server takes.
#[derive(Debug, Default)]
struct Crash {
    /// Whether the server is about to crash.
    begun: AtomicBool,
    /// Whether its port is closed.
    port_closed: AtomicBool,
    /// Its connections, by how many came before.
    streams: Mutex<BTreeMap<usize, TcpStream>>,
}

impl Crash {
    fn streams(&self) -> MutexGuard<'_, BTreeMap<usize, TcpStream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A connection was accepted.
    fn keep(&self, connection: usize, stream: &TcpStream) {
        let stream = stream.try_clone().ok();
        self.streams()
            .extend(stream.map(|stream| (connection, stream)));
    }

    /// A connection has ended; it is closed once nobody keeps it.
    fn forget(&self, connection: usize) {
        self.streams().remove(&connection);
    }

    fn cut(&self) {
        for stream in std::mem::take(&mut *self.streams()).values() {
            // One that has ended already is cut.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl RawServer {
    /// Answers each request by what `script` says, on a port that the kernel chooses.
    ///
    /// # Panics
    /// If no port can be bound.
    pub fn start(script: impl Fn(&Received) -> Vec<Step> + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("binding a stand-in");
        let server = Self {
            address: listener.local_addr().expect("a stand-in's address"),
            received: Arc::default(),
            closed: Arc::default(),
            crash: Arc::default(),
        };
        let (accepting, script) = (server.clone(), Arc::new(script));
        std::thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                if accepting.crash.begun.load(Ordering::Acquire) {
                    break;
                }
                let Ok(stream) = stream else { continue };
                accepting.crash.keep(connection, &stream);
                let (server, script) = (accepting.clone(), script.clone());
                std::thread::spawn(move || {
                    // A caller that leaves ends the connection; there is no one to tell.
                    let _ = server.converse(stream, connection, &*script);
                    server.crash.forget(connection);
                    server.closed().push(connection);
                });
            }
            drop(listener);
            accepting.crash.port_closed.store(true, Ordering::Release);
        });
        server
    }

    /// Ends the server as a crash does.
    fn crash(&self) {
        self.crash.begun.store(true, Ordering::Release);
        while !self.crash.port_closed.load(Ordering::Acquire) {
            // Wakes the thread that accepts; where the port is closed already, nobody.
            let _ = TcpStream::connect(self.address);
            std::thread::yield_now();
        }
        self.crash.cut();
    }

    fn closed(&self) -> std::sync::MutexGuard<'_, Vec<usize>> {
        self.closed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Connections that have ended.
    pub fn closed_connections(&self) -> Vec<usize> {
        self.closed().clone()
    }

    /// All requests that came.
    pub fn received(&self) -> Vec<Received> {
        let received = self.received.lock();
        received.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn converse(
        &self,
        mut stream: TcpStream,
        connection: usize,
        script: &dyn Fn(&Received) -> Vec<Step>,
    ) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut bytes = Vec::new();
        while let Some((head, body)) = read_request(&mut stream, &mut bytes)? {
            let mut all = self.received.lock().unwrap_or_else(PoisonError::into_inner);
            let received = Received {
                number: all.len(),
                connection,
                head,
                body,
            };
            all.push(received.clone());
            drop(all);
            for step in script(&received) {
                match step {
                    Step::Send(bytes) => stream.write_all(&bytes)?,
                    Step::Pause(time) => std::thread::sleep(time),
                    Step::Close => return Ok(()),
                    Step::Crash => self.crash(),
                    Step::CloseAll => self.crash.cut(),
                }
            }
        }
        Ok(())
    }
}

/// Reads one request with a counted body; `None` at the connection's end.
fn read_request(
    stream: &mut TcpStream,
    bytes: &mut Vec<u8>,
) -> std::io::Result<Option<(String, Vec<u8>)>> {
    let mut chunk = [0; 8 << 10];
    loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let length = head.lines().filter_map(|line| line.split_once(':'));
            let mut length = length.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
            let length = length
                .next()
                .and_then(|(_, value)| value.trim().parse().ok());
            let whole = end + 4 + length.unwrap_or(0);
            if bytes.len() >= whole {
                let body = bytes[end + 4..whole].to_vec();
                bytes.drain(..whole);
                return Ok(Some((head, body)));
            }
        }
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Ok(None);
        }
        bytes.extend_from_slice(&chunk[..count]);
    }
}
