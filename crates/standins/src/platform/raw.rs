//! A server that sends scripted bytes, for answers that no HTTP library would produce.

use passway_process::arrival_time;
use passway_types::prelude::*;
use rustix::net::RecvFlags;
use std::collections::BTreeMap;
use std::fmt;
use std::io::{ErrorKind, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A request as the server received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received {
    /// Number of requests received before this one, over all connections.
    pub number: usize,
    /// Number of connections accepted before this request's one.
    pub connection: usize,
    /// When the server took the whole request.
    pub arrived_at: Instant,
    /// When the whole request had reached the server's socket; earlier if the server stood still then.
    pub readable_at: Instant,
    /// The request line and the headers, without the final empty line.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
}

impl Received {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self
            .head
            .lines()
            .skip(1)
            .filter_map(|line| line.split_once(':'));
        let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }

    /// Returns the request line: method, path and HTTP version.
    pub fn request_line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }
}

/// A step of a script.
#[derive(Debug, Clone)]
pub enum Step {
    /// Sends these bytes.
    Send(Vec<u8>),
    /// Sends these bytes again and again, with a pause after each time, until the peer closes the
    /// connection, for [`MAX_REPEATING`] at most.
    Repeat(Vec<u8>, Duration),
    /// Waits for this time.
    Pause(Duration),
    /// Waits until the gate is open. If the peer closes the connection first, the script ends.
    Wait(Gate),
    /// Closes the request's connection.
    Close,
    /// Resets the request's connection.
    Reset,
    /// Crashes the server: closes its port, then all of its connections.
    Crash,
    /// Closes all connections of the server, but not its port: a supervisor keeps the port open when
    /// the server crashes.
    CloseAll,
    /// Does something at the server.
    Do(Action),
}

/// What a script does at its server once it comes to that step.
#[derive(Clone)]
pub struct Action(Arc<dyn Fn() + Send + Sync>);

impl Action {
    /// Wraps what is done.
    pub fn new(action: impl Fn() + Send + Sync + 'static) -> Self {
        Self(Arc::new(action))
    }
}

impl fmt::Debug for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Action").finish_non_exhaustive()
    }
}

/// A condition that scripts wait for until the test opens it; clones share the same state.
#[derive(Debug, Clone, Default)]
pub struct Gate(Arc<AtomicBool>);

impl Gate {
    /// Lets all scripts go on that wait for the gate, now or later.
    pub fn open(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn is_open(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Maximum time between two checks whether the peer of a waiting script has closed its connection.
const WAIT_INTERVAL: Duration = Duration::from_millis(5);

/// Longest time for which bytes are sent again and again.
pub const MAX_REPEATING: Duration = Duration::from_secs(15);

/// How the script of a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScriptEnd {
    /// All steps ran, or one of them closed the connection.
    Done,
    /// The server closed all of its connections before the last step.
    ClosedByServer,
    /// The peer closed the connection before the last step.
    ClosedByPeer,
}

/// The end of a request's script.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedScript {
    /// How the script ended.
    pub end: ScriptEnd,
    /// Time of the last step, or time at which the server detected that the connection was closed.
    pub ended_at: Instant,
}

/// A scripted server; clones share the same state.
#[derive(Debug, Clone)]
pub struct RawServer {
    /// The address that the server listens on.
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
    /// The ends of the scripts, by request number.
    ended_scripts: Arc<Mutex<BTreeMap<usize, EndedScript>>>,
    silent_until: Arc<Mutex<Option<Instant>>>,
    /// Until when no request is taken, as by a process that stands still.
    standing_until: Arc<Mutex<Option<Instant>>>,
    /// Number of connections beyond which the server resets new ones.
    max_connections: Arc<AtomicUsize>,
    /// Bytes that [`Step::Repeat`] has sent, over all connections.
    repeated_bytes: Arc<AtomicUsize>,
    closed: Arc<Mutex<Vec<(usize, Instant)>>>,
    crash: Arc<CrashState>,
}

/// The parts of the server that a crash closes.
#[derive(Debug, Default)]
struct CrashState {
    /// Whether a crash has begun.
    has_begun: AtomicBool,
    /// Whether the port is closed.
    is_port_closed: AtomicBool,
    /// The open connections, by connection number.
    streams: Mutex<BTreeMap<usize, TcpStream>>,
}

impl CrashState {
    fn streams(&self) -> MutexGuard<'_, BTreeMap<usize, TcpStream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers an accepted connection.
    fn register(&self, connection: usize, stream: &TcpStream) {
        let stream = stream.try_clone().ok();
        self.streams()
            .extend(stream.map(|stream| (connection, stream)));
    }

