//! A TCP proxy whose connections can be delayed, reset and silenced.

use passway_types::prelude::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Maximum number of bytes that are forwarded at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Faults that the proxy injects into open and new connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProxyFaults {
    /// Delay of each forwarded chunk.
    pub delay: Duration,
    /// Drops what callers send. Connections with dropped data stay open and forward nothing more in
    /// this direction.
    pub drops_requests: bool,
    /// Drops what the target sends, in the same way.
    pub drops_answers: bool,
    /// Closes new connections immediately.
    pub refuses_connections: bool,
}

#[derive(Debug, Default)]
struct State {
    faults: ProxyFaults,
    /// The sockets to the caller and to the target of each open connection, by connection number.
    open: BTreeMap<u64, [TcpStream; 2]>,
    connection_count: u64,
    /// Whether the target has closed its port, so the proxy's port is closed too.
    is_closed: bool,
}

/// A TCP proxy; clones share the same state.
#[derive(Debug, Clone)]
pub struct Proxy {
    /// The address that the proxy listens on.
    pub address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    state: Arc<Mutex<State>>,
}

impl Proxy {
    /// Starts a proxy to `target` on a port that the kernel chooses.
    ///
    /// # Panics
    /// If no port can be bound.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("binding a proxy");
        let proxy = Self {
            address: listener.local_addr().expect("reading the proxy's address"),
            target: Arc::new(Mutex::new(target)),
            state: Arc::default(),
        };
        let accepting = proxy.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.state().is_closed {
                    break;
                }
                accepting.connect(&stream);
            }
        });
        proxy
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the injected faults. Connections that have been silenced stay silent.
    pub fn set_faults(&self, faults: ProxyFaults) {
        self.state().faults = faults;
    }

    /// Connects to another target from now on, as when the address is given to another server.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }

    fn target(&self) -> SocketAddr {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Resets all open connections.
    pub fn reset_connections(&self) {
        for sockets in std::mem::take(&mut self.state().open).values() {
            sockets.iter().for_each(reset_socket);
        }
    }

    /// Closes the proxy's port if the target refuses connections. Later connection attempts are then
    /// refused, as after a crash without a proxy.
    fn close_with_target(&self) {
        if TcpStream::connect(self.target()).is_ok() {
            return;
        }
        self.state().is_closed = true;
        while TcpStream::connect(self.address).is_ok() {
            // An accepted connection wakes the accepting thread, which then closes the port. Once the
            // port is closed, connections are refused.
            std::thread::yield_now();
        }
    }

    fn connect(&self, caller: &TcpStream) {
        if self.state().faults.refuses_connections {
            return;
        }
        // If the target refuses the connection, the caller's connection is closed.
        let Ok(server) = TcpStream::connect(self.target()) else {
            return;
        };
        let (Ok(caller_end), Ok(server_end)) = (caller.try_clone(), server.try_clone()) else {
            return;
        };
        // Small messages are sent without delay, as without a proxy.
        let _ = (caller.set_nodelay(true), server.set_nodelay(true));
        let mut state = self.state();
        state.connection_count += 1;
        let connection_number = state.connection_count;
        state
            .open
            .insert(connection_number, [caller_end, server_end]);
        drop(state);
        self.forward(
            connection_number,
            [caller, &server],
            |faults| faults.drops_requests,
            false,
        );
        self.forward(
            connection_number,
            [&server, caller],
            |faults| faults.drops_answers,
            true,
        );
    }

    /// Forwards the data of one direction until either end closes the connection.
    fn forward(
        &self,
        connection_number: u64,
        [from, to]: [&TcpStream; 2],
        is_dropped: fn(&ProxyFaults) -> bool,
        is_from_target: bool,
    ) {
        let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        let proxy = self.clone();
        std::thread::spawn(move || {
            let mut chunk = [0; CHUNK_BYTES];
            let mut is_silent = false;
            let is_reset = loop {
                let count = match from.read(&mut chunk) {
                    Ok(0) => break false,
                    Ok(count) => count,
                    Err(_) => break true,
                };
                let faults = proxy.state().faults;
                std::thread::sleep(faults.delay);
                is_silent |= is_dropped(&faults);
                if !is_silent && to.write_all(&chunk[..count]).is_err() {
                    break true;
                }
            };
            if is_from_target {
                proxy.close_with_target();
            }
            // An orderly end after dropped data would say that all data has arrived.
            if is_silent && !is_reset {
                return;
            }
            if is_reset {
                reset_socket(&to);
            }
            close_sockets(&[from, to]);
            proxy.state().open.remove(&connection_number);
        });
    }
}

/// Closes a connection with a reset, whoever else has the socket.
fn reset_socket(socket: &TcpStream) {
    // Fails if the socket is already closed, which is fine.
    let _ = rustix::net::connect_unspec(socket);
    let _ = socket.shutdown(Shutdown::Both);
}

fn close_sockets(sockets: &[TcpStream; 2]) {
    for socket in sockets {
        // Fails if the socket is already closed, which is fine.
        let _ = socket.shutdown(Shutdown::Both);
    }
}