    /// Removes a finished connection; its socket closes with the last clone.
    fn unregister(&self, connection: usize) {
        self.streams().remove(&connection);
    }

    fn close_all(&self) {
        for stream in std::mem::take(&mut *self.streams()).values() {
            // Fails if the connection is already closed, which is fine.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl RawServer {
    /// Starts a server that runs the steps returned by `script` for each request, on a port that the
    /// kernel chooses.
    ///
    /// # Panics
    /// If no port can be bound.
    pub fn start(script: impl Fn(&Received) -> Vec<Step> + Send + Sync + 'static) -> Self {
        Self::start_on(Ipv4Addr::LOCALHOST, script)
    }

    /// As [`RawServer::start`], on an address of the machine.
    ///
    /// # Panics
    /// If no port can be bound.
    pub fn start_on(
        ip: Ipv4Addr,
        script: impl Fn(&Received) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("binding a stand-in");
        // Without noted times, requests count as having arrived when they are read.
        arrival_time::enable(&listener);
        let server = Self {
            address: listener
                .local_addr()
                .expect("reading the stand-in's address"),
            received: Arc::default(),
            ended_scripts: Arc::default(),
            silent_until: Arc::default(),
            standing_until: Arc::default(),
            max_connections: Arc::new(AtomicUsize::new(usize::MAX)),
            repeated_bytes: Arc::default(),
            closed: Arc::default(),
            crash: Arc::default(),
        };
        let (accepting, script) = (server.clone(), Arc::new(script));
        std::thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                if accepting.crash.has_begun.load(Ordering::Acquire) {
                    break;
                }
                let Ok(stream) = stream else { continue };
                if accepting.resets_next() {
                    // Dropping the connection resets it. If the option fails, it is closed instead.
                    let linger = Some(Duration::ZERO);
                    let _ = rustix::net::sockopt::set_socket_linger(&stream, linger);
                    continue;
                }
                accepting.crash.register(connection, &stream);
                let (server, script) = (accepting.clone(), script.clone());
                std::thread::spawn(move || {
                    // An error means that the caller has disconnected; nothing is left to do.
                    let _ = server.serve_connection(stream, connection, &*script);
                    server.crash.unregister(connection);
                    server.closed().push((connection, Instant::now()));
                });
            }
            drop(listener);
            accepting
                .crash
                .is_port_closed
                .store(true, Ordering::Release);
        });
        server
    }

    /// Resets connections beyond this number from now on.
    pub fn limit_connections(&self, max_connections: usize) {
        self.max_connections
            .store(max_connections, Ordering::Release);
    }

    /// Returns whether a connection that is accepted now is beyond the number that the server takes.
    fn resets_next(&self) -> bool {
        self.crash.streams().len() >= self.max_connections.load(Ordering::Acquire)
    }

    /// Closes all connections, but not the port.
    pub fn close_connections(&self) {
        self.crash.close_all();
    }

    /// Closes the port, then all connections.
    pub fn crash(&self) {
        self.crash.has_begun.store(true, Ordering::Release);
        while !self.crash.is_port_closed.load(Ordering::Acquire) {
            // Wakes the accepting thread; without effect if the port is already closed.
            let _ = TcpStream::connect(self.address);
            std::thread::yield_now();
        }
        self.crash.close_all();
    }

    fn closed(&self) -> MutexGuard<'_, Vec<(usize, Instant)>> {
        self.closed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the numbers of the connections that have ended.
    pub fn closed_connections(&self) -> Vec<usize> {
        let closed = self.closed();
        closed.iter().map(|(connection, _)| *connection).collect()
    }

    /// Returns when a connection ended; `None` while it is open. The end is noticed while the script
    /// waits for a gate, and once it has no more steps.
    pub fn closed_at(&self, connection: usize) -> Option<Instant> {
        let closed = self.closed();
        let end = closed.iter().find(|(closed, _)| *closed == connection);
        end.map(|(_, at)| *at)
    }

    /// Returns the number of bytes that [`Step::Repeat`] has sent, over all connections.
    pub fn repeated_bytes(&self) -> usize {
        self.repeated_bytes.load(Ordering::Acquire)
    }

    /// Returns all received requests.
    pub fn received(&self) -> Vec<Received> {
        let received = self.received.lock();
        received.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns how the script of each request ended, by request number. Requests whose scripts are
    /// running are missing.
    pub fn ended_scripts(&self) -> BTreeMap<usize, EndedScript> {
        self.lock_ended_scripts().clone()
    }

    fn lock_ended_scripts(&self) -> MutexGuard<'_, BTreeMap<usize, EndedScript>> {
        let ended_scripts = self.ended_scripts.lock();
        ended_scripts.unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends nothing for at least this time, on no connection, and closes none. The server accepts
    /// connections and requests meanwhile, and then sends everything that is due.
    pub fn fall_silent(&self, duration: Duration) {
        let mut silent_until = self.lock_silent_until();
        *silent_until = (*silent_until).max(Some(Instant::now() + duration));
    }

    /// Takes no request and sends nothing for at least this time, as a process that stands still. Requests that
    /// arrive meanwhile wait in their sockets, and are taken together afterwards, also those whose connections were closed
    /// or reset.
    pub fn stand_still(&self, duration: Duration) {
        self.fall_silent(duration);
        let mut standing_until = self.lock_standing_until();
        *standing_until = (*standing_until).max(Some(Instant::now() + duration));
    }

    /// Ends a silence or a standstill.
    pub fn end_silence(&self) {
        *self.lock_silent_until() = None;
        *self.lock_standing_until() = None;
    }

    fn lock_standing_until(&self) -> MutexGuard<'_, Option<Instant>> {
        let standing_until = self.standing_until.lock();
        standing_until.unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_silent_until(&self) -> MutexGuard<'_, Option<Instant>> {
        let silent_until = self.silent_until.lock();
        silent_until.unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the time that `ends_at` returns, which may change meanwhile. Returns the first end
    /// of the connection that is detected.
    fn wait_until(
        &self,
        ends_at: impl Fn() -> Option<Instant>,
        stream: &TcpStream,
        connection: usize,
    ) -> Option<EndedScript> {
        let mut detected = None;
        loop {
            detected = detected.or_else(|| self.detect_close(stream, connection));
            let remaining = ends_at().map(|at| at.saturating_duration_since(Instant::now()));
            let Some(remaining) = remaining.filter(|remaining| !remaining.is_zero()) else {
                return detected;
            };
            std::thread::sleep(remaining.min(WAIT_INTERVAL));
        }
    }

    /// Returns the end of a connection that is closed.
    fn detect_close(&self, stream: &TcpStream, connection: usize) -> Option<EndedScript> {
        is_closed(stream).then(|| self.closed_connection(connection))
    }

    /// Returns the end of a connection that was closed before the last step.
    fn closed_connection(&self, connection: usize) -> EndedScript {
        let is_own_close = !self.crash.streams().contains_key(&connection);
        EndedScript {
            end: if is_own_close {
                ScriptEnd::ClosedByServer
            } else {
                ScriptEnd::ClosedByPeer
            },
            ended_at: Instant::now(),
        }
    }

    fn serve_connection(
        &self,
        mut stream: TcpStream,
        connection: usize,
        script: &dyn Fn(&Received) -> Vec<Step>,
    ) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut bytes = Vec::new();
        let mut readable_at = Instant::now();
        while let Some((head, body)) = read_request(&mut stream, &mut bytes, &mut readable_at)? {
            // A process that goes on reads what had arrived, also if the connection was reset meanwhile.
            self.wait_until(|| *self.lock_standing_until(), &stream, connection);
            let mut requests = self.received.lock().unwrap_or_else(PoisonError::into_inner);
            let received = Received {
                number: requests.len(),
                connection,
                arrived_at: Instant::now(),
                readable_at,
                head,
                body,
            };
            requests.push(received.clone());
            drop(requests);
            let steps = script(&received);
            let (ended, is_open) = self.run_steps(steps, &mut stream, connection);
            self.lock_ended_scripts().insert(received.number, ended);
            if !is_open {
                break;
            }
        }
        Ok(())
    }

    /// Runs the steps of a script, also after the peer has closed the connection, since a step may
    /// crash the server. Returns the end of the script, and whether the connection stays open.
    fn run_steps(
        &self,
        steps: Vec<Step>,
        stream: &mut TcpStream,
        connection: usize,
    ) -> (EndedScript, bool) {
        let mut early_end = None;
        let mut is_open = true;
        for step in steps {
            early_end = early_end.or(self.wait_for_step(&step, stream, connection));
            if matches!(step, Step::Wait(_)) && early_end.is_some() {
                is_open = false;
                break;
            }
            let outcome = self.run_step(step, stream, connection);
            if outcome.is_err() {
                early_end = early_end.or_else(|| Some(self.closed_connection(connection)));
            }
            is_open = outcome.unwrap_or(false);
            if !is_open {
                break;
            }
        }
        let done = EndedScript {
            end: ScriptEnd::Done,
            ended_at: Instant::now(),
        };
        (early_end.unwrap_or(done), is_open)
    }

    /// Waits until a step may run: a pause is over, or a silence that holds back what is sent. Returns
    /// the end of the connection if it is closed.
    fn wait_for_step(
        &self,
        step: &Step,
        stream: &TcpStream,
        connection: usize,
    ) -> Option<EndedScript> {
        match step {
            Step::Pause(duration) => {
                let ends_at = Instant::now() + *duration;
                self.wait_until(|| Some(ends_at), stream, connection)
            }
            Step::Send(_) | Step::Repeat(..) | Step::Close | Step::Reset => {
                self.wait_until(|| *self.lock_silent_until(), stream, connection)
            }
            Step::Wait(gate) => {
                while !gate.is_open() {
                    let detected = self.detect_close(stream, connection);
                    if detected.is_some() {
                        return detected;
                    }
                    std::thread::sleep(WAIT_INTERVAL);
                }
                None
            }
            Step::Crash | Step::CloseAll | Step::Do(_) => None,
        }
    }

    /// Runs one step. Returns whether the connection stays open.
    ///
    /// # Errors
    /// If the connection is closed.
    fn run_step(
        &self,
        step: Step,
        stream: &mut TcpStream,
        connection: usize,
    ) -> std::io::Result<bool> {
        match step {
            Step::Send(bytes) => stream.write_all(&bytes)?,
            Step::Repeat(bytes, pause) => {
                self.repeat(&bytes, pause, stream)?;
                return Ok(false);
            }
            Step::Pause(_) | Step::Wait(_) => {}
            Step::Close => return Ok(false),
            Step::Reset => {
                let linger = Some(Duration::ZERO);
                rustix::net::sockopt::set_socket_linger(&*stream, linger)?;
                self.crash.unregister(connection);
                return Ok(false);
            }
            Step::Crash => self.crash(),
            Step::CloseAll => self.close_connections(),
            Step::Do(action) => (action.0)(),
        }
        Ok(true)
    }
}

impl RawServer {
    /// Sends bytes again and again until the peer closes the connection.
    fn repeat(&self, bytes: &[u8], pause: Duration, stream: &mut TcpStream) -> std::io::Result<()> {
        let ends_at = Instant::now() + MAX_REPEATING;
        while Instant::now() < ends_at && !is_closed(stream) {
            stream.write_all(bytes)?;
            self.repeated_bytes.fetch_add(bytes.len(), Ordering::AcqRel);
            std::thread::sleep(pause);
        }
        Ok(())
    }
}

/// Returns whether the connection is closed. Bytes that have arrived are left for the next read.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    match rustix::net::recv(stream, &mut byte, RecvFlags::PEEK | RecvFlags::DONTWAIT) {
        Ok((_, count)) => count == 0,
        Err(error) => {
            let kind = std::io::Error::from(error).kind();
            !matches!(kind, ErrorKind::WouldBlock | ErrorKind::Interrupted)
        }
    }
}

/// Reads one request whose body has a `Content-Length`; `None` at the end of the connection. `readable_at` becomes the
/// time at which the bytes that were read last had reached the socket.
fn read_request(
    stream: &mut TcpStream,
    bytes: &mut Vec<u8>,
    readable_at: &mut Instant,
) -> std::io::Result<Option<(String, Vec<u8>)>> {
    let mut chunk = [0; 8 << 10];
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let length = head.lines().filter_map(|line| line.split_once(':'));
            let mut length = length.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
            let length = length
                .next()
                .and_then(|(_, value)| value.trim().parse().ok());
            let request_end = end + 4 + length.unwrap_or(0);
            if bytes.len() >= request_end {
                let body = bytes[end + 4..request_end].to_vec();
                bytes.drain(..request_end);
                return Ok(Some((head, body)));
            }
        }
        let (count, age) = arrival_time::read(stream, &mut chunk)?;
        if count == 0 {
            return Ok(None);
        }
        let now = Instant::now();
        *readable_at = now.checked_sub(age).unwrap_or(now);
        bytes.extend_from_slice(&chunk[..count]);
    }
}
